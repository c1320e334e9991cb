package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"dandelionhill.dev/api"
)

// negligibleShare is the share of the mean load below which ranges are spread by
// count instead of load. Otherwise ranges without measured load would all go to
// the one upstream with the lowest load.
const negligibleShare = 0.01

// rangeLoad is a range with its load.
type rangeLoad struct {
	id       int
	load     float64 // average
	measured float64 // current
	placed   bool    // already moved by this plan
}

// node is an upstream with the ranges it owns.
type node struct {
	up       Upstream
	pinned   bool
	load     float64 // average
	measured float64 // current
	ranges   []rangeLoad

	jumping   bool // the current load is far above average, but not yet for long enough
	jumpEnded bool // a jump that was too short to count has ended with this plan
}

// ratio returns the average load relative to capacity.
func (n *node) ratio() float64 {
	if n.up.Capacity <= 0 {
		return 0
	}
	return n.load / n.up.Capacity
}

// measuredRatio returns the current load relative to capacity.
func (n *node) measuredRatio() float64 {
	if n.up.Capacity <= 0 {
		return 0
	}
	return n.measured / n.up.Capacity
}

// receives reports whether the node may receive ranges.
func (n *node) receives() bool { return n.up.State.mayOwn() && n.up.Capacity > 0 }

// balanced reports whether the node takes part in balance moves.
func (n *node) balanced() bool { return n.receives() && !n.pinned }

// fits reports whether the node may receive a further range. Only cold upstreams
// have an absolute limit; admission control limits the others.
func (n *node) fits(r rangeLoad) bool {
	return n.up.State != Cold || max(n.load+r.load, n.measured+r.measured) <= n.up.Capacity
}

func (n *node) add(r rangeLoad) {
	n.load += r.load
	n.measured += r.measured
	n.ranges = append(n.ranges, r)
}

// assignment is the state that a plan works on.
type assignment struct {
	nodes    []*node // by ID
	unplaced []unplacedRange
	total    float64
	count    int
}

// unplacedRange is a range without a permitted owner.
type unplacedRange struct {
	rangeLoad
	from api.UpstreamID
}

func newAssignment(in Input, averages *averages, above float64) *assignment {
	a := &assignment{nodes: make([]*node, 0, len(in.Upstreams)), count: len(in.Owners)}
	byID := make(map[api.UpstreamID]*node, len(in.Upstreams))
	for _, up := range in.Upstreams {
		if byID[up.ID] != nil {
			continue
		}
		n := &node{up: up, pinned: in.Pinned[up.ID]}
		byID[up.ID] = n
		a.nodes = append(a.nodes, n)
	}
	slices.SortFunc(a.nodes, func(x, y *node) int { return cmp.Compare(x.up.ID, y.up.ID) })

	// Loads are summed in the order of ranges: floating-point sums depend on their
	// order, and map iteration order is random.
	ids := make([]int, 0, len(in.Owners))
	for id := range in.Owners {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		measured := max(in.Load[id], 0)
		r := rangeLoad{id: id, load: averages.average(id, measured), measured: measured}
		a.total += r.load
		owner := in.Owners[id]
		n := byID[owner]
		switch {
		case n != nil && (n.pinned || n.up.State.mayOwn()):
			n.add(r)
		case owner != "" && in.Pinned[owner]: // no longer listed, but may still run requests
		default:
			a.unplaced = append(a.unplaced, unplacedRange{rangeLoad: r, from: owner})
		}
	}
	averages.updateAll(a, above, in.Owners)
	return a
}

// placeForced assigns every range without a permitted owner to the upstream with
// the lowest load relative to capacity. Heavy ranges are placed first, so that
// light ones even out the rest.
func (a *assignment) placeForced() []Move {
	if len(a.unplaced) == 0 {
		return nil
	}
	slices.SortStableFunc(a.unplaced, func(x, y unplacedRange) int { return cmp.Compare(y.load, x.load) })
	negligible := negligibleShare * a.total / float64(a.count)
	split := len(a.unplaced)
	for i, r := range a.unplaced {
		if r.load <= negligible {
			split = i
			break
		}
	}
	moves := make([]Move, 0, len(a.unplaced))
	moves = a.place(moves, a.unplaced[:split], (*node).ratio)
	moves = a.place(moves, a.unplaced[split:], func(n *node) float64 { return float64(len(n.ranges)) / n.up.Capacity })
	a.unplaced = nil
	return moves
}

// place assigns each range to the receiver with the lowest rank.
func (a *assignment) place(moves []Move, ranges []unplacedRange, rank func(*node) float64) []Move {
	if len(ranges) == 0 {
		return moves
	}
	active, cold := &nodeHeap{rank: rank}, &nodeHeap{rank: rank}
	for _, n := range a.nodes {
		switch {
		case !n.receives():
		case n.up.State == Cold:
			cold.nodes = append(cold.nodes, n)
		default:
			active.nodes = append(active.nodes, n)
		}
	}
	heap.Init(active)
	heap.Init(cold)
	for _, r := range ranges {
		receivers := active
		if len(cold.nodes) > 0 {
			// Without an active upstream the ranges go to cold ones even beyond their
			// capacity: keys need an owner, and admission control refuses requests
			// above the slow-start limit.
			switch best := cold.nodes[0]; {
			case len(active.nodes) == 0:
				receivers = cold
			case best.fits(r.rangeLoad) && rank(best) < rank(active.nodes[0]):
				receivers = cold
			}
		}
		if len(receivers.nodes) == 0 {
			return moves
		}
		to := receivers.nodes[0]
		r.placed = true
		to.add(r.rangeLoad)
		heap.Fix(receivers, 0)
		moves = append(moves, Move{Range: r.id, From: r.from, To: to.up.ID, Forced: true})
	}
	return moves
}

// nodeHeap orders nodes by rank, then by capacity and ID.
type nodeHeap struct {
	nodes []*node
	rank  func(*node) float64
}

// Len implements heap.Interface.
func (h *nodeHeap) Len() int { return len(h.nodes) }

// Less implements heap.Interface.
func (h *nodeHeap) Less(i, j int) bool {
	x, y := h.nodes[i], h.nodes[j]
	return cmp.Or(cmp.Compare(h.rank(x), h.rank(y)), cmp.Compare(y.up.Capacity, x.up.Capacity), cmp.Compare(x.up.ID, y.up.ID)) < 0
}

// Swap implements heap.Interface.
func (h *nodeHeap) Swap(i, j int) { h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i] }

// Push implements heap.Interface.
func (h *nodeHeap) Push(x any) { h.nodes = append(h.nodes, x.(*node)) }

// Pop implements heap.Interface.
func (h *nodeHeap) Pop() any {
	last := h.nodes[len(h.nodes)-1]
	h.nodes = h.nodes[:len(h.nodes)-1]
	return last
}

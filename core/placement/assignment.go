package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"dandelionhill.dev/api"
)

// quietShare is the share of the mean load below which a range is spread by
// count instead of load. Otherwise ranges without measured load would all go to
// the one upstream with the lowest load.
const quietShare = 0.01

// heldRange is a range with its load.
type heldRange struct {
	id       int
	load     float64 // average
	measured float64 // as of now
	placed   bool    // moved by this plan already
}

// node is an upstream with the ranges it owns.
type node struct {
	up       Upstream
	pinned   bool
	load     float64 // average
	measured float64 // as of now
	ranges   []heldRange

	jumping   bool // the present load is far above average, but not yet for long
	jumpEnded bool // as of this plan that is over, and was too short to count
}

// ratio returns the average load relative to capacity.
func (n *node) ratio() float64 {
	if n.up.Capacity <= 0 {
		return 0
	}
	return n.load / n.up.Capacity
}

// measuredRatio returns the present load relative to capacity.
func (n *node) measuredRatio() float64 {
	if n.up.Capacity <= 0 {
		return 0
	}
	return n.measured / n.up.Capacity
}

// receives reports whether the node may be given ranges.
func (n *node) receives() bool { return n.up.State.mayOwn() && n.up.Capacity > 0 }

// balanced reports whether the node takes part in balance moves.
func (n *node) balanced() bool { return n.receives() && !n.pinned }

// fits reports whether the node may take a further range. Only cold upstreams
// have an absolute limit; the others are limited by admission control.
func (n *node) fits(r heldRange) bool {
	return n.up.State != Cold || max(n.load+r.load, n.measured+r.measured) <= n.up.Capacity
}

func (n *node) add(r heldRange) {
	n.load += r.load
	n.measured += r.measured
	n.ranges = append(n.ranges, r)
}

// assignment is the state that a plan works on.
type assignment struct {
	nodes    []*node // by ID
	homeless []homelessRange
	total    float64
	count    int
}

// homelessRange is a range whose owner may not own it.
type homelessRange struct {
	heldRange
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

	// Loads are summed in the order of ranges: floating point sums depend on
	// their order, and the order of a map changes from run to run.
	ids := make([]int, 0, len(in.Owners))
	for id := range in.Owners {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		measured := max(in.Load[id], 0)
		r := heldRange{id: id, load: averages.average(id, measured), measured: measured}
		a.total += r.load
		owner := in.Owners[id]
		n := byID[owner]
		switch {
		case n != nil && (n.pinned || n.up.State.mayOwn()):
			n.add(r)
		case owner != "" && in.Pinned[owner]: // removed from the list, but perhaps still running requests
		default:
			a.homeless = append(a.homeless, homelessRange{heldRange: r, from: owner})
		}
	}
	averages.updateAll(a, above, in.Owners)
	return a
}

// placeForced gives every range without a permitted owner to the upstream with
// the lowest load relative to capacity. Heavy ranges are placed first, which
// leaves the light ones to even out the rest.
func (a *assignment) placeForced() []Move {
	if len(a.homeless) == 0 {
		return nil
	}
	slices.SortStableFunc(a.homeless, func(x, y homelessRange) int { return cmp.Compare(y.load, x.load) })
	quiet := quietShare * a.total / float64(a.count)
	split := len(a.homeless)
	for i, r := range a.homeless {
		if r.load <= quiet {
			split = i
			break
		}
	}
	moves := make([]Move, 0, len(a.homeless))
	moves = a.place(moves, a.homeless[:split], (*node).ratio)
	moves = a.place(moves, a.homeless[split:], func(n *node) float64 { return float64(len(n.ranges)) / n.up.Capacity })
	a.homeless = nil
	return moves
}

// place gives each range to the receiver with the lowest rank.
func (a *assignment) place(moves []Move, ranges []homelessRange, rank func(*node) float64) []Move {
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
		from := active
		if len(cold.nodes) > 0 {
			// Without an active upstream the ranges go to cold ones beyond their
			// capacity: the keys need an owner, and admission control refuses
			// what the ramp does not allow.
			switch best := cold.nodes[0]; {
			case len(active.nodes) == 0:
				from = cold
			case best.fits(r.heldRange) && rank(best) < rank(active.nodes[0]):
				from = cold
			}
		}
		if len(from.nodes) == 0 {
			return moves
		}
		to := from.nodes[0]
		r.placed = true
		to.add(r.heldRange)
		heap.Fix(from, 0)
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

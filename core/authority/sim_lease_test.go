package authority

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/lease"
)

// upstream simulates an upstream with its guard.
type upstream struct {
	process
	sim    *simulation
	index  int
	id     api.UpstreamID
	rate   float64
	guard  *lease.Guard
	active map[int]*execution // by number
	next   int
}

// execution is one run of a request.
type execution struct {
	rangeIndex int
	end        time.Duration // true time
}

func newUpstream(sim *simulation, i int) *upstream {
	u := &upstream{sim: sim, index: i, id: api.UpstreamID(fmt.Sprint("up", i)), rate: sim.rate()}
	u.start()
	return u
}

func (u *upstream) start() {
	u.up, u.run, u.backlog = true, u.run+1, nil
	u.guard, u.active = lease.NewGuard(u.sim.broken.checks), map[int]*execution{}
}

func (u *upstream) stop() {
	for _, i := range slices.Sorted(maps.Keys(u.active)) {
		u.sim.hist.point(u.active[i].rangeIndex, opEnd, u.index)
	}
	u.up, u.active, u.backlog = false, nil, nil
}

// clock reads the clock of the upstream's host, which runs on during pauses and restarts.
func (u *upstream) clock() time.Duration {
	return time.Minute + time.Duration(float64(u.sim.now)*u.rate)
}

// execute runs a request and calls done when the run has ended or was refused.
func (u *upstream) execute(fence api.Fence, rangeIndex int, deadline time.Duration, done func()) {
	sim := u.sim
	if u.guard.Check(u.clock(), fence, rangeIndex, deadline) != nil {
		done()
		return
	}
	length := time.Duration(sim.random.Int64N(int64(20 * time.Millisecond)))
	if sim.random.IntN(10) == 0 {
		length = time.Duration(sim.random.Int64N(int64(time.Second)))
	}
	if sim.broken.checks != lease.ChecksNone {
		length = min(length, time.Duration(float64(deadline-u.clock())/u.rate))
	}
	for _, other := range sim.ups {
		for _, e := range other.active {
			if other != u && e.rangeIndex == rangeIndex && e.end > sim.now {
				sim.addViolation("range %d runs on %s and %s", rangeIndex, other.id, u.id)
			}
		}
	}
	sim.runs++
	sim.lastRun[rangeIndex] = sim.now
	sim.hist.point(rangeIndex, opStart, u.index)
	u.next++
	i, run := u.next, u.run
	u.active[i] = &execution{rangeIndex, sim.now + length}
	sim.after(length, func() {
		if u.run == run && u.active != nil {
			delete(u.active, i)
			sim.hist.point(rangeIndex, opEnd, u.index)
			u.do(done)
		}
	})
}

// grant takes a grant and records the ranges that it adds in the history.
func (u *upstream) grant(sentAt int64, fence api.Fence, until time.Duration, ranges []int) bool {
	var had []int
	if u.clock() < u.guard.Until() && fence == u.guard.Fence() {
		had = u.guard.Ranges()
	}
	if u.guard.Grant(u.clock(), fence, until, ranges) != nil {
		return false
	}
	for _, rangeIndex := range ranges {
		if !slices.Contains(had, rangeIndex) {
			u.sim.hist.span(sentAt, rangeIndex, opGrant, u.index)
		}
	}
	return true
}

// handover lists the unexpired leases for the successor.
type handover struct {
	fence       api.Fence
	number      int
	owner       map[int]int
	outstanding map[api.UpstreamID]time.Duration
	receivedAt  time.Duration
}

// upstreamView is the holder's state for one upstream.
type upstreamView struct {
	offered      map[time.Duration][]int // ranges of grants by their end
	lastOffer    time.Duration
	ackedUntil   time.Duration
	acked        []int
	lastResponse time.Duration
	lastSent     time.Duration
	responded    bool
}

// withdrawal is a range that is being taken from its upstream.
type withdrawal struct {
	stamp int64
	after time.Duration // end of the last grant that may have contained the range
}

// holderState is the control state of a holder, with the owner of each range.
type holderState struct {
	n           *node
	fence       api.Fence
	table       *lease.Table
	owner       map[int]int // upstream by range; missing: none
	withdrawals map[int]withdrawal
	views       []*upstreamView
	pending     map[int]map[int]time.Duration // range -> request -> when it has surely ended
	request     int
	nextSend    time.Duration
	stopped     bool
	resumeAt    time.Duration
	number      int
}

func newHolderState(n *node, fence api.Fence) *holderState {
	h := &holderState{
		n: n, fence: fence, table: lease.NewTable(lease.DefaultConfig()),
		owner: map[int]int{}, withdrawals: map[int]withdrawal{}, pending: map[int]map[int]time.Duration{},
	}
	for range n.sim.ups {
		h.views = append(h.views, &upstreamView{offered: map[time.Duration][]int{}})
	}
	if n.handover != nil {
		h.table.Inherit(n.handover.receivedAt, n.handover.outstanding)
		for rangeIndex, i := range n.handover.owner {
			if h.table.Inherited(n.clock(), n.sim.ups[i].id) {
				h.owner[rangeIndex] = i
			}
		}
	}
	for rangeIndex := range n.sim.ranges {
		h.pending[rangeIndex] = map[int]time.Duration{}
		if i, ok := h.owner[rangeIndex]; ok {
			n.sim.hist.point(rangeIndex, opTake, i)
		} else {
			n.sim.hist.point(rangeIndex, opExpire, -1)
		}
	}
	return h
}

// control is one step of the holder's control loop, as in the daemon.
func (n *node) control() {
	h, sim := n.state, n.sim
	if h == nil {
		return
	}
	now := n.clock()
	_, until, ok := n.m.Authority(now)
	if !ok {
		return
	}
	if h.stopped {
		if now < h.resumeAt {
			return
		}
		h.stopped = false
	}
	h.assign(now)
	for i, s := range h.views {
		if now >= s.lastSent+30*time.Millisecond {
			s.lastSent = now
			h.renew(now, until, i)
		}
	}
	if now >= h.nextSend {
		h.nextSend = now + time.Duration(sim.random.Int64N(int64(20*time.Millisecond)))
		h.request++
		h.submit(now, h.request%sim.ranges)
	}
}

// assign frees the ranges that have left their upstream and places free ranges.
func (h *holderState) assign(now time.Duration) {
	sim := h.n.sim
	var live []int
	for i, s := range h.views {
		if s.responded && now < s.lastResponse+300*time.Millisecond {
			live = append(live, i)
		}
	}
	for rangeIndex := range sim.ranges {
		i, owned := h.owner[rangeIndex]
		w, moving := h.withdrawals[rangeIndex]
		if moving && h.free(now, rangeIndex, i, w) {
			sim.hist.span(w.stamp, rangeIndex, opExpire, i)
			delete(h.withdrawals, rangeIndex)
			delete(h.owner, rangeIndex)
			owned, moving = false, false
		}
		switch {
		case !owned && len(live) > 0:
			h.owner[rangeIndex] = live[sim.random.IntN(len(live))]
		case owned && !moving && (!slices.Contains(live, i) || sim.chance(0.01)):
			h.withdrawals[rangeIndex] = withdrawal{sim.hist.stamp(), h.views[i].lastOffer}
		}
	}
}

// free applies the rules of section 5 for giving a range to another upstream.
// A new incarnation frees a range only when it has acknowledged a grant without
// it: a grant sent before the restart could still arrive.
func (h *holderState) free(now time.Duration, rangeIndex, i int, w withdrawal) bool {
	s, up := h.views[i], h.n.sim.ups[i].id
	if h.table.Expired(now, up) {
		return true
	}
	for _, ended := range h.pending[rangeIndex] {
		if now < ended {
			return false
		}
	}
	return s.ackedUntil > w.after && !slices.Contains(s.acked, rangeIndex) && !h.table.Inherited(now, up)
}

// renew sends a grant, or only asks for a clock reading if no grant can be offered.
func (h *holderState) renew(now, authorityUntil time.Duration, i int) {
	n, sim, u, s := h.n, h.n.sim, h.n.sim.ups[i], h.views[i]
	var ranges []int
	for rangeIndex := range sim.ranges {
		_, moving := h.withdrawals[rangeIndex]
		if at, ok := h.owner[rangeIndex]; ok && at == i && !moving {
			ranges = append(ranges, rangeIndex)
		}
	}
	until, ok := h.table.Offer(now, authorityUntil, u.id)
	if ok {
		s.offered[until], s.lastOffer = ranges, until
	}
	sentAt, run := sim.hist.stamp(), n.run
	sim.send(string(n.id), string(u.id), false, func() {
		u.do(func() {
			accepted := ok && u.grant(sentAt, h.fence, until, ranges)
			r := lease.ClockReading{
				Incarnation: api.Incarnation(fmt.Sprint(u.run)),
				Clock:       u.clock().Truncate(time.Millisecond), SentAt: now,
			}
			sim.send(string(u.id), string(n.id), true, func() {
				n.do(func() {
					if n.run == run && n.state == h {
						h.handleResponse(i, r, accepted, until)
					}
				})
			})
		})
	})
}

func (h *holderState) handleResponse(i int, r lease.ClockReading, accepted bool, until time.Duration) {
	s, up, now := h.views[i], h.n.sim.ups[i].id, h.n.clock()
	r.ReceivedAt = now
	s.lastResponse, s.responded = now, true
	if h.table.Observe(up, r) {
		*s = upstreamView{offered: map[time.Duration][]int{}, lastOffer: s.lastOffer, lastResponse: now, responded: true}
		return
	}
	if ranges, ok := s.offered[until]; ok && accepted {
		h.table.Acknowledge(up, until)
		if until > s.ackedUntil {
			s.ackedUntil, s.acked = until, ranges
		}
	}
}

// submit sends a request for a range to its owner.
func (h *holderState) submit(now time.Duration, rangeIndex int) {
	n, sim := h.n, h.n.sim
	i, owned := h.owner[rangeIndex]
	if _, moving := h.withdrawals[rangeIndex]; !owned || moving || !slices.Contains(h.views[i].acked, rangeIndex) {
		return
	}
	u := sim.ups[i]
	deadline, ok := h.table.Deadline(now, now+time.Duration(sim.random.Int64N(int64(2*time.Second))), u.id)
	if !ok {
		return
	}
	number, run := h.request, n.run
	cfg := lease.DefaultConfig()
	h.pending[rangeIndex][number] = now + time.Duration(float64(cfg.Duration)*(1+cfg.Drift)) + time.Millisecond
	sim.send(string(n.id), string(u.id), true, func() {
		u.do(func() {
			u.execute(h.fence, rangeIndex, deadline, func() {
				sim.send(string(u.id), string(n.id), true, func() {
					n.do(func() {
						if n.run == run && n.state == h {
							delete(h.pending[rangeIndex], number)
						}
					})
				})
			})
		})
	})
}

// handOver sends the leases to a successor and releases the shard once they are confirmed.
func (n *node) handOver(to *node) {
	h, sim := n.state, n.sim
	if h == nil || h.stopped || to == n {
		return
	}
	now := n.clock()
	n.sent++
	h.number = n.sent
	h.stopped, h.resumeAt = true, now+300*time.Millisecond
	offer := handover{fence: h.fence, number: h.number, owner: maps.Clone(h.owner), outstanding: h.table.Outstanding(now)}
	sim.send(string(n.id), string(to.id), false, func() {
		to.do(func() {
			if g := to.handover; g != nil && (g.fence > offer.fence || g.fence == offer.fence && g.number > offer.number) {
				return
			}
			got := offer
			got.receivedAt = to.clock()
			to.handover = &got
			sim.send(string(to.id), string(n.id), false, func() {
				n.do(func() {
					if n.state == h && h.stopped && h.number == offer.number {
						n.act(n.m.Release(n.clock(), to.id))
					}
				})
			})
		})
	})
}

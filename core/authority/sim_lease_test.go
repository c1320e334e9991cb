package authority

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/lease"
)

// upstream runs requests behind a guard.
type upstream struct {
	process
	w      *world
	index  int
	id     api.UpstreamID
	rate   float64
	guard  *lease.Guard
	active map[int]*execution // by number
	next   int
}

// execution is one run of a request.
type execution struct {
	rng int
	end time.Duration // true time
}

func newUpstream(w *world, i int) *upstream {
	u := &upstream{w: w, index: i, id: api.UpstreamID(fmt.Sprint("up", i)), rate: w.rate()}
	u.start()
	return u
}

func (u *upstream) start() {
	u.up, u.run, u.backlog = true, u.run+1, nil
	u.guard, u.active = lease.NewGuard(u.w.broken.checks), map[int]*execution{}
}

func (u *upstream) stop() {
	for _, i := range slices.Sorted(maps.Keys(u.active)) {
		u.w.hist.point(u.active[i].rng, opEnd, u.index)
	}
	u.up, u.active, u.backlog = false, nil, nil
}

// clock is that of the upstream's machine: it continues through freezes and restarts.
func (u *upstream) clock() time.Duration {
	return time.Minute + time.Duration(float64(u.w.now)*u.rate)
}

// execute runs a request and calls done when it has ended or was refused.
func (u *upstream) execute(fence api.Fence, rng int, deadline time.Duration, done func()) {
	w := u.w
	if u.guard.Check(u.clock(), fence, rng, deadline) != nil {
		done()
		return
	}
	length := time.Duration(w.rng.Int64N(int64(20 * time.Millisecond)))
	if w.rng.IntN(10) == 0 {
		length = time.Duration(w.rng.Int64N(int64(time.Second)))
	}
	if w.broken.checks != lease.ChecksNone {
		length = min(length, time.Duration(float64(deadline-u.clock())/u.rate))
	}
	for _, other := range w.ups {
		for _, e := range other.active {
			if other != u && e.rng == rng && e.end > w.now {
				w.problem("range %d runs on %s and %s", rng, other.id, u.id)
			}
		}
	}
	w.runs++
	w.lastRun[rng] = w.now
	w.hist.point(rng, opStart, u.index)
	u.next++
	i, run := u.next, u.run
	u.active[i] = &execution{rng, w.now + length}
	w.after(length, func() {
		if u.run == run && u.active != nil {
			delete(u.active, i)
			w.hist.point(rng, opEnd, u.index)
			u.do(done)
		}
	})
}

// grant takes a grant; the history notes when a range arrives.
func (u *upstream) grant(sentAt int64, fence api.Fence, until time.Duration, ranges []int) bool {
	var had []int
	if u.clock() < u.guard.Until() && fence == u.guard.Fence() {
		had = u.guard.Ranges()
	}
	if u.guard.Grant(u.clock(), fence, until, ranges) != nil {
		return false
	}
	for _, rng := range ranges {
		if !slices.Contains(had, rng) {
			u.w.hist.span(sentAt, rng, opGrant, u.index)
		}
	}
	return true
}

// handover tells the successor which leases may run.
type handover struct {
	fence       api.Fence
	number      int
	owner       map[int]int
	outstanding map[api.UpstreamID]time.Duration
	receivedAt  time.Duration
}

// side is what a holder knows about one upstream.
type side struct {
	offered    map[time.Duration][]int // ranges of grants by their end
	lastOffer  time.Duration
	ackedUntil time.Duration
	acked      []int
	lastAnswer time.Duration
	lastSent   time.Duration
	answered   bool
}

// departure is the withdrawal of a range from its upstream.
type departure struct {
	stamp int64
	after time.Duration // end of the last grant that may have contained the range
}

// holding is the control state of a holder: who owns which range.
type holding struct {
	n        *node
	fence    api.Fence
	table    *lease.Table
	owner    map[int]int // upstream by range; missing: none
	leaving  map[int]departure
	sides    []*side
	pending  map[int]map[int]time.Duration // range -> request -> when it has surely ended
	request  int
	nextSend time.Duration
	stopped  bool
	resumeAt time.Duration
	number   int
}

func newHolding(n *node, fence api.Fence) *holding {
	h := &holding{
		n: n, fence: fence, table: lease.NewTable(lease.DefaultConfig()),
		owner: map[int]int{}, leaving: map[int]departure{}, pending: map[int]map[int]time.Duration{},
	}
	for range n.w.ups {
		h.sides = append(h.sides, &side{offered: map[time.Duration][]int{}})
	}
	if n.given != nil {
		h.table.Inherit(n.given.receivedAt, n.given.outstanding)
		for rng, i := range n.given.owner {
			if h.table.Inherited(n.clock(), n.w.ups[i].id) {
				h.owner[rng] = i
			}
		}
	}
	for rng := range n.w.ranges {
		h.pending[rng] = map[int]time.Duration{}
		if i, ok := h.owner[rng]; ok {
			n.w.hist.point(rng, opTake, i)
		} else {
			n.w.hist.point(rng, opExpire, -1)
		}
	}
	return h
}

// control does what the daemon's control loop does.
func (n *node) control() {
	h, w := n.h, n.w
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
	for i, s := range h.sides {
		if now >= s.lastSent+30*time.Millisecond {
			s.lastSent = now
			h.renew(now, until, i)
		}
	}
	if now >= h.nextSend {
		h.nextSend = now + time.Duration(w.rng.Int64N(int64(20*time.Millisecond)))
		h.request++
		h.submit(now, h.request%w.ranges)
	}
}

// assign frees the ranges that have left their upstream and places free ranges.
func (h *holding) assign(now time.Duration) {
	w := h.n.w
	var live []int
	for i, s := range h.sides {
		if s.answered && now < s.lastAnswer+300*time.Millisecond {
			live = append(live, i)
		}
	}
	for rng := range w.ranges {
		i, owned := h.owner[rng]
		d, moving := h.leaving[rng]
		if moving && h.free(now, rng, i, d) {
			w.hist.span(d.stamp, rng, opExpire, i)
			delete(h.leaving, rng)
			delete(h.owner, rng)
			owned, moving = false, false
		}
		switch {
		case !owned && len(live) > 0:
			h.owner[rng] = live[w.rng.IntN(len(live))]
		case owned && !moving && (!slices.Contains(live, i) || w.chance(0.01)):
			h.leaving[rng] = departure{w.hist.stamp(), h.sides[i].lastOffer}
		}
	}
}

// free applies the rules of section 5 for giving a range to another upstream.
// A new incarnation frees a range only when it has acknowledged a grant without
// it: a grant sent before the restart could still arrive.
func (h *holding) free(now time.Duration, rng, i int, d departure) bool {
	s, up := h.sides[i], h.n.w.ups[i].id
	if h.table.Expired(now, up) {
		return true
	}
	for _, ended := range h.pending[rng] {
		if now < ended {
			return false
		}
	}
	return s.ackedUntil > d.after && !slices.Contains(s.acked, rng) && !h.table.Inherited(now, up)
}

// renew sends a grant, or a question for a reading if no grant can be offered.
func (h *holding) renew(now, authorityUntil time.Duration, i int) {
	n, w, u, s := h.n, h.n.w, h.n.w.ups[i], h.sides[i]
	var ranges []int
	for rng := range w.ranges {
		_, moving := h.leaving[rng]
		if at, ok := h.owner[rng]; ok && at == i && !moving {
			ranges = append(ranges, rng)
		}
	}
	until, ok := h.table.Offer(now, authorityUntil, u.id)
	if ok {
		s.offered[until], s.lastOffer = ranges, until
	}
	sentAt, run := w.hist.stamp(), n.run
	w.send(string(n.id), string(u.id), false, func() {
		u.do(func() {
			accepted := ok && u.grant(sentAt, h.fence, until, ranges)
			r := lease.ClockReading{
				Incarnation: api.Incarnation(fmt.Sprint(u.run)),
				Clock:       u.clock().Truncate(time.Millisecond), SentAt: now,
			}
			w.send(string(u.id), string(n.id), true, func() {
				n.do(func() {
					if n.run == run && n.h == h {
						h.answer(i, r, accepted, until)
					}
				})
			})
		})
	})
}

func (h *holding) answer(i int, r lease.ClockReading, accepted bool, until time.Duration) {
	s, up, now := h.sides[i], h.n.w.ups[i].id, h.n.clock()
	r.ReceivedAt = now
	s.lastAnswer, s.answered = now, true
	if h.table.Observe(up, r) {
		*s = side{offered: map[time.Duration][]int{}, lastOffer: s.lastOffer, lastAnswer: now, answered: true}
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
func (h *holding) submit(now time.Duration, rng int) {
	n, w := h.n, h.n.w
	i, owned := h.owner[rng]
	if _, moving := h.leaving[rng]; !owned || moving || !slices.Contains(h.sides[i].acked, rng) {
		return
	}
	u := w.ups[i]
	deadline, ok := h.table.Deadline(now, now+time.Duration(w.rng.Int64N(int64(2*time.Second))), u.id)
	if !ok {
		return
	}
	number, run := h.request, n.run
	cfg := lease.DefaultConfig()
	h.pending[rng][number] = now + time.Duration(float64(cfg.Duration)*(1+cfg.Drift)) + time.Millisecond
	w.send(string(n.id), string(u.id), true, func() {
		u.do(func() {
			u.execute(h.fence, rng, deadline, func() {
				w.send(string(u.id), string(n.id), true, func() {
					n.do(func() {
						if n.run == run && n.h == h {
							delete(h.pending[rng], number)
						}
					})
				})
			})
		})
	})
}

// handOver announces the leases to a successor and releases the shard when it has confirmed.
func (n *node) handOver(to *node) {
	h, w := n.h, n.w
	if h == nil || h.stopped || to == n {
		return
	}
	now := n.clock()
	n.sent++
	h.number = n.sent
	h.stopped, h.resumeAt = true, now+300*time.Millisecond
	offer := handover{fence: h.fence, number: h.number, owner: maps.Clone(h.owner), outstanding: h.table.Outstanding(now)}
	w.send(string(n.id), string(to.id), false, func() {
		to.do(func() {
			if g := to.given; g != nil && (g.fence > offer.fence || g.fence == offer.fence && g.number > offer.number) {
				return
			}
			got := offer
			got.receivedAt = to.clock()
			to.given = &got
			w.send(string(to.id), string(n.id), false, func() {
				n.do(func() {
					if n.h == h && h.stopped && h.number == offer.number {
						n.act(n.m.Release(n.clock(), to.id))
					}
				})
			})
		})
	})
}

package dispatch

import (
	"time"

	"dandelionhill.dev/api"
)

// Next returns the requests that start now and those dropped from the queue
// because they can no longer finish in time. Expired hedges are not reported,
// because their first copies may still run.
func (q *Queue) Next(now time.Duration) (starts []Start, expired []uint64) {
	b := batch{now: now}
	for _, u := range q.upstreams {
		if u.lane != nil && u.lane.queued > 0 {
			q.expire(u.lane, &b)
			q.serveKeyed(u.lane, &b)
		}
	}
	if q.shared.queued+q.shared.hedged > 0 {
		q.expire(q.shared, &b)
		q.serveShared(&b)
	}
	return b.starts, b.expired
}

// batch collects the result of one call of Next.
type batch struct {
	now     time.Duration
	starts  []Start
	expired []uint64
}

// expire drops the requests of l whose deadline even a fast run would miss.
func (q *Queue) expire(l *lane, b *batch) {
	for it := l.due.due(b.now); it != nil; it = l.due.due(b.now) {
		q.drop(it, b)
	}
}

func (q *Queue) drop(it *item, b *batch) {
	q.detach(it)
	if !it.req.Hedge {
		b.expired = append(b.expired, it.req.ID)
	}
}

// tooLate reports whether to drop an item in favour of others: it is not likely to
// finish in time on u, and more requests wait than u has free slots.
func (q *Queue) tooLate(it *item, u *upstream, now time.Duration) bool {
	if it.req.Deadline == 0 || it.probe || it.noMargin || it.lane.queued <= u.free() {
		return false
	}
	slower := 1.0
	if s := it.lane.serviceTime; s.n > 0 && u.serviceTime.n > 0 {
		slower = max(1, u.serviceTime.mean/s.mean)
	}
	return it.req.Deadline < now+time.Duration(slower*float64(it.estimate.upperBound(q.cfg.StartMargin)))
}

// serveKeyed starts as many requests of a keyed lane as its upstream has slots for.
func (q *Queue) serveKeyed(l *lane, b *batch) {
	u := l.up
	for u.free() > 0 {
		if l.exclusive != nil {
			if u.inFlight > 0 {
				return
			}
			q.start(l.exclusive, u, b)
			return
		}
		it := l.pick()
		if it == nil {
			return
		}
		switch {
		case q.tooLate(it, u, b.now):
			q.drop(it, b)
		case it.req.Exclusive:
			q.reserve(it, u)
		default:
			q.start(it, u, b)
		}
	}
}

// serveShared starts as many requests as the upstreams have slots for, each on the
// one with the lowest share in flight. Hedges get slots that no first copy waits for.
func (q *Queue) serveShared(b *batch) {
	l := q.shared
	for {
		q.serveSharedExclusive(l, b)
		u := q.leastLoaded("")
		if u == nil {
			return
		}
		it := l.pick()
		if it == nil {
			q.serveHedges(l, b)
			return
		}
		switch {
		case q.tooLate(it, u, b.now):
			q.drop(it, b)
		case !it.req.Exclusive:
			q.start(it, u, b)
		case l.exclusive != nil:
			// Only one upstream at a time is drained for an exclusive request.
			l.blocked.pushBack(&it.flow.blocked)
			q.refresh(it.flow)
		default:
			q.reserve(it, q.emptiest())
		}
	}
}

// serveSharedExclusive starts the waiting exclusive request if its upstream is empty,
// and selects another upstream if that one has closed.
func (q *Queue) serveSharedExclusive(l *lane, b *batch) {
	if l.exclusive == nil {
		return
	}
	if l.exclusiveUp == nil || !l.exclusiveUp.limit.Open || l.exclusiveUp.limit.InFlight <= 0 {
		l.exclusiveUp = q.emptiest()
	}
	if l.exclusiveUp != nil && l.exclusiveUp.inFlight == 0 {
		q.start(l.exclusive, l.exclusiveUp, b)
	}
}

func (q *Queue) serveHedges(l *lane, b *batch) {
	for _, h := range l.hedges {
		for h.items.n > 0 {
			u := q.leastLoaded(h.avoid)
			if u == nil {
				break
			}
			q.start(h.items.first.value, u, b)
		}
	}
}

// reserve removes an item from its flow and reserves u for it, to start when u is empty.
func (q *Queue) reserve(it *item, u *upstream) {
	it.inFlow.unlink()
	it.lane.exclusive, it.lane.exclusiveUp = it, u
	q.refresh(it.flow)
}

// endExclusive ends the reservation of l and makes blocked flows ready again.
func (q *Queue) endExclusive(l *lane) {
	l.exclusive, l.exclusiveUp = nil, nil
	for n := l.blocked.first; n != nil; n = l.blocked.first {
		n.unlink()
		q.refresh(n.value)
	}
}

// start moves an item from the queue to u.
func (q *Queue) start(it *item, u *upstream, b *batch) {
	u.inFlight++
	u.exclusive = u.exclusive || it.req.Exclusive
	if it.key != nil {
		it.key.running++
		if it.key.rangeState != nil {
			it.key.rangeState.running++
		}
	}
	if it.charge != nil {
		*it.charge += it.estimate.mean
	}
	q.detach(it)
	it.lane.probeCredit = min(maxProbeCredit, it.lane.probeCredit+1)
	if it.key != nil && q.cfg.KeyInFlight > 0 {
		q.refreshKey(it.key)
	}
	q.running[copyID{it.req.ID, it.req.Hedge}] = run{up: u, lane: it.lane, key: it.key, exclusive: it.req.Exclusive, keyHash: it.keyHash, callerHash: it.callerHash, charge: it.charge, charged: it.estimate.mean}
	b.starts = append(b.starts, Start{ID: it.req.ID, Upstream: u.id, Exclusive: it.req.Exclusive, Hedge: it.req.Hedge})
}

// leastLoaded returns the open upstream with the lowest share in flight after
// one more start, or nil. Ties are broken round-robin, so that light load is spread too.
func (q *Queue) leastLoaded(avoid api.UpstreamID) *upstream {
	var best *upstream
	var bestShare float64
	q.searchStart++
	for i := range q.upstreams {
		u := q.upstreams[(i+q.searchStart)%len(q.upstreams)]
		if u.free() == 0 || u.id == avoid || u == q.shared.exclusiveUp {
			continue
		}
		share := float64(u.inFlight+1) / float64(u.limit.InFlight) * max(1, u.limit.Penalty)
		if best == nil || share < bestShare {
			best, bestShare = u, share
		}
	}
	return best
}

// emptiest returns the open upstream with the fewest requests in flight, or nil.
func (q *Queue) emptiest() *upstream {
	var best *upstream
	for _, u := range q.upstreams {
		if u.limit.Open && u.limit.InFlight > 0 && !u.exclusive && (best == nil || u.inFlight < best.inFlight) {
			best = u
		}
	}
	return best
}

package dispatch

import (
	"time"

	"dandelionhill.dev/api"
)

// Next returns the requests that start now and those that left the queue
// because they can no longer finish in time. A hedge that expires is not
// reported, because its first copy may still run.
func (q *Queue) Next(now time.Duration) (starts []Start, expired []uint64) {
	b := batch{now: now}
	for _, u := range q.upstreams {
		if u.lane != nil && u.lane.queued > 0 {
			q.expire(u.lane, &b)
			q.serveOwn(u.lane, &b)
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

// tooLate reports whether it should give way to others: it is not likely to
// finish in time on u, and more requests wait than u has places.
func (q *Queue) tooLate(it *item, u *upstream, now time.Duration) bool {
	if it.req.Deadline == 0 || it.try || it.sparse || it.lane.queued <= u.free() {
		return false
	}
	slower := 1.0
	if s := it.lane.service; s.n > 0 && u.service.n > 0 {
		slower = max(1, u.service.mean/s.mean)
	}
	return it.req.Deadline < now+time.Duration(slower*float64(it.run.likely(q.cfg.StartMargin)))
}

// serveOwn starts what the upstream of a keyed lane has room for.
func (q *Queue) serveOwn(l *lane, b *batch) {
	u := l.up
	for u.free() > 0 {
		if l.solo != nil {
			if u.inFlight > 0 {
				return
			}
			q.start(l.solo, u, b)
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

// serveShared starts what the upstreams have room for, on the one with the
// lowest share in flight. Hedges get places that no first copy waits for.
func (q *Queue) serveShared(b *batch) {
	l := q.shared
	for {
		q.serveSharedSolo(l, b)
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
		case l.solo != nil:
			// One upstream at a time is emptied for solo runs.
			l.blocked.pushBack(&it.flow.blocked)
			q.refresh(it.flow)
		default:
			q.reserve(it, q.emptiest())
		}
	}
}

// serveSharedSolo starts the waiting solo request if its upstream is empty, and
// looks for another upstream if that one has closed.
func (q *Queue) serveSharedSolo(l *lane, b *batch) {
	if l.solo == nil {
		return
	}
	if l.soloUp == nil || !l.soloUp.limit.Open || l.soloUp.limit.InFlight <= 0 {
		l.soloUp = q.emptiest()
	}
	if l.soloUp != nil && l.soloUp.inFlight == 0 {
		q.start(l.solo, l.soloUp, b)
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

// reserve takes it off its flow to run alone on u when u is empty.
func (q *Queue) reserve(it *item, u *upstream) {
	it.inFlow.drop()
	it.lane.solo, it.lane.soloUp = it, u
	q.refresh(it.flow)
}

// endSolo gives up the reservation of l and lets blocked flows take turns again.
func (q *Queue) endSolo(l *lane) {
	l.solo, l.soloUp = nil, nil
	for n := l.blocked.first; n != nil; n = l.blocked.first {
		n.drop()
		q.refresh(n.value)
	}
}

// start moves it from the queue to u.
func (q *Queue) start(it *item, u *upstream, b *batch) {
	u.inFlight++
	u.solo = u.solo || it.req.Exclusive
	if it.key != nil {
		it.key.running++
		if it.key.rng != nil {
			it.key.rng.running++
		}
	}
	if it.time != nil {
		*it.time += it.run.mean
	}
	q.detach(it)
	it.lane.tries = min(maxTries, it.lane.tries+1)
	if it.key != nil && q.cfg.KeyInFlight > 0 {
		q.refreshKey(it.key)
	}
	q.running[copyID{it.req.ID, it.req.Hedge}] = run{up: u, lane: it.lane, key: it.key, solo: it.req.Exclusive, keyHash: it.keyHash, callerHash: it.callerHash, time: it.time, charged: it.run.mean}
	b.starts = append(b.starts, Start{ID: it.req.ID, Upstream: u.id, Exclusive: it.req.Exclusive, Hedge: it.req.Hedge})
}

// leastLoaded returns the open upstream with the lowest share in flight after
// one more start, or nil. Ties go round, so that light load is spread too.
func (q *Queue) leastLoaded(avoid api.UpstreamID) *upstream {
	var best *upstream
	var bestShare float64
	q.turn++
	for i := range q.upstreams {
		u := q.upstreams[(i+q.turn)%len(q.upstreams)]
		if u.free() == 0 || u.id == avoid || u == q.shared.soloUp {
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
		if u.limit.Open && u.limit.InFlight > 0 && !u.solo && (best == nil || u.inFlight < best.inFlight) {
			best = u
		}
	}
	return best
}

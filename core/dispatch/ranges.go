package dispatch

import "dandelionhill.dev/api"

// rangeState is the state of a range that is held or has requests queued or running.
type rangeState struct {
	number  int
	held    bool
	keys    ring[*key]
	running int
}

func (q *Queue) rangeOf(number int) *rangeState {
	r := q.ranges[number]
	if r == nil {
		r = &rangeState{number: number}
		q.ranges[number] = r
	}
	return r
}

func (q *Queue) pruneRange(r *rangeState) {
	if !r.held && r.keys.n == 0 && r.running == 0 {
		delete(q.ranges, r.number)
	}
}

// HoldRange keeps the keyed requests of a range queued while the range moves.
func (q *Queue) HoldRange(number int) {
	r := q.rangeOf(number)
	r.held = true
	for n := r.keys.first; n != nil; n = n.next {
		l := n.value.lane
		if l.exclusive != nil && l.exclusive.key == n.value {
			it := l.exclusive
			it.flow.items.pushFront(&it.inFlow)
			q.endExclusive(l)
		}
		q.refreshKey(n.value)
	}
}

// ReleaseRange ends a hold. The queued requests of the range move to owner, unless
// that is empty, and may start again.
func (q *Queue) ReleaseRange(number int, owner api.UpstreamID) {
	r := q.ranges[number]
	if r == nil || !r.held {
		return
	}
	var moving []*item
	for n := r.keys.first; n != nil; n = n.next {
		k := n.value
		if owner == "" || k.lane.up.id == owner {
			continue
		}
		for f := k.flows.first; f != nil; f = f.next {
			for it := f.value.items.first; it != nil; it = it.next {
				moving = append(moving, it.value)
			}
		}
	}
	for _, it := range moving {
		q.move(it, owner)
	}
	r.held = false
	for n := r.keys.first; n != nil; n = n.next {
		q.refreshKey(n.value)
	}
	q.pruneRange(r)
}

// RangeInFlight returns the number of requests of a range in flight. The range
// may change its owner when there are none.
func (q *Queue) RangeInFlight(number int) int {
	if r := q.ranges[number]; r != nil {
		return r.running
	}
	return 0
}

// Reassign moves a queued request to another upstream. The queue length does
// not apply: the request has been accepted already.
func (q *Queue) Reassign(id uint64, up api.UpstreamID) {
	if it := q.queued[id]; it != nil {
		q.move(it, up)
	}
}

// ChangeRange moves a queued request to another range, whose owner is up, and to
// the end of its flow there. It does nothing if the request is not queued.
func (q *Queue) ChangeRange(id uint64, number int, up api.UpstreamID) {
	it := q.queued[id]
	if it == nil {
		return
	}
	q.detach(it)
	it.req.Range, it.req.Upstream = number, up
	it.inFlow.value = it
	q.attach(q.laneOf(up), it)
}

func (q *Queue) move(it *item, up api.UpstreamID) {
	q.detach(it)
	it.req.Upstream = up
	it.inFlow.value = it
	q.attach(q.laneOf(up), it)
}

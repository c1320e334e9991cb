package dispatch

import "dandelionhill.dev/api"

// rangeState is a range with a hold, or with requests queued or running.
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

func (q *Queue) tidyRange(r *rangeState) {
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
		if l.solo != nil && l.solo.key == n.value {
			it := l.solo
			it.flow.items.pushFront(&it.inFlow)
			q.endSolo(l)
		}
		q.refreshKey(n.value)
	}
}

// ReleaseRange ends a hold. The requests of the range may start again, on owner
// unless that is empty.
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
	q.tidyRange(r)
}

// RangeInFlight returns the number of requests of a range in flight. A range
// may change its owner when it is 0.
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

// ChangeRange puts a queued request under another range, whose owner is up, at the
// end of its flow. It does nothing if the request is not queued.
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

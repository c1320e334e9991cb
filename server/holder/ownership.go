package holder

import (
	"iter"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config"
)

// rangeState is the ownership of one range.
type rangeState struct {
	owner api.UpstreamID // empty if nobody owns the range
	// to is where a planned move takes the range; empty if it stays. The owner
	// gets no new work for the range meanwhile.
	to api.UpstreamID
	// assignment is the number of the assignment that made owner the owner. The
	// owner is granted the range once that assignment is safe.
	assignment uint64
	// change is the owner's change of ranges that contains this range, and
	// revoke the one that no longer does.
	change, revoke uint64
	revoked        bool
	held           bool // its requests wait in the queue
	// busyUntil is until when a run whose end was not seen may go on.
	busyUntil time.Duration
	work      float64   // recent requests, decaying
	hot       *hotRange // set if the range is that of a hot key
}

// ownership holds the ranges of a shard and which assignments are safe.
type ownership struct {
	first  int
	ranges []rangeState
	number uint64      // of the newest assignment
	safe   uint64      // the newest assignment that survives the loss of this VM
	hot    []*hotRange // ranges of hot keys, by number
	byKey  map[string]*hotRange
	// hotChanged means that the assignment changed by a hot key and has not been reported.
	hotChanged bool
}

func newOwnership(span config.Span) *ownership {
	o := &ownership{first: span.First, ranges: make([]rangeState, span.Last-span.First+1), byKey: map[string]*hotRange{}}
	return o
}

// all iterates over the ranges with their numbers, those of hot keys last.
func (o *ownership) all() iter.Seq2[int, *rangeState] {
	return func(yield func(int, *rangeState) bool) {
		for i := range o.ranges {
			if !yield(o.first+i, &o.ranges[i]) {
				return
			}
		}
		for _, h := range o.hot {
			if !yield(h.number, &h.state) {
				return
			}
		}
	}
}

// at returns the state of a range, or nil if the shard does not have it.
func (o *ownership) at(rng int) *rangeState {
	if r := o.ordinary(rng); r != nil {
		return r
	}
	for _, h := range o.hot {
		if h.number == rng {
			return &h.state
		}
	}
	return nil
}

// ordinary returns the state of an ordinary range, or nil.
func (o *ownership) ordinary(rng int) *rangeState {
	i := rng - o.first
	if i < 0 || i >= len(o.ranges) {
		return nil
	}
	return &o.ranges[i]
}

// settled notes that nothing runs on an upstream any longer.
func (o *ownership) settled(up api.UpstreamID) {
	for _, r := range o.all() {
		if r.owner == up {
			r.busyUntil = 0
		}
	}
}

// grantable lists the ranges that an upstream may be granted now.
func (o *ownership) grantable(up api.UpstreamID) []int {
	var out []int
	for number, r := range o.all() {
		if r.owner == up && !r.revoked && r.assignment <= o.safe {
			out = append(out, number)
		}
	}
	return out
}

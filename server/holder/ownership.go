package holder

import (
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
	work      float64 // recent requests, decaying
}

// ownership holds the ranges of a shard and which assignments are safe.
type ownership struct {
	first  int
	ranges []rangeState
	number uint64 // of the newest assignment
	safe   uint64 // the newest assignment that survives the loss of this VM
}

func newOwnership(span config.Span) *ownership {
	o := &ownership{first: span.First, ranges: make([]rangeState, span.Last-span.First+1)}
	return o
}

// at returns the state of a range, or nil if the shard does not have it.
func (o *ownership) at(rng int) *rangeState {
	i := rng - o.first
	if i < 0 || i >= len(o.ranges) {
		return nil
	}
	return &o.ranges[i]
}

// settled notes that nothing runs on an upstream any longer.
func (o *ownership) settled(up api.UpstreamID) {
	for i := range o.ranges {
		if o.ranges[i].owner == up {
			o.ranges[i].busyUntil = 0
		}
	}
}

// grantable lists the ranges that an upstream may be granted now.
func (o *ownership) grantable(up api.UpstreamID) []int {
	var out []int
	for i := range o.ranges {
		r := &o.ranges[i]
		if r.owner == up && !r.revoked && r.assignment <= o.safe {
			out = append(out, o.first+i)
		}
	}
	return out
}

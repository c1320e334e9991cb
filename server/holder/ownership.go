package holder

import (
	"iter"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config"
)

// rangeState is the ownership of one range.
type rangeState struct {
	owner api.UpstreamID // empty if the range has no owner
	// to is the target of a planned move; empty if there is none. During a move the
	// owner gets no new requests for the range.
	to api.UpstreamID
	// assignment is the number of the assignment that set owner. The owner is
	// granted the range once that assignment is replicated.
	assignment uint64
	// grantSeq is the change of the owner's ranges that added this range, and
	// revokeSeq the one that removed it (see upstream.rangesSeq).
	grantSeq, revokeSeq uint64
	revoked             bool
	held                bool // its requests are kept in the queue
	// busyUntil is the latest end of a run whose end was not observed.
	busyUntil time.Duration
	load      float64   // recent requests, decaying
	hot       *hotRange // set for the range of a hot key
}

// ownership holds the ranges of a shard and the state of its assignments.
type ownership struct {
	first                int
	ranges               []rangeState
	lastAssignment       uint64      // number of the newest assignment
	replicatedAssignment uint64      // the newest assignment that a witness has stored
	hot                  []*hotRange // ranges of hot keys, by number
	hotByKey             map[string]*hotRange
	// hotChanged is set if a hot key changed the assignment since the last report.
	hotChanged bool
}

func newOwnership(span config.Span) *ownership {
	o := &ownership{first: span.First, ranges: make([]rangeState, span.Last-span.First+1), hotByKey: map[string]*hotRange{}}
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
func (o *ownership) at(rangeNum int) *rangeState {
	if r := o.ordinary(rangeNum); r != nil {
		return r
	}
	for _, h := range o.hot {
		if h.number == rangeNum {
			return &h.state
		}
	}
	return nil
}

// ordinary returns the state of an ordinary range, or nil.
func (o *ownership) ordinary(rangeNum int) *rangeState {
	i := rangeNum - o.first
	if i < 0 || i >= len(o.ranges) {
		return nil
	}
	return &o.ranges[i]
}

// clearBusy records that nothing runs on an upstream any longer.
func (o *ownership) clearBusy(up api.UpstreamID) {
	for _, r := range o.all() {
		if r.owner == up {
			r.busyUntil = 0
		}
	}
}

// grantable returns the ranges that an upstream may be granted now.
func (o *ownership) grantable(up api.UpstreamID) []int {
	var out []int
	for number, r := range o.all() {
		if r.owner == up && !r.revoked && r.assignment <= o.replicatedAssignment {
			out = append(out, number)
		}
	}
	return out
}

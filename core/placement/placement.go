// Package placement decides which upstream owns which range of a shard, how a
// service is divided into shards, which entry VMs are members of a shard, and
// which hot keys get a range of their own.
//
// All decisions are deterministic: equal calls in the same order give equal
// results, regardless of the order of slices and maps in the input.
package placement

import (
	"time"

	"dandelionhill.dev/api"
)

// UpstreamState says whether an upstream may own ranges.
type UpstreamState string

const (
	// Active upstreams own and receive ranges.
	Active UpstreamState = "active"
	// Draining upstreams hand over their ranges before they stop.
	Draining UpstreamState = "draining"
	// Out upstreams belong to a failure domain that operators have taken out.
	Out UpstreamState = "out"
	// Lost upstreams do not respond.
	Lost UpstreamState = "lost"
	// Cold upstreams keep the ranges they own and receive more only within
	// their capacity, which is the current limit of their slow start.
	Cold UpstreamState = "cold"
)

// mayOwn reports whether an upstream in this state may own ranges.
func (s UpstreamState) mayOwn() bool { return s == Active || s == Cold }

// Upstream is a possible owner of ranges. Capacity is in the same unit as the
// load of ranges; an upstream without capacity receives no ranges.
type Upstream struct {
	ID       api.UpstreamID
	Domain   api.FailureDomain
	Capacity float64
	State    UpstreamState
}

// Input is the input of a plan.
type Input struct {
	Upstreams []Upstream
	// Owners has an entry for every range of the shard, with an empty owner if
	// there is none. A range that is being moved is listed with its destination,
	// so that it is not planned again.
	Owners map[int]api.UpstreamID
	// Load is the measured demand of each range. It should not depend on how fast
	// the owner responds (for example arrivals times the usual service time), so
	// that stragglers do not affect the balance.
	Load map[int]float64
	// Pinned upstreams keep the ranges they own in any state.
	Pinned map[api.UpstreamID]bool
}

// Policy is the part of a preset that applies to placement.
type Policy struct {
	// RebalanceAbove is the ratio of an upstream's load to the mean, both relative
	// to capacity, above which its ranges are moved to restore balance.
	RebalanceAbove float64
	// RebalanceAfter is how long the excess must last before ranges move.
	RebalanceAfter time.Duration
	// MovesPerSecond limits the moves that only restore balance. There are none
	// if it is not positive.
	MovesPerSecond float64
}

// DefaultPolicy returns the thresholds of section 6 of the design page, with a
// budget of ten balance moves per second.
func DefaultPolicy() Policy {
	return Policy{RebalanceAbove: 1.15, RebalanceAfter: 10 * time.Second, MovesPerSecond: 10}
}

// Move moves a range to another upstream. A forced move is urgent because the
// current owner may not own the range; From is empty if there is no owner.
type Move struct {
	Range    int
	From, To api.UpstreamID
	Forced   bool
}

package gateway

import (
	"time"
)

const (
	// maxRest bounds the time for which an upstream gets no requests because it asks for it.
	maxRest = 5 * time.Minute
	// restMargin is added to that time, for clocks that differ.
	restMargin = 20 * time.Millisecond
)

// rest records that the upstream wants no requests from this VM for a time.
func (u *upstream) rest(d time.Duration) {
	until := int64(bootTime() + min(d, maxRest) + restMargin)
	for last := u.restUntil.Load(); until > last && !u.restUntil.CompareAndSwap(last, until); last = u.restUntil.Load() {
	}
}

// restRemaining returns for how much longer the upstream wants no requests from this VM.
func (u *upstream) restRemaining() time.Duration {
	return max(time.Duration(u.restUntil.Load())-bootTime(), 0)
}

package gateway

import "time"

const (
	// maxRest bounds the time for which an upstream gets no requests because it asks for it.
	maxRest = 5 * time.Minute
	// restMargin is added to that time, for clocks that differ.
	restMargin = 20 * time.Millisecond
	// maxRestsSent bounds the upstreams in a report.
	maxRestsSent = 64
	// restingCapacity is the share of its capacity for which an upstream that asks for rest
	// keeps keys. If it asks for more than maxOwnerWait, which requests cannot wait out, those are
	// keys without requests.
	restingCapacity = 0.1
)

// rest records that the upstream wants no requests from this VM for a time.
func (u *upstream) rest(d time.Duration) {
	until := int64(bootTime() + min(d, maxRest) + restMargin)
	for last := u.restUntil.Load(); until > last && !u.restUntil.CompareAndSwap(last, until); last = u.restUntil.Load() {
	}
}

// rests returns upstreams that want no requests from this VM, at most maxRestsSent.
func (v *view) rests() (rests []upstreamRest) {
	for _, u := range v.upstreams {
		if remaining := u.restRemaining(); remaining > 0 && len(rests) < maxRestsSent {
			rests = append(rests, upstreamRest{u.owner(), remaining.Milliseconds()})
		}
	}
	return rests
}

// restRemaining returns for how much longer the upstream wants no requests from this VM.
func (u *upstream) restRemaining() time.Duration {
	return max(time.Duration(u.restUntil.Load())-bootTime(), 0)
}

package ratelimit

import (
	"math"
	"time"
)

// StatedLimit is the limit that an upstream states in its responses, as far as known. The
// zero value is that of an upstream that has stated none. Times are on any one clock.
type StatedLimit struct {
	// Rate is the limit in requests per second for all VMs together, 0 if there is none.
	Rate float64
	// At is when the limit was stated or, without a limit, when a request was sent whose
	// response stated none.
	At time.Duration
}

// rateTolerance is the relative difference up to which two limits count as the same: a limit
// that follows the load of the upstream differs a little in each response.
const rateTolerance = 0.1

// SameRate reports whether two limits need not be told apart.
func SameRate(a, b float64) bool { return math.Abs(a-b) <= rateTolerance*min(a, b) }

// Observe applies a response to a request. rate is 0 if the response states no limit. It
// reports whether the limit has changed.
func (l *StatedLimit) Observe(sent, received time.Duration, rate float64) bool {
	if rate > 0 {
		return l.Merge(StatedLimit{Rate: rate, At: received})
	}
	if l.Rate == 0 {
		return false
	}
	return l.Merge(StatedLimit{At: sent})
}

// Merge applies what another VM knows, and reports whether the limit has changed. A response
// without a limit ends one only if its request was sent after the limit was stated:
// otherwise it may have been generated before.
func (l *StatedLimit) Merge(other StatedLimit) bool {
	if other.At < l.At {
		return false
	}
	l.At = other.At
	if SameRate(other.Rate, l.Rate) {
		return false
	}
	l.Rate = other.Rate
	return true
}

package routing

import (
	"time"

	"dandelionhill.dev/api"
)

// Upstream is a registered process of a service.
type Upstream struct {
	ID      api.UpstreamID
	Service api.ServiceName
	Address string
	Domain  api.FailureDomain
	// Incarnation identifies one run of the process. A process that starts again under
	// its former ID has another incarnation and owns no keys.
	Incarnation int64
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining upstreams are about to stop and get no new work.
	Draining bool
	// ColdRemainingMs is how much longer it is cold, counted from its report.
	ColdRemainingMs int64
}

// coldTolerance bounds the difference from the expected remaining cold time within which a
// registration says nothing new.
const coldTolerance = 250 * time.Millisecond

// Continues reports whether a registration says no more than an earlier one does, some time
// later: a cold upstream registers again and again with the time that is left.
func (u Upstream) Continues(earlier Upstream, elapsed time.Duration) bool {
	expected := max(time.Duration(earlier.ColdRemainingMs)*time.Millisecond-elapsed, 0)
	difference := (time.Duration(u.ColdRemainingMs)*time.Millisecond - expected).Abs()
	earlier.ColdRemainingMs = u.ColdRemainingMs
	return u == earlier && difference <= coldTolerance
}

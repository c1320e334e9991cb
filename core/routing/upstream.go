package routing

import "dandelionhill.dev/api"

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

package routing

import "dandelionhill.dev/api"

// Upstream is one registered process of a service.
type Upstream struct {
	ID      api.UpstreamID
	Service api.ServiceName
	Address string
	Domain  api.FailureDomain
	// Incarnation identifies one run of the process. A process that starts again under
	// its former ID has another life and holds no keys.
	Incarnation int64
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining upstreams leave soon and get no new work.
	Draining bool
	// ColdRemainingMs is how much longer it is cold, counted from the report.
	ColdRemainingMs int64
}

package hedge

import (
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/admission"
)

// Skip says why a request is not hedged.
type Skip string

// The reasons. None means that it is.
const (
	None        Skip = ""
	Unmeasured  Skip = "unmeasured"   // too few responses of the route
	NoRepeat    Skip = "no_repeat"    // the request may run once only
	Keyed       Skip = "keyed"        // only the owner of a key may run its requests
	Attempts    Skip = "attempts"     // the route allows no further run
	Suspect     Skip = "suspect"      // the request may have crashed an upstream
	Stopping    Skip = "stopping"     // the VM stops
	Isolated    Skip = "isolated"     // the VM reaches no upstream
	Changed     Skip = "changed"      // the configuration has changed since the first send
	Time        Skip = "time"         // the remaining time is shorter than the median
	NoSlot      Skip = "no_slot"      // no other upstream is known to have a free slot
	Budget      Skip = "budget"       // the share of the service is spent
	RetryBudget Skip = "retry_budget" // the retry budget of the service is spent
)

// MaxShare is the largest share of extra sends: more of them than that, and all retries
// would have to be hedges.
const MaxShare = 0.2

// Request describes a request that is sent to its first upstream.
type Request struct {
	Service api.ServiceName
	Route   string
	// Repeatable and Keyed say whether the request may run more than once, and whether only
	// the owner of its key may run it.
	Repeatable, Keyed bool
	// MayHaveRun counts the earlier sends after which it may have run, MaxRuns bounds the runs.
	MayHaveRun, MaxRuns int
	// UntilTarget is the time until the response loses part of its value, 0 if there is no such
	// time or it has passed. Remaining is the time until the deadline.
	UntilTarget, Remaining time.Duration
}

// Policy decides on the hedges of one VM. The latency distribution is that of a route, the
// budget that of a service. It is not safe for concurrent use.
type Policy struct {
	cfg      Config
	routes   map[string]*Controller
	services map[api.ServiceName]*Controller
}

// NewPolicy returns a policy without observations and budget. Fields of cfg are those of
// NewController.
func NewPolicy(cfg Config) *Policy {
	return &Policy{cfg: cfg, routes: make(map[string]*Controller), services: make(map[api.ServiceName]*Controller)}
}

func controller[K comparable](p *Policy, of map[K]*Controller, key K) *Controller {
	c, ok := of[key]
	if !ok {
		c = NewController(p.cfg)
		of[key] = c
	}
	return c
}

// Count adds the budget for one request of a service.
func (p *Policy) Count(service api.ServiceName) { controller(p, p.services, service).Request() }

// Observe records the time of a request of a route at its first upstream, see Controller.Observe.
func (p *Policy) Observe(route string, took time.Duration) {
	controller(p, p.routes, route).Observe(took)
}

// Plan returns after which time at the first upstream a request is hedged, or why it is not. With
// Keyed and Time, after is when it would have been.
func (p *Policy) Plan(r Request) (after time.Duration, skip Skip) {
	if !r.Repeatable {
		return 0, NoRepeat
	}
	c := controller(p, p.routes, r.Route)
	after, ok := c.Delay()
	if !ok {
		return 0, Unmeasured
	}
	// The last moment from which half of the second sends meet the target. Before the median time
	// more first sends are about to end than not, so a hedge then is mostly wasted.
	if latest := r.UntilTarget - c.median; latest >= c.median {
		after = min(after, latest)
	}
	switch {
	case r.Keyed:
		return after, Keyed
	case r.MayHaveRun+1 >= r.MaxRuns:
		return after, Attempts
	case r.Remaining-after < c.median:
		return after, Time
	}
	return after, None
}

// Preview returns what Plan would, and whether the budget of the service allows a hedge. Nothing
// changes: copies of the controllers decide.
func (p *Policy) Preview(r Request) (after time.Duration, skip Skip, budget bool) {
	preview := NewPolicy(p.cfg)
	if c := p.routes[r.Route]; c != nil {
		route := *c
		preview.routes[r.Route] = &route
	}
	if c := p.services[r.Service]; c != nil {
		service := *c
		preview.services[r.Service] = &service
	}
	preview.Count(r.Service)
	after, skip = preview.Plan(r)
	return after, skip, preview.Take(r.Service)
}

// InTime decides again, when the hedge is due, whether the remaining time is long enough.
func (p *Policy) InTime(route string, remaining time.Duration) bool {
	c := controller(p, p.routes, route)
	_, ok := c.Delay()
	return ok && remaining >= c.median
}

// Take takes the budget of one hedge of a service.
func (p *Policy) Take(service api.ServiceName) bool {
	return controller(p, p.services, service).Allow(0)
}

// Refund returns the budget of a hedge that was not sent.
func (p *Policy) Refund(service api.ServiceName) { controller(p, p.services, service).Refund() }

// FreshState is how long a load that an upstream has reported shows that a slot is free.
const FreshState = 300 * time.Millisecond

// minSpare is the share of the upstreams with a known state that must have a free slot. Without it
// 0.03 of the requests are still hedged at 0.95 of the capacity, where hedges lengthen the median
// and the 95th percentile; see sim_test.go.
const minSpare = 1.0 / 3

// Spare counts the upstreams of a service with a free slot. The zero value has none.
type Spare struct{ known, free int }

// Add adds an upstream, by the load that it reported a time ago and the number of requests of this
// VM that are there, and reports whether it would run another request at once. Without a recent
// report the requests of other VMs are not known, so that no slot counts as free.
func (s *Spare) Add(reported admission.State, age time.Duration, own int) bool {
	if age >= FreshState || reported.Slots <= 0 {
		return false
	}
	s.known++
	if !reported.HasFreeSlot() || own >= reported.Slots {
		return false
	}
	s.free++
	return true
}

// Enough reports whether there is capacity to spare for hedges.
func (s *Spare) Enough() bool { return s.free > 0 && float64(s.free) >= minSpare*float64(s.known) }

package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/admission"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/selection"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

const (
	// loadAge is how long a reported load is used.
	loadAge = 300 * time.Millisecond
	// avoidAfterFailure is how long other upstreams are preferred after a failure.
	avoidAfterFailure = time.Second
	// latencyWeight is the weight of one response in the average latency.
	latencyWeight = 0.1
)

// upstream is the state of one incarnation of an upstream on this VM.
type upstream struct {
	id           api.UpstreamID
	pool         *upstreamconn.Pool
	registration atomic.Pointer[registration]
	limiter      *limiter
	// leavingSince is when this VM learned that the upstream is about to leave, in nanoseconds of
	// bootTime; 0 if it has not.
	leavingSince atomic.Int64
	// restUntil is until when the upstream wants no requests from this VM, in nanoseconds of
	// bootTime.
	restUntil atomic.Int64
	// statedCold is until when the upstream is cold by its own word, usedAt when this VM last sent it
	// a request; both in nanoseconds of bootTime. checking means that a health check is under way.
	statedCold, usedAt atomic.Int64
	checking           atomic.Bool
	// calls says how calls to it are sent.
	calls callStyle
	// limit is the number of concurrent requests that this VM may send.
	limit atomic.Int32
	// senders is the number of VMs that share the upstream under backpressure, 0 without it.
	senders atomic.Int32

	mu sync.Mutex
	// latency is the average latency in seconds, 0 if there is no response yet.
	latency    float64
	load       fleet.Load
	loadAt     time.Time
	avoidUntil time.Time
	// failureRate is the moving average share of sends that failed; shed requests are not
	// counted.
	failureRate float64
	// silence bounds the time without a response.
	silence  admission.Silence
	coldSlot int64 // last time slot of the shared clock in which a request was sent
}

// owner returns the identity of the incarnation.
func (u *upstream) owner() ownership.Owner {
	return ownership.Owner{UpstreamID: u.id, Incarnation: u.registration.Load().Incarnation}
}

// newUpstream returns the state of an upstream. permitsWanted is called when a request begins
// to wait for a permit.
func newUpstream(reg *registration, limits upstreamconn.Limits, network upstreamconn.Network, permitsWanted func()) *upstream {
	u := &upstream{id: reg.ID, pool: upstreamconn.New(reg.Address, limits, network), coldSlot: -1}
	u.limit.Store(1)
	u.limiter = newLimiter(&u.limit, permitsWanted)
	u.limiter.senders, u.limiter.slots = &u.senders, reg.Slots
	u.registration.Store(reg)
	return u
}

// recordResponse records a response and its latency.
func (u *upstream) recordResponse(now time.Time, took time.Duration, load fleet.Load, failed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.latency == 0 {
		u.latency = took.Seconds()
	}
	u.latency += latencyWeight * (took.Seconds() - u.latency)
	if load.Slots > 0 {
		u.load, u.loadAt = load, now
	}
	result := 0.0
	if failed {
		result = 1
	}
	u.failureRate += latencyWeight * (result - u.failureRate)
}

// recordOverdue records that a send ended without a response after a time, because another one won.
// Otherwise the average of a slow upstream would come from its fast responses alone.
func (u *upstream) recordOverdue(took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.latency += latencyWeight * max(took.Seconds()-u.latency, 0)
}

// recordFailure records that no complete response arrived.
func (u *upstream) recordFailure(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.avoidUntil = now.Add(avoidAfterFailure)
	u.failureRate += latencyWeight * (1 - u.failureRate)
}

// candidate describes the upstream for the choice among those of its service. expected
// stands for an average latency that is not known yet.
func (u *upstream) candidate(now time.Time, expected float64, domain api.FailureDomain) selection.Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	reg := u.registration.Load()
	c := selection.Candidate{
		Latency: u.latency, Ahead: float64(u.limiter.load()), Slots: reg.Slots, FailureRate: u.failureRate,
		Avoid: now.Before(u.avoidUntil) || u.limiter.pause() > 0, Local: reg.Domain == domain,
	}
	if c.Latency == 0 {
		c.Latency = expected
	}
	if age := now.Sub(u.loadAt); age < loadAge && u.load.Slots > 0 {
		fresh := 1 - age.Seconds()/loadAge.Seconds()
		c.Ahead = max(c.Ahead, fresh*float64(u.load.Running+u.load.Waiting))
	}
	return c
}

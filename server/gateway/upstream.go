package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"dandelionhill.dev/api"
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
	// limit is the number of concurrent requests that this VM may send.
	limit atomic.Int32

	mu sync.Mutex
	// latency is the average latency in seconds, 0 if there is no response yet.
	latency    float64
	load       fleet.Load
	loadAt     time.Time
	avoidUntil time.Time
	// failureRate is the moving average share of sends that failed; shed requests are not
	// counted.
	failureRate float64
	coldSlot    int64 // last time slot of the shared clock in which a request was sent
}

func newUpstream(reg *registration, limits upstreamconn.Limits) *upstream {
	u := &upstream{id: reg.ID, pool: upstreamconn.New(reg.Address, limits), coldSlot: -1}
	u.limit.Store(1)
	u.limiter = newLimiter(&u.limit)
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

// recordFailure records that no complete response arrived.
func (u *upstream) recordFailure(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.avoidUntil = now.Add(avoidAfterFailure)
	u.failureRate += latencyWeight * (1 - u.failureRate)
}

// cost estimates the latency of a request here, for comparison with the other upstreams of
// the service: the average latency times the queue ahead, raised after failures and sheds.
// expected stands for an average latency that is not known yet.
func (u *upstream) cost(now time.Time, expected float64) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	latency := u.latency
	if latency == 0 {
		latency = expected
	}
	slots := max(u.registration.Load().Slots, 1)
	ahead := float64(u.limiter.load())
	if age := now.Sub(u.loadAt); age < loadAge && u.load.Slots > 0 {
		fresh := 1 - age.Seconds()/loadAge.Seconds()
		ahead = max(ahead, fresh*float64(u.load.Running+u.load.Waiting))
	}
	cost := latency * (1 + ahead/float64(slots)) * (1 + 4*u.failureRate)
	if now.Before(u.avoidUntil) {
		cost *= 8
	}
	return cost
}

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
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 64 << 20
	// loadAge is how long a reported load says something about the present.
	loadAge = 300 * time.Millisecond
	// avoidAfterFailure is how long other upstreams are preferred after a failure.
	avoidAfterFailure = time.Second
	// latencyWeight is the weight of one answer in the average latency.
	latencyWeight = 0.1
)

// upstream is one life of an upstream as this VM uses it.
type upstream struct {
	id    api.UpstreamID
	pool  *upstreamconn.Pool
	entry atomic.Pointer[registration]
	gate  *gate
	// limit is the number of places of this VM.
	limit atomic.Int32

	mu sync.Mutex
	// latency is the average time of an answer in seconds, 0 if none came yet.
	latency    float64
	load       fleet.Load
	loadAt     time.Time
	avoidUntil time.Time
	// failures is the share of the last answers that were failures.
	failures float64
	coldSlot int64 // the last slot of the shared clock in which a request was sent
}

func newUpstream(entry *registration) *upstream {
	u := &upstream{id: entry.ID, pool: upstreamconn.New(entry.Address, maxAnswerBytes), coldSlot: -1}
	u.limit.Store(1)
	u.gate = newGate(&u.limit)
	u.entry.Store(entry)
	return u
}

// answered records an answer that took some time.
func (u *upstream) answered(now time.Time, took time.Duration, load fleet.Load, failed bool) {
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
	u.failures += latencyWeight * (result - u.failures)
}

// failed records that no whole answer came.
func (u *upstream) failed(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.avoidUntil = now.Add(avoidAfterFailure)
	u.failures += latencyWeight * (1 - u.failures)
}

// cost estimates how long a request would take here, relative to the upstreams
// of the service: the work ahead of it, at the upstream's usual pace.
func (u *upstream) cost(now time.Time, usual float64) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	latency := u.latency
	if latency == 0 {
		latency = usual
	}
	slots := max(u.entry.Load().Slots, 1)
	ahead := float64(u.gate.load())
	if age := now.Sub(u.loadAt); age < loadAge && u.load.Slots > 0 {
		fresh := 1 - age.Seconds()/loadAge.Seconds()
		ahead = max(ahead, fresh*float64(u.load.Running+u.load.Waiting))
	}
	cost := latency * (1 + ahead/float64(slots)) * (1 + 4*u.failures)
	if now.Before(u.avoidUntil) {
		cost *= 8
	}
	return cost
}

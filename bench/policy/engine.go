// Package policy measures the request policy of a shard in virtual time: a
// seeded event loop drives the production scheduler, ramp, deduplication table
// and crash evidence against a simple model of upstreams.
package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"dandelionhill.dev/core/eventqueue"
)

// engine runs events in order of time.
type engine struct {
	now    time.Duration
	events eventqueue.Queue
	rng    *rand.Rand
	// stopped ends run early.
	stopped bool
}

func newEngine(seed uint64) *engine {
	return &engine{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// after schedules do after a delay.
func (e *engine) after(delay time.Duration, do func()) {
	e.events.Add(e.now+max(delay, 0), do)
}

// run runs all events up to the given time, unless stopped is set.
func (e *engine) run(until time.Duration) {
	for !e.stopped && e.events.Due(until) {
		var do func()
		e.now, do = e.events.Next()
		do()
	}
	e.now = until
}

// every calls do as a Poisson process with the given rate per second, until the
// given time.
func (e *engine) every(rate float64, until time.Duration, do func()) {
	e.after(e.exponential(rate), func() {
		if e.now > until {
			return
		}
		do()
		e.every(rate, until, do)
	})
}

func (e *engine) exponential(rate float64) time.Duration {
	return time.Duration(e.rng.ExpFloat64() / rate * float64(time.Second))
}

// lognormal draws a log-normal duration with the given mean.
func (e *engine) lognormal(mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*e.rng.NormFloat64()-sigma*sigma/2))
}

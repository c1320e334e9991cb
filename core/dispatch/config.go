// Package dispatch queues the requests of one shard and decides which starts
// next on which upstream. Keys and callers take turns, so that one hot key or
// one caller cannot starve the rest, and requests that cannot finish in time
// are refused on arrival or dropped instead of started.
package dispatch

import (
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/defaults"
)

// Config holds the bounds of a Queue.
type Config struct {
	// QueueLength is the greatest number of queued requests per upstream.
	QueueLength int
	// KeyShare is the share of a queue that one key may fill.
	KeyShare float64
	// CallerShare is the share of a queue that one caller may fill.
	CallerShare float64
	// KeyInFlight is how many requests of one key may run at once; 0 is unlimited.
	KeyInFlight int
	// ServiceTime is the expected service time before any is observed.
	ServiceTime time.Duration
	// Smoothing is the weight of one observation in the service time.
	Smoothing float64
	// AdmitMargin is how many mean deviations over the mean service time a
	// request that has to queue must have left for its run.
	AdmitMargin float64
	// StartMargin is the same for a start while others wait.
	StartMargin float64
	// MinRetryAfter is the least delay that a refusal states.
	MinRetryAfter time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		QueueLength:   256,
		KeyShare:      0.5,
		CallerShare:   0.5,
		ServiceTime:   10 * time.Millisecond,
		Smoothing:     0.05,
		AdmitMargin:   3,
		StartMargin:   2,
		MinRetryAfter: 10 * time.Millisecond,
	}
}

func (c Config) withDefaults() Config {
	def := DefaultConfig()
	defaults.Positive(&c.QueueLength, def.QueueLength)
	if c.KeyShare <= 0 || c.KeyShare > 1 {
		c.KeyShare = def.KeyShare
	}
	if c.CallerShare <= 0 || c.CallerShare > 1 {
		c.CallerShare = def.CallerShare
	}
	defaults.Positive(&c.ServiceTime, def.ServiceTime)
	if c.Smoothing <= 0 || c.Smoothing > 1 {
		c.Smoothing = def.Smoothing
	}
	defaults.Positive(&c.AdmitMargin, def.AdmitMargin)
	defaults.Positive(&c.StartMargin, def.StartMargin)
	defaults.Positive(&c.MinRetryAfter, def.MinRetryAfter)
	return c
}

// Request is one request, or with Hedge a second copy of one that runs.
type Request struct {
	// ID is unique among the requests queued or running. A hedge has the ID of its first copy.
	ID uint64
	// Upstream is the owner of the key. It is empty for unkeyed services.
	Upstream api.UpstreamID
	// Key and Caller are the units of fairness. An empty key is no key.
	Key, Caller string
	// Range is the range of the key.
	Range int
	// Deadline is when the answer must be there; 0 is never.
	Deadline time.Duration
	// Waited marks a request that an entry kept until the shard had a holder.
	Waited bool
	// Exclusive asks for a run alone on its upstream.
	Exclusive bool
	// Hedge marks a second copy, which starts on another upstream than Avoid
	// and only when no first copy waits for the place.
	Hedge bool
	Avoid api.UpstreamID
}

// Limit is what an upstream may get now.
type Limit struct {
	Upstream api.UpstreamID
	// InFlight is the greatest number of requests in flight.
	InFlight int
	// Open allows starts.
	Open bool
	// Penalty multiplies the in-flight share that is compared between
	// upstreams; values up to 1 have no effect.
	Penalty float64
	// Cold makes refusals for lack of capacity say so.
	Cold bool
}

// Start tells the holder to send a request to an upstream.
type Start struct {
	ID        uint64
	Upstream  api.UpstreamID
	Exclusive bool
	Hedge     bool
}

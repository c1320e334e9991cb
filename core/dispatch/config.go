// Package dispatch queues the requests of one shard and decides which starts
// next on which upstream. It schedules keys and callers round-robin, so that one
// hot key or one caller cannot starve the rest, and refuses on arrival, or drops
// before the start, requests that cannot finish in time.
package dispatch

import (
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/defaults"
)

// Config configures a Queue.
type Config struct {
	// QueueLength is the maximum number of queued requests per upstream.
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
	// AdmitMargin is the number of mean deviations above the mean service time
	// that the deadline of a request that has to queue must leave for its run.
	AdmitMargin float64
	// StartMargin is the same for a start while other requests wait.
	StartMargin float64
	// MinRetryAfter is the minimum retry delay of a refusal.
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
	// Key and Caller are the units of fair scheduling. An unkeyed request has an empty key.
	Key, Caller string
	// Range is the range of the key.
	Range int
	// Deadline is when the response is due; 0 means no deadline.
	Deadline time.Duration
	// Waited marks a request that an entry VM kept until the shard had a holder.
	Waited bool
	// Exclusive requests run alone on their upstream.
	Exclusive bool
	// Hedge marks a second copy, which starts on another upstream than Avoid
	// and only in a slot that no first copy waits for.
	Hedge bool
	Avoid api.UpstreamID
}

// Limit is the current limit of an upstream.
type Limit struct {
	Upstream api.UpstreamID
	// InFlight is the maximum number of requests in flight.
	InFlight int
	// Open allows starts.
	Open bool
	// Penalty multiplies the in-flight share by which upstreams are compared;
	// values up to 1 have no effect.
	Penalty float64
	// Cold makes refusals for lack of capacity have the kind api.Cold.
	Cold bool
}

// Start tells the holder to send a request to an upstream.
type Start struct {
	ID        uint64
	Upstream  api.UpstreamID
	Exclusive bool
	Hedge     bool
}

// Package retry decides whether and when a request is retried. Requests that were
// not run and idempotent requests are retried, within a budget that is a share of
// the requests and within the caller's deadline.
package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"dandelionhill.dev/api"
)

// Layer is the part of the router that retries.
type Layer string

const (
	// Holder retries calls to upstreams.
	Holder Layer = "holder"
	// Entry retries forwarding after not_holder, and nothing else.
	Entry Layer = "entry"
)

// Reason says why a request is or is not retried. Reasons label counters.
type Reason string

// The reasons.
const (
	Retried       Reason = "retried"        // the request is retried
	WasAnswered   Reason = "answered"       // there is nothing to retry
	MayHaveRun    Reason = "may_have_run"   // unknown outcome of a request that is not idempotent
	KindIsFinal   Reason = "kind_is_final"  // a retry would be refused as well
	OtherLayer    Reason = "other_layer"    // another layer retries this kind
	AttemptsSpent Reason = "attempts_spent" // MaxAttempts is reached
	NoTime        Reason = "no_time"        // the delay leaves less than MinRun until the caller's deadline
	NoBudget      Reason = "no_budget"      // too many retries for the number of requests
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{Retried, WasAnswered, MayHaveRun, KindIsFinal, OtherLayer, AttemptsSpent, NoTime, NoBudget}
}

// Config configures a Budget.
type Config struct {
	Layer       Layer
	Share       float64       // retries per request
	Burst       float64       // maximum of the saved budget
	MaxAttempts int           // calls per request, including the first
	BaseDelay   time.Duration // upper bound of the first backoff
	MaxDelay    time.Duration // upper bound of every backoff
	MinRun      time.Duration // minimum time left after the delay
}

// DefaultConfig returns the defaults of a layer. Both layers retry at most twice.
func DefaultConfig(layer Layer) Config {
	return Config{
		Layer: layer, Share: 0.1, Burst: 10, MaxAttempts: 3,
		BaseDelay: 5 * time.Millisecond, MaxDelay: 200 * time.Millisecond, MinRun: time.Millisecond,
	}
}

// Attempt describes a call that has ended.
type Attempt struct {
	Outcome    api.Outcome
	Kind       api.Kind // of the refusal; empty if the outcome is answered
	Idempotent bool
	Number     int           // calls made for this request so far, from 1
	Remaining  time.Duration // until the caller's deadline
	RetryAfter time.Duration // the delay that the refusing side asked for, 0 if none
}

// Budget holds the retry budget of one service in one layer.
type Budget struct {
	cfg    Config
	tokens float64
}

// NewBudget returns a budget with one saved retry, so that the first failure
// after a start can be retried.
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg, tokens: math.Min(1, cfg.Burst)}
}

// Request adds budget for one new request. Retries add none.
func (b *Budget) Request() {
	b.tokens = math.Min(b.cfg.Burst, b.tokens+b.cfg.Share)
}

// roundingTolerance absorbs rounding errors of repeated additions of the share.
const roundingTolerance = 1e-9

// Decide reports whether to retry the request after delay. Only a retry takes budget.
// The budget counts requests, so the time does not matter.
func (b *Budget) Decide(_ time.Duration, a Attempt, rng *rand.Rand) (delay time.Duration, ok bool, reason Reason) {
	if reason, final := b.checkFinal(a); final {
		return 0, false, reason
	}
	delay = b.Backoff(a.Number, rng)
	if a.RetryAfter > 0 {
		// The jitter keeps requests with the same hint from being retried together.
		delay += a.RetryAfter
	}
	if delay < 0 || delay > a.Remaining-b.cfg.MinRun {
		return 0, false, NoTime
	}
	if b.tokens < 1-roundingTolerance {
		return 0, false, NoBudget
	}
	b.tokens = math.Max(0, b.tokens-1)
	return delay, true, Retried
}

// checkFinal reports whether a must not be retried, regardless of time and budget.
func (b *Budget) checkFinal(a Attempt) (Reason, bool) {
	switch {
	case a.Outcome == api.Answered:
		return WasAnswered, true
	case a.Outcome != api.NotRun && !a.Idempotent:
		return MayHaveRun, true
	}
	switch layerOf(a.Kind) {
	case "":
		return KindIsFinal, true
	case b.cfg.Layer:
	default:
		return OtherLayer, true
	}
	if a.Number >= b.cfg.MaxAttempts {
		return AttemptsSpent, true
	}
	return "", false
}

// layerOf returns the layer that retries a kind, or "" if none does: a retry would be
// refused for the same reason or, as with a full queue, would add load to an
// overload.
func layerOf(kind api.Kind) Layer {
	switch kind {
	case api.NotHolder:
		return Entry
	case api.Shed, api.Cold, api.Draining, api.NoOwner, api.UpstreamFailed, api.UpstreamTimeout:
		return Holder
	}
	return ""
}

// Backoff returns a delay that is uniform between 0 and a bound that doubles
// with each call made, up to MaxDelay.
func (b *Budget) Backoff(number int, rng *rand.Rand) time.Duration {
	bound := b.cfg.BaseDelay
	for i := 1; i < number && bound < b.cfg.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, b.cfg.MaxDelay)
	if bound <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

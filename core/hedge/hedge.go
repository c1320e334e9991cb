// Package hedge decides when an idempotent request on an unkeyed service is
// also sent to a second upstream: after the observed 95th percentile of the
// latency, within a budget that is a share of the requests. Controller serves one
// shard; Policy uses Controllers for the routes and services of an entry VM.
package hedge

import (
	"math"
	"time"

	"dandelionhill.dev/core/defaults"
)

// Config configures a Controller.
type Config struct {
	Quantile   float64 // of the observed latency, after which a request is hedged
	Share      float64 // hedged calls per request
	Burst      float64 // maximum of the saved budget
	HalfLife   int     // observations after which the weight of an observation is halved
	MinSamples int     // observations before hedging starts
}

// DefaultConfig returns the defaults of the design page. The half-life is long
// enough for about 50 observations above the 95th percentile.
func DefaultConfig() Config {
	return Config{Quantile: 0.95, Share: 0.05, Burst: 10, HalfLife: 1000, MinSamples: 50}
}

// Controller holds the latency distribution and the budget of one shard.
type Controller struct {
	cfg          Config
	latency      histogram
	observations int
	tokens       float64
	delay        time.Duration
	median       time.Duration
	sinceRefresh int // observations since delay and median were computed
}

// refreshEvery is the number of observations between computations of the
// quantile, which reads the whole histogram.
const refreshEvery = 16

// NewController returns a controller without budget. Fields of cfg that are
// zero take their defaults, except Share: a share of zero turns hedging off.
func NewController(cfg Config) *Controller {
	def := DefaultConfig()
	if cfg.Quantile <= 0 || cfg.Quantile >= 1 {
		cfg.Quantile = def.Quantile
	}
	if cfg.Burst < 1 {
		cfg.Burst = def.Burst
	}
	defaults.Positive(&cfg.HalfLife, def.HalfLife)
	defaults.Positive(&cfg.MinSamples, def.MinSamples)
	return &Controller{cfg: cfg, latency: newHistogram(cfg.HalfLife)}
}

// Observe records the latency of a call that was not a hedge. For a call that
// was cancelled because its hedge won, it is the time until it was cancelled.
func (c *Controller) Observe(took time.Duration) {
	c.latency.add(took)
	c.observations++
	c.sinceRefresh++
}

// Delay returns the time after which a request is hedged, and false while too
// few observations have been made.
func (c *Controller) Delay() (time.Duration, bool) {
	if c.observations < c.cfg.MinSamples {
		return 0, false
	}
	if c.delay == 0 || c.sinceRefresh >= refreshEvery {
		c.delay, c.median, c.sinceRefresh = c.latency.quantile(c.cfg.Quantile), c.latency.quantile(0.5), 0
	}
	return c.delay, true
}

// Request adds budget for one request that could be hedged.
func (c *Controller) Request() {
	c.tokens = math.Min(c.cfg.Burst, c.tokens+c.cfg.Share)
}

// roundingTolerance absorbs rounding errors of repeated additions of the share, so
// that 20 requests at 5% allow a whole hedge.
const roundingTolerance = 1e-9

// Allow takes the budget of one hedge and reports whether there was enough. The
// budget counts requests, so the time does not matter.
func (c *Controller) Allow(_ time.Duration) bool {
	if c.tokens < 1-roundingTolerance {
		return false
	}
	c.tokens = math.Max(0, c.tokens-1)
	return true
}

// Refund returns the budget of a hedge that was allowed and not sent.
func (c *Controller) Refund() { c.tokens = math.Min(c.cfg.Burst, c.tokens+1) }

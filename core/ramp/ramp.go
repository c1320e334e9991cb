// Package ramp limits the concurrent requests to one upstream to what it has
// sustained: slow start after a cold start, halving on sheds or slow answers, and
// detection of an upstream that becomes cold without a restart.
package ramp

import (
	"math"
	"time"

	"dandelionhill.dev/core/defaults"
)

// Config holds the thresholds of a Ramp.
type Config struct {
	// Window is the least number of answers per decision, doubled while the upstream
	// is cold.
	Window int
	// Step is what a window of normal answers adds to the limit.
	Step float64
	// NormalFactor times the normal latency is the highest window mean at which the limit rises.
	NormalFactor float64
	// SlowFactor times the normal latency is the window mean from which the limit is halved.
	SlowFactor float64
	// ColdFactor times the normal latency, together with sheds, restarts the ramp.
	ColdFactor float64
	// ShedShare is the share of sheds in a window that halves the limit of a warm upstream.
	ShedShare float64
	// NormalWeight is the weight of a window mean in the normal latency.
	NormalWeight float64
	// ReportTTL is how long a load report is valid.
	ReportTTL time.Duration
	// ReportFloor is the least share of the limit to which a load report reduces it.
	ReportFloor float64
	// NormalLatency is the normal latency of the service, zero if not known.
	NormalLatency time.Duration
	// InitialLimit is the number of requests in flight at the beginning of a slow start.
	InitialLimit int
	// StepAnswers is the configured number of answers that a cold upstream of the
	// service gives before it can sustain one more request in flight, 0 if not
	// configured.
	StepAnswers int
	// DefaultStepAnswers applies to a slow start without slow answers if nothing is
	// configured or recorded: only sheds would show that such an upstream is still
	// cold.
	DefaultStepAnswers int
	// StepHistory holds the results of earlier slow starts of the service; nil records nothing.
	StepHistory *StepHistory
}

// DefaultConfig returns the values of section 7.3 of the design page.
func DefaultConfig() Config {
	return Config{
		// The mean of 32 lognormal latencies with sigma 0.5 has a relative error of 9%,
		// so the factors below are more than two errors away from 1. With 16 answers
		// and a factor of 1.5, cold upstreams got up to twice what they can sustain.
		Window:       32,
		Step:         1,
		NormalFactor: 1.25,
		SlowFactor:   2,
		ColdFactor:   3,
		ShedShare:    0.1,
		NormalWeight: 0.05,
		ReportTTL:    2 * time.Second,
		// Reports may be wrong, so one cannot reduce the limit by more than half.
		ReportFloor:  0.5,
		InitialLimit: 1,
		// docs/measurements.md compares 64, 128, 200, 256 and 400.
		DefaultStepAnswers: 256,
	}
}

// window collects the answers since the last decision.
type window struct {
	answers, sheds int
	total          time.Duration
}

func (w *window) mean() time.Duration {
	if w.answers == 0 {
		return 0
	}
	return w.total / time.Duration(w.answers)
}

// Ramp is the state for one upstream. It is not safe for concurrent use.
type Ramp struct {
	cfg           Config
	cold          bool
	limit         float64 // requests in flight; has no effect while it is at least full
	full          int     // from the last call of Limit
	normalLatency time.Duration
	window        window
	staleResults  int // answers and sheds still to come for requests sent before the last halving
	load          float64
	loadAt        time.Duration
	reported      bool

	startedAt time.Duration // of the last restart
	restarted bool

	answers          int  // since the beginning of the slow start
	coldSinceUnknown bool // the upstream may have been cold before that
	unconfirmed      int  // the lowest limit reached by a step and not yet confirmed by a window, 0 if none
	limitReached     bool // as many requests as the present limit have been in flight
	shedAfterStep    bool // a step of this slow start led to a shed
	slowSeen         bool // a window of this slow start was slow, so latency tells when the upstream is warm
	steppedAt        int  // answers at the last step of this slow start
}

// New returns a ramp that starts with one request if cold.
func New(cfg Config, cold bool) *Ramp {
	def := DefaultConfig()
	defaults.Positive(&cfg.Window, def.Window)
	defaults.Positive(&cfg.Step, def.Step)
	defaults.Positive(&cfg.NormalFactor, def.NormalFactor)
	defaults.Positive(&cfg.SlowFactor, def.SlowFactor)
	defaults.Positive(&cfg.ColdFactor, def.ColdFactor)
	defaults.Positive(&cfg.ShedShare, def.ShedShare)
	defaults.Positive(&cfg.NormalWeight, def.NormalWeight)
	defaults.Positive(&cfg.ReportTTL, def.ReportTTL)
	defaults.Positive(&cfg.ReportFloor, def.ReportFloor)
	defaults.Positive(&cfg.InitialLimit, def.InitialLimit)
	defaults.Positive(&cfg.DefaultStepAnswers, def.DefaultStepAnswers)
	r := &Ramp{cfg: cfg, normalLatency: cfg.NormalLatency, limit: math.Inf(1)}
	if cold {
		r.restart()
	}
	return r
}

// Restart begins a slow start, for example after a new incarnation. The normal
// latency is kept: the service is the same.
func (r *Ramp) Restart(now time.Duration) {
	r.startedAt, r.restarted = now, true
	r.restart()
}

func (r *Ramp) restart() {
	r.cold = true
	r.limit = float64(r.cfg.InitialLimit)
	r.window = window{}
	r.staleResults = 0
	r.reported = false
	r.answers, r.unconfirmed, r.limitReached, r.coldSinceUnknown, r.shedAfterStep = 0, 0, false, false, false
	r.slowSeen, r.steppedAt = false, 0
}

// SetStepAnswers replaces Config.StepAnswers, for example after operators have
// configured it.
func (r *Ramp) SetStepAnswers(n int) { r.cfg.StepAnswers = n }

// SetNormalLatency sets the normal latency, for example to the median over the warm
// upstreams of the service. Without it a cold upstream is compared with itself.
func (r *Ramp) SetNormalLatency(normal time.Duration) {
	if normal > 0 {
		r.normalLatency = normal
	}
}

// NormalLatency returns the normal latency, zero if not known.
func (r *Ramp) NormalLatency() time.Duration { return r.normalLatency }

// Cold reports whether the ramp has not reached the full limit yet.
func (r *Ramp) Cold() bool { return r.cold }

// Limit returns how many requests may be in flight; full is the upstream's own
// limit. The result is at least 1 unless full is 0.
func (r *Ramp) Limit(now time.Duration, full int) int {
	r.full = full
	if full <= 0 {
		return 0
	}
	if r.limit >= float64(full) {
		r.limit = math.Inf(1)
		r.cold = false
	}
	limit := math.Min(r.limit, float64(full))
	if r.reported && now-r.loadAt < r.cfg.ReportTTL && r.load > 1 {
		limit *= math.Max(1/r.load, r.cfg.ReportFloor)
	}
	return max(1, int(limit))
}

// Report records a load report, where 1 is full utilization. Reports lag and may be
// wrong: a load over 1 lowers the limit for ReportTTL, and no report raises it above
// what the answers allow.
func (r *Ramp) Report(now time.Duration, load float64) {
	if math.IsNaN(load) || load < 0 {
		return
	}
	r.load, r.loadAt, r.reported = load, now, true
}

// Sent records the number of requests in flight after a send: a limit is confirmed
// only when it has been reached.
func (r *Ramp) Sent(inFlight int) {
	if inFlight >= r.currentLimit() {
		r.limitReached = true
	}
}

// Observe records the result of one request: its latency, or that the upstream shed it.
// Answers to requests that were sent before a restart are ignored.
func (r *Ramp) Observe(now, took time.Duration, shed bool) {
	if r.restarted && now-took < r.startedAt {
		return
	}
	if shed {
		r.window.sheds++
	} else {
		r.window.answers++
		r.window.total += max(took, 0)
		r.answers++
	}
	if r.staleResults > 0 {
		// The request may have been sent before the limit was halved.
		r.staleResults--
		if r.staleResults == 0 {
			r.window = window{}
		}
		return
	}
	if shed && (r.cold || r.unconfirmed > 0) {
		r.shedAfterStep = r.shedAfterStep || r.unconfirmed > 0
		r.halve()
		return
	}
	if r.window.answers+r.window.sheds >= r.windowSize() {
		r.decide(now)
	}
}

// windowSize is the number of answers per decision: at least two for each
// request that may be in flight, so that a window reflects the present limit.
func (r *Ramp) windowSize() int {
	size := r.cfg.Window
	if r.cold {
		// A step that is due to noise overloads a cold upstream; late detection of a
		// warm upstream that becomes cold costs less.
		size = max(2*size, int(math.Ceil(float64(r.cfg.StepAnswers)*r.cfg.Step)))
	}
	return max(size, 2*int(math.Min(r.limit, float64(max(r.full, 1)))))
}

// decide ends a window and adjusts the limit.
func (r *Ramp) decide(now time.Duration) {
	w := r.window
	r.window = window{}
	mean := w.mean()
	ratio := 0.0
	if r.normalLatency > 0 {
		ratio = float64(mean) / float64(r.normalLatency)
	}
	shedShare := float64(w.sheds) / float64(w.answers+w.sheds)
	r.slowSeen = r.slowSeen || r.cold && ratio > r.cfg.NormalFactor
	switch {
	case !r.cold && w.sheds > 0 && ratio >= r.cfg.ColdFactor:
		r.Restart(now)
		r.coldSinceUnknown = true
	case shedShare >= r.cfg.ShedShare, r.cold && ratio >= r.cfg.SlowFactor:
		r.halve()
	case ratio <= r.cfg.NormalFactor:
		r.confirm()
		r.raise()
		fallthrough
	default:
		// Latencies in a window with sheds are those of an overloaded upstream.
		if w.sheds == 0 {
			r.updateNormal(mean)
		}
	}
}

// raise adds a step to the limit if the step is due.
func (r *Ramp) raise() {
	if !r.cold {
		return
	}
	next := r.limit + r.cfg.Step
	if int(next) > int(r.limit) {
		if !r.isStepDue(int(next)) {
			return
		}
		r.limitReached = false
		r.steppedAt = r.answers
		if r.unconfirmed == 0 {
			r.unconfirmed = int(next)
		}
	}
	r.limit = next
}

// isStepDue reports whether there have been enough answers for a step to limit next.
func (r *Ramp) isStepDue(next int) bool {
	if needed := r.cfg.StepHistory.needed(next); needed > 0 {
		return r.answers >= needed
	}
	if r.slowSeen || r.cfg.StepAnswers > 0 {
		return true // the window has as many answers as needed
	}
	return float64(r.answers-r.steppedAt) >= float64(r.cfg.DefaultStepAnswers)*r.cfg.Step
}

// confirm records that the upstream sustained the current limit for a window in which
// the limit was reached. If a step led to a shed, the number of answers at the end
// of the window is recorded for later starts, because the upstream may have become
// able to sustain the limit only during the window. Nothing is recorded if the
// beginning of the cold phase is not known.
func (r *Ramp) confirm() {
	if r.unconfirmed == 0 || !r.limitReached {
		return
	}
	if r.shedAfterStep && !r.coldSinceUnknown {
		for n := r.unconfirmed; n <= r.currentLimit(); n++ {
			r.cfg.StepHistory.record(n, min(r.answers, maxStepWindows*2*r.cfg.Window*n))
		}
	}
	r.unconfirmed = 0
}

// currentLimit returns the limit without load reports.
func (r *Ramp) currentLimit() int { return int(math.Min(r.limit, float64(max(r.full, 1)))) }

// halve halves the limit and ignores the answers to requests already in flight. An
// upstream below its full limit is treated as cold, whatever the cause.
func (r *Ramp) halve() {
	if !r.cold && r.unconfirmed == 0 {
		r.answers, r.coldSinceUnknown, r.shedAfterStep = 0, true, false
	}
	r.cold, r.unconfirmed = true, 0
	before := math.Min(r.limit, float64(max(r.full, 1)))
	r.limit = math.Max(1, math.Floor(before/2))
	r.window = window{}
	r.staleResults = int(before) - 1
}

// updateNormal moves the normal latency towards a window mean. While the ramp is cold
// it only decreases, so that slow cold answers do not become normal.
func (r *Ramp) updateNormal(mean time.Duration) {
	switch {
	case mean <= 0:
	case r.normalLatency == 0:
		r.normalLatency = mean
	case !r.cold || mean < r.normalLatency:
		r.normalLatency += time.Duration(r.cfg.NormalWeight * float64(mean-r.normalLatency))
	}
}

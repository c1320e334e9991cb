// Package ramp limits what one upstream receives to what it has been seen to
// bear: slow start after a cold start, halving on sheds or slow answers, and
// detection of an upstream that becomes cold without restarting.
package ramp

import (
	"math"
	"time"

	"dandelionhill.dev/core/defaults"
)

// Config holds the thresholds of a Ramp.
type Config struct {
	// Window is the least number of answers that one decision is based on, twice
	// as many while the upstream is cold.
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
	// ReportTTL is how long a load report is taken into account.
	ReportTTL time.Duration
	// ReportFloor is the least share of the limit that a load report leaves.
	ReportFloor float64
	// NormalLatency is the normal latency of the service, zero if not known.
	NormalLatency time.Duration
	// InitialLimit is the number of requests in flight at the beginning of a slow start.
	InitialLimit int
	// StepAnswers is the stated number of answers that a cold upstream of the
	// service gives before it bears one more request in flight, 0 if none is stated.
	StepAnswers int
	// DefaultStepAnswers takes its place in a slow start whose answers have not
	// been slow, if nothing is stated or learnt: only sheds would show that such
	// an upstream is still cold.
	DefaultStepAnswers int
	// StepHistory is what earlier slow starts of the service have shown; nil learns nothing.
	StepHistory *StepHistory
}

// DefaultConfig returns the values of section 7.3 of the design page.
func DefaultConfig() Config {
	return Config{
		// A mean of 32 lognormal times with sigma 0.5 has a relative error of 9%, so
		// the factors below are more than two errors away from 1. With 16 answers
		// and a factor of 1.5 cold upstreams got up to twice what they bore.
		Window:       32,
		Step:         1,
		NormalFactor: 1.25,
		SlowFactor:   2,
		ColdFactor:   3,
		ShedShare:    0.1,
		NormalWeight: 0.05,
		ReportTTL:    2 * time.Second,
		// Reports may mislead, so one cannot take more than half of the limit.
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
	cfg      Config
	cold     bool
	limit    float64 // requests in flight; has no meaning while it covers full
	full     int     // from the last call of Limit
	normal   time.Duration
	window   window
	halvedAt int // answers and sheds that still belong to the load before the last halving
	load     float64
	loadAt   time.Duration
	reported bool

	startedAt time.Duration // of the last restart
	restarted bool

	answers   int  // since the slow start was begun
	silent    bool // the upstream may have been cold before that
	unproven  int  // the lowest limit that steps reached and that no window has proven, 0 if none
	used      bool // as many requests as the present limit have been in flight
	missed    bool // a step of this slow start met a shed
	slow      bool // a window of this slow start was slow, so latency tells when the upstream is warm
	steppedAt int  // answers at the last step of this slow start
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
	r := &Ramp{cfg: cfg, normal: cfg.NormalLatency, limit: math.Inf(1)}
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
	r.halvedAt = 0
	r.reported = false
	r.answers, r.unproven, r.used, r.silent, r.missed = 0, 0, false, false, false
	r.slow, r.steppedAt = false, 0
}

// SetStepAnswers replaces Config.StepAnswers, for example after the operators
// have stated it.
func (r *Ramp) SetStepAnswers(n int) { r.cfg.StepAnswers = n }

// SetNormalLatency sets the normal latency, for example to the median over the warm
// upstreams of the service. Without it a cold upstream is compared with itself.
func (r *Ramp) SetNormalLatency(normal time.Duration) {
	if normal > 0 {
		r.normal = normal
	}
}

// NormalLatency returns the normal latency, zero if not known.
func (r *Ramp) NormalLatency() time.Duration { return r.normal }

// Cold reports whether the ramp has not reached the full limit yet.
func (r *Ramp) Cold() bool { return r.cold }

// Limit returns how many requests may be in flight when the upstream's own
// limit is full. It is at least 1 unless full is 0.
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

// Report takes a load report, where 1 is full use. Reports lag and may
// mislead: a load over 1 lowers the limit for a while, any other load restores
// nothing that answers have not earned.
func (r *Ramp) Report(now time.Duration, load float64) {
	if math.IsNaN(load) || load < 0 {
		return
	}
	r.load, r.loadAt, r.reported = load, now, true
}

// Sent takes the number of requests in flight after a send: a limit that is not
// used proves nothing.
func (r *Ramp) Sent(inFlight int) {
	if inFlight >= r.inForce() {
		r.used = true
	}
}

// Observe takes one answer: its latency, or that the upstream shed the request.
// Answers to requests that were sent before a restart are not of this start.
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
	if r.halvedAt > 0 {
		// The request may have been sent before the limit was halved.
		r.halvedAt--
		if r.halvedAt == 0 {
			r.window = window{}
		}
		return
	}
	if shed && (r.cold || r.unproven > 0) {
		r.missed = r.missed || r.unproven > 0
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
		// A step up on noise puts load on an upstream that cannot bear it; a
		// late notice of a warm upstream that turns cold costs less.
		size = max(2*size, int(math.Ceil(float64(r.cfg.StepAnswers)*r.cfg.Step)))
	}
	return max(size, 2*int(math.Min(r.limit, float64(max(r.full, 1)))))
}

// decide ends a window.
func (r *Ramp) decide(now time.Duration) {
	w := r.window
	r.window = window{}
	mean := w.mean()
	times := 0.0
	if r.normal > 0 {
		times = float64(mean) / float64(r.normal)
	}
	shedShare := float64(w.sheds) / float64(w.answers+w.sheds)
	r.slow = r.slow || r.cold && times > r.cfg.NormalFactor
	switch {
	case !r.cold && w.sheds > 0 && times >= r.cfg.ColdFactor:
		r.Restart(now)
		r.silent = true
	case shedShare >= r.cfg.ShedShare, r.cold && times >= r.cfg.SlowFactor:
		r.halve()
	case times <= r.cfg.NormalFactor:
		r.prove()
		r.raise()
		fallthrough
	default:
		// Answers next to sheds come from an upstream that is in trouble.
		if w.sheds == 0 {
			r.learn(mean)
		}
	}
}

// raise adds a step to the limit, unless an earlier start of the service took
// that step too soon.
func (r *Ramp) raise() {
	if !r.cold {
		return
	}
	next := r.limit + r.cfg.Step
	if int(next) > int(r.limit) {
		if !r.isStepDue(int(next)) {
			return
		}
		r.used = false
		r.steppedAt = r.answers
		if r.unproven == 0 {
			r.unproven = int(next)
		}
	}
	r.limit = next
}

// isStepDue reports whether enough answers have come for a step to limit next.
func (r *Ramp) isStepDue(next int) bool {
	if needed := r.cfg.StepHistory.needed(next); needed > 0 {
		return r.answers >= needed
	}
	if r.slow || r.cfg.StepAnswers > 0 {
		return true // the window has as many answers as are needed
	}
	return float64(r.answers-r.steppedAt) >= float64(r.cfg.DefaultStepAnswers)*r.cfg.Step
}

// prove notes that the present limit held for a window in which it was used.
// After a shed it becomes a lesson: later starts take the steps up to this limit
// not before the number of answers at the end of the window, because the
// upstream may have come to bear the limit only within it. Nothing follows for
// later starts if it is not known when this one was.
func (r *Ramp) prove() {
	if r.unproven == 0 || !r.used {
		return
	}
	if r.missed && !r.silent {
		for n := r.unproven; n <= r.inForce(); n++ {
			r.cfg.StepHistory.learn(n, min(r.answers, maxLesson*2*r.cfg.Window*n))
		}
	}
	r.unproven = 0
}

// inForce returns the limit without load reports.
func (r *Ramp) inForce() int { return int(math.Min(r.limit, float64(max(r.full, 1)))) }

// halve lowers the limit and ignores the answers to what is already in flight.
// Below its full limit an upstream is on the ramp, whatever brought it there.
func (r *Ramp) halve() {
	if !r.cold && r.unproven == 0 {
		r.answers, r.silent, r.missed = 0, true, false
	}
	r.cold, r.unproven = true, 0
	before := math.Min(r.limit, float64(max(r.full, 1)))
	r.limit = math.Max(1, math.Floor(before/2))
	r.window = window{}
	r.halvedAt = int(before) - 1
}

// learn moves the normal latency towards a window mean. While the ramp is cold
// it only falls, so that slow cold answers do not become normal.
func (r *Ramp) learn(mean time.Duration) {
	switch {
	case mean <= 0:
	case r.normal == 0:
		r.normal = mean
	case !r.cold || mean < r.normal:
		r.normal += time.Duration(r.cfg.NormalWeight * float64(mean-r.normal))
	}
}

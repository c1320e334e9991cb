package policy

import (
	"fmt"
	"time"

	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/dispatch"
	"dandelionhill.dev/core/ramp"
)

// coldResult describes the cold start of one upstream.
type coldResult struct {
	maxLoadRatio float64       // highest ratio of requests in flight to its load limit
	sheds        int           // requests that it shed while cold
	detectedIn   time.Duration // until the ramp restarted, for an unannounced cold start
	warmIn       time.Duration // until it reached its full load limit, 0 if never
}

// makeCold makes u cold without a new incarnation.
func (u *upstream) makeCold(c coldStart) {
	u.cold = &c
	u.done = 0
}

// coldRun makes the first of several upstreams cold under 80% load. Unless the
// cold start is unannounced, the holder learns of a new incarnation before it
// sends again. maxLoadRatio counts from the end of grace. The ramps use cfg, which
// may hold a step history.
func coldRun(seed uint64, c coldStart, unannounced bool, grace time.Duration, cfg ramp.Config) coldResult {
	s := defaultSpec(false)
	s.slots, s.ramp = 4, cfg
	e := newEngine(seed)
	sh := newShard(e, s, dispatch.Config{})
	u := sh.ups[0]
	var res coldResult
	end := warmUp + 3*measureTime
	e.every(0.8*s.capacity(), end, func() {
		sh.arrive(call{caller: fmt.Sprint("caller", e.rng.IntN(50)), timeout: timeout, serviceTime: e.lognormal(s.mean, s.sigma), onEnd: func(call, result) {}})
		if res.warmIn == 0 && e.now > warmUp && u.cold == nil {
			res.warmIn = e.now - warmUp
		}
		// After the warm-up and grace nothing more is measured. With a step history
		// the run goes on, so that the ramp learns from it.
		e.stopped = res.warmIn > 0 && e.now > warmUp+grace && cfg.StepHistory == nil
		if res.detectedIn == 0 && e.now > warmUp && sh.ramps[u.id].Cold() {
			res.detectedIn = e.now - warmUp
		}
	})
	e.after(warmUp, func() {
		if !unannounced {
			u.crash() // a new incarnation has nothing in flight
			sh.ramps[u.id].Restart(e.now)
			sh.setLimits()
		}
		u.makeCold(c)
		u.sheds = 0
	})
	e.after(warmUp+grace, func() { u.maxLoadRatio = 0 })
	e.run(end)
	res.maxLoadRatio, res.sheds = u.maxLoadRatio, u.sheds
	return res
}

type coldCase struct {
	name string
	c    coldStart
}

// coldCases are the measured kinds of cold start. The load limit rises with the
// answers given. Until it is warm an upstream is slow, or only sheds show that it
// is cold.
var coldCases = []coldCase{
	{"one slow slot, as in the fake upstream", coldStart{warmAfter: 100, slowdown: 3, singleSlot: true}},
	{"slow, warms fast", coldStart{warmAfter: 24, slowdown: 3}},
	{"slow, warms slowly", coldStart{warmAfter: 200, slowdown: 3}},
	{"slightly slow", coldStart{warmAfter: 64, slowdown: 1.5}},
	{"not slow, warms fast", coldStart{warmAfter: 16, slowdown: 1}},
	{"not slow, warms slowly", coldStart{warmAfter: 200, slowdown: 1}},
}

// ColdStarts measures the ratio of a cold upstream's load to its load limit, if
// nothing is known about how long upstreams of the service take to warm up.
func ColdStarts(seed uint64) []metric.Metric {
	var out []metric.Metric
	for _, unannounced := range []bool{false, true} {
		name, grace := "cold_load_over_bound", time.Duration(0)
		if unannounced {
			// An unannounced cold start shows only in the answers.
			name, grace = "cold_load_over_bound_1s_after_silent_turn", time.Second
		}
		for _, k := range coldCases {
			out = append(out, k.metric(name, seed, coldRun(seed, k.c, unannounced, grace, ramp.Config{})))
		}
	}
	return out
}

func (k coldCase) metric(name string, seed uint64, r coldResult) metric.Metric {
	return metric.Metric{
		Name: name, Value: r.maxLoadRatio, Unit: "ratio", Bound: 1, HasBound: true, Seed: seed,
		Note: fmt.Sprintf("virtual time; %s; %d sheds, ramp cold after %v, warm after %v", k.name, r.sheds, r.detectedIn, r.warmIn),
	}
}

// KnownColdStarts measures the same for upstreams that answer at normal speed
// while cold, if the settings state the answers that a step needs, and on the
// second cold start if the step history learned them from the first.
func KnownColdStarts(seed uint64) []metric.Metric {
	var out []metric.Metric
	for _, k := range coldCases {
		if k.c.slowdown > 1 {
			continue
		}
		stated := ramp.Config{StepAnswers: k.c.warmAfter}
		learned := ramp.Config{StepHistory: ramp.NewStepHistory()}
		coldRun(seed+1000, k.c, false, 0, learned)
		out = append(
			out,
			k.metric("cold_load_over_bound_stated", seed, coldRun(seed, k.c, false, 0, stated)),
			k.metric("cold_load_over_bound_stated_1s_after_silent_turn", seed, coldRun(seed, k.c, true, time.Second, stated)),
			k.metric("cold_load_over_bound_learnt", seed, coldRun(seed, k.c, false, 0, learned)),
		)
	}
	return out
}

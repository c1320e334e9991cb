package policy

import (
	"fmt"
	"time"

	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/dispatch"
	"dandelionhill.dev/core/ramp"
)

// coldResult is what one cold upstream went through.
type coldResult struct {
	over     float64       // greatest ratio of requests in flight to what it bore
	sheds    int           // requests that it shed while cold
	detected time.Duration // until the ramp restarted, for a silent turn
	warm     time.Duration // until it bore its full load again, 0 if never
}

// chill makes u cold without a new incarnation.
func (u *upstream) chill(c coldness) {
	u.cold = &c
	u.done = 0
}

// coldRun lets the first of several upstreams turn cold under 80% load. Unless
// silent, the holder learns of the new incarnation before it sends again.
// Counting starts after grace. The ramps get what cfg states or has learnt.
func coldRun(seed uint64, c coldness, silent bool, grace time.Duration, cfg ramp.Config) coldResult {
	s := ordinary(false)
	s.slots, s.ramp = 4, cfg
	e := newEngine(seed)
	sh := newShard(e, s, dispatch.Config{})
	u := sh.ups[0]
	var res coldResult
	end := warmUp + 3*measureTime
	e.every(0.8*s.capacity(), end, func() {
		sh.arrive(call{caller: fmt.Sprint("caller", e.rng.IntN(50)), timeout: timeout, service: e.lognormal(s.mean, s.sigma), end: func(call, result) {}})
		if res.warm == 0 && e.now > warmUp && u.cold == nil {
			res.warm = e.now - warmUp
		}
		// Nothing is measured on a warm upstream, nor before the end of grace, but
		// the ramp may still learn.
		e.stopped = res.warm > 0 && e.now > warmUp+grace && cfg.StepHistory == nil
		if res.detected == 0 && e.now > warmUp && sh.ramps[u.id].Cold() {
			res.detected = e.now - warmUp
		}
	})
	e.after(warmUp, func() {
		if !silent {
			u.crash() // a new incarnation has nothing in flight
			sh.ramps[u.id].Restart(e.now)
			sh.setLimits()
		}
		u.chill(c)
		u.sheds = 0
	})
	e.after(warmUp+grace, func() { u.worstOver = 0 })
	e.run(end)
	res.over, res.sheds = u.worstOver, u.sheds
	return res
}

type coldCase struct {
	name string
	c    coldness
}

// coldCases are the ways to be cold that are measured. What a cold upstream
// bears follows from its work; it is slow meanwhile, or shows nothing but sheds.
var coldCases = []coldCase{
	{"one slow slot, as in the fake upstream", coldness{warmAfter: 100, slow: 3, flat: true}},
	{"slow, warms fast", coldness{warmAfter: 24, slow: 3}},
	{"slow, warms slowly", coldness{warmAfter: 200, slow: 3}},
	{"slightly slow", coldness{warmAfter: 64, slow: 1.5}},
	{"not slow, warms fast", coldness{warmAfter: 16, slow: 1}},
	{"not slow, warms slowly", coldness{warmAfter: 200, slow: 1}},
}

// Cold measures the load that a cold upstream gets over what it bears while
// nothing is known about how long upstreams of the service take to warm up.
func Cold(seed uint64) []metric.Metric {
	var out []metric.Metric
	for _, silent := range []bool{false, true} {
		name, grace := "cold_load_over_bound", time.Duration(0)
		if silent {
			// Nobody can know of a silent turn before answers show it.
			name, grace = "cold_load_over_bound_1s_after_silent_turn", time.Second
		}
		for _, k := range coldCases {
			out = append(out, k.metric(name, seed, coldRun(seed, k.c, silent, grace, ramp.Config{})))
		}
	}
	return out
}

func (k coldCase) metric(name string, seed uint64, r coldResult) metric.Metric {
	return metric.Metric{
		Name: name, Value: r.over, Unit: "ratio", Bound: 1, HasBound: true, Seed: seed,
		Note: fmt.Sprintf("virtual time; %s; %d sheds, ramp cold after %v, warm after %v", k.name, r.sheds, r.detected, r.warm),
	}
}

// KnownCold measures the same for upstreams that answer at normal speed while
// they are cold, once the operators have stated the answers that a step needs,
// and on the second cold start of a service that has learnt them in the first.
func KnownCold(seed uint64) []metric.Metric {
	var out []metric.Metric
	for _, k := range coldCases {
		if k.c.slow > 1 {
			continue
		}
		stated := ramp.Config{StepAnswers: k.c.warmAfter}
		learnt := ramp.Config{StepHistory: ramp.NewStepHistory()}
		coldRun(seed+1000, k.c, false, 0, learnt)
		out = append(
			out,
			k.metric("cold_load_over_bound_stated", seed, coldRun(seed, k.c, false, 0, stated)),
			k.metric("cold_load_over_bound_stated_1s_after_silent_turn", seed, coldRun(seed, k.c, true, time.Second, stated)),
			k.metric("cold_load_over_bound_learnt", seed, coldRun(seed, k.c, false, 0, learnt)),
		)
	}
	return out
}

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
// Counting starts after grace.
func coldRun(seed uint64, c coldness, silent bool, grace time.Duration) coldResult {
	s := ordinary(false)
	s.slots = 4
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
		// Nothing is measured on a warm upstream, nor before the end of grace.
		e.stopped = res.warm > 0 && e.now > warmUp+grace
		if res.detected == 0 && e.now > warmUp && sh.ramps[u.id].Cold() {
			res.detected = e.now - warmUp
		}
	})
	e.after(warmUp, func() {
		if !silent {
			u.crash() // a new incarnation has nothing in flight
			sh.ramps[u.id] = ramp.New(ramp.Config{Normal: s.mean + rtt}, true)
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

// coldCases are the ways to be cold that are measured. What a cold upstream
// bears follows from its work; it is slow meanwhile, or shows nothing but sheds.
var coldCases = []struct {
	name string
	c    coldness
}{
	{"one slow slot, as in the fake upstream", coldness{warmAfter: 100, slow: 3, flat: true}},
	{"slow, warms fast", coldness{warmAfter: 24, slow: 3}},
	{"slow, warms slowly", coldness{warmAfter: 200, slow: 3}},
	{"slightly slow", coldness{warmAfter: 64, slow: 1.5}},
	{"not slow, warms fast", coldness{warmAfter: 16, slow: 1}},
	{"not slow, warms slowly", coldness{warmAfter: 200, slow: 1}},
}

// Cold measures the load that a cold upstream gets over what it bears.
func Cold(seed uint64) []metric.Metric {
	var out []metric.Metric
	for _, silent := range []bool{false, true} {
		name, grace := "cold_load_over_bound", time.Duration(0)
		if silent {
			// Nobody can know of a silent turn before answers show it.
			name, grace = "cold_load_over_bound_1s_after_silent_turn", time.Second
		}
		for _, k := range coldCases {
			r := coldRun(seed, k.c, silent, grace)
			out = append(out, metric.Metric{
				Name: name, Value: r.over, Unit: "ratio", Bound: 1, HasBound: true, Seed: seed,
				Note: fmt.Sprintf("virtual time; %s; %d sheds, ramp cold after %v, warm after %v", k.name, r.sheds, r.detected, r.warm),
			})
		}
	}
	return out
}

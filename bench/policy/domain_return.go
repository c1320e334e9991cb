package policy

import (
	"fmt"
	"time"

	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/dispatch"
)

// domainReturnResult holds what callers see while a failure domain is out and
// after it returns cold.
type domainReturnResult struct {
	whileOut, afterReturn float64       // lowest share of requests answered in time in any second
	warmIn                time.Duration // from the return until the ramps of its upstreams reach the full limit, 0 if never
	sheds                 int           // by the returning upstreams
}

// domainReturnRun takes a quarter of the upstreams of an unkeyed service out for
// five seconds and then returns them cold, with new incarnations.
func domainReturnRun(seed uint64, load float64, c coldStart, step int) domainReturnResult {
	const outAt, backAt, seconds = 5 * time.Second, 10 * time.Second, 30
	s := defaultSpec(false)
	s.ramp.StepAnswers = step
	e := newEngine(seed)
	sh := newShard(e, s, dispatch.Config{})
	domain := sh.ups[:len(sh.ups)/4]
	var offered, inTime [seconds]int
	e.every(load*s.capacity(), seconds*time.Second, func() {
		sh.arrive(call{
			caller: fmt.Sprint("caller", e.rng.IntN(50)), timeout: timeout, serviceTime: e.lognormal(s.mean, s.sigma),
			onEnd: func(c call, r result) {
				second := int(c.sentAt / time.Second)
				offered[second]++
				if r.inTime {
					inTime[second]++
				}
			},
		})
	})
	e.after(outAt, func() {
		for _, u := range domain {
			u.crash()
			sh.closed[u.id] = true
		}
		sh.setLimits()
	})
	var res domainReturnResult
	e.after(backAt, func() {
		for _, u := range domain {
			u.makeCold(c)
			u.sheds = 0
			sh.ramps[u.id].Restart(e.now)
			delete(sh.closed, u.id)
		}
		sh.setLimits()
	})
	e.every(100, seconds*time.Second, func() {
		cold := false
		for _, u := range domain {
			cold = cold || sh.ramps[u.id].Cold()
		}
		if e.now > backAt && res.warmIn == 0 && !cold {
			res.warmIn = e.now - backAt
		}
	})
	e.run((seconds + 1) * time.Second)
	res.whileOut, res.afterReturn = 1, 1
	for i := int(outAt / time.Second); i < seconds; i++ {
		worst := &res.whileOut
		if i >= int(backAt/time.Second) {
			worst = &res.afterReturn
		}
		*worst = min(*worst, float64(inTime[i])/float64(offered[i]))
	}
	for _, u := range domain {
		res.sheds += u.sheds
	}
	return res
}

// domainReturnLoads are loads that the other domains can and cannot carry alone.
var domainReturnLoads = []float64{0.7, 0.85}

// DomainReturn measures how the number of answers required before each step of a
// slow start affects callers while a failure domain is out and returns cold.
func DomainReturn(seed uint64) []metric.Metric {
	var all []metric.Metric
	for _, load := range domainReturnLoads {
		for _, warmAfter := range []int{16, 200} {
			for _, step := range []int{64, 128, 200, 256, 400} {
				r := domainReturnRun(seed, load, coldStart{warmAfter: warmAfter, slowdown: 1}, step)
				all = append(all, metric.Metric{
					Name: "in_time_domain_back_cold", Value: r.afterReturn, Unit: "share", Seed: seed,
					Note: fmt.Sprintf("virtual time; worst second; load %.2f, cold for %d answers, %d answers before a step; while out %.4f, warm after %v, %d sheds", load, warmAfter, step, r.whileOut, r.warmIn.Round(time.Millisecond), r.sheds),
				})
			}
		}
	}
	return all
}

package policy

import (
	"fmt"
	"time"

	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/dispatch"
)

// comebackResult is what callers see while a failure domain is out and returns cold.
type comebackResult struct {
	out, back float64       // worst second's share in time while it is out, and from its return on
	warm      time.Duration // from the return until the ramps of its upstreams have reached the full limit, 0 if never
	sheds     int           // by the returning upstreams
}

// comebackRun takes a quarter of the upstreams of an unkeyed service out for
// five seconds and lets them return with new incarnations and cold.
func comebackRun(seed uint64, load float64, c coldness, step int) comebackResult {
	const out, back, seconds = 5 * time.Second, 10 * time.Second, 30
	s := ordinary(false)
	s.ramp.StepAnswers = step
	e := newEngine(seed)
	sh := newShard(e, s, dispatch.Config{})
	domain := sh.ups[:len(sh.ups)/4]
	var offered, inTime [seconds]int
	e.every(load*s.capacity(), seconds*time.Second, func() {
		sh.arrive(call{
			caller: fmt.Sprint("caller", e.rng.IntN(50)), timeout: timeout, service: e.lognormal(s.mean, s.sigma),
			end: func(c call, r result) {
				second := int(c.sentAt / time.Second)
				offered[second]++
				if r.inTime {
					inTime[second]++
				}
			},
		})
	})
	e.after(out, func() {
		for _, u := range domain {
			u.crash()
			sh.closed[u.id] = true
		}
		sh.setLimits()
	})
	var res comebackResult
	e.after(back, func() {
		for _, u := range domain {
			u.chill(c)
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
		if e.now > back && res.warm == 0 && !cold {
			res.warm = e.now - back
		}
	})
	e.run((seconds + 1) * time.Second)
	res.out, res.back = 1, 1
	for i := int(out / time.Second); i < seconds; i++ {
		worst := &res.out
		if i >= int(back/time.Second) {
			worst = &res.back
		}
		*worst = min(*worst, float64(inTime[i])/float64(offered[i]))
	}
	for _, u := range domain {
		res.sheds += u.sheds
	}
	return res
}

// comebackLoads fit without the domain, and do not.
var comebackLoads = []float64{0.7, 0.85}

// Comeback measures what more answers before each step of a slow start cost
// while a failure domain is out and returns cold.
func Comeback(seed uint64) []metric.Metric {
	var all []metric.Metric
	for _, load := range comebackLoads {
		for _, warmAfter := range []int{16, 200} {
			for _, step := range []int{64, 128, 200, 256, 400} {
				r := comebackRun(seed, load, coldness{warmAfter: warmAfter, slow: 1}, step)
				all = append(all, metric.Metric{
					Name: "in_time_domain_back_cold", Value: r.back, Unit: "share", Seed: seed,
					Note: fmt.Sprintf("virtual time; worst second; load %.2f, cold for %d answers, %d answers before a step; while out %.4f, warm after %v, %d sheds", load, warmAfter, step, r.out, r.warm.Round(time.Millisecond), r.sheds),
				})
			}
		}
	}
	return all
}

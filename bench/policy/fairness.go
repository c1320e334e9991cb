package policy

import (
	"fmt"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/dispatch"
)

// fairCase is a flood next to short requests.
type fairCase struct {
	name  string
	flood func(e *engine, i int) call
	// single puts all requests into one queue in the order of arrival, as a baseline.
	single bool
}

// fairResult says how the short requests next to a flood ended.
type fairResult struct {
	total, inTime, late int
	refused             map[api.Kind]int // on arrival, or shed
	expired             int              // in the queue
	floodTime           float64          // share of the slots' time that went to the flood
}

func (r fairResult) share() float64 { return float64(r.inTime) / float64(r.total) }

// nextTo returns what becomes of the short requests on the flooded upstream. The short ones offer 30% of its capacity, the flood three
// times its capacity with service times four times as long.
func nextTo(seed uint64, f fairCase) fairResult {
	s := ordinary(true)
	s.upstreams = 1
	e := newEngine(seed)
	cfg := dispatch.Config{}
	if f.single {
		cfg = dispatch.Config{KeyShare: 1, CallerShare: 1}
	}
	sh := newShard(e, s, cfg)
	arrive := func(c call) {
		if f.single {
			c.key, c.caller = "all", "all"
		}
		sh.arrive(c)
	}
	res := fairResult{refused: map[api.Kind]int{}}
	sent := 0
	end := warmUp + measureTime
	e.every(0.3*s.capacity(), end, func() {
		arrive(call{
			key: fmt.Sprint("key", e.rng.IntN(500)), caller: fmt.Sprint("caller", e.rng.IntN(50)), timeout: timeout,
			service: e.lognormal(s.mean, s.sigma),
			end: func(c call, r result) {
				if c.sentAt < warmUp {
					return
				}
				res.total++
				switch {
				case r.inTime:
					res.inTime++
				case r.refusal != nil:
					res.refused[r.refusal.Kind]++
				case r.outcome == api.NotRun:
					res.expired++
				default:
					res.late++
				}
			},
		})
	})
	e.every(3*s.capacity()/4, end, func() {
		sent++
		c := f.flood(e, sent)
		c.timeout, c.service = 10*timeout, e.lognormal(4*s.mean, s.sigma)
		c.end = func(c call, r result) {
			if r.outcome == api.Answered && e.now > warmUp && e.now <= end {
				res.floodTime += c.service.Seconds() / float64(s.slots) / measureTime.Seconds()
			}
		}
		arrive(c)
	})
	e.run(end + 10*timeout)
	return res
}

// Fairness measures what short requests get next to one hot key, and next to
// one flooding caller that uses a new key for each request.
func Fairness(seed uint64) []metric.Metric {
	hot := func(e *engine, _ int) call { return call{key: "hot", caller: fmt.Sprint("caller", e.rng.IntN(50))} }
	flood := func(_ *engine, i int) call { return call{key: fmt.Sprint("flood", i), caller: "flood"} }
	var out []metric.Metric
	for _, f := range []fairCase{
		{name: "short_in_time_next_to_hot_key", flood: hot},
		{name: "short_in_time_next_to_hot_key_single_queue", flood: hot, single: true},
		{name: "short_in_time_next_to_flooding_caller", flood: flood},
		{name: "short_in_time_next_to_flooding_caller_single_queue", flood: flood, single: true},
	} {
		r := nextTo(seed, f)
		out = append(out, metric.Metric{
			Name: f.name, Value: r.share(), Unit: "share", Seed: seed,
			Note: fmt.Sprintf("virtual time; short: 30%% of capacity, timeout %v; flood: 3 times capacity, service time %v, gets %.2f of the slots' time; of %d short: refused %v, expired %d, late %d",
				timeout, 4*10*time.Millisecond, r.floodTime, r.total, r.refused, r.expired, r.late),
		})
	}
	return out
}

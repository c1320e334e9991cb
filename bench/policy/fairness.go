package policy

import (
	"fmt"
	"time"

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

// inTimeNextTo returns the share of short requests on the flooded upstream that
// are answered in time. The short ones offer 30% of its capacity, the flood three
// times its capacity with service times four times as long.
func inTimeNextTo(seed uint64, f fairCase) float64 {
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
	total, inTime, sent := 0, 0, 0
	end := warmUp + measureTime
	e.every(0.3*s.capacity(), end, func() {
		arrive(call{
			key: fmt.Sprint("key", e.rng.IntN(500)), caller: fmt.Sprint("caller", e.rng.IntN(50)), timeout: timeout,
			service: e.lognormal(s.mean, s.sigma),
			end: func(c call, r result) {
				if c.sentAt < warmUp {
					return
				}
				total++
				if r.inTime {
					inTime++
				}
			},
		})
	})
	e.every(3*s.capacity()/4, end, func() {
		sent++
		c := f.flood(e, sent)
		c.timeout, c.service = 10*timeout, e.lognormal(4*s.mean, s.sigma)
		c.end = func(call, result) {}
		arrive(c)
	})
	e.run(end + 10*timeout)
	return float64(inTime) / float64(total)
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
		out = append(out, metric.Metric{
			Name: f.name, Value: inTimeNextTo(seed, f), Unit: "share", Seed: seed,
			Note: fmt.Sprintf("virtual time; short: 30%% of capacity, timeout %v; flood: 3 times capacity, service time %v", timeout, 4*10*time.Millisecond),
		})
	}
	return out
}

package policy

import (
	"fmt"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/dispatch"
)

// floodCase describes a flood of requests that competes with short requests.
type floodCase struct {
	name  string
	flood func(e *engine, i int) call
	// singleQueue puts all requests into one FIFO queue, as a baseline.
	singleQueue bool
}

// floodResult counts the outcomes of the short requests.
type floodResult struct {
	total, inTime, late int
	refused             map[api.Kind]int // on arrival, or shed
	expired             int              // in the queue
	floodTime           float64          // share of the slots' time used by the flood
}

func (r floodResult) inTimeShare() float64 { return float64(r.inTime) / float64(r.total) }

// floodRun runs short requests and a flood on one upstream. The short ones offer
// 30% of its capacity, the flood three times its capacity with service times four
// times as long.
func floodRun(seed uint64, f floodCase) floodResult {
	s := defaultSpec(true)
	s.upstreams = 1
	e := newEngine(seed)
	cfg := dispatch.Config{}
	if f.singleQueue {
		cfg = dispatch.Config{KeyShare: 1, CallerShare: 1}
	}
	sh := newShard(e, s, cfg)
	arrive := func(c call) {
		if f.singleQueue {
			c.key, c.caller = "all", "all"
		}
		sh.arrive(c)
	}
	res := floodResult{refused: map[api.Kind]int{}}
	sent := 0
	end := warmUp + measureTime
	e.every(0.3*s.capacity(), end, func() {
		arrive(call{
			key: fmt.Sprint("key", e.rng.IntN(500)), caller: fmt.Sprint("caller", e.rng.IntN(50)), timeout: timeout,
			serviceTime: e.lognormal(s.mean, s.sigma),
			onEnd: func(c call, r result) {
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
		c.timeout, c.serviceTime = 10*timeout, e.lognormal(4*s.mean, s.sigma)
		c.onEnd = func(c call, r result) {
			if r.outcome == api.Answered && e.now > warmUp && e.now <= end {
				res.floodTime += c.serviceTime.Seconds() / float64(s.slots) / measureTime.Seconds()
			}
		}
		arrive(c)
	})
	e.run(end + 10*timeout)
	return res
}

// Fairness measures the share of short requests answered in time beside one hot
// key, and beside one flooding caller that uses a new key for each request.
func Fairness(seed uint64) []metric.Metric {
	hot := func(e *engine, _ int) call { return call{key: "hot", caller: fmt.Sprint("caller", e.rng.IntN(50))} }
	flood := func(_ *engine, i int) call { return call{key: fmt.Sprint("flood", i), caller: "flood"} }
	var out []metric.Metric
	for _, f := range []floodCase{
		{name: "short_in_time_next_to_hot_key", flood: hot},
		{name: "short_in_time_next_to_hot_key_single_queue", flood: hot, singleQueue: true},
		{name: "short_in_time_next_to_flooding_caller", flood: flood},
		{name: "short_in_time_next_to_flooding_caller_single_queue", flood: flood, singleQueue: true},
	} {
		r := floodRun(seed, f)
		out = append(out, metric.Metric{
			Name: f.name, Value: r.inTimeShare(), Unit: "share", Seed: seed,
			Note: fmt.Sprintf("virtual time; short: 30%% of capacity, timeout %v; flood: 3 times capacity, service time %v, gets %.2f of the slots' time; of %d short: refused %v, expired %d, late %d",
				timeout, 4*10*time.Millisecond, r.floodTime, r.total, r.refused, r.expired, r.late),
		})
	}
	return out
}

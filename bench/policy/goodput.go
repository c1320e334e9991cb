package policy

import (
	"fmt"
	"time"

	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/dispatch"
)

// defaultSpec describes a shard with about the figures of section 1.2.
func defaultSpec(keyed bool) shardSpec {
	return shardSpec{upstreams: 8, slots: 2, slotFactor: 1.5, mean: 10 * time.Millisecond, sigma: 0.5, keyed: keyed}
}

const (
	warmUp      = 2 * time.Second
	measureTime = 10 * time.Second
	timeout     = 100 * time.Millisecond
)

// goodput returns the answers in time per second at an offered load, which is a
// multiple of capacity.
func goodput(seed uint64, s shardSpec, cfg dispatch.Config, load float64, timeout time.Duration) float64 {
	e := newEngine(seed)
	sh := newShard(e, s, cfg)
	count := 0
	e.every(load*s.capacity(), warmUp+measureTime, func() {
		key := e.rng.IntN(5000)
		sh.arrive(call{
			key: keyName(s, key), owner: key % s.upstreams, caller: fmt.Sprint("caller", e.rng.IntN(50)),
			timeout: timeout, serviceTime: e.lognormal(s.mean, s.sigma),
			onEnd: func(c call, r result) {
				if r.inTime && c.sentAt >= warmUp {
					count++
				}
			},
		})
	})
	e.run(warmUp + measureTime + time.Second)
	return float64(count) / measureTime.Seconds()
}

func keyName(s shardSpec, key int) string {
	if !s.keyed {
		return ""
	}
	return fmt.Sprint("key", key)
}

// Goodput measures the answers in time at an offered load of twice the capacity
// as a share of the peak, for a keyed and an unkeyed service.
func Goodput(seed uint64) []metric.Metric {
	var out []metric.Metric
	for _, keyed := range []bool{true, false} {
		s := defaultSpec(keyed)
		peak := 0.0
		for _, load := range []float64{0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.5} {
			peak = max(peak, goodput(seed, s, dispatch.Config{}, load, timeout))
		}
		name := "goodput_at_twice_capacity"
		if !keyed {
			name += "_unkeyed"
		}
		out = append(out, metric.Metric{
			Name: name, Value: goodput(seed, s, dispatch.Config{}, 2, timeout) / peak, Unit: "share of peak", Bound: 0.9, HasBound: true, Seed: seed,
			Note: fmt.Sprintf("virtual time; peak %.0f/s of a capacity of %.0f/s, timeout %v", peak, s.capacity(), timeout),
		})
	}
	return out
}

package main

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/load"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/placement"
)

const (
	warmUpRate    = 1500
	warmUpKeys    = 4000
	warmUpTimeout = 20 * time.Second
)

// plannedMove measures the interruption of keys whose owner is drained: once
// with upstreams that have warmed up and once with cold ones, whose ramp delays
// answers before and after the move too.
func plannedMove(ctx context.Context, e env) ([]metric.Metric, error) {
	var out []metric.Metric
	for _, c := range []struct {
		name string
		warm bool
	}{{"key_unavailable_on_planned_move", true}, {"key_unavailable_on_planned_move.cold_upstreams", false}} {
		gap, err := e.drainOwner(ctx, c.warm)
		if err != nil {
			return out, errors.WithMessage(err, c.name)
		}
		out = append(out, e.bounded(c.name, float64(gap.Milliseconds()), "ms", 100,
			"owner drained; aim; the longest answer time counts"))
	}
	return out, nil
}

func (e env) drainOwner(ctx context.Context, warm bool) (time.Duration, error) {
	r, err := e.start(ctx, vmCount, serviceTime)
	if err != nil {
		return 0, err
	}
	defer r.Stop()
	if warm {
		if err := r.warmUp(ctx, e.seed); err != nil {
			return 0, err
		}
	}
	keys, owner, _, err := r.keysOf(ctx)
	if err != nil {
		return 0, err
	}
	results, err := r.probe(ctx, keys, 25*time.Millisecond, 2*time.Second, func() error {
		return r.change(ctx, "measure-drain", config.DrainUpstream, string(owner))
	})
	if err != nil {
		return 0, err
	}
	if err := endedWell(results); err != nil {
		return 0, err
	}
	repeatable, other := gaps(results)
	return max(repeatable, other), nil
}

// warmUp sends requests for many keys until no upstream of the keyed service is cold.
func (r *running) warmUp(ctx context.Context, seed uint64) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	service := r.target().Service
	group.Go(func() {
		load.Run(ctx, load.Options{
			Entries: r.Entries, Targets: []load.Target{r.target()}, Keys: warmUpKeys,
			Rate: warmUpRate, Workers: 200, Timeout: time.Second, Seed: seed,
		})
	})
	for {
		cold, err := r.cold(ctx, service)
		if err != nil {
			return err
		}
		if cold == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("%d upstreams were still cold", cold)
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// cold counts the cold upstreams of a service.
func (r *running) cold(ctx context.Context, service api.ServiceName) (int, error) {
	status, err := r.VMs[0].Status(ctx)
	if err != nil {
		return 0, err
	}
	cold := 0
	for _, u := range status.Upstreams {
		if u.Service == service && u.State == string(placement.Cold) {
			cold++
		}
	}
	return cold, nil
}

package main

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/cluster"
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

// plannedMove measures how long keys are unavailable when their owner is drained:
// once with warm upstreams and once with cold ones, whose slow start delays
// responses before and after the move too. It does so as well for keys whose shard
// is handed over because the VM that holds it is taken out.
func plannedMove(ctx context.Context, e env) ([]metric.Metric, error) {
	drain := func(ctx context.Context, r *testCluster, owner api.UpstreamID, _ *cluster.VM) error {
		return r.change(ctx, "measure-drain", config.DrainUpstream, string(owner))
	}
	handOver := func(ctx context.Context, r *testCluster, _ api.UpstreamID, holder *cluster.VM) error {
		return r.change(ctx, "measure-vm-out", config.VMOut, string(holder.Settings.VM))
	}
	var out []metric.Metric
	for _, c := range []struct {
		name, note string
		warm       bool
		move       moveTrigger
	}{
		{"key_unavailable_on_planned_move", "owner drained", true, drain},
		{"key_unavailable_on_planned_move.cold_upstreams", "owner drained", false, drain},
		{"key_unavailable_on_planned_move.shard", "holder taken out", true, handOver},
	} {
		gap, err := e.measurePlannedMove(ctx, c.warm, c.move)
		if err != nil {
			return out, errors.WithMessage(err, c.name)
		}
		out = append(out, e.bounded(c.name, float64(gap.Milliseconds()), "ms", 100, c.note+"; aim; the longest answer time counts"))
	}
	return out, nil
}

// moveTrigger makes a change that gives keys another owner, or their shard another holder.
type moveTrigger func(ctx context.Context, r *testCluster, owner api.UpstreamID, holder *cluster.VM) error

func (e env) measurePlannedMove(ctx context.Context, warm bool, change moveTrigger) (time.Duration, error) {
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
	keys, owner, holder, err := r.keysOfOneOwner(ctx)
	if err != nil {
		return 0, err
	}
	// A VM that was taken out refuses callers until the load balancer removes it,
	// which is not part of the move.
	r.excludedVM = holder
	results, err := r.probe(ctx, keys, 25*time.Millisecond, 2*time.Second, func() error {
		return change(ctx, r, owner, holder)
	})
	if err != nil {
		return 0, err
	}
	if err := checkLastProbes(results); err != nil {
		return 0, err
	}
	idempotent, nonIdempotent := longestGaps(results)
	return max(idempotent, nonIdempotent), nil
}

// warmUp sends requests for many keys until no upstream of the keyed service is cold.
func (r *testCluster) warmUp(ctx context.Context, seed uint64) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	service := r.keyedTarget().Service
	group.Go(func() {
		load.Run(ctx, load.Options{
			Entries: r.Entries, Targets: []load.Target{r.keyedTarget()}, Keys: warmUpKeys,
			Rate: warmUpRate, Workers: 200, Timeout: time.Second, Seed: seed,
		})
	})
	for {
		cold, err := r.countCold(ctx, service)
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

// countCold counts the cold upstreams of a service.
func (r *testCluster) countCold(ctx context.Context, service api.ServiceName) (int, error) {
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

package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/cluster"
	"dandelionhill.dev/bench/history"
	"dandelionhill.dev/bench/load"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/fakes/table"
)

const (
	vmCount     = 4
	serviceTime = 4 * time.Millisecond
	probedKeys  = 8
	// maxKeysTried bounds the search for keys of one owner.
	maxKeysTried = 4000
)

// keyedTarget returns the keyed service of the deployment as a load target.
func (r *testCluster) keyedTarget() load.Target {
	for _, s := range r.Document.Services {
		if s.Keyed {
			return load.Target{Service: s.Name, Keyed: true, IdempotentShare: 0.5}
		}
	}
	return load.Target{}
}

// keysOfOneOwner returns keys with the same owner, the owner, and the VM that holds their shard.
func (r *testCluster) keysOfOneOwner(ctx context.Context) ([]string, api.UpstreamID, *cluster.VM, error) {
	var keys []string
	var owner api.UpstreamID
	var holder api.VMID
	for i := 0; i < maxKeysTried && len(keys) < probedKeys; i++ {
		key := fmt.Sprintf("key-%d", i)
		x, err := r.VMs[0].Explain(ctx, r.keyedTarget().Service, key)
		if err != nil {
			return nil, "", nil, err
		}
		// Only the holder knows the owner, so it is asked if it is another VM.
		for _, vm := range r.VMs {
			if x.Owner == "" && vm.Settings.VM == x.Holder {
				if x, err = vm.Explain(ctx, r.keyedTarget().Service, key); err != nil {
					return nil, "", nil, err
				}
			}
		}
		if owner == "" {
			owner, holder = x.Owner, x.Holder
		}
		if x.Owner == owner && owner != "" {
			keys = append(keys, key)
		}
	}
	for _, vm := range r.VMs {
		if vm.Settings.VM == holder && len(keys) == probedKeys {
			return keys, owner, vm, nil
		}
	}
	return nil, "", nil, errors.New("found too few keys of one owner")
}

// probeEntries returns the base URLs of the VMs that receive probes.
func (r *testCluster) probeEntries() []string {
	if r.excludedVM == nil {
		return r.Entries()
	}
	return slices.DeleteFunc(r.Entries(), func(url string) bool { return url == "http://"+r.excludedVM.Settings.Listen.Callers })
}

// probe sends probes for keys while steps runs and for the time after it.
func (r *testCluster) probe(ctx context.Context, keys []string, every, after time.Duration, steps func() error) ([]load.Result, error) {
	probeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var results []load.Result
	var group sync.WaitGroup
	group.Go(func() {
		results = load.Probe(probeCtx, load.Options{Entries: r.probeEntries, Workers: 200, Timeout: 3 * time.Second}, r.keyedTarget(), keys, every)
	})
	pause(ctx, time.Second)
	err := steps()
	pause(ctx, after)
	cancel()
	group.Wait()
	return results, err
}

// longestGaps returns the longest time without an answer for a key, for each kind of probe.
func longestGaps(results []load.Result) (idempotent, nonIdempotent time.Duration) {
	var byKind [2][]load.Result
	for _, r := range results {
		i := 0
		if r.RequestID != "" {
			i = 1
		}
		byKind[i] = append(byKind[i], r)
	}
	idempotent, _ = history.LongestGap(byKind[0])
	nonIdempotent, _ = history.LongestGap(byKind[1])
	return idempotent, nonIdempotent
}

// ownerLoss measures how long keys are unavailable after the loss of their owner.
func ownerLoss(ctx context.Context, e env) ([]metric.Metric, error) {
	var out []metric.Metric
	for _, c := range []struct {
		name              string
		holder, storeDown bool
	}{{"owner", false, false}, {"owner_and_holder", true, false}, {"owner_and_holder_store_down", true, true}} {
		idempotent, nonIdempotent, err := e.measureOwnerLoss(ctx, c.holder, c.storeDown)
		if err != nil {
			return out, errors.WithMessage(err, c.name)
		}
		name := "key_unavailable_after_owner_loss." + c.name
		out = append(out,
			e.bounded(name+".idempotent", idempotent.Seconds(), "s", 2, "probes every 100 ms for each of 8 keys"),
			e.bounded(name+".not_repeatable", nonIdempotent.Seconds(), "s", 2, "probes every 100 ms for each of 8 keys"))
	}
	return out, nil
}

func (e env) measureOwnerLoss(ctx context.Context, loseHolder, storeDown bool) (idempotent, nonIdempotent time.Duration, err error) {
	r, err := e.start(ctx, vmCount, serviceTime)
	if err != nil {
		return 0, 0, err
	}
	defer r.Stop()
	keys, owner, holder, err := r.keysOfOneOwner(ctx)
	if err != nil {
		return 0, 0, err
	}
	results, err := r.probe(ctx, keys, 50*time.Millisecond, 5*time.Second, func() error {
		r.Table.SetFaults(table.Faults{Down: storeDown})
		if loseHolder {
			holder.Kill()
		}
		r.Upstreams[owner].Crash()
		return nil
	})
	if err != nil {
		return 0, 0, err
	}
	if err := checkLastProbes(results); err != nil {
		return 0, 0, err
	}
	idempotent, nonIdempotent = longestGaps(results)
	return idempotent, nonIdempotent, nil
}

// checkLastProbes checks that the last probe of each kind and key was answered,
// because a gap that has not ended has no length.
func checkLastProbes(results []load.Result) error {
	type kind struct {
		key        string
		idempotent bool
	}
	last := map[kind]load.Result{}
	for _, r := range results {
		k := kind{r.Key, r.RequestID == ""}
		if r.Start.After(last[k].Start) {
			last[k] = r
		}
	}
	for k, r := range last {
		if r.Outcome != api.Answered {
			return errors.Errorf("key %s (idempotent %v) was not served at the end: %s %s", k.key, k.idempotent, r.Outcome, r.Refusal)
		}
	}
	return nil
}

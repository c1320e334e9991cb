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
	// keysTried bounds the search for keys of one owner.
	keysTried = 4000
)

// target returns the keyed service of the deployment as a target.
func (r *running) target() load.Target {
	for _, s := range r.Document.Services {
		if s.Keyed {
			return load.Target{Service: s.Name, Keyed: true, IdempotentShare: 0.5}
		}
	}
	return load.Target{}
}

// keysOf returns keys that have one owner, the owner, and the VM that holds their shard.
func (r *running) keysOf(ctx context.Context) ([]string, api.UpstreamID, *cluster.VM, error) {
	var keys []string
	var owner api.UpstreamID
	var holder api.VMID
	for i := 0; i < keysTried && len(keys) < probedKeys; i++ {
		key := fmt.Sprintf("key-%d", i)
		x, err := r.VMs[0].Explain(ctx, r.target().Service, key)
		if err != nil {
			return nil, "", nil, err
		}
		// The owner is known only to the holder, which is asked if it is another VM.
		for _, vm := range r.VMs {
			if x.Owner == "" && vm.Settings.VM == x.Holder {
				if x, err = vm.Explain(ctx, r.target().Service, key); err != nil {
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
	return nil, "", nil, errors.New("found no keys of one owner")
}

// entries returns the VMs that probes go through.
func (r *running) entries() []string {
	if r.avoid == nil {
		return r.Entries()
	}
	return slices.DeleteFunc(r.Entries(), func(url string) bool { return url == "http://"+r.avoid.Settings.Listen.Callers })
}

// probe sends probes for keys while steps run, and for a while after them.
func (r *running) probe(ctx context.Context, keys []string, every, after time.Duration, steps func() error) ([]load.Result, error) {
	probeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var results []load.Result
	var group sync.WaitGroup
	group.Go(func() {
		results = load.Probe(probeCtx, load.Options{Entries: r.entries, Workers: 200, Timeout: 3 * time.Second}, r.target(), keys, every)
	})
	pause(ctx, time.Second)
	err := steps()
	pause(ctx, after)
	cancel()
	group.Wait()
	return results, err
}

// gaps returns the longest time without an answer to idempotent and other probes of a key.
func gaps(results []load.Result) (repeatable, other time.Duration) {
	var split [2][]load.Result
	for _, r := range results {
		i := 0
		if r.RequestID != "" {
			i = 1
		}
		split[i] = append(split[i], r)
	}
	repeatable, _ = history.LongestGap(split[0])
	other, _ = history.LongestGap(split[1])
	return repeatable, other
}

// ownerLoss measures for how long keys are not served after the loss of their owner.
func ownerLoss(ctx context.Context, e env) ([]metric.Metric, error) {
	var out []metric.Metric
	for _, c := range []struct {
		name              string
		holder, storeDown bool
	}{{"owner", false, false}, {"owner_and_holder", true, false}, {"owner_and_holder_store_down", true, true}} {
		repeatable, other, err := e.loseOwner(ctx, c.holder, c.storeDown)
		if err != nil {
			return out, errors.WithMessage(err, c.name)
		}
		name := "key_unavailable_after_owner_loss." + c.name
		out = append(out,
			e.bounded(name+".idempotent", repeatable.Seconds(), "s", 2, "probes every 100 ms for each of 8 keys"),
			e.bounded(name+".not_repeatable", other.Seconds(), "s", 2, "probes every 100 ms for each of 8 keys"))
	}
	return out, nil
}

func (e env) loseOwner(ctx context.Context, loseHolder, storeDown bool) (repeatable, other time.Duration, err error) {
	r, err := e.start(ctx, vmCount, serviceTime)
	if err != nil {
		return 0, 0, err
	}
	defer r.Stop()
	keys, owner, holder, err := r.keysOf(ctx)
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
	if err := endedWell(results); err != nil {
		return 0, 0, err
	}
	repeatable, other = gaps(results)
	return repeatable, other, nil
}

// endedWell checks that the last probe of each kind and key was answered: a gap
// that has not ended is not measured.
func endedWell(results []load.Result) error {
	type kind struct {
		key        string
		repeatable bool
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
			return errors.Errorf("key %s (repeatable %v) was not served at the end: %s %s", k.key, k.repeatable, r.Outcome, r.Refusal)
		}
	}
	return nil
}

package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/bench/load"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/config"
)

const (
	// deploymentVMs is the size for which section 1.6 states bounds.
	deploymentVMs = 12
	idleSeconds   = 5
	outSeconds    = 6
	backSeconds   = 6
	offeredRate   = 400
)

// deployment measures configuration changes, store calls, and taking a failure
// domain out and back in.
func deployment(ctx context.Context, e env) ([]metric.Metric, error) {
	var out []metric.Metric
	reads, writes := map[int]float64{}, map[int]float64{}
	for _, vms := range []int{4, 8, deploymentVMs} {
		r, err := e.start(ctx, vms, serviceTime)
		if err != nil {
			return out, err
		}
		reads[vms], writes[vms] = r.storeRates(ctx, idleSeconds)
		if vms == deploymentVMs {
			out = append(out,
				e.bounded("store_reads_per_second.at_rest", reads[vms], "1/s", 2000, "12 VMs"),
				e.bounded("store_writes_per_second.at_rest", writes[vms], "1/s", 300, "12 VMs"))
			var more []metric.Metric
			if more, err = e.measureChanges(ctx, r); err == nil {
				out = append(out, more...)
				more, err = e.domainOutAndBack(ctx, r)
				out = append(out, more...)
			}
		}
		r.Stop()
		if err != nil {
			return out, err
		}
	}
	span := float64(deploymentVMs - 4)
	return append(out,
		e.measured("store_reads_per_second.slope", (reads[deploymentVMs]-reads[4])/span, "1/s per VM", fmt.Sprintf("from 4, 8, 12 VMs at rest: %.1f, %.1f, %.1f", reads[4], reads[8], reads[12])),
		e.measured("store_writes_per_second.slope", (writes[deploymentVMs]-writes[4])/span, "1/s per VM", fmt.Sprintf("from 4, 8, 12 VMs at rest: %.1f, %.1f, %.1f", writes[4], writes[8], writes[12])),
	), nil
}

// storeRates returns the highest rates of store calls in any of some seconds.
func (r *testCluster) storeRates(ctx context.Context, seconds int) (reads, writes float64) {
	before, start := r.Table.Counts(), time.Now()
	for range seconds {
		pause(ctx, time.Second)
		after, now := r.Table.Counts(), time.Now()
		elapsed := now.Sub(start).Seconds()
		reads = max(reads, float64(after.Reads-before.Reads)/elapsed)
		writes = max(writes, float64(after.Writes-before.Writes)/elapsed)
		before, start = after, now
	}
	return reads, writes
}

// measureChanges measures how long configuration changes take until they are in force everywhere.
func (e env) measureChanges(ctx context.Context, r *testCluster) ([]metric.Metric, error) {
	slowest := time.Duration(0)
	for i, preset := range []string{"peak", "ordinary", "peak", "ordinary", "peak", "ordinary"} {
		id := fmt.Sprintf("measure-preset-%d", i)
		start := time.Now()
		if err := r.change(ctx, id, config.SetPreset, preset); err != nil {
			return nil, err
		}
		if err := r.waitInForce(ctx, id); err != nil {
			return nil, err
		}
		slowest = max(slowest, time.Since(start))
	}
	return []metric.Metric{e.bounded("config_in_force", slowest.Seconds(), "s", 2, "12 VMs, slowest of 6 changes")}, nil
}

func (r *testCluster) waitInForce(ctx context.Context, id string) error {
	for {
		status, err := r.VMs[0].Operation(ctx, id)
		if err != nil {
			return err
		}
		if status.State == admin.StateInForce {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("operation %s is %s, waiting for %v", id, status.State, status.Waiting)
		}
		pause(ctx, 10*time.Millisecond)
	}
}

// domainOutAndBack takes a failure domain out and puts it back under load.
func (e env) domainOutAndBack(ctx context.Context, r *testCluster) ([]metric.Metric, error) {
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var report *load.Report
	var group sync.WaitGroup
	o := load.Options{
		Entries: r.Entries, Keys: 500, Zipf: 1.2, Rate: offeredRate, Workers: 400, Timeout: time.Second, Seed: e.seed,
	}
	for _, s := range r.Document.Services {
		o.Targets = append(o.Targets, load.Target{Service: s.Name, Keyed: s.Keyed, IdempotentShare: 0.5})
	}
	group.Go(func() { report = load.Run(loadCtx, o) })
	pause(ctx, 2*time.Second)
	domain := r.Document.FailureDomains[1].Name
	if err := r.change(ctx, "measure-out", config.DomainOut, string(domain)); err != nil {
		return nil, err
	}
	accepted := time.Now()
	reads, writes := r.storeRates(ctx, outSeconds)
	returned := time.Now()
	if err := r.change(ctx, "measure-in", config.DomainIn, string(domain)); err != nil {
		return nil, err
	}
	pause(ctx, backSeconds*time.Second)
	cancel()
	group.Wait()
	if err := r.waitRunsEnded(ctx); err != nil {
		return nil, err
	}
	last, earlier := r.lastRunInDomain(domain, accepted, returned)
	if earlier == 0 {
		return nil, errors.Errorf("failure domain %s ran no requests before it was taken out", domain)
	}
	goodput, second := worstSecond(report.Results)
	return []metric.Metric{
		e.bounded("domain_out_last_new_work", last.Seconds(), "s", 3, "after the change was written"),
		e.bounded("store_reads_per_second.domain_out", reads, "1/s", 2000, "12 VMs, worst second"),
		e.bounded("store_writes_per_second.domain_out", writes, "1/s", 300, "12 VMs, worst second"),
		e.measured("goodput_domain_out_and_back", goodput, "share", fmt.Sprintf("worst second: %d; domain out at 2 s, back at %d s; 400 requests a second, answered within 1 s", second, 2+outSeconds)),
	}, nil
}

// lastRunInDomain returns how long after out the last run started on an upstream
// of the domain, and how many runs the domain had before.
func (r *testCluster) lastRunInDomain(domain api.FailureDomain, out, back time.Time) (last time.Duration, earlier int) {
	inDomain := map[api.UpstreamID]bool{}
	for _, s := range r.Document.Services {
		for _, u := range s.Upstreams {
			inDomain[u.ID] = u.FailureDomain == domain
		}
	}
	for _, run := range r.log.Runs() {
		switch {
		case !inDomain[run.Upstream]:
		case run.Start.Before(out):
			earlier++
		case run.Start.Before(back):
			last = max(last, run.Start.Sub(out))
		}
	}
	return last, earlier
}

// worstSecond returns the lowest share of requests sent in one second that were
// answered, and that second.
func worstSecond(results []load.Result) (share float64, second int) {
	if len(results) == 0 {
		return 0, 0
	}
	start := results[0].Start
	for _, r := range results {
		if r.Start.Before(start) {
			start = r.Start
		}
	}
	sent, answered := map[int]int{}, map[int]int{}
	for _, r := range results {
		s := int(r.Start.Sub(start) / time.Second)
		sent[s]++
		if r.Outcome == api.Answered {
			answered[s]++
		}
	}
	share = 1
	for s, n := range sent {
		// Partial seconds, such as the last one, do not count.
		if got := float64(answered[s]) / float64(n); got < share && n >= offeredRate/2 {
			share, second = got, s
		}
	}
	return share, second
}

package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/history"
	"dandelionhill.dev/bench/load"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/fakes/table"
	"dandelionhill.dev/fakes/upstream"
)

const (
	// minRequests is the number of requests that section 1.6 of the design page
	// requires.
	minRequests      = 100_000
	faultRate        = 2500
	faultSeconds     = 42
	faultServiceTime = time.Millisecond
)

// faults sends at least 100,000 requests while components fail, one after another
// and together, and checks the invariants on the history of all runs.
func faults(ctx context.Context, e env) ([]metric.Metric, error) {
	r, err := e.start(ctx, vmCount, faultServiceTime)
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	loadCtx, cancel := context.WithTimeout(ctx, faultSeconds*time.Second)
	defer cancel()
	o := load.Options{
		// Uniform keys keep the histories of single keys short enough for porcupine.
		Entries: r.Entries, Keys: 1000, Rate: faultRate, Workers: 500, Timeout: time.Second, MaxRetries: 2, Seed: e.seed,
	}
	for _, s := range r.Document.Services {
		o.Targets = append(o.Targets, load.Target{Service: s.Name, Keyed: s.Keyed, IdempotentShare: 0.5})
	}
	var report *load.Report
	var group sync.WaitGroup
	group.Go(func() { report = load.Run(loadCtx, o) })
	err = r.injectFaults(loadCtx)
	group.Wait()
	if err != nil {
		return nil, err
	}
	if err := r.waitRunsEnded(ctx); err != nil {
		return nil, err
	}
	runs := r.log.Runs()
	note := fmt.Sprintf("%d requests, %d runs", len(report.Results), len(runs))
	if len(report.Results) < minRequests {
		err = errors.Errorf("only %d requests were sent, want %d", len(report.Results), minRequests)
	}
	overlaps := history.Overlaps(runs)
	if check := history.CheckOwnership(runs); (check == porcupine.Ok) != (len(overlaps) == 0) {
		err = errors.Errorf("the ownership checkers disagree: porcupine reports %v, %d overlaps", check, len(overlaps))
	}
	out := []metric.Metric{e.measured("requests_with_faults", float64(len(report.Results)), "count", "")}
	for _, c := range []struct {
		name  string
		cases []string
	}{
		{"ownership_overlaps", overlaps},
		{"duplicate_runs", history.Duplicates(runs)},
		{"false_not_run", history.FalseNotRun(report.Results, runs)},
		{"crossed_or_truncated_answers", history.MismatchedResponses(report.Results)},
	} {
		first := ""
		if len(c.cases) > 0 {
			first = "; first case: " + c.cases[0]
		}
		out = append(out, e.bounded(c.name, float64(len(c.cases)), "count", 0, note+first))
	}
	answered := 0
	for _, x := range report.Results {
		if x.Outcome == api.Answered {
			answered++
		}
	}
	return append(out, e.measured("answered_with_faults", float64(answered)/float64(max(1, len(report.Results))), "share", note)), err
}

// injectFaults injects faults one after another until the load ends.
func (r *testCluster) injectFaults(ctx context.Context) error {
	upstreamAt := func(i int) *upstream.Server { return r.Upstreams[r.Document.Services[0].Upstreams[i].ID] }
	domain := string(r.Document.FailureDomains[1].Name)
	steps := []func() error{
		func() error { upstreamAt(0).Crash(); return nil },
		func() error { upstreamAt(1).SetFaults(upstream.Faults{Frozen: true}); return nil },
		func() error { return upstreamAt(0).Restart() },
		func() error { upstreamAt(1).SetFaults(upstream.Faults{}); return nil },
		func() error { upstreamAt(2).SetFaults(upstream.Faults{Truncate: true}); return nil },
		func() error { upstreamAt(2).SetFaults(upstream.Faults{WrongNonce: true}); return nil },
		func() error { upstreamAt(2).SetFaults(upstream.Faults{}); return nil },
		func() error { r.VMs[3].Kill(); return nil },
		func() error { return r.change(ctx, "measure-fault-out", config.DomainOut, domain) },
		func() error { return r.VMs[3].Start() },
		func() error { r.Table.SetFaults(table.Faults{Down: true}); return nil },
		func() error { r.VMs[2].Pause(); upstreamAt(3).Crash(); return nil },
		func() error { return upstreamAt(3).Restart() },
		func() error { r.VMs[2].Resume(); return nil },
		func() error { r.Table.SetFaults(table.Faults{DropResponses: 3}); return nil },
		func() error { return r.change(ctx, "measure-fault-in", config.DomainIn, domain) },
		func() error { upstreamAt(4).SetFaults(upstream.Faults{SlowdownFactor: 10}); return nil },
		func() error { r.VMs[1].Kill(); upstreamAt(5).Crash(); return nil },
		func() error { upstreamAt(4).SetFaults(upstream.Faults{}); return nil },
		func() error { return r.VMs[1].Start() },
		func() error { return upstreamAt(5).Restart() },
		func() error { upstreamAt(6).SetFaults(upstream.Faults{Frozen: true}); return nil },
		func() error { r.VMs[0].Pause(); return nil },
		func() error { r.VMs[0].Resume(); upstreamAt(6).SetFaults(upstream.Faults{}); return nil },
	}
	interval := time.Duration(faultSeconds) * time.Second / time.Duration(len(steps)+2)
	for i, step := range steps {
		pause(ctx, interval)
		if err := step(); err != nil {
			return errors.WithMessagef(err, "fault %d", i)
		}
	}
	return nil
}

// plannedStop stops VMs gracefully under load and counts the requests that this interrupts.
func plannedStop(ctx context.Context, e env) ([]metric.Metric, error) {
	r, err := e.start(ctx, vmCount, serviceTime)
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := load.Options{Entries: r.Entries, Keys: 500, Zipf: 1.2, Rate: offeredRate, Workers: 200, Timeout: 2 * time.Second, Seed: e.seed}
	for _, s := range r.Document.Services {
		o.Targets = append(o.Targets, load.Target{Service: s.Name, Keyed: s.Keyed, IdempotentShare: 0.5})
	}
	var report *load.Report
	var group sync.WaitGroup
	group.Go(func() { report = load.Run(loadCtx, o) })
	pause(ctx, time.Second)
	for _, vm := range r.VMs[:2] {
		if err := vm.Stop(ctx); err != nil {
			return nil, err
		}
		if err := vm.Start(); err != nil {
			return nil, err
		}
		pause(ctx, 2*time.Second)
	}
	cancel()
	group.Wait()
	interrupted, answered := 0, 0
	for _, x := range report.Results {
		switch x.Outcome {
		case api.Unknown:
			interrupted++
		case api.Answered:
			answered++
		}
	}
	if 10*answered < 9*len(report.Results) {
		return nil, errors.Errorf("only %d of %d requests were answered: too few to count interrupted ones", answered, len(report.Results))
	}
	counts := ""
	for _, c := range history.CountUnanswered(report.Results) {
		counts += fmt.Sprintf("; %s: %d", c.Label, c.N)
	}
	return []metric.Metric{e.bounded("cut_requests_on_planned_stop", float64(interrupted), "count", 0,
		fmt.Sprintf("2 of 4 VMs stopped in turn, %d requests without retries%s", len(report.Results), counts))}, nil
}

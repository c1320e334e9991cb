// Command measure prints the metrics of section 1.6 of the design page, one per
// line. It starts deployments on loopback, with the entry VMs as separate
// processes, and stops them at the end. It exits with 1 if an experiment fails
// or an invariant is violated; each missed bound is printed as MISSED.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/bench/cluster"
	"dandelionhill.dev/bench/detectors"
	"dandelionhill.dev/bench/history"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/bench/placement"
	"dandelionhill.dev/bench/policy"
	"dandelionhill.dev/bench/tail"
	"dandelionhill.dev/core/config"
)

// totalTimeout bounds the whole run.
const totalTimeout = 5 * time.Minute

// experiment is a source of metrics.
type experiment struct {
	name string
	run  func(context.Context, env) ([]metric.Metric, error)
}

// experiments lists the experiments in the order in which they run.
var experiments = []experiment{
	{"owner_loss", ownerLoss},
	{"planned_move", plannedMove},
	{"planned_stop", plannedStop},
	{"deployment", deployment},
	{"faults", faults},
	{"configuration", configuration},
	{"direct", routerOverDirect},
	{"forwarding", forwarding},
	{"straggler", straggler},
	{"presets", presets},
	{"policy", func(_ context.Context, e env) ([]metric.Metric, error) { return policy.All(e.seed), nil }},
	{"tail", func(_ context.Context, e env) ([]metric.Metric, error) {
		return append(tail.Metrics(tail.Compare(tail.DefaultOptions(e.seed)), e.seed), tail.LastingStraggler(e.seed)...), nil
	}},
	{"detectors", func(_ context.Context, e env) ([]metric.Metric, error) {
		// docs/measurements.md has the figures for 200 traces and 10,000 observations
		// per false alarm; calibration for these smaller values takes a third of the time.
		o := detectors.DefaultOptions(e.seed)
		o.Traces, o.ARL = o.Traces/4, 3000
		return detectors.Metrics(detectors.Compare(o), e.seed), nil
	}},
	{"placement", func(_ context.Context, e env) ([]metric.Metric, error) { return placement.Measure(e.seed), nil }},
}

// invariants are the metrics that must be zero under any faults.
var invariants = []string{
	"ownership_overlaps", "duplicate_runs", "false_not_run", "crossed_or_truncated_answers", "cut_requests_on_planned_stop",
	"reverted_configurations", "lost_accepted_changes",
}

// lowerBounds are the metrics whose bound is a lower bound.
var lowerBounds = []string{"goodput_at_twice_capacity", "goodput_at_twice_capacity_unkeyed"}

// env has the parameters of the experiments.
type env struct {
	seed    uint64
	binary  string
	example string
	logs    string
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the loads and the fakes")
	binary := flag.String("daemon", "bin/dandelionhilld", "daemon program")
	example := flag.String("example", "examples/elozokozosseg/configuration.json", "configuration to run")
	only := flag.String("only", "", "experiments to run, separated by commas; empty runs all")
	logs := flag.String("logs", "", "directory for the logs of the VMs")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), totalTimeout)
	defer cancel()
	path, err := filepath.Abs(*binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
	os.Exit(runAll(ctx, env{seed: *seed, binary: path, example: *example, logs: *logs}, *only))
}

// runAll runs the experiments and returns the exit code.
func runAll(ctx context.Context, e env, only string) int {
	code := 0
	var missed []metric.Metric
	for _, x := range experiments {
		if only != "" && !contains(strings.Split(only, ","), x.name) {
			continue
		}
		start := time.Now()
		metrics, err := x.run(ctx, e)
		for _, m := range metrics {
			fmt.Println(m)
			if missesBound(m) {
				missed = append(missed, m)
			}
		}
		fmt.Fprintf(os.Stderr, "measure: %s took %.0f s\n", x.name, time.Since(start).Seconds())
		if err != nil {
			fmt.Fprintf(os.Stderr, "measure: %s: %v\n", x.name, err)
			code = 1
		}
	}
	for _, m := range missed {
		fmt.Println("MISSED", m, m.Note)
		if contains(invariants, m.Name) {
			code = 1
		}
	}
	return code
}

func missesBound(m metric.Metric) bool {
	if !m.HasBound {
		return false
	}
	if contains(lowerBounds, m.Name) {
		return m.Value < m.Bound
	}
	return !(m.Value <= m.Bound) // true for NaN
}

func contains(list []string, name string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}

// measured returns a metric without a bound.
func (e env) measured(name string, value float64, unit, note string) metric.Metric {
	return metric.Metric{Name: name, Value: value, Unit: unit, Seed: e.seed, Note: note}
}

// bounded returns a metric with its bound from section 1.6 of the design page.
func (e env) bounded(name string, value float64, unit string, bound float64, note string) metric.Metric {
	m := e.measured(name, value, unit, note)
	m.Bound, m.HasBound = bound, true
	return m
}

// testCluster is a running deployment with the history of its upstreams.
type testCluster struct {
	*cluster.Cluster
	log        history.RunLog
	excludedVM *cluster.VM // gets no probes
}

// start starts a deployment of the example and waits until it serves.
func (e env) start(ctx context.Context, vms int, serviceTime time.Duration) (*testCluster, error) {
	data, err := os.ReadFile(e.example)
	if err != nil {
		return nil, errors.Wrap(err, "read example")
	}
	doc, err := config.Parse(e.example, data)
	if err != nil {
		return nil, err
	}
	r := new(testCluster)
	r.Cluster, err = cluster.Start(ctx, cluster.Options{
		Document: doc, VMs: vms, ServiceTime: serviceTime, Recorder: &r.log, ListLag: 2 * time.Second,
		Binary: e.binary, LogDirectory: e.logs, Seed: e.seed,
	})
	if err != nil {
		return nil, err
	}
	if err := r.WaitServing(ctx); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

// change makes a change through the first serving VM.
func (r *testCluster) change(ctx context.Context, id string, kind config.ChangeKind, name string) error {
	for _, vm := range r.VMs {
		if !vm.InRotation() {
			continue
		}
		doc, err := vm.Config(ctx)
		if err != nil {
			return err
		}
		_, err = vm.Change(ctx, config.Change{OperationID: id, BaseRevision: doc.Revision, Kind: kind, Name: name})
		return err
	}
	return errors.New("no VM is serving")
}

// waitRunsEnded waits until no run is in progress, so that the history is complete.
func (r *testCluster) waitRunsEnded(ctx context.Context) error {
	for r.log.InProgress() > 0 {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return errors.New("runs of the upstreams did not end")
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

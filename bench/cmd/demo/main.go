// Command demo runs a shipped example on loopback, with fakes of the platform and
// the upstreams and with entry VMs as separate processes. It sends a bounded
// load, switches the preset, takes a failure domain out and brings it back,
// kills an upstream and an entry VM, and checks the invariants.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/bench/cluster"
	"dandelionhill.dev/bench/history"
	"dandelionhill.dev/bench/load"
	"dandelionhill.dev/core/config"
)

const (
	// totalTimeout bounds the whole demo.
	totalTimeout = 40 * time.Second
	// maxHold bounds the time for which -hold keeps the deployment running.
	maxHold = 10 * time.Minute
)

func main() {
	example := flag.String("example", "examples/elozokozosseg/configuration.json", "configuration to run")
	vms := flag.Int("vms", 4, "number of entry VMs")
	rate := flag.Float64("rate", 400, "requests a second")
	binary := flag.String("daemon", "bin/dandelionhilld", "daemon program; empty runs the VMs in this process")
	seed := flag.Uint64("seed", 1, "seed of the load and the fakes")
	logs := flag.String("logs", "", "directory for the logs of the VMs")
	hold := flag.Duration("hold", 0, "only start the deployment and keep it for this time, for trials with dandelionctl; at most 10m")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), totalTimeout+min(*hold, maxHold))
	defer cancel()
	d := demo{example: *example, vms: *vms, rate: *rate, binary: *binary, seed: *seed, logs: *logs, hold: min(*hold, maxHold)}
	if err := d.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

type demo struct {
	example string
	vms     int
	rate    float64
	binary  string
	seed    uint64
	logs    string
	hold    time.Duration

	cluster     *cluster.Cluster
	probeReport *load.Report
	killedVM    *cluster.VM
	log         history.RunLog
}

// step is a change or a fault while the load runs.
type step struct {
	at   time.Duration // after the start of the load
	name string
	do   func(ctx context.Context) error
}

func (d *demo) run(ctx context.Context) error {
	data, err := os.ReadFile(d.example)
	if err != nil {
		return errors.Wrap(err, "read example")
	}
	doc, err := config.Parse(d.example, data)
	if err != nil {
		return err
	}
	binary := d.binary
	if binary != "" {
		if binary, err = filepath.Abs(binary); err != nil {
			return err
		}
	}
	d.cluster, err = cluster.Start(ctx, cluster.Options{
		Document: doc, VMs: d.vms, ServiceTime: 4 * time.Millisecond, Recorder: &d.log,
		ListLag: 2 * time.Second, Binary: binary, LogDirectory: d.logs, Seed: d.seed,
	})
	if err != nil {
		return err
	}
	defer d.cluster.Stop()
	if err := d.cluster.WaitServing(ctx); err != nil {
		return err
	}
	fmt.Printf("%s: %d entry VMs, %d upstreams, %.0f requests a second\n", doc.Region, d.vms, len(d.cluster.Upstreams), d.rate)
	if d.hold > 0 {
		d.keepRunning(ctx)
		return nil
	}
	report, err := d.loadWithSteps(ctx)
	if err != nil {
		return err
	}
	for _, vm := range d.cluster.VMs {
		if vm.Running() {
			if err := vm.Stop(ctx); err != nil {
				return err
			}
		}
	}
	return d.printReport(report)
}

// keepRunning prints how to reach the deployment and waits.
func (d *demo) keepRunning(ctx context.Context) {
	fmt.Printf("token: %s\n", cluster.Token)
	for _, vm := range d.cluster.VMs {
		fmt.Printf("%s: callers http://%s, admin %s\n", vm.Settings.VM, vm.Settings.Listen.Callers, vm.Settings.Listen.Admin)
	}
	select {
	case <-time.After(d.hold):
	case <-ctx.Done():
	}
}

// loadWithSteps sends the load while the steps run.
func (d *demo) loadWithSteps(ctx context.Context) (*load.Report, error) {
	steps := d.steps()
	duration := steps[len(steps)-1].at + 3*time.Second
	loadCtx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	done := make(chan *load.Report, 1)
	go func() { done <- load.Run(loadCtx, d.loadOptions()) }()
	probesDone := make(chan *load.Report, 1)
	go func() { probesDone <- load.Run(loadCtx, d.probeOptions()) }()
	start := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(s.at)))
		fmt.Printf("%5.1f s  %s\n", time.Since(start).Seconds(), s.name)
		if err := s.do(ctx); err != nil {
			cancel()
			<-done
			return nil, errors.WithMessage(err, s.name)
		}
	}
	d.probeReport = <-probesDone
	return <-done, nil
}

// The number of keys probed, and the probes of each per second.
const (
	probeKeys = 8
	probeRate = 20
)

// probeOptions describes a load on a few keys whose rate is high enough that the
// gaps between answers show how long a key was unavailable.
func (d *demo) probeOptions() load.Options {
	o := d.loadOptions()
	o.Targets = nil
	for _, s := range d.cluster.Document.Services {
		if s.Keyed {
			o.Targets = append(o.Targets, load.Target{Service: s.Name, Keyed: true, IdempotentShare: 0.5})
		}
	}
	o.Keys, o.Zipf, o.Rate, o.MaxRetries = probeKeys, 0, probeKeys*probeRate, 0
	o.Seed++
	return o
}

func (d *demo) loadOptions() load.Options {
	o := load.Options{
		Entries: d.cluster.Entries, Keys: 500, Zipf: 1.2, Rate: d.rate, Workers: 200,
		Timeout: 2 * time.Second, MaxRetries: 3, Seed: d.seed,
	}
	for _, s := range d.cluster.Document.Services {
		o.Targets = append(o.Targets, load.Target{Service: s.Name, Keyed: s.Keyed, IdempotentShare: 0.5})
	}
	return o
}

func (d *demo) steps() []step {
	domain := d.cluster.Document.FailureDomains[1].Name
	change := func(id string, kind config.ChangeKind, name string) func(context.Context) error {
		return func(ctx context.Context) error { return d.makeChange(ctx, id, kind, name) }
	}
	return []step{
		{2 * time.Second, "switch to preset peak", change("demo-1", config.SetPreset, "peak")},
		{4 * time.Second, "take failure domain " + string(domain) + " out", change("demo-2", config.DomainOut, string(domain))},
		{7 * time.Second, "bring failure domain " + string(domain) + " back", change("demo-3", config.DomainIn, string(domain))},
		{9 * time.Second, "kill the upstream " + string(d.upstreamToKill()), d.killUpstream},
		{11 * time.Second, "kill the entry VM that holds the first shard of " + string(d.cluster.Document.Services[0].Name), d.killHolder},
		{13 * time.Second, "restart both", d.restart},
	}
}

// upstreamToKill returns the first upstream of the first service.
func (d *demo) upstreamToKill() api.UpstreamID { return d.cluster.Document.Services[0].Upstreams[0].ID }

func (d *demo) makeChange(ctx context.Context, id string, kind config.ChangeKind, name string) error {
	vm := d.cluster.VMs[0]
	doc, err := vm.Config(ctx)
	if err != nil {
		return err
	}
	_, err = vm.Change(ctx, config.Change{OperationID: id, BaseRevision: doc.Revision, Kind: kind, Name: name})
	return err
}

func (d *demo) killUpstream(context.Context) error {
	d.cluster.Upstreams[d.upstreamToKill()].Crash()
	return nil
}

func (d *demo) killHolder(ctx context.Context) error {
	status, err := d.cluster.VMs[0].Status(ctx)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(status.Shards, func(s admin.ShardStatus) bool { return s.Shard.Service == d.cluster.Document.Services[0].Name })
	if i < 0 {
		return errors.New("no shard of the first service in the status")
	}
	for _, vm := range d.cluster.VMs {
		if vm.Settings.VM == status.Shards[i].Holder {
			d.killedVM = vm
			vm.Kill()
			return nil
		}
	}
	return errors.Errorf("shard %s has no holder", status.Shards[i].Shard)
}

func (d *demo) restart(context.Context) error {
	if err := d.cluster.Upstreams[d.upstreamToKill()].Restart(); err != nil {
		return err
	}
	return d.killedVM.Start()
}

// printReport prints the table and returns an error if an invariant was violated.
func (d *demo) printReport(r *load.Report) error {
	runs := d.log.Runs()
	answered := 0
	for _, result := range r.Results {
		if result.Outcome == api.Answered {
			answered++
		}
	}
	gap, key := history.LongestGap(d.probeReport.Results)
	violations := map[string][]string{
		"runs counted twice":         history.Duplicates(runs),
		"key owners overlapping":     history.Overlaps(runs),
		"false refusals as not run":  history.FalseNotRun(slices.Concat(r.Results, d.probeReport.Results), runs),
		"answers of another request": history.MismatchedResponses(slices.Concat(r.Results, d.probeReport.Results)),
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests\t%d\n", len(r.Results))
	fmt.Fprintf(w, "answered\t%d\t(%.2f%%)\n", answered, 100*float64(answered)/float64(max(1, len(r.Results))))
	for _, c := range history.CountUnanswered(r.Results) {
		fmt.Fprintf(w, "%s\t%d\n", c.Label, c.N)
	}
	for _, name := range []string{"runs counted twice", "key owners overlapping", "false refusals as not run", "answers of another request"} {
		fmt.Fprintf(w, "%s\t%d\t(must be 0)\n", name, len(violations[name]))
	}
	fmt.Fprintf(w, "longest unavailable time of a key\t%d ms\t(%s; %d keys asked for %d times a second each)\n",
		gap.Milliseconds(), key, probeKeys, probeRate)
	fmt.Fprintf(w, "p50 / p99 of answered requests\t%.1f ms / %.1f ms\n",
		float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(99))/1000)
	w.Flush()
	return checkInvariants(violations, answered)
}

func checkInvariants(violations map[string][]string, answered int) error {
	if answered == 0 {
		return errors.New("no request was answered")
	}
	for name, cases := range violations {
		if len(cases) > 0 {
			return errors.Errorf("%s: %s", name, cases[0])
		}
	}
	return nil
}

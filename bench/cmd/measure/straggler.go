package main

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/cluster"
	"dandelionhill.dev/bench/load"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/fakes/upstream"
)

const (
	// stragglerUpstreams is the number of upstreams of each service, of which one is slow.
	stragglerUpstreams = 6
	slowdown           = 10
	// stragglerService is long against the delays of a busy machine, and short
	// enough that a run of a slow owner mostly ends within its lease.
	stragglerService = 20 * time.Millisecond
	stragglerLoad    = 0.5 // of the capacity of each service
	// stragglerWarm bounds the wait before the phases.
	stragglerWarm    = 20 * time.Second
	stragglerPhase   = 3 * time.Second
	stragglerTimeout = time.Second
	// returnSafe is the time after the start in which no shard is handed to its
	// preferred holder: the control loop waits 10 s.
	returnSafe = 9 * time.Second
	// stragglerKeys is few enough that each key runs several times in a phase,
	// which tells its owner.
	stragglerKeys = 400
	withoutHedges = "without_hedges"
)

// startWith starts a deployment with the options and waits until it serves.
func (e env) startWith(ctx context.Context, o cluster.Options) (*running, error) {
	r := new(running)
	o.VMs, o.Recorder, o.ListLag, o.Binary, o.LogDirectory, o.Seed = vmCount, &r.log, 2*time.Second, e.binary, e.logs, e.seed
	var err error
	if r.Cluster, err = cluster.Start(ctx, o); err != nil {
		return nil, err
	}
	if err := r.WaitServing(ctx); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

// sibling returns the path of another example.
func (e env) sibling(name string) string {
	return filepath.Join(filepath.Dir(filepath.Dir(e.example)), name, filepath.Base(e.example))
}

// straggler measures the 99th percentile with one of 6 upstreams ten times
// slower over that without, for both services of Hooghly at once. If it is
// asked for by name, it measures the same without hedges as well; the full run
// has no time for that.
func straggler(ctx context.Context, e env) ([]metric.Metric, error) {
	doc, err := document(e.sibling("hooghly"))
	if err != nil {
		return nil, err
	}
	out, err := e.oneStraggler(ctx, doc, "")
	if err != nil || !strings.Contains(flag.Lookup("only").Value.String(), "straggler") {
		return out, err
	}
	doc = doc.Clone()
	for i := range doc.Presets {
		doc.Presets[i].HedgeBudget = 0
	}
	more, err := e.oneStraggler(ctx, doc, "."+withoutHedges)
	return append(out, more...), err
}

func (e env) oneStraggler(ctx context.Context, doc *config.Document, suffix string) ([]metric.Metric, error) {
	r, err := e.startWith(ctx, cluster.Options{
		Document: doc, UpstreamsPerService: stragglerUpstreams, ServiceTime: stragglerService,
		Upstream: func(c *upstream.Config) { c.WarmupRuns = 0 },
	})
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	serving := time.Now()
	o := load.Options{Entries: r.Entries, Keys: stragglerKeys, Workers: 1000, Timeout: stragglerTimeout, Seed: e.seed}
	slow := map[api.UpstreamID]bool{}
	for _, s := range r.Document.Services {
		o.Targets = append(o.Targets, load.Target{Service: s.Name, Keyed: s.Keyed, IdempotentShare: 0.5})
		o.Rate += stragglerLoad * float64(len(s.Upstreams)*s.Slots) / stragglerService.Seconds()
		slow[s.Upstreams[0].ID] = true
	}
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var report *load.Report
	var group sync.WaitGroup
	group.Go(func() { report = load.Run(loadCtx, o) })
	if err := r.warm(ctx, serving.Add(returnSafe-2*stragglerPhase)); err != nil {
		return nil, err
	}
	normal := time.Now()
	pause(ctx, stragglerPhase)
	slowed := time.Now()
	for id := range slow {
		r.Upstreams[id].SetFaults(upstream.Faults{SlowdownFactor: slowdown})
	}
	pause(ctx, stragglerPhase)
	cancel()
	group.Wait()
	if err := r.settled(ctx); err != nil {
		return nil, err
	}
	onSlow, onOther := map[string]bool{}, map[string]bool{} // keys by where they ran
	for _, run := range r.log.Runs() {
		switch {
		case run.Key == "":
		case slow[run.Upstream]:
			onSlow[run.Key] = true
		default:
			onOther[run.Key] = true
		}
	}
	var out []metric.Metric
	for _, t := range o.Targets {
		both := func(keep func(load.Result) bool) (before, after phase) {
			for _, x := range report.Results {
				switch {
				case x.Target != t || !keep(x) || x.Start.Before(normal):
				case x.Start.Before(slowed):
					before.add(x)
				default:
					after.add(x)
				}
			}
			return before, after
		}
		before, after := both(func(load.Result) bool { return true })
		if len(before.took) < 100 || before.refused*100 > len(before.took) {
			return out, errors.Errorf("%s refused %d of %d requests without a straggler: the ratio means nothing", t.Service, before.refused, len(before.took))
		}
		name := "p99_one_straggler_over_none"
		if !t.Keyed {
			out = append(out, e.bounded(name+".unkeyed"+suffix, after.p99()/before.p99(), "ratio", 1.5, "aim; "+compare(before, after)))
			continue
		}
		out = append(out, e.bounded(name+".keyed"+suffix, after.p99()/before.p99(), "ratio", 1.5, "aim; "+compare(before, after)))
		others := func(x load.Result) bool { return onOther[x.Key] && !onSlow[x.Key] }
		before, after = both(others)
		out = append(out,
			e.measured(name+".keyed_other_owners"+suffix, after.p99()/before.p99(), "ratio", compare(before, after)),
			e.measured("share_of_keys_of_other_owners"+suffix, 1-float64(len(onSlow))/float64(o.Keys), "share", ""))
	}
	return out, nil
}

// warm waits until no upstream is on its ramp. After early it also waits until
// each shard is with its preferred holder: a handover makes requests wait.
func (r *running) warm(ctx context.Context, early time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, stragglerWarm)
	defer cancel()
	for {
		status, err := r.VMs[0].Status(ctx)
		if err != nil {
			return errors.WithMessage(err, "wait for warm upstreams")
		}
		cold := 0
		for _, u := range status.Upstreams {
			if u.State != "active" {
				cold++
			}
		}
		away := 0
		for _, shard := range status.Shards {
			if len(shard.Members) == 0 || shard.Holder != shard.Members[0] {
				away++
			}
		}
		if cold == 0 && (away == 0 || time.Now().Before(early)) {
			return nil
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// phase holds the requests of one part of a load.
type phase struct {
	took    []time.Duration
	refused int
}

// add counts a request without an answer as one that took until its deadline.
func (p *phase) add(x load.Result) {
	if x.Outcome != api.Answered {
		p.refused++
		x.Latency = stragglerTimeout
	}
	p.took = append(p.took, x.Latency)
}

// p99 returns the 99th percentile in milliseconds.
func (p *phase) p99() float64 {
	if len(p.took) == 0 {
		return 0
	}
	slices.Sort(p.took)
	return p.took[(len(p.took)-1)*99/100].Seconds() * 1000
}

func compare(before, after phase) string {
	return fmt.Sprintf("%.0f ms over %.0f ms; without an answer: %d of %d, before %d of %d",
		after.p99(), before.p99(), after.refused, len(after.took), before.refused, len(before.took))
}

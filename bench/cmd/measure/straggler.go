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
	// stragglerServiceTime is long compared with the delays of a busy machine, and
	// short enough that most runs of a slow owner end within its lease.
	stragglerServiceTime = 20 * time.Millisecond
	stragglerUtilization = 0.5 // of the capacity of each service
	// stragglerWarmTimeout bounds the wait before the first phase.
	stragglerWarmTimeout = 20 * time.Second
	phaseDuration        = 3 * time.Second
	stragglerTimeout     = time.Second
	// minReturnDelay is the time after the start in which no shard is handed to its
	// preferred holder; the control loop waits 10 s before it does.
	minReturnDelay = 9 * time.Second
	// stragglerKeys is small enough that each key runs several times in a phase,
	// so that its owner is known from the runs.
	stragglerKeys = 400
	withoutHedges = "without_hedges"
)

// startWith starts a deployment with the options and waits until it serves.
func (e env) startWith(ctx context.Context, o cluster.Options) (*testCluster, error) {
	r := new(testCluster)
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

// otherExample returns the path of another example.
func (e env) otherExample(name string) string {
	return filepath.Join(filepath.Dir(filepath.Dir(e.example)), name, filepath.Base(e.example))
}

// straggler measures the ratio of the 99th percentiles with one of 6 upstreams
// ten times slower and with none, for both services of Hooghly at once. If it is
// selected by name, it also measures the ratio without hedges, for which the full
// run has no time.
func straggler(ctx context.Context, e env) ([]metric.Metric, error) {
	doc, err := readDocument(e.otherExample("hooghly"))
	if err != nil {
		return nil, err
	}
	out, err := e.measureStraggler(ctx, doc, "")
	if err != nil || !strings.Contains(flag.Lookup("only").Value.String(), "straggler") {
		return out, err
	}
	doc = doc.Clone()
	for i := range doc.Presets {
		doc.Presets[i].HedgeBudget = 0
	}
	more, err := e.measureStraggler(ctx, doc, "."+withoutHedges)
	return append(out, more...), err
}

func (e env) measureStraggler(ctx context.Context, doc *config.Document, suffix string) ([]metric.Metric, error) {
	r, err := e.startWith(ctx, cluster.Options{
		Document: doc, UpstreamsPerService: stragglerUpstreams, ServiceTime: stragglerServiceTime,
		ConfigureUpstream: func(c *upstream.Config) { c.WarmupRuns = 0 },
	})
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	servingSince := time.Now()
	o := load.Options{Entries: r.Entries, Keys: stragglerKeys, Workers: 1000, Timeout: stragglerTimeout, Seed: e.seed}
	slow := map[api.UpstreamID]bool{}
	for _, s := range r.Document.Services {
		o.Targets = append(o.Targets, load.Target{Service: s.Name, Keyed: s.Keyed, IdempotentShare: 0.5})
		o.Rate += stragglerUtilization * float64(len(s.Upstreams)*s.Slots) / stragglerServiceTime.Seconds()
		slow[s.Upstreams[0].ID] = true
	}
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var report *load.Report
	var group sync.WaitGroup
	group.Go(func() { report = load.Run(loadCtx, o) })
	if err := r.waitWarm(ctx, servingSince.Add(minReturnDelay-2*phaseDuration)); err != nil {
		return nil, err
	}
	phaseStart := time.Now()
	pause(ctx, phaseDuration)
	slowdownStart := time.Now()
	for id := range slow {
		r.Upstreams[id].SetFaults(upstream.Faults{SlowdownFactor: slowdown})
	}
	pause(ctx, phaseDuration)
	cancel()
	group.Wait()
	if err := r.waitRunsEnded(ctx); err != nil {
		return nil, err
	}
	onSlow, onOther := map[string]bool{}, map[string]bool{} // keys that ran there
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
		splitPhases := func(keep func(load.Result) bool) (before, after phase) {
			for _, x := range report.Results {
				switch {
				case x.Target != t || !keep(x) || x.Start.Before(phaseStart):
				case x.Start.Before(slowdownStart):
					before.add(x)
				default:
					after.add(x)
				}
			}
			return before, after
		}
		before, after := splitPhases(func(load.Result) bool { return true })
		if len(before.latencies) < 100 || before.unanswered*100 > len(before.latencies) {
			return out, errors.Errorf("%s refused %d of %d requests without a straggler: too many for a meaningful ratio", t.Service, before.unanswered, len(before.latencies))
		}
		name := "p99_one_straggler_over_none"
		if !t.Keyed {
			out = append(out, e.bounded(name+".unkeyed"+suffix, after.p99()/before.p99(), "ratio", 1.5, "aim; "+describePhases(before, after)))
			continue
		}
		out = append(out, e.bounded(name+".keyed"+suffix, after.p99()/before.p99(), "ratio", 1.5, "aim; "+describePhases(before, after)))
		ofOtherOwners := func(x load.Result) bool { return onOther[x.Key] && !onSlow[x.Key] }
		before, after = splitPhases(ofOtherOwners)
		out = append(out,
			e.measured(name+".keyed_other_owners"+suffix, after.p99()/before.p99(), "ratio", describePhases(before, after)),
			e.measured("share_of_keys_of_other_owners"+suffix, 1-float64(len(onSlow))/float64(o.Keys), "share", ""))
	}
	return out, nil
}

// waitWarm waits until no upstream is in slow start. After returnDeadline it also
// waits until each shard is at its preferred holder, because a handover delays
// requests.
func (r *testCluster) waitWarm(ctx context.Context, returnDeadline time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, stragglerWarmTimeout)
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
		notPreferred := 0
		for _, shard := range status.Shards {
			if len(shard.Members) == 0 || shard.Holder != shard.Members[0] {
				notPreferred++
			}
		}
		if cold == 0 && (notPreferred == 0 || time.Now().Before(returnDeadline)) {
			return nil
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// phase holds the requests of one part of a load.
type phase struct {
	latencies  []time.Duration
	unanswered int
}

// add counts a request without an answer with its timeout as the latency.
func (p *phase) add(x load.Result) {
	if x.Outcome != api.Answered {
		p.unanswered++
		x.Latency = stragglerTimeout
	}
	p.latencies = append(p.latencies, x.Latency)
}

// p99 returns the 99th percentile in milliseconds.
func (p *phase) p99() float64 {
	if len(p.latencies) == 0 {
		return 0
	}
	slices.Sort(p.latencies)
	return p.latencies[(len(p.latencies)-1)*99/100].Seconds() * 1000
}

func describePhases(before, after phase) string {
	return fmt.Sprintf("%.0f ms over %.0f ms; without an answer: %d of %d, before %d of %d",
		after.p99(), before.p99(), after.unanswered, len(after.latencies), before.unanswered, len(before.latencies))
}

package tail

import (
	"fmt"
	"math"
	"sync"
	"time"

	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/straggler"
)

// Options configures Compare.
type Options struct {
	Seed     uint64
	Runs     int // per policy
	Scenario Scenario
}

// DefaultOptions returns the options of the reported measurement.
func DefaultOptions(seed uint64) Options {
	return Options{Seed: seed, Runs: 20, Scenario: DefaultScenario()}
}

// NamedScenario is a variation of the default scenario.
type NamedScenario struct {
	Name string
	Scenario
}

// LastingScenario has a straggler that is slow for three minutes. Counting starts
// when the holder should have moved the keys that the straggler cannot serve.
func LastingScenario() Scenario {
	sc := DefaultScenario()
	sc.Keyed = true
	sc.SlowUntil, sc.End = sc.SlowFrom+3*time.Minute, sc.SlowFrom+181*time.Second
	sc.CountFrom = sc.SlowFrom + time.Minute
	return sc
}

// Scenarios returns the default scenario and three harder ones: a higher load, a
// shorter slowdown, of which the time to detection is a larger part, and service
// times with more variance.
func Scenarios() []NamedScenario {
	busy, short, varied := DefaultScenario(), DefaultScenario(), DefaultScenario()
	busy.Utilization = 0.7
	short.SlowUntil = short.SlowFrom + 5*time.Second
	varied.Deviation = 1
	return []NamedScenario{{"default", DefaultScenario()}, {"busy", busy}, {"short", short}, {"varied", varied}}
}

// Policies returns the policies compared.
func Policies() []Policy {
	policies := []Policy{
		{Name: "random", Random: true},
		{Name: "least_in_flight"},
		{Name: "hedge", Hedge: true},
	}
	for _, kind := range straggler.Kinds() {
		policies = append(policies, Policy{Name: "penalty_" + string(kind), Detector: kind})
	}
	for _, kind := range straggler.Kinds() {
		policies = append(policies, Policy{Name: "penalty_" + string(kind) + "_hedge", Detector: kind, Hedge: true})
	}
	// Variants without one of three rules, which show the effect of each rule.
	return append(policies,
		Policy{Name: "penalty_cusum_work_conserving", Detector: straggler.KindCUSUM, WorkConserving: true},
		Policy{Name: "penalty_cusum_hedge_work_conserving", Detector: straggler.KindCUSUM, Hedge: true, WorkConserving: true},
		Policy{Name: "penalty_cusum_hedge_ignore_cancelled", Detector: straggler.KindCUSUM, Hedge: true, IgnoreCancelled: true})
}

// KeyedPolicies returns the policies for a keyed service: keyed requests are
// never hedged, and only a lasting straggler loses keys. The last one shows that
// the count of moves detects a load measure that depends on the straggler's speed.
func KeyedPolicies() []Policy {
	return []Policy{
		{Name: "keyed"},
		{Name: "keyed_penalty_cusum", Detector: straggler.KindCUSUM},
		{Name: "keyed_load_by_run_time", LoadByRunTime: true},
	}
}

// Row holds the figures of one policy, each a mean over the runs with its
// standard error.
type Row struct {
	Policy string
	// P99Ratio is p99 with one straggler over p99 with none, in runs with the same seed.
	P99Ratio, P50Ratio, OthersP99Ratio Estimate
	P99WithoutStraggler                Estimate // seconds
	ExtraCalls                         Estimate // hedged calls over requests, with straggler
	MaxExtraCalls                      float64  // of any run, with or without straggler
	Refused                            Estimate // share of requests in the window
	OtherOwnerCalls                    int
	Moves, MovesWithoutStraggler       int      // of ranges in all runs, with straggler and without
	Detected                           Estimate // seconds from the slowdown to the mark
	NotDetected                        int
	FalseMarks                         Estimate // upstreams falsely marked per run, with straggler
}

// Estimate is a mean with its standard error.
type Estimate struct{ Mean, Error float64 }

// String formats the estimate as mean ± error.
func (e Estimate) String() string { return fmt.Sprintf("%.3g ± %.1g", e.Mean, e.Error) }

func estimate(values []float64) Estimate {
	n := float64(len(values))
	if n == 0 {
		return Estimate{math.NaN(), math.NaN()}
	}
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
	}
	for _, v := range values {
		squares += (v - sum/n) * (v - sum/n)
	}
	return Estimate{sum / n, math.Sqrt(squares / math.Max(n-1, 1) / n)}
}

// Compare runs all policies with the same arrivals.
func Compare(o Options) []Row {
	keyed := o.Scenario
	keyed.Keyed = true
	policies, keyedPolicies := Policies(), KeyedPolicies()
	rows := make([]Row, len(policies)+len(keyedPolicies))
	var running sync.WaitGroup
	for i := range rows {
		running.Go(func() {
			if i < len(policies) {
				rows[i] = comparePolicy(o.Scenario, policies[i], o)
			} else {
				rows[i] = comparePolicy(keyed, keyedPolicies[i-len(policies)], o)
			}
		})
	}
	running.Wait()
	return rows
}

func comparePolicy(sc Scenario, p Policy, o Options) Row {
	row := Row{Policy: p.Name}
	var ratio, ratio50, others, withoutP99, extra, refused, detected, falseMarks []float64
	for i := range o.Runs {
		seed := o.Seed<<32 | uint64(i)
		with := Run(sc, p, seed)
		healthy := sc
		healthy.Slowdown = 1
		without := Run(healthy, p, seed)
		ratio = append(ratio, with.P99.Seconds()/without.P99.Seconds())
		ratio50 = append(ratio50, with.P50.Seconds()/without.P50.Seconds())
		others = append(others, with.OthersP99.Seconds()/without.OthersP99.Seconds())
		withoutP99 = append(withoutP99, without.P99.Seconds())
		extra = append(extra, float64(with.Hedges)/float64(with.Requests))
		for _, r := range []Result{with, without} {
			row.MaxExtraCalls = math.Max(row.MaxExtraCalls, float64(r.Hedges)/float64(r.Requests))
			row.OtherOwnerCalls += r.OtherOwnerCalls
		}
		row.Moves += with.Moves
		row.MovesWithoutStraggler += without.Moves
		refused = append(refused, float64(with.Refused)/float64(with.Requests))
		falseMarks = append(falseMarks, float64(with.FalseMarks))
		if with.DetectedIn >= 0 {
			detected = append(detected, with.DetectedIn.Seconds())
		} else {
			row.NotDetected++
		}
	}
	row.P99Ratio, row.P50Ratio, row.OthersP99Ratio = estimate(ratio), estimate(ratio50), estimate(others)
	row.P99WithoutStraggler, row.ExtraCalls, row.Refused = estimate(withoutP99), estimate(extra), estimate(refused)
	row.Detected, row.FalseMarks = estimate(detected), estimate(falseMarks)
	return row
}

// String formats the row for a log.
func (r Row) String() string {
	return fmt.Sprintf("%-32s p99 ratio %v, p50 ratio %v, others' p99 ratio %v, p99 without straggler %v s, extra calls %v (max %.4f), refused %v, other owner %d, moves %d (without straggler %d), detected %v s (not detected %d), false marks %v",
		r.Policy, r.P99Ratio, r.P50Ratio, r.OthersP99Ratio, r.P99WithoutStraggler, r.ExtraCalls, r.MaxExtraCalls, r.Refused, r.OtherOwnerCalls, r.Moves, r.MovesWithoutStraggler, r.Detected, r.NotDetected, r.FalseMarks)
}

// LastingStraggler measures a keyed service with a lasting straggler, with and
// without moving keys away from it.
func LastingStraggler(seed uint64) []metric.Metric {
	const runs = 5
	o := Options{Seed: seed, Runs: runs, Scenario: LastingScenario()}
	var out []metric.Metric
	for _, p := range KeyedPolicies()[:2] {
		r := comparePolicy(o.Scenario, p, o)
		out = append(out, metric.Metric{
			Name: "p99_lasting_straggler_over_none_" + p.Name, Value: r.P99Ratio.Mean, Unit: "ratio", Bound: p99RatioBound, HasBound: activePolicies[p.Name], Seed: seed,
			Note: fmt.Sprintf("from a minute after the slowdown; standard error %.2g; aim; %d moves in %d runs", r.P99Ratio.Error, r.Moves, runs),
		})
	}
	return out
}

// Bounds of section 1.6 of the design page.
const (
	p99RatioBound   = 1.5
	extraCallsBound = 0.05
)

// activePolicies are the policies that the router uses, to which the bounds apply.
// The others are baselines, and variants that show that a check can fail.
var activePolicies = map[string]bool{"penalty_cusum": true, "penalty_cusum_hedge": true, "keyed_penalty_cusum": true}

// Metrics returns the rows as metrics.
func Metrics(rows []Row, seed uint64) []metric.Metric {
	var out []metric.Metric
	for _, r := range rows {
		judged := activePolicies[r.Policy]
		note := fmt.Sprintf("standard error %.2g; aim; without straggler p99 is %v", r.P99Ratio.Error, time.Duration(r.P99WithoutStraggler.Mean*float64(time.Second)).Round(time.Millisecond))
		out = append(out,
			metric.Metric{Name: "p99_one_straggler_over_none_" + r.Policy, Value: r.P99Ratio.Mean, Unit: "ratio", Bound: p99RatioBound, HasBound: judged, Seed: seed, Note: note},
			metric.Metric{Name: "hedged_extra_calls_" + r.Policy, Value: r.MaxExtraCalls, Unit: "share", Bound: extraCallsBound, HasBound: judged, Seed: seed, Note: "highest of all runs"},
			metric.Metric{Name: "straggler_moves_" + r.Policy, Value: float64(r.Moves - r.MovesWithoutStraggler), Unit: "ranges", Bound: 0, HasBound: judged, Seed: seed, Note: "moves planned with one straggler less those with none, in all runs"})
	}
	return out
}

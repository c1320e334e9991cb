package tail

import (
	"flag"
	"testing"
	"time"

	"dandelionhill.dev/core/straggler"
)

var (
	measureAll = flag.Bool("measure", false, "run the whole comparison and print its table")
	seed       = flag.Uint64("seed", 1, "seed of the comparison")
)

// TestMeasure prints the table of docs/measurements.md.
func TestMeasure(t *testing.T) {
	if !*measureAll {
		t.Skip("run with -measure -v for the whole comparison")
	}
	for _, sc := range Scenarios() {
		o := DefaultOptions(*seed)
		o.Scenario = sc.Scenario
		t.Log(sc.Name)
		for _, r := range Compare(o) {
			t.Log(r)
		}
	}
}

// shortScenario returns the default scenario with a shorter slowdown and fewer
// arrivals.
func shortScenario() Scenario {
	sc := DefaultScenario()
	sc.SlowUntil, sc.End = sc.SlowFrom+15*time.Second, sc.SlowFrom+16*time.Second
	return sc
}

// The bounds of section 1.6 must hold with the defaults of Monitor and Controller.
func TestStragglerIsContained(t *testing.T) {
	o := Options{Seed: *seed, Runs: 3, Scenario: shortScenario()}
	row := comparePolicy(o.Scenario, Policy{Detector: straggler.KindCUSUM, Hedge: true}, o)
	if row.P99Ratio.Mean > p99RatioBound {
		t.Errorf("p99 with one straggler over none is %v, want at most %v", row.P99Ratio, p99RatioBound)
	}
	if row.MaxExtraCalls > extraCallsBound || row.MaxExtraCalls == 0 {
		t.Errorf("hedged extra calls are %v of the requests, want some and at most %v", row.MaxExtraCalls, extraCallsBound)
	}
	// Without any policy the straggler must raise the p99, or the check cannot fail.
	if base := comparePolicy(o.Scenario, Policy{}, o); base.P99Ratio.Mean < 2 {
		t.Errorf("p99 ratio without policy is %v: the straggler has no effect in the simulation", base.P99Ratio)
	}
}

// A straggler must not make placement move keys, and the count of moves must
// detect a load measure that depends on the straggler's speed.
func TestStragglerMovesNoRange(t *testing.T) {
	o := Options{Seed: *seed, Runs: 3, Scenario: DefaultScenario()}
	o.Scenario.Keyed = true
	if row := comparePolicy(o.Scenario, Policy{Detector: straggler.KindCUSUM}, o); row.Moves != row.MovesWithoutStraggler || row.OtherOwnerCalls != 0 {
		t.Errorf("%d moves with a straggler, %d with none, %d calls to other owners", row.Moves, row.MovesWithoutStraggler, row.OtherOwnerCalls)
	}
	if row := comparePolicy(o.Scenario, Policy{LoadByRunTime: true}, o); row.Moves == 0 {
		t.Error("load by run time caused no move: the check cannot fail")
	}
}

func TestRunIsDeterministic(t *testing.T) {
	p := Policy{Detector: straggler.KindCUSUM, Hedge: true}
	if a, b := Run(shortScenario(), p, 5), Run(shortScenario(), p, 5); a != b {
		t.Errorf("same seed gave %+v and %+v", a, b)
	}
}

// TestLastingStragglerLosesItsKeys guards against a lasting straggler that keeps its keys.
func TestLastingStragglerLosesItsKeys(t *testing.T) {
	o := Options{Seed: *seed, Runs: 3, Scenario: LastingScenario()}
	if row := comparePolicy(o.Scenario, Policy{Detector: straggler.KindCUSUM}, o); row.P99Ratio.Mean > p99RatioBound {
		t.Errorf("p99 with a lasting straggler over none is %v, want at most %v", row.P99Ratio, p99RatioBound)
	}
	if base := comparePolicy(o.Scenario, Policy{}, o); base.P99Ratio.Mean < 2 || base.Moves != 0 {
		t.Errorf("p99 ratio without detection is %v with %d moves: the check cannot fail", base.P99Ratio, base.Moves)
	}
}

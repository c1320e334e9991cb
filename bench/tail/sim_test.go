package tail

import (
	"flag"
	"testing"
	"time"

	"dandelionhill.dev/core/straggler"
)

var (
	full = flag.Bool("measure", false, "run the whole comparison and print its table")
	seed = flag.Uint64("seed", 1, "seed of the comparison")
)

// TestMeasure prints the table of docs/measurements.md.
func TestMeasure(t *testing.T) {
	if !*full {
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

// shortRun is the default scenario with fewer arrivals.
func shortRun() Scenario {
	sc := DefaultScenario()
	sc.SlowUntil, sc.End = sc.SlowFrom+15*time.Second, sc.SlowFrom+16*time.Second
	return sc
}

// The bounds of section 1.6 must hold with the defaults of Monitor and Controller.
func TestStragglerIsContained(t *testing.T) {
	o := Options{Seed: *seed, Runs: 3, Scenario: shortRun()}
	row := compare(o.Scenario, Policy{Detector: straggler.KindCUSUM, Hedge: true}, o)
	if row.Ratio.Mean > ratioBound {
		t.Errorf("p99 with one straggler over none is %v, want at most %v", row.Ratio, ratioBound)
	}
	if row.MostExtraCalls > extraBound || row.MostExtraCalls == 0 {
		t.Errorf("hedged extra calls are %v of the requests, want some and at most %v", row.MostExtraCalls, extraBound)
	}
	// Without any policy the same model must show the harm, or it measures nothing.
	if base := compare(o.Scenario, Policy{}, o); base.Ratio.Mean < 2 {
		t.Errorf("p99 ratio without policy is %v: the straggler has no effect in the model", base.Ratio)
	}
}

// A straggler must not make placement move keys, and the count of moves must
// find a load figure that depends on the straggler's speed.
func TestStragglerMovesNoRange(t *testing.T) {
	o := Options{Seed: *seed, Runs: 3, Scenario: DefaultScenario()}
	o.Scenario.Keyed = true
	if row := compare(o.Scenario, Policy{Detector: straggler.KindCUSUM}, o); row.Moves != row.MovesNone || row.OtherOwner != 0 {
		t.Errorf("%d moves with a straggler, %d with none, %d calls to other owners", row.Moves, row.MovesNone, row.OtherOwner)
	}
	if row := compare(o.Scenario, Policy{LoadByRunTime: true}, o); row.Moves == 0 {
		t.Error("load by run time caused no move: the check cannot fail")
	}
}

func TestRunIsDeterministic(t *testing.T) {
	p := Policy{Detector: straggler.KindCUSUM, Hedge: true}
	if a, b := Run(shortRun(), p, 5), Run(shortRun(), p, 5); a != b {
		t.Errorf("same seed gave %+v and %+v", a, b)
	}
}

// Guards against a straggler that keeps its keys for as long as it is slow.
func TestLastingStragglerLosesItsKeys(t *testing.T) {
	o := Options{Seed: *seed, Runs: 3, Scenario: LastingScenario()}
	if row := compare(o.Scenario, Policy{Detector: straggler.KindCUSUM}, o); row.Ratio.Mean > ratioBound {
		t.Errorf("p99 with a lasting straggler over none is %v, want at most %v", row.Ratio, ratioBound)
	}
	if base := compare(o.Scenario, Policy{}, o); base.Ratio.Mean < 2 || base.Moves != 0 {
		t.Errorf("p99 ratio without detection is %v with %d moves: the check cannot fail", base.Ratio, base.Moves)
	}
}

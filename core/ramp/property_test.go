package ramp_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"dandelionhill.dev/core/ramp"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestReportsNeverRaise guards against a load report that leads to a higher
// limit, at once or later, and against limits outside 1 to full.
func TestReportsNeverRaise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		startCold := rapid.Bool().Draw(t, "cold")
		reported, plain := ramp.New(ramp.Config{NormalLatency: normal}, startCold), ramp.New(ramp.Config{NormalLatency: normal}, startCold)
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"answers": func(t *rapid.T) {
				took := time.Duration(rapid.IntRange(1, 50).Draw(t, "took")) * time.Millisecond
				shed := rapid.IntRange(0, 9).Draw(t, "shed") == 0
				for range rapid.IntRange(1, 40).Draw(t, "n") {
					now += took
					reported.Observe(now, took, shed)
					plain.Observe(now, took, shed)
				}
			},
			"report": func(t *rapid.T) { reported.Report(now, rapid.Float64().Draw(t, "load")) },
			"restart": func(*rapid.T) {
				reported.Restart(now)
				plain.Restart(now)
				if l := reported.Limit(now, full); l != 1 {
					t.Fatalf("limit %d after a restart", l)
				}
			},
			"": func(*rapid.T) {
				a, b := reported.Limit(now, full), plain.Limit(now, full)
				if a > b || a < 1 || b > full {
					t.Fatalf("limit %d with reports, %d without, full %d", a, b, full)
				}
			},
		})
	})
}

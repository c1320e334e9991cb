package tail

import (
	"flag"
	"testing"
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

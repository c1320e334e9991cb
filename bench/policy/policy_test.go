package policy

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"dandelionhill.dev/bench/metric"
	"github.com/stretchr/testify/require"
)

const seed = 1

var (
	measure     = flag.Bool("measure", false, "print all measures with their notes")
	measureSeed = flag.Uint64("seed", 1, "seed of TestMeasure")
)

// TestMeasure prints the figures of docs/measurements.md.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, m := range All(*measureSeed) {
		t.Log(m, m.Note)
	}
}

// checkBounds fails for each metric over its bound: most is the direction of the bound.
func checkBounds(t *testing.T, most bool, all []metric.Metric) {
	t.Helper()
	require.NotEmpty(t, all)
	for _, m := range all {
		t.Log(m, m.Note)
		if m.HasBound && (most && m.Value > m.Bound || !most && m.Value < m.Bound) {
			t.Errorf("%s is %v, bound %v (%s)", m.Name, m.Value, m.Bound, m.Note)
		}
	}
}

// TestGoodput guards against overload that makes the service do useless work.
func TestGoodput(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		checkBounds(t, false, Goodput(seed))
	}
}

// TestFairness guards against short requests that one hot key or one flooding
// caller pushes out. The page states no bound; the single queue is the baseline.
func TestFairness(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 8; seed++ {
		all := Fairness(seed)
		checkBounds(t, false, all)
		for i := 0; i < len(all); i += 2 {
			require.Greater(t, all[i].Value, all[i+1].Value, all[i].Name)
		}
	}
}

// TestCold guards against load that a cold upstream cannot bear.
func TestCold(t *testing.T) { checkCold(t, Cold) }

// TestKnownCold guards against load that a cold upstream cannot bear although
// the operators or an earlier start have shown how long it takes to warm up.
func TestKnownCold(t *testing.T) { checkCold(t, KnownCold) }

func checkCold(t *testing.T, all func(uint64) []metric.Metric) {
	t.Helper()
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		for _, m := range all(seed) {
			t.Run(m.Name+"/"+strings.TrimSpace(strings.Split(m.Note, ";")[1])+fmt.Sprintf("/seed=%d", seed), func(t *testing.T) { checkBounds(t, true, []metric.Metric{m}) })
		}
	}
}

// TestComeback guards against a slow start that costs callers more answers in
// time than the loss of the domain did.
func TestComeback(t *testing.T) {
	t.Parallel()
	for _, load := range comebackLoads {
		r := comebackRun(seed, load, coldness{warmAfter: 200, slow: 1}, 200)
		require.GreaterOrEqual(t, r.back, r.out)
		require.NotZero(t, r.warm)
		require.Zero(t, r.sheds)
	}
}

// TestCrash guards against one request that crashes upstream after upstream.
func TestCrash(t *testing.T) {
	t.Parallel()
	checkBounds(t, true, Crash(seed))
	crashes, _, _ := crashRun(seed, false)
	require.Greater(t, crashes, 2, "the measurement must show the crashes that the evidence prevents")
}

// TestDuplicates guards against second runs under resends and lost memories.
func TestDuplicates(t *testing.T) {
	t.Parallel()
	checkBounds(t, true, Duplicates(seed))
	duplicates, _, _, _ := runOrders(seed, true).count()
	require.Positive(t, duplicates, "the count must show the runs of a blind repeat")
}

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

// checkBounds fails for each metric that misses its bound, an upper bound if upper
// is set and a lower bound otherwise.
func checkBounds(t *testing.T, upper bool, all []metric.Metric) {
	t.Helper()
	require.NotEmpty(t, all)
	for _, m := range all {
		t.Log(m, m.Note)
		if m.HasBound && (upper && m.Value > m.Bound || !upper && m.Value < m.Bound) {
			t.Errorf("%s is %v, bound %v (%s)", m.Name, m.Value, m.Bound, m.Note)
		}
	}
}

// TestGoodput guards against a goodput collapse under overload.
func TestGoodput(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		checkBounds(t, false, Goodput(seed))
	}
}

// TestFairness guards against starvation of short requests by one hot key or one
// flooding caller. The design states no bound; a single queue is the baseline.
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

// TestColdStarts guards against overload of a cold upstream.
func TestColdStarts(t *testing.T) { checkCold(t, ColdStarts) }

// TestKnownColdStarts guards against overload of a cold upstream whose warm-up
// is stated in the settings or was learned from an earlier start.
func TestKnownColdStarts(t *testing.T) { checkCold(t, KnownColdStarts) }

func checkCold(t *testing.T, all func(uint64) []metric.Metric) {
	t.Helper()
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		for _, m := range all(seed) {
			t.Run(m.Name+"/"+strings.TrimSpace(strings.Split(m.Note, ";")[1])+fmt.Sprintf("/seed=%d", seed), func(t *testing.T) { checkBounds(t, true, []metric.Metric{m}) })
		}
	}
}

// TestDomainReturn guards against a slow start during which fewer requests are
// answered in time than while the domain was out.
func TestDomainReturn(t *testing.T) {
	t.Parallel()
	for _, load := range domainReturnLoads {
		r := domainReturnRun(seed, load, coldStart{warmAfter: 200, slowdown: 1}, 200)
		require.GreaterOrEqual(t, r.afterReturn, r.whileOut)
		require.NotZero(t, r.warmIn)
		require.Zero(t, r.sheds)
	}
}

// TestCrash guards against one request that crashes one upstream after another.
func TestCrash(t *testing.T) {
	t.Parallel()
	checkBounds(t, true, Crash(seed))
	crashes, _, _ := crashRun(seed, false)
	require.Greater(t, crashes, 2, "without evidence the request must crash more upstreams")
}

// TestDuplicates guards against second runs after retries and lost holders.
func TestDuplicates(t *testing.T) {
	t.Parallel()
	checkBounds(t, true, Duplicates(seed))
	duplicates, _, _, _ := runRequests(seed, true).count()
	require.Positive(t, duplicates, "without deduplication there must be duplicate runs")
}

package straggler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionhill.dev/api"
)

// simulation simulates n upstreams that respond every 10 ms with log-normal latency.
type simulation struct {
	m    *Monitor
	rng  *rand.Rand
	now  time.Duration
	n    int
	slow map[int]float64 // factor by upstream; absent means 1
}

func newSimulation(n int, seed uint64) *simulation {
	return &simulation{m: NewMonitor(DefaultConfig()), rng: rand.New(rand.NewPCG(seed, 0)), n: n, slow: map[int]float64{}}
}

func name(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("u%d", i)) }

// rounds simulates count responses of every upstream, in random order. If onlyProbes
// is set, stragglers respond only to probes.
func (sim *simulation) rounds(count int, onlyProbes bool) {
	for range count {
		sim.now += 10 * time.Millisecond
		sim.m.Tick(sim.now)
		for _, i := range sim.rng.Perm(sim.n) {
			if onlyProbes && sim.m.Penalty(name(i)) > 1 {
				continue
			}
			factor := sim.slow[i]
			if factor == 0 {
				factor = 1
			}
			sim.m.Observe(sim.now, name(i), time.Duration(factor*20e6*math.Exp(0.5*sim.rng.NormFloat64())))
		}
	}
}

func (sim *simulation) stragglers() (marked []int) {
	for i := range sim.n {
		if sim.m.Straggling(name(i)) {
			marked = append(marked, i)
		}
	}
	return marked
}

func TestMonitorMarksStragglerUntilItRecovers(t *testing.T) {
	for _, n := range []int{2, 3, 6, 30} {
		sim := newSimulation(n, 1)
		sim.rounds(200, false)
		require.Empty(t, sim.stragglers(), n)
		sim.slow[1] = 10
		sim.rounds(20, false)
		require.Equal(t, []int{1}, sim.stragglers(), n)
		require.Greater(t, sim.m.Penalty(name(1)), 3.0)
		require.Equal(t, 1.0, sim.m.Penalty(name(0)))
		sim.rounds(3000, true)
		require.Equal(t, []int{1}, sim.stragglers(), "probes with slow responses must not end the mark")
		sim.slow[1] = 1
		sim.rounds(2500, true)
		require.Empty(t, sim.stragglers(), "%d upstreams: probes at least every 16 s must detect the recovery", n)
	}
}

// TestMonitorIgnoresCommonSlowdown guards against marks when a shared dependency is slow: they
// would move load without benefit. Single marks are ordinary false alarms: the test allows
// them in one run of 20, and never two at a time.
func TestMonitorIgnoresCommonSlowdown(t *testing.T) {
	const runs = 200
	for _, factor := range []float64{2, 10, 100} {
		marked := 0
		for seed := range uint64(runs) {
			sim := newSimulation(6, seed)
			sim.rounds(200, false)
			for i := range sim.n {
				sim.slow[i] = factor
			}
			most := 0
			for range 100 {
				sim.rounds(1, false)
				most = max(most, len(sim.stragglers()))
			}
			require.LessOrEqual(t, most, 1, "factor %v seed %d", factor, seed)
			marked += most
		}
		require.LessOrEqual(t, marked, runs/20, "factor %v", factor)
	}
}

// TestMonitorIgnoresOutliers guards against a mark because of single slow responses, such as
// to large requests.
func TestMonitorIgnoresOutliers(t *testing.T) {
	sim := newSimulation(6, 1)
	sim.rounds(200, false)
	for range 20 {
		sim.m.Observe(sim.now, name(2), time.Hour)
		sim.m.Observe(sim.now, name(2), 20*time.Millisecond)
		require.Empty(t, sim.stragglers())
		sim.rounds(20, false)
	}
}

// TestMonitorMarksOnlyMinority guards against marks of most upstreams, which would leave the
// whole load to the rest.
func TestMonitorMarksOnlyMinority(t *testing.T) {
	sim := newSimulation(6, 1)
	sim.rounds(200, false)
	for i := range 4 {
		sim.slow[i] = 10
		sim.rounds(30, true)
		require.LessOrEqual(t, len(sim.stragglers()), 2)
	}
}

// TestMonitorIsDeterministic guards against decisions that depend on map iteration order.
func TestMonitorIsDeterministic(t *testing.T) {
	a, b := newSimulation(30, 9), newSimulation(30, 9)
	for range 50 {
		a.slow[3], b.slow[3] = 4, 4
		a.rounds(5, true)
		b.rounds(5, true)
		for i := range 30 {
			require.Equal(t, a.m.Penalty(name(i)), b.m.Penalty(name(i)))
		}
	}
}

func TestMonitorRemovesAbsentUpstreams(t *testing.T) {
	sim := newSimulation(6, 1)
	sim.rounds(200, false)
	sim.slow[0] = 10
	sim.rounds(30, false)
	require.Equal(t, []int{0}, sim.stragglers())
	sim.m.Tick(sim.now + time.Hour)
	require.Empty(t, sim.m.upstreams)
	require.Zero(t, sim.m.marked)
}

func TestSingleUpstreamIsNeverStraggler(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.rounds(200, false)
	sim.slow[0] = 10
	sim.rounds(200, false)
	require.Empty(t, sim.stragglers())
}

// TestCancelledRequestsCountOnlyIfSlow guards against short cancelled requests that make a
// straggler appear normal: a cancelled request shows only that the latency is at least its
// running time.
func TestCancelledRequestsCountOnlyIfSlow(t *testing.T) {
	sim := newSimulation(6, 1)
	sim.rounds(200, false)
	responses := sim.m.upstreams[name(1)].responses
	sim.m.RequestCancelled(sim.now, name(1), time.Millisecond)
	sim.m.RequestCancelled(sim.now, "unknown", time.Hour)
	require.Equal(t, responses, sim.m.upstreams[name(1)].responses)
	for range 10 {
		sim.m.RequestCancelled(sim.now, name(1), 200*time.Millisecond)
	}
	require.Equal(t, []int{1}, sim.stragglers())
}

// TestProbeEndsWhenRequestIsSent guards against a probe that does not end with the first
// request: many requests would go to a straggler until it has responded to one of them.
func TestProbeEndsWhenRequestIsSent(t *testing.T) {
	sim := newSimulation(6, 1)
	sim.rounds(200, false)
	sim.slow[1] = 10
	sim.rounds(20, false)
	require.Greater(t, sim.m.Penalty(name(1)), 1.0)
	sim.m.Tick(sim.now + time.Minute)
	require.Equal(t, 1.0, sim.m.Penalty(name(1)), "a probe is due")
	sim.m.RequestSent(name(1))
	require.Greater(t, sim.m.Penalty(name(1)), 1.0)
	require.True(t, sim.m.Straggling(name(1)))
}

// TestRelapseNeedsMoreEvidence guards against an upstream that is slow again soon after its
// recovery and recovers with the same evidence.
func TestRelapseNeedsMoreEvidence(t *testing.T) {
	sim := newSimulation(6, 1)
	sim.rounds(200, false)
	recovery := func() int {
		sim.slow[1] = 10
		for len(sim.stragglers()) == 0 {
			sim.rounds(1, false)
		}
		sim.slow[1] = 1
		sim.rounds(1, false) // the normal responses begin
		sim.now += 2 * time.Second
		n := 0
		for ; len(sim.stragglers()) > 0; n++ {
			sim.rounds(1, false)
		}
		return n
	}
	first := recovery()
	require.GreaterOrEqual(t, first+1, DefaultConfig().RecoverAfter)
	require.GreaterOrEqual(t, recovery(), 2*DefaultConfig().RecoverAfter-1)
}

// TestPenaltyRange guards against penalties outside the documented range for arbitrary
// observations.
func TestPenaltyRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMonitor(DefaultConfig())
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "pause"))
			up := name(rapid.IntRange(0, 3).Draw(t, "upstream"))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				m.Tick(now)
			case 1:
				m.RequestSent(up)
			case 2:
				m.RequestCancelled(now, up, time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "ran")))
			default:
				m.Observe(now, up, time.Duration(rapid.Int64Range(-1, 1e12).Draw(t, "took")))
			}
			marked := 0
			for i := range 4 {
				penalty := m.Penalty(name(i))
				require.True(t, penalty == 1 || penalty >= 3-1e-9 && penalty <= 20+1e-9, "penalty %v", penalty)
				if m.Straggling(name(i)) {
					marked++
				} else {
					require.Equal(t, 1.0, penalty)
				}
			}
			require.Equal(t, m.marked, marked)
			require.LessOrEqual(t, marked, 1, "at most a minority of four")
		}
	})
}

func TestShouldUseStraggler(t *testing.T) {
	require.True(t, ShouldUseStraggler(1, 0, 15), "not a straggler")
	require.False(t, ShouldUseStraggler(10, 1, 15), "the others are busy, but waiting is shorter")
	require.True(t, ShouldUseStraggler(10, 135, 15), "waiting takes as long as the straggler")
	require.True(t, ShouldUseStraggler(10, 1, 0), "there is no other upstream")
}

// TestFalseMarksStayNearCalibratedRate guards against noise of the reference that raises the
// rate of false marks above the calibrated one in a million responses. Two million responses
// have 2 on average and, with Poisson counts, more than 8 in fewer than 1 of 4,000 cases.
func TestFalseMarksStayNearCalibratedRate(t *testing.T) {
	for _, n := range []int{6, 30} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(n, 77)
			marks, before := 0, 0
			for range 2000000 / n {
				sim.rounds(1, false)
				marked := len(sim.stragglers())
				marks += max(0, marked-before)
				before = marked
			}
			require.LessOrEqual(t, marks, 8)
		})
	}
}

// TestLastingStraggler guards against keys that move because of a short straggler, and against
// a lasting one that is not distinguished from it.
func TestLastingStraggler(t *testing.T) {
	sim := newSimulation(6, 3)
	sim.rounds(100, false)
	sim.slow[0] = 10
	start := sim.now
	for sim.now < start+sim.m.cfg.LastingAfter {
		sim.rounds(1, false)
		require.False(t, sim.m.Lasting(sim.now, name(0)), "after %v", sim.now-start)
	}
	sim.rounds(200, false)
	require.True(t, sim.m.Lasting(sim.now, name(0)))
	require.False(t, sim.m.Lasting(sim.now, name(1)))
	sim.slow[0] = 1
	sim.rounds(500, false)
	require.False(t, sim.m.Lasting(sim.now, name(0)), "it has recovered")
}

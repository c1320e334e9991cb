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

// feed lets n upstreams answer every 10 ms with log-normal latency.
type feed struct {
	m    *Monitor
	rng  *rand.Rand
	now  time.Duration
	n    int
	slow map[int]float64 // factor by upstream; absent means 1
}

func newFeed(n int, seed uint64) *feed {
	return &feed{m: NewMonitor(DefaultConfig()), rng: rand.New(rand.NewPCG(seed, 0)), n: n, slow: map[int]float64{}}
}

func name(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("u%d", i)) }

// rounds lets every upstream answer count times, in random order. A straggler
// answers only its probes if spare is set.
func (f *feed) rounds(count int, spare bool) {
	for range count {
		f.now += 10 * time.Millisecond
		f.m.Tick(f.now)
		for _, i := range f.rng.Perm(f.n) {
			if spare && f.m.Penalty(name(i)) > 1 {
				continue
			}
			factor := f.slow[i]
			if factor == 0 {
				factor = 1
			}
			f.m.Observe(f.now, name(i), time.Duration(factor*20e6*math.Exp(0.5*f.rng.NormFloat64())))
		}
	}
}

func (f *feed) stragglers() (marked []int) {
	for i := range f.n {
		if f.m.Straggling(name(i)) {
			marked = append(marked, i)
		}
	}
	return marked
}

func TestMonitorFindsStragglerAndLetsItRecover(t *testing.T) {
	for _, n := range []int{2, 3, 6, 30} {
		f := newFeed(n, 1)
		f.rounds(200, false)
		require.Empty(t, f.stragglers(), n)
		f.slow[1] = 10
		f.rounds(20, false)
		require.Equal(t, []int{1}, f.stragglers(), n)
		require.Greater(t, f.m.Penalty(name(1)), 3.0)
		require.Equal(t, 1.0, f.m.Penalty(name(0)))
		f.rounds(3000, true)
		require.Equal(t, []int{1}, f.stragglers(), "probes of a slow upstream must not end its mark")
		f.slow[1] = 1
		f.rounds(2500, true)
		require.Empty(t, f.stragglers(), "%d upstreams: probes every 16 s at most must find the recovery", n)
	}
}

// Marking upstreams would move load for no benefit when a shared dependency is
// slow. Single marks are false alarms like others: the test allows them in one
// run of 20, and never two at a time.
func TestMonitorIgnoresCommonSlowdown(t *testing.T) {
	const runs = 200
	for _, factor := range []float64{2, 10, 100} {
		marked := 0
		for seed := range uint64(runs) {
			f := newFeed(6, seed)
			f.rounds(200, false)
			for i := range f.n {
				f.slow[i] = factor
			}
			most := 0
			for range 100 {
				f.rounds(1, false)
				most = max(most, len(f.stragglers()))
			}
			require.LessOrEqual(t, most, 1, "factor %v seed %d", factor, seed)
			marked += most
		}
		require.LessOrEqual(t, marked, runs/20, "factor %v", factor)
	}
}

// A single long answer, such as one large request, is not a straggler.
func TestMonitorIgnoresOutliers(t *testing.T) {
	f := newFeed(6, 1)
	f.rounds(200, false)
	for range 20 {
		f.m.Observe(f.now, name(2), time.Hour)
		f.m.Observe(f.now, name(2), 20*time.Millisecond)
		require.Empty(t, f.stragglers())
		f.rounds(20, false)
	}
}

// With most upstreams slow the rest must not be left alone with the load.
func TestMonitorMarksOnlyAMinority(t *testing.T) {
	f := newFeed(6, 1)
	f.rounds(200, false)
	for i := range 4 {
		f.slow[i] = 10
		f.rounds(30, true)
		require.LessOrEqual(t, len(f.stragglers()), 2)
	}
}

// The iteration order of maps must not influence decisions.
func TestMonitorIsDeterministic(t *testing.T) {
	a, b := newFeed(30, 9), newFeed(30, 9)
	for range 50 {
		a.slow[3], b.slow[3] = 4, 4
		a.rounds(5, true)
		b.rounds(5, true)
		for i := range 30 {
			require.Equal(t, a.m.Penalty(name(i)), b.m.Penalty(name(i)))
		}
	}
}

func TestMonitorForgetsAbsentUpstreams(t *testing.T) {
	f := newFeed(6, 1)
	f.rounds(200, false)
	f.slow[0] = 10
	f.rounds(30, false)
	require.Equal(t, []int{0}, f.stragglers())
	f.m.Tick(f.now + time.Hour)
	require.Empty(t, f.m.upstreams)
	require.Zero(t, f.m.marked)
}

func TestLonelyUpstreamIsNeverAStraggler(t *testing.T) {
	f := newFeed(1, 1)
	f.rounds(200, false)
	f.slow[0] = 10
	f.rounds(200, false)
	require.Empty(t, f.stragglers())
}

// A cancelled call says only that the latency is at least its running time:
// short ones must not make a straggler look normal.
func TestCancelledCallsCountOnlyIfSlow(t *testing.T) {
	f := newFeed(6, 1)
	f.rounds(200, false)
	answers := f.m.upstreams[name(1)].answers
	f.m.RequestCancelled(f.now, name(1), time.Millisecond)
	f.m.RequestCancelled(f.now, "unknown", time.Hour)
	require.Equal(t, answers, f.m.upstreams[name(1)].answers)
	for range 10 {
		f.m.RequestCancelled(f.now, name(1), 200*time.Millisecond)
	}
	require.Equal(t, []int{1}, f.stragglers())
}

// Without an end of the probe at the first request, many requests would go to a
// straggler until it has answered one of them.
func TestProbeEndsWhenARequestIsSent(t *testing.T) {
	f := newFeed(6, 1)
	f.rounds(200, false)
	f.slow[1] = 10
	f.rounds(20, false)
	require.Greater(t, f.m.Penalty(name(1)), 1.0)
	f.m.Tick(f.now + time.Minute)
	require.Equal(t, 1.0, f.m.Penalty(name(1)), "a probe is due")
	f.m.RequestSent(name(1))
	require.Greater(t, f.m.Penalty(name(1)), 1.0)
	require.True(t, f.m.Straggling(name(1)))
}

// An upstream that is slow again soon after its recovery must give more evidence.
func TestRelapseNeedsMoreEvidence(t *testing.T) {
	f := newFeed(6, 1)
	f.rounds(200, false)
	recovery := func() int {
		f.slow[1] = 10
		for len(f.stragglers()) == 0 {
			f.rounds(1, false)
		}
		f.slow[1] = 1
		f.rounds(1, false) // the normal answers begin
		f.now += 2 * time.Second
		n := 0
		for ; len(f.stragglers()) > 0; n++ {
			f.rounds(1, false)
		}
		return n
	}
	first := recovery()
	require.GreaterOrEqual(t, first+1, DefaultConfig().RecoverAfter)
	require.GreaterOrEqual(t, recovery(), 2*DefaultConfig().RecoverAfter-1)
}

// Penalties stay in the documented range whatever is observed.
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

func TestWorthUsing(t *testing.T) {
	require.True(t, WorthUsing(1, 0, 15), "not a straggler")
	require.False(t, WorthUsing(10, 1, 15), "the others are only busy")
	require.True(t, WorthUsing(10, 135, 15), "waiting takes as long as the straggler")
	require.True(t, WorthUsing(10, 1, 0), "there is no other upstream")
}

// The noise of the reference must not raise false marks above the setting of one
// in a million answers. Two million answers have 2 on average and, with Poisson
// counts, more than 8 in fewer than 1 of 4,000 cases.
func TestFalseMarksStayNearTheSetting(t *testing.T) {
	for _, n := range []int{6, 30} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newFeed(n, 77)
			marks, before := 0, 0
			for range 2000000 / n {
				f.rounds(1, false)
				marked := len(f.stragglers())
				marks += max(0, marked-before)
				before = marked
			}
			require.LessOrEqual(t, marks, 8)
		})
	}
}

// Guards against keys that move because of a moment's straggler, and against a
// lasting one that is not told from it.
func TestLastingStraggler(t *testing.T) {
	f := newFeed(6, 3)
	f.rounds(100, false)
	f.slow[0] = 10
	start := f.now
	for f.now < start+f.m.cfg.LastingAfter {
		f.rounds(1, false)
		require.False(t, f.m.Lasting(f.now, name(0)), "after %v", f.now-start)
	}
	f.rounds(200, false)
	require.True(t, f.m.Lasting(f.now, name(0)))
	require.False(t, f.m.Lasting(f.now, name(1)))
	f.slow[0] = 1
	f.rounds(500, false)
	require.False(t, f.m.Lasting(f.now, name(0)), "it has recovered")
}

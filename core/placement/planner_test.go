package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// fleet returns n active upstreams of capacity 10, assigned round-robin to the given
// number of failure domains.
func fleet(n, domains int) []Upstream {
	ups := make([]Upstream, n)
	for i := range ups {
		ups[i] = Upstream{
			ID: api.UpstreamID(fmt.Sprintf("u%02d", i)), Domain: api.FailureDomain(fmt.Sprintf("d%d", i%domains)),
			Capacity: 10, State: Active,
		}
	}
	return ups
}

// testInput returns an input with ranges without an owner, each with load 1.
func testInput(ranges int, ups []Upstream) Input {
	in := Input{Upstreams: ups, Owners: map[int]api.UpstreamID{}, Load: map[int]float64{}, Pinned: map[api.UpstreamID]bool{}}
	for r := range ranges {
		in.Owners[r], in.Load[r] = "", 1
	}
	return in
}

func apply(in Input, moves []Move) {
	for _, m := range moves {
		in.Owners[m.Range] = m.To
	}
}

func counts(in Input) map[api.UpstreamID]int {
	out := map[api.UpstreamID]int{}
	for _, owner := range in.Owners {
		out[owner]++
	}
	return out
}

// TestForcedMovesAreMinimalAndEven guards against ranges without an owner, and against moves
// of ranges whose owner stays, when upstreams leave.
func TestForcedMovesAreMinimalAndEven(t *testing.T) {
	for _, state := range []UpstreamState{Lost, Out, Draining} {
		in := testInput(96, fleet(8, 4))
		var p Planner
		apply(in, p.Plan(0, in, DefaultPolicy()))
		for _, n := range counts(in) {
			require.Equal(t, 12, n)
		}
		in.Upstreams[3].State, in.Upstreams[7].State = state, state
		moves := p.Plan(0, in, DefaultPolicy())
		require.Len(t, moves, 24)
		for _, m := range moves {
			require.True(t, m.Forced)
			require.Contains(t, []api.UpstreamID{"u03", "u07"}, m.From)
		}
		apply(in, moves)
		for _, n := range counts(in) {
			require.Equal(t, 16, n)
		}
	}
}

// TestPinnedUpstreamKeepsRanges guards against moving a range while its old owner may still
// run requests.
func TestPinnedUpstreamKeepsRanges(t *testing.T) {
	in := testInput(20, fleet(4, 4))
	var p Planner
	apply(in, p.Plan(0, in, DefaultPolicy()))
	in.Upstreams[0].State, in.Pinned["u00"] = Lost, true
	require.Empty(t, p.Plan(0, in, DefaultPolicy()))
	in.Upstreams = in.Upstreams[1:]
	require.Empty(t, p.Plan(0, in, DefaultPolicy()), "removed from the list while pinned")
	in.Pinned = nil
	require.Len(t, p.Plan(0, in, DefaultPolicy()), 5)
}

// TestColdUpstreamsReceiveWithinCapacity guards against a cold upstream that gets more than
// its slow-start limit.
func TestColdUpstreamsReceiveWithinCapacity(t *testing.T) {
	in := testInput(30, fleet(4, 4))
	in.Upstreams[1].State, in.Upstreams[1].Capacity = Cold, 3
	var p Planner
	apply(in, p.Plan(0, in, DefaultPolicy()))
	require.Equal(t, map[api.UpstreamID]int{"u00": 9, "u01": 3, "u02": 9, "u03": 9}, counts(in))

	for i := range in.Upstreams { // without an active upstream, ranges still need an owner
		in.Upstreams[i].State = Cold
	}
	in.Upstreams[0].State = Out
	moves := p.Plan(0, in, DefaultPolicy())
	require.Len(t, moves, 9)
}

// planOwned plans for a minute with upstreams that own ranges of the given loads,
// and returns the moves.
func planOwned(loads ...[]float64) (moves []Move) {
	in := testInput(0, fleet(len(loads), len(loads)))
	for up := range loads {
		for _, load := range loads[up] {
			r := len(in.Owners)
			in.Owners[r], in.Load[r] = in.Upstreams[up].ID, load
		}
	}
	var p Planner
	for now := time.Duration(0); now <= time.Minute; now += time.Second {
		got := p.Plan(now, in, DefaultPolicy())
		moves = append(moves, got...)
		apply(in, got)
	}
	return moves
}

// TestBalanceMoveLeavesMargin guards against a move that leaves its donor just below the
// threshold, where noise moves a further range, although a heavier range fits elsewhere.
func TestBalanceMoveLeavesMargin(t *testing.T) {
	moves := planOwned([]float64{2, 3, 8}, []float64{7}, []float64{10}, []float64{10}) // u00 has 1.3 of the mean, 10
	require.Equal(t, []Move{{Range: 1, From: "u00", To: "u01"}}, moves, "the range of load 2 would leave 1.1")
}

// TestHeavyRangeMovesFirst guards against light ranges that fill the only upstream with
// capacity for a heavy range, after which the load of the donor cannot be reduced.
func TestHeavyRangeMovesFirst(t *testing.T) {
	moves := planOwned([]float64{3, 3, 3, 3, 0.2, 0.2, 0.2}, []float64{8}, []float64{9.7}, []float64{9.7}) // u00 has 1.26 of the mean, 10
	require.Equal(t, []Move{{Range: 0, From: "u00", To: "u01"}}, moves, "to 11 of at most 11.35")
}

// TestBalanceMovesWaitAndKeepBudget guards against churn by a short straggler, and checks
// hysteresis and budget in a lasting imbalance.
func TestBalanceMovesWaitAndKeepBudget(t *testing.T) {
	in := testInput(100, fleet(4, 4))
	in.Upstreams[3].State = Out
	var p Planner
	apply(in, p.Plan(0, in, DefaultPolicy()))
	in.Upstreams[3].State = Active
	policy := Policy{RebalanceAbove: 1.15, RebalanceAfter: 10 * time.Second, MovesPerSecond: 2}
	require.Empty(t, p.Plan(time.Second, in, policy))
	require.Empty(t, p.Plan(10999*time.Millisecond, in, policy))
	total := 0
	for now := 11 * time.Second; now < 40*time.Second; now += 500 * time.Millisecond {
		moves := p.Plan(now, in, policy)
		require.LessOrEqual(t, len(moves), 2)
		if now > 11*time.Second {
			require.LessOrEqual(t, len(moves), 1)
		}
		for _, m := range moves {
			require.Equal(t, api.UpstreamID("u03"), m.To)
		}
		total += len(moves)
		apply(in, moves)
	}
	require.Equal(t, 6+5+5, total, "three upstreams go from 34, 33 and 33 to 28; the mean is 25")
}

// TestShortJumpMovesNothing guards against moves by an upstream just below the threshold whose
// load is measured ten times too high for 9 s and slightly above the threshold by noise after
// that. A lasting jump must still move ranges after 10 s.
func TestShortJumpMovesNothing(t *testing.T) {
	run := func(jump time.Duration, level float64, until time.Duration) (first time.Duration, moves int) {
		in := testInput(100, fleet(4, 4))
		var p Planner
		apply(in, p.Plan(0, in, DefaultPolicy()))
		p = Planner{} // without the loads of the first placement
		for now := time.Second; now < 40*time.Second; now += time.Second {
			for r, owner := range in.Owners {
				in.Load[r] = 1
				switch {
				case owner != "u00":
				case now >= 10*time.Second && now < 10*time.Second+jump:
					in.Load[r] = 10
				case now > 10*time.Second && now < until:
					in.Load[r] = level
				default:
					in.Load[r] = 1.19 // 1.136 of the mean
				}
			}
			got := p.Plan(now, in, DefaultPolicy())
			if len(got) > 0 && moves == 0 {
				first = now
			}
			moves += len(got)
			apply(in, got)
		}
		return first, moves
	}
	const slightlyAbove, clearlyAbove = 1.22, 1.36 // 1.156 and 1.25 of the mean
	_, moves := run(9*time.Second, slightlyAbove, 23*time.Second)
	require.Zero(t, moves)
	first, _ := run(20*time.Second, slightlyAbove, 23*time.Second)
	require.Equal(t, 20*time.Second, first)
	first, _ = run(9*time.Second, clearlyAbove, time.Minute)
	require.Equal(t, 29*time.Second, first, "the 9 s of the jump do not count")
}

// TestPlanIsDeterministic guards against results that depend on map iteration or slice order.
func TestPlanIsDeterministic(t *testing.T) {
	in := testInput(200, fleet(9, 3))
	for r := range in.Load {
		in.Load[r] = float64(r%17) * 0.1
	}
	var first Planner
	want := first.Plan(0, in, DefaultPolicy())
	for range 20 {
		in.Upstreams = append(in.Upstreams[1:], in.Upstreams[0])
		var p Planner
		require.Equal(t, want, p.Plan(0, in, DefaultPolicy()))
	}
}

package hedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/admission"
)

// TestPlan guards against hedges of requests that must not run twice, against hedges that cannot
// end in time, and against a target that makes every request be hedged at once.
func TestPlan(t *testing.T) {
	p := NewPolicy(Config{Share: 0.05, HalfLife: 1 << 30})
	request := func(change func(r *Request)) Request {
		r := Request{Service: "s", Route: "r", Repeatable: true, MaxRuns: 2, Remaining: time.Second}
		change(&r)
		return r
	}
	_, skip := p.Plan(request(func(*Request) {}))
	require.Equal(t, Unmeasured, skip)
	for i := range 1000 {
		p.Observe("r", time.Duration(50+i/10)*time.Millisecond)
	}
	const percentile95, median = 145 * time.Millisecond, 100 * time.Millisecond
	near := func(want, got time.Duration) {
		t.Helper()
		require.InEpsilon(t, float64(want), float64(got), 0.06)
	}
	after, skip := p.Plan(request(func(*Request) {}))
	require.Equal(t, None, skip)
	near(percentile95, after)
	after, _ = p.Plan(request(func(r *Request) { r.UntilTarget = 500 * time.Millisecond }))
	near(percentile95, after)
	after, _ = p.Plan(request(func(r *Request) { r.UntilTarget = 230 * time.Millisecond }))
	near(230*time.Millisecond-median, after)
	after, _ = p.Plan(request(func(r *Request) { r.UntilTarget = 150 * time.Millisecond }))
	near(percentile95, after)
	for want, change := range map[Skip]func(r *Request){
		NoRepeat: func(r *Request) { r.Repeatable = false },
		Keyed:    func(r *Request) { r.Keyed = true },
		Attempts: func(r *Request) { r.MayHaveRun = 1 },
		Time:     func(r *Request) { r.Remaining = percentile95 + 50*time.Millisecond },
	} {
		_, skip := p.Plan(request(change))
		require.Equal(t, want, skip)
	}
	require.False(t, p.InTime("r", 50*time.Millisecond))
	require.True(t, p.InTime("r", 150*time.Millisecond))
}

// TestBudgetOfService guards against a budget that routes of one service each have in full, and
// against one that a hedge that was not sent uses up.
func TestBudgetOfService(t *testing.T) {
	p := NewPolicy(Config{Share: 0.05})
	for range 20 {
		p.Count("s")
	}
	require.False(t, p.Take("other"))
	require.True(t, p.Take("s"))
	require.False(t, p.Take("s"))
	p.Refund("s")
	require.True(t, p.Take("s"))
}

// TestSpare guards against hedges to an upstream that is busy or whose state is not known, and
// against hedges that take the last free slots of a service.
func TestSpare(t *testing.T) {
	free, busy := admission.State{Running: 1, Slots: 2}, admission.State{Running: 2, Slots: 2}
	var s Spare
	require.False(t, s.Enough())
	require.False(t, s.Add(free, FreshState, 1), "the state is old")
	require.False(t, s.Add(admission.State{}, 0, 0), "the upstream states no load")
	require.False(t, s.Add(free, 0, 2), "this VM uses all slots")
	require.False(t, s.Add(admission.State{Running: 1, Waiting: 1, Slots: 2}, 0, 0))
	require.False(t, s.Enough())
	require.True(t, s.Add(free, FreshState-1, 1))
	require.True(t, s.Enough(), "one of three")
	require.False(t, s.Add(busy, 0, 0))
	require.False(t, s.Enough(), "one of four")
}

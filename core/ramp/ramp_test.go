package ramp_test

import (
	"math"
	"testing"
	"time"

	"dandelionhill.dev/core/ramp"
	"github.com/stretchr/testify/require"
)

const (
	normal = 10 * time.Millisecond
	full   = 6
)

// observe feeds n equal answers and returns the limit after each.
func observe(r *ramp.Ramp, n int, took time.Duration, shed bool) int {
	for range n {
		r.Sent(r.Limit(0, full))
		r.Observe(took, took, shed)
	}
	return r.Limit(0, full)
}

// cold returns a ramp in a slow start in which each window may lead to a step.
func cold() *ramp.Ramp {
	return ramp.New(ramp.Config{Window: 8, NormalLatency: normal, DefaultStepAnswers: 1}, true)
}

// TestSlowStart guards against full load on a cold upstream from the start.
func TestSlowStart(t *testing.T) {
	r := cold()
	require.Equal(t, 1, r.Limit(0, full))
	for want := 2; want <= full; want++ {
		require.Equal(t, want-1, observe(r, 15, normal, false))
		require.Equal(t, want, observe(r, 1, normal, false))
	}
	require.False(t, r.Cold())
	require.Equal(t, 0, r.Limit(0, 0))
}

// TestSlowAnswersDoNotRaise guards against raising the limit on slow answers.
func TestSlowAnswersDoNotRaise(t *testing.T) {
	r := cold()
	require.Equal(t, 1, observe(r, 31*16, 18*time.Millisecond, false))
	require.Equal(t, 4, observe(r, 48, normal, false))
	require.Equal(t, 2, observe(r, 16, 2*normal, false), "slow answers halve")
	require.Equal(t, normal, r.NormalLatency())
}

// TestShedsHalve guards against load that stays above what a cold upstream can sustain.
func TestShedsHalve(t *testing.T) {
	r := cold()
	require.Equal(t, 4, observe(r, 48, normal, false))
	require.Equal(t, 2, observe(r, 4, 0, true), "sheds of requests in flight together halve the limit once")
	require.Equal(t, 1, observe(r, 1, 0, true))
	require.Equal(t, 1, observe(r, 50, 0, true))
}

// TestColdWithoutRestart guards against full load on an upstream that became cold without a new incarnation.
func TestColdWithoutRestart(t *testing.T) {
	r := ramp.New(ramp.Config{Window: 16, NormalLatency: normal}, false)
	require.Equal(t, full, observe(r, 100, normal, false))
	require.Equal(t, full, observe(r, 32, 3*normal, false), "a straggler without sheds is not cold")
	r.SetNormalLatency(normal)
	observe(r, 1, 0, true)
	require.Equal(t, 1, observe(r, 15, 3*normal, false))
	require.True(t, r.Cold())
}

// TestStepAnswers guards against a step before the configured number of answers.
func TestStepAnswers(t *testing.T) {
	r := ramp.New(ramp.Config{Window: 8, NormalLatency: normal, StepAnswers: 100}, true)
	require.Equal(t, 1, observe(r, 99, normal, false))
	require.Equal(t, 2, observe(r, 1, normal, false))
	r.SetStepAnswers(3)
	require.Equal(t, 2, observe(r, 15, normal, false), "a low number does not shrink the window")
	require.Equal(t, 3, observe(r, 1, normal, false))
	double := ramp.New(ramp.Config{Window: 8, NormalLatency: normal, StepAnswers: 100, Step: 2}, true)
	require.Equal(t, 1, observe(double, 199, normal, false), "a step of two needs the answers for two")
	require.Equal(t, 3, observe(double, 1, normal, false))
}

// TestDefaultStepAnswers guards against a step on an upstream that answers at
// normal speed while it is cold, before anything shows that it has warmed up.
func TestDefaultStepAnswers(t *testing.T) {
	cfg := ramp.Config{Window: 8, NormalLatency: normal, DefaultStepAnswers: 64}
	r := ramp.New(cfg, true)
	require.Equal(t, 1, observe(r, 63, normal, false))
	require.Equal(t, 2, observe(r, 1, normal, false))
	require.Equal(t, 2, observe(r, 63, normal, false), "each step needs as many")
	require.Equal(t, 3, observe(r, 1, normal, false))

	slow := ramp.New(cfg, true)
	require.Equal(t, 1, observe(slow, 16, 18*time.Millisecond, false))
	require.Equal(t, 2, observe(slow, 16, normal, false), "its latency shows that it has warmed up")

	cfg.StepAnswers = 16
	configured := ramp.New(cfg, true)
	require.Equal(t, 2, observe(configured, 16, normal, false), "a configured number takes precedence")
}

// TestStepHistory guards against a second start that repeats the sheds of the first.
func TestStepHistory(t *testing.T) {
	cfg := ramp.Config{Window: 8, NormalLatency: normal, DefaultStepAnswers: 1, StepHistory: ramp.NewStepHistory()}
	r := ramp.New(cfg, true)
	require.Equal(t, 2, observe(r, 16, normal, false))
	require.Equal(t, 1, observe(r, 1, 0, true), "the first start has no history")
	observe(r, 1, 0, true) // the other request in flight
	require.Equal(t, 2, observe(r, 17, normal, false))
	require.Equal(t, 3, observe(r, 16, normal, false), "the limit of 2 was sustained up to answer 48")
	r.Restart(0)
	require.Equal(t, 1, observe(r, 47, normal, false))
	require.Equal(t, 2, observe(r, 1, normal, false))
	other := ramp.New(cfg, true)
	require.Equal(t, 1, observe(other, 47, normal, false), "other upstreams of the service too")
}

// TestShedAfterTheLastStep guards against staying at full load when the last step
// was more than the upstream can sustain.
func TestShedAfterTheLastStep(t *testing.T) {
	r := cold()
	require.Equal(t, full, observe(r, 16*(full-1), normal, false))
	require.Equal(t, full/2, observe(r, 1, 0, true))
	require.True(t, r.Cold())
	warm := ramp.New(ramp.Config{Window: 32, NormalLatency: normal}, false)
	observe(warm, 10, normal, false)
	require.Equal(t, full, observe(warm, 1, 0, true), "one shed of a warm upstream is no overload")
}

// TestAnswersFromBeforeARestart guards against a step due to answers of the previous incarnation.
func TestAnswersFromBeforeARestart(t *testing.T) {
	r := cold()
	r.Restart(time.Second)
	require.Equal(t, 1, observe(r, 100, normal, false))
	for n := range 16 {
		require.Equal(t, 1, r.Limit(0, full), n)
		r.Observe(time.Second+normal, normal, false)
	}
	require.Equal(t, 2, r.Limit(0, full))
}

// TestReportsOnlyLower guards against load reports that raise a limit or reduce it to nothing.
func TestReportsOnlyLower(t *testing.T) {
	r := cold()
	r.Report(0, 0)
	require.Equal(t, 1, r.Limit(0, full))
	w := ramp.New(ramp.Config{NormalLatency: normal}, false)
	for _, load := range []float64{0, 0.5, 1, math.NaN(), -3} {
		w.Report(0, load)
		require.Equal(t, full, w.Limit(0, full))
	}
	w.Report(0, math.Inf(1))
	require.Equal(t, full/2, w.Limit(time.Second, full))
	require.Equal(t, full, w.Limit(2*time.Second, full), "an old report has no effect")
}

package straggler

import (
	"flag"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// init fixes the seed of the property tests, so that every run draws the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

// Compares the logarithmic form with the plain recursion on short sequences, which do
// not overflow.
func TestShiryaevRobertsMatchesPlainRecursion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.Float64Range(0, 50).Draw(t, "r")
		xs := rapid.SliceOfN(rapid.Float64Range(-2, 2), 1, 30).Draw(t, "xs")
		d := NewShiryaevRoberts(DefaultModel, r, 1e300)
		plain := r
		for _, x := range xs {
			d.Observe(x)
			plain = (1 + plain) * math.Exp(DefaultModel.logRatio(x))
			require.InEpsilon(t, plain, math.Exp(d.logR), 1e-9)
		}
	})
}

// TestDetectorsRecoverFromExtremeObservations guards against a statistic that does not recover
// after extreme observations, such as those of a frozen or failed upstream.
func TestDetectorsRecoverFromExtremeObservations(t *testing.T) {
	for _, kind := range Kinds() {
		d := DefaultParameters[kind].New(DefaultModel)
		require.False(t, d.Observe(math.NaN()), kind)
		require.True(t, d.Observe(math.Inf(1)), kind)
		for range 100 {
			d.Observe(0)
		}
		require.False(t, d.Observe(0), "%s stays at its threshold", kind)
		for range 10000 {
			d.Observe(math.Inf(-1))
		}
		alarm := false
		for i := 0; i < 10 && !alarm && kind != KindEWMA; i++ {
			alarm = d.Observe(10)
			require.False(t, math.IsNaN(statistic(d)), kind)
		}
		d.Reset()
		require.False(t, d.Observe(0), kind)
	}
}

func statistic(d Detector) float64 {
	switch d := d.(type) {
	case *EWMA:
		return d.average
	case *CUSUM:
		return d.sum
	case *ShiryaevRoberts:
		return d.logR
	}
	return math.NaN()
}

// TestDefaultParametersHaveAverageRunLength guards against default parameters without the
// average run length that their comment states. The tolerance is four standard errors of the
// two simulations.
func TestDefaultParametersHaveAverageRunLength(t *testing.T) {
	for _, kind := range Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			require.InEpsilon(t, 1e6, AverageRunLength(DefaultParameters[kind], DefaultModel, 1e6, 40, 7), 4*math.Sqrt(1.0/40+1.0/100))
		})
	}
}

// TestCalibrateReachesRequestedRunLength guards against an arbitrary threshold from a
// simulation with too few alarms.
func TestCalibrateReachesRequestedRunLength(t *testing.T) {
	for _, kind := range Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			s := Calibrate(kind, Model{Deviation: 1, Shift: 1}, 200, 400, 3)
			require.InEpsilon(t, 200, AverageRunLength(s, Model{Deviation: 1, Shift: 1}, 200, 400, 4), 4*math.Sqrt(2.0/400))
			require.Equal(t, s, Calibrate(kind, Model{Deviation: 1, Shift: 1}, 200, 400, 3), "same seed, same parameters")
		})
	}
}

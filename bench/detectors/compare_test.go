package detectors

import (
	"flag"
	"math"
	"testing"
)

var (
	measureAll = flag.Bool("measure", false, "run the whole comparison and print its table")
	seed       = flag.Uint64("seed", 1, "seed of the comparison")
)

// TestMeasure prints the table of docs/measurements.md.
func TestMeasure(t *testing.T) {
	if !*measureAll {
		t.Skip("run with -measure -v for the whole comparison")
	}
	for _, r := range Compare(DefaultOptions(*seed)) {
		t.Logf("%s | %s | threshold %.4g, r %.3g | false alarms %v", r.Source, r.Detector, r.Parameters.Threshold, r.Parameters.HeadStart, r.FalseAlarms)
		for _, d := range r.Delays {
			t.Logf("    %gx early=%v: %v observations, %v s, missed %d", d.Slowdown, d.Early, d.Observations, d.Seconds, d.Missed)
		}
	}
}

// On the assumed model a detector must have the false alarm rate that it is
// calibrated to, and the same seed must give the same rows.
func TestIndependentSourceKeepsTheFalseAlarmRate(t *testing.T) {
	o := Options{Seed: 1, Traces: 100, ARL: 300, Queueing: DefaultQueueing()}
	model := train(NewIndependent, o)
	traces := unchangedTraces(NewIndependent, o, forFalseAlarms, o.Traces)
	for _, c := range Candidates() {
		s := calibrate(c, model, o)
		row := measure(c.Name, "independent", NewIndependent, s, model, traces, o)
		// Four standard errors of the calibration and of the measurement.
		if tolerance := 4 * math.Hypot(row.FalseAlarms.Error, 1/math.Sqrt(calibrationRuns)); math.Abs(row.FalseAlarms.Mean-1) > tolerance {
			t.Errorf("%s: false alarms over the calibrated rate are %v, want 1 within %.2g", c.Name, row.FalseAlarms, tolerance)
		}
		again := measure(c.Name, "independent", NewIndependent, s, model, traces, o)
		if again.FalseAlarms != row.FalseAlarms || again.Delays[0] != row.Delays[0] {
			t.Errorf("%s: same seed gave %v and %v", c.Name, row, again)
		}
		for _, d := range row.Delays {
			if d.Missed > 0 {
				t.Errorf("%s missed %d changes by %g", c.Name, d.Missed, d.Slowdown)
			}
		}
	}
}

// Latencies of the queueing source must be autocorrelated, or it would add
// nothing to the independent source.
func TestQueueingSourceIsAutocorrelated(t *testing.T) {
	for _, c := range []struct {
		src     sourceFunc
		correct func(r float64) bool
	}{
		{NewIndependent, func(r float64) bool { return math.Abs(r) < 0.03 }},
		{NewQueueing, func(r float64) bool { return r > 0.1 }},
	} {
		s := c.src(DefaultQueueing(), 1)
		xs := make([]float64, 50000)
		sum := 0.0
		for i := range xs {
			xs[i] = s.Next().LogLatency
			sum += xs[i]
		}
		mean, variance, covariance := sum/float64(len(xs)), 0.0, 0.0
		for i := 1; i < len(xs); i++ {
			variance += (xs[i] - mean) * (xs[i] - mean)
			covariance += (xs[i] - mean) * (xs[i-1] - mean)
		}
		if r := covariance / variance; !c.correct(r) {
			t.Errorf("correlation of successive log latencies is %.3f", r)
		}
	}
}

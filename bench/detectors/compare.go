package detectors

import (
	"fmt"
	"math"
	"slices"
	"sync"

	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/straggler"
)

// Options configures Compare.
type Options struct {
	Seed     uint64
	Traces   int     // per detector, source and kind of change
	ARL      float64 // average run length to a false alarm, in observations, to which all detectors are calibrated
	Queueing Queueing
}

// DefaultOptions returns the options of the reported measurement.
func DefaultOptions(seed uint64) Options {
	return Options{Seed: seed, Traces: 200, ARL: 10000, Queueing: DefaultQueueing()}
}

// Estimate is a mean with its standard error.
type Estimate struct{ Mean, Error float64 }

func estimate(values []float64) Estimate {
	n := float64(len(values))
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
	}
	mean := sum / n
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	return Estimate{mean, math.Sqrt(squares / (n - 1) / n)}
}

// String formats the estimate as mean ± error.
func (e Estimate) String() string { return fmt.Sprintf("%.4g ± %.2g", e.Mean, e.Error) }

// Delay is the detection delay of one detector for one kind of change.
type Delay struct {
	Slowdown     float64 // factor on the service time after the change
	Early        bool    // change at the first observation, else after LateChange observations
	Observations Estimate
	Seconds      Estimate
	Missed       int // traces without alarm within delayLimit observations
}

// Row holds the results of one detector on one source.
type Row struct {
	Detector    string
	Source      string
	Parameters  straggler.Parameters
	FalseAlarms Estimate // measured rate over the calibrated rate
	Delays      []Delay
}

const (
	// LateChange is the number of observations before a late change.
	LateChange = 2000
	// delayLimit ends a trace in which the change is not detected.
	delayLimit = 20000
	// settleObservations are discarded until the queue reaches its stationary state.
	settleObservations = 500
	// trainObservations determine mean and deviation of the model.
	trainObservations = 100000
	// designSlowdown is the slowdown that all detectors are designed for.
	designSlowdown = 3
	// calibrationRuns gives thresholds with an error of about 1/sqrt(400) = 5%.
	calibrationRuns = 400
	// matchingTraces is the number of traces used to match a threshold for each
	// trace measured. False alarms are clustered, so matching needs more traces than
	// the measurement.
	matchingTraces = 4
	// maxMatchedThreshold bounds matched thresholds, or their logarithms for
	// Shiryaev-Roberts.
	maxMatchedThreshold = 700.0
)

// Candidate is a detector to compare.
type Candidate struct {
	Name        string
	Kind        straggler.Kind
	Weight      float64
	NoHeadStart bool // Shiryaev-Roberts from R[0] = 0
}

// Candidates returns the detectors compared, with three weights for EWMA.
func Candidates() []Candidate {
	return []Candidate{
		{Name: "ewma_0.1", Kind: straggler.KindEWMA, Weight: 0.1},
		{Name: "ewma_0.2", Kind: straggler.KindEWMA, Weight: 0.2},
		{Name: "ewma_0.4", Kind: straggler.KindEWMA, Weight: 0.4},
		{Name: "cusum", Kind: straggler.KindCUSUM},
		{Name: "shiryaev_roberts", Kind: straggler.KindSR, NoHeadStart: true},
		{Name: "shiryaev_roberts_r", Kind: straggler.KindSR},
	}
}

type sourceFunc func(q Queueing, seed uint64) Source

// Compare returns for each source and candidate a row with the threshold
// calibrated for the assumed model, and except for the independent source a row
// with the threshold matched to the same measured time to false alarm.
func Compare(o Options) []Row {
	sources := []struct {
		name string
		make sourceFunc
	}{{"independent", NewIndependent}, {"queueing", NewQueueing}, {"dispatched", NewDispatched}}
	var rows []Row
	for _, src := range sources {
		model := train(src.make, o)
		traces := unchangedTraces(src.make, o, forFalseAlarms, o.Traces)
		var training [][]float64
		if src.name != "independent" {
			training = unchangedTraces(src.make, o, forMatching, matchingTraces*o.Traces)
		}
		perCandidate := make([][]Row, len(Candidates()))
		var running sync.WaitGroup
		for i, c := range Candidates() {
			running.Go(func() {
				s := calibrate(c, model, o)
				perCandidate[i] = append(perCandidate[i], measure(c.Name, src.name, src.make, s, model, traces, o))
				if training != nil {
					s = matchThreshold(s, model, training)
					perCandidate[i] = append(perCandidate[i], measure(c.Name, src.name+"_matched", src.make, s, model, traces, o))
				}
			})
		}
		running.Wait()
		rows = append(rows, slices.Concat(perCandidate...)...)
	}
	return rows
}

// traceSeed returns different seeds for training, matching and measuring.
func traceSeed(o Options, purpose, trace int) uint64 {
	return o.Seed<<32 | uint64(purpose)<<24 | uint64(trace)
}

const (
	forTraining = iota
	forMatching
	forFalseAlarms
	forDelays
)

func train(src sourceFunc, o Options) straggler.Model {
	s := src(o.Queueing, traceSeed(o, forTraining, 0))
	xs := make([]float64, trainObservations)
	sum, squares := 0.0, 0.0
	for i := range xs {
		xs[i] = s.Next().LogLatency
		sum += xs[i]
	}
	mean := sum / trainObservations
	for _, x := range xs {
		squares += (x - mean) * (x - mean)
	}
	return straggler.Model{Mean: mean, Deviation: math.Sqrt(squares / trainObservations), Shift: math.Log(designSlowdown)}
}

func calibrate(c Candidate, model straggler.Model, o Options) straggler.Parameters {
	if c.Kind == straggler.KindSR && !c.NoHeadStart {
		return straggler.Calibrate(c.Kind, model, o.ARL, calibrationRuns, o.Seed)
	}
	return straggler.CalibrateThreshold(straggler.Parameters{Kind: c.Kind, Weight: c.Weight}, model, o.ARL, calibrationRuns, o.Seed)
}

// matchThreshold searches for the threshold with one false alarm per trace on
// average. For CUSUM, and in logarithms for Shiryaev-Roberts, it is up to tens of
// times the threshold for independent observations.
func matchThreshold(s straggler.Parameters, model straggler.Model, traces [][]float64) straggler.Parameters {
	logarithmic := s.Kind == straggler.KindSR
	low, high := 0.0, maxMatchedThreshold
	for range 24 {
		mid := (low + high) / 2
		s.Threshold = mid
		if logarithmic {
			s.Threshold = math.Exp(mid)
		}
		alarms := 0
		for _, trace := range traces {
			alarms += countAlarms(s.New(model), trace)
		}
		if alarms > len(traces) {
			low = mid
		} else {
			high = mid
		}
	}
	return s
}

// unchangedTraces returns traces of o.ARL observations without a change.
func unchangedTraces(src sourceFunc, o Options, purpose, traces int) [][]float64 {
	all := make([][]float64, traces)
	for trace := range all {
		s := src(o.Queueing, traceSeed(o, purpose, trace))
		settle(s)
		all[trace] = make([]float64, int(o.ARL))
		for i := range all[trace] {
			all[trace][i] = s.Next().LogLatency
		}
	}
	return all
}

func settle(s Source) {
	for range settleObservations {
		s.Next()
	}
}

func countAlarms(d straggler.Detector, xs []float64) (alarms int) {
	for _, x := range xs {
		if d.Observe(x) {
			alarms++
			d.Reset()
		}
	}
	return alarms
}

func measure(name, source string, src sourceFunc, s straggler.Parameters, model straggler.Model, traces [][]float64, o Options) Row {
	row := Row{Detector: name, Source: source, Parameters: s}
	alarms := make([]float64, len(traces))
	for i, trace := range traces {
		alarms[i] = float64(countAlarms(s.New(model), trace))
	}
	row.FalseAlarms = estimate(alarms)
	for _, factor := range []float64{2, 10} {
		for _, early := range []bool{true, false} {
			row.Delays = append(row.Delays, delay(src, s, model, o, factor, early))
		}
	}
	return row
}

// delay measures the observations and the time from the change to the alarm.
// Alarms before the change reset the detector.
func delay(src sourceFunc, s straggler.Parameters, model straggler.Model, o Options, factor float64, early bool) Delay {
	result := Delay{Slowdown: factor, Early: early}
	var counts, times []float64
	for trace := range o.Traces {
		source := src(o.Queueing, traceSeed(o, forDelays, trace))
		settle(source)
		d := s.New(model)
		if !early {
			for range LateChange {
				if d.Observe(source.Next().LogLatency) {
					d.Reset()
				}
			}
		}
		changed := source.Now()
		source.SetSlowdown(factor)
		n, alarmAt := 0, changed
		for alarm := false; !alarm && n < delayLimit; n++ {
			obs := source.Next()
			alarm, alarmAt = d.Observe(obs.LogLatency), obs.At
		}
		if n == delayLimit {
			result.Missed++
		}
		counts = append(counts, float64(n))
		times = append(times, (alarmAt - changed).Seconds())
	}
	result.Observations, result.Seconds = estimate(counts), estimate(times)
	return result
}

// Metrics returns the rows as metrics, without bounds.
func Metrics(rows []Row, seed uint64) []metric.Metric {
	var out []metric.Metric
	for _, r := range rows {
		prefix := "detector_" + r.Detector + "_" + r.Source
		out = append(out, metric.Metric{
			Name: prefix + "_false_alarms_over_setting", Value: r.FalseAlarms.Mean, Unit: "ratio", Seed: seed,
			Note: fmt.Sprintf("standard error %.2g", r.FalseAlarms.Error),
		})
		for _, d := range r.Delays {
			when := "late"
			if d.Early {
				when = "early"
			}
			name := fmt.Sprintf("%s_delay_%gx_%s", prefix, d.Slowdown, when)
			out = append(out,
				metric.Metric{Name: name, Value: d.Observations.Mean, Unit: "observations", Seed: seed, Note: fmt.Sprintf("standard error %.2g, missed %d", d.Observations.Error, d.Missed)},
				metric.Metric{Name: name + "_seconds", Value: d.Seconds.Mean, Unit: "s", Seed: seed, Note: fmt.Sprintf("standard error %.2g", d.Seconds.Error)})
		}
	}
	slices.SortFunc(out, func(a, b metric.Metric) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

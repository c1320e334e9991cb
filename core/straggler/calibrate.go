package straggler

import (
	"math"
	"math/rand/v2"
)

// Kind is a kind of detector.
type Kind string

// The detectors.
const (
	KindEWMA  Kind = "ewma"
	KindCUSUM Kind = "cusum"
	KindSR    Kind = "shiryaev_roberts"
)

// Kinds returns all kinds of detector.
func Kinds() []Kind { return []Kind{KindEWMA, KindCUSUM, KindSR} }

// Parameters holds the parameters of a detector.
type Parameters struct {
	Kind      Kind
	Threshold float64 // EWMA: deviations; CUSUM: log likelihood ratio; SR: nu
	HeadStart float64 // SR only
	Weight    float64 // EWMA only
}

// New returns a detector with these parameters.
func (p Parameters) New(model Model) Detector {
	switch p.Kind {
	case KindEWMA:
		return NewEWMA(model, p.Weight, p.Threshold)
	case KindSR:
		return NewShiryaevRoberts(model, p.HeadStart, p.Threshold)
	default:
		return NewCUSUM(model, p.Threshold)
	}
}

// clipLevel returns the value of which n observations in a row raise the statistic
// from its initial state to its threshold. Observations are clipped to it, so that
// fewer than n cannot raise an alarm from the initial state.
func (p Parameters) clipLevel(model Model, n float64) float64 {
	switch p.Kind {
	case KindEWMA:
		return model.Mean + model.Deviation*p.Threshold/(1-math.Pow(1-p.Weight, n))
	case KindSR:
		return model.observation((math.Log(p.Threshold) - math.Log1p(p.HeadStart)) / n)
	default:
		return model.observation(p.Threshold / n)
	}
}

const (
	// calibrationSteps bisections determine the threshold to a millionth of its range,
	// far below the error of the simulation.
	calibrationSteps = 20
	// headStartSteps bisections determine the head start to a few per cent; the delay
	// is flat near the optimum.
	headStartSteps = 8
	// stationaryAfter is the number of observations after which the delay no longer
	// depends on the head start.
	stationaryAfter = 200
)

// Calibrate finds the threshold at which a detector of the kind raises a false
// alarm once in arl observations on average. Each trial simulates runs times
// arl observations, so the relative error of the average is about 1/sqrt(runs).
// For the Shiryaev-Roberts procedure it also finds the head start with equal
// delays for a change at the first observation and for a late one, which is
// close to the minimax choice. The same seed gives the same parameters.
func Calibrate(kind Kind, model Model, arl float64, runs int, seed uint64) Parameters {
	p := Parameters{Kind: kind, Weight: DefaultWeight}
	p = CalibrateThreshold(p, model, arl, runs, seed)
	if kind != KindSR {
		return p
	}
	// R[n] - n - r is a martingale, so the average run length is nu/c - r with a
	// constant c for the overshoot. That gives nu for each head start tried.
	c := p.Threshold / arl
	low, high := math.Log(0.01), math.Log(arl)
	for range headStartSteps {
		mid := (low + high) / 2
		p.HeadStart = math.Exp(mid)
		p.Threshold = c * (arl + p.HeadStart)
		if meanDelay(p, model, 0, 10*runs, seed) > meanDelay(p, model, stationaryAfter, 10*runs, seed) {
			low = mid
		} else {
			high = mid
		}
	}
	p.HeadStart = math.Exp((low + high) / 2)
	return CalibrateThreshold(p, model, arl, runs, seed)
}

// CalibrateThreshold returns p with the threshold for the average run length arl,
// and the same head start and weight.
func CalibrateThreshold(p Parameters, model Model, arl float64, runs int, seed uint64) Parameters {
	// The statistics of CUSUM and of SR in logarithmic form exceed log(arl) by at
	// most the head start and the overshoot; an EWMA stays below its largest observation.
	low, high := 0.0, 2*math.Log(arl)+10
	set := func(h float64) {
		p.Threshold = h
		if p.Kind == KindSR {
			p.Threshold = math.Exp(h)
		}
	}
	for range calibrationSteps {
		mid := (low + high) / 2
		set(mid)
		if AverageRunLength(p, model, arl, runs, seed) < arl {
			low = mid
		} else {
			high = mid
		}
	}
	set((low + high) / 2)
	return p
}

// AverageRunLength simulates about runs times arl observations before any
// change, resetting the detector after each alarm, and returns the observations per
// alarm. The last run, without an alarm, counts as observations only, which is the
// estimator for exponential run lengths.
func AverageRunLength(p Parameters, model Model, arl float64, runs int, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	d := p.New(model)
	total, alarms := int(arl)*runs, 0
	for range total {
		if d.Observe(model.Mean + model.Deviation*rng.NormFloat64()) {
			alarms++
			d.Reset()
		}
	}
	return float64(total) / math.Max(float64(alarms), 0.5)
}

// meanDelay returns the mean number of observations from a change after the
// given number of observations to the alarm. Runs with a false alarm before the
// change are restarted, so the delay is conditional on none.
func meanDelay(p Parameters, model Model, change, runs int, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 2))
	d := p.New(model)
	total := 0
	for range runs {
		d.Reset()
		for i := 0; i < change; i++ {
			if d.Observe(model.Mean + model.Deviation*rng.NormFloat64()) {
				d.Reset()
				i = -1
			}
		}
		for alarm := false; !alarm; total++ {
			alarm = d.Observe(model.Mean + model.Shift + model.Deviation*rng.NormFloat64())
		}
	}
	return float64(total) / float64(runs)
}

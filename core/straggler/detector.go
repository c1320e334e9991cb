// Package straggler detects upstreams that have become slower than their peers.
// It provides three change detectors for one sequence of observations (EWMA, CUSUM
// and Shiryaev-Roberts) and a Monitor that applies one to the upstreams of a shard.
package straggler

import "math"

// Detector detects a lasting increase in one sequence of observations.
type Detector interface {
	// Observe adds the next observation and reports whether the statistic has reached
	// its threshold. The statistic is limited to the threshold, so that it can fall
	// again after an alarm. NaN observations are ignored.
	Observe(x float64) bool
	// Reset returns the detector to its initial state.
	Reset()
}

// Model describes the logarithm of the latency before and after a change: it is
// normal with the same deviation, and its mean increases by Shift.
type Model struct {
	Mean      float64
	Deviation float64
	Shift     float64
}

// maxLogRatio bounds the log likelihood ratio of one observation, so that an
// infinite observation cannot make a statistic infinite or undefined.
const maxLogRatio = 1e6

// logRatio returns the log likelihood ratio of x, after the change over before it.
func (m Model) logRatio(x float64) float64 {
	return clamp(m.Shift/(m.Deviation*m.Deviation)*(x-m.Mean-m.Shift/2), maxLogRatio)
}

// observation returns the x whose log likelihood ratio is ratio.
func (m Model) observation(ratio float64) float64 {
	return m.Mean + m.Shift/2 + ratio*m.Deviation*m.Deviation/m.Shift
}

func clamp(x, limit float64) float64 { return math.Max(-limit, math.Min(limit, x)) }

// EWMA compares an exponentially weighted moving average of the standardised
// observations with a threshold.
type EWMA struct {
	model     Model
	weight    float64
	threshold float64
	average   float64
}

// DefaultWeight is the weight of the newest observation in an EWMA. 0.2 is in
// the range usually recommended for shifts of one to two deviations.
const DefaultWeight = 0.2

// NewEWMA returns an EWMA detector. The threshold is in deviations of one observation.
func NewEWMA(model Model, weight, threshold float64) *EWMA {
	return &EWMA{model: model, weight: weight, threshold: threshold}
}

// Observe implements Detector.
func (d *EWMA) Observe(x float64) bool {
	if math.IsNaN(x) {
		return false
	}
	z := clamp((x-d.model.Mean)/d.model.Deviation, maxLogRatio)
	d.average += d.weight * (z - d.average)
	if d.average < d.threshold {
		return false
	}
	d.average = d.threshold
	return true
}

// Reset implements Detector.
func (d *EWMA) Reset() { d.average = 0 }

// CUSUM is Page's cumulative sum of log likelihood ratios, restarted at zero.
type CUSUM struct {
	model     Model
	threshold float64
	sum       float64
}

// NewCUSUM returns a CUSUM detector. The threshold is a log likelihood ratio.
func NewCUSUM(model Model, threshold float64) *CUSUM {
	return &CUSUM{model: model, threshold: threshold}
}

// Observe implements Detector.
func (d *CUSUM) Observe(x float64) bool {
	if math.IsNaN(x) {
		return false
	}
	d.sum = math.Max(0, d.sum+d.model.logRatio(x))
	if d.sum < d.threshold {
		return false
	}
	d.sum = d.threshold
	return true
}

// Reset implements Detector.
func (d *CUSUM) Reset() { d.sum = 0 }

// ShiryaevRoberts is the Shiryaev-Roberts procedure with a head start,
// R[n] = (1 + R[n-1]) * l[n], R[0] = r, alarm when R >= nu. It keeps the
// logarithm of R, because R grows exponentially after a change and would
// overflow.
type ShiryaevRoberts struct {
	model        Model
	logHeadStart float64
	logThreshold float64
	logR         float64
}

// NewShiryaevRoberts returns the procedure with head start r and threshold nu.
func NewShiryaevRoberts(model Model, r, nu float64) *ShiryaevRoberts {
	d := &ShiryaevRoberts{model: model, logHeadStart: math.Log(r), logThreshold: math.Log(nu)}
	d.Reset()
	return d
}

// Observe implements Detector.
func (d *ShiryaevRoberts) Observe(x float64) bool {
	if math.IsNaN(x) {
		return false
	}
	d.logR = logOnePlusExp(d.logR) + d.model.logRatio(x)
	if d.logR < d.logThreshold {
		return false
	}
	d.logR = d.logThreshold
	return true
}

// Reset implements Detector.
func (d *ShiryaevRoberts) Reset() { d.logR = d.logHeadStart }

// logOnePlusExp returns log(1 + exp(a)) without overflow or loss of precision.
func logOnePlusExp(a float64) float64 {
	return math.Max(a, 0) + math.Log1p(math.Exp(-math.Abs(a)))
}

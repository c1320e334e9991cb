package straggler

import (
	"math"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// recentAnswers is the number of latest answers that describe an upstream's
// present latency. Their median ignores a single outlier.
const recentAnswers = 3

const (
	// locationWeight weighs the newest answer in the learnt normal latency. It
	// follows within about 10 answers: with 50 (a weight of 0.02) a slowdown of
	// the whole group by 2 biased the detectors long enough for false alarms. Its
	// noise, a quarter of the deviation for one peer, is small beside the shift.
	locationWeight = 0.1
	// deviationWeight weighs the newest answer in the learnt deviation.
	deviationWeight = 0.01
	// outlierLimit cuts the influence of one answer, in deviations.
	outlierLimit = 3
	// normalMeanDeviation is the mean of the absolute value of a standard normal variable.
	normalMeanDeviation = 0.7979
	// minLatency avoids the logarithm of zero.
	minLatency = time.Microsecond
)

// upstream is the state of one upstream. Latencies are natural logarithms of seconds.
type upstream struct {
	id       api.UpstreamID
	detector Detector
	latest   time.Duration // time of the latest answer
	answers  int

	recent    [recentAnswers]float64
	location  float64
	deviation float64
	samples   int // that the deviation was learnt from

	// The values of this upstream in the group's sorted lists.
	inGroup                  bool
	groupNormal, groupRecent float64

	marked      bool
	markedAt    time.Duration
	recoveredAt time.Duration
	relapses    int
	evidence    float64 // log likelihood ratio, normal over straggling, while marked
	slowdown    float64 // log of the factor over the peers while marked
	probing     bool
	probeAt     time.Duration
	probeEvery  time.Duration
}

func logLatency(took time.Duration) float64 { return math.Log(max(took, minLatency).Seconds()) }

// record adds an answer. The normal latency of a straggler is not learnt.
func (u *upstream) record(now time.Duration, x, deviation float64) {
	u.latest = max(u.latest, now)
	u.recent[u.answers%recentAnswers] = x
	u.answers++
	if u.marked {
		return
	}
	if u.answers == 1 {
		u.location = x
		return
	}
	weight := math.Max(locationWeight, 1/float64(u.answers))
	u.location += weight * clamp(x-u.location, outlierLimit*deviation)
}

// spread learns the deviation from answers above the reference: the lower tail
// of log latency is often longer and does not cause false alarms.
func (u *upstream) spread(residual float64) {
	if residual <= 0 {
		return
	}
	sample := residual / normalMeanDeviation
	u.samples++
	if u.samples == 1 {
		u.deviation = sample
		return
	}
	// The first answers are averaged: otherwise the first one alone would set the
	// deviation for about a hundred more, and a small one raises false alarms.
	weight := math.Max(deviationWeight, 1/float64(u.samples))
	u.deviation += weight * clamp(sample-u.deviation, outlierLimit*u.deviation)
}

// last returns the latest answer.
func (u *upstream) last() float64 {
	return u.recent[(u.answers+recentAnswers-1)%recentAnswers]
}

func (u *upstream) recentMean() float64 {
	n := min(u.answers, recentAnswers)
	sum := 0.0
	for _, x := range u.recent[:n] {
		sum += x
	}
	return sum / float64(n)
}

func (u *upstream) recentMedian() float64 {
	sorted := u.recent
	n := min(u.answers, recentAnswers)
	slices.Sort(sorted[:n])
	return sorted[(n-1)/2]
}

// group holds sorted values of the upstreams that describe normal latency.
type group struct {
	normal, recent, spreads []float64
	deviation               float64
	answered                int // answers since the last refresh
	changed                 bool
}

// around returns the median normal and recent latency of the group without u,
// and the number of peers that they come from.
func (g *group) around(u *upstream, tolerance float64) (normal, recent float64, peers int) {
	peers = len(g.normal)
	if u.inGroup {
		peers--
	}
	if peers < 1 {
		return 0, 0, 0
	}
	normal = medianWithout(g.normal, u.inGroup, u.groupNormal, tolerance)
	return normal, medianWithout(g.recent, u.inGroup, u.groupRecent, tolerance), peers
}

// medianWithout returns the median of sorted, without one copy of value if
// without is true. The median of an even number is the mean of the two in the
// middle if they agree within tolerance, and else the lower, because the higher
// may belong to a straggler. Always taking the lower would make the reference
// too fast and raise false alarms with two peers.
func medianWithout(sorted []float64, without bool, value, tolerance float64) float64 {
	n, skipped := len(sorted), len(sorted)
	if without {
		skipped, _ = slices.BinarySearch(sorted, value)
		n--
	}
	at := func(i int) float64 {
		if i >= skipped {
			i++
		}
		return sorted[i]
	}
	lower, upper := at((n-1)/2), at(n/2)
	if upper-lower > tolerance {
		return lower
	}
	return (lower + upper) / 2
}

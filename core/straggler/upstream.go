package straggler

import (
	"math"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// recentResponses is the number of latest responses that describe an upstream's
// current latency. Their median ignores a single outlier.
const recentResponses = 3

const (
	// normalWeight is the EWMA weight of a response in the normal latency, which
	// follows within about 10 responses. With 50 (a weight of 0.02) a slowdown of
	// the whole group by 2 biases the detectors long enough for false alarms. The
	// noise, a quarter of the deviation for one peer, is small beside the shift.
	normalWeight = 0.1
	// deviationWeight is the EWMA weight of a response in the deviation.
	deviationWeight = 0.01
	// outlierLimit clips the influence of one response, in deviations.
	outlierLimit = 3
	// normalMeanDeviation is the mean of the absolute value of a standard normal variable.
	normalMeanDeviation = 0.7979
	// minLatency avoids the logarithm of zero.
	minLatency = time.Microsecond
)

// upstream is the state of one upstream. Latencies are natural logarithms of seconds.
type upstream struct {
	id           api.UpstreamID
	detector     Detector
	lastResponse time.Duration // time of the latest response
	responses    int

	recent    [recentResponses]float64
	normal    float64
	deviation float64
	samples   int // number of samples in deviation

	// groupNormal and groupRecent are the upstream's values in the sorted lists of
	// the group, if inGroup.
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

// record adds a response. It does not change the normal latency of a straggler.
func (u *upstream) record(now time.Duration, x, deviation float64) {
	u.lastResponse = max(u.lastResponse, now)
	u.recent[u.responses%recentResponses] = x
	u.responses++
	if u.marked {
		return
	}
	if u.responses == 1 {
		u.normal = x
		return
	}
	weight := math.Max(normalWeight, 1/float64(u.responses))
	u.normal += weight * clamp(x-u.normal, outlierLimit*deviation)
}

// observeDeviation updates the deviation with responses above the reference: the
// lower tail of log latency is often longer and does not cause false alarms.
func (u *upstream) observeDeviation(residual float64) {
	if residual <= 0 {
		return
	}
	sample := residual / normalMeanDeviation
	u.samples++
	if u.samples == 1 {
		u.deviation = sample
		return
	}
	// The first responses are averaged: otherwise the first one alone would determine
	// the deviation for about a hundred more, and a small one causes false alarms.
	weight := math.Max(deviationWeight, 1/float64(u.samples))
	u.deviation += weight * clamp(sample-u.deviation, outlierLimit*u.deviation)
}

// latestLatency returns the log latency of the latest response.
func (u *upstream) latestLatency() float64 {
	return u.recent[(u.responses+recentResponses-1)%recentResponses]
}

func (u *upstream) recentMean() float64 {
	n := min(u.responses, recentResponses)
	sum := 0.0
	for _, x := range u.recent[:n] {
		sum += x
	}
	return sum / float64(n)
}

func (u *upstream) recentMedian() float64 {
	sorted := u.recent
	n := min(u.responses, recentResponses)
	slices.Sort(sorted[:n])
	return sorted[(n-1)/2]
}

// group holds sorted values of the upstreams that describe normal latency.
type group struct {
	normal, recent, deviations []float64
	deviation                  float64
	responses                  int // responses since the last refresh
	changed                    bool
}

// peerMedians returns the median normal and recent latency of the group without u,
// and the number of peers in it.
func (g *group) peerMedians(u *upstream, tolerance float64) (normal, recent float64, peers int) {
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
// without is true. For an even number of values it is the mean of the middle two if
// they agree within tolerance, and otherwise the lower, because the higher may
// belong to a straggler. Always using the lower would make the reference too low
// and cause false alarms with two peers.
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

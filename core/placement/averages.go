package placement

import (
	"math"
	"time"

	"dandelionhill.dev/api"
)

// steadySpans is how many times as long as an imbalance must last the steady
// average looks back. It sets the noise of the load of an upstream that balance
// moves follow: over 120 s at 480 requests a second it is 0.4%. Over a tenth of
// that time it is above 1%, and upstreams that rest just below the threshold
// lose ranges by noise.
const steadySpans = 12

// changedShare is the part by which the recent average load of an upstream must
// differ from the steady one to count as changed: five times the noise of the
// recent average at 480 requests a second. The noise of a range grows with the
// square root of its load, and so does the difference that counts.
const changedShare = 0.05

// averages has the average load of each range. A single measurement of a range
// has a noise of several per cent, and ranges moved because of noise are churn.
//
// While the load of an upstream is far above its average, the averages of its
// ranges stand still until that has lasted as long as an imbalance must. A
// straggler can inflate the measured load many times for a few seconds; in the
// average this would remain visible, and cause moves, long after it has ended.
type averages struct {
	loads  map[int]rangeAverage
	jumped map[api.UpstreamID]jump // upstreams whose load is far above average
	at     time.Duration
	passed time.Duration // since the previous plan
	after  time.Duration
}

// rangeAverage is the average load of a range. The steady average is the mean
// since the range was first measured, or since its load changed, until that is
// steadySpans times the span of the recent one; from then on it is weighted
// exponentially, as the recent one always is.
type rangeAverage struct {
	steady, recent float64
	age            time.Duration // time over which the steady average was taken
}

// add takes a measurement that stands for the given time. The load is that of the
// upstream.
func (r *rangeAverage) add(measured, load float64, passed, span time.Duration) {
	r.recent += expWeight(passed, span) * (measured - r.recent)
	weight := 1.0
	if r.age+passed > 0 {
		weight = max(float64(passed)/float64(r.age+passed), expWeight(passed, steadySpans*span))
	}
	r.steady += weight * (measured - r.steady)
	r.age = min(r.age+passed, steadySpans*span)
	if math.Abs(r.recent-r.steady) > changedShare*math.Sqrt(r.steady*load) {
		r.restart(span)
	}
}

// restart takes the recent average as the steady one.
func (r *rangeAverage) restart(span time.Duration) {
	r.steady, r.age = r.recent, min(r.age, span)
}

// expWeight returns the weight of a new measurement in an exponential average.
func expWeight(passed, span time.Duration) float64 {
	if span <= 0 {
		return 1
	}
	return -math.Expm1(-float64(passed) / float64(span))
}

// jump is a load far above average: since when, and the lowest seen since then,
// which is the part of it that has lasted.
type jump struct {
	since  time.Duration
	lowest float64
}

// advance notes the time that has passed since the previous measurements.
func (a *averages) advance(now, after time.Duration) {
	if a.loads == nil {
		a.loads, a.at = map[int]rangeAverage{}, now
	}
	a.passed, a.after = max(now-a.at, 0), after
	a.at = max(a.at, now)
}

// average returns the average load of a range so far. The first measurement of a
// range is its average.
func (a *averages) average(id int, measured float64) float64 {
	average, known := a.loads[id]
	if !known {
		a.loads[id] = rangeAverage{steady: measured, recent: measured}
		return measured
	}
	return average.steady
}

// update takes the measurements of the ranges that an upstream owns. If the load
// of the service has risen, they are the new averages.
func (a *averages) update(n *node, above float64, risen bool, next map[api.UpstreamID]jump) {
	restart, share, age := n.load == 0 || risen, 1.0, time.Duration(0)
	j, known := a.jumped[n.up.ID]
	switch {
	case restart:
	case n.measured > above*n.load:
		if !known {
			j = jump{since: a.at, lowest: n.measured}
		}
		j.lowest = min(j.lowest, n.measured)
		if a.at-j.since < a.after {
			next[n.up.ID] = j
			n.jumping = true
			return
		}
		restart, share, age = true, j.lowest/n.measured, a.after
	case known:
		n.jumpEnded = true
	}
	load, recent := n.load, 0.0
	n.load = 0
	for i := range n.ranges {
		r := &n.ranges[i]
		average := a.loads[r.id]
		if restart {
			average = rangeAverage{steady: share * r.measured, recent: share * r.measured, age: age}
		} else {
			average.add(r.measured, load, a.passed, a.after)
		}
		a.loads[r.id] = average
		r.load = average.steady
		n.load += r.load
		recent += average.recent
	}
	if math.Abs(recent-n.load) > changedShare*n.load {
		n.load = 0
		for i := range n.ranges {
			r := &n.ranges[i]
			average := a.loads[r.id]
			average.restart(a.after)
			a.loads[r.id] = average
			r.load = average.steady
			n.load += r.load
		}
	}
}

// risen reports whether the load of most upstreams is far above average: the
// load of the service has risen, and none of them is a straggler. With their
// averages standing still, an upstream whose load rose less would look overloaded.
func (s *assignment) risen(above float64) bool {
	loaded, rose := 0, 0
	for _, n := range s.nodes {
		if n.load > 0 {
			loaded++
			if n.measured > above*n.load {
				rose++
			}
		}
	}
	return 2*rose > loaded
}

// updateAll takes the measurements of all ranges with an owner and forgets
// ranges that no longer exist.
func (a *averages) updateAll(s *assignment, above float64, owners map[int]api.UpstreamID) {
	next := map[api.UpstreamID]jump{}
	risen := s.risen(above)
	for _, n := range s.nodes {
		a.update(n, above, risen, next)
	}
	a.jumped = next
	if len(a.loads) == len(owners) {
		return
	}
	for id := range a.loads {
		if _, exists := owners[id]; !exists {
			delete(a.loads, id)
		}
	}
}

package placement

import (
	"math"
	"time"

	"dandelionhill.dev/api"
)

// longTermSpans is the span of the long-term average as a multiple of the time for
// which an imbalance must last. It determines the noise of the average load of an
// upstream: 0.4% over 120 s at 480 requests per second. Over a tenth of that time
// the noise is above 1%, and upstreams just below the threshold lose ranges by it.
const longTermSpans = 12

// changedShare is the relative difference between the short-term and the long-term
// average load of an upstream from which the load counts as changed: five times the
// noise of the short-term average at 480 requests per second. The noise of a range
// grows with the square root of its load, and so does the difference that counts.
const changedShare = 0.05

// averages holds the average load of each range. A single measurement of a range
// has a noise of several per cent, and ranges moved because of noise are churn.
//
// While the load of an upstream is far above its average, the averages of its
// ranges are frozen until that has lasted as long as an imbalance must. A straggler
// can inflate the measured load many times for a few seconds; in the average this
// would persist, and cause moves, long after it has ended.
type averages struct {
	loads   map[int]rangeAverage
	jumps   map[api.UpstreamID]jump // upstreams whose load is far above average
	updated time.Duration
	elapsed time.Duration // since the previous plan
	after   time.Duration
}

// rangeAverage is the average load of a range. The short-term average is weighted
// exponentially. The long-term one is the arithmetic mean since the range was first
// measured, or since its load changed, until that time is longTermSpans times the
// short-term span; from then on it is weighted exponentially, too.
type rangeAverage struct {
	longTerm, shortTerm float64
	age                 time.Duration // time that longTerm covers
}

// add adds a measurement that covers the elapsed time. load is the average load of
// the upstream.
func (r *rangeAverage) add(measured, load float64, elapsed, span time.Duration) {
	r.shortTerm += expWeight(elapsed, span) * (measured - r.shortTerm)
	weight := 1.0
	if r.age+elapsed > 0 {
		weight = max(float64(elapsed)/float64(r.age+elapsed), expWeight(elapsed, longTermSpans*span))
	}
	r.longTerm += weight * (measured - r.longTerm)
	r.age = min(r.age+elapsed, longTermSpans*span)
	if math.Abs(r.shortTerm-r.longTerm) > changedShare*math.Sqrt(r.longTerm*load) {
		r.restart(span)
	}
}

// restart sets the long-term average to the short-term one.
func (r *rangeAverage) restart(span time.Duration) {
	r.longTerm, r.age = r.shortTerm, min(r.age, span)
}

// expWeight returns the weight of a new measurement in an exponential average.
func expWeight(elapsed, span time.Duration) float64 {
	if span <= 0 {
		return 1
	}
	return -math.Expm1(-float64(elapsed) / float64(span))
}

// jump is the start of a period of load far above average and the lowest load
// since then, which is the part that has lasted.
type jump struct {
	since  time.Duration
	lowest float64
}

// advance records the time since the previous measurements.
func (a *averages) advance(now, after time.Duration) {
	if a.loads == nil {
		a.loads, a.updated = map[int]rangeAverage{}, now
	}
	a.elapsed, a.after = max(now-a.updated, 0), after
	a.updated = max(a.updated, now)
}

// average returns the long-term average load of a range. The first measurement of
// a range initialises it.
func (a *averages) average(id int, measured float64) float64 {
	average, known := a.loads[id]
	if !known {
		a.loads[id] = rangeAverage{longTerm: measured, shortTerm: measured}
		return measured
	}
	return average.longTerm
}

// update adds the measurements of the ranges that an upstream owns. If the load of
// the service has risen, they become the new averages.
func (a *averages) update(n *node, above float64, risen bool, next map[api.UpstreamID]jump) {
	restart, share, age := n.load == 0 || risen, 1.0, time.Duration(0)
	j, known := a.jumps[n.up.ID]
	switch {
	case restart:
	case n.measured > above*n.load:
		if !known {
			j = jump{since: a.updated, lowest: n.measured}
		}
		j.lowest = min(j.lowest, n.measured)
		if a.updated-j.since < a.after {
			next[n.up.ID] = j
			n.jumping = true
			return
		}
		restart, share, age = true, j.lowest/n.measured, a.after
	case known:
		n.jumpEnded = true
	}
	load, shortTerm := n.load, 0.0
	n.load = 0
	for i := range n.ranges {
		r := &n.ranges[i]
		average := a.loads[r.id]
		if restart {
			average = rangeAverage{longTerm: share * r.measured, shortTerm: share * r.measured, age: age}
		} else {
			average.add(r.measured, load, a.elapsed, a.after)
		}
		a.loads[r.id] = average
		r.load = average.longTerm
		n.load += r.load
		shortTerm += average.shortTerm
	}
	if math.Abs(shortTerm-n.load) > changedShare*n.load {
		n.load = 0
		for i := range n.ranges {
			r := &n.ranges[i]
			average := a.loads[r.id]
			average.restart(a.after)
			a.loads[r.id] = average
			r.load = average.longTerm
			n.load += r.load
		}
	}
}

// risen reports whether the load of most upstreams is far above average: then the
// load of the service has risen, and none of them is a straggler. If their averages
// were frozen, an upstream whose load rose less would appear overloaded.
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

// updateAll adds the measurements of all ranges with an owner and removes ranges
// that no longer exist.
func (a *averages) updateAll(s *assignment, above float64, owners map[int]api.UpstreamID) {
	next := map[api.UpstreamID]jump{}
	risen := s.risen(above)
	for _, n := range s.nodes {
		a.update(n, above, risen, next)
	}
	a.jumps = next
	if len(a.loads) == len(owners) {
		return
	}
	for id := range a.loads {
		if _, exists := owners[id]; !exists {
			delete(a.loads, id)
		}
	}
}

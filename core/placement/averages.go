package placement

import (
	"math"
	"time"

	"dandelionhill.dev/api"
)

// averages has the exponentially weighted average load of each range. A single
// measurement of a range has a noise of several per cent, and ranges moved
// because of noise are churn.
//
// While the load of an upstream is far above its average, the averages of its
// ranges stand still until that has lasted as long as an imbalance must. A
// straggler can inflate the measured load many times for a few seconds; in the
// average this would remain visible, and cause moves, long after it has ended.
type averages struct {
	loads  map[int]float64
	jumped map[api.UpstreamID]jump // upstreams whose load is far above average
	at     time.Duration
	after  time.Duration
	weight float64 // of a new measurement
}

// jump is a load far above average: since when, and the lowest seen since then,
// which is the part of it that has lasted.
type jump struct {
	since  time.Duration
	lowest float64
}

// advance sets the weight of the next measurements for the time that has passed.
func (a *averages) advance(now, after time.Duration) {
	if a.loads == nil {
		a.loads, a.at = map[int]float64{}, now
	}
	a.weight, a.after = 1, after
	if after > 0 {
		a.weight = -math.Expm1(-float64(max(now-a.at, 0)) / float64(after))
	}
	a.at = max(a.at, now)
}

// average returns the average load of a range so far. The first measurement of a
// range is its average.
func (a *averages) average(id int, measured float64) float64 {
	average, known := a.loads[id]
	if !known {
		a.loads[id] = measured
		return measured
	}
	return average
}

// update takes the measurements of the ranges that an upstream owns.
func (a *averages) update(n *node, above float64, next map[api.UpstreamID]jump) {
	weight, share := a.weight, 1.0
	j, known := a.jumped[n.up.ID]
	switch {
	case n.load == 0:
		weight = 1
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
		weight, share = 1, j.lowest/n.measured
	case known:
		n.jumpEnded = true
	}
	n.load = 0
	for i := range n.ranges {
		r := &n.ranges[i]
		r.load += weight * (share*r.measured - r.load)
		a.loads[r.id] = r.load
		n.load += r.load
	}
}

// updateAll takes the measurements of all ranges with an owner and forgets
// ranges that no longer exist.
func (a *averages) updateAll(s *assignment, above float64, owners map[int]api.UpstreamID) {
	next := map[api.UpstreamID]jump{}
	for _, n := range s.nodes {
		a.update(n, above, next)
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

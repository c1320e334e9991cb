package placement

import (
	"math"
	"time"

	"dandelionhill.dev/api"
)

// averages has the exponentially weighted average load of each range. A single
// measurement of a range has a noise of several per cent, and ranges moved
// because of noise are churn.
type averages struct {
	loads  map[int]float64
	at     time.Duration
	weight float64 // of a new measurement
}

// advance sets the weight of the next measurements for the time that has passed.
func (a *averages) advance(now, timeConstant time.Duration) {
	if a.loads == nil {
		a.loads, a.at = map[int]float64{}, now
	}
	a.weight = 1
	if timeConstant > 0 {
		a.weight = -math.Expm1(-float64(max(now-a.at, 0)) / float64(timeConstant))
	}
	a.at = max(a.at, now)
}

// update takes a measurement and returns the average. The first measurement of
// a range is its average.
func (a *averages) update(id int, measured float64) float64 {
	average, known := a.loads[id]
	if !known {
		average = measured
	}
	average += a.weight * (measured - average)
	a.loads[id] = average
	return average
}

// trim forgets ranges that no longer exist.
func (a *averages) trim(owners map[int]api.UpstreamID) {
	if len(a.loads) == len(owners) {
		return
	}
	for id := range a.loads {
		if _, exists := owners[id]; !exists {
			delete(a.loads, id)
		}
	}
}

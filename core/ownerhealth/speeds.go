// Package ownerhealth measures the health and the capacity of the upstreams that own keys, from the
// reports of all VMs. It decides how much of its capacity an upstream has for keys; core/ownership
// decides which keys move.
package ownerhealth

import (
	"math"

	"dandelionhill.dev/api"
)

const (
	// speedWeight is the weight of one report in the average speed of an upstream.
	speedWeight = 0.15
	// minSpeed and maxSpeed bound the speed of an upstream relative to its service.
	minSpeed, maxSpeed = 0.15, 1.8
)

// Speeds averages the speeds of upstreams over the reports of VMs, by number of reports.
type Speeds map[api.UpstreamID]float64

// Observe records the sums of the expected and the observed latencies in one report.
func (s Speeds) Observe(id api.UpstreamID, expected, observed float64) {
	if !isPositive(expected) || !isPositive(observed) {
		return
	}
	speed := min(max(expected/observed, minSpeed), maxSpeed)
	if average, ok := s[id]; ok {
		speed = average + speedWeight*(speed-average)
	}
	s[id] = speed
}

// Of returns the speed of an upstream, 1 if it is not known.
func (s Speeds) Of(id api.UpstreamID) float64 {
	if speed, ok := s[id]; ok {
		return speed
	}
	return 1
}

// isPositive reports whether a value from another process is a finite number above 0.
func isPositive(value float64) bool { return value > 0 && !math.IsInf(value, 1) }

// Package selection chooses the upstream for a request that any upstream of its service can
// run. It answers the load of services without keys whose upstreams are spread over several
// failure domains.
package selection

import "time"

// Candidate is an upstream as one VM sees it.
type Candidate struct {
	// Latency is the average latency of requests at the upstream, in seconds.
	Latency float64
	// Ahead is the number of requests that are there or under way.
	Ahead float64
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// FailureRate is the share of recent sends that failed.
	FailureRate float64
	// Avoid means that it has recently failed or was full.
	Avoid bool
	// Local means that it is in the failure domain of the VM.
	Local bool
}

const (
	// failureWeight is the weight of the failure rate: an upstream at which all sends fail
	// costs five times as much.
	failureWeight = 4
	// avoidFactor is the factor on the cost of an upstream to avoid.
	avoidFactor = 8
)

// Cost is the expected latency of a request at the upstream, in seconds, raised after
// failures. It compares upstreams of one service.
func (c Candidate) Cost() float64 {
	cost := c.Latency * (1 + c.Ahead/float64(max(c.Slots, 1))) * (1 + failureWeight*c.FailureRate)
	if c.Avoid {
		cost *= avoidFactor
	}
	return cost
}

// Choice collects the candidates for a request. The zero value has none.
type Choice[T any] struct {
	best, bestLocal   T
	cost, costLocal   float64
	found, foundLocal bool
}

// Add adds an upstream. Among equal ones the first is chosen.
func (c *Choice[T]) Add(upstream T, candidate Candidate) {
	cost := candidate.Cost()
	if !c.found || cost < c.cost {
		c.best, c.cost, c.found = upstream, cost, true
	}
	if candidate.Local && (!c.foundLocal || cost < c.costLocal) {
		c.bestLocal, c.costLocal, c.foundLocal = upstream, cost, true
	}
}

// Best returns the chosen upstream. One in the VM's own failure domain is preferred if the
// request is expected to end at most allowance later there.
func (c *Choice[T]) Best(allowance time.Duration) (upstream T, found bool) {
	if c.foundLocal && c.costLocal <= c.cost+allowance.Seconds() {
		return c.bestLocal, true
	}
	return c.best, c.found
}

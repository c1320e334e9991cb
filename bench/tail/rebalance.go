package tail

import (
	"math"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/straggler"
)

const (
	// rangesPerUpstream is close to that of the deployments: 1,024 ranges on 25 or
	// 30 upstreams.
	rangesPerUpstream = 32
	planInterval      = time.Second
	// loadHalfLife averages over enough requests that the noise of the arrivals
	// stays below the rebalancing threshold of 1.15.
	loadHalfLife = 10 * time.Second
)

// rebalancer runs the planner of core/placement on the load of the ranges. Moves
// take effect immediately, without the time of a handover.
type rebalancer struct {
	capacity  float64
	planner   placement.Planner
	upstreams []placement.Upstream
	owners    map[int]api.UpstreamID
	load      map[int]float64
}

func newRebalancer(ids []api.UpstreamID, slots int) *rebalancer {
	c := &rebalancer{capacity: float64(slots), owners: map[int]api.UpstreamID{}, load: map[int]float64{}}
	for _, id := range ids {
		c.upstreams = append(c.upstreams, placement.Upstream{ID: id, Domain: "a", Capacity: float64(slots), State: placement.Active})
	}
	for i := range len(ids) * rangesPerUpstream {
		c.owners[i] = ids[i%len(ids)]
		c.load[i] = 0
	}
	return c
}

// plan returns the moves due at now and decays the load. The monitor may be nil.
func (c *rebalancer) plan(now time.Duration, monitor *straggler.Monitor) []placement.Move {
	for i := range c.upstreams {
		up := &c.upstreams[i]
		up.Capacity = c.capacity
		if monitor != nil && monitor.Lasting(now, up.ID) {
			up.Capacity *= straggler.LastingCapacityShare
		}
	}
	// The sum of an exponentially decaying load is its rate times the mean age.
	meanAge := loadHalfLife.Seconds() / math.Ln2
	rates := make(map[int]float64, len(c.load))
	for rangeIndex, sum := range c.load {
		rates[rangeIndex] = sum / meanAge
		c.load[rangeIndex] = sum * math.Exp2(-planInterval.Seconds()/loadHalfLife.Seconds())
	}
	moves := c.planner.Plan(now, placement.Input{Upstreams: c.upstreams, Owners: c.owners, Load: rates}, placement.DefaultPolicy())
	for _, m := range moves {
		c.owners[m.Range] = m.To
	}
	return moves
}

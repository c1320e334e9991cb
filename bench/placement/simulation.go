package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/shardmap"
)

// windowSeconds is the length of the sliding window over which the load of a
// range is measured. It halves the noise of one second and is still short enough
// that a straggler's excess load leaves it before RebalanceAfter has passed.
const windowSeconds = 4

// simulation runs the planners of all shards of one service, once a second.
type simulation struct {
	dep      deployment
	ups      []placement.Upstream
	keys     []key
	expected map[int]float64 // demand of each range
	ranges   []int           // all ranges in ascending order
	shardOf  map[int]int     // shard of each range
	tracked  []int           // keys with enough demand to be counted individually
	owners   map[int]api.UpstreamID
	shards   []placement.Shard
	planners []placement.Planner
	hot      *placement.HotKeys
	policy   placement.Policy
	rng      *rand.Rand
	noSplit  bool // hot keys stay in their ordinary ranges, for comparison
	second   int
	window   map[int][]float64
	// slowdown is a factor on the measured load of an upstream's ranges. It models
	// a load measure that depends on response times.
	slowdown map[api.UpstreamID]float64

	forcedMoves, balancingMoves int       // moves so far
	lastMove                    int       // second of the latest move
	maxColdLoad                 float64   // highest load over capacity of a cold upstream that received a range
	movedRanges                 []int     // ranges moved since the last reset
	coldSince                   coldTimes // second at which an upstream turned cold
}

type coldTimes map[api.UpstreamID]int

func newSimulation(dep deployment, load keyLoad, shards int, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 0))
	ups := dep.newUpstreams()
	total := utilization * dep.slots * float64(len(ups))
	s := &simulation{
		dep: dep, ups: ups, keys: newKeys(load, len(ups), total, rng), owners: map[int]api.UpstreamID{},
		shards:   placement.Shards(dep.service, shards, rangeCount, ups),
		planners: make([]placement.Planner, shards),
		hot:      placement.NewHotKeys(placement.DefaultHotKeyConfig(rangeCount)),
		policy:   placement.DefaultPolicy(), rng: rng,
		window: map[int][]float64{}, slowdown: map[api.UpstreamID]float64{}, coldSince: coldTimes{},
	}
	for r := range rangeCount {
		s.owners[r] = ""
	}
	s.updateDemand()
	return s
}

// updateDemand recomputes the state derived from the keys and the hot ranges.
func (s *simulation) updateDemand() {
	hot := s.hot.Ranges()
	s.expected = rangeDemand(s.keys, hot)
	s.ranges = slices.Sorted(maps.Keys(s.owners))
	s.tracked = s.tracked[:0]
	minDemand := placement.DefaultHotKeyConfig(rangeCount).MergeShare * s.dep.slots / 2
	for i, k := range s.keys {
		if k.demand > minDemand {
			s.tracked = append(s.tracked, i)
		}
	}
	table := shardmap.New(s.dep.service, rangeCount, s.shards, hot)
	s.shardOf = make(map[int]int, len(s.ranges))
	for _, r := range s.ranges {
		shard, _ := table.Shard(r)
		s.shardOf[r] = shard.Index
	}
}

// run advances the simulation by whole seconds.
func (s *simulation) run(seconds int) {
	for range seconds {
		s.second++
		s.updateColdCapacity()
		s.splitHotKeys()
		measured := s.measure()
		for i := range s.shards {
			s.plan(i, measured)
		}
	}
}

// measure adds one second of arrivals to the window and returns the mean load of
// each range.
func (s *simulation) measure() map[int]float64 {
	measured := make(map[int]float64, len(s.owners))
	for _, r := range s.ranges {
		sample := poisson(s.expected[r]*requestsPerSlot, s.rng) / requestsPerSlot
		if factor := s.slowdown[s.owners[r]]; factor > 0 {
			sample *= factor
		}
		w := append(s.window[r], sample)
		if len(w) > windowSeconds {
			w = w[len(w)-windowSeconds:]
		}
		s.window[r] = w
		for _, x := range w {
			measured[r] += x / float64(len(w))
		}
	}
	return measured
}

// plan runs the planner of one shard and applies its moves at once.
func (s *simulation) plan(shard int, measured map[int]float64) {
	in := placement.Input{Owners: map[int]api.UpstreamID{}, Load: measured}
	for _, up := range s.ups {
		if slices.Contains(s.shards[shard].Upstreams, up.ID) {
			in.Upstreams = append(in.Upstreams, up)
		}
	}
	for r, owner := range s.owners {
		if s.shardOf[r] == shard {
			in.Owners[r] = owner
		}
	}
	now := time.Duration(s.second) * time.Second
	for _, m := range s.planners[shard].Plan(now, in, s.policy) {
		s.owners[m.Range] = m.To
		s.movedRanges = append(s.movedRanges, m.Range)
		s.lastMove = s.second
		if m.Forced {
			s.forcedMoves++
		} else {
			s.balancingMoves++
		}
		s.recordColdLoad(m.To, measured)
	}
}

// recordColdLoad records the load over capacity of an upstream that received a
// range, if it is cold.
func (s *simulation) recordColdLoad(to api.UpstreamID, measured map[int]float64) {
	for _, up := range s.ups {
		if up.ID != to || up.State != placement.Cold {
			continue
		}
		load := 0.0
		for _, r := range s.ranges {
			if s.owners[r] == to {
				load += measured[r]
			}
		}
		s.maxColdLoad = max(s.maxColdLoad, load/up.Capacity)
	}
}

// splitHotKeys splits and merges the ranges of hot keys. Keys are counted
// exactly, with the noise of one second.
func (s *simulation) splitHotKeys() {
	var loads []placement.KeyLoad
	for _, i := range s.tracked {
		k := s.keys[i]
		seen := poisson(k.demand*requestsPerSlot, s.rng) / requestsPerSlot
		loads = append(loads, placement.KeyLoad{Key: k.name, Share: seen / s.dep.slots})
	}
	if s.noSplit {
		return
	}
	changes := s.hot.Observe(time.Duration(s.second)*time.Second, loads)
	for _, c := range changes {
		if c.Split {
			s.owners[c.Range] = s.owners[shardmap.RangeOf(c.Key, rangeCount)]
		} else {
			delete(s.owners, c.Range)
			delete(s.window, c.Range)
		}
	}
	if len(changes) > 0 {
		s.updateDemand()
	}
}

// setDomain changes the state of a failure domain's upstreams.
func (s *simulation) setDomain(domain api.FailureDomain, state placement.UpstreamState) {
	for i := range s.ups {
		if s.ups[i].Domain == domain {
			s.ups[i].State = state
			if state == placement.Cold {
				s.coldSince[s.ups[i].ID] = s.second
			}
		}
	}
	s.updateColdCapacity()
}

// rampSeconds is how long a cold upstream needs to reach its full capacity.
const rampSeconds = 10

// updateColdCapacity sets the capacity of cold upstreams, which grows linearly,
// and marks them active when they reach full capacity.
func (s *simulation) updateColdCapacity() {
	for i := range s.ups {
		up := &s.ups[i]
		if up.State != placement.Cold {
			up.Capacity = s.dep.slots
			continue
		}
		age := s.second - s.coldSince[up.ID]
		up.Capacity = s.dep.slots * float64(age+1) / (rampSeconds + 1)
		if age >= rampSeconds {
			up.State, up.Capacity = placement.Active, s.dep.slots
		}
	}
}

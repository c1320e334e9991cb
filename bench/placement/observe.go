package placement

import (
	"maps"
	"slices"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/placement/baseline"
)

// ringPoints is the number of virtual nodes per upstream on the hash ring.
const ringPoints = 100

// inService returns the upstreams that may own keys.
func (s *simulation) inService() []api.UpstreamID {
	var ids []api.UpstreamID
	for _, up := range s.ups {
		if up.State == placement.Active || up.State == placement.Cold {
			ids = append(ids, up.ID)
		}
	}
	return ids
}

// loads returns the expected load of every upstream in service.
func (s *simulation) loads() map[api.UpstreamID]float64 {
	loads := map[api.UpstreamID]float64{}
	for _, id := range s.inService() {
		loads[id] = 0
	}
	for _, r := range s.ranges {
		loads[s.owners[r]] += s.expected[r]
	}
	return loads
}

// imbalance returns the ratio of the highest expected load to the mean.
func imbalance(loads map[api.UpstreamID]float64) float64 {
	highest, sum := 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		highest = max(highest, loads[id])
		sum += loads[id]
	}
	if sum == 0 {
		return 0
	}
	return highest / (sum / float64(len(loads)))
}

// shardImbalance returns the highest imbalance within one shard. A planner
// balances only within its shard.
func (s *simulation) shardImbalance() float64 {
	loads, worst := s.loads(), 0.0
	for _, sh := range s.shards {
		shardLoads := map[api.UpstreamID]float64{}
		for _, id := range sh.Upstreams {
			if load, in := loads[id]; in {
				shardLoads[id] = load
			}
		}
		worst = max(worst, imbalance(shardLoads))
	}
	return worst
}

// shardMeanRatio returns the highest mean load per upstream of a shard over that
// of the service.
func (s *simulation) shardMeanRatio() float64 {
	loads := s.loads()
	var total, worst float64
	for _, sh := range s.shards {
		var sum, count float64
		for _, id := range sh.Upstreams {
			if load, ok := loads[id]; ok {
				sum += load
				count++
			}
		}
		total += sum
		worst = max(worst, sum/count)
	}
	return worst / (total / float64(len(loads)))
}

// worstImbalance runs for the given time and returns the highest imbalance of
// the service and within a shard.
func (s *simulation) worstImbalance(seconds int) (service, shard float64) {
	for range seconds {
		s.run(1)
		service, shard = max(service, imbalance(s.loads())), max(shard, s.shardImbalance())
	}
	return service, shard
}

// minMoves returns a lower bound on the moves that bring every upstream to at
// most bound times the mean of its shard: under any plan, an upstream above that
// gives away at least as many ranges as its heaviest ones that make up the excess.
func (s *simulation) minMoves(bound float64) int {
	loads, moves := s.loads(), 0
	for _, sh := range s.shards {
		var sum, count float64
		for _, id := range sh.Upstreams {
			if load, ok := loads[id]; ok {
				sum += load
				count++
			}
		}
		for _, id := range sh.Upstreams {
			excess := loads[id] - bound*sum/count
			for _, load := range s.sortedRangeLoads(id) {
				if excess <= 0 {
					break
				}
				excess -= load
				moves++
			}
		}
	}
	return moves
}

// sortedRangeLoads returns the expected loads of an upstream's ranges in
// descending order.
func (s *simulation) sortedRangeLoads(id api.UpstreamID) []float64 {
	var loads []float64
	for r, owner := range s.owners {
		if owner == id {
			loads = append(loads, s.expected[r])
		}
	}
	slices.Sort(loads)
	slices.Reverse(loads)
	return loads
}

// baselineOwners returns the owner of every key under the named baseline.
func (s *simulation) baselineOwners(name string) []api.UpstreamID {
	var a baseline.Assigner = baseline.NewModulo(s.inService())
	if name == "ring" {
		a = baseline.NewRing(s.inService(), ringPoints)
	}
	owners := make([]api.UpstreamID, len(s.keys))
	for i, k := range s.keys {
		owners[i] = a.Owner(k.hash)
	}
	return owners
}

// baselineLoads returns the expected load of every upstream if the keys have the
// given owners.
func (s *simulation) baselineLoads(owners []api.UpstreamID) map[api.UpstreamID]float64 {
	loads := map[api.UpstreamID]float64{}
	for _, id := range s.inService() {
		loads[id] = 0
	}
	for i, owner := range owners {
		loads[owner] += s.keys[i].demand
	}
	return loads
}

// countMoved counts the keys whose owner differs.
func countMoved(before, after []api.UpstreamID) int {
	n := 0
	for i := range before {
		if before[i] != after[i] {
			n++
		}
	}
	return n
}

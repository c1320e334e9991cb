package placement

import (
	"maps"
	"slices"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/placement/baseline"
)

// ringPoints is the number of points per upstream on the ring, a usual choice.
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

// imbalance returns the highest expected load over the mean.
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

// shardImbalance returns the highest imbalance within one shard, which is as far
// as a planner can even out loads.
func (s *simulation) shardImbalance() float64 {
	loads, worst := s.loads(), 0.0
	for _, sh := range s.shards {
		own := map[api.UpstreamID]float64{}
		for _, id := range sh.Upstreams {
			if load, in := loads[id]; in {
				own[id] = load
			}
		}
		worst = max(worst, imbalance(own))
	}
	return worst
}

// shardMeans returns the highest load per upstream of a shard over that of the
// service.
func (s *simulation) shardMeans() float64 {
	loads := s.loads()
	var total, worst float64
	for _, sh := range s.shards {
		var sum, in float64
		for _, id := range sh.Upstreams {
			if load, ok := loads[id]; ok {
				sum += load
				in++
			}
		}
		total += sum
		worst = max(worst, sum/in)
	}
	return worst / (total / float64(len(loads)))
}

// worstImbalance runs for some seconds and returns the highest imbalance of the
// service and within a shard.
func (s *simulation) worstImbalance(seconds int) (service, shard float64) {
	for range seconds {
		s.run(1)
		service, shard = max(service, imbalance(s.loads())), max(shard, s.shardImbalance())
	}
	return service, shard
}

// fewestMoves returns a lower bound of the moves that bring every upstream of a
// shard to at most the bound times the mean: each upstream above it has to give
// away at least its heaviest ranges that make up the excess, whoever plans it.
func (s *simulation) fewestMoves(bound float64) int {
	loads, moves := s.loads(), 0
	for _, sh := range s.shards {
		var sum, in float64
		for _, id := range sh.Upstreams {
			if load, ok := loads[id]; ok {
				sum += load
				in++
			}
		}
		for _, id := range sh.Upstreams {
			excess := loads[id] - bound*sum/in
			for _, load := range s.heaviest(id) {
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

// heaviest returns the expected loads of an upstream's ranges in falling order.
func (s *simulation) heaviest(id api.UpstreamID) []float64 {
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

// baselineOwners returns the owner of every key under a baseline.
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

// baselineLoads returns the expected load of every upstream under a baseline.
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

// moved counts the keys whose owner differs.
func moved(before, after []api.UpstreamID) int {
	n := 0
	for i := range before {
		if before[i] != after[i] {
			n++
		}
	}
	return n
}

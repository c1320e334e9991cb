package config

import (
	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
)

// Span is a run of ranges, both ends included.
type Span struct {
	First int `json:"first"`
	Last  int `json:"last"`
}

// layoutServices divides new services into shards and gives new upstreams a
// shard. The division is part of the document and never changes afterwards: if
// VMs derived it from the list of upstreams, two holders with different
// revisions could own one range, or one upstream, at the same time.
func layoutServices(doc, old *Document) {
	for i := range doc.Services {
		s := &doc.Services[i]
		before, existed := old.Service(s.Name)
		if !existed {
			layoutService(s)
			continue
		}
		s.Layout = before.Layout
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			if known, ok := find(before.Upstreams, u.ID); ok {
				u.Shard = known.Shard
			} else {
				u.Shard = smallestShard(s, j)
			}
		}
	}
}

func layoutService(s *Service) {
	ups := make([]placement.Upstream, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		ups = append(ups, placement.Upstream{ID: u.ID, Domain: u.FailureDomain, Capacity: float64(s.Slots)})
	}
	shardOf := map[api.UpstreamID]int{}
	s.Layout = nil
	for i, shard := range placement.Shards(s.Name, s.Shards, s.Ranges, ups) {
		s.Layout = append(s.Layout, Span{First: shard.First, Last: shard.Last})
		for _, id := range shard.Upstreams {
			shardOf[id] = i
		}
	}
	for j := range s.Upstreams {
		s.Upstreams[j].Shard = shardOf[s.Upstreams[j].ID]
	}
}

// smallestShard returns the shard with the fewest upstreams for its ranges
// among the upstreams before index end.
func smallestShard(s *Service, end int) int {
	counts := make([]int, len(s.Layout))
	for _, u := range s.Upstreams[:end] {
		if u.Shard < len(counts) {
			counts[u.Shard]++
		}
	}
	best, bestShare := 0, 0.0
	for i, span := range s.Layout {
		share := float64(counts[i]+1) / float64(span.Last-span.First+1)
		if i == 0 || share < bestShare {
			best, bestShare = i, share
		}
	}
	return best
}

// PlacementShards returns the division of the service in the form that routing takes.
func (s Service) PlacementShards() []placement.Shard {
	shards := make([]placement.Shard, len(s.Layout))
	for i, span := range s.Layout {
		shards[i] = placement.Shard{First: span.First, Last: span.Last}
	}
	for _, u := range s.Upstreams {
		shards[u.Shard].Upstreams = append(shards[u.Shard].Upstreams, u.ID)
	}
	return shards
}

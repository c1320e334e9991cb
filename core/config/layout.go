package config

import (
	"slices"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
)

// Span is a sequence of consecutive ranges, First to Last inclusive.
type Span struct {
	First int `json:"first"`
	Last  int `json:"last"`
}

// layoutServices divides new services into shards and assigns new upstreams to
// shards. The division is part of the document and never changes: if VMs computed
// it from the list of upstreams, two holders with different revisions could own
// one range, or one upstream, at the same time.
func layoutServices(doc, old *Document) {
	for i := range doc.Services {
		s := &doc.Services[i]
		before, existed := old.Service(s.Name)
		if !existed {
			layoutService(s)
			continue
		}
		s.Layout = before.Layout
		// New upstreams are assigned last, when the shards of the others are known.
		var added []int
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			if known, ok := findUpstream(before.Upstreams, u.ID); ok {
				u.Shard = known.Shard
			} else {
				u.Shard = -1
				added = append(added, j)
			}
		}
		for _, j := range added {
			s.Upstreams[j].Shard = smallestShard(doc, s)
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

// smallestShard returns the shard with the fewest assigned upstreams per range.
// Drained and lost upstreams do not count, so that a new one can replace the last
// upstream of a shard.
func smallestShard(doc *Document, s *Service) int {
	counts := make([]int, len(s.Layout))
	for _, u := range s.Upstreams {
		if u.Shard >= 0 && u.Shard < len(counts) && !u.Drained && !doc.UpstreamLost(u.ID) {
			counts[u.Shard]++
		}
	}
	best, bestShare := 0, 0.0
	for i, span := range s.Layout {
		share := 0.0 // a shard without upstreams comes first
		if counts[i] > 0 {
			share = float64(counts[i]+1) / float64(span.Last-span.First+1)
		}
		if i == 0 || share < bestShare {
			best, bestShare = i, share
		}
	}
	return best
}

// checkShards refuses a document with a shard that has no upstream: its ranges
// could not move to the upstreams of another shard.
func checkShards(doc *Document) error {
	for _, s := range doc.Services {
		has := make([]bool, len(s.Layout))
		for _, u := range s.Upstreams {
			if u.Shard >= 0 && u.Shard < len(has) {
				has[u.Shard] = true
			}
		}
		if i := slices.Index(has, false); i >= 0 {
			return refuse(NotPermitted, "drain the upstream, or confirm its loss, then add another one, which joins a shard without active upstreams, then remove the first",
				"shard %d of service %s would have no upstream", i, s.Name)
		}
	}
	return nil
}

// PlacementShards returns the shards of the service as types of package placement.
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

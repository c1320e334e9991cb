package placement

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dandelionhill.dev/api"
)

// Shard is a contiguous interval of ranges, First to Last inclusive, and the
// upstreams that own them. Upstreams are sorted by ID.
type Shard struct {
	First, Last int
	Upstreams   []api.UpstreamID
}

// score returns the rendezvous hashing score of a candidate for a place. The fields
// are separated so that different pairs have different inputs.
func score(place, candidate string) uint64 {
	return xxhash.Sum64String(place + "\x00" + candidate)
}

// Shards divides a service into shards. The number of ranges of a shard is
// proportional to its number of upstreams, and the upstreams of every failure
// domain are spread over all shards as evenly as possible. The states of upstreams
// are ignored, so a domain that leaves and returns changes no shard. Rendezvous
// hashing keeps most upstreams in their shard when the list of upstreams changes.
//
// There are fewer shards than requested if there are fewer upstreams or ranges,
// but at least one.
func Shards(service api.ServiceName, shards, ranges int, ups []Upstream) []Shard {
	shards = max(1, min(shards, ranges, len(ups)))
	byDomain := map[api.FailureDomain][]api.UpstreamID{}
	var domains []api.FailureDomain
	for _, up := range ups {
		if byDomain[up.Domain] == nil {
			domains = append(domains, up.Domain)
		}
		byDomain[up.Domain] = append(byDomain[up.Domain], up.ID)
	}
	slices.Sort(domains)

	d := divider{service: service, members: make([][]api.UpstreamID, shards)}
	rest := make([][]api.UpstreamID, len(domains))
	for i, domain := range domains {
		rest[i] = d.assignEvenly(byDomain[domain])
	}
	for _, ids := range rest {
		d.assignRemainder(ids)
	}
	return d.shards(ranges)
}

// divider distributes upstreams over shards.
type divider struct {
	service api.ServiceName
	members [][]api.UpstreamID
}

// preference is the score of an upstream for a shard.
type preference struct {
	id    api.UpstreamID
	shard int
	score uint64
}

// preferences returns the preferences of the upstreams for all shards, the highest
// score first.
func (d *divider) preferences(ids []api.UpstreamID) []preference {
	prefs := make([]preference, 0, len(ids)*len(d.members))
	for _, id := range ids {
		for shard := range d.members {
			place := string(d.service) + "/" + strconv.Itoa(shard)
			prefs = append(prefs, preference{id: id, shard: shard, score: score(place, string(id))})
		}
	}
	slices.SortFunc(prefs, func(x, y preference) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.id, y.id), cmp.Compare(x.shard, y.shard))
	})
	return prefs
}

// assignEvenly assigns to each shard the same number of the upstreams of one domain
// and returns the remaining upstreams.
func (d *divider) assignEvenly(ids []api.UpstreamID) []api.UpstreamID {
	quota := len(ids) / len(d.members)
	placed := make(map[api.UpstreamID]bool, len(ids))
	taken := make([]int, len(d.members))
	for _, p := range d.preferences(ids) {
		if placed[p.id] || taken[p.shard] == quota {
			continue
		}
		placed[p.id] = true
		taken[p.shard]++
		d.members[p.shard] = append(d.members[p.shard], p.id)
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id api.UpstreamID) bool { return placed[id] })
}

// assignRemainder assigns the remaining upstreams of one domain to the shards with
// the fewest upstreams, at most one each.
func (d *divider) assignRemainder(ids []api.UpstreamID) {
	prefs := d.preferences(ids)
	used := make([]bool, len(d.members))
	placed := make(map[api.UpstreamID]bool, len(ids))
	for range ids {
		var best *preference
		for i, p := range prefs {
			if placed[p.id] || used[p.shard] {
				continue
			}
			if best == nil || len(d.members[p.shard]) < len(d.members[best.shard]) {
				best = &prefs[i]
			}
		}
		placed[best.id], used[best.shard] = true, true
		d.members[best.shard] = append(d.members[best.shard], best.id)
	}
}

// shards divides the ranges in proportion to the upstreams of each shard.
func (d *divider) shards(ranges int) []Shard {
	total := 0
	for _, ids := range d.members {
		total += len(ids)
	}
	out := make([]Shard, len(d.members))
	before, first := 0, 0
	for i, ids := range d.members {
		before += len(ids)
		end := ranges // exclusive
		if total > 0 {
			end = (2*ranges*before + total) / (2 * total) // rounded to the nearest
		}
		slices.Sort(ids)
		out[i] = Shard{First: first, Last: end - 1, Upstreams: ids}
		first = end
	}
	return out
}

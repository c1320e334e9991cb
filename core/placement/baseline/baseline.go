// Package baseline provides two static assignments of keys to upstreams, hash
// modulo count and consistent hashing, for comparison with package placement.
package baseline

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dandelionhill.dev/api"
)

// Assigner maps the hash of a key to its owner.
type Assigner interface {
	// Owner returns an empty ID if there is no upstream.
	Owner(hash uint64) api.UpstreamID
}

// Modulo assigns a key to the upstream at index hash modulo count.
type Modulo struct {
	ids []api.UpstreamID
}

// NewModulo returns a Modulo for a set of upstreams.
func NewModulo(ids []api.UpstreamID) *Modulo {
	return &Modulo{ids: sortedSet(ids)}
}

// Owner implements Assigner.
func (m *Modulo) Owner(hash uint64) api.UpstreamID {
	if len(m.ids) == 0 {
		return ""
	}
	return m.ids[hash%uint64(len(m.ids))]
}

// Ring is a consistent hash ring: each upstream has several points on it, and a
// key belongs to the first point at or after its hash.
type Ring struct {
	points []point
}

type point struct {
	hash uint64
	id   api.UpstreamID
}

// NewRing returns a Ring for a set of upstreams with the given number of points each.
func NewRing(ids []api.UpstreamID, points int) *Ring {
	r := &Ring{points: make([]point, 0, len(ids)*points)}
	for _, id := range sortedSet(ids) {
		for i := range points {
			r.points = append(r.points, point{hash: xxhash.Sum64String(string(id) + "#" + strconv.Itoa(i)), id: id})
		}
	}
	slices.SortFunc(r.points, func(x, y point) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.id, y.id))
	})
	return r
}

// Owner implements Assigner.
func (r *Ring) Owner(hash uint64) api.UpstreamID {
	if len(r.points) == 0 {
		return ""
	}
	at, _ := slices.BinarySearchFunc(r.points, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	return r.points[at%len(r.points)].id
}

func sortedSet(ids []api.UpstreamID) []api.UpstreamID {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

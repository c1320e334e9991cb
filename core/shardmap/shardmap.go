package shardmap

import (
	"sort"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
)

// Table routes the requests of one service. It does not change after New, so
// any number of goroutines may use it.
type Table struct {
	service api.ServiceName
	ranges  int
	lasts   []int          // last range of each shard
	hot     map[string]int // key to its own range
	hotHome map[int]int    // range of a hot key to the key's ordinary range
}

// New returns the routes of a service with a number of ordinary ranges, divided
// into shards as placement.Shards does. hot has the range of each key that has
// one of its own; entries that name an ordinary range are ignored.
func New(service api.ServiceName, ranges int, shards []placement.Shard, hot map[string]int) *Table {
	t := &Table{
		service: service, ranges: max(ranges, 1),
		lasts: make([]int, 0, len(shards)), hot: make(map[string]int, len(hot)), hotHome: make(map[int]int, len(hot)),
	}
	for _, s := range shards {
		t.lasts = append(t.lasts, s.Last)
	}
	for key, id := range hot {
		if id >= t.ranges {
			t.hot[key] = id
			t.hotHome[id] = RangeOf(key, t.ranges)
		}
	}
	return t
}

// Range returns the range of a key: its own if it is hot, else by hash.
func (t *Table) Range(key string) int {
	if len(t.hot) > 0 {
		if id, ok := t.hot[key]; ok {
			return id
		}
	}
	return RangeOf(key, t.ranges)
}

// Shard returns the shard of a range. A hot key stays in the shard of its
// ordinary range, so that splitting or merging it changes no holder. ok is
// false for a range that does not exist.
func (t *Table) Shard(rng int) (shard api.ShardID, ok bool) {
	if rng >= t.ranges {
		if rng, ok = t.hotHome[rng]; !ok {
			return api.ShardID{}, false
		}
	}
	if rng < 0 {
		return api.ShardID{}, false
	}
	i := sort.SearchInts(t.lasts, rng)
	if i == len(t.lasts) {
		return api.ShardID{}, false
	}
	return api.ShardID{Service: t.service, Index: i}, true
}

// ByKey returns the range and shard of a key.
func (t *Table) ByKey(key string) (rng int, shard api.ShardID, ok bool) {
	rng = t.Range(key)
	shard, ok = t.Shard(rng)
	return rng, shard, ok
}

// ByRequestID returns the shard of an unkeyed request that may not be repeated,
// so that all repeats under one request ID meet the same memory.
func (t *Table) ByRequestID(id string) (api.ShardID, bool) { return t.Shard(RangeOf(id, t.ranges)) }

// ByFingerprint returns the shard of an unkeyed idempotent request, so that all
// repeats of one request meet the same crash evidence.
func (t *Table) ByFingerprint(fingerprint uint64) (api.ShardID, bool) {
	return t.Shard(slice(fingerprint, t.ranges))
}

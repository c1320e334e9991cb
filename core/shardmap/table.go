package shardmap

import (
	"sort"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
)

// Table maps the requests of one service to ranges and shards. It is immutable and
// safe for concurrent use.
type Table struct {
	service       api.ServiceName
	ranges        int
	lastRanges    []int          // last range of each shard
	hot           map[string]int // key to its own range
	ordinaryRange map[int]int    // range of a hot key to the key's ordinary range
}

// New returns the table of a service with a number of ordinary ranges, divided into
// shards as by placement.Shards. hot maps each hot key to its own range; entries
// that name an ordinary range are ignored.
func New(service api.ServiceName, ranges int, shards []placement.Shard, hot map[string]int) *Table {
	t := &Table{
		service: service, ranges: max(ranges, 1),
		lastRanges: make([]int, 0, len(shards)), hot: make(map[string]int, len(hot)), ordinaryRange: make(map[int]int, len(hot)),
	}
	for _, s := range shards {
		t.lastRanges = append(t.lastRanges, s.Last)
	}
	for key, id := range hot {
		if id >= t.ranges {
			t.hot[key] = id
			t.ordinaryRange[id] = RangeOf(key, t.ranges)
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
func (t *Table) Shard(keyRange int) (shard api.ShardID, ok bool) {
	if keyRange >= t.ranges {
		if keyRange, ok = t.ordinaryRange[keyRange]; !ok {
			return api.ShardID{}, false
		}
	}
	if keyRange < 0 {
		return api.ShardID{}, false
	}
	i := sort.SearchInts(t.lastRanges, keyRange)
	if i == len(t.lastRanges) {
		return api.ShardID{}, false
	}
	return api.ShardID{Service: t.service, Index: i}, true
}

// ByKey returns the range and shard of a key.
func (t *Table) ByKey(key string) (keyRange int, shard api.ShardID, ok bool) {
	keyRange = t.Range(key)
	shard, ok = t.Shard(keyRange)
	return keyRange, shard, ok
}

// ByRequestID returns the shard of an unkeyed request that is not idempotent, so
// that all retries with one request ID reach the same deduplication table.
func (t *Table) ByRequestID(id string) (api.ShardID, bool) { return t.Shard(RangeOf(id, t.ranges)) }

// ByFingerprint returns the shard of an unkeyed idempotent request, so that all
// retries of one request are checked against the same crash evidence.
func (t *Table) ByFingerprint(fingerprint uint64) (api.ShardID, bool) {
	return t.Shard(rangeOfHash(fingerprint, t.ranges))
}

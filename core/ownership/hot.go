package ownership

import (
	"cmp"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

const (
	// hotShare is the share of the mean capacity from which a bucket counts as hot, coolShare that
	// below which it no longer does.
	hotShare, coolShare = 0.5, 0.25
	// sharedUse is the share of its capacity from which the owner of a hot bucket gives up its other
	// keys: below it they are served in time beside the bucket. The observed load lags behind a rise.
	sharedUse = 0.6
	// fullUse is the share of its owner's capacity from which a hot bucket may move to another one.
	fullUse = 0.8
	// maxAlone is the largest share of the upstreams that own a hot bucket alone; beyond it the
	// others would bear too much.
	maxAlone = 0.2
	// fasterFactor is how much more capacity another upstream must have to become the owner of a hot
	// bucket. Its requests wait while it moves, for up to 2 s from a slow owner with a full queue: at
	// 1.6 times the capacity that is regained after 4 s. hotMoveInterval is the shortest time between
	// two such moves, hotMoveDelay that from the rise of the load to the first.
	fasterFactor, hotMoveInterval, hotMoveDelay = 1.6, 5 * time.Second, time.Second
)

// hotBucket is a bucket with the load of a large part of an upstream.
type hotBucket struct {
	bucket  int
	load    float64
	movedAt time.Duration
}

// hotBuckets holds the hot buckets and the upstreams that own one alone.
type hotBuckets struct {
	buckets []*hotBucket // by load, the highest first
	alone   map[api.UpstreamID]int
}

// placeHot finds the hot buckets, and marks the other keys of their owners as moving.
func (m *Machine) placeHot(now time.Duration) {
	if m.cfg.LoadWindow <= 0 {
		return
	}
	byID := m.upstreamLoads(now)
	m.findHot(now, byID)
	m.hot.alone = make(map[api.UpstreamID]int)
	for _, h := range m.hot.buckets {
		e := m.entryOf(h.bucket * KeysPerBucket)
		owner := byID[e.next().UpstreamID]
		if owner == nil {
			continue
		}
		id := owner.Upstream.UpstreamID
		_, taken := m.hot.alone[id]
		if to := m.fasterOwner(byID, owner, h, taken); to != nil && e.settled() && now-h.movedAt >= hotMoveInterval {
			h.movedAt = now
			e = m.isolate(e, h.bucket)
			e.moving, e.released, e.target, m.changed = true, false, to.Owner, true
			id = to.Upstream.UpstreamID
		} else if taken {
			continue
		}
		m.hot.alone[id] = h.bucket
	}
	for id, bucket := range m.hot.alone {
		byID[id].alone = true
		m.clearAround(byID[id].Owner, bucket)
	}
}

// findHot updates the hot buckets.
func (m *Machine) findHot(now time.Duration, byID map[api.UpstreamID]*upstreamLoad) {
	capacity := 0.0
	for _, u := range byID {
		capacity += u.Capacity
	}
	mean := capacity / float64(max(len(byID), 1)) * m.cfg.LoadWindow.Seconds()
	known := make(map[int]*hotBucket)
	for _, h := range m.hot.buckets {
		known[h.bucket] = h
	}
	m.hot.buckets = nil
	for bucket, load := range m.loads.buckets {
		h := known[bucket]
		if load < coolShare*mean || h == nil && load < hotShare*mean {
			continue
		}
		if h == nil {
			owner := byID[m.entryOf(bucket*KeysPerBucket).next().UpstreamID]
			if owner == nil || owner.load < sharedUse*owner.Capacity*m.cfg.LoadWindow.Seconds() {
				continue
			}
			h = &hotBucket{bucket: bucket, movedAt: now + hotMoveDelay - hotMoveInterval}
		}
		h.load = load
		m.hot.buckets = append(m.hot.buckets, h)
	}
	slices.SortFunc(m.hot.buckets, func(a, b *hotBucket) int {
		return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.bucket, b.bucket))
	})
	m.hot.buckets = m.hot.buckets[:min(len(m.hot.buckets), int(maxAlone*float64(len(byID))))]
}

// fasterOwner returns an upstream with much more capacity than the owner of a hot bucket that the
// owner cannot serve. If the owner has a hotter one, it returns the fastest without one.
func (m *Machine) fasterOwner(byID map[api.UpstreamID]*upstreamLoad, owner *upstreamLoad, h *hotBucket, taken bool) (best *upstreamLoad) {
	if !taken && h.load < fullUse*owner.Capacity*m.cfg.LoadWindow.Seconds() {
		return nil
	}
	for _, u := range moveTargets(byID) {
		if _, used := m.hot.alone[u.Upstream.UpstreamID]; used || u == owner {
			continue
		}
		if best == nil || u.Capacity > best.Capacity {
			best = u
		}
	}
	if best == nil || !taken && best.Capacity < fasterFactor*owner.Capacity {
		return nil
	}
	return best
}

// next returns the owner of an entry after its pending move.
func (e *entry) next() Owner {
	if e.moving && !e.writing {
		return e.target
	}
	return e.Owner
}

// entryOf returns the entry of a key.
func (m *Machine) entryOf(key int) *entry {
	i, _ := slices.BinarySearchFunc(m.entries, key, func(e *entry, key int) int { return cmp.Compare(e.Span.Last, key) })
	return m.entries[i]
}

// isolate splits the entry of a bucket, so that it has an entry of its own, and returns that.
func (m *Machine) isolate(e *entry, bucket int) *entry {
	if first := bucket * KeysPerBucket; e.Span.First < first {
		e = m.split(e, first-1)
	}
	if last := (bucket+1)*KeysPerBucket - 1; last < e.Span.Last {
		m.split(e, last)
	}
	return e
}

// clearAround marks the keys of an owner as moving, except those of a bucket.
func (m *Machine) clearAround(owner Owner, bucket int) {
	keep := m.entryOf(bucket * KeysPerBucket)
	if keep.Owner == owner && keep.settled() {
		keep = m.isolate(keep, bucket)
	}
	for _, e := range m.entries {
		if e != keep && e.Owner == owner && e.settled() {
			e.moving, e.released, e.target, m.changed = true, false, Owner{}, true
		}
	}
}

// settled reports whether an entry neither moves nor is in a call.
func (e *entry) settled() bool { return !e.moving && !e.writing && !e.inCall() }

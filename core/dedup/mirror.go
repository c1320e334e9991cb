package dedup

import (
	"slices"
	"time"
)

// Mirror is a witness's copy of the request IDs that a holder has started. After
// the loss of the holder, a successor uses it to distinguish new requests from
// retries. It is not safe for concurrent use.
type Mirror struct {
	window   time.Duration
	since    time.Time
	received map[ID]time.Time
	order    []ID // by time of receipt
}

// NewMirror returns an empty mirror that keeps each ID for window.
func NewMirror(window time.Duration, wall time.Time) *Mirror {
	m := &Mirror{window: window}
	m.Reset(wall)
	return m
}

// Reset empties the mirror, which then covers the time from wall on. A witness
// resets it when the members of the shard change, and a holder when it stops,
// because IDs may have been sent to other VMs only.
func (m *Mirror) Reset(wall time.Time) {
	m.since, m.received, m.order = wall, map[ID]time.Time{}, nil
}

// Add stores IDs that a holder is about to start and removes expired ones.
func (m *Mirror) Add(wall time.Time, ids []ID) {
	for _, id := range ids {
		if _, known := m.received[id]; !known {
			m.received[id] = wall
			m.order = append(m.order, id)
		}
	}
	expired := 0
	for expired < len(m.order) && wall.Sub(m.received[m.order[expired]]) > m.window {
		delete(m.received, m.order[expired])
		expired++
	}
	m.order = m.order[expired:]
}

// CoveredSince returns the time from which the mirror has every ID that was sent to it.
func (m *Mirror) CoveredSince(wall time.Time) time.Time {
	if oldest := wall.Add(-m.window); oldest.After(m.since) {
		return oldest
	}
	return m.since
}

// IDs returns the kept IDs in the order of receipt.
func (m *Mirror) IDs() []ID { return slices.Clone(m.order) }

// SnapshotFromMirrors returns the content of a table that begins at since and
// contains ids with unknown outcomes.
func SnapshotFromMirrors(cfg Config, since time.Time, ids []ID) Snapshot {
	slices.SortFunc(ids, func(a, b ID) int { return slices.Compare(a[:], b[:]) })
	ids = slices.Compact(ids)
	s := Snapshot{Start: since.UnixNano()}
	for _, id := range ids {
		expires := time.UnixMilli(id.UnixMilli()).Add(cfg.Retention)
		s.Entries = append(s.Entries, SnapshotEntry{ID: id, Expires: expires.UnixNano()})
	}
	return s
}

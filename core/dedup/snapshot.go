package dedup

import "time"

// SnapshotEntry is one ID of a Snapshot. Running means that its run has not
// ended; a nil Response without Running means an unknown outcome.
type SnapshotEntry struct {
	ID       ID        `json:"id"`
	Expires  int64     `json:"expires"`
	Running  bool      `json:"running"`
	Response *Response `json:"answer"`
}

// Snapshot is the content of a Table for a planned handover, oldest ID first.
type Snapshot struct {
	Start   int64           `json:"start"`
	Latest  int64           `json:"latest"`
	Entries []SnapshotEntry `json:"entries"`
}

// Snapshot returns the content of t. The holder must not call Begin afterwards:
// later IDs would be missing at the successor.
func (t *Table) Snapshot() Snapshot {
	s := Snapshot{Start: t.start, Latest: t.latest, Entries: make([]SnapshotEntry, 0, len(t.index))}
	for i := t.first; i != noEntry; i = t.entries[i].next {
		e := &t.entries[i]
		out := SnapshotEntry{ID: e.id, Expires: e.expires, Running: e.state != done}
		if e.state == done {
			out.Response = e.result.response
		}
		s.Entries = append(s.Entries, out)
	}
	return s
}

// Restore returns a table with the content of s. IDs that were running are
// refused as duplicate_running until Finish reports the result from the former
// holder. Entries beyond the capacity are kept; new IDs are refused meanwhile.
func Restore(cfg Config, s Snapshot) *Table {
	t := New(cfg, time.Unix(0, s.Start))
	t.latest = max(t.latest, s.Latest)
	for _, saved := range s.Entries {
		if _, ok := t.index[saved.ID]; ok {
			continue
		}
		e := entry{id: saved.ID, expires: saved.Expires, state: inherited}
		if !saved.Running {
			e.state = done
			e.result = &storedResult{}
			if saved.Response != nil {
				response := *saved.Response
				e.result.response = &response
				t.keepBody(e.result)
			}
		}
		t.add(e)
	}
	return t
}

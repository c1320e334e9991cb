package dedup

import "time"

// SnapshotEntry is one ID of a Snapshot. Running means that its run has not
// ended; a nil Answer without Running stands for an unknown outcome.
type SnapshotEntry struct {
	ID      ID      `json:"id"`
	Expires int64   `json:"expires"`
	Running bool    `json:"running"`
	Answer  *Answer `json:"answer"`
}

// Snapshot is the content of a Table for a planned handover, oldest ID first.
type Snapshot struct {
	Start   int64           `json:"start"`
	Latest  int64           `json:"latest"`
	Entries []SnapshotEntry `json:"entries"`
}

// Snapshot returns the content of m. The holder must not call Begin after it:
// IDs that begin later would be missing at the successor.
func (m *Table) Snapshot() Snapshot {
	s := Snapshot{Start: m.start, Latest: m.latest, Entries: make([]SnapshotEntry, 0, len(m.index))}
	for i := m.first; i != none; i = m.entries[i].next {
		e := &m.entries[i]
		out := SnapshotEntry{ID: e.id, Expires: e.expires, Running: e.state != done}
		if e.state == done {
			out.Answer = e.result.answer
		}
		s.Entries = append(s.Entries, out)
	}
	return s
}

// Restore returns a memory with the content of s. IDs that were running are
// refused as duplicate_running until Finish reports the end that the former
// holder saw. Entries over the capacity are kept; new IDs are refused meanwhile.
func Restore(cfg Config, s Snapshot) *Table {
	m := New(cfg, time.Unix(0, s.Start))
	m.latest = max(m.latest, s.Latest)
	for _, from := range s.Entries {
		if _, ok := m.index[from.ID]; ok {
			continue
		}
		e := entry{id: from.ID, expires: from.Expires, state: inherited}
		if !from.Running {
			e.state = done
			e.result = &result{}
			if from.Answer != nil {
				answer := *from.Answer
				e.result.answer = &answer
				m.keepBody(e.result)
			}
		}
		m.add(e)
	}
	return m
}

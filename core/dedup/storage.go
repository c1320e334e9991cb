package dedup

import "time"

// expiriesPerCall bounds the work of one call. It is more than the one ID that
// a call can add, so expiry keeps up, and a memory of a million IDs that expire
// together does not stop the shard.
const expiriesPerCall = 64

// advance moves the clock and removes some of the IDs that are due. An ID may
// go only when its date is before the horizon that Begin computes: it was added
// at most ClockSkew before its date, so it must outlive its retention strictly.
func (m *Table) advance(wall time.Time) {
	m.latest = max(m.latest, wall.UnixNano())
	i := m.first
	for n := 0; n < expiriesPerCall && i != none && m.entries[i].expires < m.latest; n++ {
		next := m.entries[i].next
		if m.entries[i].state == running {
			// Kept until Finish, and looked at again after another retention.
			m.unlink(i)
			m.entries[i].expires = m.latest + int64(m.cfg.Retention)
			m.append(i)
		} else {
			m.remove(i)
		}
		i = next
	}
}

// add stores e as the newest entry.
func (m *Table) add(e entry) {
	i := m.free
	if i == none {
		m.entries = append(m.entries, entry{})
		i = int32(len(m.entries) - 1)
	} else {
		m.free = m.entries[i].next
	}
	m.entries[i] = e
	m.index[e.id] = i
	m.append(i)
}

// remove drops entry i.
func (m *Table) remove(i int32) {
	m.unlink(i)
	e := &m.entries[i]
	delete(m.index, e.id)
	if e.result != nil {
		m.dropFromList(e.result)
	}
	*e = entry{next: m.free}
	m.free = i
}

func (m *Table) append(i int32) {
	e := &m.entries[i]
	e.prev, e.next = m.last, none
	if m.last == none {
		m.first = i
	} else {
		m.entries[m.last].next = i
	}
	m.last = i
}

func (m *Table) unlink(i int32) {
	e := &m.entries[i]
	if e.prev == none {
		m.first = e.next
	} else {
		m.entries[e.prev].next = e.next
	}
	if e.next == none {
		m.last = e.prev
	} else {
		m.entries[e.next].prev = e.prev
	}
}

// keepBody accounts for the body of r and drops the oldest bodies over the bound.
func (m *Table) keepBody(r *result) {
	size := len(r.answer.Body)
	if size == 0 {
		return
	}
	if size > m.cfg.BodyLimit || int64(size) > m.cfg.BodyBytes {
		r.answer.Body, r.answer.BodyDropped = nil, true
		return
	}
	r.prev = m.newest
	if m.newest == nil {
		m.oldest = r
	} else {
		m.newest.next = r
	}
	m.newest = r
	m.bytes += int64(size)
	for m.bytes > m.cfg.BodyBytes {
		old := m.oldest
		m.dropFromList(old)
		// Callers may still read the answer that they were given.
		dropped := *old.answer
		dropped.Body, dropped.BodyDropped = nil, true
		old.answer = &dropped
	}
}

// dropFromList takes r off the list of kept bodies if it is on it.
func (m *Table) dropFromList(r *result) {
	if r.answer == nil || len(r.answer.Body) == 0 {
		return
	}
	if r.prev == nil {
		m.oldest = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		m.newest = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	m.bytes -= int64(len(r.answer.Body))
}

package dedup

import (
	"bytes"
	"time"
)

// expiriesPerCall bounds the work of one call, so that a million IDs that expire
// together do not block the shard. A call adds at most one ID, so expiry keeps up.
const expiriesPerCall = 64

// advance moves the clock and removes up to expiriesPerCall expired IDs. An ID
// may be removed only when its date is before the horizon computed by Begin. The
// date is at most ClockSkew after the time of adding, so the ID must be kept
// until strictly after its retention.
func (t *Table) advance(wall time.Time) {
	t.latest = max(t.latest, wall.UnixNano())
	i := t.first
	for n := 0; n < expiriesPerCall && i != noEntry && t.entries[i].expires < t.latest; n++ {
		next := t.entries[i].next
		if t.entries[i].state == running {
			// Kept until Finish, and checked again after another retention.
			t.unlink(i)
			t.entries[i].expires = t.latest + int64(t.cfg.Retention)
			t.pushBack(i)
		} else {
			t.remove(i)
		}
		i = next
	}
}

// add inserts e as the newest entry.
func (t *Table) add(e entry) {
	i := t.free
	if i == noEntry {
		t.entries = append(t.entries, entry{})
		i = int32(len(t.entries) - 1)
	} else {
		t.free = t.entries[i].next
	}
	t.entries[i] = e
	t.index[e.id] = i
	t.pushBack(i)
}

// remove deletes entry i.
func (t *Table) remove(i int32) {
	t.unlink(i)
	e := &t.entries[i]
	delete(t.index, e.id)
	if e.result != nil {
		t.unlinkBody(e.result)
	}
	*e = entry{next: t.free}
	t.free = i
}

func (t *Table) pushBack(i int32) {
	e := &t.entries[i]
	e.prev, e.next = t.last, noEntry
	if t.last == noEntry {
		t.first = i
	} else {
		t.entries[t.last].next = i
	}
	t.last = i
}

func (t *Table) unlink(i int32) {
	e := &t.entries[i]
	if e.prev == noEntry {
		t.first = e.next
	} else {
		t.entries[e.prev].next = e.next
	}
	if e.next == noEntry {
		t.last = e.prev
	} else {
		t.entries[e.next].prev = e.prev
	}
}

// keepBody adds the body of r to the kept bodies and drops the oldest ones beyond
// MaxTotalBodyBytes.
func (t *Table) keepBody(r *storedResult) {
	size := len(r.response.Body)
	if size == 0 {
		return
	}
	if size > t.cfg.MaxBodyBytes || int64(size) > t.cfg.MaxTotalBodyBytes {
		r.response.Body, r.response.BodyDropped = nil, true
		return
	}
	for t.budget != nil && !t.budget.Take(int64(size)) {
		if t.oldestBody == nil { // other tables have the memory
			r.response.Body, r.response.BodyDropped = nil, true
			return
		}
		t.dropOldestBody()
	}
	if cap(r.response.Body) > size+size/4 {
		// The buffer that the response was read into may have twice its size.
		r.response.Body = bytes.Clone(r.response.Body)
	}
	r.prev = t.newestBody
	if t.newestBody == nil {
		t.oldestBody = r
	} else {
		t.newestBody.next = r
	}
	t.newestBody = r
	t.bodyBytes += int64(size)
	for t.bodyBytes > t.cfg.MaxTotalBodyBytes {
		t.dropOldestBody()
	}
}

func (t *Table) dropOldestBody() {
	old := t.oldestBody
	t.unlinkBody(old)
	// Callers may still read the response, so a copy replaces it.
	dropped := *old.response
	dropped.Body, dropped.BodyDropped = nil, true
	old.response = &dropped
}

// unlinkBody removes r from the list of kept bodies if it is listed.
func (t *Table) unlinkBody(r *storedResult) {
	if r.response == nil || len(r.response.Body) == 0 {
		return
	}
	if r.prev == nil {
		t.oldestBody = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		t.newestBody = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	t.bodyBytes -= int64(len(r.response.Body))
	if t.budget != nil {
		t.budget.Return(int64(len(r.response.Body)))
	}
}

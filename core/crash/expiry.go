package crash

import "time"

// class orders records for eviction, the least important first.
type class int

const (
	proven class = iota
	suspect
	quarantined
	classes
)

// recordList is a doubly linked list of records. All records of one class expire
// equally long after they are appended, so the first expires first; merged records
// with less time remaining expire late, when they reach the front.
type recordList struct {
	first, last *record
	n           int
}

func (l *recordList) append(r *record) {
	r.list, r.prev, r.next = l, l.last, nil
	if l.last != nil {
		l.last.next = r
	} else {
		l.first = r
	}
	l.last = r
	l.n++
}

// unlink removes r from its list, if any.
func unlink(r *record) {
	l := r.list
	if l == nil {
		return
	}
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		l.first = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		l.last = r.prev
	}
	r.list, r.prev, r.next = nil, nil, nil
	l.n--
}

// relist moves r to the list for its state, and evicts records above the capacity.
func (e *Evidence) relist(r *record) {
	unlink(r)
	if r.running > 0 {
		if r.crashes > 0 || r.class == quarantined {
			e.busy.append(r)
		}
		return
	}
	switch {
	case r.class == quarantined:
	case r.crashes > 0:
		r.class = suspect
		r.expiresAt = e.now + e.cfg.SuspectTTL
	case r.proven:
		r.class = proven
		r.expiresAt = e.now + e.cfg.ProvenTTL
	default:
		delete(e.records, r.fingerprint)
		return
	}
	e.idle[r.class].append(r)
	for e.idle[proven].n+e.idle[suspect].n+e.idle[quarantined].n > e.cfg.Capacity {
		e.evict()
	}
}

// evict deletes the oldest record of the least important class.
func (e *Evidence) evict() {
	for c := range e.idle {
		if r := e.idle[c].first; r != nil {
			unlink(r)
			delete(e.records, r.fingerprint)
			return
		}
	}
}

// advance sets the clock and expires records. A fingerprint whose quarantine expires
// stays a suspect, so that one more crash quarantines it again.
func (e *Evidence) advance(now time.Duration) {
	if now > e.now {
		e.now = now
	}
	for c := range e.idle {
		for r := e.idle[c].first; r != nil && r.expiresAt <= e.now; r = e.idle[c].first {
			unlink(r)
			if class(c) != quarantined {
				delete(e.records, r.fingerprint)
				continue
			}
			r.class = suspect
			r.crashes = 1
			e.relist(r)
		}
	}
}

package crash

import "time"

// class orders records by how long they are worth keeping.
type class int

const (
	proven class = iota
	suspect
	quarantined
	classes
)

// list is a doubly linked list of records. Within one class all records live
// equally long after they are appended, so the first is the first to expire;
// merged records with less time left are expired late, when they reach the front.
type list struct {
	first, last *record
	n           int
}

func (l *list) append(r *record) {
	r.on, r.prev, r.next = l, l.last, nil
	if l.last != nil {
		l.last.next = r
	} else {
		l.first = r
	}
	l.last = r
	l.n++
}

// unlink takes r off its list if it is on one.
func unlink(r *record) {
	l := r.on
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
	r.on, r.prev, r.next = nil, nil, nil
	l.n--
}

// file puts r on the list for its state, and makes room.
func (e *Evidence) file(r *record) {
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
		r.until = e.now + e.cfg.SuspectTTL
	case r.proven:
		r.class = proven
		r.until = e.now + e.cfg.ProvenTTL
	default:
		delete(e.records, r.fingerprint)
		return
	}
	e.idle[r.class].append(r)
	for e.idle[proven].n+e.idle[suspect].n+e.idle[quarantined].n > e.cfg.Capacity {
		e.evict()
	}
}

// evict drops the oldest record of the least important class.
func (e *Evidence) evict() {
	for c := range e.idle {
		if r := e.idle[c].first; r != nil {
			unlink(r)
			delete(e.records, r.fingerprint)
			return
		}
	}
}

// advance moves the clock and expires what is due. A fingerprint that leaves
// quarantine stays a suspect, so that one more crash quarantines it again.
func (e *Evidence) advance(now time.Duration) {
	if now > e.now {
		e.now = now
	}
	for c := range e.idle {
		for r := e.idle[c].first; r != nil && r.until <= e.now; r = e.idle[c].first {
			unlink(r)
			if class(c) != quarantined {
				delete(e.records, r.fingerprint)
				continue
			}
			r.class = suspect
			r.crashes = 1
			e.file(r)
		}
	}
}

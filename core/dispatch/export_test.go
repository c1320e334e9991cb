package dispatch

// Leftovers counts the state of requests that q keeps, which must be 0 once no
// request is queued or running.
func (q *Queue) Leftovers() int {
	n := len(q.queued) + len(q.hedges) + len(q.running) + len(q.ranges) + q.shared.leftovers()
	for _, u := range q.upstreams {
		n += u.inFlight
		if u.lane != nil {
			n += u.lane.leftovers()
		}
	}
	return n
}

func (l *lane) leftovers() int {
	n := len(l.keys) + len(l.callers) + len(l.flows) + l.keyRing.n + l.callerRing.n + len(l.due) + l.blocked.n + l.queued + l.hedged
	if l.exclusive != nil || l.exclusiveUp != nil {
		n++
	}
	return n
}

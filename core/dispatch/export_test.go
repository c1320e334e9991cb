package dispatch

// RetainedEntries counts the entries that q keeps for requests. It must return 0 once
// no request is queued or running.
func (q *Queue) RetainedEntries() int {
	n := len(q.queued) + len(q.hedges) + len(q.running) + len(q.ranges) + q.shared.retainedEntries()
	for _, u := range q.upstreams {
		n += u.inFlight
		if u.lane != nil {
			n += u.lane.retainedEntries()
		}
	}
	return n
}

func (l *lane) retainedEntries() int {
	n := len(l.keys) + len(l.callers) + len(l.flows) + l.keyRing.n + l.callerRing.n + len(l.due) + l.blocked.n + l.queued + l.hedged
	if l.exclusive != nil || l.exclusiveUp != nil {
		n++
	}
	return n
}

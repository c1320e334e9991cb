package dispatch

// Leftovers counts everything that q keeps beyond its upstreams, which is
// nothing once no request is queued or running.
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
	if l.solo != nil || l.soloUp != nil {
		n++
	}
	return n
}

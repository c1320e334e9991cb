// Package admission decides which request goes to an upstream next, and which are
// refused at once because they cannot be served in time.
//
// It answers the days on which an upstream gets more than it can run: a hot key,
// a burst, an upstream that slows down. There a queue in the order of arrival
// makes every answer late, and upstreams that are full break connections.
package admission

import (
	"slices"
	"time"
)

// priorityStep is by how much a less urgent request counts as having arrived
// later, for each step of priority. Urgent requests go first, and the others are
// not starved.
const priorityStep = 150 * time.Millisecond

// turnWeight is the weight of one request in the average time at the upstream.
const turnWeight = 0.1

const (
	// firstPause is the pause between requests after an upstream was full once;
	// each further time doubles it, up to longestPause.
	firstPause   = 25 * time.Millisecond
	longestPause = 5 * time.Second
	// pauseDecay shortens the pause with each answer, below shortestPause to none.
	pauseDecay    = 0.7
	shortestPause = 10 * time.Millisecond
)

// Request is a request that wants a place at an upstream.
type Request struct {
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Arrived is when the caller's request came, Target when its answer has lost
	// part of its value, Deadline when nobody waits for it any more.
	Arrived, Target, Deadline time.Duration
	// ServiceTime is how long the upstream usually takes for such a request.
	ServiceTime time.Duration
	// Token names the request for the user of the queue.
	Token any
}

func (r *Request) key() time.Duration {
	return r.Arrived + time.Duration(r.Priority)*priorityStep
}

// inTime reports whether a run that starts now ends before the target.
func (r *Request) inTime(now time.Duration) bool { return now+r.ServiceTime <= r.Target }

// MissesDeadline reports whether a run that starts now would usually end too late for
// the caller.
func (r *Request) MissesDeadline(now time.Duration) bool { return now+r.ServiceTime > r.Deadline }

// Queue holds the requests of one VM for one upstream. It is not safe for
// concurrent use.
type Queue struct {
	limit   int
	running int
	waiting []*Request
	// turn is the average time for which a place is taken.
	turn time.Duration
	// pause is the time between requests while the upstream gets more than it
	// takes, from all VMs together; nextAt is when the next one may go.
	pause, nextAt time.Duration
}

// New returns a queue that lets limit requests be at the upstream at once.
func New(limit int) *Queue { return &Queue{limit: max(limit, 1)} }

// SetLimit changes the number of places.
func (q *Queue) SetLimit(limit int) { q.limit = max(limit, 1) }

// Load returns the number of requests that run or wait.
func (q *Queue) Load() int { return q.running + len(q.waiting) }

// Decision is what becomes of a request that has arrived.
type Decision int

// The decisions.
const (
	// Start means that the request has a place.
	Start Decision = iota + 1
	// Wait means that Next will return the request, or that it must be cancelled.
	Wait
	// Refuse means that it cannot be served in time.
	Refuse
)

// Offer takes a request in. With Refuse, wait is when it may come again.
func (q *Queue) Offer(now time.Duration, r *Request) (d Decision, wait time.Duration) {
	if len(q.waiting) == 0 && q.open(now) {
		q.take(now)
		return Start, 0
	}
	ahead := 0
	for _, w := range q.waiting {
		if q.before(now, w, r) {
			ahead++
		}
	}
	// On average, half of the time of those that run has passed.
	wait = (q.turn*time.Duration(ahead) + q.turn/2) / time.Duration(q.limit)
	wait = max(wait, q.nextAt-now+q.pause*time.Duration(ahead))
	if r.MissesDeadline(now + wait) {
		return Refuse, wait
	}
	q.waiting = append(q.waiting, r)
	return Wait, wait
}

// before reports whether a goes before b: requests that can be answered within
// their target go before those that cannot.
func (q *Queue) before(now time.Duration, a, b *Request) bool {
	if x, y := a.inTime(now), b.inTime(now); x != y {
		return x
	}
	return a.key() < b.key()
}

// Next returns the requests that have a place now, and those that have become
// hopeless while they waited.
func (q *Queue) Next(now time.Duration) (start, refuse []*Request) {
	q.waiting = slices.DeleteFunc(q.waiting, func(r *Request) bool {
		if r.MissesDeadline(now) {
			refuse = append(refuse, r)
			return true
		}
		return false
	})
	for len(q.waiting) > 0 && q.open(now) {
		best := 0
		for i, r := range q.waiting {
			if q.before(now, r, q.waiting[best]) {
				best = i
			}
		}
		start = append(start, q.waiting[best])
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.take(now)
	}
	return start, refuse
}

func (q *Queue) open(now time.Duration) bool { return q.running < q.limit && now >= q.nextAt }

func (q *Queue) take(now time.Duration) {
	q.running++
	q.nextAt = now + q.pause
}

// NextWake returns when Next should be called although no place was given back, and
// whether that is so.
func (q *Queue) NextWake() (at time.Duration, ok bool) {
	return q.nextAt, len(q.waiting) > 0 && q.running < q.limit
}

// UpstreamFull records that the upstream had no room. The VMs do not know of each other's
// requests: each makes longer pauses until the upstream can take them.
func (q *Queue) UpstreamFull(now time.Duration) {
	q.pause = min(max(2*q.pause, firstPause), longestPause)
	q.nextAt = now + q.pause
}

// UpstreamAccepted records that the upstream had room.
func (q *Queue) UpstreamAccepted() {
	q.pause = time.Duration(pauseDecay * float64(q.pause))
	if q.pause < shortestPause {
		q.pause = 0
	}
}

// Done gives a place back that was taken for a time, 0 if it was not used.
func (q *Queue) Done(took time.Duration) {
	q.running--
	if took <= 0 {
		return
	}
	if q.turn == 0 {
		q.turn = took
	}
	q.turn += time.Duration(turnWeight * float64(took-q.turn))
}

// Cancel takes a waiting request out. It reports false if it waits no more.
func (q *Queue) Cancel(r *Request) bool {
	i := slices.Index(q.waiting, r)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

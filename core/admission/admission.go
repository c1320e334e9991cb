// Package admission queues requests for an upstream by priority and target, and
// refuses at once those that cannot meet their deadline.
//
// It is for overload: a hot key, a burst, an upstream that slows down. A FIFO queue
// would then make every response late, and full upstreams break connections.
package admission

import (
	"slices"
	"time"
)

// priorityDelay is added to the arrival time of a request for each step of lower
// priority. Urgent requests go first, and the others are not starved.
const priorityDelay = 150 * time.Millisecond

// serviceTimeWeight is the weight of one request in the average service time.
const serviceTimeWeight = 0.1

const (
	// initialBackoff is the time between requests after an upstream was full once;
	// each further time doubles it, up to maxBackoff.
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// backoffDecay multiplies the backoff with each accepted request; a backoff below
	// minBackoff becomes 0.
	backoffDecay = 0.7
	minBackoff   = 10 * time.Millisecond
)

// Request is a request that needs a slot at an upstream.
type Request struct {
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Arrived is when the request arrived, Target when its response loses part of its
	// value, Deadline when the caller stops waiting.
	Arrived, Target, Deadline time.Duration
	// ServiceTime is how long the upstream usually takes for such a request.
	ServiceTime time.Duration
	// Flow is that of SetShares.
	Flow Flow
	// MayHaveRun means that the request was sent before and has no outcome: it cannot be refused
	// as not run.
	MayHaveRun bool
	// Late is set when the queue refuses the request because it can no longer meet its target;
	// RetryAfter is then the time until there may be capacity.
	Late       bool
	RetryAfter time.Duration
	// missed means that the queue has counted the request as one that it made late.
	missed bool
	// Token identifies the request to the user of the queue.
	Token any
}

func (r *Request) rankTime() time.Duration {
	return r.Arrived + time.Duration(r.Priority)*priorityDelay
}

// inTime reports whether a run that starts now ends before the target.
func (r *Request) inTime(now time.Duration) bool { return now+r.ServiceTime <= r.Target }

// MissesDeadline reports whether a run that starts now would usually end after the
// deadline.
func (r *Request) MissesDeadline(now time.Duration) bool { return now+r.ServiceTime > r.Deadline }

// Queue holds the requests of one VM for one upstream. It is not safe for
// concurrent use.
type Queue struct {
	limit   int
	running int
	waiting []*Request
	// serviceTime is the average time for which a slot is occupied.
	serviceTime time.Duration
	// backoff is the time between requests while all VMs together send the upstream
	// more than it accepts; nextAt is when the next one may be sent.
	backoff, nextAt time.Duration
	permits         permits
	pressure        backpressure
	// shares is the state of SetShares, nil in the order by arrival time.
	shares Sharer
	late   lateness
	// contention is the state of SetInterval.
	contention contentionState
}

// New returns a queue that allows limit concurrent requests to the upstream.
func New(limit int) *Queue { return &Queue{limit: max(limit, 1)} }

// SetLimit changes the number of slots.
func (q *Queue) SetLimit(limit int) { q.limit = max(limit, 1) }

// Load returns the number of requests that run or wait.
func (q *Queue) Load() int { return q.running + len(q.waiting) }

// Decision is the result of offering a request.
type Decision int

// The decisions.
const (
	// Start means that the request has a slot.
	Start Decision = iota + 1
	// Wait means that Next will return the request, or that it must be cancelled.
	Wait
	// Refuse means that it cannot be served in time.
	Refuse
)

// Offer adds a request. With Refuse, wait is the delay before a retry.
func (q *Queue) Offer(now time.Duration, r *Request) (d Decision, wait time.Duration) {
	q.pressure.arrive(now, r)
	if q.shares != nil {
		q.shares.Arrive(now, r.Flow)
	}
	r.missed = !r.inTime(now)
	if r.missed && !r.MayHaveRun && q.refusesLate(now) {
		r.Late, r.RetryAfter = true, q.wait(now, len(q.waiting)+1)
		return Refuse, r.RetryAfter
	}
	if len(q.waiting) == 0 && q.canStart(now) {
		q.start(now, r)
		return Start, 0
	}
	ahead := q.ahead(now, r)
	wait = max(q.wait(now, ahead), q.permits.wait(now, ahead, len(q.waiting)+1))
	if r.MissesDeadline(now + wait) {
		q.countMiss(now, r)
		return Refuse, wait
	}
	q.waiting = append(q.waiting, r)
	return Wait, wait
}

// TryStart adds a request that starts now or not at all. It reports whether it has a slot.
func (q *Queue) TryStart(now time.Duration, r *Request) bool {
	if len(q.waiting) > 0 || !q.canStart(now) {
		return false
	}
	q.pressure.arrive(now, r)
	if q.shares != nil {
		q.shares.Arrive(now, r.Flow)
	}
	q.start(now, r)
	return true
}

// wait returns the expected time until a request starts that has others ahead.
func (q *Queue) wait(now time.Duration, ahead int) time.Duration {
	// On average, the running requests have used half of their time.
	wait := (q.serviceTime*time.Duration(ahead) + q.serviceTime/2) / time.Duration(q.pressure.outstanding(q.limit))
	return max(wait, q.nextAt-now+max(q.backoff, q.Interval(now))*time.Duration(ahead))
}

// ahead returns the number of waiting requests that go before r.
func (q *Queue) ahead(now time.Duration, r *Request) (n int) {
	for _, w := range q.waiting {
		if w != r && q.precedes(now, w, r) {
			n++
		}
	}
	return n
}

// precedes reports whether a goes before b: requests that can be answered within
// their target go before those that cannot.
func (q *Queue) precedes(now time.Duration, a, b *Request) bool {
	if q.shares != nil {
		return q.precedesByLoss(now, a, b)
	}
	if x, y := a.inTime(now), b.inTime(now); x != y {
		return x
	}
	return a.rankTime() < b.rankTime()
}

// Next returns the requests that have a slot now, and those that can no longer meet
// their deadline.
func (q *Queue) Next(now time.Duration) (start, refuse []*Request) {
	for _, r := range q.waiting {
		if !r.inTime(now) {
			q.countMiss(now, r)
		}
		if r.MissesDeadline(now + q.permitWait(now, r)) {
			refuse = append(refuse, r)
		}
	}
	refuse = append(refuse, q.lateOnes(now, refuse)...)
	if len(refuse) == 0 {
		refuse = q.outranked(now)
	}
	if len(refuse) > 0 {
		q.waiting = slices.DeleteFunc(q.waiting, func(r *Request) bool { return slices.Contains(refuse, r) })
	}
	for len(q.waiting) > 0 && q.canStart(now) {
		best := 0
		for i, r := range q.waiting {
			if q.precedes(now, r, q.waiting[best]) {
				best = i
			}
		}
		start = append(start, q.waiting[best])
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.start(now, start[len(start)-1])
	}
	return start, refuse
}

func (q *Queue) canStart(now time.Duration) bool {
	return q.running < q.pressure.outstanding(q.limit) && now >= q.nextAt && q.permits.permit(now)
}

func (q *Queue) start(now time.Duration, r *Request) {
	if q.shares != nil {
		q.shares.Start(r.Flow, r.ServiceTime)
	}
	q.permits.use()
	q.running++
	q.nextAt = now + q.backoff
	if q.contention.paced(now) {
		q.nextAt = now + q.pressure.jitter(q.contention.interval)
	}
}

// NextWake returns when Next should be called even if no slot is freed; ok is false
// if it need not be.
func (q *Queue) NextWake() (at time.Duration, ok bool) {
	return q.nextAt, len(q.waiting) > 0 && q.running < q.pressure.outstanding(q.limit) && q.permits.permit(q.nextAt)
}

// UpstreamFull records that the upstream refused a request because it was full. The
// VMs do not know of each other's requests: each increases its backoff until the
// upstream can accept them.
func (q *Queue) UpstreamFull(now time.Duration) {
	if q.pressure.enabled() {
		q.rejected(now)
		return
	}
	q.backoff = min(max(2*q.backoff, initialBackoff), maxBackoff)
	q.nextAt = now + q.backoff
}

// UpstreamAccepted records that the upstream accepted a request.
func (q *Queue) UpstreamAccepted() {
	if q.pressure.enabled() {
		q.pressure.unexplained = 0
		return // Observe adjusts the backoff
	}
	q.backoff = time.Duration(backoffDecay * float64(q.backoff))
	if q.backoff < minBackoff {
		q.backoff = 0
	}
}

// Done frees a slot that was occupied for the given time, 0 if it was not used.
func (q *Queue) Done(took time.Duration) {
	q.running--
	if took <= 0 {
		return
	}
	if q.serviceTime == 0 {
		q.serviceTime = took
	}
	q.serviceTime += time.Duration(serviceTimeWeight * float64(took-q.serviceTime))
}

// Cancel removes a waiting request. It reports false if it is no longer waiting.
func (q *Queue) Cancel(r *Request) bool {
	i := slices.Index(q.waiting, r)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Withdraw removes all waiting requests and returns them.
func (q *Queue) Withdraw() []*Request {
	withdrawn := q.waiting
	q.waiting = nil
	return withdrawn
}

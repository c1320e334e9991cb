package admission

import (
	"slices"
	"time"
)

const (
	// missWindow is the time over which requests that became late are counted: those of the
	// present overload, not of the one before.
	missWindow = time.Second
	// minMisses is the number of requests that became late in missWindow from which late requests
	// are refused. A single one may be the request in question, which took nobody's place.
	minMisses = 1.5
	// lateLoad is the demand, as a share of what the upstream takes from this VM, from which late
	// requests take the place of others. Below it the others are late for another reason.
	lateLoad = 1
)

// lateness is the state of SetRefuseLate.
type lateness struct {
	enabled bool
	// misses is the number of requests in missWindow, averaged, at missesAt, that could meet their
	// target when they were offered and cannot any more because of the queue.
	misses   float64
	missesAt time.Duration
}

// SetRefuseLate makes the queue refuse requests that can no longer meet their target while the
// demand exceeds what the upstream takes and others become late for that: each late request that
// runs makes one more of them late. Off, late requests only yield to the others.
func (q *Queue) SetRefuseLate(on bool) { q.late.enabled = on }

func (l *lateness) decay(now time.Duration) {
	if elapsed := now - l.missesAt; elapsed > 0 {
		l.misses *= max(1-elapsed.Seconds()/missWindow.Seconds(), 0)
		l.missesAt = now
	}
}

// countMiss records that a request that could meet its target when it was offered cannot any more.
func (q *Queue) countMiss(now time.Duration, r *Request) {
	if r.missed {
		return
	}
	r.missed = true
	q.late.decay(now)
	q.late.misses++
}

// refusesLate reports whether late requests are refused now.
func (q *Queue) refusesLate(now time.Duration) bool {
	q.late.decay(now)
	return q.late.enabled && q.late.misses >= minMisses && q.exceeds(now)
}

// exceeds reports whether the demand of this VM exceeds what the upstream takes from it.
func (q *Queue) exceeds(now time.Duration) bool {
	b := &q.pressure
	if b.enabled() {
		if _, contended := b.share(now); contended {
			return true
		}
	}
	b.decay(now)
	return b.demand*q.serviceTime.Seconds() > lateLoad*float64(b.outstanding(q.limit))*demandWindow.Seconds()
}

// lateOnes returns the waiting requests that are refused because they are late, without those that
// are refused already.
func (q *Queue) lateOnes(now time.Duration, refused []*Request) (refuse []*Request) {
	if !q.refusesLate(now) {
		return nil
	}
	for _, r := range q.waiting {
		if !r.inTime(now) && !r.MayHaveRun && !slices.Contains(refused, r) {
			r.Late, r.RetryAfter = true, q.wait(now, len(q.waiting)+1)
			refuse = append(refuse, r)
		}
	}
	return refuse
}

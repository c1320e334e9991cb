package admission

import (
	"slices"
	"time"
)

const (
	// backlogTTL is how long a reported backlog is used.
	backlogTTL = time.Second
	// spareTTL is how long after a request that went elsewhere a permit is wanted for the next
	// one.
	spareTTL = time.Second
	// minPermitWait is the time in which a permit is requested and issued.
	minPermitWait = 50 * time.Millisecond
)

// permits holds the permits of one VM for an upstream that states a limit of requests per
// second. Without a limit no request needs one.
type permits struct {
	// rate is the limit for all VMs together, 0 if there is none.
	rate float64
	// expiries holds the end of each unused permit, earliest first.
	expiries []time.Duration
	// backlog is the number of permits that all VMs together waited for at backlogAt; it is
	// negative if permits were left.
	backlog   float64
	backlogAt time.Duration
	// spareUntil is until when a permit is wanted although no request waits for it.
	spareUntil time.Duration
}

// permit reports whether a request may start now as far as the limit goes.
func (p *permits) permit(now time.Duration) bool { return p.rate == 0 || p.count(now) > 0 }

// count returns the number of permits that have not expired.
func (p *permits) count(now time.Duration) int {
	p.expiries = slices.DeleteFunc(p.expiries, func(at time.Duration) bool { return at <= now })
	return len(p.expiries)
}

// use takes the permit that expires first.
func (p *permits) use() {
	if len(p.expiries) > 0 {
		p.expiries = p.expiries[1:]
	}
}

// hasBacklog reports whether the backlog of all VMs is known.
func (p *permits) hasBacklog(now time.Duration) bool {
	return p.backlogAt > 0 && now-p.backlogAt < backlogTTL
}

// wait returns the time until a request gets a permit that has others of this VM ahead, of
// all that wait. It is 0 if it has one, or if the backlog is not known.
func (p *permits) wait(now time.Duration, ahead, waiting int) time.Duration {
	if p.rate == 0 || ahead < p.count(now) || !p.hasBacklog(now) {
		return 0
	}
	// The VMs take turns, so the backlog divides into the places of the requests of this VM.
	place := (p.backlog - p.rate*(now-p.backlogAt).Seconds()) * float64(ahead+1) / float64(waiting)
	return max(time.Duration(place/p.rate*float64(time.Second)), 0)
}

// SetRate sets the limit that the upstream states, in requests per second; 0 ends it.
// Permits that were issued under a higher limit are dropped.
func (q *Queue) SetRate(rate float64) {
	if rate == 0 || q.permits.rate == 0 {
		q.permits = permits{rate: rate}
		return
	}
	if rate < q.permits.rate {
		q.permits.expiries = nil
	}
	q.permits.rate = rate
}

// Rate returns the limit that the upstream states, 0 if there is none.
func (q *Queue) Rate() float64 { return q.permits.rate }

// AddPermits adds permits that were received now, and records how many all VMs together wait
// for.
func (q *Queue) AddPermits(now time.Duration, count int, ttl time.Duration, backlog float64) {
	if q.permits.rate == 0 {
		return
	}
	for range count {
		q.permits.expiries = append(q.permits.expiries, now+ttl)
	}
	q.permits.backlog, q.permits.backlogAt = backlog, now
}

// permitWait returns the time until a waiting request gets a permit, as far as known.
func (q *Queue) permitWait(now time.Duration, r *Request) time.Duration {
	if q.permits.rate == 0 {
		return 0
	}
	return q.permits.wait(now, q.ahead(now, r), len(q.waiting))
}

// PermitWait returns the time until a new request gets a permit, 0 if it needs none.
func (q *Queue) PermitWait(now time.Duration) time.Duration {
	if q.permits.rate == 0 || q.permits.count(now) > len(q.waiting) {
		return 0
	}
	return max(q.permits.wait(now, len(q.waiting), len(q.waiting)+1), minPermitWait)
}

// RequestSpare asks for a permit for the next request, after one that went elsewhere.
func (q *Queue) RequestSpare(now time.Duration) { q.permits.spareUntil = now + spareTTL }

// MissingPermits returns the number of waiting requests without a permit, and whether the
// next request needs one.
func (q *Queue) MissingPermits(now time.Duration) (waiting int, spare bool) {
	if q.permits.rate == 0 {
		return 0, false
	}
	free := q.permits.count(now) - len(q.waiting)
	return max(-free, 0), free <= 0 && now < q.permits.spareUntil
}

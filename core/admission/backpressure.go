package admission

import (
	"math"
	"time"
)

const (
	// queuePerSlot is the number of requests that an upstream queues for each of its slots: the
	// upstreams of the deployments queue 8 with 2 slots and 24 with 6.
	queuePerSlot = 4
	// demandWindow is the time over which the arrivals of requests are averaged. A key that
	// becomes hot is noticed within it.
	demandWindow = time.Second
	// contention is the share of the capacity of an upstream from which the VMs pace their
	// requests to it. Below it the queue of the upstream absorbs the variation.
	contention = 0.9
	// minDemand is the demand of a VM from which contention is judged after a broken connection:
	// the one request that broke shows none.
	minDemand = 1.5
	// maxStateAge is how long a reported queue says that the upstream may be full, in departures:
	// a full queue of 2 slots has left by then.
	maxStateAge = 2 * queuePerSlot
	// paceFactor is the factor on the interval between requests after a response that reports
	// more than half a queue, and paceDecay that after one that reports less than a quarter.
	paceFactor, paceDecay = 1.3, 0.8
	// maxPace bounds the interval relative to the equal share of a VM: a few VMs may have most
	// of the demand.
	maxPace = 2
	// outstandingPerSlot is the number of requests of all VMs together that may be at an
	// upstream, for each of its slots, if they divide among the VMs. More wait in the queues
	// of the VMs, where the urgent ones go first.
	outstandingPerSlot = 2
)

// State is the load that an upstream reports with a response.
type State struct {
	Running, Waiting, Slots int
	// Slowdown is its service time relative to the usual one.
	Slowdown float64
}

// free returns how many more requests the upstream can queue.
func (s State) free() int { return queuePerSlot*s.Slots - s.Waiting }

// HasFreeSlot reports whether the upstream would run another request at once.
func (s State) HasFreeSlot() bool { return s.Slots > 0 && s.Running < s.Slots && s.Waiting == 0 }

// full reports whether the queue is full, but for what left it since.
func (s State) full() bool { return s.free() <= queuePerSlot*s.Slots/4 }

// backpressure limits what one VM sends to an upstream by the state that the upstream reports.
type backpressure struct {
	// vms is the number of VMs that send to the upstream, 0 without backpressure.
	vms int
	// random returns a number in [0, 1). The VMs would otherwise send in step.
	random func() float64
	state  State
	// observedAt is when state was reported.
	observedAt time.Duration
	// unexplained counts the rejections since the last response without a sign that the upstream
	// is full.
	unexplained int
	// fullUntil is until when the upstream is believed to be full if no response reports room: VMs
	// that share a full upstream get a response in maxBackoff or so.
	fullUntil time.Duration
	// work is the average service time of the requests at an upstream of usual speed.
	work time.Duration
	// demand is the number of requests in demandWindow, averaged, at demandAt.
	demand   float64
	demandAt time.Duration
}

// SetBackpressure limits the requests by the state that the upstream reports, which vms VMs
// observe independently of each other; 0 ends it. slots is the number that the upstream runs
// concurrently, until it reports one; random returns a number in [0, 1).
func (q *Queue) SetBackpressure(vms, slots int, random func() float64) {
	q.pressure.vms, q.pressure.random = vms, random
	if q.pressure.state.Slots <= 0 {
		q.pressure.state.Slots = slots
	}
}

// Pause returns for how long no request will be sent because the upstream is full.
func (q *Queue) Pause(now time.Duration) time.Duration {
	if !q.pressure.enabled() {
		return 0
	}
	return max(q.nextAt-now, 0)
}

func (b *backpressure) enabled() bool { return b.vms > 0 }

// arrive records a request that is offered.
func (b *backpressure) arrive(now time.Duration, r *Request) {
	b.decay(now)
	b.demand++
	if b.work == 0 {
		b.work = r.ServiceTime
	}
	b.work += time.Duration(serviceTimeWeight * float64(r.ServiceTime-b.work))
}

func (b *backpressure) decay(now time.Duration) {
	if elapsed := now - b.demandAt; elapsed > 0 {
		b.demand *= max(1-elapsed.Seconds()/demandWindow.Seconds(), 0)
		b.demandAt = now
	}
}

// departure returns the usual time between two requests that leave a busy upstream.
func (b *backpressure) departure() time.Duration {
	slowdown := b.state.Slowdown
	if slowdown <= 0 {
		slowdown = 1
	}
	return time.Duration(float64(b.work) * slowdown / float64(max(b.state.Slots, 1)))
}

// outstanding returns how many requests of this VM may be at the upstream, at most limit.
func (b *backpressure) outstanding(limit int) int {
	if !b.enabled() || b.state.Slots <= 0 {
		return limit
	}
	return min(limit, max(int(math.Ceil(outstandingPerSlot*float64(b.state.Slots)/float64(b.vms))), 1))
}

// share returns the interval between requests at which all VMs together use the upstream fully,
// and whether their demand exceeds it, taking that of this VM for the mean.
func (b *backpressure) share(now time.Duration) (interval time.Duration, contended bool) {
	b.decay(now)
	interval = time.Duration(b.vms) * b.departure()
	return interval, b.demand*interval.Seconds() > contention*demandWindow.Seconds()
}

// jitter spreads a time by a quarter to both sides.
func (b *backpressure) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.random()))
}

// Observe records the state that an upstream reports with a response.
func (q *Queue) Observe(now time.Duration, state State) {
	b := &q.pressure
	if !b.enabled() || state.Slots <= 0 {
		return
	}
	b.state, b.observedAt = state, now
	q.contention.responded = true
	q.contention.full = q.contention.full || state.full()
	if q.contention.paced(now) {
		return
	}
	switch free := state.free(); {
	case state.HasFreeSlot():
		// It was not full: connections break for other reasons too.
		q.backoff, q.nextAt = 0, min(q.nextAt, now)
		b.unexplained, b.fullUntil = 0, 0
	case free < queuePerSlot*state.Slots/2:
		b.fullUntil = now + 2*maxBackoff
		fair, _ := b.share(now)
		q.backoff = min(max(time.Duration(paceFactor*float64(q.backoff)), b.departure()), maxPace*fair, maxBackoff)
		// The requests that wait beyond half of the queue must leave first.
		excess := queuePerSlot*state.Slots/2 - free
		q.nextAt = max(q.nextAt, now+b.jitter(q.backoff), now+b.jitter(time.Duration(excess)*b.departure()))
	case free >= queuePerSlot*state.Slots*3/4:
		q.backoff = time.Duration(paceDecay * float64(q.backoff))
		if q.backoff < minBackoff {
			q.backoff, b.fullUntil = 0, 0
		}
	}
}

// Shed records that the upstream shed a request with a response that reported its state, which
// Observe has been given. A full queue shows that it is full, and a short one that it sheds for
// another reason, so that the request may be sent again at once. Between them its queue may be
// shorter than that of others.
func (q *Queue) Shed(now time.Duration) {
	b := &q.pressure
	switch {
	case !b.enabled() || b.state.full():
		q.UpstreamFull(now)
	case b.state.Waiting >= b.state.Slots:
		q.unexplained(now)
	}
}

// ConnectionBroken records that a request got no response because its connection broke: the
// upstream was full, or the connection broke for another reason.
func (q *Queue) ConnectionBroken(now time.Duration) {
	b := &q.pressure
	if !b.enabled() {
		q.UpstreamFull(now)
		return
	}
	_, contended := b.share(now)
	recent := now-b.observedAt < maxStateAge*b.departure()
	if now < b.fullUntil || contended && (b.demand >= minDemand || b.unexplained > 0) || recent && b.state.free() < queuePerSlot*b.state.Slots/2 {
		q.rejected(now)
		return
	}
	q.unexplained(now)
}

// unexplained records a rejection without a sign that the upstream is full. The next request, which
// may be the same one, waits for one departure only, and for twice as long after each further one
// without a response that shows the upstream at work.
func (q *Queue) unexplained(now time.Duration) {
	b := &q.pressure
	q.backoff = min(max(b.departure(), initialBackoff)<<min(b.unexplained, 10), maxBackoff)
	b.unexplained++
	q.nextAt = now + b.jitter(q.backoff)
}

// rejected records that the upstream rejected a request because it was full.
func (q *Queue) rejected(now time.Duration) {
	b := &q.pressure
	b.fullUntil = now + 2*maxBackoff
	if q.contention.full = true; q.contention.paced(now) {
		q.nextAt = max(q.nextAt, now+b.jitter(q.contention.interval))
		return
	}
	interval := max(2*q.backoff, queuePerSlot*b.departure()*time.Duration(max(b.state.Slots, 1))/2, initialBackoff)
	if fair, contended := b.share(now); contended {
		interval = max(interval, fair)
		interval = min(interval, maxPace*fair)
	}
	q.backoff = min(interval, maxBackoff)
	q.nextAt = now + b.jitter(q.backoff)
}

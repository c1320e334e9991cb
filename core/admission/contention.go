package admission

import (
	"slices"
	"time"

	"dandelionhill.dev/api"
)

const (
	// contentionHold is how long an upstream stays watched after a VM last found it full.
	contentionHold = 3 * time.Second
	// contentionTTL is how long a VM keeps its interval without an update of the granter, which sends
	// it every 0.25 s: a new granter knows of the contention within that time, or nobody does.
	contentionTTL = 1500 * time.Millisecond
	// settleTime is the time from which the demand of single VMs is known well enough to give the
	// unused shares of some to others. Until then all have equal shares.
	settleTime = 2 * time.Second
	// contenderTTL is how long the demand of a VM counts that does not report any more.
	contenderTTL = 2 * time.Second
	// usedRate is the share of the rate of an upstream that the VMs divide. Its queue grows
	// without bound at 1.
	usedRate = 0.95
	// beginContention and endContention are the demand, in rates of the upstream, at which the VMs
	// begin and end to keep the interval. At a demand of 2 and below, the turns of VMs that have no
	// request just then cost more than the rejections that the interval avoids.
	beginContention, endContention = 4, 2
	// demandWeight and departureWeight are those of one report in the averages.
	demandWeight, departureWeight = 0.2, 0.02
	// maxWatched bounds the upstreams that are watched at a time, and the size of messages.
	maxWatched = 16
	// minInterval and MaxInterval bound the interval between requests of a VM.
	minInterval, MaxInterval = 10 * time.Millisecond, time.Minute
)

// ContentionReport is what a VM knows of an upstream that is watched, or that it found full.
type ContentionReport struct {
	// Demand is in requests per second.
	Demand float64
	// Departure is the time between two requests that leave the upstream, 0 if the VM has had no
	// response since its last report.
	Departure time.Duration
	// Full means that the upstream was full since the last report.
	Full bool
}

// Contentions tells which upstreams get more requests of all VMs together than they can run, and
// which interval each VM is to keep between its requests to them. The granter has one. It is not
// safe for concurrent use.
type Contentions[U comparable] struct {
	watched map[U]*contended
}

// contended is the state of one upstream.
type contended struct {
	since, fullAt time.Duration
	departure     float64 // average, in seconds
	vms           map[api.VMID]*contender
	contended     bool
}

// contender is the demand of one VM, in requests per second.
type contender struct {
	demand float64
	at     time.Duration
}

// NewContentions returns Contentions without upstreams.
func NewContentions[U comparable]() *Contentions[U] {
	return &Contentions[U]{watched: make(map[U]*contended)}
}

// Report records a report of a VM. It reports whether the upstream is newly watched, so that all
// VMs are to be told at once.
func (c *Contentions[U]) Report(now time.Duration, vm api.VMID, upstream U, r ContentionReport) (added bool) {
	w := c.watched[upstream]
	if w == nil {
		if !r.Full || len(c.watched) >= maxWatched {
			return false
		}
		w = &contended{since: now, vms: make(map[api.VMID]*contender)}
		c.watched[upstream], added = w, true
	}
	if r.Full {
		w.fullAt = now
	}
	if r.Departure > 0 {
		if w.departure == 0 {
			w.departure = r.Departure.Seconds()
		}
		w.departure += departureWeight * (r.Departure.Seconds() - w.departure)
	}
	d := w.vms[vm]
	if d == nil {
		d = &contender{demand: r.Demand}
		w.vms[vm] = d
	}
	d.demand += demandWeight * (r.Demand - d.demand)
	d.at = now
	return added
}

// Intervals returns the interval for each upstream that is watched among a number of VMs; 0 while
// the demand does not exceed what it can run. changed means that an upstream is newly contended, so
// that all VMs are to be told at once.
func (c *Contentions[U]) Intervals(now time.Duration, vms int) (intervals map[U]time.Duration, changed bool) {
	intervals = make(map[U]time.Duration, len(c.watched))
	for upstream, w := range c.watched {
		if now-w.fullAt > contentionHold && !w.contended {
			delete(c.watched, upstream)
			continue
		}
		interval := w.interval(now, vms)
		changed = changed || interval > 0 && !w.contended
		w.contended = interval > 0
		intervals[upstream] = interval
	}
	return intervals, changed
}

// interval returns the interval at which the VMs together use the rate of the upstream, if each
// sends what it has at most.
func (w *contended) interval(now time.Duration, vms int) time.Duration {
	var demands []float64
	total := 0.0
	for vm, d := range w.vms {
		if now-d.at > contenderTTL {
			delete(w.vms, vm)
			continue
		}
		demands = append(demands, d.demand)
	}
	// In order, since the sum depends on it.
	slices.Sort(demands)
	for _, demand := range demands {
		total += demand
	}
	if w.departure <= 0 {
		return 0
	}
	rate := usedRate / w.departure
	bound := beginContention * rate
	if w.contended {
		bound = endContention * rate
	}
	if total <= bound {
		return 0
	}
	share := rate / float64(max(vms, 1))
	if now-w.since >= settleTime {
		// VMs with less demand than their share leave the rest to the others.
		for i, demand := range demands {
			share = rate / float64(len(demands)-i)
			if demand > share {
				break
			}
			rate -= demand
		}
	}
	share = max(share, 1/MaxInterval.Seconds())
	return max(time.Duration(float64(time.Second)/share), minInterval)
}

// contentionState is what a queue knows of the contention for its upstream.
type contentionState struct {
	// interval is that between requests, 0 without contention; it counts until validUntil.
	interval, validUntil time.Duration
	// full and responded mean that the upstream was full, and responded, since the last report.
	full, responded bool
}

// paced reports whether the granter has stated an interval.
func (c *contentionState) paced(now time.Duration) bool {
	return c.interval > 0 && now < c.validUntil
}

// SetInterval makes the queue keep an interval between requests, which the granter has computed for
// all VMs; 0 ends it. A VM that learns of the contention starts at a random time within it.
func (q *Queue) SetInterval(now, interval time.Duration) {
	c := &q.contention
	if !q.pressure.enabled() {
		return
	}
	was, before := c.paced(now), c.interval
	c.interval, c.validUntil = interval, now+contentionTTL
	switch {
	case interval <= 0 && was:
		// The VMs would otherwise send all that waits at once.
		q.backoff = min(before, maxBackoff)
		q.nextAt = min(q.nextAt, now+q.pressure.jitter(q.backoff))
	case interval > 0 && !was:
		q.nextAt = now + time.Duration(q.pressure.random()*float64(interval))
	case interval > 0:
		q.nextAt = min(q.nextAt, now+interval*5/4)
	}
}

// Contention returns what the granter is to know of the upstream, and whether the upstream was full
// since the last call.
func (q *Queue) Contention(now time.Duration) ContentionReport {
	b, c := &q.pressure, &q.contention
	b.decay(now)
	r := ContentionReport{Demand: b.demand / demandWindow.Seconds(), Full: c.full}
	if c.responded {
		r.Departure = b.departure()
	}
	c.full, c.responded = false, false
	return r
}

// Interval returns the interval that is kept between requests, 0 without contention.
func (q *Queue) Interval(now time.Duration) time.Duration {
	if !q.contention.paced(now) {
		return 0
	}
	return q.contention.interval
}

// Full reports whether the upstream was full since the last call of Contention.
func (q *Queue) Full() bool { return q.contention.full }

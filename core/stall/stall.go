// Package stall finds the times at which a process did not run, and keeps them from being taken for
// the silence of its peers.
//
// A process that is stopped, or waits for a processor, reads nothing. When it runs again, its timers
// expire before it has read what its peers have sent meanwhile. Silence therefore counts only the time
// in which the process ran. What a peer has sent may then be older than the limit of its silence, see
// Arrivals: it must not be taken for recent.
package stall

import "time"

const (
	// CheckInterval is the longest interval between checks of a process that runs, MinStall the
	// shortest stall that counts: timers of a process that runs are late by less.
	CheckInterval = 50 * time.Millisecond
	MinStall      = 100 * time.Millisecond
	// CatchUp is added to the silence that a peer is allowed if the process has stalled meanwhile. It
	// leaves time to read what has arrived when the limit had almost passed before the stall.
	CatchUp = 100 * time.Millisecond
)

// Monitor finds the stalls of one process. It is not safe for concurrent use.
type Monitor struct {
	checkedAt time.Duration
	total     time.Duration
}

// NewMonitor returns the Monitor of a process that runs now.
func NewMonitor(now time.Duration) *Monitor { return &Monitor{checkedAt: now} }

// Check records that the process runs now. It returns for how long the process has not run since the
// last check, 0 if that is below MinStall. Checks must not be further apart than CheckInterval.
func (m *Monitor) Check(now time.Duration) time.Duration {
	stall := now - m.checkedAt - CheckInterval
	m.checkedAt = max(m.checkedAt, now)
	if stall < MinStall {
		return 0
	}
	m.total += stall
	return stall
}

// Total returns the sum of the stalls that Check has returned.
func (m *Monitor) Total() time.Duration { return m.total }

// Silence is the silence of a peer that has begun at a time.
type Silence struct {
	limit, since time.Duration
	// stalled is Monitor.total at since.
	stalled time.Duration
}

// Silence begins the silence of a peer, which is lost once it has lasted for limit.
func (m *Monitor) Silence(now, limit time.Duration) Silence {
	return Silence{limit: limit, since: now, stalled: m.total}
}

// Remaining returns how much longer the peer may be silent, as of the last check; it is lost at 0.
func (m *Monitor) Remaining(now time.Duration, s Silence) time.Duration {
	stalled := m.total - s.stalled
	allowed := s.limit
	if stalled > 0 {
		allowed += CatchUp
	}
	return max(allowed-(now-s.since-stalled), 0)
}

// Arrivals tells when the messages of a peer arrived. After a gap of more than limit between two
// messages, which only a stall of this process allows, the next ones may have waited for this process:
// they count as arrived at the beginning of the gap until one answers a message that was sent after it.
// It is not safe for concurrent use.
type Arrivals struct {
	limit, last time.Duration
	// from and to are the bounds of the gap, 0 if there is none.
	from, to time.Duration
}

// NewArrivals returns the Arrivals of a connection that was opened at a time.
func NewArrivals(limit, opened time.Duration) *Arrivals { return &Arrivals{limit: limit, last: opened} }

// Received records a message. answers is the time at which this process sent the last message that the
// peer had received before, 0 if the peer does not say. It returns a time before which the message has
// not arrived. ok is false if the message may have waited and the peer does not say what it answers:
// then later ones could not be dated either.
func (a *Arrivals) Received(now, answers time.Duration) (arrived time.Duration, ok bool) {
	if now-a.last > a.limit {
		if a.to == 0 {
			a.from = a.last
		}
		a.to = now
	}
	a.last = now
	switch {
	case a.to == 0:
		return now, true
	case answers >= a.to:
		a.from, a.to = 0, 0
		return now, true
	}
	return a.from, answers > 0
}

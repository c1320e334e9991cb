// Package reachability decides whether a VM is cut off from the upstreams, and through which
// other VM it sends requests meanwhile.
//
// A single failed connection says little: the upstream may have ended. A VM that suspects a
// cut therefore tries a random sample of all upstreams. If none of them accepts a connection,
// the VM is isolated: either it is cut off, or all upstreams are lost. Other VMs that reach
// upstreams tell the two apart.
package reachability

import "time"

// Config holds the parameters of a Detector.
type Config struct {
	// SampleSize is the number of upstreams that a round tries.
	SampleSize int
	// RoundTimeout is how long a round waits for connections.
	RoundTimeout time.Duration
	// SuspicionInterval is the shortest time between two rounds of a VM that is not isolated,
	// IsolatedInterval the time between rounds of one that is.
	SuspicionInterval, IsolatedInterval time.Duration
}

// DefaultConfig returns the parameters for upstreams that accept a connection within
// milliseconds.
func DefaultConfig() Config {
	return Config{SampleSize: 6, RoundTimeout: 250 * time.Millisecond, SuspicionInterval: 500 * time.Millisecond, IsolatedInterval: 250 * time.Millisecond}
}

// Detector decides whether a VM is isolated. It is not safe for concurrent use.
type Detector struct {
	cfg       Config
	isolated  bool
	since     time.Duration
	rounds    bool // a round has ended
	roundAt   time.Duration
	contacted bool
	contactAt time.Duration
	// failedFrom is when the last round began that found no upstream.
	failedFrom time.Duration
}

// NewDetector returns the Detector of a VM that is not isolated.
func NewDetector(cfg Config) *Detector { return &Detector{cfg: cfg} }

// Isolated reports whether no upstream can be reached, and since when.
func (d *Detector) Isolated() (isolated bool, since time.Duration) { return d.isolated, d.since }

// FailedFrom returns when the last round began that found no upstream, 0 if there was none.
func (d *Detector) FailedFrom() time.Duration { return d.failedFrom }

// ContactAge returns the time since a connection to any upstream was opened; ok is false if
// none was.
func (d *Detector) ContactAge(now time.Duration) (age time.Duration, ok bool) {
	return now - d.contactAt, d.contacted
}

// Connected records that a connection to an upstream was opened. It reports whether that ends
// the isolation.
func (d *Detector) Connected(now time.Duration) (changed bool) {
	d.contacted, d.contactAt = true, now
	changed, d.isolated = d.isolated, false
	return changed
}

// RoundDue reports whether a round should begin at once because connections fail.
func (d *Detector) RoundDue(now time.Duration) bool {
	return !d.rounds || now-d.roundAt >= d.interval()
}

func (d *Detector) interval() time.Duration {
	if d.isolated {
		return d.cfg.IsolatedInterval
	}
	return d.cfg.SuspicionInterval
}

// NextRound returns when the next round of an isolated VM begins.
func (d *Detector) NextRound() time.Duration { return d.roundAt + d.cfg.IsolatedInterval }

// RoundEnded records a round that began at a time and tried a number of upstreams, some of
// which accepted a connection. It reports whether the verdict has changed.
func (d *Detector) RoundEnded(began, now time.Duration, tried, connected int) (changed bool) {
	d.rounds, d.roundAt = true, now
	switch {
	case connected > 0:
		return d.Connected(now)
	case tried == 0 || d.contacted && d.contactAt >= began:
		return false
	case now-began > 2*d.cfg.RoundTimeout:
		// The process did not run for a part of the round.
		return false
	}
	d.failedFrom = began
	if d.isolated {
		return false
	}
	d.isolated, d.since = true, now
	return true
}

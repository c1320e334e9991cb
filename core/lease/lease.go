// Package lease implements the leases that the holder of a shard grants to its
// upstreams. Table is the holder's side, Guard the upstream's. Section 5 of
// docs/design.md gives the rules. Times in grants and requests are on the
// upstream's own clock, so clocks need not be synchronized.
package lease

import (
	"maps"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// ClockReading is an upstream's report of its incarnation and clock, with the
// times on the holder's clock between which the clock was read.
type ClockReading struct {
	Incarnation api.Incarnation
	Clock       time.Duration
	SentAt      time.Duration
	ReceivedAt  time.Duration
}

// Config holds the parameters of leases.
type Config struct {
	Duration, RenewEvery time.Duration
	Drift                float64 // bound on the relative rate error between two clocks
}

// DefaultConfig returns the times of docs/design.md.
func DefaultConfig() Config {
	return Config{Duration: 600 * time.Millisecond, RenewEvery: 150 * time.Millisecond, Drift: 0.01}
}

// resolution is the unit of times in grants. Each offer to an upstream ends at
// least this much later than the previous one, so that the upstream can order
// them.
const resolution = time.Millisecond

// offer is a lease that has been sent to an upstream and may have arrived.
type offer struct {
	until     time.Duration // on the upstream's clock
	stopAt    time.Duration // when the holder stops sending, on its own clock
	expiresAt time.Duration // when the lease has certainly expired, on the holder's clock
}

// upstreamState is the holder's state for one upstream.
type upstreamState struct {
	observed bool
	reading  ClockReading
	// firstReceived is when the first reading of this incarnation arrived.
	firstReceived      time.Duration
	formerIncarnations map[api.Incarnation]bool
	offers             []offer // not yet acknowledged, oldest first
	lastUntil          time.Duration
	lastAcked          offer
	expiresAt          time.Duration // latest of all offers, and of inherited leases
	inheritedUntil     time.Duration // when all leases of the former holder have expired
	rangesUntil        time.Duration // end of the accepted grant that listed ranges; 0 if none
	ranges             []int
}

// Table is the holder's side of the leases of one shard. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	upstreams map[api.UpstreamID]*upstreamState
}

// NewTable returns an empty table. It suffices for a holder that took over after
// the expiry of the former holder's authority: no lease outlasts the authority
// under which it was granted.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, upstreams: map[api.UpstreamID]*upstreamState{}}
}

func (t *Table) getOrAdd(up api.UpstreamID) *upstreamState {
	u := t.upstreams[up]
	if u == nil {
		u = &upstreamState{formerIncarnations: map[api.Incarnation]bool{}}
		t.upstreams[up] = u
	}
	return u
}

// Observe records a reading. restarted means that the upstream has a new
// incarnation: its earlier runs have ended, and the holder must grant its
// ranges again. A grant sent earlier can still reach the new process, so a
// range may move to another upstream only after the new process has
// acknowledged a grant without it, or after the lease has expired.
func (t *Table) Observe(up api.UpstreamID, r ClockReading) (restarted bool) {
	u := t.getOrAdd(up)
	if u.formerIncarnations[r.Incarnation] {
		return false
	}
	if !u.observed {
		u.observed, u.reading, u.firstReceived = true, r, r.ReceivedAt
		return false
	}
	if r.Incarnation == u.reading.Incarnation {
		if r.SentAt > u.reading.SentAt {
			u.reading = r
		}
		return false
	}
	if r.SentAt < u.firstReceived {
		// The reading may be older than the current incarnation; a later one decides.
		return false
	}
	u.formerIncarnations[u.reading.Incarnation] = true
	// A grant sent to the former process can still reach the new one, so the
	// expiry stays.
	*u = upstreamState{
		observed: true, reading: r, firstReceived: r.ReceivedAt, formerIncarnations: u.formerIncarnations,
		expiresAt: u.expiresAt, inheritedUntil: u.inheritedUntil,
	}
	return true
}

// Offer returns the end of a new lease on the upstream's clock, in whole
// milliseconds, and records that the upstream may hold it. It fails if no
// reading is recent enough for a lease that ends after the last one offered.
func (t *Table) Offer(now, authorityUntil time.Duration, up api.UpstreamID) (until time.Duration, ok bool) {
	u := t.getOrAdd(up)
	if !u.observed {
		return 0, false
	}
	length := min(t.cfg.Duration, time.Duration(float64(authorityUntil-u.reading.ReceivedAt)/(1+t.cfg.Drift)))
	until = (u.reading.Clock + length).Truncate(resolution)
	length = until - u.reading.Clock
	// A fast clock of the upstream reaches until earlier, by the drift.
	stopAt := u.reading.SentAt + time.Duration(float64(length)/(1+t.cfg.Drift))
	if length <= 0 || now >= stopAt || until <= u.lastUntil {
		return 0, false
	}
	o := offer{until, stopAt, u.reading.ReceivedAt + t.addDrift(length) + 1}
	u.offers = append(slices.DeleteFunc(u.offers, func(old offer) bool { return now >= old.stopAt }), o)
	u.lastUntil, u.expiresAt = until, max(u.expiresAt, o.expiresAt)
	return until, true
}

func (t *Table) addDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.cfg.Drift))
}

// Acknowledge records that the upstream accepted the grant that ends at until.
func (t *Table) Acknowledge(up api.UpstreamID, until time.Duration) {
	u := t.getOrAdd(up)
	for i, o := range u.offers {
		if o.until == until {
			if o.until > u.lastAcked.until {
				u.lastAcked = o
			}
			u.offers = slices.Delete(u.offers, i, i+1)
			return
		}
	}
}

// RecordRanges records that the last acknowledged grant, which ends at until,
// lists these ranges, in order. It does nothing if another grant was
// acknowledged last, or if the upstream has restarted since.
func (t *Table) RecordRanges(up api.UpstreamID, until time.Duration, ranges []int) {
	if u := t.getOrAdd(up); u.lastAcked.until == until {
		u.rangesUntil, u.ranges = until, slices.Clone(ranges)
	}
}

// RenewableGrant returns the end of the grant that listed these ranges, so that
// a renewal can refer to it instead of listing them. It fails if this
// incarnation has accepted no such grant, or another one since.
func (t *Table) RenewableGrant(up api.UpstreamID, ranges []int) (rangesUntil time.Duration, ok bool) {
	u := t.upstreams[up]
	if u == nil || u.rangesUntil == 0 || !slices.Equal(u.ranges, ranges) {
		return 0, false
	}
	return u.rangesUntil, true
}

// ClearRanges records that the upstream refused a grant, so that the next one lists its ranges.
func (t *Table) ClearRanges(up api.UpstreamID) {
	u := t.getOrAdd(up)
	u.rangesUntil, u.ranges = 0, nil
}

// MaySend reports whether the holder may send requests to the upstream. The
// caller also checks its authority.
func (t *Table) MaySend(now time.Duration, up api.UpstreamID) bool {
	u := t.upstreams[up]
	return u != nil && now < u.lastAcked.stopAt
}

// Deadline converts a deadline to the upstream's clock. The result is not
// later than the deadline, nor than the end of the lease. It fails if no time is left.
func (t *Table) Deadline(now, deadline time.Duration, up api.UpstreamID) (onUpstreamClock time.Duration, ok bool) {
	return t.deadline(now, deadline, up, true)
}

// UnkeyedDeadline is Deadline for requests of unkeyed services, which any
// upstream may run: they need a lease to start, but may outlast it.
func (t *Table) UnkeyedDeadline(now, deadline time.Duration, up api.UpstreamID) (onUpstreamClock time.Duration, ok bool) {
	return t.deadline(now, deadline, up, false)
}

func (t *Table) deadline(now, deadline time.Duration, up api.UpstreamID, withinLease bool) (time.Duration, bool) {
	u := t.upstreams[up]
	if u == nil || !t.MaySend(now, up) || deadline <= now {
		return 0, false
	}
	r := u.reading
	// The upstream's clock has advanced by at least the time since the reading
	// arrived, less the drift.
	earliest := func(at time.Duration) time.Duration {
		return r.Clock + max(0, time.Duration(float64(at-r.ReceivedAt)/(1+t.cfg.Drift)))
	}
	end := earliest(deadline)
	if withinLease {
		end = min(end, u.lastAcked.until)
	}
	end = end.Truncate(resolution)
	return end, end > earliest(now)
}

// MayHavePassed reports whether a deadline on the upstream's clock, as Deadline returns it, may have
// passed there by now: the clock may be as far ahead as the drift and the age of its reading allow.
func (t *Table) MayHavePassed(now, onUpstreamClock time.Duration, up api.UpstreamID) bool {
	u := t.upstreams[up]
	if u == nil {
		return true
	}
	r := u.reading
	return onUpstreamClock <= r.Clock+t.addDrift(now-r.SentAt)
}

// Expired reports whether every lease that the upstream may hold has expired.
func (t *Table) Expired(now time.Duration, up api.UpstreamID) bool {
	u := t.upstreams[up]
	return u == nil || now >= u.expiresAt
}

// LastOffer returns the end of the last lease offered to this incarnation. A
// range has left a reachable upstream once the upstream has acknowledged a
// grant without the range that ends after the LastOffer at its withdrawal.
func (t *Table) LastOffer(up api.UpstreamID) time.Duration {
	if u := t.upstreams[up]; u != nil {
		return u.lastUntil
	}
	return 0
}

// Remove removes an upstream that has left the shard. Call it only after its
// leases have expired: afterwards Expired is true.
func (t *Table) Remove(up api.UpstreamID) { delete(t.upstreams, up) }

// Outstanding returns the remaining time of leases by upstream, for the handover
// to a successor.
func (t *Table) Outstanding(now time.Duration) map[api.UpstreamID]time.Duration {
	remaining := map[api.UpstreamID]time.Duration{}
	for up, u := range t.upstreams {
		if u.expiresAt > now {
			remaining[up] = u.expiresAt - now
		}
	}
	return remaining
}

// Inherit takes over the leases of the former holder, as returned by its
// Outstanding before now. Until they have expired, an acknowledged grant without
// a range does not free the range: requests of the former holder may still run.
func (t *Table) Inherit(now time.Duration, outstanding map[api.UpstreamID]time.Duration) {
	for _, up := range slices.Sorted(maps.Keys(outstanding)) {
		u := t.getOrAdd(up)
		u.inheritedUntil = max(u.inheritedUntil, now+t.addDrift(outstanding[up])+1)
		u.expiresAt = max(u.expiresAt, u.inheritedUntil)
	}
}

// Inherited reports whether requests of the former holder may still run on the upstream.
func (t *Table) Inherited(now time.Duration, up api.UpstreamID) bool {
	u := t.upstreams[up]
	return u != nil && now < u.inheritedUntil
}

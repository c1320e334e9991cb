// Package lease keeps the leases that the holder of a shard grants to its
// upstreams. Table is the holder's side, Guard the upstream's. Section 5 of
// docs/design.md gives the rules. Times in grants and requests are readings of
// the upstream's own clock, so no common clock is needed.
package lease

import (
	"maps"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// ClockReading is an upstream's report of its incarnation and clock, with the times
// on the holder's clock between which it was made.
type ClockReading struct {
	Incarnation api.Incarnation
	Clock       time.Duration
	SentAt      time.Duration
	ReceivedAt  time.Duration
}

// Config holds the times of leases.
type Config struct {
	Duration, RenewEvery time.Duration
	Drift                float64 // bound on the relative rate error between two clocks
}

// DefaultConfig returns the times of docs/design.md.
func DefaultConfig() Config {
	return Config{Duration: 600 * time.Millisecond, RenewEvery: 150 * time.Millisecond, Drift: 0.01}
}

// resolution is the unit of times in grants. Each offer to an upstream must
// end at least this much later than the one before, so that the upstream can
// tell their order.
const resolution = time.Millisecond

// offer is a lease that has been sent to an upstream and may have arrived.
type offer struct {
	until   time.Duration // on the upstream's clock
	stopAt  time.Duration // when the holder stops sending, on its own clock
	lapseAt time.Duration // when the lease has surely lapsed, on the holder's clock
}

// upstream is what the holder knows about one upstream.
type upstream struct {
	known   bool
	reading ClockReading
	// firstReceived is when the first reading of this incarnation arrived.
	firstReceived time.Duration
	former        map[api.Incarnation]bool
	offers        []offer // not yet acknowledged, oldest first
	lastUntil     time.Duration
	acked         offer
	lapseAt       time.Duration // latest of all offers, and of inherited leases
	inherited     time.Duration // until when leases of the former holder may last
	listed        time.Duration // end of the accepted grant that listed ranges; 0 if none
	ranges        []int
}

// Table is the holder's side of the leases of one shard. It is not safe for concurrent use.
type Table struct {
	cfg Config
	ups map[api.UpstreamID]*upstream
}

// NewTable returns an empty table. A holder that took over after the lapse of
// the former holder's authority needs nothing else: no lease outlasts the
// authority under which it was granted.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, ups: map[api.UpstreamID]*upstream{}}
}

func (t *Table) get(up api.UpstreamID) *upstream {
	u := t.ups[up]
	if u == nil {
		u = &upstream{former: map[api.Incarnation]bool{}}
		t.ups[up] = u
	}
	return u
}

// Observe takes a reading. restarted means that the upstream has a new
// incarnation: its earlier runs have ended, and the holder must grant its
// ranges again. A grant that was sent before can still reach the new process,
// so a range may go to another upstream only once the new process has
// acknowledged a grant without it, or after the lapse.
func (t *Table) Observe(up api.UpstreamID, r ClockReading) (restarted bool) {
	u := t.get(up)
	if u.former[r.Incarnation] {
		return false
	}
	if !u.known {
		u.known, u.reading, u.firstReceived = true, r, r.ReceivedAt
		return false
	}
	if r.Incarnation == u.reading.Incarnation {
		if r.SentAt > u.reading.SentAt {
			u.reading = r
		}
		return false
	}
	if r.SentAt < u.firstReceived {
		// The answer may be older than the present incarnation; a later one will tell.
		return false
	}
	u.former[u.reading.Incarnation] = true
	// A grant sent to the former process can still reach the new one, so the
	// time of lapse stays.
	*u = upstream{
		known: true, reading: r, firstReceived: r.ReceivedAt, former: u.former,
		lapseAt: u.lapseAt, inherited: u.inherited,
	}
	return true
}

// Offer returns the end of a new lease on the upstream's clock, in whole
// milliseconds, and notes that the upstream may hold it. It fails if there is
// no reading fresh enough for a lease that ends after the one offered last.
func (t *Table) Offer(now, authorityUntil time.Duration, up api.UpstreamID) (until time.Duration, ok bool) {
	u := t.get(up)
	if !u.known {
		return 0, false
	}
	length := min(t.cfg.Duration, time.Duration(float64(authorityUntil-u.reading.ReceivedAt)/(1+t.cfg.Drift)))
	until = (u.reading.Clock + length).Truncate(resolution)
	length = until - u.reading.Clock
	// An upstream whose clock runs fast reaches until earlier by the drift.
	stopAt := u.reading.SentAt + time.Duration(float64(length)/(1+t.cfg.Drift))
	if length <= 0 || now >= stopAt || until <= u.lastUntil {
		return 0, false
	}
	o := offer{until, stopAt, u.reading.ReceivedAt + t.stretch(length) + 1}
	u.offers = append(slices.DeleteFunc(u.offers, func(old offer) bool { return now >= old.stopAt }), o)
	u.lastUntil, u.lapseAt = until, max(u.lapseAt, o.lapseAt)
	return until, true
}

func (t *Table) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.cfg.Drift))
}

// Acknowledge notes that the upstream accepted the grant that ends at until.
func (t *Table) Acknowledge(up api.UpstreamID, until time.Duration) {
	u := t.get(up)
	for i, o := range u.offers {
		if o.until == until {
			if o.until > u.acked.until {
				u.acked = o
			}
			u.offers = slices.Delete(u.offers, i, i+1)
			return
		}
	}
}

// RecordRanges notes that the grant acknowledged last, which ends at until, lists
// these ranges, in order. It does nothing if another one was acknowledged last,
// or if the upstream has restarted since.
func (t *Table) RecordRanges(up api.UpstreamID, until time.Duration, ranges []int) {
	if u := t.get(up); u.acked.until == until {
		u.listed, u.ranges = until, slices.Clone(ranges)
	}
}

// RenewableGrant returns the end of the grant that listed these ranges, so that a
// renewal can name it instead. It fails if this incarnation has not accepted
// one, or has accepted another since.
func (t *Table) RenewableGrant(up api.UpstreamID, ranges []int) (listed time.Duration, ok bool) {
	u := t.ups[up]
	if u == nil || u.listed == 0 || !slices.Equal(u.ranges, ranges) {
		return 0, false
	}
	return u.listed, true
}

// ClearRanges notes that the upstream refused a grant: the next one lists its ranges.
func (t *Table) ClearRanges(up api.UpstreamID) {
	u := t.get(up)
	u.listed, u.ranges = 0, nil
}

// MaySend reports whether the holder may send requests to the upstream. The
// caller also checks its authority.
func (t *Table) MaySend(now time.Duration, up api.UpstreamID) bool {
	u := t.ups[up]
	return u != nil && now < u.acked.stopAt
}

// Deadline converts a deadline to the upstream's clock. The result is not
// later than the deadline, nor than the end of the lease. It fails if no time is left.
func (t *Table) Deadline(now, deadline time.Duration, up api.UpstreamID) (onUpstreamClock time.Duration, ok bool) {
	return t.deadline(now, deadline, up, true)
}

// UnkeyedDeadline is Deadline for requests of unkeyed services, which any
// upstream may run: they need a lease to start, and may go on after it.
func (t *Table) UnkeyedDeadline(now, deadline time.Duration, up api.UpstreamID) (onUpstreamClock time.Duration, ok bool) {
	return t.deadline(now, deadline, up, false)
}

func (t *Table) deadline(now, deadline time.Duration, up api.UpstreamID, withinLease bool) (time.Duration, bool) {
	u := t.ups[up]
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
		end = min(end, u.acked.until)
	}
	end = end.Truncate(resolution)
	return end, end > earliest(now)
}

// Expired reports whether every lease that the upstream may hold has ended.
func (t *Table) Expired(now time.Duration, up api.UpstreamID) bool {
	u := t.ups[up]
	return u == nil || now >= u.lapseAt
}

// LastOffer returns the end of the lease offered last to this incarnation. A
// range has left a reachable upstream when the upstream has acknowledged a
// grant without it that ends after LastOffer at the time of its withdrawal.
func (t *Table) LastOffer(up api.UpstreamID) time.Duration {
	if u := t.ups[up]; u != nil {
		return u.lastUntil
	}
	return 0
}

// Remove removes an upstream that has left the shard. Call it only after its
// leases have lapsed: afterwards Expired is true.
func (t *Table) Remove(up api.UpstreamID) { delete(t.ups, up) }

// Outstanding returns for how long leases may last, by upstream, for the
// handover to a successor.
func (t *Table) Outstanding(now time.Duration) map[api.UpstreamID]time.Duration {
	left := map[api.UpstreamID]time.Duration{}
	for up, u := range t.ups {
		if u.lapseAt > now {
			left[up] = u.lapseAt - now
		}
	}
	return left
}

// Inherit takes over the leases of the former holder, as its Outstanding
// listed them before now. While they may last, an acknowledged grant without a
// range does not free the range: requests of the former holder may still run.
func (t *Table) Inherit(now time.Duration, outstanding map[api.UpstreamID]time.Duration) {
	for _, up := range slices.Sorted(maps.Keys(outstanding)) {
		u := t.get(up)
		u.inherited = max(u.inherited, now+t.stretch(outstanding[up])+1)
		u.lapseAt = max(u.lapseAt, u.inherited)
	}
}

// Inherited reports whether requests of the former holder may still run on the upstream.
func (t *Table) Inherited(now time.Duration, up api.UpstreamID) bool {
	u := t.ups[up]
	return u != nil && now < u.inherited
}

package gateway

import (
	"maps"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/platform/fleet"
)

// restoredGrace is how long after a restore of the store from an older copy operators and
// upstreams take to write again what it lacks, or the store to drop registrations that nobody
// renews: they lapse after three heartbeats.
const restoredGrace = 3500 * time.Millisecond

// restoreState is what a VM knows better than the older copy from which the store was
// restored.
type restoreState struct {
	// operatorsEra and upstreamsEra are the eras in which the tables were last read whole.
	operatorsEra, upstreamsEra int64
	// copiedTo is the version up to which registrations may be those of the copy.
	copiedTo int64
	// rows holds registrations of upstreams that had been removed, and heldUntil until when
	// they are not used. domains holds until when failure domains stay out that are in use
	// according to the copy.
	rows      map[api.UpstreamID]fleet.Row
	heldUntil time.Time
	domains   map[api.FailureDomain]time.Time
}

func newRestoreState() restoreState {
	return restoreState{rows: make(map[api.UpstreamID]fleet.Row), domains: make(map[api.FailureDomain]time.Time)}
}

// operatorsRead records the era of a whole read of the operators' rows, and reports whether
// the store was restored since the last one.
func (r *restoreState) operatorsRead(era int64) bool {
	restored := r.operatorsEra > 0 && era > r.operatorsEra
	r.operatorsEra = max(r.operatorsEra, era)
	return restored
}

// upstreamsRead is operatorsRead for the registrations.
func (r *restoreState) upstreamsRead(era int64) bool {
	restored := r.upstreamsEra > 0 && era > r.upstreamsEra
	r.upstreamsEra = max(r.upstreamsEra, era)
	return restored
}

// holdRegistration holds back a registration of a restored store if its upstream had been
// removed, or an earlier incarnation of one that is known. It reports whether it did.
func (c *control) holdRegistration(s *state, row fleet.Row) bool {
	s.restore.copiedTo = max(s.restore.copiedTo, row.Version)
	u := s.upstreams[api.UpstreamID(row.Key)]
	decoded, err := fleet.DecodeUpstream(row)
	if err != nil || u == nil {
		return false
	}
	known := u.registration.Load()
	if !known.removed && decoded.Incarnation >= known.Incarnation {
		return false
	}
	s.restore.rows[decoded.ID], s.restore.heldUntil = row, time.Now().Add(restoredGrace)
	c.log.Info().Str("event", "entry_held").Str("upstream", row.Key).Int64("row", row.Version).Dur("for_ms", restoredGrace).Msg("")
	c.wakeAfter(restoredGrace)
	return true
}

// keepRestrictions keeps what an earlier registration of the same incarnation says of it: one
// that drains does not return, and one that is cold stays so for its time.
func (r *registration) keepRestrictions(earlier *registration) {
	if r.Incarnation != earlier.Incarnation {
		return
	}
	r.Draining = r.Draining || earlier.Draining
	if earlier.coldUntil > r.coldUntil {
		r.coldUntil = earlier.coldUntil
		r.ColdRemainingMs = (r.coldUntil - r.readAt).Milliseconds()
	}
}

// holdDomains keeps failure domains out that were out before the store was restored.
func (c *control) holdDomains(s *state, before map[api.FailureDomain]bool) {
	for domain := range before {
		if s.domainsOut[domain] {
			continue
		}
		s.domainsOut[domain] = true
		s.restore.domains[domain] = time.Now().Add(restoredGrace)
		c.log.Info().Str("event", "failure_domain_held").Str("domain", string(domain)).Dur("for_ms", restoredGrace).Msg("")
		c.wakeAfter(restoredGrace)
	}
}

// wakeAfter runs the control goroutine after a time.
func (c *control) wakeAfter(d time.Duration) {
	time.AfterFunc(d+time.Millisecond, func() { c.do(func(*state) {}) })
}

// expireHeld applies what the store still says after restoredGrace.
func (c *control) expireHeld(s *state, now time.Time) {
	if len(s.restore.rows) > 0 && now.After(s.restore.heldUntil) {
		rows := maps.Clone(s.restore.rows)
		clear(s.restore.rows)
		for _, row := range rows {
			c.applyRegistration(s, row)
		}
	}
	for domain, until := range s.restore.domains {
		if now.After(until) {
			delete(s.restore.domains, domain)
			delete(s.domainsOut, domain)
			s.dirty = true
			c.log.Info().Str("event", "failure_domain").Str("domain", string(domain)).Bool("out", false).Msg("")
		}
	}
}

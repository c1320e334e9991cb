package crash

import "time"

// Entry is the evidence on one fingerprint, as heartbeats carry it. Remaining is a
// duration because VMs share no clock.
type Entry struct {
	Fingerprint uint64        `json:"fingerprint"`
	Quarantined bool          `json:"quarantined"`
	Remaining   time.Duration `json:"left"`
}

// minRemaining is the shortest remaining time that Merge accepts. Otherwise two VMs
// that exchange entries about to expire would extend them by the delay of a
// heartbeat each time, and they would never expire.
const minRemaining = time.Second

// Snapshot returns at most limit entries: quarantined fingerprints before
// suspects, newer ones before older ones. Suspects with a run in progress are
// included.
func (e *Evidence) Snapshot(limit int) []Entry {
	var out []Entry
	add := func(r *record, remaining time.Duration) {
		if len(out) < limit && remaining > 0 {
			out = append(out, Entry{r.fingerprint, r.class == quarantined, remaining})
		}
	}
	for r := e.idle[quarantined].last; r != nil && len(out) < limit; r = r.prev {
		add(r, r.expiresAt-e.now)
	}
	for r := e.busy.last; r != nil && len(out) < limit; r = r.prev {
		if r.class == quarantined {
			add(r, r.expiresAt-e.now)
		} else {
			add(r, e.cfg.SuspectTTL)
		}
	}
	for r := e.idle[suspect].last; r != nil && len(out) < limit; r = r.prev {
		add(r, r.expiresAt-e.now)
	}
	return out
}

// Merge adds entries of another VM. It never changes the expiry of a known suspect
// or quarantine, but a quarantine replaces a suspect. A fingerprint that succeeded on
// this VM does not become a suspect again.
func (e *Evidence) Merge(now time.Duration, entries []Entry) {
	e.advance(now)
	for _, entry := range entries {
		if entry.Remaining < minRemaining {
			continue
		}
		e.merge(entry)
	}
}

func (e *Evidence) merge(entry Entry) {
	r := e.records[entry.Fingerprint]
	if r != nil && (r.class == quarantined || !entry.Quarantined && (r.proven || r.crashes > 0)) {
		return
	}
	if r == nil {
		r = &record{fingerprint: entry.Fingerprint}
		e.records[entry.Fingerprint] = r
	}
	r.crashes = 1
	if entry.Quarantined {
		r.crashes = 2
		r.class = quarantined
		r.expiresAt = e.now + min(entry.Remaining, e.cfg.Quarantine)
	}
	e.relist(r)
	if r.class == suspect && r.running == 0 {
		r.expiresAt = e.now + min(entry.Remaining, e.cfg.SuspectTTL)
	}
}

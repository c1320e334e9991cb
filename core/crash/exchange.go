package crash

import "time"

// Entry is the evidence on one fingerprint, as heartbeats carry it. Remaining is a
// duration because VMs share no clock.
type Entry struct {
	Fingerprint uint64        `json:"fingerprint"`
	Quarantined bool          `json:"quarantined"`
	Remaining   time.Duration `json:"left"`
	// Level counts the quarantines of the fingerprint, if VMs share them. Remaining is negative
	// after the end of one.
	Level int `json:"level,omitempty"`
	// Cleared means that a run after the quarantine has succeeded.
	Cleared bool `json:"cleared,omitempty"`
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
		if len(out) >= limit || remaining <= 0 && !(e.shared() && r.class == quarantined) {
			return
		}
		entry := Entry{Fingerprint: r.fingerprint, Quarantined: r.class == quarantined, Remaining: remaining}
		if entry.Quarantined && e.shared() {
			entry.Level = r.level
		}
		out = append(out, entry)
	}
	for r := e.idle[quarantined].last; r != nil && len(out) < limit; r = r.prev {
		add(r, r.endsAt-e.now)
	}
	for r := e.busy.last; r != nil && len(out) < limit; r = r.prev {
		if r.class == quarantined {
			add(r, r.endsAt-e.now)
		} else {
			add(r, e.cfg.SuspectTTL)
		}
	}
	cleared := e.clearedEntries()
	out = append(out, cleared[:min(len(cleared), limit-len(out))]...)
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
		// Entries without a level are of earlier versions.
		if e.shared() && (entry.Cleared || entry.Quarantined && (entry.Level > 0 || entry.Remaining >= minRemaining)) {
			e.mergeShared(entry)
			continue
		}
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
	if r.crashes == 0 {
		e.becomeSuspect(r)
	}
	r.crashes = 1
	if entry.Quarantined {
		e.quarantine(r, 1, min(entry.Remaining, e.cfg.Quarantine))
	}
	e.relist(r)
	if r.class == suspect && r.running == 0 {
		r.expiresAt = e.now + min(entry.Remaining, e.cfg.SuspectTTL)
	}
}

package crash

import (
	"math/bits"
	"time"
)

// Turn is the place of a VM among those that share evidence. Each place belongs to one VM.
type Turn struct {
	Rank int // negative without a confirmed place
	VMs  int
}

const (
	// minRota is the least number of places for which turns are set aside, so that VMs that know
	// different numbers of VMs seldom count differently.
	minRota = 16
	// turnShare is the share of a slot in which a VM may claim a run. The rest is for the news of
	// it, and for VMs that learnt of the quarantine at different times.
	turnShare = 0.4
	// maxLevel bounds levels; the quarantine has its longest time far below it.
	maxLevel = 32
)

// mine reports whether the turn to run a fingerprint is that of the VM, a time after the end of
// its quarantine.
func (t Turn) mine(fingerprint uint64, elapsed, slot time.Duration) bool {
	if t.Rank < 0 || t.Rank >= t.VMs || elapsed < 0 {
		return false
	}
	rota := uint64(1) << bits.Len64(uint64(max(t.VMs, minRota)-1))
	return float64(elapsed%slot) < turnShare*float64(slot) && (uint64(elapsed/slot)+fingerprint)%rota%uint64(t.VMs) == uint64(t.Rank)
}

// Claim asks to run a fingerprint. ok is false while it is in quarantine. After a quarantine that
// VMs share, the VM whose turn it is claims the next run: it begins the next quarantine, which the
// others learn of, and runs the fingerprint after wait. So a VM that is lost leaves no run open.
func (e *Evidence) Claim(now time.Duration, fingerprint uint64, turn Turn) (wait time.Duration, ok bool) {
	if e.Admit(now, fingerprint) != Quarantined {
		return 0, true
	}
	r := e.records[fingerprint]
	if !e.shared() || turn.Rank < 0 {
		return 0, false
	}
	if e.claims(r) && !r.trial {
		return max(r.claimedAt+e.claimDelay()-e.now, 0), true
	}
	if r.running > 0 || e.claimed != nil && e.claims(e.claimed) || !turn.mine(fingerprint, e.now-r.endsAt, e.cfg.Slot) {
		return 0, false
	}
	e.quarantine(r, r.level+1, e.quarantineTime(r.level+1))
	e.relist(r)
	r.claimedAt, e.claimed = e.now, r
	return e.claimDelay(), true
}

// claims reports whether this VM holds a claim to r, or runs it by one.
func (e *Evidence) claims(r *record) bool {
	return e.claimed == r && r.class == quarantined && (r.trial || e.now < r.claimedAt+e.cfg.Slot)
}

// claimDelay is the time in which the others learn of a claim.
func (e *Evidence) claimDelay() time.Duration { return e.cfg.Slot / 4 }

// Start records the start of a run and reports true, unless the fingerprint is in quarantine and
// this VM has not claimed the run.
func (e *Evidence) Start(now time.Duration, fingerprint uint64, turn Turn) bool {
	if e.Admit(now, fingerprint) == Quarantined {
		r := e.records[fingerprint]
		if turn.Rank < 0 || !e.claims(r) || r.running > 0 || e.now < r.claimedAt+e.claimDelay() {
			return false
		}
		r.trial = true
	}
	e.Started(now, fingerprint)
	return true
}

// MayContinue reports whether a run that has started but has not been sent yet may be: evidence of
// other VMs may have come since. The run that ends a quarantine may.
func (e *Evidence) MayContinue(now time.Duration, fingerprint uint64) bool {
	return e.Admit(now, fingerprint) != Quarantined || e.records[fingerprint].trial
}

func (e *Evidence) shared() bool { return e.cfg.Slot > 0 }

// quarantineTime returns how long the quarantine of a level lasts.
func (e *Evidence) quarantineTime(level int) time.Duration {
	d := e.cfg.Quarantine
	for ; level > 1 && d < e.cfg.MaxQuarantine; level-- {
		d *= 2
	}
	return min(d, e.cfg.MaxQuarantine)
}

// quarantine puts r into the quarantine of a level, of which a time is left; it is negative after
// its end.
func (e *Evidence) quarantine(r *record, level int, remaining time.Duration) {
	level = min(level, maxLevel)
	r.crashes, r.proven = 2, false
	r.class = quarantined
	r.level = level
	r.endsAt = e.now + remaining
	r.expiresAt = r.endsAt
	if e.shared() {
		r.expiresAt += e.cfg.Retention - e.quarantineTime(level)
	}
}

// clear ends the quarantine of r, whose run at its level has succeeded.
func (e *Evidence) clear(r *record, level int) {
	r.crashes, r.proven, r.exclusive = 0, true, false
	r.class = proven
	r.clearedLevel = level
	if !contains(e.cleared, r.fingerprint) {
		e.cleared = append(e.cleared, r.fingerprint)
	}
}

// endClaim ends the claim to r, if there is one.
func (e *Evidence) endClaim(r *record) {
	r.trial = false
	if e.claimed == r {
		e.claimed = nil
	}
}

// clearedEntries returns the entries of fingerprints whose quarantine has ended with a success.
func (e *Evidence) clearedEntries() (out []Entry) {
	kept := e.cleared[:0]
	for _, fingerprint := range e.cleared {
		r := e.records[fingerprint]
		if r == nil || r.clearedLevel == 0 || r.class == quarantined {
			continue
		}
		kept = append(kept, fingerprint)
		remaining := r.expiresAt - e.now
		if r.running > 0 {
			remaining = e.cfg.ProvenTTL
		}
		out = append(out, Entry{Fingerprint: fingerprint, Remaining: remaining, Level: r.clearedLevel, Cleared: true})
	}
	e.cleared = kept
	return out
}

// mergeShared merges an entry on a quarantine that VMs share. A higher level replaces a lower one.
// VMs that have crashed upstreams at the same time agree on the quarantine that ends last.
func (e *Evidence) mergeShared(entry Entry) {
	level := max(min(entry.Level, maxLevel), 1)
	r := e.records[entry.Fingerprint]
	if entry.Cleared {
		if r != nil && r.class == quarantined && r.level <= level && !r.trial {
			e.endClaim(r)
			e.clear(r, level)
			e.relist(r)
		}
		return
	}
	remaining := min(entry.Remaining, e.quarantineTime(level))
	if e.quarantineTime(level)-remaining >= e.cfg.Retention-minRemaining {
		return
	}
	if r != nil {
		known := r.class == quarantined && (level < r.level || level == r.level && (r.trial || e.now+remaining <= r.endsAt+minRemaining))
		if known || level <= r.clearedLevel {
			return
		}
	} else {
		r = &record{fingerprint: entry.Fingerprint}
		e.records[entry.Fingerprint] = r
	}
	e.endClaim(r) // its success would say nothing about the crash that the other VM has seen
	e.quarantine(r, level, remaining)
	e.relist(r)
}

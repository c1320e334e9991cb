// Package crash detects requests that crash upstreams and quarantines them. A
// request in flight on a broken connection becomes a suspect, a suspect runs alone
// on its upstream, and a fingerprint that crashes again is quarantined.
package crash

import (
	"time"

	"dandelionhill.dev/core/defaults"
)

// Verdict says how a request with a given fingerprint may run.
type Verdict int

const (
	// Normal permits a run next to others.
	Normal Verdict = iota
	// Exclusive permits a run alone on its upstream.
	Exclusive
	// Wait means to call Admit again when a run of the fingerprint has ended.
	Wait
	// Quarantined permits no run.
	Quarantined
)

// String returns the name of v.
func (v Verdict) String() string {
	switch v {
	case Normal:
		return "normal"
	case Exclusive:
		return "solo"
	case Wait:
		return "wait"
	default:
		return "quarantined"
	}
}

// Config holds the limits of Evidence.
type Config struct {
	// Quarantine is how long a fingerprint is refused after its second crash.
	Quarantine time.Duration
	// SuspectTTL is how long a suspect that does not run stays one.
	SuspectTTL time.Duration
	// ProvenTTL is how long a success is remembered after the last run.
	ProvenTTL time.Duration
	// Capacity bounds the fingerprints kept without a run in progress.
	Capacity int
	// Slot is the time in which one VM may run a fingerprint after its quarantine, if VMs share
	// their evidence; 0 if they do not.
	Slot time.Duration
	// MaxQuarantine bounds shared quarantines: each is twice as long as the one before.
	MaxQuarantine time.Duration
	// Retention is how long a shared quarantine is remembered.
	Retention time.Duration
	// MaxUnprovenRuns bounds the concurrent runs of a fingerprint that never succeeded.
	MaxUnprovenRuns int
}

// DefaultConfig returns the limits of section 7.4 of the design page.
func DefaultConfig() Config {
	return Config{
		Quarantine:      10 * time.Minute,
		SuspectTTL:      10 * time.Minute,
		ProvenTTL:       10 * time.Minute,
		Capacity:        65536,
		MaxUnprovenRuns: 2,
	}
}

// record is the evidence on one fingerprint.
type record struct {
	fingerprint uint64
	crashes     int // crashes since the last success
	proven      bool
	exclusive   bool // the run in progress was admitted as a suspect
	running     int
	expiresAt   time.Duration // end of the quarantine, or of the record
	endsAt      time.Duration // end of the quarantine
	// level counts the quarantines; clearedLevel is the one that a success has ended.
	level, clearedLevel int
	trial               bool // the run in progress was admitted after the quarantine
	claimedAt           time.Duration
	// earlier counts the runs in progress that began before the first crash was known, if VMs share
	// evidence.
	earlier    int
	class      class
	list       *recordList // the list that holds the record, if any
	prev, next *record
}

// Evidence holds the crash evidence of one shard. It is not safe for concurrent use.
type Evidence struct {
	cfg     Config
	now     time.Duration
	records map[uint64]*record
	idle    [classes]recordList // records without a run, oldest first
	busy    recordList          // suspects and quarantined records with a run
	claimed *record             // the record that this VM has claimed or runs after a quarantine
	cleared []uint64            // fingerprints whose quarantine has ended with a success
}

// New returns empty evidence.
func New(cfg Config) *Evidence {
	def := DefaultConfig()
	defaults.Positive(&cfg.Quarantine, def.Quarantine)
	defaults.Positive(&cfg.SuspectTTL, def.SuspectTTL)
	defaults.Positive(&cfg.ProvenTTL, def.ProvenTTL)
	defaults.Positive(&cfg.Capacity, def.Capacity)
	defaults.Positive(&cfg.MaxUnprovenRuns, def.MaxUnprovenRuns)
	cfg.MaxQuarantine = max(cfg.MaxQuarantine, cfg.Quarantine)
	cfg.Retention = max(cfg.Retention, 2*cfg.MaxQuarantine)
	return &Evidence{cfg: cfg, records: map[uint64]*record{}}
}

// Admit returns how a request may run. It reserves nothing: the holder calls it on
// arrival and again directly before Started, because the verdict can change while
// the request is queued.
func (e *Evidence) Admit(now time.Duration, fingerprint uint64) Verdict {
	e.advance(now)
	r := e.records[fingerprint]
	switch {
	case r == nil:
		return Normal
	case r.class == quarantined:
		return Quarantined
	case r.crashes > 0 && r.running > 0:
		return Wait
	case r.crashes > 0:
		return Exclusive
	case !r.proven && r.running >= e.cfg.MaxUnprovenRuns:
		return Wait
	default:
		return Normal
	}
}

// Started records the start of a run. Every Started is followed by one of
// Succeeded, Ended, or Crashed with the fingerprint.
func (e *Evidence) Started(now time.Duration, fingerprint uint64) {
	e.advance(now)
	r := e.records[fingerprint]
	if r == nil {
		r = &record{fingerprint: fingerprint}
		e.records[fingerprint] = r
	}
	if r.running == 0 {
		r.exclusive = r.crashes > 0
	}
	r.running++
	e.relist(r)
}

// Succeeded records that a run gave a complete response, which clears a suspect.
// A quarantine stays in force: the success of a run that started earlier does
// not cancel two crashes.
func (e *Evidence) Succeeded(now time.Duration, fingerprint uint64) {
	e.advance(now)
	r := e.records[fingerprint]
	if r == nil {
		return
	}
	if r.trial {
		e.clear(r, r.level)
	}
	if r.class != quarantined {
		r.crashes, r.earlier = 0, 0
		r.proven = true
		r.exclusive = false
	}
	e.endRun(r)
}

// Ended records that a run ended without a complete response or a crash, for
// example because the upstream shed it.
func (e *Evidence) Ended(now time.Duration, fingerprint uint64) {
	e.advance(now)
	if r := e.records[fingerprint]; r != nil {
		e.endRun(r)
	}
}

// Crashed records that a connection broke with these requests in flight. A
// fingerprint that occurs more than once counts as one crash.
func (e *Evidence) Crashed(now time.Duration, inFlight []uint64) {
	e.advance(now)
	for i, fingerprint := range inFlight {
		r := e.records[fingerprint]
		if r == nil {
			r = &record{fingerprint: fingerprint}
			e.records[fingerprint] = r
		}
		if !contains(inFlight[:i], fingerprint) {
			e.countCrash(r)
		}
		e.endRun(r)
	}
}

// countCrash counts one crash of r. A fingerprint that has succeeded before may be
// in flight on many upstreams when a failure domain is lost, so for it only the
// crash of an exclusive run counts as the second. An unproven fingerprint has at
// most two concurrent runs, so counting each crash limits it to two. VMs that share
// evidence don't bound these runs: there the crashes of runs that began before the first
// crash was known may have one other cause, the loss of a failure domain, and don't count.
func (e *Evidence) countCrash(r *record) {
	if r.class == quarantined {
		return
	}
	if r.earlier > 0 {
		return
	}
	if r.crashes > 0 && (!r.proven || r.exclusive) {
		e.quarantine(r, r.level+1, e.quarantineTime(r.level+1))
		return
	}
	r.crashes = 1
	e.becomeSuspect(r)
}

// becomeSuspect records that runs in progress began before the first crash of r was known.
func (e *Evidence) becomeSuspect(r *record) {
	if e.shared() {
		r.earlier = r.running
	}
}

func contains(all []uint64, fingerprint uint64) bool {
	for _, f := range all {
		if f == fingerprint {
			return true
		}
	}
	return false
}

// endRun records the end of one run of r.
func (e *Evidence) endRun(r *record) {
	if r.running > 0 {
		r.running--
	}
	r.earlier = min(max(r.earlier-1, 0), r.running)
	if r.running == 0 {
		if r.trial {
			e.endClaim(r)
		}
		r.exclusive = false
	}
	e.relist(r)
}

// Len returns the number of fingerprints kept.
func (e *Evidence) Len() int { return len(e.records) }

// Quarantined returns the number of fingerprints in quarantine.
func (e *Evidence) Quarantined() int {
	n := e.idle[quarantined].n
	for r := e.busy.first; r != nil; r = r.next {
		if r.class == quarantined {
			n++
		}
	}
	return n
}

// Package freshness decides how a VM follows a table of the store: for how long one call
// waits for changes, when a call without a response is given up, and how old the VM's
// knowledge of the table is.
//
// The store may never answer a call, although it answers later ones. One VM, the watcher,
// therefore waits only shortly in each call, and tells the others when the store last answered
// it and the version of the newest change. The others make long calls while the watcher's word
// is fresh, and end them when it is not, or when they lack a change that it names. So the calls
// to the store at rest hardly grow with the number of VMs, and each VM learns of a change soon
// after any VM does.
//
// After a failed call a VM pauses before the next one. The pause ends early when the store is
// seen to answer: another call of this VM, or the watcher again. A call without a wait that a
// later call overtakes counts as lost.
package freshness

import "time"

// Config holds the times of following a table.
type Config struct {
	// WatchWait is the wait of a call of the watcher, and the shortest of a VM without one.
	WatchWait time.Duration
	// WaitPerVM is the wait that each VM adds to the calls of VMs without a watcher. It bounds
	// the rate of the calls of all VMs.
	WaitPerVM time.Duration
	// LongWait is the wait of a call while there is a watcher.
	LongWait time.Duration
	// ResponseTime is how long after its wait a short call is given up. The call after it does
	// not wait, and is given up after CallTimeout, so that a slow store is not taken for lost.
	ResponseTime, CallTimeout time.Duration
	// MaxLag is how long after another VM this one may learn of a change by its own call. It
	// covers the pause between two calls and a slow response.
	MaxLag time.Duration
	// MaxAge is the age of the store's last answer to the watcher up to which VMs rely on the
	// watcher. It covers a call of the watcher that is lost, the call after it and the interval
	// between the watcher's messages.
	MaxAge time.Duration
	// RetryDelay is the mean pause after a failed call. It doubles with each further failure, up
	// to MaxRetryDelay.
	RetryDelay, MaxRetryDelay time.Duration
	// OutageDelayPerVM is the part of each VM in the pause while the store does not answer the
	// watcher either, MaxOutageDelay the longest such pause. They bound the rate of the calls of
	// all VMs.
	OutageDelayPerVM, MaxOutageDelay time.Duration
	// ReturnSpreadPerVM is the part of each VM in the time over which the VMs call a store that
	// answers again.
	ReturnSpreadPerVM time.Duration
}

// DefaultConfig returns the times in use.
func DefaultConfig() Config {
	return Config{
		WatchWait: 700 * time.Millisecond, WaitPerVM: 10 * time.Millisecond, LongWait: 25 * time.Second,
		ResponseTime: 400 * time.Millisecond, CallTimeout: 1500 * time.Millisecond,
		MaxLag: 400 * time.Millisecond, MaxAge: 1600 * time.Millisecond,
		RetryDelay: 400 * time.Millisecond, MaxRetryDelay: 800 * time.Millisecond,
		OutageDelayPerVM: 50 * time.Millisecond, MaxOutageDelay: 5 * time.Second, ReturnSpreadPerVM: time.Millisecond,
	}
}

// Call is a call that waits for changes.
type Call struct {
	// Wait is how long the store holds the call without changes, Timeout when it is given up.
	Wait, Timeout time.Duration
	Cause         Cause
}

// Cause is why a VM calls the store for a table.
type Cause string

// The causes.
const (
	// CauseStart is the first read of a VM.
	CauseStart Cause = "start"
	// CauseWatch is a poll of the watcher, CauseLongPoll one of a VM that relies on the watcher,
	// and CauseUnwatched one of a VM without a watcher.
	CauseWatch     Cause = "feed"
	CauseLongPoll  Cause = "feed_long"
	CauseUnwatched Cause = "feed_unwatched"
	// CauseReread is another read of the whole table: the store has dropped its history, or the
	// feed lacks a change that another VM knows.
	CauseReread Cause = "reread"
	// CauseRetry is a call after one that got no response or a failure.
	CauseRetry Cause = "retry"
)

// Verdict is what becomes of a call in flight.
type Verdict int

// The verdicts.
const (
	// Continue means that the call may go on.
	Continue Verdict = iota
	// Behind means that another VM knows a change that the call should have returned.
	Behind
	// Unwatched means that no watcher vouches for the table any more.
	Unwatched
	// Overtaken means that the store has answered a later call of this VM.
	Overtaken
)

// Table is what one VM knows of a table. It is not safe for concurrent use.
type Table struct {
	cfg Config
	// known is the version up to which this VM has all changes, newest that of the newest
	// change that any VM has reported. behindSince is when newest went beyond known.
	known, newest int64
	behindSince   time.Duration
	// confirmedAt is a time before which the VM lacks no change, once confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	// watchedUntil is until when the watcher's word counts, relayedUntil until when that counts with
	// which it last passed all changes on.
	watchedUntil, relayedUntil time.Duration
	// watched means that there was a watcher since the last call without one. The first such call
	// has a short wait whatever the number of VMs: it is late already if it is lost.
	watched bool
	// begunAt is when the call in flight, or the last one, began. long means that it relies on the
	// watcher, whole that it reads the whole table, immediate that the store answers it at once.
	begunAt                time.Duration
	long, whole, immediate bool
	// lost means that the last call got no response, overtaken that it was given up since a later
	// call was answered.
	lost, overtaken bool
	retry           retry
}

// NewTable returns a table of which nothing is known.
func NewTable(cfg Config) Table { return Table{cfg: cfg} }

// Begin returns the next call. watching means that this VM is the watcher; vms is the number
// of VMs.
func (t *Table) Begin(now time.Duration, watching bool, vms int) Call {
	t.begunAt, t.long, t.whole, t.immediate = now, false, false, t.lost
	switch {
	case t.lost:
		// The store may have been restored, which its next response shows.
		return Call{Timeout: t.cfg.CallTimeout, Cause: CauseRetry}
	case watching && now-t.confirmedAt > t.cfg.WatchWait:
		// This VM has just become the watcher, and the others wait for its word.
		t.immediate = true
		return Call{Timeout: t.cfg.CallTimeout, Cause: CauseWatch}
	case watching:
		return Call{Wait: t.cfg.WatchWait, Timeout: t.cfg.WatchWait + t.cfg.ResponseTime, Cause: CauseWatch}
	case now < t.watchedUntil:
		t.long = true
		return Call{Wait: t.cfg.LongWait, Timeout: t.cfg.LongWait + t.cfg.CallTimeout, Cause: CauseLongPoll}
	default:
		wait := t.cfg.WatchWait
		if !t.watched {
			wait = min(max(wait, time.Duration(vms)*t.cfg.WaitPerVM), t.cfg.LongWait)
		}
		t.watched = false
		return Call{Wait: wait, Timeout: wait + t.cfg.ResponseTime, Cause: CauseUnwatched}
	}
}

// BeginRead returns the next call, which reads the whole table.
func (t *Table) BeginRead(now time.Duration) Call {
	t.begunAt, t.long, t.whole, t.immediate = now, false, true, true
	call := Call{Timeout: t.cfg.CallTimeout, Cause: CauseReread}
	switch {
	case t.lost:
		call.Cause = CauseRetry
	case !t.confirmed:
		call.Cause = CauseStart
	}
	return call
}

// Answered records a response of the store: all changes up to version known, the newest of
// which has version newest.
func (t *Table) Answered(now time.Duration, known, newest int64) {
	t.lost, t.overtaken, t.retry.failures = false, false, 0
	t.known = max(t.known, known)
	t.confirm(now)
	t.Reported(now, min(newest, known))
}

// Lost records that a call got no response or a failure.
func (t *Table) Lost() { t.lost = true }

// Reported records that another VM knows of a change.
func (t *Table) Reported(now time.Duration, newest int64) {
	if t.newest <= t.known {
		t.behindSince = now
	}
	t.newest = max(t.newest, newest)
}

// Vouched records the word of the watcher: it knows all changes that the store had accepted
// before a time age ago, of which the newest that any VM has reported is newest.
func (t *Table) Vouched(now, age time.Duration, newest int64) {
	t.Reported(now, newest)
	t.watchedUntil, t.watched = max(t.watchedUntil, now-age+t.cfg.MaxAge), true
	if t.known >= t.newest {
		t.confirm(now - age)
	}
}

// Relayed records rows that the watcher has passed on: with them this VM has all changes up to
// version known, which are all that the store had accepted before a time age ago.
func (t *Table) Relayed(now, age time.Duration, known int64) {
	t.known = max(t.known, known)
	t.Vouched(now, age, t.newest)
	t.relayedUntil = max(t.relayedUntil, now-age+t.cfg.MaxAge)
}

// CallAt returns when the next call is due in a VM to which the watcher has passed rows on. After
// the last of its messages the VM lacks no change that is older than Config.MaxAge until then, and
// the next watcher may continue meanwhile. A call that would rely on the watcher would end then
// as Unwatched. It is due at once if the VM knows that it lacks a change, or has lost a call.
func (t *Table) CallAt(now time.Duration) time.Duration {
	if t.lost || t.known < t.newest {
		return now
	}
	return max(now, t.relayedUntil)
}

// Unwatch ends the reliance on the watcher.
func (t *Table) Unwatch() { t.watchedUntil, t.relayedUntil, t.retry.awayUntil = 0, 0, 0 }

func (t *Table) confirm(at time.Duration) {
	if !t.confirmed || at > t.confirmedAt {
		t.confirmed, t.confirmedAt = true, at
	}
}

// Check returns what becomes of the call in flight, and when to check again, 0 if there is no
// need before the next event.
func (t *Table) Check(now time.Duration) (verdict Verdict, next time.Duration) {
	if t.immediate && !t.overtaken && t.retry.answeredSent > t.begunAt {
		// Responses may overtake each other within the time that a slow store takes.
		due := t.begunAt + t.cfg.ResponseTime
		if now >= due {
			return Overtaken, 0
		}
		next = due
	}
	if t.known < t.newest && !t.whole {
		due := t.behindSince + t.cfg.MaxLag
		if !t.lost {
			// A call that has just begun returns the change.
			due = max(due, t.begunAt+t.cfg.MaxLag)
		}
		if now >= due {
			return Behind, 0
		}
		if next == 0 || due < next {
			next = due
		}
	}
	if t.long {
		if now >= t.watchedUntil {
			return Unwatched, 0
		}
		if next == 0 || t.watchedUntil < next {
			next = t.watchedUntil
		}
	}
	return Continue, next
}

// Newest returns the version of the newest change that any VM has reported.
func (t *Table) Newest() int64 { return t.newest }

// Age returns the age of the VM's knowledge: it lacks no change that the store had accepted
// before that. ok is false before the first response.
func (t *Table) Age(now time.Duration) (age time.Duration, ok bool) {
	return max(now-t.confirmedAt, 0), t.confirmed
}

// Package outage decides when the removal of a registration counts. After an outage of the store,
// registrations of running upstreams may be missing until these register again. A VM that was only
// cut off from a store that answered others waits for nothing.
package outage

import "time"

const (
	// Grace is how long after an outage registrations may be missing: upstreams register again
	// within 2 s.
	Grace = 2200 * time.Millisecond
	// wordTTL is how long the word of a granter counts: it sends updates four times a second.
	wordTTL = 700 * time.Millisecond
)

// Tracker records since when the store is known to answer this VM or the granter. It is not safe
// for concurrent use.
type Tracker struct {
	start time.Duration
	// answers means that the store answers this VM; wordAt is when the granter last said that it
	// answers the granter, negative if it does not.
	answers bool
	wordAt  time.Duration
	// restoredAt is when the store last went back to an older copy; nothing before that counts.
	restoredAt time.Duration
	// known means that the store answers one of them, without a gap since a time.
	known bool
	since time.Duration
}

// New returns a tracker for a VM that starts now and knows of no outage.
func New(now time.Duration) Tracker {
	return Tracker{start: now, answers: true, wordAt: -1, known: true, since: now - Grace, restoredAt: now - Grace}
}

// settle ends the span in which the store is known to answer once nobody vouches for it.
func (t *Tracker) settle(now time.Duration) {
	if !t.answers && (t.wordAt < 0 || now > t.wordAt+wordTTL) {
		t.known = false
	}
}

// answering records that the store has answered since a time.
func (t *Tracker) answering(since time.Duration) {
	if !t.known || since < t.since {
		t.since = max(since, t.restoredAt)
	}
	t.known = true
}

// Answers records whether the store answers this VM.
func (t *Tracker) Answers(now time.Duration, answers bool) {
	t.settle(now)
	t.answers = answers
	if answers {
		t.answering(now)
	}
	t.settle(now)
}

// Word records what the granter says: whether the store answers it, and for how long the store has
// been known to answer; 0 if it does not say.
func (t *Tracker) Word(now time.Duration, answers bool, known time.Duration) {
	t.settle(now)
	t.wordAt = -1
	if answers {
		t.wordAt = now
		t.answering(now - max(known, 0))
	}
	t.settle(now)
}

// Restored records that the store went back to an older copy.
func (t *Tracker) Restored(now time.Duration) { t.known, t.since, t.restoredAt = true, now, now }

// KnownFor returns for how long the store has been known to answer while this VM ran, 0 if it is
// not known to.
func (t *Tracker) KnownFor(now time.Duration) time.Duration {
	t.settle(now)
	if !t.known {
		return 0
	}
	return now - max(t.since, t.start)
}

// Wait returns for how long a removal that was just read does not count yet. It may become shorter
// with what the granter says.
func (t *Tracker) Wait(now time.Duration) time.Duration {
	t.settle(now)
	if !t.known {
		return Grace
	}
	return max(t.since+Grace-now, 0)
}

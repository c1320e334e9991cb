package freshness

import "time"

// retry is what a VM knows that decides when it calls the store again after a failure.
type retry struct {
	// failures counts the failed calls since the last response. The last one failed at failedAt.
	failures int
	failedAt time.Duration
	// refused means that the store responded to the last one.
	refused bool
	// random is a random number in [0, 1) for the pause, vms the number of VMs.
	random float64
	vms    int
	// answeredSent is when the newest answered call of this VM to any table was sent, answeredAt
	// when the response came.
	answeredSent, answeredAt time.Duration
	// away means that the store does not answer the watcher, by its last word, which counts until
	// awayUntil. returnedAt is when the watcher said that it does again.
	away                  bool
	awayUntil, returnedAt time.Duration
}

// Failed records that the last call failed and that the VM pauses. refused means that the store
// responded, vms is the number of VMs and random a random number in [0, 1).
func (t *Table) Failed(now time.Duration, refused bool, vms int, random float64) {
	t.lost = true
	t.retry.failures++
	t.retry.failedAt, t.retry.refused, t.retry.vms, t.retry.random = now, refused, vms, random
}

// GivenUp records that the last call was given up as Overtaken. The next call has its whole time.
func (t *Table) GivenUp() { t.lost, t.overtaken = true, true }

// StoreAnswered records that the store has answered a call of this VM to any table.
func (t *Table) StoreAnswered(now, sent time.Duration) {
	if sent > t.retry.answeredSent {
		t.retry.answeredSent, t.retry.answeredAt = sent, now
	}
}

// StoreAway records the watcher's word on whether the store does not answer it.
func (t *Table) StoreAway(now time.Duration, away bool) {
	r := &t.retry
	if r.away && !away {
		r.returnedAt = now
	}
	r.away, r.awayUntil = away, 0
	if away {
		r.awayUntil = now + t.cfg.MaxAge
	}
}

// RetryAt returns when the next call after a failure is due, as far as is known now. Each of the
// other methods may change it.
func (t *Table) RetryAt(now time.Duration) time.Duration {
	r := &t.retry
	if r.failures == 0 {
		return now
	}
	jitter := 0.75 + 0.5*r.random
	shortest := r.failedAt + time.Duration(jitter*float64(t.cfg.RetryDelay))
	delay := t.cfg.RetryDelay
	for i := 1; i < r.failures && delay < t.cfg.MaxRetryDelay; i++ {
		delay *= 2
	}
	at := r.failedAt + time.Duration(jitter*float64(min(delay, t.cfg.MaxRetryDelay)))
	if now < r.awayUntil {
		outage := r.failedAt + min(time.Duration(r.vms)*t.cfg.OutageDelayPerVM, t.cfg.MaxOutageDelay)
		at = max(at, min(outage, r.awayUntil))
	}
	if t.known < t.newest {
		at = min(at, shortest)
	}
	spread := time.Duration(r.random * float64(r.vms) * float64(t.cfg.ReturnSpreadPerVM))
	for _, returned := range []struct{ seen, shown time.Duration }{{r.answeredAt, r.answeredSent}, {r.returnedAt, r.returnedAt}} {
		if returned.shown <= t.begunAt {
			continue
		}
		again := max(returned.seen, r.failedAt) + spread
		if r.refused {
			again = max(again, shortest)
		}
		at = min(at, again)
	}
	return at
}

package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/server/upstreamconn"
	"dandelionhill.dev/server/wait"
)

const (
	// quarantineTime is how long a request that has crashed upstreams is refused at first. Each
	// further quarantine is twice as long, up to maxQuarantineTime.
	quarantineTime    = 30 * time.Second
	maxQuarantineTime = 16 * time.Minute
	// quarantineRetention is how long after its last quarantine began a request is remembered.
	quarantineRetention = time.Hour
	// trialSlot is the time in which one VM may try a request after its quarantine. It is a
	// multiple of the time in which the others hear of the trial.
	trialSlot = 5 * time.Second
	// crashCapacity bounds the fingerprints that one VM keeps.
	crashCapacity = 4096
	// maxSharedCrashes bounds the entries that VMs share, maxCrashesSent those in one message.
	maxSharedCrashes = 512
	maxCrashesSent   = 32
)

// crashes holds the evidence on requests that crash upstreams, shared by the VMs.
type crashes struct {
	began time.Time
	// place returns the rank of this VM, negative if it is not confirmed, and the number of VMs.
	place func() (rank, vms int)
	// reportNow tells the granter of a change without delay.
	reportNow func()
	// linkedAt is when this VM began to follow the granter, or to be it, on bootTime.
	linkedAt atomic.Int64

	// known is closed when this VM has read the stored evidence, or that of the granter.
	known     chan struct{}
	knownOnce sync.Once

	mu       sync.Mutex
	evidence *crash.Evidence
}

// evidenceWait bounds how long requests of a VM that has started wait for evidence of the others.
const evidenceWait = time.Second

func newCrashes() *crashes {
	return &crashes{began: time.Now(), known: make(chan struct{}), place: func() (rank, vms int) { return -1, 0 }, reportNow: func() {}, evidence: crash.New(crash.Config{
		Quarantine: quarantineTime, SuspectTTL: quarantineTime, ProvenTTL: quarantineTime, Capacity: crashCapacity,
		Slot: trialSlot, MaxQuarantine: maxQuarantineTime, Retention: quarantineRetention,
	})}
}

// withEvidence calls f with the evidence and the current time.
func (c *crashes) withEvidence(f func(e *crash.Evidence, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.evidence, time.Since(c.began))
}

// quarantined reports whether a request must not run.
func (c *crashes) quarantined(fingerprint uint64) (yes bool) {
	c.withEvidence(func(e *crash.Evidence, now time.Duration) { yes = e.Admit(now, fingerprint) == crash.Quarantined })
	return yes
}

// suspected reports whether a request may have crashed an upstream, or must not run beside others.
func (c *crashes) suspected(fingerprint uint64) (yes bool) {
	c.withEvidence(func(e *crash.Evidence, now time.Duration) { yes = e.Admit(now, fingerprint) != crash.Normal })
	return yes
}

// setKnown records that this VM has what was known before it started.
func (c *crashes) setKnown() { c.knownOnce.Do(func() { close(c.known) }) }

// awaitKnown waits until this VM knows the evidence from before its start, evidenceWait at most: a
// request that has crashed upstreams would crash more. It reports false if ctx ends.
func (c *crashes) awaitKnown(ctx context.Context, spare time.Duration) bool {
	select {
	case <-c.known:
		return true
	default:
	}
	timer := time.NewTimer(min(spare, evidenceWait))
	defer timer.Stop()
	select {
	case <-c.known:
	case <-timer.C:
		if spare >= evidenceWait {
			c.setKnown() // later requests do not wait again
		}
	case <-ctx.Done():
		return false
	}
	return true
}

// linked records that this VM begins to follow a granter, or to be it.
func (c *crashes) linked() { c.linkedAt.Store(int64(bootTime())) }

// turn returns the turn of this VM. It has none until it has surely heard what the others know.
func (c *crashes) turn() crash.Turn {
	rank, vms := c.place()
	if bootTime()-time.Duration(c.linkedAt.Load()) < trialSlot {
		rank = -1
	}
	return crash.Turn{Rank: rank, VMs: vms}
}

// claim reports whether a request may run. The first one after a quarantine waits until the other
// VMs have heard of it, unless it has less time.
func (c *crashes) claim(ctx context.Context, fingerprint uint64, spare time.Duration) (ok bool) {
	if !c.awaitKnown(ctx, spare) {
		return false
	}
	turn := c.turn()
	var delay time.Duration
	c.withEvidence(func(e *crash.Evidence, now time.Duration) { delay, ok = e.Claim(now, fingerprint, turn) })
	if !ok || delay == 0 {
		return ok
	}
	c.reportNow()
	return delay < spare && wait.For(ctx, delay)
}

// start records a run, which must follow. It reports false if the request must not run.
func (c *crashes) start(fingerprint uint64) (ok bool) {
	turn := c.turn()
	c.withEvidence(func(e *crash.Evidence, now time.Duration) { ok = e.Start(now, fingerprint, turn) })
	return ok
}

// mayContinue reports whether a run that was recorded and not sent yet may be sent.
func (c *crashes) mayContinue(fingerprint uint64) (ok bool) {
	c.withEvidence(func(e *crash.Evidence, now time.Duration) { ok = e.MayContinue(now, fingerprint) })
	return ok
}

// succeeded records that a run gave a complete response.
func (c *crashes) succeeded(fingerprint uint64) {
	c.withEvidence(func(e *crash.Evidence, now time.Duration) { e.Succeeded(now, fingerprint) })
}

// ended records that a run ended without a response, but not by a crash.
func (c *crashes) ended(fingerprint uint64) {
	c.withEvidence(func(e *crash.Evidence, now time.Duration) { e.Ended(now, fingerprint) })
}

// verifyTimeout bounds the check whether an upstream still listens.
const verifyTimeout = 300 * time.Millisecond

// verifyCrash checks whether the upstream that ran a request has crashed. A connection
// also breaks when an upstream is full or a response is lost; the process then still
// listens. A VM that is cut off from all upstreams learns nothing.
func (c *crashes) verifyCrash(u *upstream, fingerprint uint64, reach *reach) {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	crashed := upstreamconn.Refused(u.pool.Connect(ctx)) && !reach.check(ctx)
	c.withEvidence(func(e *crash.Evidence, now time.Duration) {
		if crashed {
			e.Crashed(now, []uint64{fingerprint})
		} else {
			e.Ended(now, fingerprint)
		}
	})
	if crashed {
		c.reportNow()
	}
}

// crashResendInterval is the interval at which unchanged evidence is sent again.
const crashResendInterval = 5 * time.Second

// crashState is what was sent of an entry.
type crashState struct {
	quarantined, cleared bool
	level                int
}

// crashSender remembers the evidence last sent to another VM.
type crashSender struct {
	sent   map[uint64]crashState // by fingerprint
	sentAt time.Duration
	// next is the index at which the repetition of unchanged entries continues.
	next int
}

// take returns the entries to send, at most maxCrashesSent: those that have changed, or some of the
// others if none was sent for a while.
func (s *crashSender) take(entries []crash.Entry, now time.Duration) (out []crash.Entry) {
	if s.sent == nil || len(s.sent) > len(entries)+maxSharedCrashes {
		s.sent = make(map[uint64]crashState, len(entries))
	}
	for _, e := range entries {
		state := crashState{e.Quarantined, e.Cleared, e.Level}
		if was, known := s.sent[e.Fingerprint]; len(out) < maxCrashesSent && (!known || was != state) {
			out = append(out, e)
			s.sent[e.Fingerprint] = state
		}
	}
	if len(out) == 0 && now-s.sentAt >= crashResendInterval {
		for range min(len(entries), maxCrashesSent) {
			s.next = (s.next + 1) % len(entries)
			out = append(out, entries[s.next])
		}
	}
	if len(out) > 0 {
		s.sentAt = now
	}
	return out
}

// snapshot returns the evidence to send to other VMs.
func (c *crashes) snapshot() (entries []crash.Entry) {
	c.withEvidence(func(e *crash.Evidence, _ time.Duration) { entries = e.Snapshot(maxSharedCrashes) })
	return entries
}

// merge adds the evidence of another VM.
func (c *crashes) merge(entries []crash.Entry) {
	if len(entries) == 0 {
		return
	}
	c.withEvidence(func(e *crash.Evidence, now time.Duration) { e.Merge(now, entries) })
}

package gateway

import (
	"context"
	"sync"
	"time"

	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/server/upstreamconn"
)

const (
	// quarantineTime is how long a request that has crashed upstreams is refused.
	quarantineTime = 30 * time.Second
	// crashCapacity bounds the fingerprints that one VM keeps.
	crashCapacity = 4096
	// maxSharedCrashes bounds the entries that a VM sends to another at a time.
	maxSharedCrashes = 32
)

// crashes holds the evidence on requests that crash upstreams, shared by the VMs.
type crashes struct {
	start time.Time

	mu       sync.Mutex
	evidence *crash.Evidence
}

func newCrashes() *crashes {
	return &crashes{start: time.Now(), evidence: crash.New(crash.Config{
		Quarantine: quarantineTime, SuspectTTL: quarantineTime, ProvenTTL: quarantineTime, Capacity: crashCapacity,
	})}
}

// withEvidence calls f with the evidence and the current time.
func (c *crashes) withEvidence(f func(e *crash.Evidence, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.evidence, time.Since(c.start))
}

// quarantined reports whether a request must not run.
func (c *crashes) quarantined(fingerprint uint64) (yes bool) {
	c.withEvidence(func(e *crash.Evidence, now time.Duration) { yes = e.Admit(now, fingerprint) == crash.Quarantined })
	return yes
}

func (c *crashes) started(fingerprint uint64) {
	c.withEvidence(func(e *crash.Evidence, now time.Duration) { e.Started(now, fingerprint) })
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
}

// crashResendInterval is the interval at which unchanged evidence is sent again.
const crashResendInterval = 5 * time.Second

// crashSender remembers the evidence last sent to another VM.
type crashSender struct {
	sent   map[uint64]bool // by fingerprint: whether it is quarantined
	sentAt time.Duration
}

// due reports whether evidence is to be sent: it has changed, or was sent a while ago.
func (s *crashSender) due(entries []crash.Entry, now time.Duration) bool {
	changed := len(entries) != len(s.sent)
	for _, e := range entries {
		was, known := s.sent[e.Fingerprint]
		changed = changed || !known || was != e.Quarantined
	}
	if len(entries) == 0 || !changed && now-s.sentAt < crashResendInterval {
		return false
	}
	s.sent, s.sentAt = make(map[uint64]bool, len(entries)), now
	for _, e := range entries {
		s.sent[e.Fingerprint] = e.Quarantined
	}
	return true
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

package gateway

import (
	"context"
	"sync"
	"time"

	"dandelionhill.dev/core/crash"
)

const (
	// quarantineTime is how long a request that crashed upstreams is refused.
	quarantineTime = 30 * time.Second
	// crashCapacity bounds the fingerprints that one VM remembers.
	crashCapacity = 4096
	// crashesShared bounds the entries that VMs tell each other at a time.
	crashesShared = 32
)

// crashes is the evidence of requests that crash upstreams, shared by the VMs.
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

// do runs f with the evidence and the present time.
func (c *crashes) do(f func(e *crash.Evidence, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.evidence, time.Since(c.start))
}

// quarantined reports whether a request must not run.
func (c *crashes) quarantined(fingerprint uint64) (yes bool) {
	c.do(func(e *crash.Evidence, now time.Duration) { yes = e.Admit(now, fingerprint) == crash.Quarantined })
	return yes
}

func (c *crashes) started(fingerprint uint64) {
	c.do(func(e *crash.Evidence, now time.Duration) { e.Started(now, fingerprint) })
}

// succeeded records that a run gave a whole answer.
func (c *crashes) succeeded(fingerprint uint64) {
	c.do(func(e *crash.Evidence, now time.Duration) { e.Succeeded(now, fingerprint) })
}

// ended records that a run gave no answer for a reason that is no crash.
func (c *crashes) ended(fingerprint uint64) {
	c.do(func(e *crash.Evidence, now time.Duration) { e.Ended(now, fingerprint) })
}

// verifyTimeout bounds the question whether an upstream is still there.
const verifyTimeout = 300 * time.Millisecond

// verify finds out whether the upstream at which a request was in flight has
// crashed. A connection also breaks where an upstream is full or an answer is
// lost; the process is then still there.
func (c *crashes) verify(u *upstream, fingerprint uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	crashed := !u.pool.Probe(ctx)
	c.do(func(e *crash.Evidence, now time.Duration) {
		if crashed {
			e.Crashed(now, []uint64{fingerprint})
		} else {
			e.Ended(now, fingerprint)
		}
	})
}

// snapshot returns what other VMs should know.
func (c *crashes) snapshot() (entries []crash.Entry) {
	c.do(func(e *crash.Evidence, _ time.Duration) { entries = e.Snapshot(crashesShared) })
	return entries
}

// merge adds what another VM knows.
func (c *crashes) merge(entries []crash.Entry) {
	if len(entries) == 0 {
		return
	}
	c.do(func(e *crash.Evidence, now time.Duration) { e.Merge(now, entries) })
}

package crash_test

import (
	"testing"
	"time"

	"dandelionhill.dev/core/crash"
	"github.com/stretchr/testify/require"
)

const poison = 7

// crashOnce runs a fingerprint that crashes its upstream.
func crashOnce(e *crash.Evidence, now time.Duration, fingerprint uint64) {
	e.Started(now, fingerprint)
	e.Crashed(now, []uint64{fingerprint})
}

// TestSecondCrashQuarantines guards against a request that crashes one upstream after another.
func TestSecondCrashQuarantines(t *testing.T) {
	e := crash.New(crash.Config{})
	require.Equal(t, crash.Normal, e.Admit(0, poison))
	crashOnce(e, 0, poison)
	require.Equal(t, crash.Exclusive, e.Admit(1, poison))
	crashOnce(e, 1, poison)
	require.Equal(t, crash.Quarantined, e.Admit(2, poison))
	require.Equal(t, crash.Quarantined, e.Admit(10*time.Minute, poison))
	require.Equal(t, crash.Exclusive, e.Admit(10*time.Minute+1, poison), "after quarantine one more crash must be enough")
	crashOnce(e, 11*time.Minute, poison)
	require.Equal(t, crash.Quarantined, e.Admit(11*time.Minute, poison))
}

// TestSuccessClears guards against harmless requests that stay suspects after a crash.
func TestSuccessClears(t *testing.T) {
	e := crash.New(crash.Config{})
	e.Started(0, 1)
	e.Started(0, poison)
	e.Crashed(0, []uint64{1, poison})
	require.Equal(t, crash.Exclusive, e.Admit(0, 1))
	e.Started(0, 1)
	require.Equal(t, crash.Wait, e.Admit(0, 1), "a suspect runs once at a time")
	e.Succeeded(0, 1)
	require.Equal(t, crash.Normal, e.Admit(0, 1))
	require.Equal(t, crash.Exclusive, e.Admit(0, poison))
}

// TestUnprovenRunsTwiceAtMost guards against a burst of one new request that crashes many upstreams at once.
func TestUnprovenRunsTwiceAtMost(t *testing.T) {
	e := crash.New(crash.Config{})
	e.Started(0, poison)
	require.Equal(t, crash.Normal, e.Admit(0, poison))
	e.Started(0, poison)
	require.Equal(t, crash.Wait, e.Admit(0, poison))
	e.Ended(0, poison)
	require.Equal(t, crash.Normal, e.Admit(0, poison))
	e.Succeeded(0, poison)
	e.Started(0, poison)
	e.Started(0, poison)
	require.Equal(t, crash.Normal, e.Admit(0, poison), "a proven fingerprint is not limited")
}

// TestDomainLossKeepsProven guards against the quarantine of a frequent,
// harmless request when the connections to many upstreams break at once.
func TestDomainLossKeepsProven(t *testing.T) {
	e := crash.New(crash.Config{})
	e.Started(0, 1)
	e.Succeeded(0, 1)
	for range 6 {
		e.Started(1, 1)
	}
	for range 6 {
		e.Crashed(2, []uint64{1})
	}
	require.Equal(t, crash.Exclusive, e.Admit(2, 1))
	crashOnce(e, 3, 1)
	require.Equal(t, crash.Quarantined, e.Admit(3, 1), "a crash of an exclusive run counts")
}

// TestQuarantineSurvivesTakeover guards against a new holder that lets a quarantined request run.
func TestQuarantineSurvivesTakeover(t *testing.T) {
	e, next := crash.New(crash.Config{}), crash.New(crash.Config{})
	crashOnce(e, 0, poison)
	crashOnce(e, 0, poison)
	crashOnce(e, 0, 1)
	next.Merge(time.Hour, e.Snapshot(256))
	require.Equal(t, crash.Quarantined, next.Admit(time.Hour, poison))
	require.Equal(t, crash.Exclusive, next.Admit(time.Hour, 1))
	require.Len(t, e.Snapshot(1), 1)
	require.True(t, e.Snapshot(1)[0].Quarantined, "quarantined entries come first")
}

// TestEvidenceExpires guards against VMs that extend each other's evidence indefinitely.
func TestEvidenceExpires(t *testing.T) {
	a, b := crash.New(crash.Config{}), crash.New(crash.Config{})
	crashOnce(a, 0, poison)
	crashOnce(a, 0, poison)
	const beat, delay = 200 * time.Millisecond, 150 * time.Millisecond
	for now := time.Duration(0); now < 21*time.Minute; now += beat {
		b.Merge(now+delay, a.Snapshot(256))
		a.Merge(now+beat, b.Snapshot(256))
	}
	require.Zero(t, a.Len())
	require.Zero(t, b.Len())
}

// TestCapacity guards against evidence that grows without bound, and against a
// quarantine that is evicted by many successful requests.
func TestCapacity(t *testing.T) {
	e := crash.New(crash.Config{Capacity: 100})
	crashOnce(e, 0, poison)
	crashOnce(e, 0, poison)
	for f := uint64(1000); f < 3000; f++ {
		e.Started(0, f)
		e.Succeeded(0, f)
	}
	require.LessOrEqual(t, e.Len(), 100)
	require.Equal(t, crash.Quarantined, e.Admit(0, poison))
}

package reachability_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/reachability"
)

// TestGranterTriesAgainBeforeItResigns guards against a granter that resigns when a cut of all VMs
// ends, because another VM regains contact with the upstreams before it does.
func TestGranterTriesAgainBeforeItResigns(t *testing.T) {
	cfg := reachability.DefaultConfig()
	d := reachability.NewDetector(cfg)
	fail := func(began time.Duration) {
		require.True(t, d.RoundEnded(began, began+cfg.RoundTimeout, cfg.SampleSize, 0) || began > start)
	}
	fail(start)
	var r reachability.Resignation
	now := start + time.Second
	require.Equal(t, reachability.Stay, r.Decide(now, false, d.FailedFrom()), "no VM reaches any upstream")
	fail(now - 50*time.Millisecond)
	require.Equal(t, reachability.TryAgain, r.Decide(now, true, d.FailedFrom()))
	require.Equal(t, reachability.WaitForRound, r.Decide(now+time.Millisecond, true, d.FailedFrom()), "the last round began before the other VM's contact was known")
	d.RoundEnded(now, now+3*time.Second, cfg.SampleSize, 0)
	require.Equal(t, reachability.WaitForRound, r.Decide(now+3*time.Second, true, d.FailedFrom()), "the process was frozen during the round")
	require.Equal(t, reachability.Stay, r.Decide(now+4*time.Second, false, d.FailedFrom()))
	fail(now + 4*time.Second)
	require.Equal(t, reachability.TryAgain, r.Decide(now+5*time.Second, true, d.FailedFrom()), "a contact that was lost again does not count")
	fail(now + 5*time.Second)
	require.Equal(t, reachability.Resign, r.Decide(now+6*time.Second, true, d.FailedFrom()))
}

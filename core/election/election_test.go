package election_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/election"
)

// TestNext guards against VMs that wait where one must take over, and that take
// over where they have promised not to.
func TestNext(t *testing.T) {
	const started, late = time.Minute, time.Minute + 10*time.Second
	cfg := election.DefaultConfig()
	fresh, stale := cfg.StoreTimeout/2, cfg.StaleAfter+time.Millisecond
	for name, c := range map[string]struct {
		now     time.Duration
		lease   election.Lease
		silent  bool
		promise bool
		leaving bool
		want    election.Step
	}{
		"no granter":                               {now: started, lease: election.Lease{Vacant: true}, want: election.Campaign},
		"a granter that renews":                    {now: late, lease: election.Lease{Age: fresh}, want: election.Follow},
		"a silent granter that may still renew":    {now: late, lease: election.Lease{Age: fresh}, silent: true, want: election.Wait},
		"a granter that does not renew":            {now: late, lease: election.Lease{Age: stale}, want: election.Campaign},
		"the same after a promise":                 {now: late, lease: election.Lease{Age: stale}, promise: true, want: election.Follow},
		"the same in a process that has begun":     {now: started, lease: election.Lease{Age: stale}, want: election.Follow},
		"all VMs have started again":               {now: started, lease: election.Lease{Age: stale, GranterEnded: true}, want: election.Campaign},
		"a granter has ended":                      {now: late, lease: election.Lease{Age: fresh, GranterEnded: true}, want: election.Campaign},
		"a granter has ended and this process too": {now: late, lease: election.Lease{Age: fresh, GranterEnded: true}, leaving: true, want: election.Wait},
	} {
		t.Run(name, func(t *testing.T) {
			v := election.NewVoter(cfg, started)
			if c.promise {
				v.StoreUnreachable(c.now)
			}
			if c.leaving {
				v.Leave()
			}
			require.Equal(t, c.want, v.Next(c.now, c.lease, c.silent))
		})
	}
}

// TestFormerUntil guards against moves while a granter before may still act.
func TestFormerUntil(t *testing.T) {
	const started, now = time.Minute, time.Minute + 10*time.Second
	cfg := election.DefaultConfig()
	v := election.NewVoter(cfg, started)
	require.Equal(t, now, v.PredecessorsUntil(now, election.Lease{Vacant: true}))
	require.Equal(t, now, v.PredecessorsUntil(now, election.Lease{GranterEnded: true, Age: cfg.StoreTimeout / 2}))
	require.Equal(t, now+time.Second, v.PredecessorsUntil(now, election.Lease{GranterEnded: true, Age: cfg.StoreTimeout / 2, PredecessorsRemaining: time.Second}))
	require.Equal(t, now+cfg.LeaseTTL-2*time.Second, v.PredecessorsUntil(now, election.Lease{Age: 2 * time.Second}))
	require.Equal(t, now, v.PredecessorsUntil(now, election.Lease{Age: time.Minute}))
	require.Equal(t, started+cfg.RestartPromiseTTL, v.PredecessorsUntil(started, election.Lease{GranterEnded: true, Age: time.Minute}),
		"the process before this one may have promised a caretaker")
	v.StoreUnreachable(now)
	require.Equal(t, now+cfg.PromiseTTL, v.PredecessorsUntil(now, election.Lease{Age: time.Minute}))
}

package election_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/election"
)

// TestNext guards against VMs that wait when one must take over, and VMs that take
// over although they have promised not to.
func TestNext(t *testing.T) {
	const started, late = time.Minute, time.Minute + 10*time.Second
	cfg := election.DefaultConfig()
	fresh, stale := cfg.StoreTimeout/2, cfg.StaleAfter+time.Millisecond
	for name, c := range map[string]struct {
		now          time.Duration
		lease        election.Lease
		disconnected bool
		promise      bool
		stopping     bool
		isolated     bool
		want         election.Step
	}{
		"no granter":                              {now: started, lease: election.Lease{Vacant: true}, want: election.Campaign},
		"a granter that renews":                   {now: late, lease: election.Lease{Age: fresh}, want: election.Follow},
		"lost connection, lease not stale":        {now: late, lease: election.Lease{Age: fresh}, disconnected: true, want: election.Wait},
		"stale lease":                             {now: late, lease: election.Lease{Age: stale}, want: election.Campaign},
		"stale lease after a promise":             {now: late, lease: election.Lease{Age: stale}, promise: true, want: election.Follow},
		"stale lease in a new process":            {now: started, lease: election.Lease{Age: stale}, want: election.Follow},
		"all VMs have restarted":                  {now: started, lease: election.Lease{Age: stale, GranterEnded: true}, want: election.Campaign},
		"a granter has ended":                     {now: late, lease: election.Lease{Age: fresh, GranterEnded: true}, want: election.Campaign},
		"a successor is named":                    {now: late, lease: election.Lease{Vacant: true, Reserved: true, Age: time.Millisecond}, want: election.Wait},
		"the named successor does not take over":  {now: late, lease: election.Lease{Vacant: true, Reserved: true, Age: cfg.SuccessorPatience}, want: election.Campaign},
		"no granter, isolated":                    {now: late, lease: election.Lease{Vacant: true, Age: fresh}, isolated: true, want: election.Wait},
		"a granter has ended, isolated":           {now: late, lease: election.Lease{Age: fresh, GranterEnded: true}, isolated: true, want: election.Wait},
		"stale lease, isolated":                   {now: late, lease: election.Lease{Age: stale}, isolated: true, want: election.Follow},
		"no granter for long, isolated":           {now: late, lease: election.Lease{Vacant: true, Age: cfg.IsolatedPatience}, isolated: true, want: election.Campaign},
		"lease stale for long, isolated":          {now: late, lease: election.Lease{Age: cfg.IsolatedPatience}, isolated: true, want: election.Campaign},
		"a granter has ended, this process stops": {now: late, lease: election.Lease{Age: fresh, GranterEnded: true}, stopping: true, want: election.Wait},
	} {
		t.Run(name, func(t *testing.T) {
			v := election.NewVoter(cfg, started)
			if c.promise {
				v.StoreUnreachable(c.now)
			}
			v.SetIsolated(c.isolated)
			if c.stopping {
				v.Leave()
			}
			require.Equal(t, c.want, v.Next(c.now, c.lease, c.disconnected))
		})
	}
}

// TestPredecessorsUntil guards against moves while an earlier granter may still act.
func TestPredecessorsUntil(t *testing.T) {
	const started, now = time.Minute, time.Minute + 10*time.Second
	cfg := election.DefaultConfig()
	v := election.NewVoter(cfg, started)
	require.Equal(t, now, v.PredecessorsUntil(now, election.Lease{Vacant: true}))
	require.Equal(t, now, v.PredecessorsUntil(now, election.Lease{GranterEnded: true, Age: cfg.StoreTimeout / 2}))
	require.Equal(t, started+cfg.RestartPromiseTTL, v.PredecessorsUntil(started, election.Lease{Vacant: true, Age: time.Second}),
		"the previous process of this VM may have promised a caretaker of an earlier term")
	require.Equal(t, started, v.PredecessorsUntil(started, election.Lease{Vacant: true, Age: time.Hour}), "there was no granter for long")
	promised := election.NewVoter(cfg, started)
	promised.StoreUnreachable(now)
	require.Equal(t, now+cfg.PromiseTTL, promised.PredecessorsUntil(now, election.Lease{Vacant: true, Age: time.Second}), "this VM has promised a caretaker")
	require.Equal(t, now+time.Second, v.PredecessorsUntil(now, election.Lease{GranterEnded: true, Age: cfg.StoreTimeout / 2, PredecessorsRemaining: time.Second}))
	earlier := election.Lease{GranterEnded: true, EarlierProcess: true, Age: cfg.StoreTimeout + time.Second, AskedAt: started + time.Second}
	require.Equal(t, started+cfg.RestartPromiseTTL, v.PredecessorsUntil(started+time.Second, earlier), "it may have handed over before this process started")
	earlier.Age--
	require.Equal(t, started+time.Second, v.PredecessorsUntil(started+time.Second, earlier))
	require.Equal(t, now+cfg.LeaseTTL-2*time.Second, v.PredecessorsUntil(now, election.Lease{Age: 2 * time.Second}))
	require.Equal(t, now, v.PredecessorsUntil(now, election.Lease{Age: time.Minute}))
	require.Equal(t, started+cfg.RestartPromiseTTL, v.PredecessorsUntil(started, election.Lease{GranterEnded: true, Age: time.Minute}),
		"the previous process of this VM may have promised a caretaker")
	v.StoreUnreachable(now)
	require.Equal(t, now+cfg.PromiseTTL, v.PredecessorsUntil(now, election.Lease{Age: time.Minute}))
}

// TestStoreChecks guards against calls to the store that grow with the number of VMs in an
// outage, against an outage that no VM checks, against a VM that the store answers and that
// promises instead of taking over, and against one that stays with a granter whose calls alone
// the store does not answer: it misses what the successor knows.
func TestStoreChecks(t *testing.T) {
	cfg := election.DefaultConfig()
	for _, vms := range []int{2, 12, 72, 195, 13000} {
		checks := 0
		for i := range vms {
			v := election.NewVoter(cfg, 0)
			require.True(t, v.ChecksStore(0.999, vms), "the first check")
			v.StoreUnreachable(time.Second)
			if v.ChecksStore(float64(i)/float64(vms), vms) {
				checks++
			}
			require.Equal(t, vms <= int(cfg.StoreCheckers), v.ChecksStore(0.999, vms))
			v.StoreAnswered()
			require.True(t, v.ChecksStore(0.999, vms))
			v.GranterRenews()
			require.True(t, v.ChecksStore(0.999, vms), "the first check of the next outage")
		}
		require.Equal(t, min(vms, int(cfg.StoreCheckers)), checks)
	}
}

// TestHandoverThatWaited guards against a caretaker that renews on promises which have ended, because
// the message of the granter waited for it.
func TestHandoverThatWaited(t *testing.T) {
	cfg := election.DefaultConfig()
	const received = time.Minute
	const reported = received - 900*time.Millisecond
	promises := []election.Promise{{VM: "vm-c", RemainingMs: 1000}}
	for _, c := range []struct{ reported, want time.Duration }{
		{reported: reported, want: reported + time.Second},
		{reported: 0, want: received + time.Second - cfg.MaxMessageDelay},
		{reported: received + time.Second, want: received + time.Second - cfg.MaxMessageDelay},
	} {
		require.Equal(t, c.want, election.NewCaretaker(cfg, received, c.reported, promises).RenewUntil(received))
	}
}

// TestHandoverAfterLateStatedRenewal guards against a granter that hands over while the age of its
// lease, which counts from the time that the row states, lets the next process of its VM reckon
// with no caretaker.
func TestHandoverAfterLateStatedRenewal(t *testing.T) {
	cfg := election.DefaultConfig()
	const stated = 700 * time.Millisecond // after the moment from which the granter counts
	a := election.NewAuthority(cfg, 0, 1)
	a.Renewing(stated)
	a.Joined("vm-b")
	for _, now := range []time.Duration{cfg.StoreTimeout + time.Millisecond, stated + cfg.StoreTimeout} {
		a.Promised("vm-b", now, cfg.PromiseTTL)
		_, ok := a.HandOver(now, "vm-a", "vm-b")
		require.False(t, ok, "%v", now)
	}
	_, ok := a.HandOver(stated+cfg.StoreTimeout+time.Millisecond, "vm-a", "vm-b")
	require.True(t, ok)
}

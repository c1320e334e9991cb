package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// tickUntil ticks a machine every 50 ms, without an answer to its calls, and returns the
// actions with the times of the writes of which it stores the result.
func tickUntil(m *Machine, from, until time.Duration) (actions []Action, writtenAt []time.Duration) {
	for now := from; now < until; now += 50 * time.Millisecond {
		for _, a := range m.Tick(now, Mode{Renew: true, Move: true}) {
			actions = append(actions, a)
			switch a.Kind {
			case Write:
				m.WriteDone()
				writtenAt = append(writtenAt, now)
			case Grant:
				m.GrantDone(now, a, NotSent)
			case Release:
				m.ReleaseDone(now, a, NotSent, "")
			}
		}
	}
	return actions, writtenAt
}

func usable(id string, incarnation int64) Upstream {
	return Upstream{Owner: Owner{UpstreamID: api.UpstreamID(id), Incarnation: incarnation}, Capacity: 1, MayKeepKeys: true, MayGainKeys: true}
}

// TestOlderViewEndsNoOwner guards against a granter that takes a living owner for ended, and
// gives its keys away under its lease, because its view of the upstreams is older than the
// owners that it read: it still has the incarnation before.
func TestOlderViewEndsNoOwner(t *testing.T) {
	cfg := DefaultConfig(simKeys)
	owner := Owner{UpstreamID: "a", Incarnation: 200}
	for name, view := range map[string][]Upstream{
		"usable":   {usable("a", 100), usable("b", 1)},
		"draining": {{Owner: Owner{UpstreamID: "a", Incarnation: 100}, Capacity: 1}, usable("b", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(cfg, 2, []Entry{{Span: Span{0, simKeys - 1}, Owner: owner, Fence: 1}}, Predecessor{MaxLeaseTTL: cfg.LeaseTTL})
			expiry := m.safeTTL(cfg.LeaseTTL)
			m.SetUpstreams(view)
			actions, _ := tickUntil(m, 0, expiry)
			require.Empty(t, actions, "while the lease of the owner runs")
			_, writtenAt := tickUntil(m, expiry, expiry+time.Second)
			require.NotEmpty(t, writtenAt, "the keys have another owner after that")
			for _, e := range m.entries {
				require.NotEqual(t, owner, e.Owner)
			}
		})
	}
}

// TestOlderViewGainsNoKeys guards against keys that are assigned to an incarnation which a
// later one has followed, while that one holds keys: the grant would reach the later one.
func TestOlderViewGainsNoKeys(t *testing.T) {
	cfg := DefaultConfig(simKeys)
	owner := Owner{UpstreamID: "a", Incarnation: 200}
	m := New(cfg, 2, []Entry{{Span: Span{0, 511}, Owner: owner, Fence: 1}}, Predecessor{MaxLeaseTTL: cfg.LeaseTTL})
	m.SetUpstreams([]Upstream{usable("a", 100), usable("b", 1)})
	actions, _ := tickUntil(m, 0, time.Second)
	require.NotEmpty(t, actions)
	for _, a := range actions {
		for _, e := range a.Entries {
			require.NotEqual(t, int64(100), e.Owner.Incarnation)
		}
	}
}

// TestOlderViewThatCatchesUpKeepsOwner guards against an owner that loses its keys though the
// view was older for a moment only.
func TestOlderViewThatCatchesUpKeepsOwner(t *testing.T) {
	cfg := DefaultConfig(simKeys)
	owner := Owner{UpstreamID: "a", Incarnation: 200}
	m := New(cfg, 2, []Entry{{Span: Span{0, simKeys - 1}, Owner: owner, Fence: 1}}, Predecessor{MaxLeaseTTL: cfg.LeaseTTL})
	m.SetUpstreams([]Upstream{usable("a", 100)})
	tickUntil(m, 0, time.Second)
	m.SetUpstreams([]Upstream{usable("a", 200)})
	actions, _ := tickUntil(m, time.Second, time.Second+50*time.Millisecond)
	require.Len(t, actions, 1)
	require.Equal(t, Grant, actions[0].Kind)
	require.Equal(t, owner, actions[0].Owner)
	require.EqualValues(t, 1, actions[0].Fence, "the grant that it has is renewed")
}

// TestOnlyUpstreamWithEarlierIncarnationGetsKeys guards against keys that are lost for ever
// when the time of day has stepped back between two lives of an upstream.
func TestOnlyUpstreamWithEarlierIncarnationGetsKeys(t *testing.T) {
	cfg := DefaultConfig(simKeys)
	m := New(cfg, 2, []Entry{{Span: Span{0, simKeys - 1}, Owner: Owner{UpstreamID: "a", Incarnation: 200}, Fence: 1}}, Predecessor{MaxLeaseTTL: cfg.LeaseTTL})
	m.SetUpstreams([]Upstream{usable("a", 100)})
	expiry := m.safeTTL(cfg.LeaseTTL)
	_, writtenAt := tickUntil(m, 0, expiry)
	require.Empty(t, writtenAt)
	tickUntil(m, expiry, expiry+time.Second)
	for _, e := range m.entries {
		require.Equal(t, Owner{UpstreamID: "a", Incarnation: 100}, e.Owner)
	}
}

// grantedTo returns a machine in which an owner has confirmed all keys at a time.
func grantedTo(t *testing.T, o Owner, at time.Duration) *Machine {
	t.Helper()
	m := New(DefaultConfig(simKeys), 2, []Entry{{Span: Span{0, simKeys - 1}, Owner: o, Fence: 1}}, Predecessor{})
	m.SetUpstreams([]Upstream{{Owner: o, Capacity: 1, MayKeepKeys: true, MayGainKeys: true}})
	actions := m.Tick(at, Mode{Renew: true, Move: true})
	require.Len(t, actions, 1)
	m.GrantDone(at, actions[0], Accepted)
	return m
}

func draining(id string, incarnation int64) Upstream {
	return Upstream{Owner: Owner{UpstreamID: api.UpstreamID(id), Incarnation: incarnation}, Capacity: 1}
}

// TestLaterLifeMayHoldGrantOfEarlier guards against two owners of a key when a grant to an
// earlier incarnation reached the later one, at the same address, before the VM knew of it.
func TestLaterLifeMayHoldGrantOfEarlier(t *testing.T) {
	expiry := New(DefaultConfig(simKeys), 2, nil, Predecessor{}).safeTTL(DefaultConfig(simKeys).LeaseTTL)
	earlier := Owner{UpstreamID: "a", Incarnation: 100}
	requireNoOther := func(t *testing.T, m *Machine, from time.Duration) {
		t.Helper()
		actions, _ := tickUntil(m, from, expiry)
		for _, a := range actions {
			require.NotEqual(t, api.UpstreamID("b"), a.Owner.UpstreamID)
			for _, e := range a.Entries {
				require.Equal(t, api.UpstreamID("a"), e.Owner.UpstreamID, "while the lease of the grant runs")
			}
		}
		tickUntil(m, expiry, expiry+time.Second)
		for _, e := range m.entries {
			require.Equal(t, api.UpstreamID("b"), e.Owner.UpstreamID)
		}
	}
	t.Run("the later one drains", func(t *testing.T) {
		m := grantedTo(t, earlier, 0)
		m.SetUpstreams([]Upstream{draining("a", 200), usable("b", 1)})
		requireNoOther(t, m, 50*time.Millisecond)
	})
	for name, result := range map[string]Result{"accepted": Accepted, "unknown": Unknown} {
		t.Run("a grant is under way and its result is "+name, func(t *testing.T) {
			m := grantedTo(t, earlier, -time.Hour)
			grant := m.Tick(-50*time.Millisecond, Mode{Renew: true, Move: true})
			require.Len(t, grant, 1)
			m.SetUpstreams([]Upstream{draining("a", 200), usable("b", 1)})
			require.Empty(t, m.Tick(-25*time.Millisecond, Mode{Renew: true, Move: true}))
			m.GrantDone(0, grant[0], result)
			requireNoOther(t, m, 0)
		})
	}
	t.Run("the later one has the keys and drains, or is not at its address", func(t *testing.T) {
		m := grantedTo(t, earlier, 0)
		m.SetUpstreams([]Upstream{usable("a", 200), usable("b", 1)})
		actions := m.Tick(time.Millisecond, Mode{Renew: true, Move: true})
		require.Len(t, actions, 1)
		require.Equal(t, Write, actions[0].Kind)
		require.Equal(t, Owner{UpstreamID: "a", Incarnation: 200}, actions[0].Entries[0].Owner, "it gets the keys at once")
		m.WriteDone()
		grant := m.Tick(2*time.Millisecond, Mode{Renew: true, Move: true})
		require.Equal(t, Grant, grant[0].Kind)
		m.GrantDone(2*time.Millisecond, grant[0], OwnerEnded)
		require.GreaterOrEqual(t, m.InDoubtUntil(2*time.Millisecond), expiry, "the next granter waits too")
		m.SetUpstreams([]Upstream{draining("a", 200), usable("b", 1)})
		requireNoOther(t, m, 50*time.Millisecond)
	})
}

// TestFencedOwnerKeepsLease guards against two owners of a key when an upstream refuses a renewal
// because it has seen a higher fence on some of the keys, and may not keep them: it still holds the
// others until its lease expires.
func TestFencedOwnerKeepsLease(t *testing.T) {
	owner := Owner{UpstreamID: "a", Incarnation: 100}
	m := grantedTo(t, owner, 0)
	expiry := m.safeTTL(DefaultConfig(simKeys).LeaseTTL)
	renewal := m.Tick(time.Second, Mode{Renew: true, Move: true})
	require.Len(t, renewal, 1)
	m.SetUpstreams([]Upstream{draining("a", 100), usable("b", 1)})
	m.GrantDone(time.Second, renewal[0], Fenced)
	_, writtenAt := tickUntil(m, time.Second, expiry)
	require.Empty(t, writtenAt, "while the lease of the owner runs")
	tickUntil(m, expiry, expiry+time.Second)
	for _, e := range m.entries {
		require.Equal(t, api.UpstreamID("b"), e.Owner.UpstreamID)
	}
}

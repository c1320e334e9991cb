package ownership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/ownership"
)

// lateMachine is the machine of a granter whose predecessor ended without notice at 0. The stored
// owner, a, cannot be reached until reachedAt; b can.
type lateMachine struct {
	*ownership.Machine
	cfg       ownership.Config
	a, b      ownership.Owner
	reachedAt time.Duration
}

func newLateMachine(lateUntil, reachedAt time.Duration) *lateMachine {
	cfg := ownership.DefaultConfig(1 << 16)
	m := &lateMachine{cfg: cfg, a: ownership.Owner{UpstreamID: "a", Incarnation: 1}, b: ownership.Owner{UpstreamID: "b", Incarnation: 1}, reachedAt: reachedAt}
	m.Machine = ownership.New(cfg, 2, []ownership.Entry{{Span: ownership.Span{Last: cfg.Keys - 1}, Owner: m.a, Fence: 7}}, ownership.Predecessor{
		MaxLeaseTTL: cfg.LeaseTTL, InDoubtUntil: cfg.MaxHold(cfg.LeaseTTL), LateUntil: lateUntil,
	})
	return m
}

// nextOwner runs the machine until keys get an owner under a new fence. suspectUntil is until when
// a may keep no keys.
func (m *lateMachine) nextOwner(t *testing.T, suspectUntil time.Duration) (owner ownership.Owner, at time.Duration) {
	for now := 10 * time.Millisecond; now < time.Minute; now += 10 * time.Millisecond {
		usable := now >= suspectUntil
		m.SetUpstreams([]ownership.Upstream{
			{Owner: m.a, Capacity: 1, MayKeepKeys: usable, MayGainKeys: usable}, {Owner: m.b, Capacity: 1, MayKeepKeys: true, MayGainKeys: true},
		})
		for _, action := range m.Tick(now, ownership.Mode{Renew: true, Move: true}) {
			switch {
			case action.Kind == ownership.Write:
				return action.Entries[0].Owner, now
			case now >= m.reachedAt:
				m.Reached(action.Owner)
			}
			if action.Kind == ownership.Release {
				m.ReleaseDone(now, action, ownership.NotSent, "")
			} else {
				m.GrantDone(now, action, ownership.NotSent)
			}
		}
	}
	require.Fail(t, "the keys get no owner")
	return owner, 0
}

// TestLateGrantOfAKilledGranter guards against keys that another upstream gets while a grant of a
// granter that was killed behind a cut can still reach their former owner (review/6, OWNER).
func TestLateGrantOfAKilledGranter(t *testing.T) {
	const late = 7 * time.Second
	m := newLateMachine(late, time.Hour)
	owner, at := m.nextOwner(t, time.Hour)
	require.Equal(t, m.b, owner)
	require.GreaterOrEqual(t, at, late+m.cfg.MaxHold(m.cfg.LeaseTTL), "a holds the keys for a lease after the grant that arrives last")
}

// TestReachedOwnerIsNotWaitedFor guards against keys that stay without an owner for the sake of a
// cut, although the host of their former owner answers, and against such a wait after a granter
// that did not end without notice.
func TestReachedOwnerIsNotWaitedFor(t *testing.T) {
	for name, m := range map[string]*lateMachine{"reached": newLateMachine(7*time.Second, 0), "no late grants": newLateMachine(0, time.Hour)} {
		owner, at := m.nextOwner(t, time.Hour)
		require.Equal(t, m.b, owner, name)
		require.LessOrEqual(t, at, m.cfg.MaxHold(m.cfg.LeaseTTL)+100*time.Millisecond, name)
	}
}

// TestKeysReturnAfterACut guards against keys that wait for late grants although their former owner
// is back, which may have them at once under a new fence.
func TestKeysReturnAfterACut(t *testing.T) {
	const suspect = 3 * time.Second
	m := newLateMachine(7*time.Second, time.Hour)
	owner, at := m.nextOwner(t, suspect)
	require.Equal(t, m.a, owner)
	require.LessOrEqual(t, at, suspect+100*time.Millisecond)
}

// TestUnansweredGrantToLateUpstream guards against keys that another upstream gets while a grant
// without an answer can still arrive at an upstream that takes grants late, e.g. one that ignores
// Expect: 100-continue.
func TestUnansweredGrantToLateUpstream(t *testing.T) {
	const late, sent = 7 * time.Second, time.Second
	for _, by := range []time.Duration{0, late} {
		m := newLateMachine(0, time.Hour)
		m.SetLate(m.a, by)
		m.SetUpstreams([]ownership.Upstream{{Owner: m.a, Capacity: 1, MayKeepKeys: true, MayGainKeys: true}})
		for _, action := range m.Tick(sent, ownership.Mode{Renew: true, Move: true}) {
			m.GrantDone(sent, action, ownership.Unknown)
		}
		owner, at := m.nextOwner(t, time.Hour)
		require.Equal(t, m.b, owner)
		require.GreaterOrEqual(t, at, sent+by+m.cfg.MaxHold(m.cfg.LeaseTTL))
		require.LessOrEqual(t, at, sent+by+m.cfg.MaxHold(m.cfg.LeaseTTL)+100*time.Millisecond)
	}
}

// TestUnansweredGrantOfAPredecessor guards against keys that another upstream gets while a grant of
// an earlier granter, of which nobody knows whether it was answered, can still arrive: at an upstream
// that takes grants late, and until the time that the earlier granter has stated.
func TestUnansweredGrantOfAPredecessor(t *testing.T) {
	const late, until = 7 * time.Second, time.Second
	cfg := ownership.DefaultConfig(1 << 16)
	hold := cfg.MaxHold(cfg.LeaseTTL)
	for name, c := range map[string]struct {
		late, inDoubt, want time.Duration
	}{
		"in time":            {0, until + hold, until + hold},
		"late":               {late, until + hold, until + late + hold},
		"stated in doubt":    {0, until + 3*hold, until + 3*hold},
		"released, answered": {0, 0, until + hold},
	} {
		t.Run(name, func(t *testing.T) {
			m := newLateMachine(0, time.Hour)
			predecessor := ownership.Predecessor{Until: until, MaxLeaseTTL: cfg.LeaseTTL, InDoubtUntil: c.inDoubt}
			if c.late > 0 {
				predecessor.Late = map[ownership.Owner]time.Duration{m.a: c.late}
			}
			m.Machine = ownership.New(cfg, 2, []ownership.Entry{{Span: ownership.Span{Last: cfg.Keys - 1}, Owner: m.a, Fence: 7}}, predecessor)
			owner, at := m.nextOwner(t, time.Hour)
			require.Equal(t, m.b, owner)
			require.GreaterOrEqual(t, at, c.want)
			require.LessOrEqual(t, at, c.want+100*time.Millisecond)
		})
	}
}

// TestReleaseIsNoEndOfLateGrants guards against keys that another upstream gets after their owner has
// released them, while a grant of an earlier granter can still arrive there.
func TestReleaseIsNoEndOfLateGrants(t *testing.T) {
	const late = 7 * time.Second
	cfg := ownership.DefaultConfig(1 << 16)
	a, b := ownership.Owner{UpstreamID: "a", Incarnation: 1}, ownership.Owner{UpstreamID: "b", Incarnation: 1}
	m := ownership.New(cfg, 2, []ownership.Entry{{Span: ownership.Span{Last: cfg.Keys - 1}, Owner: a, Fence: 7}}, ownership.Predecessor{
		MaxLeaseTTL: cfg.LeaseTTL, InDoubtUntil: cfg.MaxHold(cfg.LeaseTTL), Late: map[ownership.Owner]time.Duration{a: late},
	})
	m.SetUpstreams([]ownership.Upstream{{Owner: a, Capacity: 1}, {Owner: b, Capacity: 1, MayKeepKeys: true, MayGainKeys: true}})
	for now := 10 * time.Millisecond; now < time.Minute; now += 10 * time.Millisecond {
		for _, action := range m.Tick(now, ownership.Mode{Renew: true, Move: true}) {
			if action.Kind == ownership.Release {
				m.ReleaseDone(now, action, ownership.Accepted, "")
				continue
			}
			require.Equal(t, ownership.Write, action.Kind)
			require.GreaterOrEqual(t, now, late+cfg.MaxHold(cfg.LeaseTTL))
			return
		}
	}
	require.Fail(t, "the keys get no owner")
}

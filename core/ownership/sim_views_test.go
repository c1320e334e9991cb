package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simOlderViews returns a simulation in which upstreams restart often and views are often
// older than the owners.
func simOlderViews(t *testing.T, seed uint64, sameAddress bool) *sim {
	s := newSim(t, seed, 8)
	s.olderViews, s.sameAddress, s.clockStepsBack = true, sameAddress, seed%2 == 1
	for range 40 {
		restarting, unusable := s.upstreams[s.rng.IntN(len(s.upstreams))], s.upstreams[s.rng.IntN(len(s.upstreams))]
		s.at(time.Duration(s.rng.IntN(40))*time.Second, func() { s.crash(restarting, time.Duration(s.rng.IntN(1000))*time.Millisecond) })
		s.at(time.Duration(s.rng.IntN(40))*time.Second, func() {
			s.ageView()
			unusable.draining = true
			s.at(time.Second, func() { unusable.draining = false })
		})
	}
	return s
}

// TestOneOwnerWithOlderViews guards against two owners of a key while the granters' views of
// the upstreams are older than the owners that they read, in takeovers too, and upstreams
// restart, at their address or at another, some with a clock that has stepped back.
func TestOneOwnerWithOlderViews(t *testing.T) {
	for _, sameAddress := range []bool{false, true} {
		for seed := range uint64(40) {
			simOlderViews(t, seed, sameAddress).play()
		}
	}
}

// endOwners ends the spans that are not moving whose owner the view does not have, if ended says so.
func endOwners(m *Machine, now time.Duration, ended func(viewed, owner Owner) bool) {
	for _, e := range m.entries {
		u, exists := m.upstreams[e.Owner.UpstreamID]
		if e.moving || e.writing || !exists || !ended(u.Owner, e.Owner) {
			continue
		}
		e.ownerEnded(now)
		e.target, m.changed = Owner{}, true
		if u.MayKeepKeys {
			e.target = u.Owner
		}
	}
}

// TestBrokenRulesOfViewsAreDetected guards against a simulation that cannot fail: it must
// detect rules that end an owner, or its leases, too early.
func TestBrokenRulesOfViewsAreDetected(t *testing.T) {
	earlier := func(viewed, owner Owner) bool { return owner.follows(viewed) }
	later := func(viewed, owner Owner) bool { return viewed.follows(owner) }
	for name, rule := range map[string]struct {
		ended       func(viewed, owner Owner) bool
		sameAddress bool
	}{
		"an earlier incarnation ends the owner":                      {earlier, false},
		"an earlier incarnation ends the owner, at the same address": {earlier, true},
		"a later incarnation ends the owner's leases":                {later, true},
	} {
		t.Run(name, func(t *testing.T) {
			// Clocks do not step back with even seeds.
			for seed := uint64(0); seed < 40; seed += 2 {
				s := simOlderViews(t, seed, rule.sameAddress)
				s.violations = true
				s.broken = func(m *Machine, now time.Duration) { endOwners(m, now, rule.ended) }
				s.play()
				if s.violation != "" {
					t.Logf("detected: %s", s.violation)
					return
				}
			}
			require.Fail(t, "not detected")
		})
	}
}

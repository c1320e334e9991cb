package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	policyNames    = [...]string{"backoff", "independent", "told", "leased", "owner"}
	rejectionNames = [...]string{"shed", "reset", "silent"}
)

// TestSharing compares the policies, and guards against VMs that overrun an upstream because
// they do not know of each other's requests, and against backpressure that costs callers more
// than it saves. With -v it prints the comparison.
func TestSharing(t *testing.T) {
	for _, p := range []simParams{
		// One hot key, at the sizes of the deployments; then without one, and without keys.
		{vms: 75, upstreams: 60, keyed: true, hot: 0.35},
		{vms: 300, upstreams: 60, keyed: true, hot: 0.35},
		{vms: 75, upstreams: 30, keyed: true},
		{vms: 10, upstreams: 20, keyed: true, hot: 0.35},
		{vms: 1, upstreams: 20, keyed: true, hot: 0.35},
		{vms: 75, upstreams: 30},
		{vms: 1, upstreams: 20},
	} {
		for _, p.load = range []float64{0.6, 0.9, 1.2, 2} {
			for _, p.rejection = range []rejection{sheds, resets, silences} {
				var results [5]simResult
				for _, p.policy = range []policy{backoffOnly, independent, told, leased, queueOwner} {
					if p.policy > told && p.rejection != resets {
						continue // these two hardly meet a full upstream
					}
					r := simulate(p)
					results[p.policy] = r
					n := float64(r.requests)
					t.Logf("keyed=%v hot=%.2f vms=%3d load=%.1f %6s %11s worth=%.3f inTime=%.3f rejected=%.3f used=%.2f busiest=%.2f refused=%.3f failed=%.3f given up=%.4f",
						p.keyed, p.hot, p.vms, p.load, rejectionNames[p.rejection], policyNames[p.policy],
						r.worth(), float64(r.inTime)/n, r.rejectedShare(), r.used, r.busiest, float64(r.refused)/n, float64(r.failed)/n, float64(r.givenUp)/n)
				}
				was, is := results[backoffOnly], results[independent]
				if p.load < 1 {
					// Each of 300 VMs has too few requests for a hot key to learn its share soon.
					limit := 0.05
					if p.vms > 100 {
						limit = 0.75 * was.rejectedShare()
					}
					require.Less(t, is.rejectedShare(), limit, "%+v", p)
					require.Less(t, results[told].rejectedShare(), 0.05, "%+v", p)
					require.Greater(t, results[told].worth(), is.worth()-0.01, "%+v", p)
					require.Less(t, float64(is.givenUp), 0.001*float64(is.requests), "%+v", p)
					require.Greater(t, is.worth(), was.worth()-0.03, "%+v", p)
				}
				if p.load >= 2 && p.rejection == resets {
					require.Less(t, is.failed, was.failed, "%+v", p)
				}
				if p.hot > 0 && p.rejection == resets {
					// At 300 VMs the first two requests of each are most of those in 3 s.
					part := 3.0
					if p.vms > 100 {
						part = 2
					}
					require.Less(t, is.rejectedShare(), was.rejectedShare()/part, "%+v", p)
				}
			}
		}
	}
}

// TestSharingAfterLossOfVMs guards against capacity that stays unused because VMs that were
// lost, and are still counted, had a share of it.
func TestSharingAfterLossOfVMs(t *testing.T) {
	p := simParams{vms: 76, upstreams: 20, load: 1.2, rejection: resets, keyed: true, hot: 0.35, policy: independent}
	all := simulate(p)
	p.lost = 0.5
	require.Greater(t, simulate(p).used, 0.95*all.used)
	p.policy = told
	require.Greater(t, simulate(p).used, 0.95*all.used)
}

// TestHotKeyAt300VMs guards against VMs that overrun the owner of a hot key from its rise on, after
// the loss of the granter that told them of it, and while half of the VMs have no callers.
func TestHotKeyAt300VMs(t *testing.T) {
	for name, change := range map[string]func(*simParams){
		"from the rise on": func(p *simParams) { p.fromStart = true },
		"granter lost":     func(p *simParams) { p.length, p.granterUntil = 10*time.Second, 4*time.Second },
		"VMs lost":         func(p *simParams) { p.lost, p.length = 0.5, 10*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			for _, reject := range []rejection{sheds, resets, silences} {
				p := simParams{vms: 300, upstreams: 60, keyed: true, hot: 0.35, load: 0.6, rejection: reject, policy: independent}
				change(&p)
				was := simulate(p)
				p.policy = told
				is := simulate(p)
				t.Logf("%s: worth=%.3f rejected=%.3f used=%.3f, without the granter %.3f, %.3f, %.3f", rejectionNames[reject],
					is.worth(), is.rejectedShare(), is.used, was.worth(), was.rejectedShare(), was.used)
				require.Less(t, is.rejectedShare(), 0.05)
				require.Less(t, is.rejectedShare(), was.rejectedShare()/2)
				require.Greater(t, is.worth(), was.worth()-0.005)
				require.Greater(t, is.used, 0.95*was.used)
			}
		})
	}
}

package authority

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/lease"
)

// The checks, by a part of the text that they report.
const (
	twoHolders      = "two holders"
	fenceOrder      = "gained fence"
	twoRuns         = "runs on"
	notLinearizable = "not linearizable"
	variantSeeds    = 400
)

// detectingSeed simulates scripts with a broken variant until the wanted check
// reports it, and returns the seed. A report of another check ends only that script.
func detectingSeed(t *testing.T, broken variant, check string) uint64 {
	t.Helper()
	for seed := uint64(1); seed <= variantSeeds; seed++ {
		s := drawScript(randomSource(seed))
		if s.checks != lease.ChecksFence {
			continue
		}
		sim := runScript(s, broken)
		if check == notLinearizable {
			sim.violations = nil
			if len(sim.hist.check()) > 0 {
				return seed
			}
			continue
		}
		for _, p := range sim.violations {
			if strings.Contains(p, check) {
				return seed
			}
		}
	}
	require.Failf(t, "not detected", "%q did not detect the variant in %d seeds", check, variantSeeds)
	return 0
}

// TestBrokenVariantsAreDetected guards against checks that cannot fail: each one must detect
// the broken rules listed for it.
func TestBrokenVariantsAreDetected(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		broken variant
		checks []string
	}{
		{"fencing off", variant{checks: lease.ChecksNone}, []string{twoRuns, notLinearizable}},
		{"lease counted from the ack", variant{leaseFromAck: true}, []string{twoHolders}},
		{"authority without quorum", variant{noQuorum: true}, []string{twoHolders, notLinearizable}},
		{"abstention skipped", variant{noAbstention: true}, []string{twoHolders}},
		{"lost ballots ignored", variant{lostBallotsIgnored: true}, []string{fenceOrder}},
		{"gone member counted in every quorum", variant{goneVotes: true}, []string{twoHolders}},
		{"release to all members", variant{releaseToAll: true}, []string{twoRuns}},
	}
	for _, c := range cases {
		for _, check := range c.checks {
			t.Run(c.name+"/"+check, func(t *testing.T) {
				t.Logf("detected with seed %d", detectingSeed(t, c.broken, check))
			})
		}
	}
}

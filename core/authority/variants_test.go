package authority

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/lease"
)

// The checks, by the text of what they report.
const (
	twoHolders   = "two holders"
	fenceOrder   = "gained fence"
	twoRuns      = "runs on"
	badHistory   = "no explanation"
	variantSeeds = 400
)

// caughtBy plays scripts against a broken variant until the wanted check
// reports it, and returns the seed. Checks that report other consequences
// first end that script only.
func caughtBy(t *testing.T, broken variant, check string) uint64 {
	t.Helper()
	for seed := uint64(1); seed <= variantSeeds; seed++ {
		s := drawScript(source(seed))
		if s.checks != lease.ChecksFence {
			continue
		}
		w := play(s, broken)
		if check == badHistory {
			w.problems = nil
			if len(w.hist.check()) > 0 {
				return seed
			}
			continue
		}
		for _, p := range w.problems {
			if strings.Contains(p, check) {
				return seed
			}
		}
	}
	require.Failf(t, "not caught", "%q did not notice the variant in %d seeds", check, variantSeeds)
	return 0
}

// Each check must notice each broken rule that it stands for. A variant that
// passes would mean that the checks cannot fail.
func TestBrokenVariantsAreCaught(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		broken variant
		checks []string
	}{
		{"fencing off", variant{checks: lease.ChecksNone}, []string{twoRuns, badHistory}},
		{"lease counted from the ack", variant{leaseFromAck: true}, []string{twoHolders}},
		{"authority without quorum", variant{noQuorum: true}, []string{twoHolders, badHistory}},
		{"abstention skipped", variant{noAbstention: true}, []string{twoHolders}},
		{"forgotten ballots ignored", variant{forgetsBallots: true}, []string{fenceOrder}},
		{"gone member counted in every quorum", variant{goneVotes: true}, []string{twoHolders}},
		{"release to all members", variant{releaseToAll: true}, []string{twoRuns}},
	}
	for _, c := range cases {
		for _, check := range c.checks {
			t.Run(c.name+"/"+check, func(t *testing.T) {
				t.Logf("caught with seed %d", caughtBy(t, c.broken, check))
			})
		}
	}
}

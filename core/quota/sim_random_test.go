package quota

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"dandelionhill.dev/api"
)

// fail injects a random failure: granters are lost, partitioned or replaced, again and again, and VMs
// are suspended, restarted, cut off, or lose their power.
func (s *sim) fail() {
	ms := func(from, to int64) time.Duration {
		return (time.Duration(from+s.rng.Int64N(to-from)) * time.Millisecond).Truncate(simStep)
	}
	some := func(part float64, call func(v *simVM)) {
		for _, v := range s.vms {
			if s.rng.Float64() < part {
				call(v)
			}
		}
	}
	replace := func(killed bool) {
		next := s.rng.IntN(len(s.vms))
		for _, g := range s.granters {
			if g.vm == next || s.vms[next].stopped {
				return
			}
		}
		s.replaceGranter(next, ms(50, 1600), ms(100, 3000), killed)
	}
	switch s.rng.IntN(9) {
	case 0:
		s.vms[s.holder.vm].stopped = true
		replace(true)
	case 1:
		replace(false)
	case 2:
		some(0.5, func(v *simVM) { v.side = 1 - v.side })
		replace(false)
	case 3:
		some(1, func(v *simVM) { v.side = 0 })
	case 4:
		some(0.3, func(v *simVM) { v.suspended = s.now + ms(50, 2500) })
	case 5:
		some(0.3, func(v *simVM) { s.restart(v) })
	case 6:
		some(0.8, func(v *simVM) { v.stopped = true })
		replace(true)
		s.at[s.now+ms(100, 900)] = func() {
			some(0.9, func(v *simVM) {
				if v.stopped {
					s.restart(v)
				}
			})
		}
	case 7:
		s.queueing = ms(0, 2000)
	case 8:
		some(0.2, func(v *simVM) { v.earlier = !v.earlier; s.restart(v) })
	}
}

// TestRuleUnderRandomFailures guards against requests beyond the rule after losses in any order, with
// granters that do not know of each other.
func TestRuleUnderRandomFailures(t *testing.T) {
	seeds := 30
	if n, err := strconv.Atoi(os.Getenv("QUOTA_SEEDS")); err == nil {
		seeds = n
	}
	const orders = 4
	for seed := range seeds {
		testRandomFailures(t, seed, seed%orders)
	}
	// A VM that had reported to the new granter went back to an earlier one, and got a share, or tokens.
	testRandomFailures(t, 179, 3)
	testRandomFailures(t, 572, 5)
}

// testRandomFailures plays one seed with an order of the links.
func testRandomFailures(t *testing.T, seed, order int) {
	vms := []int{3, 11, 40}[seed%3]
	t.Run(fmt.Sprint(seed, " ", vms, " ", order), func(t *testing.T) {
		workspaces := simWorkspaces(2.5, map[api.WorkspaceName]Limit{"five": {5, 0}, "forty": {40, 40}, "large": {329, 329}, "steady": {300, 0}})
		workspaces["forty"].skew = 0.5
		s := newSim(t, uint64(seed), vms, workspaces)
		s.order = order
		s.noRosters = seed%5 == 4
		s.at[simFirstFailure] = func() { s.noRosters = false }
		for at := simFirstFailure; at < 14*time.Second; {
			at += time.Duration(50+s.rng.Int64N(1500)) * time.Millisecond
			s.at[at.Truncate(simStep)] = s.fail
		}
		s.run(17 * time.Second)
		s.checkWindows()
	})
}

package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/membership"
	"dandelionhill.dev/core/stall"
)

// TestStalledVMReadsBeforeItSuspectsOthers guards against a VM that takes all others for silent because
// its own process did not run, although their heartbeats have arrived meanwhile.
func TestStalledVMReadsBeforeItSuspectsOthers(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c")
	env.runIntervals(5, env.ids...)
	a := env.vms["a"]
	a.stalls = stall.NewMonitor(env.now)
	states := func() (out []membership.State) {
		for _, vm := range []api.VMID{"b", "c"} {
			out = append(out, a.members.State(vm))
		}
		return out
	}
	tick := func() {
		a.checkStall()
		a.tick()
	}
	tick()
	require.Equal(t, []membership.State{membership.Alive, membership.Alive}, states())

	// The process of a does not run; only b sends heartbeats.
	for range 20 {
		env.now += heartbeatEvery
		env.vms["b"].tick()
	}
	for _, m := range env.queue {
		if m.to == "a" {
			a.HandleMessage(m.from, m.frame)
		}
	}
	tick()
	require.Equal(t, []membership.State{membership.Alive, membership.Alive}, states())
	require.Equal(t, []api.VMID{"b"}, a.members.Reachable(env.now), "c was not heard")
	require.Empty(t, a.events)

	for range int(membership.DefaultConfig().SuspectAfter / tickEvery) {
		env.now += tickEvery
		tick()
	}
	require.Equal(t, []membership.State{membership.Suspect, membership.Suspect}, states(), "both are silent while the process runs")
}

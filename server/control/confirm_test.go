package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/membership"
	"dandelionhill.dev/platform"
)

// TestRestartedVMsDoNotConfirmOlderRevision checks that an accepted revision is not
// reverted during an outage of the store: VMs that lost it in a restart must not
// confirm an older one to a VM that never had it.
func TestRestartedVMsDoNotConfirmOlderRevision(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c", "d", "e")
	env.write(1)
	env.readStore(env.ids...)
	env.runIntervals(5, env.ids...)
	env.write(2)
	env.readStore("a")
	env.runIntervals(2, "a", "b", "c") // d and e are partitioned
	require.True(t, env.progress("a", 2).Accepted)
	// The store is down from here on. b and c restart and reach d and e only.
	env.start("b", "2")
	env.start("c", "2")
	env.runIntervals(20, "b", "c", "d", "e")
	for _, id := range []api.VMID{"b", "c", "d", "e"} {
		serves, revision := env.servesRequests(id)
		require.False(t, serves, "%s uses revision %d although 2 was accepted", id, revision)
	}
	// The accepted revision is restored by a VM that has it.
	env.runIntervals(5, env.ids...)
	for _, id := range env.ids {
		serves, revision := env.servesRequests(id)
		require.True(t, serves, "three of five VMs have all accepted revisions")
		require.Equal(t, uint64(2), revision)
	}
}

// TestRestartedVMServesWithoutStore checks that a restarted VM works during an outage
// of the store if more than half of the VMs have read the store since their start.
func TestRestartedVMServesWithoutStore(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c", "d")
	env.write(1)
	env.readStore(env.ids...)
	env.runIntervals(5, env.ids...)
	env.start("d", "2")
	env.runIntervals(20, env.ids...)
	for _, id := range env.ids {
		serves, revision := env.servesRequests(id)
		require.True(t, serves, id)
		require.Equal(t, uint64(1), revision)
	}
}

// TestGoneVMsDoNotMakeMinorityConfirm checks that accepted revisions are not reverted
// if the VMs that have them are listed as gone during an outage of the store: the
// remaining VMs are no majority of those that accepted the changes.
func TestGoneVMsDoNotMakeMinorityConfirm(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c", "d", "e")
	env.write(1)
	env.readStore(env.ids...)
	env.runIntervals(5, env.ids...)
	env.write(2)
	env.readStore("a")
	env.runIntervals(2, "a", "b", "c")
	require.True(t, env.progress("a", 2).Accepted)
	gone := membership.DefaultConfig().ListLag
	env.runIntervals(int(gone/heartbeatEvery), "d", "e")
	for _, id := range []api.VMID{"d", "e"} {
		env.vms[id].updateFromList([]platform.VM{
			{ID: "a", State: platform.VMGone}, {ID: "b", State: platform.VMGone}, {ID: "c", State: platform.VMGone},
		})
	}
	env.runIntervals(20, "d", "e")
	for _, id := range []api.VMID{"d", "e"} {
		require.True(t, env.vms[id].members.Gone("a"))
		serves, revision := env.servesRequests(id)
		require.False(t, serves, "%s uses revision %d although 2 was accepted", id, revision)
	}
}

// TestConfirmationNeedsMajorityThatReadStore checks that a minority does not confirm
// a configuration, and that a heartbeat of an earlier incarnation does not count for
// a restarted VM.
func TestConfirmationNeedsMajorityThatReadStore(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c", "d", "e")
	env.write(1)
	env.readStore(env.ids...)
	env.runIntervals(5, env.ids...)
	confirmed := func(ids ...api.VMID) bool {
		env.runIntervals(20, ids...)
		serves, _ := env.servesRequests("a")
		return serves
	}
	require.False(t, confirmed("a"), "1 of 5")
	require.False(t, confirmed("a", "b"), "2 of 5")
	require.True(t, confirmed("a", "b", "c"), "3 of 5")
	env.vms["c"].heartbeat(env.now)
	var delayed message
	for _, m := range env.queue {
		if m.to == "a" {
			delayed = m
		}
	}
	env.start("c", "2")
	require.False(t, confirmed("a", "b", "c"), "c has not read the store since its start")
	env.vms["a"].receive(delayed.from, delayed.frame)
	env.vms["a"].tick()
	serves, _ := env.servesRequests("a")
	require.False(t, serves, "the heartbeat is from an earlier process of c")
	env.readStore("c")
	require.True(t, confirmed("a", "b", "c"))
}

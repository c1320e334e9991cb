package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/membership"
	"dandelionhill.dev/platform"
)

// Guards against an accepted revision that reverts during an outage of the store:
// VMs that have restarted and forgotten it must not confirm an older one to a VM
// that missed it.
func TestRestartedVMsDoNotConfirmOlderRevision(t *testing.T) {
	w := newWorld(t, "a", "b", "c", "d", "e")
	w.write(1)
	w.read(w.ids...)
	w.exchange(5, w.ids...)
	w.write(2)
	w.read("a")
	w.exchange(2, "a", "b", "c") // d and e are cut off
	require.True(t, w.progress("a", 2).Accepted)
	// The store is down from here on. b and c restart and hear d and e only.
	w.start("b", "2")
	w.start("c", "2")
	w.exchange(20, "b", "c", "d", "e")
	for _, id := range []api.VMID{"b", "c", "d", "e"} {
		working, revision := w.working(id)
		require.False(t, working, "%s works under revision %d, and 2 was accepted", id, revision)
	}
	// The accepted revision comes back with a VM that knows it.
	w.exchange(5, w.ids...)
	for _, id := range w.ids {
		working, revision := w.working(id)
		require.True(t, working, "three VMs of five remember all accepted revisions")
		require.Equal(t, uint64(2), revision)
	}
}

// Guards against an outage of the store that stops a VM which has restarted, as
// long as more than half of the VMs have read the store since their start.
func TestRestartedVMServesWithoutStore(t *testing.T) {
	w := newWorld(t, "a", "b", "c", "d")
	w.write(1)
	w.read(w.ids...)
	w.exchange(5, w.ids...)
	w.start("d", "2")
	w.exchange(20, w.ids...)
	for _, id := range w.ids {
		working, revision := w.working(id)
		require.True(t, working, id)
		require.Equal(t, uint64(1), revision)
	}
}

// Guards against accepted revisions that revert when the VMs that know them are
// listed as gone during an outage of the store: what is left of the VMs is no
// majority of those by which changes were accepted.
func TestGoneVMsDoNotMakeMinorityConfirm(t *testing.T) {
	w := newWorld(t, "a", "b", "c", "d", "e")
	w.write(1)
	w.read(w.ids...)
	w.exchange(5, w.ids...)
	w.write(2)
	w.read("a")
	w.exchange(2, "a", "b", "c")
	require.True(t, w.progress("a", 2).Accepted)
	gone := membership.DefaultConfig().ListLag
	w.exchange(int(gone/heartbeatEvery), "d", "e")
	for _, id := range []api.VMID{"d", "e"} {
		w.vms[id].listed([]platform.VM{
			{ID: "a", State: platform.VMGone}, {ID: "b", State: platform.VMGone}, {ID: "c", State: platform.VMGone},
		})
	}
	w.exchange(20, "d", "e")
	for _, id := range []api.VMID{"d", "e"} {
		require.True(t, w.vms[id].members.Gone("a"))
		working, revision := w.working(id)
		require.False(t, working, "%s works under revision %d, and 2 was accepted", id, revision)
	}
}

// Guards against a minority that takes itself for the whole system, and against a
// heartbeat of a former process that vouches for a VM which has restarted.
func TestConfirmationNeedsMajorityThatReadStore(t *testing.T) {
	w := newWorld(t, "a", "b", "c", "d", "e")
	w.write(1)
	w.read(w.ids...)
	w.exchange(5, w.ids...)
	confirmed := func(ids ...api.VMID) bool {
		w.exchange(20, ids...)
		working, _ := w.working("a")
		return working
	}
	require.False(t, confirmed("a"), "1 of 5")
	require.False(t, confirmed("a", "b"), "2 of 5")
	require.True(t, confirmed("a", "b", "c"), "3 of 5")
	w.vms["c"].heartbeat(w.now)
	var delayed message
	for _, m := range w.queue {
		if m.to == "a" {
			delayed = m
		}
	}
	w.start("c", "2")
	require.False(t, confirmed("a", "b", "c"), "c has not read the store since its start")
	w.vms["a"].receive(delayed.from, delayed.frame)
	w.vms["a"].tick()
	working, _ := w.working("a")
	require.False(t, working, "the heartbeat is from the former process of c")
	w.read("c")
	require.True(t, confirmed("a", "b", "c"))
}

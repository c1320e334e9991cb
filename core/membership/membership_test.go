package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

const ms = time.Millisecond

// sendHeartbeats delivers a heartbeat of b every 200 ms in [from, to].
func sendHeartbeats(t *Table, from, to time.Duration, hb Heartbeat) {
	for at := from; at <= to; at += 200 * ms {
		t.HandleHeartbeat(at, hb)
	}
}

func stateAt(t *Table, now time.Duration, vm api.VMID) State {
	t.Tick(now)
	return t.State(vm)
}

// TestSilentVMBecomesSuspectThenDead guards against detection times other than those of
// section 6.
func TestSilentVMBecomesSuspectThenDead(t *testing.T) {
	table := New("a", DefaultConfig(), []api.VMID{"b"})
	table.HandleHeartbeat(0, Heartbeat{From: "b", Incarnation: "1"})
	require.Equal(t, []Change{{VM: "b", Incarnation: "1", From: Suspect, To: Alive}}, table.Tick(0))
	require.Equal(t, Alive, stateAt(table, 999*ms, "b"))
	require.Equal(t, Suspect, stateAt(table, 1000*ms, "b"))
	require.Equal(t, Suspect, stateAt(table, 2999*ms, "b"))
	require.Equal(t, []Change{{VM: "b", Incarnation: "1", From: Suspect, To: Dead}}, table.Tick(3000*ms))
	require.False(t, table.Gone("b"), "missing heartbeats do not make a VM gone")
}

// TestRecoveryNeedsConsecutiveHeartbeats guards against flapping when most heartbeats of a VM
// are lost.
func TestRecoveryNeedsConsecutiveHeartbeats(t *testing.T) {
	table := New("a", DefaultConfig(), nil)
	hb := Heartbeat{From: "b", Incarnation: "1"}
	table.HandleHeartbeat(0, hb)
	require.Equal(t, Suspect, stateAt(table, 1500*ms, "b"))
	for at := 1600 * ms; at < 5000*ms; at += 400 * ms { // every second one is lost
		table.HandleHeartbeat(at, hb)
		require.Equal(t, Suspect, table.State("b"), "at %v", at)
	}
	sendHeartbeats(table, 5200*ms, 5400*ms, hb)
	require.Equal(t, Suspect, table.State("b"))
	table.HandleHeartbeat(5600*ms, hb)
	require.Equal(t, Alive, table.State("b"))
}

// TestStallOfThisProcess guards against VMs that are suspected or taken for dead because this process
// did not run, and against a stall that makes a VM count as heard or keeps a silent one alive.
func TestStallOfThisProcess(t *testing.T) {
	table := New("a", DefaultConfig(), []api.VMID{"b", "c"})
	hb := Heartbeat{From: "b", Incarnation: "1"}
	table.HandleHeartbeat(0, hb)
	table.Stalled(5100*ms, 5000*ms)
	require.Equal(t, Alive, stateAt(table, 5999*ms, "b"))
	require.Empty(t, table.Reachable(5999*ms), "it was not heard")
	require.False(t, table.HasMajority(5999*ms))
	require.Equal(t, Suspect, stateAt(table, 6000*ms, "b"))
	require.Equal(t, Dead, stateAt(table, 8000*ms, "b"))

	table = New("a", DefaultConfig(), nil)
	table.HandleHeartbeat(0, hb)
	require.Equal(t, Suspect, stateAt(table, 1500*ms, "b"))
	table.HandleHeartbeat(1600*ms, hb)
	table.HandleHeartbeat(1800*ms, hb)
	table.Stalled(3900*ms, 2000*ms)
	table.HandleHeartbeat(4000*ms, hb)
	require.Equal(t, Alive, stateAt(table, 4000*ms, "b"), "no heartbeat was lost")
	table.Stalled(4000*ms, 2000*ms)
	require.Equal(t, Suspect, stateAt(table, 5000*ms, "b"), "the stall was before its last heartbeat")
}

// TestVMHeardByOthersIsUnreachable guards against treating a VM as dead because of a partition
// between two VMs.
func TestVMHeardByOthersIsUnreachable(t *testing.T) {
	table := New("a", DefaultConfig(), []api.VMID{"b", "c"})
	table.HandleHeartbeat(0, Heartbeat{From: "b", Incarnation: "1"})
	sendHeartbeats(table, 0, 4000*ms, Heartbeat{From: "c", Incarnation: "1", Reachable: []api.VMID{"a", "b"}})
	require.Equal(t, Unreachable, stateAt(table, 4000*ms, "b"))
	require.Equal(t, []api.VMID{"c"}, table.Reachable(4000*ms))
	sendHeartbeats(table, 4200*ms, 6000*ms, Heartbeat{From: "c", Incarnation: "1"})
	require.Equal(t, Dead, stateAt(table, 6000*ms, "b"))
}

// TestGoneHoldsForOneIncarnation guards against counting a VM as gone that is missing from the
// list, and against reviving an incarnation that the list reported as gone.
func TestGoneHoldsForOneIncarnation(t *testing.T) {
	table := New("a", DefaultConfig(), []api.VMID{"b", "c"})
	gone := map[api.VMID]ListState{"b": ListGone}
	sendHeartbeats(table, 0, 20*time.Second, Heartbeat{From: "b", Incarnation: "1"})
	table.UpdateFromList(20*time.Second, gone)
	require.True(t, table.Gone("b"))
	require.Equal(t, Dead, table.State("b"))
	require.False(t, table.Gone("c"))
	table.UpdateFromList(21*time.Second, map[api.VMID]ListState{"b": ListLive})
	sendHeartbeats(table, 21*time.Second, 23*time.Second, Heartbeat{From: "b", Incarnation: "1"})
	require.True(t, table.Gone("b"), "the same incarnation stays gone")
	require.Equal(t, Dead, stateAt(table, 23*time.Second, "b"))

	table.HandleHeartbeat(24*time.Second, Heartbeat{From: "b", Incarnation: "2"})
	require.False(t, table.Gone("b"))
	require.Equal(t, Alive, table.State("b"))
	table.HandleHeartbeat(24*time.Second, Heartbeat{From: "b", Incarnation: "1"})
	require.Equal(t, api.Incarnation("2"), table.Incarnation("b"), "a delayed heartbeat does not restore the old incarnation")
}

// TestLaggingListDoesNotMarkNewIncarnationGone guards against marking a new incarnation as
// gone when a lagging list still reports the former one.
func TestLaggingListDoesNotMarkNewIncarnationGone(t *testing.T) {
	gone := map[api.VMID]ListState{"b": ListGone}
	table := New("a", DefaultConfig(), nil)
	sendHeartbeats(table, 0, 20*time.Second, Heartbeat{From: "b", Incarnation: "1"})
	sendHeartbeats(table, 22*time.Second, 60*time.Second, Heartbeat{From: "b", Incarnation: "2"})
	table.UpdateFromList(25*time.Second, gone)
	require.False(t, table.Gone("b"), "the report may refer to incarnation 1")

	table = New("a", DefaultConfig(), nil)
	table.UpdateFromList(0, gone)
	require.True(t, table.Gone("b"))
	sendHeartbeats(table, time.Second, 60*time.Second, Heartbeat{From: "b", Incarnation: "2"})
	table.UpdateFromList(60*time.Second, gone)
	require.False(t, table.Gone("b"), "the report is older than the incarnation, whose heartbeats still arrive")
	table.UpdateFromList(69*time.Second, gone)
	require.False(t, table.Gone("b"))
	table.UpdateFromList(70*time.Second, gone)
	require.True(t, table.Gone("b"), "the report is later than the last heartbeat")
}

// TestLeaving guards against work being sent to a VM that is about to stop.
func TestLeaving(t *testing.T) {
	table := New("a", DefaultConfig(), []api.VMID{"b", "c"})
	table.HandleHeartbeat(0, Heartbeat{From: "b", Incarnation: "1", Leaving: true})
	require.Equal(t, Leaving, table.State("b"))
	table.HandleHeartbeat(0, Heartbeat{From: "c", Incarnation: "1"})
	table.UpdateFromList(100*ms, map[api.VMID]ListState{"c": ListLeaving})
	require.Equal(t, Leaving, stateAt(table, 100*ms, "c"))
	table.HandleHeartbeat(200*ms, Heartbeat{From: "c", Incarnation: "2"})
	require.Equal(t, Alive, table.State("c"), "the list refers to incarnation 1")
	require.Equal(t, Dead, stateAt(table, 4000*ms, "b"))
}

// TestMajority guards against a partitioned minority that counts as a majority.
func TestMajority(t *testing.T) {
	table := New("a", DefaultConfig(), []api.VMID{"b", "c", "d", "e"})
	require.False(t, table.HasMajority(0), "no heartbeat has arrived yet")
	table.HandleHeartbeat(0, Heartbeat{From: "b", Incarnation: "1"})
	require.False(t, table.HasMajority(0), "2 of 5")
	table.HandleHeartbeat(0, Heartbeat{From: "c", Incarnation: "1"})
	require.True(t, table.HasMajority(0), "3 of 5")
	table.Tick(10 * time.Second)
	require.False(t, table.HasMajority(10*time.Second), "dead VMs are still known")
	table.UpdateFromList(10*time.Second, map[api.VMID]ListState{"b": ListGone, "c": ListGone, "d": ListGone, "e": ListGone})
	require.True(t, table.HasMajority(10*time.Second), "gone VMs are not")
}

// TestDelayedHeartbeatDoesNotReplaceNewIncarnation guards against a VM that stays dead for ever,
// because a delayed heartbeat of its former incarnation, which this VM did not know, is taken
// for a newer one, and the present one for the former.
func TestDelayedHeartbeatDoesNotReplaceNewIncarnation(t *testing.T) {
	cfg := DefaultConfig()
	table := New("a", cfg, []api.VMID{"b"})
	hear := func(from, until time.Duration, incarnation api.Incarnation) {
		for now := from; now < until; now += cfg.HeartbeatEvery {
			table.HandleHeartbeat(now, Heartbeat{From: "b", Incarnation: incarnation})
			table.Tick(now)
		}
	}
	hear(0, time.Second, "2")
	table.HandleHeartbeat(time.Second, Heartbeat{From: "b", Incarnation: "1"})
	hear(time.Second, 5*time.Second, "2")
	require.Equal(t, Alive, table.State("b"))
	require.EqualValues(t, "2", table.Incarnation("b"))
	table.HandleHeartbeat(5*time.Second, Heartbeat{From: "b", Incarnation: "1"})
	require.EqualValues(t, "2", table.Incarnation("b"))
}

// TestBurstOfDelayedHeartbeatsRevivesNoIncarnation guards against a dead VM that counts as
// alive again, because the network delivers many heartbeats of a former incarnation at once.
func TestBurstOfDelayedHeartbeatsRevivesNoIncarnation(t *testing.T) {
	cfg := DefaultConfig()
	table := New("a", cfg, []api.VMID{"b"})
	table.HandleHeartbeat(0, Heartbeat{From: "b", Incarnation: "1"})
	table.HandleHeartbeat(time.Second, Heartbeat{From: "b", Incarnation: "2"})
	for i := range 50 {
		now := 5*time.Second + time.Duration(i)*10*time.Millisecond
		table.HandleHeartbeat(now, Heartbeat{From: "b", Incarnation: "1"})
		table.Tick(now)
		require.Equal(t, Dead, table.State("b"))
		require.EqualValues(t, "2", table.Incarnation("b"))
	}
}

package membership

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionhill.dev/api"
)

// TestMain fixes the seed of the property tests, so that every run gives the
// same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// record is the history of a VM in the property test.
type record struct {
	incarnation      api.Incarnation
	lastHeard        time.Duration
	everHeard        bool
	listedGone       bool
	goneIncarnations map[api.Incarnation]bool
	consecutive      int // heartbeats with gaps below two intervals
}

// TestPropertyStatesFollowFromEvents guards against states that contradict the heartbeats and
// list readings, in any order of heartbeats, restarts and readings.
func TestPropertyStatesFollowFromEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []api.VMID{"b", "c", "d", "e"}
		cfg := DefaultConfig()
		table := New("a", cfg, vms)
		records := map[api.VMID]*record{}
		for _, vm := range vms {
			records[vm] = &record{incarnation: "x", goneIncarnations: map[api.Incarnation]bool{}}
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now += time.Duration(rapid.SampledFrom([]int{0, 50, 100, 200, 400, 900, 3000}).Draw(t, "ms")) * time.Millisecond
			vm := rapid.SampledFrom(vms).Draw(t, "vm")
			r := records[vm]
			switch rapid.SampledFrom([]string{"heard", "heard", "heard", "heard", "restart", "list", "tick"}).Draw(t, "event") {
			case "restart":
				r.incarnation += "x"
				r.consecutive = 0
				fallthrough
			case "heard":
				if r.everHeard && now-r.lastHeard >= 2*cfg.HeartbeatEvery {
					r.consecutive = 0
				}
				r.consecutive++
				r.lastHeard, r.everHeard = now, true
				table.HandleHeartbeat(now, Heartbeat{From: vm, Incarnation: r.incarnation, Reachable: vms[:rapid.IntRange(0, 4).Draw(t, "hears")]})
				require.Equal(t, r.incarnation, table.Incarnation(vm))
				if r.consecutive >= cfg.RecoverAfter && !table.Gone(vm) {
					require.Equal(t, Alive, table.State(vm), "after %d consecutive heartbeats", r.consecutive)
				}
			case "list":
				state := rapid.SampledFrom([]ListState{ListLive, ListGone}).Draw(t, "listed")
				r.listedGone = r.listedGone || state == ListGone
				table.UpdateFromList(now, map[api.VMID]ListState{vm: state})
			}
			if rapid.Bool().Draw(t, "update") {
				for _, c := range table.Tick(now) {
					require.NotEqual(t, c.From, c.To)
					require.Equal(t, c.To, table.State(c.VM))
				}
				checkStates(t, table, now, cfg, records)
			}
		}
	})
}

func checkStates(t *rapid.T, table *Table, now time.Duration, cfg Config, seen map[api.VMID]*record) {
	known, reachableCount := 1, 1
	reachable := table.Reachable(now)
	require.True(t, slices.IsSorted(reachable))
	for vm, r := range seen {
		if table.Gone(vm) {
			require.True(t, r.listedGone, "%s was never listed as gone", vm)
			require.Equal(t, Dead, table.State(vm))
			require.NotContains(t, reachable, vm)
			if r.everHeard { // otherwise the report refers to an unknown incarnation
				r.goneIncarnations[r.incarnation] = true
			}
			continue
		}
		require.False(t, r.everHeard && r.goneIncarnations[r.incarnation], "%s returned as the same incarnation", vm)
		known++
		fresh := r.everHeard && now-r.lastHeard < cfg.SuspectAfter
		require.Equal(t, fresh, slices.Contains(reachable, vm))
		if fresh {
			reachableCount++
		}
		switch state := table.State(vm); state {
		case Alive:
			require.True(t, fresh)
		case Dead:
			require.GreaterOrEqual(t, now-r.lastHeard, cfg.DeadAfter)
		case Unreachable:
			require.False(t, fresh)
		default:
			require.Equal(t, Suspect, state)
			require.Less(t, now-r.lastHeard, cfg.DeadAfter)
		}
	}
	require.Equal(t, 2*reachableCount > known, table.HasMajority(now))
}

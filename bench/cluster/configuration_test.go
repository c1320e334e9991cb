package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/history"
	"dandelionhill.dev/bench/operators"
	"dandelionhill.dev/fakes/table"
)

// runOperators runs operators through all VMs while the steps inject faults, and checks
// that no configuration reverted and no accepted change was lost.
func (f *faultRun) runOperators(changes int, steps ...func() error) *history.Configuration {
	f.t.Helper()
	o := operators.Options{
		VMs: map[api.VMID]operators.VM{}, Table: f.Table, Operators: 4, Changes: changes,
		CallInterval: 5 * time.Millisecond, RetryAfter: 20 * time.Millisecond, Faults: steps, Seed: faultSeed,
	}
	for _, vm := range f.VMs {
		o.VMs[vm.Settings.VM] = vm
		o.VMOrder = append(o.VMOrder, vm.Settings.VM)
	}
	h, err := operators.Run(f.ctx, o)
	require.NoError(f.t, err)
	require.Empty(f.t, history.Reversions(h))
	require.Empty(f.t, history.LostChanges(h))
	require.Equal(f.t, porcupine.Ok, history.CheckConfiguration(h))
	return h
}

// TestConfigurationNeverReverts guards against a configuration that reverts on a VM, and
// against accepted changes that are lost, when operators make concurrent changes through
// different VMs while the store drops responses, serves stale reads or is down, and VMs are
// killed and restarted, with and without the store.
func TestConfigurationNeverReverts(t *testing.T) {
	f := startFaultRun(t, nil)
	var cancel context.CancelFunc
	f.ctx, cancel = context.WithTimeout(context.Background(), 2*testTimeout) // this run has more steps than the others
	defer cancel()
	faults := func(faults table.Faults) func() error {
		return func() error { f.Table.SetFaults(faults); return nil }
	}
	kill := func(i int) func() error {
		return func() error { f.VMs[i].Kill(); return nil }
	}
	h := f.runOperators(45,
		faults(table.Faults{DropResponses: 3}),
		kill(0),
		faults(table.Faults{StaleReads: true, DropResponses: 2}),
		f.VMs[0].Start,
		kill(1),
		kill(2),
		faults(table.Faults{Down: true}),
		f.VMs[1].Start,
		faults(table.Faults{StaleReads: true}),
		f.VMs[2].Start,
		faults(table.Faults{Down: true}),
		kill(3),
		f.VMs[3].Start,
		faults(table.Faults{DropResponses: 5}),
		faults(table.Faults{}),
	)
	results := map[history.Result]int{}
	inForce := 0
	for _, c := range h.Changes {
		results[c.Result]++
		if c.InForce > 0 {
			inForce++
		}
	}
	require.NotZero(t, results[history.Accepted], "%v", results)
	require.NotZero(t, results[history.Conflict], "%v", results)
	require.NotZero(t, results[history.NoAnswer], "%v", results)
	require.NotZero(t, inForce)
	t.Logf("%v, %d reported in force, %d observations", results, inForce, len(h.Observations))
	f.check()
}

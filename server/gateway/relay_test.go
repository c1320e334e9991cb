package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// TestRelay guards against entries that a VM misses when it changes between its
// own feed and the granter's, or when the granter's feed starts again.
func TestRelay(t *testing.T) {
	row := func(version int64) fleet.Row { return fleet.Row{Key: "u", Version: version} }
	var granter, vm relay
	granter.read([]fleet.Row{row(3)}, 5, true)
	vm.read(nil, 4, true)
	_, _, to := granter.since(vm.version())
	require.Zero(t, to, "the granter does not know what changed between 4 and 5")
	require.Empty(t, vm.relayed(update{RowsFrom: 5, RowsTo: 5}))
	_, ok := vm.covered()
	require.False(t, ok, "the VM keeps its own feed")

	vm.read([]fleet.Row{row(6)}, 6, false)
	granter.read([]fleet.Row{row(6), row(8)}, 8, false)
	rows, from, to := granter.since(5)
	require.Len(t, rows, 2)
	require.Equal(t, []fleet.Row{row(8)}, vm.relayed(update{Rows: rows, RowsFrom: from, RowsTo: to}))
	version, ok := vm.covered()
	require.True(t, ok)
	require.Equal(t, int64(8), version)

	granter.lost()
	_, _, to = granter.since(8)
	require.Zero(t, to, "nothing is passed on while the feed fails")
	granter.read(nil, 20, true)
	_, _, to = granter.since(8)
	require.Zero(t, to, "changes between 8 and 20 are not known")
	vm.read(nil, 21, false)
	rows, from, to = granter.since(vm.version())
	require.Equal(t, []int64{21, 20}, []int64{from, to})
	require.Empty(t, vm.relayed(update{Rows: rows, RowsFrom: from, RowsTo: to}))
	version, ok = vm.covered()
	require.True(t, ok)
	require.Equal(t, int64(21), version)
}

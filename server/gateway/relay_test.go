package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// TestRelay guards against registrations that a VM misses when it switches between its
// own feed and the granter's, or when the granter's feed restarts.
func TestRelay(t *testing.T) {
	row := func(version int64) fleet.Row { return fleet.Row{Key: "u", Version: version} }
	var granter, vm relay
	granter.recordFeed([]fleet.Row{row(3)}, 5, true)
	vm.recordFeed(nil, 4, true)
	_, _, to := granter.since(vm.version())
	require.Zero(t, to, "changes between 4 and 5 are unknown to the granter")
	require.Empty(t, vm.apply(update{RowsFrom: 5, RowsTo: 5}))
	_, ok := vm.active()
	require.False(t, ok, "the VM uses its own feed")

	vm.recordFeed([]fleet.Row{row(6)}, 6, false)
	granter.recordFeed([]fleet.Row{row(6), row(8)}, 8, false)
	rows, from, to := granter.since(5)
	require.Len(t, rows, 2)
	require.Equal(t, []fleet.Row{row(8)}, vm.apply(update{Rows: rows, RowsFrom: from, RowsTo: to}))
	version, ok := vm.active()
	require.True(t, ok)
	require.Equal(t, int64(8), version)

	granter.markFeedFailed()
	_, _, to = granter.since(8)
	require.Zero(t, to, "nothing is relayed while the feed fails")
	granter.recordFeed(nil, 20, true)
	_, _, to = granter.since(8)
	require.Zero(t, to, "changes between 8 and 20 are unknown")
	vm.recordFeed(nil, 21, false)
	rows, from, to = granter.since(vm.version())
	require.Equal(t, []int64{21, 20}, []int64{from, to})
	require.Empty(t, vm.apply(update{Rows: rows, RowsFrom: from, RowsTo: to}))
	version, ok = vm.active()
	require.True(t, ok)
	require.Equal(t, int64(21), version)
}

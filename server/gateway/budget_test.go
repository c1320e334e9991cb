package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/listen"
)

// TestListenerLimits guards against listeners that together use all open files, and against
// settings that are ignored.
func TestListenerLimits(t *testing.T) {
	for _, files := range []int{256, 1024, 3075, 8192} {
		l := Limits{}.listeners(144, files)
		sum := l.callers.Connections + l.peers.Connections + l.health.Connections + l.metrics.Connections
		require.LessOrEqual(t, sum, files*3/4, "%d files", files)
		require.Less(t, l.callers.PerAddress, l.callers.Connections)
	}
	smallest := Limits{}.listeners(144, 3075)
	require.Greater(t, smallest.callers.PerAddress, 400, "hundreds of callers may share an address")
	require.Greater(t, smallest.peers.Connections, 2*300, "a granter of 300 VMs")
	require.Greater(t, buffers.NewBudget(Limits{}.buffersBytes(144)).LargestBody(), int64(64<<20))

	set, err := ParseSettings("set", []byte(goodSettings[:len(goodSettings)-1]+`, "limits": {"caller_connections": 50, "peer_connections": 40,
		"health_connections": 30, "metrics_connections": 20, "connections_per_address": 10, "heads_kb": 9, "min_rate": 8, "min_rate_window": "7s",
		"messages_mb": 3, "messages": 2, "messages_per_connection": 1}}`))
	require.NoError(t, err)
	l := set.Limits.listeners(set.MemoryMB, 3075)
	require.Equal(t, []int{50, 40, 30, 20, 10}, []int{l.callers.Connections, l.peers.Connections, l.health.Connections, l.metrics.Connections, l.callers.PerAddress})
	require.Equal(t, int64(9<<10), l.callers.HeadBytes)
	messages := set.Limits.messages(set.MemoryMB)
	require.Equal(t, []int64{3 << 20, 2, 1}, []int64{messages.Bytes, int64(messages.Count), int64(messages.ConnectionCount)})
	defaults := Limits{}.messages(set.MemoryMB)
	require.Equal(t, Limits{}.buffersBytes(set.MemoryMB)/2, defaults.Bytes)
	require.Less(t, defaults.ConnectionBytes, defaults.Bytes)
	for _, limits := range []listen.Limits{l.callers, l.peers, l.health, l.metrics} {
		require.InDelta(t, 8, limits.Progress.MinRate, 0)
		require.Equal(t, 7*time.Second, limits.Progress.Window)
	}
}

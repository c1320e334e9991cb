package api

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProtocolPage guards against docs/protocol.md listing another status or outcome
// than the code.
func TestProtocolPage(t *testing.T) {
	page, err := os.ReadFile("../docs/protocol.md")
	require.NoError(t, err)
	require.NotEmpty(t, Kinds())
	for _, kind := range Kinds() {
		r := Refuse(kind, "")
		require.NotEmpty(t, r.Remedy, kind)
		require.Contains(t, string(page), fmt.Sprintf("| `%s` | %d | %s |", kind, r.Status(), r.Outcome))
	}
}

// TestShardID guards against parsing a shard ID wrongly or accepting a malformed one.
func TestShardID(t *testing.T) {
	id, err := ParseShardID("foglalas/3")
	require.NoError(t, err)
	require.Equal(t, ShardID{Service: "foglalas", Index: 3}, id)
	for _, bad := range []string{"", "foglalas", "/3", "foglalas/-1", "foglalas/x"} {
		_, err := ParseShardID(bad)
		require.Error(t, err, bad)
	}
}

// TestFenceOrder guards against a later holder that gets a lower fence.
func TestFenceOrder(t *testing.T) {
	require.Less(t, NewFence(1, 5), NewFence(1, 6))
	require.Less(t, NewFence(1, 1<<ballotBits-1), NewFence(2, 0))
	require.Equal(t, uint64(7), NewFence(7, 9).Version())
	require.Equal(t, uint64(9), NewFence(7, 9).Ballot())
}

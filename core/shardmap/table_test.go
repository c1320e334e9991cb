package shardmap

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
)

func testShards() []placement.Shard {
	return []placement.Shard{{First: 0, Last: 99}, {First: 100, Last: 255}}
}

// TestKeysGoToRangesAndShards guards against ranges of unequal size, and against a
// hot key that changes its shard.
func TestKeysGoToRangesAndShards(t *testing.T) {
	plain := New("s", 256, testShards(), nil)
	hot := New("s", 256, testShards(), map[string]int{"k7": 256, "k8": 3})
	counts := make([]int, 256)
	for i := range 100_000 {
		key := fmt.Sprintf("k%d", i)
		keyRange, shard, ok := plain.ByKey(key)
		require.True(t, ok)
		require.Equal(t, keyRange >= 100, shard.Index == 1)
		counts[keyRange]++
		hotRange, hotShard, ok := hot.ByKey(key)
		require.True(t, ok)
		require.Equal(t, shard, hotShard)
		if key == "k7" {
			keyRange = 256
		}
		require.Equal(t, keyRange, hotRange)
	}
	for _, n := range counts {
		require.InDelta(t, 100_000.0/256, n, 120, "six standard deviations")
	}
	for _, absent := range []int{-1, 256, 1000} {
		_, ok := plain.Shard(absent)
		require.False(t, ok)
	}
	_, ok := New("s", 256, nil, nil).ByFingerprint(1)
	require.False(t, ok)
}

// TestFingerprintSeparatesParts guards against equal fingerprints of different
// requests whose parts concatenate to the same bytes.
func TestFingerprintSeparatesParts(t *testing.T) {
	seen := map[uint64]string{}
	for _, r := range [][4]string{
		{"s", "GET", "/a", "b"},
		{"s", "GET", "/ab", ""},
		{"s", "GET/", "ab", ""},
		{"sG", "ET", "/a", "b"},
		{"s", "GET", "", "/ab"},
		{"s", "PUT", "/a", "b"},
		{"s", "GET", "/a", "b\x00"},
	} {
		f := Fingerprint(api.ServiceName(r[0]), r[1], r[2], []byte(r[3]))
		require.Equal(t, f, Fingerprint(api.ServiceName(r[0]), r[1], r[2], []byte(r[3])))
		require.NotContains(t, seen, f, "%v and %v", r, seen[f])
		seen[f] = fmt.Sprint(r)
	}
}

// TestHighestFenceWins guards against routing to a former holder.
func TestHighestFenceWins(t *testing.T) {
	s := api.ShardID{Service: "s"}
	claim := func(version, ballot uint64) map[api.ShardID]api.Fence {
		return map[api.ShardID]api.Fence{s: api.NewFence(version, ballot)}
	}
	h := NewHolders(DefaultClaimExpiry)
	expect := func(now time.Duration, want api.VMID) {
		t.Helper()
		got, _, ok := h.Holder(now, s)
		require.Equal(t, want != "", ok)
		require.Equal(t, want, got)
	}
	expect(0, "")
	h.RecordClaims(0, "a", claim(1, 1))
	expect(0, "a")
	h.RecordClaims(time.Second, "b", claim(1, 2))
	h.RecordClaims(time.Second, "a", claim(1, 1))
	expect(time.Second, "b")
	h.RecordClaims(2*time.Second, "c", claim(2, 1))
	h.RecordClaims(2*time.Second, "b", nil)
	expect(2*time.Second, "c")
	h.RecordClaims(3*time.Second, "c", nil)
	expect(3*time.Second, "")
	h.RecordClaims(3*time.Second, "a", claim(1, 1))
	expect(3*time.Second, "")
	h.RecordClaims(5*time.Second, "a", claim(1, 1)) // the higher fence was last claimed 3 s ago
	expect(5*time.Second, "a")
	h.Forget("a")
	expect(5*time.Second, "")
	h.RecordClaims(6*time.Second, "a", claim(1, 3))
	expect(8999*time.Millisecond, "a")
	expect(9*time.Second, "")
}

package shardmap

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
)

// TestMain fixes the seed of the property tests, so that each run gives the same
// result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestPropertyEveryRequestHasOneShard guards against hashes outside all ranges,
// ranges out of order, and requests without a shard or in the wrong shard.
func TestPropertyEveryRequestHasOneShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ups := make([]placement.Upstream, rapid.IntRange(0, 40).Draw(t, "upstreams"))
		for i := range ups {
			ups[i] = placement.Upstream{ID: api.UpstreamID(fmt.Sprint(i)), Domain: api.FailureDomain(fmt.Sprint(i % 3))}
		}
		ranges := rapid.IntRange(64, 4096).Draw(t, "ranges")
		shards := placement.Shards("s", rapid.IntRange(1, 8).Draw(t, "shards"), ranges, ups)
		hot := map[string]int{"hot": ranges + rapid.IntRange(0, 50).Draw(t, "hot")}
		table := New("s", ranges, shards, hot)
		low, high := rapid.Uint64().Draw(t, "low"), rapid.Uint64().Draw(t, "high")
		low, high = min(low, high), max(low, high)
		require.LessOrEqual(t, rangeOfHash(low, ranges), rangeOfHash(high, ranges))
		require.Equal(t, 0, rangeOfHash(0, ranges))
		require.Equal(t, ranges-1, rangeOfHash(math.MaxUint64, ranges))

		key := rapid.SampledFrom([]string{"hot", "a", "b", "c", "d"}).Draw(t, "key")
		keyRange, shard, ok := table.ByKey(key)
		require.True(t, ok)
		ordinary := RangeOf(key, ranges)
		require.GreaterOrEqual(t, ordinary, shards[shard.Index].First)
		require.LessOrEqual(t, ordinary, shards[shard.Index].Last)
		if key == "hot" {
			ordinary = hot[key]
		}
		require.Equal(t, ordinary, keyRange)
		byID, ok := table.ByRequestID(key)
		require.True(t, ok)
		if key != "hot" {
			require.Equal(t, shard, byID)
		}
		_, ok = table.ByFingerprint(low)
		require.True(t, ok)
	})
}

// TestPropertyHolderHasHighestFence guards against returning a former holder, or
// none although the current one repeats its claim.
func TestPropertyHolderHasHighestFence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shard := api.ShardID{Service: "s"}
		h := NewHolders(DefaultClaimExpiry)
		vms := []api.VMID{"a", "b", "c"}
		claims, latest := map[api.VMID]api.Fence{}, api.Fence(0)
		now, claimed := time.Duration(0), time.Duration(0)
		var holder api.VMID
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			vm := rapid.SampledFrom(vms).Draw(t, "vm")
			if rapid.IntRange(0, 3).Draw(t, "takeover") == 0 {
				latest++
				claims[vm], holder = latest, vm
			}
			held := map[api.ShardID]api.Fence{}
			if fence, has := claims[vm]; has {
				held[shard] = fence
			}
			h.RecordClaims(now, vm, held)
			if vm == holder {
				claimed = now
			}
			got, fence, ok := h.Holder(now, shard)
			if holder != "" && now-claimed < DefaultClaimExpiry {
				require.True(t, ok)
				require.Equal(t, holder, got)
				require.Equal(t, latest, fence)
			}
			if ok {
				require.Equal(t, claims[got], fence)
			}
		}
	})
}

package shardmap

import (
	"fmt"
	"testing"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
)

// BenchmarkKeyed measures the lookup of one key against the number of hot keys with
// a range of their own.
func BenchmarkKeyed(b *testing.B) {
	for _, hotKeys := range []int{0, 10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("hot=%d", hotKeys), func(b *testing.B) {
			hot := map[string]int{}
			for i := range hotKeys {
				hot[fmt.Sprintf("customer/%08d", i)] = 1024 + i
			}
			table := New("s", 1024, testShards(), hot)
			keys := make([]string, 1024)
			for i := range keys {
				keys[i] = fmt.Sprintf("customer/%08d", i*7)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				table.ByKey(keys[i%len(keys)])
			}
		})
	}
}

// BenchmarkShards measures the lookup of one key and its holder against the number of
// shards.
func BenchmarkShards(b *testing.B) {
	for _, count := range []int{4, 40, 400, 4000} {
		b.Run(fmt.Sprintf("shards=%d", count), func(b *testing.B) {
			shards := make([]placement.Shard, count)
			for i := range shards {
				shards[i] = placement.Shard{First: i * 16, Last: i*16 + 15}
			}
			table := New("s", count*16, shards, nil)
			holders := NewHolders(DefaultClaimExpiry)
			for i := range shards {
				shard := api.ShardID{Service: "s", Index: i}
				holders.RecordClaims(0, api.VMID(fmt.Sprint("vm", i)), map[api.ShardID]api.Fence{shard: 1})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				_, shard, _ := table.ByKey(benchKeys[i%len(benchKeys)])
				holders.Holder(time.Second, shard)
			}
		})
	}
}

var benchKeys = func() []string {
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = fmt.Sprintf("customer/%08d", i)
	}
	return keys
}()

// BenchmarkFingerprint measures the fingerprint of one unkeyed request against
// the size of its body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{64, 1024, 16384, 262144} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			body := make([]byte, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				Fingerprint("kiszallitas", "POST", "/dispatch", body)
			}
		})
	}
}

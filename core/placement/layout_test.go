package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestShardsAreStable guards against upstreams that change their shard unnecessarily when the
// list of upstreams changes. TestPropertyShards checks the shards themselves.
func TestShardsAreStable(t *testing.T) {
	home := map[api.UpstreamID]int{}
	for i, s := range Shards("s", 4, 1024, fleet(25, 4)) {
		for _, id := range s.Upstreams {
			home[id] = i
		}
	}
	moved := 0
	for i, s := range Shards("s", 4, 1024, fleet(26, 4)) {
		for _, id := range s.Upstreams {
			if old, known := home[id]; known && old != i {
				moved++
			}
		}
	}
	require.LessOrEqual(t, moved, 6, "a quarter of the upstreams")
	require.Equal(t, []Shard{{First: 0, Last: 1023}}, Shards("s", 4, 1024, nil))
}

// TestReplacement guards against a replacement that is already a member or is in the failure
// domain of another member. TestPropertyMembers checks the members themselves.
func TestReplacement(t *testing.T) {
	var vms []VM
	domain := map[api.VMID]api.FailureDomain{}
	for i := range 12 {
		vm := VM{ID: api.VMID(fmt.Sprintf("vm%02d", i)), Domain: api.FailureDomain(fmt.Sprint(i % 4))}
		vms, domain[vm.ID] = append(vms, vm), vm.Domain
	}
	members := Members(api.ShardID{Service: "s"}, vms)
	vm, ok := Replacement(api.ShardID{Service: "s"}, members, members[1], vms)
	require.True(t, ok)
	require.NotContains(t, members, vm)
	require.NotContains(t, []api.FailureDomain{domain[members[0]], domain[members[2]]}, domain[vm])
	require.Len(t, Members(api.ShardID{Service: "s"}, vms[:2]), 2)
}

// TestHotKeys guards against hot keys that flap between ranges, and against a range number
// that is reused for another key while requests for the former one may be in flight.
func TestHotKeys(t *testing.T) {
	h := NewHotKeys(HotKeyConfig{
		Ranges: 100, SplitShare: 0.1, MergeShare: 0.05, SplitAfter: 2 * time.Second,
		MergeAfter: 30 * time.Second, ReuseAfter: 10 * time.Second, MaxHotKeys: 2,
	})
	var got []HotKeyChange
	at := map[HotKeyChange]time.Duration{}
	for now := time.Duration(0); now <= 60*time.Second; now += time.Second {
		loads := []KeyLoad{{Key: "noisy", Share: 0.05 + 0.1*float64(now/time.Second%2)}, {Key: "calm", Share: 0.09}}
		if now < 10*time.Second {
			loads = append(loads, KeyLoad{Key: "burst", Share: 0.3})
		}
		if now >= 20*time.Second {
			loads = append(loads, KeyLoad{Key: "late", Share: 0.2}, KeyLoad{Key: "third", Share: 0.11})
		}
		for _, c := range h.Observe(now, loads) {
			got = append(got, c)
			at[c] = now
		}
	}
	split, merge := HotKeyChange{Key: "burst", Range: 100, Split: true}, HotKeyChange{Key: "burst", Range: 100}
	late, third := HotKeyChange{Key: "late", Range: 101, Split: true}, HotKeyChange{Key: "third", Range: 102, Split: true}
	require.Equal(t, []HotKeyChange{split, late, merge, third}, got)
	require.Equal(t, map[HotKeyChange]time.Duration{
		split: 2 * time.Second, late: 22 * time.Second, merge: 40 * time.Second, third: 40 * time.Second,
	}, at)
	require.Equal(t, map[string]int{"late": 101, "third": 102}, h.Ranges())
}

// TestHotKeysOfShardsUseDifferentRanges guards against two shards that assign one range number
// to different keys.
func TestHotKeysOfShardsUseDifferentRanges(t *testing.T) {
	owner := map[int]int{}
	for shard := range 3 {
		h := NewHotKeys(HotKeyConfig{Ranges: 100, Shard: shard, Shards: 3, SplitShare: 0.1, MaxHotKeys: 4})
		h.Restore(0, map[string]int{"kept": 103 + shard, "foreign": 104 + shard, "ordinary": shard})
		for _, c := range h.Observe(0, []KeyLoad{{Key: "kept", Share: 1}, {Key: "a", Share: 1}, {Key: "b", Share: 1}}) {
			require.True(t, c.Split)
		}
		require.Len(t, h.Ranges(), 3)
		for _, id := range h.Ranges() {
			require.Equal(t, shard, (id-100)%3)
			owner[id]++
		}
	}
	require.Len(t, owner, 9)
}

// TestFitsWithoutLargestDomain guards against a preset whose reserve for the loss of a failure
// domain does not exist.
func TestFitsWithoutLargestDomain(t *testing.T) {
	ups := fleet(5, 2) // 30 and 20
	require.True(t, FitsWithoutLargestDomain(ups, 20))
	require.False(t, FitsWithoutLargestDomain(ups, 20.1))
	ups[0].State = Out // 20 and 20
	require.True(t, FitsWithoutLargestDomain(ups, 20))
	ups[1].State, ups[1].Capacity = Cold, 1
	require.True(t, FitsWithoutLargestDomain(ups, 11))
	require.False(t, FitsWithoutLargestDomain(ups, 12))
	require.True(t, FitsWithoutLargestDomain(nil, 0))
}

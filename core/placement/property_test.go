package placement

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionhill.dev/api"
)

// TestMain fixes the seed of the property tests, so that every run gives the
// same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawInput(t *rapid.T) Input {
	ups := fleet(rapid.IntRange(1, 12).Draw(t, "upstreams"), 3)
	in := testInput(rapid.IntRange(1, 80).Draw(t, "ranges"), ups)
	owners := []api.UpstreamID{"", "removed"}
	for i := range ups {
		ups[i].State = rapid.SampledFrom([]UpstreamState{Active, Active, Active, Draining, Out, Lost, Cold}).Draw(t, "state")
		ups[i].Capacity = rapid.Float64Range(0.5, 20).Draw(t, "capacity")
		in.Pinned[ups[i].ID] = rapid.IntRange(0, 9).Draw(t, "pinned") == 0
		owners = append(owners, ups[i].ID)
	}
	for r := range in.Owners {
		in.Owners[r] = ""
	}
	for r := range len(in.Owners) {
		in.Owners[r] = rapid.SampledFrom(owners).Draw(t, "owner")
		in.Load[r] = rapid.SampledFrom([]float64{0, 0.01, 0.2, 1, 3}).Draw(t, "load")
	}
	return in
}

// TestPropertyForcedMoves guards against plans that leave a range without a permitted owner,
// force a move away from a pinned or permitted one, move a range twice, or load a cold
// upstream beyond its capacity while an active one exists.
func TestPropertyForcedMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		states, loads := map[api.UpstreamID]Upstream{}, map[api.UpstreamID]float64{}
		var active, cold int
		for _, up := range in.Upstreams {
			states[up.ID] = up
			switch up.State {
			case Active:
				active++
			case Cold:
				cold++
			}
		}
		for r, owner := range in.Owners {
			loads[owner] += in.Load[r]
		}
		permitted := func(owner api.UpstreamID) bool { return in.Pinned[owner] || states[owner].State.mayOwn() }
		var p Planner
		seen := map[int]bool{}
		for _, m := range p.Plan(0, in, Policy{MovesPerSecond: 5}) {
			require.False(t, seen[m.Range], "range %d moved twice", m.Range)
			seen[m.Range] = true
			require.Equal(t, in.Owners[m.Range], m.From)
			require.Equal(t, !permitted(m.From), m.Forced)
			require.False(t, in.Pinned[m.From])
			loads[m.From] -= in.Load[m.Range]
			to := states[m.To]
			require.True(t, to.State.mayOwn())
			if to.State == Cold && active > 0 {
				require.LessOrEqual(t, loads[m.To]+in.Load[m.Range], to.Capacity+1e-9)
			}
			loads[m.To] += in.Load[m.Range]
			in.Owners[m.Range] = m.To
		}
		for r, owner := range in.Owners {
			require.True(t, permitted(owner) || active+cold == 0, "range %d of %q", r, owner)
		}
	})
}

// TestPropertyBalanceMovesSettle guards against balance moves that do not converge, exceed the
// budget, worsen the balance or involve a pinned upstream.
func TestPropertyBalanceMovesSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		capacity := map[api.UpstreamID]float64{}
		for _, up := range in.Upstreams {
			capacity[up.ID] = up.Capacity
		}
		var p Planner
		policy := Policy{RebalanceAbove: 1.15, RebalanceAfter: 3 * time.Second, MovesPerSecond: 4}
		balance, last := 0, time.Duration(0)
		for now := time.Duration(0); now < 300*time.Second; now += time.Second {
			loads := map[api.UpstreamID]float64{}
			for r := range len(in.Owners) {
				loads[in.Owners[r]] += in.Load[r]
			}
			inPlan := 0
			for _, m := range p.Plan(now, in, policy) {
				if !m.Forced {
					require.False(t, in.Pinned[m.From] || in.Pinned[m.To])
					before := loads[m.From] / capacity[m.From]
					require.Less(t, (loads[m.To]+in.Load[m.Range])/capacity[m.To], before)
					inPlan++
					last = now
				}
				loads[m.From] -= in.Load[m.Range]
				loads[m.To] += in.Load[m.Range]
				in.Owners[m.Range] = m.To
			}
			balance += inPlan
			require.LessOrEqual(t, float64(balance), 4+4*now.Seconds())
		}
		require.Less(t, last, 200*time.Second, "still moving ranges after 200 s")
	})
}

// TestPropertyShards guards against shards with gaps, uneven sizes or missing failure domains.
func TestPropertyShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains, shards := rapid.IntRange(1, 5).Draw(t, "domains"), rapid.IntRange(1, 6).Draw(t, "shards")
		ups := fleet(rapid.IntRange(1, 60).Draw(t, "upstreams"), domains)
		ranges := rapid.IntRange(64, 2048).Draw(t, "ranges")
		got := Shards("s", shards, ranges, ups)
		require.Len(t, got, min(shards, len(ups)))
		next, seen := 0, 0
		for _, s := range got {
			require.Equal(t, next, s.First)
			require.GreaterOrEqual(t, s.Last, s.First)
			require.InDelta(t, float64(ranges*len(s.Upstreams))/float64(len(ups)), s.Last-s.First+1, 1)
			require.InDelta(t, float64(len(ups))/float64(len(got)), len(s.Upstreams), 1)
			next, seen = s.Last+1, seen+len(s.Upstreams)
			perDomain := map[int]int{}
			for _, id := range s.Upstreams {
				var n int
				_, err := fmt.Sscanf(string(id), "u%d", &n)
				require.NoError(t, err)
				perDomain[n%domains]++
			}
			for d := range domains {
				size := (len(ups) - d + domains - 1) / domains
				require.InDelta(t, float64(size)/float64(len(got)), perDomain[d], 0.999)
			}
		}
		require.Equal(t, ranges, next)
		require.Equal(t, len(ups), seen)
	})
}

// TestPropertyMembers guards against members of one shard in one failure domain while others
// are available, and against VMs with many more memberships than others, or that hold two
// shards while others hold none.
func TestPropertyMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains, perDomain := rapid.IntRange(3, 5).Draw(t, "domains"), rapid.IntRange(1, 6).Draw(t, "per domain")
		domain := map[api.VMID]api.FailureDomain{}
		var vms []VM
		for i := range domains * perDomain {
			vm := VM{ID: api.VMID(fmt.Sprint("vm", i)), Domain: api.FailureDomain(fmt.Sprint(i % domains))}
			vms, domain[vm.ID] = append(vms, vm), vm.Domain
		}
		ids := make([]api.ShardID, rapid.IntRange(1, 20).Draw(t, "shards"))
		for i := range ids {
			ids[i] = api.ShardID{Service: "s", Index: i}
		}
		memberships, holders := map[api.VMID]int{}, map[api.VMID]int{}
		for i, members := range AllMembers(ids, vms) {
			holders[members[0]]++
			require.Equal(t, members, Members(ids[i], vms))
			inDomain := map[api.FailureDomain]bool{}
			for _, id := range members {
				inDomain[domain[id]] = true
				memberships[id]++
			}
			require.Len(t, inDomain, 3)
		}
		lowest, highest := len(ids), 0
		for _, vm := range vms {
			lowest, highest = min(lowest, memberships[vm.ID]), max(highest, memberships[vm.ID])
		}
		require.LessOrEqual(t, highest-lowest, 2)
		require.Len(t, holders, min(len(ids), len(vms)))
	})
}

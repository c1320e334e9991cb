package holder

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/shardmap"
)

func rangeOfKey(key string) int { return shardmap.RangeOf(key, testRanges) }

const hotKey = "hot"

var hotSeeds = flag.Uint64("hot-seeds", 5, "number of seeds, counted from 1, that TestHotKeysAtRandom runs")

// makeHot sends requests until the key has a range of its own, and further on until
// end is called.
func (env *testEnv) makeHot() (end func(), number int) {
	env.t.Helper()
	env.until("an owner", func() bool { return env.send(env.shard, hotKey) })
	end = env.load(hotKey, 200)
	env.until("a split", func() bool { h := env.hot(hotKey); return h != nil && h.phase == hotActive })
	return end, env.hot(hotKey).number
}

// nonOwner returns an upstream that does not own the range.
func (env *testEnv) nonOwner(rangeNum int) api.UpstreamID {
	for _, u := range env.doc.Services[0].Upstreams {
		if u.ID != env.owner(rangeNum) {
			return u.ID
		}
	}
	return ""
}

// TestHotKeySplitMoveMerge checks that a split leaves the key with its owner, that
// its range moves without its neighbours, that a merge returns it to the ordinary
// range, and that the key never has two owners.
func TestHotKeySplitMoveMerge(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary := rangeOfKey(hotKey)
		env.until("an owner", func() bool { return env.send(env.shard, hotKey) })
		before := env.owner(ordinary)
		end, number := env.makeHot()
		require.GreaterOrEqual(t, number, testRanges)
		require.Equal(t, before, env.owner(number))
		to := env.nonOwner(number)
		env.move(number, to)
		env.until("a move", func() bool { return env.owner(number) == to })
		require.Equal(t, before, env.owner(ordinary))
		time.Sleep(time.Second)
		require.Greater(t, env.runCount(hotKey, number), 100)
		end()
		env.until("a merge", func() bool { return env.hot(hotKey) == nil })
		sent := env.runCount(hotKey, ordinary)
		env.until("a response", func() bool { return env.send(env.shard, hotKey) })
		require.Greater(t, env.runCount(hotKey, ordinary), sent)
		require.Equal(t, before, env.owner(ordinary))
		require.Empty(t, env.shard.assignment().Hot)
	})
}

func (env *testEnv) runCount(key string, rangeNum int) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.served[key][rangeNum]
}

// TestHotKeyWaitsForRunsUnderTheOldNumber checks that the new range is not used
// while requests run under the old one: it could move before they have ended.
func TestHotKeyWaitsForRunsUnderTheOldNumber(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary := rangeOfKey(hotKey)
		env.until("an owner", func() bool { return env.send(env.shard, hotKey) })
		up := env.upstreams[env.owner(ordinary)]
		time.Sleep(2 * time.Second) // longer than the first assignment of all ranges
		up.setServiceTime(300 * time.Millisecond)
		go env.send(env.shard, hotKey)
		time.Sleep(10 * time.Millisecond)
		up.setServiceTime(4 * time.Millisecond)
		s := env.shard
		s.mu.Lock()
		s.hot.observedAt = env.now() + time.Hour // no automatic update of the hot keys
		s.setHotKeys(map[string]int{hotKey: testRanges})
		s.mu.Unlock()
		env.until("a split", func() bool { h := env.hot(hotKey); return h != nil && h.phase == hotActive })
		go env.send(s, hotKey)
		env.move(testRanges, env.nonOwner(ordinary))
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, up.id, env.owner(testRanges), "the run under the old number goes on")
		require.Zero(t, env.runCount(hotKey, testRanges))
		env.until("a move", func() bool { return env.owner(testRanges) != up.id })
		env.until("a run under the new number", func() bool { return env.runCount(hotKey, testRanges) == 1 })
	})
}

// TestOrdinaryRangeMovesDuringSplit checks that the new range follows the ordinary
// one if that moves before the split is complete.
func TestOrdinaryRangeMovesDuringSplit(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary := rangeOfKey(hotKey)
		env.until("an owner", func() bool { return env.send(env.shard, hotKey) })
		time.Sleep(2 * time.Second)
		to, s := env.nonOwner(ordinary), env.shard
		s.mu.Lock()
		s.hot.observedAt = env.now() + time.Hour
		s.setHotKeys(map[string]int{hotKey: testRanges})
		s.mu.Unlock()
		env.move(ordinary, to)
		env.until("a split", func() bool { h := env.hot(hotKey); return h != nil && h.phase == hotActive })
		require.Equal(t, to, env.owner(ordinary))
		require.Equal(t, to, env.owner(testRanges))
		require.True(t, env.send(s, hotKey))
		require.Equal(t, 1, env.runCount(hotKey, testRanges))
	})
}

// TestSuccessorOfHotKey checks that a key never has two owners after a takeover or
// handover, whether the successor knows the hot key, only the ordinary ranges, or
// no assignment.
func TestSuccessorOfHotKey(t *testing.T) {
	for name, knows := range map[string]func(wire.Assign) *wire.Assign{
		"knows_all": fullAssignment, "knows_ordinary_ranges": ordinaryOnly, "knows_nothing": noAssignment,
	} {
		for _, planned := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/planned=%v", name, planned), func(t *testing.T) {
				runWithShard(t, func(env *testEnv) {
					end, number := env.makeHot()
					defer end()
					to := env.nonOwner(number)
					env.move(number, to)
					env.until("a move", func() bool { return env.owner(number) == to })
					time.Sleep(100 * time.Millisecond)
					// The end of this run is not observed: the response is late and the caller leaves.
					env.upstreams[to].setHung(true)
					time.Sleep(50 * time.Millisecond)
					if planned {
						env.handover(knows)
					} else {
						env.takeover(knows)
					}
					env.upstreams[to].setHung(false)
					if name == "knows_all" {
						require.Equal(t, number, env.hot(hotKey).number)
					} else {
						require.Nil(t, env.hot(hotKey))
					}
					env.until("a response", func() bool { return env.send(env.shard, hotKey) })
				})
			})
		}
	}
}

// TestRestoreIgnoresInvalidHotKeys checks that invalid entries of an assignment are
// ignored: an ordinary range, a duplicate range or key, an owner that is not listed.
func TestRestoreIgnoresInvalidHotKeys(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		env.until("an owner", func() bool { return env.send(env.shard, "b") })
		a := wire.Assign{
			Owners: make([]int16, testRanges), Upstreams: []api.UpstreamID{"foglalas-01"}, Hot: []wire.HotRange{
				{Key: "a", Range: 3}, {Key: "b", Range: testRanges, Owner: 7}, {Key: "c", Range: testRanges}, {Key: "b", Range: testRanges + 1},
			},
		}
		env.takeover(func(wire.Assign) *wire.Assign { return &a })
		require.Nil(t, env.hot("a"))
		require.Equal(t, testRanges, env.hot("b").number)
		require.Nil(t, env.hot("c"))
	})
}

// TestNoSplitWithoutChecks checks that no key is split for upstreams that check
// nothing: a successor that does not know of the split could not tell what still runs.
func TestNoSplitWithoutChecks(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		env.doc = env.doc.Clone()
		env.doc.Services[0].UpstreamChecks = config.ChecksNone
		env.shard.Configure(env.doc)
		end := env.load(hotKey, 200)
		time.Sleep(20 * time.Second)
		end()
		require.Greater(t, env.runCount(hotKey, rangeOfKey(hotKey)), 1000)
		require.Nil(t, env.hot(hotKey))
	})
}

// TestHotKeysAtRandom checks that no key has two owners or stays without an owner,
// in random sequences of splits, moves, merges, hangs, takeovers and handovers with
// and without state for the successor.
func TestHotKeysAtRandom(t *testing.T) {
	var splits, merges int
	for seed := uint64(1); seed <= *hotSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runWithShard(t, func(env *testEnv) { runRandom(env, rand.New(rand.NewPCG(seed, 0)), &splits, &merges) })
		})
	}
	t.Logf("%d splits and %d merges seen in %d runs", splits, merges, *hotSeeds)
	require.Greater(t, splits, int(2**hotSeeds), "the runs must contain splits")
	require.Greater(t, merges, int(*hotSeeds), "the runs must contain merges")
}

func runRandom(env *testEnv, rng *rand.Rand, splits, merges *int) {
	keys := []string{"hot", "warm", "mild"}
	loads := map[string]func(){}
	var ids []api.UpstreamID
	for _, u := range env.doc.Services[0].Upstreams {
		ids = append(ids, u.ID)
	}
	env.until("an owner", func() bool { return env.send(env.shard, keys[0]) })
	knowledge := []func(wire.Assign) *wire.Assign{fullAssignment, fullAssignment, ordinaryOnly, noAssignment}
	wasSplit := map[string]bool{}
	for range 150 {
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
		for _, key := range keys {
			h := env.hot(key)
			isSplit := h != nil && h.phase != hotSplitting
			if isSplit && !wasSplit[key] {
				*splits++
			}
			if !isSplit && wasSplit[key] {
				*merges++
			}
			wasSplit[key] = isSplit
		}
		key, up := keys[rng.IntN(len(keys))], env.upstreams[ids[rng.IntN(len(ids))]]
		switch n := rng.IntN(24); {
		case n < 4:
			if end := loads[key]; end != nil {
				end()
				delete(loads, key)
			} else {
				loads[key] = env.load(key, 150)
			}
		case n < 9:
			env.move(rangeOfKey(key), up.id)
		case n < 14:
			if h := env.hot(key); h != nil {
				env.move(h.number, up.id)
			}
		case n < 17:
			up.setHung(true)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			up.setHung(false)
		case n < 18:
			up.setServiceTime(time.Duration(1+rng.IntN(40)) * time.Millisecond)
		case n < 19:
			up.setServiceTime(4 * time.Millisecond)
		case n == 19:
			env.takeover(knowledge[rng.IntN(len(knowledge))])
			clear(wasSplit)
		case n == 20:
			env.handover(knowledge[rng.IntN(len(knowledge))])
			clear(wasSplit)
		}
	}
	for _, end := range loads {
		end()
	}
	for _, key := range keys {
		env.until("a response for "+key, func() bool { return env.send(env.shard, key) })
	}
	env.until("merges", func() bool { return len(env.shard.Status().Assignment.Hot) == 0 })
}

// TestAssignmentCarriesHotKeys checks that the assignment and the status name the
// owner that serves a hot key, and that a VM which does not know the field of hot
// keys can decode the assignment.
func TestAssignmentCarriesHotKeys(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		end, number := env.makeHot()
		defer end()
		a := env.shard.Status().Assignment
		require.Len(t, a.Owners, testRanges)
		require.Len(t, a.Hot, 1)
		require.Equal(t, hotKey, a.Hot[0].Key)
		require.Equal(t, number, a.Hot[0].Range)
		require.Equal(t, env.owner(number), a.Upstreams[a.Hot[0].Owner])
		to := env.nonOwner(number)
		env.move(number, to)
		env.until("a move", func() bool { return env.owner(number) == to })
		status := env.shard.Status()
		owner, why := status.Owner(hotKey, rangeOfKey(hotKey))
		require.Equal(t, to, owner, "operators are told the owner of the key's own range")
		require.Contains(t, why, fmt.Sprint("range ", number))
		owner, _ = status.Owner("another key of the range", rangeOfKey(hotKey))
		require.Equal(t, env.owner(rangeOfKey(hotKey)), owner)
		a = status.Assignment
		data, err := wire.Encode(wire.TypeAssign, 0, a)
		require.NoError(t, err)
		frame, err := wire.Decode(data)
		require.NoError(t, err)
		var earlier struct {
			Upstreams []api.UpstreamID `cbor:"5,keyasint"`
			Owners    []int16          `cbor:"6,keyasint"`
		}
		require.NoError(t, frame.Unpack(&earlier))
		require.Equal(t, a.Owners, earlier.Owners)
		require.True(t, slices.Contains(earlier.Upstreams, env.owner(number)))
	})
}

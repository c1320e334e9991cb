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

// heat sends load until the key has a range of its own.
func (w *world) heat() (end func(), number int) {
	w.t.Helper()
	w.until("an owner", func() bool { return w.send(w.shard, hotKey) })
	end = w.load(hotKey, 200)
	w.until("a split", func() bool { h := w.hot(hotKey); return h != nil && h.phase == hotActive })
	return end, w.hot(hotKey).number
}

// another returns an upstream that does not own the range.
func (w *world) another(rng int) api.UpstreamID {
	for _, u := range w.doc.Services[0].Upstreams {
		if u.ID != w.owner(rng) {
			return u.ID
		}
	}
	return ""
}

// Guards against a split that moves the key, a range that cannot move without
// its neighbours, a merge that leaves the key away from its ordinary range, and
// any moment with two owners in between.
func TestHotKeySplitMoveMerge(t *testing.T) {
	inWorld(t, func(w *world) {
		home := rangeOfKey(hotKey)
		w.until("an owner", func() bool { return w.send(w.shard, hotKey) })
		before := w.owner(home)
		end, number := w.heat()
		require.GreaterOrEqual(t, number, testRanges)
		require.Equal(t, before, w.owner(number))
		to := w.another(number)
		w.move(number, to)
		w.until("a move", func() bool { return w.owner(number) == to })
		require.Equal(t, before, w.owner(home))
		time.Sleep(time.Second)
		require.Greater(t, w.ranFor(hotKey, number), 100)
		end()
		w.until("a merge", func() bool { return w.hot(hotKey) == nil })
		sent := w.ranFor(hotKey, home)
		w.until("an answer", func() bool { return w.send(w.shard, hotKey) })
		require.Greater(t, w.ranFor(hotKey, home), sent)
		require.Equal(t, before, w.owner(home))
		require.Empty(t, w.shard.assignment().Hot)
	})
}

func (w *world) ranFor(key string, rng int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served[key][rng]
}

// Guards against a new number that is used while requests under the old one run:
// the range could leave the upstream before they have ended.
func TestHotKeyWaitsForRunsUnderTheOldNumber(t *testing.T) {
	inWorld(t, func(w *world) {
		home := rangeOfKey(hotKey)
		w.until("an owner", func() bool { return w.send(w.shard, hotKey) })
		up := w.ups[w.owner(home)]
		time.Sleep(2 * time.Second) // past the assignment of all ranges
		up.serveIn(300 * time.Millisecond)
		go w.send(w.shard, hotKey)
		time.Sleep(10 * time.Millisecond)
		up.serveIn(4 * time.Millisecond)
		s := w.shard
		s.mu.Lock()
		s.hot.observed = w.now() + time.Hour // only this test decides
		s.wantHot(map[string]int{hotKey: testRanges})
		s.mu.Unlock()
		w.until("a split", func() bool { h := w.hot(hotKey); return h != nil && h.phase == hotActive })
		go w.send(s, hotKey)
		w.move(testRanges, w.another(home))
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, up.id, w.owner(testRanges), "the run under the old number goes on")
		require.Zero(t, w.ranFor(hotKey, testRanges))
		w.until("a move", func() bool { return w.owner(testRanges) != up.id })
		w.until("a run under the new number", func() bool { return w.ranFor(hotKey, testRanges) == 1 })
	})
}

// Guards against an unused range that stays behind when the ordinary range
// moves before the split is complete.
func TestOrdinaryRangeMovesDuringSplit(t *testing.T) {
	inWorld(t, func(w *world) {
		home := rangeOfKey(hotKey)
		w.until("an owner", func() bool { return w.send(w.shard, hotKey) })
		time.Sleep(2 * time.Second)
		to, s := w.another(home), w.shard
		s.mu.Lock()
		s.hot.observed = w.now() + time.Hour
		s.wantHot(map[string]int{hotKey: testRanges})
		s.mu.Unlock()
		w.move(home, to)
		w.until("a split", func() bool { h := w.hot(hotKey); return h != nil && h.phase == hotActive })
		require.Equal(t, to, w.owner(home))
		require.Equal(t, to, w.owner(testRanges))
		require.True(t, w.send(s, hotKey))
		require.Equal(t, 1, w.ranFor(hotKey, testRanges))
	})
}

// Guards against a takeover or handover that gives the key to a second upstream,
// with a successor that knows the hot key, one that knows only ordinary ranges,
// and one that knows no assignment.
func TestSuccessorOfHotKey(t *testing.T) {
	for name, knows := range map[string]func(wire.Assign) *wire.Assign{
		"knows_all": everything, "knows_ordinary_ranges": ordinaryOnly, "knows_nothing": nothing,
	} {
		for _, planned := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/planned=%v", name, planned), func(t *testing.T) {
				inWorld(t, func(w *world) {
					end, number := w.heat()
					defer end()
					to := w.another(number)
					w.move(number, to)
					w.until("a move", func() bool { return w.owner(number) == to })
					time.Sleep(100 * time.Millisecond)
					// A run whose end is not seen: the answer is late and the caller leaves.
					w.ups[to].hang(true)
					time.Sleep(50 * time.Millisecond)
					if planned {
						w.handover(knows)
					} else {
						w.takeover(knows)
					}
					w.ups[to].hang(false)
					if name == "knows_all" {
						require.Equal(t, number, w.hot(hotKey).number)
					} else {
						require.Nil(t, w.hot(hotKey))
					}
					w.until("an answer", func() bool { return w.send(w.shard, hotKey) })
				})
			})
		}
	}
}

// Guards against a successor that takes a forged or damaged entry: an ordinary
// number, a number or key twice, or an owner that is not listed.
func TestInheritIgnoresWrongHotKeys(t *testing.T) {
	inWorld(t, func(w *world) {
		w.until("an owner", func() bool { return w.send(w.shard, "b") })
		a := wire.Assign{
			Owners: make([]int16, testRanges), Upstreams: []api.UpstreamID{"foglalas-01"}, Hot: []wire.HotRange{
				{Key: "a", Range: 3}, {Key: "b", Range: testRanges, Owner: 7}, {Key: "c", Range: testRanges}, {Key: "b", Range: testRanges + 1},
			},
		}
		w.takeover(func(wire.Assign) *wire.Assign { return &a })
		require.Nil(t, w.hot("a"))
		require.Equal(t, testRanges, w.hot("b").number)
		require.Nil(t, w.hot("c"))
	})
}

// Guards against a split for upstreams that check nothing: a successor without
// knowledge of it could not tell what still runs.
func TestNoSplitWithoutChecks(t *testing.T) {
	inWorld(t, func(w *world) {
		w.doc = w.doc.Clone()
		w.doc.Services[0].UpstreamChecks = config.ChecksNone
		w.shard.Configure(w.doc)
		end := w.load(hotKey, 200)
		time.Sleep(20 * time.Second)
		end()
		require.Greater(t, w.ranFor(hotKey, rangeOfKey(hotKey)), 1000)
		require.Nil(t, w.hot(hotKey))
	})
}

// Guards against two owners of a key, and against a key that stays without an
// owner, in random orders of splits, moves, merges, hangs, takeovers and
// handovers with and without knowledge.
func TestHotKeysAtRandom(t *testing.T) {
	var splits, merges int
	for seed := uint64(1); seed <= *hotSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inWorld(t, func(w *world) { runRandom(w, rand.New(rand.NewPCG(seed, 0)), &splits, &merges) })
		})
	}
	t.Logf("%d splits and %d merges seen in %d runs", splits, merges, *hotSeeds)
	require.Greater(t, splits, int(2**hotSeeds), "the runs must contain splits")
	require.Greater(t, merges, int(*hotSeeds), "the runs must contain merges")
}

func runRandom(w *world, rng *rand.Rand, splits, merges *int) {
	keys := []string{"hot", "warm", "mild"}
	loads := map[string]func(){}
	var ids []api.UpstreamID
	for _, u := range w.doc.Services[0].Upstreams {
		ids = append(ids, u.ID)
	}
	w.until("an owner", func() bool { return w.send(w.shard, keys[0]) })
	know := []func(wire.Assign) *wire.Assign{everything, everything, ordinaryOnly, nothing}
	was := map[string]bool{}
	for range 150 {
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
		for _, key := range keys {
			h := w.hot(key)
			is := h != nil && h.phase != hotSplitting
			if is && !was[key] {
				*splits++
			}
			if !is && was[key] {
				*merges++
			}
			was[key] = is
		}
		key, up := keys[rng.IntN(len(keys))], w.ups[ids[rng.IntN(len(ids))]]
		switch n := rng.IntN(24); {
		case n < 4:
			if end := loads[key]; end != nil {
				end()
				delete(loads, key)
			} else {
				loads[key] = w.load(key, 150)
			}
		case n < 9:
			w.move(rangeOfKey(key), up.id)
		case n < 14:
			if h := w.hot(key); h != nil {
				w.move(h.number, up.id)
			}
		case n < 17:
			up.hang(true)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			up.hang(false)
		case n < 18:
			up.serveIn(time.Duration(1+rng.IntN(40)) * time.Millisecond)
		case n < 19:
			up.serveIn(4 * time.Millisecond)
		case n == 19:
			w.takeover(know[rng.IntN(len(know))])
			clear(was)
		case n == 20:
			w.handover(know[rng.IntN(len(know))])
			clear(was)
		}
	}
	for _, end := range loads {
		end()
	}
	for _, key := range keys {
		w.until("an answer for "+key, func() bool { return w.send(w.shard, key) })
	}
	w.until("merges", func() bool { return len(w.shard.Status().Assignment.Hot) == 0 })
}

// Guards against an assignment or a status that names another owner for a hot
// key than the one that serves it, and against an encoding that a VM without the
// new field cannot read.
func TestAssignmentCarriesHotKeys(t *testing.T) {
	inWorld(t, func(w *world) {
		end, number := w.heat()
		defer end()
		a := w.shard.Status().Assignment
		require.Len(t, a.Owners, testRanges)
		require.Len(t, a.Hot, 1)
		require.Equal(t, hotKey, a.Hot[0].Key)
		require.Equal(t, number, a.Hot[0].Range)
		require.Equal(t, w.owner(number), a.Upstreams[a.Hot[0].Owner])
		to := w.another(number)
		w.move(number, to)
		w.until("a move", func() bool { return w.owner(number) == to })
		status := w.shard.Status()
		owner, why := status.Owner(hotKey, rangeOfKey(hotKey))
		require.Equal(t, to, owner, "operators are told the owner of the key's own range")
		require.Contains(t, why, fmt.Sprint("range ", number))
		owner, _ = status.Owner("another key of the range", rangeOfKey(hotKey))
		require.Equal(t, w.owner(rangeOfKey(hotKey)), owner)
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
		require.True(t, slices.Contains(earlier.Upstreams, w.owner(number)))
	})
}

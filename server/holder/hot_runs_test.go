package holder

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// setHotKeys replaces the hot keys by the given ones and stops their automatic update.
func (env *testEnv) setHotKeys(wanted map[string]int) {
	env.shard.mu.Lock()
	defer env.shard.mu.Unlock()
	env.shard.hot.observedAt = env.now() + time.Hour
	env.shard.setHotKeys(wanted)
}

// awaitSettled waits until the key is served and all earlier leases have expired.
func (env *testEnv) awaitSettled() (ordinary int, owner api.UpstreamID) {
	env.t.Helper()
	env.until("an owner", func() bool { return env.send(env.shard, hotKey) })
	env.setHotKeys(nil)
	time.Sleep(2 * time.Second)
	ordinary = rangeOfKey(hotKey)
	return ordinary, env.owner(ordinary)
}

// split gives the key a range of its own, with the number testRanges.
func (env *testEnv) split() {
	env.t.Helper()
	env.setHotKeys(map[string]int{hotKey: testRanges})
	env.until("a split", func() bool { h := env.hot(hotKey); return h != nil && h.phase == hotActive })
}

// startUnresolvedRun starts a run of 400 ms whose caller leaves after 10 ms, so
// that the holder does not observe its end.
func (env *testEnv) startUnresolvedRun(up api.UpstreamID) {
	env.t.Helper()
	before := env.totalRuns(hotKey)
	env.upstreams[up].setServiceTime(400 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.NotNil(env.t, env.shard.Serve(ctx, env.forward(hotKey, 500*time.Millisecond)).Refusal)
	time.Sleep(time.Millisecond)
	require.Equal(env.t, before+1, env.totalRuns(hotKey))
	env.upstreams[up].setServiceTime(4 * time.Millisecond)
}

func (env *testEnv) totalRuns(key string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, runs := range env.served[key] {
		n += runs
	}
	return n
}

// splitAndMove gives the hot key a range of its own and moves it away from the
// owner of the ordinary range.
func (env *testEnv) splitAndMove(ordinary int) (to api.UpstreamID) {
	env.t.Helper()
	env.split()
	to = env.nonOwner(ordinary)
	env.move(testRanges, to)
	env.until("a move", func() bool { return env.owner(testRanges) == to && env.send(env.shard, hotKey) })
	return to
}

// TestSplitRemembersUnresolvedRuns checks that a split respects a run whose end
// was not observed: the new range must not move to another upstream meanwhile.
func TestSplitRemembersUnresolvedRuns(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary, owner := env.awaitSettled()
		env.startUnresolvedRun(owner)
		env.split()
		env.move(testRanges, env.nonOwner(ordinary))
		env.until("a response", func() bool { return env.send(env.shard, hotKey) })
		require.NotEqual(t, owner, env.owner(testRanges))
	})
}

// TestMergeRemembersUnresolvedRuns checks that a merge respects a run whose end was
// not observed: the ordinary range must not move to another upstream meanwhile.
func TestMergeRemembersUnresolvedRuns(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary, owner := env.awaitSettled()
		env.split()
		env.startUnresolvedRun(owner)
		env.setHotKeys(nil)
		env.until("a merge", func() bool { return env.hot(hotKey) == nil })
		env.move(ordinary, env.nonOwner(ordinary))
		env.until("a response", func() bool { return env.send(env.shard, hotKey) })
		require.NotEqual(t, owner, env.owner(ordinary))
	})
}

// TestMergeWaitsForRuns checks that a merge waits for the requests that run under
// the key's own range: the ordinary range could move to another upstream meanwhile.
func TestMergeWaitsForRuns(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary, owner := env.awaitSettled()
		env.split()
		env.upstreams[owner].setServiceTime(300 * time.Millisecond)
		go env.send(env.shard, hotKey)
		time.Sleep(10 * time.Millisecond)
		env.upstreams[owner].setServiceTime(4 * time.Millisecond)
		env.setHotKeys(nil)
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, hotMerging, env.hot(hotKey).phase)
		env.move(ordinary, env.nonOwner(ordinary))
		env.until("a response", func() bool { return env.send(env.shard, hotKey) })
		env.until("a merge", func() bool { return env.hot(hotKey) == nil })
		require.NotEqual(t, owner, env.owner(ordinary))
	})
}

// TestQueuedRequestsFollowASplit checks that queued requests change to the key's
// own range: they would otherwise follow the ordinary range to another upstream.
func TestQueuedRequestsFollowASplit(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary, owner := env.awaitSettled()
		env.upstreams[owner].setServiceTime(100 * time.Millisecond)
		before := env.runCount(hotKey, ordinary)
		for range 4 { // a cold upstream runs one at a time
			go env.send(env.shard, hotKey)
		}
		time.Sleep(10 * time.Millisecond)
		running := env.runCount(hotKey, ordinary) - before
		require.Less(t, running, 4)
		env.split()
		env.move(ordinary, env.nonOwner(ordinary))
		time.Sleep(time.Second)
		require.NotEqual(t, owner, env.owner(ordinary))
		require.Equal(t, before+running, env.runCount(hotKey, ordinary))
		require.Equal(t, 4-running, env.runCount(hotKey, testRanges))
	})
}

// TestHandoverWaitsForUnresolvedRuns checks that a handover waits for a run whose
// end was not observed on another upstream than the owner of the ordinary range: a
// successor that does not know hot keys would give the key to that owner meanwhile.
func TestHandoverWaitsForUnresolvedRuns(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary, owner := env.awaitSettled()
		to := env.splitAndMove(ordinary)
		time.Sleep(time.Second)
		env.startUnresolvedRun(to)
		env.handover(ordinaryOnly)
		env.until("a response", func() bool { return env.send(env.shard, hotKey) })
		require.Equal(t, owner, env.owner(ordinary))
	})
}

// TestNumberIsNotReusedDuringMerge checks that a range number is not given to a
// second key while the first one still uses it.
func TestNumberIsNotReusedDuringMerge(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary, owner := env.awaitSettled()
		to := env.splitAndMove(ordinary)
		env.upstreams[to].setServiceTime(300 * time.Millisecond)
		go env.send(env.shard, hotKey)
		time.Sleep(10 * time.Millisecond)
		env.setHotKeys(map[string]int{"other": testRanges})
		require.Equal(t, hotMerging, env.hot(hotKey).phase)
		require.Nil(t, env.hot("other"))
		env.until("a merge", func() bool { return env.hot(hotKey) == nil })
		require.Equal(t, owner, env.owner(ordinary))
		env.setHotKeys(map[string]int{"other": testRanges})
		env.until("a split", func() bool { h := env.hot("other"); return h != nil && h.phase == hotActive })
	})
}

// TestMergeMovesBackFirst checks that a merge moves the range back first: a run
// whose end was not observed may still be in progress at the range's owner.
func TestMergeMovesBackFirst(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary, owner := env.awaitSettled()
		to := env.splitAndMove(ordinary)
		time.Sleep(time.Second)
		env.startUnresolvedRun(to)
		env.setHotKeys(nil)
		env.until("a merge", func() bool { return env.hot(hotKey) == nil })
		env.until("a response", func() bool { return env.send(env.shard, hotKey) })
		require.Equal(t, owner, env.owner(ordinary))
	})
}

// TestMergeWaitsForWitness checks that a merge waits until a witness has stored
// the move back: a successor would give the key to the owner that the witness has.
func TestMergeWaitsForWitness(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary, owner := env.awaitSettled()
		env.splitAndMove(ordinary)
		env.mu.Lock()
		env.witnessDown = true
		env.mu.Unlock()
		env.setHotKeys(nil)
		env.until("the move back", func() bool { return env.owner(testRanges) == owner })
		time.Sleep(time.Second)
		require.Equal(t, hotMerging, env.hot(hotKey).phase)
		require.False(t, env.send(env.shard, hotKey))
		env.mu.Lock()
		env.witnessDown = false
		env.mu.Unlock()
		a, pending := env.shard.Assignment()
		require.True(t, pending)
		env.storeAssignment(env.shard, a)
		env.until("a merge", func() bool { return env.hot(hotKey) == nil })
		require.True(t, env.send(env.shard, hotKey))
	})
}

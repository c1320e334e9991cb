package holder

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// decideOnly leaves the hot keys to the test: exactly the named ones are wanted.
func (w *world) decideOnly(wanted map[string]int) {
	w.shard.mu.Lock()
	defer w.shard.mu.Unlock()
	w.shard.hot.observed = w.now() + time.Hour
	w.shard.wantHot(wanted)
}

// settled waits until the key is served, and longer than any earlier lease.
func (w *world) settled() (home int, owner api.UpstreamID) {
	w.t.Helper()
	w.until("an owner", func() bool { return w.send(w.shard, hotKey) })
	w.decideOnly(nil)
	time.Sleep(2 * time.Second)
	home = rangeOfKey(hotKey)
	return home, w.owner(home)
}

// split gives the key the first range of its own.
func (w *world) split() {
	w.t.Helper()
	w.decideOnly(map[string]int{hotKey: testRanges})
	w.until("a split", func() bool { h := w.hot(hotKey); return h != nil && h.phase == hotActive })
}

// runUnseen starts a run of 400 ms whose caller leaves after 10 ms, so that its
// end is not seen.
func (w *world) runUnseen(up api.UpstreamID) {
	w.t.Helper()
	before := w.runsOf(hotKey)
	w.ups[up].serveIn(400 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.NotNil(w.t, w.shard.Serve(ctx, w.forward(hotKey, 500*time.Millisecond)).Refusal)
	time.Sleep(time.Millisecond)
	require.Equal(w.t, before+1, w.runsOf(hotKey))
	w.ups[up].serveIn(4 * time.Millisecond)
}

func (w *world) runsOf(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, runs := range w.served[key] {
		n += runs
	}
	return n
}

// splitAndMove gives the hot key a range of its own and that to another upstream
// than the one of its ordinary range.
func (w *world) splitAndMove(home int) (to api.UpstreamID) {
	w.t.Helper()
	w.split()
	to = w.another(home)
	w.move(testRanges, to)
	w.until("a move", func() bool { return w.owner(testRanges) == to && w.send(w.shard, hotKey) })
	return to
}

// Guards against a split that forgets a run whose end was not seen: the new
// range could go to another upstream while the run goes on.
func TestSplitRemembersUnseenRuns(t *testing.T) {
	inWorld(t, func(w *world) {
		home, owner := w.settled()
		w.runUnseen(owner)
		w.split()
		w.move(testRanges, w.another(home))
		w.until("an answer", func() bool { return w.send(w.shard, hotKey) })
		require.NotEqual(t, owner, w.owner(testRanges))
	})
}

// Guards against a merge that forgets a run whose end was not seen: the ordinary
// range could go to another upstream while the run goes on.
func TestMergeRemembersUnseenRuns(t *testing.T) {
	inWorld(t, func(w *world) {
		home, owner := w.settled()
		w.split()
		w.runUnseen(owner)
		w.decideOnly(nil)
		w.until("a merge", func() bool { return w.hot(hotKey) == nil })
		w.move(home, w.another(home))
		w.until("an answer", func() bool { return w.send(w.shard, hotKey) })
		require.NotEqual(t, owner, w.owner(home))
	})
}

// Guards against a merge that takes effect while requests run under the number
// of the key: the ordinary range could go to another upstream meanwhile.
func TestMergeWaitsForRuns(t *testing.T) {
	inWorld(t, func(w *world) {
		home, owner := w.settled()
		w.split()
		w.ups[owner].serveIn(300 * time.Millisecond)
		go w.send(w.shard, hotKey)
		time.Sleep(10 * time.Millisecond)
		w.ups[owner].serveIn(4 * time.Millisecond)
		w.decideOnly(nil)
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, hotMerging, w.hot(hotKey).phase)
		w.move(home, w.another(home))
		w.until("an answer", func() bool { return w.send(w.shard, hotKey) })
		w.until("a merge", func() bool { return w.hot(hotKey) == nil })
		require.NotEqual(t, owner, w.owner(home))
	})
}

// Guards against queued requests that keep the old number after a split: they
// would follow the ordinary range to another upstream.
func TestQueuedRequestsFollowASplit(t *testing.T) {
	inWorld(t, func(w *world) {
		home, owner := w.settled()
		w.ups[owner].serveIn(100 * time.Millisecond)
		before := w.ranFor(hotKey, home)
		for range 4 { // a cold upstream runs one at a time
			go w.send(w.shard, hotKey)
		}
		time.Sleep(10 * time.Millisecond)
		running := w.ranFor(hotKey, home) - before
		require.Less(t, running, 4)
		w.split()
		w.move(home, w.another(home))
		time.Sleep(time.Second)
		require.NotEqual(t, owner, w.owner(home))
		require.Equal(t, before+running, w.ranFor(hotKey, home))
		require.Equal(t, 4-running, w.ranFor(hotKey, testRanges))
	})
}

// Guards against a handover to a successor that knows no hot keys while a run
// whose end was not seen goes on away from the ordinary range.
func TestHandoverWaitsForUnseenRuns(t *testing.T) {
	inWorld(t, func(w *world) {
		home, owner := w.settled()
		to := w.splitAndMove(home)
		time.Sleep(time.Second)
		w.runUnseen(to)
		w.handover(ordinaryOnly)
		w.until("an answer", func() bool { return w.send(w.shard, hotKey) })
		require.Equal(t, owner, w.owner(home))
	})
}

// Guards against a number that is given to a second key while the first still
// uses it.
func TestNumberIsNotReusedDuringMerge(t *testing.T) {
	inWorld(t, func(w *world) {
		home, owner := w.settled()
		to := w.splitAndMove(home)
		w.ups[to].serveIn(300 * time.Millisecond)
		go w.send(w.shard, hotKey)
		time.Sleep(10 * time.Millisecond)
		w.decideOnly(map[string]int{"other": testRanges})
		require.Equal(t, hotMerging, w.hot(hotKey).phase)
		require.Nil(t, w.hot("other"))
		w.until("a merge", func() bool { return w.hot(hotKey) == nil })
		require.Equal(t, owner, w.owner(home))
		w.decideOnly(map[string]int{"other": testRanges})
		w.until("a split", func() bool { h := w.hot("other"); return h != nil && h.phase == hotActive })
	})
}

// Guards against a merge that skips the move back: a run whose end was not seen
// may go on where the range of the key was.
func TestMergeMovesBackFirst(t *testing.T) {
	inWorld(t, func(w *world) {
		home, owner := w.settled()
		to := w.splitAndMove(home)
		time.Sleep(time.Second)
		w.runUnseen(to)
		w.decideOnly(nil)
		w.until("a merge", func() bool { return w.hot(hotKey) == nil })
		w.until("an answer", func() bool { return w.send(w.shard, hotKey) })
		require.Equal(t, owner, w.owner(home))
	})
}

// Guards against a merge before a witness knows that the range has moved back: a
// successor would give the key to the upstream that the witness names.
func TestMergeWaitsForWitness(t *testing.T) {
	inWorld(t, func(w *world) {
		home, owner := w.settled()
		w.splitAndMove(home)
		w.mu.Lock()
		w.mute = true
		w.mu.Unlock()
		w.decideOnly(nil)
		w.until("the move back", func() bool { return w.owner(testRanges) == owner })
		time.Sleep(time.Second)
		require.Equal(t, hotMerging, w.hot(hotKey).phase)
		require.False(t, w.send(w.shard, hotKey))
		w.mu.Lock()
		w.mute = false
		w.mu.Unlock()
		a, pending := w.shard.Assignment()
		require.True(t, pending)
		w.keep(w.shard, a)
		w.until("a merge", func() bool { return w.hot(hotKey) == nil })
		require.True(t, w.send(w.shard, hotKey))
	})
}

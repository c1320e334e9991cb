package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/dispatch"
	"github.com/stretchr/testify/require"
)

// run starts and ends requests of one key until n have run; each takes took.
func run(t *testing.T, q *dispatch.Queue, id *uint64, n int, key, caller string, took time.Duration) {
	t.Helper()
	for range n {
		*id++
		admit(t, q, dispatch.Request{ID: *id, Upstream: up(0), Key: key, Caller: caller})
		starts, _ := q.Next(0)
		require.Len(t, starts, 1)
		q.Done(0, *id, up(0), took, true)
	}
}

// busy makes the upstream run one request of key and caller and queues n more.
func busy(t *testing.T, q *dispatch.Queue, id *uint64, n int, key, caller string) {
	t.Helper()
	for range n + 1 {
		*id++
		admit(t, q, dispatch.Request{ID: *id, Upstream: up(0), Key: key, Caller: caller})
	}
	starts, _ := q.Next(0)
	require.Len(t, starts, 1)
}

// TestLongRunsOfOneKey guards against the refusal of short requests because the
// runs of another key are long, and against the admission of the long ones.
func TestLongRunsOfOneKey(t *testing.T) {
	q := newQueue(dispatch.Config{ServiceTime: 10 * ms}, 1, 1)
	id := uint64(0)
	run(t, q, &id, 20, "short", "a", 10*ms)
	run(t, q, &id, 100, "long", "b", 100*ms)
	busy(t, q, &id, 0, "long", "b")
	refused := func(key, caller string) bool {
		id++
		r := q.Admit(0, dispatch.Request{ID: id, Upstream: up(0), Key: key, Caller: caller, Deadline: 160 * ms})
		q.Cancel(id)
		return r != nil
	}
	require.False(t, refused("short", "a"))
	require.False(t, refused("new", "c"), "a newcomer is not judged by the long key")
	tries := 0
	for range 10 {
		if !refused("long", "b") {
			tries++
		}
	}
	require.LessOrEqual(t, tries, 2, "beyond the tries that 120 starts allow, long requests are refused")
}

// TestEstimateRecovers guards against an estimate that is too high for ever,
// because all requests that would correct it are refused.
func TestEstimateRecovers(t *testing.T) {
	q := newQueue(dispatch.Config{ServiceTime: 10 * ms}, 1, 1)
	id := uint64(0)
	run(t, q, &id, 60, "k", "a", 200*ms)
	now, ran := time.Duration(0), 0
	for range 4000 {
		// A request without a deadline is always queued, so there is never room.
		id++
		admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: "other", Caller: "b"})
		id++
		refusal := q.Admit(now, dispatch.Request{ID: id, Upstream: up(0), Key: "k", Caller: "a", Deadline: now + 150*ms})
		if refusal == nil {
			ran++
		} else {
			require.Equal(t, api.DeadlineUnmeetable, refusal.Kind)
		}
		starts, _ := q.Next(now)
		for _, s := range starts {
			now += 5 * ms
			q.Done(now, s.ID, s.Upstream, 5*ms, true)
		}
		for q.Queued() > 3 {
			starts, _ = q.Next(now)
			for _, s := range starts {
				now += 5 * ms
				q.Done(now, s.ID, s.Upstream, 5*ms, true)
			}
		}
	}
	require.Greater(t, ran, 2000, "most requests must be admitted once runs are short again")
}

// TestSparseFlowNeedNotWaitACycle guards against a light request that waits for
// one turn of each of many keys and callers.
func TestSparseFlowNeedNotWaitACycle(t *testing.T) {
	q := newQueue(dispatch.Config{QueueLength: 1000}, 1, 1)
	id := uint64(0)
	for i := range 100 {
		for range 4 {
			id++
			admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: fmt.Sprint("k", i), Caller: fmt.Sprint("c", i)})
		}
	}
	for range 300 {
		next(q, 0, true) // serves what came first, so that all keys have a cycle behind them
	}
	id++
	admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: "light", Caller: "light"})
	started := append(next(q, 0, true), next(q, 0, true)...)
	require.Contains(t, started, id)
}

// TestIdleUpstreamIsTried guards against an upstream that gets nothing at all
// because its runs were long once.
func TestIdleUpstreamIsTried(t *testing.T) {
	q := newQueue(dispatch.Config{}, 1, 1)
	id := uint64(0)
	run(t, q, &id, 20, "k", "a", 200*ms) // too few for a try at a busy upstream
	admit(t, q, dispatch.Request{ID: id + 1, Upstream: up(0), Key: "k", Caller: "a", Deadline: 30 * ms})
	require.Equal(t, []uint64{id + 1}, next(q, 0, false))
}

// TestTurnsByServiceTime guards against a key with long runs that gets most of
// the time because turns count starts.
func TestTurnsByServiceTime(t *testing.T) {
	q := newQueue(dispatch.Config{ServiceTime: 10 * ms, QueueLength: 1000}, 1, 1)
	id := uint64(0)
	run(t, q, &id, 40, "long", "flood", 80*ms)
	long := map[uint64]bool{}
	for range 100 {
		id++
		long[id] = true
		admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: "long", Caller: "flood"})
	}
	var longs, shorts time.Duration
	waiting := false
	for n := range 100 {
		if n == 10 { // the first requests of the long key were sparse
			longs, shorts = 0, 0
		}
		if !waiting { // a short request of another key and caller waits at each start
			id++
			admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: fmt.Sprint("k", id), Caller: fmt.Sprint("c", id)})
			waiting = true
		}
		starts, _ := q.Next(0)
		require.Len(t, starts, 1)
		took := 10 * ms
		if long[starts[0].ID] {
			took = 80 * ms
			longs += took
		} else {
			waiting = false
			shorts += took
		}
		q.Done(0, starts[0].ID, up(0), took, true)
	}
	require.LessOrEqual(t, longs, shorts+160*ms, "half of the time; the shares may be one run apart at the beginning and the end")
	require.GreaterOrEqual(t, longs, shorts-160*ms, "the long key has its half too")
}

// TestCallerOfAHotKeyIsSparseElsewhere guards against a short request that
// waits behind a hot key because its caller also wants that key.
func TestCallerOfAHotKeyIsSparseElsewhere(t *testing.T) {
	q := newQueue(dispatch.Config{QueueLength: 1000}, 1, 1)
	id := uint64(0)
	for i := range 10 {
		for range 5 + 5*i {
			id++
			admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: "hot", Caller: fmt.Sprint("c", i)})
		}
	}
	for range 20 {
		next(q, 0, true)
	}
	id++
	admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: "light", Caller: "c9"})
	started := append(next(q, 0, true), next(q, 0, true)...)
	require.Contains(t, started, id)
}

// TestShortRunsAheadWaitLess guards against the refusal of a short request
// because the short ones before it are expected to take as long as a hot key's.
func TestShortRunsAheadWaitLess(t *testing.T) {
	q := newQueue(dispatch.Config{ServiceTime: 10 * ms, QueueLength: 1000}, 1, 1)
	id := uint64(0)
	for i := range 20 {
		run(t, q, &id, 1, fmt.Sprint("old", i), fmt.Sprint("o", i), 10*ms)
	}
	run(t, q, &id, 100, "long", "flood", 80*ms)
	busy(t, q, &id, 50, "long", "flood")
	short := func(n int, deadline time.Duration) *api.Refusal {
		id++
		return q.Admit(0, dispatch.Request{ID: id, Upstream: up(0), Key: fmt.Sprint("k", n), Caller: fmt.Sprint("c", n), Deadline: deadline})
	}
	require.Nil(t, short(1, 0))
	// Before its end come the run in flight, at most one long run of the rings,
	// and two short runs: 180 ms.
	require.Nil(t, short(2, 250*ms))
	require.NotNil(t, short(3, 60*ms), "it cannot start before the long run ends")
}

// TestSparseTriesFollowPlaces guards against an upstream with many places whose
// sparse requests are refused for a margin that they do not need, and against
// sparse requests that are admitted without any limit.
func TestSparseTriesFollowPlaces(t *testing.T) {
	admitted := func(places int) int {
		q := newQueue(dispatch.Config{ServiceTime: 10 * ms, QueueLength: 1000}, 1, places)
		id, n := uint64(0), 0
		for range places {
			id++
			admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: "long", Caller: "flood"})
		}
		starts, _ := q.Next(0)
		require.Len(t, starts, places)
		for range 20 * places {
			id++
			// The deadline allows the expected wait and run, without a margin.
			allowed := time.Duration(n+1)*10*ms/time.Duration(places) + 11*ms
			if q.Admit(0, dispatch.Request{ID: id, Upstream: up(0), Key: fmt.Sprint("k", id), Caller: fmt.Sprint("c", id), Deadline: allowed}) == nil {
				n++
			}
		}
		return n
	}
	require.Equal(t, 2, admitted(1))
	require.Equal(t, 12, admitted(6))
}

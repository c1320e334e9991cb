package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/dispatch"
	"github.com/stretchr/testify/require"
)

// run runs n requests of one key, one after the other; each takes took.
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

// busy starts one request of key and caller on the upstream and queues n more.
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
	require.False(t, refused("new", "c"), "the runs of the long key do not count for a new one")
	probes := 0
	for range 10 {
		if !refused("long", "b") {
			probes++
		}
	}
	require.LessOrEqual(t, probes, 2, "beyond the probes that 120 starts allow, long requests are refused")
}

// TestEstimateRecovers guards against an estimate that stays too high because all
// requests that would correct it are refused.
func TestEstimateRecovers(t *testing.T) {
	q := newQueue(dispatch.Config{ServiceTime: 10 * ms}, 1, 1)
	id := uint64(0)
	run(t, q, &id, 60, "k", "a", 200*ms)
	now, ran := time.Duration(0), 0
	for range 4000 {
		// A request without a deadline is always queued, so no slot is ever free.
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

// TestSparseFlowSkipsCycle guards against a sparse flow that waits for one turn of
// each of many keys and callers.
func TestSparseFlowSkipsCycle(t *testing.T) {
	q := newQueue(dispatch.Config{QueueLength: 1000}, 1, 1)
	id := uint64(0)
	for i := range 100 {
		for range 4 {
			id++
			admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: fmt.Sprint("k", i), Caller: fmt.Sprint("c", i)})
		}
	}
	for range 300 {
		next(q, 0, true) // serves earlier requests, so that every key has had a turn
	}
	id++
	admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: "light", Caller: "light"})
	started := append(next(q, 0, true), next(q, 0, true)...)
	require.Contains(t, started, id)
}

// TestIdleUpstreamIsProbed guards against an idle upstream that gets no requests
// because its earlier runs were long.
func TestIdleUpstreamIsProbed(t *testing.T) {
	q := newQueue(dispatch.Config{}, 1, 1)
	id := uint64(0)
	run(t, q, &id, 20, "k", "a", 200*ms) // too few for a probe at a busy upstream
	admit(t, q, dispatch.Request{ID: id + 1, Upstream: up(0), Key: "k", Caller: "a", Deadline: 30 * ms})
	require.Equal(t, []uint64{id + 1}, next(q, 0, false))
}

// TestTurnsByServiceTime guards against a key with long runs that gets most of
// the service time because turns are counted in starts.
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
	require.LessOrEqual(t, longs, shorts+160*ms, "half of the service time; the shares may differ by one run at the beginning and at the end")
	require.GreaterOrEqual(t, longs, shorts-160*ms, "the long key gets its half too")
}

// TestCallerOfHotKeyIsSparseElsewhere guards against a request for a light key that
// waits behind a hot key because its caller also has requests for that one.
func TestCallerOfHotKeyIsSparseElsewhere(t *testing.T) {
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

// TestShortRunsAheadWaitLess guards against the refusal of a short request because
// the short requests ahead of it are estimated with the run time of a hot key.
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
	// It ends after the run in flight, at most one long run from the rings, and two
	// short runs, its own included: 180 ms.
	require.Nil(t, short(2, 250*ms))
	require.NotNil(t, short(3, 60*ms), "it cannot start before the long run ends")
}

// TestSparseAdmissionsFollowSlots guards against an upstream with many slots whose
// sparse requests are refused for a margin that they do not need, and against
// sparse requests that are admitted without any limit.
func TestSparseAdmissionsFollowSlots(t *testing.T) {
	admitted := func(slots int) int {
		q := newQueue(dispatch.Config{ServiceTime: 10 * ms, QueueLength: 1000}, 1, slots)
		id, n := uint64(0), 0
		for range slots {
			id++
			admit(t, q, dispatch.Request{ID: id, Upstream: up(0), Key: "long", Caller: "flood"})
		}
		starts, _ := q.Next(0)
		require.Len(t, starts, slots)
		for range 20 * slots {
			id++
			// The deadline allows the expected wait and run, without a margin.
			allowed := time.Duration(n+1)*10*ms/time.Duration(slots) + 11*ms
			if q.Admit(0, dispatch.Request{ID: id, Upstream: up(0), Key: fmt.Sprint("k", id), Caller: fmt.Sprint("c", id), Deadline: allowed}) == nil {
				n++
			}
		}
		return n
	}
	require.Equal(t, 2, admitted(1))
	require.Equal(t, 12, admitted(6))
}

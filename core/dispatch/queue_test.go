package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/dispatch"
	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// newQueue returns a queue with n upstreams u0, u1, ... of the given limit.
func newQueue(cfg dispatch.Config, n, inFlight int) *dispatch.Queue {
	q := dispatch.New(cfg)
	q.SetLimits(limits(n, inFlight))
	return q
}

func limits(n, inFlight int) []dispatch.Limit {
	var out []dispatch.Limit
	for i := range n {
		out = append(out, dispatch.Limit{Upstream: up(i), InFlight: inFlight, Open: true})
	}
	return out
}

func up(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprint("u", i)) }

// next returns the IDs that start at now and finishes them at once if done.
func next(q *dispatch.Queue, now time.Duration, done bool) []uint64 {
	var ids []uint64
	starts, _ := q.Next(now)
	for _, s := range starts {
		ids = append(ids, s.ID)
		if done {
			q.Done(now, s.ID, s.Upstream, 10*ms, true)
		}
	}
	return ids
}

func admit(t *testing.T, q *dispatch.Queue, reqs ...dispatch.Request) {
	t.Helper()
	for _, r := range reqs {
		require.Nil(t, q.Admit(0, r))
	}
}

// TestTurns guards against a hot key, or a caller with many keys, starving the rest.
func TestTurns(t *testing.T) {
	for name, flood := range map[string]func(i uint64) dispatch.Request{
		"hot key":         func(i uint64) dispatch.Request { return dispatch.Request{Key: "hot", Caller: fmt.Sprint("c", i)} },
		"flooding caller": func(i uint64) dispatch.Request { return dispatch.Request{Key: fmt.Sprint("k", i), Caller: "flood"} },
	} {
		q := newQueue(dispatch.Config{}, 1, 1)
		for i := range uint64(100) {
			r := flood(i)
			r.ID, r.Upstream = i, up(0)
			admit(t, q, r)
		}
		admit(t, q, dispatch.Request{ID: 1000, Upstream: up(0), Key: "light", Caller: "light"})
		started := -1
		for i := 0; started < 0 && i < 200; i++ {
			if ids := next(q, 0, true); len(ids) == 1 && ids[0] == 1000 {
				started = i
			}
		}
		require.True(t, started >= 0 && started <= 4, "%s: light request started at position %d", name, started)
	}
}

// TestFirstComeFirstServed guards against reordering within one key and caller.
func TestFirstComeFirstServed(t *testing.T) {
	q := newQueue(dispatch.Config{}, 1, 1)
	for i := range uint64(50) {
		admit(t, q, dispatch.Request{ID: i, Upstream: up(0), Key: "k", Caller: "c"})
	}
	for i := range uint64(50) {
		require.Equal(t, []uint64{i}, next(q, 0, true))
	}
}

// TestKeyInFlight guards against more concurrent runs of one key than configured.
func TestKeyInFlight(t *testing.T) {
	q := newQueue(dispatch.Config{KeyInFlight: 1}, 1, 3)
	admit(t, q, dispatch.Request{ID: 1, Upstream: up(0), Key: "a"}, dispatch.Request{ID: 2, Upstream: up(0), Key: "a"}, dispatch.Request{ID: 3, Upstream: up(0), Key: "b"})
	require.Equal(t, []uint64{1, 3}, next(q, 0, false))
	q.Done(0, 1, up(0), ms, true)
	require.Equal(t, []uint64{2}, next(q, 0, false))
}

// TestExclusive guards against runs concurrent with an exclusive request, on keyed and
// unkeyed upstreams.
func TestExclusive(t *testing.T) {
	q := newQueue(dispatch.Config{}, 1, 2)
	admit(t, q, dispatch.Request{ID: 1, Upstream: up(0), Key: "a"}, dispatch.Request{ID: 2, Upstream: up(0), Key: "b", Exclusive: true}, dispatch.Request{ID: 3, Upstream: up(0), Key: "c"})
	require.Equal(t, []uint64{1}, next(q, 0, false))
	q.Done(0, 1, up(0), ms, true)
	require.Equal(t, []uint64{2}, next(q, 0, false))
	require.Empty(t, next(q, 0, false))
	q.Done(0, 2, up(0), ms, true)
	require.Equal(t, []uint64{3}, next(q, 0, false))

	q = newQueue(dispatch.Config{}, 2, 1)
	admit(t, q, dispatch.Request{ID: 1, Caller: "a"}, dispatch.Request{ID: 2, Caller: "b", Exclusive: true}, dispatch.Request{ID: 3, Caller: "c", Exclusive: true}, dispatch.Request{ID: 4, Caller: "d"})
	require.Len(t, next(q, 0, false), 2)
	require.Equal(t, 2, q.Queued())
}

// TestExclusiveOnClosingUpstream guards against an exclusive request that waits for an
// upstream that has closed.
func TestExclusiveOnClosingUpstream(t *testing.T) {
	q := newQueue(dispatch.Config{}, 2, 2)
	admit(t, q, dispatch.Request{ID: 1, Caller: "a"}, dispatch.Request{ID: 2, Caller: "b"})
	require.Len(t, next(q, 0, false), 2)
	admit(t, q, dispatch.Request{ID: 3, Caller: "c", Exclusive: true})
	require.Empty(t, next(q, 0, false))
	q.SetLimits(nil)
	require.Empty(t, next(q, 0, false))
	q.SetLimits(limits(3, 1)[2:])
	starts, _ := q.Next(0)
	require.Equal(t, []dispatch.Start{{ID: 3, Upstream: up(2), Exclusive: true}}, starts)
}

// TestExclusiveIsNotStarved guards against an exclusive request that never finds its
// upstream empty because other requests keep starting there.
func TestExclusiveIsNotStarved(t *testing.T) {
	q := newQueue(dispatch.Config{}, 2, 2)
	at := map[uint64]api.UpstreamID{}
	for id := uint64(1); id < 40; id++ {
		admit(t, q, dispatch.Request{ID: id, Caller: fmt.Sprint(id), Exclusive: id == 9})
		starts, _ := q.Next(0)
		for _, s := range starts {
			at[s.ID] = s.Upstream
		}
		if at[9] != "" {
			return
		}
		if id >= 4 {
			q.Done(0, id-3, at[id-3], ms, true)
		}
	}
	t.Fatal("exclusive request did not start")
}

// TestHoldReturnsExclusive guards against an exclusive request of a moving range that
// starts on the old owner or loses its position in the queue.
func TestHoldReturnsExclusive(t *testing.T) {
	q := newQueue(dispatch.Config{}, 2, 2)
	admit(t, q, dispatch.Request{ID: 1, Upstream: up(0), Key: "a", Range: 1})
	require.Equal(t, []uint64{1}, next(q, 0, false))
	admit(t, q, dispatch.Request{ID: 2, Upstream: up(0), Key: "b", Range: 2, Exclusive: true}, dispatch.Request{ID: 3, Upstream: up(0), Key: "b", Range: 2})
	require.Empty(t, next(q, 0, false), "waits for the run in progress")
	require.Nil(t, q.Admit(0, dispatch.Request{ID: 4, Upstream: up(0), Key: "c", Range: 3}))
	require.Empty(t, next(q, 0, false), "the upstream is reserved for the exclusive request")
	q.HoldRange(2)
	require.Equal(t, []uint64{4}, next(q, 0, false), "other requests may start")
	q.ReleaseRange(2, up(1))
	require.Equal(t, []uint64{2}, next(q, 0, true))
	require.Equal(t, []uint64{3}, next(q, 0, true))
}

// TestDeadlines guards against requests that start although they cannot finish in time.
func TestDeadlines(t *testing.T) {
	q := newQueue(dispatch.Config{ServiceTime: 10 * ms}, 1, 1)
	admit(t, q, dispatch.Request{ID: 1, Upstream: up(0), Key: "a", Deadline: 50 * ms})
	require.Equal(t, []uint64{1}, next(q, 0, false))
	refusal := q.Admit(0, dispatch.Request{ID: 2, Upstream: up(0), Key: "a", Deadline: 20 * ms})
	require.Equal(t, api.DeadlineUnmeetable, refusal.Kind)
	require.Equal(t, api.NotRun, refusal.Outcome)
	require.Equal(t, 15*ms, refusal.RetryAfter) // 10 ms wait, 10 ms mean, 3 deviations of 5 ms
	admit(t, q, dispatch.Request{ID: 3, Upstream: up(0), Key: "b", Deadline: 50 * ms})
	_, expired := q.Next(48 * ms)
	require.Equal(t, []uint64{3}, expired)
	require.Zero(t, q.Queued())
}

// TestQueueBounds guards against queues that grow without bound and against a key or caller that fills one.
func TestQueueBounds(t *testing.T) {
	q := newQueue(dispatch.Config{QueueLength: 10, KeyShare: 0.3, CallerShare: 0.5}, 1, 1)
	accepts := func(id uint64, key, caller string) bool {
		r := q.Admit(0, dispatch.Request{ID: id, Upstream: up(0), Key: key, Caller: caller})
		if r != nil {
			want := api.QueueFull
			if caller == "flood" {
				want = api.RateLimited
			}
			require.Equal(t, want, r.Kind)
			require.Positive(t, r.RetryAfter)
		}
		return r == nil
	}
	accepted := map[string]int{}
	for i := range uint64(20) {
		if accepts(i, "hot", fmt.Sprint(i)) {
			accepted["hot"]++
		}
		if accepts(100+i, fmt.Sprint(i), "flood") {
			accepted["flood"]++
		}
	}
	require.Equal(t, map[string]int{"hot": 3, "flood": 5}, accepted)
	require.True(t, accepts(201, "x", "x"))
	require.True(t, accepts(202, "y", "y"))
	require.False(t, accepts(203, "z", "z"))
}

// TestUnkeyedPlacement guards against starts on closed, full or slow upstreams.
func TestUnkeyedPlacement(t *testing.T) {
	q := dispatch.New(dispatch.Config{})
	q.SetLimits([]dispatch.Limit{{Upstream: "slow", InFlight: 4, Open: true, Penalty: 10}, {Upstream: "closed", InFlight: 4}, {Upstream: "big", InFlight: 4, Open: true}, {Upstream: "small", InFlight: 1, Open: true}})
	count := map[api.UpstreamID]int{}
	for i := range uint64(8) {
		admit(t, q, dispatch.Request{ID: i})
		starts, _ := q.Next(0)
		for _, s := range starts {
			count[s.Upstream]++
		}
		if i == 4 {
			require.Equal(t, map[api.UpstreamID]int{"big": 4, "small": 1}, count)
		}
	}
	require.Equal(t, map[api.UpstreamID]int{"big": 4, "small": 1, "slow": 3}, count)
}

// TestHedge guards against a hedge on the first copy's upstream, before first copies, or reported as expired.
func TestHedge(t *testing.T) {
	q := newQueue(dispatch.Config{}, 2, 2)
	admit(t, q, dispatch.Request{ID: 1, Deadline: time.Second})
	starts, _ := q.Next(0)
	first := starts[0].Upstream
	hedge := dispatch.Request{ID: 1, Hedge: true, Avoid: first, Deadline: time.Second}
	admit(t, q, hedge)
	starts, _ = q.Next(0)
	require.Len(t, starts, 1)
	require.True(t, starts[0].Hedge)
	require.NotEqual(t, first, starts[0].Upstream)
	q.Done(0, 1, starts[0].Upstream, ms, true)
	admit(t, q, hedge, dispatch.Request{ID: 2}, dispatch.Request{ID: 3}, dispatch.Request{ID: 4})
	require.Equal(t, []uint64{2, 3, 4}, next(q, 0, false))
	starts, expired := q.Next(time.Second)
	require.Empty(t, starts)
	require.Empty(t, expired)
	require.Zero(t, q.Queued())
}

// TestMovingRange guards against starts in a range while it moves, or on its old owner afterwards.
func TestMovingRange(t *testing.T) {
	q := newQueue(dispatch.Config{}, 2, 3)
	admit(t, q, dispatch.Request{ID: 1, Upstream: up(0), Key: "a", Range: 5})
	require.Equal(t, []uint64{1}, next(q, 0, false))
	q.HoldRange(5)
	admit(t, q, dispatch.Request{ID: 2, Upstream: up(0), Key: "a", Range: 5}, dispatch.Request{ID: 3, Upstream: up(0), Key: "b", Range: 6})
	require.Equal(t, []uint64{3}, next(q, 0, false))
	require.Equal(t, 1, q.RangeInFlight(5))
	q.Done(0, 1, up(0), ms, true)
	require.Zero(t, q.RangeInFlight(5))
	q.ReleaseRange(5, up(1))
	starts, _ := q.Next(0)
	require.Equal(t, []dispatch.Start{{ID: 2, Upstream: up(1)}}, starts)
}

// TestCancelAndReassign guards against starts of cancelled requests and starts on a lost owner.
func TestCancelAndReassign(t *testing.T) {
	q := newQueue(dispatch.Config{}, 2, 1)
	admit(t, q, dispatch.Request{ID: 1, Upstream: "lost", Key: "a"}, dispatch.Request{ID: 2, Upstream: "lost", Key: "a"})
	require.Empty(t, next(q, 0, false))
	require.Equal(t, 2, q.QueuedFor("lost"))
	q.Cancel(1)
	q.Reassign(2, up(1))
	q.SetLimits(limits(2, 1))
	starts, _ := q.Next(0)
	require.Equal(t, []dispatch.Start{{ID: 2, Upstream: up(1)}}, starts)
	require.Equal(t, 1, q.InFlight(up(1)))
	require.Zero(t, q.Queued())
}

// TestSetLimit guards against a new limit of one upstream that closes another
// one, or restores a removed one.
func TestSetLimit(t *testing.T) {
	q := newQueue(dispatch.Config{}, 2, 1)
	q.SetLimit(dispatch.Limit{Upstream: up(0), InFlight: 3, Open: true})
	q.SetLimit(dispatch.Limit{Upstream: up(2), InFlight: 9, Open: true})
	for i := range uint64(10) {
		admit(t, q, dispatch.Request{ID: i + 1, Caller: fmt.Sprint("c", i)})
	}
	started := map[api.UpstreamID]int{}
	starts, _ := q.Next(0)
	for _, s := range starts {
		started[s.Upstream]++
	}
	require.Equal(t, map[api.UpstreamID]int{up(0): 3, up(1): 1}, started)
}

// TestQueueOfClosedUpstream guards against refusals while an upstream is briefly
// closed although the queues of the others are empty, and against an unbounded queue.
func TestQueueOfClosedUpstream(t *testing.T) {
	q := newQueue(dispatch.Config{QueueLength: 10, KeyShare: 0.5}, 3, 1)
	limits := func(open bool) {
		q.SetLimits([]dispatch.Limit{{Upstream: up(0), InFlight: 1, Open: open}, {Upstream: up(1), InFlight: 1, Open: true}, {Upstream: up(2), InFlight: 1, Open: true}})
	}
	id := uint64(0)
	admitted := func(upstream int, key string) int {
		n := 0
		for range 50 {
			id++
			if q.Admit(0, dispatch.Request{ID: id, Upstream: up(upstream), Key: key, Caller: fmt.Sprint(id)}) == nil {
				n++
			}
		}
		return n
	}
	limits(false)
	require.Equal(t, 15, admitted(0, "hot"), "half of the queue length of three upstreams")
	require.Equal(t, 15, admitted(0, ""), "the other half")
	require.Equal(t, 5, admitted(1, "other"), "an open upstream keeps its own queue length")
	limits(true)
	require.Equal(t, 10, admitted(0, ""), "its own length applies to later requests")
	for range 100 {
		next(q, 0, true)
	}
	require.Zero(t, q.Queued(), "no accepted request is lost")
}

// TestQueueOfWaitedRequests guards against refusals of requests that waited for
// a new holder and reach it together, and against an unbounded number of them.
func TestQueueOfWaitedRequests(t *testing.T) {
	q := newQueue(dispatch.Config{QueueLength: 10, KeyShare: 0.5}, 3, 1)
	admitted := func(first uint64, waited bool) int {
		n := 0
		for id := first; id < first+50; id++ {
			if q.Admit(0, dispatch.Request{ID: id, Upstream: up(0), Key: "hot", Caller: fmt.Sprint(id), Waited: waited}) == nil {
				n++
			}
		}
		return n
	}
	require.Equal(t, 15, admitted(0, true), "half of the queue length of three upstreams")
	require.Equal(t, 5, admitted(100, false), "other requests have their own limit")
	require.Zero(t, admitted(200, true), "half of the total queue length is in use")
}

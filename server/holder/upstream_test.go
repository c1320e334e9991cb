package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/lease"
)

// grants returns the number of lists and renewals that the upstreams received.
func (w *world) grants() (lists, renewals int) {
	for _, u := range w.ups {
		u.mu.Lock()
		lists, renewals = lists+u.lists, renewals+u.renewals
		u.mu.Unlock()
	}
	return lists, renewals
}

// owned returns the ranges that the upstreams have been granted.
func (w *world) owned() int {
	n := 0
	for _, u := range w.ups {
		u.mu.Lock()
		for _, rng := range u.guard.Ranges() {
			if u.guard.Owns(w.now(), rng) {
				n++
			}
		}
		u.mu.Unlock()
	}
	return n
}

func (w *world) granted() {
	w.t.Helper()
	w.until("all ranges are granted", func() bool { return w.owned() == testRanges })
	time.Sleep(time.Second)
}

// Guards against lists of ranges in renewals that change nothing, and against
// renewals that keep ranges which have moved.
func TestRenewalsListRangesOnlyAfterAChange(t *testing.T) {
	inWorld(t, func(w *world) {
		w.granted()
		lists, renewals := w.grants()
		time.Sleep(3 * time.Second)
		later, more := w.grants()
		require.Equal(t, lists, later, "lists in three seconds without a change")
		require.Greater(t, more-renewals, 4*15, "four upstreams are renewed each 150 ms")
		require.Equal(t, testRanges, w.owned())

		to := w.doc.Services[0].Upstreams[0].ID
		moved := 0
		for rng := range testRanges {
			if w.owner(rng) != to {
				w.move(rng, to)
				moved++
			}
		}
		require.Positive(t, moved)
		w.until("the ranges move", func() bool {
			u := w.ups[to]
			u.mu.Lock()
			defer u.mu.Unlock()
			return len(u.guard.Ranges()) > testRanges/4
		})
		require.LessOrEqual(t, w.owned(), testRanges, "a range is granted to two upstreams")
		later, _ = w.grants()
		require.Greater(t, later, lists)
	})
}

// Guards against a holder that keeps sending renewals to an upstream which has
// forgotten its grants or has them from another fence: it would never own its
// ranges again.
func TestUpstreamThatLacksTheGrantGetsTheList(t *testing.T) {
	inWorld(t, func(w *world) {
		w.granted()
		lists, _ := w.grants()
		for _, u := range w.ups {
			u.mu.Lock()
			u.guard = lease.NewGuard(lease.ChecksFence)
			u.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond) // one renewal interval and the list after it
		require.Equal(t, testRanges, w.owned())
		later, _ := w.grants()
		require.Equal(t, lists+len(w.ups), later, "one list for each upstream")
		w.takeover(everything)
		w.granted()
		require.True(t, w.send(w.shard, "k"), "%v", w.last)
	})
}

// Guards against renewals without lists to upstreams of the protocol before
// them, which would take them for empty lists and lose their ranges. The last
// part replaces the processes by older ones that a holder does not yet know.
func TestUpstreamsWithoutRenewalsGetLists(t *testing.T) {
	inWorld(t, func(w *world) {
		listsOnly := func(on bool) {
			for _, u := range w.ups {
				u.mu.Lock()
				u.listsOnly = on
				u.mu.Unlock()
			}
		}
		listsOnly(true)
		w.leave()
		w.shard.Close()
		time.Sleep(2 * time.Second)
		w.hold(PriorState{})
		w.granted()
		_, before := w.grants()
		time.Sleep(time.Second)
		_, after := w.grants()
		require.Equal(t, before, after, "renewals without lists")
		require.Equal(t, testRanges, w.owned())

		listsOnly(false)
		time.Sleep(time.Second)
		_, with := w.grants()
		require.Greater(t, with, after, "renewals are used as soon as the upstream reports them")
		listsOnly(true)
		lost, longest := 0, 0
		for range 400 { // of virtual time
			time.Sleep(time.Millisecond)
			if lost++; w.owned() == testRanges {
				lost = 0
			}
			longest = max(longest, lost)
		}
		require.Positive(t, longest, "no renewal was taken for an empty list")
		require.Less(t, longest, 50, "milliseconds until the list followed; the next renewal would be 150 ms later")
		require.Equal(t, testRanges, w.owned())
	})
}

// Guards against plans for balance in each tick, which took a quarter of the
// processor time of a holder at rest, and against a planned interval that delays
// what must move at once.
func TestPlansAtRestAndForcedMoves(t *testing.T) {
	inWorld(t, func(w *world) {
		w.granted()
		planned := func() time.Duration {
			w.shard.mu.Lock()
			defer w.shard.mu.Unlock()
			return w.shard.nextPlan
		}
		plans, last := 0, planned()
		for range 2000 { // of virtual time
			time.Sleep(time.Millisecond)
			if next := planned(); next != last {
				plans, last = plans+1, next
			}
		}
		require.LessOrEqual(t, plans, 10, "plans in two seconds at rest")
		require.GreaterOrEqual(t, plans, 9)

		next := w.doc.Clone()
		out := next.Services[0].Upstreams[1].ID
		next.Services[0].Upstreams[1].Drained = true
		w.until("a plan was just made", func() bool { return planned()-w.now() > planEvery-2*time.Millisecond })
		w.shard.Configure(next)
		time.Sleep(22 * time.Millisecond) // one tick
		w.shard.mu.Lock()
		for number, r := range w.shard.ranges.all() {
			if r.owner == out {
				require.NotEmpty(t, r.to, "range %d of a drained upstream is not moving", number)
			}
		}
		w.shard.mu.Unlock()
		w.until("the ranges have left", func() bool {
			w.ups[out].mu.Lock()
			defer w.ups[out].mu.Unlock()
			return len(w.ups[out].guard.Ranges()) == 0
		})
	})
}

// Guards against a planned move that waits for ticks instead of following the
// acknowledgements: the tick that revokes the range, one exchange with the old
// owner, one with the witness and one with the new owner.
func TestPlannedMoveFollowsAcknowledgements(t *testing.T) {
	inWorld(t, func(w *world) {
		w.granted()
		to := w.doc.Services[0].Upstreams[0].ID
		rng := 0
		for w.owner(rng) == to {
			rng++
		}
		w.move(rng, to)
		start, exchange := w.now(), grantSpacing+2*time.Millisecond
		moved := func() bool {
			w.shard.mu.Lock()
			defer w.shard.mu.Unlock()
			r := w.shard.ranges.at(rng)
			return r.owner == to && w.shard.ready(r) && !r.held
		}
		for !moved() && w.now()-start < time.Second {
			time.Sleep(time.Millisecond)
		}
		t.Logf("the move took %v", w.now()-start)
		require.LessOrEqual(t, w.now()-start, 20*time.Millisecond+3*exchange)
	})
}

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
		w.hold(Inheritance{})
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

package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/lease"
)

// grants returns how many grants with ranges and renewals the upstreams received.
func (env *testEnv) grants() (lists, renewals int) {
	for _, u := range env.upstreams {
		u.mu.Lock()
		lists, renewals = lists+u.lists, renewals+u.renewals
		u.mu.Unlock()
	}
	return lists, renewals
}

// grantedCount returns the number of ranges that the upstreams have been granted.
func (env *testEnv) grantedCount() int {
	n := 0
	for _, u := range env.upstreams {
		u.mu.Lock()
		for _, rangeNum := range u.guard.Ranges() {
			if u.guard.Owns(env.now(), rangeNum) {
				n++
			}
		}
		u.mu.Unlock()
	}
	return n
}

func (env *testEnv) awaitGranted() {
	env.t.Helper()
	env.until("all ranges are granted", func() bool { return env.grantedCount() == testRanges })
	time.Sleep(time.Second)
}

// TestRenewalsListRangesOnlyAfterAChange checks that renewals list no ranges unless
// they have changed, and that no upstream keeps ranges which have moved.
func TestRenewalsListRangesOnlyAfterAChange(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		env.awaitGranted()
		lists, renewals := env.grants()
		time.Sleep(3 * time.Second)
		laterLists, laterRenewals := env.grants()
		require.Equal(t, lists, laterLists, "lists in three seconds without a change")
		require.Greater(t, laterRenewals-renewals, 4*15, "four upstreams are renewed each 150 ms")
		require.Equal(t, testRanges, env.grantedCount())

		to := env.doc.Services[0].Upstreams[0].ID
		moved := 0
		for rangeNum := range testRanges {
			if env.owner(rangeNum) != to {
				env.move(rangeNum, to)
				moved++
			}
		}
		require.Positive(t, moved)
		env.until("the ranges move", func() bool {
			u := env.upstreams[to]
			u.mu.Lock()
			defer u.mu.Unlock()
			return len(u.guard.Ranges()) > testRanges/4
		})
		require.LessOrEqual(t, env.grantedCount(), testRanges, "a range is granted to two upstreams")
		laterLists, _ = env.grants()
		require.Greater(t, laterLists, lists)
	})
}

// TestUpstreamThatLacksTheGrantGetsTheList checks that an upstream which has lost
// its grants, or has them from another fence, gets its ranges listed again:
// renewals alone would never restore them.
func TestUpstreamThatLacksTheGrantGetsTheList(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		env.awaitGranted()
		lists, _ := env.grants()
		for _, u := range env.upstreams {
			u.mu.Lock()
			u.guard = lease.NewGuard(lease.ChecksFence)
			u.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond) // one renewal interval and the list after it
		require.Equal(t, testRanges, env.grantedCount())
		laterLists, _ := env.grants()
		require.Equal(t, lists+len(env.upstreams), laterLists, "one list for each upstream")
		env.takeover(fullAssignment)
		env.awaitGranted()
		require.True(t, env.send(env.shard, "k"), "%v", env.lastRefusal)
	})
}

// TestUpstreamsWithoutRenewalsGetLists checks that upstreams of the older protocol
// get no renewals without ranges: they would take them for empty lists and lose
// their ranges. In the last part, older processes replace the upstreams without
// the knowledge of the holder.
func TestUpstreamsWithoutRenewalsGetLists(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		setNoRenewals := func(on bool) {
			for _, u := range env.upstreams {
				u.mu.Lock()
				u.noRenewals = on
				u.mu.Unlock()
			}
		}
		setNoRenewals(true)
		env.pause()
		env.shard.Close()
		time.Sleep(2 * time.Second)
		env.hold(PriorState{})
		env.awaitGranted()
		_, before := env.grants()
		time.Sleep(time.Second)
		_, after := env.grants()
		require.Equal(t, before, after, "renewals without lists")
		require.Equal(t, testRanges, env.grantedCount())

		setNoRenewals(false)
		time.Sleep(time.Second)
		_, afterSupport := env.grants()
		require.Greater(t, afterSupport, after, "renewals are used as soon as the upstream reports them")
		setNoRenewals(true)
		gap, longestGap := 0, 0
		for range 400 { // of virtual time
			time.Sleep(time.Millisecond)
			if gap++; env.grantedCount() == testRanges {
				gap = 0
			}
			longestGap = max(longestGap, gap)
		}
		require.Positive(t, longestGap, "no renewal was taken for an empty list")
		require.Less(t, longestGap, 50, "milliseconds until the list followed; the next renewal would be 150 ms later")
		require.Equal(t, testRanges, env.grantedCount())
	})
}

// TestPlansAtRestAndForcedMoves checks that an idle holder does not plan at each
// tick, which took a quarter of its CPU time, and that forced moves do not wait
// for the next planned interval.
func TestPlansAtRestAndForcedMoves(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		env.awaitGranted()
		planned := func() time.Duration {
			env.shard.mu.Lock()
			defer env.shard.mu.Unlock()
			return env.shard.nextPlan
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

		next := env.doc.Clone()
		out := next.Services[0].Upstreams[1].ID
		next.Services[0].Upstreams[1].Drained = true
		env.until("a plan was just made", func() bool { return planned()-env.now() > planEvery-2*time.Millisecond })
		env.shard.Configure(next)
		time.Sleep(22 * time.Millisecond) // one tick
		env.shard.mu.Lock()
		for number, r := range env.shard.ranges.all() {
			if r.owner == out {
				require.NotEmpty(t, r.to, "range %d of a drained upstream is not moving", number)
			}
		}
		env.shard.mu.Unlock()
		env.until("no ranges are left", func() bool {
			env.upstreams[out].mu.Lock()
			defer env.upstreams[out].mu.Unlock()
			return len(env.upstreams[out].guard.Ranges()) == 0
		})
	})
}

// TestPlannedMoveFollowsAcknowledgements checks that a planned move does not wait
// for ticks: it takes the tick that revokes the range and one exchange each with
// the old owner, the witness and the new owner.
func TestPlannedMoveFollowsAcknowledgements(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		env.awaitGranted()
		to := env.doc.Services[0].Upstreams[0].ID
		rangeNum := 0
		for env.owner(rangeNum) == to {
			rangeNum++
		}
		env.move(rangeNum, to)
		start, exchange := env.now(), grantRetryDelay+2*time.Millisecond
		moved := func() bool {
			env.shard.mu.Lock()
			defer env.shard.mu.Unlock()
			r := env.shard.ranges.at(rangeNum)
			return r.owner == to && env.shard.ready(r) && !r.held
		}
		for !moved() && env.now()-start < time.Second {
			time.Sleep(time.Millisecond)
		}
		t.Logf("the move took %v", env.now()-start)
		require.LessOrEqual(t, env.now()-start, 20*time.Millisecond+3*exchange)
	})
}

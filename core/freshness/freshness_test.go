package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var cfg = DefaultConfig()

// TestWatchOutlivesALostCall guards against VMs that all call the store because one call of the
// watcher was lost: with the call after it and a message every 250 ms its word stays valid.
func TestWatchOutlivesALostCall(t *testing.T) {
	const pause, message, roundTrip = 80 * time.Millisecond, 250 * time.Millisecond, 50 * time.Millisecond
	require.Less(t, pause+cfg.WatchWait+cfg.ResponseTime+roundTrip+message, cfg.MaxAge)
}

// TestShortCallsOfManyVMs guards against calls to the store whose rate grows with the number of
// VMs while there is no watcher.
func TestShortCallsOfManyVMs(t *testing.T) {
	for _, vms := range []int{1, 11, 300, 13000} {
		table := NewTable(cfg)
		call := table.Begin(0, false, vms)
		require.LessOrEqual(t, float64(vms)/call.Wait.Seconds(), max(float64(vms)/cfg.LongWait.Seconds(), 1/cfg.WaitPerVM.Seconds()))
		require.LessOrEqual(t, call.Wait, cfg.LongWait)
	}
}

// TestLongCallsNeedTheWatcher guards against a long call that goes on although the watcher's
// word has lapsed, and against one that ends while it is fresh.
func TestLongCallsNeedTheWatcher(t *testing.T) {
	table := NewTable(cfg)
	table.Answered(0, 5, 5)
	table.Vouched(0, 200*time.Millisecond, 5)
	require.Equal(t, cfg.LongWait, table.Begin(0, false, 11).Wait)
	verdict, next := table.Check(0)
	require.Equal(t, Continue, verdict)
	require.Equal(t, cfg.MaxAge-200*time.Millisecond, next)
	table.Vouched(time.Second, 0, 5)
	verdict, next = table.Check(next)
	require.Equal(t, Continue, verdict)
	require.Equal(t, time.Second+cfg.MaxAge, next)
	verdict, _ = table.Check(next)
	require.Equal(t, Unwatched, verdict)
	require.Equal(t, cfg.WatchWait, table.Begin(next, false, 11).Wait)
	_, next = table.Check(next)
	require.Zero(t, next, "a short call needs no watcher")

	table.Vouched(10*time.Second, 0, 5)
	table.Unwatch()
	require.Equal(t, cfg.WatchWait, table.Begin(10*time.Second, true, 11).Wait, "this VM is the watcher now")
}

// TestLostCallIsFollowedAtOnce guards against a slow store that is taken for lost, and against
// a lost call that leaves the VM without a change for longer than the next call takes.
func TestLostCallIsFollowedAtOnce(t *testing.T) {
	table := NewTable(cfg)
	table.Answered(0, 5, 5)
	require.Less(t, table.Begin(0, true, 11).Timeout, cfg.CallTimeout)
	table.Lost()
	require.Equal(t, Call{Timeout: cfg.CallTimeout, Cause: CauseRetry}, table.Begin(time.Second, true, 11))
	table.Reported(time.Second, 9)
	verdict, _ := table.Check(time.Second + cfg.MaxLag)
	require.Equal(t, Behind, verdict)
	table.Answered(2*time.Second, 9, 9)
	verdict, next := table.Check(10 * time.Second)
	require.Equal(t, Continue, verdict)
	require.Zero(t, next)
}

// TestCallInTimeIsNotInterrupted guards against full reads of the table by all VMs at each
// change: a call returns it by itself.
func TestCallInTimeIsNotInterrupted(t *testing.T) {
	table := NewTable(cfg)
	table.Answered(0, 5, 5)
	table.Vouched(0, 0, 5)
	table.Begin(0, false, 11)
	table.Reported(time.Second, 9)
	verdict, next := table.Check(time.Second)
	require.Equal(t, Continue, verdict)
	require.Equal(t, time.Second+cfg.MaxLag, next)
	table.Begin(1300*time.Millisecond, false, 11)
	verdict, _ = table.Check(1500 * time.Millisecond)
	require.Equal(t, Continue, verdict, "the call has just begun")
	verdict, _ = table.Check(1700 * time.Millisecond)
	require.Equal(t, Behind, verdict)
}

// TestAge guards against a VM that reports its knowledge as current although it lacks a change,
// or although the watcher has heard nothing.
func TestAge(t *testing.T) {
	table := NewTable(cfg)
	_, ok := table.Age(0)
	require.False(t, ok)
	age := func(now time.Duration) time.Duration {
		age, ok := table.Age(now)
		require.True(t, ok)
		return age
	}
	table.Answered(time.Second, 5, 5)
	require.Equal(t, time.Second, age(2*time.Second))
	table.Vouched(3*time.Second, 500*time.Millisecond, 5)
	require.Equal(t, 500*time.Millisecond, age(3*time.Second))
	table.Vouched(4*time.Second, 0, 9)
	require.Equal(t, 1500*time.Millisecond, age(4*time.Second), "it lacks the change 9")
	table.Relayed(5*time.Second, 100*time.Millisecond, 9)
	require.Equal(t, 100*time.Millisecond, age(5*time.Second))
}

package stall_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/stall"
)

const (
	start = time.Minute
	limit = 700 * time.Millisecond
)

// TestStallsAreFound guards against a stop of the process that is not found, and against stalls that
// are the usual delays of a timer.
func TestStallsAreFound(t *testing.T) {
	now := start
	m := stall.NewMonitor(now)
	for _, c := range []struct{ after, stall time.Duration }{
		{after: stall.CheckInterval},
		{after: stall.CheckInterval + stall.MinStall - time.Millisecond},
		{after: stall.CheckInterval + stall.MinStall, stall: stall.MinStall},
		{after: stall.CheckInterval / 2},
		{after: stall.CheckInterval + time.Second, stall: time.Second},
		{after: -time.Second},
	} {
		now += c.after
		require.Equal(t, c.stall, m.Check(now), "%v", c.after)
	}
}

// TestSilenceCountsOnlyWhileTheProcessRuns guards against peers that a process takes for lost because
// it did not run itself, and against a lost peer that is never found because the process stalls again
// and again.
func TestSilenceCountsOnlyWhileTheProcessRuns(t *testing.T) {
	for name, c := range map[string]struct {
		before, stalled time.Duration // the time that the process runs before a stall, and the stall
		stalls          int
		want            time.Duration // how long the peer is silent until it is lost
	}{
		"no stall":              {want: limit},
		"a stall at once":       {stalled: time.Second, stalls: 1, want: limit + stall.CatchUp + time.Second},
		"a stall near the end":  {before: 650 * time.Millisecond, stalled: 5 * time.Second, stalls: 1, want: limit + stall.CatchUp + 5*time.Second},
		"a stall after a stall": {before: 50 * time.Millisecond, stalled: 200 * time.Millisecond, stalls: 1000, want: 8 * 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			m := stall.NewMonitor(now)
			s := m.Silence(now, limit)
			run := func(d time.Duration) {
				for end := now + d; now < end && m.Remaining(now, s) > 0; {
					now += min(10*time.Millisecond, end-now)
					m.Check(now)
				}
			}
			for i := 0; i < c.stalls && m.Remaining(now, s) > 0; i++ {
				run(c.before)
				if m.Remaining(now, s) > 0 {
					now += c.stalled + stall.CheckInterval
					m.Check(now)
				}
			}
			run(time.Minute)
			// Of each stall, CheckInterval counts as time that the process ran.
			require.Equal(t, c.want, now-start, "the peer is lost")
		})
	}
}

// TestMessagesThatWaitedAreNotRecent guards against permits, ranks and ages of a granter that count from
// the moment at which a stalled process reads them.
func TestMessagesThatWaitedAreNotRecent(t *testing.T) {
	a := stall.NewArrivals(limit, start)
	received := func(now, answers, want time.Duration) {
		t.Helper()
		arrived, ok := a.Received(now, answers)
		require.True(t, ok)
		require.Equal(t, want, arrived)
	}
	received(start+limit, 0, start+limit)
	last := start + limit + 250*time.Millisecond
	received(last, start, last)

	resumed := last + 3*time.Second
	received(resumed, last-50*time.Millisecond, last)
	received(resumed+time.Millisecond, last, last)
	again := resumed + time.Second
	received(again, resumed+time.Millisecond, last)
	received(again+100*time.Millisecond, again-time.Millisecond, last)
	received(again+200*time.Millisecond, again, again+200*time.Millisecond)
	received(again+300*time.Millisecond, again, again+300*time.Millisecond)
}

// TestMessagesWithoutAnAnswerEndTheConnection guards against messages of peers of earlier versions that
// are never dated again after a stall.
func TestMessagesWithoutAnAnswerEndTheConnection(t *testing.T) {
	a := stall.NewArrivals(limit, start)
	_, ok := a.Received(start+limit, 0)
	require.True(t, ok)
	_, ok = a.Received(start+3*limit, 0)
	require.False(t, ok)
}

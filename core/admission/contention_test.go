package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestIntervalsOfContention guards against an interval for an upstream that can run its requests,
// shares that VMs with little demand leave unused, an end that never comes, and memory without
// bound.
func TestIntervalsOfContention(t *testing.T) {
	c := NewContentions[int]()
	now := time.Duration(0)
	report := func(vms int, demand float64, full bool) {
		for vm := range vms {
			c.Report(now, api.VMID(strconv.Itoa(vm)), 1, ContentionReport{Demand: demand, Departure: 95 * ms, Full: full})
		}
	}
	report(10, 9, false)
	intervals, _ := c.Intervals(now, 10)
	require.Empty(t, intervals, "no VM found it full")
	require.True(t, c.Report(now, "0", 1, ContentionReport{Demand: 3, Departure: 95 * ms, Full: true}))
	report(10, 3, false)
	intervals, changed := c.Intervals(now, 10)
	require.False(t, changed)
	require.Equal(t, map[int]time.Duration{1: 0}, intervals, "30 requests a second are under four times 10")
	report(10, 30, false) // an average of 8 for each
	intervals, changed = c.Intervals(now, 10)
	require.True(t, changed)
	require.InDelta(t, time.Second, intervals[1], float64(10*ms), "10 a second, divided by 10 VMs")
	_, changed = c.Intervals(now, 10)
	require.False(t, changed)
	for range 30 {
		now += 400 * ms
		report(9, 0.5, false)
		c.Report(now, "9", 1, ContentionReport{Demand: 80, Departure: 95 * ms})
	}
	intervals, _ = c.Intervals(now, 10)
	require.InDelta(t, float64(time.Second)/5, intervals[1], float64(30*ms), "9 VMs leave half of the rate to the other")
	now += contenderTTL + ms
	c.Intervals(now, 10)
	intervals, _ = c.Intervals(now, 10)
	require.Empty(t, intervals, "nobody has demand")
	for upstream := range 100 {
		c.Report(now, "0", upstream, ContentionReport{Full: true})
	}
	intervals, _ = c.Intervals(now, 10)
	require.Len(t, intervals, maxWatched)
}

// TestIntervalOfQueue guards against a queue that sends before its interval is over, that keeps it
// without a granter, or that sends all that waits when it ends.
func TestIntervalOfQueue(t *testing.T) {
	q := New(4)
	q.SetBackpressure(300, 2, func() float64 { return 0.5 })
	q.SetInterval(0, 10*time.Second)
	require.Equal(t, 5*time.Second, q.Pause(0), "VMs start at a random time")
	d, wait := q.Offer(0, request(0, 0, time.Second, 3*time.Second))
	require.Equal(t, Refuse, d)
	require.Equal(t, 5*time.Second, wait)
	for now := time.Second; now <= 5*time.Second; now += time.Second {
		q.SetInterval(now, 10*time.Second)
	}
	d, _ = q.Offer(5*time.Second, request(0, 5*time.Second, time.Second, 3*time.Second))
	require.Equal(t, Start, d)
	require.Equal(t, 10*time.Second, q.Pause(5*time.Second))
	q.UpstreamFull(6 * time.Second)
	require.Equal(t, 10*time.Second, q.Pause(6*time.Second), "a rejection takes one turn")
	require.True(t, q.Full())
	require.True(t, q.Contention(6*time.Second).Full)
	require.False(t, q.Full())
	require.Zero(t, q.Interval(5*time.Second+contentionTTL))
	q.SetInterval(6*time.Second, 10*time.Second)
	q.SetInterval(6*time.Second, 0)
	require.Equal(t, maxBackoff, q.Pause(6*time.Second))
	q.Observe(7*time.Second, State{Running: 1, Slots: 2, Slowdown: 1})
	require.Zero(t, q.Pause(7*time.Second))
}

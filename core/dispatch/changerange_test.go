package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestChangeRange guards against requests that change their range but stay with the
// former owner, start while the new range is held, or still count for the old one.
func TestChangeRange(t *testing.T) {
	q := New(DefaultConfig())
	q.SetLimits([]Limit{{Upstream: "a", InFlight: 4, Open: true}, {Upstream: "b", InFlight: 4, Open: true}})
	deadline := time.Minute
	for id := uint64(1); id <= 3; id++ {
		require.Nil(t, q.Admit(0, Request{ID: id, Upstream: "a", Key: "k", Caller: "c", Range: 1, Deadline: deadline}))
	}
	q.HoldRange(1)
	q.HoldRange(9)
	starts, _ := q.Next(0)
	require.Empty(t, starts)
	for id := uint64(1); id <= 3; id++ {
		q.ChangeRange(id, 9, "b")
	}
	q.ChangeRange(4, 9, "b") // not queued
	q.ReleaseRange(1, "a")
	starts, _ = q.Next(0)
	require.Empty(t, starts)
	require.Zero(t, q.QueuedFor("a"))
	q.ReleaseRange(9, "")
	starts, _ = q.Next(0)
	require.Len(t, starts, 3)
	for i, s := range starts {
		require.Equal(t, uint64(i+1), s.ID, "in order of arrival")
		require.EqualValues(t, "b", s.Upstream)
	}
	require.Equal(t, 3, q.RangeInFlight(9))
	require.Zero(t, q.RangeInFlight(1))
	q.ChangeRange(1, 1, "a") // running
	require.Equal(t, 3, q.RangeInFlight(9))
}

package dedup_test

import (
	"encoding/binary"
	"testing"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/dedup"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

// newID returns the n-th UUIDv7 dated at.
func newID(at time.Time, n uint64) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[8:], n)
	ms := uint64(at.UnixMilli())
	binary.BigEndian.PutUint64(u[:8], ms<<16)
	u[6], u[8] = 0x70, u[8]&0x3f|0x80
	return u.String()
}

func kind(d dedup.Decision) api.Kind {
	if d.Refusal == nil {
		return ""
	}
	return d.Refusal.Kind
}

// TestRetry guards against a second run of one ID in each state of the first.
func TestRetry(t *testing.T) {
	table := dedup.New(dedup.Config{}, start)
	now := start.Add(time.Minute)
	id := newID(now, 1)
	require.Equal(t, dedup.Run, table.Begin(now, id).Action)
	require.Equal(t, dedup.Wait, table.Begin(now, id).Action)
	table.Finish(now, id, dedup.Result{Outcome: api.Answered, Response: &dedup.Response{Status: 201, Body: []byte("x")}})
	d := table.Begin(now, id)
	require.Equal(t, dedup.Recorded, d.Action)
	require.Equal(t, "x", string(d.Response.Body))

	lost := newID(now, 2)
	table.Begin(now, lost)
	table.Finish(now, lost, dedup.Result{Outcome: api.Unknown})
	require.Equal(t, api.UpstreamFailed, kind(table.Begin(now, lost)))

	shed := newID(now, 3)
	table.Begin(now, shed)
	table.Finish(now, shed, dedup.Result{Outcome: api.NotRun})
	require.Equal(t, dedup.Run, table.Begin(now, shed).Action, "the outcome not-run removes the ID")
}

// TestIDDates guards against running IDs with dates that the table does not cover.
func TestIDDates(t *testing.T) {
	cfg := dedup.DefaultConfig()
	table := dedup.New(cfg, start)
	now := start.Add(time.Hour)
	require.Equal(t, api.InvalidID, kind(table.Begin(now, "x")))
	require.Equal(t, api.InvalidID, kind(table.Begin(now, uuid.Nil.String())))
	require.Equal(t, api.InvalidID, kind(table.Begin(now, newID(now.Add(cfg.ClockSkew+time.Millisecond), 1))))
	require.Equal(t, dedup.Run, table.Begin(now, newID(now.Add(cfg.ClockSkew), 1)).Action)
	oldest := now.Add(-cfg.Retention + cfg.ClockSkew)
	require.Equal(t, dedup.Run, table.Begin(now, newID(oldest, 1)).Action)
	require.Equal(t, api.ForgottenID, kind(table.Begin(now, newID(oldest.Add(-time.Millisecond), 1))))
}

// TestTableLoss guards against a retry that runs again after a takeover.
func TestTableLoss(t *testing.T) {
	cfg := dedup.DefaultConfig()
	table := dedup.New(cfg, start)
	before := newID(start.Add(cfg.ClockSkew-time.Millisecond), 1)
	d := table.Begin(start.Add(time.Second), before)
	require.Equal(t, api.ForgottenID, kind(d))
	require.Equal(t, api.Unknown, d.Refusal.Outcome)
	require.Equal(t, dedup.Run, table.Begin(start.Add(time.Second), newID(start.Add(cfg.ClockSkew), 1)).Action)
}

// TestExpiry guards against an ID that is removed while its date still allows a run.
func TestExpiry(t *testing.T) {
	cfg := dedup.DefaultConfig()
	table := dedup.New(cfg, start)
	at := start.Add(time.Minute)
	id := newID(at.Add(cfg.ClockSkew), 1) // the latest accepted date
	table.Begin(at, id)
	table.Finish(at, id, dedup.Result{Outcome: api.Answered})
	for step := time.Duration(0); step <= 2*cfg.Retention; step += time.Second / 4 {
		require.NotEqual(t, dedup.Run, table.Begin(at.Add(step), id).Action)
	}
	require.Zero(t, table.Len())
	require.NotEqual(t, dedup.Run, table.Begin(at, id).Action, "a clock set back must not revive the ID")
}

// TestCapacity guards against unbounded memory and against early eviction.
func TestCapacity(t *testing.T) {
	table := dedup.New(dedup.Config{Capacity: 2, MaxBodyBytes: 10, MaxTotalBodyBytes: 15}, start)
	now := start.Add(time.Minute)
	require.Equal(t, dedup.Run, table.Begin(now, newID(now, 1)).Action)
	require.Equal(t, dedup.Run, table.Begin(now, newID(now, 2)).Action)
	d := table.Begin(now, newID(now, 3))
	require.Equal(t, api.IDCapacity, kind(d))
	require.Equal(t, 10*time.Minute, d.Refusal.RetryAfter)
	for n, size := range []int{8, 8} {
		table.Finish(now, newID(now, uint64(n+1)), dedup.Result{Outcome: api.Answered, Response: &dedup.Response{Body: make([]byte, size)}})
	}
	require.Equal(t, int64(8), table.BodyBytes())
	require.True(t, table.Begin(now, newID(now, 1)).Response.BodyDropped, "the oldest body is dropped")
	require.False(t, table.Begin(now, newID(now, 2)).Response.BodyDropped)
	later := now.Add(10*time.Minute + 1)
	require.Equal(t, dedup.Run, table.Begin(later, newID(later, 4)).Action)
	require.Zero(t, table.BodyBytes())
}

// TestHandover guards against a planned handover that loses an ID.
func TestHandover(t *testing.T) {
	table := dedup.New(dedup.Config{}, start)
	now := start.Add(time.Minute)
	finished, open := newID(now, 1), newID(now, 2)
	table.Begin(now, finished)
	table.Begin(now, open)
	table.Finish(now, finished, dedup.Result{Outcome: api.Answered, Response: &dedup.Response{Status: 200}})
	next := dedup.Restore(dedup.Config{}, table.Snapshot())
	require.Equal(t, dedup.Recorded, next.Begin(now, finished).Action)
	require.Equal(t, api.DuplicateRunning, kind(next.Begin(now, open)))
	next.Finish(now, open, dedup.Result{Outcome: api.Answered, Response: &dedup.Response{Status: 200}})
	require.Equal(t, dedup.Recorded, next.Begin(now, open).Action)
	require.Equal(t, dedup.Run, next.Begin(now, newID(now, 3)).Action, "fresh IDs run at once")
}

// room is a budget of some bytes.
type room int64

func (r *room) Take(bytes int64) bool {
	if int64(*r) < bytes {
		return false
	}
	*r -= room(bytes)
	return true
}

func (r *room) Return(bytes int64) { *r += room(bytes) }

// TestBodyBudget guards against recorded responses beyond the memory of all tables, and against memory
// that is lost when bodies expire or a table ends.
func TestBodyBudget(t *testing.T) {
	table := dedup.New(dedup.Config{}, start)
	now := start.Add(time.Minute)
	finish := func(n uint64) {
		id := newID(now, n)
		require.Equal(t, dedup.Run, table.Begin(now, id).Action)
		table.Finish(now, id, dedup.Result{Outcome: api.Answered, Response: &dedup.Response{Status: 200, Body: make([]byte, 100, 200)}})
	}
	for n := range uint64(4) {
		finish(n)
	}
	left := room(250)
	table.SetBudget(&left)
	finish(4)
	require.EqualValues(t, 50, left)
	for n := range uint64(5) {
		d := table.Begin(now, newID(now, n))
		require.Equal(t, n < 3, d.Response.BodyDropped, "the newest are kept: %d", n)
		require.Less(t, cap(d.Response.Body), 200, "a larger buffer is not kept")
	}
	now = now.Add(time.Hour)
	table.Begin(now, newID(now, 9))
	require.EqualValues(t, 250, left, "expired bodies are returned")
	finish(10)
	table.DropBodies()
	finish(11)
	require.EqualValues(t, 250, left)
}

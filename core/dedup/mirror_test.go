package dedup

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// idAt returns an ID dated at a time.
func idAt(t *testing.T, at time.Time, n byte) ID {
	t.Helper()
	u := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[15] = n
	id, err := ParseID(u.String())
	require.NoError(t, err)
	return id
}

// TestMirrorDistinguishesRetriesFromNewRequests guards against a takeover after
// which a started request runs again, and against one after which requests that
// were never started are refused with an unknown outcome.
func TestMirrorDistinguishesRetriesFromNewRequests(t *testing.T) {
	cfg := DefaultConfig()
	start := time.Unix(1_800_000_000, 0)
	mirror := NewMirror(30*time.Second, start)
	started := idAt(t, start.Add(10*time.Second), 1)
	mirror.Add(start.Add(10*time.Second), []ID{started})

	takeover := start.Add(11 * time.Second)
	table := Restore(cfg, SnapshotFromMirrors(cfg, mirror.CoveredSince(takeover), mirror.IDs()))
	retry := table.Begin(takeover, started.String())
	require.NotEqual(t, Run, retry.Action)
	waited := idAt(t, start.Add(10*time.Second+500*time.Millisecond), 2)
	require.Equal(t, Run, table.Begin(takeover, waited.String()).Action, "it was never started")
	old := table.Begin(takeover, idAt(t, start.Add(-time.Second), 3).String())
	require.Equal(t, Refuse, old.Action)
	require.Equal(t, api.ForgottenID, old.Refusal.Kind, "the mirror does not cover it")
}

// TestMirrorExpiry guards against a mirror that grows without bound, and against
// one that claims to cover IDs that it has removed.
func TestMirrorExpiry(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	mirror := NewMirror(10*time.Second, start)
	for i := range 100 {
		at := start.Add(time.Duration(i) * time.Second)
		mirror.Add(at, []ID{idAt(t, at, byte(i))})
	}
	end := start.Add(99 * time.Second)
	require.Len(t, mirror.IDs(), 11)
	require.Equal(t, end.Add(-10*time.Second), mirror.CoveredSince(end))
	mirror.Reset(end)
	require.Empty(t, mirror.IDs())
	require.Equal(t, end, mirror.CoveredSince(end.Add(time.Second)))
}

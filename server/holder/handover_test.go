package holder

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/dedup"
)

// TestHandoverInParts checks that a deduplication table larger than one frame is
// handed over completely: the successor would forget the IDs that are missing.
func TestHandoverInParts(t *testing.T) {
	const entries, body = 100, 60 << 10
	table := dedup.New(dedup.DefaultConfig(), time.Now().Add(-time.Minute))
	var wall time.Time
	for range entries {
		id := uuid.Must(uuid.NewV7()).String()
		wall = time.Now() // an ID that is dated later than that, by more than the clocks may differ, is refused
		require.Equal(t, dedup.Run, table.Begin(wall, id).Action)
		table.Finish(wall, id, dedup.Result{Outcome: api.Answered, Response: &dedup.Response{Status: 200, Body: make([]byte, body)}})
	}
	handover := Handover{Shard: api.ShardID{Service: "s"}, Fence: api.NewFence(1, 1), Dedup: table.Snapshot()}
	want := handover.Dedup.Entries
	parts := handover.Split()
	require.Greater(t, len(parts), entries*body/wire.MaxFrameBytes)
	var joined Handover
	for i, part := range parts {
		data, err := wire.Encode(wire.TypeHandover, 1, part)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), wire.MaxFrameBytes)
		frame, err := wire.Decode(data)
		require.NoError(t, err)
		var received Handover
		require.NoError(t, frame.Unpack(&received))
		if i == 0 {
			joined = received
			continue
		}
		require.False(t, joined.Last)
		require.True(t, joined.Join(received))
		require.False(t, joined.Join(received), "a repeated part is refused")
	}
	require.True(t, joined.Last)
	require.Equal(t, len(want), len(joined.Dedup.Entries))
	restored := dedup.Restore(dedup.DefaultConfig(), joined.Dedup)
	for _, e := range want {
		require.Equal(t, dedup.Recorded, restored.Begin(wall, e.ID.String()).Action)
	}
}

// TestHandoverOfUnstartedRequest checks that a request which waits for a witness
// to store its ID is not handed over as running: the successor would treat it as
// a run with an unknown outcome.
func TestHandoverOfUnstartedRequest(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		env.until("a response", func() bool { return env.send(env.shard, "k") })
		sent := make(chan uint64, 1)
		env.shard.mu.Lock()
		env.shard.cfg.MirrorIDs = func(_ []api.VMID, seq uint64, _ []dedup.ID) { sent <- seq }
		env.shard.mu.Unlock()
		env.shard.SetWitnesses([]api.VMID{"witness"})
		f := env.forward("k", 10*time.Second)
		first := make(chan *wire.Reply, 1)
		go func() { first <- env.shard.Serve(context.Background(), f) }()
		<-sent // the witness never acknowledges
		env.handover(fullAssignment)
		require.Equal(t, api.NotHolder, (<-first).Refusal.Kind)
		env.until("the successor runs the request", func() bool {
			reply := env.shard.Serve(context.Background(), f)
			defer reply.Release()
			if reply.Refusal != nil {
				require.Equal(t, api.NotRun, reply.Refusal.Outcome, "%+v", reply.Refusal)
			}
			return reply.Refusal == nil
		})
	})
}

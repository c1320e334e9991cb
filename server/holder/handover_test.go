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

// TestHandoverInParts guards against a memory of request IDs that is too large
// for one frame: it would be lost, and its IDs forgotten.
func TestHandoverInParts(t *testing.T) {
	const entries, body = 100, 60 << 10
	memory := dedup.New(dedup.DefaultConfig(), time.Now().Add(-time.Minute))
	wall := time.Now()
	for range entries {
		id := uuid.Must(uuid.NewV7()).String()
		require.Equal(t, dedup.Run, memory.Begin(wall, id).Action)
		memory.Finish(wall, id, dedup.Result{Outcome: api.Answered, Answer: &dedup.Answer{Status: 200, Body: make([]byte, body)}})
	}
	whole := Handover{Shard: api.ShardID{Service: "s"}, Fence: api.NewFence(1, 1), Dedup: memory.Snapshot()}
	want := whole.Dedup.Entries
	parts := whole.Split()
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

// TestHandoverOfUnstartedRequest guards against a request that waits for a
// witness to keep its ID while the shard is handed over: the successor would
// take it for a run with an unknown outcome.
func TestHandoverOfUnstartedRequest(t *testing.T) {
	inWorld(t, func(w *world) {
		w.until("requests are answered", func() bool { return w.send(w.shard, "k") })
		sent := make(chan uint64, 1)
		w.shard.mu.Lock()
		w.shard.cfg.MirrorIDs = func(_ []api.VMID, seq uint64, _ []dedup.ID) { sent <- seq }
		w.shard.mu.Unlock()
		w.shard.SetWitnesses([]api.VMID{"witness"})
		f := w.forward("k", 10*time.Second)
		first := make(chan *wire.Reply, 1)
		go func() { first <- w.shard.Serve(context.Background(), f) }()
		<-sent // the witness is never heard
		w.handover(everything)
		require.Equal(t, api.NotHolder, (<-first).Refusal.Kind)
		w.until("the successor runs the request", func() bool {
			reply := w.shard.Serve(context.Background(), f)
			if reply.Refusal != nil {
				require.Equal(t, api.NotRun, reply.Refusal.Outcome, "%+v", reply.Refusal)
			}
			return reply.Refusal == nil
		})
	})
}

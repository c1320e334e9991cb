package holder

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/server/buffers"
)

// TestResponseWithoutMemory guards against a response without room that counts as evidence of a crash,
// that is reported as not run, or whose recorded body is missing from a response that looks whole.
func TestResponseWithoutMemory(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		time.Sleep(time.Second)
		others := env.buffers.Reserve()
		require.True(t, others.Take(env.buffers.Left()))
		for range 5 {
			reply := env.shard.Serve(context.Background(), env.forward("k", time.Second))
			require.Equal(t, api.UpstreamFailed, reply.Refusal.Kind)
			require.Equal(t, api.Unknown, reply.Refusal.Outcome)
		}
		others.Release()
		require.True(t, env.send(env.shard, "k"), "it was no evidence of a crash")

		forward := env.forward("k", time.Second)
		first := env.shard.Serve(context.Background(), forward)
		require.Len(t, first.Body, responseBytes)
		first.Release()
		repeated := env.shard.Serve(context.Background(), forward)
		require.True(t, repeated.Repeated)
		require.Len(t, repeated.Body, responseBytes)
		for range buffersOf(env.recorded, responseBytes) {
			require.True(t, env.send(env.shard, "k"))
		}
		dropped := env.shard.Serve(context.Background(), forward)
		require.Equal(t, api.Unknown, dropped.Refusal.Outcome)
		require.LessOrEqual(t, env.recorded.Left(), int64(responseBytes), "the newest responses are kept")
	})
}

// buffersOf returns how many bodies of a size a budget has room for.
func buffersOf(b *buffers.Budget, size int64) int64 { return b.Total() / size }

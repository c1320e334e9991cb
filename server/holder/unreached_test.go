package holder

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestRequestWaitsForTheMoveFromALostUpstream checks that a request is not lost,
// refused or sent repeatedly while its upstream accepts no connections and does not
// respond to control calls: it waits for the move of its range.
func TestRequestWaitsForTheMoveFromALostUpstream(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary, owner := env.awaitSettled()
		env.upstreams[owner].setRefusing(true, false)
		reply := env.shard.Serve(context.Background(), env.forward(hotKey, 5*time.Second))
		require.Nil(t, reply.Refusal)
		reply.Release()
		require.NotEqual(t, owner, env.owner(ordinary))
		require.Equal(t, 1, env.upstreams[owner].refusedConns, "calls without a connection")
	})
}

// TestRequestGivesUpAnUnreachableUpstream checks that a request is refused before
// its deadline if its upstream responds to control calls but accepts no requests.
func TestRequestGivesUpAnUnreachableUpstream(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		ordinary, owner := env.awaitSettled()
		env.upstreams[owner].setRefusing(true, true)
		reply := env.shard.Serve(context.Background(), env.forward(hotKey, 20*time.Second))
		require.Equal(t, api.NoOwner, reply.Refusal.Kind)
		require.Equal(t, api.NotRun, reply.Refusal.Outcome)
		require.Equal(t, maxUnreachedCalls, env.upstreams[owner].refusedConns)
		env.upstreams[owner].setRefusing(false, true)
		env.until("a response", func() bool { return env.send(env.shard, hotKey) })
		require.Equal(t, owner, env.owner(ordinary))
	})
}

package holder

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// Guards against a request that is lost, refused or sent again and again while
// its upstream accepts no connection and answers no control call either: it
// waits for the move of its range.
func TestRequestWaitsForTheMoveFromALostUpstream(t *testing.T) {
	inWorld(t, func(w *world) {
		home, owner := w.settled()
		w.ups[owner].refuse(true, false)
		reply := w.shard.Serve(context.Background(), w.forward(hotKey, 5*time.Second))
		require.Nil(t, reply.Refusal)
		require.NotEqual(t, owner, w.owner(home))
		require.Equal(t, 1, w.ups[owner].refused, "calls without a connection")
	})
}

// Guards against a request that is tried for as long as its deadline allows on
// an upstream that answers control calls but accepts no requests.
func TestRequestGivesUpAnUnreachableUpstream(t *testing.T) {
	inWorld(t, func(w *world) {
		home, owner := w.settled()
		w.ups[owner].refuse(true, true)
		reply := w.shard.Serve(context.Background(), w.forward(hotKey, 20*time.Second))
		require.Equal(t, api.NoOwner, reply.Refusal.Kind)
		require.Equal(t, api.NotRun, reply.Refusal.Outcome)
		require.Equal(t, maxUnreached, w.ups[owner].refused)
		w.ups[owner].refuse(false, true)
		w.until("an answer", func() bool { return w.send(w.shard, hotKey) })
		require.Equal(t, owner, w.owner(home))
	})
}

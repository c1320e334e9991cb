package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// keysOf counts those of the first keys that an upstream owns.
func (w *world) keysOf(up api.UpstreamID, keys int) (n int) {
	for i := range keys {
		if w.owner(rangeOfKey(fmt.Sprintf("key-%d", i))) == up {
			n++
		}
	}
	return n
}

// Guards against an upstream that stays slow and keeps its keys, and against one
// that is slow for a moment and loses them.
func TestLastingStragglerKeepsFewRanges(t *testing.T) {
	const keys = 2 * testRanges
	inWorld(t, func(w *world) {
		w.until("an owner", func() bool { return w.send(w.shard, "key-0") })
		for i := range keys {
			defer w.load(fmt.Sprintf("key-%d", i), 4)()
		}
		time.Sleep(30 * time.Second) // warm and balanced
		slow := w.doc.Services[0].Upstreams[0].ID
		before := w.keysOf(slow, keys)
		require.Greater(t, before, keys/8)
		w.ups[slow].serveIn(60 * time.Millisecond)
		time.Sleep(20 * time.Second)
		w.ups[slow].serveIn(4 * time.Millisecond)
		time.Sleep(30 * time.Second)
		require.Equal(t, before, w.keysOf(slow, keys), "keys after a moment")
		w.ups[slow].serveIn(60 * time.Millisecond)
		w.until("LastingAfter", func() bool {
			w.shard.mu.Lock()
			defer w.shard.mu.Unlock()
			return w.shard.monitor.Lasting(w.now(), slow)
		})
		w.until("moves", func() bool { return w.keysOf(slow, keys) <= before/8 })
		w.ups[slow].serveIn(4 * time.Millisecond)
		w.until("its return", func() bool {
			w.shard.mu.Lock()
			defer w.shard.mu.Unlock()
			return !w.shard.monitor.Straggling(slow)
		})
	})
}

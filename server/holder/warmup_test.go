package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWarmUpAnswersReachKnownUpstreams guards against a stated number of answers
// that only upstreams added later would follow.
func TestWarmUpAnswersReachKnownUpstreams(t *testing.T) {
	inWorld(t, func(w *world) {
		doc := w.doc.Clone()
		for i := range doc.Services {
			doc.Services[i].WarmUpAnswers = 300
		}
		w.shard.Configure(doc)
		w.shard.mu.Lock()
		defer w.shard.mu.Unlock()
		require.NotEmpty(t, w.shard.ups)
		for id, up := range w.shard.ups {
			now := w.shard.cfg.Clock()
			up.ramp.Restart(now)
			for range 299 {
				up.ramp.Limit(now, w.shard.full())
				up.ramp.Observe(now+time.Millisecond, time.Millisecond, false)
			}
			require.Equal(t, 1, up.ramp.Limit(now, w.shard.full()), id)
			up.ramp.Observe(now+time.Millisecond, time.Millisecond, false)
			require.Equal(t, 2, up.ramp.Limit(now, w.shard.full()), id)
		}
	})
}

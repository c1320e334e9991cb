package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWarmUpAnswersReachKnownUpstreams checks that a change of WarmUpAnswers also
// applies to upstreams that are already known.
func TestWarmUpAnswersReachKnownUpstreams(t *testing.T) {
	runWithShard(t, func(env *testEnv) {
		doc := env.doc.Clone()
		for i := range doc.Services {
			doc.Services[i].WarmUpAnswers = 300
		}
		env.shard.Configure(doc)
		env.shard.mu.Lock()
		defer env.shard.mu.Unlock()
		require.NotEmpty(t, env.shard.upstreams)
		for id, up := range env.shard.upstreams {
			now := env.shard.cfg.Clock()
			up.ramp.Restart(now)
			for range 299 {
				up.ramp.Limit(now, env.shard.warmLimit())
				up.ramp.Observe(now+time.Millisecond, time.Millisecond, false)
			}
			require.Equal(t, 1, up.ramp.Limit(now, env.shard.warmLimit()), id)
			up.ramp.Observe(now+time.Millisecond, time.Millisecond, false)
			require.Equal(t, 2, up.ramp.Limit(now, env.shard.warmLimit()), id)
		}
	})
}

package holder

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/platform"
)

// TestFailedSendIsReported guards against a response that broke off or was malformed and that operators
// cannot find: neither its request nor its upstream in the log, nor a counter.
func TestFailedSendIsReported(t *testing.T) {
	for _, reason := range []platform.SendReason{platform.ConnectionBroken, platform.InvalidResponse} {
		runWithShard(t, func(env *testEnv) {
			time.Sleep(time.Second)
			broken := &platform.SendError{Outcome: api.Unknown, Reason: reason, Err: errors.New("status 000")}
			for _, u := range env.upstreams {
				u.sendError = broken
			}
			forward := env.forward("k", time.Second)
			reply := env.shard.Serve(context.Background(), forward)
			require.Equal(t, api.Unknown, reply.Refusal.Outcome)
			require.Contains(t, reply.Refusal.Message, "status 000")
			require.Regexp(t, `"event":"send_failed","request_id":"`+forward.RequestID+`","upstream":"[^"]+","reason":"`+string(reason)+`","sent":true`, env.log.String())
			counter := env.shard.cfg.Metrics.FailedSends.WithLabelValues(string(env.shard.cfg.ID.Service), string(reason))
			require.InDelta(t, 1, testutil.ToFloat64(counter), 0)
		})
	}
}

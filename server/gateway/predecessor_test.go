package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/config/strict"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
)

// TestLastGrantOfPredecessor guards against a key that gets another owner while the last grant of
// the granter before still counts: it reached the former owner after its release, and the clock of
// that owner is slow.
func TestLastGrantOfPredecessor(t *testing.T) {
	const until, step = time.Minute, 10 * time.Millisecond
	cfg := ownership.DefaultConfig(fleet.KeyCount)
	e := &elector{bounds: Bounds{MaxLease: strict.Duration(time.Minute)}, control: newControl(nil, NewMetrics(), zerolog.Nop())}
	from, to := ownership.Owner{UpstreamID: "k1"}, ownership.Owner{UpstreamID: "k2"}
	m := ownership.New(cfg, 2, []ownership.Entry{{Span: ownership.Span{Last: fleet.KeyCount - 1}, Owner: from, Fence: 1}}, e.predecessor(leaseRow{}, until))
	m.SetUpstreams([]ownership.Upstream{{Owner: from, Capacity: 1}, {Owner: to, Capacity: 1, MayKeepKeys: true, MayGainKeys: true}})
	for now := until; ; now += step {
		require.Less(t, now, until+time.Minute)
		for _, a := range m.Tick(now, ownership.Mode{Renew: true, Move: true}) {
			if a.Kind == ownership.Release {
				m.ReleaseDone(now, a, ownership.Accepted, "")
			}
			if a.Kind != ownership.Write {
				continue
			}
			arrival := until + cfg.MaxMessageDelay
			require.GreaterOrEqual(t, now, arrival+time.Duration(float64(cfg.LeaseTTL)/(1-cfg.Drift)), "the former owner still holds the keys")
			return
		}
	}
}

package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/config/strict"
	"dandelionhill.dev/core/quota"
)

const goodSettings = `{
	"vm": "edge-1", "failure_domain": "a", "store": "10.0.0.1:1", "memory_mb": 284,
	"listen": {"callers": "10.0.0.2:1", "health": "10.0.0.2:2", "peers": "10.0.0.2:3", "metrics": "10.0.0.2:4"},
	// A comment, as the template has them.
	"bounds": {"grace": "6s", "hold": "10s", "repeat_window": "10s", "repeat_ratio": 0.2, "repeat_slack": 62}
}`

// TestSettings guards against settings that are read wrong, and against mistakes that
// would show only while the VM runs.
func TestSettings(t *testing.T) {
	s, err := ParseSettings("good", []byte(goodSettings))
	require.NoError(t, err)
	require.Equal(t, 10*time.Second, s.Bounds.MaxLease.AsDuration())
	require.InDelta(t, 62, s.Bounds.RetryAllowance, 0)
	require.Equal(t, "info", s.LogLevel)
	require.False(t, s.Bounds.RevokeStrict)
	require.Equal(t, 5*time.Second, s.Bounds.Revoke.AsDuration())
	s, err = ParseSettings("strict", []byte(strings.Replace(goodSettings, `"hold"`, `"revoke": "3s", "revoke_strict": true, "hold"`, 1)))
	require.NoError(t, err)
	require.True(t, s.Bounds.RevokeStrict)
	require.Equal(t, 3*time.Second, s.Bounds.Revoke.AsDuration())
	require.Equal(t, quota.DefaultRule, s.Bounds.quotaRule())
	s, err = ParseSettings("quota", []byte(strings.Replace(goodSettings, `"hold"`, `"quota_window": "4s", "quota_overshoot": 0.2, "quota_slack": 9, "hold"`, 1)))
	require.NoError(t, err)
	require.Equal(t, quota.Rule{Window: 4 * time.Second, Overshoot: 0.2, Slack: 9}, s.Bounds.quotaRule())
	require.Equal(t, Limits{ResponseHeadKB: 64, ResponseBodyKB: 8192, ResponseWindowKB: 64, CallerReadTimeout: strict.Duration(2 * time.Second)}, s.Limits.withDefaults())
	withLimits := func(limits string) string { return goodSettings[:len(goodSettings)-1] + `, "limits": ` + limits + `}` }
	s, err = ParseSettings("limits", []byte(withLimits(`{"response_body_kb": 100, "buffers_mb": 20, "response_window_kb": 16, "caller_read_timeout": "1s"}`)))
	require.NoError(t, err)
	require.Equal(t, Limits{ResponseHeadKB: 64, ResponseBodyKB: 100, BuffersMB: 20, ResponseWindowKB: 16, CallerReadTimeout: strict.Duration(time.Second)}, s.Limits.withDefaults())
	require.Equal(t, int64(20<<20), s.Limits.buffersBytes(s.MemoryMB))
	s, err = ParseSettings("overload", []byte(goodSettings[:len(goodSettings)-1]+`, "overload": {"fair": true, "fair_routes": true, "refuse_late": true, "backpressure": true, "contention": true}}`))
	require.NoError(t, err)
	require.Equal(t, Overload{Fair: true, FairRoutes: true, RefuseLate: true, Backpressure: true, Contention: true}, s.Overload)
	withHedging := func(share string) string {
		return goodSettings[:len(goodSettings)-1] + `, "hedging": {"share": ` + share + `}}`
	}
	s, err = ParseSettings("hedging", []byte(withHedging("0.2")))
	require.NoError(t, err)
	require.InDelta(t, 0.2, s.Hedging.Share, 0)
	_, err = ParseSettings("hedging", []byte(withHedging("0.21")))
	require.ErrorContains(t, err, "write a share of the requests from 0 (no hedges) to 0.2")
	for _, bad := range []string{
		withHedging("-0.01"),
		withLimits(`{"response_head_kb": -1}`), withLimits(`{"response_window_kb": -1}`), withLimits(`{"caller_read_timeout": "-1s"}`), withLimits(`{"caller_connections": -1}`), withLimits(`{"min_rate_window": "-1s"}`),
		withLimits(`{"buffers_mb": 285}`),
		goodSettings[:len(goodSettings)-1] + `, "log_level": "loud"}`,
		strings.Replace(goodSettings, `"hold"`, `"revoke": "0s", "hold"`, 1),
		strings.Replace(goodSettings, `"hold"`, `"quota_window": "0s", "hold"`, 1),
		strings.Replace(goodSettings, `"hold"`, `"quota_slack": -1, "hold"`, 1),
		goodSettings[:len(goodSettings)-1] + `, "overload": {"contention": true}}`,
		`{}`, `{"vm": ""}`, goodSettings[:len(goodSettings)-1] + `, "memroy_mb": 1}`,
	} {
		_, err := ParseSettings("bad", []byte(bad))
		require.Error(t, err, bad)
	}
}

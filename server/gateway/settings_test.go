package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
	for _, bad := range []string{
		`{}`, `{"vm": ""}`, goodSettings[:len(goodSettings)-1] + `, "memroy_mb": 1}`,
	} {
		_, err := ParseSettings("bad", []byte(bad))
		require.Error(t, err, bad)
	}
}

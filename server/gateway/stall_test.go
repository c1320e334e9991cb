package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestStallIsFound guards against a stop of the process that no log line tells of, and against
// lines for the usual delays of a timer.
func TestStallIsFound(t *testing.T) {
	now := time.Minute
	monitor := stallMonitor{lastCheck: now}
	for _, c := range []struct{ after, stall time.Duration }{
		{after: stallCheckInterval},
		{after: stallCheckInterval + minStall - time.Millisecond},
		{after: stallCheckInterval + minStall, stall: minStall},
		{after: stallCheckInterval / 2},
		{after: stallCheckInterval + time.Second, stall: time.Second},
	} {
		now += c.after
		require.Equal(t, c.stall, monitor.check(now), "%v", c.after)
	}

	var log bytes.Buffer
	g := &Gateway{metrics: NewMetrics(), log: zerolog.New(&log), links: &links{}}
	g.recordStall(700 * time.Millisecond)
	require.Contains(t, log.String(), `"event":"stalled","stalled_ms":700`)
	metrics := httptest.NewRecorder()
	g.metrics.handler().ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, metrics.Body.String(), "dandelionhill_stalls_total 1\n")
	require.Contains(t, metrics.Body.String(), "dandelionhill_stalled_seconds_total 0.7\n")
}

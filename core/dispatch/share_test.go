package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestCallerShareIsRateLimited guards against a caller that exceeds its own share
// being refused as if the queue were full for all callers.
func TestCallerShareIsRateLimited(t *testing.T) {
	q := New(Config{QueueLength: 8, CallerShare: 0.5})
	q.SetLimits([]Limit{{Upstream: "u", InFlight: 1}})
	admit := func(id uint64, caller string) *api.Refusal {
		return q.Admit(0, Request{ID: id, Upstream: "u", Key: fmt.Sprint(id), Caller: caller, Deadline: time.Hour})
	}
	for id := range uint64(4) {
		require.Nil(t, admit(id+1, "flood"))
	}
	refused := admit(5, "flood")
	require.NotNil(t, refused)
	require.Equal(t, api.RateLimited, refused.Kind)
	require.Equal(t, api.NotRun, refused.Outcome)
	require.Nil(t, admit(6, "other"))
}

package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStatedLimit guards against a limit that ends by a response which the upstream generated
// before it stated the limit, and against one that never ends.
func TestStatedLimit(t *testing.T) {
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	var l StatedLimit
	require.False(t, l.Observe(at(0), at(100), 0))
	require.True(t, l.Observe(at(100), at(200), 1.9))
	require.False(t, l.Observe(at(150), at(300), 0), "sent before the limit was stated")
	require.Equal(t, 1.9, l.Rate)
	require.False(t, l.Observe(at(350), at(400), 1.9))
	require.True(t, l.Observe(at(350), at(450), 1.2))
	require.True(t, l.Observe(at(500), at(900), 0))
	require.Equal(t, 0.0, l.Rate)
	require.False(t, l.Merge(StatedLimit{Rate: 1.2, At: at(450)}), "older news of another VM")
	require.True(t, l.Merge(StatedLimit{Rate: 3, At: at(600)}))
	require.False(t, l.Merge(StatedLimit{Rate: 3.2, At: at(700)}))
	require.False(t, l.Merge(StatedLimit{Rate: 2.9, At: at(800)}))
	require.Equal(t, StatedLimit{Rate: 3, At: at(800)}, l, "about the same")
	require.True(t, l.Merge(StatedLimit{Rate: 2.6, At: at(900)}))
}

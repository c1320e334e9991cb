package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLatestClock guards against a lease that states an earlier renewal than its granter counts
// from, because the granter was stopped between the store's response and its reading of it.
func TestLatestClock(t *testing.T) {
	const sent, offset = time.Minute, 17 * time.Second
	for _, c := range []struct{ way, stop time.Duration }{{0, 0}, {0, time.Second}, {time.Millisecond, time.Second}, {time.Second, 0}} {
		var clock sharedClock
		read := sent + c.way
		clock.observe(sent, read+c.stop, read+offset)
		now := sent + 5*time.Second
		require.GreaterOrEqual(t, clock.latestMs(now), (now + offset).Milliseconds(), "%+v", c)
		require.LessOrEqual(t, clock.latestMs(now), (now + offset + c.way + c.stop).Milliseconds(), "%+v", c)
	}
}

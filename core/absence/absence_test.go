package absence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var forecast = Forecast{Move: 300 * time.Millisecond, Loss: 2 * time.Second, Retry: 250 * time.Millisecond}

// play returns how long a request waits for a key whose owner is absent from 0 to end, and
// whether it is served. It arrives at a time and can wait for budget.
func play(arrival, end, budget time.Duration) (waited, retryAfter time.Duration, served bool) {
	for now := arrival; ; {
		if now >= end {
			return now - arrival, 0, true
		}
		wait, after := forecast.Decide(now, arrival+budget-now)
		if wait == 0 {
			return now - arrival, after, false
		}
		now = min(now+wait, max(end, now))
	}
}

// TestDecide guards against requests that are held although their key has no owner in time,
// and against refusals of those that can be served.
func TestDecide(t *testing.T) {
	for arrival := time.Duration(0); arrival < 4*time.Second; arrival += 50 * time.Millisecond {
		for budget := 100 * time.Millisecond; budget < 3*time.Second; budget += 100 * time.Millisecond {
			waited, _, served := play(arrival, 250*time.Millisecond, budget)
			if arrival+budget >= forecast.Move {
				require.True(t, served, "a move, from %s with %s", arrival, budget)
			}
			require.LessOrEqual(t, waited, budget)

			waited, retryAfter, served := play(arrival, forecast.Loss, budget)
			switch {
			case arrival >= forecast.Loss || arrival >= forecast.Move && arrival+budget >= forecast.Loss:
				require.True(t, served, "a loss, from %s with %s", arrival, budget)
			case !served:
				require.LessOrEqual(t, waited, forecast.Move, "refused late")
				require.Positive(t, retryAfter)
			}

			waited, retryAfter, served = play(arrival, time.Hour, budget)
			require.False(t, served)
			require.LessOrEqual(t, arrival+waited, max(forecast.Loss, arrival), "held beyond the forecast")
			require.Positive(t, retryAfter)
		}
	}
}

// TestTracker guards against an absence that is counted from an earlier one.
func TestTracker(t *testing.T) {
	var tracker Tracker
	tracker.Present("s", 5)
	require.Zero(t, tracker.Missing(time.Second, "s", 5))
	require.Equal(t, time.Second, tracker.Missing(2*time.Second, "s", 6))
	require.Zero(t, tracker.Missing(2*time.Second, "t", 5))
	tracker.Present("s", 6)
	require.Zero(t, tracker.Missing(3*time.Second, "s", 5))
}

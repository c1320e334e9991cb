package hedge

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestHedgesNeverExceedTheShare guards against hedges that double the load of a
// service whose upstreams are all slow.
func TestHedgesNeverExceedTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewController(Config{Share: 0.05})
		requests, hedges := 0, 0
		for _, request := range rapid.SliceOfN(rapid.Bool(), 1, 2000).Draw(t, "request or ask") {
			if request {
				c.Request()
				requests++
			} else if c.Allow(0) {
				hedges++
			}
			require.LessOrEqual(t, float64(hedges), 0.05*float64(requests)+1e-6)
		}
	})
}

// TestSavedBudgetIsBounded guards against a burst of hedges after a long time
// without any.
func TestSavedBudgetIsBounded(t *testing.T) {
	c := NewController(DefaultConfig())
	for range 100000 {
		c.Request()
	}
	hedges := 0
	for c.Allow(time.Hour) {
		hedges++
	}
	require.Equal(t, 10, hedges)
}

func TestDelayIsTheQuantileWithinOneBucket(t *testing.T) {
	c := NewController(Config{Share: 0.05, HalfLife: 1 << 30})
	_, ok := c.Delay()
	require.False(t, ok, "no delay before anything was observed")
	for i := 1; i <= 1000; i++ {
		c.Observe(time.Duration(i) * time.Millisecond)
	}
	delay, ok := c.Delay()
	require.True(t, ok)
	require.GreaterOrEqual(t, delay, 950*time.Millisecond)
	require.LessOrEqual(t, delay, 1000*time.Millisecond)
}

// TestOldObservationsDecay guards against a delay that does not follow a change
// within a few half-lives, and against losing the distribution when the weights are
// scaled.
func TestOldObservationsDecay(t *testing.T) {
	c := NewController(Config{Share: 0.05, HalfLife: 100})
	for range 10000 {
		c.Observe(time.Second)
	}
	for range 1000 {
		c.Observe(time.Millisecond)
	}
	delay, _ := c.Delay()
	require.InEpsilon(t, float64(time.Millisecond), float64(delay), 0.051)
}

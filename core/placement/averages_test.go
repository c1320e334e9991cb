package placement

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// placedInput returns 160 ranges, which the first plan has placed on four upstreams,
// the planner and the owners.
func placedInput() (Input, *Planner, map[int]api.UpstreamID) {
	in, p := testInput(160, fleet(4, 4)), new(Planner)
	apply(in, p.Plan(0, in, DefaultPolicy()))
	return in, p, maps.Clone(in.Owners)
}

// planSeconds plans once a second with the loads of each second, applies the moves,
// and returns the time of the first one and their number.
func planSeconds(p *Planner, in Input, from, to int, load func(second, rng int) float64) (first time.Duration, moves int) {
	for second := from; second < to; second++ {
		for r := range len(in.Owners) {
			in.Load[r] = load(second, r)
		}
		now := time.Duration(second) * time.Second
		got := p.Plan(now, in, DefaultPolicy())
		if len(got) > 0 && moves == 0 {
			first = now
		}
		moves += len(got)
		apply(in, got)
	}
	return first, moves
}

// noisy returns loads with a relative noise of 14%, as of 12 requests per second
// and range over 4 s. It is 2.2% for an upstream with 40 ranges.
func noisy(seed uint64, load func(second, rng int) float64) func(second, rng int) float64 {
	random := rand.New(rand.NewPCG(seed, 0))
	var window [4]map[int]float64
	return func(second, rng int) float64 {
		slot := second % len(window)
		if window[slot] == nil {
			window[slot] = map[int]float64{}
		}
		window[slot][rng] = 1 + 0.28*random.NormFloat64()
		sum, n := 0.0, 0.0
		for _, w := range window {
			if noise, measured := w[rng]; measured {
				sum += noise
				n++
			}
		}
		return max(0, load(second, rng)*sum/n)
	}
}

// TestNoiseBelowThresholdMovesNothing guards against moves caused by noise at upstreams with a
// constant load of 1.14 of the mean. Their times and number would depend on earlier short
// stragglers.
func TestNoiseBelowThresholdMovesNothing(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		in, p, owners := placedInput()
		first, moves := planSeconds(p, in, 1, 900, noisy(seed, func(second, rng int) float64 {
			switch {
			case second < 60: // the averages are noisier at the beginning
				return 1
			case owners[rng] < "u02":
				return 1.14
			default:
				return 0.86
			}
		}))
		assert.Zero(t, moves, "seed %d, the first at %v", seed, first)
	}
}

// TestChangedRangeIsFollowed guards against averages that take minutes to follow the changed
// load of a range, for example one with a key that has become hot.
func TestChangedRangeIsFollowed(t *testing.T) {
	in, p, owners := placedInput()
	changed := 0
	for owners[changed] != "u00" {
		changed++
	}
	const at = 300
	first, _ := planSeconds(p, in, 1, at+60, noisy(1, func(second, rng int) float64 {
		switch {
		case rng == changed && second >= at:
			return 9
		case owners[rng] == "u00":
			return 1.1
		default:
			return 1
		}
	}))
	require.GreaterOrEqual(t, first, (at+10)*time.Second)
	require.LessOrEqual(t, first, (at+30)*time.Second)
}

// TestChangedUpstreamIsFollowed guards against an overload that is not detected for minutes
// because it consists of changes that are small for each range and for the upstream.
func TestChangedUpstreamIsFollowed(t *testing.T) {
	in, p, owners := placedInput()
	const at = 300
	first, _ := planSeconds(p, in, 1, at+90, noisy(1, func(second, rng int) float64 {
		switch {
		case owners[rng] == "u00" && second >= at:
			return 1.29 // 1.20 of the mean, as the others have 1
		case owners[rng] == "u00":
			return 1.16 // 1.115 of the mean
		default:
			return 1
		}
	}))
	require.GreaterOrEqual(t, first, (at+10)*time.Second)
	require.LessOrEqual(t, first, (at+30)*time.Second)
}

// TestStragglerDelaysNoOtherMoves guards against a straggler that delays the moves of another
// upstream until the average load of the straggler has changed.
func TestStragglerDelaysNoOtherMoves(t *testing.T) {
	in, p, owners := placedInput()
	const slowFrom, slowUntil = 8, 16
	first, _ := planSeconds(p, in, 1, 30, func(second, rng int) float64 {
		switch {
		case owners[rng] == "u01" && second >= slowFrom && second < slowUntil:
			return 10
		case owners[rng] == "u00":
			return 1.3
		default:
			return 1
		}
	})
	require.Equal(t, 11*time.Second, first)
}

// TestLoadRiseOfAllMovesNothing guards against moves from an upstream that appears overloaded
// only because the load of the service has risen and the averages of the others are frozen.
func TestLoadRiseOfAllMovesNothing(t *testing.T) {
	in, p, owners := placedInput()
	const at = 300
	_, moves := planSeconds(p, in, 1, at+10, func(second, rng int) float64 {
		switch {
		case owners[rng] == "u00" && second >= at:
			return 1.3
		case owners[rng] == "u00" && second >= at-5:
			return 1.2
		case second >= at:
			return 2
		default:
			return 1
		}
	})
	require.Zero(t, moves)
}

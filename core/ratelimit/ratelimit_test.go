package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTurnsAddUp guards against VMs that together send a cold upstream more than
// its rate, however many of them have requests waiting.
func TestTurnsAddUp(t *testing.T) {
	const vms, rate = 11, 3.1
	sends := make(map[int64]int)
	for ms := range 20000 {
		now := time.Duration(ms) * time.Millisecond
		for rank := range vms {
			turn := SlotSchedule{Rate: rate, Rank: rank, VMs: vms}
			if slot, mine := turn.Slot(now, 7); mine {
				sends[slot] |= 1 << rank
			}
		}
	}
	require.InDelta(t, 20*rate, len(sends), 1)
	for slot, by := range sends {
		require.Equal(t, by&(by-1), 0, "slot %d belongs to one VM", slot)
	}
}

// TestNextTurn guards against a VM that comes back too early or too late.
func TestNextTurn(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		turn := SlotSchedule{Rate: 0.5 + 10*rng.Float64(), Rank: rng.IntN(9), VMs: 9}
		now, offset := time.Duration(rng.Int64N(int64(time.Hour))), rng.Uint32()
		wait := turn.UntilNext(now, offset)
		_, mine := turn.Slot(now+wait+time.Microsecond, offset)
		require.True(t, mine)
		if wait > time.Millisecond {
			_, early := turn.Slot(now+wait-time.Millisecond, offset)
			require.False(t, early)
		}
	}
}

// TestRepeats guards against more repeats in a window than its share of the
// requests and the allowance.
func TestRepeats(t *testing.T) {
	r := RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Allowance: 4}
	taken := 0
	for s := range 100 {
		now := time.Duration(s) * 100 * time.Millisecond
		r.Request(now)
		if r.Take(now) {
			taken++
		}
	}
	require.InDelta(t, 0.2*100+4, taken, 1)
	later := 30 * time.Second
	for range 4 {
		require.True(t, r.Take(later))
	}
	require.False(t, r.Take(later))
}

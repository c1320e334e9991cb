package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlotsStayWithinRate guards against VMs that together send a cold upstream more than
// its rate, when all of them have requests waiting.
func TestSlotsStayWithinRate(t *testing.T) {
	const vms, rate = 11, 3.1
	senders := make(map[int64]int)
	for ms := range 20000 {
		now := time.Duration(ms) * time.Millisecond
		for rank := range vms {
			s := SlotSchedule{Rate: rate, Rank: rank, VMs: vms}
			if slot, mine := s.Slot(now, 7); mine {
				senders[slot] |= 1 << rank
			}
		}
	}
	require.InDelta(t, 20*rate, len(senders), 1)
	for slot, ranks := range senders {
		require.Equal(t, ranks&(ranks-1), 0, "slot %d belongs to one VM", slot)
	}
}

// TestUntilNext guards against a wait that ends before or after the VM's slot begins.
func TestUntilNext(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		s := SlotSchedule{Rate: 0.5 + 10*rng.Float64(), Rank: rng.IntN(9), VMs: 9}
		now, offset := time.Duration(rng.Int64N(int64(time.Hour))), rng.Uint32()
		wait := s.UntilNext(now, offset)
		_, mine := s.Slot(now+wait+time.Microsecond, offset)
		require.True(t, mine)
		if wait > time.Millisecond {
			_, early := s.Slot(now+wait-time.Millisecond, offset)
			require.False(t, early)
		}
	}
}

// TestRetryBudget guards against more retries in a window than the share of the
// requests and the allowance.
func TestRetryBudget(t *testing.T) {
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

// Package ratelimit divides limits that hold for all entry VMs together, without
// coordination per request: each VM has a fixed share, or its own time slots on a
// shared clock.
package ratelimit

import "time"

// SlotSchedule limits the rate of requests to a cold upstream by time division. The
// shared clock is divided into slots of 1/rate; in each slot exactly one VM may send
// one request, so all VMs together stay within the rate however requests arrive.
type SlotSchedule struct {
	// Rate is the limit in requests per second for all VMs together.
	Rate float64
	// Rank is the position of this VM among the VMs, from 0; VMs is their number.
	Rank, VMs int
}

// Slot returns the number of the slot at a time of the shared clock, and whether
// it belongs to this VM. The offset differs between upstreams, so that a VM does
// not have its slots for all of them at the same time.
func (s SlotSchedule) Slot(now time.Duration, offset uint32) (slot int64, mine bool) {
	if s.Rate <= 0 || s.VMs <= 0 {
		return 0, false
	}
	slot = int64(now.Seconds() * s.Rate)
	return slot, (slot+int64(offset%uint32(s.VMs)))%int64(s.VMs) == int64(s.Rank%s.VMs)
}

// UntilNext returns the time until the next slot of this VM begins, 0 if it has begun.
func (s SlotSchedule) UntilNext(now time.Duration, offset uint32) time.Duration {
	if s.Rate <= 0 || s.VMs <= 0 {
		return time.Hour
	}
	slot, mine := s.Slot(now, offset)
	if mine {
		return 0
	}
	position := (slot + int64(offset%uint32(s.VMs))) % int64(s.VMs)
	ahead := (int64(s.Rank%s.VMs) - position + int64(s.VMs)) % int64(s.VMs)
	at := time.Duration(float64(slot+ahead) / s.Rate * float64(time.Second))
	return max(at-now, 0)
}

// Share returns the part of a limit for one of n VMs, at least 1.
func Share(limit float64, n int) int {
	return max(int(limit/float64(max(n, 1))), 1)
}

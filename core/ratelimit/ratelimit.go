// Package ratelimit divides limits that hold for all entry VMs together, without a
// message for each request: each VM has its own share, or its own turn on a
// clock that all VMs share.
package ratelimit

import "time"

// SlotSchedule spreads the requests to a cold upstream over the VMs. The shared clock is
// divided into slots of 1/rate; in each slot exactly one VM may send one request,
// so the sum over all VMs stays within the rate however the requests arrive.
type SlotSchedule struct {
	// Rate is the requests a second of all VMs together.
	Rate float64
	// Rank is the place of this VM among the VMs, from 0; VMs is their number.
	Rank, VMs int
}

// Slot returns the number of the slot at a time of the shared clock, and whether
// it belongs to this VM. Offset differs between upstreams, so that VMs do not
// have their turns on all of them at once.
func (t SlotSchedule) Slot(now time.Duration, offset uint32) (slot int64, mine bool) {
	if t.Rate <= 0 || t.VMs <= 0 {
		return 0, false
	}
	slot = int64(now.Seconds() * t.Rate)
	return slot, (slot+int64(offset%uint32(t.VMs)))%int64(t.VMs) == int64(t.Rank%t.VMs)
}

// UntilNext returns the time until the next slot of this VM begins, 0 if it has begun.
func (t SlotSchedule) UntilNext(now time.Duration, offset uint32) time.Duration {
	if t.Rate <= 0 || t.VMs <= 0 {
		return time.Hour
	}
	slot, mine := t.Slot(now, offset)
	if mine {
		return 0
	}
	place := (slot + int64(offset%uint32(t.VMs))) % int64(t.VMs)
	ahead := (int64(t.Rank%t.VMs) - place + int64(t.VMs)) % int64(t.VMs)
	at := time.Duration(float64(slot+ahead) / t.Rate * float64(time.Second))
	return max(at-now, 0)
}

// Share returns the part of a limit for one of n VMs, at least 1.
func Share(limit float64, n int) int {
	return max(int(limit/float64(max(n, 1))), 1)
}

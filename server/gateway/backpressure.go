package gateway

import (
	"math/rand/v2"
	"time"

	"dandelionhill.dev/core/admission"
	"dandelionhill.dev/platform/fleet"
)

// The kinds of rejections by a full upstream, in counters.
const (
	rejectedByShedding = "shed"
	rejectedByReset    = "reset"
)

// configure applies the share of this VM; l.mu is held.
func (l *limiter) configure() { l.configureQueue(l.queue) }

func (l *limiter) configureQueue(queue *admission.Queue) {
	queue.SetLimit(int(l.limit.Load()))
	if l.senders != nil {
		queue.SetBackpressure(int(l.senders.Load()), l.slots, rand.Float64)
	}
	queue.SetRefuseLate(l.refuseLate)
	if l.shares.active() {
		queue.SetShares(l.shares)
	} else {
		queue.SetShares(nil)
	}
}

// hasBackpressure reports whether the load that the upstream reports limits the requests.
func (l *limiter) hasBackpressure() bool { return l.senders != nil && l.senders.Load() > 0 }

// observe records the load that the upstream reported with a response.
func (l *limiter) observe(load fleet.Load) {
	if load.Slots <= 0 || !l.hasBackpressure() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Observe(time.Since(l.start), admission.State{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown,
	})
}

// pause returns for how long no request will be sent because the upstream is full.
func (l *limiter) pause() time.Duration {
	if !l.hasBackpressure() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Pause(time.Since(l.start))
}

// brokenSignal returns what a broken connection shows under backpressure: nothing about the
// capacity if the upstream has just stated a free slot.
func (u *upstream) brokenSignal(now time.Time) capacitySignal {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load.Slots > 0 && now.Sub(u.loadAt) < loadAge && u.load.Running < u.load.Slots {
		return capacityUnknown
	}
	return capacityBroken
}

// shedSignal returns what a shed request with a load that leaves no capacity shows.
func (l *limiter) shedSignal(load fleet.Load) capacitySignal {
	if load.Slots > 0 && l.hasBackpressure() {
		return capacityShed
	}
	return capacityFull
}

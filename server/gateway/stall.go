package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/stall"
)

// errPeerSilent means that another VM has sent nothing for longer than it may.
var errPeerSilent = errors.New("the other VM is silent")

// stalls finds the times at which this process did not run: it was stopped, or waited for a
// processor.
type stalls struct {
	// found is called after a stall.
	found func(stall time.Duration)
	// clock is bootTime: a suspension of the VM is a stall.
	clock func() time.Duration

	mu      sync.Mutex
	monitor *stall.Monitor
}

func newStalls(found func(time.Duration)) *stalls {
	return &stalls{found: found, clock: bootTime, monitor: stall.NewMonitor(bootTime())}
}

// check looks at the clock.
func (s *stalls) check() {
	s.mu.Lock()
	stall := s.monitor.Check(s.clock())
	s.mu.Unlock()
	if stall > 0 {
		s.found(stall)
	}
}

// start begins to watch. The process has not checked the clock before.
func (s *stalls) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor = stall.NewMonitor(s.clock())
}

// run checks the clock until ctx ends.
func (s *stalls) run(ctx context.Context) {
	ticker := time.NewTicker(stall.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.check()
		case <-ctx.Done():
			return
		}
	}
}

// running returns for how long this process has run since a fixed time, and for how long it has stalled.
func (s *stalls) running() (ran, stalled time.Duration) {
	s.check()
	s.mu.Lock()
	defer s.mu.Unlock()
	stalled = s.monitor.Total()
	return s.clock() - stalled, stalled
}

// silence is the silence of another VM.
type silence struct {
	// ctx ends when the VM is lost.
	ctx    context.Context
	stalls *stalls
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu    sync.Mutex
	state stall.Silence
	ended bool
}

// begin begins the silence of another VM, which is lost when it lasts for longer than limit. The time in
// which this process does not run does not count: what has arrived meanwhile is read first. stop must
// be called.
func (s *stalls) begin(ctx context.Context, limit time.Duration) *silence {
	w := &silence{stalls: s, state: s.silence(limit)}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.expire)
	return w
}

// silence begins the silence of another VM now.
func (s *stalls) silence(limit time.Duration) stall.Silence {
	s.check()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitor.Silence(s.clock(), limit)
}

// within is begin for a single call: it returns the context, and stop.
func (s *stalls) within(ctx context.Context, limit time.Duration) (silent context.Context, stop func()) {
	w := s.begin(ctx, limit)
	return w.ctx, w.stop
}

// restart begins the silence again, because a part of a message has arrived.
func (w *silence) restart(limit time.Duration) {
	state := w.stalls.silence(limit)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
	w.timer.Reset(max(limit, 0))
}

// expire ends the context unless the process has stalled.
func (w *silence) expire() {
	w.stalls.check()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalls.mu.Lock()
	remaining := w.stalls.monitor.Remaining(w.stalls.clock(), w.state)
	w.stalls.mu.Unlock()
	switch {
	case w.ended:
	case remaining > 0:
		w.timer.Reset(remaining)
	default:
		w.cancel(errPeerSilent)
	}
}

func (w *silence) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	w.cancel(nil)
}

func (g *Gateway) recordStall(stall time.Duration) {
	g.metrics.stalls.Inc()
	g.metrics.stalledSeconds.Add(stall.Seconds())
	event := g.log.Warn().Str("event", "stalled").Int64("stalled_ms", stall.Milliseconds())
	if granter := g.links.currentGranter(); granter != nil {
		left := time.Duration(granter.renewUntil.Load()) - bootTime()
		event = event.Int64("term", granter.term).Int64("authority_ms", left.Milliseconds())
	}
	event.Msg("")
}

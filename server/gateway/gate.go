package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/admission"
)

// errHopeless means that a request cannot be served in time at an upstream.
type errHopeless struct {
	// wait is when there may be room again.
	wait time.Duration
}

// Error implements error.
func (errHopeless) Error() string {
	return "the upstream has no room before the deadline: come again after the stated time"
}

// gate lets requests of this VM to one upstream, in the order that package
// admission decides.
type gate struct {
	places *atomic.Int32
	start  time.Time

	mu    sync.Mutex
	queue *admission.Queue
	// wakeAt is when a timer calls wake, on the clock of the queue; 0 if none does.
	wakeAt time.Duration
}

func newGate(places *atomic.Int32) *gate {
	return &gate{places: places, start: time.Now(), queue: admission.New(1)}
}

func (g *gate) load() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}

// want describes a request that wants a place.
type want struct {
	priority                  int
	arrived, target, deadline time.Time
	work                      time.Duration
}

// enter waits for a place. Every success is followed by leave. The error is
// errHopeless, or that of ctx.
func (g *gate) enter(ctx context.Context, w want) error {
	now := time.Now()
	admitted := make(chan bool, 1)
	r := &admission.Request{
		Priority: w.priority, Arrived: w.arrived.Sub(g.start), Target: w.target.Sub(g.start),
		Deadline: w.deadline.Sub(g.start), ServiceTime: w.work, Token: admitted,
	}
	g.mu.Lock()
	g.queue.SetLimit(int(g.places.Load()))
	decision, wait := g.queue.Offer(now.Sub(g.start), r)
	g.next(now)
	g.mu.Unlock()
	switch decision {
	case admission.Start:
		return nil
	case admission.Refuse:
		return errHopeless{wait}
	}
	hopeless := time.NewTimer(time.Until(w.deadline.Add(-w.work)))
	defer hopeless.Stop()
	var err error = errHopeless{wait}
	select {
	case ok := <-admitted:
		if !ok {
			return err
		}
		return nil
	case <-hopeless.C:
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "wait for a place at the upstream")
	}
	g.mu.Lock()
	cancelled := g.queue.Cancel(r)
	g.mu.Unlock()
	if cancelled || !<-admitted {
		return err
	}
	// The place was given at the same moment.
	return nil
}

// result is what a send has shown of the room at the upstream.
type result int

const (
	unclear result = iota
	hadRoom
	wasFull
)

// leave gives a place back that was taken for a time, 0 if it was not used.
func (g *gate) leave(took time.Duration, r result) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Done(took)
	switch r {
	case hadRoom:
		g.queue.UpstreamAccepted()
	case wasFull:
		g.queue.UpstreamFull(now.Sub(g.start))
	}
	g.queue.SetLimit(int(g.places.Load()))
	g.next(now)
}

// next tells requests that wait no more; g.mu is held.
func (g *gate) next(now time.Time) {
	start, refuse := g.queue.Next(now.Sub(g.start))
	for _, r := range start {
		r.Token.(chan bool) <- true
	}
	for _, r := range refuse {
		r.Token.(chan bool) <- false
	}
	at, ok := g.queue.NextWake()
	if !ok || g.wakeAt != 0 && g.wakeAt <= at {
		return
	}
	g.wakeAt = at
	time.AfterFunc(at-now.Sub(g.start), g.wake)
}

// wake lets requests go whose pause is over.
func (g *gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wakeAt = 0
	g.next(time.Now())
}

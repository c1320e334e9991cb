package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/admission"
	"dandelionhill.dev/platform/fleet"
)

// rejectedBySilence is the kind of a rejection without a response, in counters.
const rejectedBySilence = "silent"

// errSilent means that an upstream did not respond within the bound.
var errSilent = errors.New("the upstream has not responded for longer than a full queue takes: the outcome is unknown")

// sendWatch watches one request at an upstream. After the bound a request that may be sent again
// is given up; one that may not waits on, but no longer occupies a slot of the limiter.
type sendWatch struct {
	h        *requestHandler
	q        *request
	u        *upstream
	acquired time.Time
	// repeatable means that the request may be sent once more.
	repeatable bool
	cancel     context.CancelCauseFunc
	timer      *time.Timer

	mu sync.Mutex
	// expired means that the bound has passed, ended that the request has.
	expired, ended bool
}

// recordVisibleRejection records that a full upstream of a service has rejected a request by a
// response or a reset. The upstreams of a service reject in one way, so that silence of others of
// them means slow work.
func (h *requestHandler) recordVisibleRejection(service api.ServiceName) {
	h.visibleRejections.LoadOrStore(service, true)
}

// rejectsVisibly reports whether upstreams of a service are known to respond when they are full.
func (h *requestHandler) rejectsVisibly(service api.ServiceName) bool {
	_, known := h.visibleRejections.Load(service)
	return known
}

// watchSend begins to watch a request that is about to be sent with the returned context.
func (h *requestHandler) watchSend(ctx context.Context, q *request, u *upstream) (context.Context, *sendWatch) {
	w := &sendWatch{
		h: h, q: q, u: u, acquired: time.Now(), cancel: func(error) {},
		repeatable: q.route.Idempotent && q.mayHaveRun+1 < q.route.MaxAttempts,
	}
	if !h.overload.DropSilent || h.rejectsVisibly(q.service.Name) {
		return ctx, w
	}
	work := time.Duration(h.stats.expectedLatency(q.route.Name) * float64(time.Second))
	u.mu.Lock()
	bound := u.silence.Bound(bootTime(), work, u.limiter.load()-1, u.registration.Load().Slots)
	u.mu.Unlock()
	ctx, w.cancel = context.WithCancelCause(ctx)
	if time.Until(q.deadline) > bound {
		w.timer = time.AfterFunc(bound, w.expire)
	}
	return ctx, w
}

// expire handles a request that has no response within the bound.
func (w *sendWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.expired = true
	w.u.mu.Lock()
	w.u.silence.Expired()
	w.u.mu.Unlock()
	// While this VM stops, a request at an upstream keeps its time: it may be the caller's last.
	again := w.repeatable && w.h.spareTime(w.q) > 0 && w.h.stop.Err() == nil
	w.h.metrics.rejectedSends.WithLabelValues(string(w.q.service.Name), rejectedBySilence).Inc()
	w.h.log.Info().Str("event", "upstream_silent").Str("upstream", string(w.u.id)).Str("request", w.q.params.RequestID).
		Dur("after_ms", time.Since(w.acquired)).Bool("given_up", again).Msg("")
	w.u.limiter.release(0, capacityFull)
	if again {
		w.cancel(errSilent)
	}
}

// dropped reports whether err is due to the end of the bound.
func (w *sendWatch) dropped(ctx context.Context, err error) bool {
	return err != nil && errors.Is(context.Cause(ctx), errSilent)
}

// end ends the watch when there is a response or an error, and releases the slot of the limiter.
func (w *sendWatch) end(signal capacitySignal) {
	if w.timer != nil {
		w.timer.Stop()
	}
	// The context ends with that of the request: the body of a response may still be read.
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if !w.expired {
		w.u.limiter.release(time.Since(w.acquired), signal)
	}
}

// releaseFunc releases a slot of a limiter, see limiter.release.
type releaseFunc func(took time.Duration, signal capacitySignal)

// detach ends the watch of a response that is delivered while it is read, and leaves the slot of
// the limiter to the returned function.
func (w *sendWatch) detach() releaseFunc {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.expired {
		return func(time.Duration, capacitySignal) {}
	}
	return w.u.limiter.release
}

// recordResponseTime records that the upstream has responded.
func (u *upstream) recordResponseTime(took time.Duration, load fleet.Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silence.Responded(bootTime(), took, admission.State{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown,
	})
}

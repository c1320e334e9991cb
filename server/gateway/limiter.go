package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/admission"
	"dandelionhill.dev/core/ratelimit"
)

// noCapacityError means that an upstream cannot serve a request before its deadline.
type noCapacityError struct {
	// retryAfter is the time until there may be capacity.
	retryAfter time.Duration
	// late means that the request would be served late in the place of one that can meet its target.
	late bool
}

// Error implements error.
func (noCapacityError) Error() string {
	return "the upstream has no capacity before the deadline: retry after the stated time"
}

// reason returns the reason of the refusal, without regard to a limit that the upstream states.
func (e noCapacityError) reason() reason {
	if e.late {
		return late
	}
	return busy
}

// errUnusable means that the upstream may get no requests any more: another one is to be chosen.
var errUnusable = errors.New("the upstream may get no requests any more: choose another one")

// limiter limits the concurrent requests of this VM to one upstream. Package admission
// decides their order.
type limiter struct {
	limit *atomic.Int32
	// senders is the number of VMs that share the upstream under backpressure, 0 without it;
	// slots is the number of slots that the upstream registered.
	senders *atomic.Int32
	slots   int
	// shares is nil unless Overload.Fair or Overload.FairRoutes is set. refuseLate is
	// Overload.RefuseLate.
	shares     *fairShares
	refuseLate bool
	start      time.Time
	// onFull is called when the upstream is full, nil without Overload.Contention.
	onFull func()
	// permitsWanted is called when a request begins to wait for a permit.
	permitsWanted func()

	mu    sync.Mutex
	queue *admission.Queue
	// unusable means that the upstream may get no requests, see setUsable.
	unusable bool
	// timerAt is when a timer calls onTimer, on the clock of the queue; 0 if none is set.
	timerAt time.Duration
}

func newLimiter(limit *atomic.Int32, permitsWanted func()) *limiter {
	return &limiter{limit: limit, permitsWanted: permitsWanted, start: time.Now(), queue: admission.New(1)}
}

// setRate sets the limit that the upstream states, in requests per second; 0 ends it.
func (l *limiter) setRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.SetRate(rate)
	l.dispatch(time.Now())
}

// rate returns the limit that the upstream states, 0 if there is none.
func (l *limiter) rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Rate()
}

// addPermits adds permits, and records the number that all VMs together wait for.
func (l *limiter) addPermits(permits int, backlog float64) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.AddPermits(now.Sub(l.start), permits, ratelimit.PermitTTL, backlog)
	l.dispatch(now)
}

// missingPermits returns the number of waiting requests without a permit, and whether the
// next request needs one.
func (l *limiter) missingPermits() (waiting int, spare bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.MissingPermits(time.Since(l.start))
}

// permitWait returns the time until a new request gets a permit, 0 if it needs none.
func (l *limiter) permitWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.PermitWait(time.Since(l.start))
}

// requestSpare asks for a permit for the next request, after one that went elsewhere.
func (l *limiter) requestSpare() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.RequestSpare(time.Since(l.start))
}

func (l *limiter) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Load()
}

// admissionParams describes a request to be admitted.
type admissionParams struct {
	priority                  int
	arrived, target, deadline time.Time
	serviceTime               time.Duration
	flow                      admission.Flow
}

// preview returns how long a request would wait as far as is known, and the error with which acquire
// would refuse it at once. Nothing changes.
func (l *limiter) preview(p admissionParams) (wait time.Duration, err error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unusable {
		return 0, errUnusable
	}
	decision, wait, late := l.queue.Preview(now.Sub(l.start), *l.request(p), l.configureQueue)
	switch decision {
	case admission.Start:
		return 0, nil
	case admission.Refuse:
		return 0, noCapacityError{wait, late}
	}
	return wait, nil
}

// setUsable records whether the upstream may get requests. While it may not, no request waits for it.
// It returns how many waited.
func (l *limiter) setUsable(usable bool) (withdrawn int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unusable = !usable; usable {
		return 0
	}
	waiting := l.queue.Withdraw()
	for _, r := range waiting {
		r.Token.(chan admissionResult) <- withdrawnResult
	}
	return len(waiting)
}

// admissionResult is what becomes of a request that waits.
type admissionResult int

const (
	admittedResult admissionResult = iota + 1
	refusedResult
	withdrawnResult
)

// acquire waits for admission. Every success must be followed by release. The error is a
// noCapacityError or errUnusable, or wraps that of ctx.
func (l *limiter) acquire(ctx context.Context, p admissionParams) error {
	now := time.Now()
	result := make(chan admissionResult, 1)
	r := l.request(p)
	r.Token = result
	l.mu.Lock()
	if l.unusable {
		l.mu.Unlock()
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "wait for another upstream")
		}
		return errUnusable
	}
	l.configure()
	decision, retryAfter := l.queue.Offer(now.Sub(l.start), r)
	l.dispatch(now)
	missing, _ := l.queue.MissingPermits(now.Sub(l.start))
	l.mu.Unlock()
	if missing > 0 {
		l.permitsWanted()
	}
	switch decision {
	case admission.Start:
		return nil
	case admission.Refuse:
		return noCapacityError{retryAfter, r.Late}
	}
	tooLate := time.NewTimer(time.Until(p.deadline.Add(-p.serviceTime)))
	defer tooLate.Stop()
	var err error = noCapacityError{retryAfter: retryAfter}
	select {
	case got := <-result:
		if got == refusedResult {
			l.shares.recordRefusal(p)
			if r.Late {
				err = noCapacityError{r.RetryAfter, true}
			}
		}
		return got.err(err)
	case <-tooLate.C:
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "wait for capacity of the upstream")
	}
	l.mu.Lock()
	cancelled := l.queue.Cancel(r)
	l.mu.Unlock()
	if cancelled {
		return err
	}
	// The request was admitted, refused or withdrawn at the same moment.
	return (<-result).err(err)
}

// err returns the error of acquire for a result; refused is that of a refusal.
func (r admissionResult) err(refused error) error {
	switch r {
	case admittedResult:
		return nil
	case withdrawnResult:
		return errUnusable
	}
	return refused
}

// request returns a request of the queue.
func (l *limiter) request(p admissionParams) *admission.Request {
	return &admission.Request{
		Priority: p.priority, Arrived: p.arrived.Sub(l.start), Target: p.target.Sub(l.start),
		Deadline: p.deadline.Sub(l.start), ServiceTime: p.serviceTime, Flow: p.flow,
	}
}

// capacitySignal says what a send showed about the upstream's capacity.
type capacitySignal int

const (
	capacityUnknown capacitySignal = iota
	capacityFree
	capacityFull
	// capacityShed means that the upstream shed the request and stated its load, which was observed.
	capacityShed
	// capacityBroken means that the connection broke, perhaps because the upstream is full.
	capacityBroken
)

// release ends a request that was at the upstream for a time, 0 if it was not sent.
func (l *limiter) release(took time.Duration, signal capacitySignal) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Done(took)
	switch signal {
	case capacityFree:
		l.queue.UpstreamAccepted()
	case capacityFull:
		l.queue.UpstreamFull(now.Sub(l.start))
	case capacityShed:
		l.queue.Shed(now.Sub(l.start))
	case capacityBroken:
		l.queue.ConnectionBroken(now.Sub(l.start))
	}
	l.tellFull()
	l.configure()
	l.dispatch(now)
}

// dispatch admits or refuses waiting requests; l.mu is held.
func (l *limiter) dispatch(now time.Time) {
	start, refuse := l.queue.Next(now.Sub(l.start))
	for _, r := range start {
		r.Token.(chan admissionResult) <- admittedResult
	}
	for _, r := range refuse {
		r.Token.(chan admissionResult) <- refusedResult
	}
	at, ok := l.queue.NextWake()
	if !ok || l.timerAt != 0 && l.timerAt <= at {
		return
	}
	l.timerAt = at
	time.AfterFunc(at-now.Sub(l.start), l.onTimer)
}

// onTimer dispatches when a pause between requests is over.
func (l *limiter) onTimer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timerAt = 0
	l.dispatch(time.Now())
}

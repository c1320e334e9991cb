package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/admission"
	"dandelionhill.dev/core/hedge"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/core/selection"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

// Causes of the end of a send whose request another send has served.
var (
	errHedgeWon = errors.New("the second send of the request had a response first")
	errFirstWon = errors.New("the first send of the request had a response first")
)

var errHedgePanicked = errors.New("the second send ended by a fault of this VM: the outcome is unknown")

// The results of a second send, in counters and in the log.
const (
	hedgeSent   = "sent"
	hedgeWon    = "won"
	hedgeLost   = "lost"   // the first send has served the request
	hedgeFailed = "failed" // neither has
)

// hedges decides on the second sends of this VM.
type hedges struct {
	// afterFunc calls a function after a time, as time.AfterFunc does.
	afterFunc func(d time.Duration, f func()) *time.Timer

	mu     sync.Mutex
	policy *hedge.Policy
}

// newHedges returns nil if no request is hedged.
func newHedges(s Hedging) *hedges {
	if s.Share <= 0 {
		return nil
	}
	return &hedges{afterFunc: time.AfterFunc, policy: hedge.NewPolicy(hedge.Config{Share: s.Share})}
}

func (s *hedges) withPolicy(f func(p *hedge.Policy)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.policy)
}

// sendResult is what became of a send.
type sendResult struct {
	to      *upstream
	resp    *upstreamconn.Response
	headers fleet.ResponseHeaders
	err     error
	// other is the upstream of the other send of a hedged request, nil without one.
	other *upstream
}

// complete reports whether the response ends the request without regard to another send.
func (r sendResult) complete() bool {
	return r.err == nil && !r.headers.NotRun && r.resp.Status < http.StatusInternalServerError
}

// preferredTo reports whether, of two failures, r says more of the request: a response of an
// upstream that ran it, then an unknown outcome, then a refusal.
func (r sendResult) preferredTo(other sendResult) bool {
	rank := func(r sendResult) int {
		switch {
		case r.err == nil && !r.headers.NotRun:
			return 3
		case r.err != nil && !notSent(r.err):
			return 2
		case r.err == nil:
			return 1
		}
		return 0
	}
	return rank(r) > rank(other)
}

// discard gives up a response that is not delivered.
func (r sendResult) discard() {
	if r.resp == nil || r.resp.Stream == nil {
		return
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	// It returns the error of ended.
	_ = r.resp.Stream.Deliver(ended, upstreamconn.Patience{}, func([]byte) error { return ended.Err() })
}

// lostRace reports whether a send without a response ended because the other send of its request
// had one. Only the time of the first send says something of its upstream: it was overdue.
func lostRace(ctx context.Context, u *upstream, took time.Duration) bool {
	cause := context.Cause(ctx)
	if errors.Is(cause, errHedgeWon) {
		u.recordOverdue(took)
	}
	return errors.Is(cause, errHedgeWon) || errors.Is(cause, errFirstWon)
}

func (h *requestHandler) sendOnce(ctx context.Context, q *request, u *upstream) sendResult {
	resp, headers, err := h.send(ctx, q, u)
	return sendResult{to: u, resp: resp, headers: headers, err: err}
}

// sendHedged sends a request to u, and to another upstream as well if the response takes unusually
// long. The first complete response wins. avoid holds the upstreams to which the request was sent
// before.
func (h *requestHandler) sendHedged(ctx context.Context, q *request, u *upstream, avoid map[api.UpstreamID]bool) sendResult {
	if h.hedges == nil {
		return h.sendOnce(ctx, q, u)
	}
	service, route, repeatable := q.service.Name, q.route.Name, q.route.Idempotent
	plan := h.hedgePlan(q)
	var after time.Duration
	var skip hedge.Skip
	h.hedges.withPolicy(func(p *hedge.Policy) {
		if q.attempts == 1 {
			p.Count(service)
		}
		after, skip = p.Plan(plan)
	})
	var race *hedgeRace
	firstCtx, began := ctx, time.Now()
	if skip == hedge.None {
		race = h.newHedgeRace(ctx, q, u, avoid)
		firstCtx = race.firstCtx
		timer := h.hedges.afterFunc(after, func() { guard{h.metrics, h.log}.run("hedge", race.run) })
		defer timer.Stop()
		q.exchanged = race.close
		defer func() { q.exchanged = nil }()
	}
	first := h.sendOnce(firstCtx, q, u)
	took, overtaken := time.Since(began), errors.Is(context.Cause(firstCtx), errHedgeWon)
	result := first
	if race != nil {
		race.close()
		result = race.settle(q, first)
	}
	if repeatable && (first.complete() || overtaken) {
		h.hedges.withPolicy(func(p *hedge.Policy) { p.Observe(route, took) })
	}
	if took >= after && (skip == hedge.Keyed || skip == hedge.Attempts || skip == hedge.Time) {
		h.metrics.hedgesSkipped.WithLabelValues(string(service), string(skip)).Inc()
	}
	return result
}

// hedgePlan describes a request that is sent to its first upstream.
func (h *requestHandler) hedgePlan(q *request) hedge.Request {
	plan := hedge.Request{
		Service: q.service.Name, Route: q.route.Name, Repeatable: q.route.Idempotent, Keyed: q.service.Keyed,
		MayHaveRun: q.mayHaveRun, MaxRuns: q.route.MaxAttempts, Remaining: q.remaining(),
	}
	if q.route.TargetLatency > 0 {
		plan.UntilTarget = max(time.Until(q.arrived.Add(q.route.TargetLatency)), 0)
	}
	return plan
}

// hedgeRace is a request that may get a second send. The first send uses the state of the request,
// the second one has its own, which settle adds to it.
type hedgeRace struct {
	h     *requestHandler
	q     *request // the state of the second send
	first *upstream
	// exclude holds the upstreams to which the request was sent.
	exclude                       map[api.UpstreamID]bool
	service                       api.ServiceName
	route                         string
	config                        *routing.Configuration
	runs                          int // q.mayHaveRun before the second send
	began                         time.Time
	firstCtx, secondCtx           context.Context
	cancelFirst, cancelSecondSend context.CancelCauseFunc
	// result receives that of the second send, unless the first one has won.
	result chan sendResult

	mu sync.Mutex
	// closed means that no second send begins any more.
	closed bool
	// second is the upstream of the second send once that has begun, after a time.
	second *upstream
	after  time.Duration
	// firstWon and secondWon say which send has served the request.
	firstWon, secondWon bool
}

func (h *requestHandler) newHedgeRace(ctx context.Context, q *request, u *upstream, avoid map[api.UpstreamID]bool) *hedgeRace {
	second := *q
	// The upstream's header is written into header, and the connections of the first send grow.
	second.header, second.connections = maps.Clone(q.header), upstreamconn.Connections{}
	second.coldSlotOf, second.exchanged, second.buffers = nil, nil, nil
	second.sends, second.mayHaveRun = 0, q.mayHaveRun+1 // the first send may run
	second.counted = true
	r := &hedgeRace{
		h: h, q: &second, first: u, exclude: make(map[api.UpstreamID]bool, len(avoid)+1), service: q.service.Name, route: q.route.Name, config: q.config,
		runs: second.mayHaveRun, began: time.Now(), result: make(chan sendResult, 1),
	}
	maps.Copy(r.exclude, avoid)
	r.exclude[u.id] = true
	r.firstCtx, r.cancelFirst = context.WithCancelCause(ctx)
	r.secondCtx, r.cancelSecondSend = context.WithCancelCause(ctx)
	return r
}

// close prevents that a second send begins.
func (r *hedgeRace) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

func (r *hedgeRace) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// run sends the request to a second upstream if that is allowed.
func (r *hedgeRace) run() {
	if r.isClosed() {
		return
	}
	if skip := r.start(); skip != hedge.None {
		if !r.isClosed() {
			r.h.metrics.hedgesSkipped.WithLabelValues(string(r.service), string(skip)).Inc()
		}
		return
	}
	r.h.metrics.hedges.WithLabelValues(string(r.service), hedgeSent).Inc()
	result := sendResult{to: r.second, err: errHedgePanicked}
	defer func() { r.finish(result) }()
	result = r.h.sendOnce(r.secondCtx, r.q, r.second)
}

// start decides whether the request is sent to a second upstream, and takes the slot and the budget
// for it. It sets second.
func (r *hedgeRace) start() hedge.Skip {
	h, q, v := r.h, r.q, r.h.view()
	switch {
	case h.stop.Err() != nil:
		return hedge.Stopping
	case h.isIsolated():
		return hedge.Isolated
	case v.config != r.config:
		return hedge.Changed
	case h.crashes.suspected(q.fingerprint):
		return hedge.Suspect
	}
	if failure := h.checkRequest(q, v); failure.reason == timeoutUnsent {
		return hedge.Time
	} else if failure.status != 0 {
		return hedge.Changed // the key of its workspace was revoked
	}
	inTime, budget := false, false
	h.hedges.withPolicy(func(p *hedge.Policy) { inTime = p.InTime(r.route, q.remaining()) })
	if !inTime {
		return hedge.Time
	}
	u := h.hedgeTarget(q, v, r.first, r.exclude)
	if u == nil {
		return hedge.NoSlot
	}
	h.hedges.withPolicy(func(p *hedge.Policy) { budget = p.Take(r.service) })
	if !budget {
		return hedge.Budget
	}
	skip := r.take(u)
	if skip != hedge.None {
		h.hedges.withPolicy(func(p *hedge.Policy) { p.Refund(r.service) })
	}
	return skip
}

// take takes a slot of u and a retry, and records the run.
func (r *hedgeRace) take(u *upstream) hedge.Skip {
	h, q := r.h, r.q
	if !u.limiter.tryAcquire(h.admissionParams(q)) {
		return hedge.NoSlot
	}
	skip := hedge.None
	switch {
	case !h.claimSend(q, h.view(), u):
		skip = hedge.Changed
	case !h.takeRetry(q):
		skip = hedge.RetryBudget
	case !h.crashes.start(q.fingerprint):
		skip = hedge.Suspect
	}
	if skip != hedge.None {
		u.limiter.release(0, capacityUnknown)
		return skip
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		h.crashes.ended(q.fingerprint)
		u.limiter.release(0, capacityUnknown)
		return hedge.Changed
	}
	q.attempts++
	q.buffers = h.buffers.Reserve()
	r.second, r.after = u, time.Since(r.began)
	return hedge.None
}

// finish ends the second send. A response that comes second is given up.
func (r *hedgeRace) finish(result sendResult) {
	r.mu.Lock()
	lost := r.firstWon
	if !lost {
		r.secondWon = result.complete()
		r.result <- result
	}
	won := r.secondWon
	r.mu.Unlock()
	if won {
		r.cancelFirst(errHedgeWon)
	}
	if lost {
		result.discard()
		r.q.buffers.Release()
	}
}

// settle decides which send serves the request after the first has returned, waits for the second
// one if the first has failed, and adds its state to that of the request.
func (r *hedgeRace) settle(q *request, first sendResult) sendResult {
	r.mu.Lock()
	second := r.second
	r.firstWon = first.complete() && !r.secondWon
	won := r.firstWon
	r.mu.Unlock()
	if second == nil {
		return first
	}
	q.attempts++
	if won {
		r.cancelSecondSend(errFirstWon)
		// What becomes of the second send is not awaited.
		q.sends++
		q.mayHaveRun++
		select {
		case <-r.result: // it had failed
			r.q.buffers.Release()
		default:
		}
		r.record(hedgeLost)
		return first
	}
	hedged := <-r.result
	q.buffers.Absorb(r.q.buffers)
	q.connections.Merge(r.q.connections)
	q.sends += r.q.sends
	q.mayHaveRun += r.q.mayHaveRun - r.runs
	if errors.Is(hedged.err, errHedgePanicked) {
		q.mayHaveRun++
	}
	switch {
	case hedged.complete():
		r.record(hedgeWon)
		first.discard()
	case hedged.preferredTo(first):
		r.record(hedgeFailed)
	default:
		r.record(hedgeFailed)
		first.other = second
		return first
	}
	q.lastUpstream, q.sendDelay, q.load = r.q.lastUpstream, r.q.sendDelay, r.q.load
	hedged.other = r.first
	return hedged
}

// record counts and logs the result of a second send.
func (r *hedgeRace) record(result string) {
	r.h.metrics.hedges.WithLabelValues(string(r.service), result).Inc()
	r.h.log.Info().Str("event", "hedge").Str("request", r.q.params.RequestID).Str("result", result).Str("service", string(r.service)).
		Str("route", r.route).Str("first", string(r.first.id)).Str("upstream", string(r.second.id)).
		Dur("after_ms", r.after).Dur("took_ms", time.Since(r.began)).Msg("")
}

// hedgeTarget returns the upstream for a second send: the one with the lowest expected latency of
// those with a free slot, preferably in another failure domain than the first. It is nil if there
// is none, or if the service has no capacity to spare.
func (h *requestHandler) hedgeTarget(q *request, v *view, first *upstream, exclude map[api.UpstreamID]bool) *upstream {
	now, boot := time.Now(), bootTime()
	expected, domain := h.stats.expectedLatency(q.route.Name), first.registration.Load().Domain
	var spare hedge.Spare
	var choice selection.Choice[*upstream]
	for _, u := range v.services[q.service.Name] {
		state, age := u.reportedState(now)
		free := spare.Add(state, age, u.limiter.load())
		if !free || exclude[u.id] || u.isLeaving() || boot < u.coldUntil() || u.limiter.permitWait() > 0 || h.limits.isUnconfirmed(u, boot) {
			continue
		}
		if why, _ := h.checkUpstream(q, v, u, boot); why != "" {
			continue
		}
		candidate := u.candidate(now, expected, h.domain)
		if candidate.Avoid {
			continue
		}
		// What slows one failure domain down is seldom in another.
		candidate.Local = u.registration.Load().Domain != domain
		choice.Add(u, candidate)
	}
	u, found := choice.Best(localAllowance(q.route))
	if !found || !spare.Enough() {
		return nil
	}
	return u
}

// reportedState returns the load that the upstream reported last, and how long ago.
func (u *upstream) reportedState(now time.Time) (admission.State, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return admission.State{Running: u.load.Running, Waiting: u.load.Waiting, Slots: u.load.Slots}, now.Sub(u.loadAt)
}

// tryAcquire acquires a slot that is free now. Every success must be followed by release.
func (l *limiter) tryAcquire(p admissionParams) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unusable {
		return false
	}
	l.configure()
	return l.queue.TryStart(now.Sub(l.start), l.request(p))
}

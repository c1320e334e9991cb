package gateway

import (
	"context"
	"hash/fnv"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/absence"
	"dandelionhill.dev/core/ratelimit"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/upstreamconn"
	"dandelionhill.dev/server/wait"
)

const (
	// maxOwnerWait bounds the wait for a time slot of a cold owner.
	maxOwnerWait = 1500 * time.Millisecond
	// latencyReserve is the multiple of a route's expected latency that is left for a request
	// that waits.
	latencyReserve = 1.5
	// stopResponseTime is left for the responses to callers before the process ends.
	stopResponseTime = 300 * time.Millisecond
	// overloadAge is how long an upstream counts as overloaded after it reported so.
	overloadAge = 2 * time.Second
	// localAllowanceShare is the share of a route's latency target by which a request may end
	// later at an upstream of the VM's own failure domain than at another;
	// defaultLocalAllowance is that time for a route without a target.
	localAllowanceShare   = 0.4
	defaultLocalAllowance = 50 * time.Millisecond
)

// ownerForecast is how long keys are without an owner: while the running requests of a moved
// key end, or until the lease of a lost owner has expired and another one has confirmed.
var ownerForecast = absence.Forecast{Move: 400 * time.Millisecond, Loss: 2600 * time.Millisecond, Retry: shortRetryAfter}

// forward sends a request until there is a response or a final failure.
func (h *requestHandler) forward(ctx context.Context, q *request) (*upstreamconn.Response, outcome) {
	var avoid map[api.UpstreamID]bool
	for {
		if ctx.Err() != nil {
			return nil, h.finalOutcome(ctx, q, outcome{reason: timeoutUnsent, status: http.StatusServiceUnavailable, err: ctx.Err()})
		}
		v := h.view()
		if h.isIsolated() {
			h.quotas.giveBack(q)
			return h.serveElsewhere(ctx, q)
		}
		q.attempts++
		u, failure := h.choose(ctx, q, v, avoid)
		if u == nil {
			return nil, h.finalOutcome(ctx, q, failure)
		}
		if failure, again := h.quotas.beforeSend(q); failure.status != 0 {
			u.limiter.release(0, capacityUnknown)
			if again {
				// It was not sent: the attempt does not count.
				q.attempts--
				failure = h.quotas.takeAgain(ctx, q)
			}
			if failure.status != 0 {
				return nil, h.finalOutcome(ctx, q, failure)
			}
			continue
		}
		if !h.crashes.start(q.fingerprint) {
			u.limiter.release(0, capacityUnknown)
			return nil, h.finalOutcome(ctx, q, outcome{reason: quarantined, status: http.StatusServiceUnavailable, retryAfter: quarantineTime})
		}
		sent := h.sendHedged(ctx, q, u, avoid)
		u, resp, headers, err := sent.to, sent.resp, sent.headers, sent.err
		h.quotas.afterSend(q)
		switch {
		case err == nil && !headers.NotRun:
			failed := resp.Status >= http.StatusInternalServerError
			if failed && q.route.Idempotent && q.mayHaveRun < q.route.MaxAttempts && !q.service.Keyed && h.takeRetry(q) {
				break
			}
			return resp, outcome{}
		case err == nil:
			if headers.Misdirected && q.service.Keyed {
				if !h.awaitView(ctx, v, shortRetryAfter) || !h.takeRetry(q) {
					return nil, h.finalOutcome(ctx, q, outcome{reason: noOwner, status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter})
				}
				continue
			}
			rest := u.restRemaining()
			if q.service.Keyed && rest > h.spareTime(q) {
				return nil, h.finalOutcome(ctx, q, outcome{reason: resting, status: http.StatusServiceUnavailable, retryAfter: rest})
			}
			if q.service.Keyed && rest == 0 && overloaded(headers.Load) && !u.limiter.hasBackpressure() || !h.takeRetry(q) {
				return nil, h.finalOutcome(ctx, q, outcome{reason: shed, status: http.StatusServiceUnavailable, retryAfter: max(u.limiter.pause(), shortRetryAfter)})
			}
		case notSent(err) && (h.isIsolated() || errors.Is(err, upstreamconn.ErrWithdrawn) && q.attempts < maxSends):
			continue
		case notSent(err):
			if q.service.Keyed && (q.remaining() < shortRetryAfter || !h.awaitView(ctx, v, shortRetryAfter)) || q.attempts >= maxSends {
				return nil, h.finalOutcome(ctx, q, outcome{reason: unreachable, status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter, err: err})
			}
		default:
			if h.crashes.quarantined(q.fingerprint) {
				return nil, h.finalOutcome(ctx, q, outcome{reason: quarantined, status: http.StatusBadGateway, err: err})
			}
			if ctx.Err() != nil || !q.route.Idempotent || q.mayHaveRun >= q.route.MaxAttempts || !h.takeRetry(q) {
				return nil, h.finalOutcome(ctx, q, outcome{reason: responseLost, status: http.StatusBadGateway, err: err})
			}
		}
		if avoid == nil {
			avoid = make(map[api.UpstreamID]bool)
		}
		avoid[u.id] = true
		if sent.other != nil {
			avoid[sent.other.id] = true
		}
	}
}

// connectionBroken is the reason of a send whose connection ended before the whole response.
const connectionBroken = "connection_broken"

// sendFailureReason names the cause of a failed send, in the log and in counters.
func sendFailureReason(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return "request_ended"
	case errors.Is(err, upstreamconn.ErrConnectionRejected):
		return "connection_rejected"
	case errors.Is(err, upstreamconn.ErrWithdrawn):
		return "withdrawn"
	case notSent(err):
		return "not_connected"
	case errors.Is(err, upstreamconn.ErrHeadTooLarge):
		return "head_too_large"
	case errors.Is(err, upstreamconn.ErrBodyTooLarge):
		return "body_too_large"
	case errors.Is(err, buffers.ErrExhausted):
		return "buffers_full"
	case errors.Is(err, upstreamconn.ErrMismatchedResponse):
		return "mismatched"
	case errors.Is(err, upstreamconn.ErrInvalidResponse):
		return "invalid"
	default:
		return connectionBroken
	}
}

func notSent(err error) bool {
	var connErr *upstreamconn.Error
	return errors.As(err, &connErr) && !connErr.Sent
}

// connectedTo reports whether the call that returned err had a connection.
func connectedTo(err error) bool {
	var connErr *upstreamconn.Error
	return err == nil || errors.As(err, &connErr) && connErr.Connected
}

// finalOutcome turns the failure of an attempt into the outcome of the request. A
// request that may have run is never reported as not run.
func (h *requestHandler) finalOutcome(ctx context.Context, q *request, failure outcome) outcome {
	switch {
	case q.http.Context().Err() != nil:
		return outcome{reason: callerLeft, status: http.StatusBadGateway, err: failure.err}
	case ctx.Err() != nil && q.mayHaveRun > 0:
		return outcome{reason: timeoutSent, status: http.StatusGatewayTimeout, err: failure.err}
	case q.mayHaveRun > 0 && failure.status != http.StatusGatewayTimeout:
		failure.status, failure.retryAfter = http.StatusBadGateway, 0
	case ctx.Err() != nil && failure.status == http.StatusServiceUnavailable && failure.reason != noOwner && failure.reason != cold:
		failure.reason = timeoutUnsent
	}
	return failure
}

// choose returns the upstream for the next attempt, with a slot of its limiter acquired. While
// the VM stops, a request that could not end before the process does is refused: it has not run.
func (h *requestHandler) choose(ctx context.Context, q *request, v *view, avoid map[api.UpstreamID]bool) (*upstream, outcome) {
	stopping := outcome{reason: vmStopping, status: http.StatusServiceUnavailable, retryAfter: otherVMRetryAfter}
	if h.stopsBefore(q) {
		return nil, stopping
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(h.stop, func() { time.AfterFunc(h.timeToSend(q), cancel) })
	defer stop()
	u, failure := h.await(waitCtx, q, v, avoid)
	if u == nil && waitCtx.Err() != nil && ctx.Err() == nil {
		return nil, stopping
	}
	return u, failure
}

// stopsBefore reports whether the VM stops before a request that is sent now could end.
func (h *requestHandler) stopsBefore(q *request) bool {
	return h.stop.Err() != nil && h.timeToSend(q) <= 0
}

// timeToSend returns for how much longer a request may be sent while the VM stops.
func (h *requestHandler) timeToSend(q *request) time.Duration {
	return time.Until(time.Unix(0, h.stopAt.Load())) - stopResponseTime - h.expectedTime(q)
}

// await waits for the upstream of the next attempt, with a slot of its limiter acquired.
func (h *requestHandler) await(ctx context.Context, q *request, v *view, avoid map[api.UpstreamID]bool) (*upstream, outcome) {
	for {
		if failure := h.checkRequest(q, v); failure.status != 0 {
			return nil, failure
		}
		if q.service.Keyed {
			return h.awaitOwner(ctx, q, v)
		}
		u, retryAfter, cause := h.lowestCost(q, v, avoid)
		if u == nil {
			return nil, noCandidate(cause, retryAfter)
		}
		if err := h.acquire(ctx, q, u); errors.Is(err, errUnusable) {
			v = h.viewAfter(ctx, v)
			continue
		} else if err != nil {
			return nil, busyOutcome(u, err)
		}
		v = h.view()
		if h.claimSend(q, v, u) {
			return u, outcome{}
		}
		u.limiter.release(0, capacityUnknown)
	}
}

// acquire acquires a slot of the limiter of an upstream.
func (h *requestHandler) acquire(ctx context.Context, q *request, u *upstream) error {
	if err := h.checkPermits(u); err != nil {
		return err
	}
	began := time.Now()
	defer func() { h.metrics.queued.WithLabelValues(string(q.service.Name)).Observe(time.Since(began).Seconds()) }()
	err := u.limiter.acquire(ctx, h.admissionParams(q))
	var noCapacity noCapacityError
	if errors.As(err, &noCapacity) {
		h.metrics.queueRefusals.WithLabelValues(q.route.Name, string(noCapacity.reason())).Inc()
	}
	return err
}

// checkPermits returns an error if an upstream limits its requests and nobody issues permits.
func (h *requestHandler) checkPermits(u *upstream) error {
	if u.limiter.permitWait() > 0 && !h.limits.hasIssuer() {
		return noCapacityError{retryAfter: shortRetryAfter}
	}
	return nil
}

// admissionParams returns the parameters of a request to be admitted.
func (h *requestHandler) admissionParams(q *request) admissionParams {
	target := q.deadline
	if q.route.TargetLatency > 0 {
		target = q.arrived.Add(q.route.TargetLatency)
	}
	return admissionParams{
		priority: q.priority(), arrived: q.arrived, target: target, deadline: q.deadline, flow: h.flow(q),
		serviceTime: time.Duration(h.stats.expectedLatency(q.route.Name) * float64(time.Second)),
	}
}

// busyOutcome returns the outcome of a failed acquire for an upstream.
func busyOutcome(u *upstream, err error) outcome {
	cause := busy
	if u.limiter.rate() > 0 {
		cause = limited
	}
	failure := outcome{reason: cause, status: http.StatusServiceUnavailable, err: err, retryAfter: shortRetryAfter}
	var noCapacity noCapacityError
	if errors.As(err, &noCapacity) {
		failure.retryAfter = max(noCapacity.retryAfter, shortRetryAfter)
		if noCapacity.late {
			failure.reason = late
		}
	}
	return failure
}

// lowestCost returns the upstream with the lowest cost, see rankUpstreams, and asks for permits of
// those with a limit.
func (h *requestHandler) lowestCost(q *request, v *view, avoid map[api.UpstreamID]bool) (best *upstream, retryAfter time.Duration, cause reason) {
	return h.rankUpstreams(q, v, avoid, func(c considered) {
		if c.permitWait > 0 {
			c.upstream.limiter.requestSpare()
		}
	})
}

// localAllowance returns how much later than elsewhere a request may end at an upstream of
// the VM's own failure domain.
func localAllowance(route *routing.Route) time.Duration {
	if route.TargetLatency <= 0 {
		return defaultLocalAllowance
	}
	return time.Duration(localAllowanceShare * float64(route.TargetLatency))
}

func slotOffset(id api.UpstreamID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func (h *requestHandler) slotSchedule(q *request, v *view) ratelimit.SlotSchedule {
	return ratelimit.SlotSchedule{Rate: q.service.ColdRate, Rank: v.rank, VMs: v.vms}
}

// isCold reports whether the service limits the requests to the upstream because it is cold.
func (u *upstream) isCold(service *routing.Service, boot time.Duration) bool {
	return boot < u.coldUntil() && service.ColdRate > 0
}

// coldWait returns the time until this VM may send a request to a cold upstream, 0 if
// it may now.
func (h *requestHandler) coldWait(q *request, v *view, u *upstream, boot time.Duration) time.Duration {
	if !u.isCold(q.service, boot) {
		return 0
	}
	until := u.coldUntil()
	if !v.hasRank(boot) || !v.clock.known {
		return until - boot
	}
	schedule, shared := h.slotSchedule(q, v), v.clock.at(boot)
	slot, mine := schedule.Slot(shared, slotOffset(u.id))
	if mine && u.coldSlotFree(slot) {
		return 0
	}
	if mine {
		shared += time.Duration(float64(time.Second) / schedule.Rate)
	}
	return min(max(schedule.UntilNext(shared, slotOffset(u.id)), time.Millisecond), until-boot)
}

// takeColdSlot uses the current slot of this VM at a cold upstream. It reports false if
// it has none.
func (h *requestHandler) takeColdSlot(q *request, v *view, u *upstream, boot time.Duration) bool {
	if !u.isCold(q.service, boot) {
		return true
	}
	slot, mine := h.slotSchedule(q, v).Slot(v.clock.at(boot), slotOffset(u.id))
	return mine && v.hasRank(boot) && u.takeColdSlot(slot)
}

func (u *upstream) coldSlotFree(slot int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slot > u.coldSlot
}

func (u *upstream) takeColdSlot(slot int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slot <= u.coldSlot {
		return false
	}
	u.coldSlot = slot
	return true
}

// awaitOwner waits until a usable upstream owns the request's key and admits the
// request.
func (h *requestHandler) awaitOwner(ctx context.Context, q *request, v *view) (*upstream, outcome) {
	if q.params.Key < 0 {
		return nil, noKey
	}
	waitUntil := ownerWaitEnd(q)
	for {
		if failure := h.checkRequest(q, v); failure.status != 0 {
			return nil, failure
		}
		if !q.service.Keyed {
			// A newer configuration names another service for the route.
			return h.await(ctx, q, v, nil)
		}
		q.term = v.owners[q.service.Name].Term
		u, why, untilReady := h.checkOwner(q, v)
		if why == "" {
			h.recordOwner(q)
			if err := h.acquire(ctx, q, u); errors.Is(err, errUnusable) {
				v = h.viewAfter(ctx, v)
				continue
			} else if err != nil {
				return nil, busyOutcome(u, err)
			}
			v = h.view()
			if h.claimSend(q, v, u) {
				return u, outcome{}
			}
			u.limiter.release(0, capacityUnknown)
			continue
		}
		if why == resting || why == cold {
			h.recordOwner(q)
		}
		pause, failure := h.ownerWait(q, why, untilReady, waitUntil, h.recordAbsence)
		if failure.status != 0 {
			return nil, failure
		}
		if why == cold {
			if !wait.For(ctx, pause) {
				return nil, outcome{reason: cold, status: http.StatusServiceUnavailable}
			}
		} else if !h.awaitView(ctx, v, pause) && ctx.Err() != nil {
			// The key may get another owner meanwhile.
			if why == resting {
				return nil, outcome{reason: resting, status: http.StatusServiceUnavailable}
			}
			return nil, outcome{reason: noOwner, status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter}
		}
		v = h.view()
	}
}

// spareTime returns for how long a request can wait and still be served.
func (h *requestHandler) spareTime(q *request) time.Duration {
	return q.remaining() - h.expectedTime(q)
}

// expectedTime returns the time that is left for a request at an upstream.
func (h *requestHandler) expectedTime(q *request) time.Duration {
	return time.Duration(latencyReserve * h.stats.expectedLatency(q.route.Name) * float64(time.Second))
}

// recordOwner records that the key of a request has an owner.
func (h *requestHandler) recordOwner(q *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.absences.Present(q.service.Name, q.params.Key)
}

// recordAbsence records that the key of a request has no owner, and returns for how long.
func (h *requestHandler) recordAbsence(q *request) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.absences.Missing(time.Since(h.start), q.service.Name, q.params.Key)
}

// viewAfter returns the current view after an upstream of v was unusable. If v is current, the one
// that says so is about to be published.
func (h *requestHandler) viewAfter(ctx context.Context, v *view) *view {
	if h.view() == v {
		h.awaitView(ctx, v, shortRetryAfter)
	}
	return h.view()
}

// awaitView waits until v is superseded. It reports false if that does not happen within
// d or before ctx ends.
func (h *requestHandler) awaitView(ctx context.Context, v *view, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-v.superseded:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/upstreamconn"
)

// send sends the request once and releases the slot of the limiter. The run was recorded with
// crashes.start.
func (h *requestHandler) send(ctx context.Context, q *request, u *upstream) (*upstreamconn.Response, fleet.ResponseHeaders, error) {
	acquired, capacity, streamed := time.Now(), capacityUnknown, false
	sendCtx, watch := h.watchSend(ctx, q, u)
	defer func() {
		if !streamed {
			watch.end(capacity)
		}
	}()
	header := q.upstreamHeader()
	// A newer configuration may give the request another service while it waits for a connection.
	fingerprint := q.fingerprint
	fleet.SetUpstreamHeaders(header, u.id, q.remaining())
	q.lastUpstream = u.id
	u.usedAt.Store(int64(bootTime()))
	var headers fleet.ResponseHeaders
	var ownerSend *sendEnd
	if q.service.Keyed {
		end := h.beginOwnerSend(q, u)
		defer func() { h.endOwnerSend(ctx, q, u, end) }()
		ownerSend = end
	}
	began, sent := time.Now(), bootTime()
	q.sendDelay = began.Sub(q.arrived)
	if u.limiter.rate() > 0 {
		h.metrics.limitedSends.WithLabelValues(string(q.service.Name)).Inc()
	}
	resp, err := u.pool.Do(sendCtx, &upstreamconn.Request{
		// Without an ID, a late copy of an earlier response cannot be told from the response.
		OwnConn: q.params.RequestID == "",
		Method:  q.http.Method, Target: q.http.RequestURI, Host: q.http.Host, Header: header, Body: q.body, Buffers: q.buffers, Earlier: &q.connections,
		CheckNewConn: true, MaySend: func() bool { return h.mayStillSend(q, u) },
		Matches: func(status int, header http.Header) bool {
			headers = fleet.ParseResponseHeaders(status, header)
			return headers.RequestID == q.params.RequestID
		},
		Window: h.large.windowOf(q), MayStream: func(status int) bool { return mayStream(status, headers) },
	})
	if q.exchanged != nil {
		q.exchanged()
	}
	now := time.Now()
	took := now.Sub(began)
	silent := watch.dropped(sendCtx, err)
	switch {
	case silent, errors.Is(err, buffers.ErrExhausted):
		// A response that finds no memory in this VM shows that the upstream has not crashed.
		h.crashes.ended(fingerprint)
	case err == nil && resp.Stream != nil:
		// The run ends with the response.
		streamed = true
		h.finishWith(resp.Stream, q, u, now.Sub(acquired), watch.detach())
	case err == nil && !headers.NotRun:
		h.crashes.succeeded(fingerprint)
	case err != nil && !notSent(err) && ctx.Err() == nil && q.route.Idempotent:
		// The verification must end before the retry.
		h.crashes.verifyCrash(u, fingerprint, h.reach)
	case err != nil && !notSent(err) && ctx.Err() == nil:
		go h.crashes.verifyCrash(u, fingerprint, h.reach)
	default:
		h.crashes.ended(fingerprint)
	}
	if err == nil && !headers.NotRun && (headers.ContentEncoded || resp.Status < http.StatusMultipleChoices && !headers.Signed) {
		resp, err = nil, &upstreamconn.Error{Sent: true, Err: upstreamconn.ErrInvalidResponse}
	}
	ownerSend.returned(took, resp, headers, err)
	if err != nil {
		if !notSent(err) {
			q.sends++
			q.mayHaveRun++
		}
		if lostRace(ctx, u, took) {
			return nil, headers, err
		}
		why := sendFailureReason(ctx, err)
		if silent {
			why = rejectedBySilence
		}
		h.metrics.failedSends.WithLabelValues(string(q.service.Name), why).Inc()
		if ctx.Err() == nil && !errors.Is(err, buffers.ErrExhausted) && !errors.Is(err, upstreamconn.ErrWithdrawn) {
			u.recordFailure(now)
			switch {
			case silent:
				capacity = capacityFull
			case u.limiter.hasBackpressure():
				if errors.Is(err, upstreamconn.ErrConnectionRejected) || why == connectionBroken {
					capacity = u.brokenSignal(now)
				}
			case u.overloaded(now) || errors.Is(err, upstreamconn.ErrConnectionRejected):
				capacity = capacityFull
			}
			if capacity != capacityUnknown && !silent {
				// The watch counts silent ones.
				h.metrics.rejectedSends.WithLabelValues(string(q.service.Name), rejectedByReset).Inc()
				if u.queueFull(now) {
					h.recordVisibleRejection(q.service.Name)
				}
			}
		}
		h.log.Info().Str("event", "send_failed").Str("request", q.params.RequestID).Str("upstream", string(u.id)).
			Str("reason", why).Bool("sent", !notSent(err)).Dur("took_ms", took).Err(err).Msg("")
		return nil, headers, err
	}
	q.sends++
	if headers.Leaving {
		h.leaving.observe(u, "response")
	}
	h.cold.observe(u, headers.Cold, "response")
	q.load = headers.Load
	u.limiter.observe(headers.Load)
	u.recordResponseTime(took, headers.Load)
	if headers.RateLimit > 0 || !headers.NotRun {
		h.limits.observe(u, sent, bootTime(), headers.RateLimit)
	}
	if headers.NotRun {
		if headers.Rest > 0 {
			u.rest(headers.Rest)
			h.metrics.rests.WithLabelValues(string(q.service.Name)).Inc()
			h.log.Info().Str("event", "upstream_resting").Str("upstream", string(u.id)).Dur("rest_ms", headers.Rest).Str("request", q.params.RequestID).Msg("")
		}
		if !headers.Misdirected && overloaded(headers.Load) {
			capacity = u.limiter.shedSignal(headers.Load)
			h.metrics.rejectedSends.WithLabelValues(string(q.service.Name), rejectedByShedding).Inc()
			if queueFull(headers.Load) {
				h.recordVisibleRejection(q.service.Name)
			}
		}
		u.recordShed(now, headers.Load)
		h.log.Info().Str("event", "send_refused").Str("request", q.params.RequestID).Str("upstream", string(u.id)).
			Int("status", resp.Status).Int("key", q.params.Key).Dur("took_ms", took).Msg("")
		return resp, headers, nil
	}
	q.mayHaveRun++
	capacity = capacityFree
	u.recordResponse(now, took, headers.Load, resp.Status >= http.StatusInternalServerError)
	h.stats.recordLatency(q, u, took, headers.Load)
	h.metrics.upstream.WithLabelValues(string(q.service.Name)).Observe(took.Seconds())
	return resp, headers, nil
}

// overloaded reports whether a load leaves no capacity for another request. Upstreams
// may also refuse requests for other reasons.
func overloaded(load fleet.Load) bool { return load.Slots == 0 || load.Waiting >= load.Slots }

// fullQueuePerSlot is the number of waiting requests for each slot from which the queue of an
// upstream counts as full: it holds four.
const fullQueuePerSlot = 3

// queueFull reports whether a load states a full queue.
func queueFull(load fleet.Load) bool {
	return load.Slots > 0 && load.Waiting >= fullQueuePerSlot*load.Slots
}

// queueFull reports whether the upstream has recently stated a full queue.
func (u *upstream) queueFull(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Sub(u.loadAt) < overloadAge && queueFull(u.load)
}

// overloaded reports whether the upstream has recently reported an overload.
func (u *upstream) overloaded(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load.Slots > 0 && now.Sub(u.loadAt) < overloadAge && overloaded(u.load)
}

func (u *upstream) recordShed(now time.Time, load fleet.Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if load.Slots > 0 {
		u.load, u.loadAt = load, now
	}
	u.avoidUntil = now.Add(loadAge)
}

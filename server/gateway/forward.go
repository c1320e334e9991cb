package gateway

import (
	"context"
	"hash/fnv"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ratelimit"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
	"dandelionhill.dev/server/wait"
)

const (
	// ownerWait bounds the wait for a new owner of a key: a lost owner's lease has
	// run out by then.
	ownerWait = 1500 * time.Millisecond
	// crowdedAge is how long an upstream counts as crowded after it said so.
	crowdedAge = 2 * time.Second
	// coldUse is the part of the bound on a cold upstream that is used.
	coldUse = 1.1
)

// forward sends a request until there is an answer or an end.
func (e *entry) forward(ctx context.Context, q *request) (*upstreamconn.Response, outcome) {
	var avoid map[api.UpstreamID]bool
	for {
		if ctx.Err() != nil {
			return nil, e.ended(ctx, q, outcome{reason: timeoutUnsent, status: http.StatusServiceUnavailable, err: ctx.Err()})
		}
		q.tries++
		v := e.view()
		u, end := e.choose(ctx, q, v, avoid)
		if u == nil {
			return nil, e.ended(ctx, q, end)
		}
		reply, answer, err := e.send(ctx, q, u)
		switch {
		case err == nil && !answer.NotRun:
			failed := reply.Status >= http.StatusInternalServerError
			if failed && q.route.Idempotent && q.ran < q.route.MaxAttempts && !q.service.Keyed && e.mayRepeat(q) {
				break
			}
			return reply, outcome{}
		case err == nil:
			if answer.Misdirected && q.service.Keyed {
				if !e.awaitView(ctx, v, retrySoon) || !e.mayRepeat(q) {
					return nil, e.ended(ctx, q, outcome{reason: noOwner, status: http.StatusServiceUnavailable, retryAfter: retrySoon})
				}
				continue
			}
			if q.service.Keyed && crowded(answer.Load) || !e.mayRepeat(q) {
				return nil, e.ended(ctx, q, outcome{reason: shed, status: http.StatusServiceUnavailable, retryAfter: retrySoon})
			}
		case isUnsent(err):
			if q.service.Keyed && (q.left() < retrySoon || !e.awaitView(ctx, v, retrySoon)) || q.tries >= maxSends {
				return nil, e.ended(ctx, q, outcome{reason: unreachable, status: http.StatusServiceUnavailable, retryAfter: retrySoon, err: err})
			}
		default:
			if e.crashes.quarantined(q.fingerprint) {
				return nil, e.ended(ctx, q, outcome{reason: quarantined, status: http.StatusBadGateway, err: err})
			}
			if ctx.Err() != nil || !q.route.Idempotent || q.ran >= q.route.MaxAttempts || !e.mayRepeat(q) {
				return nil, e.ended(ctx, q, outcome{reason: lost, status: http.StatusBadGateway, err: err})
			}
		}
		if avoid == nil {
			avoid = make(map[api.UpstreamID]bool)
		}
		avoid[u.id] = true
	}
}

func isUnsent(err error) bool {
	var failed *upstreamconn.Error
	return errors.As(err, &failed) && !failed.Sent
}

// ended turns the end of a try into the final outcome: a request that may have
// run is never called refused.
func (e *entry) ended(ctx context.Context, q *request, end outcome) outcome {
	switch {
	case q.http.Context().Err() != nil:
		return outcome{reason: callerLeft, status: http.StatusBadGateway, err: end.err}
	case ctx.Err() != nil && q.ran > 0:
		return outcome{reason: timeoutSent, status: http.StatusGatewayTimeout, err: end.err}
	case q.ran > 0 && end.status == http.StatusServiceUnavailable:
		end.status, end.retryAfter = http.StatusBadGateway, 0
	case ctx.Err() != nil && end.status == http.StatusServiceUnavailable && end.reason != noOwner && end.reason != cold:
		end.reason = timeoutUnsent
	}
	return end
}

// choose returns the upstream for the next send, with a place at its gate.
func (e *entry) choose(ctx context.Context, q *request, v *view, avoid map[api.UpstreamID]bool) (*upstream, outcome) {
	if q.service.Keyed {
		return e.ownerOf(ctx, q, v)
	}
	u, retryAfter := e.cheapest(q, v, avoid)
	if u == nil {
		why := noUpstream
		if retryAfter > 0 {
			why = cold
		}
		return nil, outcome{reason: why, status: http.StatusServiceUnavailable, retryAfter: max(retryAfter, retrySoon)}
	}
	if err := e.enter(ctx, q, u); err != nil {
		return nil, fullAt(err)
	}
	return u, outcome{}
}

// enter takes a place at the gate of an upstream.
func (e *entry) enter(ctx context.Context, q *request, u *upstream) error {
	target := q.deadline
	if q.route.TargetLatency > 0 {
		target = q.arrived.Add(q.route.TargetLatency)
	}
	usual := time.Duration(e.stats.usual(q.route.Name) * float64(time.Second))
	return u.gate.enter(ctx, want{
		priority: q.route.Priority, arrived: q.arrived, target: target, deadline: q.deadline, work: usual,
	})
}

// fullAt returns the outcome where an upstream has no place.
func fullAt(err error) outcome {
	end := outcome{reason: busy, status: http.StatusServiceUnavailable, err: err, retryAfter: retrySoon}
	var hopeless errHopeless
	if errors.As(err, &hopeless) {
		end.retryAfter = max(hopeless.wait, retrySoon)
	}
	return end
}

// cheapest returns the upstream that is expected to answer first.
func (e *entry) cheapest(q *request, v *view, avoid map[api.UpstreamID]bool) (best *upstream, retryAfter time.Duration) {
	now, boot := time.Now(), bootTime()
	usual := e.stats.usual(q.route.Name)
	bestCost := 0.0
	for round := range 2 {
		for _, u := range v.services[q.service.Name] {
			if !v.usable(u) || round == 0 && avoid[u.id] {
				continue
			}
			if wait := e.coldWait(q, v, u, boot); wait > 0 {
				if retryAfter == 0 || wait < retryAfter {
					retryAfter = wait
				}
				continue
			}
			if cost := u.cost(now, usual); best == nil || cost < bestCost {
				best, bestCost = u, cost
			}
		}
		if best != nil {
			break
		}
	}
	if best != nil && !e.takeColdTurn(q, v, best, boot) {
		return nil, retrySoon
	}
	return best, retryAfter
}

func slotOffset(id api.UpstreamID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func (e *entry) turn(q *request, v *view) ratelimit.SlotSchedule {
	return ratelimit.SlotSchedule{Rate: q.service.ColdRate * coldUse, Rank: v.rank, VMs: v.of}
}

// coldWait returns the time until a cold upstream may get a request of this VM,
// 0 if it may get one now.
func (e *entry) coldWait(q *request, v *view, u *upstream, boot time.Duration) time.Duration {
	entry := u.entry.Load()
	if boot >= entry.coldUntil || q.service.ColdRate <= 0 {
		return 0
	}
	if v.rank < 0 || !v.clock.known {
		return entry.coldUntil - boot
	}
	turn, shared := e.turn(q, v), v.clock.at(boot)
	slot, mine := turn.Slot(shared, slotOffset(u.id))
	if mine && u.coldSlotFree(slot) {
		return 0
	}
	if mine {
		shared += time.Duration(float64(time.Second) / turn.Rate)
	}
	return min(max(turn.UntilNext(shared, slotOffset(u.id)), time.Millisecond), entry.coldUntil-boot)
}

// takeColdTurn uses the turn of this VM at a cold upstream.
func (e *entry) takeColdTurn(q *request, v *view, u *upstream, boot time.Duration) bool {
	if boot >= u.entry.Load().coldUntil || q.service.ColdRate <= 0 {
		return true
	}
	slot, mine := e.turn(q, v).Slot(v.clock.at(boot), slotOffset(u.id))
	return mine && u.takeColdSlot(slot)
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

// ownerOf waits until a usable upstream holds the request's key and has a place.
func (e *entry) ownerOf(ctx context.Context, q *request, v *view) (*upstream, outcome) {
	if q.asked.Key < 0 {
		return nil, outcome{reason: badRequest, status: http.StatusBadRequest}
	}
	waitUntil := time.Now().Add(min(ownerWait, q.left()/2))
	for {
		h := v.holdings[q.service.Name]
		q.granter = h.Term
		u := v.upstreams[h.owner(q.asked.Key)]
		if u != nil && v.usable(u) {
			untilTurn := e.coldWait(q, v, u, bootTime())
			if untilTurn == 0 {
				if err := e.enter(ctx, q, u); err != nil {
					return nil, fullAt(err)
				}
				if e.takeColdTurn(q, v, u, bootTime()) {
					return u, outcome{}
				}
				u.gate.leave(0, unclear)
				untilTurn = time.Millisecond
			}
			if time.Now().Add(untilTurn).After(waitUntil) {
				return nil, outcome{reason: cold, status: http.StatusServiceUnavailable, retryAfter: untilTurn}
			}
			if !wait.For(ctx, untilTurn) {
				return nil, outcome{reason: cold, status: http.StatusServiceUnavailable}
			}
			v = e.view()
			continue
		}
		if !e.awaitView(ctx, v, time.Until(waitUntil)) {
			return nil, outcome{reason: noOwner, status: http.StatusServiceUnavailable, retryAfter: retrySoon}
		}
		v = e.view()
	}
}

// awaitView waits until v is superseded. It reports false if that does not
// happen within d or before ctx ends.
func (e *entry) awaitView(ctx context.Context, v *view, d time.Duration) bool {
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

// send sends the request once. The place at the gate is given back.
func (e *entry) send(ctx context.Context, q *request, u *upstream) (*upstreamconn.Response, fleet.ResponseHeaders, error) {
	entered, room := time.Now(), unclear
	defer func() { u.gate.leave(time.Since(entered), room) }()
	header := q.header
	fleet.SetUpstreamHeaders(header, u.id, q.left())
	q.last = u.id
	var answer fleet.ResponseHeaders
	began := time.Now()
	q.sentAfter = began.Sub(q.arrived)
	e.crashes.started(q.fingerprint)
	reply, err := u.pool.Do(ctx, &upstreamconn.Request{
		Method: q.http.Method, Target: q.http.RequestURI, Host: q.http.Host, Header: header, Body: q.body,
		CheckNewConn: !q.route.Idempotent,
		Matches: func(status int, header http.Header) bool {
			answer = fleet.ParseResponseHeaders(status, header)
			return answer.RequestID == q.asked.RequestID || answer.RequestID == "" && answer.NotRun
		},
	})
	now := time.Now()
	took := now.Sub(began)
	switch {
	case err == nil && !answer.NotRun:
		e.crashes.succeeded(q.fingerprint)
	case err != nil && !isUnsent(err) && ctx.Err() == nil && q.route.Idempotent:
		// Before it is sent again.
		e.crashes.verify(u, q.fingerprint)
	case err != nil && !isUnsent(err) && ctx.Err() == nil:
		go e.crashes.verify(u, q.fingerprint)
	default:
		e.crashes.ended(q.fingerprint)
	}
	if err == nil && !answer.NotRun && (answer.ContentEncoded || reply.Status < http.StatusMultipleChoices && !answer.Signed) {
		reply, err = nil, &upstreamconn.Error{Sent: true, Err: upstreamconn.ErrInvalidResponse}
	}
	if err != nil {
		if !isUnsent(err) {
			q.sends++
			q.ran++
		}
		if ctx.Err() == nil {
			u.failed(now)
			if u.crowded(now) || errors.Is(err, upstreamconn.ErrConnectionRejected) {
				room = wasFull
			}
		}
		e.log.Info().Str("event", "send_failed").Str("request", q.asked.RequestID).Str("upstream", string(u.id)).
			Bool("sent", !isUnsent(err)).Dur("took_ms", took).Err(err).Msg("")
		return nil, answer, err
	}
	q.sends++
	q.load = answer.Load
	if answer.NotRun {
		if !answer.Misdirected && crowded(answer.Load) {
			room = wasFull
		}
		u.shed(now, answer.Load)
		e.log.Info().Str("event", "send_refused").Str("request", q.asked.RequestID).Str("upstream", string(u.id)).
			Int("status", reply.Status).Int("key", q.asked.Key).Dur("took_ms", took).Msg("")
		return reply, answer, nil
	}
	q.ran++
	room = hadRoom
	u.answered(now, took, answer.Load, reply.Status >= http.StatusInternalServerError)
	e.stats.observe(q, u, took, answer.Load)
	e.metrics.upstream.WithLabelValues(string(q.service.Name)).Observe(took.Seconds())
	return reply, answer, nil
}

// crowded reports whether a load leaves no room for another request. An upstream
// may also refuse requests for a reason of its own.
func crowded(load fleet.Load) bool { return load.Slots == 0 || load.Waiting >= load.Slots }

// crowded reports whether the upstream has lately said that it is.
func (u *upstream) crowded(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load.Slots > 0 && now.Sub(u.loadAt) < crowdedAge && crowded(u.load)
}

func (u *upstream) shed(now time.Time, load fleet.Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if load.Slots > 0 {
		u.load, u.loadAt = load, now
	}
	u.avoidUntil = now.Add(loadAge)
}

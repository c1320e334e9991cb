package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
	"dandelionhill.dev/server/wait"
)

const (
	// callReadTimeout bounds the time until an upstream begins to read a call on a connection that
	// it has read before. On a new one, which may wait for a free slot, a grant waits for
	// grantReadTimeout, which a lease that was just renewed outlasts, and a release for
	// releaseTimeout.
	callReadTimeout  = 500 * time.Millisecond
	grantReadTimeout = 1500 * time.Millisecond
	// grantTimeout bounds the response to a grant; upstreams respond within milliseconds.
	grantTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the response to a release, which waits for running requests.
	releaseTimeout = 4 * time.Second
	// slowCall is the time from which an accepted grant is logged.
	slowCall = 100 * time.Millisecond
	// maxConcurrentCalls bounds the concurrent calls of one kind to one upstream.
	maxConcurrentCalls = 2
	// suspectAfter is how long calls may fail to reach an upstream before its keys move,
	// suspectFor is how long it then gets no keys, as after the end of its process.
	suspectAfter = 500 * time.Millisecond
	suspectFor   = 3 * time.Second
	// grantsEndTimeout is how long a granter that gives up its authority waits for the grants that
	// are on their way; sendPollInterval is the interval between looks at them.
	grantsEndTimeout = 100 * time.Millisecond
	sendPollInterval = time.Millisecond
)

// callQueues sends grant and release calls to upstreams, at most maxConcurrentCalls of each
// kind at a time to each, so that they share connections.
type callQueues struct {
	granter *granter
	ctx     context.Context
	log     zerolog.Logger
	// sending is the number of grants whose last check has been made, or is about to be, and whose
	// calls have not ended.
	sending atomic.Int64

	mu     sync.Mutex
	queues map[ownership.Owner]*callQueue
	fences map[api.ServiceName]*ownership.Fences
}

// callQueue holds the calls to one incarnation of an upstream.
type callQueue struct {
	// grants and releases have separate places: a release waits for running requests, longer
	// than a lease can wait for its renewal.
	grants, releases callLane
	// unreachableSince is since when no call has reached the upstream, 0 if one has.
	unreachableSince time.Duration
	suspectUntil     time.Duration
}

// callLane holds the calls of one kind.
type callLane struct {
	pending []func()
	running int
}

func newCallQueues(g *granter) *callQueues {
	q := &callQueues{granter: g, log: g.log, queues: make(map[ownership.Owner]*callQueue), fences: make(map[api.ServiceName]*ownership.Fences)}
	for service, entries := range g.initial.owners {
		q.fences[service] = new(ownership.Fences)
		for _, e := range entries {
			q.fences[service].Granted(e.Span, e.Fence)
		}
	}
	return q
}

// checkFence records the fence of a grant that is about to be sent. It reports false if one of
// the keys was granted under a higher fence: another upstream may hold it.
func (q *callQueues) checkFence(service api.ServiceName, a ownership.Action) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fences[service] == nil {
		q.fences[service] = new(ownership.Fences)
	}
	if highest := q.fences[service].Highest(a.Span); highest > a.Fence {
		q.log.Error().Str("event", "grant_stopped").Str("service", string(service)).Str("upstream", string(a.Owner.UpstreamID)).
			Int("first", a.Span.First).Int("last", a.Span.Last).Int64("fence", a.Fence).Int64("highest", highest).Msg("")
		return false
	}
	q.fences[service].Granted(a.Span, a.Fence)
	return true
}

// suspect reports whether calls have lately failed to reach an owner, or have shown that
// it has ended.
func (q *callQueues) suspect(owner ownership.Owner, now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queues[owner]
	return queue != nil && now < queue.suspectUntil
}

// enqueue queues the grant or release call for an action.
func (q *callQueues) enqueue(service api.ServiceName, a ownership.Action, u *upstream, now time.Duration) {
	if u == nil || u.registration.Load().Incarnation != a.Owner.Incarnation {
		// This VM does not know the incarnation: it has ended, or the view is older.
		go q.complete(service, a, ownership.NotSent, "")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queues[a.Owner]
	if queue == nil {
		queue = &callQueue{}
		q.queues[a.Owner] = queue
	}
	lane := &queue.grants
	if a.Kind == ownership.Release {
		lane = &queue.releases
	}
	lane.pending = append(lane.pending, func() { q.run(service, a, u, queue) })
	q.startQueued(lane)
}

// startQueued starts pending calls up to the limit; q.mu is held.
func (q *callQueues) startQueued(lane *callLane) {
	for lane.running < maxConcurrentCalls && len(lane.pending) > 0 {
		run := lane.pending[0]
		lane.pending = lane.pending[1:]
		lane.running++
		go func() {
			guard{q.granter.metrics, q.log}.run("call", run)
			q.mu.Lock()
			defer q.mu.Unlock()
			lane.running--
			q.startQueued(lane)
		}()
	}
}

func (q *callQueues) run(service api.ServiceName, a ownership.Action, u *upstream, queue *callQueue) {
	if !q.granter.mayRenew() {
		q.complete(service, a, ownership.NotSent, "")
		return
	}
	if a.Kind == ownership.Grant && !q.checkFence(service, a) {
		q.granter.metrics.calls.WithLabelValues("grant", "stopped").Inc()
		q.complete(service, a, ownership.Fenced, "")
		return
	}
	done := q.call(a, u)
	now := bootTime()
	q.noteLate(service, a, done)
	q.mu.Lock()
	switch {
	case done.result == ownership.OwnerEnded:
		queue.suspectUntil, queue.unreachableSince = now+suspectFor, 0
	case done.connected:
		queue.unreachableSince = 0
	case queue.unreachableSince == 0:
		queue.unreachableSince = now
	case now-queue.unreachableSince > suspectAfter && now > queue.suspectUntil:
		queue.suspectUntil, queue.unreachableSince = now+suspectFor, 0
		q.log.Warn().Str("event", "upstream_unreachable").Str("upstream", string(u.id)).Msg("")
	}
	q.mu.Unlock()
	late := u.calls.late()
	q.granter.do(func() {
		m := q.granter.machines[service]
		if done.reached {
			m.Reached(a.Owner)
		}
		if late > 0 {
			m.SetLate(a.Owner, late)
		}
	})
	q.complete(service, a, done.result, done.handover)
}

// awaitGrants waits until no grant can leave any more, after renewUntil was set to 0. It reports
// false if some still can.
func (q *callQueues) awaitGrants(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, grantsEndTimeout)
	defer cancel()
	for q.sending.Load() > 0 {
		if !wait.For(ctx, sendPollInterval) {
			return false
		}
	}
	return true
}

// noteLate logs and counts a grant that left after the authority to send it had ended.
func (q *callQueues) noteLate(service api.ServiceName, a ownership.Action, done callOutcome) {
	until := time.Duration(q.granter.renewUntil.Load())
	late := done.sentAt - until
	if a.Kind != ownership.Grant || done.sentAt == 0 || until == 0 || late <= 0 {
		return
	}
	q.granter.metrics.calls.WithLabelValues("grant", "late").Inc()
	q.log.Warn().Str("event", "grant_late").Str("service", string(service)).Str("upstream", string(a.Owner.UpstreamID)).
		Int("first", a.Span.First).Int("last", a.Span.Last).Int64("fence", a.Fence).Str("result", resultNames[done.result]).
		Int64("late_ms", late.Milliseconds()).Msg("")
}

// callOutcome is the outcome of a call.
type callOutcome struct {
	result   ownership.Result
	handover string
	// connected means that there was a connection to the upstream.
	connected bool
	// reached means that the host of the upstream has answered, if only by refusing the connection.
	reached bool
	// sentAt is when the last byte left, on bootTime; 0 if it did not.
	sentAt time.Duration
}

// call sends the call for an action.
func (q *callQueues) call(a ownership.Action, u *upstream) (done callOutcome) {
	span := fleet.Span{First: a.Span.First, Last: a.Span.Last}
	call, err := fleet.GrantCall(span, a.Fence, a.LeaseTTL, a.Handover)
	timeout, readTimeout, kind := grantTimeout, grantReadTimeout, "grant"
	if a.Kind == ownership.Release {
		call, err = fleet.ReleaseCall(span, a.Fence)
		timeout, readTimeout, kind = releaseTimeout, releaseTimeout, "release"
	}
	if err != nil {
		q.log.Error().Str("event", "order_not_encoded").Err(err).Msg("")
		return callOutcome{result: ownership.NotSent}
	}
	whole := u.calls.whole.Load()
	reservation := q.granter.buffers.Reserve()
	defer reservation.Release()
	began, trace := time.Now(), new(upstreamconn.Trace)
	sending := false
	defer func() {
		if sending {
			q.sending.Add(-1)
		}
	}()
	maySend := func() bool {
		if a.Kind == ownership.Grant {
			sending = true
			q.sending.Add(1)
		}
		return q.granter.mayRenew()
	}
	resp, err := u.pool.Do(q.ctx, &upstreamconn.Request{
		Method: call.Method, Target: call.Path, Body: call.Body, Buffers: reservation, Trace: trace,
		// The address may belong to another upstream by now, which must not take these
		// keys.
		Header: http.Header{"Content-Type": {"application/json"}, fleet.HeaderExpectedUpstream: {string(u.id)}},
		// Responses to calls carry no ID. A late copy of one ends a renewal whose body was not sent;
		// after that it is taken for the response, and the lease to run longer than it does, unless
		// a cut holds the body up.
		OwnConn: a.Kind == ownership.Release || !a.Renewal,
		// The call waits for its connection and for the upstream; the authority to send it may end
		// in the meantime.
		Order: &upstreamconn.Order{Whole: whole, ReadTimeout: callReadTimeout, NewConnReadTimeout: readTimeout, ResponseTimeout: timeout, MaySend: maySend},
		// Responses with a request ID belong to forwarded requests.
		Matches: func(_ int, header http.Header) bool { return fleet.ParseResponseHeaders(0, header).RequestID == "" },
	})
	if err == nil && fleet.ParseLeaving(resp.Header) {
		q.granter.control.leaving.observe(u, "call")
	}
	if err == nil {
		q.granter.control.cold.observe(u, fleet.ParseResponseHeaders(resp.Status, resp.Header).Cold, "call")
	}
	result, handover, status := ownership.Unknown, "", 0
	switch {
	case err != nil && notSent(err):
		// A refused connection does not prove that the process has ended: while it shuts
		// down, it stops listening but still runs requests.
		result = ownership.NotSent
	case err != nil:
	case resp.Status == http.StatusOK:
		result, handover, status = ownership.Accepted, resp.Header.Get(fleet.HeaderHandover), resp.Status
	case resp.Status == http.StatusConflict:
		result, status = ownership.Fenced, resp.Status
	case resp.Status == http.StatusMisdirectedRequest:
		result, status = ownership.OwnerEnded, resp.Status
	default:
		status = resp.Status
	}
	q.observeStyle(a, u, resp, err, trace)
	took := time.Since(began)
	q.granter.metrics.calls.WithLabelValues(kind, resultNames[result]).Inc()
	if result != ownership.Accepted || a.Kind == ownership.Release || took > slowCall {
		event := q.log.Info().Str("event", kind).Str("upstream", string(u.id)).Int("first", a.Span.First).Int("last", a.Span.Last).
			Int64("fence", a.Fence).Bool("renewal", a.Renewal).Str("result", resultNames[result]).Int("status", status).
			Bool("new_conn", trace.NewConn).Dur("took_ms", took)
		if !trace.SentAt.IsZero() {
			event.Dur("sent_after_ms", trace.SentAt.Sub(began))
		}
		event.Err(err).Msg("")
	}
	done = callOutcome{result: result, handover: handover, connected: connectedTo(err), reached: connectedTo(err) || upstreamconn.Refused(err)}
	if !trace.SentAt.IsZero() {
		done.sentAt = bootTime() - time.Since(trace.SentAt)
	}
	return done
}

var resultNames = map[ownership.Result]string{
	ownership.Accepted: "accepted", ownership.Fenced: "outranked", ownership.NotSent: "not_sent", ownership.Unknown: "unknown",
	ownership.OwnerEnded: "ended",
}

func (q *callQueues) complete(service api.ServiceName, a ownership.Action, result ownership.Result, handover string) {
	q.granter.do(func() {
		m := q.granter.machines[service]
		now := bootTime()
		if a.Kind == ownership.Release {
			m.ReleaseDone(now, a, result, handover)
		} else {
			m.GrantDone(now, a, result)
		}
		q.granter.publish(service, m)
	})
}

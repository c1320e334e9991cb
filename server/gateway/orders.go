package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

const (
	// grantTimeout bounds a grant: upstreams answer within milliseconds.
	grantTimeout = 500 * time.Millisecond
	// releaseTimeout bounds a release, which waits for work under way.
	releaseTimeout = 4 * time.Second
	// ordersAtOnce bounds the orders at one upstream at the same time.
	ordersAtOnce = 2
	// suspectAfter is how long no order may reach an upstream before its keys go
	// elsewhere, suspectFor how long it then gets none, as after the end of its process.
	suspectAfter = 500 * time.Millisecond
	suspectFor   = 3 * time.Second
)

// orders carries orders to upstreams: grants of one upstream one after the
// other, so that they share a connection.
type orders struct {
	g   *granter
	ctx context.Context
	log zerolog.Logger

	mu    sync.Mutex
	lines map[ownership.Owner]*line
}

// line is the orders to one process of an upstream.
type line struct {
	queue   []func()
	running int
	// unsentSince is since when no order has reached the upstream.
	unsentSince time.Duration
	suspectTill time.Duration
}

func newOrders(g *granter) *orders {
	return &orders{g: g, log: g.log, lines: make(map[ownership.Owner]*line)}
}

// suspect reports whether orders do not reach a process at present.
func (o *orders) suspect(process ownership.Owner, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lines[process]
	return l != nil && now < l.suspectTill
}

// give queues an order.
func (o *orders) give(service api.ServiceName, a ownership.Action, u *upstream, now time.Duration) {
	if u == nil || u.entry.Load().Incarnation != a.Owner.Incarnation {
		// The process is unknown or has ended: nothing can be sent to it.
		go o.report(service, a, now, ownership.NotSent, "")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lines[a.Owner]
	if l == nil {
		l = &line{}
		o.lines[a.Owner] = l
	}
	l.queue = append(l.queue, func() { o.carry(service, a, u, l) })
	o.next(l)
}

// next starts queued orders while there is room; o.mu is held.
func (o *orders) next(l *line) {
	for l.running < ordersAtOnce && len(l.queue) > 0 {
		run := l.queue[0]
		l.queue = l.queue[1:]
		l.running++
		go func() {
			run()
			o.mu.Lock()
			defer o.mu.Unlock()
			l.running--
			o.next(l)
		}()
	}
}

func (o *orders) carry(service api.ServiceName, a ownership.Action, u *upstream, l *line) {
	if !o.g.mayOrder() {
		o.report(service, a, bootTime(), ownership.NotSent, "")
		return
	}
	sent := bootTime()
	result, handover := o.call(a, u)
	now := bootTime()
	o.mu.Lock()
	switch {
	case result == ownership.OwnerEnded:
		l.suspectTill, l.unsentSince = now+suspectFor, 0
	case result != ownership.NotSent:
		l.unsentSince = 0
	case l.unsentSince == 0:
		l.unsentSince = now
	case now-l.unsentSince > suspectAfter && now > l.suspectTill:
		l.suspectTill, l.unsentSince = now+suspectFor, 0
		o.log.Warn().Str("event", "upstream_unreachable").Str("upstream", string(u.id)).Msg("")
	}
	o.mu.Unlock()
	o.report(service, a, sent, result, handover)
}

func (o *orders) call(a ownership.Action, u *upstream) (ownership.Result, string) {
	span := fleet.Span{First: a.Span.First, Last: a.Span.Last}
	call, err := fleet.GrantCall(span, a.Fence, a.LeaseTTL, a.Handover)
	timeout, kind := grantTimeout, "grant"
	if a.Kind == ownership.Release {
		call, err = fleet.ReleaseCall(span, a.Fence)
		timeout, kind = releaseTimeout, "release"
	}
	if err != nil {
		o.log.Error().Str("event", "order_not_encoded").Err(err).Msg("")
		return ownership.NotSent, ""
	}
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	defer cancel()
	reply, err := u.pool.Do(ctx, &upstreamconn.Request{
		Method: call.Method, Target: call.Path, Body: call.Body,
		// The address may belong to another upstream by now, which must not take the
		// keys of the one that had it before.
		Header: http.Header{"Content-Type": {"application/json"}, fleet.HeaderExpectedUpstream: {string(u.id)}},
		// An answer with a request ID belongs to a request.
		Matches: func(_ int, header http.Header) bool { return fleet.ParseResponseHeaders(0, header).RequestID == "" },
	})
	result, handover, status := ownership.Unknown, "", 0
	switch {
	case err != nil && isUnsent(err):
		// A refused connection is no proof that the process has ended: one that leaves
		// stops listening while it is still at work on its keys.
		result = ownership.NotSent
	case err != nil:
	case reply.Status == http.StatusOK:
		result, handover, status = ownership.Accepted, reply.Header.Get(fleet.HeaderHandover), reply.Status
	case reply.Status == http.StatusConflict:
		result, status = ownership.Fenced, reply.Status
	case reply.Status == http.StatusMisdirectedRequest:
		result, status = ownership.OwnerEnded, reply.Status
	default:
		status = reply.Status
	}
	o.g.metrics.orders.WithLabelValues(kind, resultNames[result]).Inc()
	if result != ownership.Accepted || a.Kind == ownership.Release {
		o.log.Info().Str("event", kind).Str("upstream", string(u.id)).Int("first", a.Span.First).Int("last", a.Span.Last).
			Int64("fence", a.Fence).Str("result", resultNames[result]).Int("status", status).Err(err).Msg("")
	}
	return result, handover
}

var resultNames = map[ownership.Result]string{
	ownership.Accepted: "accepted", ownership.Fenced: "outranked", ownership.NotSent: "not_sent", ownership.Unknown: "unknown",
	ownership.OwnerEnded: "ended",
}

func (o *orders) report(service api.ServiceName, a ownership.Action, sent time.Duration, result ownership.Result, handover string) {
	o.g.do(func() {
		m := o.g.machines[service]
		now := bootTime()
		if a.Kind == ownership.Release {
			m.ReleaseDone(now, a, result, handover)
		} else {
			m.GrantDone(now, sent, a, result)
		}
		o.g.publish(service, m)
	})
}

package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ratelimit"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/platform/fleet"
)

// reason says why a request was refused or failed. Reasons label counters and
// stand in the log.
type reason string

const (
	noConfiguration reason = "no_configuration" // the VM has not read a configuration yet
	noRoute         reason = "no_route"
	badRequest      reason = "bad_request"
	tooLarge        reason = "body_too_large"
	noOwner         reason = "no_owner"    // no upstream holds the key at present
	noUpstream      reason = "no_upstream" // the service has no usable upstream
	busy            reason = "busy"        // all places at the upstream are taken for too long
	cold            reason = "cold"        // the upstream is cold and bears no more now
	shed            reason = "shed"        // upstreams refused the request
	unreachable     reason = "unreachable" // no connection to an upstream
	timeoutUnsent   reason = "timeout_unsent"
	timeoutSent     reason = "timeout_sent" // sent to an upstream, no answer in time
	lost            reason = "answer_lost"  // sent to an upstream, the answer is lost
	callerLeft      reason = "caller_left"
	quarantined     reason = "quarantined" // the request has crashed upstreams
)

// outcome is the end of a request without an answer of an upstream.
type outcome struct {
	reason reason
	status int
	// retryAfter tells the caller when to come again; 0 gives no advice.
	retryAfter time.Duration
	err        error
}

const (
	// defaultDeadline bounds requests whose caller and route state no limit.
	defaultDeadline = 30 * time.Second
	// answerMargin is taken off a timeout, so that the caller has the answer by then.
	answerMargin = 15 * time.Millisecond
	// maxSends bounds the sends of one request, whatever its route allows.
	maxSends = 4
	// retrySoon is the advice where the cause passes within a renewal.
	retrySoon = 250 * time.Millisecond
)

// entry answers the requests of callers.
type entry struct {
	view    func() *view
	bounds  Bounds
	metrics *Metrics
	log     zerolog.Logger
	stats   *stats
	crashes *crashes

	mu       sync.Mutex
	splitter *routing.Splitter
	repeats  map[api.ServiceName]*ratelimit.RetryBudget
	start    time.Time
}

func newEntry(bounds Bounds, viewOf func() *view, m *Metrics, s *stats, c *crashes, log zerolog.Logger) *entry {
	return &entry{
		view: viewOf, bounds: bounds, metrics: m, log: log, stats: s, crashes: c, start: time.Now(),
		splitter: routing.NewSplitter(), repeats: make(map[api.ServiceName]*ratelimit.RetryBudget),
	}
}

// request is one request of a caller on its way.
type request struct {
	asked    fleet.RequestHeaders
	route    *routing.Route
	service  *routing.Service
	arrived  time.Time
	deadline time.Time
	http     *http.Request
	header   http.Header
	body     []byte
	// sends counts the sends that can have reached an upstream, ran those after
	// which the request may have run.
	sends, ran int
	// tries counts the upstreams that were chosen.
	tries int
	// last is the upstream of the last send.
	last api.UpstreamID
	// sentAfter is the time from the arrival to the last send, load what the
	// upstream said with its last answer.
	sentAfter time.Duration
	load      fleet.Load
	granter   int64 // term of the holdings used last
	// fingerprint identifies what the request asks for.
	fingerprint uint64
}

func (q *request) left() time.Duration { return time.Until(q.deadline) }

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{arrived: time.Now(), asked: fleet.ParseRequestHeaders(r.Header), http: r}
	v := e.view()
	if v.config == nil {
		e.refuse(w, q, outcome{reason: noConfiguration, status: http.StatusServiceUnavailable, retryAfter: retrySoon})
		return
	}
	if q.route = v.config.Match(r.Host, r.URL.EscapedPath()); q.route == nil {
		e.refuse(w, q, outcome{reason: noRoute, status: http.StatusNotFound})
		return
	}
	if bad := e.read(q, v.config.Limits, w); bad.status != 0 {
		e.refuse(w, q, bad)
		return
	}
	limit := defaultDeadline
	if q.asked.Timeout > 0 {
		limit = q.asked.Timeout
	}
	if q.route.Timeout > 0 {
		limit = min(limit, q.route.Timeout-answerMargin)
	}
	q.deadline = q.arrived.Add(limit)
	name := e.admit(q.route)
	q.service = v.config.Services[name]
	if q.service == nil {
		e.refuse(w, q, outcome{reason: noUpstream, status: http.StatusServiceUnavailable, retryAfter: retrySoon})
		return
	}
	if q.service.Keyed && q.asked.Key >= 0 {
		e.stats.demand(q)
	}
	q.fingerprint = shardmap.Fingerprint(name, r.Method, r.RequestURI, q.body)
	if e.crashes.quarantined(q.fingerprint) {
		e.refuse(w, q, outcome{reason: quarantined, status: http.StatusServiceUnavailable, retryAfter: quarantineTime})
		return
	}
	q.header = forwarded(r.Header)
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	reply, end := e.forward(ctx, q)
	if reply == nil {
		e.refuse(w, q, end)
		return
	}
	header := w.Header()
	for name, values := range forwarded(reply.Header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, err := w.Write(reply.Body)
	e.answered(q, reply.Status, err)
}

// admit chooses the service of a new request and counts it.
func (e *entry) admit(route *routing.Route) api.ServiceName {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := e.splitter.Next(route)
	e.budget(name).Request(time.Since(e.start))
	return name
}

const (
	// repeatShare is the part of the bound on repeats that is used: windows and
	// the requests counted in them differ between VMs and upstreams.
	repeatShare = 0.6
)

func (e *entry) budget(service api.ServiceName) *ratelimit.RetryBudget {
	b, ok := e.repeats[service]
	if !ok {
		b = &ratelimit.RetryBudget{Window: e.bounds.RetryWindow.AsDuration(), Ratio: e.bounds.RetryRatio * repeatShare}
		e.repeats[service] = b
	}
	b.Allowance = ratelimit.Share(e.bounds.RetryAllowance*repeatShare, e.view().of)
	return b
}

// mayRepeat takes one repeat from the budget of the service.
func (e *entry) mayRepeat(q *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := q.tries < maxSends && q.left() > 0 && e.budget(q.service.Name).Take(time.Since(e.start))
	why := "repeated"
	if !ok {
		why = "no_budget"
	}
	e.metrics.repeats.WithLabelValues(string(q.service.Name), why).Inc()
	return ok
}

// read takes the body in. It returns an outcome with a status if it cannot.
func (e *entry) read(q *request, limits routing.Limits, w http.ResponseWriter) outcome {
	if q.http.ContentLength == 0 {
		return outcome{}
	}
	reader := io.Reader(q.http.Body)
	if limits.BodyBytes > 0 {
		reader = http.MaxBytesReader(w, q.http.Body, limits.BodyBytes)
	}
	body, err := io.ReadAll(reader)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return outcome{reason: tooLarge, status: http.StatusRequestEntityTooLarge, err: err}
	case err != nil:
		return outcome{reason: callerLeft, status: http.StatusBadRequest, err: err}
	}
	q.body = body
	return outcome{}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwarded returns the headers that are passed on.
func forwarded(header http.Header) http.Header {
	h := header.Clone()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	return h
}

// refusal is the body of an answer of the system's own.
type refusal struct {
	Reason  reason `json:"reason"`
	Remedy  string `json:"remedy"`
	Outcome string `json:"outcome"`
}

// refuse gives the final answer to a request that no upstream has answered.
func (e *entry) refuse(w http.ResponseWriter, q *request, end outcome) {
	e.logEnd(q, end)
	if end.reason == callerLeft {
		return
	}
	body := refusal{Reason: end.reason, Outcome: string(api.NotRun), Remedy: "send the request again"}
	if end.status == http.StatusBadGateway || end.status == http.StatusGatewayTimeout {
		body.Outcome, body.Remedy = string(api.Unknown), "find out whether the request has run before sending it again"
	}
	if end.status < http.StatusInternalServerError {
		body.Remedy = "correct the request"
	}
	if end.retryAfter > 0 {
		// Coming back a little apart keeps callers from arriving together again.
		after := end.retryAfter.Seconds() * (0.8 + 0.4*rand.Float64())
		w.Header().Set("Retry-After", strconv.FormatFloat(after, 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	if q.asked.RequestID != "" {
		w.Header().Set(fleet.HeaderRequestID, q.asked.RequestID)
	}
	w.WriteHeader(end.status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		e.log.Debug().Str("event", "answer_not_written").Str("request", q.asked.RequestID).Err(err).Msg("")
	}
}

func (e *entry) logEnd(q *request, end outcome) {
	service := ""
	if q.service != nil {
		service = string(q.service.Name)
	}
	took := time.Since(q.arrived)
	e.metrics.refusals.WithLabelValues(service, string(end.reason)).Inc()
	e.metrics.answered(service, strconv.Itoa(end.status), took)
	event := e.log.Info().Str("event", "request_not_answered").Str("request", q.asked.RequestID).
		Str("reason", string(end.reason)).Int("status", end.status).Str("service", service).
		Int("sends", q.sends).Int("may_have_run", q.ran).Dur("took_ms", took)
	if q.route != nil {
		event = event.Str("route", q.route.Name)
	}
	if q.last != "" {
		event = event.Str("upstream", string(q.last)).Dur("sent_after_ms", q.sentAfter)
	}
	if q.asked.Key >= 0 {
		event = event.Int("key", q.asked.Key).Int64("term", q.granter)
	}
	if v := e.view(); v.config != nil {
		event = event.Int64("configuration", v.config.Version)
	}
	if end.retryAfter > 0 {
		event = event.Dur("retry_after_ms", end.retryAfter)
	}
	event.Err(end.err).Msg("")
}

// answered records that an upstream's answer was passed on.
func (e *entry) answered(q *request, status int, writeErr error) {
	took := time.Since(q.arrived)
	e.metrics.answered(string(q.service.Name), "answered", took)
	late := q.route.TargetLatency > 0 && took > q.route.TargetLatency
	if status < http.StatusBadRequest && !late && writeErr == nil {
		return
	}
	e.log.Info().Str("event", "request_answered").Str("request", q.asked.RequestID).Int("status", status).
		Str("service", string(q.service.Name)).Str("route", q.route.Name).Str("upstream", string(q.last)).
		Int("sends", q.sends).Bool("late", late).Dur("took_ms", took).Dur("sent_after_ms", q.sentAfter).
		Int("running", q.load.Running).Int("waiting", q.load.Waiting).Float64("slowness", q.load.Slowdown).
		Int("key", q.asked.Key).Err(writeErr).Msg("")
}

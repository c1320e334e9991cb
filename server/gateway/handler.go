package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/absence"
	"dandelionhill.dev/core/ratelimit"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/upstreamconn"
)

// reason says why a request was refused or failed, in counters and in the log.
type reason string

const (
	noConfiguration reason = "no_configuration" // the VM has no configuration yet
	noRoute         reason = "no_route"
	overQuota       reason = "over_quota"                // the workspace has used up its quota
	unauthorized    reason = "unauthorized"              // the route needs a key of a workspace
	unconfirmed     reason = "configuration_unconfirmed" // keys may have been revoked since
	// newerConfiguration means that an isolated VM must have the configuration of this one first.
	newerConfiguration reason = "newer_configuration"
	badRequest         reason = "bad_request"
	tooLarge           reason = "body_too_large"
	headTooLarge       reason = "head_too_large"
	bodyTimeout        reason = "body_timeout" // the body did not arrive before the deadline
	noOwner            reason = "no_owner"     // no upstream owns the key at present
	vmStopping         reason = "stopping"     // the VM is about to end; others serve the request
	buffersFull        reason = "buffers_full" // the memory for bodies is used up
	// messagesFull means that the VM that was to send the request has no room for its message.
	messagesFull reason = "messages_full"
	// linkTooSlow means that the request cannot arrive at another VM before its deadline.
	linkTooSlow   reason = "link_too_slow"
	noUpstream    reason = "no_upstream" // the service has no usable upstream
	busy          reason = "busy"        // the limiter admits no request before the deadline
	late          reason = "late"        // past its target, where others can still meet theirs
	cold          reason = "cold"        // the rate limit of the cold upstream is reached
	limited       reason = "limited"     // the limit that the upstream states is reached
	shed          reason = "shed"        // upstreams shed the request
	unreachable   reason = "unreachable" // no connection to an upstream
	timeoutUnsent reason = "timeout_unsent"
	timeoutSent   reason = "timeout_sent" // sent to an upstream, no response in time
	responseLost  reason = "answer_lost"  // sent to an upstream, the response was lost
	callerLeft    reason = "caller_left"
	quarantined   reason = "quarantined" // the request has crashed upstreams
	ownerLeaving  reason = "leaving"     // the owner of the key leaves, and no key can move at present
	resting       reason = "resting"     // upstreams want no requests from this VM for a time
	isolatedVM    reason = "isolated"    // neither upstreams nor a VM that reaches them can be reached
	clientShed    reason = "client_shed" // the body was given up for others, as the caller is slow
)

// outcome is the result of a request that got no response from an upstream.
type outcome struct {
	reason reason
	status int
	// retryAfter is the advised delay before a retry; 0 gives no advice.
	retryAfter time.Duration
	err        error
}

const (
	// defaultTimeout bounds requests whose caller and route state no timeout.
	defaultTimeout = 30 * time.Second
	// responseMargin is taken off a route's timeout, so that the response arrives in time.
	responseMargin = 15 * time.Millisecond
	// maxSends bounds the sends of a request, whatever its route allows.
	maxSends = 4
	// shortRetryAfter is the advised delay where the cause passes within a renewal.
	shortRetryAfter = 250 * time.Millisecond
	// otherVMRetryAfter is the advised delay where another VM can serve the request.
	otherVMRetryAfter = 10 * time.Millisecond
)

// handlerConfig holds what a requestHandler depends on.
type handlerConfig struct {
	view func() *view
	// domain is the failure domain of this VM.
	domain api.FailureDomain
	bounds Bounds
	// overload holds the switches of the handling of overload.
	overload Overload
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes int64
	buffers      *buffers.Budget
	metrics      *Metrics
	log          zerolog.Logger
	stats        *trafficStats
	crashes      *crashes
	limits       *statedLimits
	quotas       *quotas
	reach        *reach
	leaving      *leavingUpstreams
	// configurationAge returns the age of what this VM knows of the configuration, and whether
	// it knows any.
	configurationAge func() (age time.Duration, ok bool)
	cold             *coldUpstreams
	// movesPaused means that keys cannot move at present.
	movesPaused *atomic.Bool
	// adoptConfiguration applies a row of another VM and waits until its version is in force.
	adoptConfiguration func(ctx context.Context, row fleet.Row, version int64) bool
	large              largeResponses
	// hedges decides on second sends, nil without Settings.Hedging.
	hedges *hedges
}

// requestHandler handles the requests of callers.
type requestHandler struct {
	handlerConfig
	// proxies passes requests to other VMs while this one is isolated.
	proxies *proxies
	// stopping refuses new requests: they might not end before the process does.
	stopping atomic.Bool
	// stop ends when the VM begins to stop; requests must end before stopAt, in nanoseconds of
	// Unix time.
	stop      context.Context
	beginStop context.CancelFunc
	stopAt    atomic.Int64

	// visibleRejections holds the services whose upstreams respond when they are full.
	visibleRejections sync.Map

	mu           sync.Mutex
	splitter     *routing.Splitter
	retryBudgets map[api.ServiceName]*ratelimit.RetryBudget
	// absences records since when keys have had no owner.
	absences absence.Tracker
	start    time.Time
}

func newRequestHandler(cfg handlerConfig) *requestHandler {
	h := &requestHandler{
		handlerConfig: cfg, start: time.Now(),
		splitter: routing.NewSplitter(), retryBudgets: make(map[api.ServiceName]*ratelimit.RetryBudget),
	}
	h.stop, h.beginStop = context.WithCancel(context.Background())
	return h
}

// stopBy announces that the process ends at a time.
func (h *requestHandler) stopBy(at time.Time) {
	h.stopAt.Store(at.UnixNano())
	h.beginStop()
}

// request is the state of one request of a caller.
type request struct {
	params  fleet.RequestHeaders
	route   *routing.Route
	service *routing.Service
	// config is the configuration by which service was chosen.
	config *routing.Configuration
	// workspace is that of the caller's key; nil on deployments without workspaces, and for a
	// request without a valid key on a public route.
	workspace *routing.Workspace
	auth      authentication
	quota     quotaUse
	arrived   time.Time
	deadline  time.Time
	http      *http.Request
	header    http.Header
	body      []byte
	// connections are those on which the request was sent.
	connections upstreamconn.Connections
	// buffers holds the memory of the body and of responses.
	buffers *buffers.Reservation
	// sends counts the sends that may have reached an upstream, mayHaveRun those after
	// which the request may have run.
	sends, mayHaveRun int
	// attempts counts the upstreams that were chosen.
	attempts int
	// lastUpstream is the upstream of the last send.
	lastUpstream api.UpstreamID
	// sendDelay is the time from the arrival to the last send, load the load that the
	// upstream reported with its last response.
	sendDelay time.Duration
	load      fleet.Load
	term      int64 // of the owner table used last
	// coldSlotOf is the cold upstream at which a time slot is used for the next send.
	coldSlotOf *upstream
	// fingerprint identifies the content of the request.
	fingerprint uint64
	// proxied means that an isolated VM passed the request on, counted that it is counted there
	// for the retry budget. proxy is the VM to which this one passed it last.
	proxied, counted bool
	proxy            string
	// callerDomain is the failure domain of that isolated VM, empty if it is that of this one or not
	// known.
	callerDomain api.FailureDomain
	// hasRoom reports whether the VM has room for the response to a proxied request; nil if the caller
	// is connected to this VM.
	hasRoom func() bool
	// agreed is the version of the configuration by which a proxied request must be handled, 0 if
	// the isolated VM takes any.
	agreed int64
	// streamable means that the caller recognizes a response that breaks off.
	streamable bool
	// exchanged, unless it is nil, is called when the exchange of the current send has ended.
	exchanged func()
}

// priority returns the rank of the request; 0 is the most urgent.
func (q *request) priority() int {
	if q.workspace != nil && q.workspace.Priority != nil {
		return *q.workspace.Priority
	}
	return q.route.Priority
}

func (q *request) remaining() time.Duration { return time.Until(q.deadline) }

// ServeHTTP implements http.Handler.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{arrived: time.Now(), params: fleet.ParseRequestHeaders(r.Header), http: r, buffers: h.buffers.Reserve()}
	defer q.buffers.Release()
	v := h.view()
	if failure := h.checkArrival(q, v); failure.status != 0 {
		h.refuse(w, q, failure)
		return
	}
	if !h.authorized(q, v) {
		h.refuse(w, q, q.auth.refusal)
		return
	}
	q.deadline = q.arrived.Add(q.timeout())
	if failure := h.readBody(q, v.config.Limits, w); failure.status != 0 {
		h.refuse(w, q, failure)
		return
	}
	q.header, q.streamable = endToEndHeaders(r.Header), r.ProtoAtLeast(1, 1)
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	resp, failure := h.serve(ctx, q)
	if resp == nil {
		h.refuse(w, q, failure)
		return
	}
	header := w.Header()
	for name, values := range endToEndHeaders(resp.Header) {
		header[name] = values
	}
	if q.isLarge(resp) {
		h.deliver(w, q, resp)
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	_, err := w.Write(resp.Body)
	h.logResponse(q, resp.Status, err)
}

// checkArrival gives a request its route. The outcome of a request that is refused on arrival, whatever
// its credentials, has a status.
func (h *requestHandler) checkArrival(q *request, v *view) outcome {
	switch {
	case h.stopping.Load():
		return outcome{reason: vmStopping, status: http.StatusServiceUnavailable, retryAfter: otherVMRetryAfter}
	case v.config == nil:
		return outcome{reason: noConfiguration, status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter}
	}
	if limit := v.config.Limits.HeaderBytes; limit > 0 && headerBytes(q.http) > limit {
		return outcome{reason: headTooLarge, status: http.StatusRequestHeaderFieldsTooLarge, err: errHeadTooLarge}
	}
	return h.matchRoute(q, v)
}

// timeout returns for how long a request may take, by its caller and its route.
func (q *request) timeout() time.Duration {
	timeout := defaultTimeout
	if q.params.Timeout > 0 {
		timeout = q.params.Timeout
	}
	if q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout-responseMargin)
	}
	return timeout
}

// serve sends a request to an upstream, or to another VM while this one is isolated. It returns
// the response of an upstream or the outcome of the request.
func (h *requestHandler) serve(ctx context.Context, q *request) (*upstreamconn.Response, outcome) {
	v := h.view()
	if h.isIsolated() {
		return h.serveElsewhere(ctx, q)
	}
	// The configuration may have changed while the body arrived.
	if failure := h.checkRequest(q, v); failure.status != 0 {
		return nil, h.finalOutcome(ctx, q, failure)
	}
	if failure := h.quotas.take(ctx, q); failure.status != 0 {
		return nil, h.finalOutcome(ctx, q, failure)
	}
	defer h.quotas.giveBack(q)
	if !h.crashes.claim(ctx, q.fingerprint, h.spareTime(q)) {
		return nil, h.finalOutcome(ctx, q, outcome{reason: quarantined, status: http.StatusServiceUnavailable, retryAfter: quarantineTime})
	}
	return h.forward(ctx, q)
}

func (h *requestHandler) isIsolated() bool {
	isolated, _ := h.reach.isolated()
	return isolated
}

// serveElsewhere passes a request of an isolated VM to another one. A request that another VM has
// passed on goes no further: that VM may try a third one. Nor does one with a large body, for which
// the other VM may have no memory.
func (h *requestHandler) serveElsewhere(ctx context.Context, q *request) (*upstreamconn.Response, outcome) {
	if q.proxied || len(q.body) > maxProxiedBodyKB<<10 {
		return nil, h.finalOutcome(ctx, q, outcome{reason: isolatedVM, status: http.StatusServiceUnavailable, retryAfter: otherVMRetryAfter, err: errIsolated})
	}
	return h.proxies.forward(ctx, q)
}

// pickService chooses the service of a new request and counts the request.
func (h *requestHandler) pickService(q *request) api.ServiceName {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := h.splitter.Next(q.route)
	if budget := h.retryBudget(name); !q.counted {
		budget.Request(time.Since(h.start))
	}
	return name
}

const (
	// retryBudgetShare is the share of the bound on retries that is used: windows and the
	// requests counted in them differ between VMs and upstreams.
	retryBudgetShare = 0.6
)

func (h *requestHandler) retryBudget(service api.ServiceName) *ratelimit.RetryBudget {
	budget, ok := h.retryBudgets[service]
	if !ok {
		budget = h.newRetryBudget()
		h.retryBudgets[service] = budget
	}
	budget.Allowance = h.retryAllowance()
	return budget
}

func (h *requestHandler) newRetryBudget() *ratelimit.RetryBudget {
	return &ratelimit.RetryBudget{Window: h.bounds.RetryWindow.AsDuration(), Ratio: h.bounds.RetryRatio * retryBudgetShare}
}

// retryAllowance returns this VM's part of the retries that are allowed independently of requests.
func (h *requestHandler) retryAllowance() int {
	return ratelimit.Share(h.bounds.RetryAllowance*retryBudgetShare, h.view().vms)
}

// takeRetry takes one retry from the budget of the service.
func (h *requestHandler) takeRetry(q *request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok := q.attempts < maxSends && q.remaining() > 0 && h.retryBudget(q.service.Name).Take(time.Since(h.start))
	result := "repeated"
	if !ok {
		result = "no_budget"
	}
	h.metrics.retries.WithLabelValues(string(q.service.Name), result).Inc()
	return ok
}

// readBody reads the body. On failure it returns an outcome with a status.
func (h *requestHandler) readBody(q *request, limits routing.Limits, w http.ResponseWriter) outcome {
	conn := listen.ConnOf(q.http)
	if conn != nil {
		// The response counts too, also that to a request without a body.
		conn.Hold(q.buffers)
	}
	if q.http.ContentLength == 0 {
		return outcome{}
	}
	limit := h.maxBodyBytes
	if limits.BodyBytes > 0 {
		limit = min(limit, limits.BodyBytes)
	}
	if q.http.ContentLength > limit {
		// None of it is read into memory.
		w.Header().Set("Connection", "close")
		return outcome{reason: tooLarge, status: http.StatusRequestEntityTooLarge, err: buffers.ErrTooLarge}
	}
	stream := http.NewResponseController(w)
	if err := stream.SetReadDeadline(q.deadline); err != nil {
		h.log.Error().Str("event", "read_deadline_not_set").Err(err).Msg("")
	}
	// The server closes the connection of a body that MaxBytesReader has cut.
	body, err := q.buffers.ReadBody(http.MaxBytesReader(w, q.http.Body, limit), q.http.ContentLength, limit)
	if err == nil {
		// A deadline in the past would end the request while it is forwarded.
		err = stream.SetReadDeadline(time.Time{})
	}
	// A body that was given up is refused even if its end had been read: the context of its request
	// ends with the connection.
	aborted := listen.Reason("")
	if conn != nil {
		aborted = conn.Aborted()
	}
	var large *http.MaxBytesError
	var broken net.Error
	switch {
	case aborted != "" && aborted != listen.SlowBody:
		w.Header().Set("Connection", "close")
		return outcome{reason: clientShed, status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter, err: errors.New(string(aborted))}
	case errors.Is(err, os.ErrDeadlineExceeded), aborted == listen.SlowBody:
		w.Header().Set("Connection", "close")
		return outcome{reason: bodyTimeout, status: http.StatusRequestTimeout, err: err}
	case errors.As(err, &large), errors.Is(err, buffers.ErrTooLarge):
		return outcome{reason: tooLarge, status: http.StatusRequestEntityTooLarge, err: err}
	case errors.Is(err, buffers.ErrExhausted):
		w.Header().Set("Connection", "close")
		return outcome{reason: buffersFull, status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter, err: err}
	case errors.As(err, &broken), errors.Is(err, io.ErrUnexpectedEOF):
		return outcome{reason: callerLeft, status: http.StatusBadRequest, err: err}
	case err != nil:
		w.Header().Set("Connection", "close")
		return outcome{reason: badRequest, status: http.StatusBadRequest, err: err}
	}
	q.body = body
	return outcome{}
}

// hopByHopHeaders apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns the headers that are forwarded. Those that Connection names apply to a
// single connection, but a request keeps its ID and its key, and a response its signature, by which
// they are matched, owned and checked.
func endToEndHeaders(header http.Header) http.Header {
	h := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			switch name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name {
			case fleet.HeaderRequestID, fleet.HeaderKey, fleet.HeaderSignature:
			default:
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	return h
}

// refusal is the body of a response that the router generates.
type refusal struct {
	Reason  reason `json:"reason"`
	Remedy  string `json:"remedy"`
	Outcome string `json:"outcome"`
}

// refuse sends the final response to a request that got none from an upstream.
func (h *requestHandler) refuse(w http.ResponseWriter, q *request, failure outcome) {
	h.logRefusal(q, failure)
	if failure.reason == callerLeft {
		return // without a response the connection ends
	}
	body := refusal{Reason: failure.reason, Outcome: string(api.NotRun), Remedy: failure.remedy()}
	if failure.status == http.StatusBadGateway || failure.status == http.StatusGatewayTimeout {
		body.Outcome = string(api.Unknown)
	}
	if failure.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", fleet.AuthorizationScheme)
	}
	if failure.retryAfter > 0 {
		// Jitter keeps the retries of callers from arriving together.
		after := failure.retryAfter.Seconds() * (0.8 + 0.4*rand.Float64())
		w.Header().Set("Retry-After", strconv.FormatFloat(after, 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	if q.params.RequestID != "" {
		w.Header().Set(fleet.HeaderRequestID, q.params.RequestID)
	}
	w.WriteHeader(failure.status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.log.Debug().Str("event", "answer_not_written").Str("request", q.params.RequestID).Err(err).Msg("")
	}
}

// remedy returns what the caller should do.
func (o outcome) remedy() string {
	switch {
	case o.reason == overQuota:
		return "send the request again after Retry-After, or have the quota of the workspace raised"
	case o.status == http.StatusUnauthorized:
		return authorizationRemedy
	case o.status < http.StatusInternalServerError:
		return "correct the request"
	case o.status == http.StatusBadGateway, o.status == http.StatusGatewayTimeout:
		return "find out whether the request has run before sending it again"
	}
	return "send the request again"
}

func (h *requestHandler) logRefusal(q *request, failure outcome) {
	service := ""
	if q.service != nil {
		service = string(q.service.Name)
	}
	took := time.Since(q.arrived)
	h.metrics.refusals.WithLabelValues(service, string(failure.reason)).Inc()
	h.metrics.recordRequest(service, strconv.Itoa(failure.status), took)
	event := h.log.Info().Str("event", "request_not_answered").Str("request", q.params.RequestID).
		Str("reason", string(failure.reason)).Int("status", failure.status).Str("service", service).
		Int("sends", q.sends).Int("may_have_run", q.mayHaveRun).Dur("took_ms", took)
	if q.route != nil {
		event = event.Str("route", q.route.Name)
	}
	if q.workspace != nil {
		event = event.Str("workspace", string(q.workspace.Name))
	}
	if q.proxy != "" {
		event = event.Str("proxy", q.proxy)
	}
	if q.lastUpstream != "" {
		event = event.Str("upstream", string(q.lastUpstream)).Dur("sent_after_ms", q.sendDelay)
	}
	if q.params.Key >= 0 {
		event = event.Int("key", q.params.Key).Int64("term", q.term)
	}
	if v := h.view(); v.config != nil {
		event = event.Int64("configuration", v.config.Version)
	}
	if failure.retryAfter > 0 {
		event = event.Dur("retry_after_ms", failure.retryAfter)
	}
	event.Err(failure.err).Msg("")
}

// logResponse records a forwarded response, and logs it if it failed or was late.
func (h *requestHandler) logResponse(q *request, status int, writeErr error) {
	took := time.Since(q.arrived)
	service := ""
	if q.service != nil {
		service = string(q.service.Name)
	}
	h.metrics.recordRequest(service, "answered", took)
	late := q.route.TargetLatency > 0 && took > q.route.TargetLatency
	if status < http.StatusBadRequest && !late && writeErr == nil {
		return
	}
	h.log.Info().Str("event", "request_answered").Str("request", q.params.RequestID).Int("status", status).
		Str("service", service).Str("proxy", q.proxy).Str("route", q.route.Name).Str("upstream", string(q.lastUpstream)).
		Int("sends", q.sends).Bool("late", late).Dur("took_ms", took).Dur("sent_after_ms", q.sendDelay).
		Int("running", q.load.Running).Int("waiting", q.load.Waiting).Float64("slowness", q.load.Slowdown).
		Int("key", q.params.Key).Err(writeErr).Msg("")
}

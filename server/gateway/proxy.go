package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/delivery"
	"dandelionhill.dev/core/reachability"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/upstreamconn"
	"dandelionhill.dev/server/wait"
)

const (
	// maxProxies bounds the VMs to which an isolated VM passes one request.
	maxProxies = 3
	// maxProxiesSent bounds the addresses that the granter sends an isolated VM.
	maxProxiesSent = 8
	// minProxies is the number of VMs that reach the upstreams below which the granter sends
	// requests of isolated VMs too.
	minProxies = 4
	// proxiesTTL is how long after the granter's last message its addresses are used.
	proxiesTTL = 2 * time.Second
	// proxyMargin is taken off the time for a request, so that its outcome is back before the
	// deadline.
	proxyMargin = 5 * time.Millisecond
)

// proxies passes the requests of this VM to VMs that reach the upstreams, while this VM is
// isolated, and serves the requests of isolated VMs.
type proxies struct {
	self            api.VMID
	address         string
	maxMessageBytes int64
	// accepted grants memory to the messages of isolated VMs, opened to those of VMs that this one
	// has connected to.
	accepted, opened *listen.Messages
	stalls           *stalls
	// knownPeers returns the addresses of VMs, of which some may be isolated too.
	knownPeers func() []string
	handler    *requestHandler
	metrics    *Metrics
	log        zerolog.Logger
	stopping   *atomic.Bool
	// pacer is that of the link of this VM.
	pacer *linkPacer
	// heldBytes are those of responses that wait to be sent to isolated VMs.
	heldBytes atomic.Int64
	// serving is the number of requests of isolated VMs, unsent that of those whose responses have not
	// been sent whole.
	serving, unsent atomic.Int64

	// exchanging admits one exchange of configurations at a time.
	exchanging sync.Mutex

	mu    sync.Mutex
	peers *reachability.Peers
	conns map[string]*proxyConn
	// reaching holds the VMs that reach the upstreams, as the granter said at reachingAt.
	reaching   []string
	reachingAt time.Duration
}

func newProxies(s *Settings, limits Limits, handler *requestHandler, stopping *atomic.Bool, knownPeers func() []string, m *Metrics, log zerolog.Logger) *proxies {
	return &proxies{
		self: s.VM, address: s.peersAddress(), handler: handler, stopping: stopping, knownPeers: knownPeers, metrics: m, log: log, pacer: handler.large.pacer,
		maxMessageBytes: int64(max(limits.ResponseBodyKB, maxProxiedBodyKB)+limits.ResponseHeadKB)<<10 + 2*maxHeaderBytes,
		peers:           reachability.NewPeers(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), conns: make(map[string]*proxyConn),
	}
}

// setReaching records the VMs that reach the upstreams, as the granter says.
func (p *proxies) setReaching(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reaching, p.reachingAt = addresses, bootTime()
}

// choose returns the VM for a request.
func (p *proxies) choose(tried []string) (peer string, ok bool) {
	known := p.knownPeers()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := bootTime()
	candidates := known
	if len(p.reaching) > 0 && now-p.reachingAt < proxiesTTL {
		candidates = p.reaching
	}
	return p.peers.Choose(now, slices.DeleteFunc(slices.Clone(candidates), func(a string) bool { return a == p.address }), tried)
}

func (p *proxies) done(peer string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.Done(bootTime(), peer, failed)
}

// conn returns an open connection to a VM for a message with a body of a number of bytes, and a function
// to call when the message is answered. For a VM that takes no parts, a large message has a connection of
// its own, as it can only be given up with its connection.
func (p *proxies) conn(ctx context.Context, address string, bytes int) (c *proxyConn, done func(), err error) {
	c, err = p.sharedConn(ctx, address)
	if err != nil || c.sender.parts || !isLargeBody(bytes) {
		return c, func() {}, err
	}
	if c, err = p.dial(ctx, address); err != nil {
		return nil, nil, err
	}
	return c, func() { c.end(errProxyIdle) }, nil
}

func (p *proxies) dial(ctx context.Context, address string) (*proxyConn, error) {
	return dialProxy(ctx, address, p.maxMessageBytes, p.opened, p.stalls, p.pacer, p.metrics)
}

// sharedConn returns the open connection for the requests to a VM.
func (p *proxies) sharedConn(ctx context.Context, address string) (*proxyConn, error) {
	p.mu.Lock()
	c := p.conns[address]
	p.mu.Unlock()
	if c != nil && c.open() {
		return c, nil
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[address]; other != nil && other.open() {
		c.end(errProxyIdle)
		return other, nil
	}
	for a, other := range p.conns {
		if !other.open() {
			delete(p.conns, a)
		}
	}
	p.conns[address] = c
	return c, nil
}

// errLinkTooSlow means that a request cannot arrive at another VM in time.
var errLinkTooSlow = errors.New("the body cannot arrive at another VM before the deadline of the request: retry at another VM, or with more time")

// tooLate refuses a request that cannot arrive at a VM in time, which has not run.
func (p *proxies) tooLate(q *request, peer string, needed time.Duration) *proxyResponse {
	p.metrics.largeMessages.WithLabelValues("request", largeTooLate).Inc()
	p.log.Info().Str("event", "proxied_request_too_large").Str("request", q.params.RequestID).Str("peer", peer).Int("bytes", len(q.body)).
		Dur("needed_ms", needed).Dur("remaining_ms", q.remaining()).Float64("link_mbps", p.pacer.mbps).Msg("")
	return &proxyResponse{Reason: linkTooSlow, FailureStatus: http.StatusServiceUnavailable, RetryAfterMs: otherVMRetryAfter.Milliseconds(), Error: errLinkTooSlow.Error()}
}

// errIsolated means that this VM reaches no upstream, and no VM that does.
var errIsolated = errors.New("this VM reaches neither the upstreams nor another VM that does: retry at another VM")

// forward passes a request to VMs that reach the upstreams, one after the other, until one of
// them has sent it. The request goes no further than one VM.
func (p *proxies) forward(ctx context.Context, q *request) (*upstreamconn.Response, outcome) {
	failure := outcome{reason: isolatedVM, status: http.StatusServiceUnavailable, retryAfter: otherVMRetryAfter, err: errIsolated}
	var tried []string
	for len(tried) < maxProxies && ctx.Err() == nil {
		peer, ok := p.choose(tried)
		if !ok {
			break
		}
		tried = append(tried, peer)
		if refused := p.handler.checkRoute(q, p.handler.view()); refused.status != 0 {
			failure = refused
			break
		}
		resp, sent, err := p.callAgreed(ctx, q, peer)
		q.proxy = peer
		notTaken := err != nil && !sent || err == nil && resp.notTaken()
		tooSlow := err == nil && resp.Reason == linkTooSlow
		p.done(peer, notTaken && !tooSlow || err != nil && ctx.Err() == nil)
		if tooSlow {
			failure = outcome{reason: linkTooSlow, status: http.StatusServiceUnavailable, retryAfter: otherVMRetryAfter, err: errLinkTooSlow}
		}
		if notTaken {
			p.metrics.proxied.WithLabelValues("not_taken").Inc()
			continue
		}
		if err != nil {
			p.metrics.proxied.WithLabelValues("lost").Inc()
			p.log.Info().Str("event", "proxy_failed").Str("request", q.params.RequestID).Str("peer", peer).Err(err).Msg("")
			q.sends++
			q.mayHaveRun++
			failure = outcome{reason: responseLost, status: http.StatusBadGateway, err: err}
			if ctx.Err() != nil || !q.route.Idempotent || q.mayHaveRun >= q.route.MaxAttempts {
				break
			}
			continue
		}
		q.sends += resp.Sends
		q.mayHaveRun, q.lastUpstream = max(q.mayHaveRun, resp.MayHaveRun), resp.Upstream
		if resp.Status != 0 {
			p.metrics.proxied.WithLabelValues("answered").Inc()
			return &upstreamconn.Response{Status: resp.Status, Header: resp.Header, Body: resp.Body}, outcome{}
		}
		p.metrics.proxied.WithLabelValues("refused").Inc()
		failure = outcome{reason: resp.Reason, status: resp.FailureStatus, retryAfter: time.Duration(resp.RetryAfterMs) * time.Millisecond}
		if resp.Error != "" {
			failure.err = errors.New(resp.Error)
		}
		break
	}
	return nil, p.handler.finalOutcome(ctx, q, failure)
}

// call passes a request to one VM. sent means that the VM may have got it.
func (p *proxies) call(ctx context.Context, q *request, peer string, configuration int64) (resp *proxyResponse, sent bool, err error) {
	within := func() time.Duration { return q.remaining() - proxyMargin }
	if isLargeBody(len(q.body)) {
		// A connection is of no use if the link of this VM alone is too slow.
		if needed, ok := delivery.NewLink(p.pacer.mbps, 0).Arrives(int64(len(q.body)), p.pacer.sending(), within()); !ok {
			return p.tooLate(q, peer, needed), false, nil
		}
	}
	c, done, err := p.conn(ctx, peer, len(q.body))
	if err != nil {
		return nil, false, err
	}
	defer done()
	if needed, ok := c.sender.arrives(len(q.body), within()); !ok {
		return p.tooLate(q, peer, needed), false, nil
	}
	resp, sent, err = c.call(ctx, &proxyRequest{
		From: p.self, Method: q.http.Method, Target: q.http.RequestURI, Host: q.http.Host, Header: q.upstreamHeader(), Body: q.body,
		TimeoutMs: within().Milliseconds(), Configuration: configuration, Exact: true,
		Counted: q.service != nil, MayHaveRun: q.mayHaveRun, Authorization: q.credentials(), Domain: p.handler.domain,
	})
	if err == nil && !resp.valid() {
		return nil, true, errNoOutcome
	}
	if err == nil && !q.buffers.Take(int64(len(resp.Body))) {
		return nil, true, buffers.ErrExhausted
	}
	return resp, sent, err
}

// ServeHTTP accepts the connection of an isolated VM.
func (p *proxies) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	maps.Copy(w.Header(), linkHeaders(p.pacer.mbps))
	w.Header().Set(partsHeader, partsVersion)
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		p.log.Warn().Str("event", "proxy_refused").Err(err).Msg("")
		return
	}
	defer ws.CloseNow()
	ws.SetReadLimit(p.maxMessageBytes)
	if err := serveProxyConn(r.Context(), newFrameSender(ws, p.pacer, r.Header, p.metrics), p.accepted.Connection(listen.ConnOf(r), p.maxMessageBytes), guard{p.metrics, p.log}, p.serveUntilSent); err != nil {
		p.log.Debug().Str("event", "proxy_connection_ended").Err(err).Msg("")
	}
}

// hasRoom reports whether a request of an isolated VM may be sent: responses that the isolated VMs do
// not read must leave memory to callers.
func (p *proxies) hasRoom() bool {
	limit := p.accepted.ResponseBytes()
	return limit == 0 || p.heldBytes.Load() < limit
}

// serveUntilSent is serve, and counts the request until its response was sent: a large one may take
// seconds.
func (p *proxies) serveUntilSent(ctx context.Context, req *proxyRequest) (out *proxyResponse) {
	p.unsent.Add(1)
	defer func() {
		if out == nil { // a panic
			p.unsent.Add(-1)
		}
	}()
	out = p.serve(ctx, req)
	release := out.release
	out.release = func() {
		if release != nil {
			release()
		}
		p.unsent.Add(-1)
	}
	return out
}

// serve sends a request of an isolated VM to an upstream.
func (p *proxies) serve(ctx context.Context, req *proxyRequest) (out *proxyResponse) {
	p.serving.Add(1)
	defer p.serving.Add(-1)
	if req.WantConfiguration || req.ConfigurationRow != nil {
		return p.exchangeConfiguration(ctx, req)
	}
	reservation := p.handler.buffers.Reserve()
	defer func() {
		if out == nil { // a panic
			reservation.Release()
		}
	}()
	q, resp, failure := p.handler.serveProxied(ctx, req, reservation, p.hasRoom, p.stopping.Load())
	held := reservation.Taken()
	p.heldBytes.Add(held)
	release := func() {
		p.heldBytes.Add(-held)
		reservation.Release()
	}
	out = &proxyResponse{release: release, Upstream: q.lastUpstream, Sends: q.sends, MayHaveRun: q.mayHaveRun, NeedsConfiguration: failure.reason == noConfiguration}
	out.Configuration = p.handler.view().configVersion()
	if resp != nil {
		p.metrics.proxyServed.WithLabelValues("answered").Inc()
		out.Status, out.Header, out.Body = resp.Status, resp.Header, resp.Body
		return out
	}
	p.metrics.proxyServed.WithLabelValues(string(failure.reason)).Inc()
	p.log.Info().Str("event", "proxied_request_not_answered").Str("request", q.params.RequestID).Str("peer", string(req.From)).
		Str("reason", string(failure.reason)).Int("status", failure.status).Int("sends", q.sends).Int("may_have_run", q.mayHaveRun).
		Str("upstream", string(q.lastUpstream)).Dur("took_ms", time.Since(q.arrived)).Err(failure.err).Msg("")
	out.Reason, out.FailureStatus, out.RetryAfterMs = failure.reason, failure.status, failure.retryAfter.Milliseconds()
	if failure.err != nil {
		out.Error = failure.err.Error()
	}
	return out
}

// drain waits until the requests of isolated VMs have ended and their responses were sent.
func (p *proxies) drain(ctx context.Context) {
	for p.serving.Load() > 0 || p.unsent.Load() > 0 {
		if !wait.For(ctx, drainCheckInterval) {
			p.log.Warn().Str("event", "proxied_requests_cut").Int64("requests", max(p.serving.Load(), p.unsent.Load())).Msg("")
			return
		}
	}
}

// serveProxied sends a request of an isolated VM to an upstream. reservation holds the memory of the
// response; that of the body is held by the message.
func (h *requestHandler) serveProxied(ctx context.Context, req *proxyRequest, reservation *buffers.Reservation, hasRoom func() bool, stopping bool) (*request, *upstreamconn.Response, outcome) {
	q := &request{
		arrived: time.Now(), buffers: reservation, hasRoom: hasRoom, body: req.Body, proxied: true, counted: req.Counted, mayHaveRun: req.MayHaveRun,
	}
	if req.Domain != h.domain {
		q.callerDomain = req.Domain
	}
	if req.Exact {
		q.agreed = req.Configuration
	}
	q.deadline = q.arrived.Add(time.Duration(req.TimeoutMs) * time.Millisecond)
	refused := func(why reason, status int, err error) (*request, *upstreamconn.Response, outcome) {
		return q, nil, h.finalOutcome(ctx, q, outcome{reason: why, status: status, retryAfter: otherVMRetryAfter, err: err})
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	if len(req.Authorization) > 0 {
		req.Header[fleet.HeaderAuthorization] = req.Authorization
	}
	target, err := url.ParseRequestURI(req.Target)
	q.http = (&http.Request{Method: req.Method, URL: target, RequestURI: req.Target, Host: req.Host, Header: req.Header}).WithContext(ctx)
	q.params = fleet.ParseRequestHeaders(req.Header)
	v := h.view()
	switch {
	case err != nil:
		return refused(badRequest, http.StatusBadRequest, err)
	case stopping:
		return refused(vmStopping, http.StatusServiceUnavailable, nil)
	case v.config == nil || v.config.Version < req.Configuration:
		return refused(noConfiguration, http.StatusServiceUnavailable, nil)
	case req.Exact && v.config.Version != req.Configuration:
		return refused(newerConfiguration, http.StatusServiceUnavailable, nil)
	}
	if q.route = v.config.Match(req.Host, target.EscapedPath()); q.route == nil {
		return refused(noRoute, http.StatusServiceUnavailable, nil)
	}
	if !h.authorized(q, v) {
		return q, nil, h.finalOutcome(ctx, q, q.auth.refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	q.header = endToEndHeaders(req.Header)
	resp, failure := h.serve(ctx, q)
	return q, resp, failure
}

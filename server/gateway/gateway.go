// Package gateway runs one entry VM of a deployment whose upstreams register in the
// platform's store and own keys by fenced leases. Every VM forwards requests to the
// upstreams itself; one elected VM, the granter, assigns the keys to upstreams.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownerhealth"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/wait"
)

const (
	// headerTimeout bounds the time to read a request's header, idleTimeout the time for
	// which an idle connection is kept; the configuration may set lower limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a request or of a response between VMs or of the
	// store.
	maxHeaderBytes = 64 << 10
	// deregistrationTime is the time from the first failed readiness check until the load
	// balancer opens no new connections: two checks, a second apart.
	deregistrationTime = 2500 * time.Millisecond
	// stopMargin is the part of the termination grace that is left unused.
	stopMargin = 400 * time.Millisecond
)

// Gateway is one entry VM.
type Gateway struct {
	settings     *Settings
	bounds       Bounds
	log          zerolog.Logger
	metrics      *Metrics
	control      *control
	guard        guard
	handler      *requestHandler
	proxies      *proxies
	elector      *elector
	links        *links
	draining     atomic.Bool
	callers      *http.Server
	conns        callerConns
	listener     net.Listener // of callers
	servers      []*http.Server
	guards       []*listen.Guard // of servers
	cancel       context.CancelFunc
	electionDone chan struct{} // closed when the election has ended
}

// New returns an entry VM that is not started.
func New(s *Settings, m *Metrics, log zerolog.Logger) *Gateway {
	incarnation := api.Incarnation(uuid.NewString()[:8])
	limits := s.Limits.withDefaults()
	budget := buffers.NewBudget(limits.buffersBytes(s.MemoryMB))
	maxBodyBytes := budget.LargestBody()
	if limits.RequestBodyKB > 0 {
		maxBodyBytes = min(maxBodyBytes, int64(limits.RequestBodyKB)<<10)
	}
	c := newControl(fleet.NewStore(s.Store, newStoreClient()), m, log)
	c.responseLimits, c.overload = limits.response(), s.Overload
	c.quotas = newQuotas(s.Bounds.quotaRule(), m, log)
	st := newTrafficStats()
	if s.Overload.OwnerHealth {
		st.health = ownerhealth.NewRecorder()
	}
	cr := newCrashes()
	l := &links{
		self: s.VM, incarnation: incarnation, address: s.peersAddress(), stats: st, crashes: cr, relay: &relay{}, operatorRelay: &relay{latestOnly: true}, limits: c.limits, log: log,
		peers: s.seeds(), reportRequested: make(chan struct{}, 1), hasConfig: func() bool { return c.view().config != nil },
	}
	g := &Gateway{
		settings: s, bounds: s.Bounds, log: log, metrics: m, guard: guard{m, log}, control: c, links: l, electionDone: make(chan struct{}),
		handler: newRequestHandler(handlerConfig{
			view: c.view, domain: s.FailureDomain, bounds: s.Bounds, overload: s.Overload, maxBodyBytes: maxBodyBytes,
			buffers: budget, metrics: m, log: log, stats: st, crashes: cr, limits: c.limits, quotas: c.quotas, reach: c.reach,
			leaving: c.leaving, cold: c.cold, movesPaused: &c.movesPaused, configurationAge: c.operatorFeed.age,
			adoptConfiguration: c.adoptConfiguration, large: newLargeResponses(limits, s.Resources.LinkMbps, m),
			hedges: newHedges(s.Hedging),
		}),
		elector: &elector{
			self: s.VM, incarnation: incarnation, address: s.peersAddress(), bounds: s.Bounds,
			control: c, stats: st, links: l, metrics: m, buffers: budget, log: log,
			voter: election.NewVoter(election.DefaultConfig(), bootTime()), reads: newLeaseReads(),
			capacities: capacities{own: s.Resources.capacity()}, linkMbps: s.Resources.LinkMbps,
		},
	}
	m.exportVersion(buildVersion())
	l.elector, l.stalls, l.pacer = g.elector, newStalls(g.recordStall), g.handler.large.pacer
	g.proxies = newProxies(s, limits, g.handler, &g.draining, l.knownPeers, m, log)
	g.handler.proxies, g.elector.proxies = g.proxies, g.proxies
	g.proxies.stalls = l.stalls
	cr.reportNow = l.reportNow
	cr.place = func() (rank, vms int) {
		v := c.view()
		if !v.hasRank(bootTime()) {
			return -1, v.vms
		}
		return v.rank, v.vms
	}
	c.quotas.reportNow = func() {
		if granter := l.currentGranter(); granter != nil {
			granter.askOwnQuota()
			return
		}
		l.reportNow()
	}
	c.limits.reportNow, c.reach.changed, c.leaving.changed = l.reportNow, l.reportNow, l.reportNow
	c.cold.changed, c.contentions.reportNow = l.coldNews, l.reportNow
	peers := chi.NewRouter()
	peers.Handle(linkPath, l)
	peers.Handle(proxyPath, g.proxies)
	peers.Get(leasePath, g.elector.serveLease)
	peers.Get(StatusPath, g.serveStatus)
	peers.Get(WorkspacesPath, g.serveWorkspaces)
	peers.Post(ExplainPath, g.serveExplain)
	health := chi.NewRouter()
	health.Get(fleet.PathReady, g.ready)
	metricsRouter := chi.NewRouter()
	metricsRouter.Handle("/metrics", m.handler())
	g.callers = &http.Server{
		Addr: s.Listen.Callers, Handler: http.HandlerFunc(g.serveCaller), ConnState: g.conns.connState,
		ConnContext: withCallerSocket,
	}
	g.servers = []*http.Server{
		{Addr: s.Listen.Peers, Handler: peers},
		{Addr: s.Listen.Health, Handler: health},
		{Addr: s.Listen.Metrics, Handler: metricsRouter},
		g.callers,
	}
	of := limits.listeners(s.MemoryMB, listen.OpenFiles())
	guard := func(name string, l listen.Limits) *listen.Guard { return listen.NewGuard(name, l, m.recordClosed, log) }
	g.guards = []*listen.Guard{
		guard("peers", of.peers), guard("health", of.health), guard("metrics", of.metrics), guard("callers", of.callers),
	}
	messages := limits.messages(s.MemoryMB)
	l.messages = listen.NewMessages(messages, g.guards[0], buffers.NewBudget(listen.NewBudget(s.MemoryMB).Messages), budget)
	g.proxies.accepted = l.messages
	g.proxies.opened = listen.NewMessages(messages, nil, buffers.NewBudget(0), budget)
	callersGuard := g.guards[len(g.guards)-1]
	budget.SetReclaimer(callersGuard.ReclaimBodies)
	g.conns.limitReached = callersGuard.Closed
	for _, server := range g.servers {
		// OPTIONS * has no route, like other requests without one.
		server.DisableGeneralOptionsHandler = true
		server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = headerTimeout, idleTimeout, maxHeaderBytes
	}
	for _, server := range g.servers[1:3] {
		server.MaxHeaderBytes = smallHeadBytes
	}
	return g
}

// ready answers the readiness check of the load balancer: the VM is ready once it has a
// configuration, until it stops.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() || g.control.view().config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveCaller serves a request of a caller. While the VM drains, it closes each
// connection after the response.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	g.guard.serve(w, r.Header.Get(fleet.HeaderRequestID), func(w http.ResponseWriter) { g.handler.ServeHTTP(w, r) })
}

// Start listens on all addresses, follows the store and takes part in the election.
func (g *Gateway) Start() error {
	listeners, err := listen.All(g.servers, g.guards)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.links.stalls.start()
	go g.control.run(ctx)
	go g.control.reach.run(ctx)
	go g.control.checkHealth(ctx)
	go g.control.followTable(ctx, source{
		table: fleet.TableOperator, interval: func() time.Duration { return feedInterval }, apply: g.control.submitOperatorRows, relay: g.links.operatorRelay,
		monitor: g.control.operatorFeed,
	})
	go g.control.followTable(ctx, source{
		table: fleet.TableUpstreams, interval: g.upstreamFeedInterval, apply: g.control.submitUpstreamRows, relay: g.links.relay,
		monitor: g.control.upstreamFeed,
	})
	go g.enforceCallerLimits(ctx)
	for _, guard := range g.guards {
		go guard.Run(ctx)
	}
	go g.links.stalls.run(ctx)
	go func() {
		defer close(g.electionDone)
		g.elector.run(ctx)
	}()
	for i, server := range g.servers {
		if server == g.callers {
			g.listener = callerListener{Listener: listeners[i], conns: &g.conns}
			listeners[i] = g.listener
		}
		go g.serve(server, listeners[i])
	}
	g.log.Info().Str("event", "started").Str("incarnation", string(g.links.incarnation)).Str("version", buildVersion()).
		Str("domain", string(g.settings.FailureDomain)).Str("callers", g.settings.Listen.Callers).Msg("")
	return nil
}

// upstreamFeedInterval returns the pause between polls for registrations.
func (g *Gateway) upstreamFeedInterval() time.Duration {
	if g.links.currentGranter() != nil {
		return feedInterval
	}
	return upstreamFeedInterval
}

func (g *Gateway) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !(server == g.callers && g.draining.Load()) {
		g.log.Error().Str("event", "listener_failed").Str("address", server.Addr).Err(err).Msg("")
	}
}

// Stop fails the readiness check, lets requests in flight finish, and releases the
// granter's lease.
func (g *Gateway) Stop() {
	deadline := time.Now().Add(g.bounds.TerminationGrace.AsDuration() - stopMargin)
	g.draining.Store(true)
	g.handler.stopBy(deadline)
	g.elector.leave()
	g.log.Info().Str("event", "stopping").Int("connections", g.conns.closeIdle()).Msg("")
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	wait.For(ctx, deregistrationTime)
	g.handler.stopping.Store(true)
	// Closing the listener resets the connections that have not been accepted.
	g.conns.awaitQuiet(ctx)
	if err := g.listener.Close(); err != nil {
		g.log.Warn().Str("event", "listener_not_closed").Err(err).Msg("")
	}
	g.drainCallers(ctx)
	g.proxies.drain(ctx)
	g.cancel()
	select {
	case <-g.electionDone:
	case <-ctx.Done():
	}
	g.log.Info().Str("event", "stopped").Msg("")
}

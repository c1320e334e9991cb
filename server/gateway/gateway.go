// Package gateway runs one entry VM of a deployment whose upstreams register in
// the platform's store and hold keys by fenced grants. Every VM sends requests to
// the upstreams itself; one of them, the granter, decides who holds which keys.
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
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/wait"
)

const (
	// headerTimeout and idleTimeout bound the time to read a request's header and for
	// which an idle connection is kept, besides the limits of the configuration.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// leaveRotation is the time from the first refusal of the balancer's question
	// until no new connection comes: two questions, a second apart.
	leaveRotation = 2500 * time.Millisecond
	// exitMargin is the part of the grace time that is left unused.
	exitMargin = 400 * time.Millisecond
)

// Gateway is one entry VM.
type Gateway struct {
	settings *Settings
	bounds   Bounds
	log      zerolog.Logger
	metrics  *Metrics
	control  *control
	entry    *entry
	elector  *elector
	links    *links
	draining atomic.Bool
	callers  *http.Server
	conns    callerConns
	listener net.Listener // of callers
	servers  []*http.Server
	cancel   context.CancelFunc
	ended    chan struct{} // closed when the election has ended
}

// New assembles an entry VM; Start starts it.
func New(s *Settings, m *Metrics, log zerolog.Logger) *Gateway {
	incarnation := api.Incarnation(uuid.NewString()[:8])
	c := newControl(fleet.NewStore(s.Store, newStoreClient()), m, log)
	st := newStats()
	cr := newCrashes()
	l := &links{
		self: s.VM, incarnation: incarnation, address: s.peersAddress(), stats: st, crashes: cr, relay: &relay{}, log: log,
		peers: s.seeds(), report: make(chan struct{}, 1), informed: func() bool { return c.view().config != nil },
	}
	g := &Gateway{
		settings: s, bounds: s.Bounds, log: log, metrics: m, control: c, links: l, ended: make(chan struct{}),
		entry: newEntry(s.Bounds, c.view, m, st, cr, log),
		elector: &elector{
			self: s.VM, incarnation: incarnation, address: s.peersAddress(), bounds: s.Bounds,
			control: c, stats: st, links: l, metrics: m, log: log,
			voter: election.NewVoter(election.DefaultConfig(), bootTime()),
		},
	}
	l.elector = g.elector
	peers := chi.NewRouter()
	peers.Handle(linkPath, l)
	peers.Get(StatusPath, g.serveStatus)
	health := chi.NewRouter()
	health.Get(fleet.PathReady, g.ready)
	metricsRouter := chi.NewRouter()
	metricsRouter.Handle("/metrics", m.handler())
	g.callers = &http.Server{
		Addr: s.Listen.Callers, Handler: http.HandlerFunc(g.serveCaller), MaxHeaderBytes: maxHeaderBytes, ConnState: g.conns.changed,
	}
	g.servers = []*http.Server{
		{Addr: s.Listen.Peers, Handler: peers},
		{Addr: s.Listen.Health, Handler: health},
		{Addr: s.Listen.Metrics, Handler: metricsRouter},
		g.callers,
	}
	for _, server := range g.servers {
		server.ReadHeaderTimeout, server.IdleTimeout = headerTimeout, idleTimeout
	}
	return g
}

// ready answers the balancer: the VM takes requests once it knows a configuration.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() || g.control.view().config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveCaller answers a caller. While the VM leaves, each connection ends with its
// answer.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	g.entry.ServeHTTP(w, r)
}

// Start listens on all addresses and follows the store.
func (g *Gateway) Start() error {
	listeners, err := listen.All(g.servers)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go g.control.run(ctx)
	go g.control.follow(ctx, source{
		table: fleet.TableOperator, pause: func() time.Duration { return feedPause }, apply: g.control.operatorRows,
	})
	go g.control.follow(ctx, source{
		table: fleet.TableUpstreams, pause: g.entriesPause, apply: g.control.upstreamRows, relay: g.links.relay,
	})
	go g.limitCallers(ctx)
	go func() {
		defer close(g.ended)
		g.elector.run(ctx)
	}()
	for i, server := range g.servers {
		if server == g.callers {
			g.listener = callerListener{Listener: listeners[i], set: &g.conns}
			listeners[i] = g.listener
		}
		go g.serve(server, listeners[i])
	}
	g.log.Info().Str("event", "started").Str("incarnation", string(g.links.incarnation)).
		Str("domain", string(g.settings.FailureDomain)).Str("callers", g.settings.Listen.Callers).Msg("")
	return nil
}

// entriesPause returns the pause between calls for entries of upstreams.
func (g *Gateway) entriesPause() time.Duration {
	if g.links.current() != nil {
		return feedPause
	}
	return entriesPause
}

func (g *Gateway) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !(server == g.callers && g.draining.Load()) {
		g.log.Error().Str("event", "listener_failed").Str("address", server.Addr).Err(err).Msg("")
	}
}

// Stop leaves the rotation, lets requests under way finish, and gives the lease
// of a granter back.
func (g *Gateway) Stop() {
	deadline := time.Now().Add(g.bounds.TerminationGrace.AsDuration() - exitMargin)
	g.draining.Store(true)
	g.elector.leave()
	g.log.Info().Str("event", "stopping").Int("connections", g.conns.closeIdle()).Msg("")
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	wait.For(ctx, leaveRotation)
	if err := g.listener.Close(); err != nil {
		g.log.Warn().Str("event", "listener_not_closed").Err(err).Msg("")
	}
	g.drainCallers(ctx)
	g.cancel()
	select {
	case <-g.ended:
	case <-ctx.Done():
	}
	g.log.Info().Str("event", "stopped").Msg("")
}

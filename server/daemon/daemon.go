// Package daemon assembles the parts of one entry VM and starts and stops them.
package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/platform/objecthttp"
	"dandelionhill.dev/platform/tablehttp"
	"dandelionhill.dev/platform/upstreamhttp"
	"dandelionhill.dev/platform/vmhttp"
	"dandelionhill.dev/server/admin"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/entry"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/metrics"
	"dandelionhill.dev/server/peer"
	"dandelionhill.dev/server/settings"
)

// headerTimeout bounds the time to read a request's header, so that idle
// connections do not hold resources.
const headerTimeout = 10 * time.Second

const (
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// messageWait is how long a message waits for memory. 300 heartbeats of 300 VMs that arrive at the
	// same moment use more than is reserved for them, until the control loop has taken them. It delays the
	// heartbeats after it, which come every 200 ms.
	messageWait = 20 * time.Millisecond
	// recordedShare of the memory for bodies, as 1/n, is for recorded responses.
	recordedShare = 8
	// upstreamDialTimeout bounds the time to connect to an upstream.
	upstreamDialTimeout = time.Second
	// Shares of the open files that each listener may use, of listen.FileShares, and the memory
	// for heads of the listeners of other VMs and of operators.
	callersFiles, peersFiles, adminFiles = 24, 16, 4
	otherHeadsBytes                      = 512 << 10
)

// Daemon is the process of one entry VM.
type Daemon struct {
	settings *settings.Settings
	log      zerolog.Logger
	control  *control.Control
	hub      *peer.Hub
	entry    *entry.Entry
	certs    *certificates
	servers  []*http.Server
	guards   []*listen.Guard // of servers
	dialled  []*listen.Guard // of connections that this VM opens
	cancel   context.CancelFunc
}

// frameHandler passes frames of other VMs to the control loop and the entry.
type frameHandler struct {
	*control.Control
	entry *entry.Entry
}

// HandleCall implements peer.Handler.
func (f frameHandler) HandleCall(ctx context.Context, from api.VMID, frame wire.Frame) any {
	switch frame.Type {
	case wire.TypeForward:
		var forward wire.Forward
		if err := frame.Unpack(&forward); err != nil {
			return wire.Reply{Refusal: api.Refuse(api.BadRequest, err.Error())}
		}
		return f.entry.ServeLocal(ctx, &forward)
	case wire.TypeStatus:
		return f.HeldShards()
	case wire.TypeMirrorContent:
		return f.MirrorContent(ctx, frame)
	case wire.TypeHandover:
		return f.ReceiveHandover(ctx, frame)
	default:
		return wire.Reply{Refusal: api.Refuse(api.BadRequest, "unknown call "+string(frame.Type))}
	}
}

// New assembles a daemon; Start starts it.
func New(s *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	certs, err := loadCertificates(s)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	m := metrics.New()
	incarnation := api.Incarnation(uuid.NewString()[:8])
	self := placement.VM{ID: s.VM, Domain: s.FailureDomain}
	vms := []placement.VM{self}
	var peers []peer.Peer
	for _, p := range s.OtherVMs() {
		vms = append(vms, placement.VM{ID: p.ID, Domain: p.FailureDomain})
		peers = append(peers, peer.Peer{ID: p.ID, Address: p.Address})
	}
	budget, files := listen.NewBudget(s.MemoryMB), listen.OpenFiles()
	closed := func(listener string, r listen.Reason) { m.Closed.WithLabelValues(listener, string(r)).Inc() }
	dialled := listen.NewGuard("dialled", budget.DialledLimits(), closed, log)
	toUpstreams := listen.NewGuard("upstreams", budget.UpstreamLimits(), closed, log)
	var bodies, recorded *buffers.Budget
	if budget.Buffers > 0 {
		recorded = buffers.NewBudget(budget.Buffers / recordedShare)
		bodies = buffers.NewBudget(budget.Buffers - recorded.Total())
	}
	ctl := control.New(control.Config{
		Buffers: bodies, Recorded: recorded,
		Self: self, Incarnation: incarnation, VMs: vms,
		Table:   tablehttp.New("http://" + s.Platform.Table),
		VMList:  vmhttp.New("http://" + s.Platform.VMs),
		Objects: objecthttp.New("http://" + s.Platform.Objects),
		Dial: func(address string, service config.Service) platform.Upstream {
			client := upstreamhttp.New(address, service.Connections, service.MaxBody)
			client.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
				return toUpstreams.Dial(ctx, &net.Dialer{Timeout: upstreamDialTimeout}, network, address)
			})
			return client
		},
		Clock: clock, Metrics: m, Log: log,
	})
	d := &Daemon{settings: s, log: log, control: ctl, certs: certs}
	handler := &frameHandler{Control: ctl}
	callers := budget.CallerLimits(files, callersFiles)
	callers.PerAddress = listen.ShareByAddress(callers.Connections)
	peerLimits, adminLimits := budget.PeerLimits(files, peersFiles, 0), budget.PeerLimits(files, adminFiles, 0)
	peerLimits.TLS, adminLimits.TLS = certs.peerServerConfig() != nil, certs.adminServerConfig() != nil
	if s.MemoryMB > 0 {
		peerLimits.HeadBytes, adminLimits.HeadBytes = otherHeadsBytes, otherHeadsBytes
	}
	d.guards = []*listen.Guard{
		listen.NewGuard("callers", callers, closed, log), listen.NewGuard("peers", peerLimits, closed, log),
		listen.NewGuard("admin", adminLimits, closed, log),
	}
	d.dialled = []*listen.Guard{dialled, toUpstreams}
	var accepted, opened *listen.Messages
	if bodies != nil {
		messages := budget.MessageLimits(bodies.Total())
		messages.Wait = messageWait
		reserved := buffers.NewBudget(budget.Messages)
		accepted = listen.NewMessages(messages, d.guards[1], reserved, bodies)
		messages.IdleTimeout = 0 // this VM decides how long it keeps them
		opened = listen.NewMessages(messages, dialled, buffers.NewBudget(0), bodies)
		m.WatchMemory("bodies", bodies.Left)
		m.WatchMemory("recorded", recorded.Left)
		m.WatchMemory("messages_reserved", reserved.Left)
		bodies.SetReclaimer(func(needed int64) int64 {
			released := d.guards[0].ReclaimBodies(needed)
			if released < needed {
				released += toUpstreams.ReclaimBodies(needed - released)
			}
			return released
		})
	}
	d.hub = peer.NewHub(peer.Config{
		Self: s.VM, Incarnation: incarnation, Peers: peers, Log: log, Accepted: accepted, Dialled: opened,
		TLS: certs.peerClientConfig(), Authorize: certs.authorizePeer,
	}, handler)
	d.entry = entry.New(entry.Config{
		Buffers: bodies,
		Self:    s.VM, Snapshot: ctl.Snapshot, Forward: d.hub, Clock: clock, Metrics: m, Log: log,
	})
	handler.entry = d.entry
	ctl.SetSender(d.hub)
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, d.hub)
	adminHandler := admin.New(admin.Config{
		Version: version(), Control: ctl, Settings: s, Clock: clock, Metrics: m, Log: log,
	}).Handler()
	d.servers = []*http.Server{
		{Addr: s.Listen.Callers, Handler: d.entry.Handler(), ReadHeaderTimeout: headerTimeout},
		{Addr: s.Listen.Peers, Handler: peerMux, ReadHeaderTimeout: headerTimeout, TLSConfig: certs.peerServerConfig()},
		{Addr: s.Listen.Admin, Handler: adminHandler, ReadHeaderTimeout: headerTimeout, TLSConfig: certs.adminServerConfig()},
	}
	for _, server := range d.servers {
		server.IdleTimeout, server.MaxHeaderBytes = idleTimeout, maxHeaderBytes
	}
	return d, nil
}

// Start listens on all addresses and runs the control loop.
func (d *Daemon) Start() error {
	listeners, err := listen.All(d.servers, d.guards)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for i, server := range d.servers {
		go d.guards[i].Run(ctx)
		go d.serve(server, listeners[i])
	}
	for _, guard := range d.dialled {
		go guard.Run(ctx)
	}
	go d.hub.Run(ctx)
	go d.control.Run(ctx)
	go d.certs.watch(ctx, d.log)
	d.log.Info().Str("event", "started").Str("vm", string(d.settings.VM)).Str("callers", d.settings.Listen.Callers).Msg("")
	return nil
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		d.log.Error().Err(err).Str("event", "listener_failed").Str("address", server.Addr).Msg("")
	}
}

// Stop stops gracefully: the VM reports not ready, waits for the lame duck time,
// hands over its shards, stops accepting requests and lets running ones finish.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.StopTimeout))
	defer cancel()
	d.log.Info().Str("event", "stopping").Msg("")
	if err := d.control.Leave(ctx); err != nil {
		return err
	}
	lameDuck := time.Duration(0)
	if doc := d.control.Snapshot().Document; doc != nil {
		lameDuck = time.Duration(doc.Active().LameDuck)
	}
	select {
	case <-time.After(lameDuck):
	case <-ctx.Done():
	}
	stopErr := d.control.HandOverAll(ctx)
	if err := d.servers[0].Shutdown(ctx); err != nil && stopErr == nil {
		stopErr = errors.Wrap(err, "stop accepting callers")
	}
	if err := d.entry.Stop(ctx); err != nil && stopErr == nil {
		stopErr = err
	}
	d.drainPeers(ctx)
	d.Kill()
	d.log.Info().Str("event", "stopped").Err(stopErr).Msg("")
	return stopErr
}

// drainTimeout bounds the wait for peers to close their connections. A peer that
// is lost, or does not support GoAway, never closes its connection.
const drainTimeout = time.Second

// drainPeers waits until the other VMs have the replies to their calls. A request
// that waits for one would otherwise end with an unknown outcome.
func (d *Daemon) drainPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := d.hub.Drain(ctx); err != nil {
		d.log.Info().Err(err).Str("event", "peers_not_drained").Msg("")
	}
}

// Kill stops at once, like a crash.
func (d *Daemon) Kill() {
	d.cancel()
	for _, server := range d.servers {
		server.Close()
	}
}

// version returns the version in the build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}

// Control returns the control loop for assertions of tests.
func (d *Daemon) Control() *control.Control { return d.control }

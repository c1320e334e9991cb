// Package forward measures the processor time and the allocations of a request in
// the router, from the entry's HTTP handler to the response, with the holder on
// the same VM or behind a peer connection.
package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/platform/upstreamhttp"
	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/entry"
	"dandelionhill.dev/server/holder"
	"dandelionhill.dev/server/metrics"
	"dandelionhill.dev/server/peer"
)

const (
	// noExpiry is when the authority and the confirmation of the configuration
	// expire, which is after any measurement.
	noExpiry = 24 * time.Hour
	// tickInterval is the interval at which the daemon's control loop ticks a shard.
	tickInterval = 20 * time.Millisecond
	// readyTimeout bounds the wait until every key is served.
	readyTimeout = 10 * time.Second
)

// Options describes a path.
type Options struct {
	// Document has the service; its first keyed service is used.
	Document *config.Document
	// Peer puts the holder on another VM, behind a WebSocket on loopback.
	Peer bool
	// HTTP calls the upstreams over HTTP on loopback. Without it the fake upstream
	// is a function that returns at once.
	HTTP bool
}

// Path is a router of one or two VMs with fake upstreams, all in this process.
type Path struct {
	handler http.Handler
	service api.ServiceName
	stop    []func()
}

// Open builds a path and waits until it serves every key.
func Open(o Options) (*Path, error) {
	doc, err := singleShardDocument(o.Document)
	if err != nil {
		return nil, err
	}
	service := doc.Services[0]
	p := &Path{service: service.Name}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	shard, err := p.startShard(doc, clock, o.HTTP)
	if err != nil {
		p.Close()
		return nil, err
	}
	id := api.ShardID{Service: service.Name}
	snapshot := func(holderVM api.VMID, local map[api.ShardID]*holder.Shard) func() *control.Snapshot {
		s := &control.Snapshot{
			Document: doc, ConfirmedUntil: noExpiry, LocalShards: local,
			Services: map[api.ServiceName]control.Service{service.Name: {
				Service: service, Routes: shardmap.New(service.Name, service.Ranges, service.PlacementShards(), nil),
			}},
			Holders: map[api.ShardID]control.Holder{id: {VM: holderVM, Fence: shard.Fence()}},
		}
		return func() *control.Snapshot { return s }
	}
	newEntry := func(self api.VMID, forward entry.Forwarder, s func() *control.Snapshot) *entry.Entry {
		return entry.New(entry.Config{Self: self, Snapshot: s, Forward: forward, Clock: clock, Metrics: metrics.New(), Log: zerolog.Nop()})
	}
	const entryVM, shardVM = "near", "far"
	shardEntry := newEntry(shardVM, nil, snapshot(shardVM, map[api.ShardID]*holder.Shard{id: shard}))
	if o.Peer {
		hub := p.connect(entryVM, shardVM, shardEntry)
		p.handler = newEntry(entryVM, hub, snapshot(shardVM, nil)).Handler()
	} else {
		p.handler = shardEntry.Handler()
	}
	if err := p.waitReady(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// singleShardDocument returns a document with the first keyed service, in one shard.
func singleShardDocument(doc *config.Document) (*config.Document, error) {
	doc = doc.Clone()
	for _, s := range doc.Services {
		if s.Keyed {
			s.Shards, s.Layout = 1, []config.Span{{First: 0, Last: s.Ranges - 1}}
			doc.Services = []config.Service{s}
			return doc, nil
		}
	}
	return nil, errors.New("the configuration has no keyed service")
}

// startShard starts the shard with warm upstreams and a witness that acknowledges at once.
func (p *Path) startShard(doc *config.Document, clock func() time.Duration, overHTTP bool) (*holder.Shard, error) {
	upstreams := map[string]platform.Upstream{}
	warm := map[api.UpstreamID]api.Incarnation{}
	for i := range doc.Services[0].Upstreams {
		u := &doc.Services[0].Upstreams[i]
		fake := &fakeUpstream{start: time.Now()}
		warm[u.ID] = fake.incarnation()
		upstreams[u.Address] = fake
		if overHTTP {
			server := httptest.NewServer(http.HandlerFunc(respond))
			client := upstreamhttp.New(server.Listener.Addr().String(), doc.Services[0].Connections, doc.Services[0].MaxBody)
			upstreams[u.Address] = &httpUpstream{fakeUpstream: fake, client: client}
			p.stop = append(p.stop, client.Close, server.Close)
		}
	}
	assigned := make(chan uint64, 1024)
	shard := holder.New(holder.Config{
		ID: api.ShardID{Service: doc.Services[0].Name}, Fence: api.NewFence(1, 1), Clock: clock,
		Dial:    func(address string, _ config.Service) platform.Upstream { return upstreams[address] },
		Metrics: metrics.New(), Log: zerolog.Nop(),
		ReportAssignment: func(a wire.Assign) { assigned <- a.Seq },
	}, doc, holder.PriorState{WarmUpstreams: warm}, time.Now())
	shard.SetAuthority(noExpiry)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case seq := <-assigned:
				shard.AckAssignment(seq)
			case <-ticker.C:
				shard.Tick()
			}
		}
	}()
	p.stop = append(p.stop, cancel, shard.Close)
	return shard, nil
}

// localHandler runs the calls of a peer on the entry of the VM that holds the shard.
type localHandler struct{ entry *entry.Entry }

func (localHandler) HandleMessage(api.VMID, wire.Frame) {}

func (l localHandler) HandleCall(ctx context.Context, _ api.VMID, frame wire.Frame) any {
	var forward wire.Forward
	if err := frame.Unpack(&forward); err != nil {
		return wire.Reply{Refusal: api.Refuse(api.BadRequest, err.Error())}
	}
	return l.entry.ServeLocal(ctx, &forward)
}

// connect returns the hub of entryVM, which is connected over loopback to the
// entry of shardVM.
func (p *Path) connect(entryVM, shardVM api.VMID, shardEntry *entry.Entry) *peer.Hub {
	shardHub := peer.NewHub(peer.Config{Self: shardVM, Peers: []peer.Peer{{ID: entryVM}}, Log: zerolog.Nop()}, localHandler{shardEntry})
	server := httptest.NewServer(shardHub)
	entryHub := peer.NewHub(peer.Config{
		Self: entryVM, Peers: []peer.Peer{{ID: shardVM, Address: server.Listener.Addr().String()}}, Log: zerolog.Nop(),
	}, localHandler{})
	ctx, cancel := context.WithCancel(context.Background())
	go entryHub.Run(ctx)
	p.stop = append(p.stop, cancel, server.CloseClientConnections, server.Close)
	return entryHub
}

// waitReady waits until every range has an owner.
func (p *Path) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for i := 0; i < keyCount; {
		err := p.Do(i)
		if err == nil {
			i++
			continue
		}
		if time.Now().After(deadline) {
			return errors.WithMessage(err, "the path does not serve every key")
		}
		time.Sleep(tickInterval)
	}
	return nil
}

// Close stops everything that Open started.
func (p *Path) Close() {
	for i := len(p.stop) - 1; i >= 0; i-- {
		p.stop[i]()
	}
}

// keyCount is the number of different keys and paths; none is hot.
const keyCount = 1024

// Do sends request number n, an idempotent one with a key, and checks the response.
func (p *Path) Do(n int) error {
	n %= keyCount
	url := fmt.Sprintf("/%s/history/%d", p.service, n)
	return sendAndCheck(p.handler, url, fmt.Sprintf("key-%d", n))
}

// Baseline does the same as Do with a handler that responds at once, to measure
// the cost of the harness.
func Baseline(n int) error {
	n %= keyCount
	return sendAndCheck(http.HandlerFunc(respond), fmt.Sprintf("/nothing/history/%d", n), fmt.Sprintf("key-%d", n))
}

func sendAndCheck(handler http.Handler, url, key string) error {
	req, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	req.RemoteAddr = "127.0.0.1:1"
	req.Header.Set(api.HeaderKey, key)
	w := &responseRecorder{header: http.Header{}}
	handler.ServeHTTP(w, req)
	if w.status != http.StatusOK || w.body.String() != responseBody {
		return errors.Errorf("%s got the response %d %q", url, w.status, w.body.String())
	}
	return nil
}

// responseRecorder keeps a response in memory.
type responseRecorder struct {
	header http.Header
	status int
	body   strings.Builder
}

func (r *responseRecorder) Header() http.Header    { return r.header }
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

func (r *responseRecorder) Write(data []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.body.Write(data)
}

// responseBody is the body of every response.
const responseBody = "one line of a history, of about the length of a real one"

// fakeUpstream is an upstream that accepts every grant and responds at once.
type fakeUpstream struct{ start time.Time }

func (*fakeUpstream) incarnation() api.Incarnation { return "first" }

func (s *fakeUpstream) report() platform.Health {
	return platform.Health{Incarnation: s.incarnation(), ClockMs: time.Since(s.start).Milliseconds(), Ready: true}
}

func (s *fakeUpstream) Health(context.Context) (platform.Health, error) { return s.report(), nil }

func (s *fakeUpstream) Grant(context.Context, platform.Grant) (platform.GrantResult, error) {
	return platform.GrantResult{Accepted: true, Health: s.report()}, nil
}

func (s *fakeUpstream) Drain(context.Context, bool) (platform.Health, error) { return s.report(), nil }

func (s *fakeUpstream) Send(context.Context, platform.Request) (platform.Response, error) {
	return platform.Response{Status: http.StatusOK, ContentType: "text/plain", Body: []byte(responseBody), Incarnation: s.incarnation()}, nil
}

// httpUpstream sends requests over HTTP and responds to control calls at once.
type httpUpstream struct {
	*fakeUpstream
	client *upstreamhttp.Client
}

func (s *httpUpstream) Send(ctx context.Context, req platform.Request) (platform.Response, error) {
	return s.client.Send(ctx, req)
}

func respond(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(api.HeaderNonce, r.Header.Get(api.HeaderNonce))
	w.Header().Set("Content-Type", "text/plain")
	w.Write([]byte(responseBody))
}

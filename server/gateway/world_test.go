package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config/strict"
	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

const (
	keyedPath = "/keyed/"
	plainPath = "/plain/"
	testHost  = "shop.example"
	// settleTime bounds the wait for something that happens within a second or two.
	settleTime = 10 * time.Second
)

// world is a deployment on loopback: a store, upstreams and entry VMs.
type world struct {
	t         *testing.T
	store     *fakes.Store
	storeAddr string
	upstreams map[string]*fakes.Upstream
	addresses map[string]string
	stops     map[string]func() // end the listening of an upstream
	crashes   map[string]func() // end its connections as well
	vms       []*Gateway
	requests  int
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: fakes.NewStore(), upstreams: make(map[string]*fakes.Upstream), addresses: make(map[string]string), stops: make(map[string]func()), crashes: make(map[string]func())}
	server := httptest.NewServer(w.store)
	t.Cleanup(server.Close)
	w.storeAddr = server.Listener.Addr().String()
	w.configure(1, "keyed")
	return w
}

// configure writes a configuration in which the path keyedPath goes to a service.
func (w *world) configure(version int, keyedTo string) {
	w.store.Put("op", "config", fmt.Appendf(nil, `{"Version":"r%d","Routes":{
		"k":{"Host":%q,"Prefix":%q,"RouteType":"non_idempotent","TimeoutS":2,"TargetLatencyS":0.5,"Service":%q,"MaxAttempts":2},
		"p":{"Host":%q,"Prefix":%q,"RouteType":"idempotent","TimeoutS":2,"TargetLatencyS":0.5,"Service":"plain","MaxAttempts":2}},
		"Services":{"keyed":{"HealthPath":"/health","MaxConns":50,"ColdStartS":3,"ColdPerS":5,"Sharded":true,"WarmupS":1},
		"plain":{"HealthPath":"/health","MaxConns":50,"ColdStartS":3,"ColdPerS":5}},
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`,
		version, testHost, keyedPath, keyedTo, testHost, plainPath))
}

func (w *world) addUpstream(id, service string) *fakes.Upstream {
	u := fakes.NewUpstream(id, service, "zone-a")
	server := httptest.NewServer(u)
	w.t.Cleanup(server.Close)
	w.upstreams[id], w.addresses[id] = u, server.Listener.Addr().String()
	w.stops[id] = func() { server.Listener.Close() }
	w.crashes[id] = func() {
		server.Listener.Close()
		server.CloseClientConnections()
	}
	w.store.Put("servers", id, u.Registration(w.addresses[id], "ready", 0))
	return u
}

// crash ends the process of an upstream as others see it; its record of keys stays
// for the test.
func (w *world) crash(id string) { w.crashes[id]() }

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// storeFor returns the address of the store for one VM, and a switch that makes
// the store refuse this VM.
func (w *world) storeFor() (address string, refuse *atomic.Bool) {
	refuse = new(atomic.Bool)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if refuse.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.store.ServeHTTP(rw, r)
	}))
	w.t.Cleanup(server.Close)
	return server.Listener.Addr().String(), refuse
}

func (w *world) startVM(name string) *Gateway { return w.startVMAt(name, w.storeAddr) }

// startVMAt starts a VM that reaches the store at an address and knows other VMs.
func (w *world) startVMAt(name, store string, peers ...string) *Gateway {
	g := New(&Settings{
		VM: api.VMID(name), FailureDomain: "zone-a", Store: store, MemoryMB: 100, LogLevel: "info",
		Listen: Listen{
			Callers: freeAddress(w.t), Health: freeAddress(w.t), Peers: freeAddress(w.t), Metrics: freeAddress(w.t),
		},
		Bounds: Bounds{
			TerminationGrace: strict.Duration(6 * time.Second), MaxLease: strict.Duration(10 * time.Second),
			RetryWindow: strict.Duration(10 * time.Second), RetryRatio: 0.2, RetryAllowance: 60,
		},
	}, NewMetrics(), zerolog.New(zerolog.NewTestWriter(w.t)))
	// The VMs of a test have different ports.
	g.links.peers = peers
	require.NoError(w.t, g.Start())
	w.t.Cleanup(func() {
		g.cancel()
		for _, s := range g.servers {
			s.Close()
		}
		<-g.ended
	})
	w.vms = append(w.vms, g)
	return g
}

// do sends a request through a VM; key -1 sends none.
func (w *world) do(g *Gateway, method, path string, key int, deadline time.Duration) (*http.Response, string) {
	w.requests++
	req, err := http.NewRequest(method, "http://"+g.settings.Listen.Callers+path, strings.NewReader("body"))
	require.NoError(w.t, err)
	req.Host = testHost
	req.Header.Set(fleet.HeaderRequestID, fmt.Sprintf("request-%d", w.requests))
	req.Header.Set(fleet.HeaderDeadlineMs, fmt.Sprint(deadline.Milliseconds()))
	if key >= 0 {
		req.Header.Set(fleet.HeaderKey, fmt.Sprint(key))
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(w.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(w.t, err)
	return resp, string(body)
}

// eventually waits until a condition holds.
func (w *world) eventually(condition func() bool, message string) {
	w.t.Helper()
	require.Eventually(w.t, condition, settleTime, 20*time.Millisecond, message)
}

// served waits until a request gets an answer of an upstream.
func (w *world) served(g *Gateway, path string, key int) {
	w.t.Helper()
	w.eventually(func() bool {
		resp, _ := w.do(g, http.MethodPost, path, key, 2*time.Second)
		return resp.StatusCode == http.StatusOK
	}, "a request to "+path+" is served")
}

package gateway

import (
	"context"
	"maps"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

// newTestRequest returns a request on a path as it is when it is forwarded.
func newTestRequest(t *testing.T, g *Gateway, path string, key int) *request {
	r, err := http.NewRequest(http.MethodGet, "http://"+testHost+path, nil)
	require.NoError(t, err)
	r.RequestURI = path
	config := g.control.view().config
	route := config.Match(testHost, path)
	return &request{
		http: r, route: route, service: config.Services[route.Services[0].Service], header: http.Header{fleet.HeaderRequestID: {"waits"}},
		params:  fleet.RequestHeaders{RequestID: "waits", Key: key},
		arrived: time.Now(), deadline: time.Now().Add(time.Minute), buffers: g.handler.buffers.Reserve(),
	}
}

// apply changes the state of a VM and returns once it is published. The store does not change.
func apply(g *Gateway, change func(s *state)) {
	published := g.control.view().superseded
	g.control.do(func(s *state) {
		change(s)
		s.dirty = true
	})
	<-published
}

// editConfiguration replaces the configuration of a VM by an edited copy with the next version.
func editConfiguration(edit func(c *routing.Configuration)) func(*state, *upstream) {
	return func(s *state, _ *upstream) {
		next := *s.config
		next.Version++
		next.Routes = nil
		for _, r := range s.config.Routes {
			copied := *r
			next.Routes = append(next.Routes, &copied)
		}
		edit(&next)
		next.Index()
		s.config = &next
	}
}

func editRegistration(edit func(r *registration)) func(*state, *upstream) {
	return func(_ *state, u *upstream) {
		next := *u.registration.Load()
		edit(&next)
		u.registration.Store(&next)
	}
}

// TestDecisionsAreRepeatedAfterAWait guards against requests that are sent to an upstream because of
// what was true before they waited for a slot (review/8, DRAIN): each change in the meantime must
// send them elsewhere or end them.
func TestDecisionsAreRepeatedAfterAWait(t *testing.T) {
	changes := map[string]func(*state, *upstream){
		"draining": editRegistration(func(r *registration) { r.Draining = true }),
		"removed":  editRegistration(func(r *registration) { r.removed = true }),
		"cold": func(s *state, u *upstream) {
			editRegistration(func(r *registration) { r.coldUntil = bootTime() + time.Hour })(s, u)
			u.takeColdSlot(math.MaxInt64) // no time slot is left
		},
		"domain out":       func(s *state, _ *upstream) { s.domainsOut["zone-a"] = true },
		"replaced":         func(s *state, u *upstream) { delete(s.upstreams, u.id) },
		"leaving too long": func(_ *state, u *upstream) { u.leavingSince.Store(int64(bootTime() - time.Minute)) },
		"resting":          func(_ *state, u *upstream) { u.rest(time.Hour) },
		"route removed":    editConfiguration(func(c *routing.Configuration) { c.Routes = nil }),
		"service removed":  editConfiguration(func(c *routing.Configuration) { c.Services = nil }),
		"route moved":      editConfiguration(moveRoutes),
		"key not authorized": editConfiguration(func(c *routing.Configuration) {
			c.Workspaces = map[api.WorkspaceName]*routing.Workspace{"w": {Name: "w", Keys: []routing.KeyDigest{routing.DigestKey("other")}}}
		}),
	}
	for path, name := range map[string]api.ServiceName{keyedPath: "keyed", plainPath: "plain"} {
		cases, key := maps.Clone(changes), -1
		if name == "keyed" {
			key = 1
			cases["key moved"] = func(s *state, _ *upstream) {
				s.owners = map[api.ServiceName]ownerTable{"keyed": {Term: 1 << 40, Spans: []ownership.SpanOwner{}}}
			}
		}
		for what, change := range cases {
			t.Run(string(name)+" "+what, func(t *testing.T) {
				d := newDeployment(t)
				id := api.UpstreamID("u-" + string(name))
				d.addUpstream(string(id), string(name))
				g := d.startVM("vm-a")
				d.requireServed(g, path, key)
				u, v := g.control.view().upstreams[id], g.control.view()
				running := 0
				for ; running < int(u.limit.Load()); running++ {
					require.NoError(t, g.handler.acquire(t.Context(), newTestRequest(t, g, path, key), u))
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				chosen := make(chan *upstream, 1)
				q := newTestRequest(t, g, path, key)
				go func() {
					sent, _ := g.handler.await(ctx, q, v, nil)
					chosen <- sent
				}()
				d.eventually(func() bool { return u.limiter.load() > running }, "the request waits for a slot")
				apply(g, func(s *state) { change(s, u) })
				u.limiter.release(0, capacityUnknown)
				// A keyed request gives the slot back and waits for another owner.
				d.eventually(func() bool { return len(chosen) > 0 || u.limiter.load() < running }, "the request goes on")
				cancel()
				require.Nil(t, <-chosen)
			})
		}
	}
}

// moveRoutes lets all routes lead to a service without upstreams.
func moveRoutes(c *routing.Configuration) {
	services := maps.Clone(c.Services)
	services["other"] = &routing.Service{Name: "other"}
	c.Services = services
	for _, r := range c.Routes {
		r.Services = []routing.WeightedService{{Service: "other", Weight: 1}}
	}
}

// TestDecisionsAreRepeatedAfterConnecting guards against requests that are sent to an upstream that
// has drained while the VM connected to it, which can take 0.7 s. They run elsewhere.
func TestDecisionsAreRepeatedAfterConnecting(t *testing.T) {
	d := newDeployment(t)
	d.allowSlowRequests()
	first := d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	u := g.control.view().upstreams["p1"]
	u.pool.CloseExpired(time.Now().Add(time.Hour))
	runs := len(first.Runs())
	second := d.addUpstream("p2", "plain")
	d.eventually(func() bool { return len(g.control.view().services["plain"]) == 2 }, "both upstreams are known")
	q := newTestRequest(t, g, plainPath, -1)
	h := g.handler
	require.NoError(t, h.acquire(t.Context(), q, u))
	require.True(t, h.claimSend(q, h.view(), u))
	apply(g, func(*state) { editRegistration(func(r *registration) { r.Draining = true })(nil, u) })
	require.True(t, h.crashes.start(q.fingerprint))
	_, _, err := h.send(t.Context(), q, u)
	require.True(t, notSent(err), "%v", err)
	require.Len(t, first.Runs(), runs)
	resp, _ := d.do(g, http.MethodGet, plainPath, -1, 10*time.Second)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NotEmpty(t, second.Runs())
}

// TestWithdrawnRunIsNotLeftOpen guards against a run that stays recorded for a request which got
// another service while it waited for a connection: its content would count as running for ever.
func TestWithdrawnRunIsNotLeftOpen(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	u, h := g.control.view().upstreams["p1"], g.handler
	q := newTestRequest(t, g, plainPath, -1)
	require.Zero(t, h.checkRequest(q, h.view()).status)
	before, records := q.fingerprint, 0
	h.crashes.withEvidence(func(e *crash.Evidence, _ time.Duration) { records = e.Len() })
	require.True(t, h.crashes.start(before))
	require.NoError(t, h.acquire(t.Context(), q, u))
	apply(g, func(s *state) { editConfiguration(moveRoutes)(s, u) })
	_, _, err := h.send(t.Context(), q, u)
	require.ErrorIs(t, err, upstreamconn.ErrWithdrawn)
	require.NotEqual(t, before, q.fingerprint)
	h.crashes.withEvidence(func(e *crash.Evidence, _ time.Duration) { require.Equal(t, records, e.Len(), "no run is open") })
}

// TestQuarantineStopsRequestThatConnects guards against a request that is sent to an upstream although
// evidence that it crashes upstreams came while the VM connected to it (BUDGET), and against a
// quarantine that stops the run which may end it.
func TestQuarantineStopsRequestThatConnects(t *testing.T) {
	d := newDeployment(t)
	d.allowSlowRequests()
	fake := d.addUpstream("p1", "plain")
	var hold atomic.Bool
	dialing, proceed := make(chan struct{}, 100), make(chan struct{})
	g := d.startVMWith("vm-a", d.storeAddr, func(g *Gateway) {
		g.control.dialUpstream = func(ctx context.Context, network, address string) (net.Conn, error) {
			if hold.Load() {
				dialing <- struct{}{}
				<-proceed
			}
			return upstreamconn.Dial(ctx, network, address)
		}
	})
	d.requireServed(g, plainPath, -1)
	d.eventually(func() bool { return g.control.view().config.Version == 2 }, "the configuration is known")
	runs := len(fake.Runs())
	hold.Store(true)
	g.control.view().upstreams["p1"].pool.CloseExpired(time.Now().Add(time.Hour))
	status := make(chan int, 1)
	go func() { status <- d.send(g, "poison", plainPath+"poison", -1, 15*time.Second).StatusCode }()
	receiveWithin(t, dialing, "the VM connects")
	poison := shardmap.Fingerprint("plain", http.MethodPost, plainPath+"poison", []byte("body"))
	g.handler.crashes.merge([]crash.Entry{{Fingerprint: poison, Quarantined: true, Level: 1, Remaining: time.Minute}})
	close(proceed)
	require.Equal(t, http.StatusServiceUnavailable, <-status)
	require.Len(t, fake.Runs(), runs, "it is not sent")
}

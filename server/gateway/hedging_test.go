package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/hedge"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

// hedging is a deployment with a VM that hedges, whose upstreams respond by the order in which the
// sends of a request arrive: the first send is handled by roles[0].
type hedging struct {
	*deployment
	g *Gateway

	mu       sync.Mutex
	arrivals map[string][]string // upstreams by request
	roles    []http.HandlerFunc
	// timer is that of the last request. The second send is due when the first has arrived.
	timer *time.Timer
	// due begins the second send; manual means that the test calls it.
	due    func()
	manual bool
	// dialled, unless it is nil, is called before the VM connects to an upstream.
	dialled atomic.Pointer[func()]
}

func startHedging(t *testing.T, upstreams int, share float64, prepare func(d *deployment)) *hedging {
	d := &hedging{deployment: newDeployment(t), arrivals: make(map[string][]string)}
	d.allowSlowRequests()
	prepare(d.deployment)
	for n := range upstreams {
		d.addUpstream(fmt.Sprint("p", n), "plain")
	}
	d.g = d.startVMWith("vm-a", d.storeAddr, func(g *Gateway) {
		g.control.dialUpstream = func(ctx context.Context, network, address string) (net.Conn, error) {
			if f := d.dialled.Load(); f != nil {
				(*f)()
			}
			return upstreamconn.Dial(ctx, network, address)
		}
		g.handler.hedges = newHedges(Hedging{Share: share})
		g.handler.hedges.afterFunc = func(_ time.Duration, f func()) *time.Timer {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.due, d.timer = f, time.AfterFunc(time.Hour, f)
			return d.timer
		}
	})
	d.requireServed(d.g, plainPath, -1)
	d.eventually(func() bool {
		v := d.g.control.view()
		return len(v.services["plain"]) == upstreams && d.limits(4) && v.hasRank(bootTime()) && v.clock.known
	}, "the VM knows the upstreams, its share of them and its time slots")
	for id, u := range d.upstreams {
		u.SetHandler(func(w http.ResponseWriter, r *http.Request) { d.handle(id, w, r) })
	}
	d.each(func(u *upstream) { u.load, u.loadAt = fleet.Load{Slots: 2}, time.Now().Add(time.Hour) })
	d.g.handler.hedges.withPolicy(func(p *hedge.Policy) {
		for range 1000 {
			p.Observe("k", 5*time.Millisecond)
			p.Observe("p", 5*time.Millisecond)
			p.Observe("d", 5*time.Millisecond)
		}
	})
	return d
}

// each calls f for each upstream of the VM.
func (d *hedging) each(f func(u *upstream)) {
	for _, u := range d.g.control.view().upstreams {
		u.mu.Lock()
		f(u)
		u.mu.Unlock()
	}
}

func (d *hedging) limits(least int32) bool {
	for _, u := range d.g.control.view().services["plain"] {
		if u.limit.Load() < least {
			return false
		}
	}
	return true
}

func (d *hedging) handle(id string, w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	request := r.Header.Get(fleet.HeaderRequestID)
	role := min(len(d.arrivals[request]), len(d.roles)-1)
	d.arrivals[request] = append(d.arrivals[request], id)
	handler := d.roles[role]
	if d.timer != nil && !d.manual && len(d.arrivals[request]) == 1 {
		d.timer.Reset(0)
	}
	d.mu.Unlock()
	w.Header().Set("X-Upstream", id)
	handler(w, r)
}

// arrived returns the upstreams that got a request, in order.
func (d *hedging) arrived(request string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.arrivals[request]
}

func (d *hedging) count(result string) int {
	return int(testutil.ToFloat64(d.g.metrics.hedges.WithLabelValues("plain", result)))
}

func (d *hedging) skipped(service string, skip hedge.Skip) int {
	return int(testutil.ToFloat64(d.g.metrics.hedgesSkipped.WithLabelValues(service, string(skip))))
}

// passedOver returns the number of requests that got no hedge, for any reason.
func (d *hedging) passedOver() (n int) {
	for _, skip := range []hedge.Skip{hedge.Budget, hedge.NoSlot, hedge.Suspect, hedge.RetryBudget, hedge.Time, hedge.Changed} {
		n += d.skipped("plain", skip)
	}
	return n
}

// saveBudget gives the VM the budget of some hedges.
func (d *hedging) saveBudget() {
	d.g.handler.hedges.withPolicy(func(p *hedge.Policy) {
		for range 200 {
			p.Count("plain")
			p.Count("keyed")
		}
	})
}

func respond(body []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fleet.HeaderSignature, "seal")
		w.WriteHeader(http.StatusNonAuthoritativeInfo)
		_, _ = w.Write(body)
	}
}

func respondServerError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(fleet.HeaderSignature, "seal")
	w.WriteHeader(http.StatusInternalServerError)
}

// untilCancelled handles a request until its connection is closed, and then sends to cancelled.
func untilCancelled(cancelled chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cancelled <- struct{}{}
	}
}

// after handles a request once c is closed.
func after(c <-chan struct{}, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-c:
			next(w, r)
		case <-r.Context().Done():
		}
	}
}

// before closes c when a request arrives.
func before(c chan<- struct{}, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		close(c)
		next(w, r)
	}
}

// requireNoFault checks that an upstream whose send was cancelled counts as healthy.
func (d *hedging) requireNoFault(id, request, path string) {
	d.t.Helper()
	require.Zero(d.t, failureRate(d.g, id))
	d.each(func(u *upstream) { require.True(d.t, u.avoidUntil.IsZero(), u.id) })
	require.False(d.t, d.g.handler.crashes.suspected(shardmap.Fingerprint("plain", http.MethodPost, path, []byte("body"))))
	require.Zero(d.t, testutil.ToFloat64(d.g.metrics.failedSends.WithLabelValues("plain", "request_ended")))
	require.Len(d.t, d.arrived(request), 2)
	d.requireIdle(d.g)
}

// TestSecondSendWins guards against a request that waits for a slow upstream, a response that is
// changed on the way, and a loser that works on or counts as failed.
func TestSecondSendWins(t *testing.T) {
	for name, path := range map[string]string{"whole": plainPath, "streamed": downloadPath} {
		t.Run(name, func(t *testing.T) {
			d := startHedging(t, 2, 0.05, configureDownloads)
			d.saveBudget()
			cancelled, body := make(chan struct{}, 1), largeBody(540_000)
			deadlines := make(chan int, 2)
			stated := func(next http.HandlerFunc) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					ms, _ := strconv.Atoi(r.Header.Get(fleet.HeaderDeadlineMs))
					deadlines <- ms
					next(w, r)
				}
			}
			d.roles = []http.HandlerFunc{stated(untilCancelled(cancelled)), stated(respond(body))}
			resp, got := d.request(d.g, http.MethodPost, "hedged", path, -1, 15*time.Second)
			require.Equal(t, http.StatusNonAuthoritativeInfo, resp.StatusCode)
			require.True(t, string(body) == got, "%d bytes arrived", len(got))
			require.Equal(t, "seal", resp.Header.Get(fleet.HeaderSignature))
			arrived := d.arrived("hedged")
			require.Equal(t, arrived[1], resp.Header.Get("X-Upstream"))
			require.NotEqual(t, arrived[0], arrived[1])
			receiveWithin(t, cancelled, "the first upstream learns that its work is not needed")
			first, second := <-deadlines, <-deadlines
			require.Positive(t, second)
			require.LessOrEqual(t, second, first, "the second send states the remaining time")
			require.Equal(t, 1, d.count(hedgeSent))
			require.Equal(t, 1, d.count(hedgeWon))
			d.requireNoFault(arrived[0], "hedged", path)
			d.each(func(u *upstream) {
				if string(u.id) == arrived[0] {
					require.Greater(t, u.latency, 0.0, "the time until the end counts")
				}
			})
		})
	}
}

// configureDownloads adds the route downloadPath with large responses.
func configureDownloads(d *deployment) {
	value := bytes.Replace(d.configuration(3, "keyed"), []byte(`"Routes":{`), fmt.Appendf(nil,
		`"Routes":{"d":{"Host":%q,"Prefix":%q,"RouteType":"download","TimeoutS":20,"TargetLatencyS":2.5,"Service":"plain","MaxAttempts":2},`,
		testHost, downloadPath), 1)
	d.store.Put("op", "config", value)
}

// TestFirstSendWins guards against a second send that works on, holds its slot or counts as failed
// after the first one has had a response.
func TestFirstSendWins(t *testing.T) {
	for name, path := range map[string]string{"whole": plainPath, "streamed": downloadPath} {
		t.Run(name, func(t *testing.T) {
			d := startHedging(t, 2, 0.05, configureDownloads)
			d.saveBudget()
			second, cancelled, body := make(chan struct{}), make(chan struct{}, 1), largeBody(540_000)
			d.roles = []http.HandlerFunc{after(second, respond(body)), before(second, untilCancelled(cancelled))}
			resp, got := d.request(d.g, http.MethodPost, "hedged", path, -1, 15*time.Second)
			require.Equal(t, http.StatusNonAuthoritativeInfo, resp.StatusCode)
			require.True(t, string(body) == got, "%d bytes arrived", len(got))
			require.Equal(t, d.arrived("hedged")[0], resp.Header.Get("X-Upstream"))
			receiveWithin(t, cancelled, "the second upstream learns that its work is not needed")
			require.Equal(t, 1, d.count(hedgeLost))
			d.requireNoFault(d.arrived("hedged")[1], "hedged", path)
		})
	}
}

// startRequest returns a request that is about to be sent to u, with the slot taken.
func startRequest(t *testing.T, g *Gateway, path string) (q *request, u *upstream) {
	h, v := g.handler, g.control.view()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+testHost+path, nil)
	require.NoError(t, err)
	r.RequestURI = path
	q = &request{
		http: r, params: fleet.ParseRequestHeaders(r.Header), arrived: time.Now(), deadline: time.Now().Add(time.Minute),
		header: http.Header{}, streamable: true, buffers: h.buffers.Reserve(), attempts: 1,
	}
	require.Zero(t, h.checkRequest(q, v).status)
	u, failure := h.choose(t.Context(), q, v, nil)
	require.NotNil(t, u, failure)
	require.True(t, h.crashes.start(q.fingerprint))
	return q, u
}

// TestNoSecondSendAfterExchange guards against a request that crashes a second upstream while the
// VM verifies whether it has crashed the first one.
func TestNoSecondSendAfterExchange(t *testing.T) {
	d := startHedging(t, 2, 0.05, func(*deployment) {})
	d.saveBudget()
	verified := make(chan struct{})
	d.roles = []http.HandlerFunc{func(http.ResponseWriter, *http.Request) {
		d.mu.Lock()
		run := sync.OnceFunc(func() {
			d.due()
			close(verified)
		})
		d.mu.Unlock()
		d.dialled.Store(&run) // the second send is due when the VM connects to the upstream again
		panic(http.ErrAbortHandler)
	}, respond(nil)}
	d.manual = true
	resp, _ := d.request(d.g, http.MethodPost, "crashes", plainPath, -1, 15*time.Second)
	receiveWithin(t, verified, "the VM verifies whether the upstream has crashed")
	require.Equal(t, http.StatusNonAuthoritativeInfo, resp.StatusCode, "the retry is served")
	require.Zero(t, d.count(hedgeSent))
	d.requireIdle(d.g)
}

// TestStateOfSecondSend guards against a second send that changes the header of the first one, which
// is written to its connection meanwhile, or that counts the request again.
func TestStateOfSecondSend(t *testing.T) {
	q := &request{service: &routing.Service{Name: "plain"}, route: &routing.Route{Name: "p"}, header: http.Header{}, mayHaveRun: 1, sends: 1}
	second := (&requestHandler{}).newHedgeRace(t.Context(), q, &upstream{id: "p0"}, nil).q
	fleet.SetUpstreamHeaders(second.header, "p1", time.Second)
	require.Empty(t, q.header)
	require.True(t, second.counted)
	require.Equal(t, 2, second.mayHaveRun, "the first send may run")
}

// TestHedgeTarget guards against a second send to the failure domain that slows the first one, to a
// far slower upstream in another domain, or behind requests that wait.
func TestHedgeTarget(t *testing.T) {
	d := startHedging(t, 3, 0.05, func(*deployment) {})
	q, first := startRequest(t, d.g, plainPath)
	h, v := d.g.handler, d.g.control.view()
	var others []*upstream
	for _, u := range v.services["plain"] {
		if u != first {
			others = append(others, u)
		}
	}
	near, far := others[0], others[1]
	reg := *far.registration.Load()
	reg.Domain = "zone-b"
	far.registration.Store(&reg)
	target := func(nearLatency, farLatency float64, exclude ...*upstream) *upstream {
		near.mu.Lock()
		near.latency = nearLatency
		near.mu.Unlock()
		far.mu.Lock()
		far.latency = farLatency
		far.mu.Unlock()
		excluded := map[api.UpstreamID]bool{first.id: true}
		for _, u := range exclude {
			excluded[u.id] = true
		}
		return h.hedgeTarget(q, v, first, excluded)
	}
	require.Same(t, far, target(0.1, 0.12))
	require.Same(t, near, target(0.1, 1), "the other domain is far slower")
	require.Same(t, near, target(0.1, 0.12, far))
	require.Nil(t, target(0.1, 0.12, near, far))

	var taken int
	for range 100 {
		if near.limiter.tryAcquire(h.admissionParams(q)) {
			taken++
		}
	}
	require.Equal(t, int(near.limit.Load()), taken)
	for range taken {
		near.limiter.release(0, capacityUnknown)
	}
	near.limiter.setUsable(false)
	require.False(t, near.limiter.tryAcquire(h.admissionParams(q)))
	h.crashes.ended(q.fingerprint)
	first.limiter.release(0, capacityUnknown)
	q.buffers.Release()
	d.requireIdle(d.g)
}

// TestDiscardedResponse guards against a slot and a connection that a streamed response keeps when
// it comes second.
func TestDiscardedResponse(t *testing.T) {
	d, g := withDownloads(t, func(*Gateway) {})
	d.upstreams["p1"].SetHandler(respond(largeBody(540_000)))
	q, u := startRequest(t, g, downloadPath)
	sent := g.handler.sendOnce(t.Context(), q, u)
	require.NoError(t, sent.err)
	require.NotNil(t, sent.resp.Stream)
	require.Equal(t, 1, u.limiter.load())
	sent.discard()
	q.buffers.Release()
	d.requireIdle(g)
}

// TestBothSendsFail guards against more runs than MaxAttempts, against a request that may have run
// and is answered as not run, and against one that fails although a third upstream may run it.
func TestBothSendsFail(t *testing.T) {
	for name, test := range map[string]struct {
		first, second http.HandlerFunc
		status, sends int
	}{
		"both broken":       {resetConnection, resetConnection, http.StatusBadGateway, 2},
		"error and broken":  {respondServerError, resetConnection, http.StatusInternalServerError, 2},
		"broken and error":  {resetConnection, respondServerError, http.StatusInternalServerError, 2},
		"broken and shed":   {resetConnection, shedRequest, http.StatusNonAuthoritativeInfo, 3},
		"shed and broken":   {shedRequest, resetConnection, http.StatusNonAuthoritativeInfo, 3},
		"both shed":         {shedRequest, shedRequest, http.StatusNonAuthoritativeInfo, 3},
		"broken and served": {resetConnection, respond(nil), http.StatusNonAuthoritativeInfo, 2},
	} {
		t.Run(name, func(t *testing.T) {
			d := startHedging(t, 3, 0.05, func(*deployment) {})
			d.saveBudget()
			second, firstEnded := make(chan struct{}), make(chan struct{})
			d.roles = []http.HandlerFunc{
				after(second, func(w http.ResponseWriter, r *http.Request) {
					defer close(firstEnded)
					test.first(w, r)
				}),
				func(w http.ResponseWriter, r *http.Request) {
					// The third upstream would not be chosen if the request could go back to one of the others.
					d.each(func(u *upstream) {
						if !slices.Contains(d.arrived("hedged"), string(u.id)) {
							u.latency = 10
						}
					})
					before(second, after(firstEnded, test.second))(w, r)
				},
				respond(nil),
			}
			resp, _ := d.request(d.g, http.MethodPost, "hedged", plainPath, -1, 15*time.Second)
			require.Equal(t, test.status, resp.StatusCode)
			arrived := d.arrived("hedged")
			require.Len(t, arrived, test.sends)
			require.NotEqual(t, arrived[0], arrived[1])
			require.NotContains(t, arrived[:2], append(arrived, "none")[2])
			require.Equal(t, 1, d.count(hedgeSent))
			d.requireIdle(d.g)
		})
	}
}

// TestCallerLeavesHedgedRequest guards against upstreams that work on for a caller that has left.
func TestCallerLeavesHedgedRequest(t *testing.T) {
	d := startHedging(t, 2, 0.05, func(*deployment) {})
	d.saveBudget()
	second, cancelled := make(chan struct{}), make(chan struct{}, 2)
	d.roles = []http.HandlerFunc{untilCancelled(cancelled), before(second, untilCancelled(cancelled))}
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.g.settings.Listen.Callers+plainPath, nil)
	require.NoError(t, err)
	req.Host = testHost
	req.Header.Set(fleet.HeaderRequestID, "left")
	go func() {
		<-second
		leave()
	}()
	_, err = http.DefaultClient.Do(req)
	require.ErrorIs(t, err, context.Canceled)
	receiveWithin(t, cancelled, "one upstream learns that the caller has left")
	receiveWithin(t, cancelled, "the other upstream learns that the caller has left")
	d.requireIdle(d.g)
	require.Len(t, d.arrived("left"), 2)
}

// TestNotHedged guards against second sends of requests that must not have any, or that upstreams
// have no room for. The first upstream responds when the VM has decided against a second send.
func TestNotHedged(t *testing.T) {
	// one changes one of the two upstreams, so that the first send goes to the other. A cold one gets
	// the first send if the VM has a time slot.
	one := func(f func(u *upstream)) func(d *hedging) {
		return func(d *hedging) { f(d.g.control.view().upstreams["p0"]) }
	}
	all := func(f func(u *upstream)) func(d *hedging) { return func(d *hedging) { d.each(f) } }
	for name, test := range map[string]struct {
		skip    hedge.Skip
		prepare func(d *hedging)
	}{
		"busy":         {hedge.NoSlot, all(func(u *upstream) { u.load.Running = 2 })},
		"unknown load": {hedge.NoSlot, all(func(u *upstream) { u.loadAt = time.Time{} })},
		"avoided":      {hedge.NoSlot, all(func(u *upstream) { u.avoidUntil = time.Now().Add(time.Hour) })},
		"cold":         {hedge.NoSlot, all(func(u *upstream) { u.statedCold.Store(int64(bootTime() + time.Hour)) })},
		"resting":      {hedge.NoSlot, one(func(u *upstream) { u.rest(time.Hour) })},
		"leaving":      {hedge.NoSlot, one(func(u *upstream) { u.leavingSince.Store(int64(bootTime())) })},
		"stopping":     {hedge.Stopping, func(d *hedging) { d.g.handler.stopBy(time.Now().Add(time.Minute)) }},
		"budget": {hedge.Budget, func(d *hedging) {
			d.g.handler.hedges.withPolicy(func(p *hedge.Policy) {
				for p.Take("plain") {
				}
			})
		}},
		"retry budget": {hedge.RetryBudget, func(d *hedging) {
			d.g.handler.mu.Lock()
			defer d.g.handler.mu.Unlock()
			budget := d.g.handler.retryBudget("plain")
			budget.Ratio = 0
			for budget.Take(time.Since(d.g.handler.start)) {
			}
		}},
		"suspect": {hedge.Suspect, func(d *hedging) {
			print := shardmap.Fingerprint("plain", http.MethodPost, plainPath, []byte("body"))
			d.g.handler.crashes.withEvidence(func(e *crash.Evidence, now time.Duration) {
				e.Started(now, print)
				e.Crashed(now, []uint64{print})
			})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d := startHedging(t, 2, 0.05, func(*deployment) {})
			d.saveBudget()
			test.prepare(d)
			d.roles = []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				for d.skipped("plain", test.skip) == 0 && r.Context().Err() == nil {
					time.Sleep(time.Millisecond)
				}
				respond(nil)(w, r)
			}}
			resp, _ := d.request(d.g, http.MethodPost, "single", plainPath, -1, 15*time.Second)
			require.Equal(t, http.StatusNonAuthoritativeInfo, resp.StatusCode)
			require.Len(t, d.arrived("single"), 1)
			require.Zero(t, d.count(hedgeSent))
			d.requireIdle(d.g)
		})
	}
}

// TestKindsNotHedged guards against second sends of requests that must run once, that belong to the
// owner of a key, or whose route allows one run.
func TestKindsNotHedged(t *testing.T) {
	replace := func(from, to string) func(d *deployment) {
		return func(d *deployment) {
			d.store.Put("op", "config", bytes.ReplaceAll(d.configuration(3, "keyed"), []byte(from), []byte(to)))
		}
	}
	for name, test := range map[string]struct {
		path, service string
		key           int
		skip          hedge.Skip
		configure     func(d *deployment)
	}{
		"once":   {plainPath, "plain", -1, hedge.None, replace(`"idempotent"`, `"non_idempotent"`)},
		"keyed":  {keyedPath, "keyed", 7, hedge.Keyed, replace(`"non_idempotent"`, `"idempotent"`)},
		"1 send": {plainPath, "plain", -1, hedge.Attempts, replace(`"MaxAttempts":2`, `"MaxAttempts":1`)},
	} {
		t.Run(name, func(t *testing.T) {
			d := startHedging(t, 2, 0.05, func(d *deployment) {
				test.configure(d)
				d.addUpstream("k0", "keyed")
				d.addUpstream("k1", "keyed")
			})
			d.saveBudget()
			d.roles = []http.HandlerFunc{respond(nil)}
			d.eventually(func() bool {
				resp, _ := d.do(d.g, http.MethodPost, test.path, test.key, 2*time.Second)
				return resp.StatusCode == http.StatusNonAuthoritativeInfo
			}, "the route is served")
			before := d.skipped(test.service, test.skip)
			d.roles = []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(50 * time.Millisecond) // ten times the usual time of the route
				respond(nil)(w, r)
			}}
			resp, _ := d.request(d.g, http.MethodPost, "single", test.path, test.key, 15*time.Second)
			require.Equal(t, http.StatusNonAuthoritativeInfo, resp.StatusCode)
			require.Len(t, d.arrived("single"), 1)
			require.Zero(t, d.count(hedgeSent))
			if test.skip != hedge.None {
				require.Equal(t, before+1, d.skipped(test.service, test.skip))
			}
		})
	}
}

// TestHedgeBudget guards against more second sends than the share of the requests, and against
// second sends without the setting.
func TestHedgeBudget(t *testing.T) {
	d := startHedging(t, 2, 0.05, func(*deployment) {})
	d.roles = []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		requests := len(d.arrivals)
		d.mu.Unlock()
		// On a busy machine the cancelled send of the request before may still run, or the state of the
		// other upstream may be old: such a request gets no hedge, and spends no budget.
		for d.count(hedgeSent)+d.passedOver() < requests && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		if len(d.arrived(r.Header.Get(fleet.HeaderRequestID))) > 1 {
			<-r.Context().Done()
		}
		respond(nil)(w, r)
	}, respond(nil)}
	const requests = 45
	for n := range requests {
		resp, _ := d.request(d.g, http.MethodPost, strconv.Itoa(n), plainPath, -1, 15*time.Second)
		require.Equal(t, http.StatusNonAuthoritativeInfo, resp.StatusCode)
	}
	sent := d.count(hedgeSent)
	require.Equal(t, requests, sent+d.passedOver())
	require.NotZero(t, d.skipped("plain", hedge.Budget))
	require.GreaterOrEqual(t, sent, 2)
	require.LessOrEqual(t, float64(sent), 0.05*float64(requests+d.requests))
	require.Nil(t, newHedges(Hedging{}))
}

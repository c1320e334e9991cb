package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config/strict"
	"dandelionhill.dev/core/hedge"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/quota"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

// explained is a VM that follows no store and has upstreams in all states.
type explained struct {
	*Gateway
	arrived atomic.Int64 // requests at the upstreams
	log     bytes.Buffer
}

const explainedConfiguration = `{"Version":"r7","Routes":{
	"k":{"Host":"shop.example","Prefix":"/keyed/","RouteType":"non_idempotent","TimeoutS":2,"TargetLatencyS":0.5,"Service":"keyed","MaxAttempts":2},
	"p":{"Host":"shop.example","Prefix":"/plain/","RouteType":"idempotent","TimeoutS":20,"TargetLatencyS":0.5,"Service":"plain","MaxAttempts":2},
	"w":{"Host":"shop.example","Prefix":"/both/","RouteType":"idempotent","TimeoutS":20,"WeightedServices":[{"Service":"keyed","Weight":0.25},{"Service":"plain","Weight":0.75}],"MaxAttempts":2}},
	"Services":{"keyed":{"MaxConns":50,"ColdStartS":3,"ColdPerS":5,"Sharded":true},"plain":{"MaxConns":50,"ColdStartS":3,"ColdPerS":5}},
	"Tenants":{"huka":{"ApiKeys":["secret-key"],"RatePerS":50,"Burst":10}}}`

func newExplained(t *testing.T) *explained {
	x := &explained{Gateway: newUnstartedGateway(t, []byte(explainedConfiguration), Bounds{
		Drain: strict.Duration(time.Second), RetryWindow: strict.Duration(10 * time.Second), RetryRatio: 0.2, RetryAllowance: 60,
	})}
	x.Gateway.log, x.handler.log = zerolog.New(&x.log), zerolog.New(&x.log)
	x.handler.domain = "zone-a"
	x.handler.crashes.setKnown()
	x.handler.hedges = newHedges(Hedging{Share: 0.1})
	x.handler.hedges.withPolicy(func(p *hedge.Policy) {
		for range 1000 {
			p.Observe("p", 5*time.Millisecond)
			p.Count("plain")
		}
	})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { x.arrived.Add(1) }))
	t.Cleanup(server.Close)
	v := *x.control.view()
	v.upstreams, v.services = make(map[api.UpstreamID]*upstream), make(map[api.ServiceName][]*upstream)
	v.domainsOut = map[api.FailureDomain]bool{"zone-c": true}
	add := func(id api.UpstreamID, service api.ServiceName, domain api.FailureDomain, prepare func(*upstream)) {
		u := newUpstream(&registration{Upstream: routing.Upstream{ID: id, Service: service, Domain: domain, Address: server.Listener.Addr().String(), Slots: 2}},
			upstreamconn.Limits{}, upstreamconn.Network{}, func() {})
		u.limit.Store(4)
		u.latency, u.load, u.loadAt = 0.010, fleet.Load{Slots: 2}, time.Now().Add(time.Hour)
		prepare(u)
		v.upstreams[id], v.services[service] = u, append(v.services[service], u)
	}
	none := func(*upstream) {}
	add("p-chosen", "plain", "zone-a", none)
	add("p-other", "plain", "zone-b", func(u *upstream) { u.latency = 0.009 })
	add("p-draining", "plain", "zone-a", func(u *upstream) { u.registration.Load().Draining = true })
	add("p-out", "plain", "zone-c", none)
	add("p-cold", "plain", "zone-a", func(u *upstream) { u.registration.Load().coldUntil = bootTime() + time.Hour })
	add("p-leaving", "plain", "zone-a", func(u *upstream) { u.leavingSince.Store(int64(bootTime())) })
	add("p-resting", "plain", "zone-a", func(u *upstream) { u.rest(time.Hour) })
	add("p-failed", "plain", "zone-a", func(u *upstream) { u.avoidUntil = time.Now().Add(time.Hour) })
	add("p-slow", "plain", "zone-a", func(u *upstream) { u.latency = 0.5 })
	add("p-full", "plain", "zone-a", func(u *upstream) { u.load = fleet.Load{Slots: 2, Running: 2, Waiting: 3} })
	add("p-limited", "plain", "zone-a", func(u *upstream) { u.limiter.setRate(5) })
	add("k-owner", "keyed", "zone-b", none)
	v.owners = map[api.ServiceName]ownerTable{"keyed": {Term: 3, Version: 9, Spans: []ownership.SpanOwner{{Span: ownership.Span{First: 0, Last: 99}, Owner: "k-owner"}}}}
	x.control.current.Store(&v)
	quotas := x.control.quotas
	quotas.client, quotas.now = quota.NewClient(quota.DefaultRule, time.Minute), func() time.Duration { return time.Minute }
	quotas.connected()
	quotas.grant("huka", 3)
	return x
}

// ask asks the VM over its interface for operators.
func (x *explained) ask(t *testing.T, r ExplainRequest) (*Explanation, error) {
	server := httptest.NewServer(x.servers[0].Handler)
	defer server.Close()
	return ReadExplanation(t.Context(), server.Listener.Addr().String(), &r)
}

func plainRequest() ExplainRequest {
	return ExplainRequest{Method: "GET", Host: testHost, Path: "/plain/1", Workspace: "huka"}
}

func keyedRequest(key string) ExplainRequest {
	return ExplainRequest{Method: "POST", Host: testHost, Path: "/keyed/1", Workspace: "huka", Header: map[string][]string{fleet.HeaderKey: {key}}}
}

// TestExplainNamesEachReason guards against an upstream that is passed over without a reason or with
// another one, and against an explanation that differs from the choice for a request.
func TestExplainNamesEachReason(t *testing.T) {
	x := newExplained(t)
	got, err := x.ask(t, plainRequest())
	require.NoError(t, err)
	require.Equal(t, int64(7), got.ConfigurationVersion)
	require.Equal(t, "p", got.Route.Name)
	require.Len(t, got.Services, 1)
	reasons := make(map[api.UpstreamID]string)
	for _, c := range got.Services[0].Candidates {
		reasons[c.Upstream] = c.Reason
	}
	require.Equal(t, map[api.UpstreamID]string{
		"p-chosen": "", "p-other": "other_domain", "p-draining": "draining", "p-out": "domain_out", "p-cold": "cold", "p-leaving": "leaving",
		"p-resting": "resting", "p-failed": "failed_recently", "p-slow": "slow", "p-full": "full", "p-limited": "limited",
	}, reasons)
	require.Equal(t, HedgingExplanation{AfterMs: got.Services[0].Hedging.AfterMs, Upstream: "p-other"}, got.Services[0].Hedging)
	require.Positive(t, got.Services[0].Hedging.AfterMs)
	require.Equal(t, RetriesExplanation{AfterRun: 1, NotRun: 3, Budget: true}, got.Services[0].Retries)

	u, failure := x.handler.await(t.Context(), newTestRequestAs(t, x.Gateway, plainPath, "huka"), x.control.view(), nil)
	require.Zero(t, failure)
	require.Equal(t, u.id, got.Services[0].Selected)
}

// newTestRequestAs returns a request of a workspace as it is when it is forwarded.
func newTestRequestAs(t *testing.T, g *Gateway, path string, workspace api.WorkspaceName) *request {
	q, config := newTestRequest(t, g, path, -1), g.control.view().config
	q.config, q.workspace, q.auth = config, config.Workspaces[workspace], authentication{config: config, needsKey: true}
	return q
}

// TestExplainOwner guards against an explanation of a key that omits its owner or what happens while
// there is none.
func TestExplainOwner(t *testing.T) {
	x := newExplained(t)
	got, err := x.ask(t, keyedRequest("7"))
	require.NoError(t, err)
	s := got.Services[0]
	require.Equal(t, &OwnerExplanation{Key: 7, Upstream: "k-owner", Term: 3, Version: 9, Last: 99}, s.Owner)
	require.Equal(t, api.UpstreamID("k-owner"), s.Selected)
	require.Equal(t, hedge.NoRepeat, s.Hedging.Skip)
	got, err = x.ask(t, keyedRequest("100"))
	require.NoError(t, err)
	require.Equal(t, "no_owner", got.Services[0].WaitFor)
	require.Equal(t, ownerForecast.Move.Milliseconds(), got.Services[0].WaitMs)
	x.control.view().upstreams["k-owner"].rest(time.Minute)
	got, err = x.ask(t, keyedRequest("7"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, got.Services[0].Refusal.Status)
	require.Equal(t, "resting", got.Services[0].Refusal.Reason)
	require.Greater(t, got.Services[0].Refusal.RetryAfterMs, int64(50_000))
	got, err = x.ask(t, ExplainRequest{Method: "POST", Host: testHost, Path: "/keyed/1", Workspace: "huka"})
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, got.Services[0].Refusal.Status)
}

// TestExplainWeightedServices guards against shares, or a next service, that requests do not follow.
func TestExplainWeightedServices(t *testing.T) {
	x := newExplained(t)
	for range 8 {
		got, err := x.ask(t, ExplainRequest{Method: "GET", Host: testHost, Path: "/both/", Workspace: "huka"})
		require.NoError(t, err)
		require.Len(t, got.Services, 2)
		require.Equal(t, []float64{0.25, 0.75}, []float64{got.Services[0].Share, got.Services[1].Share})
		next := x.handler.splitter.Next(x.control.view().config.Match(testHost, "/both/"))
		for _, s := range got.Services {
			require.Equal(t, s.Service == next, s.Next)
		}
	}
}

// TestExplainChangesNothing guards against an explanation that takes a token, a slot or budget, that
// counts as a request, or that reaches an upstream.
func TestExplainChangesNothing(t *testing.T) {
	x := newExplained(t)
	h := x.handler
	h.splitter.Next(x.control.view().config.Match(testHost, "/both/"))
	h.mu.Lock()
	h.absences.Missing(0, "keyed", 200)
	h.retryBudget("plain").Request(0)
	h.mu.Unlock()
	state := func() string {
		var b strings.Builder
		seen := make(map[any]bool)
		for _, part := range []any{h.splitter, h.retryBudgets, &h.absences, h.hedges, h.quotas.client, h.quotas.counts, h.stats, h.crashes.evidence, x.control.view().upstreams, h.metrics.refused()} {
			dump(&b, reflect.ValueOf(part), seen)
		}
		families, err := h.metrics.registry.Gather()
		require.NoError(t, err)
		for _, f := range families {
			if strings.HasPrefix(f.GetName(), namespace) {
				fmt.Fprintln(&b, f.String())
			}
		}
		return b.String()
	}
	before := state()
	require.Contains(t, before, "batches")
	for _, r := range []ExplainRequest{plainRequest(), keyedRequest("7"), keyedRequest("200"), keyedRequest("300"), {Method: "GET", Host: testHost, Path: "/both/", Workspace: "huka"}, {Method: "GET", Host: testHost, Path: "/plain/"}, {Method: "GET", Host: "other", Path: "/"}} {
		for range 21 { // not a multiple of the period of the weights
			_, err := x.ask(t, r)
			require.NoError(t, err)
		}
	}
	require.Equal(t, before, state())
	require.Zero(t, x.arrived.Load(), "nothing is sent to an upstream")

	_, failure := h.await(t.Context(), newTestRequestAs(t, x.Gateway, plainPath, "huka"), x.control.view(), nil)
	require.Zero(t, failure)
	require.NotEqual(t, before, state(), "a request takes a slot")
}

// dump writes the values that v leads to. It leaves out the time of the last call of Evidence.
func dump(b *strings.Builder, v reflect.Value, seen map[any]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && !seen[v.Pointer()] {
			seen[v.Pointer()] = true
			dump(b, v.Elem(), seen)
		}
	case reflect.Interface:
		if !v.IsNil() {
			dump(b, v.Elem(), seen)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if name := v.Type().Field(i).Name; name != "now" {
				b.WriteString(name + ":")
				dump(b, v.Field(i), seen)
			}
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dump(b, v.Index(i), seen)
		}
	case reflect.Map:
		for _, key := range sortedKeys(v) {
			fmt.Fprintf(b, "%v=", key)
			dump(b, v.MapIndex(key), seen)
		}
	default:
		fmt.Fprintf(b, "%v ", v)
	}
}

func sortedKeys(m reflect.Value) []reflect.Value {
	keys := m.MapKeys()
	for i := range keys {
		for j := i; j > 0 && fmt.Sprint(keys[j]) < fmt.Sprint(keys[j-1]); j-- {
			keys[j], keys[j-1] = keys[j-1], keys[j]
		}
	}
	return keys
}

// TestExplainRefusals guards against a refusal that is not shown, and against a key in the output or
// in the log.
func TestExplainRefusals(t *testing.T) {
	x := newExplained(t)
	key := func(value string) ExplainRequest {
		return ExplainRequest{Method: "GET", Host: testHost, Path: "/plain/", Header: map[string][]string{fleet.HeaderAuthorization: {fleet.AuthorizationScheme + " " + value}}}
	}
	got, err := x.ask(t, key("secret-key"))
	require.NoError(t, err)
	require.Equal(t, api.WorkspaceName("huka"), got.Workspace)
	require.NotContains(t, fmt.Sprintf("%+v", *got), "secret-key")
	got, err = x.ask(t, key("wrong-key"))
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, got.Refusal.Status)
	require.NotContains(t, got.Refusal.Remedy, "wrong-key")
	got, err = x.ask(t, ExplainRequest{Method: "GET", Host: "other", Path: "/"})
	require.NoError(t, err)
	require.Equal(t, &Refusal{Reason: "no_route", Status: http.StatusNotFound, Remedy: got.Refusal.Remedy}, got.Refusal)
	require.Contains(t, got.Refusal.Remedy, testHost+keyedPath)
	for range 3 {
		_, ok := x.control.quotas.client.Take(x.control.quotas.now(), "huka", limitOf(x.control.view().config.Workspaces["huka"]))
		require.True(t, ok)
	}
	got, err = x.ask(t, plainRequest())
	require.NoError(t, err)
	require.True(t, got.QuotaWaitMs > 0 || got.Refusal.Status == http.StatusTooManyRequests, "no token is left")
	require.NotContains(t, x.log.String(), "-key")
}

// TestExplainInvalidRequests guards against a description that is explained as another request, and
// against one of any size.
func TestExplainInvalidRequests(t *testing.T) {
	x := newExplained(t)
	header := func(name, value string) ExplainRequest {
		return ExplainRequest{Method: "GET", Host: testHost, Path: "/plain/", Header: map[string][]string{name: {value}}}
	}
	for message, r := range map[string]ExplainRequest{
		"method":            {Method: "GE T", Host: testHost, Path: "/"},
		"the path":          {Method: "GET", Host: testHost, Path: "plain"},
		"the host":          {Method: "GET", Path: "/"},
		"no workspace":      {Method: "GET", Host: testHost, Path: "/plain/", Workspace: "nobody"},
		"X-A":               header("X-A", "1\r\nX-B: 2"),
		"without control":   header("X A", "1"),
		"give the host":     header("host", "other"),
		"leave out headers": header("X-Long", strings.Repeat("x", maxExplainBytes)),
	} {
		_, err := x.ask(t, r)
		require.ErrorContains(t, err, message)
	}
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != StatusPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		fmt.Fprint(w, `{"vm":"vm-old","version":"2facd53"}`)
	}))
	defer vm.Close()
	described := plainRequest()
	_, err := ReadExplanation(context.Background(), vm.Listener.Addr().String(), &described)
	require.ErrorContains(t, err, "vm-old runs an earlier version (2facd53)")
	other := httptest.NewServer(http.NotFoundHandler())
	address := other.Listener.Addr().String()
	_, err = ReadExplanation(context.Background(), address, &described)
	require.ErrorContains(t, err, "give the address for other VMs")
	other.Close()
	_, err = ReadExplanation(context.Background(), address, &described)
	require.ErrorContains(t, err, "cannot be reached")
}

package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/quota"
	"dandelionhill.dev/core/routing"
)

// setQuota writes a configuration with one workspace.
func (d *workspaceDeployment) setQuota(name string, rate, burst float64) {
	d.version++
	d.store.Put("op", "config", workspaceConfiguration(d.version, fmt.Sprintf(`{%q:{"ApiKeys":["key-of-%s"],"RatePerS":%v,"Burst":%v}}`, name, name, rate, burst)))
}

// awaitServed sends requests of a workspace until one is served.
func (d *workspaceDeployment) awaitServed(g *Gateway, name string) {
	d.eventually(func() bool {
		resp, _ := d.raw(g, http.MethodGet, plainPath, "Authorization: Token key-of-"+name)
		return resp.StatusCode == http.StatusOK
	}, "a request of the workspace is served")
}

// TestQuotaOverTwoVMs guards against VMs that each admit the whole quota of a workspace, against
// refusals that do not say when to come again, and against refused requests that run.
func TestQuotaOverTwoVMs(t *testing.T) {
	const rate, burst, requests = 2, 2, 120
	d := newWorkspaceDeployment(t, nil)
	d.setQuota("huka", rate, burst)
	a, b := d.startVM("vm-a"), d.startVM("vm-b")
	d.awaitServed(a, "huka")
	d.awaitServed(b, "huka")
	d.received()
	began := bootTime()
	var wg sync.WaitGroup
	statuses := make(chan int, requests)
	for i := range requests {
		wg.Go(func() {
			resp, body := d.raw(d.vms[i%2], http.MethodGet, plainPath, "Authorization: Token key-of-huka")
			statuses <- resp.StatusCode
			if resp.StatusCode != http.StatusTooManyRequests {
				return
			}
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if err != nil || after <= 0 {
				t.Errorf("Retry-After is %q", resp.Header.Get("Retry-After"))
			}
			var r refusal
			if json.Unmarshal([]byte(body), &r) != nil || r.Reason != overQuota || r.Outcome != string(api.NotRun) {
				t.Errorf("refusal %s", body)
			}
		})
	}
	wg.Wait()
	close(statuses)
	counts := make(map[int]int)
	for status := range statuses {
		counts[status]++
	}
	windows := math.Ceil((bootTime() - began).Seconds() / quota.DefaultRule.Window.Seconds())
	require.LessOrEqual(t, float64(counts[http.StatusOK]), windows*quota.DefaultRule.Bound(quota.Limit{Rate: rate, Burst: burst}))
	require.Equal(t, requests, counts[http.StatusOK]+counts[http.StatusTooManyRequests], counts)
	require.Positive(t, counts[http.StatusTooManyRequests])
	require.Len(t, d.received(), counts[http.StatusOK])
	refused := 0
	for _, g := range d.vms {
		d.eventually(func() bool { return g.workspaces().Workspaces[0].Quota.Share > 0 }, "the VM has a share")
		w := g.workspaces().Workspaces[0]
		refused += w.Quota.Refused
		require.InDelta(t, w.Quota.Refused, testutil.ToFloat64(g.metrics.workspaceRequests.WithLabelValues("huka", "over_quota")), 0)
	}
	require.GreaterOrEqual(t, refused, counts[http.StatusTooManyRequests])
}

// TestQuotaOfProxiedRequest guards against a request of an isolated VM that two VMs count.
func TestQuotaOfProxiedRequest(t *testing.T) {
	d := newWorkspaceDeployment(t, nil)
	d.setQuota("huka", 50, 50)
	network := &upstreamNetwork{}
	a, b := d.startVMOn("vm-a", d.storeAddr, network), d.startVM("vm-b")
	d.awaitServed(a, "huka")
	d.awaitServed(b, "huka")
	network.set(refuseCut)
	network.mu.Lock()
	network.cut = resetCut
	network.mu.Unlock()
	d.eventually(func() bool {
		d.raw(a, http.MethodGet, plainPath, "Authorization: Token key-of-huka")
		isolated, _ := a.control.reach.isolated()
		return isolated
	}, "the VM is isolated")
	admitted := func(g *Gateway) int { return g.workspaces().Workspaces[0].Quota.Admitted }
	beforeA, beforeB, served := admitted(a), admitted(b), 0
	d.eventually(func() bool {
		resp, _ := d.raw(a, http.MethodGet, plainPath, "Authorization: Token key-of-huka")
		if resp.StatusCode == http.StatusOK {
			served++
		}
		return served == 3
	}, "requests are served through the other VM")
	require.Equal(t, beforeA, admitted(a))
	require.GreaterOrEqual(t, admitted(b)-beforeB, 3)
}

// TestRefusedRequestReturnsItsToken guards against a quota that is used up by requests that have not
// run.
func TestRefusedRequestReturnsItsToken(t *testing.T) {
	d := newWorkspaceDeployment(t, nil)
	d.setQuota("huka", 50, 50)
	a := d.startVM("vm-a")
	d.awaitServed(a, "huka")
	for id := range d.upstreams {
		d.store.Put("servers", id, d.upstreams[id].Registration(d.addresses[id], "draining", 0))
	}
	d.eventually(func() bool {
		resp, _ := d.raw(a, http.MethodGet, plainPath, "Authorization: Token key-of-huka")
		return resp.StatusCode == http.StatusServiceUnavailable
	}, "no upstream is left")
	require.Positive(t, a.workspaces().Workspaces[0].Quota.Returned)
}

// quotasWith returns the quotas of a VM that has got tokens of the workspace huka.
func quotasWith(tokens int) *quotas {
	s := newQuotas(quota.DefaultRule, NewMetrics(), zerolog.Nop())
	s.now, s.maxWait = func() time.Duration { return time.Minute }, time.Minute
	s.connected()
	s.grant("huka", tokens)
	return s
}

func (s *quotas) grant(name api.WorkspaceName, tokens int) {
	s.update(&quota.Update{Issuing: true, AnswersMs: s.now().Milliseconds(), Share: 1, Grants: []quota.Grant{{Workspace: name, Tokens: tokens}}})
}

func requestOf(name api.WorkspaceName) *request {
	return &request{workspace: &routing.Workspace{Name: name, Rate: 50}, deadline: time.Now().Add(time.Hour)}
}

// TestWaitForToken guards against requests that are refused although a token arrives while they
// wait, and against waiting requests that are counted after they have left.
func TestWaitForToken(t *testing.T) {
	s := quotasWith(0)
	asked := make(chan bool, 1)
	s.reportNow = func() { asked <- true }
	done := make(chan outcome, 1)
	q := requestOf("huka")
	go func() { done <- s.take(t.Context(), q) }()
	<-asked
	require.Equal(t, 1, s.report().Demands[0].Waiting)
	s.grant("huka", 1)
	require.Zero(t, (<-done).status)
	require.Equal(t, api.WorkspaceName("huka"), q.quota.workspace)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.reportNow = func() {}
	failure := s.take(ctx, requestOf("huka"))
	require.Equal(t, overQuota, failure.reason)
	require.Equal(t, http.StatusTooManyRequests, failure.status)
	require.Positive(t, failure.retryAfter)
	require.Empty(t, s.waiting)
	require.Zero(t, s.report().Demands[0].Waiting)
}

// TestLongWaitForToken guards against requests that are refused although the next granter issues tokens
// within their target latency.
func TestLongWaitForToken(t *testing.T) {
	s := newQuotas(quota.DefaultRule, NewMetrics(), zerolog.Nop())
	s.client = quota.NewClient(quota.DefaultRule, time.Minute)
	var now atomic.Int64
	now.Store(int64(time.Minute))
	s.now = func() time.Duration { return time.Duration(now.Load()) }
	s.maxWait = time.Millisecond
	asked := make(chan bool, 1)
	s.reportNow = func() {
		select {
		case asked <- true:
		default:
		}
	}
	q := requestOf("huka")
	q.arrived, q.route = time.Now(), &routing.Route{TargetLatency: time.Hour}
	done := make(chan outcome, 1)
	go func() { done <- s.take(t.Context(), q) }()
	<-asked
	now.Add(int64(time.Second))
	s.connected()
	s.grant("huka", 1)
	require.Zero(t, (<-done).status)
	require.InDelta(t, 1, testutil.ToFloat64(s.metrics.longWaits.WithLabelValues("admitted")), 0)
}

// TestRosterInLease guards against a granter whose lease does not say which VMs may have tokens, so that
// the next one waits, and against rosters in deployments without quotas.
func TestRosterInLease(t *testing.T) {
	d := newWorkspaceDeployment(t, nil)
	d.setQuota("huka", 0, 0)
	a := d.startVM("vm-a")
	d.awaitServed(a, "huka")
	stored := func() *quota.Roster {
		state, err := a.control.readSystem(t.Context())
		require.NoError(t, err)
		return state.lease.Quotas
	}
	require.Nil(t, stored())
	d.setQuota("huka", 500, 500)
	b := d.startVM("vm-b")
	d.eventually(func() bool { r := stored(); return r != nil && len(r.VMs) == 8 }, "the lease names both VMs")
	d.awaitServed(b, "huka")
	d.kill(a)
	d.awaitServed(b, "huka")
	state, err := b.control.readSystem(t.Context())
	require.NoError(t, err)
	require.NotNil(t, state.lease.Quotas)
}

// TestTokenIsCheckedBeforeASend guards against requests that wait for an upstream and are then sent
// with the token of another workspace or of a granter that was replaced, and against retries that
// take a second token.
func TestTokenIsCheckedBeforeASend(t *testing.T) {
	s := quotasWith(2)
	beforeSend := func(q *request) int {
		failure, _ := s.beforeSend(q)
		return failure.status
	}
	q, other := requestOf("huka"), requestOf("huka")
	require.Zero(t, s.take(t.Context(), q).status)
	require.Zero(t, s.take(t.Context(), other).status)
	require.Zero(t, beforeSend(q))
	s.afterSend(q)
	require.Zero(t, beforeSend(q), "it has not run and keeps its token")
	q.mayHaveRun++
	s.afterSend(q)
	require.Zero(t, beforeSend(q), "a retry")
	s.giveBack(q)
	require.Zero(t, s.counts["huka"].returned)

	other.workspace = &routing.Workspace{Name: "elezo", Rate: 50}
	require.Equal(t, http.StatusTooManyRequests, beforeSend(other))
	require.Equal(t, 1, s.counts["huka"].returned, "its key has moved to another workspace")
	s.grant("elezo", 1)
	require.Zero(t, beforeSend(other))

	s.grant("huka", 1)
	late := requestOf("huka")
	require.Zero(t, s.take(t.Context(), late).status)
	s.connected()
	s.grant("elezo", 0)
	failure, again := s.beforeSend(late)
	require.Equal(t, http.StatusTooManyRequests, failure.status)
	require.True(t, again, "the granter has changed")
	done := make(chan outcome, 1)
	go func() { done <- s.takeAgain(t.Context(), late) }()
	require.Eventually(t, func() bool { return len(s.report().Demands) > 0 }, 10*time.Second, time.Millisecond)
	s.grant("huka", 1)
	require.Zero(t, (<-done).status)
	require.InDelta(t, 1, testutil.ToFloat64(s.metrics.endedTokens.WithLabelValues("admitted")), 0)
	require.Zero(t, beforeSend(late))
	unlimited := &request{workspace: &routing.Workspace{Name: "free"}}
	require.Zero(t, s.take(t.Context(), unlimited).status)
	require.Zero(t, beforeSend(unlimited))
	passedOn := requestOf("huka")
	passedOn.proxied, passedOn.mayHaveRun = true, 1
	require.Zero(t, s.take(t.Context(), passedOn).status, "it has used a token at another VM")
}

// TestReplacedUpdateKeepsItsTokens guards against tokens that are counted as held by a VM and never
// reach it, because the update with them was replaced before it was sent.
func TestReplacedUpdateKeepsItsTokens(t *testing.T) {
	g := &granter{quotas: newQuotaIssuer(quota.DefaultRule, 0, 0, 0, "vm-a", 1)}
	m := &member{quota: g.quotas.issuer.Join(0, "vm-b")}
	g.quotas.issuer.SetIssuing(0, true)
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	limit := func(api.WorkspaceName) (quota.Limit, bool) { return quota.Limit{Rate: 100, Burst: 100}, true }
	g.quotas.issuer.Report(at(100), m.quota, 100, 0, quota.Report{})
	g.quotaUpdate(update{SentAtMs: 100}, m, nil)
	g.quotas.issuer.Report(at(200), g.quotas.own, 200, at(200), quota.Report{})
	g.quotas.issuer.Report(at(200), m.quota, 200, at(100), quota.Report{Demands: []quota.Demand{{Workspace: "huka", Waiting: 3}}})
	g.quotas.issuer.Issue(at(1000), limit)
	first := g.quotaUpdate(update{SentAtMs: 1000}, m, nil)
	require.Equal(t, []quota.Grant{{Workspace: "huka", Tokens: 3}}, first.Grants)
	g.quotas.issuer.SetIssuing(at(1010), false)
	require.Empty(t, g.quotaUpdate(update{SentAtMs: 1010}, m, first).Grants)
	g.quotas.issuer.SetIssuing(at(1020), true)
	require.Equal(t, first.Grants, g.quotaUpdate(update{SentAtMs: 1020}, m, nil).Grants)
}

// TestWorkspaceLabels guards against metrics that grow with the workspaces of a deployment.
func TestWorkspaceLabels(t *testing.T) {
	s := quotasWith(0)
	config := &routing.Configuration{Workspaces: make(map[api.WorkspaceName]*routing.Workspace)}
	for i := range 100 {
		name := api.WorkspaceName(fmt.Sprintf("w%02d", i))
		config.Workspaces[name] = &routing.Workspace{Name: name, Rate: float64(1 + i)}
	}
	s.configure(config)
	for name := range config.Workspaces {
		s.count(name, "admitted").admitted++
	}
	require.Equal(t, maxWorkspaceLabels+1, testutil.CollectAndCount(s.metrics.workspaceRequests))
	require.InDelta(t, 80, testutil.ToFloat64(s.metrics.workspaceRequests.WithLabelValues(otherWorkspaces, "admitted")), 0)
	require.InDelta(t, 1, testutil.ToFloat64(s.metrics.workspaceRequests.WithLabelValues("w99", "admitted")), 0)
	s.configure(&routing.Configuration{Workspaces: map[api.WorkspaceName]*routing.Workspace{"w99": config.Workspaces["w99"]}})
	require.Equal(t, 2, testutil.CollectAndCount(s.metrics.workspaceRequests))
	require.Len(t, s.counts, 1)
}

// TestReportSpacing guards against a granter that all VMs together overload with reports sent at
// once, and against a request that waits for a token because a report was sent just before.
func TestReportSpacing(t *testing.T) {
	const interval = 100 * time.Millisecond
	now, reports := time.Hour, 0
	var s reportSpacing
	require.Equal(t, minReportInterval, s.next(now, interval))
	now += minReportInterval
	require.Equal(t, minReportInterval, s.next(now, interval))
	for now < time.Hour+10*time.Second {
		now += s.next(now, interval)
		reports++
	}
	require.InDelta(t, 100, reports, 5)
}

package gateway

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/admission"
	"dandelionhill.dev/core/routing"
)

// TestFloodingWorkspaceWaits guards against a workspace whose requests wait behind all those of
// another one that sends many.
func TestFloodingWorkspaceWaits(t *testing.T) {
	c := &control{metrics: NewMetrics(), overload: Overload{Fair: true}}
	c.hasWorkspaces.Store(true)
	var limit atomic.Int32
	limit.Store(1)
	l := newLimiter(&limit, func() {})
	l.shares = c.sharesOf("service")
	require.Same(t, l.shares, c.sharesOf("service"), "the upstreams of a service share")
	now := time.Now()
	params := func(name api.WorkspaceName) admissionParams {
		return admissionParams{flow: admission.Flow{Workspace: name}, arrived: now, target: now.Add(time.Hour), deadline: now.Add(2 * time.Hour), serviceTime: time.Second}
	}
	ctx, cancel := context.WithCancel(t.Context())
	require.NoError(t, l.acquire(ctx, params("flood")))
	admitted := make(chan api.WorkspaceName, 10)
	for i, name := range []api.WorkspaceName{"flood", "flood", "flood", "small"} {
		go func() {
			if l.acquire(ctx, params(name)) == nil {
				admitted <- name
			}
		}()
		require.Eventually(t, func() bool { return l.load() == i+2 }, waitTimeout, time.Millisecond)
	}
	l.release(time.Second, capacityUnknown)
	require.Equal(t, api.WorkspaceName("small"), <-admitted)
	l.release(time.Second, capacityUnknown)
	require.Equal(t, api.WorkspaceName("flood"), <-admitted)
	cancel()
}

// TestOrderWithoutWorkspaces guards against an order by priority without ageing in deployments
// without workspaces, which had another one before.
func TestOrderWithoutWorkspaces(t *testing.T) {
	c := &control{metrics: NewMetrics(), overload: Overload{Fair: true}}
	var limit atomic.Int32
	limit.Store(1)
	l := newLimiter(&limit, func() {})
	l.shares = c.sharesOf("service")
	now := time.Now()
	params := func(priority int, age time.Duration) admissionParams {
		arrived := now.Add(-age)
		return admissionParams{priority: priority, arrived: arrived, target: now.Add(time.Hour), deadline: now.Add(2 * time.Hour), serviceTime: time.Second}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	require.NoError(t, l.acquire(ctx, params(0, 0)))
	admitted := make(chan int, 2)
	for i, p := range []admissionParams{params(0, 0), params(1, time.Second)} {
		go func() {
			if l.acquire(ctx, p) == nil {
				admitted <- p.priority
			}
		}()
		require.Eventually(t, func() bool { return l.load() == i+2 }, waitTimeout, time.Millisecond)
	}
	l.release(time.Second, capacityUnknown)
	require.Equal(t, 1, <-admitted, "the older request goes first")
}

// TestRoutesShareWithoutWorkspaces guards against a route, or a failure domain of callers, whose
// requests wait behind all those of another one of the same priority, and against late requests
// that keep others waiting, with the clock of a bubble.
func TestRoutesShareWithoutWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &control{metrics: NewMetrics(), overload: Overload{FairRoutes: true}}
		var limit atomic.Int32
		limit.Store(1)
		l := newLimiter(&limit, func() {})
		l.shares, l.refuseLate = c.sharesOf("service"), true
		h := &requestHandler{handlerConfig: handlerConfig{domain: "here"}}
		type result struct {
			name string
			err  error
		}
		results := make(chan result, 10)
		acquire := func(name string, domain api.FailureDomain, target time.Duration) {
			q := &request{route: &routing.Route{Name: name, Priority: 1}, callerDomain: domain}
			p := admissionParams{priority: 1, arrived: time.Now(), target: time.Now().Add(target), deadline: time.Now().Add(time.Hour), serviceTime: 100 * time.Millisecond, flow: h.flow(q)}
			go func() { results <- result{name + string(domain), l.acquire(t.Context(), p)} }()
			synctest.Wait()
		}
		next := func() result {
			synctest.Wait()
			return <-results
		}
		acquire("flood", "", time.Minute)
		next()
		for range 3 {
			acquire("flood", "", time.Minute)
		}
		acquire("small", "", time.Minute)
		acquire("flood", "away", time.Minute)
		others := []string{}
		for range 2 {
			l.release(100*time.Millisecond, capacityUnknown)
			r := next()
			require.NoError(t, r.err)
			others = append(others, r.name)
		}
		require.ElementsMatch(t, []string{"small", "floodaway"}, others)
		for range 3 {
			l.release(100*time.Millisecond, capacityUnknown)
			require.Equal(t, result{name: "flood"}, next())
		}
		// One starts at once, and the others could still meet their target if it took 100 ms.
		for range 9 {
			acquire("flood", "", 300*time.Millisecond)
		}
		l.release(100*time.Millisecond, capacityUnknown)
		require.Equal(t, result{name: "flood"}, next())
		time.Sleep(250 * time.Millisecond)
		l.release(250*time.Millisecond, capacityUnknown)
		synctest.Wait()
		refused := 0
		for len(results) > 0 {
			r := <-results
			var noCapacity noCapacityError
			if errors.As(r.err, &noCapacity) {
				refused++
				outcome := busyOutcome(&upstream{limiter: l}, r.err)
				require.Equal(t, late, outcome.reason)
				require.GreaterOrEqual(t, outcome.retryAfter, shortRetryAfter)
			}
		}
		require.Equal(t, 8, refused)
	})
}

// TestLabelsOfWorkspacesAreBounded guards against a metric that grows with the workspaces.
func TestLabelsOfWorkspacesAreBounded(t *testing.T) {
	s := (&control{metrics: NewMetrics(), overload: Overload{Fair: true}}).sharesOf("service")
	labels := make(map[string]bool)
	for i := range 1000 {
		labels[s.label(api.WorkspaceName(strconv.Itoa(i)))] = true
	}
	require.Len(t, labels, maxWorkspaceLabels+1)
}

package gateway

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

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
// requests wait behind all those of another one, and against a late request that keeps others
// waiting or is refused without its reason.
func TestRoutesShareWithoutWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int32
		limit.Store(1)
		l := newLimiter(&limit, func() {})
		l.shares, l.refuseLate = (&control{metrics: NewMetrics(), overload: Overload{FairRoutes: true}}).sharesOf("service"), true
		h := &requestHandler{}
		admitted, refused := make(chan string, 10), make(chan error, 10)
		acquire := func(name string, domain api.FailureDomain, target time.Duration) {
			now, flow := time.Now(), h.flow(&request{route: &routing.Route{Name: name}, callerDomain: domain})
			p := admissionParams{arrived: now, target: now.Add(target), deadline: now.Add(time.Hour), serviceTime: 100 * time.Millisecond, flow: flow}
			go func() {
				if err := l.acquire(t.Context(), p); err != nil {
					refused <- err
					return
				}
				admitted <- name + string(domain)
			}()
			synctest.Wait()
		}
		for range 4 {
			acquire("flood", "", time.Minute)
		}
		acquire("small", "", time.Minute)
		acquire("flood", "away", time.Minute)
		for range 6 {
			synctest.Wait()
			l.release(100*time.Millisecond, capacityUnknown)
		}
		close(admitted)
		order := []string{}
		for name := range admitted {
			order = append(order, name)
		}
		require.Equal(t, "flood", order[0])
		require.ElementsMatch(t, []string{"small", "floodaway"}, order[1:3])
		// One of nine starts at once, and the others could meet their target if it took 100 ms.
		admitted = make(chan string, 10)
		for range 9 {
			acquire("flood", "", 300*time.Millisecond)
		}
		time.Sleep(250 * time.Millisecond)
		l.release(250*time.Millisecond, capacityUnknown)
		synctest.Wait()
		require.Len(t, refused, 8)
		outcome := busyOutcome(&upstream{limiter: l}, <-refused)
		require.Equal(t, late, outcome.reason)
		require.GreaterOrEqual(t, outcome.retryAfter, shortRetryAfter)
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

package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// TestNoRefusalAfterRun guards against a request that may have run and is reported as not
// run: whatever ends it later, its status promises nothing.
func TestNoRefusalAfterRun(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	r, err := http.NewRequest(http.MethodPost, "http://h/", nil)
	require.NoError(t, err)
	for _, why := range []reason{noOwner, noUpstream, busy, cold, shed, unreachable, timeoutUnsent, responseLost, quarantined, buffersFull, vmStopping} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusBadGateway} {
			for name, ctx := range map[string]context.Context{"in time": context.Background(), "at the deadline": ended} {
				failure := outcome{reason: why, status: status, retryAfter: time.Second}
				got := (&requestHandler{}).finalOutcome(ctx, &request{http: r, mayHaveRun: 1}, failure)
				require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.status, "%s %s", why, name)
				if status == http.StatusServiceUnavailable {
					require.Zero(t, got.retryAfter)
				}
			}
		}
	}
}

// TestLostResponseRunsOnce guards against a request that is not idempotent and is sent again,
// or refused as not run, after it ran and its response was lost.
func TestLostResponseRunsOnce(t *testing.T) {
	d := newDeployment(t)
	u := d.addUpstream("k1", "keyed")
	g := d.startVM("vm-a")
	d.requireServed(g, keyedPath, 1)
	runs := len(u.Runs())
	u.SetHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	resp, body := d.do(g, http.MethodPost, keyedPath, 1, 2*time.Second)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, body)
	require.Contains(t, body, `"outcome":"unknown"`)
	require.Len(t, u.Runs(), runs+1)
}

// TestSilentUpstreamKeepsItsWork guards against a request that is sent again elsewhere, or
// given up, because the registration of the upstream that runs it has lapsed.
func TestSilentUpstreamKeepsItsWork(t *testing.T) {
	d := newDeployment(t)
	first := d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	started, finish := make(chan struct{}), make(chan struct{})
	first.SetHandler(func(rw http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		rw.Header().Set(fleet.HeaderSignature, "seal")
	})
	second := d.addUpstream("p2", "plain")
	d.eventually(func() bool { return len(g.control.view().services["plain"]) == 2 }, "both upstreams are known")
	u := g.control.view().upstreams["p2"]
	u.mu.Lock()
	u.avoidUntil = time.Now().Add(time.Hour)
	u.mu.Unlock()
	done := make(chan int, 1)
	before := len(second.Runs())
	go func() {
		resp, _ := d.do(g, http.MethodPost, plainPath, -1, 2*time.Second)
		done <- resp.StatusCode
	}()
	<-started
	d.store.Remove("servers", "p1")
	d.eventually(func() bool { return len(g.control.view().services["plain"]) == 1 }, "the registration has lapsed")
	close(finish)
	require.Equal(t, http.StatusOK, <-done)
	require.Len(t, second.Runs(), before)
}

// TestRankLapses guards against two VMs that send to a cold upstream in the same time slots:
// one that has not heard from the granter for a while, and one that got its rank since.
func TestRankLapses(t *testing.T) {
	c := newControl(nil, NewMetrics(), zerolog.Nop())
	v := *c.view()
	v.rank = 3
	c.confirmRank()
	now := bootTime()
	require.True(t, v.hasRank(now))
	require.False(t, v.hasRank(now+rankRetention-linkTimeout), "the update may have been under way for linkTimeout")
	v.rank = -1
	require.False(t, v.hasRank(now))
}

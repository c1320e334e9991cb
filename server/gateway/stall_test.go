package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/core/stall"
	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

// TestStallIsRecorded guards against a stop of the process that no log line tells of.
func TestStallIsRecorded(t *testing.T) {
	var log bytes.Buffer
	g := &Gateway{metrics: NewMetrics(), log: zerolog.New(&log), links: &links{}}
	g.recordStall(700 * time.Millisecond)
	require.Contains(t, log.String(), `"event":"stalled","stalled_ms":700`)
	metrics := httptest.NewRecorder()
	g.metrics.handler().ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, metrics.Body.String(), "dandelionhill_stalls_total 1\n")
	require.Contains(t, metrics.Body.String(), "dandelionhill_stalled_seconds_total 0.7\n")
}

// TestStalledProcessReadsBeforeItLosesAPeer guards against a VM that takes its granter for lost because
// its own process did not run for longer than linkTimeout, against an update that waited meanwhile and
// counts as recent, and against a silent granter that is never lost after a stall.
func TestStalledProcessReadsBeforeItLosesAPeer(t *testing.T) {
	const stalled = 3 * time.Second
	var clock, looks atomic.Int64 // of the VM
	clock.Store(int64(time.Hour))
	now := func() time.Duration { return time.Duration(clock.Load()) }
	found := make(chan time.Duration, 1)
	// The VM is not started, so that only its link looks at the clock.
	links := newUnstartedGateway(t, []byte(`{"Version":"r1"}`), Bounds{}).links
	links.stalls = newStalls(func(stall time.Duration) { found <- stall })
	links.stalls.clock = func() time.Duration { looks.Add(1); return now() }
	links.stalls.start()

	sent := make(chan update)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		go func() { // Reports must not fill the connection.
			var rep report
			for receive(r.Context(), conn, &rep, waitTimeout) == nil {
			}
		}()
		for u := range sent {
			if send(r.Context(), conn, controlLink{}, u) != nil {
				return
			}
		}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	var handled atomic.Int64 // looks after an update
	updates, lost := make(chan update, 1), make(chan error, 1)
	go func() {
		lost <- links.connect(t.Context(), lease{VM: "vm-b", Address: server.Listener.Addr().String()}, func(u update) error {
			updates <- u
			handled.Store(looks.Load())
			return nil
		})
	}()
	next := func() update {
		select {
		case u := <-updates:
			return u
		case err := <-lost:
			require.NoError(t, err, "the granter is lost")
		case <-time.After(waitTimeout):
			require.Fail(t, "no update")
		}
		return update{}
	}
	before := now()
	sent <- update{AnswersMs: before.Milliseconds()}
	require.Zero(t, next().delayed)
	require.Eventually(t, func() bool { return handled.Load() > 0 && looks.Load() >= handled.Load()+2 }, waitTimeout, time.Millisecond, "the VM waits for the next update")

	clock.Add(int64(stalled))
	select {
	case stall := <-found: // the timer of the silence has expired
		require.Equal(t, stalled-stallCheck, stall)
	case err := <-lost:
		require.NoError(t, err, "the granter is lost before the VM has read its update")
	}
	sent <- update{AnswersMs: before.Milliseconds(), OperatorAgeMs: 1, Limits: []limitNews{{AgeMs: 5}}}
	u := next()
	require.Equal(t, stalled, u.delayed)
	require.Greater(t, u.OperatorAgeMs, stalled.Milliseconds())
	require.Greater(t, u.Limits[0].AgeMs, stalled.Milliseconds())
	sent <- update{AnswersMs: now().Milliseconds()}
	require.Zero(t, next().delayed, "it answers a report that was sent after the stall")

	for {
		clock.Add(int64(stallCheck))
		links.stalls.check()
		select {
		case err := <-lost:
			require.ErrorIs(t, err, errPeerSilent)
			close(sent)
			return
		case <-time.After(time.Millisecond):
		}
	}
}

const stallCheck = stall.CheckInterval

// TestDelayedUpdate guards against a VM that uses the permits and the rank of an update which waited
// for its process: another granter may have issued the permits again, and given the rank to another VM.
func TestDelayedUpdate(t *testing.T) {
	for _, delayed := range []time.Duration{0, time.Second} {
		g := newUnstartedGateway(t, []byte(`{"Version":"r1"}`), Bounds{})
		u := update{Rank: 1, VMs: 2, StoreKnownMs: time.Hour.Milliseconds()}
		u.delay(delayed)
		require.NoError(t, g.elector.handleUpdate(t.Context(), u))
		v := *g.control.view()
		v.rank = 1
		recent := delayed == 0
		require.Equal(t, recent, v.hasRank(bootTime()))
		require.Equal(t, recent, g.control.limits.hasIssuer())
		require.Equal(t, !recent, len(g.links.reportRequested) > 0, "the next update answers a report that is sent after the stall")
	}

	owner := ownership.Owner{UpstreamID: "u1", Incarnation: 7}
	up := newUpstream(&registration{Upstream: routing.Upstream{ID: "u1", Incarnation: 7}}, upstreamconn.Limits{}, upstreamconn.Network{}, func() {})
	v := &view{upstreams: map[api.UpstreamID]*upstream{"u1": up}}
	limits := newStatedLimits(zerolog.Nop())
	require.True(t, limits.merge(v, []limitNews{{Upstream: owner, Rate: 1}}, bootTime(), "granter"))
	grants := []permitGrant{{Upstream: owner, Permits: 1}}
	limits.receive(v, grants, false)
	require.Positive(t, up.limiter.permitWait(), "the permit is not used")
	limits.receive(v, grants, true)
	require.Zero(t, up.limiter.permitWait())
	require.Equal(t, 2, limits.byUpstream[up].received, "the granter does not take it to be on its way")
}

// TestStoppingGranterWaitsForASuccessor guards against keys without an owner until the store answers,
// because the links to all other VMs were lost just before the granter stopped.
func TestStoppingGranterWaitsForASuccessor(t *testing.T) {
	d := newDeployment(t)
	k1 := d.addUpstream("k1", "keyed")
	a := d.startVM("vm-a")
	d.eventually(func() bool { return a.links.currentGranter() != nil }, "the first VM grants")
	b := d.startVM("vm-b")
	d.eventually(func() bool { return b.connected() && b.control.view().rank == 1 }, "the second VM follows it")
	d.requireServed(b, keyedPath, 1)
	term := b.control.view().owners["keyed"].Term
	d.store.SetFaults(fakes.Faults{Refuse: true})
	granter := a.links.currentGranter()
	d.eventually(func() bool {
		promised := make(chan bool, 1)
		require.True(t, granter.do(func() {
			now := bootTime()
			promised <- granter.authority.StoreUnreachable(now) && granter.authority.RenewUntil(now)-now > 900*time.Millisecond
		}))
		return <-promised
	}, "the granter renews by promises")
	granter.do(func() {
		for m := range granter.members {
			m.close()
		}
	})
	for stopped := false; !stopped; {
		alone := make(chan bool, 1)
		require.True(t, granter.do(func() {
			alone <- len(granter.members) == 0
			if len(granter.members) == 0 {
				a.cancel()
			}
		}))
		stopped = <-alone
	}
	d.eventually(func() bool { return b.links.currentGranter() != nil }, "the second VM renews the grants")
	d.requireServed(b, keyedPath, 1)
	require.True(t, k1.Holds(1))
	require.Equal(t, term, b.control.view().owners["keyed"].Term)
}

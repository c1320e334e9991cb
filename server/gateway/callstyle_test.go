package gateway

import (
	"bytes"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config/strict"
	"dandelionhill.dev/core/ownership"
	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

// expectIgnorer accepts connections on which the header Expect is never seen.
type expectIgnorer struct{ net.Listener }

func (l expectIgnorer) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return expectBlind{c}, err
}

type expectBlind struct{ net.Conn }

func (c expectBlind) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	copy(p, bytes.Replace(p[:n], []byte("Expect: 100-continue"), []byte("X-pect: 100-continue"), 1))
	return n, err
}

// TestUpstreamThatIgnoresExpectIsServed guards against an upstream that gets no keys because it does
// not respond to Expect: 100-continue, and against the next granter finding that out again, while
// the leases expire.
func TestUpstreamThatIgnoresExpectIsServed(t *testing.T) {
	d := newDeployment(t)
	d.allowSlowRequests()
	u := fakes.NewUpstream("k1", "keyed", "zone-a")
	server := httptest.NewUnstartedServer(u)
	server.Listener = expectIgnorer{server.Listener}
	server.Start()
	t.Cleanup(server.Close)
	d.upstreams["k1"], d.addresses["k1"] = u, server.Listener.Addr().String()
	d.store.Put("servers", "k1", u.Registration(d.addresses["k1"], "ready", 0))
	a := d.startVM("vm-a")
	d.requireServed(a, keyedPath, 1)
	require.True(t, u.Holds(1))
	owner := a.control.view().upstreams["k1"].owner()
	require.True(t, a.control.wholeCalls.contains(owner))
	b := d.startVM("vm-b")
	d.eventually(func() bool {
		known := b.control.view().upstreams["k1"]
		return known != nil && known.calls.whole.Load()
	}, "the other VM knows")
}

// TestCallStyle guards against an upstream that waits for a slot and is taken for one that ignores
// Expect: 100-continue, against one that is not found out, and against a bound on the arrival of
// grants that nothing checks.
func TestCallStyle(t *testing.T) {
	bounds := Bounds{CallDelay: strict.Duration(time.Minute)}
	g := &granter{elector: &elector{bounds: bounds, log: zerolog.Nop(), metrics: NewMetrics(), control: newControl(nil, NewMetrics(), zerolog.Nop())}}
	q := newCallQueues(g)
	q.ctx = t.Context()
	grant := ownership.Action{Kind: ownership.Grant}
	notRead := &upstreamconn.Error{Connected: true, Err: upstreamconn.ErrNotRead}
	upstreamOf := func(id api.UpstreamID) *upstream {
		u := &upstream{id: id}
		u.registration.Store(&registration{})
		return u
	}
	silent, patient, refusing, slow := upstreamOf("silent"), upstreamOf("patient"), upstreamOf("refusing"), upstreamOf("slow")
	q.observeStyle(grant, silent, nil, notRead, &upstreamconn.Trace{})
	require.False(t, silent.calls.whole.Load(), "it may wait for a slot")
	q.observeStyle(grant, silent, nil, notRead, &upstreamconn.Trace{})
	require.True(t, silent.calls.whole.Load())
	require.Equal(t, lateGrants, silent.calls.late())
	q.observeStyle(grant, patient, &upstreamconn.Response{Status: 200}, nil, &upstreamconn.Trace{Asked: true, SentAt: time.Now()})
	for range 10 {
		q.observeStyle(grant, patient, nil, notRead, &upstreamconn.Trace{})
	}
	require.Zero(t, patient.calls.late(), "it has asked for a body before")
	q.observeStyle(grant, refusing, &upstreamconn.Response{Status: 417}, nil, &upstreamconn.Trace{})
	require.True(t, refusing.calls.whole.Load())
	q.observeStyle(grant, slow, &upstreamconn.Response{Status: 200}, nil, &upstreamconn.Trace{Asked: true, SentAt: time.Now().Add(-2 * time.Minute)})
	require.Equal(t, grantTimeout, slow.calls.late())
	require.False(t, slow.calls.whole.Load())
	require.Len(t, g.control.wholeCalls.all(), 2)
}

// TestTakeoverCountsWholeCalls guards against a granter that takes over, or takes care, and counts the
// unanswered grants of its predecessor as arriving in time, although some were sent in one step. A
// granter that released its lease has counted them itself.
func TestTakeoverCountsWholeCalls(t *testing.T) {
	e := &elector{log: zerolog.Nop(), metrics: NewMetrics(), control: newControl(nil, NewMetrics(), zerolog.Nop())}
	e.bounds.MaxLease = strict.Duration(10 * time.Second)
	owner := ownership.Owner{UpstreamID: "k1", Incarnation: 7}
	e.control.wholeCalls.add(owner)
	late := map[ownership.Owner]time.Duration{owner: lateGrants}
	require.Equal(t, late, e.predecessor(leaseRow{}, time.Second).Late, "the lease is stale")
	require.Equal(t, late, e.predecessor(leaseRow{lease: lease{Released: true, PredecessorsMs: 100}}, time.Second).Late, "a grant may have left since")
	require.Equal(t, late, e.afterCaretaker(time.Second, 2*time.Second).Late)
	released := e.predecessor(leaseRow{lease: lease{Released: true, InDoubtMs: 9000}, readAt: time.Second}, time.Second)
	require.Empty(t, released.Late)
	require.Equal(t, 10*time.Second, released.InDoubtUntil)
}

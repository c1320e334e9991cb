package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/election"
)

// linkNetwork passes the connections of other VMs to one VM.
type linkNetwork struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []*net.TCPConn // of other VMs
	silenced []*net.TCPConn // carry no more bytes
}

// startVMBehind starts a VM that other VMs reach through a network.
func (d *deployment) startVMBehind(name, store string) (*Gateway, *linkNetwork) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	d.t.Cleanup(func() { listener.Close() })
	n := &linkNetwork{listener: listener}
	g := d.startVMWith(name, store, func(g *Gateway) {
		g.links.address, g.elector.address = listener.Addr().String(), listener.Addr().String()
	})
	go n.run(g.settings.Listen.Peers)
	return g, n
}

func (n *linkNetwork) run(target string) {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		onward, err := net.Dial("tcp", target)
		if err != nil {
			conn.Close()
			continue
		}
		n.mu.Lock()
		n.conns = append(n.conns, conn.(*net.TCPConn))
		n.mu.Unlock()
		go n.pass(conn.(*net.TCPConn), conn, onward)
		go n.pass(conn.(*net.TCPConn), onward, conn)
	}
}

// pass passes bytes from one end to the other until the connection ends or is silenced.
func (n *linkNetwork) pass(conn *net.TCPConn, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		size, err := from.Read(buf)
		n.mu.Lock()
		silenced := slices.Contains(n.silenced, conn)
		n.mu.Unlock()
		if err != nil || silenced {
			return
		}
		if _, err := to.Write(buf[:size]); err != nil {
			return
		}
	}
}

// silence makes the open connections silent for good; new ones work.
func (n *linkNetwork) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silenced = append(n.silenced, n.conns...)
}

// end ends all connections, with a reset or in order, and refuses new ones.
func (n *linkNetwork) end(reset bool) {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		if reset {
			conn.SetLinger(0)
		}
		conn.Close()
	}
}

// awaitRenewal waits until the granter has renewed its lease once more: a VM that follows it has
// then read an earlier row.
func (d *deployment) awaitRenewal(g *Gateway) {
	read := func() int64 {
		state, err := g.control.readSystem(d.t.Context())
		require.NoError(d.t, err)
		return state.lease.Seq
	}
	before := read()
	d.eventually(func() bool { return read() > before }, "the granter renews its lease")
}

// connected reports whether a VM follows a granter.
func (g *Gateway) connected() bool {
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	return g.links.following
}

// TestGranterCutOff guards against two granters that act: the connections to a granter are reset,
// or ended in order by a device on the way, but it still renews the grants of its upstreams, and
// its successor moves keys.
func TestGranterCutOff(t *testing.T) {
	for name, reset := range map[string]bool{"with resets": true, "in order": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			store, refuse := d.storeFor()
			a, network := d.startVMBehind("vm-a", store)
			d.eventually(func() bool { return a.links.currentGranter() != nil }, "the first VM grants")
			b := d.startVM("vm-b")
			d.eventually(b.connected, "the second VM follows the first")
			d.awaitRenewal(b)
			before := a.links.currentGranter()
			refuse.Store(true)
			network.end(reset)
			d.eventually(func() bool { return b.links.currentGranter() != nil }, "the second VM takes over")
			require.GreaterOrEqual(t, b.links.currentGranter().predecessor.Until, time.Duration(before.renewUntil.Load()))
		})
	}
}

// TestGranterRestarts guards against a slow takeover from a granter whose process has ended: another
// process of its VM responds.
func TestGranterRestarts(t *testing.T) {
	d := newDeployment(t)
	server := httptest.NewServer(&links{self: "vm-a", incarnation: "2"})
	t.Cleanup(server.Close)
	// The lease is not stale during the test.
	const ahead = time.Hour
	row, err := cbor.Marshal(lease{
		VM: "vm-a", Incarnation: "1", Address: server.Listener.Addr().String(), Term: 1, Seq: 1,
		RenewedAtMs: ahead.Milliseconds(), PredecessorsMs: -ahead.Milliseconds(),
	})
	require.NoError(t, err)
	d.store.Put(systemTable, leaseKey, row)
	b := d.startVM("vm-b")
	d.eventually(func() bool { return b.links.currentGranter() != nil }, "the second VM takes over")
	g := b.links.currentGranter()
	require.LessOrEqual(t, g.predecessor.Until, g.initial.lease.readAt)
}

// TestSilentLinks guards against VMs that keep their connections to the granter although these are
// silent for good: they would not learn that keys have moved.
func TestSilentLinks(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("k1", "keyed")
	a, network := d.startVMBehind("vm-a", d.storeAddr)
	d.eventually(func() bool { return a.links.currentGranter() != nil }, "the first VM grants")
	b := d.startVM("vm-b")
	d.requireServed(b, keyedPath, 1)
	network.silence()
	d.addUpstream("k2", "keyed")
	d.store.Remove("servers", "k1")
	d.eventually(func() bool {
		resp, body := d.do(b, http.MethodPost, keyedPath, 1, 2*time.Second)
		return resp.StatusCode == http.StatusOK && strings.HasPrefix(body, "k2")
	}, "the second VM sends the key to its new owner")
}

// TestUpdatePromisesNothing guards against VMs of earlier versions that take an orderly end of the
// connection for the end of the granter, because an update says that they may.
func TestUpdatePromisesNothing(t *testing.T) {
	const reserved = 21
	data, err := cbor.Marshal(sampleMessages()["update"])
	require.NoError(t, err)
	var fields map[int]cbor.RawMessage
	require.NoError(t, cbor.Unmarshal(data, &fields))
	require.Contains(t, fields, reserved-1)
	require.NotContains(t, fields, reserved)
}

// TestOtherVMAtGranterAddress guards against a takeover from a living granter whose address another
// VM has, or whose VM is of an earlier version, which does not give its name.
func TestOtherVMAtGranterAddress(t *testing.T) {
	granter := lease{VM: "vm-a", Incarnation: "1"}
	for name, c := range map[string]struct {
		granter   lease
		responder http.Handler
		want      election.LinkEnd
	}{
		"the granter's process":            {granter, &links{self: "vm-a", incarnation: "1"}, election.LinkLost},
		"another process of its VM":        {granter, &links{self: "vm-a", incarnation: "2"}, election.OtherProcess},
		"another VM":                       {granter, &links{self: "vm-b", incarnation: "2"}, election.LinkLost},
		"a granter of unknown incarnation": {lease{VM: "vm-a"}, &links{self: "vm-a", incarnation: "2"}, election.LinkLost},
		"a VM of an earlier version": {granter, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(incarnationHeader, "2")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}), election.LinkLost},
		"another program": {granter, http.NotFoundHandler(), election.LinkLost},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			c.responder.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, linkPath, nil))
			require.Equal(t, c.want, dialEnd(c.granter, recorder.Result()))
		})
	}
	require.Equal(t, election.LinkLost, dialEnd(granter, nil))
}

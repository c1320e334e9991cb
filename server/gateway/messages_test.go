package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/upstreamconn"
)

// TestProxiedRequestWithoutRoom guards against a request of an isolated VM that the limits on messages
// refuse without saying that it has not run, or by ending the other requests of its connection.
func TestProxiedRequestWithoutRoom(t *testing.T) {
	const roomBytes = 1 << 20
	shared := buffers.NewBudget(4 << 20)
	messages := listen.NewMessages(listen.MessageLimits{Bytes: roomBytes, ConnectionBytes: roomBytes, ConnectionCount: 1}, nil, buffers.NewBudget(0), shared)
	served, finish := make(chan string, 10), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(partsHeader, partsVersion)
		ws, err := websocket.Accept(w, r, nil)
		require.NoError(t, err)
		defer ws.CloseNow()
		ws.SetReadLimit(maxFrameBytes)
		serve := func(_ context.Context, req *proxyRequest) *proxyResponse {
			served <- req.Target
			<-finish
			return &proxyResponse{Status: http.StatusOK, Body: make([]byte, roomBytes/4)}
		}
		//nolint:errcheck // the connection ends with the test
		serveProxyConn(r.Context(), newFrameSender(ws, newLinkPacer(0), r.Header, NewMetrics()), messages.Connection(nil, maxFrameBytes), guard{NewMetrics(), zerolog.Nop()}, serve)
	}))
	t.Cleanup(server.Close)
	opened := listen.NewMessages(listen.MessageLimits{}, nil, nil, nil)
	c, err := dialProxy(t.Context(), server.Listener.Addr().String(), maxFrameBytes, opened, newStalls(func(time.Duration) {}), newLinkPacer(0), NewMetrics())
	require.NoError(t, err)
	t.Cleanup(func() { c.end(errProxyIdle) })
	call := func(target string, body int) *proxyResponse {
		resp, sent, err := c.call(t.Context(), &proxyRequest{From: api.VMID("isolated"), Target: target, Body: make([]byte, body), TimeoutMs: 10_000})
		require.NoError(t, err)
		require.True(t, sent)
		return resp
	}
	first := make(chan *proxyResponse, 1)
	go func() { first <- call("/first", 0) }()
	require.Equal(t, "/first", <-served)
	for name, body := range map[string]int{"number": 0, "bytes": 2 * roomBytes} {
		refused := call("/refused", body)
		require.Equal(t, messagesFull, refused.Reason, name)
		require.Equal(t, http.StatusServiceUnavailable, refused.FailureStatus, name)
		require.Zero(t, refused.MayHaveRun, name)
		require.True(t, refused.notTaken(), "another VM may send it")
	}
	close(finish)
	require.Equal(t, http.StatusOK, (<-first).Status)
	require.Equal(t, http.StatusOK, call("/second", 0).Status, "the first request counts no longer")
	require.Equal(t, "/second", <-served)
	require.Empty(t, served, "no refused request was served")
	// A connection ends in the middle of a message.
	broken, _, err := websocket.Dial(t.Context(), "ws://"+server.Listener.Addr().String(), nil)
	require.NoError(t, err)
	w, err := broken.Writer(t.Context(), websocket.MessageBinary)
	require.NoError(t, err)
	_, err = w.Write(make([]byte, roomBytes/4))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return shared.Left() < shared.Total()-roomBytes/8 }, waitTimeout, time.Millisecond)
	require.NoError(t, broken.CloseNow())
	// The memory of a response is released after it was sent.
	require.Eventually(t, func() bool { return shared.Left() == shared.Total() }, waitTimeout, time.Millisecond)
}

// TestUnreadResponsesOfIsolatedVMs guards against responses that isolated VMs do not read and that take
// the memory of callers, and against a refusal of a request that was sent.
func TestUnreadResponsesOfIsolatedVMs(t *testing.T) {
	d := newDeployment(t)
	u := d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	u.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fleet.HeaderSignature, "seal")
		w.Write(make([]byte, 4<<20)) //nolint:errcheck // the VM reads it
	})
	var unread []*proxyResponse
	for {
		resp := g.proxies.serve(t.Context(), &proxyRequest{Method: http.MethodGet, Target: plainPath, Host: testHost, TimeoutMs: 10_000})
		if resp.Status != http.StatusOK {
			require.Equal(t, messagesFull, resp.Reason)
			require.True(t, resp.notTaken())
			resp.release()
			break
		}
		unread = append(unread, resp)
	}
	require.NotEmpty(t, unread)
	require.Greater(t, g.handler.buffers.Left(), g.handler.buffers.Total()/2)
	for _, resp := range unread {
		resp.release()
	}
	require.True(t, g.proxies.hasRoom())
}

// TestFrameID guards against a refusal of the wrong request.
func TestFrameID(t *testing.T) {
	for _, id := range []uint64{0, 1, 23, 24, 255, 70_000, 1 << 40} {
		data, err := cbor.Marshal(proxyFrame{ID: id, Request: &proxyRequest{}})
		require.NoError(t, err)
		got, err := frameID(data[:min(len(data), 16)])
		require.NoError(t, err)
		require.Equal(t, id, got)
	}
	for _, head := range [][]byte{nil, {0xa1}, {0xa1, 0x02, 0x01}, {0x81, 0x01, 0x01}, {0xa1, 0x01, 0x1b}} {
		_, err := frameID(head)
		require.ErrorIs(t, err, errNoFrameID)
	}
}

// TestResponseWithoutRoom guards against a response that finds no memory in the VM and counts as
// evidence of a crash, if the upstream refuses the next connection.
func TestResponseWithoutRoom(t *testing.T) {
	d := newDeployment(t)
	u := d.addUpstream("p1", "plain")
	d.addUpstream("k1", "keyed") // the VM reaches it: it is not isolated
	var refuse atomic.Bool
	g := d.startVMWith("vm-a", d.storeAddr, func(g *Gateway) {
		g.control.dialUpstream = func(ctx context.Context, network, address string) (net.Conn, error) {
			if refuse.Load() && address == d.addresses["p1"] {
				return nil, syscall.ECONNREFUSED
			}
			return upstreamconn.Dial(ctx, network, address)
		}
	})
	d.requireServed(g, plainPath, -1)
	u.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		refuse.Store(true)
		w.Header().Set(fleet.HeaderSignature, "seal")
		w.Write(make([]byte, 4<<20)) //nolint:errcheck // the VM closes the connection
	})
	others := g.handler.buffers.Reserve()
	require.True(t, others.Take(g.handler.buffers.Left()-g.handler.buffers.Reserved()-64<<10))
	resp, _ := d.do(g, http.MethodGet, plainPath, -1, waitTimeout)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.True(t, refuse.Load(), "the upstream got the request")
	require.Empty(t, g.handler.crashes.snapshot())
}

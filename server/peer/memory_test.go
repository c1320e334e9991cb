package peer

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/listen"
)

const (
	roomBytes = 1 << 20
	waitTime  = 10 * time.Second
)

// limited returns limits on messages, and the memory that they share with bodies.
func limited() (*listen.Messages, *buffers.Budget) {
	shared := buffers.NewBudget(4 << 20)
	limits := listen.MessageLimits{Bytes: roomBytes, ConnectionBytes: roomBytes, ConnectionCount: 1}
	return listen.NewMessages(limits, nil, buffers.NewBudget(0), shared), shared
}

// replying replies to a forward with a body of a size, once it may.
type replying struct {
	received, release chan struct{}
	size              int
}

func (r replying) HandleMessage(_ api.VMID, frame wire.Frame) { frame.Release() }

func (r replying) HandleCall(_ context.Context, _ api.VMID, frame wire.Frame) any {
	if frame.Type == wire.TypeForward {
		r.received <- struct{}{}
		<-r.release
	}
	return &wire.Reply{Status: 200, Body: make([]byte, r.size)}
}

func forward(t *testing.T, hub *Hub, body int) (*wire.Reply, error) {
	reply := new(wire.Reply)
	return reply, hub.Call(t.Context(), "far", wire.TypeForward, &wire.Forward{Body: make([]byte, body)}, reply)
}

// TestMessagesWithoutRoom guards against a call without room that is not refused as not run or that
// ends the other calls of its connection, a message that is lost while its connection stays open, and
// memory that is not released.
func TestMessagesWithoutRoom(t *testing.T) {
	accepted, shared := limited()
	handler := replying{received: make(chan struct{}, 10), release: make(chan struct{}), size: 1000}
	far := NewHub(Config{Self: "far", Peers: []Peer{{ID: "near"}}, Log: zerolog.Nop(), Accepted: accepted}, handler)
	hub, _ := start(t, far)
	require.NoError(t, call(t, hub, wire.TypeStatus, wire.Hello{}))
	first := make(chan error, 1)
	go func() { _, err := forward(t, hub, 0); first <- err }()
	<-handler.received
	for name, size := range map[string]int{"number": 0, "bytes": roomBytes + 1} {
		reply, err := forward(t, hub, size)
		require.NoError(t, err, name)
		require.Equal(t, api.Shed, reply.Refusal.Kind, name)
		require.Equal(t, api.NotRun, reply.Refusal.Outcome, name)
	}
	close(handler.release)
	require.NoError(t, <-first)
	require.Empty(t, handler.received, "no refused call was handled")
	require.True(t, hub.Send("far", wire.TypeConfig, wire.Config{Document: make([]byte, 100)}))
	l := hub.links["far"]
	l.mu.Lock()
	queue := l.queue
	l.mu.Unlock()
	require.True(t, hub.Send("far", wire.TypeConfig, wire.Config{Document: make([]byte, roomBytes)}))
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.queue != queue
	}, waitTime, time.Millisecond, "the connection ends")
	require.NoError(t, call(t, hub, wire.TypeStatus, wire.Hello{}), "the VM connects again")
	require.Eventually(t, func() bool { return shared.Left() == shared.Total() }, waitTime, time.Millisecond)
}

// TestConnectionsOfOneVM guards against a VM that takes the connections of the others.
func TestConnectionsOfOneVM(t *testing.T) {
	far := NewHub(Config{Self: "far", Peers: []Peer{{ID: "near"}, {ID: "third"}}, Log: zerolog.Nop()}, echo{})
	server := httptest.NewServer(far)
	t.Cleanup(server.Close)
	send := func(conn *websocket.Conn, kind wire.Type, callID uint64, vm api.VMID) {
		data, err := wire.Encode(kind, callID, wire.Hello{VM: vm})
		require.NoError(t, err)
		require.NoError(t, conn.Write(t.Context(), websocket.MessageBinary, data))
	}
	requireReply := func(conn *websocket.Conn) {
		send(conn, wire.TypeStatus, 1, "")
		_, _, err := conn.Read(t.Context())
		require.NoError(t, err)
	}
	connect := func(vm api.VMID) *websocket.Conn {
		conn, _, err := websocket.Dial(t.Context(), "ws://"+server.Listener.Addr().String(), nil)
		require.NoError(t, err)
		t.Cleanup(func() { conn.CloseNow() })
		send(conn, wire.TypeHello, 0, vm)
		requireReply(conn)
		return conn
	}
	other, first := connect("third"), connect("near")
	for range maxConnsPerPeer {
		connect("near")
	}
	_, _, err := first.Read(t.Context())
	require.Error(t, err)
	requireReply(other)
}

// TestRepliesWithoutRoom guards against a reply without room whose call waits until its deadline or
// that ends the other calls, against a call that takes memory beyond the limits while it waits to be
// sent, and against memory that is not released.
func TestRepliesWithoutRoom(t *testing.T) {
	handler := replying{received: make(chan struct{}, 10), release: make(chan struct{}), size: roomBytes / 3}
	close(handler.release)
	far := NewHub(Config{Self: "far", Peers: []Peer{{ID: "near"}}, Log: zerolog.Nop()}, handler)
	dialled, shared := limited()
	hub, _ := startWithin(t, far, dialled)
	require.NoError(t, call(t, hub, wire.TypeStatus, wire.Hello{}))
	held, err := forward(t, hub, 0)
	require.NoError(t, err)
	require.Len(t, held.Body, roomBytes/3)
	for range 2 {
		_, err = forward(t, hub, 0)
		require.ErrorIs(t, err, ErrReplyRefused)
	}
	_, err = forward(t, hub, roomBytes/2)
	require.ErrorIs(t, err, ErrNoMemory)
	held.Release()
	next, err := forward(t, hub, 0)
	require.NoError(t, err)
	next.Release()
	require.Eventually(t, func() bool { return shared.Left() == shared.Total() }, waitTime, time.Millisecond)
}

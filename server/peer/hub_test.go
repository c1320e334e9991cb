package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
)

// echo answers calls, but keeps a handover until nobody waits for it.
type echo struct{ hold chan struct{} }

func (echo) HandleMessage(api.VMID, wire.Frame) {}

func (e echo) HandleCall(ctx context.Context, _ api.VMID, frame wire.Frame) any {
	if frame.Type == wire.TypeHandover {
		close(e.hold)
		<-ctx.Done()
	}
	return wire.Hello{VM: "far"}
}

// start connects a hub to the VM "far" behind handler until the returned function is called.
func start(t *testing.T, handler http.Handler) (hub *Hub, stop func()) {
	server := httptest.NewServer(handler)
	hub = NewHub(Config{Self: "near", Peers: []Peer{{ID: "far", Address: server.Listener.Addr().String()}}, Log: zerolog.Nop()}, echo{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { hub.Run(ctx); close(ended) }()
	stop = func() { cancel(); <-ended }
	t.Cleanup(func() { stop(); server.Close() })
	return hub, stop
}

// call calls far again while no connection to it exists yet.
func call(t *testing.T, hub *Hub, kind wire.Type, payload any) error {
	for {
		err := hub.Call(t.Context(), "far", kind, payload, new(wire.Hello))
		if !errors.Is(err, ErrNotSent) {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a hub that goes on reading, and a call that waits for ever,
// after the hub has been stopped.
func TestStopEndsConnectionsAndCalls(t *testing.T) {
	handler := echo{hold: make(chan struct{})}
	far := NewHub(Config{Self: "far", Peers: []Peer{{ID: "near"}}, Log: zerolog.Nop()}, handler)
	hub, stop := start(t, far)
	require.NoError(t, call(t, hub, wire.TypeStatus, wire.Hello{}))
	result := make(chan error, 1)
	go func() { result <- call(t, hub, wire.TypeHandover, wire.Hello{}) }()
	<-handler.hold
	stop()
	require.ErrorIs(t, <-result, ErrNoReply)
}

// Guards against a VM that stops to accept while its accepted connections stay
// open: the callers of the VM would wait for it until their deadlines.
func TestStopClosesAcceptedConnections(t *testing.T) {
	handler := echo{hold: make(chan struct{})}
	far := NewHub(Config{Self: "far", Peers: []Peer{{ID: "near"}}, Log: zerolog.Nop()}, handler)
	hub, _ := start(t, far)
	result := make(chan error, 1)
	go func() { result <- call(t, hub, wire.TypeHandover, wire.Hello{}) }()
	<-handler.hold
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	far.Run(ctx)
	require.ErrorIs(t, <-result, ErrNoReply)
}

// Guards against a peer that does not read and keeps the calls to it for ever.
func TestPeerThatDoesNotRead(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	hub, _ := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err == nil {
			<-done
			conn.CloseNow()
		}
	}))
	// Larger than the buffers of a loopback connection, so that a write blocks.
	large := wire.Config{Document: make([]byte, 1<<20)}
	for sent := 0; sent < 32; {
		if hub.Send("far", wire.TypeConfig, large) {
			sent++
			continue
		}
		time.Sleep(time.Millisecond)
	}
	require.ErrorIs(t, call(t, hub, wire.TypeStatus, wire.Hello{}), ErrNoReply)
}

// Guards against a planned stop that breaks connections while replies are on
// their way: the caller could not tell whether its request ran.
func TestDrainLosesNoReply(t *testing.T) {
	release := make(chan struct{})
	far := NewHub(Config{Self: "far", Peers: []Peer{{ID: "near"}}, Log: zerolog.Nop()}, slow{echo{}, release})
	hub, _ := start(t, far)
	require.NoError(t, call(t, hub, wire.TypeStatus, wire.Hello{}))
	const calls = 20
	results := make(chan error, calls)
	for range calls {
		go func() { results <- hub.Call(t.Context(), "far", wire.TypeForward, wire.Hello{}, new(wire.Hello)) }()
	}
	for range calls {
		release <- struct{}{} // each call runs
	}
	drained := make(chan error, 1)
	go func() { drained <- far.Drain(t.Context()) }()
	for { // until the peer has been told
		err := hub.Call(t.Context(), "far", wire.TypeStatus, wire.Hello{}, new(wire.Hello))
		if err != nil {
			require.ErrorIs(t, err, ErrNotSent)
			break
		}
	}
	select {
	case err := <-drained:
		require.Fail(t, "drained while calls run", "%v", err)
	default:
	}
	close(release)
	for range calls {
		require.NoError(t, <-results)
	}
	require.NoError(t, <-drained)
	for range 300 { // the peer dials again meanwhile
		require.ErrorIs(t, hub.Call(t.Context(), "far", wire.TypeStatus, wire.Hello{}, new(wire.Hello)), ErrNotSent)
		time.Sleep(time.Millisecond)
	}
}

// slow keeps a forward until release is closed.
type slow struct {
	echo
	release chan struct{}
}

func (s slow) HandleCall(ctx context.Context, from api.VMID, frame wire.Frame) any {
	if frame.Type == wire.TypeForward {
		<-s.release
		<-s.release
	}
	return s.echo.HandleCall(ctx, from, frame)
}

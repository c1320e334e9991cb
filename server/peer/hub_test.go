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
	"dandelionhill.dev/server/listen"
)

// echo replies to calls, but to a handover only after the caller has given up.
type echo struct{ received chan struct{} }

func (echo) HandleMessage(api.VMID, wire.Frame) {}

func (e echo) HandleCall(ctx context.Context, _ api.VMID, frame wire.Frame) any {
	if frame.Type == wire.TypeHandover {
		close(e.received)
		<-ctx.Done()
	}
	return wire.Hello{VM: "far"}
}

// start connects a hub to the VM "far" behind handler until the returned function is called.
func start(t *testing.T, handler http.Handler) (hub *Hub, stop func()) {
	return startWithin(t, handler, nil)
}

// startWithin is start with limits on the messages that the hub gets.
func startWithin(t *testing.T, handler http.Handler, dialled *listen.Messages) (hub *Hub, stop func()) {
	server := httptest.NewServer(handler)
	hub = NewHub(Config{Self: "near", Peers: []Peer{{ID: "far", Address: server.Listener.Addr().String()}}, Log: zerolog.Nop(), Dialled: dialled}, echo{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { hub.Run(ctx); close(ended) }()
	stop = func() { cancel(); <-ended }
	t.Cleanup(func() { stop(); server.Close() })
	return hub, stop
}

// call calls far, and retries while there is no connection to it.
func call(t *testing.T, hub *Hub, kind wire.Type, payload any) error {
	for {
		err := hub.Call(t.Context(), "far", kind, payload, new(wire.Hello))
		if !errors.Is(err, ErrNotSent) {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// TestStopEndsConnectionsAndCalls checks that no connection and no call outlives
// the hub.
func TestStopEndsConnectionsAndCalls(t *testing.T) {
	handler := echo{received: make(chan struct{})}
	far := NewHub(Config{Self: "far", Peers: []Peer{{ID: "near"}}, Log: zerolog.Nop()}, handler)
	hub, stop := start(t, far)
	require.NoError(t, call(t, hub, wire.TypeStatus, wire.Hello{}))
	result := make(chan error, 1)
	go func() { result <- call(t, hub, wire.TypeHandover, wire.Hello{}) }()
	<-handler.received
	stop()
	require.ErrorIs(t, <-result, ErrNoReply)
}

// TestStopClosesAcceptedConnections checks that a stopped hub closes the connections
// it accepted: callers would otherwise wait for it until their deadlines.
func TestStopClosesAcceptedConnections(t *testing.T) {
	handler := echo{received: make(chan struct{})}
	far := NewHub(Config{Self: "far", Peers: []Peer{{ID: "near"}}, Log: zerolog.Nop()}, handler)
	hub, _ := start(t, far)
	result := make(chan error, 1)
	go func() { result <- call(t, hub, wire.TypeHandover, wire.Hello{}) }()
	<-handler.received
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	far.Run(ctx)
	require.ErrorIs(t, <-result, ErrNoReply)
}

// TestPeerThatDoesNotRead checks that calls to a peer that does not read fail.
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

// TestDrainLosesNoReply checks that a planned stop breaks no connection before the
// replies have arrived: the caller could not tell whether its request ran.
func TestDrainLosesNoReply(t *testing.T) {
	forwards := slow{started: make(chan struct{}), release: make(chan struct{})}
	far := NewHub(Config{Self: "far", Peers: []Peer{{ID: "near"}}, Log: zerolog.Nop()}, forwards)
	hub, _ := start(t, far)
	require.NoError(t, call(t, hub, wire.TypeStatus, wire.Hello{}))
	const calls = 20
	results := make(chan error, calls)
	for range calls {
		go func() { results <- hub.Call(t.Context(), "far", wire.TypeForward, wire.Hello{}, new(wire.Hello)) }()
	}
	for range calls {
		<-forwards.started // each call is running
	}
	drained := make(chan error, 1)
	go func() { drained <- far.Drain(t.Context()) }()
	for { // until the peer has received the GoAway frame
		err := hub.Call(t.Context(), "far", wire.TypeStatus, wire.Hello{}, new(wire.Hello))
		if err != nil {
			require.ErrorIs(t, err, ErrNotSent)
			break
		}
	}
	select {
	case err := <-drained:
		require.Fail(t, "drained while calls are running", "%v", err)
	default:
	}
	close(forwards.release)
	for range calls {
		require.NoError(t, <-results)
	}
	require.NoError(t, <-drained)
	for range 300 { // the peer redials meanwhile
		require.ErrorIs(t, hub.Call(t.Context(), "far", wire.TypeStatus, wire.Hello{}, new(wire.Hello)), ErrNotSent)
		time.Sleep(time.Millisecond)
	}
}

// slow reports the start of a forward and delays its reply until release is closed.
type slow struct {
	echo
	started, release chan struct{}
}

func (s slow) HandleCall(ctx context.Context, from api.VMID, frame wire.Frame) any {
	if frame.Type == wire.TypeForward {
		s.started <- struct{}{}
		<-s.release
	}
	return s.echo.HandleCall(ctx, from, frame)
}

package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
)

// noFrames is a Handler that expects nothing.
type noFrames struct{}

func (noFrames) Message(api.VMID, wire.Frame) {}

func (noFrames) Call(context.Context, api.VMID, wire.Frame) any { return struct{}{} }

// deafPeer accepts connections, reads the greeting and then nothing more.
func deafPeer(t *testing.T) (address string, accepted <-chan struct{}) {
	connections := make(chan struct{}, 64)
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		if _, _, err := conn.Read(r.Context()); err != nil {
			return
		}
		connections <- struct{}{}
		<-done
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(done) })
	return server.Listener.Addr().String(), connections
}

// fill queues more than the buffers of a connection hold.
func fill(t *testing.T, hub *Hub) {
	payload := wire.Config{Document: make([]byte, 1<<20)}
	for range 64 {
		require.True(t, hub.Send("deaf", wire.TypeConfig, payload))
	}
}

func await(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(time.Minute):
		require.Fail(t, what)
	}
}

// Guards against a write to a peer that does not read which hangs forever: the
// hub must give up the connection and dial again, and must end with its context
// whether a write is blocked or nothing is sent.
func TestPeerThatDoesNotReadIsGivenUp(t *testing.T) {
	for name, blocked := range map[string]bool{"blocked": true, "idle": false} {
		t.Run(name, func(t *testing.T) {
			address, accepted := deafPeer(t)
			hub := NewHub(Config{Self: "self", Peers: []Peer{{ID: "deaf", Address: address}}, Log: zerolog.Nop()}, noFrames{})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := make(chan struct{})
			go func() {
				hub.Run(ctx)
				close(ended)
			}()
			connected := func() {
				await(t, "the hub does not connect", accepted)
				for !hub.Send("deaf", wire.TypeConfig, wire.Config{}) {
					time.Sleep(time.Millisecond) // the greeting arrives before the link is ready
				}
			}
			connected()
			if blocked {
				fill(t, hub)
				connected()
				fill(t, hub)
			}
			cancel()
			await(t, "the hub does not end", ended)
		})
	}
}

// Guards against an accepted connection that outlives the hub: its peer would go
// on sending to a hub that no longer acts.
func TestAcceptedConnectionsEndWithTheHub(t *testing.T) {
	hub := NewHub(Config{Self: "self", Peers: []Peer{{ID: "other", Address: "127.0.0.1:1"}}, Log: zerolog.Nop()}, noFrames{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go hub.Run(ctx)
	server := httptest.NewServer(hub)
	defer server.Close()
	limit, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	conn, _, err := websocket.Dial(limit, "ws://"+server.Listener.Addr().String()+Path, nil)
	require.NoError(t, err)
	defer conn.CloseNow()
	hello, err := wire.Encode(wire.TypeHello, 0, wire.Hello{VM: "other"})
	require.NoError(t, err)
	require.NoError(t, conn.Write(limit, websocket.MessageBinary, hello))
	call, err := wire.Encode(wire.TypeStatus, 7, struct{}{})
	require.NoError(t, err)
	require.NoError(t, conn.Write(limit, websocket.MessageBinary, call))
	_, _, err = conn.Read(limit)
	require.NoError(t, err, "the hub serves the connection")
	cancel()
	_, _, err = conn.Read(limit)
	require.Error(t, err)
	require.NoError(t, limit.Err(), "the connection stays open")
}

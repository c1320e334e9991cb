package capacity

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/platform/upstreamhttp"
	"dandelionhill.dev/server/peer"
)

func connectionMeasurements() []Measurement {
	return []Measurement{
		{"mem_peer_connection", "B per peer", "peer.Hub: one dialled and one accepted connection, heap and stacks", smallSizes, peerConnections},
		{"mem_http_connection", "B per connection", "one idle connection of upstreamhttp.Client, both ends, heap and stacks", smallSizes, httpConnections},
		{"b_frame", "B per frame", "WebSocket framing of a heartbeat on the socket, over its encoding", []int{10, 100, 1000, 10_000}, frameOverhead},
		{"ns_grant_call", "ns per call", "processor time of a grant over HTTP, paced, both ends", []int{30, 100, 300, 1000, 3000}, grantCalls},
		{"ns_frame", "ns per frame", "processor time of a heartbeat over peer.Hub, paced, both ends, without membership", []int{30, 100, 300, 1000, 3000}, frames},
	}
}

// notifyingHandler is a peer.Handler that signals each message on received.
type notifyingHandler struct{ received chan struct{} }

// HandleMessage implements peer.Handler.
func (s notifyingHandler) HandleMessage(api.VMID, wire.Frame) { s.received <- struct{}{} }

// HandleCall implements peer.Handler.
func (s notifyingHandler) HandleCall(context.Context, api.VMID, wire.Frame) any { return wire.Reply{} }

// connectTimeout bounds the wait for connections on loopback.
const connectTimeout = 30 * time.Second

// connect dials n peers, all at one address, and waits until all connections
// carry frames. The caller must call the function returned.
func connect(n int) (hub *peer.Hub, sent *countingListener, received chan struct{}, stop func(), err error) {
	handler := notifyingHandler{make(chan struct{}, 1<<12)}
	acceptor := peer.NewHub(peer.Config{Self: "other", Peers: []peer.Peer{{ID: "self"}}, Log: zerolog.Nop()}, handler)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, acceptor)
	server, l := serve(mux)
	peers := make([]peer.Peer, n)
	for i := range peers {
		peers[i] = peer.Peer{ID: vmID(i), Address: server.Listener.Addr().String()}
	}
	hub = peer.NewHub(peer.Config{Self: "self", Incarnation: "0000abcd", Peers: peers, Log: zerolog.Nop()}, handler)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { hub.Run(ctx); close(done) }()
	stop = func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	}
	deadline := time.Now().Add(connectTimeout)
	for i := range peers {
		for !hub.Send(vmID(i), wire.TypeHeartbeat, wire.Heartbeat{}) {
			if time.Now().After(deadline) {
				stop()
				return nil, nil, nil, nil, fmt.Errorf("peer %d of %d is not connected", i, n)
			}
			time.Sleep(time.Millisecond)
		}
	}
	for range peers {
		<-handler.received
	}
	return hub, l, handler.received, stop, nil
}

func peerConnections(n int) (float64, error) {
	return memoryOf(func() (any, func(), error) {
		hub, _, _, stop, err := connect(n)
		return hub, stop, err
	})
}

// frameOverhead returns the bytes of n heartbeats on the socket beyond their
// encoding.
func frameOverhead(n int) (float64, error) {
	hub, l, received, stop, err := connect(1)
	if err != nil {
		return 0, err
	}
	defer stop()
	hb := heartbeat(100, 1)
	size := len(encode(wire.TypeHeartbeat, hb))
	before := l.read.Load()
	for range n {
		for !hub.Send(vmID(0), wire.TypeHeartbeat, hb) {
			time.Sleep(time.Millisecond)
		}
		<-received
	}
	return float64(l.read.Load()-before) - float64(n*size), nil
}

// httpConnections returns the memory of n clients with one connection each.
func httpConnections(n int) (float64, error) {
	return memoryOf(func() (any, func(), error) {
		server, _ := serve(grantServer())
		clients := make([]*upstreamhttp.Client, n)
		for i := range clients {
			clients[i] = upstreamhttp.New(server.Listener.Addr().String(), 1, 1<<20)
			if _, err := clients[i].Grant(context.Background(), newGrant(3)); err != nil {
				server.Close()
				return nil, nil, err
			}
		}
		return clients, func() {
			for _, c := range clients {
				c.Close()
			}
			server.Close()
		}, nil
	})
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// warmupCalls is the number of calls before the measured ones.
const warmupCalls = 100

// pacedWindow is the time over which calls are spread. Control traffic consists
// of single calls, each of which wakes the processes; a loop without pauses would
// not measure that cost.
const pacedWindow = 2 * time.Second

// pacedProcessorTime returns the processor time of n calls of do spread over
// pacedWindow, in nanoseconds.
func pacedProcessorTime(n int, do func() error) (float64, error) {
	for range warmupCalls {
		if err := do(); err != nil {
			return 0, err
		}
	}
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	for i := range n {
		if err := do(); err != nil {
			return 0, err
		}
		time.Sleep(time.Until(began.Add(pacedWindow * time.Duration(i+1) / time.Duration(n))))
	}
	after, err := processorTime()
	return float64((after - before).Nanoseconds()), err
}

// grantCalls returns the processor time of n renewals of grants.
func grantCalls(n int) (float64, error) {
	server, _ := serve(grantServer())
	defer server.Close()
	client := upstreamhttp.New(server.Listener.Addr().String(), 1, 1<<20)
	defer client.Close()
	return pacedProcessorTime(n, func() error {
		_, err := client.Grant(context.Background(), renewalGrant)
		return err
	})
}

// frames returns the processor time of n heartbeats that list 11 peers.
func frames(n int) (float64, error) {
	hub, _, received, stop, err := connect(1)
	if err != nil {
		return 0, err
	}
	defer stop()
	hb := heartbeat(vmsToday-1, 1)
	return pacedProcessorTime(n, func() error {
		if !hub.Send(vmID(0), wire.TypeHeartbeat, hb) {
			return errNotQueued
		}
		<-received
		return nil
	})
}

var errNotQueued = errors.New("a frame was not queued")

package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// upstreamUnderTest is a gated upstream whose requests run until they are told to end.
type upstreamUnderTest struct {
	url    string
	events chan Event
	end    chan struct{}
}

func startGated(t *testing.T) *upstreamUnderTest {
	t.Helper()
	u := NewUpstream("u", "keyed", "a")
	s := &upstreamUnderTest{events: make(chan Event, 20), end: make(chan struct{})}
	u.SetObserver(func(e Event) { s.events <- e })
	u.SetHandler(func(http.ResponseWriter, *http.Request) { <-s.end })
	u.SetSlowClock(0.02)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: u, ConnContext: ConnContext}
	gated := u.GateConnections(listener)
	go func() { _ = server.Serve(gated) }() // until the test ends
	t.Cleanup(func() { server.Close() })
	s.url = "http://" + listener.Addr().String()
	return s
}

// post sends a call or a request on a connection of its own, and returns a channel for the status.
func (s *upstreamUnderTest) post(path, body string, key int) <-chan int {
	done := make(chan int, 1)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.url+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Close = true
	req.Header.Set(fleet.HeaderRequestID, fmt.Sprint("r", key))
	if key >= 0 {
		req.Header.Set(fleet.HeaderKey, fmt.Sprint(key))
	}
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			done <- 0
			return
		}
		resp.Body.Close()
		done <- resp.StatusCode
	}()
	return done
}

// TestCallOnNewConnectionWaitsForSlot guards against an upstream that takes a call on a new
// connection while all its slots are in use.
func TestCallOnNewConnectionWaitsForSlot(t *testing.T) {
	s := startGated(t)
	require.Equal(t, 200, <-s.post("/api/grant", `{"From":0,"Target":9,"fence":1,"HoldS":100}`, -1))
	granted := <-s.events
	require.Equal(t, int64(1), granted.Fence)
	require.InDelta(t, 102, granted.HoldSeconds, 1e-9)
	require.NotEmpty(t, granted.Sender)
	first := s.post("/a", "", 1)
	require.Equal(t, EventRun, (<-s.events).Kind)
	second := s.post("/b", "", 2)
	require.Equal(t, EventRun, (<-s.events).Kind)
	call := s.post("/api/grant", `{"From":0,"Target":9,"fence":2,"HoldS":1}`, -1)
	s.end <- struct{}{}
	require.Equal(t, EventRunEnded, (<-s.events).Kind, "the grant was taken before a slot was free")
	late := <-s.events
	require.Equal(t, int64(2), late.Fence)
	require.Positive(t, late.WaitedSeconds)
	require.Equal(t, 200, <-call)
	s.end <- struct{}{}
	require.Equal(t, EventRunEnded, (<-s.events).Kind)
	require.Equal(t, 200, <-first)
	require.Equal(t, 200, <-second)
}

// TestReleaseWaitsForWork guards against a release that is answered while requests still run on
// its keys.
func TestReleaseWaitsForWork(t *testing.T) {
	s := startGated(t)
	require.Equal(t, 200, <-s.post("/api/grant", `{"From":0,"Target":9,"fence":1,"HoldS":100}`, -1))
	require.Equal(t, EventHeld, (<-s.events).Kind)
	request := s.post("/a", "", 1)
	require.Equal(t, EventRun, (<-s.events).Kind)
	require.Equal(t, 200, <-s.post("/api/release", `{"From":2,"Target":9,"fence":1}`, -1), "no request runs on these keys")
	require.Equal(t, EventReleased, (<-s.events).Kind)
	release := s.post("/api/release", `{"From":0,"Target":1,"fence":1}`, -1)
	require.Equal(t, EventReleased, (<-s.events).Kind)
	select {
	case <-release:
		t.Fatal("the release was answered before the request had ended")
	default:
	}
	s.end <- struct{}{}
	require.Equal(t, EventRunEnded, (<-s.events).Kind)
	require.Equal(t, 200, <-release)
	require.Equal(t, 200, <-request)
}

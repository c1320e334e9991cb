package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestStopWhileReading guards against a stop that cuts a connection from which a
// request is just being read: its caller got no answer though it was sent on.
func TestStopWhileReading(t *testing.T) {
	w := newWorld(t)
	w.addUpstream("p1", "plain")
	g := w.startVM("vm-a")
	w.served(g, plainPath, -1)

	conn, err := net.Dial("tcp", g.settings.Listen.Callers)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(settleTime)))
	reader := bufio.NewReader(conn)
	ask := func(from, to int) {
		request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", plainPath, testHost)
		_, err := conn.Write([]byte(request[from:min(to, len(request))]))
		require.NoError(t, err)
	}
	ask(0, 1000)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)

	ask(0, 10)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		g.Stop()
	}()
	w.eventually(g.draining.Load, "the VM stops")
	time.Sleep(100 * time.Millisecond) // what the stop closes at once is closed by now
	ask(10, 1000)
	resp, err = http.ReadResponse(reader, nil)
	require.NoError(t, err, "the request is answered")
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close, "the connection ends with the answer")
	<-stopped
}

// TestRequestAtTheEnd guards against a request that is sent on by a process that
// ends before the answer.
func TestRequestAtTheEnd(t *testing.T) {
	w := newWorld(t)
	upstream := w.addUpstream("p1", "plain")
	g := w.startVM("vm-a")
	w.served(g, plainPath, -1)
	g.drained.Store(true)
	runs := len(upstream.Runs())
	resp, body := w.do(g, http.MethodPost, plainPath, -1, time.Second)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, string(api.NotRun))
	require.Len(t, upstream.Runs(), runs)
}

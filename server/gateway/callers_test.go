package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/routing"
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
	w.eventually(func() bool { return inUse(&g.conns) == 1 }, "the beginning of the request is read")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		g.Stop()
	}()
	w.eventually(func() bool { return g.draining.Load() && g.conns.closeIdle() == 1 }, "the idle connections are closed")
	ask(10, 1000)
	resp, err = http.ReadResponse(reader, nil)
	require.NoError(t, err, "the request is answered")
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close, "the connection ends with the answer")
	<-stopped
}

// inUse returns the number of connections from which a request has begun to come.
func inUse(set *callerConns) (n int) {
	set.mu.Lock()
	defer set.mu.Unlock()
	for c := range set.open {
		c.mu.Lock()
		if c.used {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// TestStopWithIdleCallers guards against a stop that leaves connections open on
// which requests go on coming until the process ends and cuts them.
func TestStopWithIdleCallers(t *testing.T) {
	w := newWorld(t)
	w.addUpstream("p1", "plain")
	g := w.startVM("vm-a")
	w.served(g, plainPath, -1)
	idle, err := net.Dial("tcp", g.settings.Listen.Callers)
	require.NoError(t, err)
	defer idle.Close()
	w.served(g, plainPath, -1)
	require.NoError(t, idle.SetDeadline(time.Now().Add(settleTime)))
	g.Stop()
	require.Zero(t, g.conns.closeIdle())
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// acceptCaller returns an accepted connection with its set, and the caller's end.
func acceptCaller(t *testing.T) (*callerConns, *callerConn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	set := &callerConns{}
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { caller.Close() })
	accepted, err := callerListener{Listener: listener, set: set}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	return set, accepted.(*callerConn), caller
}

// TestClosedConnectionReadsNothing guards against a request that is taken from a
// connection which was closed as idle at the same moment.
func TestClosedConnectionReadsNothing(t *testing.T) {
	set, conn, caller := acceptCaller(t)
	_, err := caller.Write([]byte("GET"))
	require.NoError(t, err)
	buffer := make([]byte, 2)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, 2, n)
	require.Equal(t, 1, set.closeIdle(), "a request has begun")
	set.changed(conn, http.StateIdle)
	require.Zero(t, set.closeIdle())
	_, err = conn.Read(buffer)
	require.ErrorIs(t, err, errIdleClosed)
}

// TestCallerLimits guards against connections that stay open beyond the limits of
// the configuration, and against the end of one that keeps them.
func TestCallerLimits(t *testing.T) {
	limits := routing.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	for name, c := range map[string]struct {
		used, active bool
		age          time.Duration
		left         int
	}{
		"idle":                 {age: 15 * time.Second, left: 1},
		"idle for too long":    {age: 16 * time.Second},
		"a header that comes":  {used: true, age: 3 * time.Second, left: 1},
		"a header that stalls": {used: true, age: 4 * time.Second},
		"a request under way":  {used: true, active: true, age: time.Minute, left: 1},
	} {
		t.Run(name, func(t *testing.T) {
			set, conn, _ := acceptCaller(t)
			conn.used, conn.active = c.used, c.active
			set.limit(conn.since.Add(c.age), limits)
			require.Len(t, set.all(), c.left)
		})
	}
}

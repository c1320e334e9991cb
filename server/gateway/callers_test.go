package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/config/strict"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
)

// TestStopWhileReading guards against a stop that closes a connection from which a
// request is being read: the request was forwarded and its response lost.
func TestStopWhileReading(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)

	conn, err := net.Dial("tcp", g.settings.Listen.Callers)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	reader := bufio.NewReader(conn)
	sendPart := func(from, to int) {
		request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", plainPath, testHost)
		_, err := conn.Write([]byte(request[from:min(to, len(request))]))
		require.NoError(t, err)
	}
	sendPart(0, 1000)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)

	sendPart(0, 10)
	d.eventually(func() bool { return countInRequest(&g.conns) == 1 }, "the first bytes of the request are read")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		g.Stop()
	}()
	d.eventually(func() bool { return g.draining.Load() && g.conns.closeIdle() == 1 }, "the idle connections are closed")
	sendPart(10, 1000)
	resp, err = http.ReadResponse(reader, nil)
	require.NoError(t, err, "the request gets a response")
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close, "the connection closes after the response")
	<-stopped
}

// countInRequest returns the number of connections on which a request has begun to arrive.
func countInRequest(conns *callerConns) (n int) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	for c := range conns.open {
		c.mu.Lock()
		if c.inRequest {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// TestStopWithIdleCallers guards against a stop that leaves connections open: requests
// kept arriving on them, and the end of the process interrupted them.
func TestStopWithIdleCallers(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	idle, err := net.Dial("tcp", g.settings.Listen.Callers)
	require.NoError(t, err)
	defer idle.Close()
	d.requireServed(g, plainPath, -1)
	require.NoError(t, idle.SetDeadline(time.Now().Add(waitTimeout)))
	g.Stop()
	require.Zero(t, g.conns.closeIdle())
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// acceptCaller returns an accepted connection with its callerConns, and the caller's end.
func acceptCaller(t *testing.T) (*callerConns, *callerConn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conns := &callerConns{}
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { caller.Close() })
	accepted, err := callerListener{Listener: listener, conns: conns}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	return conns, accepted.(*callerConn), caller
}

// TestClosedConnectionReadsNothing guards against a request that is read from a
// connection that is being closed as idle.
func TestClosedConnectionReadsNothing(t *testing.T) {
	conns, conn, caller := acceptCaller(t)
	_, err := caller.Write([]byte("GE"))
	require.NoError(t, err)
	buffer := make([]byte, 2)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, 2, n)
	require.Equal(t, 1, conns.closeIdle(), "a request has begun")
	conns.connState(conn, http.StateIdle)
	require.Zero(t, conns.closeIdle())
	_, err = conn.Read(buffer)
	require.ErrorIs(t, err, errIdleClosed)
}

// TestCallerLimits guards against connections that stay open beyond the limits of the
// configuration, and against closing those within them.
func TestCallerLimits(t *testing.T) {
	limits := routing.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	for name, c := range map[string]struct {
		inRequest, headerRead bool
		age                   time.Duration
		open                  int
	}{
		"idle":                {age: 15 * time.Second, open: 1},
		"idle for too long":   {age: 16 * time.Second},
		"a header in time":    {inRequest: true, age: 3 * time.Second, open: 1},
		"a slow header":       {inRequest: true, age: 4 * time.Second},
		"a request in flight": {inRequest: true, headerRead: true, age: time.Minute, open: 1},
	} {
		t.Run(name, func(t *testing.T) {
			conns, conn, _ := acceptCaller(t)
			conn.inRequest, conn.headerRead = c.inRequest, c.headerRead
			conns.enforce(conn.since.Add(c.age), limits)
			require.Len(t, conns.all(), c.open)
		})
	}
}

// TestStopAfterAccept guards against a stop that closes a connection that was just accepted,
// or whose request has arrived but was not read: the caller gets no answer.
func TestStopAfterAccept(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", g.settings.Listen.Callers)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
		d.eventually(func() bool {
			return slices.ContainsFunc(g.conns.all(), func(c *callerConn) bool {
				return c.RemoteAddr().String() == conn.LocalAddr().String()
			})
		}, "the connection is accepted")
		return conn
	}
	request := func(conn net.Conn) *http.Response {
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", plainPath, testHost)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "the request gets a response")
		require.NoError(t, resp.Body.Close())
		require.True(t, resp.Close, "the connection closes after the response")
		return resp
	}
	accepted := dial()
	g.draining.Store(true)
	g.conns.closeIdle()
	require.Equal(t, http.StatusOK, request(accepted).StatusCode)

	late := dial()
	g.handler.stopping.Store(true)
	resp := request(late)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// TestUnreadRequestKeepsConnection guards against closing a connection as idle while the
// bytes of a request wait to be read.
func TestUnreadRequestKeepsConnection(t *testing.T) {
	conns, conn, caller := acceptCaller(t)
	conn.used = true
	_, err := caller.Write([]byte("GET"))
	require.NoError(t, err)
	require.Eventually(t, conn.hasUnread, waitTimeout, time.Millisecond)
	require.Equal(t, 1, conns.closeIdle())
	_, err = conn.Read(make([]byte, 3))
	require.NoError(t, err)
	conns.connState(conn, http.StateIdle)
	require.Zero(t, conns.closeIdle())
}

// TestStopRefusesWaitingRequests guards against a planned stop that passes requests on when they
// cannot end any more, and cuts them, or that cuts requests that still wait (LOST).
func TestStopRefusesWaitingRequests(t *testing.T) {
	// The requests are refused when less than latencyReserve times this is left of the grace: a
	// second after the stop began, 28 s before the process ends.
	const grace, latency = 30 * time.Second, 18500 * time.Millisecond
	d := newDeployment(t)
	d.timeoutS = 120
	d.configure(2, "keyed")
	fake := d.addUpstream("k1", "keyed")
	g := d.startVMWith("vm-a", d.storeAddr, func(g *Gateway) { g.bounds.TerminationGrace = strict.Duration(grace) })
	d.requireServed(g, keyedPath, 1)
	d.eventually(func() bool { return g.control.view().config.Version == 2 }, "the configuration is known")
	g.handler.stats.mu.Lock()
	g.handler.stats.routeLatency["k"] = latency.Seconds()
	g.handler.stats.mu.Unlock()
	u := g.control.view().upstreams["k1"]
	held, released := make(chan struct{}, 100), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	fake.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		held <- struct{}{}
		<-released
		w.Header().Set(fleet.HeaderSignature, "seal")
	})
	statuses := make(chan int, 100)
	const requests = 60
	for n := range requests {
		go func() {
			statuses <- d.send(g, strconv.Itoa(n), keyedPath, 1, 2*time.Minute).StatusCode
		}()
	}
	limit := int(u.limit.Load())
	for range limit {
		receiveWithin(t, held, "requests fill the upstream")
	}
	d.eventually(func() bool { return u.limiter.load() == requests }, "the others wait")
	stopped := make(chan struct{})
	go func() {
		g.Stop()
		close(stopped)
	}()
	for range requests - limit {
		select {
		case status := <-statuses:
			require.Equal(t, http.StatusServiceUnavailable, status)
		case <-stopped:
			require.Fail(t, "requests that wait are cut")
		}
	}
	require.Empty(t, held, "no request is sent when it cannot end any more")
	release()
	for range limit {
		require.Equal(t, http.StatusOK, <-statuses, "a request that is at the upstream ends")
	}
	receiveWithin(t, stopped, "the VM stops")
}

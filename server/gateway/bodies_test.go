package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// halfSent opens a connection and sends a request without the last byte of its body.
func (d *deployment) halfSent(g *Gateway, id string) net.Conn {
	conn, err := net.Dial("tcp", g.settings.Listen.Callers)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { conn.Close() })
	require.NoError(d.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 5\r\n\r\nbody", plainPath, testHost, fleet.HeaderRequestID, id)
	require.NoError(d.t, err)
	return conn
}

// TestGivenUpBodiesHaveNotRun guards against 408 or 503 for a request whose body was given up in the
// moment in which its end arrived, and which runs.
func TestGivenUpBodiesHaveNotRun(t *testing.T) {
	const callers = 40
	d := newDeployment(t)
	d.allowSlowRequests()
	u := d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	callersGuard := g.guards[len(g.guards)-1]
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i] = d.halfSent(g, fmt.Sprint("half-", i))
	}
	// Bodies are slow after a second.
	given := int64(0)
	d.eventually(func() bool { given += callersGuard.ReclaimBodies(1); return given > 0 }, "a slow body is given up")
	var sending sync.WaitGroup
	for i, conn := range conns {
		sending.Add(1)
		go func() {
			defer sending.Done()
			if i%2 == 0 {
				callersGuard.ReclaimBodies(1)
			}
			io.WriteString(conn, "s") //nolint:errcheck // it may have been given up
		}()
	}
	sending.Wait()
	ran := make(map[string]int)
	statuses := make(map[int]int)
	for i, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		statuses[resp.StatusCode]++
		want := 0
		if resp.StatusCode == http.StatusOK {
			want = 1
		} else {
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		}
		ran[fmt.Sprint("half-", i)] = want
	}
	require.Positive(t, statuses[http.StatusServiceUnavailable])
	runs := make(map[string]int)
	for _, run := range u.Runs() {
		runs[run.RequestID]++
	}
	for id, want := range ran {
		require.Equal(t, want, runs[id], id)
	}
}

// TestStalledBodyHasNotRun guards against a body that stays open without its end, and against a run
// after 408.
func TestStalledBodyHasNotRun(t *testing.T) {
	d := newDeployment(t)
	d.allowSlowRequests()
	u := d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	conn := d.halfSent(g, "stalled")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil) // below the minimum rate for 5 s
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	io.WriteString(conn, "s") //nolint:errcheck // the connection is closed
	d.requireServed(g, plainPath, -1)
	for _, run := range u.Runs() {
		require.NotEqual(t, "stalled", run.RequestID)
	}
}

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
)

// sendPart connects to a VM, sends the bytes of a request and ends the caller's side of the
// connection once ready has returned. It returns what the VM sends until it ends the other side.
func (d *deployment) sendPart(g *Gateway, request string, ready func()) string {
	conn, err := net.Dial("tcp", g.settings.Listen.Callers)
	require.NoError(d.t, err)
	defer conn.Close()
	require.NoError(d.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(conn, request)
	require.NoError(d.t, err)
	ready()
	require.NoError(d.t, conn.(*net.TCPConn).CloseWrite())
	data, err := io.ReadAll(conn)
	require.NoError(d.t, err)
	return string(data)
}

// TestCallerThatEndsItsSide guards against an empty 200 for a caller that ends its side of the
// connection while an upstream runs its request (MIXED).
func TestCallerThatEndsItsSide(t *testing.T) {
	d := newCutDeployment(t, 2)
	i := other(d.granter())
	held, cancelled, _ := d.hold()
	request := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 4\r\n\r\nbody", plainPath, testHost)
	running := func() { receiveWithin(t, held, "the upstream gets the request") }
	require.Empty(t, d.sendPart(d.vms[i], request, running))
	receiveWithin(t, cancelled, "the upstream learns that the caller has left")
	require.Empty(t, d.sendPart(d.isolate(i), request, running), "at an isolated VM")
}

// TestBodyThatEndsEarly guards against an empty 200 for a body that is cut off or malformed.
func TestBodyThatEndsEarly(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	head := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: %s\r\n", plainPath, testHost)
	for _, body := range []string{"Content-Length: 40\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"} {
		require.Empty(t, d.sendPart(g, head+body, func() {}))
	}

	conn, err := net.Dial("tcp", g.settings.Listen.Callers)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\nno chunk\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.True(t, resp.Close)
}

// TestMessageWithoutOutcome guards against a success for a caller of an isolated VM when the VM
// that sent its request returns neither a response nor a refusal.
func TestMessageWithoutOutcome(t *testing.T) {
	for name, resp := range map[string]proxyResponse{
		"nothing":              {},
		"a provisional status": {Status: http.StatusContinue},
		"no status":            {Status: 1000},
		"a refusal as success": {Reason: busy, FailureStatus: http.StatusOK},
		"the caller has left":  {Reason: callerLeft, FailureStatus: http.StatusBadGateway},
	} {
		require.False(t, resp.valid(), name)
	}
	require.True(t, (&proxyResponse{Status: http.StatusOK}).valid())
	require.True(t, (&proxyResponse{Reason: busy, FailureStatus: http.StatusServiceUnavailable}).valid())
}

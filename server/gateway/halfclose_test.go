package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// TestHalfClosedCallerHasLeft guards against work that goes on for a caller which has closed its
// connection (GONE): a VM sees the same of one that has closed its sending half only. That caller gets
// no response, and in particular none that says whether its request has run.
func TestHalfClosedCallerHasLeft(t *testing.T) {
	d := newDeployment(t)
	d.allowSlowRequests()
	fake := d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	held, cancelled := make(chan struct{}, 10), make(chan struct{}, 10)
	fake.SetHandler(func(_ http.ResponseWriter, r *http.Request) {
		held <- struct{}{}
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	conn, err := net.Dial("tcp", g.settings.Listen.Callers)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: half\r\n\r\n", plainPath, testHost, fleet.HeaderRequestID)
	require.NoError(t, err)
	receiveWithin(t, held, "the upstream gets the request")
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	receiveWithin(t, cancelled, "the upstream learns that the caller has left")
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Empty(t, response)
	require.Empty(t, held, "it is not sent again")
}

package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

// TestHeaderLimit guards against a header beyond the limit of the configuration that is served, one
// within it that is refused, and a limit that was in force before the head was complete.
func TestHeaderLimit(t *testing.T) {
	const limit, raised = 16384, 20000
	d := newDeployment(t)
	u := d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	// head returns a head whose names and values have some bytes, in lines of 1,000.
	head := func(size int) string {
		size -= len("Host") + len(testHost)
		var lines strings.Builder
		for ; size > 0; size -= 1000 {
			fmt.Fprintf(&lines, "Filler: %s\r\n", strings.Repeat("a", max(min(size, 1000)-len("Filler"), 0)))
		}
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", plainPath, testHost, lines.String())
	}
	send := func(text string, meanwhile func()) int {
		conn, err := net.Dial("tcp", g.settings.Listen.Callers)
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
		_, err = io.WriteString(conn, text[:len(text)-2])
		require.NoError(t, err)
		meanwhile()
		_, err = io.WriteString(conn, text[len(text)-2:])
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	nothing := func() {}
	require.Equal(t, http.StatusOK, send(head(limit), nothing))
	runs := len(u.Runs())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, send(head(limit+1), nothing))
	require.Len(t, u.Runs(), runs, "a refused request has not run")
	require.InDelta(t, 1, testutil.ToFloat64(g.metrics.refusals.WithLabelValues("", string(headTooLarge))), 0)
	require.Equal(t, http.StatusOK, send(head(raised), func() {
		d.store.Put("op", "config", bytes.Replace(d.configuration(2, "keyed"), []byte(fmt.Sprint(limit)), []byte(fmt.Sprint(raised)), 1))
		d.eventually(func() bool { return g.control.view().config.Limits.HeaderBytes == raised }, "the new limit is in force")
	}))
}

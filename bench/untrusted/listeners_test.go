package untrusted

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/gateway"
)

// everyTarget is each path that a VM answers, at each of its listeners.
var everyTarget = []target{
	atRoute, atNoRoute, atReadiness, atMetrics, atPeers, atGranter, atProxy,
	{"workspaces", func(v *vm) string { return v.peers }, gateway.WorkspacesPath},
	{"no path of other VMs", func(v *vm) string { return v.peers }, "/nowhere"},
	{"no path of the health listener", func(v *vm) string { return v.health }, "/nowhere"},
}

// TestHalfSentBodies guards against bodies that stay open halfway, at any path: one process lives
// through those at all paths.
func TestHalfSentBodies(t *testing.T) {
	v := startVM(t)
	for _, at := range everyTarget {
		f := flood{
			clients: 100,
			send: func(_ context.Context, c *client) error {
				_, err := c.Write(append(c.head("POST", "Content-Length: 20000"), make([]byte, 10000)...))
				return err
			},
		}
		t.Run(at.name, func(t *testing.T) { f.check(t, v, at, memoryMB) })
	}
}

// TestManyFieldsAtOtherVMs guards against parsed heads that use many times their bytes, at the
// listener for other VMs.
func TestManyFieldsAtOtherVMs(t *testing.T) {
	for _, at := range []target{atPeers, atGranter, atProxy} {
		f := flood{
			clients: 180,
			send: func(_ context.Context, c *client) error {
				_, err := c.Write(c.head("POST", append(shortFields(), "Content-Length: 10")...))
				return err
			},
		}
		t.Run(at.name, func(t *testing.T) { f.check(t, startVM(t), at, memoryMB) })
	}
}

// kept is a connection that is used again after a flood.
type kept struct {
	net.Conn
	reader *bufio.Reader
	path   string
}

func (k *kept) use(t *testing.T) {
	t.Helper()
	require.NoError(t, k.SetDeadline(time.Now().Add(requestTimeout)))
	_, err := fmt.Fprintf(k, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: kept\r\n\r\n", k.path, host, fleet.HeaderRequestID)
	require.NoError(t, err)
	resp, err := http.ReadResponse(k.reader, nil)
	require.NoError(t, err)
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// TestCrowdAtOneListener guards against a crowd at one listener that closes connections of another.
func TestCrowdAtOneListener(t *testing.T) {
	crowd := flood{clients: 400, send: func(_ context.Context, c *client) error {
		_, err := c.Write([]byte("GET /"))
		return err
	}}
	for _, at := range everyListener {
		t.Run(at.name, func(t *testing.T) {
			v := startVM(t)
			var others []*kept
			for _, other := range everyListener {
				if other.name == at.name {
					continue
				}
				conn, err := net.Dial("tcp", other.address(v))
				require.NoError(t, err)
				t.Cleanup(func() { conn.Close() })
				k := &kept{conn, bufio.NewReader(conn), other.path}
				k.use(t)
				others = append(others, k)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			crowd.begin(ctx, t, at.address(v), at.path)
			time.Sleep(holdTime)
			for _, k := range others {
				k.use(t)
			}
			require.True(t, v.alive())
		})
	}
}

package soak

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProxyPassesEnds guards against a proxy that turns a reset into an orderly end, from which a
// VM would conclude that the process at the other end has ended.
func TestProxyPassesEnds(t *testing.T) {
	for _, reset := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		p, err := newProxy("127.0.0.1:0", listener.Addr().String(), nil, nil)
		require.NoError(t, err)
		defer p.close()
		conn, err := net.Dial("tcp", p.address())
		require.NoError(t, err)
		defer conn.Close()
		server, err := listener.Accept()
		require.NoError(t, err)
		if reset {
			require.NoError(t, server.(*net.TCPConn).SetLinger(0))
		}
		require.NoError(t, server.Close())
		_, err = conn.Read(make([]byte, 1))
		if reset {
			require.ErrorIs(t, err, syscall.ECONNRESET)
		} else {
			require.ErrorIs(t, err, io.EOF)
		}
	}
}

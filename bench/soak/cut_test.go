package soak

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCutPassesNothing guards against a cut that passes bytes, closes or resets, that loses bytes
// sent before it, or that separates VMs on the same side.
func TestCutPassesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(*net.TCPConn)
		beyond bool
		bytes  string // that arrive after the cut
		err    error
	}{
		"reset":     {func(c *net.TCPConn) { require.NoError(t, c.SetLinger(0)); require.NoError(t, c.Close()) }, true, "", syscall.ECONNRESET},
		"close":     {func(c *net.TCPConn) { require.NoError(t, c.Close()) }, true, "during", nil},
		"stays":     {func(*net.TCPConn) {}, true, "during", os.ErrDeadlineExceeded},
		"same side": {func(c *net.TCPConn) { require.NoError(t, c.Close()) }, false, "during", nil},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			found := newSenders(func() map[string]int { return map[string]int{"vm": os.Getpid()} })
			p, err := newProxy("127.0.0.1:0", listener.Addr().String(), found, func(vm string) bool { return vm != "vm" || c.beyond })
			require.NoError(t, err)
			defer p.close()
			conn, err := net.Dial("tcp", p.address())
			require.NoError(t, err)
			defer conn.Close()
			server, err := listener.Accept()
			require.NoError(t, err)
			defer server.Close()
			require.Eventually(t, func() bool { found.search(); return found.at(addrsOf(server).peer()).name() == "vm" }, 10*time.Second, time.Millisecond)
			_, err = conn.Write([]byte("before"))
			require.NoError(t, err)
			before := make([]byte, len("before"))
			_, err = io.ReadFull(server, before)
			require.NoError(t, err)

			p.setCut(true)
			_, err = conn.Write([]byte("during"))
			require.NoError(t, err)
			if c.beyond {
				// The proxy holds the bytes before the connection ends.
				time.Sleep(5 * time.Millisecond)
			}
			if c.beyond {
				c.end(conn.(*net.TCPConn))
				p.reset()
				require.NoError(t, server.SetReadDeadline(time.Now().Add(3*proxyPollInterval)))
				_, err = server.Read(before)
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				p.setCut(false)
			} else {
				c.end(conn.(*net.TCPConn))
			}
			require.NoError(t, server.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
			after, err := io.ReadAll(server)
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.bytes, string(after))
		})
	}
}

// TestCutHoldsNewConnections guards against connections that are opened, or refused for a target
// that has ended, during a cut.
func TestCutHoldsNewConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unknown := newSenders(func() map[string]int { return nil })
	p, err := newProxy("127.0.0.1:0", listener.Addr().String(), unknown, func(string) bool { return true })
	require.NoError(t, err)
	defer p.close()
	require.NoError(t, listener.Close())
	p.setCut(true)
	conn, err := net.Dial("tcp", p.address())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*proxyPollInterval)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	p.setCut(false)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

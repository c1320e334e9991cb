package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// linkConn is a connection of another VM. The kernel closes it in order when this process ends,
// which shows the other VM that it has, see election.LinkClosed.
type linkConn struct {
	*net.TCPConn
	// resets means that Close resets the connection.
	resets atomic.Bool
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	if c.resets.Load() {
		if err := c.SetLinger(0); err != nil {
			// The first error is the cause; this one adds nothing.
			c.TCPConn.Close()
			return errors.Wrap(err, "make the connection reset when it ends")
		}
	}
	return errors.Wrap(c.TCPConn.Close(), "close the connection of another VM")
}

// linkListener accepts connections of other VMs.
type linkListener struct{ net.Listener }

// Accept implements net.Listener.
func (l linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return &linkConn{TCPConn: tcp}, nil
}

type linkConnKey struct{}

// withLinkConn makes the connection known to the handlers of its requests.
func withLinkConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, linkConnKey{}, conn)
}

// linkConnOf returns the connection of a request, nil if it did not come through a linkListener.
func linkConnOf(r *http.Request) *linkConn {
	conn, _ := r.Context().Value(linkConnKey{}).(*linkConn)
	return conn
}

package upstreamconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unreadConn is a connection whose peer has not read anything yet. It keeps what was written,
// also after it was closed: the reset of a connection may be lost.
type unreadConn struct {
	net.Conn
	mu      sync.Mutex
	written bytes.Buffer
	wrote   chan struct{} // has a value after the first write
	ended   chan struct{}
	end     sync.Once
}

func newUnreadConn() *unreadConn {
	return &unreadConn{wrote: make(chan struct{}, 1), ended: make(chan struct{})}
}

func (c *unreadConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.wrote <- struct{}{}:
	default:
	}
	return c.written.Write(p)
}

func (c *unreadConn) Read([]byte) (int, error) {
	<-c.ended
	return 0, os.ErrDeadlineExceeded
}

func (c *unreadConn) Close() error {
	c.end.Do(func() { close(c.ended) })
	return nil
}

func (c *unreadConn) SetDeadline(time.Time) error { return c.Close() }

// readRequest reads the request that the peer finds when it reads at last.
func (c *unreadConn) readRequest() (body []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, err := http.ReadRequest(bufio.NewReader(&c.written))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(req.Body)
}

// TestGivenUpOrderIsNotTakenLater guards against an order that an upstream finds whole in its
// receive buffer, and carries out, after the sender has given it up.
func TestGivenUpOrderIsNotTakenLater(t *testing.T) {
	conn := newUnreadConn()
	pool := New("upstream", testLimits, Network{Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-conn.wrote
		cancel()
	}()
	_, err := pool.Do(ctx, &Request{Method: http.MethodPost, Target: "/x", Body: []byte("keys"), Order: true})
	require.Error(t, err)
	body, err := conn.readRequest()
	require.Error(t, err, "the order is whole: %q", body)
}

package gateway

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/server/listen"
)

const (
	// slowLinkMbps is the bandwidth of the slowest links of deployments.
	slowLinkMbps = 10
	// packetBytes is what a connection puts on the wire at a time, sendQueueBytes what the kernel
	// holds of it.
	packetBytes    = 1400
	sendQueueBytes = 64 << 10
)

// sharedWire is one direction of the link of a VM, which all its connections share in order of arrival.
type sharedWire struct {
	mu   sync.Mutex
	free time.Time
}

// pass returns when a packet that is sent now has arrived.
func (w *sharedWire) pass(bytes int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(float64(bytes) * 8 / (slowLinkMbps * 1e6) * float64(time.Second)))
	return w.free
}

// slowConn is a connection of the VM, or its other end. Bytes that wait for the wire fill a queue.
type slowConn struct {
	net.Conn
	queue chan []byte
	done  chan struct{}
	once  sync.Once
}

// newSlowConn sends what is written to conn over a wire.
func newSlowConn(conn net.Conn, w *sharedWire) *slowConn {
	c := &slowConn{Conn: conn, queue: make(chan []byte, sendQueueBytes/packetBytes), done: make(chan struct{})}
	go func() {
		for {
			select {
			case packet := <-c.queue:
				time.Sleep(time.Until(w.pass(len(packet))))
				if _, err := conn.Write(packet); err != nil {
					return
				}
			case <-c.done:
				return
			}
		}
	}()
	return c
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (written int, err error) {
	for written < len(p) {
		packet := append([]byte(nil), p[written:min(len(p), written+packetBytes)]...)
		select {
		case c.queue <- packet:
			written += len(packet)
		case <-c.done:
			return written, net.ErrClosed
		}
	}
	return written, nil
}

// Close implements net.Conn.
func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// SetWriteDeadline implements net.Conn: websocket ends a write by closing the connection.
func (c *slowConn) SetWriteDeadline(time.Time) error { return nil }

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, os.ErrClosed
	}
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// slowLink connects an isolated VM to one that sends its requests, over the link of the isolated VM.
type slowLink struct {
	listener         *pipeListener
	outward, inward  sharedWire
	server           *http.Server
	accepted, opened *listen.Messages
	// near and far pace what the isolated VM and the other one send.
	near, far *linkPacer
	metrics   *Metrics
}

// newSlowLink starts a VM that serves proxied requests; call it in a bubble of synctest.
func newSlowLink(t *testing.T, handler func(l *slowLink) http.Handler) *slowLink {
	unlimited := func() *listen.Messages { return listen.NewMessages(listen.MessageLimits{}, nil, nil, nil) }
	l := &slowLink{listener: &pipeListener{make(chan net.Conn), make(chan struct{})}, accepted: unlimited(), opened: unlimited(), near: newLinkPacer(slowLinkMbps), far: newLinkPacer(200), metrics: NewMetrics()}
	l.server = &http.Server{Handler: handler(l)}
	go l.server.Serve(l.listener) //nolint:errcheck // it ends with the test
	t.Cleanup(func() {
		close(l.listener.done)
		l.server.Close()
		time.Sleep(time.Minute) // what is on the wire arrives
	})
	return l
}

// dial connects to the other VM.
func (l *slowLink) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	l.listener.conns <- newSlowConn(far, &l.inward)
	return newSlowConn(near, &l.outward), nil
}

// serveSlowly serves proxied requests with a function. peer holds the headers of the handshake.
func serveSlowly(peer http.Header, serve func(context.Context, *proxyRequest) *proxyResponse) func(l *slowLink) http.Handler {
	return func(l *slowLink) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			maps.Copy(w.Header(), peer)
			ws, err := websocket.Accept(w, r, nil)
			if err != nil {
				return
			}
			defer ws.CloseNow()
			ws.SetReadLimit(maxLargeMessage)
			//nolint:errcheck // the connection ends with the test
			serveProxyConn(r.Context(), newFrameSender(ws, l.far, r.Header, l.metrics), l.accepted.Connection(nil, maxLargeMessage), guard{NewMetrics(), zerolog.Nop()}, serve)
		})
	}
}

// maxLargeMessage is the limit of messages with default settings.
const maxLargeMessage = (maxProxiedBodyKB+defaultResponseHeadKB)<<10 + 2*maxHeaderBytes

// proxyConn returns a connection of the isolated VM for its requests.
func (l *slowLink) proxyConn(t *testing.T) *proxyConn {
	c, err := dialProxyWith(t.Context(), l.dial, "other", maxLargeMessage, l.opened, l.near, l.metrics)
	require.NoError(t, err)
	t.Cleanup(func() { c.end(errProxyIdle) })
	return c
}

// withParts are the headers of a VM that takes parts.
var withParts = http.Header{partsHeader: {partsVersion}}

// TestLargestProxiedRequestOnSlowLink guards against a request of legal size that fails on a link of
// 10 Mbit/s although its deadline allows it, and that ends or holds up the other requests of its
// connection.
func TestLargestProxiedRequestOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSlowLink(t, serveSlowly(withParts, func(_ context.Context, req *proxyRequest) *proxyResponse {
			return &proxyResponse{Status: http.StatusOK, Body: []byte(req.Target), Sends: len(req.Body)}
		}))
		c := l.proxyConn(t)
		large := make(chan error, 1)
		body := make([]byte, maxProxiedBodyKB<<10)
		go func() {
			resp, _, err := c.call(t.Context(), &proxyRequest{Target: "/large", Body: body, TimeoutMs: 20_000})
			if err == nil && resp.Sends != len(body) {
				err = io.ErrUnexpectedEOF
			}
			large <- err
		}()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			resp, _, err := c.call(t.Context(), &proxyRequest{Target: "/small", TimeoutMs: 1000})
			require.NoError(t, err)
			require.Equal(t, "/small", string(resp.Body))
			require.Less(t, time.Since(began), 200*time.Millisecond)
		}
		require.NoError(t, <-large)
	})
}

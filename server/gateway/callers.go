package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/server/wait"
)

const (
	// drainCheckInterval is the interval between checks of the callers' connections while
	// the VM drains.
	drainCheckInterval = 20 * time.Millisecond
	// limitCheckInterval is the interval between checks for connections that exceed a limit.
	limitCheckInterval = 500 * time.Millisecond
)

// callerConn is a connection of a caller that can be closed while it is idle. http.Server
// closes connections as idle while it is reading a request from them; that request would
// be forwarded and its response lost.
type callerConn struct {
	*net.TCPConn
	conns *callerConns

	mu         sync.Mutex
	inRequest  bool // bytes of a request have arrived that has no response yet
	headerRead bool // the header of that request has arrived
	closed     bool
	since      time.Time // when inRequest last changed
}

// errIdleClosed means that the connection was closed between two requests.
var errIdleClosed = errors.New("the connection was closed between two requests")

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, errIdleClosed
	}
	if n > 0 && !c.inRequest {
		c.inRequest, c.since = true, time.Now()
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.conns.remove(c)
	return errors.Wrap(c.TCPConn.Close(), "close the connection of a caller")
}

// closeIdle closes the connection unless a request has begun to arrive.
func (c *callerConn) closeIdle() {
	c.mu.Lock()
	c.closed = !c.inRequest
	closed := c.closed
	c.mu.Unlock()
	if closed {
		if err := c.Close(); err != nil {
			return // the caller has closed it
		}
	}
}

// callerConns holds the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]bool
}

func (s *callerConns) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// connState is the http.Server.ConnState callback.
func (s *callerConns) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerRead = state == http.StateActive
	if state == http.StateIdle {
		c.inRequest, c.since = false, time.Now()
	}
}

// closeIdle closes the connections without a request and returns how many are left.
func (s *callerConns) closeIdle() int {
	for _, c := range s.all() {
		c.closeIdle()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *callerConns) all() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// enforce closes connections that exceed a limit at the given time: those that are idle
// for too long, and those whose header takes too long.
func (s *callerConns) enforce(now time.Time, limits routing.Limits) {
	for _, c := range s.all() {
		c.mu.Lock()
		idle := !c.inRequest && limits.IdleTimeout > 0 && now.Sub(c.since) > limits.IdleTimeout
		slow := c.inRequest && !c.headerRead && limits.HeaderTimeout > 0 && now.Sub(c.since) > limits.HeaderTimeout
		c.closed = c.closed || slow
		c.mu.Unlock()
		if idle {
			c.closeIdle()
		}
		if slow {
			if err := c.Close(); err != nil {
				continue // the caller has closed it
			}
		}
	}
}

// enforceCallerLimits enforces the limits of the configuration until ctx ends.
func (g *Gateway) enforceCallerLimits(ctx context.Context) {
	for wait.For(ctx, limitCheckInterval) {
		if cfg := g.control.view().config; cfg != nil {
			g.conns.enforce(time.Now(), cfg.Limits)
		}
	}
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c := &callerConn{TCPConn: tcp, conns: l.conns, since: time.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.conns.open == nil {
		l.conns.open = make(map[*callerConn]bool)
	}
	l.conns.open[c] = true
	return c, nil
}

// drainCallers waits until all connections of callers have ended: after the response to
// a request in flight, or at once if there is none.
func (g *Gateway) drainCallers(ctx context.Context) {
	for open := g.conns.closeIdle(); open > 0; open = g.conns.closeIdle() {
		if !wait.For(ctx, drainCheckInterval) {
			g.log.Warn().Str("event", "requests_cut").Int("connections", open).Msg("")
			return
		}
	}
}

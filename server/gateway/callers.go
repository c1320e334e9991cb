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
	// drainTick is the time between looks at the connections of callers while the VM
	// leaves.
	drainTick = 20 * time.Millisecond
	// limitEvery is the time between looks for connections that break a limit.
	limitEvery = 500 * time.Millisecond
)

// callerConn is a connection of a caller that can be closed while it is idle.
// http.Server closes connections that it takes for idle although it is just reading
// a request from them, which is then sent on and has nobody to answer.
type callerConn struct {
	*net.TCPConn
	set *callerConns

	mu     sync.Mutex
	used   bool // bytes of a request have come that is not answered yet
	active bool // its header has come
	closed bool
	since  time.Time // of the present state of used
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
	if n > 0 && !c.used {
		c.used, c.since = true, time.Now()
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.set.remove(c)
	return errors.Wrap(c.TCPConn.Close(), "close the connection of a caller")
}

// closeIdle closes the connection unless a request has begun to come.
func (c *callerConn) closeIdle() {
	c.mu.Lock()
	c.closed = !c.used
	closed := c.closed
	c.mu.Unlock()
	if closed {
		if err := c.Close(); err != nil {
			return // the caller has closed it
		}
	}
}

// callerConns are the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]bool
}

func (s *callerConns) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// changed is the server's report of the state of a connection.
func (s *callerConns) changed(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	if state == http.StateIdle {
		c.used, c.since = false, time.Now()
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

// limit closes connections that break the limits of a configuration at a time:
// those that are idle for too long, and those whose header takes too long.
func (s *callerConns) limit(now time.Time, limits routing.Limits) {
	for _, c := range s.all() {
		c.mu.Lock()
		idle := !c.used && limits.IdleTimeout > 0 && now.Sub(c.since) > limits.IdleTimeout
		slow := c.used && !c.active && limits.HeaderTimeout > 0 && now.Sub(c.since) > limits.HeaderTimeout
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

// limitCallers keeps the limits of the configuration in force until ctx ends.
func (g *Gateway) limitCallers(ctx context.Context) {
	for wait.For(ctx, limitEvery) {
		if cfg := g.control.view().config; cfg != nil {
			g.conns.limit(time.Now(), cfg.Limits)
		}
	}
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	set *callerConns
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
	c := &callerConn{TCPConn: tcp, set: l.set, since: time.Now()}
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if l.set.open == nil {
		l.set.open = make(map[*callerConn]bool)
	}
	l.set.open[c] = true
	return c, nil
}

// drainCallers waits until all connections of callers have ended: with the answer
// to the request under way, or at once if there is none.
func (g *Gateway) drainCallers(ctx context.Context) {
	for left := g.conns.closeIdle(); left > 0; left = g.conns.closeIdle() {
		if !wait.For(ctx, drainTick) {
			g.log.Warn().Str("event", "requests_cut").Int("connections", left).Msg("")
			return
		}
	}
}

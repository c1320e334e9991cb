package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// drainTick is the time between looks at the connections of callers while the VM
// leaves.
const drainTick = 20 * time.Millisecond

// callerConn is a connection of a caller that can be closed while it is idle.
// http.Server closes connections that it takes for idle although it is just reading
// a request from them, which is then sent on and has nobody to answer.
type callerConn struct {
	*net.TCPConn
	set *callerConns

	mu     sync.Mutex
	used   bool // bytes of a request have come that is not answered yet
	closed bool
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
	c.used = c.used || n > 0
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
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.mu.Lock()
		c.used = false
		c.mu.Unlock()
	}
}

// closeIdle closes the connections without a request and returns how many are left.
func (s *callerConns) closeIdle() int {
	s.mu.Lock()
	conns := make([]*callerConn, 0, len(s.open))
	for c := range s.open {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIdle()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
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
	c := &callerConn{TCPConn: tcp, set: l.set}
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
		if !sleep(ctx, drainTick) {
			g.log.Warn().Str("event", "requests_cut").Int("connections", left).Msg("")
			return
		}
	}
}

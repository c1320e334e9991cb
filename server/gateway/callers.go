package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/wait"
)

const (
	// drainCheckInterval is the interval between checks of the callers' connections while
	// the VM drains.
	drainCheckInterval = 20 * time.Millisecond
	// limitCheckInterval is the interval between checks for connections that exceed a limit.
	limitCheckInterval = 500 * time.Millisecond
	// firstRequestWait is how long a new connection is kept for its first request while the
	// VM drains.
	firstRequestWait = time.Second
	// acceptQuiet is the time without a new connection after which a draining VM stops
	// listening, maxAcceptQuiet the longest wait for it.
	acceptQuiet    = 100 * time.Millisecond
	maxAcceptQuiet = 500 * time.Millisecond
)

// callerConn is a connection of a caller that can be closed while it is idle. http.Server
// closes connections as idle while it is reading a request from them; that request would
// be forwarded and its response lost.
type callerConn struct {
	rawConn
	conns *callerConns

	mu         sync.Mutex
	inRequest  bool // bytes of a request have arrived that has no response yet
	headerRead bool // the header of that request has arrived
	used       bool // a request has arrived
	closed     bool
	since      time.Time // when inRequest last changed
}

// rawConn is the connection below a callerConn.
type rawConn interface {
	net.Conn
	syscall.Conn
	// CloseWrite lets http.Server close a connection so that its last response is not lost.
	CloseWrite() error
}

// errIdleClosed means that the connection was closed between two requests.
var errIdleClosed = errors.New("the connection was closed between two requests")

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.rawConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, errIdleClosed
	}
	if n > 0 && !c.inRequest {
		c.inRequest, c.used, c.since = true, true, time.Now()
	}
	return n, err
}

// NetConn returns the connection below this one.
func (c *callerConn) NetConn() net.Conn { return c.rawConn }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.conns.remove(c)
	return errors.Wrap(c.rawConn.Close(), "close the connection of a caller")
}

// closeIdle closes the connection unless a request has begun to arrive. A new connection
// stays open for firstWait, until its first request has arrived. It reports whether it has closed it.
func (c *callerConn) closeIdle(firstWait time.Duration) bool {
	c.mu.Lock()
	awaitsFirst := !c.used && time.Since(c.since) < firstWait
	c.closed = !c.inRequest && !awaitsFirst && !c.hasUnread()
	closed := c.closed
	c.mu.Unlock()
	return closed && c.Close() == nil // an error means that the caller has closed it
}

// hasUnread reports whether bytes have arrived that were not read.
func (c *callerConn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // the connection is closed
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		// An error means that no bytes can be read.
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// callerConns holds the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]bool
	// acceptedAt is when a connection was last accepted.
	acceptedAt time.Time
	// limitReached, if set, is called for each connection that is closed for a limit of the
	// configuration.
	limitReached func(listen.Reason)
}

func (s *callerConns) closedFor(r listen.Reason) {
	if s.limitReached != nil {
		s.limitReached(r)
	}
}

// awaitQuiet waits until no connection has been accepted for acceptQuiet.
func (s *callerConns) awaitQuiet(ctx context.Context) {
	for end := time.Now().Add(maxAcceptQuiet); time.Now().Before(end); {
		s.mu.Lock()
		quiet := time.Since(s.acceptedAt)
		s.mu.Unlock()
		if quiet >= acceptQuiet || !wait.For(ctx, acceptQuiet-quiet) {
			return
		}
	}
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
		c.closeIdle(firstRequestWait)
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
		if idle && c.closeIdle(0) {
			s.closedFor(listen.IdleTimeout)
		}
		if slow {
			s.closedFor(listen.HeadTimeout)
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
	raw, ok := conn.(rawConn)
	if !ok {
		return conn, nil
	}
	c := &callerConn{rawConn: raw, conns: l.conns, since: time.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.conns.open == nil {
		l.conns.open = make(map[*callerConn]bool)
	}
	l.conns.open[c] = true
	l.conns.acceptedAt = time.Now()
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

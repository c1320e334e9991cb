package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// GateConnections makes requests wait for one of Slots places, and returns a listener on whose
// connections nothing is read until a place is free. Calls on a connection that has been read
// from do not wait. Serve it with ConnContext.
func (u *Upstream) GateConnections(l net.Listener) net.Listener {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gate = make(chan struct{}, u.Slots)
	return &gatedListener{Listener: l, gate: u.gate}
}

func (u *Upstream) slots() chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gate
}

// ConnContext is for http.Server.ConnContext: it lets events say how long a connection waited.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if gated, ok := c.(*gatedConn); ok {
		return context.WithValue(ctx, waitedKey{}, gated)
	}
	return ctx
}

type waitedKey struct{}

type gatedListener struct {
	net.Listener
	gate chan struct{}
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, gate: l.gate, accepted: time.Now()}, nil
}

// gatedConn is a connection that is first read when a place is free.
type gatedConn struct {
	net.Conn
	gate     chan struct{}
	accepted time.Time
	first    sync.Once
	// waited is the time from accepted to the first read, until it is taken.
	waited atomic.Int64
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	c.first.Do(func() {
		c.gate <- struct{}{}
		<-c.gate
		c.waited.Store(int64(time.Since(c.accepted)))
	})
	return c.Conn.Read(p)
}

// takeWaited returns for how long the first call on a connection waited, and 0 for later ones.
func (c *gatedConn) takeWaited() time.Duration {
	if c == nil {
		return 0
	}
	return time.Duration(c.waited.Swap(0))
}

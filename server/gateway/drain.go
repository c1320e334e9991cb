package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// drainTick is the time between looks at the connections of callers while the VM
// leaves.
const drainTick = 20 * time.Millisecond

// connections counts the connections with a request under way.
type connections struct {
	mu     sync.Mutex
	active map[net.Conn]bool
}

// changed is the server's report of the state of a connection.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateActive {
		if c.active == nil {
			c.active = make(map[net.Conn]bool)
		}
		c.active[conn] = true
		return
	}
	delete(c.active, conn)
}

func (c *connections) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// waitIdle waits until no request is under way. http.Server.Shutdown does not
// serve here: it closes connections that it takes for idle although it is just
// reading a request from them, which is then sent on and has nobody to answer.
func (g *Gateway) waitIdle(ctx context.Context) {
	for g.open.busy() > 0 {
		if !sleep(ctx, drainTick) {
			g.log.Warn().Str("event", "requests_cut").Int("requests", g.open.busy()).Msg("")
			return
		}
	}
}

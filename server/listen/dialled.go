package listen

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/shedding"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/buffers"
)

// upstreamWindow is longer than any request: a response of an upstream may take as long as its request,
// so it is given up for its rate only if memory is short.
const upstreamWindow = time.Hour

// DialledLimits returns the limits of connections that this process dials to other VMs.
func (b Budget) DialledLimits() Limits {
	return Limits{Progress: shedding.Rules{MinRate: DefaultMinRate, Window: DefaultMinRateWindow, Grace: slowGrace}}
}

// UpstreamLimits returns the limits of connections to upstreams.
func (b Budget) UpstreamLimits() Limits {
	return Limits{Progress: shedding.Rules{MinRate: DefaultMinRate, Window: upstreamWindow, Grace: slowGrace}}
}

// Dial opens a connection whose progress is measured from then on. A nil guard measures none.
func (g *Guard) Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	tcp, ok := conn.(*net.TCPConn)
	if g == nil || err != nil || !ok {
		return conn, err
	}
	c := &Conn{TCPConn: tcp, guard: g, peer: address, hijacked: true, messages: true, progress: shedding.NewProgress(g.now())}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	g.byPeer[c.peer]++
	return c, nil
}

// ResponseMemory grants memory to the response of an upstream.
type ResponseMemory struct{ Reservation *buffers.Reservation }

// ReadResponse implements platform.ResponseMemory. While memory is short, a response that arrives below
// the minimum rate loses its connection.
func (m ResponseMemory) ReadResponse(conn net.Conn, body io.Reader, limit int64) ([]byte, error) {
	c := unwrap(conn)
	if c != nil {
		c.change(func() { c.reading, c.body = true, m.Reservation })
		defer c.change(func() { c.reading, c.body = false, nil })
	}
	data, err := m.Reservation.ReadAll(body, limit)
	switch {
	case errors.Is(err, buffers.ErrTooLarge):
		return nil, platform.ErrResponseTooLarge
	case errors.Is(err, buffers.ErrExhausted):
		if c != nil {
			c.guard.record(BodyMemory)
		}
		return nil, platform.ErrNoMemory
	case err != nil && c != nil && c.Aborted() == BodyMemory:
		return nil, platform.ErrNoMemory
	}
	return data, err
}

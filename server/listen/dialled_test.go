package listen

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/shedding"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/buffers"
)

// dialGuarded opens a connection to a peer that sends text and then nothing.
func dialGuarded(t *testing.T, g *Guard, text string) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		if conn, err := l.Accept(); err == nil {
			t.Cleanup(func() { conn.Close() })
			io.WriteString(conn, text) //nolint:errcheck // the guard may close the connection
		}
	}()
	conn, err := g.Dial(t.Context(), &net.Dialer{}, "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// TestStalledResponse guards against a response that never ends and keeps the memory that others need,
// and against one that loses its connection for its rate alone.
func TestStalledResponse(t *testing.T) {
	const size = 64 << 10
	var reasons []Reason
	now := time.Duration(0)
	guard := NewGuard("upstreams", Budget{}.UpstreamLimits(), func(_ string, r Reason) { reasons = append(reasons, r) }, zerolog.Nop())
	guard.now = func() time.Duration { return now }
	budget := buffers.NewBudget(4 * size)
	budget.SetReclaimer(guard.ReclaimBodies)
	conn := dialGuarded(t, guard, strings.Repeat("x", size))
	failed := make(chan error, 1)
	go func() {
		stalled := budget.Reserve()
		defer stalled.Release()
		_, err := ResponseMemory{stalled}.ReadResponse(conn, conn, size+1)
		failed <- err
	}()
	c := conn.(*Conn)
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.received == size
	}, waitTimeout, time.Millisecond)
	guard.check(now)
	now += time.Minute
	guard.check(now)
	require.Empty(t, reasons, "an upstream may take its time")
	other := budget.Reserve()
	data, err := ResponseMemory{other}.ReadResponse(nil, strings.NewReader(strings.Repeat("x", 3*size)), 4*size)
	require.NoError(t, err)
	require.Len(t, data, 3*size)
	require.ErrorIs(t, <-failed, platform.ErrNoMemory)
	require.Equal(t, []Reason{BodyMemory}, reasons)
	other.Release()
	require.Equal(t, budget.Total(), budget.Left())

	_, err = ResponseMemory{other}.ReadResponse(nil, strings.NewReader("xx"), 1)
	require.ErrorIs(t, err, platform.ErrResponseTooLarge)
}

// TestSlowReply guards against a VM that keeps its reply incomplete on a connection that this one has
// opened to it.
func TestSlowReply(t *testing.T) {
	var reasons []Reason
	now := time.Duration(0)
	guard := NewGuard("dialled", Budget{}.DialledLimits(), func(_ string, r Reason) { reasons = append(reasons, r) }, zerolog.Nop())
	guard.now = func() time.Duration { return now }
	conn := dialGuarded(t, guard, "x")
	messages := NewMessages(MessageLimits{}, guard, nil, nil).Connection(conn.(*Conn), largestMessage)
	ended := make(chan error, 1)
	go func() {
		message, err := messages.Read(func() (io.Reader, error) { return conn, nil }, noItems)
		message.Release()
		ended <- err
	}()
	require.Eventually(t, func() bool { return conn.(*Conn).phaseNow() == shedding.Body }, waitTimeout, time.Millisecond)
	guard.check(now)
	now += DefaultMinRateWindow
	guard.check(now)
	require.Error(t, <-ended)
	require.Equal(t, []Reason{SlowMessage}, reasons)
	require.Empty(t, guard.all())
}

// TestHeartbeatsOfAllVMs guards against limits that end the connections of VMs whose heartbeats arrive at
// the same moment at the smallest VM, while bodies hold all memory.
func TestHeartbeatsOfAllVMs(t *testing.T) {
	const vms, heartbeatBytes, heartbeatItems = 300, 2200, 320
	m, shared := newMessages(144)
	m.limits.Wait = waitTimeout
	bodies := shared.Reserve()
	require.True(t, bodies.Take(shared.Total()))
	arrived, refused := make(chan *Message, vms), make(chan error, vms)
	for range vms {
		go func() {
			message, err := m.Connection(nil, largestMessage).Read(of(heartbeatBytes), func([]byte) int64 { return heartbeatItems })
			arrived <- message
			refused <- err
		}()
	}
	for range vms { // as the control loop does
		(<-arrived).Release()
	}
	for range vms {
		require.NoError(t, <-refused)
	}
}

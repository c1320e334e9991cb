package listen

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/shedding"
	"dandelionhill.dev/server/buffers"
)

// largestMessage is the limit of proxied requests.
const largestMessage = 8<<20 + 192<<10

func noItems([]byte) int64 { return 0 }

// of returns the next function of a message of some bytes.
func of(size int) func() (io.Reader, error) {
	return func() (io.Reader, error) { return bytes.NewReader(make([]byte, size)), nil }
}

// newMessages returns the grants of a VM of a size without a guard, and the memory of its bodies.
func newMessages(memoryMB int) (*Messages, *buffers.Budget) {
	budget := NewBudget(memoryMB)
	shared := buffers.NewBudget(budget.Buffers)
	return NewMessages(budget.MessageLimits(budget.Buffers), nil, buffers.NewBudget(budget.Messages), shared), shared
}

// TestMessagesOfOrdinaryVMs guards against limits that refuse the messages of 300 VMs which arrive at
// the same moment at the smallest VM, and the largest request that an isolated VM passes on.
func TestMessagesOfOrdinaryVMs(t *testing.T) {
	// A report that names 335 upstreams and 300 buckets of keys has 15 KB and 2,617 items.
	const vms, largeBytes, largeItems = 300, 15_000, 2617
	m, shared := newMessages(144)
	var reports []*Message
	for range vms {
		report := &Message{conn: m.Connection(nil, largestMessage)}
		require.NoError(t, report.read(bytes.NewReader(make([]byte, largeBytes))))
		require.Len(t, report.Data, largeBytes)
		reports = append(reports, report)
	}
	for _, report := range reports {
		report.cost = largeBytes + largeItems*itemCost
		require.True(t, report.takeDecoded(0), "they are decoded one after another")
		report.Release()
	}
	c := m.Connection(nil, largestMessage)
	request, err := c.Read(of(largestMessage), noItems)
	require.NoError(t, err)
	request.Decoded()
	require.NoError(t, request.Handle())
	request.Release()
	require.Zero(t, c.used)
	require.Equal(t, shared.Total(), shared.Left())

	// While bodies hold all memory, the reports of all VMs find what is theirs. 300 VMs serve some
	// ten requests each between two reports.
	bodies := shared.Reserve()
	require.True(t, bodies.Take(shared.Total()))
	for range vms {
		_, err := m.Connection(nil, largestMessage).Read(of(2000), func([]byte) int64 { return 100 })
		require.NoError(t, err)
	}
}

// TestMessagesRefused guards against messages beyond the limits of a connection or of all, against
// memory that is lost, and against a count that is not kept.
func TestMessagesRefused(t *testing.T) {
	m, shared := newMessages(144)
	var held []*Message
	granted := int64(0)
	for {
		message, err := m.Connection(nil, largestMessage).Read(of(4<<20), noItems)
		held = append(held, message)
		if err != nil {
			require.ErrorIs(t, err, ErrMessageRefused)
			require.Len(t, message.Data, messageHeadBytes, "the head names the message")
			break
		}
		granted += message.raw + message.decoded
	}
	require.LessOrEqual(t, granted, m.limits.Bytes+m.reserved.Total()+int64(len(held))*inlineBytes)
	require.GreaterOrEqual(t, shared.Left(), shared.Total()/2, "bodies of callers find memory")
	short, err := m.Connection(nil, largestMessage).Read(of(shortMessageBytes-1), noItems)
	require.NoError(t, err, "a cancellation")
	short.Release()
	for _, message := range held {
		message.Release()
	}
	require.Equal(t, shared.Total(), shared.Left())
	require.Equal(t, m.reserved.Total(), m.reserved.Left())
	require.Zero(t, m.sharedUsed.Load())

	c := m.Connection(nil, largestMessage)
	_, err = c.Read(of(2000), func([]byte) int64 { return 1 << 20 })
	require.ErrorIs(t, err, ErrMessageRefused, "very many items")
	require.Zero(t, c.used)

	m.limits.ConnectionCount, m.limits.Count = 2, 3
	handle := func(c *MessageConn) (*Message, error) {
		message, err := c.Read(of(100), noItems)
		require.NoError(t, err)
		return message, message.Handle()
	}
	first, err := handle(c)
	require.NoError(t, err)
	_, err = handle(c)
	require.NoError(t, err)
	_, err = handle(c)
	require.ErrorIs(t, err, ErrMessageRefused, "number of one connection")
	other := m.Connection(nil, largestMessage)
	_, err = handle(other)
	require.NoError(t, err)
	_, err = handle(other)
	require.ErrorIs(t, err, ErrMessageRefused, "number of all")
	first.Release()
	_, err = handle(other)
	require.NoError(t, err)
}

// TestReserveWaits guards against a response that is lost because another one of its connection is
// being written.
func TestReserveWaits(t *testing.T) {
	m, _ := newMessages(144)
	c := m.Connection(nil, largestMessage)
	half := m.limits.ConnectionBytes/2 + 1
	release, ok := c.Reserve(t.Context(), half)
	require.True(t, ok)
	time.AfterFunc(time.Millisecond, release)
	release, ok = c.Reserve(t.Context(), half)
	require.True(t, ok)
	release()
	_, ok = c.Reserve(t.Context(), 3*half)
	require.False(t, ok, "it never fits")
}

// idleTimeoutNow returns how long the connection may carry no message, 0 for one of HTTP.
func (c *Conn) idleTimeoutNow() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleTimeout
}

// carrying is a server whose connections carry messages of 2,000 bytes.
func carrying(t *testing.T, limits Limits, m *Messages) *guarded {
	var g *guarded
	g = startGuarded(t, limits, func(w http.ResponseWriter, r *http.Request) {
		conn, rw, err := http.NewResponseController(w).Hijack()
		require.NoError(t, err)
		defer conn.Close()
		m.guard = g.guard
		c := m.Connection(ConnOf(r), largestMessage)
		for {
			message, err := c.Read(func() (io.Reader, error) {
				_, err := rw.Reader.Peek(1)
				return io.LimitReader(rw, 2000), err
			}, noItems)
			message.Release()
			if err != nil {
				return
			}
		}
	})
	return g
}

const upgradeRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestSlowAndIdleMessages guards against a message that trickles, against a connection without
// messages that is kept for ever, and against closing one that is of use.
func TestSlowAndIdleMessages(t *testing.T) {
	m, _ := newMessages(144)
	g := carrying(t, Limits{}, m)
	_, slow := g.dial(upgradeRequest + "a")
	g.await(1, shedding.Body)
	g.advance(6 * time.Second)
	g.requireEnded(slow)
	require.Equal(t, []Reason{SlowMessage}, g.closed())
	_, idle := g.dial(upgradeRequest)
	require.Eventually(t, func() bool {
		all := g.guard.all()
		return len(all) == 1 && all[0].phaseNow() == shedding.Idle && all[0].idleTimeoutNow() > 0
	}, waitTimeout, time.Millisecond)
	g.advance(messageIdleTimeout + time.Second)
	g.requireEnded(idle)
	require.Equal(t, []Reason{SlowMessage, IdleTimeout}, g.closed())
}

// TestConnectionsOfMessages guards against connections that carry no message and keep others out, and
// against closing one whose request is handled.
func TestConnectionsOfMessages(t *testing.T) {
	m, _ := newMessages(144)
	g := carrying(t, Limits{Connections: 1}, m)
	_, idle := g.dial(upgradeRequest)
	require.Eventually(t, func() bool { return g.guard.all()[0].idleTimeoutNow() > 0 }, waitTimeout, time.Millisecond)
	g.dial(upgradeRequest)
	g.requireEnded(idle)
	require.Eventually(t, func() bool { return len(g.guard.all()) == 1 && g.guard.all()[0].idleTimeoutNow() > 0 }, waitTimeout, time.Millisecond)
	conn := g.guard.all()[0]
	conn.change(func() { conn.running = 1 })
	_, refused := g.dial(upgradeRequest)
	g.requireEnded(refused)
	require.Equal(t, []Reason{ConnectionLimit, ConnectionLimit}, g.closed())
	require.Len(t, g.guard.all(), 1)
}

// TestMessageBytes guards against a message whose pieces are joined wrongly, and against pieces that
// are used again too early.
func TestMessageBytes(t *testing.T) {
	m, shared := newMessages(144)
	for _, size := range []int{0, 1, shortMessageBytes, shortMessageBytes + 1, pieceBytes - 1, pieceBytes, pieceBytes + 1, 3*pieceBytes - 1, 3 * pieceBytes, 1 << 20, largestMessage} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i*7 + i>>8)
		}
		c := m.Connection(nil, largestMessage)
		message, err := c.Read(func() (io.Reader, error) { return bytes.NewReader(want), nil }, noItems)
		require.NoError(t, err, size)
		other, err := c.Read(of(2*pieceBytes), noItems)
		require.NoError(t, err)
		require.True(t, bytes.Equal(want, message.Data), size)
		message.Release()
		other.Release()
		require.Zero(t, c.used)
	}
	require.Equal(t, shared.Total(), shared.Left())
}

package listen

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/shedding"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/wait"
)

const (
	// shortMessageBytes is the size of messages that each connection reads, one at a time, without a
	// grant. Cancellations arrive while a flood holds the rest.
	shortMessageBytes = 1 << 10
	// inlineBytes is the further memory that each connection has without a grant, so that the usual
	// reports of other VMs arrive then too.
	inlineBytes = 8 << 10
	// usualBytes is the size of the largest usual reports. A longer message is read in pieces of
	// pieceBytes.
	usualBytes = 16 << 10
	pieceBytes = 64 << 10
	// itemCost is the memory of a decoded data item beside its bytes: 131,072 empty maps in an array
	// are as many structures.
	itemCost = 64
	// handlingCost is the memory of a request that is being handled, beside its bytes: its goroutine, its
	// headers and what it waits with.
	handlingCost = 24 << 10
	// messageHeadBytes is how much of a refused message is kept: it names what is refused.
	messageHeadBytes = 256
	// grantPolls and grantInterval bound the wait for memory that closed connections release.
	grantPolls    = 20
	grantInterval = 5 * time.Millisecond
)

// ErrMessageRefused means that a message was read and discarded, because the limits on messages have
// no room for it. It had no effect.
var ErrMessageRefused = errors.New("the limits on messages between VMs have no room for the message: see messages_mb and messages of the settings")

// ErrMessageTooLarge means that a message exceeds the limit of its connection.
var ErrMessageTooLarge = errors.New("the message exceeds its limit")

// MessageLimits are the limits of the messages on a listener's connections that are no longer ones
// of HTTP. 0 is no limit.
type MessageLimits struct {
	// Bytes is the most memory of all messages beyond the reserved one, ConnectionBytes the most of
	// those of one connection.
	Bytes, ConnectionBytes int64
	// Count is the most messages that are handled at a time, ConnectionCount those of one connection.
	Count, ConnectionCount int
	// IdleTimeout is how long a connection without a message is kept.
	IdleTimeout time.Duration
	// Wait is how long a message waits for memory that others return. The messages after it on its
	// connection wait too.
	Wait time.Duration
}

// SetBytes sets the limits on bytes, given those that are reserved and those beyond.
func (l *MessageLimits) SetBytes(reserved, shared int64) {
	l.Bytes, l.ConnectionBytes = shared, max((reserved+shared)*connectionMessagesPercent/100, inlineBytes)
}

// Messages grants memory to messages. Short ones use what each connection has, further ones the
// reserved memory, and the rest comes from the shared memory of bodies and responses.
type Messages struct {
	limits           MessageLimits
	guard            *Guard
	reserved, shared *buffers.Budget
	// sharedUsed are the bytes of the shared memory in use, count the messages that are handled.
	sharedUsed, count atomic.Int64
}

// ResponseBytes returns the most bytes of responses that wait to be sent, 0 for no limit.
func (m *Messages) ResponseBytes() int64 { return m.limits.Bytes / 2 }

// record counts a message that was refused.
func (m *Messages) record(reason Reason) {
	if m.guard != nil {
		m.guard.record(reason)
	}
}

// NewMessages returns the grants of a listener. reserved and shared are nil for no limit.
func NewMessages(limits MessageLimits, guard *Guard, reserved, shared *buffers.Budget) *Messages {
	return &Messages{limits: limits, guard: guard, reserved: reserved, shared: shared}
}

// MessageConn is a connection of messages.
type MessageConn struct {
	messages *Messages
	conn     *Conn // nil without a guard
	// limit is the size of the largest message.
	limit int64

	mu sync.Mutex
	// used is the memory of the messages, of which reserved and shared were granted.
	used             int64
	reserved, shared *buffers.Reservation
	count            int
	// assembling is the number of messages of which parts are awaited.
	assembling atomic.Int32
}

// Connection returns the state of a connection that has left HTTP, with messages up to limit bytes.
// conn is nil without a guard.
func (m *Messages) Connection(conn *Conn, limit int64) *MessageConn {
	c := &MessageConn{messages: m, conn: conn, limit: limit}
	if m.shared != nil {
		c.reserved, c.shared = m.reserved.Reserve(), m.shared.Reserve()
	}
	if conn != nil {
		conn.carry(c, m.limits.IdleTimeout)
	}
	return c
}

// Taken implements Memory.
func (c *MessageConn) Taken() int64 {
	if c.shared == nil {
		return 0
	}
	return c.reserved.Taken() + c.shared.Taken()
}

// tryTake takes memory. final means that waiting does not help.
func (c *MessageConn) tryTake(bytes int64) (ok, final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := c.messages.limits
	if limit := limits.ConnectionBytes; limit != 0 && c.used+bytes > limit {
		return false, true
	}
	granted := max(c.used+bytes-inlineBytes, 0) - max(c.used-inlineBytes, 0)
	if granted > 0 && c.shared != nil && !c.reserved.TryTake(granted, 0) {
		if c.messages.sharedUsed.Add(granted) > limits.Bytes || !c.shared.TryTake(granted, c.messages.shared.Reserved()) {
			c.messages.sharedUsed.Add(-granted)
			return false, granted > limits.Bytes
		}
	}
	c.used += bytes
	return true, false
}

// take takes memory, of slow messages if there is no other.
func (c *MessageConn) take(bytes int64) bool {
	ok, final := c.tryTake(bytes)
	if ok || final {
		return ok
	}
	polls := int(c.messages.limits.Wait / grantInterval)
	if guard := c.messages.guard; guard != nil && guard.reclaim(bytes, MessageMemory, (*Conn).bodyMemory) >= bytes {
		polls = grantPolls
	}
	for range polls {
		time.Sleep(grantInterval)
		if ok, final = c.tryTake(bytes); ok || final {
			return ok
		}
	}
	return false
}

// give returns memory.
func (c *MessageConn) give(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(min(bytes, c.used))
}

// put is give; c.mu is held. Reserved memory becomes free last.
func (c *MessageConn) put(bytes int64) {
	granted := max(c.used-inlineBytes, 0) - max(c.used-bytes-inlineBytes, 0)
	c.used -= bytes
	if c.shared == nil {
		return
	}
	fromShared := min(granted, c.shared.Taken())
	c.shared.Return(fromShared)
	c.messages.sharedUsed.Add(-fromShared)
	c.reserved.Return(min(granted-fromShared, c.reserved.Taken()))
}

// Message is a message that was read.
type Message struct {
	// Data is the message, or its first bytes if it was refused. It must not be used after Decoded or
	// Release.
	Data []byte

	conn *MessageConn
	// raw is the memory of Data, decoded that of what is decoded from it, as far as it was taken.
	raw, decoded int64
	// piece, unless it is nil, holds Data.
	piece *[pieceBytes]byte
	// cost is the memory of the decoded message.
	cost int64
	// counted means that the message counts as one that is handled, running that its request runs,
	// assembling that parts of it are awaited.
	counted, running, assembling bool
}

// Read reads the next message, which next waits for. items returns the number of data items of an
// encoded message. After ErrMessageRefused the message holds the first bytes. Release must be called
// in any case.
func (c *MessageConn) Read(next func() (io.Reader, error), items func([]byte) int64) (*Message, error) {
	m := &Message{conn: c}
	src, err := next()
	if err != nil {
		return m, err
	}
	c.setReading(true)
	defer c.setReading(false)
	if err := m.read(src); err != nil {
		return m, err
	}
	m.cost = int64(len(m.Data)) + items(m.Data)*itemCost
	if len(m.Data) > shortMessageBytes && !m.takeDecoded(0) {
		return m, m.refuse(nil, MessageMemory)
	}
	return m, nil
}

// pieces holds buffers of pieceBytes. A flood of messages that are refused would otherwise leave
// garbage faster than the collector takes it.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// read reads a message in pieces and joins them at its end.
func (m *Message) read(src io.Reader) error {
	var full []*[pieceBytes]byte
	release := func() {
		for _, piece := range full {
			if piece != m.piece {
				pieces.Put(piece)
			}
		}
		full = nil
	}
	defer release()
	m.Data = make([]byte, 0, shortMessageBytes)
	current, total := m.Data, int64(0)
	for {
		if len(current) == cap(current) {
			if total > m.conn.limit {
				return ErrMessageTooLarge
			}
			size := int64(pieceBytes)
			if len(full) == 0 && cap(current) < usualBytes {
				size = 2 * int64(cap(current))
			}
			if !m.conn.take(size) {
				// The rest of the message may never come: it must not hold the pieces.
				m.Data = slices.Clone(m.Data[:min(len(m.Data), messageHeadBytes)])
				current = nil
				release()
				return m.refuse(src, MessageMemory)
			}
			switch {
			case size < pieceBytes:
				current = append(make([]byte, 0, size), current...)
				m.conn.give(m.raw)
				m.raw, m.Data = size, current
			case len(full) == 0:
				piece := pieces.Get().(*[pieceBytes]byte)
				full = append(full, piece)
				current = append(piece[:0], current...)
				m.conn.give(m.raw)
				m.raw, m.Data = size, current
			default:
				piece := pieces.Get().(*[pieceBytes]byte)
				full = append(full, piece)
				current = piece[:0]
				m.raw += size
			}
		}
		n, err := src.Read(current[len(current):cap(current)])
		current, total = current[:len(current)+n], total+int64(n)
		if errors.Is(err, io.EOF) {
			return m.join(current, full, total)
		}
		if err != nil {
			return errors.Wrap(err, "read a message")
		}
	}
}

// join sets Data to the whole message, whose last piece may be shorter.
func (m *Message) join(last []byte, full []*[pieceBytes]byte, total int64) error {
	switch len(full) {
	case 0:
		m.Data = last
		return nil
	case 1:
		m.Data, m.piece = last, full[0]
		return nil
	}
	if !m.conn.take(total) {
		return m.refuse(nil, MessageMemory)
	}
	joined := make([]byte, 0, total)
	for _, piece := range full[:len(full)-1] {
		joined = append(joined, piece[:]...)
	}
	m.conn.give(m.raw)
	m.Data, m.raw = append(joined, last...), total
	return nil
}

func (m *Message) takeDecoded(further int64) bool {
	bytes := m.cost + further - m.decoded
	if !m.conn.take(bytes) {
		return false
	}
	m.decoded += bytes
	return true
}

// Handle counts the message as a request that is handled until Release. It returns
// ErrMessageRefused if the limits have no room for it.
func (m *Message) Handle() error {
	if !m.counted {
		if err := m.count(); err != nil {
			return err
		}
	}
	m.running = true
	m.conn.changeRunning(1)
	return nil
}

// count counts the message as one that is handled, with the memory of that.
func (m *Message) count() error {
	if !m.takeDecoded(handlingCost) {
		return m.refuse(nil, MessageMemory)
	}
	if !m.conn.countOne() {
		return m.refuse(nil, MessageCount)
	}
	m.counted = true
	return nil
}

// refuse releases the memory but for the first bytes, and reads the rest of the message.
func (m *Message) refuse(rest io.Reader, reason Reason) error {
	m.conn.messages.record(reason)
	head := append([]byte(nil), m.Data[:min(len(m.Data), messageHeadBytes)]...)
	m.Release()
	m.Data = head
	if rest != nil {
		if _, err := io.Copy(io.Discard, rest); err != nil {
			return errors.Wrap(err, "read the rest of a message")
		}
	}
	return ErrMessageRefused
}

// Decoded releases the memory of the message but for what was decoded from it.
func (m *Message) Decoded() {
	m.conn.give(m.raw)
	m.Data, m.raw = nil, 0
	m.putPiece()
}

// putPiece returns the piece that holds Data, which must no longer be used.
func (m *Message) putPiece() {
	if m.piece != nil {
		pieces.Put(m.piece)
		m.piece = nil
	}
}

// Release releases the memory of the message.
func (m *Message) Release() {
	m.conn.give(m.raw + m.decoded)
	m.Data, m.raw, m.decoded = nil, 0, 0
	m.putPiece()
	m.endAssembly()
	if m.counted {
		m.counted = false
		m.conn.uncount()
	}
	if m.running {
		m.running = false
		m.conn.changeRunning(-1)
	}
}

// Record counts a connection that is closed for a limit of its owner.
func (c *MessageConn) Record(r Reason) { c.messages.record(r) }

// TryReserve takes memory for a message that waits to be sent. It does not wait, as the memory that others
// hold may become free only after that message was sent.
func (c *MessageConn) TryReserve(bytes int64) (release func(), ok bool) {
	if ok, _ = c.tryTake(bytes); !ok {
		c.messages.record(MessageMemory)
		return func() {}, false
	}
	return func() { c.give(bytes) }, true
}

// Reserve takes memory for a response of a number of bytes, and waits for it until ctx ends.
func (c *MessageConn) Reserve(ctx context.Context, bytes int64) (release func(), ok bool) {
	for {
		taken, final := c.tryTake(bytes)
		if taken {
			return func() { c.give(bytes) }, true
		}
		if final && !c.busy() {
			c.messages.record(MessageMemory)
			return func() {}, false
		}
		if !wait.For(ctx, grantInterval) {
			return func() {}, false
		}
	}
}

// busy reports whether the connection uses memory that it will return.
func (c *MessageConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used > 0
}

// countOne counts a request that is handled, if the limits allow it.
func (c *MessageConn) countOne() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := c.messages.limits
	if limits.ConnectionCount > 0 && c.count >= limits.ConnectionCount {
		return false
	}
	if n := c.messages.count.Add(1); limits.Count > 0 && n > int64(limits.Count) {
		c.messages.count.Add(-1)
		return false
	}
	c.count++
	return true
}

func (c *MessageConn) uncount() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages.count.Add(-1)
	c.count--
}

// setReading records whether a message is being read. One of which parts are awaited counts too.
func (c *MessageConn) setReading(reading bool) {
	if c.conn != nil {
		c.conn.change(func() { c.conn.reading = reading || c.assembling.Load() > 0 })
	}
}

func (c *MessageConn) changeRunning(by int) {
	if c.conn != nil {
		c.conn.change(func() { c.conn.running += by })
	}
}

// Dial opens a connection for messages and measures its progress if there is a guard. Connection is
// called with it.
func (m *Messages) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return m.guard.Dial(ctx, &net.Dialer{}, network, address)
}

// Run marks the connection as one that runs a request, until done is called: between the parts of its
// response it is not an idle one, which may be closed.
func (c *MessageConn) Run() (done func()) {
	c.changeRunning(1)
	return func() { c.changeRunning(-1) }
}

// Establish says that the connection is of use while it carries no message: it is closed after idle
// ones when connections are short.
func (c *MessageConn) Establish() {
	if c.conn != nil {
		c.conn.change(func() { c.conn.established = true })
	}
}

// carry marks a connection that has left HTTP as one of messages.
func (c *Conn) carry(m *MessageConn, idleTimeout time.Duration) {
	c.change(func() { c.messages, c.idleTimeout, c.body = true, idleTimeout, m })
}

// messagePhase returns the phase of a connection of messages; c.mu is held.
func (c *Conn) messagePhase() shedding.Phase {
	switch {
	case c.reading:
		return shedding.Body
	case c.running > 0:
		return shedding.Running
	default:
		return shedding.Idle
	}
}

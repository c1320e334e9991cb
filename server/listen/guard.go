package listen

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"dandelionhill.dev/core/shedding"
	"dandelionhill.dev/server/wait"
)

// Reason says why a connection was closed or a request refused, in counters and in the log.
type Reason string

// The reasons.
const (
	ConnectionLimit Reason = "connection_limit" // another connection needed the place
	AddressLimit    Reason = "address_limit"    // the address has too many connections
	HeadMemory      Reason = "head_memory"      // the memory for heads of requests is used up
	BodyMemory      Reason = "body_memory"      // the memory for bodies and responses is used up
	QueueMemory     Reason = "queue_memory"     // too many bytes wait in the queues of the kernel
	SlowBody        Reason = "slow_body"        // a body arrives below the minimum rate
	SlowReader      Reason = "slow_reader"      // a response is read below the minimum rate
	HeadTimeout     Reason = "head_timeout"     // a head takes too long
	IdleTimeout     Reason = "idle_timeout"     // no request for too long
	NotHTTP         Reason = "not_http"         // the bytes are no request of HTTP/1.1
	MessageMemory   Reason = "message_memory"   // the memory for messages is used up
	MessageCount    Reason = "message_count"    // too many messages are handled
	SlowMessage     Reason = "slow_message"     // a message arrives below the minimum rate
)

const (
	// checkInterval is the time between two checks of the progress of all connections.
	checkInterval = 250 * time.Millisecond
	// logInterval is the time between two log lines about closed connections: a flood must not
	// fill the log.
	logInterval = 2 * time.Second
	// maxVictims bounds the connections that are closed for one other connection.
	maxVictims = 3
	// discardTime bounds the time for which the rest of a body is read after the response, so that
	// the connection of a well-behaved caller can be used again.
	discardTime = time.Second
	// fieldCost is the memory of a header field beside its bytes, and byteCost that of a byte: the
	// field is kept in a map, and both are copied when the request is forwarded. Measured: 117
	// bytes for each field of 7 bytes, without the copy.
	fieldCost = 256
	byteCost  = 2
	// heavyHeadShare and heavyHeadsShare: heads above 1/heavyHeadShare of the memory for heads
	// may together take 1/heavyHeadsShare of it, so that ordinary ones find room.
	heavyHeadShare  = 32
	heavyHeadsShare = 2
)

// Limits are the limits of one listener.
type Limits struct {
	// Connections is the most open connections, PerAddress the most from one address.
	Connections, PerAddress int
	// HeadBytes is the memory for the heads of requests, QueueBytes the most bytes in the receive
	// and send queues of the kernel, over all connections.
	HeadBytes, QueueBytes int64
	// ReceiveBuffer and SendBuffer are the sizes of a connection's queues in the kernel, which
	// doubles them for its own overhead.
	ReceiveBuffer, SendBuffer int
	// UnreadTimeout is how long the kernel keeps bytes that a client does not read, also after the
	// connection was closed; 0 is the kernel's default of many minutes.
	UnreadTimeout time.Duration
	// Progress holds the minimum rate.
	Progress shedding.Rules
	// TLS means that the connections do not begin with a request.
	TLS bool
}

// Guard enforces the limits of one listener.
type Guard struct {
	name   string
	limits Limits
	count  func(listener string, r Reason)
	log    zerolog.Logger
	now    func() time.Duration
	// heads is the memory of the heads that are in use, heavyHeads that of the large ones.
	heads, heavyHeads atomic.Int64

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	byPeer map[string]int
	closed map[Reason]int // since the last log line
}

// NewGuard returns a guard. count is called for each connection that is closed and each request
// that is refused.
func NewGuard(name string, limits Limits, count func(listener string, r Reason), log zerolog.Logger) *Guard {
	start := time.Now()
	return &Guard{
		name: name, limits: limits, count: count, log: log, now: func() time.Duration { return time.Since(start) },
		conns: make(map[*Conn]struct{}), byPeer: make(map[string]int), closed: make(map[Reason]int),
	}
}

// Protect makes a server enforce the limits. Call it once, before the server listens.
func (g *Guard) Protect(server *http.Server) {
	server.Handler = g.handler(server.Handler)
	stateChanged, connContext := server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := unwrap(conn); c != nil {
			c.stateChanged(state)
		}
		if stateChanged != nil {
			stateChanged(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		if c := unwrap(conn); c != nil {
			ctx = contextWith(ctx, c)
		}
		return ctx
	}
}

// record counts a closed connection or a refused request.
func (g *Guard) record(r Reason) {
	g.count(g.name, r)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed[r]++
}

// Closed counts a connection that the server closes for a limit of its own.
func (g *Guard) Closed(r Reason) { g.record(r) }

// Run checks the progress of all connections until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	for logAt := g.now(); wait.For(ctx, checkInterval); {
		g.check(g.now())
		if g.now()-logAt >= logInterval {
			logAt = g.now()
			g.logClosed()
		}
	}
}

func (g *Guard) logClosed() {
	g.mu.Lock()
	closed := g.closed
	g.closed = make(map[Reason]int)
	open := len(g.conns)
	g.mu.Unlock()
	// The end of an idle connection is usual.
	delete(closed, IdleTimeout)
	for r, n := range closed {
		g.log.Warn().Str("event", "connections_closed").Str("listener", g.name).Str("reason", string(r)).
			Int("connections", n).Int("open", open).Msg("")
	}
}

// check closes connections below the minimum rate and, if the queues of the kernel hold too much,
// those that hold most.
func (g *Guard) check(now time.Duration) {
	queued := int64(0)
	for _, c := range g.all() {
		reason, q := c.observe(now, g.limits.Progress)
		if reason != "" {
			if c.abort(reason, c.phaseNow()) {
				g.record(reason)
			}
			continue
		}
		queued += q
	}
	if excess := queued - g.limits.QueueBytes; g.limits.QueueBytes > 0 && excess > 0 {
		g.reclaim(excess, QueueMemory, func(c *Conn) int64 { return c.queued })
	}
}

func (g *Guard) all() []*Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*Conn, 0, len(g.conns))
	for c := range g.conns {
		all = append(all, c)
	}
	return all
}

// admit returns the connection, or nil if it was closed because there is no room.
func (g *Guard) admit(tcp *net.TCPConn) *Conn {
	peer, _, err := net.SplitHostPort(tcp.RemoteAddr().String())
	if err != nil {
		peer = tcp.RemoteAddr().String()
	}
	c := &Conn{TCPConn: tcp, guard: g, peer: peer, progress: shedding.NewProgress(g.now())}
	for range maxVictims {
		reason, ok := g.add(c)
		if ok {
			return c
		}
		of := ""
		if reason == AddressLimit {
			of = peer
		}
		if !g.closeOne(reason, of) {
			g.record(reason)
			break
		}
	}
	tcp.Close()
	return nil
}

// add adds a connection if the limits allow it.
func (g *Guard) add(c *Conn) (reason Reason, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.limits.PerAddress > 0 && g.byPeer[c.peer] >= g.limits.PerAddress:
		return AddressLimit, false
	case g.limits.Connections > 0 && len(g.conns) >= g.limits.Connections:
		return ConnectionLimit, false
	}
	g.conns[c] = struct{}{}
	g.byPeer[c.peer]++
	return "", true
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	if g.byPeer[c.peer]--; g.byPeer[c.peer] == 0 {
		delete(g.byPeer, c.peer)
	}
}

// closeOne closes a connection, of one address unless peer is empty.
func (g *Guard) closeOne(reason Reason, peer string) bool {
	now := g.now()
	var conns []*Conn
	var candidates []shedding.Conn
	for _, c := range g.all() {
		if peer != "" && c.peer != peer {
			continue
		}
		conns, candidates = append(conns, c), append(candidates, c.candidate(now, g.limits.Progress, nil))
	}
	for range maxVictims {
		i, ok := shedding.Victim(candidates, shedding.Connections)
		if !ok {
			return false
		}
		if conns[i].abort(reason, candidates[i].Phase) {
			g.record(reason)
			return true
		}
		candidates[i].Phase = shedding.Running // its request has arrived
	}
	return false
}

// reclaim closes slow connections until they release a number of bytes, and returns how many they
// release.
func (g *Guard) reclaim(needed int64, reason Reason, memory func(*Conn) int64) (released int64) {
	now := g.now()
	conns := g.all()
	candidates := make([]shedding.Conn, len(conns))
	for i, c := range conns {
		candidates[i] = c.candidate(now, g.limits.Progress, memory)
	}
	for released < needed {
		i, ok := shedding.Victim(candidates, shedding.Memory)
		if !ok {
			return released
		}
		if conns[i].abort(reason, candidates[i].Phase) {
			released += candidates[i].Memory
			g.record(reason)
		}
		candidates[i].Memory = 0
	}
	return released
}

// ReclaimBodies closes connections whose bodies or responses hold memory. It is a
// buffers.Reclaimer.
func (g *Guard) ReclaimBodies(needed int64) (released int64) {
	return g.reclaim(needed, BodyMemory, (*Conn).bodyMemory)
}

// chargeHead adds the memory of a part of a head. It reports false if there is no memory.
func (g *Guard) chargeHead(bytes int64) bool {
	used := g.heads.Add(bytes)
	if g.limits.HeadBytes == 0 || used <= g.limits.HeadBytes {
		return true
	}
	g.reclaim(used-g.limits.HeadBytes, HeadMemory, (*Conn).headMemory)
	return g.heads.Load() <= g.limits.HeadBytes
}

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if c := l.guard.admit(tcp); c != nil {
			return c, nil
		}
	}
}

// control sets the sizes of the queues. Set on the listener they apply from the first packet.
func (g *Guard) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		set := func(level, option, value int) {
			if value > 0 && failed == nil {
				failed = unix.SetsockoptInt(int(fd), level, option, value)
			}
		}
		set(unix.SOL_SOCKET, unix.SO_RCVBUF, g.limits.ReceiveBuffer)
		set(unix.SOL_SOCKET, unix.SO_SNDBUF, g.limits.SendBuffer)
		set(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(g.limits.UnreadTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

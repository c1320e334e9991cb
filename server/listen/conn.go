package listen

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"dandelionhill.dev/core/shedding"
)

type connKey struct{}

func contextWith(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, or nil if its server has no guard.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// unwrap returns the guarded connection below others, such as those of TLS.
func unwrap(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		w, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = w.NetConn()
	}
	return nil
}

// writeSize is the size of the pieces in which responses are written, so that their progress is
// seen.
const writeSize = 16 << 10

// serverBuffer is the size of the buffer of http.Server for reading. Heads are read through it; larger
// reads go directly into the buffer of a body.
const serverBuffer = 4096

// errClosed means that the connection was closed for a limit.
var errClosed = errors.New("the connection was closed for a limit")

// Memory is the memory of a request.
type Memory interface{ Taken() int64 }

// Conn is a connection whose progress and memory are known.
type Conn struct {
	*net.TCPConn
	guard *Guard
	peer  string

	mu sync.Mutex
	// active means that the head of a request has arrived and the request has not ended, hijacked
	// that the connection is no longer one of HTTP.
	active, hijacked bool
	// messages means that a hijacked connection carries messages, of which running are handled; it
	// may be idle for idleTimeout, 0 for no limit.
	messages    bool
	running     int
	established bool // see MessageConn.Establish
	idleTimeout time.Duration
	idleSince   time.Duration
	// begun means that bytes of a head have arrived.
	begun bool
	// reading means that a body is being read, discarding that it is read only to be discarded.
	reading, discarding bool
	writing             int
	// aborted is why the connection was closed or its body given up.
	aborted Reason
	// received and sent are the bytes that moved; queued those in the kernel at the last check.
	received, sent, queued int64
	// wrote means that bytes may wait in the send queue of the kernel, unsent is how many did at
	// the last check.
	wrote    bool
	unsent   int64
	progress shedding.Progress
	// head is the memory of the present head, lastRead the cost of the bytes of the last read: a
	// pipelined request may be among them.
	head, lastRead int64
	heavy          bool
	// body is the memory of the present request's body and response.
	body Memory
}

// phase returns the present phase; c.mu is held.
func (c *Conn) phase() shedding.Phase {
	switch {
	case c.writing > 0:
		return shedding.Writing
	case c.hijacked && c.messages:
		return c.messagePhase()
	case c.hijacked:
		return shedding.Running
	case c.active && (c.reading || c.discarding):
		return shedding.Body
	case c.active:
		return shedding.Running
	case c.begun:
		return shedding.Head
	case c.unsent > 0:
		return shedding.Writing // the end of the last response
	default:
		return shedding.Idle
	}
}

func (c *Conn) phaseNow() shedding.Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase()
}

// change changes the state and restarts the measurement of progress if the phase changes.
func (c *Conn) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	phase := c.phase()
	if phase != shedding.Idle {
		c.idleSince = c.guard.now()
	}
	c.progress.Begin(c.guard.now(), phase)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	cost := int64(0)
	if len(p) <= serverBuffer {
		cost = headCost(int64(n), int64(bytes.Count(p[:n], []byte{'\n'})))
	}
	charged, aborted := int64(0), false
	c.change(func() {
		first := c.received == 0 // later bytes may continue a pipelined request
		c.received += int64(n)
		c.lastRead = cost
		switch {
		case c.aborted != "":
			aborted = true
		case c.active || c.hijacked:
		case first && !c.guard.limits.TLS && !beginsRequest(p[0]):
			c.aborted, aborted = NotHTTP, true
			c.guard.record(NotHTTP)
		default:
			c.begun = true
			c.head += cost
			charged = cost
		}
	})
	if aborted {
		return 0, errClosed
	}
	if charged > 0 && !c.guard.chargeHead(charged) && c.abort(HeadMemory, shedding.Head) {
		c.guard.record(HeadMemory)
	}
	if c.isAborted() {
		return 0, errClosed
	}
	return n, err
}

// beginsRequest reports whether a byte may begin a request: the letter of a method, or the line
// break that some clients send after a body.
func beginsRequest(b byte) bool {
	return 'A' <= b && b <= 'Z' || 'a' <= b && b <= 'z' || b == '\r' || b == '\n'
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (written int, err error) {
	c.change(func() { c.writing++ })
	defer c.change(func() { c.writing-- })
	for len(p) > 0 && err == nil {
		var n int
		n, err = c.TCPConn.Write(p[:min(len(p), writeSize)])
		written, p = written+n, p[n:]
		c.mu.Lock()
		c.sent += int64(n)
		c.wrote = true
		c.mu.Unlock()
	}
	return written, err
}

// ReadFrom implements io.ReaderFrom by Write.
func (c *Conn) ReadFrom(src io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, src) }

// SetReadDeadline implements net.Conn. A body that was given up stays so.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted != "" {
		t = time.Unix(1, 0)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.guard.remove(c)
	c.mu.Lock()
	c.releaseHead()
	c.mu.Unlock()
	return c.TCPConn.Close()
}

// releaseHead returns the memory of the head; c.mu is held.
func (c *Conn) releaseHead() {
	c.guard.heads.Add(-c.head)
	if c.heavy {
		c.guard.heavyHeads.Add(-c.head)
	}
	c.head, c.heavy = 0, false
}

func (c *Conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted != ""
}

// Aborted returns why the body of the present request was given up, or an empty reason.
func (c *Conn) Aborted() Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// Record counts a refusal on the connection, which goes on.
func (c *Conn) Record(r Reason) { c.guard.record(r) }

// Hold says what memory the present request holds.
func (c *Conn) Hold(m Memory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = m
}

func (c *Conn) headMemory() int64 { return c.head }

func (c *Conn) bodyMemory() int64 {
	if c.body == nil {
		return 0
	}
	return c.body.Taken()
}

// stateChanged follows the states of http.Server.
func (c *Conn) stateChanged(state http.ConnState) {
	c.change(func() {
		switch state {
		case http.StateActive:
			c.active = true
		case http.StateIdle:
			c.active, c.begun, c.reading, c.discarding, c.body = false, false, false, false, nil
			c.releaseHead()
			// The next request may have arrived with the last bytes.
			c.head = c.lastRead
			c.guard.heads.Add(c.head)
		case http.StateHijacked:
			c.hijacked, c.body = true, nil
			c.releaseHead()
		}
	})
}

// candidate describes the connection for the choice of one to close.
func (c *Conn) candidate(now time.Duration, rules shedding.Rules, memory func(*Conn) int64) shedding.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := shedding.Conn{Peer: c.peer, Phase: c.phase(), Slow: c.progress.Slow(now, rules), Silent: c.progress.Silent(now), Established: c.established}
	if memory != nil {
		out.Memory = memory(c)
	}
	if c.aborted != "" {
		out.Phase, out.Memory = shedding.Running, 0 // it ends soon
	}
	if c.running > 0 {
		out.Phase = shedding.Running // its requests may have been sent
	}
	return out
}

// observe measures the progress. It returns a reason if it is below the minimum, and the bytes in
// the queues of the kernel.
func (c *Conn) observe(now time.Duration, rules shedding.Rules) (Reason, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hijacked && !c.messages || c.aborted != "" {
		return "", 0
	}
	unread := int64(0)
	if c.wrote {
		c.unsent = c.queue(unix.SIOCOUTQ)
		c.wrote = c.unsent > 0 || c.writing > 0
	}
	phase := c.phase()
	if phase != shedding.Idle && phase != shedding.Head {
		unread = c.queue(unix.SIOCINQ)
	}
	c.queued = c.unsent + unread
	c.progress.Begin(now, phase)
	if phase != shedding.Idle {
		c.idleSince = now
	} else if c.messages && c.idleTimeout > 0 && now-c.idleSince >= c.idleTimeout {
		return IdleTimeout, c.queued
	}
	// Bytes count as sent once the client has acknowledged them.
	if !c.progress.Observe(now, c.received+c.sent-c.unsent, rules) {
		return "", c.queued
	}
	switch {
	case phase == shedding.Writing:
		return SlowReader, c.queued
	case c.messages:
		return SlowMessage, c.queued
	}
	return SlowBody, c.queued
}

func (c *Conn) queue(request uint) int64 {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0 // the connection is closed
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), request) }) // 0 on an error
	if err != nil {
		return 0
	}
	return int64(n)
}

// abort ends the connection if it is still in a phase. A body is given up instead, so that its
// request gets a response.
func (c *Conn) abort(reason Reason, phase shedding.Phase) bool {
	c.mu.Lock()
	if c.aborted != "" || c.phase() != phase || phase == shedding.Running {
		c.mu.Unlock()
		return false
	}
	c.aborted = reason
	if phase == shedding.Body && !c.hijacked {
		defer c.mu.Unlock()
		return c.TCPConn.SetReadDeadline(time.Unix(1, 0)) == nil
	}
	c.mu.Unlock()
	// What the client has not read is dropped: it would stay in the queue of the kernel.
	err := c.SetLinger(0)
	if closeErr := c.Close(); err == nil {
		err = closeErr
	}
	return err == nil
}

// headCost returns the memory of a head with a number of bytes and fields.
func headCost(size, fields int64) int64 { return size*byteCost + fields*fieldCost }

// requestCost returns the memory of the head of a request.
func requestCost(r *http.Request) int64 {
	size, fields := int64(len(r.RequestURI)), int64(1)
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value))
			fields++
		}
	}
	return headCost(size, fields)
}

// begin replaces the estimate of the memory of the head by its true value. It returns why the
// request may not be handled: its connection was closed, or large heads use too much memory.
func (c *Conn) begin(r *http.Request) Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted != "" {
		return c.aborted
	}
	c.releaseHead()
	c.head = requestCost(r)
	c.guard.heads.Add(c.head)
	limit := c.guard.limits.HeadBytes
	if limit == 0 || c.head <= limit/heavyHeadShare {
		return ""
	}
	c.heavy = true
	if c.guard.heavyHeads.Add(c.head) > limit/heavyHeadsShare && c.guard.heavyHeads.Load() > c.head {
		return HeadMemory
	}
	return ""
}

// handler returns a handler that enforces the limits on requests.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.ProtoMajor != 1 {
			g.refuse(w, NotHTTP, http.StatusHTTPVersionNotSupported)
			return
		}
		switch c.begin(r) {
		case "":
		case HeadMemory:
			if c.isAborted() {
				panic(http.ErrAbortHandler)
			}
			g.refuse(w, HeadMemory, http.StatusServiceUnavailable)
			c.discard()
			return
		default:
			// The caller could not get the response.
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &body{ReadCloser: r.Body, conn: c}
		r = r.WithContext(r.Context())
		r.Body = body
		next.ServeHTTP(&responseWriter{w, body}, r)
		body.discard()
	})
}

// refuse refuses a request that has not run and closes its connection.
func (g *Guard) refuse(w http.ResponseWriter, reason Reason, status int) {
	g.record(reason)
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		// Jitter keeps the retries of callers from arriving together.
		w.Header().Set("Retry-After", strconv.FormatFloat(0.8+0.4*rand.Float64(), 'f', 2, 64))
	}
	w.WriteHeader(status)
}

// discard bounds the time for which the rest of a body is read.
func (c *Conn) discard() {
	c.change(func() { c.discarding = true })
	// An error means that the connection is closed.
	_ = c.SetReadDeadline(time.Now().Add(discardTime))
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn             *Conn
	ended, discarded bool
}

// discard bounds the time for the rest of the body, of which the handler reads no more.
func (b *body) discard() {
	if !b.ended && !b.discarded {
		b.discarded = true
		b.conn.discard()
	}
}

// responseWriter bounds the time for the rest of a body when the response begins: http.Server reads
// the body first, for as long as it takes.
type responseWriter struct {
	http.ResponseWriter
	body *body
}

// Unwrap is for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.body.discard()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.body.discard()
	return w.ResponseWriter.Write(p)
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.conn.change(func() { b.conn.reading = true })
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended = errors.Is(err, io.EOF)
		b.conn.change(func() { b.conn.reading = false })
	}
	return n, err
}

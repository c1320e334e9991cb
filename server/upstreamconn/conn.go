// Package upstreamconn exchanges HTTP/1.1 requests and responses with one upstream over
// pooled connections. It reports whether a request may have reached the upstream, matches
// each response with its request, and closes connections whose state is uncertain. The
// bytes that it reads for a response are bounded.
package upstreamconn

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"dandelionhill.dev/platform/httpconn"
	"dandelionhill.dev/server/buffers"
)

const (
	// orderDialTimeout bounds the time to open a connection for an order.
	orderDialTimeout = 500 * time.Millisecond
	// dialTimeout bounds the time to open a connection: a round trip takes a few
	// milliseconds, a lost packet is retransmitted after a second.
	dialTimeout = 700 * time.Millisecond
	// slowDial is the time from which an attempt to connect counts as failing; connections
	// take milliseconds.
	slowDial = 200 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream states no
	// idle timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutShare is the share of the upstream's idle timeout for which a connection is
	// kept, so that the upstream does not close it while a request is being sent.
	idleTimeoutShare = 0.6
	// maxMismatched bounds the responses to other requests that are skipped.
	maxMismatched = 3
	// inlineBody is the largest body, in bytes, that is written before the response is read.
	// The upstream may respond to a larger one before it has read it.
	inlineBody = 4 << 10
	// newConnWait is the time beyond a round trip that Request.CheckNewConn waits: an upstream
	// takes about a millisecond to accept or reject a connection.
	newConnWait = 2500 * time.Microsecond
	// maxRoundTrip bounds the round trip that is assumed from the time to connect, which is
	// longer if a packet was lost.
	maxRoundTrip = 10 * time.Millisecond
	// keepAlive is the idle time after which keep-alive probes start.
	keepAlive = time.Second
	// maxQuietTime is how long a connection may have been quiet before an order is sent on it.
	// The kernel gives a connection up 2.5 s after the last sign of its peer at the earliest,
	// and an order that shares a connection takes 1 s at most.
	maxQuietTime = 1500 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged. It also decides when
	// keep-alive probes without a reply end the connection, whatever their number.
	userTimeout = 3 * time.Second
)

// Errors of an exchange.
var (
	// ErrMismatchedResponse means that only responses to other requests arrived.
	ErrMismatchedResponse = errors.New("the upstream responded to other requests on this connection: the outcome is unknown")
	// ErrInvalidResponse means that the response is incomplete, too large or not acceptable.
	ErrInvalidResponse = errors.New("the upstream's response is invalid: the outcome is unknown")
	// ErrHeadTooLarge means that the head of a response, with all informational responses
	// before it, exceeds its limit.
	ErrHeadTooLarge = errors.New("the head of the upstream's response exceeds its limit: the outcome is unknown")
	// ErrBodyTooLarge means that the body of a response exceeds its limit.
	ErrBodyTooLarge = errors.New("the body of the upstream's response exceeds its limit: the outcome is unknown")
	// ErrDialCancelled means that Pool.CancelDials ended an attempt to connect.
	ErrDialCancelled = errors.New("the upstreams cannot be reached from here: the attempt to connect was given up")
	// ErrNotRead means that the upstream has not begun to read an order.
	ErrNotRead = errors.New("the upstream did not ask for the body of the call in time: it must respond to Expect: 100-continue; the call was not carried out")
	// ErrEmptyOrder means that an order has no body: it would be whole with its head.
	ErrEmptyOrder = errors.New("an order needs a body: send it as another request")
	// ErrOrderWithdrawn means that Order.MaySend has declined.
	ErrOrderWithdrawn = errors.New("the sender of the call may not send it any more: the call was not carried out")
	// ErrEarlyResponse means that a success arrived before the body of the order was sent.
	ErrEarlyResponse = errors.New("the upstream responded before the body of the call was sent: the call was not carried out")
	// ErrWithdrawn means that Request.MaySend has declined.
	ErrWithdrawn = errors.New("the request may not go to this upstream any more: it was not sent")
	// ErrConnectionRejected means that the upstream closed a new connection at once.
	ErrConnectionRejected = errors.New("the upstream accepts no more connections: use another one or retry later")
)

// Error is the error of an exchange.
type Error struct {
	// Sent means that bytes of the request may have reached the upstream; for an order, that it
	// may be carried out.
	Sent bool
	// Connected means that there was a connection to the upstream.
	Connected bool
	// Refused means that the address refuses connections: no process listens there.
	Refused bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is an HTTP request to the upstream.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// CheckNewConn waits for a round trip and newConnWait on a new connection before the
	// request is sent: an upstream with too many connections resets it, and the request has
	// not run.
	CheckNewConn bool
	// OwnConn sends the request on a new connection, which is closed afterwards. A response
	// that cannot be matched with its request may be a late copy of an earlier one.
	OwnConn bool
	// MaySend is asked once there is a connection, before anything is sent; nil stands for yes. To
	// connect can take dialTimeout.
	MaySend func() bool
	// Order, unless it is nil, means that the request must not be carried out after Do has
	// returned.
	Order *Order
	// Earlier holds the connections on which this request was sent before. They are not used
	// again: a late copy of the earlier response would match. nil if it is sent once.
	Earlier *Connections
	// Trace, unless it is nil, receives how the request was sent. SentAt is set for bodies up to
	// inlineBody.
	Trace *Trace
	// Buffers bounds the memory of the response together with other responses.
	Buffers *buffers.Reservation
	// Matches reports whether a response belongs to this request; nil accepts all.
	Matches func(status int, header http.Header) bool
	// Window, unless it is 0, is the number of bytes of a body from which a response that matches
	// is returned with a Stream, before it is whole.
	Window int64
	// MayStream reports whether a response that matches may be returned so; nil accepts all.
	MayStream func(status int) bool
}

// Trace says how a request was sent.
type Trace struct {
	// NewConn means that its connection was opened for it.
	NewConn bool
	// Asked means that the upstream has asked for the body of an order.
	Asked bool
	// SentAt is when its last byte was handed to the kernel, zero if it was not.
	SentAt time.Time
}

// Connections is the set of connections on which a request was sent.
type Connections struct{ conns []*conn }

func (s *Connections) add(c *conn) {
	if s != nil {
		s.conns = append(s.conns, c)
	}
}

// Merge adds the connections of another set.
func (s *Connections) Merge(other Connections) { s.conns = append(s.conns, other.conns...) }

func (s *Connections) contains(c *conn) bool { return s != nil && slices.Contains(s.conns, c) }

// Limits bounds a response, in bytes.
type Limits struct {
	// Head bounds the head with all informational responses before it, Body the body.
	Head, Body int64
}

// bodyOverhead is the number of bytes on the wire for each byte of the largest body: a
// chunked body has additional bytes for each chunk.
const bodyOverhead = 2

// Watcher learns how attempts to connect go. Its methods must return quickly.
type Watcher interface {
	// Connected is called when a connection was opened.
	Connected()
	// Unreachable is called when an attempt fails, and when it takes longer than slowDial.
	Unreachable()
}

// Network is how a Pool connects. The zero value uses Dial and has no watcher.
type Network struct {
	// Dial opens a connection; nil stands for the function Dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Watcher, unless it is nil, learns how attempts to connect go.
	Watcher Watcher
}

// Pool keeps connections to one address.
type Pool struct {
	address string
	limits  Limits
	network Network

	mu     sync.Mutex
	idle   []*conn
	closed bool
	// dials holds the attempts to connect that are under way.
	dials map[*context.CancelCauseFunc]bool
}

// New returns a Pool without connections.
func New(address string, limits Limits, network Network) *Pool {
	if network.Dial == nil {
		network.Dial = Dial
	}
	return &Pool{address: address, limits: limits, network: network, dials: make(map[*context.CancelCauseFunc]bool)}
}

type conn struct {
	net.Conn
	checked *httpconn.Conn // of Conn; all reads and writes use it
	bounded *boundedReader
	reader  *bufio.Reader // of bounded
	expires time.Time     // while idle
	// quietSince is when the last response was read.
	quietSince time.Time
	// resets means that any end of the process or of the connection resets it.
	resets bool
}

// Close closes the idle connections; those in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.expires) {
			c.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// get returns an idle connection for a request, nil if there is none.
func (p *Pool) get(req *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for n := len(p.idle) - 1; n >= 0; n-- {
		c := p.idle[n]
		if req.Earlier.contains(c) || req.Order != nil && now.Sub(c.quietSince) > maxQuietTime {
			continue
		}
		p.idle = slices.Delete(p.idle, n, n+1)
		if now.Before(c.expires) && c.usable() {
			return c
		}
		c.Close()
	}
	return nil
}

func (p *Pool) put(c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	c.quietSince = time.Now()
	c.expires = c.quietSince.Add(idle)
	p.idle = append(p.idle, c)
}

// abort closes the connection. After a failure it resets it, so that the kernel does not
// continue to send a request that was given up.
func (c *conn) abort(failure error) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && failure != nil {
		// If it fails, the close below still ends the connection.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// Connect opens a connection and adds it to the pool. The error is an *Error.
func (p *Pool) Connect(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c, defaultIdleTimeout)
	return nil
}

// Refused reports whether err means that an address refuses connections.
func Refused(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Refused
}

// CancelDials ends the attempts to connect that are under way.
func (p *Pool) CancelDials() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for cancel := range p.dials {
		(*cancel)(ErrDialCancelled)
	}
}

// usable reports whether the connection is open without unread bytes. Bytes that arrive
// before a request is sent belong to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return quiet && err == nil
}

// dialer opens connections that detect an unresponsive peer.
var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive / 2, Count: 3},
	Control: func(_, _ string, c syscall.RawConn) error {
		var setErr error
		if err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		}); err != nil {
			return err
		}
		return setErr
	},
}

// Dial opens a connection that detects an unresponsive peer.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.mu.Lock()
	p.dials[&cancel] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.dials, &cancel)
	}()
	watcher := p.network.Watcher
	if watcher != nil {
		slow := time.AfterFunc(slowDial, watcher.Unreachable)
		defer slow.Stop()
	}
	c, err := p.network.Dial(dialCtx, "tcp", p.address)
	if watcher != nil && err == nil {
		watcher.Connected()
	}
	if watcher != nil && err != nil && dialCtx.Err() == nil {
		watcher.Unreachable()
	}
	if err != nil {
		if errors.Is(context.Cause(dialCtx), ErrDialCancelled) {
			err = ErrDialCancelled
		}
		return nil, &Error{Err: errors.Wrap(err, "connect to the upstream"), Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	checked := httpconn.NewConn(c)
	bounded := &boundedReader{source: checked}
	return &conn{Conn: c, checked: checked, bounded: bounded, reader: bufio.NewReaderSize(bounded, 4<<10)}, nil
}

// Do sends a request and returns the complete response, or one with a Stream (Request.Window).
// The error is an *Error. The connection is closed if ctx ends before Do returns.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: err}
	}
	if req.Order != nil && len(req.Body) == 0 {
		return nil, &Error{Err: ErrEmptyOrder}
	}
	c, opened, err := p.connection(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		c.Close()
		return nil, &Error{Err: err}
	}
	if req.MaySend != nil && !req.MaySend() {
		c.Close()
		return nil, &Error{Connected: true, Err: ErrWithdrawn}
	}
	unsent := p.encodeHead(req)
	if req.Order != nil {
		if err := c.keepForOrder(req.OwnConn); err != nil {
			c.Close()
			return nil, &Error{Connected: true, Err: err}
		}
		limit := req.Order.ReadTimeout
		if opened {
			limit = req.Order.NewConnReadTimeout
		}
		responseTimeout := req.Order.ResponseTimeout
		if req.Order.Whole {
			responseTimeout += limit
		} else {
			readCtx, cancelRead := context.WithTimeout(ctx, limit)
			defer cancelRead()
			resp, err := p.awaitReader(readCtx, c, req, unsent.Bytes())
			if err != nil {
				c.abort(err)
				return nil, &Error{Connected: true, Err: err}
			}
			if resp != nil {
				c.Close()
				return resp, nil
			}
			if req.Trace != nil {
				req.Trace.Asked = true
			}
			unsent.Reset()
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, responseTimeout)
		defer cancel()
	}
	req.Earlier.add(c)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	resp, idle, err := p.exchange(c, req, unsent)
	running := stop()
	if err == nil && resp.Stream != nil {
		if running {
			return resp, nil
		}
		err = ctx.Err()
	}
	if !running {
		idle = 0
	}
	if err == nil && idle > 0 && !req.OwnConn {
		p.put(c, idle)
	} else {
		c.abort(err)
	}
	if err != nil {
		sent := !errors.Is(err, ErrOrderWithdrawn)
		if ctx.Err() != nil {
			err = errors.Wrap(ctx.Err(), err.Error())
		}
		return nil, &Error{Sent: sent, Connected: true, Err: err}
	}
	return resp, nil
}

// connection returns an idle connection or opens one.
func (p *Pool) connection(ctx context.Context, req *Request) (c *conn, opened bool, err error) {
	if !req.OwnConn {
		if c := p.get(req); c != nil {
			return c, false, nil
		}
	}
	if req.Trace != nil {
		req.Trace.NewConn = true
	}
	if req.Order != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, orderDialTimeout)
		defer cancel()
	}
	began := time.Now()
	if c, err = p.dial(ctx); err != nil {
		return nil, true, err
	}
	if req.CheckNewConn {
		time.Sleep(min(time.Since(began), maxRoundTrip) + newConnWait)
		if !c.usable() {
			c.Close()
			return nil, true, &Error{Err: ErrConnectionRejected}
		}
	}
	return c, true, nil
}

// exchange sends the head, unless it is empty, and the body. It returns the response and for how
// long the connection may stay idle, 0 if it must be closed.
func (p *Pool) exchange(c *conn, req *Request, head *bytes.Buffer) (*Response, time.Duration, error) {
	written := make(chan error, 1)
	if req.Order != nil && req.Order.MaySend != nil && !req.Order.MaySend() {
		return nil, 0, ErrOrderWithdrawn
	}
	if len(req.Body) <= inlineBody {
		head.Write(req.Body)
		_, err := c.checked.Write(head.Bytes())
		if req.Trace != nil && err == nil {
			req.Trace.SentAt = time.Now()
		}
		written <- err
	} else {
		go func() {
			written <- c.checked.WriteBuffers(net.Buffers{head.Bytes(), req.Body})
		}()
	}
	for range maxMismatched {
		resp, idle, err := p.readResponse(c, req)
		if err != nil {
			return nil, 0, err
		}
		if req.Matches != nil && !req.Matches(resp.Status, resp.Header) {
			continue
		}
		if resp.Stream != nil {
			resp.Stream.written = written
			return resp, 0, nil
		}
		select {
		case err := <-written:
			if err != nil {
				idle = 0
			}
		default:
			// The upstream would take the rest of the body for another request.
			idle = 0
		}
		return resp, idle, nil
	}
	return nil, 0, ErrMismatchedResponse
}

func (p *Pool) encodeHead(req *Request) *bytes.Buffer {
	head := bytes.NewBuffer(make([]byte, 0, 512+min(len(req.Body), inlineBody)))
	head.WriteString(req.Method)
	head.WriteByte(' ')
	head.WriteString(req.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	host := req.Host
	if host == "" {
		host = p.address
	}
	head.WriteString(host)
	head.WriteString("\r\n")
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(req.Body)))
		head.WriteString("\r\n")
	}
	if req.Order != nil && !req.Order.Whole {
		head.WriteString("Expect: 100-continue\r\n")
	}
	// A write to a buffer does not fail.
	_ = req.Header.Write(head)
	head.WriteString("\r\n")
	return head
}

package upstreamconn

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/delivery"
)

// Stream is a response that is delivered while it is read. Deliver must be called once. It owns
// the connection until nothing more is read from it.
type Stream struct {
	// Length is the stated length of the body, negative if there is none.
	Length int64
	// Finished, unless it is nil, is called once when nothing more is read from the upstream. It
	// must be set before Deliver. err is nil if the response is whole, and ErrAbandoned if Deliver
	// gave it up. unread is the longest time for which nothing was read because the window was
	// full.
	Finished func(err error, unread time.Duration)

	pool    *Pool
	conn    *conn
	req     *Request
	resp    *http.Response
	window  []byte       // the first bytes of the body; reused for the others
	written <-chan error // receives the result of writing the request

	mu    sync.Mutex
	ended bool // the connection belongs to the pool or is closed
}

// ErrAbandoned means that the reader of a response has given it up.
var ErrAbandoned = errors.New("the response was given up before it was whole: its caller does not read it")

// Patience bounds the wait for an upstream that sends a response.
type Patience struct {
	// Until is the time up to which the upstream may be silent. Later, its silence may last
	// Silence each time.
	Until   time.Time
	Silence time.Duration
}

// streams reports whether a response may be delivered while it is read.
func (r *Request) streams(resp *http.Response) bool {
	return r.Window > 0 && r.Order == nil && r.Method != http.MethodHead && delivery.Windowed(resp.ContentLength, r.Window) &&
		r.Matches != nil && r.Matches(resp.StatusCode, resp.Header) && (r.MayStream == nil || r.MayStream(resp.StatusCode))
}

// readWindow reads the first bytes of a body. The response has a Stream if that is not the whole.
func (p *Pool) readWindow(c *conn, req *Request, resp *http.Response) (*Response, error) {
	if resp.ContentLength > p.limits.Body {
		return nil, ErrBodyTooLarge
	}
	window := min(req.Window, p.limits.Body)
	first, err := req.Buffers.ReadAll(io.LimitReader(resp.Body, window), window)
	if err != nil {
		return nil, err
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Body: first}
	if int64(len(first)) == window {
		out.Body = nil
		out.Stream = &Stream{Length: resp.ContentLength, pool: p, conn: c, req: req, resp: resp, window: first}
	}
	return out, nil
}

// Deliver passes the body to write in pieces, while it reads the rest of it ahead as far as the
// window has room. The pieces are valid during the call of write only. It returns nil if the
// body was whole and all of it was written, and the first error otherwise. ctx ends the delivery.
func (s *Stream) Deliver(ctx context.Context, patience Patience, write func(piece []byte) error) error {
	caller := ctx
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	stop := context.AfterFunc(ctx, s.giveUp)
	defer stop()
	pieces := len(s.window)/delivery.PieceBytes + 1
	full, free := make(chan []byte, pieces), make(chan []byte, pieces)
	for rest := s.window; len(rest) > 0; {
		n := min(len(rest), delivery.PieceBytes)
		full <- rest[:n:n]
		rest = rest[n:]
	}
	var readErr error
	go func() {
		defer close(full)
		var unread time.Duration
		unread, readErr = s.read(ctx, full, free, patience)
		s.finish(readErr, unread)
	}()
	var writeErr error
	for piece := range full {
		if writeErr != nil {
			continue
		}
		if writeErr = write(piece); writeErr != nil {
			s.giveUp()
			cancel()
			continue
		}
		free <- piece[:cap(piece)]
	}
	if writeErr != nil {
		return writeErr
	}
	if readErr != nil && caller.Err() != nil {
		return errors.Wrap(caller.Err(), readErr.Error())
	}
	return readErr
}

// read reads the body into free pieces.
func (s *Stream) read(ctx context.Context, full chan<- []byte, free <-chan []byte, patience Patience) (unread time.Duration, err error) {
	total := int64(len(s.window))
	for {
		var piece []byte
		began := time.Now()
		select {
		case piece = <-free:
		case <-ctx.Done():
			return unread, ErrAbandoned
		}
		now := time.Now()
		unread = max(unread, now.Sub(began))
		until := now.Add(patience.Silence)
		if patience.Until.After(until) {
			until = patience.Until
		}
		if err := s.conn.SetReadDeadline(until); err != nil {
			return unread, errors.Wrap(err, "bound the wait for the rest of a response")
		}
		n, err := s.resp.Body.Read(piece)
		total += int64(n)
		if total > s.pool.limits.Body {
			return unread, ErrBodyTooLarge
		}
		if n > 0 {
			full <- piece[:n]
		}
		if errors.Is(err, io.EOF) {
			return unread, nil
		}
		if err != nil {
			return unread, errors.Wrap(err, "read the body of the upstream's response")
		}
		if n == 0 {
			return unread, io.ErrNoProgress
		}
	}
}

// finish ends the use of the connection and reports the end.
func (s *Stream) finish(err error, unread time.Duration) {
	s.mu.Lock()
	if s.ended && err != nil {
		err = ErrAbandoned
	}
	if !s.ended {
		s.ended = true
		s.release(err)
	}
	s.mu.Unlock()
	if s.Finished != nil {
		s.Finished(err, unread)
	}
}

// release returns the connection to the pool, or closes it; s.mu is held.
func (s *Stream) release(err error) {
	idle := s.conn.idleTimeout(s.resp)
	select {
	case writeErr := <-s.written:
		if writeErr != nil {
			idle = 0
		}
	default:
		// The upstream would take the rest of the request's body for another request.
		idle = 0
	}
	reusable := err == nil && idle > 0 && !s.req.OwnConn
	if reusable && s.conn.SetReadDeadline(time.Time{}) == nil {
		s.pool.put(s.conn, idle)
		return
	}
	s.conn.abort(err)
}

// giveUp closes the connection unless its response is whole, which ends the work of the upstream.
func (s *Stream) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		s.conn.abort(ErrAbandoned)
	}
}

package upstreamconn

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/platform/httpconn"
	"dandelionhill.dev/server/buffers"
)

// Response is a complete response, unless it has a Stream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream delivers the body of a response that exceeds Request.Window.
	Stream *Stream
}

// boundedReader fails after a number of bytes.
type boundedReader struct {
	source io.Reader
	left   int64
	// err is the error after the last byte; exceeded means that it was returned.
	err      error
	exceeded bool
	// failed means that the source has returned an error.
	failed bool
}

// allow permits a number of bytes from now on, and sets the error after them.
func (r *boundedReader) allow(bytes int64, err error) {
	r.left, r.err, r.exceeded = bytes, err, false
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		r.exceeded = true
		return 0, r.err
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	r.failed = r.failed || err != nil
	return n, err
}

func (p *Pool) readResponse(c *conn, req *Request) (*Response, time.Duration, error) {
	c.bounded.allow(p.limits.Head, ErrHeadTooLarge)
	for {
		resp, err := p.readHead(c, req)
		if err != nil {
			return nil, 0, err
		}
		if resp.StatusCode >= http.StatusOK {
			return p.readBody(c, req, resp)
		}
	}
}

// readHead reads the head of a response, which may be informational.
func (p *Pool) readHead(c *conn, req *Request) (*http.Response, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
	malformed := err != nil && !c.bounded.failed
	if err == nil {
		err = httpconn.CheckHead(resp.StatusCode, resp.Header)
		malformed = err != nil
	}
	switch {
	case c.bounded.exceeded:
		// The parser may have failed on the line that was cut.
		err = ErrHeadTooLarge
	case malformed:
		err = errors.WithMessage(ErrInvalidResponse, err.Error())
	}
	return resp, errors.Wrap(err, "read the upstream's response")
}

// readBody reads the body of a response. It returns for how long the connection may stay
// idle, 0 if it must be closed.
func (p *Pool) readBody(c *conn, req *Request, resp *http.Response) (*Response, time.Duration, error) {
	c.bounded.allow(bodyOverhead*p.limits.Body, ErrBodyTooLarge)
	if req.streams(resp) {
		out, err := p.readWindow(c, req, resp)
		if err != nil {
			return nil, 0, errors.Wrap(err, "read the first bytes of the upstream's response")
		}
		return out, c.idleTimeout(resp), nil
	}
	body, err := req.Buffers.ReadAll(resp.Body, p.limits.Body)
	if errors.Is(err, buffers.ErrTooLarge) {
		err = ErrBodyTooLarge
	}
	if err != nil {
		// Closing the body would read the rest of it.
		return nil, 0, errors.Wrap(err, "read the body of the upstream's response")
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, c.idleTimeout(resp), nil
}

// idleTimeout returns for how long the connection may stay idle after a whole response, 0 if it
// must be closed: bytes beyond the response belong to no request.
func (c *conn) idleTimeout(resp *http.Response) time.Duration {
	if c.reader.Buffered() > 0 {
		return 0
	}
	return idleTimeout(resp)
}

// idleTimeout returns for how long a connection may stay idle after a response.
func idleTimeout(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(s) * idleTimeoutShare * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

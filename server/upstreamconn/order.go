package upstreamconn

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Order says how a request that must not be carried out late is sent. Its body leaves once the
// upstream has begun to read it ("Expect: 100-continue"): a request that is whole can wait in the
// upstream's receive buffer, and the reset of a connection that is given up can be lost.
//
// Bytes that a cut of the network holds up arrive when it heals, unless the sender resets the
// connection; it does not if the kernel gives the connection up, or closes it for a killed
// process. So each end of the connection is a reset.
type Order struct {
	// ReadTimeout bounds the time until the upstream begins to read. NewConnReadTimeout takes its
	// place on a new connection, which an upstream may read only when it has a free slot.
	ReadTimeout, NewConnReadTimeout time.Duration
	// ResponseTimeout bounds the time from there to the response.
	ResponseTimeout time.Duration
	// Whole means that the body is sent with the head, to an upstream that does not ask for it. Such
	// an order may be carried out long after Do has returned.
	Whole bool
	// MaySend is asked immediately before the body leaves; nil stands for yes.
	MaySend func() bool
}

// keepForOrder makes every end of the connection a reset. alone means that it carries nothing
// but the order: its limit ends the exchange, and the kernel must not do so before.
func (c *conn) keepForOrder(alone bool) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.resets {
		return nil
	}
	if err := tcp.SetLinger(0); err != nil {
		return errors.Wrap(err, "make the connection reset when it ends")
	}
	c.resets = true
	if !alone {
		return nil
	}
	if err := tcp.SetKeepAlive(false); err != nil {
		return errors.Wrap(err, "switch keep-alive probes off")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the socket")
	}
	var setErr error
	if err := raw.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 0) }); err != nil {
		return errors.Wrap(err, "access the socket")
	}
	return errors.Wrap(setErr, "switch the user timeout off")
}

// awaitReader sends the head of an order and waits until the upstream asks for the body. If it
// responds instead, with a refusal, the response is returned and the connection must be closed.
func (p *Pool) awaitReader(ctx context.Context, c *conn, req *Request, head []byte) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	resp, err := p.sendHead(c, req, head)
	switch {
	case !stop():
		return nil, ErrNotRead
	case err != nil:
		return nil, err
	case resp != nil && resp.Status < http.StatusMultipleChoices:
		return nil, ErrEarlyResponse
	}
	return resp, nil
}

// sendHead sends a head and returns nil once the upstream asks for the body, or its response.
func (p *Pool) sendHead(c *conn, req *Request, head []byte) (*Response, error) {
	if _, err := c.checked.Write(head); err != nil {
		return nil, errors.Wrap(err, "send the head of a call")
	}
	c.bounded.allow(p.limits.Head, ErrHeadTooLarge)
	for {
		resp, err := p.readHead(c, req)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusContinue:
			return nil, nil
		case resp.StatusCode >= http.StatusOK:
			final, _, err := p.readBody(c, req, resp)
			if err == nil && req.Matches != nil && !req.Matches(final.Status, final.Header) {
				err = ErrMismatchedResponse
			}
			return final, err
		}
	}
}

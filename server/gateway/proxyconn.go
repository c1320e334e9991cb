package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/upstreamconn"
)

const (
	// proxyPath is the path at which a VM accepts requests of isolated VMs.
	proxyPath = "/proxy/v1"
	// proxyDialTimeout bounds the time to connect to a VM: a round trip takes a few
	// milliseconds.
	proxyDialTimeout = 300 * time.Millisecond
	// proxyPingInterval is the interval of pings while requests wait for a response. The
	// connection ends if a pong takes longer than linkTimeout.
	proxyPingInterval = 400 * time.Millisecond
	// encodingMargin is the usual size of an encoded response without its body.
	encodingMargin = 2 << 10
	// proxyIdleTimeout is how long a connection without requests is kept.
	proxyIdleTimeout = 5 * time.Second
)

// proxyFrame is a message between an isolated VM and one that sends its requests. ID numbers
// the requests of a connection.
type proxyFrame struct {
	ID       uint64         `cbor:"1,keyasint"`
	Request  *proxyRequest  `cbor:"2,keyasint,omitempty"`
	Response *proxyResponse `cbor:"3,keyasint,omitempty"`
	// Cancel means that the caller has left.
	Cancel bool `cbor:"4,keyasint,omitempty"`
}

// proxyRequest is a request of a caller of an isolated VM.
type proxyRequest struct {
	From   api.VMID    `cbor:"1,keyasint"`
	Method string      `cbor:"2,keyasint"`
	Target string      `cbor:"3,keyasint"`
	Host   string      `cbor:"4,keyasint"`
	Header http.Header `cbor:"5,keyasint"`
	Body   []byte      `cbor:"6,keyasint"`
	// TimeoutMs is how much longer the caller waits, in milliseconds.
	TimeoutMs int64 `cbor:"7,keyasint"`
	// Configuration is the version with which the isolated VM chose the route.
	Configuration int64 `cbor:"8,keyasint"`
	// Counted means that the isolated VM has counted the request for its retry budget;
	// MayHaveRun is the number of upstreams that may have run it.
	Counted    bool `cbor:"9,keyasint,omitempty"`
	MayHaveRun int  `cbor:"10,keyasint,omitempty"`
	// Authorization holds the caller's credentials in a deployment with workspaces. They are no
	// part of Header, which VMs of earlier versions forward to upstreams as it is.
	Authorization []string `cbor:"20,keyasint,omitempty"`
	// Exact means that the request must be handled by version Configuration and by no newer one. VMs
	// of earlier versions leave it out and take any that is not older.
	Exact bool `cbor:"11,keyasint,omitempty"`
	// WantConfiguration means that there is no request: the receiver returns its configuration.
	WantConfiguration bool `cbor:"12,keyasint,omitempty"`
	// ConfigurationRow, unless it is nil, means that there is no request: the receiver, which has an
	// older configuration than version Configuration, applies this row.
	ConfigurationRow *fleet.Row `cbor:"13,keyasint,omitempty"`
	// Domain is the failure domain of the isolated VM; VMs of earlier versions state none.
	Domain api.FailureDomain `cbor:"16,keyasint,omitempty"`
}

// proxyResponse is the response of an upstream, or the outcome of a request without one.
type proxyResponse struct {
	// Status is the status of the upstream's response, 0 if there is none.
	Status int         `cbor:"1,keyasint,omitempty"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	// Reason, FailureStatus, RetryAfterMs and Error are the outcome.
	Reason        reason `cbor:"4,keyasint,omitempty"`
	FailureStatus int    `cbor:"5,keyasint,omitempty"`
	RetryAfterMs  int64  `cbor:"6,keyasint,omitempty"`
	Error         string `cbor:"7,keyasint,omitempty"`
	// Upstream is the upstream of the last send.
	Upstream   api.UpstreamID `cbor:"8,keyasint,omitempty"`
	Sends      int            `cbor:"9,keyasint,omitempty"`
	MayHaveRun int            `cbor:"10,keyasint,omitempty"`
	// Configuration is the version that the VM has, 0 if it has none; 0 from VMs of earlier versions.
	Configuration int64 `cbor:"13,keyasint,omitempty"`
	// ConfigurationRow is the row with that version, for a VM that wants it.
	ConfigurationRow *fleet.Row `cbor:"14,keyasint,omitempty"`
	// NeedsConfiguration means that the VM has an older configuration than the request names, and
	// takes it from the sender.
	NeedsConfiguration bool `cbor:"15,keyasint,omitempty"`

	// release, unless it is nil, returns the memory of the response.
	release func()
}

// notTaken reports whether the VM could not send the request to any upstream, so that another
// VM may.
func (r *proxyResponse) notTaken() bool {
	switch r.Reason {
	case isolatedVM, vmStopping, messagesFull, noConfiguration, newerConfiguration, noRoute, unconfirmed:
		return r.Sends == 0
	}
	return false
}

// errNoOutcome means that the message of another VM is neither a response nor a refusal.
var errNoOutcome = errors.New("the VM that sends the request returned no outcome")

// valid reports whether the message is a whole response of an upstream, or a refusal. Only the VM
// that the caller is connected to knows whether the caller has left.
func (r *proxyResponse) valid() bool {
	if r.Status != 0 {
		return r.Status >= http.StatusOK && r.Status <= 999
	}
	return r.Reason != callerLeft && r.FailureStatus >= http.StatusBadRequest && r.FailureStatus <= 599
}

// proxyConn is a connection of an isolated VM to one that sends its requests.
type proxyConn struct {
	ws       *websocket.Conn
	messages *listen.MessageConn
	stalls   *stalls

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan *proxyResponse
	usedAt  time.Time
	// err is why the connection has ended; ended is closed then.
	err   error
	ended chan struct{}
}

// dialProxy connects to a VM.
func dialProxy(ctx context.Context, address string, maxMessageBytes int64, messages *listen.Messages, stalls *stalls) (*proxyConn, error) {
	ctx, cancel := context.WithTimeout(ctx, proxyDialTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: upstreamconn.Dial, MaxResponseHeaderBytes: maxHeaderBytes}}
	defer client.CloseIdleConnections()
	ws, _, err := websocket.Dial(ctx, "ws://"+address+proxyPath, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return nil, errors.Wrap(err, "connect to a VM that reaches the upstreams")
	}
	ws.SetReadLimit(maxMessageBytes)
	c := &proxyConn{ws: ws, messages: messages.Connection(nil, maxMessageBytes), stalls: stalls, waiting: make(map[uint64]chan *proxyResponse), usedAt: time.Now(), ended: make(chan struct{})}
	go c.read()
	go c.keepAlive()
	return c, nil
}

// read passes responses to the requests that wait for them, until the connection ends.
func (c *proxyConn) read() {
	for {
		var frame proxyFrame
		message, err := readMessage(context.Background(), c.messages, c.ws)
		switch {
		case errors.Is(err, listen.ErrMessageRefused):
			// The request that waits for this response ends without one.
			frame.ID, err = frameID(message.Data)
		case err == nil:
			err = cbor.Unmarshal(message.Data, &frame)
		}
		message.Release()
		if err != nil {
			c.end(errors.Wrap(err, "read from a VM that sends requests"))
			return
		}
		c.mu.Lock()
		waiting := c.waiting[frame.ID]
		delete(c.waiting, frame.ID)
		c.mu.Unlock()
		if waiting != nil {
			waiting <- frame.Response
		}
	}
}

// errProxyIdle means that a connection to another VM was not used for a while.
var errProxyIdle = errors.New("the connection to the VM was not used")

// keepAlive ends the connection if the other VM is silent while requests wait, and if there
// are no requests for proxyIdleTimeout.
func (c *proxyConn) keepAlive() {
	ticker := time.NewTicker(proxyPingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ended:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		idle := len(c.waiting) == 0
		expired := idle && time.Since(c.usedAt) > proxyIdleTimeout
		c.mu.Unlock()
		switch {
		case expired:
			c.end(errProxyIdle)
			return
		case idle:
			continue
		}
		ctx, stop := c.stalls.within(context.Background(), linkTimeout)
		err := c.ws.Ping(ctx)
		stop()
		if err != nil {
			c.end(errors.Wrap(err, "the VM that sends requests is silent"))
			return
		}
	}
}

// end closes the connection; requests that wait get no response.
func (c *proxyConn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	close(c.ended)
	go c.ws.CloseNow()
}

func (c *proxyConn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil
}

// call sends a request and waits for its response. sent means that the request may have
// reached the other VM. If ctx ends, the request is cancelled there.
func (c *proxyConn) call(ctx context.Context, req *proxyRequest) (resp *proxyResponse, sent bool, err error) {
	response := make(chan *proxyResponse, 1)
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return nil, false, c.err
	}
	c.lastID++
	id := c.lastID
	c.waiting[id], c.usedAt = response, time.Now()
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.waiting, id)
		c.usedAt = time.Now()
	}()
	// A write that is cancelled ends the connection for all requests, so it has a time limit of
	// its own.
	if err := send(context.Background(), c.ws, proxyFrame{ID: id, Request: req}); err != nil {
		c.end(err)
		return nil, true, err
	}
	select {
	case resp := <-response:
		if resp == nil {
			return nil, true, buffers.ErrExhausted
		}
		return resp, true, nil
	case <-c.ended:
		return nil, true, c.err
	case <-ctx.Done():
		if err := send(context.Background(), c.ws, proxyFrame{ID: id, Cancel: true}); err != nil {
			c.end(err)
		}
		return nil, true, errors.Wrap(ctx.Err(), "wait for the VM that sends the request")
	}
}

// readMessage reads a message within the limits on messages. The message must be released.
func readMessage(ctx context.Context, messages *listen.MessageConn, ws *websocket.Conn) (*listen.Message, error) {
	return messages.Read(func() (io.Reader, error) {
		_, r, err := ws.Reader(ctx)
		return r, err
	}, wire.Items)
}

// errNoFrameID means that the first bytes of a message do not hold the ID of a request.
var errNoFrameID = errors.New("a message was refused for its size, and it does not begin with its number")

// frameID returns the ID of a frame of which only the first bytes are known: VMs encode it first.
func frameID(head []byte) (id uint64, err error) {
	const cborMap, key = 5, 1
	if len(head) < 3 || head[0]>>5 != cborMap || head[1] != key {
		return 0, errNoFrameID
	}
	if _, err := cbor.UnmarshalFirst(head[2:], &id); err != nil {
		return 0, errNoFrameID
	}
	return id, nil
}

// servedProxyConn is a connection on which an isolated VM passes its requests.
type servedProxyConn struct {
	ws       *websocket.Conn
	messages *listen.MessageConn
	guard    guard
	serve    func(context.Context, *proxyRequest) *proxyResponse
	// ended ends the connection.
	ended context.CancelFunc

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
	// sending admits one response at a time, as each has an encoded copy.
	sending sync.Mutex
}

// serveProxyConn passes the requests on a connection to serve and sends the responses, until
// the connection ends.
func serveProxyConn(ctx context.Context, ws *websocket.Conn, messages *listen.MessageConn, guard guard, serve func(context.Context, *proxyRequest) *proxyResponse) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &servedProxyConn{ws: ws, messages: messages, guard: guard, serve: serve, ended: cancel, cancels: make(map[uint64]context.CancelFunc)}
	for {
		message, err := readMessage(ctx, messages, ws)
		switch {
		case err == nil:
			err = c.handle(ctx, message)
		case errors.Is(err, listen.ErrMessageRefused):
			err = c.refuseMessage(ctx, message)
		default:
			message.Release() // a part of it has arrived
		}
		if err != nil {
			return errors.Wrap(err, "read from an isolated VM")
		}
	}
}

// refuseMessage refuses the request of which only the first bytes are known.
func (c *servedProxyConn) refuseMessage(ctx context.Context, message *listen.Message) error {
	defer message.Release()
	id, err := frameID(message.Data)
	if err != nil {
		return err
	}
	return c.refuse(ctx, id)
}

// refuse says that a request has not run and never will: another VM may send it.
func (c *servedProxyConn) refuse(ctx context.Context, id uint64) error {
	return send(ctx, c.ws, proxyFrame{ID: id, Response: &proxyResponse{
		Reason: messagesFull, FailureStatus: http.StatusServiceUnavailable, RetryAfterMs: otherVMRetryAfter.Milliseconds(),
	}})
}

// handle handles a message and releases it.
func (c *servedProxyConn) handle(ctx context.Context, message *listen.Message) error {
	var frame proxyFrame
	err := cbor.Unmarshal(message.Data, &frame)
	message.Decoded()
	if err != nil || frame.Request == nil {
		message.Release()
		c.mu.Lock()
		defer c.mu.Unlock()
		if stop := c.cancels[frame.ID]; frame.Cancel && stop != nil {
			stop()
		}
		return errors.Wrap(err, "decode a message of an isolated VM")
	}
	if err := message.Handle(); err != nil {
		message.Release()
		return c.refuse(ctx, frame.ID)
	}
	requestCtx, stop := context.WithCancel(ctx)
	c.mu.Lock()
	c.cancels[frame.ID] = stop
	c.mu.Unlock()
	go func() {
		defer stop()
		c.serveRequest(ctx, requestCtx, frame, message)
	}()
	return nil
}

// serveRequest sends a request and then its response, unless the caller has left.
func (c *servedProxyConn) serveRequest(ctx, requestCtx context.Context, frame proxyFrame, message *listen.Message) {
	resp := &proxyResponse{Reason: responseLost, FailureStatus: http.StatusBadGateway, MayHaveRun: 1}
	c.guard.run("proxied_request", func() { resp = c.serve(requestCtx, frame.Request) })
	if resp.release != nil {
		defer resp.release()
	}
	// Responses that wait for their turn hold no memory that the one before them waits for.
	message.Release()
	c.mu.Lock()
	delete(c.cancels, frame.ID)
	c.mu.Unlock()
	if requestCtx.Err() != nil {
		return
	}
	c.sending.Lock()
	defer c.sending.Unlock()
	if requestCtx.Err() != nil {
		return
	}
	size := len(resp.Body) + encodingMargin
	releaseCopy, ok := c.messages.Reserve(requestCtx, int64(size))
	defer releaseCopy()
	if !ok {
		resp = &proxyResponse{Reason: responseLost, FailureStatus: http.StatusBadGateway, Upstream: resp.Upstream, Sends: resp.Sends, MayHaveRun: resp.MayHaveRun}
	}
	if err := sendSized(ctx, c.ws, proxyFrame{ID: frame.ID, Response: resp}, size); err != nil {
		c.ended()
	}
}

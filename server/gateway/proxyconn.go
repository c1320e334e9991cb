package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/delivery"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/listen"
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
	// Part is a part of a large message, for VMs that have said that they take parts.
	Part *proxyPart `cbor:"5,keyasint,omitempty"`
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
	case isolatedVM, vmStopping, messagesFull, linkTooSlow, noConfiguration, newerConfiguration, noRoute, unconfirmed:
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
	sender   *frameSender
	messages *listen.MessageConn
	stalls   *stalls
	// received is when the last bytes arrived, in nanoseconds of Unix time.
	received *atomic.Int64

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]*waitingRequest
	usedAt  time.Time
	// err is why the connection has ended; ended is closed then.
	err   error
	ended chan struct{}

	// arriving holds the responses that arrive in parts; partsMu protects it and is locked before mu.
	partsMu  sync.Mutex
	arriving assemblies
}

// waitingRequest is a request that waits for its response.
type waitingRequest struct {
	response chan *proxyResponse
	// arrived ends the sending of a request that is refused before it has been sent.
	arrived context.CancelFunc
}

// dialProxy connects to a VM.
func dialProxy(ctx context.Context, address string, maxMessageBytes int64, messages *listen.Messages, stalls *stalls, pacer *linkPacer, m *Metrics) (*proxyConn, error) {
	return dialProxyWith(ctx, dialPeer, address, maxMessageBytes, messages, stalls, pacer, m)
}

// dialProxyWith is dialProxy with a function that opens connections.
func dialProxyWith(ctx context.Context, dial dialFunc, address string, maxMessageBytes int64, messages *listen.Messages, stalls *stalls, pacer *linkPacer, m *Metrics) (*proxyConn, error) {
	ctx, cancel := context.WithTimeout(ctx, proxyDialTimeout)
	defer cancel()
	received := new(atomic.Int64)
	client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: maxHeaderBytes, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, received}, nil
	}}}
	defer client.CloseIdleConnections()
	header := linkHeaders(pacer.mbps)
	header.Set(partsHeader, partsVersion)
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+proxyPath, &websocket.DialOptions{HTTPClient: client, HTTPHeader: header})
	if err != nil {
		return nil, errors.Wrap(err, "connect to a VM that reaches the upstreams")
	}
	ws.SetReadLimit(maxMessageBytes)
	c := &proxyConn{
		ws: ws, stalls: stalls, sender: newFrameSender(ws, pacer, resp.Header, m), messages: messages.Connection(nil, maxMessageBytes), received: received,
		waiting: make(map[uint64]*waitingRequest), usedAt: time.Now(), ended: make(chan struct{}), arriving: make(assemblies),
	}
	go c.read()
	go c.keepAlive()
	return c, nil
}

// read passes responses to the requests that wait for them, until the connection ends.
func (c *proxyConn) read() {
	defer func() {
		c.partsMu.Lock()
		defer c.partsMu.Unlock()
		c.arriving.release()
	}()
	for {
		var frame proxyFrame
		message, err := readMessage(context.Background(), c.messages, c.ws)
		switch {
		case errors.Is(err, listen.ErrMessageRefused):
			// The request that waits for this response ends without one.
			frame.ID, err = frameID(message.Data)
			c.dropParts(frame.ID)
		case err == nil:
			err = cbor.Unmarshal(message.Data, &frame)
		}
		message.Release()
		if err == nil && frame.Part != nil {
			var whole bool
			if whole, err = c.addPart(&frame); err == nil && !whole {
				continue
			}
		}
		if err != nil {
			c.end(errors.Wrap(err, "read from a VM that sends requests"))
			return
		}
		c.mu.Lock()
		waiting := c.waiting[frame.ID]
		delete(c.waiting, frame.ID)
		c.mu.Unlock()
		if waiting != nil {
			waiting.response <- frame.Response
			waiting.arrived()
		}
	}
}

// addPart adds a part of a response. It reports whether frame holds the outcome: the whole response, or
// none if there is no memory for it.
func (c *proxyConn) addPart(frame *proxyFrame) (whole bool, err error) {
	c.partsMu.Lock()
	defer c.partsMu.Unlock()
	c.mu.Lock()
	waiting := c.waiting[frame.ID] != nil
	c.mu.Unlock()
	if !waiting {
		c.arriving.drop(frame.ID)
		return false, nil
	}
	complete, message, err := c.arriving.add(c.messages, frame.ID, frame.Part)
	switch {
	case errors.Is(err, listen.ErrMessageRefused):
		*frame = proxyFrame{ID: frame.ID}
		return true, nil
	case err != nil || complete == nil:
		return false, err
	}
	message.Release()
	*frame = *complete
	return true, nil
}

// dropParts forgets the parts of a response that is no longer awaited.
func (c *proxyConn) dropParts(id uint64) {
	c.partsMu.Lock()
	defer c.partsMu.Unlock()
	c.arriving.drop(id)
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
		// A VM of an earlier version sends no pong within a large response.
		if silent := time.Since(time.Unix(0, c.received.Load())); err != nil && silent >= linkTimeout {
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
	wanted, stop := context.WithCancel(ctx)
	defer stop()
	waiting := &waitingRequest{response: make(chan *proxyResponse, 1), arrived: stop}
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return nil, false, c.err
	}
	c.lastID++
	id := c.lastID
	c.waiting[id], c.usedAt = waiting, time.Now()
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.usedAt = time.Now()
		c.mu.Unlock()
		c.dropParts(id)
	}()
	sent, err = c.sender.send(wanted, proxyFrame{ID: id, Request: req})
	if err != nil && (!errors.Is(err, errGivenUp) || !c.sender.parts) {
		c.end(err)
		return nil, sent, err
	}
	select {
	case resp := <-waiting.response:
		if resp == nil {
			return nil, true, buffers.ErrExhausted
		}
		return resp, true, nil
	case <-c.ended:
		return nil, sent, c.err
	case <-ctx.Done():
		if _, err := c.sender.send(context.Background(), proxyFrame{ID: id, Cancel: true}); err != nil {
			c.end(err)
		}
		return nil, sent, errors.Wrap(ctx.Err(), "wait for the VM that sends the request")
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
	sender   *frameSender
	messages *listen.MessageConn
	guard    guard
	serve    func(context.Context, *proxyRequest) *proxyResponse
	// ended ends the connection.
	ended context.CancelFunc
	// arriving holds the requests that arrive in parts. Only the reader of the connection uses it.
	arriving assemblies

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
	// sending admits one response at a time, as each has an encoded copy. Those that are sent in parts
	// have none.
	sending sync.Mutex
}

// serveProxyConn passes the requests on a connection to serve and sends the responses, until
// the connection ends.
func serveProxyConn(ctx context.Context, sender *frameSender, messages *listen.MessageConn, guard guard, serve func(context.Context, *proxyRequest) *proxyResponse) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &servedProxyConn{
		sender: sender, messages: messages, guard: guard, serve: serve, ended: cancel, cancels: make(map[uint64]context.CancelFunc), arriving: make(assemblies),
	}
	defer c.arriving.release()
	for {
		message, err := readMessage(ctx, messages, sender.ws)
		switch {
		case err == nil:
			err = c.handle(ctx, message)
		case errors.Is(err, listen.ErrMessageRefused):
			err = c.refuseMessage(message)
		default:
			message.Release() // a part of it has arrived
		}
		if err != nil {
			return errors.Wrap(err, "read from an isolated VM")
		}
	}
}

// refuseMessage refuses the request of which only the first bytes are known.
func (c *servedProxyConn) refuseMessage(message *listen.Message) error {
	defer message.Release()
	id, err := frameID(message.Data)
	if err != nil {
		return err
	}
	c.arriving.drop(id)
	return c.refuse(id)
}

// refuse says that a request has not run and never will: another VM may send it.
func (c *servedProxyConn) refuse(id uint64) error {
	_, err := c.sender.send(context.Background(), proxyFrame{ID: id, Response: &proxyResponse{
		Reason: messagesFull, FailureStatus: http.StatusServiceUnavailable, RetryAfterMs: otherVMRetryAfter.Milliseconds(),
	}})
	return err
}

// handle handles a message and releases it.
func (c *servedProxyConn) handle(ctx context.Context, message *listen.Message) error {
	var frame proxyFrame
	err := cbor.Unmarshal(message.Data, &frame)
	message.Decoded()
	if err == nil && frame.Part != nil {
		message.Release()
		whole, joined, err := c.arriving.add(c.messages, frame.ID, frame.Part)
		if errors.Is(err, listen.ErrMessageRefused) {
			return c.refuse(frame.ID)
		}
		if err != nil || whole == nil {
			return err
		}
		frame, message = *whole, joined
	}
	if err != nil || frame.Request == nil {
		message.Release()
		c.arriving.drop(frame.ID)
		c.mu.Lock()
		defer c.mu.Unlock()
		if stop := c.cancels[frame.ID]; frame.Cancel && stop != nil {
			stop()
		}
		return errors.Wrap(err, "decode a message of an isolated VM")
	}
	if err := message.Handle(); err != nil {
		message.Release()
		return c.refuse(frame.ID)
	}
	requestCtx, stop := context.WithCancel(ctx)
	c.mu.Lock()
	c.cancels[frame.ID] = stop
	c.mu.Unlock()
	go func() {
		defer stop()
		c.serveRequest(requestCtx, frame, message)
	}()
	return nil
}

// serveRequest sends a request and then its response, unless the caller has left.
func (c *servedProxyConn) serveRequest(requestCtx context.Context, frame proxyFrame, message *listen.Message) {
	defer c.messages.Run()()
	resp := &proxyResponse{Reason: responseLost, FailureStatus: http.StatusBadGateway, MayHaveRun: 1}
	c.guard.run("proxied_request", func() { resp = c.serve(requestCtx, frame.Request) })
	if resp.release != nil {
		defer resp.release()
	}
	// Responses that wait for their turn hold no memory that the one before them waits for.
	message.Release()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.cancels, frame.ID)
	}()
	size := len(resp.Body) + encodingMargin
	if c.sender.parts && isLargeBody(len(resp.Body)) {
		size = delivery.PieceBytes + encodingMargin
	} else {
		c.sending.Lock()
		defer c.sending.Unlock()
	}
	if requestCtx.Err() != nil {
		return
	}
	releaseCopy, ok := c.messages.Reserve(requestCtx, int64(size))
	defer releaseCopy()
	if !ok {
		resp = &proxyResponse{Reason: responseLost, FailureStatus: http.StatusBadGateway, Upstream: resp.Upstream, Sends: resp.Sends, MayHaveRun: resp.MayHaveRun}
	}
	if _, err := c.sender.send(requestCtx, proxyFrame{ID: frame.ID, Response: resp}); err != nil && !errors.Is(err, errGivenUp) {
		c.guard.log.Info().Str("event", "proxied_response_not_sent").Str("peer", string(frame.Request.From)).Int("bytes", len(resp.Body)).Err(err).Msg("")
		c.ended()
	}
}

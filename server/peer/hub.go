// Package peer carries frames between entry VMs over WebSocket. Each VM dials
// every peer and uses that connection for its own messages, calls and their
// replies, so a connection that breaks affects one direction only.
package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/server/listen"
)

// Path is the HTTP path of the WebSocket endpoint.
const Path = "/peer/v1"

const (
	// maxQueuedFrames bounds the frames queued for one peer. If the peer does not
	// read them, further messages are dropped.
	maxQueuedFrames = 1024
	// writeTimeout bounds one write. A connection whose peer does not read is then closed.
	writeTimeout = 2 * time.Second
	// redialDelay keeps an unreachable peer from being dialled in a tight loop.
	redialDelay = 100 * time.Millisecond
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
	// maxConnsPerPeer is the number of connections that one VM may have opened to this one. A VM uses one; a
	// connection whose end did not arrive stays until it is idle for too long, and the VM may lose several
	// in that time.
	maxConnsPerPeer = 4
	// maxHeadBytes bounds the head of a peer's response.
	maxHeadBytes = 64 << 10
)

// ErrNotSent means that a frame was not queued for the peer, so it had no effect.
var ErrNotSent = errors.New("no connection to the VM: the frame was not sent")

// ErrNoReply means that the connection broke, or the caller's context ended, after
// a frame was queued. It is unknown whether the peer processed it.
var ErrNoReply = errors.New("the connection to the VM was lost before the reply: the effect is unknown")

// ErrNoMemory means that a call was not sent, because there is no memory for its encoded copies.
var ErrNoMemory = errors.New("the memory for messages is used up: the call was not sent")

// ErrReplyRefused means that the reply to a call arrived and was discarded, as there was no memory for it.
// The peer has processed the call.
var ErrReplyRefused = errors.New("the reply of the VM was discarded, because the memory for messages is used up: the effect is unknown")

// Peer is another entry VM.
type Peer struct {
	ID      api.VMID
	Address string // ip:port
}

// Handler receives frames. Its methods run on the goroutine that reads the
// sender's connection, except HandleCall, which has a goroutine of its own.
type Handler interface {
	// HandleMessage handles a frame that expects no reply. It releases the frame.
	HandleMessage(from api.VMID, frame wire.Frame)
	// HandleCall handles a frame that expects a reply and returns the reply's payload. The hub releases
	// the frame, and the memory of a *wire.Reply.
	HandleCall(ctx context.Context, from api.VMID, frame wire.Frame) any
}

// Config holds the parameters of a Hub.
type Config struct {
	Self        api.VMID
	Incarnation api.Incarnation
	Peers       []Peer
	TLS         *tls.Config // for dialling; nil for plain connections
	Log         zerolog.Logger
	// Authorize checks the first frame against the connection; nil accepts all.
	Authorize func(r *http.Request, hello wire.Hello) error
	// Accepted grants memory to the messages on connections that peers have dialled, Dialled to those on
	// connections that this VM has dialled. nil means no limit.
	Accepted, Dialled *listen.Messages
}

// Hub holds the connections of one VM to its peers.
type Hub struct {
	cfg     Config
	handler Handler
	links   map[api.VMID]*link
	ctx     context.Context // ends with Run, and closes the accepted connections
	stop    context.CancelFunc

	mu            sync.Mutex
	draining      bool
	accepted      map[*inbound]struct{}
	lastAccepted  uint64         // number of the last accepted connection
	acceptedConns sync.WaitGroup // counts the accepted connections
}

// NewHub returns a hub; Run connects it.
func NewHub(cfg Config, handler Handler) *Hub {
	for _, messages := range []**listen.Messages{&cfg.Accepted, &cfg.Dialled} {
		if *messages == nil {
			*messages = listen.NewMessages(listen.MessageLimits{}, nil, nil, nil)
		}
	}
	hub := &Hub{cfg: cfg, handler: handler, links: map[api.VMID]*link{}, accepted: map[*inbound]struct{}{}}
	hub.ctx, hub.stop = context.WithCancel(context.Background())
	for _, p := range cfg.Peers {
		if p.ID != cfg.Self {
			hub.links[p.ID] = newLink(p)
		}
	}
	return hub
}

// Run dials all peers until ctx ends, then closes the accepted connections. An
// HTTP server does not close those that became WebSockets, and the peers would
// continue to send to a hub that has stopped.
func (h *Hub) Run(ctx context.Context) {
	defer h.stop()
	var group sync.WaitGroup
	for _, l := range h.links {
		group.Go(func() { h.dialLoop(ctx, l) })
	}
	group.Wait()
}

// Peers returns the configured peers without the VM itself.
func (h *Hub) Peers() []api.VMID {
	ids := make([]api.VMID, 0, len(h.links))
	for id := range h.links {
		ids = append(ids, id)
	}
	return ids
}

// Send queues a message to a peer. It reports whether it was queued.
func (h *Hub) Send(to api.VMID, kind wire.Type, payload any) bool {
	l, ok := h.links[to]
	if !ok {
		return false
	}
	data, err := wire.Encode(kind, 0, payload)
	if err != nil {
		h.cfg.Log.Error().Err(err).Str("event", "frame_not_encoded").Str("type", string(kind)).Msg("")
		return false
	}
	return l.enqueue(outgoing{data, noMemory})
}

// noMemory is for frames that are small, or that the protocol sends again.
func noMemory() {}

// Call sends a request to a peer and decodes the reply into out. The error is
// ErrNotSent, ErrNoMemory, ErrNoReply or ErrReplyRefused. If out is a wire.MemoryHolder, it has the memory of the
// reply afterwards.
func (h *Hub) Call(ctx context.Context, to api.VMID, kind wire.Type, payload, out any) error {
	l, ok := h.links[to]
	if !ok {
		return errors.Wrapf(ErrNotSent, "VM %s is not among the peers of the settings", to)
	}
	callID, replies := l.openCall()
	defer l.closeCall(callID)
	release := noMemory
	if forward, ok := payload.(*wire.Forward); ok {
		var err error
		if release, err = l.reserve(int64(encodedCopies * len(forward.Body))); err != nil {
			return errors.Wrapf(err, "VM %s", to)
		}
	}
	data, err := wire.Encode(kind, callID, payload)
	if err != nil {
		release()
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if !l.enqueue(outgoing{data, release}) {
		return errors.Wrapf(ErrNotSent, "VM %s", to)
	}
	select {
	case frame, ok := <-replies:
		if !ok {
			return errors.Wrapf(ErrNoReply, "VM %s", to)
		}
		return unpackReply(frame, out)
	case <-ctx.Done():
		h.cancelCall(l, callID)
		l.abandonCall(callID, replies)
		return errors.Wrapf(ErrNoReply, "VM %s: %v", to, ctx.Err())
	}
}

// unpackReply decodes a reply and releases its memory, or passes it on.
func unpackReply(frame reply, out any) error {
	if frame.refused {
		frame.message.Release()
		return ErrReplyRefused
	}
	err := frame.Unpack(out)
	frame.message.Decoded()
	if holder, ok := out.(wire.MemoryHolder); ok && err == nil {
		holder.Hold(frame.message)
		return nil
	}
	frame.message.Release()
	return err
}

// cancelCall tells the peer that the caller no longer waits for a call.
func (h *Hub) cancelCall(l *link, callID uint64) {
	if data, err := wire.Encode(wire.TypeCancel, callID, wire.Cancel{}); err == nil {
		l.enqueue(outgoing{data, noMemory})
	}
}

func (h *Hub) dialLoop(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		if err := h.dial(ctx, l); err != nil {
			h.cfg.Log.Debug().Err(err).Str("event", "peer_not_connected").Str("peer", string(l.peer.ID)).Msg("")
		}
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// dial connects to a peer and serves the connection until it breaks.
func (h *Hub) dial(ctx context.Context, l *link) error {
	var tracked *listen.Conn
	scheme, client := "ws://", &http.Client{Transport: &http.Transport{
		TLSClientConfig: h.cfg.TLS, MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := h.cfg.Dialled.Dial(ctx, network, address)
			tracked, _ = conn.(*listen.Conn)
			return conn, err
		},
	}}
	if h.cfg.TLS != nil {
		scheme = "wss://"
	}
	// A VM that does not accept the connection may keep it open.
	defer client.CloseIdleConnections()
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	conn, _, err := websocket.Dial(dialCtx, scheme+l.peer.Address+Path, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	defer conn.CloseNow()
	conn.SetReadLimit(wire.MaxFrameBytes)
	hello, err := wire.Encode(wire.TypeHello, 0, wire.Hello{VM: h.cfg.Self, Incarnation: h.cfg.Incarnation})
	if err != nil {
		return err
	}
	if err := conn.Write(dialCtx, websocket.MessageBinary, hello); err != nil {
		return errors.Wrap(err, "greet")
	}
	connCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	messages := h.cfg.Dialled.Connection(tracked, wire.MaxFrameBytes)
	queue := l.connect(messages, cancel)
	defer l.disconnect()
	go func() {
		defer cancel()
		writeLoop(connCtx, conn, queue)
	}()
	defer closeOnDone(connCtx, conn)()
	for {
		message, err := readMessage(context.Background(), messages, conn)
		r := reply{message: message, refused: errors.Is(err, listen.ErrMessageRefused)}
		switch {
		case err == nil:
			r.Frame, err = wire.Decode(message.Data)
		case r.refused:
			// The call that waits for it ends with an unknown outcome.
			r.Frame, err = wire.DecodeHead(message.Data)
		}
		if err != nil {
			message.Release()
			return errors.Wrap(err, "read")
		}
		if r.Type == wire.TypeGoAway {
			message.Release()
			l.goAway()
			continue
		}
		l.deliver(r)
	}
}

// readMessage reads a message within the limits on messages. The message must be released.
func readMessage(ctx context.Context, messages *listen.MessageConn, conn *websocket.Conn) (*listen.Message, error) {
	return messages.Read(func() (io.Reader, error) {
		_, r, err := conn.Reader(ctx)
		return r, err
	}, wire.Items)
}

// closeOnDone closes a connection when ctx ends, until the returned function is
// called. Reads and writes then need no context: a cancellable one costs the
// WebSocket library several allocations for each frame, a fifth of those of a
// forwarded request.
func closeOnDone(ctx context.Context, conn *websocket.Conn) func() bool {
	return context.AfterFunc(ctx, func() { conn.CloseNow() })
}

func writeLoop(ctx context.Context, conn *websocket.Conn, queue <-chan outgoing) {
	writeTimer := time.AfterFunc(writeTimeout, func() { conn.CloseNow() })
	defer writeTimer.Stop()
	for {
		writeTimer.Stop()
		select {
		case <-ctx.Done():
			return
		case frame := <-queue:
			writeTimer.Reset(writeTimeout)
			err := conn.Write(context.Background(), websocket.MessageBinary, frame.data)
			frame.release()
			if err != nil {
				return
			}
		}
	}
}

// ServeHTTP accepts a peer's connection and handles its frames.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.isDraining() {
		// Messages that a peer sends on a connection are lost if it is closed after the handshake.
		http.Error(w, "this VM is stopping", http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	defer closeOnDone(h.ctx, conn)()
	conn.SetReadLimit(wire.MaxFrameBytes)
	messages := h.cfg.Accepted.Connection(listen.ConnOf(r), wire.MaxFrameBytes)
	hello, err := h.readHello(r, messages, conn)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Str("event", "peer_refused").Str("remote", r.RemoteAddr).Msg("")
		conn.Close(websocket.StatusPolicyViolation, "not a known VM")
		return
	}
	messages.Establish()
	in := &inbound{hub: h, from: hello.VM, conn: conn, messages: messages, running: map[uint64]context.CancelFunc{}}
	if !h.accept(in) {
		return
	}
	defer h.release(in)
	in.serve(r.Context())
}

func (h *Hub) isDraining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// accept registers a connection, unless the hub is draining. It closes the oldest one of a VM that has
// more than maxConnsPerPeer: a VM that has connected again does not use it.
func (h *Hub) accept(in *inbound) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.lastAccepted++
	in.number = h.lastAccepted
	h.accepted[in] = struct{}{}
	h.acceptedConns.Add(1)
	var oldest *inbound
	count := 0
	for other := range h.accepted {
		if other.from != in.from || other.replaced {
			continue
		}
		count++
		if oldest == nil || other.number < oldest.number {
			oldest = other
		}
	}
	if count > maxConnsPerPeer {
		oldest.replaced = true
		oldest.messages.Record(listen.ConnectionLimit)
		go oldest.conn.CloseNow()
	}
	return true
}

func (h *Hub) release(in *inbound) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.accepted, in)
	h.acceptedConns.Done()
}

// Drain sends GoAway to the peers, and waits until they have closed their
// connections or ctx ends. A peer then sends no more frames, and closes its
// connection once it has all outstanding replies, so that no call is interrupted.
func (h *Hub) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	for in := range h.accepted {
		go in.write(wire.TypeGoAway, 0, wire.GoAway{})
	}
	h.mu.Unlock()
	closed := make(chan struct{})
	go func() { h.acceptedConns.Wait(); close(closed) }()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "peers have not closed their connections")
	}
}

// readHello reads and checks the first frame.
func (h *Hub) readHello(r *http.Request, messages *listen.MessageConn, conn *websocket.Conn) (wire.Hello, error) {
	var hello wire.Hello
	ctx, cancel := context.WithTimeout(r.Context(), dialTimeout)
	defer cancel()
	message, err := readMessage(ctx, messages, conn)
	defer message.Release()
	if err != nil {
		return hello, errors.Wrap(err, "read hello frame")
	}
	frame, err := wire.Decode(message.Data)
	if err != nil {
		return hello, err
	}
	if frame.Type != wire.TypeHello {
		return hello, errors.Errorf("first frame is %q: expected %q", frame.Type, wire.TypeHello)
	}
	if err := frame.Unpack(&hello); err != nil {
		return hello, err
	}
	if _, known := h.links[hello.VM]; !known {
		return hello, errors.Errorf("VM %q is not among the peers: add it to the settings", hello.VM)
	}
	if h.cfg.Authorize != nil {
		return hello, h.cfg.Authorize(r, hello)
	}
	return hello, nil
}

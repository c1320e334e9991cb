// Package peer carries frames between entry VMs over WebSocket. Each VM dials
// every peer and uses that connection for its own messages, calls and their
// replies, so a connection that breaks affects one direction only.
package peer

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
)

// Path is the HTTP path of the WebSocket endpoint.
const Path = "/peer/v1"

const (
	// queueFrames bounds the frames that wait to be written to one peer. More
	// than that means that the peer does not read; messages are then dropped.
	queueFrames = 1024
	// writeTimeout ends a connection whose peer does not read.
	writeTimeout = 2 * time.Second
	// redialDelay keeps a lost peer from being dialled in a tight loop.
	redialDelay = 100 * time.Millisecond
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
)

// ErrNotSent means that a frame was not given to the peer's connection, so it
// had no effect.
var ErrNotSent = errors.New("no connection to the VM: the frame was not sent")

// ErrNoReply means that the connection broke, or the caller gave up, after a frame
// was queued; whether the peer acted on it is unknown.
var ErrNoReply = errors.New("the connection to the VM was lost before the reply: the effect is unknown")

// Peer is another entry VM.
type Peer struct {
	ID      api.VMID
	Address string // ip:port
}

// Handler receives frames. Its methods run on the goroutine that reads the
// sender's connection, except HandleCall, which has a goroutine of its own.
type Handler interface {
	// HandleMessage handles a frame that expects no reply.
	HandleMessage(from api.VMID, frame wire.Frame)
	// HandleCall handles a frame that expects a reply and returns the reply's payload.
	HandleCall(ctx context.Context, from api.VMID, frame wire.Frame) any
}

// Config holds what a Hub needs to know.
type Config struct {
	Self        api.VMID
	Incarnation api.Incarnation
	Peers       []Peer
	TLS         *tls.Config // for dialling; nil for plain connections
	Log         zerolog.Logger
	// Authorize checks the first frame against the connection; nil accepts all.
	Authorize func(r *http.Request, hello wire.Hello) error
}

// Hub holds the connections of one VM.
type Hub struct {
	cfg     Config
	handler Handler
	links   map[api.VMID]*link
	ctx     context.Context // ends with Run; accepted connections end with it
	stop    context.CancelFunc

	mu       sync.Mutex
	draining bool
	accepted map[*inbound]struct{}
	open     sync.WaitGroup // the accepted connections
}

// NewHub returns a hub; Run connects it.
func NewHub(cfg Config, handler Handler) *Hub {
	hub := &Hub{cfg: cfg, handler: handler, links: map[api.VMID]*link{}, accepted: map[*inbound]struct{}{}}
	hub.ctx, hub.stop = context.WithCancel(context.Background())
	for _, p := range cfg.Peers {
		if p.ID != cfg.Self {
			hub.links[p.ID] = newLink(p)
		}
	}
	return hub
}

// Run dials all peers until ctx ends, then closes the connections that were
// accepted: an HTTP server does not close those that became WebSockets, and the
// peers would go on sending to a hub that no longer acts.
func (h *Hub) Run(ctx context.Context) {
	defer h.stop()
	var group sync.WaitGroup
	for _, l := range h.links {
		group.Go(func() { h.dialLoop(ctx, l) })
	}
	group.Wait()
}

// Peers returns the configured peers but the VM itself.
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
	return l.enqueue(data)
}

// Call sends a request to a peer and decodes the reply into out. The error is
// ErrNotSent or ErrNoReply.
func (h *Hub) Call(ctx context.Context, to api.VMID, kind wire.Type, payload, out any) error {
	l, ok := h.links[to]
	if !ok {
		return errors.Wrapf(ErrNotSent, "VM %s is not among the peers of the settings", to)
	}
	number, replies := l.open()
	defer l.close(number)
	data, err := wire.Encode(kind, number, payload)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if !l.enqueue(data) {
		return errors.Wrapf(ErrNotSent, "VM %s", to)
	}
	select {
	case frame, ok := <-replies:
		if !ok {
			return errors.Wrapf(ErrNoReply, "VM %s", to)
		}
		return frame.Unpack(out)
	case <-ctx.Done():
		h.cancel(l, number)
		return errors.Wrapf(ErrNoReply, "VM %s: %v", to, ctx.Err())
	}
}

// cancel tells the peer that nobody waits for a call any longer.
func (h *Hub) cancel(l *link, number uint64) {
	if data, err := wire.Encode(wire.TypeCancel, number, wire.Cancel{}); err == nil {
		l.enqueue(data)
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
	scheme, client := "ws://", &http.Client{}
	if h.cfg.TLS != nil {
		scheme, client = "wss://", &http.Client{Transport: &http.Transport{TLSClientConfig: h.cfg.TLS}}
	}
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
	queue := l.connect(cancel)
	defer l.disconnect()
	go func() {
		defer cancel()
		writeLoop(connCtx, conn, queue)
	}()
	defer closeWith(connCtx, conn)()
	for {
		_, data, err := conn.Read(context.Background())
		if err != nil {
			return errors.Wrap(err, "read")
		}
		frame, err := wire.Decode(data)
		if err != nil {
			return err
		}
		if frame.Type == wire.TypeGoAway {
			l.retire()
			continue
		}
		l.deliver(frame)
	}
}

// closeWith closes a connection when ctx ends, until the returned function is
// called. Reads and writes then need no context: one with an end costs the
// WebSocket library several allocations for each frame, a fifth of those of a
// forwarded request.
func closeWith(ctx context.Context, conn *websocket.Conn) func() bool {
	return context.AfterFunc(ctx, func() { conn.CloseNow() })
}

func writeLoop(ctx context.Context, conn *websocket.Conn, queue <-chan []byte) {
	late := time.AfterFunc(writeTimeout, func() { conn.CloseNow() })
	defer late.Stop()
	for {
		late.Stop()
		select {
		case <-ctx.Done():
			return
		case data := <-queue:
			late.Reset(writeTimeout)
			if err := conn.Write(context.Background(), websocket.MessageBinary, data); err != nil {
				return
			}
		}
	}
}

// ServeHTTP accepts a peer's connection and handles its frames.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.isDraining() {
		// A connection that is closed after the handshake loses what its peer has sent.
		http.Error(w, "this VM is stopping", http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	defer closeWith(h.ctx, conn)()
	conn.SetReadLimit(wire.MaxFrameBytes)
	hello, err := h.greet(r, conn)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Str("event", "peer_refused").Str("remote", r.RemoteAddr).Msg("")
		conn.Close(websocket.StatusPolicyViolation, "not a known VM")
		return
	}
	in := &inbound{hub: h, from: hello.VM, conn: conn, running: map[uint64]context.CancelFunc{}}
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

// accept counts a connection, unless the hub is draining.
func (h *Hub) accept(in *inbound) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.accepted[in] = struct{}{}
	h.open.Add(1)
	return true
}

func (h *Hub) release(in *inbound) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.accepted, in)
	h.open.Done()
}

// Drain asks the peers to send nothing more, and waits until they have closed
// their connections or ctx ends. A peer closes its connection when it has the
// replies to what it sent before, so that no call is cut off.
func (h *Hub) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	for in := range h.accepted {
		go in.write(wire.TypeGoAway, 0, wire.GoAway{})
	}
	h.mu.Unlock()
	closed := make(chan struct{})
	go func() { h.open.Wait(); close(closed) }()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "peers kept their connections")
	}
}

// greet reads and checks the first frame.
func (h *Hub) greet(r *http.Request, conn *websocket.Conn) (wire.Hello, error) {
	var hello wire.Hello
	ctx, cancel := context.WithTimeout(r.Context(), dialTimeout)
	defer cancel()
	_, data, err := conn.Read(ctx)
	if err != nil {
		return hello, errors.Wrap(err, "read greeting")
	}
	frame, err := wire.Decode(data)
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

package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/delivery"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/upstreamconn"
)

// A large message of proxied requests is sent in parts, each a message of one piece, so that pings and
// the small messages of its connection go between them. VMs of earlier versions do not know parts:
// they get the whole message, in WebSocket fragments, between which only pings go.

const (
	// linkMbpsHeader holds the bandwidth of a VM's link in Mbit/s, in the handshake of a connection
	// between VMs. It is left out if it is not known, as VMs of earlier versions do.
	linkMbpsHeader = "Dandelionhill-Link-Mbps"
	// partsHeader says, in the handshake of a connection for proxied requests, that a VM takes
	// messages in parts. VMs of earlier versions leave it out.
	partsHeader = "Dandelionhill-Message-Parts"
	// partsVersion is the value of partsHeader.
	partsVersion = "1"
	// unsentBytes bounds what the kernel holds for a connection between VMs beyond what is under
	// way: a small message waits behind it.
	unsentBytes = delivery.PieceBytes
)

// proxyPart is a part of an encoded proxyFrame and the body of its request or response, which follows
// the frame. The parts of a message arrive in order.
type proxyPart struct {
	// Size is that of the whole message, Head that of the frame without the body. Both are stated in
	// the first part only.
	Size int64  `cbor:"1,keyasint,omitempty"`
	Head int64  `cbor:"2,keyasint,omitempty"`
	Data []byte `cbor:"3,keyasint"`
}

// Results of a large message, as counted.
const (
	largeSent     = "sent"
	largeGivenUp  = "given_up"  // it is no longer wanted, or the other VM has refused it
	largeTooSlow  = "too_slow"  // the other VM took it too slowly, or is silent
	largeTooLate  = "too_late"  // it could not have arrived before its deadline
	largeConnLost = "conn_lost" // its connection ended
)

// errGivenUp means that a message was not sent whole because it is no longer wanted.
var errGivenUp = errors.New("the message is no longer wanted")

// linkHeaders returns the headers of a handshake between VMs.
func linkHeaders(mbps float64) http.Header {
	header := make(http.Header)
	if mbps > 0 {
		header.Set(linkMbpsHeader, strconv.FormatFloat(mbps, 'g', -1, 64))
	}
	return header
}

// linkTo returns the link to a VM whose handshake had some headers.
func linkTo(own float64, peer http.Header) delivery.Link {
	mbps, err := strconv.ParseFloat(peer.Get(linkMbpsHeader), 64)
	if err != nil || !(mbps > 0) { // also not a number
		mbps = 0
	}
	return delivery.NewLink(own, mbps)
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countedConn is a connection of which it is known when the last bytes arrived.
type countedConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(time.Now().UnixNano())
	}
	return n, err
}

// dialPeer connects to another VM. The kernel accepts no more than it sends soon.
func dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := upstreamconn.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	boundUnsent(conn)
	return conn, nil
}

// boundUnsent bounds what the kernel holds of a connection and has not sent. If that fails, small
// messages wait for longer behind large ones.
func boundUnsent(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
		})
	}
}

// writeMessage writes an encoded message, a large one in fragments. Each piece must make progress as
// the link allows. pace, unless it is nil, waits for the turn of a piece and reports whether the message
// is still wanted. If writing fails the connection ends, as a message that has begun cannot be given up.
// whole means that the message may have arrived.
func writeMessage(ctx context.Context, conn *websocket.Conn, link delivery.Link, data []byte, pace func(bytes int) bool) (whole bool, err error) {
	transfer := link.NewTransfer(linkTimeout)
	if len(data) <= delivery.PieceBytes {
		return true, writePiece(ctx, transfer, len(data), func(ctx context.Context) error { return conn.Write(ctx, websocket.MessageBinary, data) })
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	fail := func(whole bool, err error) (bool, error) {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		conn.CloseNow() //nolint:errcheck // the message is broken off
		return whole, err
	}
	// Another message may be under way.
	timer := time.AfterFunc(linkTimeout, func() { cancel(context.DeadlineExceeded) })
	w, err := conn.Writer(ctx, websocket.MessageBinary)
	timer.Stop()
	if err != nil {
		return false, errors.Wrap(err, "begin a message between VMs")
	}
	within := func(bytes int, write func() error) error {
		return writePiece(ctx, transfer, bytes, func(bounded context.Context) error {
			stop := context.AfterFunc(bounded, func() { cancel(context.DeadlineExceeded) })
			defer stop()
			return write()
		})
	}
	err = writePieces(data, func(piece []byte) error {
		if pace != nil && !pace(len(piece)) {
			return errGivenUp
		}
		return within(len(piece), func() error {
			_, err := w.Write(piece)
			return err
		})
	})
	if err != nil {
		return fail(false, err)
	}
	if err := within(0, w.Close); err != nil {
		return fail(true, err)
	}
	return true, nil
}

// writePiece calls write with the time that a piece may take.
func writePiece(ctx context.Context, t *delivery.Transfer, bytes int, write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, t.Next(bytes))
	defer cancel()
	began := time.Now()
	err := write(ctx)
	t.Moved(bytes, time.Since(began))
	return err
}

// frameSender sends the frames of a connection for proxied requests.
type frameSender struct {
	ws   *websocket.Conn
	link delivery.Link
	// parts means that the other VM takes messages in parts.
	parts bool
	// own paces what this VM sends over its link, peer what goes to the other VM.
	own, peer *linkPacer
	metrics   *Metrics
	// part admits one part at a time: a small message waits for one at most.
	part chan struct{}
}

func newFrameSender(ws *websocket.Conn, own *linkPacer, handshake http.Header, m *Metrics) *frameSender {
	link := linkTo(own.mbps, handshake)
	return &frameSender{
		ws: ws, link: link, parts: handshake.Get(partsHeader) != "", own: own, metrics: m, part: make(chan struct{}, 1),
		peer: &linkPacer{start: time.Now(), pacer: link.PeerPacer()},
	}
}

// body returns the body of a frame.
func (f *proxyFrame) body() []byte {
	switch {
	case f.Request != nil:
		return f.Request.Body
	case f.Response != nil:
		return f.Response.Body
	}
	return nil
}

// withBody returns the frame with another body.
func (f proxyFrame) withBody(body []byte) proxyFrame {
	switch {
	case f.Request != nil:
		request := *f.Request
		request.Body = body
		f.Request = &request
	case f.Response != nil:
		response := *f.Response
		response.Body = body
		f.Response = &response
	}
	return f
}

// arrives reports whether a body can arrive before a deadline.
func (s *frameSender) arrives(bytes int, within time.Duration) (needed time.Duration, ok bool) {
	if !isLargeBody(bytes) {
		return 0, true
	}
	return s.link.Arrives(int64(bytes), s.own.sending(), within)
}

// isLargeBody reports whether a message with a body of a number of bytes is sent in paced pieces.
func isLargeBody(bytes int) bool { return bytes+encodingMargin > delivery.PieceBytes }

// send sends a frame. A large one is given up when wanted ends, with errGivenUp; its connection goes on
// if the other VM takes parts. Another error ends the connection. whole means that the whole frame may
// have arrived.
func (s *frameSender) send(wanted context.Context, frame proxyFrame) (whole bool, err error) {
	if !isLargeBody(len(frame.body())) {
		data, err := cbor.Marshal(frame)
		if err != nil {
			return false, errors.Wrap(err, "encode a message between VMs")
		}
		if len(data) <= delivery.PieceBytes || !s.parts {
			whole, err = writeMessage(context.Background(), s.ws, s.link, data, nil)
			return whole, errors.Wrap(err, "send a message between VMs")
		}
	}
	if !s.parts && frame.Response != nil {
		// To give up a response would end the other requests of a VM that does not take parts.
		wanted = context.WithoutCancel(wanted)
	}
	turn := s.own.begin(len(frame.body()))
	defer turn.end()
	pace := func(bytes int) bool {
		defer turn.moved(bytes)
		return s.own.wait(wanted, bytes) && s.peer.wait(wanted, bytes) && wanted.Err() == nil
	}
	if s.parts {
		whole, err = s.sendParts(frame, pace)
	} else {
		whole, err = s.sendWhole(wanted, frame, pace)
	}
	result := largeSent
	switch {
	case errors.Is(err, errGivenUp):
		result = largeGivenUp
	case errors.Is(err, context.DeadlineExceeded):
		result = largeTooSlow
	case err != nil:
		result = largeConnLost
	}
	s.metrics.largeMessages.WithLabelValues(frame.kind(), result).Inc()
	return whole, err
}

// kind names the kind of a frame in counters.
func (f *proxyFrame) kind() string {
	if f.Request != nil {
		return "request"
	}
	return "response"
}

// sendWhole sends a large frame to a VM that does not take parts. Such a VM counts the time of a request
// from its end, so the time that it takes is taken off. If that is not known, the request must
// arrive within linkTimeout.
func (s *frameSender) sendWhole(wanted context.Context, frame proxyFrame, pace func(bytes int) bool) (whole bool, err error) {
	if frame.Request != nil {
		needed, ok := s.link.Arrives(int64(len(frame.Request.Body)), nil, time.Duration(frame.Request.TimeoutMs)*time.Millisecond)
		if !ok {
			return false, errGivenUp
		}
		if needed == 0 {
			var cancel context.CancelFunc
			wanted, cancel = context.WithTimeout(wanted, linkTimeout)
			defer cancel()
		}
		request := *frame.Request
		request.TimeoutMs -= needed.Milliseconds()
		frame.Request = &request
	}
	data, err := cbor.Marshal(frame)
	if err != nil {
		return false, errors.Wrap(err, "encode a message between VMs")
	}
	whole, err = writeMessage(context.Background(), s.ws, s.link, data, func(bytes int) bool { return pace(bytes) && wanted.Err() == nil })
	return whole, errors.Wrap(err, "send a message between VMs")
}

// sendParts sends a large frame in parts.
func (s *frameSender) sendParts(frame proxyFrame, pace func(bytes int) bool) (whole bool, err error) {
	body := frame.body()
	head, err := cbor.Marshal(frame.withBody(nil))
	if err != nil {
		return false, errors.Wrap(err, "encode a message between VMs")
	}
	transfer := s.link.NewTransfer(linkTimeout)
	left := len(head) + len(body)
	part := proxyPart{Size: int64(left), Head: int64(len(head))}
	send := func(piece []byte) error {
		if !pace(len(piece)) {
			return errGivenUp
		}
		part.Data = piece
		left -= len(piece)
		s.part <- struct{}{}
		err := s.sendPart(transfer, proxyFrame{ID: frame.ID, Part: &part})
		<-s.part
		part.Size, part.Head = 0, 0
		return err
	}
	if err = writePieces(head, send); err == nil {
		err = writePieces(body, send)
	}
	return left == 0, err
}

func (s *frameSender) sendPart(transfer *delivery.Transfer, frame proxyFrame) error {
	data, err := cbor.Marshal(frame)
	if err != nil {
		return errors.Wrap(err, "encode a message between VMs")
	}
	err = writePiece(context.Background(), transfer, len(data), func(ctx context.Context) error {
		return s.ws.Write(ctx, websocket.MessageBinary, data)
	})
	return errors.Wrap(err, "send a message between VMs")
}

// assemblies holds the messages of a connection of which parts are awaited, by the number of their
// request. It is not safe for concurrent use.
type assemblies map[uint64]*assembly

type assembly struct {
	*listen.Assembly
	head int64
	// began is when the first part arrived.
	began time.Time
}

// add adds a part. It returns the message when it is whole, with its frame. After
// listen.ErrMessageRefused further parts of the message are ignored.
func (a assemblies) add(messages *listen.MessageConn, id uint64, part *proxyPart) (*proxyFrame, *listen.Message, error) {
	if part.Size > 0 {
		a.drop(id)
		if part.Head <= 0 || part.Head > part.Size {
			return nil, nil, listen.ErrAssembly
		}
		begun, err := messages.Assemble(part.Size)
		if err != nil {
			return nil, nil, err
		}
		a[id] = &assembly{begun, part.Head, time.Now()}
	}
	m := a[id]
	if m == nil {
		return nil, nil, nil // it was refused or is no longer wanted
	}
	if err := m.Append(part.Data); err != nil {
		a.drop(id)
		return nil, nil, err
	}
	if !m.Complete() {
		return nil, nil, nil
	}
	delete(a, id)
	data, err := m.Join()
	if err != nil {
		return nil, nil, err
	}
	head, body := data[:m.head], data[m.head:]
	whole, err := m.Whole(m.head, wire.Items(head))
	if err != nil {
		return nil, nil, err
	}
	var frame proxyFrame
	if err := cbor.Unmarshal(head, &frame); err != nil {
		whole.Release()
		return nil, nil, errors.Wrap(err, "decode a message between VMs")
	}
	if frame.ID != id || frame.Request == nil && frame.Response == nil {
		whole.Release()
		return nil, nil, listen.ErrAssembly
	}
	frame = frame.withBody(body)
	if frame.Request != nil {
		// The sender stated the time before the first part.
		frame.Request.TimeoutMs -= time.Since(m.began).Milliseconds()
	}
	return &frame, whole, nil
}

// drop forgets a message.
func (a assemblies) drop(id uint64) {
	if m := a[id]; m != nil {
		m.Release()
		delete(a, id)
	}
}

// release forgets all messages.
func (a assemblies) release() {
	for id := range a {
		a.drop(id)
	}
}

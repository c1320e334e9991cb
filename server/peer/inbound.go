package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/server/listen"
)

const (
	// encodedCopies is the number of copies of a body while its message is encoded: the payload, and the
	// frame around it.
	encodedCopies = 2
	// encodingMargin is the usual size of an encoded reply without its body.
	encodingMargin = 2 << 10
	// refusedRetryAfter is the delay after which a refused request is sent again.
	refusedRetryAfter = time.Second
)

// errMessageWithoutRoom ends a connection: the peer learns from it that a message that expects no reply
// is lost.
var errMessageWithoutRoom = errors.New("the memory for messages has no room for a message that expects no reply")

// inbound is a connection that a peer has dialled.
type inbound struct {
	hub      *Hub
	from     api.VMID
	conn     *websocket.Conn
	messages *listen.MessageConn
	// number is that of the connection, in the order in which they were accepted; replaced means that it
	// was closed for a newer one of its VM. The hub's mutex guards both.
	number   uint64
	replaced bool

	mu      sync.Mutex
	running map[uint64]context.CancelFunc
	// sending admits one reply at a time, as each has encoded copies.
	sending sync.Mutex
}

func (in *inbound) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer closeOnDone(ctx, in.conn)()
	for {
		message, err := readMessage(context.Background(), in.messages, in.conn)
		var frame wire.Frame
		switch {
		case err == nil:
			if frame, err = wire.Decode(message.Data); err == nil {
				err = in.handle(ctx, frame, message)
			}
		case errors.Is(err, listen.ErrMessageRefused):
			if frame, err = wire.DecodeHead(message.Data); err == nil {
				err = in.refuse(frame)
			}
			message.Release()
		default:
			message.Release() // a part of it has arrived
			return
		}
		if err != nil {
			message.Release()
			in.hub.cfg.Log.Warn().Err(err).Str("event", "frame_refused").Str("type", string(frame.Type)).Str("peer", string(in.from)).Msg("")
			return
		}
	}
}

// handle handles a frame and releases its message, unless it returns an error.
func (in *inbound) handle(ctx context.Context, frame wire.Frame, message *listen.Message) error {
	switch {
	case frame.Type == wire.TypeCancel:
		in.cancelCall(frame.CallID)
		message.Release()
	case frame.CallID == 0:
		frame.Release = message.Release
		in.hub.handler.HandleMessage(in.from, frame)
	default:
		if err := message.Handle(); err != nil {
			return in.refuse(frame)
		}
		in.startCall(ctx, frame, message)
	}
	return nil
}

// refuse says that a call was not processed. A message that expects no reply ends the connection.
func (in *inbound) refuse(frame wire.Frame) error {
	if frame.CallID == 0 || frame.Type == wire.TypeCancel {
		return errMessageWithoutRoom
	}
	refusal := api.Refuse(api.Shed, "the memory for messages of VM "+string(in.hub.cfg.Self)+" is used up").WithRetryAfter(refusedRetryAfter)
	in.write(wire.TypeReply, frame.CallID, wire.Refused(refusal))
	return nil
}

func (in *inbound) startCall(ctx context.Context, frame wire.Frame, message *listen.Message) {
	callCtx, cancel := context.WithCancel(ctx)
	in.mu.Lock()
	in.running[frame.CallID] = cancel
	in.mu.Unlock()
	go func() {
		defer in.cancelCall(frame.CallID)
		payload := in.hub.handler.HandleCall(callCtx, in.from, frame)
		// Replies that wait for their turn hold no memory that the one before them waits for.
		message.Release()
		in.reply(callCtx, frame.CallID, payload)
	}()
}

func (in *inbound) cancelCall(callID uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if cancel, ok := in.running[callID]; ok {
		cancel()
		delete(in.running, callID)
	}
}

// reply sends the reply to a call. Without memory for its encoded copies its body is left out: the
// request has run, so that its outcome is unknown to the peer.
func (in *inbound) reply(ctx context.Context, callID uint64, payload any) {
	response, ok := payload.(*wire.Reply)
	if !ok {
		in.write(wire.TypeReply, callID, payload)
		return
	}
	defer response.Release()
	in.sending.Lock()
	defer in.sending.Unlock()
	if ctx.Err() != nil { // the peer no longer waits
		return
	}
	release, ok := in.messages.Reserve(ctx, int64(encodedCopies*len(response.Body)+encodingMargin))
	defer release()
	if !ok && response.Refusal == nil {
		response = wire.Refused(api.Refuse(api.UpstreamFailed, "the response was discarded, because the memory for messages is used up"))
	}
	in.write(wire.TypeReply, callID, response)
}

func (in *inbound) write(kind wire.Type, callID uint64, payload any) {
	data, err := wire.Encode(kind, callID, payload)
	if err != nil {
		return
	}
	writeTimer := time.AfterFunc(writeTimeout, func() { in.conn.CloseNow() })
	defer writeTimer.Stop()
	if err := in.conn.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		in.conn.CloseNow()
	}
}

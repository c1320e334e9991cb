package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
)

// inbound is a connection that a peer dialled.
type inbound struct {
	hub  *Hub
	from api.VMID
	conn *websocket.Conn

	mu      sync.Mutex
	running map[uint64]context.CancelFunc
}

func (in *inbound) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer closeWith(ctx, in.conn)()
	for {
		_, data, err := in.conn.Read(context.Background())
		if err != nil {
			return
		}
		frame, err := wire.Decode(data)
		if err != nil {
			in.hub.cfg.Log.Warn().Err(err).Str("event", "frame_refused").Str("peer", string(in.from)).Msg("")
			return
		}
		switch {
		case frame.Type == wire.TypeCancel:
			in.cancel(frame.CallID)
		case frame.CallID != 0:
			in.start(ctx, frame)
		default:
			in.hub.handler.HandleMessage(in.from, frame)
		}
	}
}

func (in *inbound) start(ctx context.Context, frame wire.Frame) {
	callCtx, cancel := context.WithCancel(ctx)
	in.mu.Lock()
	in.running[frame.CallID] = cancel
	in.mu.Unlock()
	go func() {
		defer in.cancel(frame.CallID)
		in.reply(frame.CallID, in.hub.handler.HandleCall(callCtx, in.from, frame))
	}()
}

func (in *inbound) cancel(number uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if cancel, ok := in.running[number]; ok {
		cancel()
		delete(in.running, number)
	}
}

func (in *inbound) reply(number uint64, payload any) { in.write(wire.TypeReply, number, payload) }

func (in *inbound) write(kind wire.Type, number uint64, payload any) {
	data, err := wire.Encode(kind, number, payload)
	if err != nil {
		return
	}
	late := time.AfterFunc(writeTimeout, func() { in.conn.CloseNow() })
	defer late.Stop()
	if err := in.conn.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		in.conn.CloseNow()
	}
}

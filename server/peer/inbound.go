package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
)

// inbound is a connection that a peer has dialled.
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
	defer closeOnDone(ctx, in.conn)()
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
			in.cancelCall(frame.CallID)
		case frame.CallID != 0:
			in.startCall(ctx, frame)
		default:
			in.hub.handler.HandleMessage(in.from, frame)
		}
	}
}

func (in *inbound) startCall(ctx context.Context, frame wire.Frame) {
	callCtx, cancel := context.WithCancel(ctx)
	in.mu.Lock()
	in.running[frame.CallID] = cancel
	in.mu.Unlock()
	go func() {
		defer in.cancelCall(frame.CallID)
		in.reply(frame.CallID, in.hub.handler.HandleCall(callCtx, in.from, frame))
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

func (in *inbound) reply(callID uint64, payload any) { in.write(wire.TypeReply, callID, payload) }

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

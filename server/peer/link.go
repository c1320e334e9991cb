package peer

import (
	"sync"

	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/server/listen"
)

// reply is a reply with its memory.
type reply struct {
	wire.Frame
	message *listen.Message
	// refused means that only the head of the reply is known.
	refused bool
}

// outgoing is an encoded frame that waits to be sent.
type outgoing struct {
	data    []byte
	release func() // returns its memory
}

// link is the connection that this VM dials to one peer.
type link struct {
	peer Peer

	mu         sync.Mutex
	lastCallID uint64
	queue      chan outgoing // nil while not connected or going away
	sending    chan outgoing // queue, also while going away
	messages   *listen.MessageConn
	calls      map[uint64]chan reply
	// goingAway means that the peer accepts no more frames: closeConn closes the
	// connection after the last reply.
	goingAway bool
	closeConn func()
}

func newLink(p Peer) *link { return &link{peer: p, calls: map[uint64]chan reply{}} }

// connect starts to accept frames for a new connection, which closeConn closes.
func (l *link) connect(messages *listen.MessageConn, closeConn func()) <-chan outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeConn, l.goingAway, l.messages = closeConn, false, messages
	l.queue = make(chan outgoing, maxQueuedFrames)
	l.sending = l.queue
	return l.queue
}

// reserve takes memory for the encoded copies of a call's payload. The error is ErrNotSent or ErrNoMemory.
func (l *link) reserve(bytes int64) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue == nil {
		return nil, ErrNotSent
	}
	release, ok := l.messages.TryReserve(bytes)
	if !ok {
		return nil, ErrNoMemory
	}
	return release, nil
}

// disconnect ends all calls, because their replies can no longer arrive.
func (l *link) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = nil
	for len(l.sending) > 0 {
		select {
		case frame := <-l.sending:
			frame.release()
		default: // the connection has taken the last one
		}
	}
	for callID, replies := range l.calls {
		close(replies)
		delete(l.calls, callID)
	}
}

// goAway stops accepting frames and closes the connection once all calls have
// ended.
func (l *link) goAway() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue, l.goingAway = nil, true
	l.closeIfIdle()
}

func (l *link) closeIfIdle() {
	if l.goingAway && len(l.calls) == 0 {
		l.closeConn()
	}
}

// enqueue queues a frame. It releases one that it does not queue.
func (l *link) enqueue(frame outgoing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue != nil {
		select {
		case l.queue <- frame:
			return true
		default:
		}
	}
	frame.release()
	return false
}

func (l *link) openCall() (uint64, <-chan reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCallID++
	replies := make(chan reply, 1)
	l.calls[l.lastCallID] = replies
	return l.lastCallID, replies
}

func (l *link) closeCall(callID uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, callID)
	l.closeIfIdle()
}

// abandonCall ends a call whose caller has left, and releases its reply if it has arrived meanwhile.
func (l *link) abandonCall(callID uint64, replies <-chan reply) {
	l.closeCall(callID)
	select {
	case r, ok := <-replies:
		if ok {
			r.message.Release()
		}
	default:
	}
}

// deliver passes a reply to its call. A reply to a call that has ended is dropped.
func (l *link) deliver(r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	replies, ok := l.calls[r.CallID]
	if !ok || r.Type != wire.TypeReply {
		r.message.Release()
		return
	}
	replies <- r
	delete(l.calls, r.CallID)
	l.closeIfIdle()
}

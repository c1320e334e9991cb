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

// link is the connection that this VM dials to one peer.
type link struct {
	peer Peer

	mu         sync.Mutex
	lastCallID uint64
	queue      chan []byte // nil while not connected or going away
	calls      map[uint64]chan reply
	// goingAway means that the peer accepts no more frames: closeConn closes the
	// connection after the last reply.
	goingAway bool
	closeConn func()
}

func newLink(p Peer) *link { return &link{peer: p, calls: map[uint64]chan reply{}} }

// connect starts to accept frames for a new connection, which closeConn closes.
func (l *link) connect(closeConn func()) <-chan []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeConn, l.goingAway = closeConn, false
	l.queue = make(chan []byte, maxQueuedFrames)
	return l.queue
}

// disconnect ends all calls, because their replies can no longer arrive.
func (l *link) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = nil
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

func (l *link) enqueue(data []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue == nil {
		return false
	}
	select {
	case l.queue <- data:
		return true
	default:
		return false
	}
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

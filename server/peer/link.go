package peer

import (
	"sync"

	"dandelionhill.dev/api/wire"
)

// link is the connection that this VM dials to one peer.
type link struct {
	peer Peer

	mu         sync.Mutex
	lastCallID uint64
	queue      chan []byte // nil while not connected or going away
	calls      map[uint64]chan wire.Frame
	// goingAway means that the peer accepts no more frames: closeConn closes the
	// connection after the last reply.
	goingAway bool
	closeConn func()
}

func newLink(p Peer) *link { return &link{peer: p, calls: map[uint64]chan wire.Frame{}} }

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

func (l *link) openCall() (uint64, <-chan wire.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCallID++
	replies := make(chan wire.Frame, 1)
	l.calls[l.lastCallID] = replies
	return l.lastCallID, replies
}

func (l *link) closeCall(callID uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, callID)
	l.closeIfIdle()
}

// deliver passes a reply to its call. A reply to a call that has ended is dropped.
func (l *link) deliver(frame wire.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if replies, ok := l.calls[frame.CallID]; ok && frame.Type == wire.TypeReply {
		replies <- frame
		delete(l.calls, frame.CallID)
		l.closeIfIdle()
	}
}

package peer

import (
	"sync"

	"dandelionhill.dev/api/wire"
)

// link is the connection that this VM dials to one peer.
type link struct {
	peer Peer

	mu    sync.Mutex
	next  uint64
	queue chan []byte // nil while not connected, and once the peer wants nothing more
	calls map[uint64]chan wire.Frame
	// retired means that the peer wants nothing more: hangUp closes the connection
	// after the last reply.
	retired bool
	hangUp  func()
}

func newLink(p Peer) *link { return &link{peer: p, calls: map[uint64]chan wire.Frame{}} }

// connect starts to accept frames for a new connection, which hangUp closes.
func (l *link) connect(hangUp func()) <-chan []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hangUp, l.retired = hangUp, false
	l.queue = make(chan []byte, queueFrames)
	return l.queue
}

// disconnect ends all calls: their replies can no longer arrive.
func (l *link) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = nil
	for number, replies := range l.calls {
		close(replies)
		delete(l.calls, number)
	}
}

// retire stops to accept frames and closes the connection once all calls have
// ended.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue, l.retired = nil, true
	l.hangUpIfIdle()
}

func (l *link) hangUpIfIdle() {
	if l.retired && len(l.calls) == 0 {
		l.hangUp()
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

func (l *link) open() (uint64, <-chan wire.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	replies := make(chan wire.Frame, 1)
	l.calls[l.next] = replies
	return l.next, replies
}

func (l *link) close(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, number)
	l.hangUpIfIdle()
}

// deliver gives a reply to its call. A reply whose call has ended is dropped.
func (l *link) deliver(frame wire.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if replies, ok := l.calls[frame.CallID]; ok && frame.Type == wire.TypeReply {
		replies <- frame
		delete(l.calls, frame.CallID)
		l.hangUpIfIdle()
	}
}

// Package buffers bounds the memory of a process that holds whole messages: each message
// has a limit, and all of them together have a budget.
package buffers

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of reading a message.
var (
	// ErrTooLarge means that a message exceeds its limit.
	ErrTooLarge = errors.New("the message exceeds its limit: raise the limit in the settings if it is valid")
	// ErrExhausted means that the budget is used up.
	ErrExhausted = errors.New("the buffers of this process are full: retry later")
)

// initialBytes is the size of the first buffer of a message.
const initialBytes = 512

// Reclaimer closes or aborts the connections whose messages hold memory and which are the first to
// go. It returns the number of bytes that will be released soon, which may be less than needed.
type Reclaimer func(needed int64) (released int64)

const (
	// reserveShare is the part of the budget, as 1/n, that messages whose loss would leave an
	// unknown outcome may use alone: responses of upstreams. Bodies of requests leave it free.
	reserveShare = 64
	// reclaimPolls and reclaimInterval bound the wait for memory that is being released: a handler
	// returns within milliseconds once its connection is aborted.
	reclaimPolls    = 20
	reclaimInterval = 5 * time.Millisecond
)

// Budget is the number of bytes that the messages of a process may use.
type Budget struct {
	left    atomic.Int64
	total   int64
	reclaim atomic.Pointer[Reclaimer]
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{total: bytes}
	b.left.Store(bytes)
	return b
}

// SetReclaimer sets the function that is called when the budget is used up.
func (b *Budget) SetReclaimer(r Reclaimer) { b.reclaim.Store(&r) }

// Left returns the unused bytes.
func (b *Budget) Left() int64 { return b.left.Load() }

// Total returns the bytes of the budget.
func (b *Budget) Total() int64 { return b.total }

// LargestBody returns the size of the largest body of a request that the budget has room for.
func (b *Budget) LargestBody() int64 { return max(b.total-b.Reserved()-initialBytes, 0) }

// Reserved returns the bytes that only responses may use.
func (b *Budget) Reserved() int64 { return b.total / reserveShare }

// Reserve returns an empty reservation, which must be released.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Reservation is the part of a budget that one request uses. Only Taken is safe for concurrent
// use. A nil Reservation has no budget.
type Reservation struct {
	budget *Budget
	taken  atomic.Int64
}

// Taken returns the bytes in use.
func (r *Reservation) Taken() int64 { return r.taken.Load() }

// Take takes bytes of the budget for a message that was read elsewhere. It reports false if
// the budget is used up.
func (r *Reservation) Take(bytes int64) bool { return r.take(bytes, 0) }

// take takes bytes and leaves a number of them free.
func (r *Reservation) take(bytes, free int64) bool {
	if r == nil || r.tryTake(bytes, free) {
		return true
	}
	reclaim := r.budget.reclaim.Load()
	if reclaim == nil {
		return false
	}
	if needed := bytes + free - r.budget.left.Load(); (*reclaim)(needed) < needed {
		return false
	}
	for range reclaimPolls {
		time.Sleep(reclaimInterval)
		if r.tryTake(bytes, free) {
			return true
		}
	}
	return false
}

func (r *Reservation) tryTake(bytes, free int64) bool {
	if r.budget.left.Add(-bytes) < free {
		r.budget.left.Add(bytes)
		return false
	}
	r.taken.Add(bytes)
	return true
}

// TryTake takes bytes if they are free, and leaves a number of bytes free. It closes nothing.
func (r *Reservation) TryTake(bytes, free int64) bool { return r.tryTake(bytes, free) }

// Return returns some of the bytes in use.
func (r *Reservation) Return(bytes int64) {
	r.taken.Add(-bytes)
	r.budget.left.Add(bytes)
}

// Absorb takes over the bytes of another reservation, which is empty afterwards.
func (r *Reservation) Absorb(other *Reservation) {
	if r == nil {
		other.Release()
		return
	}
	r.taken.Add(other.taken.Swap(0))
}

// Release returns all bytes to the budget.
func (r *Reservation) Release() { r.budget.left.Add(r.taken.Swap(0)) }

// ReadBody reads the body of a request until EOF as ReadAll does. size is the size that its header
// states, or negative. It leaves a part of the budget free for responses.
func (r *Reservation) ReadBody(src io.Reader, size, limit int64) ([]byte, error) {
	return r.read(src, limit, r.budget.Reserved(), func(capacity int64) int64 { return grow(capacity, size, limit) })
}

// ReadAll reads a message until EOF. It fails with ErrTooLarge beyond limit bytes, and with
// ErrExhausted if the budget is used up.
func (r *Reservation) ReadAll(src io.Reader, limit int64) ([]byte, error) {
	return r.read(src, limit, 0, func(capacity int64) int64 { return growGradually(capacity, limit) })
}

// knownSizeBytes is how much of a body must have arrived before a buffer of its whole stated size
// is allocated: its size alone costs a client nothing.
const knownSizeBytes = 64 << 10

func (r *Reservation) read(src io.Reader, limit, free int64, grow func(capacity int64) int64) ([]byte, error) {
	if !r.take(initialBytes, free) {
		return nil, ErrExhausted
	}
	data := make([]byte, 0, initialBytes)
	for {
		if len(data) == cap(data) {
			grown, ok := r.extend(int64(cap(data)), free, grow)
			if !ok {
				return nil, ErrExhausted
			}
			larger := make([]byte, len(data), grown)
			copy(larger, data)
			data = larger
		}
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// extend takes the bytes for the next buffer and returns its size. If there is no room for a buffer
// of the whole message, it doubles the buffer.
func (r *Reservation) extend(capacity, free int64, grow func(capacity int64) int64) (grown int64, ok bool) {
	grown, twice := grow(capacity), 2*capacity
	if grown > twice && (r == nil || r.tryTake(grown-capacity, free)) {
		return grown, true
	}
	grown = min(grown, twice)
	return grown, r.take(grown-capacity, free)
}

// grow returns the size of the next buffer. It has one byte more than a message of known size or
// than the limit, so that its end is read without growing again. From a quarter of the limit on, a
// buffer of the limit is used: with another copy of half the size, a body of 64 MiB took 143 MB.
func grow(capacity, size, limit int64) int64 {
	switch {
	case size >= capacity && (capacity >= knownSizeBytes || size < 2*capacity):
		return size + 1
	case size < 0 && 4*capacity > limit && limit >= capacity:
		return limit + 1
	default:
		return 2 * capacity
	}
}

// growGradually returns the size of the next buffer of a message whose size is not stated and which is
// one of many: from a quarter of the limit on, the buffer grows by a quarter, so that the memory follows
// the bytes that have arrived. The last buffer has one byte more than the limit, as with grow.
func growGradually(capacity, limit int64) int64 {
	if 4*capacity < limit {
		return 2 * capacity
	}
	return min(capacity+capacity/4, max(limit, capacity)+1)
}

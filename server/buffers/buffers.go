// Package buffers bounds the memory of a process that holds whole messages: each message
// has a limit, and all of them together have a budget.
package buffers

import (
	"io"
	"sync/atomic"

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

// Budget is the number of bytes that the messages of a process may use.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// Left returns the unused bytes.
func (b *Budget) Left() int64 { return b.left.Load() }

// Reserve returns an empty reservation, which must be released.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Reservation is the part of a budget that one request uses. It is not safe for
// concurrent use. A nil Reservation has no budget.
type Reservation struct {
	budget *Budget
	taken  int64
}

// Take takes bytes of the budget for a message that was read elsewhere. It reports false if
// the budget is used up.
func (r *Reservation) Take(bytes int64) bool {
	if r == nil {
		return true
	}
	if r.budget.left.Add(-bytes) < 0 {
		r.budget.left.Add(bytes)
		return false
	}
	r.taken += bytes
	return true
}

// Release returns all bytes to the budget.
func (r *Reservation) Release() {
	r.budget.left.Add(r.taken)
	r.taken = 0
}

// ReadAll reads a message until EOF. It fails with ErrTooLarge beyond limit bytes, and with
// ErrExhausted if the budget is used up.
func (r *Reservation) ReadAll(src io.Reader, limit int64) ([]byte, error) {
	if !r.Take(initialBytes) {
		return nil, ErrExhausted
	}
	data := make([]byte, 0, initialBytes)
	for {
		if len(data) == cap(data) {
			if !r.Take(int64(cap(data))) {
				return nil, ErrExhausted
			}
			grown := make([]byte, len(data), 2*cap(data))
			copy(grown, data)
			data = grown
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

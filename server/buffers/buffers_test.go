package buffers

import (
	"bytes"
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// endless is a message that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestReadAll guards against a message that is cut at its limit or at the end of the
// budget without an error, and against a reservation that is lost.
func TestReadAll(t *testing.T) {
	budget := NewBudget(64 << 10)
	for _, size := range []int{0, 1, initialBytes, 5000, 20000} {
		r := budget.Reserve()
		want := bytes.Repeat([]byte("x"), size)
		got, err := r.ReadAll(bytes.NewReader(want), 20000)
		require.NoError(t, err)
		require.Equal(t, want, got)
		r.Release()
		require.Equal(t, int64(64<<10), budget.Left())
	}
	r, other := budget.Reserve(), budget.Reserve()
	_, err := r.ReadAll(endless{}, 20000)
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = other.ReadAll(endless{}, 1<<40)
	require.ErrorIs(t, err, ErrExhausted)
	require.GreaterOrEqual(t, budget.Left(), int64(0))
	r.Release()
	other.Release()
	require.Equal(t, int64(64<<10), budget.Left())
	broken := errors.New("broken")
	_, err = r.ReadAll(io.MultiReader(bytes.NewReader([]byte("half")), errorReader{broken}), 100)
	require.ErrorIs(t, err, broken)
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// TestReadBody guards against a body that takes much more of the budget than its size, or all that
// responses need.
func TestReadBody(t *testing.T) {
	const total = 1 << 20
	for _, size := range []int64{0, 1, initialBytes, initialBytes + 1, 5000, 1 << 16, 300_000, NewBudget(total).LargestBody()} {
		budget := NewBudget(total)
		r := budget.Reserve()
		got, err := r.ReadBody(bytes.NewReader(make([]byte, size)), size, 1<<30)
		require.NoError(t, err)
		require.Len(t, got, int(size))
		require.Equal(t, int64(cap(got)), r.Taken())
		require.LessOrEqual(t, r.Taken(), max(size+1, 2*size, initialBytes))
		r.Release()
		require.Equal(t, int64(total), budget.Left())
	}
	budget := NewBudget(total)
	r := budget.Reserve()
	chunked, err := r.ReadBody(bytes.NewReader(make([]byte, budget.LargestBody())), -1, budget.LargestBody())
	require.NoError(t, err, "a body of unknown size")
	require.Len(t, chunked, int(budget.LargestBody()))
	r.Release()
	_, err = r.ReadBody(bytes.NewReader(make([]byte, total)), total, 1<<30)
	require.ErrorIs(t, err, ErrExhausted)
	require.GreaterOrEqual(t, budget.Left(), int64(total/reserveShare), "bytes for responses")
	r.Release()
	// A stated size alone takes nothing.
	_, err = r.ReadBody(bytes.NewReader(make([]byte, 100)), 1<<40, 1<<50)
	require.NoError(t, err)
	require.Equal(t, int64(initialBytes), r.Taken())
}

// TestReclaim guards against a message that is refused although memory can be reclaimed, and
// against waiting for memory that nobody releases.
func TestReclaim(t *testing.T) {
	budget := NewBudget(1000)
	stalled, next := budget.Reserve(), budget.Reserve()
	require.True(t, stalled.Take(900))
	budget.SetReclaimer(func(needed int64) int64 {
		require.Equal(t, int64(100), needed)
		return 0
	})
	require.False(t, next.Take(200))
	budget.SetReclaimer(func(int64) int64 {
		stalled.Release()
		return 900
	})
	require.True(t, next.Take(200))
	require.Equal(t, int64(800), budget.Left())
}

// arriving counts the bytes that have arrived and checks the memory taken for them.
type arriving struct {
	t       *testing.T
	r       *Reservation
	left    int
	arrived int64
}

func (a *arriving) Read(p []byte) (int, error) {
	require.LessOrEqual(a.t, a.r.Taken(), max(2*a.arrived+initialBytes, initialBytes), "after %d bytes", a.arrived)
	if a.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), a.left, 10_000)
	a.left, a.arrived = a.left-n, a.arrived+int64(n)
	return n, nil
}

// TestResponsesTakeMemoryAsTheyArrive guards against a response without a stated size that takes the
// limit of responses when a quarter of it has arrived, and against one of stated size that takes more
// than that.
func TestResponsesTakeMemoryAsTheyArrive(t *testing.T) {
	const limit = 8 << 20
	for _, size := range []int{0, 1, 2<<20 - 1, 2 << 20, 2<<20 + 1, 3 << 20, 7 << 20, limit - 1, limit} {
		r := NewBudget(limit + limit/4).Reserve()
		got, err := r.ReadAll(&arriving{t: t, r: r, left: size}, limit)
		require.NoError(t, err)
		require.Len(t, got, size)
		require.LessOrEqual(t, r.Taken(), max(int64(size)*5/4+1, 2<<20), "%d bytes", size)
	}
	r := NewBudget(2 * limit).Reserve()
	_, err := r.ReadAll(&arriving{t: t, r: r, left: limit + 1}, limit)
	require.ErrorIs(t, err, ErrTooLarge)
}

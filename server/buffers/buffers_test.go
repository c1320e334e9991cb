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

package eventqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOrder guards against simulations that do not repeat: events of one time run in another order
// than that in which they were added.
func TestOrder(t *testing.T) {
	var q Queue
	var got []int
	for i, at := range []time.Duration{3, 1, 2, 1, 3, 1} {
		q.Add(at, func() { got = append(got, i) })
	}
	require.False(t, q.Due(0))
	last := time.Duration(0)
	for q.Due(3) {
		at, do := q.Next()
		require.GreaterOrEqual(t, at, last)
		last = at
		do()
	}
	require.Equal(t, []int{1, 3, 5, 2, 0, 4}, got)
	require.Zero(t, q.Len())
}

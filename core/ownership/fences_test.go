package ownership

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFences guards against a fence that is forgotten, or counted for other keys, so that a key
// is granted under an older one or a sound grant is stopped.
func TestFences(t *testing.T) {
	const keys = 64
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var fences Fences
		var want [keys]int64
		for range 200 {
			first := rng.IntN(keys)
			span := Span{First: first, Last: first + rng.IntN(keys-first)}
			highest := int64(0)
			for key := span.First; key <= span.Last; key++ {
				highest = max(highest, want[key])
			}
			require.Equal(t, highest, fences.Highest(span))
			fence := rng.Int64N(20) + 1
			fences.Granted(span, fence)
			for key := span.First; key <= span.Last; key++ {
				want[key] = max(want[key], fence)
			}
			for key := range keys {
				require.Equal(t, want[key], fences.Highest(Span{First: key, Last: key}))
			}
		}
	}
}

package ownership

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestDiffOverlay guards against VMs whose view of the owners differs from the
// granter's after they have applied its changes.
func TestDiffOverlay(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	random := func() (list []SpanOwner) {
		owners := []api.UpstreamID{"", "a", "b", "c"}
		for next := 0; next < simKeys; {
			last := min(next+rng.IntN(200), simKeys-1)
			list = appendSpanOwner(list, SpanOwner{Span{next, last}, owners[rng.IntN(len(owners))]})
			next = last + 1
		}
		return list
	}
	for range 500 {
		a, b, c := random(), random(), random()
		changes := append(Diff(a, b), Diff(b, c)...)
		require.Equal(t, c, Overlay(a, changes))
		require.Empty(t, Diff(a, a))
	}
}

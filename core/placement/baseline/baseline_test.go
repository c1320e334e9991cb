package baseline

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestKeysMovedByRemoval guards against a comparison with incorrect baselines: on a removal,
// the ring must move only the keys of the removed upstream, and modulo nearly all.
func TestKeysMovedByRemoval(t *testing.T) {
	ids := make([]api.UpstreamID, 10)
	for i := range ids {
		ids[i] = api.UpstreamID(fmt.Sprint("u", i))
	}
	moved := func(before, after Assigner) (fromOthers, total int) {
		for i := range 10_000 {
			hash := xxhash.Sum64String(fmt.Sprint("k", i))
			from := before.Owner(hash)
			if from != after.Owner(hash) {
				total++
				if from != ids[9] {
					fromOthers++
				}
			}
		}
		return fromOthers, total
	}
	others, total := moved(NewRing(ids, 100), NewRing(ids[:9], 100))
	require.Zero(t, others)
	require.InDelta(t, 1000, total, 400)
	_, total = moved(NewModulo(ids), NewModulo(ids[:9]))
	require.InDelta(t, 9000, total, 200)
	require.Empty(t, NewRing(nil, 100).Owner(1))
	require.Empty(t, NewModulo(nil).Owner(1))
}

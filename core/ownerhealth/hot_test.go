package ownerhealth

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHotKeyHasItsOwnerToItself guards against a hot key that shares its owner with other keys for
// longer than a second, that stays with a slow owner, or that moves again and again.
func TestHotKeyHasItsOwnerToItself(t *testing.T) {
	for seed := range uint64(4) {
		s := newSim(simParams{upstreams: 80, slots: 2, load: 0.5, hot: true, health: true, seed: seed})
		var alone, settled time.Duration
		var owners []string
		s.every(50*ms, func() {
			u := s.owners[s.hotBucket]
			if s.now < simFault || u == nil {
				return
			}
			others := 0
			for _, o := range s.owners {
				if o == u {
					others++
				}
			}
			if others == 1 && alone == 0 {
				alone = s.now - simFault
			}
			if id := string(u.owner.UpstreamID); len(owners) == 0 || owners[len(owners)-1] != id {
				owners = append(owners, id)
				settled = s.now - simFault
			}
			if alone > 0 && s.now < simEnd && settled < s.now-simFault-2*time.Second {
				require.Equal(t, 1, others, "seed %d at %s", seed, s.now)
			}
		})
		s.run()
		var speeds []float64
		for _, u := range s.upstreams {
			speeds = append(speeds, u.speed)
		}
		slices.Sort(speeds)
		speed := s.byID[s.stored[s.hotBucket]].speed
		t.Logf("seed %d: alone after %s, owners %v, last from %s, speed %.2f of %.2f", seed, alone, owners, settled, speed, speeds[len(speeds)-1])
		require.NotZero(t, alone)
		require.LessOrEqual(t, alone, time.Second, "seed %d", seed)
		require.LessOrEqual(t, len(owners), 3, "seed %d: no oscillation", seed)
		require.Greater(t, speed, speeds[len(speeds)*6/10], "seed %d: a fast owner", seed)
	}
}

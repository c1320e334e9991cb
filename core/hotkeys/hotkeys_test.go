package hotkeys

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// feed adds one second of requests in random order: those of the hot keys, and others
// for keys that rarely repeat.
func feed(s *Sketch, rng *rand.Rand, hot map[string]int, others int) {
	var all []string
	for key, n := range hot {
		for range n {
			all = append(all, key)
		}
	}
	for range others {
		all = append(all, fmt.Sprintf("cold-%d", rng.IntN(1_000_000)))
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, key := range all {
		s.Add(key)
	}
}

// TestRatesOfHotKeys guards against hot keys missed among many others, against wrong rates,
// and against rare keys that inherit a high count, which would each get a range of their own.
func TestRatesOfHotKeys(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	s := New(DefaultConfig(), 0)
	hot := map[string]int{"a": 500, "b": 200, "c": 100}
	for second := 1; second <= 10; second++ {
		feed(s, rng, hot, 5000)
		s.Advance(time.Duration(second) * time.Second)
		require.LessOrEqual(t, len(s.heap), 256)
		require.Equal(t, len(s.heap), len(s.byKey))
	}
	got := s.Rates(50)
	require.Len(t, got, 3)
	for i, key := range []string{"a", "b", "c"} {
		require.Equal(t, key, got[i].Key)
		require.LessOrEqual(t, got[i].PerSecond, float64(hot[key])+0.001, "never above the true rate")
		require.InDelta(t, hot[key], got[i].PerSecond, 30, "the count of a key in a full sketch starts with 5800/256")
	}
}

// TestRatesFollowChanges guards against a rate that does not decay after the requests have
// ended, so that no range is ever merged, and against one that lags by minutes.
func TestRatesFollowChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 0))
	s := New(DefaultConfig(), 0)
	at := time.Duration(0)
	second := func(hot map[string]int) {
		feed(s, rng, hot, 1000)
		at += time.Second
		s.Advance(at)
	}
	for range 20 {
		second(map[string]int{"old": 400})
	}
	require.InDelta(t, 400, s.Rates(100)[0].PerSecond, 10)
	for range 9 { // three half-lives
		second(map[string]int{"new": 400})
	}
	got := s.Rates(100)
	require.Len(t, got, 1)
	require.Equal(t, "new", got[0].Key)
	require.Greater(t, got[0].PerSecond, 300.0)
	for range 30 {
		second(nil)
	}
	require.Empty(t, s.Rates(10))
}

// TestFrequentKeysAreCounted guards against violations of the space-saving bounds: a key with
// more than 1/Counters of the requests must be counted, and the true count must be between the
// count less its error and the count.
func TestFrequentKeysAreCounted(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := New(Config{Counters: 16, HalfLife: time.Second, MaxKeyBytes: 8}, 0)
		zipf := rand.NewZipf(rng, 1.1, 1, 200)
		exact := map[string]float64{}
		for range 5000 {
			key := fmt.Sprint(zipf.Uint64())
			exact[key]++
			s.Add(key)
		}
		for key, n := range exact {
			c := s.byKey[key]
			if n > 5000/16 {
				require.NotNil(t, c, "seed %d: key %s with %v of 5000 requests", seed, key, n)
			}
			if c != nil {
				require.GreaterOrEqual(t, c.count, n, "seed %d", seed)
				require.LessOrEqual(t, c.count-c.err, n, "seed %d", seed)
			}
		}
		s.Add("a key longer than MaxKeyBytes")
		require.NotContains(t, s.byKey, "a key longer than MaxKeyBytes")
	}
}

package straggler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"dandelionhill.dev/api"
)

// heapInUse returns the heap bytes in use after a garbage collection.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkObserve measures the time per response and the memory per upstream.
func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{6, 30, 120, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			took := make([]time.Duration, 4096)
			for i := range took {
				took[i] = time.Duration(20e6 * math.Exp(0.5*rng.NormFloat64()))
			}
			names := make([]api.UpstreamID, n)
			for i := range names {
				names[i] = name(i)
			}
			// Many monitors make the heap difference large relative to other allocations.
			monitors := make([]*Monitor, 60000/n)
			before := heapInUse()
			for k := range monitors {
				monitors[k] = NewMonitor(DefaultConfig())
				for i := range 20 * n {
					monitors[k].Observe(0, names[i%n], took[i%len(took)])
				}
			}
			perUpstream := float64(heapInUse()-before) / float64(n*len(monitors))
			m := monitors[0]
			ids := make([]int, 4096)
			for i := range ids {
				ids[i] = rng.IntN(n)
			}
			b.ResetTimer()
			for i := range b.N {
				m.Observe(time.Duration(i)*time.Microsecond, names[ids[i%len(ids)]], took[i%len(took)])
			}
			b.StopTimer()
			b.ReportMetric(perUpstream, "B/upstream")
			runtime.KeepAlive(monitors)
		})
	}
}

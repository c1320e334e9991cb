package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchInput returns ranges, all placed by a planner, with one upstream per 40 of them.
func benchInput(ranges int) (Input, *Planner) {
	in := testInput(ranges, fleet(max(4, ranges/40), 4))
	for r := range ranges {
		in.Load[r] = 0.5 + float64(r%97)/97
	}
	p := &Planner{}
	apply(in, p.Plan(0, in, DefaultPolicy()))
	return in, p
}

var benchSizes = []int{256, 1024, 4096, 16384, 65536}

// BenchmarkPlan measures a plan without moves, the usual case.
func BenchmarkPlan(b *testing.B) {
	for _, ranges := range benchSizes {
		b.Run(fmt.Sprintf("ranges=%d", ranges), func(b *testing.B) {
			in, p := benchInput(ranges)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				p.Plan(time.Duration(i)*time.Second, in, DefaultPolicy())
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(ranges), "ns/range")
		})
	}
}

// BenchmarkPlanDomainLost measures the plan that places the ranges of one lost
// failure domain out of four.
func BenchmarkPlanDomainLost(b *testing.B) {
	for _, ranges := range benchSizes {
		b.Run(fmt.Sprintf("ranges=%d", ranges), func(b *testing.B) {
			in, _ := benchInput(ranges)
			for i := 0; i < len(in.Upstreams); i += 4 {
				in.Upstreams[i].State = Lost
			}
			b.ReportAllocs()
			for b.Loop() {
				var p Planner
				p.Plan(0, in, DefaultPolicy())
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(ranges), "ns/range")
		})
	}
}

// BenchmarkMemoryPerRange measures the memory of a planner, and of the owners and
// loads of its input, between plans.
func BenchmarkMemoryPerRange(b *testing.B) {
	for _, ranges := range benchSizes {
		b.Run(fmt.Sprintf("ranges=%d", ranges), func(b *testing.B) {
			var planner, input float64
			for b.Loop() {
				start := heapBytes()
				in, p := benchInput(ranges)
				both := heapBytes() - start
				runtime.KeepAlive(in)
				in = Input{}
				planner = heapBytes() - start
				input = both - planner
				runtime.KeepAlive(p)
			}
			b.ReportMetric(planner/float64(ranges), "planner-B/range")
			b.ReportMetric(input/float64(ranges), "input-B/range")
		})
	}
}

// heapBytes returns the bytes in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

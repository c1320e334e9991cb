package hotkeys

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkAdd measures the cost of one request for several key distributions: with a
// Zipf exponent near 1 most requests replace a counter.
func BenchmarkAdd(b *testing.B) {
	for _, exponent := range []float64{1.01, 1.5, 2} {
		b.Run(fmt.Sprintf("zipf=%v", exponent), func(b *testing.B) {
			zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 0)), exponent, 1, 1_000_000)
			keys := make([]string, 1<<16)
			for i := range keys {
				keys[i] = fmt.Sprintf("customer/%08d", zipf.Uint64())
			}
			s := New(DefaultConfig(), 0)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				s.Add(keys[i%len(keys)])
			}
		})
	}
}

package dedup_test

import (
	"fmt"
	"runtime"
	"testing"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/dedup"
)

// BenchmarkTable measures Begin and Finish, and the bytes per stored ID
// with responses without a body.
func BenchmarkTable(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint("ids=", size), func(b *testing.B) {
			now := start.Add(1e9)
			ids := make([]string, size)
			for i := range ids {
				ids[i] = newID(now, uint64(i))
			}
			response := &dedup.Response{Status: 200}
			var before, after runtime.MemStats
			for b.Loop() {
				b.StopTimer()
				runtime.GC()
				runtime.ReadMemStats(&before)
				b.StartTimer()
				table := dedup.New(dedup.Config{}, start)
				for _, id := range ids {
					if d := table.Begin(now, id); d.Action != dedup.Run {
						b.Fatal(d)
					}
					table.Finish(now, id, dedup.Result{Outcome: api.Answered, Response: response})
				}
				b.StopTimer()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(table.Len()), "B/id")
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size), "ns/id")
		})
	}
}

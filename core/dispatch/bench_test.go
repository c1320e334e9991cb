package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionhill.dev/core/dispatch"
)

// BenchmarkCycle measures one Admit, Next and Done at a constant queue length.
func BenchmarkCycle(b *testing.B) {
	for _, keyed := range []bool{true, false} {
		for _, length := range []int{100, 1_000, 10_000} {
			b.Run(fmt.Sprintf("keyed=%v/queued=%d", keyed, length), func(b *testing.B) {
				const ups = 8
				q := dispatch.New(dispatch.Config{QueueLength: 20_000, CallerShare: 1, KeyShare: 1})
				all := limits(ups, 2)
				q.SetLimits(all)
				var names [500]string
				for i := range names {
					names[i] = fmt.Sprint("name", i)
				}
				id := uint64(0)
				admit := func() {
					id++
					r := dispatch.Request{ID: id, Caller: names[id%50], Deadline: time.Hour}
					if keyed {
						r.Key, r.Upstream = names[id*7%500], all[id*7%500%ups].Upstream
					}
					if refusal := q.Admit(0, r); refusal != nil {
						b.Fatal(refusal)
					}
				}
				for range length {
					admit()
				}
				running, _ := q.Next(0)
				b.ReportAllocs()
				for b.Loop() {
					admit()
					s := running[0]
					running = running[1:]
					q.Done(0, s.ID, s.Upstream, 10*ms, true)
					starts, _ := q.Next(0)
					running = append(running, starts...)
				}
				b.ReportMetric(float64(q.Queued()), "queued-at-end")
			})
		}
	}
}

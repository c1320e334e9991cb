package dispatch

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDeadlinesOrder guards against a heap that loses its order when inner items are removed.
func TestDeadlinesOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var heap deadlines
		var in []*item
		for i, deadline := range rapid.SliceOfN(rapid.IntRange(1, 1000), 20, 60).Draw(t, "deadlines") {
			it := &item{req: Request{ID: uint64(i), Deadline: 1}, latestStart: time.Duration(deadline)}
			heap.push(it)
			in = append(in, it)
		}
		for range rapid.IntRange(0, 15).Draw(t, "removals") {
			i := rapid.IntRange(0, len(in)-1).Draw(t, "index")
			heap.remove(in[i])
			in = slices.Delete(in, i, i+1)
		}
		slices.SortFunc(in, func(a, b *item) int { return int(a.latestStart - b.latestStart) })
		for _, want := range in {
			got := heap.due(want.latestStart + 1)
			if got == nil || got.latestStart != want.latestStart {
				t.Fatalf("got %v, want latest start %v", got, want.latestStart)
			}
			heap.remove(got)
		}
	})
}

package ownership

import (
	"slices"
	"sort"
)

// Fences holds the highest fence under which each key was granted, as far as a granter knows.
// It is a check of the Machine's decisions, independent of them. It is not safe for concurrent
// use.
type Fences struct {
	spans []fenceSpan // in order, without overlaps
}

type fenceSpan struct {
	Span
	fence int64
}

// Highest returns the highest fence of any key of a span, 0 if none is known.
func (f *Fences) Highest(span Span) (fence int64) {
	for i := f.search(span.First); i < len(f.spans) && f.spans[i].First <= span.Last; i++ {
		fence = max(fence, f.spans[i].fence)
	}
	return fence
}

// Granted records that a span is granted under a fence.
func (f *Fences) Granted(span Span, fence int64) {
	first := f.search(span.First)
	if first < len(f.spans) && f.spans[first].Span == span && f.spans[first].fence >= fence {
		return
	}
	var pieces []fenceSpan
	add := func(first, last int, fence int64) {
		if first > last {
			return
		}
		if n := len(pieces); n > 0 && pieces[n-1].fence == fence && pieces[n-1].Last == first-1 {
			pieces[n-1].Last = last
			return
		}
		pieces = append(pieces, fenceSpan{Span{First: first, Last: last}, fence})
	}
	next, end := span.First, first
	for ; end < len(f.spans) && f.spans[end].First <= span.Last; end++ {
		s := f.spans[end]
		add(s.First, min(s.Last, span.First-1), s.fence)
		add(next, s.First-1, fence)
		add(max(s.First, span.First), min(s.Last, span.Last), max(s.fence, fence))
		add(max(s.First, span.Last+1), s.Last, s.fence)
		next = s.Last + 1
	}
	add(next, span.Last, fence)
	f.spans = slices.Replace(f.spans, first, end, pieces...)
}

// search returns the index of the first span that ends at a key or after it.
func (f *Fences) search(key int) int {
	return sort.Search(len(f.spans), func(i int) bool { return f.spans[i].Last >= key })
}

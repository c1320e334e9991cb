package ownership

import "dandelionhill.dev/api"

// SpanOwner is the upstream to which requests for a span are routed. Owner is
// empty while no owner is ready to run them.
type SpanOwner struct {
	Span  Span           `cbor:"1,keyasint"`
	Owner api.UpstreamID `cbor:"2,keyasint"`
}

// SpanOwners returns the owners of the spans if all entries are in force.
func SpanOwners(entries []Entry) []SpanOwner {
	owners := make([]SpanOwner, len(entries))
	for i, e := range entries {
		owners[i] = SpanOwner{Span: e.Span, Owner: e.Owner.UpstreamID}
	}
	return owners
}

// appendSpanOwner appends o, or extends the last element if it is adjacent and has
// the same owner.
func appendSpanOwner(list []SpanOwner, o SpanOwner) []SpanOwner {
	if n := len(list); n > 0 && list[n-1].Owner == o.Owner && list[n-1].Span.Last+1 == o.Span.First {
		list[n-1].Span.Last = o.Span.Last
		return list
	}
	return append(list, o)
}

// Diff returns the parts of after whose owner differs from before. Both cover the
// same keys in ascending order.
func Diff(before, after []SpanOwner) (changed []SpanOwner) {
	i := 0
	for _, o := range after {
		first := o.Span.First
		for first <= o.Span.Last {
			for i < len(before) && before[i].Span.Last < first {
				i++
			}
			last, same := o.Span.Last, false
			if i < len(before) && before[i].Span.First <= first {
				last, same = min(last, before[i].Span.Last), before[i].Owner == o.Owner
			}
			if !same {
				changed = appendSpanOwner(changed, SpanOwner{Span: Span{first, last}, Owner: o.Owner})
			}
			first = last + 1
		}
	}
	return changed
}

// Overlay applies the changes to owners in their order and returns the result.
func Overlay(owners, changes []SpanOwner) []SpanOwner {
	for _, c := range changes {
		next := make([]SpanOwner, 0, len(owners)+2)
		placed := false
		for _, o := range owners {
			if o.Span.First < c.Span.First {
				next = appendSpanOwner(next, SpanOwner{Span{o.Span.First, min(o.Span.Last, c.Span.First-1)}, o.Owner})
			}
			if !placed && o.Span.Last >= c.Span.First {
				next, placed = appendSpanOwner(next, c), true
			}
			if o.Span.Last > c.Span.Last {
				next = appendSpanOwner(next, SpanOwner{Span{max(o.Span.First, c.Span.Last+1), o.Span.Last}, o.Owner})
			}
		}
		if !placed {
			next = appendSpanOwner(next, c)
		}
		owners = next
	}
	return owners
}

package ownership

import "dandelionhill.dev/api"

// SpanOwner is where requests for a span go. Owner is empty while the span has no
// owner that is ready to run them.
type SpanOwner struct {
	Span  Span           `cbor:"1,keyasint"`
	Owner api.UpstreamID `cbor:"2,keyasint"`
}

// SpanOwners returns where requests go if all entries are in force.
func SpanOwners(entries []Entry) []SpanOwner {
	holdings := make([]SpanOwner, len(entries))
	for i, e := range entries {
		holdings[i] = SpanOwner{Span: e.Span, Owner: e.Owner.UpstreamID}
	}
	return holdings
}

// appendHolding adds a holding and joins it with the last one if they are
// neighbours with the same owner.
func appendHolding(list []SpanOwner, h SpanOwner) []SpanOwner {
	if n := len(list); n > 0 && list[n-1].Owner == h.Owner && list[n-1].Span.Last+1 == h.Span.First {
		list[n-1].Span.Last = h.Span.Last
		return list
	}
	return append(list, h)
}

// Diff returns the holdings of after that differ from before. Both cover the same
// keys in ascending order.
func Diff(before, after []SpanOwner) (changed []SpanOwner) {
	i := 0
	for _, h := range after {
		first := h.Span.First
		for first <= h.Span.Last {
			for i < len(before) && before[i].Span.Last < first {
				i++
			}
			last, same := h.Span.Last, false
			if i < len(before) && before[i].Span.First <= first {
				last, same = min(last, before[i].Span.Last), before[i].Owner == h.Owner
			}
			if !same {
				changed = appendHolding(changed, SpanOwner{Span: Span{first, last}, Owner: h.Owner})
			}
			first = last + 1
		}
	}
	return changed
}

// Overlay returns holdings in which the changes, in their order, replace what was
// there.
func Overlay(holdings, changes []SpanOwner) []SpanOwner {
	for _, c := range changes {
		next := make([]SpanOwner, 0, len(holdings)+2)
		placed := false
		for _, h := range holdings {
			if h.Span.First < c.Span.First {
				next = appendHolding(next, SpanOwner{Span{h.Span.First, min(h.Span.Last, c.Span.First-1)}, h.Owner})
			}
			if !placed && h.Span.Last >= c.Span.First {
				next, placed = appendHolding(next, c), true
			}
			if h.Span.Last > c.Span.Last {
				next = appendHolding(next, SpanOwner{Span{max(h.Span.First, c.Span.Last+1), h.Span.Last}, h.Owner})
			}
		}
		if !placed {
			next = appendHolding(next, c)
		}
		holdings = next
	}
	return holdings
}

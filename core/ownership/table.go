package ownership

// Rewrite returns the entries to store if the store has lost them. No key gets another owner
// before WriteDone.
func (m *Machine) Rewrite() []Entry {
	m.writing = true
	return m.table()
}

// table returns the entries to store. Moving spans stay with their owner until
// they have a new one.
func (m *Machine) table() []Entry {
	var table []Entry
	for _, e := range m.entries {
		if e.Owner.UpstreamID == "" {
			continue
		}
		table = AppendEntry(table, e.Entry)
	}
	return table
}

// AppendEntry appends an entry, or extends the last one if it is adjacent and has
// the same owner and fence.
func AppendEntry(list []Entry, e Entry) []Entry {
	if n := len(list); n > 0 && list[n-1].Owner == e.Owner && list[n-1].Fence == e.Fence && list[n-1].Span.Last+1 == e.Span.First {
		list[n-1].Span.Last = e.Span.Last
		return list
	}
	return append(list, e)
}

// OwnedEntries returns the spans that their owners keep, for another granter that
// continues to renew them.
func (m *Machine) OwnedEntries() []Entry {
	var owned []Entry
	for _, e := range m.entries {
		if e.Owner.UpstreamID != "" && !e.moving && !e.writing {
			owned = append(owned, e.Entry)
		}
	}
	return owned
}

// merge joins adjacent entries that can be renewed with one call.
func (m *Machine) merge() {
	merged := m.entries[:0]
	for _, e := range m.entries {
		if n := len(merged); n > 0 && mergeable(merged[n-1], e) {
			merged[n-1].Span.Last = e.Span.Last
			merged[n-1].leaseUntil = max(merged[n-1].leaseUntil, e.leaseUntil)
			merged[n-1].inDoubtUntil = max(merged[n-1].inDoubtUntil, e.inDoubtUntil)
			merged[n-1].formerUntil = max(merged[n-1].formerUntil, e.formerUntil)
			merged[n-1].lateUntil = max(merged[n-1].lateUntil, e.lateUntil)
			continue
		}
		merged = append(merged, e)
	}
	clear(m.entries[len(merged):])
	m.entries = merged
}

func mergeable(a, b *entry) bool {
	return a.Owner == b.Owner && a.Fence == b.Fence && a.acked == b.acked &&
		a.handover == "" && b.handover == "" && !a.moving && !b.moving &&
		!a.inCall() && !b.inCall() && !a.writing && !b.writing && a.grantSent == b.grantSent
}

package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// KeysPerBucket is the number of keys whose load is counted together.
const KeysPerBucket = 16

// keyWeight is the load that each key counts for beside what was observed, so
// that keys without requests are spread too. The unit is that of Observe.
const keyWeight = 1e-4

// loads is the observed load of the keys.
type loads struct{ buckets []float64 }

func newLoads(keys int) *loads {
	return &loads{buckets: make([]float64, (keys+KeysPerBucket-1)/KeysPerBucket)}
}

func (l *loads) add(bucket int, load float64) {
	if bucket >= 0 && bucket < len(l.buckets) {
		l.buckets[bucket] += load
	}
}

func (l *loads) decay(factor float64) {
	for i := range l.buckets {
		l.buckets[i] *= factor
	}
}

// of returns the load of a span. A bucket counts by the share of its keys.
func (l *loads) of(s Span) float64 {
	sum := keyWeight * float64(s.Len())
	for b := s.First / KeysPerBucket; b <= s.Last/KeysPerBucket; b++ {
		inside := min(s.Last, (b+1)*KeysPerBucket-1) - max(s.First, b*KeysPerBucket) + 1
		sum += l.buckets[b] * float64(inside) / KeysPerBucket
	}
	return sum
}

// use is the load of one upstream while a plan is made.
type use struct {
	Upstream
	load float64
}

func (u *use) relative() float64 { return u.load / u.Capacity }

// uses returns the upstreams that may get keys, with the load they have or will
// have when the moves under way have ended.
func (m *Machine) uses() map[api.UpstreamID]*use {
	uses := make(map[api.UpstreamID]*use)
	for id, u := range m.upstreams {
		if u.MayKeepKeys && u.Capacity > 0 {
			uses[id] = &use{Upstream: u}
		}
	}
	for _, e := range m.entries {
		id := e.Owner.UpstreamID
		if e.leaving && !e.writing {
			id = e.target.UpstreamID
		}
		if u := uses[id]; u != nil {
			u.load += m.loads.of(e.Span)
		}
	}
	return uses
}

// takers returns the upstreams that may get more keys, in the order of their IDs.
// If none takes more, those that may keep keys are better than none.
func takers(uses map[api.UpstreamID]*use) []*use {
	var list, reserve []*use
	for _, u := range uses {
		reserve = append(reserve, u)
		if u.MayGainKeys {
			list = append(list, u)
		}
	}
	if len(list) == 0 {
		list = reserve
	}
	slices.SortFunc(list, func(a, b *use) int { return cmp.Compare(a.Upstream.UpstreamID, b.Upstream.UpstreamID) })
	return list
}

// piecesPerShare is into how many pieces the fair share of one upstream is cut at
// most when its keys are spread over the others.
const piecesPerShare = 3

// place gives every leaving span a target and hands free spans over to it. It
// reports whether there is something to write.
func (m *Machine) place(now time.Duration) (any bool) {
	uses := m.uses()
	list := takers(uses)
	if len(list) == 0 {
		return false
	}
	total, capacity := 0.0, 0.0
	for _, u := range list {
		total += u.load
		capacity += u.Capacity
	}
	var homeless []*entry
	for _, e := range m.entries {
		if !e.leaving || e.writing {
			continue
		}
		if u, ok := uses[e.target.UpstreamID]; ok && u.Incarnation == e.target.Incarnation {
			continue
		}
		total += m.loads.of(e.Span)
		homeless = append(homeless, e)
	}
	fair := total / capacity
	for _, e := range homeless {
		m.settle(now, e, list, fair)
	}
	for _, e := range m.entries {
		if e.free(now) && e.target.UpstreamID != "" {
			e.Owner, e.target, e.writing, any = e.target, Owner{}, true, true
		}
	}
	return any
}

// settle cuts a span into pieces and gives each the upstream with most room.
func (m *Machine) settle(now time.Duration, e *entry, list []*use, fair float64) {
	divisible := !e.inCall() && !e.released || e.free(now) && e.handover == ""
	rest := e
	for {
		target := slices.MinFunc(list, func(a, b *use) int { return cmp.Compare(a.relative(), b.relative()) })
		room := max(fair*target.Capacity-target.load, fair*target.Capacity/piecesPerShare)
		piece := rest
		if divisible {
			if at := m.prefix(rest.Span, room); at < rest.Span.Last {
				piece, rest = rest, m.split(rest, at)
			} else {
				rest = nil
			}
		} else {
			rest = nil
		}
		piece.target = target.Owner
		target.load += m.loads.of(piece.Span)
		if rest == nil {
			return
		}
	}
}

// prefix returns the last key of the longest run from the start of the span
// whose load is at most room; at least one bucket.
func (m *Machine) prefix(s Span, room float64) int {
	at := min((s.First/KeysPerBucket+1)*KeysPerBucket-1, s.Last)
	load := m.loads.of(Span{s.First, at})
	for at < s.Last {
		next := min(at+KeysPerBucket, s.Last)
		load += m.loads.of(Span{at + 1, next})
		if load > room {
			return at
		}
		at = next
	}
	return at
}

// split cuts an entry after a key and returns the second part.
func (m *Machine) split(e *entry, at int) *entry {
	i := slices.Index(m.entries, e)
	second := *e
	second.Span.First = at + 1
	e.Span.Last = at
	m.entries = slices.Insert(m.entries, i+1, &second)
	return &second
}

// minMoves is the number of spans that may always move at the same time.
const minMoves = 8

// balance moves keys from the most to the least loaded upstream.
func (m *Machine) balance() {
	moving := 0
	for _, e := range m.entries {
		if e.leaving || e.writing {
			moving++
		}
	}
	uses := m.uses()
	list := takers(uses)
	if len(list) < 2 {
		return
	}
	total, capacity := 0.0, 0.0
	for _, u := range uses {
		total += u.load
		capacity += u.Capacity
	}
	mean := total / capacity
	atOnce := max(minMoves, int(m.cfg.MovesAtOnce*float64(len(uses))))
	stuck := make(map[api.UpstreamID]bool)
	for moving < atOnce {
		var from *use
		for _, u := range uses {
			if !stuck[u.Upstream.UpstreamID] && (from == nil || u.relative() > from.relative() ||
				u.relative() == from.relative() && u.Upstream.UpstreamID < from.Upstream.UpstreamID) {
				from = u
			}
		}
		to := slices.MinFunc(list, func(a, b *use) int { return cmp.Compare(a.relative(), b.relative()) })
		empty := to.load < mean*to.Capacity/2
		if from == nil || from == to || from.relative() < mean*m.cfg.BalanceAbove && !(empty && from.relative() > mean) {
			return
		}
		wanted := min(from.load-mean*from.Capacity, mean*to.Capacity-to.load)
		e := m.carve(from.Owner, wanted)
		if e == nil {
			stuck[from.Upstream.UpstreamID] = true
			continue
		}
		load := m.loads.of(e.Span)
		e.leaving, e.released, e.target, m.changed = true, false, to.Owner, true
		from.load -= load
		to.load += load
		moving++
	}
}

// minPiece is the smallest part of the wanted load that is worth a move.
const minPiece = 0.2

// carve cuts the run of keys with the load nearest to wanted, but not above, off
// an end of one of the owner's spans.
func (m *Machine) carve(owner Owner, wanted float64) *entry {
	var best *entry
	var bestSpan Span
	bestLoad := math.Inf(-1)
	for _, e := range m.entries {
		if e.Owner != owner || e.leaving || e.writing || e.inCall() {
			continue
		}
		for _, s := range []Span{m.headOf(e.Span, wanted), m.tailOf(e.Span, wanted)} {
			if s.Len() <= 0 {
				continue
			}
			if load := m.loads.of(s); load <= wanted && load > bestLoad {
				best, bestSpan, bestLoad = e, s, load
			}
		}
	}
	if best == nil || bestLoad < minPiece*wanted {
		return nil
	}
	if bestSpan.Last < best.Span.Last {
		m.split(best, bestSpan.Last)
		return best
	}
	if bestSpan.First > best.Span.First {
		return m.split(best, bestSpan.First-1)
	}
	return best
}

func (m *Machine) headOf(s Span, wanted float64) Span {
	return Span{s.First, m.prefix(s, wanted)}
}

func (m *Machine) tailOf(s Span, wanted float64) Span {
	load, first := 0.0, s.Last+1
	for first > s.First {
		next := max((first-1)/KeysPerBucket*KeysPerBucket, s.First)
		load += m.loads.of(Span{next, first - 1})
		if load > wanted {
			break
		}
		first = next
	}
	return Span{first, s.Last}
}

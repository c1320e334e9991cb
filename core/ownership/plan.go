package ownership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// KeysPerBucket is the number of keys in a load bucket.
const KeysPerBucket = 16

// baseKeyLoad is added to the observed load of each key, so that keys without
// requests are spread too. The unit is that of Observe.
const baseKeyLoad = 1e-4

// loads holds the observed load by bucket.
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

// of returns the load of a span. A bucket that is partly inside counts
// proportionally.
func (l *loads) of(s Span) float64 {
	sum := baseKeyLoad * float64(s.Len())
	for b := s.First / KeysPerBucket; b <= s.Last/KeysPerBucket; b++ {
		inside := min(s.Last, (b+1)*KeysPerBucket-1) - max(s.First, b*KeysPerBucket) + 1
		sum += l.buckets[b] * float64(inside) / KeysPerBucket
	}
	return sum
}

// upstreamLoad is the planned load of one upstream.
type upstreamLoad struct {
	Upstream
	load float64
	// alone means that it owns a hot bucket and gets no other keys.
	alone bool
}

func (u *upstreamLoad) utilization() float64 { return u.load / u.Capacity }

// upstreamLoads returns the upstreams that may own keys, with their load after all
// pending moves. An incarnation may own none while a later one of the same upstream may still
// hold a lease: the view is older, and the grant could reach the later one.
func (m *Machine) upstreamLoads(now time.Duration) map[api.UpstreamID]*upstreamLoad {
	byID := make(map[api.UpstreamID]*upstreamLoad)
	for id, u := range m.upstreams {
		if u.MayKeepKeys && u.Capacity > 0 {
			_, alone := m.hot.alone[id]
			byID[id] = &upstreamLoad{Upstream: u, alone: alone}
		}
	}
	for _, e := range m.entries {
		if u := byID[e.Owner.UpstreamID]; u != nil && e.Owner.follows(u.Owner) && now < e.leaseUntil {
			delete(byID, e.Owner.UpstreamID)
		}
	}
	for _, e := range m.entries {
		id := e.Owner.UpstreamID
		if e.moving && !e.writing {
			id = e.target.UpstreamID
		}
		if u := byID[id]; u != nil {
			u.load += m.loads.of(e.Span)
		}
	}
	return byID
}

// moveTargets returns the upstreams that may gain keys, in the order of their IDs.
// If there are none, it returns those that may keep keys. Those that own a hot bucket alone are
// left out.
func moveTargets(byID map[api.UpstreamID]*upstreamLoad) []*upstreamLoad {
	var targets, fallback []*upstreamLoad
	for _, u := range byID {
		if u.alone {
			continue
		}
		fallback = append(fallback, u)
		if u.MayGainKeys {
			targets = append(targets, u)
		}
	}
	if len(targets) == 0 {
		targets = fallback
	}
	slices.SortFunc(targets, func(a, b *upstreamLoad) int { return cmp.Compare(a.Upstream.UpstreamID, b.Upstream.UpstreamID) })
	return targets
}

// maxPiecesPerShare bounds the pieces into which the fair share of one upstream is
// split when its keys are spread over the others.
const maxPiecesPerShare = 3

// placeMoving gives every moving span a target. It reports false if there is none to choose from.
func (m *Machine) placeMoving(now time.Duration) bool {
	byID := m.upstreamLoads(now)
	targets := moveTargets(byID)
	if len(targets) == 0 {
		return false
	}
	total, capacity := 0.0, 0.0
	for _, u := range targets {
		total += u.load
		capacity += u.Capacity
	}
	var unplaced []*entry
	for _, e := range m.entries {
		if !e.moving || e.writing {
			continue
		}
		if u, ok := byID[e.target.UpstreamID]; ok && u.Incarnation == e.target.Incarnation {
			continue
		}
		total += m.loads.of(e.Span)
		unplaced = append(unplaced, e)
	}
	fairUtilization := total / capacity
	for _, e := range unplaced {
		m.distribute(now, e, targets, fairUtilization)
	}
	return true
}

// assignTargets gives every moving span a target and makes the target the owner of
// free spans. It reports whether there is something to write.
func (m *Machine) assignTargets(now time.Duration) (placed bool) {
	if !m.placeMoving(now) {
		return false
	}
	for _, e := range m.entries {
		if e.moving && !e.writing && now < e.lateUntil && e.free(now) {
			// Only the former owner may have the keys now. The new fence stops grants that arrive late.
			if u, ok := m.upstreams[e.Owner.UpstreamID]; ok && u.MayKeepKeys {
				e.target = u.Owner
			}
		}
		if e.target.UpstreamID != "" && e.freeFor(now, e.target) {
			e.Owner, e.target, e.writing, placed = e.target, Owner{}, true, true
		}
	}
	return placed
}

// distribute splits a span and assigns each piece to the upstream with the lowest
// utilization.
func (m *Machine) distribute(now time.Duration, e *entry, targets []*upstreamLoad, fairUtilization float64) {
	divisible := !e.inCall() && !e.released || e.free(now) && e.handover == ""
	rest := e
	for {
		target := slices.MinFunc(targets, func(a, b *upstreamLoad) int { return cmp.Compare(a.utilization(), b.utilization()) })
		room := max(fairUtilization*target.Capacity-target.load, fairUtilization*target.Capacity/maxPiecesPerShare)
		piece := rest
		if divisible {
			if at := m.prefixWithin(rest.Span, room); at < rest.Span.Last {
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

// prefixWithin returns the last key of the longest prefix of the span whose load
// is at most room; at least one bucket.
func (m *Machine) prefixWithin(s Span, room float64) int {
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

// split splits an entry after a key and returns the second part.
func (m *Machine) split(e *entry, at int) *entry {
	i := slices.Index(m.entries, e)
	second := *e
	second.Span.First = at + 1
	e.Span.Last = at
	m.entries = slices.Insert(m.entries, i+1, &second)
	return &second
}

// minConcurrentMoves is the number of spans that may always move concurrently.
const minConcurrentMoves = 8

// minRequestedLoad is the observed load from which a span counts as one that gets requests: a
// millisecond of work in the time constant of Decay.
const minRequestedLoad = 1e-3

// requested reports whether the keys of a span get requests.
func (l *loads) requested(s Span) bool {
	return l.of(s)-baseKeyLoad*float64(s.Len()) >= minRequestedLoad
}

// relieve moves up to a number of spans that get requests away from resting upstreams. Balance
// alone may leave them there: it moves no bucket whose load is more than the difference to the mean.
func (m *Machine) relieve(byID map[api.UpstreamID]*upstreamLoad, targets []*upstreamLoad, moves int) {
	targets = slices.DeleteFunc(slices.Clone(targets), func(u *upstreamLoad) bool { return u.Resting })
	if len(targets) == 0 {
		return
	}
	for _, e := range m.entries {
		from := byID[e.Owner.UpstreamID]
		if from == nil || !from.Resting || e.moving || e.writing || e.inCall() || moves <= 0 || !m.loads.requested(e.Span) {
			continue
		}
		to := slices.MinFunc(targets, func(a, b *upstreamLoad) int { return cmp.Compare(a.utilization(), b.utilization()) })
		e.moving, e.released, e.target, m.changed = true, false, to.Owner, true
		from.load -= m.loads.of(e.Span)
		to.load += m.loads.of(e.Span)
		moves--
	}
}

// balance moves keys from the most to the least utilized upstream.
func (m *Machine) balance(now time.Duration) {
	moving := 0
	for _, e := range m.entries {
		if e.moving || e.writing {
			moving++
		}
	}
	byID := m.upstreamLoads(now)
	targets := moveTargets(byID)
	resting := slices.ContainsFunc(slices.Collect(maps.Values(byID)), func(u *upstreamLoad) bool { return u.Resting })
	if len(targets) < 2 && !resting {
		return
	}
	total, capacity := 0.0, 0.0
	for _, u := range byID {
		if !u.alone {
			total += u.load
			capacity += u.Capacity
		}
	}
	mean := total / capacity
	maxMoves := max(minConcurrentMoves, int(m.cfg.MovesPerUpstream*float64(len(byID))))
	if resting {
		defer func() { m.relieve(byID, targets, maxMoves-moving) }()
	}
	exhausted := make(map[api.UpstreamID]bool)
	for moving < maxMoves {
		var from *upstreamLoad
		for _, u := range byID {
			if !u.alone && !exhausted[u.Upstream.UpstreamID] && (from == nil || u.utilization() > from.utilization() ||
				u.utilization() == from.utilization() && u.Upstream.UpstreamID < from.Upstream.UpstreamID) {
				from = u
			}
		}
		to := slices.MinFunc(targets, func(a, b *upstreamLoad) int { return cmp.Compare(a.utilization(), b.utilization()) })
		underloaded := to.load < mean*to.Capacity/2
		if from == nil || from == to || from.utilization() < mean*m.cfg.BalanceAbove && !(underloaded && from.utilization() > mean) {
			return
		}
		wanted := min(from.load-mean*from.Capacity, mean*to.Capacity-to.load)
		e := m.splitOff(from.Owner, wanted)
		if e == nil {
			exhausted[from.Upstream.UpstreamID] = true
			continue
		}
		load := m.loads.of(e.Span)
		e.moving, e.released, e.target, m.changed = true, false, to.Owner, true
		from.load -= load
		to.load += load
		moving++
	}
}

// minMoveShare is the smallest fraction of the wanted load that justifies a move.
const minMoveShare = 0.2

// splitOff splits the keys with the load nearest to wanted, but not above, off
// either end of one of the owner's spans.
func (m *Machine) splitOff(owner Owner, wanted float64) *entry {
	var best *entry
	var bestSpan Span
	bestLoad := math.Inf(-1)
	for _, e := range m.entries {
		if e.Owner != owner || e.moving || e.writing || e.inCall() {
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
	if best == nil || bestLoad < minMoveShare*wanted {
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
	return Span{s.First, m.prefixWithin(s, wanted)}
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

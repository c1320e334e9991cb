package placement

import "slices"

// minGainShare is the minimum gain, as a part of the tolerated excess, of a move
// that cannot bring both sides under the limit: how much it must lower the higher
// load. Smaller gains are within the noise of the measured load and would move
// ranges back and forth.
const minGainShare = 1.0 / 3

// meanRatios returns the means of the average and of the current loads, relative
// to capacity, of the upstreams that take part in balance moves. While the load of
// an upstream is far above its average, the average replaces it: a straggler
// measured ten times too high would prevent the moves of all others.
func (a *assignment) meanRatios() (average, measured float64) {
	capacity := 0.0
	for _, n := range a.nodes {
		if n.balanced() {
			average += n.load
			if n.jumping {
				measured += n.load
			} else {
				measured += n.measured
			}
			capacity += n.up.Capacity
		}
	}
	if capacity == 0 {
		return 0, 0
	}
	return average / capacity, measured / capacity
}

// relieve moves one range away from the donor, so that both sides are at or below
// aim if one move can do that. Otherwise it chooses the heaviest range that keeps the
// receiver at or below aim, or what lightestEnough finds for the limit if that is
// heavier: a heavy range, for example one with a hot key, fits nowhere once light ones
// have filled the receivers. If no range fits, it chooses the move that lowers the
// higher of the two loads most.
func (a *assignment) relieve(donor *node, aim, limit, tolerated float64) (Move, bool) {
	best, to, covers := a.lightestEnough(donor, aim)
	if !covers {
		if i, n, _ := a.lightestEnough(donor, limit); i >= 0 && (best < 0 || donor.ranges[i].load > donor.ranges[best].load) {
			best, to = i, n
		}
	}
	if best < 0 {
		best, to = a.minMaxMove(donor, minGainShare*tolerated)
	}
	if best < 0 {
		return Move{}, false
	}
	return a.move(donor, to, best), true
}

// lightestEnough returns the range to move so that few moves are needed, and its
// receiver. It is the lightest range that brings the donor under the limit, or else
// (covers is false) the heaviest one, among those that keep the receiver under the
// limit too.
func (a *assignment) lightestEnough(donor *node, limit float64) (best int, to *node, covers bool) {
	need := donor.load - limit*donor.up.Capacity
	best = -1
	for i, r := range donor.ranges {
		if r.load <= 0 || r.placed {
			continue
		}
		if best >= 0 {
			bestLoad := donor.ranges[best].load
			if covers && (r.load < need || r.load >= bestLoad) || !covers && r.load < need && r.load <= bestLoad {
				continue
			}
		}
		if n := a.receiver(donor, r, limit); n != nil {
			best, to, covers = i, n, r.load >= need
		}
	}
	return best, to, covers
}

// receiver returns the upstream with the lowest load relative to capacity that
// stays under the limit with the added range.
func (a *assignment) receiver(donor *node, r rangeLoad, limit float64) *node {
	var to *node
	for _, n := range a.nodes {
		if n == donor || !n.balanced() || !n.fits(r) || (n.load+r.load)/n.up.Capacity > limit {
			continue
		}
		if to == nil || n.ratio() < to.ratio() {
			to = n
		}
	}
	return to
}

// minMaxMove returns the range and receiver that minimise the higher of the two
// loads after the move, if that is lower than the donor's load by minGain.
func (a *assignment) minMaxMove(donor *node, minGain float64) (int, *node) {
	best, to, lowest := -1, (*node)(nil), donor.ratio()-minGain
	for i, r := range donor.ranges {
		if r.load <= 0 || r.placed {
			continue
		}
		after := (donor.load - r.load) / donor.up.Capacity
		for _, n := range a.nodes {
			if n == donor || !n.balanced() || !n.fits(r) {
				continue
			}
			if higher := max(after, (n.load+r.load)/n.up.Capacity); higher < lowest {
				best, to, lowest = i, n, higher
			}
		}
	}
	return best, to
}

// move applies the move of the donor's range at position i.
func (a *assignment) move(donor, to *node, i int) Move {
	r := donor.ranges[i]
	donor.load -= r.load
	donor.measured -= r.measured
	donor.ranges = slices.Delete(donor.ranges, i, i+1)
	r.placed = true
	to.add(r)
	return Move{Range: r.id, From: donor.up.ID, To: to.up.ID}
}

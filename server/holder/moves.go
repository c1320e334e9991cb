package holder

import (
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/dedup"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/straggler"
)

// planEvery is the interval of plans that serve balance only. A plan goes
// through all ranges: planning at each tick took a quarter of the CPU time of an
// idle holder, including garbage collection. Balance is decided over
// placement.Policy.RebalanceAfter, which is seconds.
const planEvery = 200 * time.Millisecond

// plan starts the moves that the planner returns.
func (s *Shard) plan(now time.Duration) {
	s.decayLoad(now)
	s.updateHot(now)
	if !s.service.Keyed || s.frozen || !s.allContacted(now) {
		return
	}
	if now < s.nextPlan && !s.hasMisplacedRange(now) {
		s.finishMoves(now)
		return
	}
	s.nextPlan = now + planEvery
	for _, m := range s.planner.Plan(now, s.placementInput(now), s.policy()) {
		s.startMove(now, m)
	}
	s.finishMoves(now)
}

// hasMisplacedRange reports whether a range has an owner, or a target of its
// move, that may not own it.
func (s *Shard) hasMisplacedRange(now time.Duration) bool {
	for _, up := range s.upstreams {
		switch s.placementState(now, up) {
		case placement.Active, placement.Cold:
			up.keepsRanges = true
		case placement.Lost:
			up.keepsRanges = !s.releasable(now, up)
		default:
			up.keepsRanges = false
		}
	}
	for _, r := range s.ranges.all() {
		owner := r.owner
		if r.to != "" {
			owner = r.to
		}
		if up := s.upstreams[owner]; up == nil || !up.keepsRanges {
			return true
		}
	}
	return false
}

// allContacted reports whether each upstream has responded or had time to. Ranges
// placed earlier would all go to the first upstreams that respond.
func (s *Shard) allContacted(now time.Duration) bool {
	for _, up := range s.upstreams {
		if !up.responded && now-up.addedAt <= reachTimeout {
			return false
		}
	}
	return true
}

func (s *Shard) policy() placement.Policy {
	return placement.Policy{
		RebalanceAbove: s.preset.RebalanceAbove,
		RebalanceAfter: time.Duration(s.preset.RebalanceAfter),
		MovesPerSecond: s.preset.MovesPerSecond,
	}
}

func (s *Shard) placementInput(now time.Duration) placement.Input {
	in := placement.Input{
		Owners: make(map[int]api.UpstreamID, len(s.ranges.ranges)),
		Load:   make(map[int]float64, len(s.ranges.ranges)),
		Pinned: map[api.UpstreamID]bool{},
	}
	total := 0.0
	for number, r := range s.ranges.all() {
		if r.hot != nil && r.hot.phase != hotActive {
			continue
		}
		in.Owners[number] = r.owner
		if r.to != "" {
			in.Owners[number] = r.to
		}
		// A range without requests still has some weight, so that the ranges of an
		// idle service are spread evenly.
		load := r.load + 0.01
		in.Load[number] = load
		total += load
	}
	for id, up := range s.upstreams {
		state := s.placementState(now, up)
		in.Upstreams = append(in.Upstreams, placement.Upstream{
			ID: id, Domain: up.domain, Capacity: s.capacity(now, up, total), State: state,
		})
		if state == placement.Lost && !s.releasable(now, up) {
			in.Pinned[id] = true
		}
	}
	return in
}

// capacity returns an upstream's share of twice the shard's load. A cold upstream
// gets ranges in proportion to its slow-start limit. A lasting straggler keeps
// few ranges, because their keys wait for it as long as it is slow.
func (s *Shard) capacity(now time.Duration, up *upstream, total float64) float64 {
	warmShare := 2 * max(total, 1) / float64(max(1, len(s.upstreams)))
	if s.monitor.Lasting(now, up.id) {
		return warmShare * straggler.LastingCapacityShare
	}
	if !up.ramp.Cold() {
		return warmShare
	}
	full := max(1, s.service.Slots)
	return warmShare * float64(up.ramp.Limit(now, full)) / float64(full)
}

func (s *Shard) placementState(now time.Duration, up *upstream) placement.UpstreamState {
	switch {
	case s.isLost(now, up):
		return placement.Lost
	case up.state.removed, up.state.drained, up.state.draining:
		return placement.Draining
	case up.state.domainOut:
		return placement.Out
	case up.ramp.Cold():
		return placement.Cold
	default:
		return placement.Active
	}
}

// releasable reports whether nothing that was sent to an unreachable upstream
// can still run on it.
func (s *Shard) releasable(now time.Duration, up *upstream) bool {
	if up.state.confirmedLost {
		return true
	}
	if s.service.UpstreamChecks == config.ChecksNone && up.responded {
		// It may run buffered requests long after the lease: its ranges are freed only
		// by its restart, which ends the leases, or by an operator.
		return false
	}
	return s.leases.Expired(now, up.id)
}

// startMove begins to move a range.
func (s *Shard) startMove(now time.Duration, m placement.Move) {
	r := s.ranges.at(m.Range)
	if r == nil || r.to == m.To || r.owner == m.To && r.to == "" {
		return
	}
	cause := "balance"
	if m.Forced {
		cause = "forced"
	}
	s.cfg.Metrics.OwnershipChanges.WithLabelValues(string(s.cfg.ID.Service), cause).Inc()
	r.to = m.To
	r.held = true
	s.queue.HoldRange(m.Range)
}

// finishMoves completes the moves that can be completed, reports the assignment
// if it changed, and releases the requests that waited for a move.
func (s *Shard) finishMoves(now time.Duration) {
	changed := false
	touched := map[*upstream]bool{}
	for number, r := range s.ranges.all() {
		if r.to != "" && s.vacated(now, number, touched) {
			s.ranges.lastAssignment++
			*r = rangeState{owner: r.to, assignment: s.ranges.lastAssignment, load: r.load, held: r.held, hot: r.hot}
			changed = true
		}
	}
	changed = s.finishHot(now) || changed
	for up := range touched {
		up.renewNow()
	}
	if changed {
		s.cfg.ReportAssignment(s.assignment())
	}
	s.updateHolds()
}

// updateHolds starts the requests of ranges that their owners have acknowledged,
// and holds those of the other ranges.
func (s *Shard) updateHolds() {
	for number, r := range s.ranges.all() {
		if r.held == s.ready(r) {
			if r.held = !r.held; r.held {
				s.queue.HoldRange(number)
			} else {
				s.queue.ReleaseRange(number, r.owner)
			}
		}
	}
}

// vacated reports whether the owner of a moving range has given it up. The range
// is revoked from the owner once no request for it is running.
func (s *Shard) vacated(now time.Duration, number int, touched map[*upstream]bool) bool {
	r := s.ranges.at(number)
	owner := s.upstreams[r.owner]
	if r.owner == "" {
		return true
	}
	if owner == nil { // removed from the configuration under a former holder
		return s.leases.Expired(now, r.owner)
	}
	if s.isLost(now, owner) {
		return s.releasable(now, owner)
	}
	if s.queue.RangeInFlight(number) > 0 || s.runsUnderOrdinary(r) || now < r.busyUntil {
		return false
	}
	if !r.revoked {
		if !touched[owner] {
			owner.rangesSeq++
			touched[owner] = true
		}
		r.revoked, r.revokeSeq = true, owner.rangesSeq
		return false
	}
	return owner.ackedSeq >= r.revokeSeq && !s.leases.Inherited(now, r.owner)
}

// assignment returns the current owners in the form that witnesses store.
func (s *Shard) assignment() wire.Assign {
	a := wire.Assign{
		Shard: s.cfg.ID, Fence: s.cfg.Fence, Seq: s.ranges.lastAssignment, First: s.ranges.first,
		Owners: make([]int16, len(s.ranges.ranges)),
	}
	index := map[api.UpstreamID]int16{"": -1}
	for number, r := range s.ranges.all() {
		owner := r.owner
		n, ok := index[owner]
		if !ok {
			n = int16(len(a.Upstreams))
			index[owner] = n
			a.Upstreams = append(a.Upstreams, owner)
		}
		if r.hot != nil {
			a.Hot = append(a.Hot, wire.HotRange{Key: r.hot.key, Range: number, Owner: n})
			continue
		}
		a.Owners[number-s.ranges.first] = n
	}
	return a
}

// AckAssignment records that a witness has stored the assignments up to number.
// They survive the loss of this VM, so their owners may be granted the ranges.
func (s *Shard) AckAssignment(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || number <= s.ranges.replicatedAssignment {
		return
	}
	s.ranges.replicatedAssignment = number
	touched := map[*upstream]bool{}
	for _, r := range s.ranges.all() {
		up := s.upstreams[r.owner]
		if up == nil || r.grantSeq > 0 || r.assignment > number {
			continue
		}
		if !touched[up] {
			up.rangesSeq++
			touched[up] = true
		}
		r.grantSeq = up.rangesSeq
	}
	for up := range touched {
		up.renewNow()
	}
}

// Assignment returns the current assignment, and whether a witness has yet to store it.
func (s *Shard) Assignment() (wire.Assign, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment(), s.ranges.lastAssignment > s.ranges.replicatedAssignment
}

// ready reports whether requests for a range may start.
func (s *Shard) ready(r *rangeState) bool {
	return s.acknowledged(r) && !s.runsUnderOrdinary(r) && (r.hot == nil || r.hot.phase != hotMerging)
}

// acknowledged reports whether the owner of a range has acknowledged it.
func (s *Shard) acknowledged(r *rangeState) bool {
	up := s.upstreams[r.owner]
	return up != nil && r.to == "" && !r.revoked && r.grantSeq > 0 && up.ackedSeq >= r.grantSeq
}

// restorePrior restores the state from before this holder.
func (s *Shard) restorePrior(in PriorState) {
	now := s.cfg.Clock()
	if h := in.Handover; h != nil {
		s.restoreHandover(now, h)
	} else if in.Dedup != nil {
		s.dedup = dedup.Restore(dedup.DefaultConfig(), *in.Dedup)
	}
	a := in.Assignment
	if a == nil || a.First != s.ranges.first || len(a.Owners) != len(s.ranges.ranges) {
		return
	}
	for i, owner := range a.Owners {
		if owner >= 0 && int(owner) < len(a.Upstreams) {
			s.ranges.ranges[i] = rangeState{owner: a.Upstreams[owner], assignment: 1}
		}
	}
	s.ranges.lastAssignment = 1
	s.restoreHot(now, a)
}

// loadHalfLife is the half-life of the load of a range. It is long compared with
// the intervals between requests for one range.
const loadHalfLife = 10 * time.Second

// decayLoad decays the load of the ranges.
func (s *Shard) decayLoad(now time.Duration) {
	if now-s.loadDecayedAt < loadHalfLife/10 {
		return
	}
	s.loadDecayedAt = now
	const decayPerStep = 0.933 // 0.5^(1/10)
	for _, r := range s.ranges.all() {
		r.load *= decayPerStep
	}
}

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
// through all ranges; one each tick took a quarter of the processor time of a
// holder at rest, with the garbage that it leaves. Balance is decided over
// placement.Policy.RebalanceAfter, which is seconds.
const planEvery = 200 * time.Millisecond

// plan asks for moves and starts them.
func (s *Shard) plan(now time.Duration) {
	s.decayLoad(now)
	s.observeHot(now)
	if !s.service.Keyed || s.frozen || !s.allTried(now) {
		return
	}
	if now < s.nextPlan && !s.homeless(now) {
		s.settle(now)
		return
	}
	s.nextPlan = now + planEvery
	for _, m := range s.planner.Plan(now, s.placementInput(now), s.policy()) {
		s.startMove(now, m)
	}
	s.settle(now)
}

// homeless reports whether a plan would find a range whose owner, or the one it
// moves to, may not own it.
func (s *Shard) homeless(now time.Duration) bool {
	for _, up := range s.ups {
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
		if up := s.ups[owner]; up == nil || !up.keepsRanges {
			return true
		}
	}
	return false
}

// allTried reports whether each upstream has answered or had time to. Ranges
// placed before would crowd onto the first upstreams that answer.
func (s *Shard) allTried(now time.Duration) bool {
	for _, up := range s.ups {
		if !up.answered && now-up.since <= reachTimeout {
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
		// A range without requests still has some weight, so that an idle
		// service is spread evenly.
		load := r.work + 0.01
		in.Load[number] = load
		total += load
	}
	for id, up := range s.ups {
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

// capacity returns an upstream's share of twice the shard's load: a cold one
// takes ranges up to what its ramp bears, relative to the others, and a lasting
// straggler keeps few, because the keys of the others would wait for as long as
// it is slow.
func (s *Shard) capacity(now time.Duration, up *upstream, total float64) float64 {
	whole := 2 * max(total, 1) / float64(max(1, len(s.ups)))
	if s.monitor.Lasting(now, up.id) {
		return whole * straggler.LastingCapacityShare
	}
	if !up.ramp.Cold() {
		return whole
	}
	full := max(1, s.service.Slots)
	return whole * float64(up.ramp.Limit(now, full)) / float64(full)
}

func (s *Shard) placementState(now time.Duration, up *upstream) placement.UpstreamState {
	switch {
	case s.lost(now, up):
		return placement.Lost
	case up.state.removed, up.state.drained, up.state.draining:
		return placement.Draining
	case up.state.out:
		return placement.Out
	case up.ramp.Cold():
		return placement.Cold
	default:
		return placement.Active
	}
}

// releasable reports whether nothing that was sent to an upstream which does
// not answer can still run on it.
func (s *Shard) releasable(now time.Duration, up *upstream) bool {
	if up.state.confirmedLost {
		return true
	}
	if s.service.UpstreamChecks == config.ChecksNone && up.answered {
		// It may run what its buffers hold long after the lease: only its
		// restart, which ends the leases, or an operator frees its ranges.
		return false
	}
	return s.leases.Expired(now, up.id)
}

// startMove begins a move, or makes it at once if the owner is gone.
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

// settle finishes the moves that can be finished, reports the assignment if it
// changed, and releases the requests that waited for a move.
func (s *Shard) settle(now time.Duration) {
	changed := false
	touched := map[*upstream]bool{}
	for number, r := range s.ranges.all() {
		if r.to != "" && s.free(now, number, touched) {
			s.ranges.number++
			*r = rangeState{owner: r.to, assignment: s.ranges.number, work: r.work, held: r.held, hot: r.hot}
			changed = true
		}
	}
	changed = s.settleHot(now) || changed
	for up := range touched {
		up.poke()
	}
	if changed {
		s.cfg.ReportAssignment(s.assignment())
	}
	s.release()
}

// release lets the requests of ranges start whose owners have acknowledged them.
func (s *Shard) release() {
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

// free reports whether a range that moves has left its owner. It asks the
// owner to give it up when no request for it runs any longer.
func (s *Shard) free(now time.Duration, number int, touched map[*upstream]bool) bool {
	r := s.ranges.at(number)
	owner := s.ups[r.owner]
	if r.owner == "" {
		return true
	}
	if owner == nil { // it left the configuration under a former holder
		return s.leases.Expired(now, r.owner)
	}
	if s.lost(now, owner) {
		return s.releasable(now, owner)
	}
	if s.queue.RangeInFlight(number) > 0 || s.runsElsewhere(r) || now < r.busyUntil {
		return false
	}
	if !r.revoked {
		if !touched[owner] {
			owner.wanted++
			touched[owner] = true
		}
		r.revoked, r.revoke = true, owner.wanted
		return false
	}
	return owner.granted >= r.revoke && !s.leases.Inherited(now, r.owner)
}

// assignment returns the present owners in the form that witnesses keep.
func (s *Shard) assignment() wire.Assign {
	a := wire.Assign{
		Shard: s.cfg.ID, Fence: s.cfg.Fence, Seq: s.ranges.number, First: s.ranges.first,
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

// AckAssignment notes that assignments up to number survive the loss of this VM, so
// that the owners they name may be granted their ranges.
func (s *Shard) AckAssignment(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || number <= s.ranges.safe {
		return
	}
	s.ranges.safe = number
	touched := map[*upstream]bool{}
	for _, r := range s.ranges.all() {
		up := s.ups[r.owner]
		if up == nil || r.change > 0 || r.assignment > number {
			continue
		}
		if !touched[up] {
			up.wanted++
			touched[up] = true
		}
		r.change = up.wanted
	}
	for up := range touched {
		up.poke()
	}
}

// Assignment returns the present assignment, for witnesses that lack it.
func (s *Shard) Assignment() (wire.Assign, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment(), s.ranges.number > s.ranges.safe
}

// ready reports whether requests of a range may start.
func (s *Shard) ready(r *rangeState) bool {
	return s.acknowledged(r) && !s.runsElsewhere(r) && (r.hot == nil || r.hot.phase != hotMerging)
}

// acknowledged reports whether the owner of a range has acknowledged it.
func (s *Shard) acknowledged(r *rangeState) bool {
	up := s.ups[r.owner]
	return up != nil && r.to == "" && !r.revoked && r.change > 0 && up.granted >= r.change
}

// inherit takes over what is known of the time before this holder.
func (s *Shard) inherit(in PriorState) {
	now := s.cfg.Clock()
	if h := in.Handover; h != nil {
		s.restore(now, h)
	} else if in.Dedup != nil {
		s.memory = dedup.Restore(dedup.DefaultConfig(), *in.Dedup)
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
	s.ranges.number = 1
	s.inheritHot(now, a)
}

// loadHalfLife is the time in which an earlier request counts half in the load
// of its range. It is long against the intervals between requests for one range.
const loadHalfLife = 10 * time.Second

// decayLoad ages the load of the ranges.
func (s *Shard) decayLoad(now time.Duration) {
	if now-s.decayed < loadHalfLife/10 {
		return
	}
	s.decayed = now
	const tenth = 0.933 // 0.5^(1/10)
	for _, r := range s.ranges.all() {
		r.work *= tenth
	}
}

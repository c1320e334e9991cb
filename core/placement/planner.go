package placement

import (
	"time"

	"dandelionhill.dev/api"
)

// stopShare is the part of the tolerated excess below which no further ranges move
// away from an upstream. It is slightly below 1 so that noise in the measured load
// does not start the next round at once, and no lower because every further
// range moved is churn.
const stopShare = 0.9

// aimShare is the part of the tolerated excess that a balance move aims to leave
// on both sides, if one move can. A heavier range costs no more churn than a
// lighter one, and the margin below the stop threshold keeps noise from moving a
// further range. With a quarter or less, imbalance with hot keys rises above 1.15.
const aimShare = 0.5

// Planner plans the moves of one shard. The zero value is ready to use. It keeps
// the average load of each range, the time for which each upstream has been
// overloaded, and a token bucket for balance moves.
type Planner struct {
	averages averages
	excess   map[api.UpstreamID]excess
	tokens   float64
	refilled time.Duration
	started  bool
}

// excess is the state of an upstream whose load is above the threshold.
type excess struct {
	since       time.Duration
	rebalancing bool // lasted long enough; ranges move until the load is below the stop threshold
}

// Plan returns the moves to start now, the most urgent first. Forced moves come
// first, without delay or limit. Balance moves follow within the budget of the
// policy.
func (p *Planner) Plan(now time.Duration, in Input, policy Policy) []Move {
	p.averages.advance(now, policy.RebalanceAfter)
	above := policy.RebalanceAbove
	if above <= 1 {
		above = DefaultPolicy().RebalanceAbove
	}
	a := newAssignment(in, &p.averages, above)
	moves := a.placeForced()
	p.refill(now, policy.MovesPerSecond)
	return append(moves, p.balance(now, a, above, policy)...)
}

// refill adds the tokens for the time since the last plan. The bucket holds at most
// one second's worth (and at least one move), so that idle time does not allow a burst.
func (p *Planner) refill(now time.Duration, perSecond float64) {
	limit := max(perSecond, 1)
	if !p.started {
		p.started, p.tokens = true, limit
	} else if now > p.refilled {
		p.tokens += perSecond * (now - p.refilled).Seconds()
	}
	p.tokens = min(p.tokens, limit)
	p.refilled = max(p.refilled, now)
}

// balance plans moves away from upstreams whose load has been above the
// threshold for long enough. Average loads determine how much to move.
func (p *Planner) balance(now time.Duration, a *assignment, above float64, policy Policy) []Move {
	stop, aim := 1+(above-1)*stopShare, 1+(above-1)*aimShare
	mean, measured := a.meanRatios()
	p.observe(now, a, mean, measured, above, stop, policy.RebalanceAfter)
	if mean <= 0 || policy.MovesPerSecond <= 0 {
		return nil
	}
	var moves []Move
	stuck := map[api.UpstreamID]bool{}
	for p.tokens >= 1 {
		donor := p.nextDonor(a, stop*mean, stop*measured, stuck)
		if donor == nil {
			break
		}
		move, ok := a.relieve(donor, aim*mean, stop*mean, (above-1)*mean)
		if !ok {
			stuck[donor.up.ID] = true
			continue
		}
		p.tokens--
		moves = append(moves, move)
	}
	return moves
}

// observe updates how long each upstream has been overloaded, by its current or
// its average load. Ranges move only if the average is above the threshold at the
// end of that time: the current load alone would react to noise right after a
// straggler, and noise takes it below the threshold too often to measure a time.
// Every upstream has its own timer, so that a short straggler loses no ranges
// while others are being balanced.
func (p *Planner) observe(now time.Duration, a *assignment, mean, measured, above, stop float64, after time.Duration) {
	next := make(map[api.UpstreamID]excess)
	for _, n := range a.nodes {
		if !n.balanced() || mean <= 0 {
			continue
		}
		e, known := p.excess[n.up.ID]
		known = known && !n.jumpEnded // the time as a straggler does not count
		average := n.ratio()
		switch {
		case known && e.rebalancing && average > stop*mean:
		case average > above*mean || n.measuredRatio() > above*measured:
			if !known || e.rebalancing {
				e = excess{since: now}
			}
			e.rebalancing = now-e.since >= after && average > above*mean
		default:
			continue
		}
		next[n.up.ID] = e
	}
	p.excess = next
}

// nextDonor returns the most loaded upstream that is being rebalanced and whose
// average and current loads are both above their limits. Upstreams whose current
// load is far above average are skipped: they may be stragglers.
func (p *Planner) nextDonor(a *assignment, limit, measuredLimit float64, stuck map[api.UpstreamID]bool) *node {
	var donor *node
	for _, n := range a.nodes {
		if !p.excess[n.up.ID].rebalancing || n.jumping || stuck[n.up.ID] || n.ratio() <= limit || n.measuredRatio() <= measuredLimit {
			continue
		}
		if donor == nil || n.ratio() > donor.ratio() {
			donor = n
		}
	}
	return donor
}

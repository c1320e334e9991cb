package tail

import "dandelionhill.dev/core/straggler"

// pick chooses an upstream with a free slot for r from the shared queue: the one
// with the fewest calls in flight, weighted with the penalty, and at random among
// equals. It returns -1 if r should wait.
func (s *simulation) pick(r *request, queued int) int {
	best, ties := -1, 0
	bestScore, bestPenalty := 0.0, 1.0
	healthy := 0
	for up := range s.inFlight {
		penalty := s.penalty(up)
		if penalty == 1 {
			healthy += s.sc.Slots
		}
		if s.inFlight[up] >= s.sc.Slots || r.hedgeQueued && (up == r.avoidUpstream || penalty > 1) {
			continue
		}
		score := float64(s.inFlight[up]+1) * penalty
		switch {
		case best < 0 || score < bestScore:
			best, bestScore, bestPenalty, ties = up, score, penalty, 1
		case score == bestScore:
			ties++
			if s.choiceRand.IntN(ties) == 0 {
				best, bestPenalty = up, penalty
			}
		}
	}
	if !s.policy.WorkConserving && !straggler.ShouldUseStraggler(bestPenalty, queued, healthy) {
		return -1
	}
	return best
}

func (s *simulation) penalty(up int) float64 {
	if s.monitor == nil {
		return 1
	}
	return s.monitor.Penalty(s.ids[up])
}

package reachability

import "time"

// Resignation decides whether a granter that reaches no upstream gives up its term to a VM that
// reaches some. When a cut of all VMs ends, one of them regains contact first: the granter resigns
// only after a round of its own has failed since.
type Resignation struct {
	reaching bool
	// since is when the granter learned that another VM reaches upstreams.
	since time.Duration
}

// ResignDecision is what a granter does about not reaching any upstream.
type ResignDecision int

// The decisions.
const (
	// Stay means that no other VM is known to reach an upstream.
	Stay ResignDecision = iota
	// TryAgain means that the granter starts a round now, WaitForRound that it has begun to.
	TryAgain
	WaitForRound
	// Resign means that another VM reaches upstreams and the granter does not.
	Resign
)

// Decide returns the decision of a granter that reaches no upstream. failedFrom is when its last
// failed round began, see Detector.FailedFrom.
func (r *Resignation) Decide(now time.Duration, otherReaches bool, failedFrom time.Duration) ResignDecision {
	switch {
	case !otherReaches:
		r.reaching = false
		return Stay
	case !r.reaching:
		r.reaching, r.since = true, now
		return TryAgain
	case failedFrom < r.since:
		return WaitForRound
	}
	return Resign
}

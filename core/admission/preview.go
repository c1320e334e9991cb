package admission

import (
	"slices"
	"time"
)

// Preview returns what Offer would decide on a request, and whether it would refuse it as late.
// Nothing changes: a copy of the queue decides, to which adjust is applied first.
func (q *Queue) Preview(now time.Duration, r Request, adjust func(*Queue)) (d Decision, wait time.Duration, late bool) {
	preview := *q
	preview.waiting, preview.permits.expiries = slices.Clone(q.waiting), slices.Clone(q.permits.expiries)
	adjust(&preview)
	if preview.shares != nil {
		preview.shares = unchangedShares{preview.shares}
	}
	d, wait = preview.Offer(now, &r)
	return d, wait, r.Late
}

// unchangedShares ranks flows and records nothing.
type unchangedShares struct{ Sharer }

// Arrive implements Sharer.
func (unchangedShares) Arrive(time.Duration, Flow) {}

// Start implements Sharer.
func (unchangedShares) Start(Flow, time.Duration) {}

package gateway

import (
	"context"
	"time"

	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/reachability"
)

// isolationDecision is how long a granter that reaches no upstream waits for the other VMs to
// say whether they do. Until then it moves no keys: the upstreams may be well.
const isolationDecision = time.Second

// isolation is what a granter does about not reaching any upstream.
type isolation struct {
	// active means that the granter reaches no upstream, since a time on bootTime.
	active bool
	since  time.Duration
	// resignation decides whether the term ends.
	resignation reachability.Resignation
}

// undecided reports whether the upstreams may be well although the granter reaches none.
func (i isolation) undecided(now time.Duration) bool {
	return i.active && now-i.since < isolationDecision
}

// resignIfIsolated ends the term if no upstream can be reached from this VM while another VM
// reaches some, and names that VM as the successor. It reports whether the term is over. This VM
// tries once more before, see reachability.Resignation. If no VM reaches any upstream, the upstreams
// are lost and the granter stays.
func (g *granter) resignIfIsolated(ctx context.Context, now time.Duration) bool {
	isolated, since := g.control.reach.isolated()
	if isolated != g.isolation.active || isolated && since != g.isolation.since {
		g.isolation = isolation{active: isolated, since: since}
		g.sendUpdates(now)
	}
	silent := g.authority.StoreUnreachable(now)
	if !isolated || g.caretaker || g.writing && !silent {
		return false
	}
	successor := g.lowestRank(func(m *member) bool { return !m.leaving && !m.isolated && m.contactAt > since })
	switch g.isolation.resignation.Decide(now, successor != nil, g.control.reach.failedFrom()) {
	case reachability.TryAgain:
		go g.control.reach.tryAgain(ctx)
		return false
	case reachability.Resign:
	default:
		return false
	}
	g.log.Warn().Str("event", "granter_isolated").Int64("term", g.term).Str("successor", string(successor.vm)).
		Dur("isolated_ms", now-since).Dur("contact_ms", now-successor.contactAt).Msg("another VM reaches upstreams: it takes over")
	switch {
	case !silent:
		g.releaseLease(ctx, successor.vm)
	case g.handOver(successor):
		withVoter(g.elector, func(v *election.Voter, now time.Duration) struct{} { v.HandedOver(now); return struct{}{} })
	default:
		return false
	}
	g.termOver = true
	return true
}

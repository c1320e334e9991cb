package gateway

import (
	"context"
	"time"

	"dandelionhill.dev/core/election"
)

// isolationDecision is how long a granter that reaches no upstream waits for the other VMs to
// say whether they do. Until then it moves no keys: the upstreams may be well.
const isolationDecision = time.Second

// isolation is what a granter does about not reaching any upstream.
type isolation struct {
	// active means that the granter reaches no upstream, since a time on bootTime.
	active bool
	since  time.Duration
}

// undecided reports whether the upstreams may be well although the granter reaches none.
func (i isolation) undecided(now time.Duration) bool {
	return i.active && now-i.since < isolationDecision
}

// resignIfIsolated ends the term if no upstream can be reached from this VM while another VM
// reaches some, and names that VM as the successor. It reports whether the term is over. If no
// VM reaches any, the upstreams are lost and the granter stays.
func (g *granter) resignIfIsolated(ctx context.Context, now time.Duration) bool {
	isolated, since := g.control.reach.isolated()
	if isolated != g.isolation.active {
		g.isolation = isolation{active: isolated, since: since}
		g.sendUpdates(now)
	}
	silent := g.authority.StoreUnreachable(now)
	if !isolated || g.caretaker || g.writing && !silent {
		return false
	}
	successor := g.lowestRank(func(m *member) bool { return !m.leaving && !m.isolated && m.contactAt > since })
	if successor == nil {
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

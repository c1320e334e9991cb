package gateway

import (
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/quota"
)

// quotaNewsAge is how old the other content of an update may be that is sent at once because of
// tokens.
const quotaNewsAge = 50 * time.Millisecond

// quotaIssuer issues the tokens of all workspaces on the granter.
type quotaIssuer struct {
	issuer *quota.Issuer
	own    *quota.Member // this VM
	// issuing means that the last determination allowed it, as last logged.
	issuing bool
	// settled is Issuer.Settled, as last logged.
	settled bool
	news    news
	newsAt  time.Duration
}

func newQuotaIssuer(rule quota.Rule, now, predecessorsUntil time.Duration, earlierVMs int, self api.VMID, term int64) *quotaIssuer {
	i := &quotaIssuer{issuer: quota.NewIssuer(rule, now, predecessorsUntil, earlierVMs)}
	i.own = i.issuer.Join(now, self)
	i.issuer.SetOwn(self, term)
	return i
}

// inheritQuotas takes over the roster of the previous granter, as the lease states it. The lease of
// this one states the same VMs until it is written again.
func (g *granter) inheritQuotas(previous *quota.Roster) {
	if previous == nil {
		return
	}
	g.quotas.issuer.Inherit(previous)
	g.quotas.issuer.Stating(bootTime(), g.lease.Quotas)
}

// quotaRoster returns the roster for the lease, nil without quotas.
func (g *granter) quotaRoster(now time.Duration) *quota.Roster {
	if !g.control.quotas.limited() {
		return nil
	}
	return g.quotas.issuer.Roster(now)
}

// nameMember has the lease written if it does not name a VM that has connected: until then the VM
// gets no tokens.
func (g *granter) nameMember(m *quota.Member) {
	if !g.quotas.issuer.Serves(m) {
		g.rewrite = true
	}
}

// quotaLimit returns the quota of a workspace in the configuration of this VM.
func (g *granter) quotaLimit(name api.WorkspaceName) (quota.Limit, bool) {
	w := g.control.view().config.Workspaces[name]
	return limitOf(w), w != nil
}

// issueQuotas issues tokens to the VMs that have demand, and sends them.
func (g *granter) issueQuotas(now time.Duration) {
	q := g.quotas
	g.exchangeOwnQuota(now)
	q.issuer.SetIssuing(now, g.mayRenew())
	if issuing, settled := q.issuer.Issuing(), q.issuer.Settled(); issuing != q.issuing || settled != q.settled {
		q.issuing, q.settled = issuing, settled
		g.log.Info().Str("event", "quota_issuing").Bool("issuing", issuing).Bool("settled", settled).Float64("share", q.issuer.Active()).Int64("term", g.term).Msg("")
	}
	q.issuer.Issue(now, g.quotaLimit)
	g.updateOwnQuota(now)
	for m := range g.members {
		if m.quota.HasGrants() || q.issuer.AwaitsUpdate(m.quota) {
			g.sendQuota(now, m)
		}
	}
}

// exchangeOwnQuota passes the report of this VM to its issuer.
func (g *granter) exchangeOwnQuota(now time.Duration) []api.WorkspaceName {
	// This VM has received the last update when it was computed.
	return g.quotas.issuer.Report(now, g.quotas.own, now.Milliseconds(), now, *g.control.quotas.report())
}

// updateOwnQuota applies the tokens of this VM.
func (g *granter) updateOwnQuota(now time.Duration) {
	u := g.quotas.issuer.Update(now, g.quotas.own, g.rankOf(g.self), len(g.ranks))
	u.Term = g.term
	g.control.quotas.update(&u)
}

// askOwnQuota issues tokens to this VM without delay.
func (g *granter) askOwnQuota() {
	select {
	case g.tasks <- func() {
		if g.control.view().config == nil {
			return
		}
		now := bootTime()
		g.quotas.issuer.IssueTo(now, g.quotas.own, g.exchangeOwnQuota(now), g.quotaLimit)
		if g.quotas.own.HasGrants() {
			g.updateOwnQuota(now)
		}
	}:
	default: // the next tick issues them
	}
}

// handleQuotaReport applies the report of a VM, and issues tokens that it lacks at once.
func (g *granter) handleQuotaReport(received time.Duration, m *member, r report) {
	if r.Quota == nil || g.control.view().config == nil {
		return
	}
	answered := time.Duration(r.AnswersMs) * time.Millisecond
	lacking := g.quotas.issuer.Report(received, m.quota, r.SentAtMs, answered, *r.Quota)
	g.quotas.issuer.IssueTo(received, m.quota, lacking, g.quotaLimit)
	if m.quota.HasGrants() || g.quotas.issuer.AwaitsUpdate(m.quota) {
		g.sendQuota(received, m)
	}
}

// sendQuota sends a VM an update because of its tokens.
func (g *granter) sendQuota(now time.Duration, m *member) {
	if now-g.quotas.newsAt >= quotaNewsAge {
		g.quotas.news, g.quotas.newsAt = g.news(g.peers(now)), now
	}
	g.sendUpdate(now, m, g.quotas.news)
}

// quotaUpdate returns the tokens and the share for an update to a VM, with the tokens of an update
// that it replaces.
func (g *granter) quotaUpdate(u update, m *member, replaced *quota.Update) *quota.Update {
	if replaced != nil {
		g.quotas.issuer.TakeBack(time.Duration(u.SentAtMs)*time.Millisecond, m.quota, *replaced)
	}
	// The VM acknowledges the time that the update states.
	out := g.quotas.issuer.Update(time.Duration(u.SentAtMs)*time.Millisecond, m.quota, u.Rank, u.VMs)
	out.Term = g.term
	return &out
}

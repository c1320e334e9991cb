package quota

import (
	"slices"
	"time"
)

// While tokens of an earlier granter may be in use, a new one issues for the shares of the VMs that
// follow it, from the time at which they are no longer lent to another granter. Each share comes at
// its part of the rate, and at any time the tokens that VMs hold of this granter, with those that it
// may issue at once, are at most Issuer.extra times the shares that are lent to it. VMs without a
// granter are allowed no more, so whoever has a share, the sum is bounded.
//
// Tokens are short-lived meanwhile: a share may leave this granter soloAfter after the VM's last
// acknowledgement, and the tokens that were issued for it must have ended by then.

// credit is a share that a VM has lent to a granter that is not settled. Before it was lent, the VM
// used its share for some time of the window: what it may have accumulated then is not issued again.
type credit struct {
	share float64
	used  time.Duration
}

// SetIssuing says whether this VM may issue tokens now.
func (i *Issuer) SetIssuing(now time.Duration, allowed bool) {
	i.recompute(now)
	i.issuing = allowed
	i.settle(now)
	i.recompute(now)
}

// settle determines whether tokens of earlier granters have ended: they can no longer act and their
// tokens have lapsed, or the VMs that may hold them, with those on which these granters ran, follow
// this one.
func (i *Issuer) settle(now time.Duration) {
	switch {
	case i.settled:
	case now >= i.predecessorsUntil+tokenTTL:
		i.settled, i.settledAt = true, now
	case i.allConnected(now):
		i.settled, i.settledAt, i.complete = true, now, true
		i.creditIdle(now)
	case i.inherited == nil && now >= i.predecessorsUntil && i.unknown(now, 0) <= minUnknown:
		i.settled, i.settledAt = true, now
	}
}

// creditIdle counts the time in which no granter issued tokens: after the last update that any VM
// had received, until this one issued, or a VM used its share.
func (i *Issuer) creditIdle(now time.Duration) {
	until := now
	if i.wasActive {
		until = i.firstActive
	}
	var since time.Duration
	for _, m := range i.members {
		updatedAt := m.loanUntil - soloAfter
		since = max(since, updatedAt)
		if !m.speaks {
			return
		}
		if !m.started {
			until = min(until, m.loanUntil)
		}
	}
	i.issuable += max(until-since, 0).Seconds()
}

// Settled reports whether no tokens of earlier granters are in use any more.
func (i *Issuer) Settled() bool { return i.settled }

// Active returns the part of the rates for which tokens are issued.
func (i *Issuer) Active() float64 { return i.active }

// observeLoan records what a report says of the VM's share.
func (i *Issuer) observeLoan(now time.Duration, m *Member, r Report) {
	m.stated = r.Share
	m.used = time.Duration(r.UsedMs) * time.Millisecond
	if r.LoanMs > 0 {
		until := now + time.Duration(r.LoanMs-1)*time.Millisecond
		if !m.speaks || until < m.loanUntil {
			m.loanUntil = until
		}
		m.speaks, m.started = true, r.Started
	} else {
		m.speaks = false
	}
	m.share.reported = true
}

// unknown returns the sum of the shares that VMs may hold of which this granter does not know, with
// what an earlier granter may issue besides the shares, now or after margin.
func (i *Issuer) unknown(now, margin time.Duration) float64 {
	if i.inherited != nil {
		return i.unknownByRoster(now, margin)
	}
	if i.earlierVMs == 0 || now >= i.predecessorsUntil+shareTTL {
		return 0
	}
	// A VM that has reported has the share that it states; if it states none, its earlier
	// process had the same as the others.
	unknown := 1.0
	for _, s := range i.shares {
		if i.known(now, margin, s) {
			unknown -= max(s.most(), 1/float64(i.earlierVMs))
		}
	}
	return max(unknown, 0)
}

func (i *Issuer) unknownByRoster(now, margin time.Duration) float64 {
	left := 1.0
	for _, s := range i.shares {
		left -= s.most()
	}
	unknown := float64(len(i.missing(now, margin))) * i.inherited.MaxShare
	if !i.settled && now < i.predecessorsUntil {
		unknown += i.inherited.Unleased
	}
	return max(min(unknown, left), 0)
}

// recompute determines the sum of the shares for which tokens are issued.
func (i *Issuer) recompute(now time.Duration) {
	i.gathered = i.settled || i.allMembers(func(*Member) bool { return true })
	i.shares = slices.DeleteFunc(i.shares, func(s *share) bool { return s.member == nil && now >= s.until })
	unknown := i.unknown(now, 0)
	i.leased = unknown
	lent, steady := 0.0, 0.0
	for _, s := range i.shares {
		most := s.most()
		i.leased += most
		if i.lent(now, 0, s.member) {
			lent += i.lentPart(s.member)
		}
		if i.lent(now, shortTTL, s.member) {
			steady += i.lentPart(s.member)
		}
	}
	// What is no VM's share is this granter's, once earlier ones can't issue for it.
	free := min(max(1-i.leased, 0), i.unleasedLimit())
	if i.inherited == nil && now < i.predecessorsUntil && !i.settled {
		free = 0
	}
	if !i.settled {
		steady -= i.unknown(now, shortTTL) - unknown
	}
	active := min(lent+free, 1-unknown-(i.leased-unknown-lent))
	if !i.issuing {
		active, steady, free = 0, 0, 0
	}
	active = max(active, 0)
	if active > 0 && !i.wasActive {
		i.wasActive, i.firstActive = true, now
	}
	// The sum may have changed at any time in between.
	i.issuable += min(active, i.active) * max(now-i.at, 0).Seconds()
	i.active, i.steady, i.at = active, max(min(steady+free, active), 0), now
	i.creditShares(now)
}

// lent reports whether this granter may issue for the share of a VM, now and for margin.
func (i *Issuer) lent(now, margin time.Duration, m *Member) bool {
	if m == nil || !m.issued || now+margin >= m.issuingAt+soloAfter {
		return false
	}
	if m.speaks {
		// Earlier granters have ended by predecessorsUntil, but a process that has started
		// does not know which granter the one before it followed.
		return now >= m.loanUntil || !m.started && (i.settled || now >= i.predecessorsUntil)
	}
	return now >= i.predecessorsUntil
}

// lentPart returns the share that a VM lends. Until this granter is settled it leases none, and the
// share of a VM ends when the lease of an earlier granter does.
func (i *Issuer) lentPart(m *Member) float64 {
	if i.settled {
		return m.share.most()
	}
	return min(m.share.most(), m.stated)
}

// creditShares adds the shares that were lent for the first time.
func (i *Issuer) creditShares(now time.Duration) {
	if i.settled || !i.issuing {
		return
	}
	for _, m := range i.members {
		if !m.credited && i.lent(now, 0, m) {
			m.credited = true
			i.credits = append(i.credits, credit{share: i.lentPart(m), used: m.used})
		}
	}
}

// availableInChange returns how many tokens of a bucket may be issued while tokens of earlier
// granters may be in use. Half of what VMs may hold is for requests that wait.
func (i *Issuer) availableInChange(now time.Duration, b *bucket, l Limit, budget budget, earned float64) (all, spare int) {
	for _, c := range i.credits[b.credited:] {
		if c.used < i.rule.Window {
			// A VM that uses its share sends budget.extra beyond the rate at most.
			b.tokens += c.share * (i.extra(budget) - min(budget.extra, l.Rate*c.used.Seconds()))
		}
	}
	b.credited = len(i.credits)
	most := i.extra(budget) * i.steady
	held := float64(b.outstanding + b.lostTokens(now))
	b.tokens = max(min(b.tokens+earned, most-held), 0)
	return int(b.tokens), max(int(min(b.tokens, most/2-held)), 0)
}

// mayGrant reports whether a VM may get tokens now. Short-lived ones would lapse at once in a VM
// whose last report is old.
func (i *Issuer) mayGrant(now time.Duration, m *Member) bool {
	if !i.Serves(m) {
		return false
	}
	if !i.settled && !i.gathered && !m.started && now < m.loanUntil {
		return false // it may use tokens of an earlier granter, see Update.KeepTokens
	}
	return i.settled || m.speaks && now-m.reportedAt < shortTTL/2
}

// TakeBack takes back the tokens of an update that was not sent.
func (i *Issuer) TakeBack(now time.Duration, m *Member, u Update) {
	if u.TokenMs == 0 {
		m.grants = MergeGrants(slices.Clone(u.Grants), m.grants)
		return
	}
	i.takeBack(now, m, u.Grants)
}

func (i *Issuer) takeBack(now time.Duration, m *Member, grants []Grant) {
	for _, g := range grants {
		b, d := i.buckets[g.Workspace], m.demands[g.Workspace]
		if b == nil || d == nil {
			continue
		}
		i.record(now, b)
		n := min(g.Tokens, d.outstanding)
		d.outstanding -= n
		b.outstanding -= n
		b.tokens += float64(n)
		b.excess -= float64(n)
	}
}

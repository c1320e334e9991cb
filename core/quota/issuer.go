package quota

import (
	"math"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// minUnknown is the sum of shares above which VMs that are not connected may hold tokens of an
// earlier granter.
const minUnknown = 0.01

// advanceStep is the shortest time between two determinations of the active shares: they take
// time in proportion to the VMs, and reports of all VMs come up to some thousand times a second.
const advanceStep = 10 * time.Millisecond

// waitingPart is the part of the room that only VMs with waiting requests get.
const waitingPart = 0.3

// heldStep is the resolution of the times at which windows begin.
const heldStep = 100 * time.Millisecond

// gapPart is the part of the capacity and of the room that is not issued for gapHorizon, so that it is left
// for requests that all arrive at a few VMs.
const gapPart = 0.5

// maxReportedRate bounds the rate of arrivals that a VM reports, in requests per second.
const maxReportedRate = 1e6

// unlimited is the number of tokens of a workspace without a limit.
const unlimited = 1 << 30

// Issuer issues the tokens of all workspaces and leases the shares of the VMs. Times are on the
// clock of the granter. It is not safe for concurrent use.
type Issuer struct {
	rule Rule
	// predecessorsUntil is until when earlier granters may issue tokens; earlierVMs is the number
	// of VMs that the last of them knew.
	predecessorsUntil time.Duration
	earlierVMs        int
	// inherited is what the last of them stated, nil if it is of an earlier version; stated
	// holds what this one has stated, with nil for nothing.
	inherited *roster
	stated    []*roster
	// own is the hash of the VM on which this granter runs, term its term, 0 if it is not known.
	own  uint32
	term int64
	// settled means that no tokens of earlier granters are in use any more.
	settled   bool
	settledAt time.Duration
	// gathered means that all VMs that the last granter named are connected and have reported, so that this
	// one is settled as soon as they have no tokens of earlier granters.
	gathered bool
	// complete means that all VMs that the last granter named follow this one.
	complete bool
	// firstActive is when tokens were first issued for any share.
	firstActive time.Duration
	wasActive   bool
	// steady is the part of the rates for which tokens are issued, and which stays with this
	// granter for shortTTL at least.
	steady float64
	// credits holds the shares that VMs have lent to this granter before it was settled.
	credits []credit
	// shares holds the VMs in the order of their first connection.
	shares  []*share
	members []*Member
	buckets map[api.WorkspaceName]*bucket
	// issuing means that tokens are issued; active is the sum of the shares for which they are.
	issuing bool
	active  float64
	at      time.Duration
	// leased is the sum of the shares that VMs may hold, with those of which this granter does
	// not know.
	leased float64
	// issuable is the integral of active over time, in seconds.
	issuable float64
	turn     int
}

// NewIssuer returns an Issuer of a new granter. Earlier ones may issue until predecessorsUntil,
// and have leased shares to earlierVMs VMs, 0 if there was none.
func NewIssuer(rule Rule, now, predecessorsUntil time.Duration, earlierVMs int) *Issuer {
	return &Issuer{
		rule: rule, at: now, predecessorsUntil: max(predecessorsUntil, now), earlierVMs: earlierVMs,
		buckets: make(map[api.WorkspaceName]*bucket),
	}
}

// share is the share of the rates that a VM may use by itself.
type share struct {
	vm   api.VMID
	hash uint32
	// confirmed is the share that the VM has acknowledged, or stated; sent holds those of
	// updates that it has not acknowledged.
	confirmed float64
	sent      []sentShare
	// until is when the VM can't use the share any more.
	until time.Duration
	// reported means that the VM has reported to this granter, answered is when the last update was
	// sent that it had received before a report.
	reported bool
	answered time.Duration
	member   *Member // nil while the VM is not connected
}

type sentShare struct {
	at    time.Duration
	share float64
}

// most returns the highest share that the VM may hold.
func (s *share) most() float64 {
	most := s.confirmed
	for _, sent := range s.sent {
		most = max(most, sent.share)
	}
	return most
}

// Member is a VM connected to the granter.
type Member struct {
	share *share
	// left means that the VM has followed a granter of a later term.
	left bool
	// stated is the share that the VM has stated last.
	stated float64
	// speaks means that the VM says whether its share is lent, started that its process has
	// followed no other granter, loanUntil until when the share is lent to another one.
	speaks, started bool
	loanUntil       time.Duration
	// used is Report.UsedMs, credited means that credits has the share of this VM.
	used     time.Duration
	credited bool
	// reportedAt is when the last report was received.
	reportedAt time.Duration
	// issuingAt is when the last update was sent that the VM has acknowledged and that said that
	// the granter issues; issued means that there was one.
	issuingAt time.Duration
	issued    bool
	// updated means that an update said that the granter issues, followed that the VM has acknowledged one.
	updated, followed bool
	// keeps means that the VM may have tokens of an earlier granter until loanUntil, droppedAt when the first
	// update was sent that ends them.
	keeps     bool
	droppedAt time.Duration
	// answersMs is the time of the VM's last report, on its own clock.
	answersMs int64
	demands   map[api.WorkspaceName]*demand
	grants    []Grant // not yet taken
}

// demand is the last demand of a VM for a workspace.
type demand struct {
	waiting int
	rate    float64
	// outstanding is the number of tokens that the VM may hold, unsent the part of them that
	// requests held which had not been sent.
	outstanding, unsent int
}

// free returns how many tokens the VM has for other requests.
func (d *demand) free() int { return max(d.outstanding-d.unsent, 0) }

// wantNow returns how many tokens the VM lacks for requests that wait.
func (d *demand) wantNow() int { return max(d.waiting-d.free(), 0) }

// want returns how many tokens the VM lacks, with those for the next requests.
func (d *demand) want() int { return max(d.waiting+spareTokens(d.rate)-d.free(), 0) }

// wantForGap returns how many tokens the VM lacks to serve requests until soloAfter without a granter, at
// its rate of arrivals or at least that of the average VM.
func (d *demand) wantForGap(average float64) int {
	return max(int(math.Ceil(max(d.rate, average)*gapHorizon.Seconds()))-d.free(), 0)
}

// bucket holds the tokens of a workspace.
type bucket struct {
	tokens float64
	at     float64 // on issuable
	// excess is by how much more was issued than the rate allows, less what was returned. held
	// has, by step of time, the highest number of tokens that VMs held, less excess.
	excess float64
	held   []float64
	step   int64
	// demands holds the VMs with a demand.
	demands map[*Member]*demand
	// outstanding is the number of tokens that VMs may hold, lost that of VMs that have left.
	outstanding int
	lost        []batch
	// unmet means that VMs lacked tokens when some were last issued to all.
	unmet bool
	// grantedAt is when tokens were last issued.
	grantedAt time.Duration
	// credited is the number of Issuer.credits that the bucket has got.
	credited int
}

func (b *bucket) lostTokens(now time.Duration) (n int) {
	b.lost = slices.DeleteFunc(b.lost, func(l batch) bool { return now >= l.until })
	for _, l := range b.lost {
		n += l.tokens
	}
	return n
}

// Join adds a VM that has connected. It holds no tokens that count.
func (i *Issuer) Join(now time.Duration, vm api.VMID) *Member {
	i.recompute(now)
	var s *share
	if k := slices.IndexFunc(i.shares, func(s *share) bool { return s.vm == vm }); k >= 0 {
		s = i.shares[k]
	} else {
		s = &share{vm: vm, hash: hashOf(vm)}
		i.shares = append(i.shares, s)
	}
	m := &Member{share: s, demands: make(map[api.WorkspaceName]*demand)}
	s.member = m
	i.members = append(i.members, m)
	return m
}

// Leave removes a VM whose connection has ended. It may go on using its share.
func (i *Issuer) Leave(now time.Duration, m *Member) {
	i.recompute(now)
	for name, d := range m.demands {
		if b := i.buckets[name]; b != nil {
			delete(b.demands, m)
			b.outstanding -= d.outstanding
			if d.outstanding > 0 {
				b.lost = append(b.lost, batch{tokens: d.outstanding, until: now + tokenTTL})
			}
		}
	}
	i.members = slices.DeleteFunc(i.members, func(other *Member) bool { return other == m })
	if m.share.member == m {
		m.share.member = nil
	}
}

// Report applies a report of a VM, sent at a time of the VM's clock after it had received an
// update that was sent at answered. It returns the workspaces for which the VM lacks tokens.
func (i *Issuer) Report(now time.Duration, m *Member, sentMs int64, answered time.Duration, r Report) (lacking []api.WorkspaceName) {
	i.advance(now)
	m.answersMs, m.reportedAt = sentMs, now
	s := m.share
	most := s.most()
	s.answered = max(s.answered, answered)
	i.observeLoan(now, m, r)
	for len(s.sent) > 0 && s.sent[0].at <= answered {
		s.confirmed = s.sent[0].share
		m.issuingAt, m.issued = s.sent[0].at, true
		s.sent = s.sent[1:]
	}
	if !m.issued && len(s.sent) == 0 && r.Share > s.confirmed && r.Share <= 1 {
		// A granter before this one has leased it, at most until then.
		s.confirmed, s.until = r.Share, now+shareTTL
	}
	if m.droppedAt > 0 && answered >= m.droppedAt {
		m.keeps = false
	}
	first := m.issued && !m.followed
	m.followed = m.followed || m.issued
	if m.left = i.term > 0 && r.Term > i.term; m.left {
		m.issued = false
	}
	i.leased += s.most() - most
	if first && !i.settled {
		// What the VM lends is issued at once.
		i.recompute(now)
	}
	for _, d := range r.Demands {
		b := i.bucket(d.Workspace)
		own := m.demands[d.Workspace]
		if own == nil {
			own = &demand{}
			m.demands[d.Workspace], b.demands[m] = own, own
		}
		i.record(now, b)
		done := min(d.Done, own.outstanding)
		own.outstanding -= done
		b.outstanding -= done
		b.tokens += float64(max(d.Returned, 0))
		b.excess -= float64(max(d.Returned, 0))
		own.waiting, own.rate, own.unsent = max(d.Waiting, 0), 0, max(d.Unsent, 0)
		if d.Rate > 0 {
			own.rate = min(d.Rate, maxReportedRate)
		}
		if own.want() > 0 {
			lacking = append(lacking, d.Workspace)
		}
		if own.outstanding == 0 && own.waiting == 0 && own.rate == 0 {
			delete(m.demands, d.Workspace)
			delete(b.demands, m)
		}
	}
	return lacking
}

// bucket returns the bucket of a workspace. A new one holds what has accumulated since this
// granter began to issue; Issue bounds it.
func (i *Issuer) bucket(name api.WorkspaceName) *bucket {
	b := i.buckets[name]
	if b == nil {
		b = &bucket{demands: make(map[*Member]*demand)}
		i.buckets[name] = b
	}
	return b
}

// Issuing reports whether tokens are issued.
func (i *Issuer) Issuing() bool { return i.issuing }

// advance accounts for the time since the last call, in steps of at least advanceStep.
func (i *Issuer) advance(now time.Duration) {
	if now-i.at >= advanceStep {
		i.recompute(now)
	}
}

// Issue issues tokens of all workspaces to the VMs. limit returns the quota of a workspace, and
// false if there is none of that name.
func (i *Issuer) Issue(now time.Duration, limit func(api.WorkspaceName) (Limit, bool)) {
	i.advance(now)
	i.turn++
	for name, b := range i.buckets {
		l, known := limit(name)
		if !i.issuing {
			continue
		}
		all, spare := i.available(now, b, l)
		// What is forgotten must not matter to any window.
		full := l.Rate <= 0 || b.tokens >= i.rule.budget(l).capacity
		if len(b.demands) == 0 && b.outstanding == 0 && len(b.lost) == 0 && full && now-b.grantedAt > i.rule.Window {
			delete(i.buckets, name)
			continue
		}
		if !known {
			continue
		}
		issued := 0
		if !i.settled {
			// Requests of VMs whose loan to an earlier granter has ended have waited for longer.
			issued = i.distribute(now, name, b, all, func(m *Member, d *demand) int {
				if !i.lent(now, 0, m) {
					return 0
				}
				return d.wantNow()
			})
		}
		issued += i.distribute(now, name, b, all-issued, func(_ *Member, d *demand) int { return d.wantNow() })
		i.distribute(now, name, b, min(spare, all-issued), func(_ *Member, d *demand) int { return d.want() })
		b.unmet = false
		for m, d := range b.demands {
			b.unmet = b.unmet || d.want() > 0 && i.mayGrant(now, m)
		}
		if !b.unmet {
			average := 0.0
			for _, m := range i.members {
				if d := b.demands[m]; d != nil {
					average += d.rate / float64(len(i.members))
				}
			}
			i.distribute(now, name, b, i.spareForGap(b, l), func(_ *Member, d *demand) int { return d.wantForGap(average) })
		}
	}
}

// IssueTo issues tokens of some workspaces to one VM at once, unless others lack some.
func (i *Issuer) IssueTo(now time.Duration, m *Member, names []api.WorkspaceName, limit func(api.WorkspaceName) (Limit, bool)) {
	i.advance(now)
	for _, name := range names {
		b, d := i.buckets[name], m.demands[name]
		l, known := limit(name)
		if b == nil || d == nil || !known || !i.issuing || b.unmet && b.credited == len(i.credits) || !i.mayGrant(now, m) {
			continue
		}
		all, spare := i.available(now, b, l)
		n := max(min(d.wantNow(), all), min(d.want(), spare))
		b.unmet = n < d.want()
		i.grant(now, name, b, m, d, n)
	}
}

// available fills the bucket of a workspace and returns how many tokens may be issued now. Of these,
// spare may go to VMs without waiting requests.
func (i *Issuer) available(now time.Duration, b *bucket, l Limit) (all, spare int) {
	earned := l.Rate * (i.issuable - b.at)
	b.at = i.issuable
	b.excess -= earned
	i.record(now, b)
	if l.Rate <= 0 {
		b.tokens = 0
		return unlimited, unlimited
	}
	budget := i.rule.budget(l)
	if !i.settled {
		return i.availableInChange(now, b, l, budget, earned)
	}
	b.credited = len(i.credits)
	b.tokens = min(b.tokens+earned, budget.capacity)
	room := budget.room - b.excess - slices.Max(b.held)
	return max(int(min(b.tokens, room)), 0), max(int(min(b.tokens, room-waitingPart*budget.room)), 0)
}

// spareForGap returns how many tokens VMs may get beyond tokenHorizon.
func (i *Issuer) spareForGap(b *bucket, l Limit) int {
	if !i.settled || l.Rate <= 0 {
		return 0
	}
	budget := i.rule.budget(l)
	room := budget.room - b.excess - slices.Max(b.held)
	return int(min(b.tokens-gapPart*budget.capacity, room-gapPart*budget.room))
}

// record records how many tokens the VMs hold. It is called before the number decreases.
func (i *Issuer) record(now time.Duration, b *bucket) {
	held := float64(b.outstanding+b.lostTokens(now)) - b.excess
	step, size := int64(now/heldStep), int64(i.rule.Window/heldStep)+2
	if b.held == nil {
		b.held = make([]float64, size)
		b.step = -1
	}
	for s := max(b.step, step-size) + 1; s <= step; s++ {
		b.held[s%size] = held
	}
	b.step = step
	b.held[step%size] = max(b.held[step%size], held)
}

// distribute issues up to left tokens in proportion to what each VM lacks. What remains of the
// division goes to the VMs in turn.
func (i *Issuer) distribute(now time.Duration, name api.WorkspaceName, b *bucket, left int, lacks func(*Member, *demand) int) (issued int) {
	total := 0
	for m, d := range b.demands {
		if i.mayGrant(now, m) {
			total += lacks(m, d)
		}
	}
	if total == 0 || left <= 0 {
		return 0
	}
	part := min(float64(left)/float64(total), 1)
	members := len(i.members)
	for pass := range 2 {
		for k := range members {
			m := i.members[(k+i.turn)%members]
			d := b.demands[m]
			if d == nil || issued == left || !i.mayGrant(now, m) {
				continue
			}
			n := lacks(m, d)
			if pass == 0 {
				n = int(float64(n) * part)
			} else {
				n = min(n, 1)
			}
			n = min(n, left-issued)
			i.grant(now, name, b, m, d, n)
			issued += n
		}
	}
	return issued
}

func (i *Issuer) grant(now time.Duration, name api.WorkspaceName, b *bucket, m *Member, d *demand, n int) {
	if n <= 0 {
		return
	}
	b.grantedAt = now
	b.tokens -= float64(n)
	b.excess += float64(n)
	b.outstanding += n
	d.outstanding += n
	m.grants = MergeGrants(m.grants, []Grant{{Workspace: name, Tokens: n}})
}

// AwaitsUpdate reports whether the next update for a VM is the first that says that this granter issues, or
// that tokens of earlier granters end. The share of the VM is lent, and the granter settled, only after the
// VM has acknowledged it, so it is sent without delay.
func (i *Issuer) AwaitsUpdate(m *Member) bool {
	awaits := !m.updated || m.keeps && m.droppedAt == 0 && (i.settled || i.gathered)
	return awaits && i.issuing && (i.settled || m.speaks) && m.answersMs != 0 && m.share.member == m && i.Serves(m)
}

// HasGrants reports whether tokens have been issued to a VM that its updates do not hold yet.
func (m *Member) HasGrants() bool { return len(m.grants) > 0 }

// Update returns the update for a VM, which is sent after now. rank and vms are the position of
// the VM among all.
func (i *Issuer) Update(now time.Duration, m *Member, rank, vms int) Update {
	i.advance(now)
	u := Update{AnswersMs: m.answersMs}
	if !i.issuing || m.answersMs == 0 || m.share.member != m || !i.Serves(m) || !i.settled && !m.speaks {
		if !i.settled {
			grants := m.grants
			m.grants = nil
			i.takeBack(now, m, grants)
		}
		return u
	}
	most := m.share.most()
	free := 1 - (i.leased - most)
	u.Issuing, u.Grants, m.updated = true, m.grants, true
	u.Share = max(min(1/float64(len(i.members)), i.shareLimit(), free), 0)
	if !i.settled {
		// Shares stay as they are: another granter may rely on them.
		u.Share, u.TokenMs = m.share.confirmed, shortTTL.Milliseconds()
		u.KeepTokens = !i.gathered && !m.started && now < m.loanUntil
	}
	switch {
	case u.KeepTokens:
		m.keeps, m.droppedAt = true, 0
	case m.keeps && m.droppedAt == 0:
		m.droppedAt = now
	}
	u.Phase = float64(max(rank, 0)) / float64(max(vms, 1))
	m.grants = nil
	m.share.sent = append(m.share.sent, sentShare{at: now, share: u.Share})
	m.share.until = now + shareTTL
	i.leased += m.share.most() - most
	return u
}

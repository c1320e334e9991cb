// Package ownership assigns the keys of a keyed service to upstreams that check
// fences and own keys under time-limited leases.
//
// One VM at a time, the granter, runs a Machine for each keyed service. An
// assignment is written to the store before it is granted, so that a successor
// knows every upstream that may own a key. A key is granted to another upstream
// only after its owner has released it, or after the owner's lease has expired by
// the granter's clock.
package ownership

import (
	"cmp"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// Span is a range of consecutive keys, both ends included.
type Span struct {
	First int `cbor:"1,keyasint"`
	Last  int `cbor:"2,keyasint"`
}

// Len returns the number of keys.
func (s Span) Len() int { return s.Last - s.First + 1 }

// Owner is one incarnation of an upstream. A later incarnation has a higher number, unless
// the time of day has stepped back between the two.
type Owner struct {
	UpstreamID  api.UpstreamID `cbor:"1,keyasint" json:"Upstream"`
	Incarnation int64          `cbor:"2,keyasint" json:"Life"`
}

// follows reports whether an owner is a later incarnation of the same upstream.
func (o Owner) follows(other Owner) bool {
	return o.UpstreamID == other.UpstreamID && o.Incarnation > other.Incarnation
}

// Entry is a span with its owner, as stored.
type Entry struct {
	Span  Span  `cbor:"1,keyasint"`
	Owner Owner `cbor:"2,keyasint"`
	Fence int64 `cbor:"3,keyasint"`
}

// Upstream is a possible owner of keys.
type Upstream struct {
	Owner
	// Capacity is the load that it can serve, in the unit of Machine.Observe.
	Capacity float64
	// MayKeepKeys means that it may keep the keys that it owns.
	MayKeepKeys bool
	// MayGainKeys means that it may be assigned more keys.
	MayGainKeys bool
	// Resting means that it wants no requests for a time: the keys that get requests move away.
	Resting bool
}

// Config holds the parameters of a Machine.
type Config struct {
	// Keys is the number of keys of a service.
	Keys int
	// LeaseTTL is the duration of a granted lease, RenewEvery the renewal interval.
	LeaseTTL, RenewEvery time.Duration
	// Drift bounds how much slower the owner's clock may run, as a fraction.
	Drift float64
	// MaxMessageDelay is added to a lease for the transit time of the grant.
	MaxMessageDelay time.Duration
	// RetryEvery is the time between attempts of a failed call.
	RetryEvery time.Duration
	// BalanceEvery is the time between rebalancing steps.
	BalanceEvery time.Duration
	// BalanceAbove is the ratio of an upstream's utilization to the mean from which
	// its keys are moved away.
	BalanceAbove float64
	// MovesPerUpstream times the number of upstreams bounds the spans that move
	// concurrently for balance; at least minConcurrentMoves may.
	MovesPerUpstream float64
	// LoadWindow is the time constant of Decay. If it is set, buckets with the load of a large part
	// of an upstream are placed alone, and moving spans are split before they are released.
	LoadWindow time.Duration
	// InitialAssignmentDelay is how long the number of upstreams that may gain keys
	// must stay unchanged before the keys of a service without owners are first
	// assigned.
	InitialAssignmentDelay time.Duration
}

// DefaultConfig returns the parameters for a number of keys. A lost owner's keys
// are free one lease after its last renewal; users require service within 2 s of
// a loss.
func DefaultConfig(keys int) Config {
	return Config{
		Keys: keys, LeaseTTL: 2 * time.Second, RenewEvery: 500 * time.Millisecond,
		Drift: 0.02, MaxMessageDelay: 150 * time.Millisecond, RetryEvery: 250 * time.Millisecond,
		BalanceEvery: 500 * time.Millisecond, BalanceAbove: 1.3, MovesPerUpstream: 0.3, InitialAssignmentDelay: 400 * time.Millisecond,
	}
}

// entry is the state of one span.
type entry struct {
	Entry
	// leaseUntil is an upper bound of the expiry of the last granted lease.
	leaseUntil time.Duration
	// inDoubtUntil is an upper bound of when an unanswered grant can take effect.
	inDoubtUntil time.Duration
	// formerUntil is an upper bound of the expiry of leases that the owner's upstream may hold
	// besides that of Entry: those granted under a lower fence, or to an earlier incarnation,
	// since a call names an upstream, not its incarnation.
	formerUntil time.Duration
	// lateUntil is an upper bound of the expiry of leases by grants that were held up on their way
	// when the granter that sent them ended, see Predecessor.LateUntil. 0 once the owner was reached.
	lateUntil   time.Duration
	grantSentAt time.Duration
	grantSent   bool // in this term
	granting    bool // a grant is in flight
	releasing   bool // a release is in flight
	// releaseAt is when the next attempt to release is due.
	releaseAt time.Duration
	acked     bool
	moving    bool
	released  bool
	target    Owner // next owner of a moving span
	handover  string
	writing   bool // the new owner is part of the pending write
}

// ActionKind says what an Action asks for.
type ActionKind int

// The kinds of Action.
const (
	// Grant sends a grant to the owner; report its result with GrantDone.
	Grant ActionKind = iota + 1
	// Release asks the owner to give up keys; report its result with ReleaseDone.
	Release
	// Write stores Entries; report its success with WriteDone.
	Write
)

// Action is an operation that the caller of Tick must perform.
type Action struct {
	Kind     ActionKind
	Span     Span
	Owner    Owner
	Fence    int64
	LeaseTTL time.Duration
	// Renewal means that the owner has confirmed a Grant of the same keys and fence.
	Renewal  bool
	Handover string
	Entries  []Entry
}

// Result is the result of a call to an upstream.
type Result int

// The results.
const (
	// Accepted means that the upstream confirmed the call.
	Accepted Result = iota + 1
	// Fenced means that the upstream has seen a higher fence.
	Fenced
	// NotSent means that the call cannot have reached the upstream.
	NotSent
	// Unknown means that the call may have taken effect, or may do so later.
	Unknown
	// OwnerEnded means that the owner's process has ended and another one has its
	// address.
	OwnerEnded
)

// Machine is the state machine that assigns the keys of one service during one
// term of a granter. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	fence     int64
	entries   []*entry
	upstreams map[api.UpstreamID]Upstream
	loads     *loads
	hot       hotBuckets
	writing   bool
	balanceAt time.Duration
	changed   bool
	// upstreamsChangedAt is when targetCount last changed.
	upstreamsChangedAt time.Duration
	targetCount        int
	// late holds by how much later than MaxMessageDelay unanswered grants to an owner can arrive.
	late map[Owner]time.Duration
}

// fencesPerTerm is the number of fences reserved for one term of a granter.
const fencesPerTerm = 1 << 20

// safeTTL returns the time after which a lease has expired on the owner's clock too.
func (m *Machine) safeTTL(ttl time.Duration) time.Duration { return m.cfg.MaxHold(ttl) }

// MaxHold returns the longest time from the sending of a grant to the end of its lease on the
// owner's clock.
func (c Config) MaxHold(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)/(1-c.Drift)) + c.MaxMessageDelay
}

// SetUpstreams replaces the known upstreams.
func (m *Machine) SetUpstreams(upstreams []Upstream) {
	clear(m.upstreams)
	for _, u := range upstreams {
		m.upstreams[u.UpstreamID] = u
	}
}

// Observe adds load to a bucket of KeysPerBucket keys, in the unit of
// Upstream.Capacity.
func (m *Machine) Observe(bucket int, load float64) { m.loads.add(bucket, load) }

// Decay multiplies the observed load by a factor; call it at regular intervals.
func (m *Machine) Decay(factor float64) { m.loads.decay(factor) }

// SpanOwners returns the owners that have confirmed their keys, and whether they
// have changed since the last call.
func (m *Machine) SpanOwners() (owners []SpanOwner, changed bool) {
	changed, m.changed = m.changed, false
	for _, e := range m.entries {
		o := SpanOwner{Span: e.Span}
		if e.acked && !e.moving && !e.writing {
			o.Owner = e.Owner.UpstreamID
		}
		owners = appendSpanOwner(owners, o)
	}
	return owners, changed
}

// Mode says what the granter's authority permits.
type Mode struct {
	// Renew permits grants of stored entries.
	Renew bool
	// Move permits releases and writes.
	Move bool
	// Keep means that owners keep their keys: only keys without an owner are assigned.
	Keep bool
}

// Tick returns the actions that are due.
func (m *Machine) Tick(now time.Duration, mode Mode) []Action {
	if !mode.Renew {
		return nil
	}
	var actions []Action
	if mode.Move && !mode.Keep {
		m.markLost(now)
		m.placeHot(now)
		if now >= m.balanceAt {
			m.balanceAt = now + m.cfg.BalanceEvery
			m.balance(now)
		}
		if m.cfg.LoadWindow > 0 && !m.awaitsUpstreams(now) {
			// A span that goes to several upstreams is split before its release: the parts without
			// requests are free at once.
			m.placeMoving(now)
		}
		actions = m.releases(now, actions)
	}
	if mode.Move {
		if write, ok := m.assign(now); ok {
			actions = append(actions, write)
		}
	}
	return m.grants(now, actions)
}

// markLost marks as moving the spans whose owner may no longer keep them.
func (m *Machine) markLost(now time.Duration) {
	for _, e := range m.entries {
		if e.moving || e.writing {
			continue
		}
		u, exists := m.upstreams[e.Owner.UpstreamID]
		if exists && u.MayKeepKeys && u.Incarnation == e.Owner.Incarnation {
			continue
		}
		if exists && e.Owner.follows(u.Owner) && now < e.leaseUntil {
			// The view is older than the owner, or the time of day has stepped back.
			continue
		}
		e.moving, e.released, e.target = true, false, Owner{}
		m.changed = true
		if exists && u.Owner.follows(e.Owner) {
			// The incarnation that owned the keys has ended.
			e.formerUntil = max(e.formerUntil, e.leaseUntil)
			e.ownerEnded(now)
			if u.MayKeepKeys {
				e.target = u.Owner
			}
		}
	}
}

// ownerEnded records that the owner's process has ended, and its lease with it.
func (e *entry) ownerEnded(now time.Duration) {
	e.moving, e.released, e.leaseUntil, e.inDoubtUntil = true, true, now, now
}

func (m *Machine) releases(now time.Duration, actions []Action) []Action {
	for _, e := range m.entries {
		if !e.moving || e.released || e.inCall() || e.writing || e.Owner.UpstreamID == "" || now >= e.leaseUntil || now < e.releaseAt {
			continue
		}
		e.releasing = true
		actions = append(actions, Action{Kind: Release, Span: e.Span, Owner: e.Owner, Fence: e.Fence})
	}
	return actions
}

func (e *entry) inCall() bool { return e.granting || e.releasing }

func (e *entry) free(now time.Duration) bool {
	if !e.moving || e.writing || e.granting || e.releasing && now < e.leaseUntil {
		return false
	}
	return e.Owner.UpstreamID == "" || now >= e.leaseUntil || e.released && now >= e.inDoubtUntil
}

// freeFor reports whether a free span may go to an owner. The leases until formerUntil are no
// obstacle to the upstream that holds them, nor are those until lateUntil.
func (e *entry) freeFor(now time.Duration, next Owner) bool {
	return e.free(now) && (e.Owner.UpstreamID == next.UpstreamID || now >= max(e.formerUntil, e.lateUntil))
}

// SetLate records by how much later than MaxMessageDelay unanswered grants to an owner can arrive.
func (m *Machine) SetLate(owner Owner, by time.Duration) { m.late[owner] = by }

// Reached records that the host of an owner has answered a call, with a response or a refusal of
// the connection: no cut holds up grants to it.
func (m *Machine) Reached(owner Owner) {
	for _, e := range m.entries {
		if e.Owner == owner {
			e.lateUntil = 0
		}
	}
}

// assign gives free spans to their targets and returns the write that stores them.
func (m *Machine) assign(now time.Duration) (Action, bool) {
	if m.writing || m.awaitsUpstreams(now) || !m.assignTargets(now) {
		return Action{}, false
	}
	m.fence++
	for _, e := range m.entries {
		if e.writing {
			e.Fence = m.fence
		}
	}
	m.writing = true
	return Action{Kind: Write, Entries: m.table()}, true
}

// awaitsUpstreams reports whether a service without any owner should wait for more
// upstreams: keys would have to be moved to each that registers later.
func (m *Machine) awaitsUpstreams(now time.Duration) bool {
	count := 0
	for _, u := range m.upstreams {
		if u.MayGainKeys {
			count++
		}
	}
	if count != m.targetCount {
		m.targetCount, m.upstreamsChangedAt = count, now
	}
	return len(m.entries) == 1 && m.entries[0].Owner.UpstreamID == "" && now-m.upstreamsChangedAt < m.cfg.InitialAssignmentDelay
}

// WriteDone reports that the store holds the entries of the last Write. A write
// with an unknown result must be repeated until its result is known.
func (m *Machine) WriteDone() {
	m.writing = false
	for _, e := range m.entries {
		if e.writing {
			e.writing, e.moving, e.released, e.acked = false, false, false, false
			e.grantSent, e.releasing, e.leaseUntil, e.inDoubtUntil = false, false, 0, 0
			m.changed = true
		}
	}
	m.merge()
}

func (m *Machine) grants(now time.Duration, actions []Action) []Action {
	for _, e := range m.entries {
		if e.moving || e.writing || e.inCall() || e.Owner.UpstreamID == "" {
			continue
		}
		u, exists := m.upstreams[e.Owner.UpstreamID]
		if !exists || u.Incarnation != e.Owner.Incarnation || !u.MayKeepKeys {
			continue
		}
		wait := m.cfg.RenewEvery
		if !e.acked {
			wait = m.cfg.RetryEvery
		}
		if e.grantSent && now-e.grantSentAt < wait {
			continue
		}
		e.grantSent, e.granting, e.grantSentAt = true, true, now
		actions = append(actions, Action{
			Kind: Grant, Span: e.Span, Owner: e.Owner, Fence: e.Fence, LeaseTTL: m.cfg.LeaseTTL, Renewal: e.acked, Handover: e.handover,
		})
	}
	return actions
}

// GrantDone reports the result of a grant.
func (m *Machine) GrantDone(now time.Duration, a Action, result Result) {
	for _, e := range m.entriesOf(a) {
		e.granting = false
		if e.released && (result == Accepted || result == Unknown) {
			// A later incarnation became known while the call was under way.
			e.formerUntil = max(e.formerUntil, now+m.late[a.Owner]+m.safeTTL(a.LeaseTTL))
		}
		switch result {
		case Accepted:
			// The lease runs from the arrival of the call, which may have waited for its
			// connection.
			e.leaseUntil, e.handover = max(e.leaseUntil, now+m.safeTTL(a.LeaseTTL)), ""
			if !e.acked {
				e.acked, m.changed = true, true
			}
		case Unknown:
			e.leaseUntil = max(e.leaseUntil, now+m.late[a.Owner]+m.safeTTL(a.LeaseTTL))
			e.inDoubtUntil = e.leaseUntil
			m.retrySoon(now, e)
		case NotSent:
			m.retrySoon(now, e)
		case OwnerEnded:
			e.ownerEnded(now)
			m.changed = true
		case Fenced:
			// The upstream accepts no grant without a new fence. It has perhaps seen the higher one
			// on some of the keys only, and holds the others.
			e.formerUntil = max(e.formerUntil, e.leaseUntil)
			e.moving, e.released, e.target, m.changed = true, true, e.Owner, true
		}
	}
}

// retrySoon makes the next grant of an entry due after RetryEvery.
func (m *Machine) retrySoon(now time.Duration, e *entry) {
	e.grantSentAt = now
	if e.acked {
		e.grantSentAt = now - m.cfg.RenewEvery + m.cfg.RetryEvery
	}
}

// ReleaseDone reports the result of a release. handover is the released owner's
// token for the next grant.
func (m *Machine) ReleaseDone(now time.Duration, a Action, result Result, handover string) {
	for _, e := range m.entriesOf(a) {
		e.releasing = false
		if result == OwnerEnded {
			e.ownerEnded(now)
			continue
		}
		if result == Accepted {
			e.released, e.handover = true, handover
			continue
		}
		e.releaseAt = now + m.cfg.RetryEvery
	}
}

// entriesOf returns the entry of an action, or none if it is gone. A call covers
// one whole entry, which is not split or merged while the call is in flight.
func (m *Machine) entriesOf(a Action) []*entry {
	i, found := slices.BinarySearchFunc(m.entries, a.Span.First, func(e *entry, first int) int {
		return cmp.Compare(e.Span.First, first)
	})
	if !found || m.entries[i].Span != a.Span || m.entries[i].Owner != a.Owner || m.entries[i].Fence != a.Fence || !m.entries[i].inCall() {
		return nil
	}
	return m.entries[i : i+1]
}

// InDoubtUntil returns an upper bound of when unanswered grants can take effect,
// for the successor of this granter.
func (m *Machine) InDoubtUntil(now time.Duration) (until time.Duration) {
	for _, e := range m.entries {
		until = max(until, e.inDoubtUntil, e.formerUntil, e.lateUntil)
		if e.granting {
			until = max(until, now+m.late[e.Owner]+m.safeTTL(m.cfg.LeaseTTL))
		}
	}
	return until
}

// Summary counts the spans of a Machine.
type Summary struct {
	Spans, Moving, Unowned int
	// Hot counts the upstreams that own a hot bucket alone.
	Hot int
}

// Summary returns the counts for logs and metrics.
func (m *Machine) Summary() (s Summary) {
	s.Hot = len(m.hot.alone)
	for _, e := range m.entries {
		s.Spans++
		if e.moving {
			s.Moving++
		}
		if e.Owner.UpstreamID == "" {
			s.Unowned++
		}
	}
	return s
}

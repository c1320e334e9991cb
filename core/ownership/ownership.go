// Package ownership decides which upstream of a keyed service holds which keys,
// for upstreams that check fences and hold keys for a limited time.
//
// One VM at a time, the granter, runs a Machine for each keyed service. An
// assignment is written to the store before it is granted, so that a successor
// knows every upstream that may hold a key. A key goes to another upstream only
// after its owner has released it, or after the owner's lease has run out by the
// granter's clock.
package ownership

import (
	"cmp"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// Span is a run of keys, both ends included.
type Span struct {
	First int `cbor:"1,keyasint"`
	Last  int `cbor:"2,keyasint"`
}

// Len returns the number of keys.
func (s Span) Len() int { return s.Last - s.First + 1 }

// Owner is one life of an upstream.
type Owner struct {
	UpstreamID  api.UpstreamID `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"2,keyasint"`
}

// Entry is a span with its owner, as the store keeps it.
type Entry struct {
	Span  Span  `cbor:"1,keyasint"`
	Owner Owner `cbor:"2,keyasint"`
	Fence int64 `cbor:"3,keyasint"`
}

// Upstream is a possible owner of keys.
type Upstream struct {
	Owner
	// Capacity is the load that it bears, in the unit of Machine.Observe.
	Capacity float64
	// MayKeepKeys says that it may keep the keys that it has.
	MayKeepKeys bool
	// MayGainKeys says that it may get more keys.
	MayGainKeys bool
}

// Config holds the times of a Machine.
type Config struct {
	// Keys is the number of keys of a service.
	Keys int
	// LeaseTTL is the lease of a grant, RenewEvery the time between renewals.
	LeaseTTL, RenewEvery time.Duration
	// Drift bounds how much slower the owner's clock may run.
	Drift float64
	// MaxMessageDelay is added to a lease for the way of the grant.
	MaxMessageDelay time.Duration
	// RetryEvery is the time between attempts of an order that failed.
	RetryEvery time.Duration
	// BalanceEvery is the time between moves that only restore balance.
	BalanceEvery time.Duration
	// BalanceAbove is the load over the mean from which keys are moved away.
	BalanceAbove float64
	// MovesAtOnce bounds the spans that move for balance at the same time, for each
	// upstream; at least minMoves may.
	MovesAtOnce float64
	// InitialAssignmentDelay is how long the upstreams of a service without owners must stay the
	// same before its keys are first divided.
	InitialAssignmentDelay time.Duration
}

// DefaultConfig returns the times for a number of keys. A lost owner's keys are
// free one lease after its last renewal; users ask for service within 2 s of a loss.
func DefaultConfig(keys int) Config {
	return Config{
		Keys: keys, LeaseTTL: 2 * time.Second, RenewEvery: 500 * time.Millisecond,
		Drift: 0.02, MaxMessageDelay: 150 * time.Millisecond, RetryEvery: 250 * time.Millisecond,
		BalanceEvery: 500 * time.Millisecond, BalanceAbove: 1.3, MovesAtOnce: 0.3, InitialAssignmentDelay: 400 * time.Millisecond,
	}
}

// entry is the state of one span.
type entry struct {
	Entry
	// heldUntil is when the lease of the last grant has surely run out.
	heldUntil time.Duration
	// lateUntil is when the last grant without an answer has surely no effect.
	lateUntil time.Duration
	sentAt    time.Duration
	sent      bool // a grant was sent in this term
	granting  bool // a grant is under way
	releasing bool // a release is under way
	// releaseAt is when the next attempt to release is due.
	releaseAt time.Duration
	acked     bool
	leaving   bool
	released  bool
	target    Owner // where a leaving span goes
	handover  string
	writing   bool // the new owner is in the write under way
}

// ActionKind says what an Action asks for.
type ActionKind int

// The kinds of Action.
const (
	// Grant asks to send a grant; report its end with GrantDone.
	Grant ActionKind = iota + 1
	// Release asks to take keys back; report its end with ReleaseDone.
	Release
	// Write asks to store Entries; report its end with WriteDone.
	Write
)

// Action is something to do for the Machine.
type Action struct {
	Kind     ActionKind
	Span     Span
	Owner    Owner
	Fence    int64
	LeaseTTL time.Duration
	Handover string
	Entries  []Entry
}

// Result is the end of a call to an upstream.
type Result int

// The results.
const (
	// Accepted means that the upstream has confirmed the order.
	Accepted Result = iota + 1
	// Fenced means that the upstream has seen a higher fence.
	Fenced
	// NotSent means that the order cannot have reached the upstream.
	NotSent
	// Unknown means that the order may be carried out, perhaps late.
	Unknown
	// OwnerEnded means that the owner's process has ended: another one has its address.
	OwnerEnded
)

// Machine holds the ownership of one service during one term of a granter. It is
// not safe for concurrent use.
type Machine struct {
	cfg       Config
	fence     int64
	entries   []*entry
	upstreams map[api.UpstreamID]Upstream
	loads     *loads
	writing   bool
	balanceAt time.Duration
	changed   bool
	// gathered is when the number of upstreams last changed.
	gathered time.Duration
	takers   int
}

// fencesPerTerm is the number of fences of one term of a granter.
const fencesPerTerm = 1 << 20

// Predecessor is what the granter of a new term knows of the one before.
type Predecessor struct {
	// Until is when its authority has surely ended.
	Until time.Duration
	// MaxLeaseTTL is the longest lease that it granted.
	MaxLeaseTTL time.Duration
	// InDoubtUntil is when its grants without an answer have surely no effect. Until
	// then a release does not make keys free: such a grant may follow it.
	InDoubtUntil time.Duration
}

// New starts a term with the entries that the store holds. Terms must increase.
func New(cfg Config, term int64, stored []Entry, before Predecessor) *Machine {
	m := &Machine{
		cfg: cfg, fence: term * fencesPerTerm, upstreams: make(map[api.UpstreamID]Upstream),
		loads: newLoads(cfg.Keys), changed: true,
	}
	next := 0
	for _, e := range stored {
		if e.Span.First > next {
			m.entries = append(m.entries, &entry{Entry: Entry{Span: Span{next, e.Span.First - 1}}, leaving: true})
		}
		m.entries = append(m.entries, &entry{Entry: e, heldUntil: before.Until + m.lapse(before.MaxLeaseTTL), lateUntil: before.InDoubtUntil, acked: true})
		next = e.Span.Last + 1
	}
	if next < cfg.Keys {
		m.entries = append(m.entries, &entry{Entry: Entry{Span: Span{next, cfg.Keys - 1}}, leaving: true})
	}
	return m
}

func (m *Machine) lapse(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*(1+m.cfg.Drift)) + m.cfg.MaxMessageDelay
}

// SetUpstreams tells which upstreams exist.
func (m *Machine) SetUpstreams(upstreams []Upstream) {
	clear(m.upstreams)
	for _, u := range upstreams {
		m.upstreams[u.UpstreamID] = u
	}
}

// Observe adds load to the keys around key. The unit is that of Upstream.Capacity.
func (m *Machine) Observe(bucket int, load float64) { m.loads.add(bucket, load) }

// Decay ages the load; call it at regular intervals.
func (m *Machine) Decay(factor float64) { m.loads.decay(factor) }

// SpanOwners returns the present owners, and whether they have changed since the
// last call.
func (m *Machine) SpanOwners() (holdings []SpanOwner, changed bool) {
	changed, m.changed = m.changed, false
	for _, e := range m.entries {
		h := SpanOwner{Span: e.Span}
		if e.acked && !e.leaving && !e.writing {
			h.Owner = e.Owner.UpstreamID
		}
		holdings = appendHolding(holdings, h)
	}
	return holdings, changed
}

// Mode says what the granter's authority allows.
type Mode struct {
	// Renew allows grants of what is stored.
	Renew bool
	// Move allows releases and writes.
	Move bool
}

// Tick returns what to do now.
func (m *Machine) Tick(now time.Duration, mode Mode) []Action {
	if !mode.Renew {
		return nil
	}
	var actions []Action
	if mode.Move {
		m.leaveLost(now)
		if now >= m.balanceAt {
			m.balanceAt = now + m.cfg.BalanceEvery
			m.balance()
		}
		actions = m.releases(now, actions)
		if write, ok := m.assign(now); ok {
			actions = append(actions, write)
		}
	}
	return m.grants(now, actions)
}

// leaveLost marks the spans whose owner may no longer keep them.
func (m *Machine) leaveLost(now time.Duration) {
	for _, e := range m.entries {
		if e.leaving || e.writing {
			continue
		}
		u, present := m.upstreams[e.Owner.UpstreamID]
		if present && u.MayKeepKeys && u.Incarnation == e.Owner.Incarnation {
			continue
		}
		e.leaving, e.released, e.target = true, false, Owner{}
		m.changed = true
		if present && u.Incarnation != e.Owner.Incarnation {
			// The life that held the keys has ended, and took them with it.
			e.end(now)
			if u.MayKeepKeys {
				e.target = u.Owner
			}
		}
	}
}

// end records that the owner's process has ended, and its holds with it.
func (e *entry) end(now time.Duration) {
	e.leaving, e.released, e.heldUntil, e.lateUntil = true, true, now, now
}

func (m *Machine) releases(now time.Duration, actions []Action) []Action {
	for _, e := range m.entries {
		if !e.leaving || e.released || e.inCall() || e.writing || e.Owner.UpstreamID == "" || now >= e.heldUntil || now < e.releaseAt {
			continue
		}
		e.releasing = true
		actions = append(actions, Action{Kind: Release, Span: e.Span, Owner: e.Owner, Fence: e.Fence})
	}
	return actions
}

func (e *entry) inCall() bool { return e.granting || e.releasing }

func (e *entry) free(now time.Duration) bool {
	if !e.leaving || e.writing || e.granting || e.releasing && now < e.heldUntil {
		return false
	}
	return e.Owner.UpstreamID == "" || now >= e.heldUntil || e.released && now >= e.lateUntil
}

// assign gives free spans to upstreams and returns the write that records it.
func (m *Machine) assign(now time.Duration) (Action, bool) {
	if m.writing || m.gathering(now) || !m.place(now) {
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

// gathering reports whether a service without any owner should wait for more
// upstreams: each that comes later would have to be given keys of others.
func (m *Machine) gathering(now time.Duration) bool {
	takers := 0
	for _, u := range m.upstreams {
		if u.MayGainKeys {
			takers++
		}
	}
	if takers != m.takers {
		m.takers, m.gathered = takers, now
	}
	return len(m.entries) == 1 && m.entries[0].Owner.UpstreamID == "" && now-m.gathered < m.cfg.InitialAssignmentDelay
}

// table returns what the store is to hold: also spans that are leaving stay with
// their owner until they have a new one.
func (m *Machine) table() []Entry {
	var table []Entry
	for _, e := range m.entries {
		if e.Owner.UpstreamID == "" {
			continue
		}
		table = AppendEntry(table, e.Entry)
	}
	return table
}

// AppendEntry adds an entry and joins it with the last one if they are neighbours
// with the same owner and fence.
func AppendEntry(list []Entry, e Entry) []Entry {
	if n := len(list); n > 0 && list[n-1].Owner == e.Owner && list[n-1].Fence == e.Fence && list[n-1].Span.Last+1 == e.Span.First {
		list[n-1].Span.Last = e.Span.Last
		return list
	}
	return append(list, e)
}

// Held returns the spans that their owners are to keep, for another granter that
// goes on renewing them.
func (m *Machine) Held() []Entry {
	var held []Entry
	for _, e := range m.entries {
		if e.Owner.UpstreamID != "" && !e.leaving && !e.writing {
			held = append(held, e.Entry)
		}
	}
	return held
}

// WriteDone reports the end of a write: whether the store holds the entries. A
// write whose effect is unknown must be repeated until it is known.
func (m *Machine) WriteDone() {
	m.writing = false
	for _, e := range m.entries {
		if e.writing {
			e.writing, e.leaving, e.released, e.acked = false, false, false, false
			e.sent, e.releasing, e.heldUntil, e.lateUntil = false, false, 0, 0
			m.changed = true
		}
	}
	m.merge()
}

// merge joins neighbours that can be renewed with one call.
func (m *Machine) merge() {
	merged := m.entries[:0]
	for _, e := range m.entries {
		if n := len(merged); n > 0 && mergeable(merged[n-1], e) {
			merged[n-1].Span.Last = e.Span.Last
			merged[n-1].heldUntil = max(merged[n-1].heldUntil, e.heldUntil)
			merged[n-1].lateUntil = max(merged[n-1].lateUntil, e.lateUntil)
			continue
		}
		merged = append(merged, e)
	}
	clear(m.entries[len(merged):])
	m.entries = merged
}

func mergeable(a, b *entry) bool {
	return a.Owner == b.Owner && a.Fence == b.Fence && a.acked == b.acked &&
		a.handover == "" && b.handover == "" && !a.leaving && !b.leaving &&
		!a.inCall() && !b.inCall() && !a.writing && !b.writing && a.sent == b.sent
}

func (m *Machine) grants(now time.Duration, actions []Action) []Action {
	for _, e := range m.entries {
		if e.leaving || e.writing || e.inCall() || e.Owner.UpstreamID == "" {
			continue
		}
		u, present := m.upstreams[e.Owner.UpstreamID]
		if !present || u.Incarnation != e.Owner.Incarnation || !u.MayKeepKeys {
			continue
		}
		wait := m.cfg.RenewEvery
		if !e.acked {
			wait = m.cfg.RetryEvery
		}
		if e.sent && now-e.sentAt < wait {
			continue
		}
		e.sent, e.granting, e.sentAt = true, true, now
		actions = append(actions, Action{
			Kind: Grant, Span: e.Span, Owner: e.Owner, Fence: e.Fence, LeaseTTL: m.cfg.LeaseTTL, Handover: e.handover,
		})
	}
	return actions
}

// GrantDone reports the end of a grant that was sent at sentAt.
func (m *Machine) GrantDone(now, sentAt time.Duration, a Action, result Result) {
	for _, e := range m.within(a) {
		e.granting = false
		until := sentAt + m.lapse(a.LeaseTTL)
		switch result {
		case Accepted:
			e.heldUntil, e.handover = max(e.heldUntil, until), ""
			if !e.acked {
				e.acked, m.changed = true, true
			}
		case Unknown:
			e.heldUntil = max(e.heldUntil, now+m.lapse(a.LeaseTTL))
			e.lateUntil = e.heldUntil
			m.retrySoon(now, e)
		case NotSent:
			m.retrySoon(now, e)
		case OwnerEnded:
			e.end(now)
			m.changed = true
		case Fenced:
			// Only a new fence makes the upstream accept again.
			e.leaving, e.released, e.target, m.changed = true, true, e.Owner, true
		}
	}
}

// retrySoon makes the next grant of an entry due after RetryEvery.
func (m *Machine) retrySoon(now time.Duration, e *entry) {
	e.sentAt = now
	if e.acked {
		e.sentAt = now - m.cfg.RenewEvery + m.cfg.RetryEvery
	}
}

// ReleaseDone reports the end of a release.
func (m *Machine) ReleaseDone(now time.Duration, a Action, result Result, handover string) {
	for _, e := range m.within(a) {
		e.releasing = false
		if result == OwnerEnded {
			e.end(now)
			continue
		}
		if result == Accepted {
			e.released, e.handover = true, handover
			continue
		}
		e.releaseAt = now + m.cfg.RetryEvery
	}
}

// within returns the entries of an action: calls cover whole entries, which are
// not divided meanwhile.
func (m *Machine) within(a Action) []*entry {
	i, found := slices.BinarySearchFunc(m.entries, a.Span.First, func(e *entry, first int) int {
		return cmp.Compare(e.Span.First, first)
	})
	if !found || m.entries[i].Span != a.Span || m.entries[i].Owner != a.Owner || m.entries[i].Fence != a.Fence || !m.entries[i].inCall() {
		return nil
	}
	return m.entries[i : i+1]
}

// InDoubtUntil is when all grants without an answer have surely no effect, for the
// successor of this granter.
func (m *Machine) InDoubtUntil(now time.Duration) (until time.Duration) {
	for _, e := range m.entries {
		until = max(until, e.lateUntil)
		if e.granting {
			until = max(until, now+m.lapse(m.cfg.LeaseTTL))
		}
	}
	return until
}

// Summary counts the spans of a Machine.
type Summary struct {
	Spans, Moving, Unowned int
}

// Summary returns the counts for logs and metrics.
func (m *Machine) Summary() (s Summary) {
	for _, e := range m.entries {
		s.Spans++
		if e.leaving {
			s.Moving++
		}
		if e.Owner.UpstreamID == "" {
			s.Unowned++
		}
	}
	return s
}

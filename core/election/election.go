// Package election elects the VM that grants keys, by a lease in the store and by
// promises of the other VMs while the granter cannot reach the store.
//
// A granter may act for Config.LeaseTTL after it sent its last renewal. Without the
// store it may renew existing grants, but move no keys, for as long as every other
// VM that could take over has promised not to. A VM that takes over renews grants
// at once, and moves keys only when its predecessors can no longer act.
//
// A granter that stops while the store is unreachable hands its authority to
// another VM, the caretaker. The promise of a VM that stops also binds its next
// process: each process therefore treats the first Config.RestartPromiseTTL after
// its start as promised.
package election

import (
	"time"

	"dandelionhill.dev/api"
)

// Config holds the times of an election.
type Config struct {
	// LeaseTTL is how long a granter may act after it sent its last renewal.
	LeaseTTL time.Duration
	// StaleAfter is the age of a lease from which another VM takes over.
	StaleAfter time.Duration
	// StoreTimeout is the age of the last renewal from which a granter treats the
	// store as unreachable. It must be below StaleAfter.
	StoreTimeout time.Duration
	// PromiseTTL is how long a VM that cannot reach the store promises not to take over.
	PromiseTTL time.Duration
	// RestartPromiseTTL is how long a stopping VM promises not to take over. The
	// promise also binds its next process.
	RestartPromiseTTL time.Duration
	// MaxMessageDelay is subtracted from a promise whose message does not say when it was asked for.
	MaxMessageDelay time.Duration
	// MaxSendDelay bounds the time from the last check that a grant may be sent to its last byte:
	// a granter begins no grant when less of its authority is left. A process that is stopped
	// for longer in between breaks this assumption.
	MaxSendDelay time.Duration
	// AbsentTimeout is how long a VM that left without a promise could still take over.
	AbsentTimeout time.Duration
	// StoreCheckers is the number of VMs that check at a time whether the store answers them
	// while the granter cannot reach it. The others promise without a check.
	StoreCheckers float64
	// ResignAfter is how long a granter without authority waits for the store before
	// it resigns.
	ResignAfter time.Duration
	// SuccessorPatience is the age of a lease up to which it is left to the successor that its
	// granter has named.
	SuccessorPatience time.Duration
	// IsolatedPatience is the age of a lease up to which a VM that reaches no upstream leaves
	// it to the others.
	IsolatedPatience time.Duration
}

// DefaultConfig returns the times of section 9.2 of the design page.
func DefaultConfig() Config {
	return Config{
		LeaseTTL: 3 * time.Second, StaleAfter: 1300 * time.Millisecond, StoreTimeout: 1200 * time.Millisecond,
		PromiseTTL: 1200 * time.Millisecond, RestartPromiseTTL: 3 * time.Second, MaxMessageDelay: 200 * time.Millisecond, MaxSendDelay: 300 * time.Millisecond,
		AbsentTimeout: 30 * time.Second, StoreCheckers: 12, ResignAfter: time.Second,
		SuccessorPatience: 500 * time.Millisecond, IsolatedPatience: 4 * time.Second,
	}
}

// Lease is the granter's lease as a VM has read it.
type Lease struct {
	// Vacant means that there is no lease, or that its granter has released it.
	Vacant bool
	// Reserved means that the granter has named another VM as its successor.
	Reserved bool
	// GranterEnded means that the granter's process is known to have ended.
	GranterEnded bool
	// EarlierProcess means that the granter was an earlier process of this VM.
	EarlierProcess bool
	// Age is the time since the last renewal, as of a moment after AskedAt.
	Age     time.Duration
	AskedAt time.Duration
	// PredecessorsRemaining is how much longer the predecessors of its granter may act.
	PredecessorsRemaining time.Duration
}

// LinkEnd says how a connection to a granter ended, or why it could not be opened.
type LinkEnd int

const (
	// LinkLost means that the connection was refused, silent, reset or closed in order. The
	// granter may be well: a cut, or a device between two VMs, does the same.
	LinkLost LinkEnd = iota
	// OtherProcess means that another process of the granter's VM has responded.
	OtherProcess
)

// Process identifies a process of a VM. A VM has one process at a time.
type Process struct {
	VM          api.VMID
	Incarnation api.Incarnation
}

// ResponseShows says what a response at a granter's address shows. Another VM may have the address,
// or a device between two VMs may have passed the call to it.
func ResponseShows(granter, responder Process) LinkEnd {
	known := granter.Incarnation != "" && responder.Incarnation != ""
	if known && responder.VM == granter.VM && responder.Incarnation != granter.Incarnation {
		return OtherProcess
	}
	return LinkLost
}

// GranterEnded reports whether the granter is known not to act any more.
func (e LinkEnd) GranterEnded() bool { return e == OtherProcess }

// Step is what a VM does next.
type Step int

// The steps.
const (
	// Follow means to connect to the granter.
	Follow Step = iota + 1
	// Campaign means to take over.
	Campaign
	// Wait means to read the lease again after a delay.
	Wait
)

// Voter is the state of one process in the election. It is not safe for concurrent
// use.
type Voter struct {
	cfg                      Config
	startedAt, promisedUntil time.Duration
	stopping                 bool
	// checked means that this VM has checked the store since the granter last renewed its
	// lease, storeAnswers that the store answered the last check.
	checked, storeAnswers bool
	// isolated means that this VM reaches no upstream.
	isolated bool
}

// NewVoter returns the Voter of a process that has just started.
func NewVoter(cfg Config, now time.Duration) *Voter { return &Voter{cfg: cfg, startedAt: now} }

// ChecksStore reports whether this VM, one of vms, should check if the store answers it,
// while a granter asks for its promise. random is a random number in [0, 1). Each VM checks
// once, and those that the store answers go on, so that they leave a granter that it does not
// answer. In an outage for all, few of the others check at a time.
func (v *Voter) ChecksStore(random float64, vms int) bool {
	return !v.checked || v.storeAnswers || random*float64(vms) < v.cfg.StoreCheckers
}

// StoreAnswered records that the store answers this VM while the granter cannot reach it.
// This VM then promises nothing, so that it can take over.
func (v *Voter) StoreAnswered() { v.checked, v.storeAnswers = true, true }

// GranterRenews records that the granter reaches the store.
func (v *Voter) GranterRenews() { v.checked, v.storeAnswers = false, false }

// StoreUnreachable records that the store does not answer this VM while a granter
// asks for its promise, and extends the promise.
func (v *Voter) StoreUnreachable(now time.Duration) {
	v.checked, v.storeAnswers = true, false
	v.Promise(now)
}

// Promise extends the promise of this VM, whether or not the store answers it.
func (v *Voter) Promise(now time.Duration) {
	v.promisedUntil = max(v.promisedUntil, now+v.cfg.PromiseTTL)
}

// SetIsolated records whether this VM reaches no upstream. It then leaves a lease to the
// others, since it could neither renew nor grant.
func (v *Voter) SetIsolated(isolated bool) { v.isolated = isolated }

// HandedOver records that the granter of this process has handed over without stopping: the
// process does not take over while it could disturb the caretaker.
func (v *Voter) HandedOver(now time.Duration) {
	v.promisedUntil = max(v.promisedUntil, now+v.cfg.RestartPromiseTTL)
}

// Leave records that this process is about to stop.
func (v *Voter) Leave() { v.stopping = true }

// PromiseRemaining returns how long neither this process nor the next one of this
// VM moves keys without the consent of the granter.
func (v *Voter) PromiseRemaining(now time.Duration) time.Duration {
	if v.stopping {
		return v.cfg.RestartPromiseTTL
	}
	return max(v.promisedUntil-now, 0)
}

// Next returns the next step. disconnected means that the connection to the granter
// was lost since its last renewal.
func (v *Voter) Next(now time.Duration, l Lease, disconnected bool) Step {
	switch {
	case l.Vacant && (l.Reserved && l.Age < v.cfg.SuccessorPatience || v.isolated && l.Age < v.cfg.IsolatedPatience):
		return Wait
	case l.Vacant:
		return Campaign
	case l.GranterEnded && v.isolated && l.Age < v.cfg.IsolatedPatience:
		return Wait
	case l.GranterEnded && !v.stopping:
		// A caretaker may still renew grants, which does not conflict: the new granter
		// moves no keys before PredecessorsUntil.
		return Campaign
	case l.GranterEnded:
		return Wait
	case l.Age > v.cfg.StaleAfter:
		if v.isolated && l.Age < v.cfg.IsolatedPatience {
			return Follow
		}
		if !v.stopping && now >= v.mayCampaignAt() {
			return Campaign
		}
		return Follow
	case disconnected:
		return Wait
	default:
		return Follow
	}
}

// PredecessorsUntil returns until when earlier granters may act, for a VM that takes
// over a lease. A granter hands over only when the last renewal that the store may hold
// is older than StoreTimeout, so a process that ended before that has no caretaker.
func (v *Voter) PredecessorsUntil(now time.Duration, l Lease) time.Duration {
	until := now + l.PredecessorsRemaining
	switch {
	case l.Vacant && l.Age < v.cfg.AbsentTimeout:
		// A caretaker of an earlier term may rely on promises of this VM.
		return max(until, v.promisedUntil, v.startedAt+v.cfg.RestartPromiseTTL)
	case l.Vacant:
		return until
	case l.GranterEnded && l.Age < v.cfg.StoreTimeout:
		return max(until, v.promisedUntil)
	case l.EarlierProcess && l.Age-(l.AskedAt-v.startedAt) < v.cfg.StoreTimeout:
		// It had ended when this process started.
		return max(until, v.promisedUntil)
	case l.Age < v.cfg.StoreTimeout:
		return max(until, now+v.cfg.LeaseTTL-l.Age)
	}
	until = max(until, now, now+v.cfg.LeaseTTL-l.Age, v.promisedUntil, v.startedAt+v.cfg.RestartPromiseTTL)
	if v.stopping {
		until = max(until, now+v.cfg.RestartPromiseTTL)
	}
	return until
}

// peer is a VM that could take over.
type peer struct {
	connected bool
	leftAt    time.Duration // when it was last connected
	// promisedUntil is until when it has promised not to take over.
	promisedUntil time.Duration
}

// Authority is what one granter may do. It is not safe for concurrent use.
type Authority struct {
	cfg        Config
	startedAt  time.Duration
	renewedAt  time.Duration // when the last renewal that the store has answered was sent
	sentAt     time.Duration // not before the time that the last renewal states that the store may hold
	renewUntil time.Duration
	peers      map[api.VMID]*peer
	// missing is the number of VMs that the predecessor knew and that have not
	// connected yet.
	missing   int
	caretaker bool
}

// NewAuthority returns the authority of a granter whose first renewal was sent at
// the given time. vms is the number of VMs that its predecessor knew.
func NewAuthority(cfg Config, sent time.Duration, vms int) *Authority {
	return &Authority{
		cfg: cfg, startedAt: sent, renewedAt: sent, sentAt: sent, renewUntil: sent + cfg.LeaseTTL,
		peers: make(map[api.VMID]*peer), missing: max(vms-1, 0),
	}
}

// Renewing records that a renewal is sent, and an upper bound of the time that it states. Until
// the store has answered, it may hold it or not.
func (a *Authority) Renewing(stated time.Duration) { a.sentAt = stated }

// Renewed records that the store holds a renewal that was sent at the given time.
func (a *Authority) Renewed(sent time.Duration) {
	a.renewedAt, a.renewUntil = sent, sent+a.cfg.LeaseTTL
}

// Joined records that a VM has connected.
func (a *Authority) Joined(vm api.VMID) {
	p := a.peers[vm]
	if p == nil {
		p = &peer{}
		a.peers[vm] = p
		a.missing = max(a.missing-1, 0)
	}
	p.connected = true
}

// Left records that a VM is no longer connected.
func (a *Authority) Left(vm api.VMID, now time.Duration) {
	if p := a.peers[vm]; p != nil {
		p.connected, p.leftAt = false, now
	}
}

// Promised records the promise of a connected VM. It counts from asked, a time on the granter's
// clock at which the VM had not yet given it: its message may have waited for the granter, or on
// the way, for any time.
func (a *Authority) Promised(vm api.VMID, asked, promise time.Duration) {
	if p := a.peers[vm]; p != nil {
		p.promisedUntil = max(p.promisedUntil, asked+promise)
	}
}

// PromisedUndated records the promise of a VM whose message does not say which update it
// answers, as those of earlier versions. It is taken to have been on its way for
// Config.MaxMessageDelay.
func (a *Authority) PromisedUndated(vm api.VMID, received, promise time.Duration) {
	a.Promised(vm, received-a.cfg.MaxMessageDelay, promise)
}

// StoreUnreachable reports whether the granter cannot renew its lease.
func (a *Authority) StoreUnreachable(now time.Duration) bool {
	return a.caretaker || now-a.renewedAt > a.cfg.StoreTimeout
}

// HoldsLease reports whether the lease in the store permits the granter to act.
func (a *Authority) HoldsLease(now time.Duration) bool {
	return !a.caretaker && now < a.renewedAt+a.cfg.LeaseTTL
}

// RenewUntil returns until when the granter may renew existing grants.
func (a *Authority) RenewUntil(now time.Duration) time.Duration {
	if a.StoreUnreachable(now) {
		a.renewUntil = max(a.renewUntil, a.promisedUntil(now))
	}
	return a.renewUntil
}

// SendUntil returns until when the granter may begin to send a grant, so that its last byte leaves
// before RenewUntil.
func (a *Authority) SendUntil(now time.Duration) time.Duration {
	return a.cfg.SendUntil(a.RenewUntil(now))
}

// SendUntil returns until when a grant may be begun that must leave before a time.
func (c Config) SendUntil(renewUntil time.Duration) time.Duration { return renewUntil - c.MaxSendDelay }

// ShouldResign reports whether the granter has been without authority for too long.
func (a *Authority) ShouldResign(now time.Duration) bool {
	return a.StoreUnreachable(now) && now > a.RenewUntil(now)+a.cfg.ResignAfter
}

// promisedUntil returns until when no other VM takes over: the earliest end of their
// promises, 0 if one is missing.
func (a *Authority) promisedUntil(now time.Duration) time.Duration {
	if a.missing > 0 && now-a.startedAt <= a.cfg.AbsentTimeout {
		return 0
	}
	until := now + a.cfg.PromiseTTL
	for _, p := range a.peers {
		if p.connected || now-p.leftAt <= a.cfg.AbsentTimeout {
			until = min(until, p.promisedUntil)
		}
	}
	return until
}

// Promise is the promise of another VM to a granter, as passed to a caretaker.
type Promise struct {
	VM api.VMID `cbor:"1,keyasint"`
	// RemainingMs is how much longer the promise holds, in milliseconds.
	RemainingMs int64 `cbor:"2,keyasint"`
}

// HandOver ends the authority of a granter that stops while the store is
// unreachable. It returns the promises for the caretaker, which must be another VM;
// ok is false if one is missing, or if the lease in the store may be so young that a VM
// which takes it over reckons with no caretaker, see Voter.PredecessorsUntil. The granter's
// process must not take over again.
func (a *Authority) HandOver(now time.Duration, self, caretaker api.VMID) (promises []Promise, ok bool) {
	young := !a.caretaker && now-a.sentAt <= a.cfg.StoreTimeout
	if !a.StoreUnreachable(now) || young || now >= a.RenewUntil(now) || a.promisedUntil(now) <= now {
		return nil, false
	}
	a.renewUntil = now
	for vm, p := range a.peers {
		if vm != caretaker && (p.connected || now-p.leftAt <= a.cfg.AbsentTimeout) {
			promises = append(promises, Promise{VM: vm, RemainingMs: max(p.promisedUntil-now, 0).Milliseconds()})
		}
	}
	return append(promises, Promise{VM: self, RemainingMs: a.cfg.RestartPromiseTTL.Milliseconds()}), true
}

// NewCaretaker returns the authority of a VM to which a granter has handed over. The promises
// count from reported: a time on the caretaker's clock at which it sent a message that the granter
// had received before it handed over. If it is 0, as with granters of earlier versions, the
// promises are taken to have been on their way for Config.MaxMessageDelay.
func NewCaretaker(cfg Config, received, reported time.Duration, promises []Promise) *Authority {
	if reported <= 0 || reported > received {
		reported = received - cfg.MaxMessageDelay
	}
	a := &Authority{cfg: cfg, startedAt: received, renewedAt: received, renewUntil: received, peers: make(map[api.VMID]*peer), caretaker: true}
	for _, p := range promises {
		a.peers[p.VM] = &peer{leftAt: received, promisedUntil: reported + time.Duration(p.RemainingMs)*time.Millisecond}
	}
	return a
}

// Package election decides which VM grants keys, from the granter's lease in the
// store and from what VMs promise a granter that does not reach the store.
//
// A granter may act for Config.LeaseTTL after it sent its last renewal. Without the
// store it may renew what is granted, but move nothing, for as long as every other
// VM that could take over has promised not to. A VM that takes over renews at
// once, and moves keys only when the granter before can no longer act.
//
// A granter that stops while the store is away hands its authority to another VM,
// the caretaker. A VM that stops promises for the next process of that VM too:
// each process therefore counts Config.RestartPromiseTTL from its start as promised.
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
	// StoreTimeout is the age of the last renewal from which a granter counts the store as
	// away. It must be below StaleAfter.
	StoreTimeout time.Duration
	// PromiseTTL is how long a VM that does not reach the store leaves a granter alone.
	PromiseTTL time.Duration
	// RestartPromiseTTL is how long a VM that stops leaves it alone, with the process that
	// follows.
	RestartPromiseTTL time.Duration
	// MaxMessageDelay is taken off a promise for the way of its message.
	MaxMessageDelay time.Duration
	// AbsentTimeout is how long a VM that has left without a promise could still take over.
	AbsentTimeout time.Duration
	// ResignAfter is how long a granter without authority waits for the store.
	ResignAfter time.Duration
}

// DefaultConfig returns the times of section 9.2 of the design page.
func DefaultConfig() Config {
	return Config{
		LeaseTTL: 3 * time.Second, StaleAfter: 1300 * time.Millisecond, StoreTimeout: 1200 * time.Millisecond,
		PromiseTTL: 1200 * time.Millisecond, RestartPromiseTTL: 3 * time.Second, MaxMessageDelay: 200 * time.Millisecond,
		AbsentTimeout: 30 * time.Second, ResignAfter: time.Second,
	}
}

// Lease is the granter's lease as a VM has read it.
type Lease struct {
	// Vacant means that there is none, or that its granter has given it back.
	Vacant bool
	// GranterEnded means that the granter's process is known to have ended.
	GranterEnded bool
	// Age is the time since the last renewal.
	Age time.Duration
	// PredecessorsRemaining is how much longer granters before that one may act.
	PredecessorsRemaining time.Duration
}

// Step is what a VM does next.
type Step int

// The steps.
const (
	// Follow means to connect to the granter.
	Follow Step = iota + 1
	// Campaign means to take over.
	Campaign
	// Wait means to read the lease again after a while.
	Wait
)

// Voter is the part that one process takes in the election. It is not safe for
// concurrent use.
type Voter struct {
	cfg              Config
	started, promise time.Duration
	leaving          bool
}

// NewVoter returns the Voter of a process that has just started.
func NewVoter(cfg Config, now time.Duration) *Voter { return &Voter{cfg: cfg, started: now} }

// StoreUnreachable notes that the store does not answer this VM while a granter asks
// for its promise.
func (v *Voter) StoreUnreachable(now time.Duration) { v.promise = max(v.promise, now+v.cfg.PromiseTTL) }

// Leave notes that this process is about to stop.
func (v *Voter) Leave() { v.leaving = true }

// PromiseRemaining returns for how long neither this process nor the next one of this VM
// moves keys against the will of the granter.
func (v *Voter) PromiseRemaining(now time.Duration) time.Duration {
	if v.leaving {
		return v.cfg.RestartPromiseTTL
	}
	return max(v.promise-now, 0)
}

// Next returns the next step. silent means that the connection to the granter was
// lost since its last renewal.
func (v *Voter) Next(now time.Duration, l Lease, silent bool) Step {
	switch {
	case l.Vacant:
		return Campaign
	case l.GranterEnded && !v.leaving:
		// A caretaker may still renew; a VM that takes over does the same until PredecessorsUntil.
		return Campaign
	case l.GranterEnded:
		return Wait
	case l.Age > v.cfg.StaleAfter:
		if !v.leaving && now >= max(v.promise, v.started+v.cfg.PromiseTTL) {
			return Campaign
		}
		return Follow
	case silent:
		return Wait
	default:
		return Follow
	}
}

// PredecessorsUntil returns until when a granter before this one may act, for a VM that
// takes over a lease. A granter hands over or acts on promises only after it has
// found the store silent, so a process that ended earlier has left nobody behind.
func (v *Voter) PredecessorsUntil(now time.Duration, l Lease) time.Duration {
	until := now + l.PredecessorsRemaining
	switch {
	case l.Vacant, l.GranterEnded && l.Age < v.cfg.StoreTimeout:
		return until
	case l.Age < v.cfg.StoreTimeout:
		return max(until, now+v.cfg.LeaseTTL-l.Age)
	}
	until = max(until, now, now+v.cfg.LeaseTTL-l.Age, v.promise, v.started+v.cfg.RestartPromiseTTL)
	if v.leaving {
		until = max(until, now+v.cfg.RestartPromiseTTL)
	}
	return until
}

// other is a VM that could take over.
type other struct {
	here bool
	gone time.Duration // when it was last connected
	// promise is until when it leaves the granter alone.
	promise time.Duration
}

// Authority is what one granter may do. It is not safe for concurrent use.
type Authority struct {
	cfg     Config
	begun   time.Duration
	renewed time.Duration // when the last renewal that the store holds was sent
	until   time.Duration
	others  map[api.VMID]*other
	// unseen is the number of VMs that the granter before knew and this one has not met.
	unseen    int
	caretaker bool
}

// NewAuthority returns the authority of a granter that has sent its first renewal
// and takes over from one that knew that many VMs.
func NewAuthority(cfg Config, sent time.Duration, vms int) *Authority {
	return &Authority{
		cfg: cfg, begun: sent, renewed: sent, until: sent + cfg.LeaseTTL,
		others: make(map[api.VMID]*other), unseen: max(vms-1, 0),
	}
}

// Renewed notes that the store holds a renewal that was sent at that time.
func (a *Authority) Renewed(sent time.Duration) { a.renewed, a.until = sent, sent+a.cfg.LeaseTTL }

// Joined notes that a VM has connected.
func (a *Authority) Joined(vm api.VMID) {
	o := a.others[vm]
	if o == nil {
		o = &other{}
		a.others[vm] = o
		a.unseen = max(a.unseen-1, 0)
	}
	o.here = true
}

// Left notes that a VM is no longer connected.
func (a *Authority) Left(vm api.VMID, now time.Duration) {
	if o := a.others[vm]; o != nil {
		o.here, o.gone = false, now
	}
}

// Promised notes what a connected VM has promised, in a message received at that time.
func (a *Authority) Promised(vm api.VMID, received, promise time.Duration) {
	if o := a.others[vm]; o != nil {
		o.promise = max(o.promise, received+promise-a.cfg.MaxMessageDelay)
	}
}

// StoreUnreachable reports whether the store does not answer the granter.
func (a *Authority) StoreUnreachable(now time.Duration) bool {
	return a.caretaker || now-a.renewed > a.cfg.StoreTimeout
}

// HoldsLease reports whether the store's lease allows the granter to act.
func (a *Authority) HoldsLease(now time.Duration) bool {
	return !a.caretaker && now < a.renewed+a.cfg.LeaseTTL
}

// RenewUntil returns until when the granter may renew what is granted.
func (a *Authority) RenewUntil(now time.Duration) time.Duration {
	if a.StoreUnreachable(now) {
		a.until = max(a.until, a.promised(now))
	}
	return a.until
}

// ShouldResign reports whether the granter has no prospect of authority.
func (a *Authority) ShouldResign(now time.Duration) bool {
	return a.StoreUnreachable(now) && now > a.RenewUntil(now)+a.cfg.ResignAfter
}

// promised returns until when no other VM takes over: the earliest end of their
// promises, 0 if one is missing.
func (a *Authority) promised(now time.Duration) time.Duration {
	if a.unseen > 0 && now-a.begun <= a.cfg.AbsentTimeout {
		return 0
	}
	until := now + a.cfg.PromiseTTL
	for _, o := range a.others {
		if o.here || now-o.gone <= a.cfg.AbsentTimeout {
			until = min(until, o.promise)
		}
	}
	return until
}

// Promise is what another VM has promised a granter, as a caretaker gets it.
type Promise struct {
	VM api.VMID `cbor:"1,keyasint"`
	// RemainingMs is how long the promise holds from now on, in milliseconds.
	RemainingMs int64 `cbor:"2,keyasint"`
}

// HandOver ends the authority of a granter that stops while the store is away.
// It returns the promises for the caretaker, which must be another VM, and ok is
// false if one is missing. The process of this granter takes over nothing more.
func (a *Authority) HandOver(now time.Duration, self, caretaker api.VMID) (promises []Promise, ok bool) {
	if !a.StoreUnreachable(now) || now >= a.RenewUntil(now) || a.promised(now) <= now {
		return nil, false
	}
	a.until = now
	for vm, o := range a.others {
		if vm != caretaker && (o.here || now-o.gone <= a.cfg.AbsentTimeout) {
			promises = append(promises, Promise{VM: vm, RemainingMs: max(o.promise-now, 0).Milliseconds()})
		}
	}
	return append(promises, Promise{VM: self, RemainingMs: a.cfg.RestartPromiseTTL.Milliseconds()}), true
}

// NewCaretaker returns the authority of a VM to which a granter has handed over.
func NewCaretaker(cfg Config, received time.Duration, promises []Promise) *Authority {
	a := &Authority{cfg: cfg, begun: received, renewed: received, until: received, others: make(map[api.VMID]*other), caretaker: true}
	for _, p := range promises {
		a.others[p.VM] = &other{gone: received, promise: received + time.Duration(p.RemainingMs)*time.Millisecond - cfg.MaxMessageDelay}
	}
	return a
}

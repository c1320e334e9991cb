package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/quota"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/wait"
)

// handoverTimeout bounds a handover by a stopping granter.
const handoverTimeout = 400 * time.Millisecond

// successorWait is how long a granter that stops during a store outage waits for a VM to hand over to,
// if others were connected within rankRetention. They connect again within granterRetry, and promise
// with their first report after the update that asks for it, linkTimeout later at most.
const successorWait = 1500 * time.Millisecond

// handover is what a granter that stops during a store outage sends to the caretaker,
// the VM that continues to renew existing grants.
type handover struct {
	// Lease names the caretaker, with the term of the stopping granter, whose lease is the
	// one in the store.
	Lease lease `cbor:"1,keyasint"`
	// LeaseVersion is the version of the lease row in the store.
	LeaseVersion int64 `cbor:"2,keyasint"`
	// Promises are the promises of the other VMs.
	Promises []election.Promise `cbor:"3,keyasint"`
	// Entries holds the granted spans, by service.
	Entries map[api.ServiceName][]ownership.Entry `cbor:"4,keyasint"`
}

// handedOverError means that this VM is now the caretaker.
type handedOverError struct {
	handover
	received time.Duration // on bootTime
	// reported is when this VM sent the last report that the granter had received, 0 if it is not
	// known.
	reported time.Duration
}

// Error implements error.
func (e *handedOverError) Error() string {
	return "the granter is stopping during a store outage: renew its grants"
}

// stateSnapshot is what a VM needs that has started but cannot reach the store.
type stateSnapshot struct {
	// Operator holds the configuration and the failure domains that are out.
	Operator []fleet.Row `cbor:"1,keyasint"`
	// Upstreams holds the registrations up to version UpstreamsTo.
	Upstreams   []fleet.Row `cbor:"2,keyasint"`
	UpstreamsTo int64       `cbor:"3,keyasint"`
}

// snapshot returns the state of this VM, nil if it has no configuration.
func (g *granter) snapshot() *stateSnapshot {
	v := g.control.view()
	if v.config == nil {
		return nil
	}
	snapshot := &stateSnapshot{Operator: v.operatorRows, UpstreamsTo: g.links.relay.version()}
	for _, u := range v.upstreams {
		if reg := u.registration.Load(); !reg.removed {
			snapshot.Upstreams = append(snapshot.Upstreams, reg.row)
		}
	}
	return snapshot
}

// applySnapshot applies the state of another VM, unless this one has a configuration.
func (c *control) applySnapshot(snapshot *stateSnapshot) {
	c.do(func(s *state) {
		if s.config != nil {
			return
		}
		c.log.Info().Str("event", "learnt_from_granter").Int("upstreams", len(snapshot.Upstreams)).Int64("entries_to", snapshot.UpstreamsTo).Msg("")
		c.applyOperatorRows(s, snapshot.Operator, false)
		for _, row := range snapshot.Upstreams {
			c.applyRegistration(s, row)
		}
	})
}

// handOver makes another VM the caretaker. It reports false if the store answers or there is no
// other VM, successor being nil.
func (g *granter) handOver(successor *member) bool {
	if successor == nil {
		return false
	}
	promises, ok := g.authority.HandOver(bootTime(), g.self, successor.vm)
	if !ok {
		return false
	}
	g.renewUntil.Store(0)
	next := lease{
		VM: successor.vm, Address: successor.address, Term: g.term, Seq: g.lease.Seq + handoverSeqGap,
		RenewedAtMs: g.lease.RenewedAtMs, VMs: g.lease.VMs,
	}
	entries := make(map[api.ServiceName][]ownership.Entry, len(g.machines))
	for name, m := range g.machines {
		entries[name] = m.OwnedEntries()
	}
	g.log.Info().Str("event", "handed_over").Str("peer", string(successor.vm)).Int64("term", g.term).Msg("")
	deadline := time.After(handoverTimeout)
	g.sendLast(successor, update{Rank: g.rankOf(successor.vm), VMs: len(g.ranks), StoreUnreachable: true, AnswersMs: successor.reportedAtMs, Handover: &handover{
		Lease: next, LeaseVersion: g.condition.lease, Promises: promises, Entries: entries,
	}}, deadline)
	for m := range g.members {
		if m != successor {
			g.sendLast(m, update{Rank: g.rankOf(m.vm), VMs: len(g.ranks), StoreUnreachable: true, Lease: &next}, deadline)
		}
	}
	// VMs that connect later are redirected.
	g.links.setGranter(nil)
	g.links.setFollowed(next, nil, true)
	return true
}

// stopTerm hands over or releases the lease, because the process stops. While neither is possible and
// other VMs may connect again, the term goes on until giveUpAt: without a granter no key has an owner
// until the store answers.
func (g *granter) stopTerm(ctx context.Context, giveUpAt time.Duration) {
	now := bootTime()
	switch {
	case g.handOver(g.successor()):
	case now < giveUpAt && g.authority.StoreUnreachable(now) && g.othersKnown(now):
		return
	default:
		g.releaseLease(ctx, "")
	}
	g.termOver = true
}

// othersKnown reports whether another VM is connected or was a short time ago.
func (g *granter) othersKnown(now time.Duration) bool {
	return slices.ContainsFunc(g.ranks, func(r rank) bool {
		return r.vm != "" && r.vm != g.self && (r.connected || now-r.leftAt < rankRetention)
	})
}

// handoverSeqGap is added to the sequence number of a handed-over lease, so that it is
// above those of writes whose results are unknown.
const handoverSeqGap = 1000

// successor returns the VM to hand over to: one that is not leaving, nil if there is none.
func (g *granter) successor() *member {
	return g.lowestRank(func(m *member) bool { return !m.leaving })
}

// lowestRank returns the VM of lowest rank among those that match, nil if there is none. VMs
// that reach upstreams go first.
func (g *granter) lowestRank(match func(m *member) bool) *member {
	matching := slices.DeleteFunc(slices.Collect(maps.Keys(g.members)), func(m *member) bool { return m.address == "" || !match(m) })
	if len(matching) == 0 {
		return nil
	}
	return slices.MinFunc(matching, func(a, b *member) int {
		if a.isolated != b.isolated {
			if b.isolated {
				return -1
			}
			return 1
		}
		return g.rankOf(a.vm) - g.rankOf(b.vm)
	})
}

// sendLast sends a member its last update and waits until it is sent.
func (g *granter) sendLast(m *member, u update, deadline <-chan time.Time) {
	select {
	case <-m.updates:
	default:
	}
	u.sent = make(chan struct{})
	u.Quota = &quota.Update{}
	m.updates <- u
	select {
	case <-u.sent:
	case <-m.ended:
	case <-deadline:
		g.log.Warn().Str("event", "handover_not_sent").Str("peer", string(m.vm)).Msg("")
	}
}

// runCaretaker renews existing grants for a stopped granter until the store answers.
// Then this VM takes over the lease in the store, unless another VM has.
func (e *elector) runCaretaker(ctx context.Context, handed *handedOverError) {
	cfg := election.DefaultConfig()
	authority := election.NewCaretaker(cfg, handed.received, handed.reported, handed.Promises)
	predecessor := ownership.Predecessor{
		Until: handed.received, MaxLeaseTTL: min(e.bounds.ownership().LeaseTTL, e.bounds.MaxLease.AsDuration()), InDoubtUntil: handed.received + cfg.LeaseTTL,
		Late: e.control.wholeCalls.late(),
	}
	e.log.Info().Str("event", "caretaker_started").Int64("term", handed.Lease.Term).Int64("row", handed.LeaseVersion).Msg("")
	g := newGranter(e, handed.Lease, writeCondition{lease: handed.LeaseVersion}, authority, handed.received, predecessor, systemState{owners: handed.Entries})
	g.caretaker = true
	v := e.control.view()
	for name, table := range v.owners {
		if table.Term == g.term {
			// VMs ignore versions that are not above the last one they have seen.
			g.owners[name] = table
		}
	}
	recovered := make(chan systemState, 1)
	serving, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for wait.For(serving, leaseCheckInterval) {
			if state, err := e.control.readSystem(withCallCause(serving, causeCaretaker)); err == nil {
				recovered <- state
				g.do(func() { g.termOver = true })
				return
			}
		}
	}()
	e.runGranter(ctx, g)
	select {
	case state := <-recovered:
		if state.restored() {
			e.continueTerm(ctx, g, state)
			return
		}
		if state.lease.Term == handed.Lease.Term && !state.lease.Released && ctx.Err() == nil {
			// Every VM that acted in this term has handed over to this one.
			g.renewUntil.Store(0)
			ended := g.calls.awaitGrants(ctx)
			now := bootTime()
			until := max(now, handed.received+cfg.MaxSendDelay)
			if !ended {
				until = now + cfg.MaxSendDelay
			}
			e.startTerm(ctx, state, e.afterCaretaker(until, predecessor.MaxLeaseTTL), nil)
		}
	default:
	}
}

// continueTerm takes over from a caretaker of this VM after the store was restored from an
// older copy: the caretaker knows the owners, the copy may not.
func (e *elector) continueTerm(ctx context.Context, caretaker *granter, state systemState) {
	now := bootTime()
	if ctx.Err() != nil || state.lease.newerThan(caretaker.lease) || now >= time.Duration(caretaker.renewUntil.Load()) {
		return
	}
	state.lease.Term, state.lease.VMs = caretaker.term, caretaker.lease.VMs
	state.owners = make(map[api.ServiceName][]ownership.Entry)
	for name, m := range caretaker.machines {
		state.owners[name] = m.OwnedEntries()
	}
	puts, err := make(ownerRows).changes(state.owners)
	if err != nil {
		e.log.Error().Str("event", "owners_not_encoded").Err(err).Msg("")
		return
	}
	// A granter that took over and whose lease was lost with the rows may act until its lease
	// expires.
	until := now + election.DefaultConfig().LeaseTTL
	e.startTerm(ctx, state, e.afterCaretaker(until, caretaker.predecessor.MaxLeaseTTL), puts)
}

// afterCaretaker returns the bounds on earlier granters for a VM that was their caretaker.
func (e *elector) afterCaretaker(until, maxLeaseTTL time.Duration) ownership.Predecessor {
	return ownership.Predecessor{
		Until: until, MaxLeaseTTL: maxLeaseTTL, InDoubtUntil: until + e.bounds.maxHold(maxLeaseTTL), Late: e.control.wholeCalls.late(),
	}
}

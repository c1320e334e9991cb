package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/wait"
)

// handoverTime bounds the time in which a granter that stops hands over.
const handoverTime = 400 * time.Millisecond

// handover is what a granter that stops while the store is away gives to the VM
// that goes on renewing what is granted, the caretaker.
type handover struct {
	// Lease names the caretaker. The store holds the lease of the granter that stops,
	// with the same term.
	Lease lease `cbor:"1,keyasint"`
	// Row is the version of the lease row in the store.
	Row int64 `cbor:"2,keyasint"`
	// Promises are those that the other VMs have given.
	Promises []election.Promise `cbor:"3,keyasint"`
	// Held is what upstreams hold, by service.
	Held map[api.ServiceName][]ownership.Entry `cbor:"4,keyasint"`
}

// errHandedOver means that this VM is the caretaker.
type errHandedOver struct {
	handover
	received time.Duration // on bootTime
}

// Error implements error.
func (e *errHandedOver) Error() string {
	return "the granter stops and the store is away: renew its grants"
}

// knowledge is what a VM needs that has started while it does not reach the store.
type knowledge struct {
	// Operator holds the configuration and the failure domains that are out.
	Operator []fleet.Row `cbor:"1,keyasint"`
	// Upstreams holds the entries of upstreams up to version UpstreamsTo.
	Upstreams   []fleet.Row `cbor:"2,keyasint"`
	UpstreamsTo int64       `cbor:"3,keyasint"`
}

// knowledge returns what this VM knows, nil if it has no configuration.
func (g *granter) knowledge() *knowledge {
	v := g.control.view()
	if v.config == nil {
		return nil
	}
	k := &knowledge{Operator: v.operator, UpstreamsTo: g.links.relay.version()}
	for _, u := range v.upstreams {
		if entry := u.entry.Load(); !entry.gone {
			k.Upstreams = append(k.Upstreams, entry.row)
		}
	}
	return k
}

// learn takes over what another VM knows, unless this one has read the store.
func (c *control) learn(k *knowledge) {
	c.do(func(b *beliefs) {
		if b.config != nil {
			return
		}
		c.log.Info().Str("event", "learnt_from_granter").Int("upstreams", len(k.Upstreams)).Int64("entries_to", k.UpstreamsTo).Msg("")
		c.operate(b, k.Operator, false)
		for _, row := range k.Upstreams {
			c.register(b, row)
		}
	})
}

// handOver makes another VM the caretaker. It reports false if the store answers,
// or no other VM can go on.
func (g *granter) handOver() bool {
	heir := g.heir()
	if heir == nil {
		return false
	}
	promises, ok := g.authority.HandOver(bootTime(), g.self, heir.vm)
	if !ok {
		return false
	}
	g.mayUntil.Store(0)
	next := lease{
		VM: heir.vm, Address: heir.address, Term: g.term, Seq: g.lease.Seq + handoverSeq,
		AtMs: g.lease.AtMs, VMs: g.lease.VMs,
	}
	held := make(map[api.ServiceName][]ownership.Entry, len(g.machines))
	for name, m := range g.machines {
		held[name] = m.Held()
	}
	g.log.Info().Str("event", "handed_over").Str("peer", string(heir.vm)).Int64("term", g.term).Msg("")
	deadline := time.After(handoverTime)
	g.tell(heir, update{Rank: g.rankOf(heir.vm), Of: len(g.ranks), StoreSilent: true, Handover: &handover{
		Lease: next, Row: g.rowAt, Promises: promises, Held: held,
	}}, deadline)
	for m := range g.members {
		if m != heir {
			g.tell(m, update{Rank: g.rankOf(m.vm), Of: len(g.ranks), StoreSilent: true, Lease: &next}, deadline)
		}
	}
	// VMs that come later are sent on.
	g.links.serve(nil)
	g.links.follow(next, nil, true)
	return true
}

// handoverSeq is added to the sequence of a lease that is handed over: it must be
// above that of any write whose answer is missing.
const handoverSeq = 1000

// heir returns the VM to hand over to: the one with the lowest rank that stays.
func (g *granter) heir() *member {
	stay := slices.DeleteFunc(slices.Collect(maps.Keys(g.members)), func(m *member) bool { return m.leaving || m.address == "" })
	if len(stay) == 0 {
		return nil
	}
	return slices.MinFunc(stay, func(a, b *member) int { return g.rankOf(a.vm) - g.rankOf(b.vm) })
}

// tell sends a member its last update and waits until it is sent.
func (g *granter) tell(m *member, u update, deadline <-chan time.Time) {
	select {
	case <-m.updates:
	default:
	}
	u.sent = make(chan struct{})
	m.updates <- u
	select {
	case <-u.sent:
	case <-m.ended:
	case <-deadline:
		g.log.Warn().Str("event", "handover_not_sent").Str("peer", string(m.vm)).Msg("")
	}
}

// caretake goes on for a granter that has stopped, until the store answers. Then
// this VM takes over by the store, if nobody else has.
func (e *elector) caretake(ctx context.Context, h *errHandedOver) {
	cfg := election.DefaultConfig()
	authority := election.NewCaretaker(cfg, h.received, h.Promises)
	before := ownership.Predecessor{
		Until: h.received, MaxLeaseTTL: min(ownership.DefaultConfig(fleet.KeyCount).LeaseTTL, e.bounds.MaxLease.AsDuration()), InDoubtUntil: h.received + cfg.LeaseTTL,
	}
	e.log.Info().Str("event", "caretaker_started").Int64("term", h.Lease.Term).Int64("row", h.Row).Msg("")
	g := newGranter(e, h.Lease, h.Row, authority, h.received, before, ownState{holdings: h.Held})
	g.caretaker = true
	v := e.control.view()
	for name, holds := range v.holdings {
		if holds.Term == g.term {
			// The VMs ignore turns that are not above the last they have heard.
			g.turns[name] = holds
		}
	}
	back := make(chan ownState, 1)
	serving, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for wait.For(serving, checkEvery) {
			if state, err := e.control.readOwn(serving); err == nil {
				back <- state
				g.do(func() { g.deposed = true })
				return
			}
		}
	}()
	e.serve(ctx, g)
	select {
	case state := <-back:
		if state.lease.Term == h.Lease.Term && !state.lease.Released && ctx.Err() == nil {
			// Whoever acted in this term has handed over to this VM.
			now := bootTime()
			e.grantFrom(ctx, state, ownership.Predecessor{Until: now, MaxLeaseTTL: before.MaxLeaseTTL, InDoubtUntil: now + before.MaxLeaseTTL})
		}
	default:
	}
}

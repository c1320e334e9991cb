package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
)

const (
	// granterTick is the time between looks at what is due.
	granterTick = 50 * time.Millisecond
	// loadMemory is the time constant with which observed load is forgotten.
	loadMemory = 6 * time.Second
	// decayEvery is the time between steps of forgetting.
	decayEvery = 500 * time.Millisecond
	// almostWarm is the remaining cold time at which an upstream gets keys.
	almostWarm = 500 * time.Millisecond
	// changesKept is how many changes of owners a VM may be behind before it gets
	// all owners again.
	changesKept = 64
	// publishEvery is the shortest time between two changes of owners.
	publishEvery = 20 * time.Millisecond
	// peerKept is how long the address of a VM that has left is passed on.
	peerKept = 30 * time.Second
	// rankKept is how long a VM that is not connected keeps its rank.
	rankKept = 5 * time.Second
	// paceWeight is the weight of one report in the pace of an upstream.
	paceWeight = 0.15
	// minPace and maxPace bound how much slower or faster than its service an
	// upstream counts.
	minPace, maxPace = 0.15, 1.8
)

// granter decides for one term which upstreams hold which keys.
type granter struct {
	*elector
	term   int64
	lease  lease
	rowAt  int64 // version of the lease row
	before ownership.Predecessor
	stored ownState

	authority *election.Authority
	// mayUntil is until when this VM may order, on bootTime: what authority said last.
	mayUntil atomic.Int64
	// caretaker says that a granter that stopped while the store is away has handed
	// over: this one renews what is granted until the store is back.
	caretaker bool

	events   chan func()
	done     chan struct{}
	machines map[api.ServiceName]*ownership.Machine
	turns    map[api.ServiceName]holdings
	// changes holds the last changes of owners, with the turn before each.
	changes map[api.ServiceName][]holdings
	writes  map[api.ServiceName][]ownership.Entry // to be written
	rows    holdingRows                           // that this granter has written
	members map[*member]bool
	ranks   []rank
	paces   map[api.UpstreamID]float64
	orders  *orders

	writing   bool
	renewedAt time.Duration // when the last successful renewal was sent
	updatedAt time.Duration
	decayedAt time.Duration
	// publishedAt is when owners were last published.
	publishedAt map[api.ServiceName]time.Duration
	joins       int         // changes of members
	silent      atomic.Bool // the store does not answer renewals
	deposed     bool
}

func newGranter(e *elector, l lease, row int64, authority *election.Authority, sent time.Duration, before ownership.Predecessor, stored ownState) *granter {
	g := &granter{
		elector: e, authority: authority, term: l.Term, lease: l, rowAt: row, before: before, stored: stored,
		events: make(chan func(), 256), done: make(chan struct{}),
		machines: make(map[api.ServiceName]*ownership.Machine), turns: make(map[api.ServiceName]holdings), changes: make(map[api.ServiceName][]holdings), publishedAt: make(map[api.ServiceName]time.Duration),
		writes: make(map[api.ServiceName][]ownership.Entry), rows: make(holdingRows), members: make(map[*member]bool),
		paces: make(map[api.UpstreamID]float64), renewedAt: sent,
	}
	g.mayUntil.Store(int64(authority.RenewUntil(sent)))
	g.orders = newOrders(g)
	// Places are kept for the VMs that were there, until they have connected.
	g.ranks = make([]rank, max(l.VMs, 1))
	for i := range g.ranks {
		g.ranks[i].gone = sent
	}
	g.ranks[0] = rank{vm: e.self, here: true}
	return g
}

func (g *granter) mayOrder() bool { return int64(bootTime()) < g.mayUntil.Load() }

// run grants until the term ends or ctx does; then it gives the lease back.
func (g *granter) run(ctx context.Context) {
	defer close(g.done)
	ordersCtx, stopOrders := context.WithCancel(context.WithoutCancel(ctx))
	defer stopOrders()
	g.orders.ctx = ordersCtx
	g.links.serve(g)
	g.links.follow(g.lease, nil, false)
	defer g.links.serve(nil)
	ticker := time.NewTicker(granterTick)
	defer ticker.Stop()
	for !g.deposed {
		select {
		case event := <-g.events:
			event()
		case <-ticker.C:
			g.tick(ordersCtx)
		case <-ctx.Done():
			if !g.handOver() {
				g.release(ordersCtx)
			}
			g.deposed = true
		}
	}
	for m := range g.members {
		m.close()
	}
}

// do runs a change on the granter's goroutine. It reports false if the term is over.
func (g *granter) do(change func()) bool {
	select {
	case g.events <- change:
		return true
	case <-g.done:
		return false
	}
}

func (g *granter) observe(r report) {
	for service, loads := range r.Loads {
		if m := g.machines[service]; m != nil {
			for bucket, load := range loads {
				m.Observe(bucket, load)
			}
		}
	}
	for id, p := range r.Paces {
		if p.Taken <= 0 || p.Usual <= 0 {
			continue
		}
		pace := min(max(p.Usual/p.Taken, minPace), maxPace)
		if old, ok := g.paces[id]; ok {
			pace = old + paceWeight*(pace-old)
		}
		g.paces[id] = pace
	}
}

func (g *granter) tick(ctx context.Context) {
	now := bootTime()
	v := g.control.view()
	if v.config == nil {
		g.renew(ctx, now)
		return
	}
	g.observe(g.stats.take())
	decay := now-g.decayedAt >= decayEvery
	if decay {
		g.decayedAt = now
	}
	mode := g.mode(now)
	upstreams := g.upstreams(v, now)
	for name, service := range v.config.Services {
		if !service.Keyed {
			continue
		}
		m := g.machines[name]
		if m == nil {
			m = ownership.New(ownership.DefaultConfig(fleet.KeyCount), g.term, g.stored.holdings[name], g.before)
			g.machines[name] = m
		}
		m.SetUpstreams(upstreams[name])
		if decay {
			m.Decay(1 - decayEvery.Seconds()/loadMemory.Seconds())
		}
		for _, action := range m.Tick(now, mode) {
			if action.Kind == ownership.Write {
				g.writes[name] = action.Entries
				continue
			}
			g.orders.give(name, action, v.upstreams[action.Owner.UpstreamID], now)
		}
		g.publish(name, m)
	}
	g.renew(ctx, now)
	if now-g.updatedAt >= updateEvery {
		g.update(now)
	}
}

// mode returns what this VM may do now.
func (g *granter) mode(now time.Duration) ownership.Mode {
	if silent := g.authority.StoreUnreachable(now); silent != g.silent.Load() {
		g.silent.Store(silent)
		g.log.Warn().Str("event", "store_silent").Bool("silent", silent).Int64("term", g.term).Dur("renewed_ms", now-g.renewedAt).Msg("")
		g.update(now)
	}
	g.mayUntil.Store(int64(g.authority.RenewUntil(now)))
	if g.authority.ShouldResign(now) {
		g.log.Warn().Str("event", "granter_resigns").Int64("term", g.term).Msg("")
		g.deposed = true
	}
	return ownership.Mode{Renew: g.mayOrder(), Move: g.authority.HoldsLease(now) && now >= g.before.Until}
}

// upstreams returns the possible owners by service.
func (g *granter) upstreams(v *view, now time.Duration) map[api.ServiceName][]ownership.Upstream {
	out := make(map[api.ServiceName][]ownership.Upstream)
	for id, u := range v.upstreams {
		entry := u.entry.Load()
		if entry.gone {
			continue
		}
		pace, ok := g.paces[id]
		if !ok {
			pace = 1
		}
		owner := ownership.Owner{UpstreamID: id, Incarnation: entry.Incarnation}
		may := v.usable(u) && !g.orders.suspect(owner, now)
		out[entry.Service] = append(out[entry.Service], ownership.Upstream{
			Owner:       owner,
			Capacity:    float64(entry.Slots) * pace,
			MayKeepKeys: may, MayGainKeys: may && now > entry.coldUntil-almostWarm,
		})
	}
	return out
}

// publish tells this VM and the others where keys are.
func (g *granter) publish(name api.ServiceName, m *ownership.Machine) {
	now := bootTime()
	if now-g.publishedAt[name] < publishEvery {
		return
	}
	spans, changed := m.SpanOwners()
	if !changed {
		return
	}
	g.publishedAt[name] = now
	former := g.turns[name]
	h := holdings{Term: g.term, Turn: former.Turn + 1, Spans: spans}
	g.turns[name] = h
	if former.Turn > 0 {
		change := holdings{Term: g.term, Turn: h.Turn, Base: former.Turn, Spans: ownership.Diff(former.Spans, spans)}
		kept := g.changes[name]
		g.changes[name] = append(kept[max(0, len(kept)-changesKept+1):], change)
	}
	s := m.Summary()
	g.log.Info().Str("event", "owners_changed").Str("service", string(name)).Int64("term", h.Term).Int64("turn", h.Turn).
		Int("spans", s.Spans).Int("leaving", s.Moving).Int("unowned", s.Unowned).Msg("")
	g.update(now)
}

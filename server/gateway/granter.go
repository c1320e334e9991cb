package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
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
	// silentAfter is the age of the last renewal from which the granter says that
	// the store is silent.
	silentAfter = 1200 * time.Millisecond
	// resignAfter is how long a granter without authority waits for the store.
	resignAfter = 300 * time.Millisecond
	// changesKept is how many changes of owners a VM may be behind before it gets
	// all owners again.
	changesKept = 64
	// publishEvery is the shortest time between two changes of owners.
	publishEvery = 20 * time.Millisecond
	// absenceCounts is how long a VM that has left could still take over unseen.
	absenceCounts = 30 * time.Second
	// rankKept is how long a VM that is not connected keeps its rank.
	rankKept = 5 * time.Second
	// paceWeight is the weight of one report in the pace of an upstream.
	paceWeight = 0.15
	// minPace and maxPace bound how much slower or faster than its service an
	// upstream counts.
	minPace, maxPace = 0.15, 1.8
)

// member is a VM that is connected to the granter.
type member struct {
	vm      api.VMID
	address string
	updates chan update
	close   func()
	sent    map[api.ServiceName]int64 // the turn of the holdings sent last
	peers   int                       // the number of changes of members told last
	rows    int64                     // the version up to which entries were passed on
}

// rank is the place of a VM; gone is when it was last connected.
type rank struct {
	vm      api.VMID
	address string
	gone    time.Duration
	here    bool
	// promise is until when the VM will not take over, on bootTime.
	promise time.Duration
}

// granter decides for one term which upstreams hold which keys.
type granter struct {
	*election
	term   int64
	lease  lease
	rowAt  int64 // version of the lease row
	before ownership.Predecessor
	stored ownState

	// authority is until when this VM may order, on bootTime.
	authority atomic.Int64

	events   chan func()
	done     chan struct{}
	machines map[api.ServiceName]*ownership.Machine
	turns    map[api.ServiceName]holdings
	// changes holds the last changes of owners, with the turn before each.
	changes map[api.ServiceName][]holdings
	writes  map[api.ServiceName][]ownership.Entry // to be written
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

func newGranter(e *election, l lease, row int64, sent time.Duration, before ownership.Predecessor, stored ownState) *granter {
	g := &granter{
		election: e, term: l.Term, lease: l, rowAt: row, before: before, stored: stored,
		events: make(chan func(), 256), done: make(chan struct{}),
		machines: make(map[api.ServiceName]*ownership.Machine), turns: make(map[api.ServiceName]holdings), changes: make(map[api.ServiceName][]holdings), publishedAt: make(map[api.ServiceName]time.Duration),
		writes: make(map[api.ServiceName][]ownership.Entry), members: make(map[*member]bool),
		paces: make(map[api.UpstreamID]float64), renewedAt: sent,
	}
	g.authority.Store(int64(sent + leaseTime))
	g.orders = newOrders(g)
	// Places are kept for the VMs that were there, until they have connected.
	g.ranks = make([]rank, max(l.VMs, 1))
	for i := range g.ranks {
		g.ranks[i].gone = sent
	}
	g.ranks[0] = rank{vm: e.self, here: true}
	return g
}

func (g *granter) mayOrder() bool { return int64(bootTime()) < g.authority.Load() }

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
			g.release(ordersCtx)
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

func (g *granter) join(m *member) bool {
	m.sent = make(map[api.ServiceName]int64)
	return g.do(func() {
		g.members[m] = true
		g.joins++
		g.place(m)
		g.log.Info().Str("event", "vm_joined").Str("peer", string(m.vm)).Int("vms", len(g.ranks)).Msg("")
		g.update(bootTime())
	})
}

// place gives a VM a rank: the one that it had, else a free one.
func (g *granter) place(m *member) {
	free := -1
	for i := range g.ranks {
		if g.ranks[i].vm == m.vm {
			g.ranks[i].here, g.ranks[i].address = true, m.address
			return
		}
		if free < 0 && !g.ranks[i].here && (g.ranks[i].vm == "" || bootTime()-g.ranks[i].gone > rankKept) {
			free = i
		}
	}
	if free < 0 {
		free = len(g.ranks)
		g.ranks = append(g.ranks, rank{})
	}
	g.ranks[free] = rank{vm: m.vm, address: m.address, here: true}
}

func (g *granter) left(m *member, err error) {
	g.do(func() {
		delete(g.members, m)
		for i := range g.ranks {
			if g.ranks[i].vm == m.vm {
				g.ranks[i].here, g.ranks[i].gone = false, bootTime()
			}
		}
		g.log.Info().Str("event", "vm_left").Str("peer", string(m.vm)).Err(err).Msg("")
	})
}

func (g *granter) reported(m *member, r report) {
	received := bootTime()
	g.do(func() {
		if r.PromiseMs > 0 {
			if i := g.rankOf(m.vm); i >= 0 {
				g.ranks[i].promise = received + time.Duration(r.PromiseMs)*time.Millisecond - promiseTravel
			}
		}
		if m.rows == 0 {
			m.rows = r.RowsTo
		}
		g.observe(r)
	})
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
			m = ownership.New(ownership.DefaultConfig(fleet.Keys), g.term, g.stored.holdings[name], g.before)
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
			g.orders.give(name, action, v.upstreams[action.Owner.Upstream], now)
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
	if silent := now-g.renewedAt > silentAfter; silent != g.silent.Load() {
		g.silent.Store(silent)
		g.log.Warn().Str("event", "store_silent").Bool("silent", silent).Int64("term", g.term).Dur("renewed_ms", now-g.renewedAt).Msg("")
		g.update(now)
	}
	leased := now < g.renewedAt+leaseTime
	if g.silent.Load() {
		if until := g.promised(now); int64(until) > g.authority.Load() {
			g.authority.Store(int64(until))
		}
	}
	if g.silent.Load() && int64(now) > g.authority.Load()+int64(resignAfter) {
		g.log.Warn().Str("event", "granter_resigns").Int64("term", g.term).Msg("")
		g.deposed = true
	}
	return ownership.Mode{Renew: g.mayOrder(), Move: leased && now >= g.before.Until}
}

// promised returns until when no other VM will take over: the earliest of their
// promises, 0 if one is missing.
func (g *granter) promised(now time.Duration) time.Duration {
	until := now + promiseTime
	for _, r := range g.ranks {
		if r.vm == g.self || !r.here && now-r.gone > absenceCounts {
			continue
		}
		until = min(until, r.promise)
	}
	return until
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
		may := v.usable(u) && !g.orders.suspect(id, now)
		out[entry.Service] = append(out[entry.Service], ownership.Upstream{
			Owner:    ownership.Owner{Upstream: id, Life: entry.Life},
			Capacity: float64(entry.Slots) * pace,
			May:      may, Takes: may && now > entry.coldUntil-almostWarm,
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
	spans, changed := m.Holdings()
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
		Int("spans", s.Spans).Int("leaving", s.Leaving).Int("unowned", s.Unowned).Msg("")
	g.update(now)
}

// update sends each VM what it does not know yet.
func (g *granter) update(now time.Duration) {
	g.updatedAt = now
	shared := g.links.crashes.snapshot()
	peers, own := []string{g.address}, g.lease
	for _, r := range g.ranks {
		if r.address != "" && (r.here || now-r.gone < absenceCounts) {
			peers = append(peers, r.address)
		}
	}
	g.links.follow(own, peers, false)
	for m := range g.members {
		u := update{Rank: g.rankOf(m.vm), Of: len(g.ranks), StoreSilent: g.silent.Load(), Crashes: shared}
		// An update that was not sent yet is replaced; what it held goes along.
		select {
		case old := <-m.updates:
			u.Holdings, u.Peers, u.Lease = old.Holdings, old.Peers, old.Lease
			if old.RowsTo != 0 {
				// The same rows are read again, with those that came since.
				m.rows = old.RowsFrom
			}
		default:
		}
		if m.rows != 0 {
			u.Rows, u.RowsFrom, u.RowsTo = g.links.relay.since(m.rows)
			m.rows = u.RowsTo
		}
		if m.peers != g.joins {
			m.peers, u.Peers, u.Lease = g.joins, peers, &own
		}
		for name, h := range g.turns {
			if m.sent[name] < h.Turn {
				if u.Holdings == nil {
					u.Holdings = make(map[api.ServiceName]holdings)
				}
				u.Holdings[name], m.sent[name] = g.since(name, base(u.Holdings[name], m.sent[name])), h.Turn
			}
		}
		m.updates <- u
	}
	holds := make(map[api.ServiceName]holdings, len(g.turns))
	for name, h := range g.turns {
		holds[name] = h
	}
	g.control.hold(holds, 0, len(g.ranks))
}

// base returns the turn that a VM has before an update that holds h is sent to it.
func base(h holdings, sent int64) int64 {
	if h.Turn > 0 {
		return h.Base
	}
	return sent
}

// since returns the changes of owners after a turn, or all owners.
func (g *granter) since(name api.ServiceName, turn int64) holdings {
	h := g.turns[name]
	kept := g.changes[name]
	if turn == 0 || len(kept) == 0 || kept[0].Base > turn {
		return h
	}
	out := holdings{Term: h.Term, Turn: h.Turn, Base: turn}
	for _, change := range kept {
		if change.Base >= turn {
			out.Spans = append(out.Spans, change.Spans...)
		}
	}
	return out
}

func (g *granter) rankOf(vm api.VMID) int {
	for i, r := range g.ranks {
		if r.vm == vm {
			return i
		}
	}
	return -1
}

// renew writes what is due: the lease every leaseRenew, owners at once.
func (g *granter) renew(ctx context.Context, now time.Duration) {
	if g.writing || len(g.writes) == 0 && now-g.renewedAt < leaseRenew {
		return
	}
	clock := g.control.view().clock
	next := g.lease
	next.Seq++
	next.AtMs = clock.at(now).Milliseconds()
	next.VMs = len(g.members) + 1
	writes := g.writes
	g.writes = make(map[api.ServiceName][]ownership.Entry)
	g.writing = true
	go g.write(ctx, next, writes)
}

// write repeats a transaction until its result is known.
func (g *granter) write(ctx context.Context, next lease, writes map[api.ServiceName][]ownership.Entry) {
	first := bootTime()
	for {
		sent := bootTime()
		page, err := g.control.commit(ctx, g.rowAt, next, writes)
		if errors.Is(err, fleet.ErrConflict) {
			page, err = g.resolve(page, next)
		}
		if err == nil || errors.Is(err, fleet.ErrConflict) {
			if err == nil && page.Version != 0 && sent != first {
				// Which attempt took effect is not known: authority counts from the first.
				sent = first
			}
			g.do(func() { g.written(next, page, sent, err) })
			return
		}
		g.log.Warn().Str("event", "write_failed").Int64("term", next.Term).Int64("seq", next.Seq).Int("services", len(writes)).Err(err).Msg("")
		if !sleep(ctx, storeRetry/2) {
			return
		}
		select {
		case <-g.done:
			return
		default:
		}
	}
}

// resolve finds out whether the conflict comes from an earlier attempt of the
// same write.
func (g *granter) resolve(page *fleet.Page, next lease) (*fleet.Page, error) {
	for _, row := range page.Rows {
		if row.Table != ownTable || row.Key != leaseKey {
			continue
		}
		if l := decodeLease(row, 0); l.VM == next.VM && l.Incarnation == next.Incarnation && l.Term == next.Term && l.Seq == next.Seq {
			return &fleet.Page{Version: row.Version}, nil
		}
	}
	return nil, fleet.ErrConflict
}

func (g *granter) written(next lease, page *fleet.Page, sent time.Duration, err error) {
	g.writing = false
	if err != nil {
		g.log.Warn().Str("event", "granter_replaced").Int64("term", g.term).Msg("")
		g.authority.Store(0)
		g.deposed = true
		return
	}
	g.lease, g.rowAt, g.renewedAt = next, page.Version, sent
	g.authority.Store(int64(sent + leaseTime))
	if page.NowS > 0 {
		g.control.readClock(sent, bootTime(), page)
	}
	for _, m := range g.machines {
		m.Written()
	}
	for name, m := range g.machines {
		g.publish(name, m)
	}
}

// release gives the lease back, so that a successor need not wait.
func (g *granter) release(ctx context.Context) {
	g.authority.Store(0)
	next := g.lease
	next.Seq += 2
	next.Released = true
	now := bootTime()
	for _, m := range g.machines {
		next.LateMs = max(next.LateMs, (m.LateUntil(now) - now).Milliseconds())
	}
	if _, err := g.control.commit(ctx, g.rowAt, next, nil); err != nil {
		g.log.Warn().Str("event", "lease_not_released").Int64("term", g.term).Err(err).Msg("")
	}
}

// orders carries orders to upstreams: grants of one upstream one after the
// other, so that they share a connection.
type orders struct {
	g   *granter
	ctx context.Context
	log zerolog.Logger

	mu    sync.Mutex
	lines map[api.UpstreamID]*line
}

// line is the orders to one upstream.
type line struct {
	queue   []func()
	running int
	// unsentSince is since when no order has reached the upstream.
	unsentSince time.Duration
	suspectTill time.Duration
}

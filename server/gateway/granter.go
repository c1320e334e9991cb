package gateway

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownerhealth"
	"dandelionhill.dev/core/ownership"
)

const (
	// granterTick is the interval at which the granter's machines and renewals run.
	granterTick = 50 * time.Millisecond
	// loadDecayTime is the time constant of the exponential decay of observed load.
	loadDecayTime = 6 * time.Second
	// decayInterval is the time between decay steps.
	decayInterval = 500 * time.Millisecond
	// maxColdRemaining is the remaining cold time below which an upstream gets keys.
	maxColdRemaining = 500 * time.Millisecond
	// maxOwnerChanges is the number of owner changes that are kept to send a VM; one
	// that is further behind gets the whole table.
	maxOwnerChanges = 64
	// publishInterval is the shortest time between two versions of the owner table.
	publishInterval = 20 * time.Millisecond
	// peerRetention is how long the address of a disconnected VM is sent to the others.
	peerRetention = 30 * time.Second
	// rankRetention is how long a disconnected VM keeps its rank.
	rankRetention = 5 * time.Second
)

// granter assigns keys to upstreams for one term.
type granter struct {
	*elector
	term      int64
	lease     lease
	condition writeCondition // of the next write
	// rewrite means that the lease is to be written at once.
	rewrite     bool
	predecessor ownership.Predecessor
	initial     systemState
	startedAt   time.Duration // when the term began

	authority *election.Authority
	// renewUntil is until when grants of this VM may leave, on bootTime, as last computed by
	// authority.
	renewUntil atomic.Int64
	// caretaker means that the previous granter stopped during a store outage and handed
	// over: this one renews existing grants until the store is back.
	caretaker bool

	tasks    chan func()
	done     chan struct{}
	machines map[api.ServiceName]*ownership.Machine
	owners   map[api.ServiceName]ownerTable
	// ownerChanges holds the last changes of each owner table, oldest first.
	ownerChanges  map[api.ServiceName][]ownerTable
	pendingWrites map[api.ServiceName][]ownership.Entry // not yet written
	storedRows    ownerRows                             // written by this granter
	members       map[*member]bool
	ranks         []rank
	speeds        ownerhealth.Speeds
	// health measures the owners of keys, nil unless Overload.OwnerHealth is set; healthAt is when
	// it was last asked.
	health   *ownerhealth.Monitor
	healthAt time.Duration
	// restUntil is until when an upstream wants no requests from some VM.
	restUntil  map[ownership.Owner]time.Duration
	calls      *callQueues
	allocator  *permitAllocator
	ownPermits *permitClient // of this VM
	quotas     *quotaIssuer
	contention *contentionGranter

	// quarantines are those of the row in the store, as far as known; crashesWrittenAt is
	// when the row was last written.
	quarantines      quarantines
	crashesWrittenAt time.Duration

	writing       bool
	renewedAt     time.Duration // when the last successful renewal was sent
	updatesSentAt time.Duration
	decayedAt     time.Duration
	// publishedAt is when each owner table was last published.
	publishedAt      map[api.ServiceName]time.Duration
	isolation        isolation
	joinCount        int         // connections of VMs in this term
	storeUnreachable atomic.Bool // no renewal was confirmed in time
	termOver         bool
}

func newGranter(e *elector, l lease, condition writeCondition, authority *election.Authority, sent time.Duration, predecessor ownership.Predecessor, stored systemState) *granter {
	g := &granter{
		elector: e, authority: authority, term: l.Term, lease: l, condition: condition, predecessor: predecessor, initial: stored,
		tasks: make(chan func(), 256), done: make(chan struct{}),
		machines: make(map[api.ServiceName]*ownership.Machine), owners: make(map[api.ServiceName]ownerTable), ownerChanges: make(map[api.ServiceName][]ownerTable), publishedAt: make(map[api.ServiceName]time.Duration),
		pendingWrites: make(map[api.ServiceName][]ownership.Entry), storedRows: make(ownerRows), members: make(map[*member]bool),
		speeds: make(ownerhealth.Speeds), restUntil: make(map[ownership.Owner]time.Duration), renewedAt: sent, startedAt: sent,
		allocator: newPermitAllocator(e.control.limits), ownPermits: newPermitClient(),
	}
	g.renewUntil.Store(int64(authority.RenewUntil(sent)))
	g.quarantines = quarantinesOf(stored.crashes)
	g.calls = newCallQueues(g)
	if e.control.overload.OwnerHealth {
		g.health = ownerhealth.NewMonitor()
	}
	g.contention = newContentionGranter(e.log)
	g.quotas = newQuotaIssuer(e.bounds.quotaRule(), bootTime(), predecessor.Until, l.VMs, e.self, l.Term)
	g.inheritQuotas(stored.lease.Quotas)
	// There is a rank for each VM that the previous granter knew, to be taken when it
	// connects.
	g.ranks = make([]rank, max(l.VMs, 1))
	for i := range g.ranks {
		g.ranks[i].leftAt = sent
	}
	g.ranks[0] = rank{vm: e.self, connected: true}
	return g
}

// mayRenew reports whether this VM may begin to send a grant.
func (g *granter) mayRenew() bool {
	return bootTime() < election.DefaultConfig().SendUntil(time.Duration(g.renewUntil.Load()))
}

// run assigns and renews until the term ends or ctx does; then it releases the lease.
func (g *granter) run(ctx context.Context) {
	defer close(g.done)
	callsCtx, stopCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCalls()
	g.calls.ctx = callsCtx
	g.links.setGranter(g)
	g.links.setFollowed(g.lease, nil, false)
	g.control.limits.connected()
	g.control.quotas.connected()
	defer g.links.setGranter(nil)
	guard := guard{g.metrics, g.log}
	ticker := time.NewTicker(granterTick)
	defer ticker.Stop()
	stopping := ctx.Done()
	var giveUpAt time.Duration // while the process stops
	for !g.termOver {
		select {
		case task := <-g.tasks:
			guard.run("granter_task", task)
		case <-ticker.C:
			guard.run("granter_tick", func() { g.tick(callsCtx) })
		case <-stopping:
			stopping, giveUpAt = nil, bootTime()+successorWait
		}
		if stopping == nil && !g.termOver {
			g.stopTerm(callsCtx, giveUpAt)
		}
	}
	stopCalls()
	for m := range g.members {
		m.close()
	}
	g.control.ownerHealth.Store(nil)
	g.exportHealth(nil)
}

// do runs task on the granter's goroutine. It reports false if the term is over.
func (g *granter) do(task func()) bool {
	select {
	case g.tasks <- task:
		return true
	case <-g.done:
		return false
	}
}

// observeRests records the upstreams that a VM reports as wanting no requests.
func (g *granter) observeRests(rests []upstreamRest, received time.Duration) {
	for _, rest := range rests {
		until := received + min(time.Duration(rest.RemainingMs)*time.Millisecond, maxRest)
		g.restUntil[rest.Upstream] = max(g.restUntil[rest.Upstream], until)
	}
	maps.DeleteFunc(g.restUntil, func(_ ownership.Owner, until time.Duration) bool { return until <= received })
}

func (g *granter) observe(r report) {
	for service, loads := range r.Loads {
		if m := g.machines[service]; m != nil {
			for bucket, load := range loads {
				if isPositive(load) {
					m.Observe(bucket, load)
				}
			}
		}
	}
	for id, sample := range r.Latencies {
		g.speeds.Observe(id, sample.Expected, sample.Observed)
	}
}

// isPositive reports whether a value from another process is a finite number above 0.
func isPositive(value float64) bool { return value > 0 && !math.IsInf(value, 1) }

func (g *granter) tick(ctx context.Context) {
	now := bootTime()
	v := g.control.view()
	if v.config == nil {
		g.renew(ctx, now)
		return
	}
	own := g.stats.takeReport()
	g.observe(own)
	g.observeHealth(g.self, own, now)
	g.stepHealth(v, now)
	g.observeRests(v.rests(), now)
	decay := now-g.decayedAt >= decayInterval
	if decay {
		g.decayedAt = now
	}
	if g.resignIfIsolated(ctx, now) || g.yieldToLarger(ctx, now) {
		return
	}
	mode := g.mode(now)
	upstreams := g.upstreams(v, now)
	for name, service := range v.config.Services {
		if !service.Keyed {
			continue
		}
		m := g.machines[name]
		if m == nil {
			m = ownership.New(g.ownershipConfig(), g.term, g.initial.owners[name], g.predecessor)
			g.machines[name] = m
		}
		m.SetUpstreams(upstreams[name])
		if decay {
			m.Decay(1 - decayInterval.Seconds()/loadDecayTime.Seconds())
		}
		for _, action := range m.Tick(now, mode) {
			if action.Kind == ownership.Write {
				g.pendingWrites[name] = action.Entries
				continue
			}
			g.calls.enqueue(name, action, v.upstreams[action.Owner.UpstreamID], now)
		}
		g.publish(name, m)
	}
	g.issuePermits(now, v)
	g.issueQuotas(now)
	g.tickContention(now)
	g.renew(ctx, now)
	if now-g.updatesSentAt >= updateInterval {
		g.sendUpdates(now)
	}
}

// issuePermits issues permits for requests to upstreams that state a limit, and sends them.
func (g *granter) issuePermits(now time.Duration, v *view) {
	var own report
	own.Limits, own.Demands = g.control.limits.report()
	g.allocator.handleReport(v, g.ownPermits, own, now)
	clients, members := []*permitClient{g.ownPermits}, slices.Collect(maps.Keys(g.members))
	for _, m := range members {
		clients = append(clients, m.permits)
	}
	delay := max(g.predecessor.Until-now, 0)
	if !g.mayRenew() {
		delay = max(delay, linkTimeout)
	}
	g.allocator.issue(now, delay, clients)
	g.control.limits.receive(v, g.ownPermits.takeGrants(), true)
	members = slices.DeleteFunc(members, func(m *member) bool { return !m.permits.hasPermits() })
	if len(members) == 0 {
		return
	}
	news := g.news(g.peers(now))
	for _, m := range members {
		g.sendUpdate(now, m, news)
	}
}

// mode returns what the authority of this VM allows now.
func (g *granter) mode(now time.Duration) ownership.Mode {
	if unreachable := g.authority.StoreUnreachable(now); unreachable != g.storeUnreachable.Load() {
		g.storeUnreachable.Store(unreachable)
		g.log.Warn().Str("event", "store_silent").Bool("silent", unreachable).Int64("term", g.term).Dur("renewed_ms", now-g.renewedAt).Msg("")
		g.sendUpdates(now)
	}
	g.renewUntil.Store(int64(g.authority.RenewUntil(now)))
	if g.authority.ShouldResign(now) {
		g.log.Warn().Str("event", "granter_resigns").Int64("term", g.term).Msg("")
		g.termOver = true
	}
	// A key that is released can have another owner only once the store answers.
	silent := g.storeUnreachable.Load()
	g.control.movesPaused.Store(silent)
	return ownership.Mode{Renew: g.mayRenew(), Move: g.authority.HoldsLease(now) && now >= g.predecessor.Until, Keep: silent || g.isolation.undecided(now)}
}

// upstreams returns the upstreams that may own keys, by service.
func (g *granter) upstreams(v *view, now time.Duration) map[api.ServiceName][]ownership.Upstream {
	out := make(map[api.ServiceName][]ownership.Upstream)
	for id, u := range v.upstreams {
		reg := u.registration.Load()
		if reg.removed {
			continue
		}
		owner := ownership.Owner{UpstreamID: id, Incarnation: reg.Incarnation}
		usable := v.usable(u) && !u.isLeaving() && !g.calls.suspect(owner, now)
		capacity, healthy := g.ownerCapacity(v, u, now)
		usable = usable && healthy
		if rate := u.limiter.rate(); rate > 0 {
			capacity = min(capacity, rate*g.stats.averageLatency(reg.Service))
		}
		rest := g.restUntil[owner] - now
		if rest > 0 {
			capacity *= restingCapacity
		}
		out[reg.Service] = append(out[reg.Service], ownership.Upstream{
			Owner:       owner,
			Capacity:    capacity,
			MayKeepKeys: usable, MayGainKeys: usable && now > u.coldUntil()-maxColdRemaining && rest <= maxOwnerWait,
			Resting: rest > maxOwnerWait,
		})
	}
	return out
}

// publish sends this VM and the others a changed owner table.
func (g *granter) publish(name api.ServiceName, m *ownership.Machine) {
	now := bootTime()
	if now-g.publishedAt[name] < publishInterval {
		return
	}
	spans, changed := m.SpanOwners()
	if !changed {
		return
	}
	g.publishedAt[name] = now
	previous := g.owners[name]
	table := ownerTable{Term: g.term, Version: previous.Version + 1, Spans: spans}
	g.owners[name] = table
	if previous.Version > 0 {
		change := ownerTable{Term: g.term, Version: table.Version, BaseVersion: previous.Version, Spans: ownership.Diff(previous.Spans, spans)}
		kept := g.ownerChanges[name]
		g.ownerChanges[name] = append(kept[max(0, len(kept)-maxOwnerChanges+1):], change)
	}
	s := m.Summary()
	g.log.Info().Str("event", "owners_changed").Str("service", string(name)).Int64("term", table.Term).Int64("turn", table.Version).
		Int("spans", s.Spans).Int("leaving", s.Moving).Int("unowned", s.Unowned).Int("hot", s.Hot).Msg("")
	g.sendUpdates(now)
}

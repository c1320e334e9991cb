package gateway

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ratelimit"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
)

const (
	// returnGrace is how long after a store outage entries may still be missing of
	// upstreams that live: they register again within two seconds.
	returnGrace = 2200 * time.Millisecond
	// keepGone is how long a removed upstream is kept for calls under way.
	keepGone = 15 * time.Second
	// placesAtUpstream is how many requests of all VMs may be at an upstream: those
	// that run, and some that wait there.
	placesAtUpstream = 24
	// connectionShare is the part of an upstream's connections that is used: the
	// rest is for orders and for VMs that are not counted yet.
	connectionShare = 0.85
	// assumedVMs is the number of VMs until a granter has told it.
	assumedVMs = 16
	// sweepEvery is the time between searches for idle connections to close.
	sweepEvery = time.Second
)

// control owns what the VM believes. All changes run on its goroutine.
type control struct {
	log     zerolog.Logger
	metrics *Metrics
	store   *fleet.Store
	current atomic.Pointer[view]
	changes chan func(*beliefs)
}

// beliefs is the state of the control goroutine.
type beliefs struct {
	view
	// operatorRow holds the rows of operators that are in force, by key.
	operatorRow map[string]fleet.Row
	rowVersions map[api.UpstreamID]int64
	goneAt      map[api.UpstreamID]time.Time
	// missing holds removals that may be undone, with the time at which they count.
	missing map[api.UpstreamID]time.Time
	// storeBackAt is when the store last answered after a failure.
	storeBackAt time.Time
	dirty       bool
}

func newControl(store *fleet.Store, m *Metrics, log zerolog.Logger) *control {
	c := &control{log: log, metrics: m, store: store, changes: make(chan func(*beliefs), 256)}
	c.current.Store(&view{rank: -1, of: assumedVMs, superseded: make(chan struct{})})
	return c
}

func (c *control) view() *view { return c.current.Load() }

// do runs a change on the control goroutine.
func (c *control) do(change func(*beliefs)) { c.changes <- change }

// run applies changes until ctx ends.
func (c *control) run(ctx context.Context) {
	b := &beliefs{
		view: view{
			upstreams: make(map[api.UpstreamID]*upstream), out: make(map[api.FailureDomain]bool),
			holdings: make(map[api.ServiceName]holdings), rank: -1, of: assumedVMs,
		},
		operatorRow: make(map[string]fleet.Row),
		rowVersions: make(map[api.UpstreamID]int64), goneAt: make(map[api.UpstreamID]time.Time),
		missing: make(map[api.UpstreamID]time.Time),
	}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case change := <-c.changes:
			change(b)
			for drained := false; !drained; {
				select {
				case change := <-c.changes:
					change(b)
				default:
					drained = true
				}
			}
		case now := <-sweep.C:
			for _, u := range b.upstreams {
				u.pool.CloseExpired(now)
			}
		case <-ctx.Done():
			return
		}
		c.settleMissing(b)
		if b.dirty {
			c.publish(b)
		}
	}
}

func (c *control) settleMissing(b *beliefs) {
	now := time.Now()
	for id, at := range b.missing {
		if now.After(at) {
			delete(b.missing, id)
			c.remove(b, id)
		}
	}
	for id, at := range b.goneAt {
		if now.Sub(at) > keepGone {
			b.upstreams[id].pool.Close()
			delete(b.upstreams, id)
			delete(b.goneAt, id)
			b.dirty = true
		}
	}
}

func (c *control) publish(b *beliefs) {
	b.dirty = false
	next := b.view
	next.upstreams = make(map[api.UpstreamID]*upstream, len(b.upstreams))
	next.services = make(map[api.ServiceName][]*upstream)
	for id, u := range b.upstreams {
		next.upstreams[id] = u
		entry := u.entry.Load()
		if !entry.gone {
			next.services[entry.Service] = append(next.services[entry.Service], u)
		}
		u.limit.Store(int32(c.places(b, entry)))
	}
	next.out = maps.Clone(b.out)
	next.holdings = maps.Clone(b.holdings)
	next.operator = slices.Collect(maps.Values(b.operatorRow))
	next.superseded = make(chan struct{})
	former := c.current.Swap(&next)
	close(former.superseded)
}

// places returns how many requests of this VM may be at an upstream:
// its part of the slots and of the requests that may wait there.
func (c *control) places(b *beliefs, entry *registration) int {
	places := ratelimit.Share(placesAtUpstream, b.of)
	if b.config == nil || b.config.Services[entry.Service] == nil {
		return places
	}
	connections := b.config.Services[entry.Service].MaxConnections
	return min(places, ratelimit.Share(float64(connections)*connectionShare, b.of))
}

// storeAnswered notes the result of a call of the store.
func (c *control) storeAnswered(ok bool) {
	c.do(func(b *beliefs) {
		if ok && b.storeDown {
			b.storeBackAt = time.Now()
			c.log.Info().Str("event", "store_regained").Msg("")
		}
		if !ok && !b.storeDown {
			c.log.Warn().Str("event", "store_lost").Msg("")
		}
		b.dirty = b.dirty || b.storeDown == ok
		b.storeDown = !ok
	})
}

// operatorRows applies rows that operators wrote.
func (c *control) operatorRows(rows []fleet.Row, full bool) {
	c.do(func(b *beliefs) { c.operate(b, rows, full) })
}

func (c *control) operate(b *beliefs, rows []fleet.Row, full bool) {
	if full {
		for domain := range b.out {
			delete(b.operatorRow, fleet.EvacuationKey(domain))
		}
		b.out = make(map[api.FailureDomain]bool)
		b.dirty = true
	}
	for _, row := range rows {
		if domain, ok := fleet.EvacuatedDomain(row.Key); ok {
			if row.Deleted {
				delete(b.out, domain)
				delete(b.operatorRow, row.Key)
			} else {
				b.out[domain] = true
				b.operatorRow[row.Key] = row
			}
			b.dirty = true
			c.log.Info().Str("event", "failure_domain").Str("domain", string(domain)).Bool("out", !row.Deleted).Int64("row", row.Version).Msg("")
		}
		if row.Key == fleet.KeyConfiguration && !row.Deleted {
			c.configure(b, row)
		}
	}
}

func (c *control) configure(b *beliefs, row fleet.Row) {
	cfg, err := fleet.DecodeConfiguration(row.Value)
	if err != nil {
		c.log.Error().Str("event", "configuration_refused").Int64("row", row.Version).Err(err).Msg("")
		return
	}
	if b.config != nil && cfg.Version <= b.config.Version {
		return
	}
	b.config, b.since, b.dirty = cfg, time.Now(), true
	b.operatorRow[row.Key] = row
	c.metrics.config.Set(float64(cfg.Version))
	c.log.Info().Str("event", "configuration").Int64("version", cfg.Version).Int64("row", row.Version).
		Int("routes", len(cfg.Routes)).Int("services", len(cfg.Services)).Msg("")
}

// upstreamRows applies entries of upstreams.
func (c *control) upstreamRows(rows []fleet.Row, full bool) {
	c.do(func(b *beliefs) {
		listed := make(map[api.UpstreamID]bool)
		for _, row := range rows {
			id := api.UpstreamID(row.Key)
			if row.Deleted {
				c.miss(b, id)
				continue
			}
			listed[id] = true
			c.register(b, row)
		}
		if full {
			for id := range b.upstreams {
				if !listed[id] {
					c.miss(b, id)
				}
			}
		}
	})
}

func (c *control) register(b *beliefs, row fleet.Row) {
	entry, err := fleet.DecodeUpstream(row)
	if err != nil {
		c.log.Warn().Str("event", "entry_refused").Str("upstream", row.Key).Int64("row", row.Version).Err(err).Msg("")
		c.miss(b, api.UpstreamID(row.Key))
		return
	}
	id := entry.ID
	delete(b.missing, id)
	if b.rowVersions[id] >= row.Version && b.goneAt[id].IsZero() {
		return
	}
	b.rowVersions[id] = row.Version
	reg := &registration{Upstream: entry, row: row, coldUntil: bootTime() + time.Duration(entry.ColdRemainingMs)*time.Millisecond}
	u := b.upstreams[id]
	event := c.log.Info().Str("event", "upstream").Str("upstream", string(id)).Str("service", string(entry.Service)).
		Str("domain", string(entry.Domain)).Bool("draining", entry.Draining).Int64("cold_ms", entry.ColdRemainingMs).
		Int64("life", entry.Incarnation).Int64("row", row.Version)
	if u == nil || !sameProcess(u.entry.Load().Upstream, entry) {
		if u != nil {
			u.pool.Close()
		}
		b.upstreams[id] = newUpstream(reg)
	} else {
		u.entry.Store(reg)
	}
	delete(b.goneAt, id)
	b.dirty = true
	event.Msg("")
}

func sameProcess(a, b routing.Upstream) bool {
	return a.Address == b.Address && a.Incarnation == b.Incarnation && a.Service == b.Service
}

// miss notes that the entry of an upstream is no longer there. Around the
// return of the store that says nothing yet.
func (c *control) miss(b *beliefs, id api.UpstreamID) {
	if b.upstreams[id] == nil || !b.goneAt[id].IsZero() {
		return
	}
	if wait := time.Until(b.storeBackAt.Add(returnGrace)); wait > 0 {
		if _, waiting := b.missing[id]; !waiting {
			b.missing[id] = time.Now().Add(wait)
			c.log.Info().Str("event", "upstream_missing").Str("upstream", string(id)).Dur("counts_in_ms", wait).Msg("")
			time.AfterFunc(wait+time.Millisecond, func() { c.do(func(*beliefs) {}) })
		}
		return
	}
	c.remove(b, id)
}

func (c *control) remove(b *beliefs, id api.UpstreamID) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	reg := *u.entry.Load()
	reg.gone = true
	u.entry.Store(&reg)
	b.goneAt[id] = time.Now()
	b.dirty = true
	c.log.Info().Str("event", "upstream_gone").Str("upstream", string(id)).Msg("")
}

// hold takes over where keys are, from a granter.
func (c *control) hold(updates map[api.ServiceName]holdings, rank, of int) {
	c.do(func(b *beliefs) {
		for service, h := range updates {
			if next, ok := b.holdings[service].after(h); ok {
				b.holdings[service] = next
				b.dirty = true
			}
		}
		if rank != b.rank || of != b.of {
			b.rank, b.of, b.dirty = rank, of, true
		}
	})
}

// readClock notes a reading of the store's clock.
func (c *control) readClock(sent, received time.Duration, page *fleet.Page) {
	c.do(func(b *beliefs) {
		before := b.clock
		b.clock.observe(sent, received, page.Clock())
		b.dirty = b.dirty || b.clock != before
	})
}

package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/quota"
	"dandelionhill.dev/core/ratelimit"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

const (
	// removedRetention is how long a removed upstream is kept for requests in flight.
	removedRetention = 15 * time.Second
	// upstreamConcurrency is the number of requests of all VMs that may be at an upstream,
	// running or queued there.
	upstreamConcurrency = 24
	// connectionShare is the share of an upstream's connections that is used; the rest is
	// for grant and release calls and for VMs that are not counted yet.
	connectionShare = 0.85
	// initialVMs is the number of VMs that is assumed until a granter reports it.
	initialVMs = 16
	// rankTTL is how long a rank is valid after an update from the granter. It ends before the
	// granter, which may have sent the update earlier, gives the rank to another VM.
	rankTTL = rankRetention - 2*linkTimeout
	// idleCheckInterval is the interval between checks for expired idle connections.
	idleCheckInterval = time.Second
)

// control owns the state of the VM. All changes run on its goroutine.
type control struct {
	log       zerolog.Logger
	metrics   *Metrics
	store     *fleet.Store
	current   atomic.Pointer[view]
	changes   chan func(*state)
	rankUntil atomic.Int64 // see view.rankUntil
	// responseLimits bounds the responses of upstreams.
	responseLimits upstreamconn.Limits
	// overload holds the switches of the handling of overload; shares is nil without
	// Overload.Fair.
	overload Overload
	shares   map[api.ServiceName]*fairShares
	// hasWorkspaces means that the configuration has workspaces.
	hasWorkspaces atomic.Bool
	// operatorFeed monitors the feed of the operators' rows, upstreamFeed that of the
	// registrations.
	operatorFeed, upstreamFeed *feedMonitor
	// watching means that this VM is the granter, on whose word the other VMs rely.
	watching atomic.Bool
	// era is the newest era of the store that was seen, see fleet.Page.
	era     atomic.Int64
	outage  *outageMonitor
	limits  *statedLimits
	quotas  *quotas
	leaving *leavingUpstreams
	cold    *coldUpstreams
	// contentions is what this VM knows of upstreams that get more than they can run.
	contentions *contentions
	// wholeCalls holds the upstreams that ignore Expect: 100-continue.
	wholeCalls *wholeCalls
	// ownerHealth holds the owners of keys with a reduced capacity while this VM is the granter.
	ownerHealth atomic.Pointer[[]OwnerHealth]
	// movesPaused means that keys cannot move at present: the granter does not reach the store.
	movesPaused atomic.Bool
	// reach watches the connections to upstreams; dialUpstream opens them, nil stands for
	// upstreamconn.Dial.
	reach        *reach
	dialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
}

// state is the state of the control goroutine, from which views are published.
type state struct {
	view
	// operatorRowByKey holds the rows of operators in force.
	operatorRowByKey map[string]fleet.Row
	rowVersions      map[api.UpstreamID]int64
	removedAt        map[api.UpstreamID]time.Time
	// pendingRemovals holds removals that are not certain yet, with the time at which they
	// take effect, unless an outage of the store has ended earlier than was known.
	pendingRemovals map[api.UpstreamID]time.Time
	dirty           bool
	restore         restoreState
}

func newControl(store *fleet.Store, m *Metrics, log zerolog.Logger) *control {
	c := &control{
		log: log, metrics: m, store: store, changes: make(chan func(*state), 256), limits: newStatedLimits(log), quotas: newQuotas(quota.DefaultRule, m, log), leaving: newLeavingUpstreams(m, log), cold: newColdUpstreams(m, log), wholeCalls: newWholeCalls(m, log),
		outage: newOutageMonitor(), operatorFeed: newFeedMonitor(), upstreamFeed: newFeedMonitor(),
	}
	c.reach, c.contentions = newReach(c.view, m, log), newContentions(m)
	for table, feed := range c.feeds() {
		m.exportTableAge(table, feed.age)
	}
	c.current.Store(&view{rank: -1, vms: initialVMs, rankUntil: &c.rankUntil, superseded: make(chan struct{})})
	return c
}

func (c *control) view() *view { return c.current.Load() }

// do runs a change on the control goroutine.
func (c *control) do(change func(*state)) { c.changes <- change }

// run applies changes until ctx ends.
func (c *control) run(ctx context.Context) {
	s := &state{
		view: view{
			upstreams: make(map[api.UpstreamID]*upstream), domainsOut: make(map[api.FailureDomain]bool),
			owners: make(map[api.ServiceName]ownerTable), rank: -1, vms: initialVMs, rankUntil: &c.rankUntil,
		},
		operatorRowByKey: make(map[string]fleet.Row),
		rowVersions:      make(map[api.UpstreamID]int64), removedAt: make(map[api.UpstreamID]time.Time),
		pendingRemovals: make(map[api.UpstreamID]time.Time), restore: newRestoreState(),
	}
	guard := guard{c.metrics, c.log}
	apply := func(change func(*state)) { guard.run("control", func() { change(s) }) }
	sweep := time.NewTicker(idleCheckInterval)
	defer sweep.Stop()
	for {
		select {
		case change := <-c.changes:
			apply(change)
			for drained := false; !drained; {
				select {
				case change := <-c.changes:
					apply(change)
				default:
					drained = true
				}
			}
		case now := <-sweep.C:
			for _, u := range s.upstreams {
				u.pool.CloseExpired(now)
			}
			c.logStaleTables()
		case <-ctx.Done():
			return
		}
		c.expireRemovals(s)
		if s.dirty {
			c.publish(s)
		}
	}
}

// logStaleTables logs when what this VM knows of a table becomes stale or current.
func (c *control) logStaleTables() {
	for table, feed := range c.feeds() {
		if age, stale, changed := feed.becameStale(); changed {
			c.log.Warn().Str("event", "table_stale").Str("table", table).Bool("stale", stale).Dur("age_ms", age).Int64("newest", feed.newestChange()).Msg("")
		}
	}
}

// feeds returns the monitors of the tables that every VM follows.
func (c *control) feeds() map[string]*feedMonitor {
	return map[string]*feedMonitor{fleet.TableOperator: c.operatorFeed, fleet.TableUpstreams: c.upstreamFeed}
}

func (c *control) expireRemovals(s *state) {
	now := time.Now()
	c.expireHeld(s, now)
	for id, at := range s.pendingRemovals {
		if now.After(at) || c.outage.removalWait() == 0 {
			delete(s.pendingRemovals, id)
			c.remove(s, id)
		}
	}
	for id, at := range s.removedAt {
		if now.Sub(at) > removedRetention {
			s.upstreams[id].pool.Close()
			c.limits.forget(s.upstreams[id])
			delete(s.upstreams, id)
			delete(s.removedAt, id)
			s.dirty = true
		}
	}
}

func (c *control) publish(s *state) {
	s.dirty = false
	c.hasWorkspaces.Store(s.config != nil && s.config.HasWorkspaces())
	next := s.view
	next.upstreams = make(map[api.UpstreamID]*upstream, len(s.upstreams))
	next.services = make(map[api.ServiceName][]*upstream)
	for id, u := range s.upstreams {
		next.upstreams[id] = u
		reg := u.registration.Load()
		if !reg.removed {
			next.services[reg.Service] = append(next.services[reg.Service], u)
		}
		u.limit.Store(int32(c.concurrencyLimit(s, reg)))
		if c.overload.Backpressure {
			u.senders.Store(int32(s.vms))
		}
	}
	next.domainsOut = maps.Clone(s.domainsOut)
	next.owners = maps.Clone(s.owners)
	next.operatorRows = slices.Collect(maps.Values(s.operatorRowByKey))
	next.superseded = make(chan struct{})
	c.quotas.configure(next.config)
	for _, u := range next.upstreams {
		if next.usable(u) {
			u.limiter.setUsable(true)
		}
	}
	previous := c.current.Swap(&next)
	close(previous.superseded)
	c.withdrawWaiting(previous, &next)
}

// withdrawWaiting lets the requests that wait for upstreams which a new view has made unusable go
// elsewhere at once. They choose by that view, which is in force.
func (c *control) withdrawWaiting(previous, next *view) {
	for id, u := range previous.upstreams {
		if next.upstreams[id] == u && next.usable(u) {
			continue
		}
		if n := u.limiter.setUsable(false); n > 0 {
			c.log.Info().Str("event", "waiting_withdrawn").Str("upstream", string(id)).Int("requests", n).Msg("")
		}
	}
}

// concurrencyLimit returns how many requests of this VM may be at an upstream: its
// share of the upstream's concurrency and connections.
func (c *control) concurrencyLimit(s *state, reg *registration) int {
	limit := ratelimit.Share(upstreamConcurrency, s.vms)
	if s.config == nil || s.config.Services[reg.Service] == nil {
		return limit
	}
	connections := s.config.Services[reg.Service].MaxConnections
	return min(limit, ratelimit.Share(float64(connections)*connectionShare, s.vms))
}

// setStoreAvailable records whether the store answers this VM.
func (c *control) setStoreAvailable(available bool) {
	c.do(func(s *state) {
		c.outage.answers(available)
		if available && s.storeUnavailable {
			c.log.Info().Str("event", "store_regained").Msg("")
		}
		if !available && !s.storeUnavailable {
			c.log.Warn().Str("event", "store_lost").Msg("")
		}
		s.dirty = s.dirty || s.storeUnavailable == available
		s.storeUnavailable = !available
	})
}

// setWatching records whether this VM is the granter, on whose word the other VMs rely.
func (c *control) setWatching(watching bool) {
	c.watching.Store(watching)
	c.operatorFeed.unwatch()
	c.upstreamFeed.unwatch()
}

// observeEra records the era of a response of the store; page is nil if there was none. In a
// new era the feeds read their tables again.
func (c *control) observeEra(page *fleet.Page) {
	if page == nil {
		return
	}
	previous := c.era.Load()
	if page.Era <= previous || !c.era.CompareAndSwap(previous, page.Era) {
		return
	}
	if previous > 0 {
		c.log.Warn().Str("event", "store_restored").Int64("era", page.Era).Int64("row", page.Version).Msg("")
	}
	c.operatorFeed.reported(page.EraStart())
	c.upstreamFeed.reported(page.EraStart())
}

// submitOperatorRows applies rows written by operators. full means that the page holds the
// whole table.
func (c *control) submitOperatorRows(page *fleet.Page, full bool) {
	c.do(func(s *state) {
		outBefore := s.domainsOut
		c.applyOperatorRows(s, page.Rows, full)
		if full && s.restore.operatorsRead(page.Era) {
			c.holdDomains(s, outBefore)
		}
	})
}

func (c *control) applyOperatorRows(s *state, rows []fleet.Row, full bool) {
	if full {
		for domain := range s.domainsOut {
			delete(s.operatorRowByKey, fleet.EvacuationKey(domain))
		}
		s.domainsOut = make(map[api.FailureDomain]bool)
		s.dirty = true
	}
	for _, row := range rows {
		if domain, ok := fleet.EvacuatedDomain(row.Key); ok {
			delete(s.restore.domains, domain)
			if row.Deleted {
				delete(s.domainsOut, domain)
				delete(s.operatorRowByKey, row.Key)
			} else {
				s.domainsOut[domain] = true
				s.operatorRowByKey[row.Key] = row
			}
			s.dirty = true
			c.log.Info().Str("event", "failure_domain").Str("domain", string(domain)).Bool("out", !row.Deleted).Int64("row", row.Version).Msg("")
		}
		if row.Key == fleet.KeyConfiguration && !row.Deleted {
			c.applyConfiguration(s, row)
		}
	}
}

// decodeConfiguration decodes and validates a configuration. kept is what is kept for VMs that
// start while the store is away: it holds no keys.
func decodeConfiguration(value []byte) (cfg *routing.Configuration, kept []byte, err error) {
	if cfg, err = fleet.DecodeConfiguration(value); err != nil {
		return nil, nil, err
	}
	if err = cfg.Validate(); err != nil {
		return nil, nil, err
	}
	kept, err = fleet.WithoutKeys(value)
	return cfg, kept, err
}

func (c *control) applyConfiguration(s *state, row fleet.Row) {
	cfg, kept, err := decodeConfiguration(row.Value)
	if err != nil {
		c.metrics.rejectedConfigurations.Inc()
		c.log.Error().Str("event", "configuration_refused").Int64("row", row.Version).Err(err).Msg("")
		return
	}
	if s.config != nil && cfg.Version <= s.config.Version {
		return
	}
	cfg.InheritVersions(s.config)
	s.config, s.configSince, s.dirty = cfg, time.Now(), true
	row.Value = kept
	s.operatorRowByKey[row.Key] = row
	c.metrics.config.Set(float64(cfg.Version))
	c.log.Info().Str("event", "configuration").Int64("version", cfg.Version).Int64("row", row.Version).
		Int("routes", len(cfg.Routes)).Int("services", len(cfg.Services)).Int("workspaces", len(cfg.Workspaces)).Msg("")
}

// submitUpstreamRows applies registrations of upstreams. full means that the page holds
// the whole table.
func (c *control) submitUpstreamRows(page *fleet.Page, full bool) {
	c.do(func(s *state) {
		restored := full && s.restore.upstreamsRead(page.Era)
		if restored {
			c.outage.restored()
		}
		listed := make(map[api.UpstreamID]bool)
		for _, row := range page.Rows {
			id := api.UpstreamID(row.Key)
			if row.Deleted {
				c.handleMissing(s, id, row.Version)
				continue
			}
			listed[id] = true
			if restored && c.holdRegistration(s, row) {
				continue
			}
			c.applyRegistration(s, row)
		}
		if full {
			for id := range s.upstreams {
				if !listed[id] {
					c.handleMissing(s, id, page.Version)
				}
			}
		}
	})
}

func (c *control) applyRegistration(s *state, row fleet.Row) {
	decoded, err := fleet.DecodeUpstream(row)
	if err != nil {
		c.log.Warn().Str("event", "entry_refused").Str("upstream", row.Key).Int64("row", row.Version).Err(err).Msg("")
		c.handleMissing(s, api.UpstreamID(row.Key), row.Version)
		return
	}
	id := decoded.ID
	if s.rowVersions[id] >= row.Version {
		// Another source has already provided this row, or a later change of it.
		if s.rowVersions[id] > row.Version {
			c.log.Info().Str("event", "entry_outdated").Str("upstream", row.Key).Int64("row", row.Version).
				Int64("known", s.rowVersions[id]).Msg("")
		}
		return
	}
	s.rowVersions[id] = row.Version
	delete(s.pendingRemovals, id)
	delete(s.restore.rows, id)
	reg := &registration{Upstream: decoded, row: row, readAt: bootTime(), coldUntil: bootTime() + time.Duration(decoded.ColdRemainingMs)*time.Millisecond}
	u := s.upstreams[id]
	if u != nil {
		last := u.registration.Load()
		if row.Version <= s.restore.copiedTo {
			reg.keepRestrictions(last)
			decoded = reg.Upstream
		}
		if s.removedAt[id].IsZero() && decoded.Continues(last.Upstream, bootTime()-last.readAt) {
			return
		}
	}
	event := c.log.Info().Str("event", "upstream").Str("upstream", string(id)).Str("service", string(decoded.Service)).
		Str("domain", string(decoded.Domain)).Bool("draining", decoded.Draining).Int64("cold_ms", decoded.ColdRemainingMs).
		Int64("life", decoded.Incarnation).Int64("row", row.Version)
	if u == nil || !sameProcess(u.registration.Load().Upstream, decoded) {
		if u != nil {
			u.pool.Close()
			c.limits.forget(u)
		}
		s.upstreams[id] = newUpstream(reg, c.responseLimits, c.network(), func() { c.limits.reportNow() })
		s.upstreams[id].limiter.shares = c.sharesOf(decoded.Service)
		s.upstreams[id].limiter.refuseLate = c.overload.RefuseLate
		if created := s.upstreams[id]; c.overload.Contention {
			created.limiter.onFull = func() { c.contentions.upstreamFull(created) }
		}
		s.upstreams[id].leavingSince.Store(int64(c.leaving.since(s.upstreams[id].owner())))
		s.upstreams[id].calls.whole.Store(c.wholeCalls.contains(s.upstreams[id].owner()))
		s.upstreams[id].coldAtLeastUntil(c.cold.until(s.upstreams[id].owner()))
	} else {
		u.registration.Store(reg)
	}
	delete(s.removedAt, id)
	s.dirty = true
	event.Msg("")
}

// network returns how this VM connects to upstreams.
func (c *control) network() upstreamconn.Network {
	return upstreamconn.Network{Dial: c.dialUpstream, Watcher: c.reach}
}

func sameProcess(a, b routing.Upstream) bool {
	return a.Address == b.Address && a.Incarnation == b.Incarnation && a.Service == b.Service
}

// handleMissing handles the removal of an upstream's registration, seen at a version of the
// store. Soon after an outage of the store the removal is delayed, since the upstream may register
// again.
func (c *control) handleMissing(s *state, id api.UpstreamID, version int64) {
	if version < s.rowVersions[id] {
		return // it has registered again since
	}
	s.rowVersions[id] = version
	delete(s.restore.rows, id)
	if s.upstreams[id] == nil || !s.removedAt[id].IsZero() {
		return
	}
	if wait := c.outage.removalWait(); wait > 0 {
		if _, waiting := s.pendingRemovals[id]; !waiting {
			s.pendingRemovals[id] = time.Now().Add(wait)
			c.log.Info().Str("event", "upstream_missing").Str("upstream", string(id)).Dur("counts_in_ms", wait).Msg("")
			time.AfterFunc(wait+time.Millisecond, func() { c.do(func(*state) {}) })
		}
		return
	}
	c.remove(s, id)
}

func (c *control) remove(s *state, id api.UpstreamID) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	reg := *u.registration.Load()
	reg.removed = true
	u.registration.Store(&reg)
	s.removedAt[id] = time.Now()
	s.dirty = true
	c.log.Info().Str("event", "upstream_gone").Str("upstream", string(id)).Msg("")
}

// confirmRank records that the granter has confirmed the rank of this VM.
func (c *control) confirmRank() { c.rankUntil.Store(int64(bootTime() + rankTTL)) }

// submitOwners applies owner tables, the rank and the number of VMs.
func (c *control) submitOwners(updates map[api.ServiceName]ownerTable, rank, vms int) {
	c.do(func(s *state) {
		for service, table := range updates {
			if next, ok := s.owners[service].apply(table); ok {
				s.owners[service] = next
				s.dirty = true
			}
		}
		if rank != s.rank || vms != s.vms {
			s.rank, s.vms, s.dirty = rank, vms, true
		}
	})
}

// submitClock applies a reading of the store's clock.
func (c *control) submitClock(sent, received time.Duration, page *fleet.Page) {
	c.do(func(s *state) {
		before := s.clock
		s.clock.observe(sent, received, page.Clock())
		s.dirty = s.dirty || s.clock != before
	})
}

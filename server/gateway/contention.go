package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/core/admission"
	"dandelionhill.dev/core/ownership"
)

// maxContentionUpdates bounds the upstreams in one report or update.
const maxContentionUpdates = 64

// minContentionUpdate is the shortest time between an update to all VMs and one that asks them for
// their demand: on a busy day many upstreams are full for a moment.
const minContentionUpdate = 100 * time.Millisecond

// contentionReport is what a VM knows of an upstream that is watched, or that it found full.
type contentionReport struct {
	Upstream ownership.Owner `cbor:"1,keyasint"`
	// Demand is in requests per second, DepartureMs the time between two requests that leave the
	// upstream; 0 without a response since the last report.
	Demand      float64 `cbor:"2,keyasint"`
	DepartureMs float64 `cbor:"3,keyasint,omitempty"`
	// Full means that the upstream was full since the last report.
	Full bool `cbor:"4,keyasint,omitempty"`
}

// contentionUpdate says that an upstream is watched: the VMs report their demand for it.
type contentionUpdate struct {
	Upstream ownership.Owner `cbor:"1,keyasint"`
	// IntervalMs is the interval that each VM keeps between its requests, 0 for none.
	IntervalMs int64 `cbor:"2,keyasint,omitempty"`
}

// contentions is what a VM knows of contention for upstreams. It does nothing unless
// Overload.Contention and Overload.Backpressure are set.
type contentions struct {
	metrics *Metrics
	// reportNow is called when an upstream was full.
	reportNow func()

	mu sync.Mutex
	// full holds the upstreams that were full since the last report, watched those of the granter.
	full, watched map[*upstream]bool
}

func newContentions(m *Metrics) *contentions {
	return &contentions{metrics: m, reportNow: func() {}, full: make(map[*upstream]bool), watched: make(map[*upstream]bool)}
}

// upstreamFull records that an upstream was full.
func (c *contentions) upstreamFull(u *upstream) {
	c.mu.Lock()
	known := c.full[u] || c.watched[u] || len(c.full) >= maxContentionUpdates
	if len(c.full) < maxContentionUpdates {
		c.full[u] = true
	}
	c.mu.Unlock()
	if !known {
		c.reportNow()
	}
}

// hasNews reports whether an upstream that is not watched was full since the last report.
func (c *contentions) hasNews() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for u := range c.full {
		if !c.watched[u] {
			return true
		}
	}
	return false
}

// report returns what the granter is to know.
func (c *contentions) report() (out []contentionReport) {
	c.mu.Lock()
	upstreams := maps.Clone(c.watched)
	maps.Copy(upstreams, c.full)
	clear(c.full)
	c.mu.Unlock()
	for u := range upstreams {
		r := u.limiter.contention()
		out = append(out, contentionReport{
			Upstream: u.owner(), Demand: r.Demand, DepartureMs: float64(r.Departure) / float64(time.Millisecond), Full: r.Full,
		})
	}
	return out
}

// receive applies the updates of the granter, which name all upstreams that are watched. It reports
// whether some were not watched before, on which the VM is to report at once.
func (c *contentions) receive(v *view, updates []contentionUpdate) (added bool) {
	watched, paced := make(map[*upstream]bool), 0
	for _, n := range updates[:min(len(updates), maxContentionUpdates)] {
		u := v.incarnation(n.Upstream)
		if u == nil {
			continue
		}
		watched[u] = true
		if n.IntervalMs > 0 {
			paced++
		}
		u.limiter.setInterval(time.Duration(min(max(n.IntervalMs, 0), admission.MaxInterval.Milliseconds())) * time.Millisecond)
	}
	c.mu.Lock()
	before := c.watched
	c.watched = watched
	c.mu.Unlock()
	c.metrics.contended.Set(float64(paced))
	for u := range before {
		if !watched[u] {
			u.limiter.setInterval(0)
		}
	}
	for u := range watched {
		added = added || !before[u]
	}
	return added
}

// contention returns what the granter is to know of the upstream.
func (l *limiter) contention() admission.ContentionReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Contention(time.Since(l.start))
}

// setInterval makes the VM keep an interval between requests to the upstream; 0 ends it.
func (l *limiter) setInterval(interval time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.SetInterval(now.Sub(l.start), interval)
	l.dispatch(now)
}

// tellFull calls onFull if the upstream has been full since the last report; l.mu is held.
func (l *limiter) tellFull() {
	if l.onFull != nil && l.queue.Full() {
		l.onFull()
	}
}

// contentionGranter is the part of a granter that tells the VMs of contention.
type contentionGranter struct {
	log   zerolog.Logger
	table *admission.Contentions[ownership.Owner]
	// ownAt is when the report of the granter's own VM was applied.
	ownAt time.Duration
	// added means that an upstream was added to those that are watched since the last update.
	added bool
	// intervals holds the upstreams that are watched, and the intervals.
	intervals map[ownership.Owner]time.Duration
}

func newContentionGranter(log zerolog.Logger) *contentionGranter {
	return &contentionGranter{log: log, table: admission.NewContentions[ownership.Owner]()}
}

// handleContention applies the report of a VM.
func (g *granter) handleContention(now time.Duration, vm *member, reports []contentionReport) {
	id := g.self
	if vm != nil {
		id = vm.vm
	}
	if !g.control.overload.Contention {
		return
	}
	added := false
	for _, r := range reports[:min(len(reports), maxContentionUpdates)] {
		departure := time.Duration(0)
		if isPositive(r.DepartureMs) && r.DepartureMs < time.Minute.Seconds()*1000 {
			departure = time.Duration(r.DepartureMs * float64(time.Millisecond))
		}
		if r.Demand != 0 && !isPositive(r.Demand) || g.control.view().incarnation(r.Upstream) == nil {
			continue
		}
		added = g.contention.table.Report(now, id, r.Upstream, admission.ContentionReport{Demand: r.Demand, Departure: departure, Full: r.Full}) || added
	}
	g.contention.added = g.contention.added || added
}

// updateContention computes the intervals. It reports whether the VMs are to be told at once.
func (g *granter) updateContention(now time.Duration) (changed bool) {
	if !g.control.overload.Contention {
		return false
	}
	c := g.contention
	before := c.intervals
	c.intervals, changed = c.table.Intervals(now, len(g.ranks))
	for upstream, interval := range c.intervals {
		if contended := interval > 0; contended != (before[upstream] > 0) {
			c.log.Info().Str("event", "upstream_contended").Str("upstream", string(upstream.UpstreamID)).Bool("contended", contended).
				Dur("interval_ms", interval).Int("vms", len(g.ranks)).Msg("")
		}
	}
	return changed
}

// tickContention applies the report of this VM, and tells all VMs of new contention.
func (g *granter) tickContention(now time.Duration) {
	own := g.control.contentions
	if now-g.contention.ownAt >= reportInterval || own.hasNews() {
		g.contention.ownAt = now
		g.handleContention(now, nil, own.report())
	}
	if changed := g.updateContention(now); changed || g.contention.added && now-g.updatesSentAt >= minContentionUpdate {
		g.contention.added = false
		g.sendUpdates(now)
	}
}

// contentionUpdate returns the updates for all VMs.
func (g *granter) contentionUpdate() (updates []contentionUpdate) {
	for upstream, interval := range g.contention.intervals {
		updates = append(updates, contentionUpdate{upstream, interval.Milliseconds()})
	}
	return updates
}

package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

const (
	// healthInterval is the interval between health checks of an upstream while the store does not
	// say whether it is cold. Its traffic in that time must fit in what a cold upstream bears
	// beyond its rate, see platform.md.
	healthInterval = 250 * time.Millisecond
	// healthTimeout bounds a health check.
	healthTimeout = time.Second
	// healthAfter is the age of the registrations from which upstreams are checked, if nothing else
	// says that the store is down.
	healthAfter = 1500 * time.Millisecond
	// maxColdKnown bounds the upstreams that a VM remembers as cold by their own word.
	maxColdKnown = 10000
	// maxColdSent bounds those in one message.
	maxColdSent = 256
	// coldNewsTolerance is the difference in the end of the cold time from which it is news.
	coldNewsTolerance = 250 * time.Millisecond
)

// coldNews says that an upstream has stated itself to be cold.
type coldNews struct {
	Upstream ownership.Owner `cbor:"1,keyasint"`
	// LeftMs is how much longer, in milliseconds when the message was made.
	LeftMs int64 `cbor:"2,keyasint"`
}

// coldUpstreams holds the processes of upstreams that have said in a response that they are cold,
// beside what their registrations say: the store may be down.
type coldUpstreams struct {
	metrics *Metrics
	log     zerolog.Logger
	// changed is called when there is news from an upstream.
	changed func()

	mu      sync.Mutex
	lastSeq int
	byOwner map[ownership.Owner]coldTime
}

// coldTime is until when an upstream is cold, on bootTime. seq orders the news.
type coldTime struct {
	until time.Duration
	seq   int
}

func newColdUpstreams(m *Metrics, log zerolog.Logger) *coldUpstreams {
	return &coldUpstreams{metrics: m, log: log, changed: func() {}, byOwner: make(map[ownership.Owner]coldTime)}
}

// observe records that a response of an upstream states for how much longer it is cold.
func (c *coldUpstreams) observe(u *upstream, left time.Duration, source string) {
	if left <= 0 {
		return
	}
	if c.add(u.owner(), bootTime()+left, source) {
		c.changed()
	}
	u.coldAtLeastUntil(c.until(u.owner()))
}

// add records until when an upstream is cold. It reports whether that is news.
func (c *coldUpstreams) add(owner ownership.Owner, until time.Duration, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.byOwner[owner]
	if until <= known.until+coldNewsTolerance || !ok && len(c.byOwner) >= maxColdKnown && !c.expire() {
		return false
	}
	c.lastSeq++
	c.byOwner[owner] = coldTime{until, c.lastSeq}
	c.metrics.cold.WithLabelValues(source).Inc()
	c.log.Info().Str("event", "upstream_cold").Str("upstream", string(owner.UpstreamID)).Int64("life", owner.Incarnation).
		Int64("cold_ms", (until-bootTime()).Milliseconds()).Str("source", source).Msg("")
	return true
}

// expire forgets upstreams that are warm. It reports whether there were any; c.mu is held.
func (c *coldUpstreams) expire() bool {
	now, before := bootTime(), len(c.byOwner)
	for owner, t := range c.byOwner {
		if t.until <= now {
			delete(c.byOwner, owner)
		}
	}
	return len(c.byOwner) < before
}

// merge records what another VM knows. It reports whether there was news.
func (c *coldUpstreams) merge(v *view, news []coldNews, source string) (changed bool) {
	now := bootTime()
	for _, n := range news {
		left := time.Duration(min(max(n.LeftMs, 0), routing.MaxColdTime.Milliseconds())) * time.Millisecond
		if left == 0 {
			continue
		}
		changed = c.add(n.Upstream, now+left, source) || changed
		if u := v.incarnation(n.Upstream); u != nil {
			u.coldAtLeastUntil(c.until(n.Upstream))
		}
	}
	return changed
}

// until returns until when an upstream is cold by its own word, 0 if it has not said so.
func (c *coldUpstreams) until(owner ownership.Owner) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byOwner[owner].until
}

// news returns what was added after a sequence number, at most maxColdSent, and the number up to
// which it is complete.
func (c *coldUpstreams) news(after int) (news []coldNews, to int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after == c.lastSeq {
		return nil, after
	}
	now := bootTime()
	var owners []ownership.Owner
	for owner, t := range c.byOwner {
		if t.seq > after && t.until > now {
			owners = append(owners, owner)
		}
	}
	slices.SortFunc(owners, func(a, b ownership.Owner) int { return c.byOwner[a].seq - c.byOwner[b].seq })
	to = c.lastSeq
	if len(owners) > maxColdSent {
		owners = owners[:maxColdSent]
		to = c.byOwner[owners[maxColdSent-1]].seq
	}
	for _, owner := range owners {
		news = append(news, coldNews{Upstream: owner, LeftMs: (c.byOwner[owner].until - now).Milliseconds() + 1})
	}
	return news, to
}

// coldAtLeastUntil records until when the upstream is cold by its own word.
func (u *upstream) coldAtLeastUntil(until time.Duration) {
	for {
		known := u.statedCold.Load()
		if int64(until) <= known || u.statedCold.CompareAndSwap(known, int64(until)) {
			return
		}
	}
}

// coldUntil returns when the upstream is warm, on bootTime: by its registration and its own word.
func (u *upstream) coldUntil() time.Duration {
	return max(u.registration.Load().coldUntil, time.Duration(u.statedCold.Load()))
}

// storeSaysCold reports whether the store tells this VM in time of upstreams that become cold.
func (c *control) storeSaysCold() bool {
	age, ok := c.upstreamFeed.age()
	return !c.movesPaused.Load() && ok && age < healthAfter
}

// checkHealth asks upstreams whether they are cold, until ctx ends. It does so only while the store
// does not say: a check has a cost, and waits behind the requests at the upstream.
func (c *control) checkHealth(ctx context.Context) {
	guard := guard{c.metrics, c.log}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if c.storeSaysCold() {
			continue
		}
		now := bootTime()
		for _, u := range c.view().healthTargets(now) {
			if !u.checking.CompareAndSwap(false, true) {
				continue
			}
			go guard.run("health", func() {
				defer u.checking.Store(false)
				c.checkUpstreamHealth(ctx, u)
			})
		}
	}
}

// healthTargets returns the upstreams that this VM asks whether they are cold. Of the VMs that have
// a rank one asks each upstream; a VM without one asks those to which it sends requests.
func (v *view) healthTargets(now time.Duration) (targets []*upstream) {
	if v.config == nil {
		return nil
	}
	ranked := v.hasRank(now) && v.vms > 0
	for name, upstreams := range v.services {
		service := v.config.Services[name]
		if service == nil || service.HealthPath == "" || service.ColdRate <= 0 {
			continue
		}
		for _, u := range upstreams {
			used := u.usedAt.Load() > 0 && now-time.Duration(u.usedAt.Load()) < healthTimeout
			mine := ranked && int(slotOffset(u.id)%uint32(v.vms)) == v.rank || !ranked && used
			if mine && v.usable(u) && now >= u.coldUntil() {
				targets = append(targets, u)
			}
		}
	}
	return targets
}

// checkUpstreamHealth asks an upstream whether it is cold.
func (c *control) checkUpstreamHealth(ctx context.Context, u *upstream) {
	service := c.view().config.Services[u.registration.Load().Service]
	if service == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	resp, err := u.pool.Do(ctx, &upstreamconn.Request{
		// The response carries no ID: on a connection of its own a late copy meets nothing else.
		OwnConn: true, CheckNewConn: true, Method: http.MethodGet, Target: service.HealthPath,
		Header: http.Header{fleet.HeaderExpectedUpstream: {string(u.id)}},
	})
	if err != nil {
		c.metrics.healthChecks.WithLabelValues("failed").Inc()
		return
	}
	c.metrics.healthChecks.WithLabelValues("answered").Inc()
	if headers := fleet.ParseResponseHeaders(resp.Status, resp.Header); !headers.Misdirected {
		c.cold.observe(u, headers.Cold, "health")
	}
}

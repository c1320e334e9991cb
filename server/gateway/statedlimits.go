package gateway

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/ratelimit"
)

// confirmInterval is the age of a limit at which a VM with a permit sends the upstream a
// request, even if others would answer earlier, to learn whether it still states the limit.
const confirmInterval = time.Second

// limitNews is what a VM tells another of the limit that an upstream states.
type limitNews struct {
	Upstream ownership.Owner `cbor:"1,keyasint"`
	// Rate is the limit in requests per second for all VMs together, 0 if it has ended.
	Rate float64 `cbor:"2,keyasint"`
	// AgeMs is the age of ratelimit.StatedLimit.At, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint"`
}

// permitDemand is how many permits a VM wants for requests to an upstream.
type permitDemand struct {
	Upstream ownership.Owner `cbor:"1,keyasint"`
	// Waiting is the number of requests that wait for a permit. Spare means that the next
	// request needs one.
	Waiting int  `cbor:"2,keyasint"`
	Spare   bool `cbor:"3,keyasint,omitempty"`
	// Received is the number of permits received on this connection.
	Received int `cbor:"4,keyasint"`
}

// permitGrant holds permits for requests to an upstream.
type permitGrant struct {
	Upstream ownership.Owner `cbor:"1,keyasint"`
	Permits  int             `cbor:"2,keyasint"`
	// Backlog is the number of permits that all VMs together wait for.
	Backlog float64 `cbor:"3,keyasint"`
}

// statedLimits holds the limits that upstreams state in their responses, as known to this
// VM. Requests to these upstreams need permits, which the granter issues.
type statedLimits struct {
	log zerolog.Logger
	// issuerUntil is until when this VM counts on the granter to issue permits, in nanoseconds
	// of bootTime.
	issuerUntil atomic.Int64
	// reportNow requests a report to the granter without delay.
	reportNow func()

	mu         sync.Mutex
	byUpstream map[*upstream]*upstreamLimit
	// early holds limits that other VMs have sent, of incarnations that this VM does not know: its
	// view of the registrations may be older than theirs.
	early map[ownership.Owner]ratelimit.StatedLimit
}

// earlyLimitTTL is how long a limit of an unknown incarnation is kept: registrations reach all
// VMs within it, unless a VM is cut off from both the store and the granter.
const earlyLimitTTL = 10 * time.Second

// upstreamLimit is the limit of one upstream.
type upstreamLimit struct {
	ratelimit.StatedLimit
	// reported is the rate that the granter has, as far as known.
	reported float64
	// received is the number of permits received on the connection to the granter; demanded
	// means that the last report on it asked for some.
	received int
	demanded bool
}

func newStatedLimits(log zerolog.Logger) *statedLimits {
	return &statedLimits{log: log, reportNow: func() {}, byUpstream: make(map[*upstream]*upstreamLimit), early: make(map[ownership.Owner]ratelimit.StatedLimit)}
}

// observe applies a response to a request of this VM; rate is 0 if it states no limit. Times
// are on bootTime.
func (l *statedLimits) observe(u *upstream, sent, received time.Duration, rate float64) {
	if rate == 0 && u.limiter.rate() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limitOf(u)
	if limit.Observe(sent, received, rate) {
		l.changed(u, limit, "response")
		l.reportNow()
	}
}

// merge applies what another VM knows of limits at a time of bootTime. It reports whether any
// limit has changed.
func (l *statedLimits) merge(v *view, news []limitNews, received time.Duration, source string) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply := func(u *upstream, stated ratelimit.StatedLimit) {
		limit := l.limitOf(u)
		limit.reported = stated.Rate
		if limit.Merge(stated) {
			l.changed(u, limit, source)
			changed = true
		}
	}
	for owner, stated := range l.early {
		if u := v.incarnation(owner); u != nil {
			apply(u, stated)
			delete(l.early, owner)
		} else if received-stated.At > earlyLimitTTL {
			delete(l.early, owner)
		}
	}
	for _, n := range news {
		if n.Rate < 0 || math.IsNaN(n.Rate) || math.IsInf(n.Rate, 1) {
			continue
		}
		stated := ratelimit.StatedLimit{Rate: n.Rate, At: received - time.Duration(n.AgeMs)*time.Millisecond}
		if u := v.incarnation(n.Upstream); u != nil {
			apply(u, stated)
		} else {
			l.early[n.Upstream] = stated
		}
	}
	return changed
}

// limitOf returns the limit of an upstream; l.mu is held.
func (l *statedLimits) limitOf(u *upstream) *upstreamLimit {
	limit := l.byUpstream[u]
	if limit == nil {
		limit = &upstreamLimit{}
		l.byUpstream[u] = limit
	}
	return limit
}

// changed puts a changed limit into effect; l.mu is held.
func (l *statedLimits) changed(u *upstream, limit *upstreamLimit, source string) {
	u.limiter.setRate(limit.Rate)
	l.log.Info().Str("event", "upstream_limit").Str("upstream", string(u.id)).Float64("per_s", limit.Rate).
		Str("source", source).Msg("")
}

// receive applies permits of the granter. Those that are not usable only count as received, so that the
// granter does not take them to be on their way.
func (l *statedLimits) receive(v *view, grants []permitGrant, usable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, grant := range grants {
		if u := v.incarnation(grant.Upstream); u != nil {
			l.limitOf(u).received += grant.Permits
			if usable {
				u.limiter.addPermits(grant.Permits, grant.Backlog)
			}
		}
	}
}

// connected starts the reports on a new connection to the granter.
func (l *statedLimits) connected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range l.byUpstream {
		limit.reported, limit.received, limit.demanded = 0, 0, false
	}
	if len(l.byUpstream) > 0 {
		l.reportNow()
	}
}

// report returns the news for the granter, and the permits that this VM wants.
func (l *statedLimits) report() (news []limitNews, demands []permitDemand) {
	now := bootTime()
	l.mu.Lock()
	defer l.mu.Unlock()
	for u, limit := range l.byUpstream {
		if !ratelimit.SameRate(limit.Rate, limit.reported) {
			news = append(news, limitNews{Upstream: u.owner(), Rate: limit.Rate, AgeMs: (now - limit.At).Milliseconds()})
			limit.reported = limit.Rate
		}
		waiting, spare := u.limiter.missingPermits()
		wanted := waiting > 0 || spare
		if wanted || limit.demanded {
			demands = append(demands, permitDemand{Upstream: u.owner(), Waiting: waiting, Spare: spare, Received: limit.received})
		}
		limit.demanded = wanted
	}
	return news, demands
}

// isUnconfirmed reports whether the limit of an upstream may have ended without notice: this
// VM has had no response from it for a while.
func (l *statedLimits) isUnconfirmed(u *upstream, now time.Duration) bool {
	if u.limiter.rate() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.byUpstream[u]
	return limit != nil && now-limit.At > confirmInterval
}

// all returns the limits of all upstreams that state or stated one.
func (l *statedLimits) all() map[*upstream]ratelimit.StatedLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[*upstream]ratelimit.StatedLimit, len(l.byUpstream))
	for u, limit := range l.byUpstream {
		out[u] = limit.StatedLimit
	}
	return out
}

// forget drops the limit of an upstream that has ended.
func (l *statedLimits) forget(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byUpstream, u)
}

// confirmIssuer records a message of the granter.
func (l *statedLimits) confirmIssuer() { l.issuerUntil.Store(int64(bootTime() + linkTimeout)) }

// hasIssuer reports whether a granter can issue permits to this VM.
func (l *statedLimits) hasIssuer() bool { return int64(bootTime()) < l.issuerUntil.Load() }

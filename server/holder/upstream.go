package holder

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/core/ramp"
	"dandelionhill.dev/platform"
)

// grantSpacing is the delay before a grant that had no fresh reading is tried
// again. Leases are ordered by their end in milliseconds, so two grants within
// one millisecond cannot both be offered.
const grantSpacing = 2 * time.Millisecond

// controlTimeout bounds one health or grant call. It is below the lease, so
// that a call that hangs does not use up the time of the next one.
const controlTimeout = 200 * time.Millisecond

// upstream is what the holder knows of one upstream.
type upstream struct {
	id     api.UpstreamID
	domain api.FailureDomain
	client platform.Upstream
	ramp   *ramp.Ramp
	kick   chan struct{} // wakes the session before its interval ends
	since  time.Duration // when this VM first tried to reach it

	answered    bool          // it has answered a control call
	lastAnswer  time.Duration // when it last did
	incarnation api.Incarnation
	renewals    bool // it said in its last answer that it takes renewals without lists
	state       upstreamState
	running     map[uint64]*request

	// refuses means that a request found, at refusesSince, that the upstream accepts no
	// connection. It gets no requests until it answers a control call that was
	// sent later.
	refuses      bool
	refusesSince time.Duration

	keepsRanges bool // as of the last tick, a plan would leave it its ranges

	wanted   uint64 // the number of the newest change of its ranges
	granted  uint64 // the newest change that it has acknowledged
	drainSet bool   // it has acknowledged a drain
	// recorded lists the runs that a crash of this incarnation has been counted for.
	crashed  api.Incarnation
	recorded map[uint64]bool
}

// upstreamState is what operators and reports say about an upstream.
type upstreamState struct {
	drained       bool // operators drain it
	out           bool // its failure domain is taken out
	removed       bool // it left the configuration
	confirmedLost bool // an operator confirmed that it runs nothing
	draining      bool // it reports that it is leaving
}

// unavailable reports whether the upstream gets no new work by decision.
func (s upstreamState) unavailable() bool {
	return s.drained || s.out || s.removed || s.confirmedLost || s.draining
}

// poke starts the next control call at once.
func (u *upstream) poke() {
	select {
	case u.kick <- struct{}{}:
	default:
	}
}

// session renews the lease of one upstream until the shard is closed.
func (s *Shard) session(up *upstream) {
	every := lease.DefaultConfig().RenewEvery
	timer := time.NewTimer(every)
	defer timer.Stop()
	up.poke()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-up.kick:
		case <-timer.C:
		}
		s.renew(up)
		timer.Reset(every)
	}
}

// renew makes one control call: a grant if a lease can be offered, else a
// health report, which gives the reading that the next grant counts from.
func (s *Shard) renew(up *upstream) {
	ctx, cancel := context.WithTimeout(s.ctx, controlTimeout)
	defer cancel()
	s.mu.Lock()
	now := s.cfg.Clock()
	offer, ok := s.grant(now, up)
	drain := s.drained(up)
	s.mu.Unlock()
	if drain != up.drainSet {
		if health, err := up.client.Drain(ctx, drain); err == nil {
			up.drainSet = drain
			s.observe(up, health, now)
		}
	}
	if !ok {
		health, err := up.client.Health(ctx)
		s.count(err == nil, "health")
		if err == nil && (s.observe(up, health, now) || s.pending(up)) {
			time.AfterFunc(grantSpacing, up.poke)
		}
		return
	}
	result, err := up.client.Grant(ctx, offer.grant)
	// An answer to a renewal that does not say that the upstream takes renewals
	// comes from a process that took it for an empty list.
	accepted := result.Accepted && (offer.grant.RenewsUntilMs == 0 || result.SupportsRenewals)
	s.count(err == nil && accepted, "grant")
	if err != nil {
		return
	}
	s.observe(up, result.Health, now)
	if !accepted {
		s.refused(up, offer.grant, result)
		return
	}
	s.accepted(up, offer)
}

// refused notes that an upstream has refused a grant: the next one lists the
// ranges, and follows at once if this was a renewal.
func (s *Shard) refused(up *upstream, grant platform.Grant, result platform.GrantResult) {
	s.mu.Lock()
	s.leases.ClearRanges(up.id)
	s.mu.Unlock()
	if grant.RenewsUntilMs != 0 {
		time.AfterFunc(grantSpacing, up.poke)
	}
	level := zerolog.WarnLevel
	if result.Refusal == platform.RefusalUnknownGrant {
		level = zerolog.InfoLevel
	}
	s.cfg.Log.WithLevel(level).Str("event", "grant_refused").Str("upstream", string(up.id)).
		Stringer("fence", grant.Fence).Bool("renewal", grant.RenewsUntilMs != 0).Str("reason", result.Reason).Msg("")
}

// pending reports whether an upstream has yet to acknowledge a change of its ranges.
func (s *Shard) pending(up *upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return up.granted < up.wanted
}

// drained reports whether an upstream that gets no new work by an operator's
// decision has handed over its ranges and runs nothing, so that it can be told.
func (s *Shard) drained(up *upstream) bool {
	if !up.state.unavailable() || up.state.out || len(up.running) > 0 {
		return false
	}
	return !s.service.Keyed || len(s.ranges.grantable(up.id)) == 0
}

func (s *Shard) count(ok bool, call string) {
	result := call + "_ok"
	if !ok {
		result = call + "_failed"
	}
	s.cfg.Metrics.LeaseRenewals.WithLabelValues(string(s.cfg.ID.Service), result).Inc()
}

// granted lists the ranges of the next grant of an upstream, in order.
func (s *Shard) granted(up *upstream) []int {
	if !s.service.Keyed {
		return nil
	}
	ranges := s.ranges.grantable(up.id)
	slices.Sort(ranges)
	return ranges
}

// offer is a grant on its way to an upstream.
type offer struct {
	grant  platform.Grant
	ranges []int  // those that it lists, or keeps as a renewal
	change uint64 // the newest change of ranges that it contains
}

// grant returns the next grant for an upstream: a renewal if the upstream has
// accepted a list of the same ranges.
func (s *Shard) grant(now time.Duration, up *upstream) (offer, bool) {
	if s.closed || now >= s.authority {
		return offer{}, false
	}
	until, ok := s.leases.Offer(now, s.authority, up.id)
	if !ok {
		return offer{}, false
	}
	o := offer{ranges: s.granted(up), change: up.wanted, grant: platform.Grant{
		Service:     s.cfg.ID.Service,
		Fence:       s.cfg.Fence,
		Incarnation: up.incarnation,
		UntilMs:     until.Milliseconds(),
	}}
	if listed, ok := s.leases.RenewableGrant(up.id, o.ranges); ok && up.renewals {
		o.grant.RenewsUntilMs = listed.Milliseconds()
	} else {
		o.grant.Ranges = spans(o.ranges)
	}
	return o, true
}

// spans joins consecutive ranges of a list in order.
func spans(ranges []int) []platform.RangeSpan {
	out := []platform.RangeSpan{}
	for _, r := range ranges {
		if n := len(out); n > 0 && out[n-1].Last == r-1 {
			out[n-1].Last = r
			continue
		}
		out = append(out, platform.RangeSpan{First: r, Last: r})
	}
	return out
}

// observe takes a report of an upstream. It returns true if this was the first
// report of an incarnation, so that a grant can follow at once.
func (s *Shard) observe(up *upstream, health platform.Health, sentAt time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	first := !up.answered || up.incarnation != health.Incarnation
	restarted := s.leases.Observe(up.id, lease.ClockReading{
		Incarnation: health.Incarnation,
		Clock:       time.Duration(health.ClockMs) * time.Millisecond,
		SentAt:      sentAt,
		ReceivedAt:  now,
	})
	if !up.answered && s.warm[up.id] == health.Incarnation && health.Incarnation != "" {
		up.ramp = ramp.New(s.rampConfig(), false)
	}
	if restarted {
		s.ranges.settled(up.id)
		up.ramp.Restart(now)
		up.granted = 0
		up.drainSet = false
		s.cfg.Log.Info().Str("event", "upstream_restarted").Str("upstream", string(up.id)).
			Str("incarnation", string(health.Incarnation)).Msg("")
	}
	up.answered, up.lastAnswer, up.incarnation, up.renewals = true, now, health.Incarnation, health.SupportsRenewals
	if sentAt > up.refusesSince {
		up.refuses = false
	}
	up.state.draining = health.Draining && !up.drainSet
	up.ramp.Report(now, health.Load)
	return first
}

// accepted records that an upstream has acknowledged a grant.
func (s *Shard) accepted(up *upstream, o offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	until := time.Duration(o.grant.UntilMs) * time.Millisecond
	s.leases.Acknowledge(up.id, until)
	if o.grant.RenewsUntilMs == 0 {
		s.leases.RecordRanges(up.id, until, o.ranges)
	}
	// Nothing else that settle looks at changes here; each tick calls it for the rest.
	if o.change > up.granted {
		up.granted = o.change
		s.settle(now)
	}
	s.refresh(now)
	s.pump(now)
}

// lost reports whether an upstream cannot be reached and its leases have ended.
func (s *Shard) lost(now time.Duration, up *upstream) bool {
	if up.state.confirmedLost {
		return true
	}
	quiet := now - up.since
	if up.answered {
		quiet = now - up.lastAnswer
	}
	return quiet > reachTimeout && !s.leases.MaySend(now, up.id)
}

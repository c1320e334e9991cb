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

// grantRetryDelay is the delay before the next grant after a refused renewal, or
// after a health check that was needed for a recent clock reading. Leases are
// ordered by their end in milliseconds, so that two grants cannot be offered in
// the same millisecond.
const grantRetryDelay = 2 * time.Millisecond

// controlCallTimeout bounds one control call. It is shorter than the lease, so
// that a call that hangs leaves time for the next one.
const controlCallTimeout = 200 * time.Millisecond

// upstream is the holder's state of one upstream.
type upstream struct {
	id      api.UpstreamID
	domain  api.FailureDomain
	client  platform.Upstream
	ramp    *ramp.Ramp
	wake    chan struct{} // triggers a control call before the renewal interval ends
	addedAt time.Duration // when this VM first tried to reach it

	responded        bool          // it has responded to a control call
	lastResponse     time.Duration // time of its last response
	incarnation      api.Incarnation
	supportsRenewals bool // its last response reports support for renewals without ranges
	state            upstreamState
	running          map[uint64]*request

	// refusesConns is set when a request could not connect, at refusedAt. The
	// upstream gets no requests until it responds to a control call sent later.
	refusesConns bool
	refusedAt    time.Duration

	keepsRanges bool // set by hasMisplacedRange: it may keep its ranges

	rangesSeq  uint64 // sequence number of the last change of its ranges
	ackedSeq   uint64 // the last change that it has acknowledged
	drainAcked bool   // the drain state that it has acknowledged
	// recordedRuns lists the runs for which the crash of crashedIncarnation was recorded.
	crashedIncarnation api.Incarnation
	recordedRuns       map[uint64]bool
}

// upstreamState holds the administrative state of an upstream and what it reports.
type upstreamState struct {
	drained       bool // operators drain it
	domainOut     bool // operators have taken its failure domain out
	removed       bool // it is no longer in the configuration
	confirmedLost bool // an operator confirmed that nothing runs on it
	draining      bool // it reports that it is shutting down
}

// unavailable reports whether the upstream must get no new requests.
func (s upstreamState) unavailable() bool {
	return s.drained || s.domainOut || s.removed || s.confirmedLost || s.draining
}

// renewNow triggers the next control call at once.
func (u *upstream) renewNow() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// renewLoop renews the lease of one upstream until the shard is closed.
func (s *Shard) renewLoop(up *upstream) {
	interval := lease.DefaultConfig().RenewEvery
	timer := time.NewTimer(interval)
	defer timer.Stop()
	up.renewNow()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-up.wake:
		case <-timer.C:
		}
		s.renew(up)
		timer.Reset(interval)
	}
}

// renew makes one control call: a grant if a lease can be offered, else a health
// check, whose clock reading the next grant is based on.
func (s *Shard) renew(up *upstream) {
	ctx, cancel := context.WithTimeout(s.ctx, controlCallTimeout)
	defer cancel()
	s.mu.Lock()
	now := s.cfg.Clock()
	offer, ok := s.nextGrant(now, up)
	drain := s.drainReady(up)
	s.mu.Unlock()
	if drain != up.drainAcked {
		if health, err := up.client.Drain(ctx, drain); err == nil {
			up.drainAcked = drain
			s.observeHealth(up, health, now)
		}
	}
	if !ok {
		health, err := up.client.Health(ctx)
		s.countCall(err == nil, "health")
		if err == nil && (s.observeHealth(up, health, now) || s.hasPendingRanges(up)) {
			time.AfterFunc(grantRetryDelay, up.renewNow)
		}
		return
	}
	result, err := up.client.Grant(ctx, offer.grant)
	// An upstream that accepts a renewal without reporting support for renewals
	// has taken it for a grant of no ranges.
	accepted := result.Accepted && (offer.grant.RenewsUntilMs == 0 || result.SupportsRenewals)
	s.countCall(err == nil && accepted, "grant")
	if err != nil {
		return
	}
	s.observeHealth(up, result.Health, now)
	if !accepted {
		s.grantRefused(up, offer.grant, result)
		return
	}
	s.grantAccepted(up, offer)
}

// grantRefused handles a refused grant: the next grant lists the ranges, and
// follows at once if this one was a renewal.
func (s *Shard) grantRefused(up *upstream, grant platform.Grant, result platform.GrantResult) {
	s.mu.Lock()
	s.leases.ClearRanges(up.id)
	s.mu.Unlock()
	if grant.RenewsUntilMs != 0 {
		time.AfterFunc(grantRetryDelay, up.renewNow)
	}
	level := zerolog.WarnLevel
	if result.Refusal == platform.RefusalUnknownGrant {
		level = zerolog.InfoLevel
	}
	s.cfg.Log.WithLevel(level).Str("event", "grant_refused").Str("upstream", string(up.id)).
		Stringer("fence", grant.Fence).Bool("renewal", grant.RenewsUntilMs != 0).Str("reason", result.Reason).Msg("")
}

// hasPendingRanges reports whether an upstream has yet to acknowledge a change of its ranges.
func (s *Shard) hasPendingRanges(up *upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return up.ackedSeq < up.rangesSeq
}

// drainReady reports whether an upstream that operators take out of service has
// no ranges and no runs left, so that it can be told to drain.
func (s *Shard) drainReady(up *upstream) bool {
	if !up.state.unavailable() || up.state.domainOut || len(up.running) > 0 {
		return false
	}
	return !s.service.Keyed || len(s.ranges.grantable(up.id)) == 0
}

func (s *Shard) countCall(ok bool, call string) {
	result := call + "_ok"
	if !ok {
		result = call + "_failed"
	}
	s.cfg.Metrics.LeaseRenewals.WithLabelValues(string(s.cfg.ID.Service), result).Inc()
}

// grantRanges returns the ranges of the next grant of an upstream, sorted.
func (s *Shard) grantRanges(up *upstream) []int {
	if !s.service.Keyed {
		return nil
	}
	ranges := s.ranges.grantable(up.id)
	slices.Sort(ranges)
	return ranges
}

// grantOffer is a grant to send to an upstream.
type grantOffer struct {
	grant     platform.Grant
	ranges    []int  // the ranges that it lists or renews
	rangesSeq uint64 // the last change of ranges that it contains
}

// nextGrant returns the next grant for an upstream: a renewal if the upstream has
// accepted a grant that lists the same ranges.
func (s *Shard) nextGrant(now time.Duration, up *upstream) (grantOffer, bool) {
	if s.closed || now >= s.authorityUntil {
		return grantOffer{}, false
	}
	until, ok := s.leases.Offer(now, s.authorityUntil, up.id)
	if !ok {
		return grantOffer{}, false
	}
	o := grantOffer{ranges: s.grantRanges(up), rangesSeq: up.rangesSeq, grant: platform.Grant{
		Service:     s.cfg.ID.Service,
		Fence:       s.cfg.Fence,
		Incarnation: up.incarnation,
		UntilMs:     until.Milliseconds(),
	}}
	if listed, ok := s.leases.RenewableGrant(up.id, o.ranges); ok && up.supportsRenewals {
		o.grant.RenewsUntilMs = listed.Milliseconds()
	} else {
		o.grant.Ranges = spans(o.ranges)
	}
	return o, true
}

// spans merges consecutive ranges of a sorted list.
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

// observeHealth processes a health report. It returns true for the first report
// of an incarnation, so that a grant can follow at once.
func (s *Shard) observeHealth(up *upstream, health platform.Health, sentAt time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	first := !up.responded || up.incarnation != health.Incarnation
	restarted := s.leases.Observe(up.id, lease.ClockReading{
		Incarnation: health.Incarnation,
		Clock:       time.Duration(health.ClockMs) * time.Millisecond,
		SentAt:      sentAt,
		ReceivedAt:  now,
	})
	if !up.responded && s.warmBefore[up.id] == health.Incarnation && health.Incarnation != "" {
		up.ramp = ramp.New(s.rampConfig(), false)
	}
	if restarted {
		s.ranges.clearBusy(up.id)
		up.ramp.Restart(now)
		up.ackedSeq = 0
		up.drainAcked = false
		s.cfg.Log.Info().Str("event", "upstream_restarted").Str("upstream", string(up.id)).
			Str("incarnation", string(health.Incarnation)).Msg("")
	}
	up.responded, up.lastResponse, up.incarnation, up.supportsRenewals = true, now, health.Incarnation, health.SupportsRenewals
	if sentAt > up.refusedAt {
		up.refusesConns = false
	}
	up.state.draining = health.Draining && !up.drainAcked
	up.ramp.Report(now, health.Load)
	return first
}

// grantAccepted records that an upstream has acknowledged a grant.
func (s *Shard) grantAccepted(up *upstream, o grantOffer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	until := time.Duration(o.grant.UntilMs) * time.Millisecond
	s.leases.Acknowledge(up.id, until)
	if o.grant.RenewsUntilMs == 0 {
		s.leases.RecordRanges(up.id, until, o.ranges)
	}
	// Of what finishMoves depends on, only ackedSeq changes here; ticks handle the rest.
	if o.rangesSeq > up.ackedSeq {
		up.ackedSeq = o.rangesSeq
		s.finishMoves(now)
	}
	s.refreshLimits(now)
	s.dispatchQueued(now)
}

// isLost reports whether an upstream is unreachable and its leases have expired,
// or an operator confirmed its loss.
func (s *Shard) isLost(now time.Duration, up *upstream) bool {
	if up.state.confirmedLost {
		return true
	}
	silence := now - up.addedAt
	if up.responded {
		silence = now - up.lastResponse
	}
	return silence > reachTimeout && !s.leases.MaySend(now, up.id)
}

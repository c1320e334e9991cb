package holder

import (
	"context"
	"errors"
	"math"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/dispatch"
	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/listen"
)

// startRun sends a request to an upstream. The queue has already counted the
// run, so every path has to reach endRun or queue.Done.
func (s *Shard) startRun(now time.Duration, start dispatch.Start) {
	r, up := s.requests[start.ID], s.upstreams[start.Upstream]
	if r == nil || up == nil {
		s.queue.Done(now, start.ID, start.Upstream, 0, false)
		return
	}
	rangeNum, deadline, ok := s.runLimits(now, r, up)
	if !ok || !s.maySend(now, up) {
		s.queue.Done(now, start.ID, up.id, 0, false)
		s.retryOrEnd(r, api.Refuse(api.NoOwner, "the lease of the upstream expired before the request could start").WithRetryAfter(moveRetryAfter))
		return
	}
	if !s.admitRun(now, r, start) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(r.deadline-now, cancel)
	current := &run{up: up, hedge: start.Hedge, started: now, deadline: deadline, cancel: cancel}
	r.runs[up.id] = current
	r.attempts++
	up.running[r.id] = r
	up.ramp.Sent(len(up.running))
	s.evidence.Started(now, r.fingerprint)
	s.monitor.RequestSent(up.id)
	if !start.Hedge {
		s.scheduleHedge(r, up.id)
	}
	req := platform.Request{
		Service: s.cfg.ID.Service, Method: r.forward.Method, Path: r.forward.Path, Body: r.forward.Body,
		Key: r.forward.Key, RequestID: r.forward.RequestID, Range: rangeNum,
		Fence: s.cfg.Fence, Incarnation: up.incarnation, DeadlineMs: deadline.Milliseconds(),
	}
	if s.cfg.Buffers != nil {
		current.memory = s.cfg.Buffers.Reserve()
		req.Memory = listen.ResponseMemory{Reservation: current.memory}
	}
	go func() {
		resp, err := up.client.Send(ctx, req)
		timer.Stop()
		cancelled := ctx.Err() != nil
		cancel()
		s.endRun(r, current, resp, err, cancelled)
	}()
}

// runLimits returns the range of a run and its deadline on the upstream's clock.
// A run for a key ends within the lease, so that the key has one owner.
func (s *Shard) runLimits(now time.Duration, r *request, up *upstream) (int, time.Duration, bool) {
	if s.service.Keyed {
		deadline, ok := s.leases.Deadline(now, min(r.deadline, s.authorityUntil), up.id)
		return r.rangeNum, deadline, ok
	}
	deadline, ok := s.leases.UnkeyedDeadline(now, r.deadline, up.id)
	return lease.NoRange, deadline, ok
}

// admitRun checks the fingerprint again: a run of it may have crashed an upstream
// while the request was queued.
func (s *Shard) admitRun(now time.Duration, r *request, start dispatch.Start) bool {
	verdict := s.evidence.Admit(now, r.fingerprint)
	if verdict == crash.Normal || verdict == crash.Exclusive && start.Exclusive {
		return true
	}
	s.queue.Done(now, start.ID, start.Upstream, 0, false)
	if start.Hedge {
		return false
	}
	if verdict == crash.Quarantined {
		s.finish(r, wire.Refused(api.Refuse(api.Quarantined, "this request has crashed upstreams")))
		return false
	}
	s.schedule(r, unprovenRetryDelay, func(now time.Duration) { s.enqueue(now, r) })
	return false
}

// scheduleHedge starts a second copy of an idempotent request on another
// upstream if the first takes longer than usual.
func (s *Shard) scheduleHedge(r *request, first api.UpstreamID) {
	if !s.hedgeable(r) || r.hedged {
		return
	}
	delay, ok := s.hedges.Delay()
	if !ok {
		return
	}
	s.schedule(r, delay, func(now time.Duration) {
		if r.hedged || len(r.runs) != 1 || s.evidence.Admit(now, r.fingerprint) != crash.Normal || !s.hedges.Allow(now) {
			return
		}
		r.hedged = true
		refused := s.queue.Admit(now, dispatch.Request{
			ID: r.id, Caller: r.forward.Caller, Deadline: r.deadline, Hedge: true, Avoid: first,
		})
		result := "sent"
		if refused != nil {
			result = "refused"
		}
		s.cfg.Metrics.Hedges.WithLabelValues(string(s.cfg.ID.Service), result).Inc()
	})
}

// endRun processes the result of a run.
func (s *Shard) endRun(r *request, current *run, resp platform.Response, err error, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	up, elapsed := current.up, now-current.started
	delete(r.runs, up.id)
	delete(up.running, r.id)
	s.queue.Done(now, r.id, up.id, elapsed, err == nil && !resp.Shed)
	if err != nil {
		s.reportFailedSend(r, up, err, cancelled, elapsed)
	}
	var failure *platform.SendError
	switch {
	case err == nil && resp.Shed:
		s.observeShed(now, current)
		s.evidence.Ended(now, r.fingerprint)
		s.retryOrEnd(r, api.Refuse(api.Shed, "the upstream shed the request").WithRetryAfter(moveRetryAfter))
	case err == nil:
		s.handleResponse(now, r, current, resp, elapsed)
	case errors.As(err, &failure) && failure.Outcome == api.NotRun:
		s.evidence.Ended(now, r.fingerprint)
		s.handleUnreached(now, r, up, cancelled)
	default:
		if cancelled {
			s.monitor.RequestCancelled(now, up.id, elapsed)
		}
		s.keepRangeBusy(r, current)
		s.recordCrash(now, r, current, failure, cancelled)
		s.retryOrEnd(r, s.failureRefusal(cancelled, err))
	}
	if current.memory != nil { // no reply has the response
		current.memory.Release()
	}
	s.resumeHot(now, r)
	s.refreshLimit(now, up)
	s.dispatchQueued(now)
}

// reportFailedSend counts a send without a complete response. It logs the reason, except of runs that
// this VM has cancelled.
func (s *Shard) reportFailedSend(r *request, up *upstream, err error, cancelled bool, elapsed time.Duration) {
	reason, sent := platform.ConnectionBroken, true
	var failure *platform.SendError
	if errors.As(err, &failure) {
		reason, sent = failure.Reason, failure.Outcome != api.NotRun
	}
	if cancelled {
		reason = platform.RequestEnded
	}
	s.cfg.Metrics.FailedSends.WithLabelValues(string(s.cfg.ID.Service), string(reason)).Inc()
	if !cancelled {
		s.cfg.Log.Info().Str("event", "send_failed").Str("request_id", r.forward.RequestID).Str("upstream", string(up.id)).
			Str("reason", string(reason)).Bool("sent", sent).Dur("took_ms", elapsed).Err(err).Msg("")
	}
}

// observeShed counts a request that its upstream has turned away, unless that may be for its deadline,
// which says nothing of the upstream's load: a run may start a millisecond before its deadline.
func (s *Shard) observeShed(now time.Duration, current *run) {
	if !s.leases.MayHavePassed(now, current.deadline, current.up.id) {
		current.up.ramp.Observe(now, now-current.started, true)
	}
}

// keepRangeBusy keeps the range of a run whose end was not observed with its
// owner until the run must have ended: its deadline is within the lease that was
// valid at its start. An upstream that checks no deadlines may run it for any
// time, so its range stays until the upstream restarts.
func (s *Shard) keepRangeBusy(r *request, current *run) {
	if !s.service.Keyed {
		return
	}
	cfg := lease.DefaultConfig()
	end := current.started + time.Duration(float64(cfg.Duration)*(1+cfg.Drift))
	if s.service.UpstreamChecks == config.ChecksNone {
		end = math.MaxInt64
	}
	// The key may have been moved to another range since the run started.
	for _, number := range [...]int{r.rangeNum, s.rangeOf(r.forward)} {
		if state := s.ranges.at(number); state != nil && state.owner == current.up.id {
			state.busyUntil = max(state.busyUntil, end)
		}
	}
}

const (
	// unreachedRetryDelay is the delay before a request is queued again after its
	// upstream accepted no connection. Its range moves after at most one lease.
	unreachedRetryDelay = 20 * time.Millisecond
	// maxUnreachedCalls bounds the calls of one request that fail this way.
	maxUnreachedCalls = 8
)

// handleUnreached handles a call for which no connection could be made, so that
// nothing ran. The upstream gets no more requests until it responds to a control
// call. The request is queued again and waits for the upstream or for the move
// of its range.
func (s *Shard) handleUnreached(now time.Duration, r *request, up *upstream, cancelled bool) {
	if !cancelled {
		up.refusesConns, up.refusedAt = true, now
		up.renewNow()
	}
	if r.finished || len(r.runs) > 0 {
		return
	}
	r.attempts-- // nothing was sent, so the next call is no retry
	r.unreachedCalls++
	if cancelled || s.closed || s.frozen || r.unreachedCalls >= maxUnreachedCalls {
		s.finish(r, wire.Refused(api.Refuse(api.NoOwner, "the upstream could not be reached").WithRetryAfter(moveRetryAfter)))
		return
	}
	s.schedule(r, unreachedRetryDelay, func(now time.Duration) { s.enqueue(now, r) })
}

// failureRefusal returns the refusal for a call whose effect is unknown.
func (s *Shard) failureRefusal(cancelled bool, err error) *api.Refusal {
	if cancelled {
		return api.Refuse(api.UpstreamTimeout, "the upstream did not respond in time")
	}
	return api.Refuse(api.UpstreamFailed, "the call of the upstream failed: "+err.Error())
}

// handleResponse handles a complete response.
func (s *Shard) handleResponse(now time.Duration, r *request, current *run, resp platform.Response, elapsed time.Duration) {
	up := current.up
	up.ramp.Observe(now, elapsed, false)
	s.monitor.Observe(now, up.id, elapsed)
	s.evidence.Succeeded(now, r.fingerprint)
	s.cfg.Metrics.UpstreamLatency.WithLabelValues(string(s.cfg.ID.Service)).Observe(elapsed.Seconds())
	if s.hedgeable(r) && !current.hedge {
		s.hedges.Observe(elapsed)
	}
	if current.hedge && !r.finished {
		s.cfg.Metrics.Hedges.WithLabelValues(string(s.cfg.ID.Service), "won").Inc()
	}
	reply := &wire.Reply{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}
	if r.finished {
		// The caller was told that the outcome is unknown; its retry gets the response.
		s.recordReply(r, reply)
		return
	}
	reply.Memory = current.takeMemory()
	s.finish(r, reply)
}

// recordCrash records crash evidence: a broken connection makes all requests in
// flight on the upstream suspects, once for each incarnation of the upstream.
// An upstream that checks deadlines ends a run by its deadline and may close the
// connection for it. That is before the request's own deadline if the authority of
// this VM ends earlier, or if this process is late to cancel the run.
func (s *Shard) recordCrash(now time.Duration, r *request, current *run, failure *platform.SendError, cancelled bool) {
	up := current.up
	atDeadline := s.service.UpstreamChecks != config.ChecksNone && s.leases.MayHavePassed(now, current.deadline, up.id)
	if failure == nil || !failure.ConnBroken || cancelled || atDeadline {
		s.evidence.Ended(now, r.fingerprint)
		return
	}
	if up.crashedIncarnation == up.incarnation && up.recordedRuns[r.id] {
		// The same crash broke another connection; this run is already recorded.
		delete(up.recordedRuns, r.id)
		return
	}
	up.crashedIncarnation = up.incarnation
	up.recordedRuns = map[uint64]bool{}
	fingerprints := []uint64{r.fingerprint}
	for id, other := range up.running {
		fingerprints = append(fingerprints, other.fingerprint)
		up.recordedRuns[id] = true
	}
	s.evidence.Crashed(now, fingerprints)
	s.cfg.Log.Warn().Str("event", "upstream_connection_broke").Str("upstream", string(up.id)).
		Int("in_flight", len(fingerprints)).Msg("")
	up.renewNow()
}

// retryOrEnd retries or ends a request, unless another copy of it is running.
func (s *Shard) retryOrEnd(r *request, refused *api.Refusal) {
	if r.finished || len(r.runs) > 0 {
		return
	}
	if !s.scheduleRetry(r, refused) {
		s.finish(r, wire.Refused(refused))
	}
}

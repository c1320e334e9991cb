package holder

import (
	"context"
	"strconv"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/dedup"
	"dandelionhill.dev/core/dispatch"
	"dandelionhill.dev/core/retry"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/server/buffers"
)

// request is a request that the shard has accepted.
type request struct {
	id             uint64
	forward        *wire.Forward
	rangeNum       int // the range under which it is queued or runs
	fingerprint    uint64
	deadline       time.Duration
	reply          chan *wire.Reply
	finished       bool
	attempts       int
	unreachedCalls int // calls for which no connection could be made
	hedged         bool
	runs           map[api.UpstreamID]*run
	timers         []*time.Timer
}

// run is one call to an upstream for a request.
type run struct {
	up      *upstream
	hedge   bool
	started time.Duration
	// deadline is that of the run, on the upstream's clock.
	deadline time.Duration
	cancel   context.CancelFunc
	// memory is that of the response, nil without a budget or after it was passed on.
	memory *buffers.Reservation
}

// takeMemory returns the memory of the response, which the caller releases.
func (r *run) takeMemory() wire.Memory {
	if r.memory == nil {
		return nil
	}
	memory := r.memory
	r.memory = nil
	return memory
}

// moveRetryAfter is the retry delay in refusals during a takeover or a move.
const moveRetryAfter = 100 * time.Millisecond

// Serve runs a request and returns its outcome, at the latest when its deadline
// passes or ctx is done. The caller releases the reply.
func (s *Shard) Serve(ctx context.Context, f *wire.Forward) *wire.Reply {
	deadline := s.cfg.Clock() + time.Duration(f.TimeoutMs)*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.TimeoutMs)*time.Millisecond)
	defer cancel()
	if f.Idempotent || f.RequestID == "" {
		return s.await(ctx, s.admit(f, deadline))
	}
	decision, duplicate := s.register(f)
	switch decision.Action {
	case dedup.Run:
		if !s.mirrorID(ctx, f.RequestID) {
			refused := s.notHolderRefusal()
			s.refuseRegistered(f.RequestID, refused)
			return wire.Refused(refused)
		}
		return s.await(ctx, s.admitRegistered(f, deadline))
	case dedup.Wait:
		select {
		case reply := <-duplicate:
			return reply
		case <-ctx.Done():
			return wire.Refused(api.Refuse(api.DuplicateRunning, "an earlier request with this ID is still running"))
		}
	case dedup.Recorded:
		return recordedReply(decision.Response)
	default:
		return wire.Refused(decision.Refusal)
	}
}

func recordedReply(a *dedup.Response) *wire.Reply {
	if a == nil {
		return wire.Refused(api.Refuse(api.UpstreamFailed, "an earlier request with this ID ended with unknown outcome"))
	}
	if a.BodyDropped {
		// Without its body the response would look whole.
		return wire.Refused(api.Refuse(api.UpstreamFailed, "an earlier request with this ID was answered with status "+
			strconv.Itoa(a.Status)+"; the response was too large to be kept, or there was no memory for it"))
	}
	return &wire.Reply{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Repeated: true}
}

// register adds a request ID to the deduplication table and returns whether its
// request may run.
func (s *Shard) register(f *wire.Forward) (dedup.Decision, chan *wire.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.frozen {
		return dedup.Decision{Action: dedup.Refuse, Refusal: s.notHolderRefusal()}, nil
	}
	decision := s.dedup.Begin(time.Now(), f.RequestID)
	if decision.Action == dedup.Run {
		s.mirror.registered++
	}
	if decision.Action != dedup.Wait {
		return decision, nil
	}
	duplicate := make(chan *wire.Reply, 1)
	s.duplicates[f.RequestID] = append(s.duplicates[f.RequestID], duplicate)
	return decision, duplicate
}

func (s *Shard) notHolderRefusal() *api.Refusal {
	return api.Refuse(api.NotHolder, "this VM does not hold shard "+s.cfg.ID.String()).WithRetryAfter(moveRetryAfter)
}

// admit adds a request to the queue. The returned request is already finished if
// it was refused.
func (s *Shard) admit(f *wire.Forward, deadline time.Duration) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admitLocked(f, deadline)
}

// admitRegistered admits a request whose ID the deduplication table lists as running.
func (s *Shard) admitRegistered(f *wire.Forward, deadline time.Duration) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirror.registered--
	return s.admitLocked(f, deadline)
}

func (s *Shard) admitLocked(f *wire.Forward, deadline time.Duration) *request {
	s.nextID++
	r := &request{
		id: s.nextID, forward: f, deadline: deadline,
		fingerprint: shardmap.Fingerprint(f.Shard.Service, f.Method, f.Path, f.Body),
		reply:       make(chan *wire.Reply, 1),
		runs:        map[api.UpstreamID]*run{},
	}
	s.requests[r.id] = r
	if s.closed || s.frozen {
		s.finish(r, wire.Refused(s.notHolderRefusal()))
		return r
	}
	now := s.cfg.Clock()
	s.retries.Request()
	if s.hedgeable(r) {
		s.hedges.Request()
	}
	s.countKey(r)
	s.enqueue(now, r)
	if s.penalized { // the queue length decides whether stragglers are used
		s.refreshLimits(now)
	}
	s.dispatchQueued(now)
	return r
}

func (s *Shard) hedgeable(r *request) bool { return !s.service.Keyed && r.forward.Idempotent }

// enqueue adds a request to the queue or refuses it.
func (s *Shard) enqueue(now time.Duration, r *request) {
	r.rangeNum = s.rangeOf(r.forward)
	entry := dispatch.Request{ID: r.id, Key: r.forward.Key, Caller: r.forward.Caller, Range: r.rangeNum, Deadline: r.deadline, Waited: r.forward.Waited}
	if s.service.Keyed {
		state := s.ranges.at(r.rangeNum)
		if state == nil {
			s.finish(r, wire.Refused(api.Refuse(api.NotHolder, "the range of the key is not in shard "+s.cfg.ID.String())))
			return
		}
		entry.Upstream = state.owner
		if state.to != "" {
			entry.Upstream = state.to
		}
		if entry.Upstream == "" {
			s.finish(r, wire.Refused(api.Refuse(api.NoOwner, "the range of the key has no owner yet").WithRetryAfter(moveRetryAfter)))
			return
		}
		state.load++
	}
	switch s.evidence.Admit(now, r.fingerprint) {
	case crash.Quarantined:
		s.finish(r, wire.Refused(api.Refuse(api.Quarantined, "this request has crashed upstreams")))
		return
	case crash.Exclusive:
		entry.Exclusive = true
	case crash.Wait:
		s.schedule(r, unprovenRetryDelay, func(now time.Duration) { s.enqueue(now, r) })
		return
	case crash.Normal:
	}
	if refused := s.queue.Admit(now, entry); refused != nil {
		s.finish(r, wire.Refused(refused))
	}
}

// unprovenRetryDelay is the delay before a request that waits for the unproven
// runs of its fingerprint is checked again.
const unprovenRetryDelay = 5 * time.Millisecond

// schedule calls f with the lock held after a delay, unless the request has ended.
func (s *Shard) schedule(r *request, delay time.Duration, f func(now time.Duration)) {
	timer := time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.finished {
			return
		}
		now := s.cfg.Clock()
		switch {
		case s.closed || s.frozen && len(r.runs) == 0:
			s.finish(r, wire.Refused(s.notHolderRefusal()))
		case now >= r.deadline:
			s.finish(r, wire.Refused(api.Refuse(api.DeadlineUnmeetable, "no upstream could start the request in time")))
		default:
			f(now)
			s.dispatchQueued(now)
		}
	})
	r.timers = append(r.timers, timer)
}

// await waits for the outcome of a request.
func (s *Shard) await(ctx context.Context, r *request) *wire.Reply {
	select {
	case reply := <-r.reply:
		return reply
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.finished {
		s.finish(r, s.abandonedReply(r))
	}
	return <-r.reply
}

// abandonedReply is the outcome of a request whose deadline passed or whose caller left.
func (s *Shard) abandonedReply(r *request) *wire.Reply {
	if len(r.runs) == 0 {
		return wire.Refused(api.Refuse(api.DeadlineUnmeetable, "no upstream could start the request in time"))
	}
	return wire.Refused(api.Refuse(api.UpstreamTimeout, "the upstream did not respond in time"))
}

// dispatchQueued starts the requests that the queue returns and refuses expired ones.
func (s *Shard) dispatchQueued(now time.Duration) {
	for {
		starts, expired := s.queue.Next(now)
		for _, id := range expired {
			if r := s.requests[id]; r != nil && len(r.runs) == 0 {
				s.finish(r, wire.Refused(api.Refuse(api.DeadlineUnmeetable, "the request waited too long for its upstream").WithRetryAfter(moveRetryAfter)))
			}
		}
		if len(starts) == 0 {
			return
		}
		for _, start := range starts {
			s.startRun(now, start)
		}
	}
}

// finish sets the outcome of a request and cancels the runs that are in progress.
func (s *Shard) finish(r *request, reply *wire.Reply) {
	if r.finished {
		return
	}
	r.finished = true
	delete(s.requests, r.id)
	s.queue.Cancel(r.id)
	for _, t := range r.timers {
		t.Stop()
	}
	for _, run := range r.runs {
		run.cancel()
	}
	r.reply <- reply
	s.recordReply(r, reply)
}

// recordReply records the outcome of a non-idempotent request and replies to the
// duplicates that wait for it.
func (s *Shard) recordReply(r *request, reply *wire.Reply) {
	id := r.forward.RequestID
	if id == "" || r.forward.Idempotent {
		return
	}
	s.recordOutcome(id, reply)
}

// recordOutcome records the outcome of a request ID.
func (s *Shard) recordOutcome(id string, reply *wire.Reply) {
	result := dedup.Result{Outcome: api.Answered}
	if reply.Refusal != nil {
		result.Outcome = reply.Refusal.Outcome
	} else {
		result.Response = &dedup.Response{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
	}
	s.dedup.Finish(time.Now(), id, result)
	for _, duplicate := range s.duplicates[id] {
		copied := *reply
		// The reply that was copied has the memory of the body.
		copied.Memory = nil
		copied.Repeated = reply.Refusal == nil
		duplicate <- &copied
	}
	delete(s.duplicates, id)
}

// scheduleRetry schedules a retry of a request that got no response. It returns
// false if the request must end.
func (s *Shard) scheduleRetry(r *request, refused *api.Refusal) bool {
	now := s.cfg.Clock()
	delay, retryAllowed, reason := s.retries.Decide(now, retry.Attempt{
		Outcome: refused.Outcome, Kind: refused.Kind, Idempotent: r.forward.Idempotent,
		Number: r.attempts, Remaining: r.deadline - now, RetryAfter: refused.RetryAfter,
	}, s.random)
	s.cfg.Metrics.Retries.WithLabelValues(string(retry.Holder), string(reason)).Inc()
	if retryAllowed && !s.closed && !s.frozen {
		s.schedule(r, delay, func(now time.Duration) { s.enqueue(now, r) })
		return true
	}
	return false
}

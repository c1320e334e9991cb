package holder

import (
	"context"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/dedup"
	"dandelionhill.dev/core/dispatch"
	"dandelionhill.dev/core/retry"
	"dandelionhill.dev/core/shardmap"
)

// request is a request that the shard has accepted and not yet answered.
type request struct {
	id          uint64
	forward     *wire.Forward
	rng         int // the number of the range under which it is queued or runs
	fingerprint uint64
	deadline    time.Duration
	reply       chan *wire.Reply
	finished    bool
	attempts    int
	unreached   int // calls for which no connection could be made
	hedged      bool
	runs        map[api.UpstreamID]*run
	timers      []*time.Timer
}

// run is one call of an upstream for a request.
type run struct {
	up      *upstream
	hedge   bool
	started time.Duration
	cancel  context.CancelFunc
}

// retryHint is the delay that refusals during a takeover or a move suggest.
const retryHint = 100 * time.Millisecond

// Serve runs a request and returns its outcome. It returns when the request has
// an outcome, when its deadline passes, or when ctx ends.
func (s *Shard) Serve(ctx context.Context, f *wire.Forward) *wire.Reply {
	deadline := s.cfg.Clock() + time.Duration(f.TimeoutMs)*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.TimeoutMs)*time.Millisecond)
	defer cancel()
	if f.Idempotent || f.RequestID == "" {
		return s.await(ctx, s.admit(f, deadline))
	}
	decision, repeat := s.begin(f)
	switch decision.Action {
	case dedup.Run:
		if !s.mirrorID(ctx, f.RequestID) {
			refused := s.notHolder()
			s.refuseBegun(f.RequestID, refused)
			return wire.Refused(refused)
		}
		return s.await(ctx, s.admitBegun(f, deadline))
	case dedup.Wait:
		select {
		case reply := <-repeat:
			return reply
		case <-ctx.Done():
			return wire.Refused(api.Refuse(api.DuplicateRunning, "an earlier request with this ID is still running"))
		}
	case dedup.Recorded:
		return recorded(decision.Answer)
	default:
		return wire.Refused(decision.Refusal)
	}
}

func recorded(a *dedup.Answer) *wire.Reply {
	if a == nil {
		return wire.Refused(api.Refuse(api.UpstreamFailed, "an earlier request with this ID ended with unknown outcome"))
	}
	return &wire.Reply{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Repeated: true}
}

// begin asks the memory of request IDs whether the request may run.
func (s *Shard) begin(f *wire.Forward) (dedup.Decision, chan *wire.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.frozen {
		return dedup.Decision{Action: dedup.Refuse, Refusal: s.notHolder()}, nil
	}
	decision := s.memory.Begin(time.Now(), f.RequestID)
	if decision.Action == dedup.Run {
		s.mirror.begun++
	}
	if decision.Action != dedup.Wait {
		return decision, nil
	}
	repeat := make(chan *wire.Reply, 1)
	s.waiting[f.RequestID] = append(s.waiting[f.RequestID], repeat)
	return decision, repeat
}

func (s *Shard) notHolder() *api.Refusal {
	return api.Refuse(api.NotHolder, "this VM does not hold shard "+s.cfg.ID.String()).WithRetryAfter(retryHint)
}

// admit puts a request into the queue. The request is finished already if it
// was refused.
func (s *Shard) admit(f *wire.Forward, deadline time.Duration) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accept(f, deadline)
}

// admitBegun admits a request whose ID the memory has as running.
func (s *Shard) admitBegun(f *wire.Forward, deadline time.Duration) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirror.begun--
	return s.accept(f, deadline)
}

func (s *Shard) accept(f *wire.Forward, deadline time.Duration) *request {
	s.nextID++
	r := &request{
		id: s.nextID, forward: f, deadline: deadline,
		fingerprint: shardmap.Fingerprint(f.Shard.Service, f.Method, f.Path, f.Body),
		reply:       make(chan *wire.Reply, 1),
		runs:        map[api.UpstreamID]*run{},
	}
	s.requests[r.id] = r
	if s.closed || s.frozen {
		s.finish(r, wire.Refused(s.notHolder()))
		return r
	}
	now := s.cfg.Clock()
	s.retries.Request()
	if s.hedgeable(r) {
		s.hedges.Request()
	}
	s.countKey(r)
	s.enqueue(now, r)
	if s.penalized { // whether a straggler is worth using depends on the queue
		s.refresh(now)
	}
	s.pump(now)
	return r
}

func (s *Shard) hedgeable(r *request) bool { return !s.service.Keyed && r.forward.Idempotent }

// enqueue gives a request to the queue, or finishes it with a refusal.
func (s *Shard) enqueue(now time.Duration, r *request) {
	r.rng = s.rangeOf(r.forward)
	entry := dispatch.Request{ID: r.id, Key: r.forward.Key, Caller: r.forward.Caller, Range: r.rng, Deadline: r.deadline, Waited: r.forward.Waited}
	if s.service.Keyed {
		state := s.ranges.at(r.rng)
		if state == nil {
			s.finish(r, wire.Refused(api.Refuse(api.NotHolder, "the range of the key is not in shard "+s.cfg.ID.String())))
			return
		}
		entry.Upstream = state.owner
		if state.to != "" {
			entry.Upstream = state.to
		}
		if entry.Upstream == "" {
			s.finish(r, wire.Refused(api.Refuse(api.NoOwner, "the range of the key has no owner yet").WithRetryAfter(retryHint)))
			return
		}
		state.work++
	}
	switch s.evidence.Admit(now, r.fingerprint) {
	case crash.Quarantined:
		s.finish(r, wire.Refused(api.Refuse(api.Quarantined, "this request has crashed upstreams")))
		return
	case crash.Exclusive:
		entry.Exclusive = true
	case crash.Wait:
		s.later(r, waitUnproven, func(now time.Duration) { s.enqueue(now, r) })
		return
	case crash.Normal:
	}
	if refused := s.queue.Admit(now, entry); refused != nil {
		s.finish(r, wire.Refused(refused))
	}
}

// waitUnproven is the delay before a request asks again whether it may run
// beside the unproven runs of the same fingerprint.
const waitUnproven = 5 * time.Millisecond

// later calls f under the lock after a delay, unless the request has ended.
func (s *Shard) later(r *request, delay time.Duration, f func(now time.Duration)) {
	timer := time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.finished {
			return
		}
		now := s.cfg.Clock()
		switch {
		case s.closed || s.frozen && len(r.runs) == 0:
			s.finish(r, wire.Refused(s.notHolder()))
		case now >= r.deadline:
			s.finish(r, wire.Refused(api.Refuse(api.DeadlineUnmeetable, "no upstream could start the request in time")))
		default:
			f(now)
			s.pump(now)
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
		s.finish(r, s.abandoned(r))
	}
	return <-r.reply
}

// abandoned is the outcome of a request whose time is up or whose caller left.
func (s *Shard) abandoned(r *request) *wire.Reply {
	if len(r.runs) == 0 {
		return wire.Refused(api.Refuse(api.DeadlineUnmeetable, "no upstream could start the request in time"))
	}
	return wire.Refused(api.Refuse(api.UpstreamTimeout, "the upstream did not answer in time"))
}

// pump starts what the queue lets start and refuses what expired in it.
func (s *Shard) pump(now time.Duration) {
	for {
		starts, expired := s.queue.Next(now)
		for _, id := range expired {
			if r := s.requests[id]; r != nil && len(r.runs) == 0 {
				s.finish(r, wire.Refused(api.Refuse(api.DeadlineUnmeetable, "the request waited too long for its upstream").WithRetryAfter(retryHint)))
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

// finish gives a request its outcome. Runs that go on are cancelled.
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
	s.remember(r, reply)
}

// remember records the outcome of a request that may not be repeated and
// answers the repeats that wait for it.
func (s *Shard) remember(r *request, reply *wire.Reply) {
	id := r.forward.RequestID
	if id == "" || r.forward.Idempotent {
		return
	}
	s.conclude(id, reply)
}

// conclude records the outcome of a request ID.
func (s *Shard) conclude(id string, reply *wire.Reply) {
	end := dedup.Result{Outcome: api.Answered}
	if reply.Refusal != nil {
		end.Outcome = reply.Refusal.Outcome
	} else {
		end.Answer = &dedup.Answer{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
	}
	s.memory.Finish(time.Now(), id, end)
	for _, repeat := range s.waiting[id] {
		again := *reply
		again.Repeated = reply.Refusal == nil
		repeat <- &again
	}
	delete(s.waiting, id)
}

// retryReply decides whether a request that did not get an answer is tried
// again. It returns false if the request has to end.
func (s *Shard) retryReply(r *request, refused *api.Refusal) bool {
	now := s.cfg.Clock()
	delay, again, reason := s.retries.Decide(now, retry.Attempt{
		Outcome: refused.Outcome, Kind: refused.Kind, Idempotent: r.forward.Idempotent,
		Number: r.attempts, Remaining: r.deadline - now, RetryAfter: refused.RetryAfter,
	}, s.rng)
	s.cfg.Metrics.Retries.WithLabelValues(string(retry.Holder), string(reason)).Inc()
	if again && !s.closed && !s.frozen {
		s.later(r, delay, func(now time.Duration) { s.enqueue(now, r) })
		return true
	}
	return false
}

package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/retry"
	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/peer"
	"dandelionhill.dev/server/wait"
)

const (
	// holderPollInterval is how often a waiting request looks up the holder of its
	// shard.
	holderPollInterval = 20 * time.Millisecond
	// sameHolderDelay is the time after which a holder that refused a request is
	// tried again although no other VM has claimed the shard: one heartbeat
	// interval, in which a claim would have arrived.
	sameHolderDelay = 200 * time.Millisecond
	// maxWaitingRequests bounds the requests that wait for a holder at one VM. Each
	// keeps a body of at most 1 MiB in memory.
	maxWaitingRequests = 1024
)

// attempt is the result of one attempt to forward a request.
type attempt struct {
	reply   *wire.Reply
	holder  control.Holder // empty if no holder was known
	sent    bool           // the frame was queued for the holder
	noReply bool           // the connection broke before the reply
}

// run forwards a request to the holder of its shard until it has an outcome.
func (e *Entry) run(ctx context.Context, name api.ServiceName, f *wire.Forward) *wire.Reply {
	deadline := e.cfg.Clock() + time.Duration(f.TimeoutMs)*time.Millisecond
	e.countRequest(name)
	retriedNoReply := false
	for number := 1; ; number++ {
		f.TimeoutMs = max(1, (deadline - e.cfg.Clock()).Milliseconds())
		last := e.forward(ctx, f)
		if last.reply.Refusal == nil {
			return last.reply
		}
		switch {
		case last.noReply && f.Idempotent && !retriedNoReply:
			retriedNoReply = true
		case last.reply.Refusal.Outcome == api.NotRun && resolvedByNewHolder(last.reply.Refusal.Kind):
		default:
			delay, allowed := e.retryDelay(name, f, last.reply, number, deadline)
			if !allowed || !wait.For(ctx, delay) {
				return last.reply
			}
			continue
		}
		if !e.awaitHolder(ctx, f.Shard, last, deadline) {
			return last.reply
		}
		f.Waited = true
	}
}

// resolvedByNewHolder reports whether a new holder of the shard may accept the request.
func resolvedByNewHolder(kind api.Kind) bool { return kind == api.NotHolder || kind == api.NoHolder }

// awaitHolder waits until the holder of a shard may accept the request of the last
// attempt. It returns false if that does not happen before until, or if too many
// requests are waiting. Waiting sends nothing, so it does not count against the
// retry budget.
func (e *Entry) awaitHolder(ctx context.Context, shard api.ShardID, last attempt, until time.Duration) bool {
	if e.waiting.Add(1) > maxWaitingRequests {
		e.waiting.Add(-1)
		return false
	}
	defer e.waiting.Add(-1)
	retryAt := e.cfg.Clock()
	if last.sent {
		retryAt += sameHolderDelay
	}
	for {
		if e.cfg.Clock()+holderPollInterval >= until || !wait.For(ctx, holderPollInterval) {
			return false
		}
		holder, known := e.cfg.Snapshot().Holders[shard]
		if known && (holder != last.holder || e.cfg.Clock() >= retryAt) {
			return true
		}
	}
}

// retryDelay decides whether the entry forwards a refused request again, and when.
func (e *Entry) retryDelay(name api.ServiceName, f *wire.Forward, reply *wire.Reply, number int, deadline time.Duration) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock()
	delay, ok, reason := e.retryBudget(name).Decide(now, retry.Attempt{
		Outcome: reply.Refusal.Outcome, Kind: reply.Refusal.Kind, Idempotent: f.Idempotent,
		Number: number, Remaining: deadline - now, RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
	}, e.random)
	e.cfg.Metrics.Retries.WithLabelValues(string(retry.Entry), string(reason)).Inc()
	return delay, ok
}

func (e *Entry) countRequest(name api.ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryBudget(name).Request()
}

func (e *Entry) retryBudget(name api.ServiceName) *retry.Budget {
	b := e.retries[name]
	if b == nil {
		b = retry.NewBudget(retry.DefaultConfig(retry.Entry))
		e.retries[name] = b
	}
	return b
}

// forward makes one attempt.
func (e *Entry) forward(ctx context.Context, f *wire.Forward) attempt {
	s := e.cfg.Snapshot()
	holder, known := s.Holders[f.Shard]
	if !known {
		return attempt{reply: wire.Refused(api.Refuse(api.NoHolder, "shard "+f.Shard.String()+" has no holder at the moment").WithRetryAfter(takeoverRetryAfter))}
	}
	if holder.VM == e.cfg.Self {
		return attempt{reply: e.ServeLocal(ctx, f), holder: holder, sent: true}
	}
	reply := new(wire.Reply)
	err := e.call(ctx, holder, f, reply)
	switch {
	case err == nil:
		return attempt{reply: reply, holder: holder, sent: true}
	case errors.Is(err, peer.ErrNoMemory):
		return attempt{reply: wire.Refused(api.Refuse(api.Shed, err.Error()).WithRetryAfter(takeoverRetryAfter)), holder: holder}
	case errors.Is(err, peer.ErrNotSent):
		return attempt{reply: wire.Refused(api.Refuse(api.NotHolder, err.Error()).WithRetryAfter(takeoverRetryAfter)), holder: holder}
	case ctx.Err() != nil:
		return attempt{reply: wire.Refused(api.Refuse(api.UpstreamTimeout, "the holder of the shard did not respond in time")), holder: holder, sent: true}
	default:
		return attempt{reply: wire.Refused(api.Refuse(api.UpstreamFailed, err.Error())), holder: holder, sent: true, noReply: true}
	}
}

// call forwards a request to a holder. It abandons an idempotent request when another
// VM has become holder: the former one may be paused or partitioned without a break
// of the connection, and would keep the request until its deadline.
func (e *Entry) call(ctx context.Context, holder control.Holder, f *wire.Forward, reply *wire.Reply) error {
	if !f.Idempotent {
		return e.cfg.Forward.Call(ctx, holder.VM, wire.TypeForward, f, reply)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		ticker := time.NewTicker(sameHolderDelay)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if current, known := e.cfg.Snapshot().Holders[f.Shard]; known && current != holder {
				cancel()
				return
			}
		}
	}()
	return e.cfg.Forward.Call(ctx, holder.VM, wire.TypeForward, f, reply)
}

// takeoverRetryAfter is the retry delay in refusals for lack of a holder: about the
// time that a takeover takes.
const takeoverRetryAfter = time.Second

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
	// holderWait is how often a waiting request looks again for the holder of
	// its shard.
	holderWait = 20 * time.Millisecond
	// sameHolderWait is the time after which a holder that refused a request is
	// asked again although no other VM has claimed the shard: one heartbeat
	// interval, in which a claim would have arrived.
	sameHolderWait = 200 * time.Millisecond
	// maxWaiting bounds the requests that wait at one VM for a holder. Each
	// keeps a body of at most 1 MiB in memory.
	maxWaiting = 1024
)

// attempt is the result of forwarding a request once.
type attempt struct {
	reply  *wire.Reply
	target control.Holder // empty if no holder was known
	sent   bool           // the frame was given to the target's connection
	lost   bool           // the connection broke before the reply
}

// run forwards a request to the holder of its shard until it has an outcome.
func (e *Entry) run(ctx context.Context, name api.ServiceName, f *wire.Forward) *wire.Reply {
	deadline := e.cfg.Clock() + time.Duration(f.TimeoutMs)*time.Millisecond
	e.earn(name)
	lost := false
	for number := 1; ; number++ {
		f.TimeoutMs = max(1, (deadline - e.cfg.Clock()).Milliseconds())
		last := e.forward(ctx, f)
		if last.reply.Refusal == nil {
			return last.reply
		}
		switch {
		case last.lost && f.Idempotent && !lost:
			lost = true
		case last.reply.Refusal.Outcome == api.NotRun && isHolderKind(last.reply.Refusal.Kind):
		default:
			delay, again := e.again(name, f, last.reply, number, deadline)
			if !again || !wait.For(ctx, delay) {
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

// isHolderKind reports whether a refusal ends when the shard has a new holder.
func isHolderKind(kind api.Kind) bool { return kind == api.NotHolder || kind == api.NoHolder }

// awaitHolder waits until the holder of a shard may accept what the last
// attempt could not deliver. It returns false if that does not happen before
// until, or if too many requests wait already. Waiting sends nothing, so it
// takes nothing from the retry budget.
func (e *Entry) awaitHolder(ctx context.Context, shard api.ShardID, last attempt, until time.Duration) bool {
	if e.waiting.Add(1) > maxWaiting {
		e.waiting.Add(-1)
		return false
	}
	defer e.waiting.Add(-1)
	askAgain := e.cfg.Clock()
	if last.sent {
		askAgain += sameHolderWait
	}
	for {
		if e.cfg.Clock()+holderWait >= until || !wait.For(ctx, holderWait) {
			return false
		}
		target, known := e.cfg.Snapshot().Holders[shard]
		if known && (target != last.target || e.cfg.Clock() >= askAgain) {
			return true
		}
	}
}

// again decides whether the entry forwards a refused request once more.
func (e *Entry) again(name api.ServiceName, f *wire.Forward, reply *wire.Reply, number int, deadline time.Duration) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock()
	delay, ok, reason := e.budget(name).Decide(now, retry.Attempt{
		Outcome: reply.Refusal.Outcome, Kind: reply.Refusal.Kind, Idempotent: f.Idempotent,
		Number: number, Remaining: deadline - now, RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
	}, e.rng)
	e.cfg.Metrics.Retries.WithLabelValues(string(retry.Entry), string(reason)).Inc()
	return delay, ok
}

func (e *Entry) earn(name api.ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(name).Request()
}

func (e *Entry) budget(name api.ServiceName) *retry.Budget {
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
	target, known := s.Holders[f.Shard]
	if !known {
		return attempt{reply: wire.Refused(api.Refuse(api.NoHolder, "shard "+f.Shard.String()+" has no holder at the moment").WithRetryAfter(retryHolder))}
	}
	if target.VM == e.cfg.Self {
		return attempt{reply: e.ServeLocal(ctx, f), target: target, sent: true}
	}
	reply := new(wire.Reply)
	err := e.call(ctx, target, f, reply)
	switch {
	case err == nil:
		return attempt{reply: reply, target: target, sent: true}
	case errors.Is(err, peer.ErrNotSent):
		return attempt{reply: wire.Refused(api.Refuse(api.NotHolder, err.Error()).WithRetryAfter(retryHolder)), target: target}
	case ctx.Err() != nil:
		return attempt{reply: wire.Refused(api.Refuse(api.UpstreamTimeout, "the holder of the shard did not answer in time")), target: target, sent: true}
	default:
		return attempt{reply: wire.Refused(api.Refuse(api.UpstreamFailed, err.Error())), target: target, sent: true, lost: true}
	}
}

// call forwards a request to a holder. An idempotent request is abandoned when
// another VM has become holder: the former one may be paused or cut off without
// a break of the connection, and would keep the request until its deadline.
func (e *Entry) call(ctx context.Context, target control.Holder, f *wire.Forward, reply *wire.Reply) error {
	if !f.Idempotent {
		return e.cfg.Forward.Call(ctx, target.VM, wire.TypeForward, f, reply)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		ticker := time.NewTicker(sameHolderWait)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if now, known := e.cfg.Snapshot().Holders[f.Shard]; known && now != target {
				cancel()
				return
			}
		}
	}()
	return e.cfg.Forward.Call(ctx, target.VM, wire.TypeForward, f, reply)
}

// retryHolder is the delay that a refusal without a holder suggests: about the
// time that a takeover takes.
const retryHolder = time.Second

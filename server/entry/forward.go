package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/retry"
	"dandelionhill.dev/server/peer"
)

// holderWait is how often a request looks again for the holder of its shard.
const holderWait = 20 * time.Millisecond

// run forwards a request to the holder of its shard until it has an outcome.
func (e *Entry) run(ctx context.Context, name api.ServiceName, f *wire.Forward) *wire.Reply {
	deadline := e.cfg.Clock() + time.Duration(f.TimeoutMs)*time.Millisecond
	e.earn(name)
	for number := 1; ; number++ {
		f.TimeoutMs = max(1, (deadline - e.cfg.Clock()).Milliseconds())
		reply := e.forward(ctx, f)
		if reply.Refusal == nil {
			return reply
		}
		delay, again := e.again(name, f, reply, number, deadline)
		if !again {
			return reply
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return reply
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
func (e *Entry) forward(ctx context.Context, f *wire.Forward) *wire.Reply {
	s := e.cfg.Snapshot()
	target, known := s.Holders[f.Shard]
	if !known {
		return refusal(api.Refuse(api.NoHolder, "shard "+f.Shard.String()+" has no holder at the moment").After(retryHolder))
	}
	if target.VM == e.cfg.Self {
		return e.Local(ctx, f)
	}
	reply := new(wire.Reply)
	err := e.cfg.Forward.Call(ctx, target.VM, wire.TypeForward, f, reply)
	switch {
	case err == nil:
		return reply
	case errors.Is(err, peer.ErrNotSent):
		return refusal(api.Refuse(api.NotHolder, err.Error()).After(holderWait))
	case ctx.Err() != nil:
		return refusal(api.Refuse(api.UpstreamTimeout, "the holder of the shard did not answer in time"))
	default:
		return refusal(api.Refuse(api.UpstreamFailed, err.Error()))
	}
}

// retryHolder is the delay that a refusal without a holder suggests: about the
// time that a takeover takes.
const retryHolder = time.Second

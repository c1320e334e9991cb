package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
)

const (
	// electionPause is the time between looks at the lease while there is no granter.
	electionPause = 300 * time.Millisecond
	// takeoverJitter keeps VMs from taking over at the same moment.
	takeoverJitter = 150 * time.Millisecond
	// checkEvery is the time between looks at the lease while the granter cannot
	// renew it, checkTimeout bounds one.
	checkEvery   = 350 * time.Millisecond
	checkTimeout = 300 * time.Millisecond
	// promiseTime is for how long a VM that does not reach the store leaves a
	// granter alone; promiseTravel covers the way of the message.
	promiseTime   = 1200 * time.Millisecond
	promiseTravel = 200 * time.Millisecond
)

// election keeps one VM granting and the others connected to it.
type election struct {
	self        api.VMID
	incarnation api.Incarnation
	address     string
	bounds      Bounds
	control     *control
	stats       *stats
	links       *links
	metrics     *metrics
	log         zerolog.Logger

	// started is when this process began, promise until when it will not take
	// over, both on bootTime. A process that starts again has forgotten its promise.
	started time.Duration
	promise atomic.Int64
	// checked is when the lease was last read because the granter could not renew it.
	checked time.Duration
}

// run takes part in the election until ctx ends.
func (e *election) run(ctx context.Context) {
	refused := false
	for ctx.Err() == nil {
		state, err := e.control.readOwn(ctx)
		if err != nil {
			e.log.Warn().Str("event", "lease_not_read").Err(err).Msg("")
			sleep(ctx, electionPause)
			continue
		}
		e.adopt(state)
		l := state.lease
		free := l.version == 0 || l.Released || l.VM == "" || l.VM == e.self
		if free || refused || l.age > leaseStale {
			refused = false
			if !free {
				sleep(ctx, time.Duration(rand.Int64N(int64(takeoverJitter))))
				again, err := e.control.readOwn(ctx)
				if err != nil || again.lease.version != l.version {
					continue
				}
				state, l = again, again.lease
			}
			if wait := e.promisedFor(); wait > 0 && l.version != 0 {
				sleep(ctx, wait)
				continue
			}
			if e.takeOver(ctx, state, free) {
				continue
			}
			sleep(ctx, time.Duration(rand.Int64N(int64(takeoverJitter))))
			continue
		}
		err = e.links.attend(ctx, l.Address, l.Term, func(u update) error { return e.hear(ctx, u) }, e.promised)
		refused = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		e.log.Info().Str("event", "granter_lost").Str("granter", string(l.VM)).Int64("term", l.Term).Err(err).Msg("")
		if !refused {
			sleep(ctx, electionPause/3)
		}
	}
}

// adopt lets requests find the owners that the store names, while no granter
// tells the present ones.
func (e *election) adopt(state ownState) {
	if state.lease.version == 0 {
		return
	}
	updates := make(map[api.ServiceName]holdings)
	for service, entries := range state.holdings {
		updates[service] = holdings{Term: state.lease.Term, Turn: 0, Spans: ownership.HoldingsOf(entries)}
	}
	v := e.control.view()
	of := v.of
	if v.rank < 0 && state.lease.VMs > 0 {
		of = max(state.lease.VMs, 1)
	}
	e.control.hold(updates, v.rank, of)
}

// errLeaseStale means that the granter cannot renew its lease while this VM
// reaches the store.
var errLeaseStale = errors.New("the granter has not renewed its lease and the store answers: take over")

// hear notes what the granter says. A granter that cannot reach the store is
// replaced by a VM that can; a VM that cannot either promises to leave it alone.
func (e *election) hear(ctx context.Context, u update) error {
	e.control.hold(u.Holdings, u.Rank, u.Of)
	now := bootTime()
	if !u.StoreSilent || now-e.checked < checkEvery {
		return nil
	}
	e.checked = now
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	state, err := e.control.readOwn(ctx)
	if err != nil {
		e.promise.Store(int64(bootTime() + promiseTime))
		return nil
	}
	if state.lease.age > leaseStale {
		return errLeaseStale
	}
	return nil
}

// promised returns for how long this VM will not take over, in milliseconds.
func (e *election) promised() int64 {
	return max((time.Duration(e.promise.Load()) - bootTime()).Milliseconds(), 0)
}

// promisedFor returns for how long this VM must not take over.
func (e *election) promisedFor() time.Duration {
	return max(time.Duration(e.promise.Load()), e.started+promiseTime) - bootTime()
}

// takeOver tries to become the granter, and grants while it is.
func (e *election) takeOver(ctx context.Context, state ownState, free bool) bool {
	former := state.lease
	next := lease{
		VM: e.self, Incarnation: e.incarnation, Address: e.address, Term: former.Term + 1, Seq: 1,
		AtMs: (time.Duration(former.AtMs)*time.Millisecond + former.age).Milliseconds(), VMs: former.VMs,
	}
	sent := bootTime()
	page, err := e.control.commit(ctx, former.version, next, nil)
	if err != nil {
		e.log.Info().Str("event", "takeover_failed").Int64("term", next.Term).Err(err).Msg("")
		return false
	}
	before := e.predecessor(former, free, sent)
	e.log.Info().Str("event", "granter_started").Int64("term", next.Term).Str("predecessor", string(former.VM)).
		Dur("moves_in_ms", before.Until-sent).Dur("predecessor_age_ms", former.age).Dur("predecessor_hold_ms", before.Hold).Msg("")
	g := newGranter(e, next, page.Version, sent, before, state)
	e.metrics.granter.Set(1)
	g.run(ctx)
	e.metrics.granter.Set(0)
	e.log.Info().Str("event", "granter_stopped").Int64("term", next.Term).Msg("")
	return true
}

// predecessor returns what the granter before may still do. It may act until its
// lease has run out; a lease that was released, or that this VM held before it
// restarted, ended with its process.
func (e *election) predecessor(former leaseRow, free bool, sent time.Duration) ownership.Predecessor {
	now := bootTime()
	before := ownership.Predecessor{Until: sent, Hold: min(ownership.DefaultConfig(fleet.Keys).Hold, e.bounds.Hold.D())}
	if !free {
		before.Until = now + max(leaseTime-former.age, 0)
	}
	before.LateUntil = before.Until + before.Hold
	if former.Released {
		before.LateUntil = now + time.Duration(former.LateMs)*time.Millisecond
	}
	return before
}

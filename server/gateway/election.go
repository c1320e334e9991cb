package gateway

import (
	"context"
	"math/rand/v2"
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

	// heard is when a granter last spoke to this VM, extended until when that
	// granter may have granted longer leases, both on bootTime.
	heard, extended time.Duration
	heardAny        bool
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
			if e.takeOver(ctx, state, free) {
				continue
			}
			sleep(ctx, time.Duration(rand.Int64N(int64(takeoverJitter))))
			continue
		}
		err = e.links.attend(ctx, l.Address, l.Term, e.hear)
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

// hear notes what the granter says.
func (e *election) hear(u update) {
	now := bootTime()
	e.heard, e.heardAny = now, true
	if u.ExtendedMs > 0 {
		e.extended = now + time.Duration(u.ExtendedMs)*time.Millisecond
	}
	e.control.hold(u.Holdings, u.Rank, u.Of)
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
	before := ownership.Predecessor{Until: sent, Hold: ownership.DefaultConfig(fleet.Keys).Hold}
	if !free {
		before.Until = now + max(leaseTime-former.age, 0)
		// The leases may have been made longer if nobody has told this VM otherwise.
		if known := e.heardAny && sent-e.heard < leaseStale; !known || sent < e.extended {
			before.Hold = e.bounds.Hold.D()
		}
	}
	before.LateUntil = before.Until + before.Hold
	if former.Released {
		before.LateUntil = now + time.Duration(former.LateMs)*time.Millisecond
	}
	return before
}

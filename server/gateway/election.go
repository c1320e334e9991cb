package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// peersAsked bounds the VMs that one without store asks for the granter.
	peersAsked = 3
	// silencePause is the time between looks at the lease of a silent granter.
	silencePause = 250 * time.Millisecond
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
	metrics     *Metrics
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
	var known leaseRow // the lease that was read last
	var lost error     // why the connection to its granter ended
	for ctx.Err() == nil {
		state, err := e.control.readOwn(ctx)
		if err != nil {
			e.log.Warn().Str("event", "lease_not_read").Err(err).Msg("")
			if e.followUnread(ctx, known.lease) != nil {
				sleep(ctx, electionPause)
			}
			continue
		}
		e.adopt(state)
		former := known.version
		known = state.lease
		if known.version != former && !errors.Is(lost, errGranterEnded) {
			lost = nil
		}
		ended := errors.Is(lost, errGranterEnded)
		switch {
		case ended || known.vacant(e.self):
			lost = nil
			e.campaign(ctx, state)
		case known.age > leaseStale:
			lost = nil
			if wait := e.promisedFor(); wait <= 0 {
				e.campaign(ctx, state)
			} else if lost = e.follow(ctx, known.lease); !errors.Is(lost, errGranterEnded) {
				sleep(ctx, min(wait, silencePause))
			}
		case lost != nil:
			// The granter was silent: its next renewal shows whether it still is there.
			sleep(ctx, silencePause)
		default:
			lost = e.follow(ctx, known.lease)
		}
	}
}

// followUnread follows a granter while the store does not tell who it is: the one
// that was known last, or the one that another VM knows.
func (e *election) followUnread(ctx context.Context, last lease) error {
	e.links.mu.Lock()
	peers := slices.Clone(e.links.peers)
	if heard := e.links.known; heard.Term > last.Term {
		last = heard
	}
	e.links.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err := errors.New("no other VM is known")
	if last.VM != "" && last.VM != e.self {
		if err = e.follow(ctx, last); err == nil {
			return nil
		}
	}
	var moved *errMoved
	for _, address := range peers[:min(len(peers), peersAsked)] {
		if errors.As(err, &moved) && moved.to.Term > last.Term {
			last = moved.to
			if err = e.follow(ctx, last); err == nil {
				return nil
			}
			continue
		}
		if address != e.address {
			err = e.follow(ctx, lease{VM: "unknown", Address: address})
		}
	}
	return err
}

// vacant reports whether nobody can hold the lease: self has no lease in this
// process yet, so one of its own is that of a process before.
func (l leaseRow) vacant(self api.VMID) bool {
	return l.version == 0 || l.Released || l.VM == "" || l.VM == self
}

// errGranterEnded means that the granter's process is not there any more.
var errGranterEnded = errors.New("the granter's process has ended: take over")

// follow stays connected to a granter. It returns why that ended.
func (e *election) follow(ctx context.Context, l lease) error {
	err := e.links.attend(ctx, l, func(u update) error { return e.hear(ctx, u) }, e.promised)
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = errors.Wrap(errGranterEnded, err.Error())
	}
	e.log.Info().Str("event", "granter_lost").Str("granter", string(l.VM)).Int64("term", l.Term).Err(err).Msg("")
	return err
}

// campaign takes over unless another VM is faster.
func (e *election) campaign(ctx context.Context, state ownState) {
	l := state.lease
	sleep(ctx, time.Duration(rand.Int64N(int64(takeoverJitter))))
	if !l.vacant(e.self) {
		again, err := e.control.readOwn(ctx)
		if err != nil || again.lease.version != l.version {
			return
		}
		state = again
	}
	e.takeOver(ctx, state)
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
	if rows := e.links.relay.relayed(u); len(rows) > 0 {
		e.control.upstreamRows(rows, false)
	}
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
func (e *election) takeOver(ctx context.Context, state ownState) {
	former := state.lease
	next := lease{
		VM: e.self, Incarnation: e.incarnation, Address: e.address, Term: former.Term + 1, Seq: 1,
		AtMs: (time.Duration(former.AtMs)*time.Millisecond + former.age).Milliseconds(), VMs: former.VMs,
	}
	sent := bootTime()
	page, err := e.control.commit(ctx, former.version, next, nil)
	if err != nil {
		e.log.Info().Str("event", "takeover_failed").Int64("term", next.Term).Err(err).Msg("")
		return
	}
	before := e.predecessor(former, sent)
	e.log.Info().Str("event", "granter_started").Int64("term", next.Term).Str("predecessor", string(former.VM)).
		Dur("moves_in_ms", before.Until-sent).Dur("predecessor_age_ms", former.age).Dur("predecessor_hold_ms", before.Hold).Msg("")
	g := newGranter(e, next, page.Version, sent, before, state)
	e.metrics.granter.Set(1)
	g.run(ctx)
	e.metrics.granter.Set(0)
	e.log.Info().Str("event", "granter_stopped").Int64("term", next.Term).Msg("")
}

// predecessor returns what the granter before may still do. It may act until its
// lease has run out; a lease that was released, or that this VM held before it
// restarted, ended with its process.
func (e *election) predecessor(former leaseRow, sent time.Duration) ownership.Predecessor {
	now := bootTime()
	before := ownership.Predecessor{Until: sent, Hold: min(ownership.DefaultConfig(fleet.Keys).Hold, e.bounds.Hold.D())}
	if !former.vacant(e.self) {
		before.Until = now + max(leaseTime-former.age, 0)
	}
	before.LateUntil = before.Until + before.Hold
	if former.Released {
		before.LateUntil = now + time.Duration(former.LateMs)*time.Millisecond
	}
	return before
}

package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/wait"
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
	// movedTries bounds the attempts to reach a granter that another one has named,
	// movedPause is the time between them.
	movedTries = 4
	movedPause = 80 * time.Millisecond
)

// elector keeps one VM granting and the others connected to it.
type elector struct {
	self        api.VMID
	incarnation api.Incarnation
	address     string
	bounds      Bounds
	control     *control
	stats       *stats
	links       *links
	metrics     *Metrics
	log         zerolog.Logger

	mu    sync.Mutex
	voter *election.Voter
	// checked is when the lease was last read because the granter could not renew it.
	checked time.Duration
}

// vote runs a call of the voter, on bootTime.
func vote[T any](e *elector, call func(v *election.Voter, now time.Duration) T) T {
	e.mu.Lock()
	defer e.mu.Unlock()
	return call(e.voter, bootTime())
}

// promise notes that the store does not answer, and returns for how long this VM
// leaves the granter alone.
func (e *elector) promise() time.Duration {
	return vote(e, func(v *election.Voter, now time.Duration) time.Duration {
		v.StoreUnreachable(now)
		return v.PromiseRemaining(now)
	})
}

// promised returns for how long this VM leaves the granter alone.
func (e *elector) promised() time.Duration { return vote(e, (*election.Voter).PromiseRemaining) }

// leave announces that this process stops.
func (e *elector) leave() {
	e.mu.Lock()
	e.voter.Leave()
	e.mu.Unlock()
	e.links.leaving.Store(true)
	e.links.reportNow()
}

// run takes part in the election until ctx ends.
func (e *elector) run(ctx context.Context) {
	var known leaseRow // the lease that was read last
	var lost error     // why the connection to its granter ended
	for ctx.Err() == nil {
		if next := e.succession(ctx, lost); next != nil {
			lost = next
			continue
		}
		state, err := e.control.readOwn(ctx)
		if err != nil {
			e.log.Warn().Str("event", "lease_not_read").Err(err).Msg("")
			if lost = e.followUnread(ctx, known.lease); !isSuccession(lost) {
				lost = nil
				wait.For(ctx, electionPause)
			}
			continue
		}
		e.adopt(state)
		ended := endedIn(lost, state.lease.Term)
		if known.version != state.lease.version && !ended {
			lost = nil
		}
		known = state.lease
		seen := known.seen(e.self, ended)
		switch vote(e, func(v *election.Voter, now time.Duration) election.Step { return v.Next(now, seen, lost != nil) }) {
		case election.Campaign:
			lost = nil
			e.campaign(ctx, state, seen)
		case election.Follow:
			lost = e.follow(ctx, known.lease)
		case election.Wait:
			wait.For(ctx, silencePause)
		}
	}
}

// isSuccession reports whether a connection ended because the granter has named
// another one.
func isSuccession(lost error) bool {
	var moved *errMoved
	var handed *errHandedOver
	return errors.As(lost, &moved) || errors.As(lost, &handed)
}

// succession acts on a granter's word about the one after it, without the store.
// It returns why that ended, nil if the granter has named nobody.
func (e *elector) succession(ctx context.Context, lost error) error {
	var handed *errHandedOver
	if errors.As(lost, &handed) {
		e.caretake(ctx, handed)
		return nil
	}
	var moved *errMoved
	if !errors.As(lost, &moved) || moved.to.VM == e.self {
		return nil
	}
	var err error
	for range movedTries {
		began := bootTime()
		if err = e.follow(ctx, moved.to); isSuccession(err) || bootTime()-began > linkSilence {
			return err
		}
		wait.For(ctx, movedPause)
	}
	return nil
}

// followUnread follows a granter while the store does not tell who it is: the one
// that was known last, or the one that another VM knows.
func (e *elector) followUnread(ctx context.Context, last lease) error {
	e.links.mu.Lock()
	peers := slices.Clone(e.links.peers)
	if heard := e.links.known; heard.after(last) {
		last = heard
	}
	e.links.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err := errors.New("no other VM is known")
	last.unread = true
	if last.VM != "" && last.VM != e.self {
		if err = e.follow(ctx, last); isSuccession(err) {
			return err
		}
	}
	for _, address := range peers[:min(len(peers), peersAsked)] {
		if address == e.address {
			continue
		}
		if err = e.follow(ctx, lease{VM: unknownVM, Address: address, unread: true}); isSuccession(err) {
			return err
		}
	}
	return err
}

// errGranterEnded means that the process of a term's granter is not there any more.
type errGranterEnded struct {
	term  int64 // 0 if not known
	cause error
}

// Error implements error.
func (e *errGranterEnded) Error() string {
	return "the granter's process has ended, take over: " + e.cause.Error()
}

// endedIn reports whether err says that the granter of a term has ended.
func endedIn(err error, term int64) bool {
	var ended *errGranterEnded
	return errors.As(err, &ended) && ended.term == term && term > 0
}

// follow stays connected to a granter. It returns why that ended.
func (e *elector) follow(ctx context.Context, l lease) error {
	err := e.links.attend(ctx, l, func(u update) error { return e.hear(ctx, u) })
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = &errGranterEnded{term: l.Term, cause: err}
	}
	e.log.Info().Str("event", "granter_lost").Str("granter", string(l.VM)).Int64("term", l.Term).Err(err).Msg("")
	return err
}

// campaign takes over unless another VM is faster.
func (e *elector) campaign(ctx context.Context, state ownState, seen election.Lease) {
	l := state.lease
	wait.For(ctx, time.Duration(rand.Int64N(int64(takeoverJitter))))
	if l.VM != e.self && !seen.Vacant {
		again, err := e.control.readOwn(ctx)
		if err != nil || again.lease.version != l.version {
			return
		}
		state = again
	}
	e.takeOver(ctx, state, seen.GranterEnded)
}

// adopt lets requests find the owners that the store names, while no granter
// tells the present ones.
func (e *elector) adopt(state ownState) {
	if state.lease.version == 0 {
		return
	}
	updates := make(map[api.ServiceName]holdings)
	for service, entries := range state.holdings {
		updates[service] = holdings{Term: state.lease.Term, Turn: 0, Spans: ownership.SpanOwners(entries)}
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
func (e *elector) hear(ctx context.Context, u update) error {
	e.control.hold(u.Holdings, u.Rank, u.Of)
	if u.Knowledge != nil {
		e.control.learn(u.Knowledge)
		e.links.relay.begin(u.Knowledge.UpstreamsTo)
	}
	if rows := e.links.relay.relayed(u); len(rows) > 0 {
		e.control.upstreamRows(rows, false)
	}
	if u.Handover != nil {
		return &errHandedOver{handover: *u.Handover, received: bootTime()}
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
		e.promise()
		e.links.reportNow()
		return nil
	}
	if state.lease.age > election.DefaultConfig().StaleAfter {
		return errLeaseStale
	}
	return nil
}

// takeOver tries to become the granter, and grants while it is. ended says that
// the granter before is known to have ended.
func (e *elector) takeOver(ctx context.Context, state ownState, ended bool) {
	former := state.lease
	seen := former.seen(e.self, ended)
	until := vote(e, func(v *election.Voter, _ time.Duration) time.Duration {
		return v.PredecessorsUntil(former.readAt, seen)
	})
	e.grantFrom(ctx, state, e.predecessor(former, until))
}

// predecessor returns what the granters before may still do: act until a time, and
// have sent grants until then that take effect late.
func (e *elector) predecessor(former leaseRow, until time.Duration) ownership.Predecessor {
	before := ownership.Predecessor{Until: until, MaxLeaseTTL: min(ownership.DefaultConfig(fleet.KeyCount).LeaseTTL, e.bounds.MaxLease.AsDuration())}
	before.InDoubtUntil = before.Until + before.MaxLeaseTTL
	if former.Released && former.BeforeMs == 0 {
		before.InDoubtUntil = former.readAt + time.Duration(former.LateMs)*time.Millisecond
	}
	return before
}

// grantFrom writes the lease of a new term, and grants if it could.
func (e *elector) grantFrom(ctx context.Context, state ownState, before ownership.Predecessor) {
	former := state.lease
	next := lease{
		VM: e.self, Incarnation: e.incarnation, Address: e.address, Term: former.Term + 1, Seq: 1,
		AtMs: (time.Duration(former.AtMs)*time.Millisecond + former.age).Milliseconds(), VMs: former.VMs,
		BeforeMs: max(before.Until-former.readAt+callTimeout, 0).Milliseconds(),
	}
	sent := bootTime()
	if before.Until <= sent {
		next.BeforeMs = 0
	}
	page, err := e.control.commit(ctx, former.version, next, nil)
	if err != nil {
		e.log.Info().Str("event", "takeover_failed").Int64("term", next.Term).Err(err).Msg("")
		return
	}
	e.log.Info().Str("event", "granter_started").Int64("term", next.Term).Str("predecessor", string(former.VM)).
		Dur("moves_in_ms", max(before.Until-sent, 0)).Dur("predecessor_age_ms", former.age).Dur("predecessor_hold_ms", before.MaxLeaseTTL).Msg("")
	authority := election.NewAuthority(election.DefaultConfig(), sent, former.VMs)
	e.serve(ctx, newGranter(e, next, page.Version, authority, sent, before, state))
}

// serve runs a granter to its end.
func (e *elector) serve(ctx context.Context, g *granter) {
	e.metrics.granter.Set(1)
	g.run(ctx)
	e.metrics.granter.Set(0)
	e.log.Info().Str("event", "granter_stopped").Int64("term", g.term).Msg("")
}

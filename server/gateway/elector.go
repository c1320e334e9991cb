package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/wait"
)

const (
	// electionRetry is the delay after a failed read of the lease if no granter is found.
	electionRetry = 300 * time.Millisecond
	// maxPeersAsked bounds the VMs that a VM without the store asks for the granter.
	maxPeersAsked = 3
	// granterRetry is the interval between reads of the lease, and between connections to
	// the granter, while connections to it fail.
	granterRetry = 250 * time.Millisecond
	// takeoverJitter spreads the takeover attempts of the VMs.
	takeoverJitter = 150 * time.Millisecond
	// leaseCheckInterval is the interval between reads of the lease while the granter
	// cannot renew it, leaseCheckTimeout bounds one read.
	leaseCheckInterval = 350 * time.Millisecond
	leaseCheckTimeout  = 300 * time.Millisecond
	// successorTries bounds the attempts to connect to a named successor, successorRetry
	// is the interval between them.
	successorTries = 4
	successorRetry = 80 * time.Millisecond
	// restoredPatience is how long after a restore of the store from an older copy the others
	// wait for the granter to write its rows again.
	restoredPatience = 3 * time.Second
	// maxLostTerms is above the number of terms that an older copy can lack: a term lasts a
	// second at least, and a copy is minutes old at most.
	maxLostTerms = 1000
	// lateGrants is for how long grants of a granter that ended without notice can be on their way:
	// a cut of 6 s holds bytes up until the sixth retransmission, 6.2 s after they were sent.
	lateGrants = 7 * time.Second
	// leaseMargin is added to leases of keys for clocks that differ and messages that take
	// long.
	leaseMargin = 0.1
)

// elector elects one VM as the granter and connects the others to it.
type elector struct {
	self        api.VMID
	incarnation api.Incarnation
	address     string
	bounds      Bounds
	control     *control
	stats       *trafficStats
	links       *links
	proxies     *proxies
	metrics     *Metrics
	capacities  capacities
	linkMbps    float64 // of this VM, 0 if it is not known
	buffers     *buffers.Budget
	log         zerolog.Logger

	mu    sync.Mutex
	voter *election.Voter
	// reads decides when this VM reads the lease while it has no granter.
	reads *leaseReads
	// leaseCheckedAt is when the lease was last read because the granter could not renew it.
	leaseCheckedAt time.Duration
	// restoredEra is the last era in which the store was found restored, restoredAt when.
	restoredEra int64
	restoredAt  time.Duration
}

// withVoter calls the voter with the time of bootTime.
func withVoter[T any](e *elector, call func(v *election.Voter, now time.Duration) T) T {
	e.mu.Lock()
	defer e.mu.Unlock()
	return call(e.voter, bootTime())
}

// promiseGranter records that the store does not answer, and returns for how long this
// VM promises not to take over.
func (e *elector) promiseGranter() time.Duration {
	return withVoter(e, func(v *election.Voter, now time.Duration) time.Duration {
		v.StoreUnreachable(now)
		return v.PromiseRemaining(now)
	})
}

// promiseRemaining returns for how long this VM has promised not to take over.
func (e *elector) promiseRemaining() time.Duration {
	return withVoter(e, (*election.Voter).PromiseRemaining)
}

// process returns this process.
func (e *elector) process() election.Process {
	return election.Process{VM: e.self, Incarnation: e.incarnation}
}

// leave announces that this process is stopping.
func (e *elector) leave() {
	e.mu.Lock()
	e.voter.Leave()
	e.mu.Unlock()
	e.links.leaving.Store(true)
	e.links.reportNow()
}

// run takes part in the election until ctx ends.
func (e *elector) run(ctx context.Context) {
	guard := guard{e.metrics, e.log}
	for ctx.Err() == nil {
		if !guard.run("election", func() { e.elect(ctx) }) {
			wait.For(ctx, electionRetry)
		}
	}
}

// elect takes the steps of the election until ctx ends.
func (e *elector) elect(ctx context.Context) {
	var known leaseRow // the lease last read
	var lost error     // why the connection to its granter ended
	ended := false     // whether it has ended since the lease was read
	var state systemState
	confirmed := false      // whether a reader of the lease has found it as last read
	var began time.Duration // of the last attempt to follow the granter
	for ctx.Err() == nil {
		if next := e.followSuccessor(ctx, lost); next != nil {
			lost = next
			continue
		}
		var err error
		if confirmed {
			state.lease = known
		} else if state, err = e.readState(withCallCause(ctx, readCause(known, ended))); err != nil {
			e.log.Warn().Str("event", "lease_not_read").Err(err).Msg("")
			if lost = e.followWithoutStore(ctx, known.lease); !isSuccession(lost) {
				lost = nil
				wait.For(ctx, electionRetry)
			}
			continue
		}
		if !confirmed {
			e.recordRead(state.lease)
			e.adoptStoredOwners(state)
		}
		ended = false
		processEnded := granterEnded(lost, state.lease.Term)
		if known.version != state.lease.version && !processEnded {
			lost = nil
		}
		known = state.lease
		e.capacities.learn(known.Largest)
		lease := known.electionLease(e.process(), processEnded)
		isolated, _ := e.control.reach.isolated()
		step := withVoter(e, func(v *election.Voter, now time.Duration) election.Step {
			v.SetIsolated(isolated)
			return v.Next(now, lease, lost != nil)
		})
		if confirmed && (step == election.Campaign && !processEnded && !e.mayCampaign() || step == election.Follow && bootTime()-began < granterRetry) {
			step = election.Wait
		}
		confirmed = false
		switch step {
		case election.Campaign:
			lost = nil
			e.campaign(ctx, state, lease)
		case election.Follow:
			began = bootTime()
			lost = e.followGranter(ctx, known.lease)
			ended = true
			if bootTime()-began < linkTimeout && !endsFollowing(lost) {
				var moved error
				if known, confirmed, moved = e.awaitLease(ctx, known); moved != nil {
					lost = moved
				}
			}
		case election.Wait:
			var moved error
			if known, confirmed, moved = e.awaitLease(ctx, known); moved != nil {
				lost = moved
			}
		}
	}
}

// readState reads the state of this system in the store. After the store was restored from
// an older copy, it fails until the granter has written again, restoredPatience at most.
func (e *elector) readState(ctx context.Context) (systemState, error) {
	state, err := e.control.readSystem(ctx)
	if err == nil {
		e.links.crashes.merge(state.crashes)
		e.links.crashes.setKnown()
	}
	if err != nil || !state.restored() {
		return state, err
	}
	now := bootTime()
	if e.restoredEra != state.era {
		e.restoredEra, e.restoredAt = state.era, now
	}
	if now-e.restoredAt < restoredPatience {
		return systemState{}, errStoreRestored
	}
	return state, nil
}

// isSuccession reports whether a connection ended because the granter named a
// successor.
func isSuccession(lost error) bool {
	var moved *granterMovedError
	var handed *handedOverError
	return errors.As(lost, &moved) || errors.As(lost, &handed)
}

// endsFollowing reports whether err says what to do instead of connecting to the same
// granter again.
func endsFollowing(err error) bool {
	var ended *granterEndedError
	return isSuccession(err) || errors.As(err, &ended) || errors.Is(err, errLeaseStale)
}

// followSuccessor connects to the granter that the previous one named, or becomes its
// caretaker; it does not use the store. It returns why that ended, nil if no successor
// was named or reached.
func (e *elector) followSuccessor(ctx context.Context, lost error) error {
	var handed *handedOverError
	if errors.As(lost, &handed) {
		e.runCaretaker(ctx, handed)
		return nil
	}
	var moved *granterMovedError
	if !errors.As(lost, &moved) || moved.to.VM == e.self {
		return nil
	}
	var err error
	for range successorTries {
		began := bootTime()
		if err = e.followGranter(ctx, moved.to); isSuccession(err) || bootTime()-began > linkTimeout {
			return err
		}
		wait.For(ctx, successorRetry)
	}
	return nil
}

// followWithoutStore follows the granter last known, or one that another VM knows,
// while the store does not answer.
func (e *elector) followWithoutStore(ctx context.Context, last lease) error {
	e.links.mu.Lock()
	peers := slices.Clone(e.links.peers)
	if newer := e.links.lastGranter; newer.newerThan(last) {
		last = newer
	}
	e.links.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err := errors.New("no other VM is known")
	last.unconfirmed = true
	if last.VM != "" && last.VM != e.self {
		if err = e.followGranter(ctx, last); isSuccession(err) {
			return err
		}
	}
	for _, address := range peers[:min(len(peers), maxPeersAsked)] {
		if address == e.address {
			continue
		}
		if err = e.followGranter(ctx, lease{VM: unknownVM, Address: address, unconfirmed: true}); isSuccession(err) {
			return err
		}
	}
	return err
}

// granterEndedError means that the process of the granter of a term has ended, see
// election.LinkEnd.
type granterEndedError struct {
	term  int64 // 0 if not known
	cause error
}

// Error implements error.
func (e *granterEndedError) Error() string {
	return "the granter has ended, take over: " + e.cause.Error()
}

// granterEnded reports whether err says that the granter of a term has ended.
func granterEnded(err error, term int64) bool {
	var ended *granterEndedError
	return errors.As(err, &ended) && ended.term == term && term > 0
}

// followGranter stays connected to a granter and returns why that ended.
func (e *elector) followGranter(ctx context.Context, l lease) error {
	err := e.links.connect(ctx, l, func(u update) error { return e.handleUpdate(ctx, u) })
	e.log.Info().Str("event", "granter_lost").Str("granter", string(l.VM)).Int64("term", l.Term).Err(err).Msg("")
	return err
}

// campaign takes over unless another VM has done so after a random delay.
func (e *elector) campaign(ctx context.Context, state systemState, electionLease election.Lease) {
	l := state.lease
	if l.Successor != e.self {
		jitter := takeoverJitter
		if e.readsForOthers(l) {
			jitter = readerJitter
		}
		wait.For(ctx, e.capacities.campaignDelay()+time.Duration(rand.Int64N(int64(jitter))))
	}
	if l.VM != e.self && !electionLease.Vacant {
		current, err := e.readState(withCallCause(ctx, causeTakeover))
		if err != nil || current.lease.version != l.version {
			return
		}
		state = current
	}
	e.takeOver(ctx, state, electionLease.GranterEnded)
}

// adoptStoredOwners routes by the owners in the store until a granter sends the
// current ones.
func (e *elector) adoptStoredOwners(state systemState) {
	if state.lease.version == 0 || state.restored() {
		return
	}
	updates := make(map[api.ServiceName]ownerTable)
	for service, entries := range state.owners {
		updates[service] = ownerTable{Term: state.lease.Term, Version: 0, Spans: ownership.SpanOwners(entries)}
	}
	v := e.control.view()
	vms := v.vms
	if v.rank < 0 && state.lease.VMs > 0 {
		vms = max(state.lease.VMs, 1)
	}
	e.control.submitOwners(updates, v.rank, vms)
}

// errLeaseStale means that the granter cannot renew its lease although this VM reaches
// the store.
var errLeaseStale = errors.New("the granter has not renewed its lease and the store answers: take over")

// handleUpdate applies an update from the granter. If the granter cannot reach the store
// but this VM can, it returns an error so that the granter is replaced; if neither can,
// this VM promises not to take over.
func (e *elector) handleUpdate(ctx context.Context, u update) error {
	e.control.operatorFeed.vouched(u.OperatorAgeMs, u.OperatorChange)
	e.capacities.learn(u.Largest)
	e.control.limits.merge(e.control.view(), u.Limits, bootTime(), "granter")
	// What counts from the arrival of an update does not count if it may have waited for this process
	// to run: another granter may have given the rank to another VM, and issued the permits again.
	recent := u.delayed == 0 && !u.late
	e.control.limits.receive(e.control.view(), u.Permits, recent)
	if recent {
		e.control.confirmRank()
		e.control.limits.confirmIssuer()
		e.control.outage.word(!u.StoreUnreachable, statedAge(u.StoreKnownMs))
	} else {
		e.links.reportNow()
	}
	e.control.quotas.update(u.Quota)
	e.control.movesPaused.Store(u.StoreUnreachable)
	e.control.operatorFeed.storeAway(u.StoreUnreachable)
	e.control.upstreamFeed.storeAway(u.StoreUnreachable)
	e.control.leaving.merge(e.control.view(), u.LeavingUpstreams, "granter")
	e.control.wholeCalls.merge(e.control.view(), u.WholeCalls)
	e.control.cold.merge(e.control.view(), u.Cold, "granter")
	if u.Handover == nil && e.control.contentions.receive(e.control.view(), u.Contended) {
		e.links.reportNow()
	}
	if u.Isolated {
		go e.control.reach.answerGranter(ctx)
	}
	if len(u.Reaching) > 0 {
		e.proxies.setReaching(u.Reaching)
	}
	e.control.submitOwners(u.Owners, u.Rank, u.VMs)
	if u.Snapshot != nil {
		e.control.applySnapshot(u.Snapshot)
		e.links.relay.start(u.Snapshot.UpstreamsTo)
	}
	e.applyRelayedOperatorRows(u)
	rows, complete := e.links.relay.apply(u)
	if len(rows) > 0 {
		e.control.submitUpstreamRows(&fleet.Page{Rows: rows}, false)
	}
	if complete && u.RowsAgeMs > 0 {
		e.control.upstreamFeed.relayed(u.RowsAgeMs, u.RowsTo)
	}
	if u.Handover != nil {
		return &handedOverError{handover: *u.Handover, received: bootTime(), reported: time.Duration(u.AnswersMs) * time.Millisecond}
	}
	if !u.StoreUnreachable {
		withVoter(e, func(v *election.Voter, _ time.Duration) struct{} { v.GranterRenews(); return struct{}{} })
		return nil
	}
	now := bootTime()
	if now-e.leaseCheckedAt < leaseCheckInterval {
		return nil
	}
	e.leaseCheckedAt = now
	if !withVoter(e, func(v *election.Voter, now time.Duration) bool {
		checks := v.ChecksStore(rand.Float64(), u.VMs)
		if !checks {
			v.Promise(now)
		}
		return checks
	}) {
		e.links.reportNow()
		return nil
	}
	ctx, cancel := context.WithTimeout(withCallCause(ctx, causeRenewalCheck), leaseCheckTimeout)
	defer cancel()
	state, err := e.readState(ctx)
	if err != nil {
		e.promiseGranter()
		e.links.reportNow()
		return nil
	}
	withVoter(e, func(v *election.Voter, _ time.Duration) struct{} { v.StoreAnswered(); return struct{}{} })
	if state.lease.age > election.DefaultConfig().StaleAfter {
		return errLeaseStale
	}
	return nil
}

// takeOver tries to become the granter, and runs it if that succeeds. ended means
// that the previous granter is known to have ended.
func (e *elector) takeOver(ctx context.Context, state systemState, ended bool) {
	previous := state.lease
	electionLease := previous.electionLease(e.process(), ended)
	until := withVoter(e, func(v *election.Voter, _ time.Duration) time.Duration {
		return v.PredecessorsUntil(previous.readAt, electionLease)
	})
	predecessor := e.predecessor(previous, until)
	if !previous.Released && (electionLease.EarlierProcess || ended) {
		predecessor.LateUntil = previous.readAt + lateGrants
	}
	if state.restored() {
		state = e.withoutOwners(state, &predecessor)
	}
	e.startTerm(ctx, state, predecessor, nil)
}

// withoutOwners returns the state from which a VM takes over after the store was restored
// from an older copy and its granter has not written again. Terms and owners may be lost: the
// next term is above all that can have been, and keys have no owner. They are assigned when
// the granters that are not known can no longer act and their leases have expired.
func (e *elector) withoutOwners(state systemState, predecessor *ownership.Predecessor) systemState {
	state.owners, state.lease.Quotas = nil, nil
	state.lease.Term = max(state.lease.Term, e.knownTerm()) + maxLostTerms
	leases := time.Duration(float64(predecessor.MaxLeaseTTL) * (1 + leaseMargin))
	predecessor.Until = max(predecessor.Until, bootTime()+election.DefaultConfig().LeaseTTL) + leases
	predecessor.InDoubtUntil = predecessor.Until
	return state
}

// knownTerm returns the highest term that this VM knows of.
func (e *elector) knownTerm() int64 {
	e.links.mu.Lock()
	term := e.links.lastGranter.Term
	e.links.mu.Unlock()
	for _, table := range e.control.view().owners {
		term = max(term, table.Term)
	}
	return term
}

// predecessor returns the bounds on earlier granters: until when they may act, and
// until when their unanswered grants may take effect.
func (e *elector) predecessor(previous leaseRow, until time.Duration) ownership.Predecessor {
	predecessor := ownership.Predecessor{Until: until, MaxLeaseTTL: min(e.bounds.ownership().LeaseTTL, e.bounds.MaxLease.AsDuration())}
	predecessor.InDoubtUntil, predecessor.Late = predecessor.Until+e.bounds.maxHold(predecessor.MaxLeaseTTL), e.control.wholeCalls.late()
	if previous.Released && previous.PredecessorsMs == 0 {
		// The granter that released the lease counted its unanswered grants.
		predecessor.Late = nil
		predecessor.InDoubtUntil = previous.readAt + time.Duration(previous.InDoubtMs)*time.Millisecond
	}
	return predecessor
}

// maxHold returns the longest time from the sending of a grant to the end of its lease.
func (b Bounds) maxHold(ttl time.Duration) time.Duration {
	return b.ownership().MaxHold(ttl)
}

// startTerm writes the lease of a new term with rows of owners, and runs the granter if that
// succeeds. Rows of owners that are not in the state are removed.
func (e *elector) startTerm(ctx context.Context, state systemState, predecessor ownership.Predecessor, owners []fleet.Put) {
	ctx, runCtx := withCallCause(ctx, causeTakeover), ctx
	previous := state.lease
	next := lease{
		VM: e.self, Incarnation: e.incarnation, Address: e.address, Term: previous.Term + 1, Seq: 1,
		RenewedAtMs: state.clock.Milliseconds(), VMs: previous.VMs, Largest: previous.Largest, Quotas: previous.Quotas.Successor(),
		PredecessorsMs: max(predecessor.Until-previous.readAt+callTimeout, 0).Milliseconds(), Era: state.era, Readers: previous.Readers,
	}
	sent := bootTime()
	if predecessor.Until <= sent {
		next.PredecessorsMs = 0
	}
	var remove []fleet.RowID
	if state.owners == nil {
		remove = state.ownerRows
	}
	if len(owners)+len(remove) > maxRowsPerTx {
		// These rows say nothing before the lease is written: it names the era they belong to.
		if err := e.control.commitRows(ctx, state.condition(), owners, remove); err != nil {
			e.log.Info().Str("event", "takeover_failed").Int64("term", next.Term).Err(err).Msg("")
			return
		}
		owners, remove = nil, nil
	}
	page, err := e.control.commit(ctx, state.condition(), next, owners, remove)
	if err != nil {
		e.log.Info().Str("event", "takeover_failed").Int64("term", next.Term).Err(err).Msg("")
		return
	}
	e.log.Info().Str("event", "granter_started").Int64("term", next.Term).Str("predecessor", string(previous.VM)).
		Dur("moves_in_ms", max(predecessor.Until-sent, 0)).Dur("predecessor_age_ms", previous.age).Dur("predecessor_hold_ms", predecessor.MaxLeaseTTL).Bool("predecessor_ended", predecessor.Until <= previous.readAt).Msg("")
	// The lease counts from before the moment that its row states.
	authority := election.NewAuthority(election.DefaultConfig(), state.requestedAt, previous.VMs)
	authority.Renewing(sent) // after that moment
	e.runGranter(runCtx, newGranter(e, next, state.condition().after(page.Version), authority, state.requestedAt, predecessor, state))
}

// runGranter runs a granter until its term ends.
func (e *elector) runGranter(ctx context.Context, g *granter) {
	e.metrics.granter.Set(1)
	g.run(ctx)
	e.metrics.granter.Set(0)
	e.log.Info().Str("event", "granter_stopped").Int64("term", g.term).Msg("")
}

package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/wait"
)

// renew writes the lease every renewInterval, and changed owners at once.
func (g *granter) renew(ctx context.Context, now time.Duration) {
	entries := g.links.crashes.snapshot()
	current := quarantinesOf(entries)
	crashesDue := !maps.Equal(current, g.quarantines) && now-g.crashesWrittenAt >= crashesInterval
	due := g.rewrite || crashesDue || len(g.pendingWrites) > 0 || now-g.renewedAt >= renewInterval
	if g.caretaker || g.writing || !due {
		return
	}
	clock := g.control.view().clock
	next := g.lease
	next.Seq++
	next.Era = g.condition.era
	next.RenewedAtMs = clock.latestMs(now)
	next.VMs, next.Largest = len(g.members)+1, g.largestCapacity()
	next.Readers = g.leaseReaders()
	next.PredecessorsMs = max(g.predecessor.Until-now, 0).Milliseconds()
	puts, services, err := g.storedRows.changesOfSome(g.pendingWrites)
	if err != nil {
		g.log.Error().Str("event", "owners_not_encoded").Err(err).Msg("")
		return
	}
	if crashesDue {
		put, err := encodeCrashes(entries, clock.at(now))
		if err != nil {
			g.log.Error().Str("event", "quarantines_not_encoded").Err(err).Msg("")
			return
		}
		puts = append(puts, put)
		g.quarantines, g.crashesWrittenAt = current, now
	}
	for _, name := range services {
		delete(g.pendingWrites, name)
	}
	if len(g.pendingWrites) > 0 {
		// After a restore of the store, the rows that are left are those of the older copy.
		next.Era = g.lease.Era
	}
	next.Quotas = g.quotaRoster(now)
	g.quotas.issuer.Stating(now, next.Quotas)
	g.writing, g.rewrite = true, false
	g.authority.Renewing(clock.latestLocal(now))
	go g.write(ctx, now, next, services, puts)
}

// write retries a transaction with the owners of the services until its result is known. The
// lease counts from renewedAt, the time for which it states RenewedAtMs, whichever attempt takes
// effect and when: its successor reckons from there.
func (g *granter) write(ctx context.Context, renewedAt time.Duration, next lease, services []api.ServiceName, owners []fleet.Put) {
	ctx = withCallCause(ctx, causeRenewal)
	if len(owners) > 0 {
		ctx = withCallCause(ctx, causeOwners)
	}
	for {
		page, err := g.control.commit(ctx, g.condition, next, owners, nil)
		if errors.Is(err, fleet.ErrConflict) {
			page, err = g.resolveConflict(page, next)
		}
		if err == nil || errors.Is(err, fleet.ErrConflict) || errors.Is(err, errStoreRestored) {
			g.do(func() { g.writeDone(next, services, owners, page, renewedAt, err) })
			return
		}
		g.log.Warn().Str("event", "write_failed").Int64("term", next.Term).Int64("seq", next.Seq).Int("rows", len(owners)).Err(err).Msg("")
		if !wait.For(ctx, storeRetryDelay/2) {
			return
		}
		select {
		case <-g.done:
			return
		default:
		}
	}
}

// errStoreRestored means that the store holds the rows of an older copy.
var errStoreRestored = errors.New("the store was restored from an older copy: the granter writes its rows again")

// resolveConflict finds out whether a conflict was caused by an earlier attempt of the same
// write, whose response was lost, or by an older copy of the store. The page that it returns
// has the version of the lease row, 0 if there is none. Without another write in between, an
// earlier attempt that created the row of the era did so with the same version.
func (g *granter) resolveConflict(page *fleet.Page, next lease) (*fleet.Page, error) {
	var current leaseRow
	for _, row := range page.Rows {
		if row.Table == systemTable && row.Key == leaseKey {
			current = decodeLease(row, 0)
		}
	}
	resolved := &fleet.Page{Version: current.version, Era: page.Era}
	switch {
	case current.VM == next.VM && current.Incarnation == next.Incarnation && current.Term == next.Term && current.Seq == next.Seq:
		return resolved, nil
	case page.Era > g.condition.era && !current.newerThan(next):
		return resolved, errStoreRestored
	}
	return nil, fleet.ErrConflict
}

// enterEra continues the term after the store was restored from an older copy: the state of
// this granter is newer, and is written whole. A later granter whose lease was lost with the
// rows may act until its lease expires; until then no keys move.
func (g *granter) enterEra(now time.Duration, page *fleet.Page) {
	g.log.Warn().Str("event", "granter_continues").Int64("term", g.term).Int64("era", page.Era).Int64("row", page.Version).Msg("")
	g.condition, g.rewrite = writeCondition{lease: page.Version, era: page.Era}, true
	g.predecessor.Until = max(g.predecessor.Until, now+election.DefaultConfig().LeaseTTL)
	g.storedRows, g.quarantines = make(ownerRows), nil
	for name, m := range g.machines {
		g.pendingWrites[name] = m.Rewrite()
	}
}

func (g *granter) writeDone(next lease, services []api.ServiceName, owners []fleet.Put, page *fleet.Page, renewedAt time.Duration, err error) {
	g.writing = false
	if now := bootTime(); errors.Is(err, errStoreRestored) && g.mayRenew() {
		g.enterEra(now, page)
		return
	}
	if err != nil {
		g.log.Warn().Str("event", "granter_replaced").Int64("term", g.term).Msg("")
		g.renewUntil.Store(0)
		g.termOver = true
		return
	}
	g.quotas.issuer.Stated(bootTime())
	g.storedRows.markStored(owners)
	g.lease, g.condition, g.renewedAt = next, g.condition.after(page.Version), renewedAt
	g.authority.Renewed(renewedAt)
	g.renewUntil.Store(int64(g.authority.RenewUntil(bootTime())))
	if page.ClockSeconds > 0 {
		g.control.submitClock(renewedAt, bootTime(), page)
	}
	// Entries that were assigned while the transaction was under way are not in it.
	for _, name := range services {
		g.machines[name].WriteDone()
	}
	for name, m := range g.machines {
		g.publish(name, m)
	}
	if page.Era > g.condition.era {
		// The copy has the last write of this granter, so the condition of this one held.
		g.enterEra(bootTime(), page)
	}
}

// releaseLease releases the lease, so that a successor need not wait for it to expire. An empty
// successor leaves the lease to any VM.
func (g *granter) releaseLease(ctx context.Context, successor api.VMID) {
	g.renewUntil.Store(0)
	ended := g.calls.awaitGrants(ctx)
	next := g.lease
	next.Seq += 2
	next.Released, next.Successor = true, successor
	now := bootTime()
	next.RenewedAtMs = g.control.view().clock.latestMs(now)
	next.PredecessorsMs = max(g.predecessor.Until-now, 0).Milliseconds()
	if !ended {
		next.PredecessorsMs = max(next.PredecessorsMs, election.DefaultConfig().MaxSendDelay.Milliseconds())
	}
	for _, m := range g.machines {
		next.InDoubtMs = max(next.InDoubtMs, (m.InDoubtUntil(now) - now).Milliseconds())
	}
	if _, err := g.control.commit(withCallCause(ctx, causeRelease), g.condition, next, nil, nil); err != nil {
		g.log.Warn().Str("event", "lease_not_released").Int64("term", g.term).Err(err).Msg("")
	}
}

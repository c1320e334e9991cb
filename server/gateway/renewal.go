package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/wait"
)

// renew writes the lease every renewInterval, and changed owners at once.
func (g *granter) renew(ctx context.Context, now time.Duration) {
	if g.caretaker || g.writing || len(g.pendingWrites) == 0 && now-g.renewedAt < renewInterval {
		return
	}
	clock := g.control.view().clock
	next := g.lease
	next.Seq++
	next.RenewedAtMs = clock.at(now).Milliseconds()
	next.VMs = len(g.members) + 1
	next.PredecessorsMs = max(g.predecessor.Until-now, 0).Milliseconds()
	puts, err := g.storedRows.changes(g.pendingWrites)
	if err != nil {
		g.log.Error().Str("event", "owners_not_encoded").Err(err).Msg("")
		return
	}
	services := slices.Collect(maps.Keys(g.pendingWrites))
	g.pendingWrites = make(map[api.ServiceName][]ownership.Entry)
	g.writing = true
	go g.write(ctx, next, services, puts)
}

// write retries a transaction with the owners of the services until its result is known.
func (g *granter) write(ctx context.Context, next lease, services []api.ServiceName, owners []fleet.Put) {
	first := bootTime()
	for {
		sent := bootTime()
		page, err := g.control.commit(ctx, g.leaseVersion, next, owners)
		if errors.Is(err, fleet.ErrConflict) {
			page, err = g.resolveConflict(page, next)
		}
		if err == nil || errors.Is(err, fleet.ErrConflict) {
			if err == nil && page.Version != 0 && sent != first {
				// Which attempt took effect is unknown: the lease counts from the first.
				sent = first
			}
			g.do(func() { g.writeDone(next, services, owners, page, sent, err) })
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

// resolveConflict finds out whether a conflict was caused by an earlier attempt of the same
// write, whose response was lost.
func (g *granter) resolveConflict(page *fleet.Page, next lease) (*fleet.Page, error) {
	for _, row := range page.Rows {
		if row.Table != systemTable || row.Key != leaseKey {
			continue
		}
		if l := decodeLease(row, 0); l.VM == next.VM && l.Incarnation == next.Incarnation && l.Term == next.Term && l.Seq == next.Seq {
			return &fleet.Page{Version: row.Version}, nil
		}
	}
	return nil, fleet.ErrConflict
}

func (g *granter) writeDone(next lease, services []api.ServiceName, owners []fleet.Put, page *fleet.Page, sent time.Duration, err error) {
	g.writing = false
	if err != nil {
		g.log.Warn().Str("event", "granter_replaced").Int64("term", g.term).Msg("")
		g.renewUntil.Store(0)
		g.termOver = true
		return
	}
	g.storedRows.markStored(owners)
	g.lease, g.leaseVersion, g.renewedAt = next, page.Version, sent
	g.authority.Renewed(sent)
	g.renewUntil.Store(int64(g.authority.RenewUntil(bootTime())))
	if page.ClockSeconds > 0 {
		g.control.submitClock(sent, bootTime(), page)
	}
	// Entries that were assigned while the transaction was under way are not in it.
	for _, name := range services {
		g.machines[name].WriteDone()
	}
	for name, m := range g.machines {
		g.publish(name, m)
	}
}

// releaseLease releases the lease, so that a successor need not wait for it to expire.
func (g *granter) releaseLease(ctx context.Context) {
	g.renewUntil.Store(0)
	next := g.lease
	next.Seq += 2
	next.Released = true
	now := bootTime()
	next.RenewedAtMs = g.control.view().clock.at(now).Milliseconds()
	next.PredecessorsMs = max(g.predecessor.Until-now, 0).Milliseconds()
	for _, m := range g.machines {
		next.InDoubtMs = max(next.InDoubtMs, (m.InDoubtUntil(now) - now).Milliseconds())
	}
	if _, err := g.control.commit(ctx, g.leaseVersion, next, nil); err != nil {
		g.log.Warn().Str("event", "lease_not_released").Int64("term", g.term).Err(err).Msg("")
	}
}

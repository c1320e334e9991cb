package control

import (
	"context"
	"fmt"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/authority"
	"dandelionhill.dev/core/config"
)

// maxLeaseLifetime is how long the authority of a holder, and with it the leases
// of its upstreams, may last after its last renewal on any clock.
func maxLeaseLifetime() time.Duration {
	cfg := authority.DefaultConfig()
	return time.Duration(float64(cfg.Lease) * (1 + cfg.Drift))
}

// expiryTracker tracks the highest revision that has been in force everywhere for
// maxLeaseLifetime: no shard that this revision removed can still have a lease.
type expiryTracker struct {
	revision     uint64
	pending      uint64 // in force since pendingSince
	pendingSince time.Duration
}

// observe records the highest revision that is in force everywhere.
func (e *expiryTracker) observe(now time.Duration, inForce uint64) {
	if now-e.pendingSince >= maxLeaseLifetime() {
		e.revision = max(e.revision, e.pending)
	}
	if e.pending <= e.revision && inForce > e.pending {
		e.pending, e.pendingSince = inForce, now
	}
}

// lowestRevision returns the lowest revision that any VM has, not counting those
// that are gone.
func (c *Control) lowestRevision() uint64 {
	lowest := c.revision()
	for _, vm := range c.cfg.VMs {
		if vm.ID != c.cfg.Self.ID && !c.members.Gone(vm.ID) {
			lowest = min(lowest, c.peers[vm.ID].revision)
		}
	}
	return lowest
}

// checkReuse refuses to put a service under the name of a removed service while a
// VM may still hold a shard of that one. The new service may have other ranges, so
// the authority records cannot keep the two apart.
func (c *Control) checkReuse(ctx context.Context, doc *config.Document, ch config.Change) error {
	if ch.Kind != config.PutService || doc == nil {
		return nil
	}
	if _, ok := doc.Service(ch.Service.Name); ok {
		return nil
	}
	expired, err := query(ctx, c, func() uint64 { return c.expired.revision })
	if err != nil {
		return err
	}
	removed := lastRemoval(doc, ch.Service.Name)
	if expired >= removed {
		return nil
	}
	return &config.RefusalError{
		Kind: config.NotPermitted,
		Message: fmt.Sprintf("service %s may have been removed at revision %d, and its former holders may still have leases",
			ch.Service.Name, removed),
		Remedy: fmt.Sprintf("wait until revision %d is in force and a second has passed, then send the same operation again", removed),
	}
}

// lastRemoval returns the revision that last removed a service of a name. If the
// document no longer lists all operations, the result is at least the newest
// revision that it does not list.
func lastRemoval(doc *config.Document, name api.ServiceName) uint64 {
	removed := uint64(0)
	if len(doc.Operations) > 0 {
		removed = doc.Operations[0].Revision - 1
	}
	for _, op := range doc.Operations {
		if op.Kind == config.RemoveService && op.Entity == (&config.Change{Kind: op.Kind, Name: string(name)}).Entity() {
			removed = max(removed, op.Revision)
		}
	}
	return removed
}

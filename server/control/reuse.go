package control

import (
	"context"
	"fmt"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/authority"
	"dandelionhill.dev/core/config"
)

// lapseTime is how long after its last renewal the authority of a holder, and
// with it the leases of its upstreams, may last on any clock.
func lapseTime() time.Duration {
	cfg := authority.DefaultConfig()
	return time.Duration(float64(cfg.Lease) * (1 + cfg.Drift))
}

// lapse keeps the highest revision that has been in force everywhere for
// lapseTime, so that no shard which it removed can have a lease any more.
type lapse struct {
	revision uint64
	next     uint64 // in force since
	since    time.Duration
}

// observe takes the highest revision that is in force everywhere.
func (l *lapse) observe(now time.Duration, inForce uint64) {
	if now-l.since >= lapseTime() {
		l.revision = max(l.revision, l.next)
	}
	if l.next <= l.revision && inForce > l.next {
		l.next, l.since = inForce, now
	}
}

// everywhere returns the highest revision that every VM has reported, apart from
// those that are gone.
func (c *Control) everywhere() uint64 {
	lowest := c.revision()
	for _, vm := range c.cfg.VMs {
		if vm.ID != c.cfg.Self.ID && !c.members.Gone(vm.ID) {
			lowest = min(lowest, c.peers[vm.ID].revision)
		}
	}
	return lowest
}

// checkReuse refuses to put a service under a name that another service had
// while a VM may still hold a shard of that one. The new service may divide its
// ranges otherwise, so that the authority records do not keep the two apart.
func (c *Control) checkReuse(ctx context.Context, doc *config.Document, ch config.Change) error {
	if ch.Kind != config.PutService || doc == nil {
		return nil
	}
	if _, ok := doc.Service(ch.Service.Name); ok {
		return nil
	}
	lapsed, err := query(ctx, c, func() uint64 { return c.lapsed.revision })
	if err != nil {
		return err
	}
	removed := lastRemoval(doc, ch.Service.Name)
	if lapsed >= removed {
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
// document no longer remembers all operations, this is at least the newest one
// that it has forgotten.
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

package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/server/holder"
)

// statusTimeout bounds the status calls to the other VMs.
const statusTimeout = time.Second

// shardsReply is the status of the shards that a VM holds.
type shardsReply struct {
	Shards []holder.Status `cbor:"1,keyasint"`
}

// ReadDocument reads the document from the table service.
func (c *Control) ReadDocument(ctx context.Context) (*config.Document, error) {
	doc, _, err := c.readHead(ctx)
	return doc, err
}

// Status returns the state of the deployment as known to this VM. The state of
// the upstreams comes from the holders of their shards.
func (c *Control) Status(ctx context.Context) (admin.Status, error) {
	status, err := query(ctx, c, c.describe)
	if err != nil {
		return status, err
	}
	known := map[api.UpstreamID]holder.UpstreamStatus{}
	for _, s := range c.allHeldShards(ctx) {
		for _, u := range s.Upstreams {
			known[u.ID] = u
		}
	}
	doc := c.Snapshot().Document
	if doc == nil {
		return status, nil
	}
	for _, s := range doc.Services {
		for _, u := range s.Upstreams {
			line := admin.UpstreamStatus{ID: u.ID, Service: s.Name, Shard: u.Shard, FailureDomain: u.FailureDomain, State: "unknown"}
			if k, ok := known[u.ID]; ok {
				line.State, line.Incarnation = k.State, k.Incarnation
				line.InFlight, line.Limit, line.Queued, line.Ranges = k.InFlight, k.Limit, k.Queued, k.Ranges
			}
			status.Upstreams = append(status.Upstreams, line)
		}
	}
	return status, nil
}

// describe returns the part of the status that the control goroutine has.
func (c *Control) describe() admin.Status {
	status := admin.Status{VM: c.cfg.Self.ID}
	now := c.cfg.Clock()
	for _, vm := range c.cfg.VMs {
		line := admin.VMStatus{ID: vm.ID, FailureDomain: vm.Domain, State: string(c.members.State(vm.ID)), Revision: c.peers[vm.ID].revision}
		if vm.ID == c.cfg.Self.ID {
			line.Revision = c.revision()
		}
		line.Out = c.doc != nil && c.doc.VMOut(vm.ID)
		status.VMs = append(status.VMs, line)
	}
	slices.SortFunc(status.VMs, func(a, b admin.VMStatus) int { return cmp.Compare(a.ID, b.ID) })
	if c.doc == nil {
		return status
	}
	status.Region, status.Revision, status.ActivePreset = c.doc.Region, c.doc.Revision, c.doc.ActivePreset
	for _, p := range c.doc.Presets {
		status.Presets = append(status.Presets, p.Name)
	}
	for _, d := range c.doc.FailureDomains {
		status.Domains = append(status.Domains, admin.DomainStatus{Name: d.Name, Out: d.Out})
	}
	for _, s := range c.doc.Services {
		status.Services = append(status.Services, s.Name)
		for i := range s.Layout {
			status.Shards = append(status.Shards, c.describeShard(now, api.ShardID{Service: s.Name, Index: i}))
		}
	}
	return status
}

func (c *Control) describeShard(now time.Duration, id api.ShardID) admin.ShardStatus {
	line := admin.ShardStatus{Shard: id}
	s := c.shards[id]
	if s == nil {
		return line
	}
	if rec, ok := s.machine.Record(); ok {
		line.Members = rec.Members
	}
	if s.held != nil {
		line.Holder, line.Fence = c.cfg.Self.ID, s.held.Fence()
	} else if vm, fence, ok := c.holders.Holder(now, id); ok {
		line.Holder, line.Fence = vm, fence
	}
	return line
}

// allHeldShards returns the status of the shards held by any VM.
func (c *Control) allHeldShards(ctx context.Context) []holder.Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	all := c.localStatus()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, vm := range c.cfg.VMs {
		if vm.ID == c.cfg.Self.ID {
			continue
		}
		group.Go(func() {
			var reply shardsReply
			if err := c.sender.Call(ctx, vm.ID, wire.TypeStatus, struct{}{}, &reply); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, reply.Shards...)
		})
	}
	group.Wait()
	return all
}

// localStatus returns the status of the shards that this VM holds.
func (c *Control) localStatus() []holder.Status {
	var out []holder.Status
	for _, shard := range c.Snapshot().LocalShards {
		out = append(out, shard.Status())
	}
	return out
}

// HeldShards returns the reply to another VM's status call.
func (c *Control) HeldShards() any { return shardsReply{c.localStatus()} }

// Owner returns the owner of a key of a shard, with the ordinary range rangeNum,
// and the reason.
func (c *Control) Owner(ctx context.Context, id api.ShardID, key string, rangeNum int) (api.UpstreamID, string) {
	for _, s := range c.allHeldShards(ctx) {
		if s.Shard == id {
			return s.Owner(key, rangeNum)
		}
	}
	return "", "the holder of the shard does not respond"
}

package control

import (
	"context"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/membership"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/platform"
)

// heartbeat sends every VM the state and the held shards of this one.
func (c *Control) heartbeat(now time.Duration) {
	hb := wire.Heartbeat{
		Incarnation: c.cfg.Incarnation,
		Leaving:     c.leaving,
		Reachable:   c.members.Reachable(now),
		Revision:    c.revision(),
		StoreRead:   c.storeRead,
	}
	for id, s := range c.shards {
		if s.held != nil {
			hb.HeldShards = append(hb.HeldShards, wire.HeldShard{Shard: id, Fence: s.held.Fence()})
		}
	}
	c.broadcast(wire.TypeHeartbeat, hb)
}

func (c *Control) receiveHeartbeat(from api.VMID, frame wire.Frame) error {
	var hb wire.Heartbeat
	if err := frame.Unpack(&hb); err != nil {
		return err
	}
	now := c.cfg.Clock()
	c.members.HandleHeartbeat(now, membership.Heartbeat{From: from, Incarnation: hb.Incarnation, Leaving: hb.Leaving, Reachable: hb.Reachable})
	if c.members.Incarnation(from) != hb.Incarnation {
		return nil // delayed, from an earlier incarnation of the VM
	}
	c.peers[from] = peerState{revision: hb.Revision, storeRead: hb.StoreRead}
	held := map[api.ShardID]api.Fence{}
	for _, h := range hb.HeldShards {
		held[h.Shard] = h.Fence
	}
	c.holders.RecordClaims(now, from, held)
	published, newHolder := c.Snapshot().Holders, false
	for id, fence := range held {
		newHolder = newHolder || fence > published[id].Fence
		if s := c.shards[id]; s != nil && fence >= s.lastFence {
			s.lastHolder, s.lastFence = from, fence
		}
	}
	if newHolder {
		c.publish(now) // requests are waiting for the new holder
	}
	if hb.Revision > c.revision() {
		c.sender.Send(from, wire.TypeConfig, wire.Config{Revision: c.revision()})
	}
	return nil
}

func (c *Control) memberChanged(change membership.Change) {
	c.cfg.Log.Info().Str("event", "vm_state").Str("vm", string(change.VM)).
		Str("from", string(change.From)).Str("to", string(change.To)).Msg("")
	if change.To == membership.Dead {
		c.holders.Forget(change.VM)
	}
}

// pollList reads the platform's list of VMs until ctx ends.
func (c *Control) pollList(ctx context.Context) {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for {
		vms, err := c.cfg.VMList.List(ctx)
		if err == nil {
			c.post(func() { c.updateFromList(vms) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Control) updateFromList(vms []platform.VM) {
	now := c.cfg.Clock()
	states := map[api.VMID]membership.ListState{}
	known := map[api.VMID]bool{}
	for _, vm := range c.cfg.VMs {
		known[vm.ID] = true
	}
	for _, vm := range vms {
		if known[api.VMID(vm.ID)] {
			states[api.VMID(vm.ID)] = membership.ListState(vm.State)
		}
	}
	c.members.UpdateFromList(now, states)
	for _, s := range c.shards {
		for _, vm := range c.cfg.VMs {
			if c.members.Gone(vm.ID) {
				s.machine.MarkGone(now, vm.ID)
			}
		}
	}
}

// candidates returns the VMs that may become members of a shard.
func (c *Control) candidates() []placement.VM {
	var out []placement.VM
	for _, vm := range c.cfg.VMs {
		if c.mayBeMember(vm.ID) {
			out = append(out, vm)
		}
	}
	return out
}

func (c *Control) mayBeMember(vm api.VMID) bool {
	if c.doc != nil && c.doc.VMOut(vm) {
		return false
	}
	if vm == c.cfg.Self.ID {
		return !c.leaving
	}
	return c.members.State(vm) == membership.Alive
}

// successor returns the member to which a shard can be handed over.
func (c *Control) successor(members []api.VMID) (api.VMID, bool) {
	i := slices.IndexFunc(members, func(vm api.VMID) bool { return vm != c.cfg.Self.ID && c.mayBeMember(vm) })
	if i < 0 {
		return "", false
	}
	return members[i], true
}

package control

import (
	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/crash"
)

// evidenceMessage carries the crash evidence of a holder.
type evidenceMessage struct {
	Shard   api.ShardID   `cbor:"1,keyasint"`
	Entries []crash.Entry `cbor:"2,keyasint"`
	// Warm has the incarnations of the upstreams that have warmed up.
	Warm map[api.UpstreamID]api.Incarnation `cbor:"3,keyasint,omitempty"`
}

// sendEvidence sends the crash evidence of the held shards, and which upstreams
// are warm, to their witnesses, so that both survive a takeover. If a retry can
// reach another shard of the service, they are sent to all VMs.
func (c *Control) sendEvidence() {
	for id, s := range c.shards {
		if s.held == nil {
			continue
		}
		msg := evidenceMessage{Shard: id, Entries: s.held.Evidence(), Warm: s.held.WarmUpstreams()}
		service, _ := c.doc.Service(id.Service)
		if !service.Keyed && len(service.Layout) > 1 {
			c.mergeEvidence(msg)
			c.broadcast(wire.TypeEvidence, msg)
			continue
		}
		for _, vm := range c.otherMembers(s) {
			c.sender.Send(vm, wire.TypeEvidence, msg)
		}
	}
}

func (c *Control) receiveEvidence(frame wire.Frame) error {
	var msg evidenceMessage
	if err := frame.Unpack(&msg); err != nil {
		return err
	}
	c.mergeEvidence(msg)
	return nil
}

// mergeEvidence keeps evidence for a later takeover of its shard, and adds it to
// the other shards of the service that this VM holds.
func (c *Control) mergeEvidence(msg evidenceMessage) {
	now := c.cfg.Clock()
	if s := c.shards[msg.Shard]; s != nil && s.held == nil {
		s.warmUpstreams = msg.Warm
	}
	for id, s := range c.shards {
		if id.Service != msg.Shard.Service {
			continue
		}
		if s.held != nil && id != msg.Shard {
			s.held.MergeEvidence(msg.Entries)
		}
		if s.held == nil {
			if s.evidence == nil {
				s.evidence = crash.New(crash.DefaultConfig())
			}
			s.evidence.Merge(now, msg.Entries)
		}
	}
}

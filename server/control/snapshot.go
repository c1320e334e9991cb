package control

import (
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/server/holder"
)

// Snapshot is the immutable state that request handlers read.
type Snapshot struct {
	Document    *config.Document
	Services    map[api.ServiceName]Service
	Holders     map[api.ShardID]Holder
	LocalShards map[api.ShardID]*holder.Shard
	// ConfirmedUntil is when the confirmation of the configuration expires, on the
	// monotonic clock.
	ConfirmedUntil time.Duration
	// Out means that operators have taken this VM out of service.
	Out bool
	// Leaving means that this VM is stopping.
	Leaving bool
}

// Service is a service with its shard map.
type Service struct {
	config.Service
	Routes *shardmap.Table
}

// Holder is the VM that holds a shard, and its fence.
type Holder struct {
	VM    api.VMID
	Fence api.Fence
}

// Ready reports whether this VM accepts requests.
func (s *Snapshot) Ready(now time.Duration) bool {
	return s.Document != nil && now < s.ConfirmedUntil && !s.Out && !s.Leaving
}

// publish makes the current state visible to request handlers.
func (c *Control) publish(now time.Duration) {
	old := c.snapshot.Load()
	next := &Snapshot{
		Document: c.doc, ConfirmedUntil: c.confirmedUntil, Leaving: c.leaving,
		Holders:     map[api.ShardID]Holder{},
		LocalShards: map[api.ShardID]*holder.Shard{},
	}
	if c.doc != nil {
		next.Out = c.doc.VMOut(c.cfg.Self.ID)
		next.Services = old.Services
		if old.Document != c.doc {
			next.Services = services(c.doc)
		}
	}
	held := 0
	for id, s := range c.shards {
		if s.held != nil {
			next.LocalShards[id] = s.held
			next.Holders[id] = Holder{c.cfg.Self.ID, s.held.Fence()}
			held++
			continue
		}
		if vm, fence, ok := c.holders.Holder(now, id); ok {
			next.Holders[id] = Holder{vm, fence}
		}
	}
	c.cfg.Metrics.ShardsHeld.Set(float64(held))
	c.snapshot.Store(next)
}

func services(doc *config.Document) map[api.ServiceName]Service {
	out := map[api.ServiceName]Service{}
	for _, s := range doc.Services {
		out[s.Name] = Service{Service: s, Routes: shardmap.New(s.Name, s.Ranges, s.PlacementShards(), nil)}
	}
	return out
}

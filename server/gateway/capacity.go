package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"dandelionhill.dev/core/election"
)

const (
	// yieldRetry is how long a granter does not offer the term to another VM after one has not
	// taken it over.
	yieldRetry = 10 * time.Second
	// yieldAfter is the age of a term from which a granter yields: VMs that start with it have
	// connected by then.
	yieldAfter = 300 * time.Millisecond
)

// capacities is what a VM knows of the capacities of the VMs for the work of the granter.
type capacities struct {
	own election.Capacity
	// largest is the largest capacity of any VM that the granter knows, in thousandths.
	largest atomic.Int64
	// yieldedAt is when this VM last yielded, on bootTime.
	yieldedAt atomic.Int64
}

// milliCapacity encodes a capacity for messages and rows.
func milliCapacity(c election.Capacity) int64 { return int64(c * 1000) }

func fromMilli(c int64) election.Capacity { return election.Capacity(c) / 1000 }

// learn records the largest capacity that the granter, or the row of its lease, states; 0 if it
// states none, as with those of earlier versions.
func (c *capacities) learn(largest int64) { c.largest.Store(largest) }

// campaignDelay returns how long this VM leaves a lease to VMs of larger capacity.
func (c *capacities) campaignDelay() time.Duration {
	return c.own.CampaignDelay(fromMilli(c.largest.Load()))
}

// largestCapacity returns the largest capacity among this VM and those connected.
func (g *granter) largestCapacity() int64 {
	largest := milliCapacity(g.capacities.own)
	for m := range g.members {
		if !m.leaving {
			largest = max(largest, m.capacity)
		}
	}
	return largest
}

// yieldToLarger ends the term if a VM with much more capacity is connected, and names it as the
// successor. A small VM cannot send the updates to all others in time: its link fills, and the
// others take it for lost. It reports whether the term is over.
func (g *granter) yieldToLarger(ctx context.Context, now time.Duration) bool {
	if g.caretaker || g.writing || g.authority.StoreUnreachable(now) || now-g.startedAt < yieldAfter {
		return false
	}
	if at := time.Duration(g.capacities.yieldedAt.Load()); at > 0 && now-at < yieldRetry {
		return false
	}
	largest := g.largestCapacity()
	if !g.capacities.own.YieldsTo(fromMilli(largest)) {
		return false
	}
	successor := g.lowestRank(func(m *member) bool {
		return m.capacity == largest && m.hasConfig && !m.leaving && !m.isolated
	})
	if successor == nil {
		return false
	}
	g.capacities.yieldedAt.Store(int64(now))
	g.log.Info().Str("event", "granter_yields").Int64("term", g.term).Str("successor", string(successor.vm)).
		Int64("capacity", milliCapacity(g.capacities.own)).Int64("successor_capacity", largest).Msg("a VM with more capacity takes over")
	g.releaseLease(ctx, successor.vm)
	g.termOver = true
	return true
}

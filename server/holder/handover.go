package holder

import (
	"context"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/dedup"
)

// Handover is what a holder gives to its successor in a planned handover.
type Handover struct {
	Shard       api.ShardID                      `cbor:"1,keyasint"`
	Fence       api.Fence                        `cbor:"2,keyasint"`
	Assign      wire.Assign                      `cbor:"3,keyasint"`
	Memory      dedup.Snapshot                   `cbor:"4,keyasint"`
	Evidence    []crash.Entry                    `cbor:"5,keyasint"`
	Outstanding map[api.UpstreamID]time.Duration `cbor:"6,keyasint"`
}

// evidenceLimit bounds the crash evidence that other VMs are given.
const evidenceLimit = 256

// freezePoll is the interval at which a handover looks whether all runs ended.
const freezePoll = 5 * time.Millisecond

// Freeze stops the start of requests and waits until those that run have ended
// or ctx ends, then returns what the successor needs and closes the shard.
func (s *Shard) Freeze(ctx context.Context) Handover {
	s.mu.Lock()
	s.frozen = true
	for _, r := range s.requests {
		if len(r.runs) == 0 {
			s.finish(r, refusal(api.Refuse(api.NotHolder, "shard "+s.cfg.ID.String()+" is being handed over")))
		}
	}
	s.mu.Unlock()
	ticker := time.NewTicker(freezePoll)
	defer ticker.Stop()
	for !s.idle() && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := Handover{
		Shard: s.cfg.ID, Fence: s.cfg.Fence, Assign: s.assignment(),
		Memory:      s.memory.Snapshot(),
		Evidence:    s.evidence.Snapshot(evidenceLimit),
		Outstanding: s.leases.Outstanding(s.cfg.Clock()),
	}
	s.close()
	return h
}

func (s *Shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests) == 0
}

// restore takes over the memory of a former holder.
func (s *Shard) restore(now time.Duration, h *Handover) {
	s.memory = dedup.Restore(dedup.DefaultConfig(), h.Memory)
	s.evidence.Merge(now, h.Evidence)
	s.leases.Inherit(now, h.Outstanding)
}

// Evidence returns the crash evidence for other VMs.
func (s *Shard) Evidence() []crash.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence.Snapshot(evidenceLimit)
}

// MergeEvidence adds crash evidence of another VM.
func (s *Shard) MergeEvidence(entries []crash.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.Merge(s.cfg.Clock(), entries)
}

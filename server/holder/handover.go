package holder

import (
	"context"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/dedup"
)

// Handover is the state that a holder passes to its successor in a planned handover.
type Handover struct {
	Shard       api.ShardID                      `cbor:"1,keyasint"`
	Fence       api.Fence                        `cbor:"2,keyasint"`
	Assignment  wire.Assign                      `cbor:"3,keyasint"`
	Dedup       dedup.Snapshot                   `cbor:"4,keyasint"`
	Evidence    []crash.Entry                    `cbor:"5,keyasint"`
	Outstanding map[api.UpstreamID]time.Duration `cbor:"6,keyasint"`
	// Part numbers the parts from 0; Last marks the last one.
	Part int  `cbor:"7,keyasint"`
	Last bool `cbor:"8,keyasint"`
}

// maxPartBytes bounds the entries of the deduplication table in one part. It leaves
// room in a frame of 2 MiB for the assignment, the crash evidence and the encoding.
const maxPartBytes = 1 << 20

// entryOverheadBytes bounds the encoded size of an entry without its response body.
const entryOverheadBytes = 256

// Split divides the entries of the deduplication table into parts that fit into a frame.
func (h Handover) Split() []Handover {
	entries := h.Dedup.Entries
	parts := []Handover{h}
	parts[0].Dedup.Entries = nil
	size := 0
	for _, e := range entries {
		need := entryOverheadBytes
		if e.Response != nil {
			need += len(e.Response.Body) + len(e.Response.ContentType)
		}
		if size += need; size > maxPartBytes {
			size = need
			parts = append(parts, Handover{Shard: h.Shard, Fence: h.Fence, Part: len(parts)})
		}
		last := &parts[len(parts)-1].Dedup
		last.Entries = append(last.Entries, e)
	}
	parts[len(parts)-1].Last = true
	return parts
}

// Join appends the next part. It reports whether the part belongs to h.
func (h *Handover) Join(part Handover) bool {
	if part.Fence != h.Fence || part.Part != h.Part+1 || h.Last {
		return false
	}
	h.Dedup.Entries = append(h.Dedup.Entries, part.Dedup.Entries...)
	h.Part, h.Last = part.Part, part.Last
	return true
}

// EvidenceLimit bounds the entries of crash evidence that are sent to other VMs.
const EvidenceLimit = 256

// freezePollInterval is how often Freeze checks whether all runs have ended.
const freezePollInterval = 5 * time.Millisecond

// Freeze starts no more requests, waits until the running ones have ended or ctx
// is done, then closes the shard and returns the state for the successor.
func (s *Shard) Freeze(ctx context.Context) Handover {
	s.mu.Lock()
	s.frozen = true
	s.stopMirror()
	for _, r := range s.requests {
		if len(r.runs) == 0 {
			s.finish(r, wire.Refused(api.Refuse(api.NotHolder, "shard "+s.cfg.ID.String()+" is being handed over")))
		}
	}
	s.mu.Unlock()
	ticker := time.NewTicker(freezePollInterval)
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
		Shard: s.cfg.ID, Fence: s.cfg.Fence, Assignment: s.assignment(),
		Dedup:       s.dedup.Snapshot(),
		Evidence:    s.evidence.Snapshot(EvidenceLimit),
		Outstanding: s.leases.Outstanding(s.cfg.Clock()),
	}
	s.close()
	return h
}

func (s *Shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The deduplication table lists a request that waits for a witness as running.
	// The successor would treat it as a run with an unknown outcome.
	return len(s.requests) == 0 && s.mirror.registered == 0 && !s.unresolvedHotRuns(s.cfg.Clock())
}

// restoreHandover restores the state that the former holder handed over.
func (s *Shard) restoreHandover(now time.Duration, h *Handover) {
	s.dedup = dedup.Restore(dedup.DefaultConfig(), h.Dedup)
	s.evidence.Merge(now, h.Evidence)
	s.leases.Inherit(now, h.Outstanding)
}

// Evidence returns the crash evidence to send to other VMs.
func (s *Shard) Evidence() []crash.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence.Snapshot(EvidenceLimit)
}

// MergeEvidence adds crash evidence from another VM.
func (s *Shard) MergeEvidence(entries []crash.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.Merge(s.cfg.Clock(), entries)
}

// WarmUpstreams returns the incarnations of the upstreams that have warmed up.
func (s *Shard) WarmUpstreams() map[api.UpstreamID]api.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	warm := map[api.UpstreamID]api.Incarnation{}
	for id, up := range s.upstreams {
		if up.responded && !up.ramp.Cold() {
			warm[id] = up.incarnation
		}
	}
	return warm
}

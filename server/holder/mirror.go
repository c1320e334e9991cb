package holder

import (
	"context"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/dedup"
)

// mirrorRetryInterval is the time after which a batch of IDs is sent again if
// no witness has acknowledged it.
const mirrorRetryInterval = 50 * time.Millisecond

// mirrorState tracks the IDs of non-idempotent requests that are sent to the
// witnesses. A request starts once one witness has its ID, so that the quorum of
// any takeover contains a VM that has the ID.
type mirrorState struct {
	witnesses  []api.VMID
	seq        uint64 // number of the batch in flight
	sentAt     time.Duration
	inFlight   []pendingID
	queued     []pendingID // for the next batch
	registered int         // requests in the deduplication table that wait for a witness
}

// pendingID is an ID that waits for a witness. done receives false if the shard
// is handed over before a witness has it.
type pendingID struct {
	id   dedup.ID
	done chan bool
}

// SetWitnesses sets the VMs that request IDs are sent to.
func (s *Shard) SetWitnesses(witnesses []api.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirror.witnesses = witnesses
	if len(witnesses) == 0 {
		s.mirrorAcknowledged(s.mirror.seq)
	}
}

// mirrorID waits until a witness has the ID of a request. If it returns false,
// the request must not run.
func (s *Shard) mirrorID(ctx context.Context, text string) bool {
	id, err := dedup.ParseID(text)
	if err != nil {
		return false
	}
	s.mu.Lock()
	if s.frozen {
		s.mu.Unlock()
		return false
	}
	if len(s.mirror.witnesses) == 0 || s.cfg.MirrorIDs == nil {
		s.mu.Unlock()
		return true
	}
	m := pendingID{id, make(chan bool, 1)}
	s.mirror.queued = append(s.mirror.queued, m)
	s.sendMirror(s.cfg.Clock())
	s.mu.Unlock()
	select {
	case ok := <-m.done:
		return ok
	case <-ctx.Done():
		return false
	case <-s.ctx.Done():
		return false
	}
}

// sendMirror sends the queued IDs as one batch unless one is in flight.
func (s *Shard) sendMirror(now time.Duration) {
	if len(s.mirror.inFlight) > 0 || len(s.mirror.queued) == 0 {
		return
	}
	s.mirror.seq++
	s.mirror.inFlight, s.mirror.queued = s.mirror.queued, nil
	s.sendMirrorBatch(now)
}

func (s *Shard) sendMirrorBatch(now time.Duration) {
	s.mirror.sentAt = now
	ids := make([]dedup.ID, 0, len(s.mirror.inFlight))
	for _, m := range s.mirror.inFlight {
		ids = append(ids, m.id)
	}
	s.cfg.MirrorIDs(s.mirror.witnesses, s.mirror.seq, ids)
}

// retryMirror sends a batch again that no witness has acknowledged in time.
func (s *Shard) retryMirror(now time.Duration) {
	if len(s.mirror.inFlight) > 0 && now-s.mirror.sentAt > mirrorRetryInterval {
		s.sendMirrorBatch(now)
	}
}

// AckMirror records that a witness has the IDs of a batch.
func (s *Shard) AckMirror(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirrorAcknowledged(seq)
}

func (s *Shard) mirrorAcknowledged(seq uint64) {
	if seq != s.mirror.seq {
		return
	}
	for _, m := range s.mirror.inFlight {
		m.done <- true
	}
	s.mirror.inFlight = nil
	s.sendMirror(s.cfg.Clock())
}

// stopMirror ends the waits for a witness: the requests must not run here.
func (s *Shard) stopMirror() {
	for _, m := range append(s.mirror.inFlight, s.mirror.queued...) {
		m.done <- false
	}
	s.mirror.inFlight, s.mirror.queued = nil, nil
}

// refuseRegistered refuses a request that is in the deduplication table and did not
// start.
func (s *Shard) refuseRegistered(id string, refused *api.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirror.registered--
	s.recordOutcome(id, wire.Refused(refused))
}

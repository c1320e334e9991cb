package holder

import (
	"context"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/dedup"
)

// mirrorResend is the time after which IDs are sent to the witnesses again if
// none has acknowledged them.
const mirrorResend = 50 * time.Millisecond

// mirroring sends the IDs of requests that may not be repeated to the witnesses
// before the requests run. A request waits until one witness has its ID, so that
// the quorum of any takeover contains a VM that knows it.
type mirroring struct {
	witnesses []api.VMID
	seq       uint64 // of the batch in flight
	sentAt    time.Duration
	inFlight  []mirrored
	queued    []mirrored // for the next batch
	begun     int        // requests that wait, whose IDs the memory has as running
}

// mirrored is an ID that waits for a witness. Done gets false if the shard is
// handed over before a witness has it.
type mirrored struct {
	id   dedup.ID
	done chan bool
}

// SetWitnesses sets the VMs that are told of request IDs.
func (s *Shard) SetWitnesses(witnesses []api.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirror.witnesses = witnesses
	if len(witnesses) == 0 {
		s.mirrorAcknowledged(s.mirror.seq)
	}
}

// mirrorID waits until a witness has the ID of a request. It returns false if
// that did not happen in time: the request must not run then.
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
	m := mirrored{id, make(chan bool, 1)}
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
	s.transmitMirror(now)
}

func (s *Shard) transmitMirror(now time.Duration) {
	s.mirror.sentAt = now
	ids := make([]dedup.ID, 0, len(s.mirror.inFlight))
	for _, m := range s.mirror.inFlight {
		ids = append(ids, m.id)
	}
	s.cfg.MirrorIDs(s.mirror.witnesses, s.mirror.seq, ids)
}

// resendMirror repeats a batch that nobody has acknowledged.
func (s *Shard) resendMirror(now time.Duration) {
	if len(s.mirror.inFlight) > 0 && now-s.mirror.sentAt > mirrorResend {
		s.transmitMirror(now)
	}
}

// AckMirror notes that a witness has the IDs of a batch.
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

// refuseBegun ends a request whose ID is in the memory but which did not start.
func (s *Shard) refuseBegun(id string, refused *api.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirror.begun--
	s.conclude(id, wire.Refused(refused))
}

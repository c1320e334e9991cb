package authority

import (
	"time"

	"dandelionhill.dev/api"
)

// handleRequest decides on a renewal or a claim and returns the reply.
func (m *Machine) handleRequest(now time.Duration, from api.VMID, msg Message) Action {
	candidate := candidateID{from, msg.Incarnation}
	current := msg.Record.Version == m.rec.Version && !m.conflict
	if current && msg.Type == Renew && msg.Member != "" && msg.Member == m.cfg.Incarnation {
		// The holder had authority after this process started, so no higher
		// ballot was in use before, and this process saw the later ones.
		m.ballotsKnown = true
		m.raiseBallot(candidate, msg.Ballot)
	}
	reply := Message{
		Type: RenewAck, Record: m.rec, Ballot: msg.Ballot, Seq: msg.Seq,
		Incarnation: msg.Incarnation, Forgets: !m.knowsAllBallots(), Member: m.cfg.Incarnation,
	}
	if msg.Type == Claim {
		reply.Type = ClaimAck
	}
	reply.OK = current && m.mayPromise(now, candidate, msg.Ballot)
	if reply.OK {
		m.raiseBallot(candidate, msg.Ballot)
		m.promised = promise{candidate, msg.Ballot, now + m.cfg.PromiseTTL()}
	} else {
		reply.Ballot = m.highest
	}
	return Send{from, reply}
}

// mayPromise reports whether this member may promise a ballot to a candidate.
// An unexpired promise to another candidate excludes it, whatever the ballots:
// this makes authority exclusive in time. The order of ballots makes fences
// increase. A candidate that asks for a higher ballot has abandoned the lower one.
func (m *Machine) mayPromise(now time.Duration, candidate candidateID, ballot uint64) bool {
	switch {
	case now < m.abstainUntil:
		return false
	case now < m.reserved.until && m.reserved.to != candidate.vm:
		return false
	case now < m.promised.until && (m.promised.to != candidate || ballot < m.promised.ballot):
		return false
	case ballot == m.highest:
		return m.highestBy == candidate
	}
	return ballot > m.highest
}

func (m *Machine) raiseBallot(candidate candidateID, ballot uint64) {
	if ballot > m.highest {
		m.highest, m.highestBy = ballot, candidate
	}
	m.highestSeen = max(m.highestSeen, ballot)
}

// handleRelease handles the release of a promise by the VM to which it was made.
func (m *Machine) handleRelease(now time.Duration, from api.VMID, msg Message) []Action {
	if m.promised.to != (candidateID{from, msg.Incarnation}) || m.promised.ballot != msg.Ballot || now >= m.promised.until {
		return nil
	}
	if msg.Successor != "" {
		m.reserved = reservation{msg.Successor, m.promised.until}
		m.namedSuccessor = msg.Successor == m.self
	}
	m.promised.until = now
	if m.namedSuccessor && m.term == nil && now >= m.claimAt() && !m.conflict {
		return m.startClaim(now)
	}
	return nil
}

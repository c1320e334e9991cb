package authority

import (
	"time"

	"dandelionhill.dev/api"
)

// answer decides on a renewal or a claim and returns the answer.
func (m *Machine) answer(now time.Duration, from api.VMID, msg Message) Action {
	candidate := key{from, msg.Incarnation}
	current := msg.Record.Version == m.rec.Version && !m.conflict
	if current && msg.Type == Renew && msg.Member != "" && msg.Member == m.cfg.Incarnation {
		// The holder had authority after this process started, so no ballot
		// above its own was in use before, and later ones are in memory.
		m.remembers = true
		m.raise(candidate, msg.Ballot)
	}
	reply := Message{
		Type: RenewAck, Record: m.rec, Ballot: msg.Ballot, Seq: msg.Seq,
		Incarnation: msg.Incarnation, Forgets: !m.remembersBallots(), Member: m.cfg.Incarnation,
	}
	if msg.Type == Claim {
		reply.Type = ClaimAck
	}
	reply.OK = current && m.supports(now, candidate, msg.Ballot)
	if reply.OK {
		m.raise(candidate, msg.Ballot)
		m.promised = promise{candidate, msg.Ballot, now + m.cfg.PromiseTTL()}
	} else {
		reply.Ballot = m.highest
	}
	return Send{from, reply}
}

// supports reports whether this member may promise a ballot to a candidate. A
// live promise to anyone else excludes it, whatever the ballots: that is what
// makes authority exclusive in time. The order of ballots makes fences increase.
// A candidate that returns with a higher ballot has given up the lower one.
func (m *Machine) supports(now time.Duration, candidate key, ballot uint64) bool {
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

func (m *Machine) raise(candidate key, ballot uint64) {
	if ballot > m.highest {
		m.highest, m.highestBy = ballot, candidate
	}
	m.heard = max(m.heard, ballot)
}

// released handles the release of a promise by the VM that it was given to.
func (m *Machine) released(now time.Duration, from api.VMID, msg Message) []Action {
	if m.promised.to != (key{from, msg.Incarnation}) || m.promised.ballot != msg.Ballot || now >= m.promised.until {
		return nil
	}
	if msg.Successor != "" {
		m.reserved = reservation{msg.Successor, m.promised.until}
		m.firstChance = msg.Successor == m.self
	}
	m.promised.until = now
	if m.firstChance && m.term == nil && now >= m.claimAt() && !m.conflict {
		return m.startClaim(now)
	}
	return nil
}

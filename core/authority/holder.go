package authority

import (
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// term is one candidacy of this VM under one ballot, and its authority if the claim succeeds.
type term struct {
	ballot       uint64
	held         bool          // a quorum promised the ballot
	heldAt       time.Duration // when held became true
	until        time.Duration // end of authority
	fence        api.Fence     // 0 until a quorum that knows all ballots has promised
	lastSent     time.Duration
	giveUpAt     time.Duration
	rounds       []*round
	jointVersion uint64 // version of the joint record that both quorums acknowledged

	// Restored if the claim fails: a ballot without a quorum must not make this
	// member refuse the current holder.
	highest   uint64
	highestBy candidateID
}

// round is one request to all members, identified by its seq.
type round struct {
	seq     uint64
	sentAt  time.Duration
	version uint64
	acks    map[api.VMID]bool // by member: whether it knows all ballots
}

// voterSet is a list of VMs of which a quorum needs a majority.
type voterSet struct {
	vms       []api.VMID
	countGone bool
}

// voterSets returns the lists of which a quorum needs a majority each. As soon
// as a change of members is written, they include the proposed members.
//
// A gone VM counts only among the old members of a joint record. Counted
// elsewhere, it could be the only VM that two quorums have in common, and two
// partitioned VMs would both have authority.
func (m *Machine) voterSets() []voterSet {
	sets := []voterSet{{m.rec.Members, len(m.rec.Next) > 0}}
	if len(m.rec.Next) > 0 {
		sets = append(sets, voterSet{m.rec.Next, false})
	}
	if m.write != nil && len(m.write.rec.Next) > 0 && len(m.rec.Next) == 0 {
		sets = append(sets, voterSet{m.write.rec.Next, false})
	}
	return sets
}

// promisesExpired reports whether a VM has been gone for longer than any of its promises can last.
func (m *Machine) promisesExpired(now time.Duration, vm api.VMID) bool {
	since, ok := m.gone[vm]
	return ok && now >= since+m.cfg.PromiseTTL()
}

// quorum reports whether a majority of every voter set meets the condition.
func (m *Machine) quorum(now time.Duration, met func(api.VMID) bool) bool {
	for _, set := range m.voterSets() {
		n := 0
		for _, vm := range set.vms {
			if met(vm) || set.countGone && m.promisesExpired(now, vm) {
				n++
			}
		}
		if n <= len(set.vms)/2 {
			return false
		}
	}
	return true
}

// MarkGone records that the VM list reports a VM as gone: it has stopped for good.
func (m *Machine) MarkGone(now time.Duration, vm api.VMID) {
	if _, ok := m.gone[vm]; !ok {
		m.gone[vm] = now
	}
}

// peers returns the VMs to which this one sends.
func (m *Machine) peers() []api.VMID {
	var vms []api.VMID
	for _, set := range m.voterSets() {
		for _, vm := range set.vms {
			if vm != m.self && !slices.Contains(vms, vm) {
				vms = append(vms, vm)
			}
		}
	}
	return vms
}

// startClaim starts a claim with a new ballot, which this VM promises to itself.
func (m *Machine) startClaim(now time.Duration) []Action {
	m.highestSeen++ // at least highest, so the ballot is new
	wait := (2 * m.cfg.RankDelay) << min(m.failedClaims, 2)
	m.term = &term{ballot: m.highestSeen, giveUpAt: now + wait, highest: m.highest, highestBy: m.highestBy}
	m.raiseBallot(m.selfID(), m.term.ballot)
	return m.sendRound(now, Claim)
}

func (m *Machine) selfID() candidateID { return candidateID{m.self, m.cfg.Incarnation} }

// sendRound sends a claim or a renewal to all members.
func (m *Machine) sendRound(now time.Duration, kind MessageType) []Action {
	t := m.term
	m.seq++
	m.promised = promise{m.selfID(), t.ballot, now + m.cfg.PromiseTTL()}
	r := &round{seq: m.seq, sentAt: now, version: m.rec.Version, acks: map[api.VMID]bool{m.self: m.knowsAllBallots()}}
	t.lastSent = now
	t.rounds = slices.DeleteFunc(t.rounds, func(old *round) bool { return now >= old.sentAt+m.cfg.Lease })
	t.rounds = append(t.rounds, r)
	var actions []Action
	for _, vm := range m.peers() {
		msg := Message{Type: kind, Record: m.rec, Ballot: t.ballot, Seq: m.seq, Incarnation: m.cfg.Incarnation}
		if kind == Renew && t.fence != 0 {
			msg.Member = m.reportedForgets[vm]
		}
		actions = append(actions, Send{vm, msg})
	}
	return append(actions, m.countAcks(now, r)...)
}

// handleAck handles the acknowledgment or refusal of a round.
func (m *Machine) handleAck(now time.Duration, from api.VMID, msg Message) []Action {
	if m.term == nil || msg.Incarnation != m.cfg.Incarnation {
		return nil
	}
	i := slices.IndexFunc(m.term.rounds, func(r *round) bool { return r.seq == msg.Seq })
	if i < 0 {
		return nil
	}
	if msg.Forgets {
		m.reportedForgets[from] = msg.Member
	} else {
		delete(m.reportedForgets, from)
	}
	if !msg.OK {
		if !m.term.held && msg.Ballot >= m.term.ballot {
			return m.abandonClaim(now)
		}
		return nil
	}
	m.term.rounds[i].acks[from] = !msg.Forgets
	return m.countAcks(now, m.term.rounds[i])
}

// countAcks extends authority if a round has a quorum. The lease counts from the sending of that round.
func (m *Machine) countAcks(now time.Duration, r *round) []Action {
	t := m.term
	if m.conflict || now >= r.sentAt+m.cfg.Lease {
		return nil
	}
	if !m.quorum(now, func(vm api.VMID) bool { _, ok := r.acks[vm]; return ok }) {
		return nil
	}
	if !t.held {
		t.held, t.heldAt, m.failedClaims = true, now, 0
		m.namedSuccessor = false
	}
	t.until = max(t.until, r.sentAt+m.cfg.Lease)
	if r.version != m.rec.Version {
		return nil
	}
	var actions []Action
	if t.fence == 0 && m.quorum(now, func(vm api.VMID) bool { return r.acks[vm] }) {
		t.fence = api.NewFence(m.rec.Version, t.ballot)
		actions = append(actions, Gained{t.fence})
	}
	if len(m.rec.Next) > 0 {
		t.jointVersion = m.rec.Version
	}
	return append(actions, m.maintain(now)...)
}

// abandonClaim ends a claim without a quorum and releases the promises given to
// it, so that candidates do not block each other for a whole lease.
func (m *Machine) abandonClaim(now time.Duration) []Action {
	t := m.term
	actions := m.sendRelease(t.ballot, "")
	m.term, m.reportedForgets = nil, map[api.VMID]api.Incarnation{}
	if m.highestBy == m.selfID() && m.highest == t.ballot {
		m.highest, m.highestBy = t.highest, t.highestBy
	}
	m.promised.until = now
	m.namedSuccessor = false
	m.notBefore = now + m.cfg.RankDelay<<min(m.failedClaims, 3)
	m.failedClaims++
	if m.failedClaims%8 == 0 {
		// The members may have changed unnoticed by this VM.
		actions = append(actions, m.requestRead(now)...)
	}
	return actions
}

func (m *Machine) sendRelease(ballot uint64, successor api.VMID) []Action {
	var actions []Action
	for _, vm := range m.peers() {
		actions = append(actions, Send{vm, Message{
			Type: Release, Record: m.rec, Ballot: ballot, Successor: successor, Incarnation: m.cfg.Incarnation,
		}})
	}
	return actions
}

// Release ends this VM's authority and lets the successor claim the shard at
// once. Other members wait until the lease would have expired, because only the
// successor knows the holder's upstream leases. Call it after the successor has
// confirmed the handover.
func (m *Machine) Release(now time.Duration, successor api.VMID) []Action {
	actions := m.expire(now)
	if m.term == nil || !m.term.held || successor == m.self || !slices.Contains(m.rec.eligible(), successor) {
		return actions
	}
	actions = append(actions, m.sendRelease(m.term.ballot, successor)...)
	m.reserved = reservation{successor, m.promised.until}
	m.promised.until = now
	return append(actions, m.endTerm(now)...)
}

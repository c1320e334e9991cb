package authority

import (
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// term is one attempt to be holder, under one ballot.
type term struct {
	ballot   uint64
	held     bool          // a quorum promised the ballot
	heldAt   time.Duration // when held became true
	until    time.Duration // end of authority
	fence    api.Fence     // 0 until a quorum that remembers all ballots has agreed
	lastSent time.Duration
	giveUpAt time.Duration
	rounds   []*round
	joint    uint64 // version of the joint record that both quorums acknowledged

	// State to return to if the claim fails: a ballot that never had a quorum
	// must not make this member refuse the present holder.
	highest   uint64
	highestBy key
}

// round is one request to all members, identified by its seq.
type round struct {
	seq     uint64
	sentAt  time.Duration
	version uint64
	acks    map[api.VMID]bool // by member: whether it remembers all ballots
}

// half is a list of VMs of which a majority is needed.
type half struct {
	vms         []api.VMID
	goneCounted bool
}

// halves returns the lists of which a majority is needed. From the time at
// which a change is written, the proposed members are needed as well.
//
// A VM that is reported as gone counts only among the old members of a record
// that names new ones. Counted elsewhere, it could be the one VM that two
// quorums have in common, and two VMs that are cut off from each other would
// both have authority.
func (m *Machine) halves() []half {
	halves := []half{{m.rec.Members, len(m.rec.Next) > 0}}
	if len(m.rec.Next) > 0 {
		halves = append(halves, half{m.rec.Next, false})
	}
	if m.write != nil && len(m.write.rec.Next) > 0 && len(m.rec.Next) == 0 {
		halves = append(halves, half{m.write.rec.Next, false})
	}
	return halves
}

// goneLong reports whether a VM has been gone for so long that no promise of it can be live.
func (m *Machine) goneLong(now time.Duration, vm api.VMID) bool {
	since, ok := m.gone[vm]
	return ok && now >= since+m.cfg.PromiseTTL()
}

// quorum reports whether every half has a majority of VMs that meet the condition.
func (m *Machine) quorum(now time.Duration, met func(api.VMID) bool) bool {
	for _, h := range m.halves() {
		n := 0
		for _, vm := range h.vms {
			if met(vm) || h.goneCounted && m.goneLong(now, vm) {
				n++
			}
		}
		if n <= len(h.vms)/2 {
			return false
		}
	}
	return true
}

// MarkGone notes that the VM list reports a VM as gone: it ran and runs no more.
func (m *Machine) MarkGone(now time.Duration, vm api.VMID) {
	if _, ok := m.gone[vm]; !ok {
		m.gone[vm] = now
	}
}

// others returns the VMs to which this one sends.
func (m *Machine) others() []api.VMID {
	var vms []api.VMID
	for _, h := range m.halves() {
		for _, vm := range h.vms {
			if vm != m.self && !slices.Contains(vms, vm) {
				vms = append(vms, vm)
			}
		}
	}
	return vms
}

// startClaim makes this VM a candidate. It promises the ballot to itself.
func (m *Machine) startClaim(now time.Duration) []Action {
	m.heard++ // heard is at least highest, so the ballot is new
	wait := (2 * m.cfg.RankDelay) << min(m.attempt, 2)
	m.term = &term{ballot: m.heard, giveUpAt: now + wait, highest: m.highest, highestBy: m.highestBy}
	m.raise(m.own(), m.term.ballot)
	return m.sendRound(now, Claim)
}

func (m *Machine) own() key { return key{m.self, m.cfg.Incarnation} }

// sendRound sends a claim or a renewal to all members.
func (m *Machine) sendRound(now time.Duration, kind MessageType) []Action {
	t := m.term
	m.seq++
	m.promised = promise{m.own(), t.ballot, now + m.cfg.PromiseTTL()}
	r := &round{seq: m.seq, sentAt: now, version: m.rec.Version, acks: map[api.VMID]bool{m.self: m.remembersBallots()}}
	t.lastSent = now
	t.rounds = slices.DeleteFunc(t.rounds, func(old *round) bool { return now >= old.sentAt+m.cfg.Lease })
	t.rounds = append(t.rounds, r)
	var actions []Action
	for _, vm := range m.others() {
		msg := Message{Type: kind, Record: m.rec, Ballot: t.ballot, Seq: m.seq, Incarnation: m.cfg.Incarnation}
		if kind == Renew && t.fence != 0 {
			msg.Member = m.forgetful[vm]
		}
		actions = append(actions, Send{vm, msg})
	}
	return append(actions, m.count(now, r)...)
}

// acknowledged handles the answer to a round.
func (m *Machine) acknowledged(now time.Duration, from api.VMID, msg Message) []Action {
	if m.term == nil || msg.Incarnation != m.cfg.Incarnation {
		return nil
	}
	i := slices.IndexFunc(m.term.rounds, func(r *round) bool { return r.seq == msg.Seq })
	if i < 0 {
		return nil
	}
	if msg.Forgets {
		m.forgetful[from] = msg.Member
	} else {
		delete(m.forgetful, from)
	}
	if !msg.OK {
		if !m.term.held && msg.Ballot >= m.term.ballot {
			return m.abandon(now)
		}
		return nil
	}
	m.term.rounds[i].acks[from] = !msg.Forgets
	return m.count(now, m.term.rounds[i])
}

// count extends authority if a round has a quorum, from the time at which that round was sent.
func (m *Machine) count(now time.Duration, r *round) []Action {
	t := m.term
	if m.conflict || now >= r.sentAt+m.cfg.Lease {
		return nil
	}
	if !m.quorum(now, func(vm api.VMID) bool { _, ok := r.acks[vm]; return ok }) {
		return nil
	}
	if !t.held {
		t.held, t.heldAt, m.attempt = true, now, 0
		m.firstChance = false
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
		t.joint = m.rec.Version
	}
	return append(actions, m.maintain(now)...)
}

// abandon ends a claim without a quorum and withdraws the promises given to
// it, so that candidates do not block each other for a whole lease.
func (m *Machine) abandon(now time.Duration) []Action {
	t := m.term
	actions := m.sendRelease(t.ballot, "")
	m.term, m.forgetful = nil, map[api.VMID]api.Incarnation{}
	if m.highestBy == m.own() && m.highest == t.ballot {
		m.highest, m.highestBy = t.highest, t.highestBy
	}
	m.promised.until = now
	m.firstChance = false
	m.notBefore = now + m.cfg.RankDelay<<min(m.attempt, 3)
	m.attempt++
	if m.attempt%8 == 0 {
		// The members may have changed without this VM.
		actions = append(actions, m.read(now)...)
	}
	return actions
}

func (m *Machine) sendRelease(ballot uint64, successor api.VMID) []Action {
	var actions []Action
	for _, vm := range m.others() {
		actions = append(actions, Send{vm, Message{
			Type: Release, Record: m.rec, Ballot: ballot, Successor: successor, Incarnation: m.cfg.Incarnation,
		}})
	}
	return actions
}

// Release ends this VM's authority in favour of a successor, which may claim
// the shard at once. Other members wait until the lease would have lapsed,
// because only the successor has been told about the holder's upstream leases.
// Call it after the successor has confirmed the handover.
func (m *Machine) Release(now time.Duration, successor api.VMID) []Action {
	actions := m.expire(now)
	if m.term == nil || !m.term.held || successor == m.self || !slices.Contains(m.rec.eligible(), successor) {
		return actions
	}
	actions = append(actions, m.sendRelease(m.term.ballot, successor)...)
	m.reserved = reservation{successor, m.promised.until}
	m.promised.until = now
	return append(actions, m.drop(now)...)
}

package authority

import (
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// key identifies a candidate: one run of one VM.
type key struct {
	vm          api.VMID
	incarnation api.Incarnation
}

// promise binds a member to one candidate and ballot until a time.
type promise struct {
	to     key
	ballot uint64
	until  time.Duration
}

// reservation keeps a released shard for the named successor. Leases that the
// former holder granted may last until then, and only the successor knows them.
type reservation struct {
	to    api.VMID
	until time.Duration
}

// Machine is the state of one VM for one shard. It is not safe for concurrent use.
type Machine struct {
	self  api.VMID
	shard api.ShardID
	cfg   Config

	have     bool
	rec      Record
	row      uint64 // version of the row that holds rec, if rowKnown
	rowKnown bool
	conflict bool // saw two records of one version: supports nobody until the row is read
	readAt   time.Duration
	reading  bool

	// What this process may have forgotten.
	abstainUntil time.Duration
	learned      uint64 // record version first learned from the store
	remembers    bool   // knows every ballot used under rec.Version, see remembersBallots

	// Support given to others and to itself.
	promised  promise
	highest   uint64 // highest ballot promised or known to have been used
	highestBy key
	reserved  reservation

	// Own candidacy.
	seq         uint64
	heard       uint64 // highest ballot seen anywhere, or tried
	term        *term
	attempt     int
	notBefore   time.Duration
	write       *pendingWrite
	gone        map[api.VMID]time.Duration
	forgetful   map[api.VMID]api.Incarnation // members that reported Forgets to this term
	firstChance bool                         // the former holder named this VM as successor
}

// New returns the machine of VM self for a shard. It supports nobody until Learn.
func New(self api.VMID, shard api.ShardID, cfg Config) *Machine {
	return &Machine{
		self: self, shard: shard, cfg: cfg,
		gone: map[api.VMID]time.Duration{}, forgetful: map[api.VMID]api.Incarnation{},
	}
}

// Record returns the newest record that the machine knows.
func (m *Machine) Record() (Record, bool) { return m.rec, m.have }

// Authority returns the fence under which this VM may act, and until when.
func (m *Machine) Authority(now time.Duration) (fence api.Fence, until time.Duration, ok bool) {
	if m.term == nil || m.term.fence == 0 || now >= m.term.until {
		return 0, 0, false
	}
	return m.term.fence, m.term.until, true
}

// Learn takes a record that was read from the store in a transaction, or that
// this process has just created. created means that no promise for the shard
// can have been forgotten.
func (m *Machine) Learn(now time.Duration, rec Record, rowVersion uint64, created bool) []Action {
	if rec.Shard != m.shard {
		return nil
	}
	actions := m.expire(now)
	m.reading = false
	switch {
	case !m.have:
		m.have, m.rec, m.row, m.rowKnown = true, rec, rowVersion, true
		m.learned, m.remembers, m.abstainUntil = rec.Version, created, now
		if !created {
			m.abstainUntil = now + m.cfg.PromiseTTL()
		}
	case rec.Version > m.rec.Version:
		actions = append(actions, m.adopt(now, rec)...)
		m.row, m.rowKnown, m.conflict = rowVersion, true, false
	case rec.Version == m.rec.Version:
		if !rec.same(m.rec) {
			m.rec = rec
			actions = append(actions, m.drop(now)...)
		}
		m.row, m.rowKnown, m.conflict = rowVersion, true, false
	default:
		return actions // an older state of the row
	}
	m.resolveWrite(rec, rowVersion)
	return append(actions, m.maintain(now)...)
}

// adopt takes a newer record. The caller sets the row's version if it knows it.
func (m *Machine) adopt(now time.Duration, rec Record) []Action {
	m.rec, m.rowKnown, m.conflict = rec, false, false
	if m.write != nil && m.write.rec.Version <= rec.Version {
		m.write = nil
	}
	if !slices.Contains(rec.eligible(), m.self) {
		return m.drop(now)
	}
	if m.term != nil && m.term.held {
		m.term.lastSent = now - m.cfg.RenewEvery // spread the record at the next Tick
	}
	return nil
}

// remembersBallots reports whether this process knows every ballot that it
// promised under the current version. Promises under versions that are newer
// than the one first learned were all made by this process.
func (m *Machine) remembersBallots() bool { return m.remembers || m.rec.Version > m.learned }

// Tick advances time. Call it at least every RankDelay/5 for the stated bounds.
func (m *Machine) Tick(now time.Duration) []Action {
	actions := m.expire(now)
	actions = append(actions, m.tickStore(now)...)
	if !m.have || m.conflict {
		return actions
	}
	switch {
	case m.term == nil:
		if now >= m.claimAt() {
			actions = append(actions, m.startClaim(now)...)
		}
	case !m.term.held:
		switch {
		case now >= m.term.giveUpAt:
			actions = append(actions, m.abandon(now)...)
		case now >= m.term.lastSent+m.cfg.RankDelay/5:
			actions = append(actions, m.sendRound(now, Claim)...)
		}
	default:
		actions = append(actions, m.maintain(now)...)
		if m.term != nil && now >= m.term.lastSent+m.cfg.RenewEvery {
			actions = append(actions, m.sendRound(now, Renew)...)
		}
	}
	return actions
}

// claimAt returns when this VM may claim the shard next.
func (m *Machine) claimAt() time.Duration {
	const never = time.Duration(1<<63 - 1)
	rank := slices.Index(m.rec.eligible(), m.self)
	if rank < 0 {
		return never
	}
	at := max(m.promised.until, m.abstainUntil, m.notBefore)
	if m.reserved.to == m.self {
		if m.firstChance {
			return at
		}
	} else {
		at = max(at, m.reserved.until)
	}
	return at + time.Duration(rank)*m.cfg.RankDelay
}

// expire ends a term whose lease has lapsed by this VM's own clock. Every
// entry point calls it first, so that a process that resumes after a pause
// does not act on the term that it had.
func (m *Machine) expire(now time.Duration) []Action {
	if m.term == nil || !m.term.held || now < m.term.until {
		return nil
	}
	return append(m.drop(now), m.read(now)...)
}

// drop ends the current term, if there is one, without telling anyone.
func (m *Machine) drop(now time.Duration) []Action {
	t := m.term
	if t == nil {
		return nil
	}
	m.term, m.attempt, m.forgetful = nil, 0, map[api.VMID]api.Incarnation{}
	m.notBefore = now
	if t.fence == 0 {
		return nil
	}
	return []Action{Lost{t.fence}}
}

// read asks for the row, at most once per Lease until Learn answers.
func (m *Machine) read(now time.Duration) []Action {
	if m.reading && now < m.readAt+m.cfg.Lease {
		return nil
	}
	m.reading, m.readAt = true, now
	return []Action{ReadRecord{}}
}

// Receive handles a message of another VM.
func (m *Machine) Receive(now time.Duration, from api.VMID, msg Message) []Action {
	actions := m.expire(now)
	if msg.Record.Shard != m.shard {
		return actions
	}
	if !m.have {
		// A message can be old, and this process may have known a newer record
		// before a restart, so only the store can give the first record.
		return append(actions, m.read(now)...)
	}
	m.heard = max(m.heard, msg.Ballot)
	switch {
	case msg.Record.Version > m.rec.Version:
		actions = append(actions, m.adopt(now, msg.Record)...)
	case msg.Record.Version == m.rec.Version && !msg.Record.same(m.rec):
		m.conflict = true
		actions = append(actions, m.read(now)...)
	}
	switch msg.Type {
	case Renew, Claim:
		return append(actions, m.answer(now, from, msg))
	case RenewAck, ClaimAck:
		return append(actions, m.acknowledged(now, from, msg)...)
	case Release:
		return append(actions, m.released(now, from, msg)...)
	}
	return actions
}

package authority

import (
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// candidateID identifies a candidate by its VM and incarnation.
type candidateID struct {
	vm          api.VMID
	incarnation api.Incarnation
}

// promise binds a member to one candidate and ballot until a time.
type promise struct {
	to     candidateID
	ballot uint64
	until  time.Duration
}

// reservation keeps a released shard for the named successor until the leases
// that the former holder granted, which only the successor knows, have expired.
type reservation struct {
	to    api.VMID
	until time.Duration
}

// Machine is the election state machine of one VM for one shard. It is not safe
// for concurrent use.
type Machine struct {
	self  api.VMID
	shard api.ShardID
	cfg   Config

	hasRecord   bool
	rec         Record
	rowVersion  uint64 // version of the row that holds rec, if rowKnown
	rowKnown    bool
	conflict    bool // received two records of one version: promises nothing until the row is read
	readAt      time.Duration
	readPending bool

	// What this process may have lost in a restart.
	abstainUntil   time.Duration
	initialVersion uint64 // record version first read from the store
	ballotsKnown   bool   // every ballot used under rec.Version is known, see knowsAllBallots

	// Promises to others and to itself.
	promised  promise
	highest   uint64 // highest ballot promised or known to have been used
	highestBy candidateID
	reserved  reservation

	// Own candidacy.
	seq             uint64
	highestSeen     uint64 // highest ballot received or used
	term            *term
	failedClaims    int
	notBefore       time.Duration
	write           *pendingWrite
	gone            map[api.VMID]time.Duration
	reportedForgets map[api.VMID]api.Incarnation // members that reported Forgets to this term
	namedSuccessor  bool                         // the former holder named this VM as successor
}

// New returns the machine of VM self for a shard. It promises nothing until Learn.
func New(self api.VMID, shard api.ShardID, cfg Config) *Machine {
	return &Machine{
		self: self, shard: shard, cfg: cfg,
		gone: map[api.VMID]time.Duration{}, reportedForgets: map[api.VMID]api.Incarnation{},
	}
}

// Record returns the newest known record, if there is one.
func (m *Machine) Record() (Record, bool) { return m.rec, m.hasRecord }

// Authority returns the fence under which this VM may act, and until when.
func (m *Machine) Authority(now time.Duration) (fence api.Fence, until time.Duration, ok bool) {
	if m.term == nil || m.term.fence == 0 || now >= m.term.until {
		return 0, 0, false
	}
	return m.term.fence, m.term.until, true
}

// Learn takes a record that was read from the store in a transaction, or that
// this process has just created. created means that this process cannot have
// lost a promise for the shard.
func (m *Machine) Learn(now time.Duration, rec Record, rowVersion uint64, created bool) []Action {
	if rec.Shard != m.shard {
		return nil
	}
	actions := m.expire(now)
	m.readPending = false
	switch {
	case !m.hasRecord:
		m.hasRecord, m.rec, m.rowVersion, m.rowKnown = true, rec, rowVersion, true
		m.initialVersion, m.ballotsKnown, m.abstainUntil = rec.Version, created, now
		if !created {
			m.abstainUntil = now + m.cfg.PromiseTTL()
		}
	case rec.Version > m.rec.Version:
		actions = append(actions, m.adoptRecord(now, rec)...)
		m.rowVersion, m.rowKnown, m.conflict = rowVersion, true, false
	case rec.Version == m.rec.Version:
		if !rec.equal(m.rec) {
			m.rec = rec
			actions = append(actions, m.endTerm(now)...)
		}
		m.rowVersion, m.rowKnown, m.conflict = rowVersion, true, false
	default:
		return actions // an older state of the row
	}
	m.resolveWrite(rec, rowVersion)
	return append(actions, m.maintain(now)...)
}

// adoptRecord takes a newer record. The caller sets the row's version if it is known.
func (m *Machine) adoptRecord(now time.Duration, rec Record) []Action {
	m.rec, m.rowKnown, m.conflict = rec, false, false
	if m.write != nil && m.write.rec.Version <= rec.Version {
		m.write = nil
	}
	if !slices.Contains(rec.eligible(), m.self) {
		return m.endTerm(now)
	}
	if m.term != nil && m.term.held {
		m.term.lastSent = now - m.cfg.RenewEvery // send the record at the next Tick
	}
	return nil
}

// knowsAllBallots reports whether this process knows every ballot that this VM
// promised under the current version. All promises under versions newer than
// the one first read were made by this process.
func (m *Machine) knowsAllBallots() bool { return m.ballotsKnown || m.rec.Version > m.initialVersion }

// Tick advances time. Call it at least every RankDelay/5 for the stated bounds.
func (m *Machine) Tick(now time.Duration) []Action {
	actions := m.expire(now)
	actions = append(actions, m.tickStore(now)...)
	if !m.hasRecord || m.conflict {
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
			actions = append(actions, m.abandonClaim(now)...)
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

// claimAt returns when this VM may next claim the shard.
func (m *Machine) claimAt() time.Duration {
	const never = time.Duration(1<<63 - 1)
	rank := slices.Index(m.rec.eligible(), m.self)
	if rank < 0 {
		return never
	}
	at := max(m.promised.until, m.abstainUntil, m.notBefore)
	if m.reserved.to == m.self {
		if m.namedSuccessor {
			return at
		}
	} else {
		at = max(at, m.reserved.until)
	}
	return at + time.Duration(rank)*m.cfg.RankDelay
}

// expire ends a term whose lease has expired on this VM's own clock. Every
// entry point calls it first, so that a process that resumes after a pause
// does not act on its former term.
func (m *Machine) expire(now time.Duration) []Action {
	if m.term == nil || !m.term.held || now < m.term.until {
		return nil
	}
	return append(m.endTerm(now), m.requestRead(now)...)
}

// endTerm ends the current term, if there is one, without a message to the members.
func (m *Machine) endTerm(now time.Duration) []Action {
	t := m.term
	if t == nil {
		return nil
	}
	m.term, m.failedClaims, m.reportedForgets = nil, 0, map[api.VMID]api.Incarnation{}
	m.notBefore = now
	if t.fence == 0 {
		return nil
	}
	return []Action{Lost{t.fence}}
}

// requestRead asks for the row, at most once per Lease until Learn is called.
func (m *Machine) requestRead(now time.Duration) []Action {
	if m.readPending && now < m.readAt+m.cfg.Lease {
		return nil
	}
	m.readPending, m.readAt = true, now
	return []Action{ReadRecord{}}
}

// Receive handles a message of another VM.
func (m *Machine) Receive(now time.Duration, from api.VMID, msg Message) []Action {
	actions := m.expire(now)
	if msg.Record.Shard != m.shard {
		return actions
	}
	if !m.hasRecord {
		// The message may be older than a record that this VM knew before a
		// restart, so the first record comes from the store only.
		return append(actions, m.requestRead(now)...)
	}
	m.highestSeen = max(m.highestSeen, msg.Ballot)
	switch {
	case msg.Record.Version > m.rec.Version:
		actions = append(actions, m.adoptRecord(now, msg.Record)...)
	case msg.Record.Version == m.rec.Version && !msg.Record.equal(m.rec):
		m.conflict = true
		actions = append(actions, m.requestRead(now)...)
	}
	switch msg.Type {
	case Renew, Claim:
		return append(actions, m.handleRequest(now, from, msg))
	case RenewAck, ClaimAck:
		return append(actions, m.handleAck(now, from, msg)...)
	case Release:
		return append(actions, m.handleRelease(now, from, msg)...)
	}
	return actions
}

package authority

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionhill.dev/api"
)

// writeTimeout is how long a write may stay without a result before the row
// is read. It exceeds the time that a call to the store may take.
const writeTimeout = 3 * time.Second

type writePhase int

const (
	writeSent    writePhase = iota // no result yet
	writeUnclear                   // the row must be read
	writeAgain                     // the row was unchanged: the same write is issued again
)

// pendingWrite is a write of the row whose effect is not known yet. The same
// record may be written again: the row's version and the write ID make sure
// that it takes effect once.
type pendingWrite struct {
	rec   Record
	base  uint64
	phase writePhase
	at    time.Duration
}

// Replace proposes a record in which one member is exchanged. The holder may
// replace any other member. A member that cannot become holder because a
// majority is missing may replace a VM that has long been gone; the store
// decides between two members that do so. If the row's version is not known,
// the result is a ReadRecord, and the caller repeats the call later.
func (m *Machine) Replace(now time.Duration, gone, replacement api.VMID) []Action {
	actions := m.expire(now)
	if !m.have || m.conflict || m.write != nil || len(m.rec.Next) > 0 || gone == m.self ||
		!slices.Contains(m.rec.Members, m.self) ||
		!slices.Contains(m.rec.Members, gone) || slices.Contains(m.rec.Members, replacement) {
		return actions
	}
	if _, _, holder := m.Authority(now); !holder && !m.stuck(now, gone) {
		return actions
	}
	next := slices.Clone(m.rec.Members)
	next[slices.Index(next, gone)] = replacement
	return append(actions, m.propose(now, m.rec.Members, next)...)
}

// stuck reports whether this member has claimed without success and could not
// have promised its support to a living holder, while a member has long been gone.
func (m *Machine) stuck(now time.Duration, gone api.VMID) bool {
	held := m.term != nil && m.term.held
	bound := now < m.promised.until && m.promised.to.vm != m.self
	return !held && !bound && m.attempt > 0 && now >= m.abstainUntil && m.goneLong(now, gone)
}

// propose issues a write of the next version.
func (m *Machine) propose(now time.Duration, members, next []api.VMID) []Action {
	if !m.rowKnown {
		return m.read(now)
	}
	m.seq++
	version := m.rec.Version + 1
	id := strings.Join([]string{
		string(m.self), string(m.cfg.Incarnation), strconv.FormatUint(version, 10),
		strconv.FormatUint(m.seq, 10), strconv.FormatInt(int64(now), 10),
	}, ":")
	rec := Record{Shard: m.shard, Version: version, Members: slices.Clone(members), Next: slices.Clone(next), WriteID: id}
	m.write = &pendingWrite{rec: rec, base: m.row, at: now}
	return []Action{WriteRecord{rec, m.row}}
}

// HandleWriteResult reports the result of a WriteRecord. rowVersion is the row's new version if the result is WriteOK.
func (m *Machine) HandleWriteResult(now time.Duration, rec Record, rowVersion uint64, result WriteResult) []Action {
	actions := m.expire(now)
	if rec.Shard != m.shard || !m.have {
		return actions
	}
	if result == WriteOK {
		if rec.Version <= m.rec.Version {
			return actions
		}
		actions = append(actions, m.adopt(now, rec)...)
		m.row, m.rowKnown = rowVersion, true
		if m.term != nil && m.term.held {
			actions = append(actions, m.sendRound(now, Renew)...)
		}
		return actions
	}
	if m.write == nil || !m.write.rec.same(rec) {
		return actions
	}
	m.write.phase, m.write.at = writeUnclear, now
	return append(actions, m.read(now)...)
}

// resolveWrite compares a row that was read with the pending write.
func (m *Machine) resolveWrite(rec Record, rowVersion uint64) {
	w := m.write
	switch {
	case w == nil:
	case rec.same(w.rec), rowVersion != w.base:
		// Either the write took effect, or the row has moved on and it never can.
		m.write = nil
	case w.phase == writeUnclear:
		w.phase = writeAgain
	}
}

// tickStore repeats reads and writes that got no answer.
func (m *Machine) tickStore(now time.Duration) []Action {
	var actions []Action
	if w := m.write; w != nil {
		switch {
		case w.phase == writeSent && now >= w.at+writeTimeout:
			w.phase, w.at = writeUnclear, now
			m.reading = false
		case w.phase == writeAgain && now >= w.at+m.cfg.RenewEvery:
			w.phase, w.at = writeSent, now
			actions = append(actions, WriteRecord{w.rec, w.base})
		}
	}
	if !m.have || m.conflict || m.reading || m.write != nil && m.write.phase == writeUnclear {
		actions = append(actions, m.read(now)...)
	}
	return actions
}

// maintain issues the writes that a holder owes: the end of a change of
// members, and a new version if the members that answered may have forgotten
// ballots. Ballots start again after such a loss of memory, so only a higher
// version makes the next fence higher than all earlier ones.
func (m *Machine) maintain(now time.Duration) []Action {
	t := m.term
	if t == nil || !t.held || now >= t.until || m.write != nil || m.conflict {
		return nil
	}
	if t.fence == 0 {
		// Members that remember may still answer.
		if now < t.heldAt+m.cfg.RankDelay {
			return nil
		}
		return m.propose(now, m.rec.Members, m.rec.Next)
	}
	if len(m.rec.Next) > 0 && t.joint == m.rec.Version {
		return m.propose(now, m.rec.Next, nil)
	}
	return nil
}

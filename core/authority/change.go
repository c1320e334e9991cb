package authority

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionhill.dev/api"
)

// writeTimeout is the time without a result after which a write is in doubt and
// the row is read. It exceeds the time that a call to the store may take.
const writeTimeout = 3 * time.Second

type writePhase int

const (
	writeSent    writePhase = iota // waiting for the result
	writeInDoubt                   // result unknown: the row must be read
	writeRetry                     // the row was unchanged: the write is issued again
)

// pendingWrite is a write of the row whose result is not known yet. Retries are
// idempotent through the row's version and the write ID.
type pendingWrite struct {
	rec   Record
	base  uint64
	phase writePhase
	at    time.Duration
}

// Replace proposes a record in which one member is replaced. The holder may
// replace any other member. A member that cannot become holder for lack of a
// majority may replace a VM that has been gone for longer than its promises
// last; the store decides between two members that do so. If the row's version
// is not known, the result is a ReadRecord, and the caller retries later.
func (m *Machine) Replace(now time.Duration, gone, replacement api.VMID) []Action {
	actions := m.expire(now)
	if !m.hasRecord || m.conflict || m.write != nil || len(m.rec.Next) > 0 || gone == m.self ||
		!slices.Contains(m.rec.Members, m.self) ||
		!slices.Contains(m.rec.Members, gone) || slices.Contains(m.rec.Members, replacement) {
		return actions
	}
	if _, _, holder := m.Authority(now); !holder && !m.mayReplaceGone(now, gone) {
		return actions
	}
	next := slices.Clone(m.rec.Members)
	next[slices.Index(next, gone)] = replacement
	return append(actions, m.propose(now, m.rec.Members, next)...)
}

// mayReplaceGone reports whether this member may replace a gone VM without
// authority: its claims failed, its promises to other VMs have expired, and so
// have the promises of the gone VM.
func (m *Machine) mayReplaceGone(now time.Duration, gone api.VMID) bool {
	held := m.term != nil && m.term.held
	promisedToOther := now < m.promised.until && m.promised.to.vm != m.self
	return !held && !promisedToOther && m.failedClaims > 0 && now >= m.abstainUntil && m.promisesExpired(now, gone)
}

// propose writes the next version of the record.
func (m *Machine) propose(now time.Duration, members, next []api.VMID) []Action {
	if !m.rowKnown {
		return m.requestRead(now)
	}
	m.seq++
	version := m.rec.Version + 1
	id := strings.Join([]string{
		string(m.self), string(m.cfg.Incarnation), strconv.FormatUint(version, 10),
		strconv.FormatUint(m.seq, 10), strconv.FormatInt(int64(now), 10),
	}, ":")
	rec := Record{Shard: m.shard, Version: version, Members: slices.Clone(members), Next: slices.Clone(next), WriteID: id}
	m.write = &pendingWrite{rec: rec, base: m.rowVersion, at: now}
	return []Action{WriteRecord{rec, m.rowVersion}}
}

// HandleWriteResult takes the result of a WriteRecord. rowVersion is the row's
// new version if the result is WriteOK.
func (m *Machine) HandleWriteResult(now time.Duration, rec Record, rowVersion uint64, result WriteResult) []Action {
	actions := m.expire(now)
	if rec.Shard != m.shard || !m.hasRecord {
		return actions
	}
	if result == WriteOK {
		if rec.Version <= m.rec.Version {
			return actions
		}
		actions = append(actions, m.adoptRecord(now, rec)...)
		m.rowVersion, m.rowKnown = rowVersion, true
		if m.term != nil && m.term.held {
			actions = append(actions, m.sendRound(now, Renew)...)
		}
		return actions
	}
	if m.write == nil || !m.write.rec.equal(rec) {
		return actions
	}
	m.write.phase, m.write.at = writeInDoubt, now
	return append(actions, m.requestRead(now)...)
}

// resolveWrite compares a row that was read with the pending write.
func (m *Machine) resolveWrite(rec Record, rowVersion uint64) {
	w := m.write
	switch {
	case w == nil:
	case rec.equal(w.rec), rowVersion != w.base:
		// The write took effect, or another one did, so that it never can.
		m.write = nil
	case w.phase == writeInDoubt:
		w.phase = writeRetry
	}
}

// tickStore retries reads and writes without a result.
func (m *Machine) tickStore(now time.Duration) []Action {
	var actions []Action
	if w := m.write; w != nil {
		switch {
		case w.phase == writeSent && now >= w.at+writeTimeout:
			w.phase, w.at = writeInDoubt, now
			m.readPending = false
		case w.phase == writeRetry && now >= w.at+m.cfg.RenewEvery:
			w.phase, w.at = writeSent, now
			actions = append(actions, WriteRecord{w.rec, w.base})
		}
	}
	if !m.hasRecord || m.conflict || m.readPending || m.write != nil && m.write.phase == writeInDoubt {
		actions = append(actions, m.requestRead(now)...)
	}
	return actions
}

// maintain issues the writes that a holder must make: the end of a change of
// members, and a new version if the members that replied may have lost ballots
// in a restart. Ballots then start again, so only a higher version makes the
// next fence higher than all earlier ones.
func (m *Machine) maintain(now time.Duration) []Action {
	t := m.term
	if t == nil || !t.held || now >= t.until || m.write != nil || m.conflict {
		return nil
	}
	if t.fence == 0 {
		// Members that know all ballots may still reply.
		if now < t.heldAt+m.cfg.RankDelay {
			return nil
		}
		return m.propose(now, m.rec.Members, m.rec.Next)
	}
	if len(m.rec.Next) > 0 && t.jointVersion == m.rec.Version {
		return m.propose(now, m.rec.Next, nil)
	}
	return nil
}

package authority

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// cloneMachine copies all state that a method of Machine may change.
func cloneMachine(m *Machine) *Machine {
	c := *m
	c.gone, c.reportedForgets = maps.Clone(m.gone), maps.Clone(m.reportedForgets)
	if m.term != nil {
		t := *m.term
		t.rounds = nil
		for _, r := range m.term.rounds {
			copied := *r
			copied.acks = maps.Clone(r.acks)
			t.rounds = append(t.rounds, &copied)
		}
		c.term = &t
	}
	if m.write != nil {
		w := *m.write
		c.write = &w
	}
	return &c
}

func appendFlag(b []byte, flags ...bool) []byte {
	for _, f := range flags {
		if f {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	return b
}

func appendTimes(b []byte, times ...time.Duration) []byte {
	for _, t := range times {
		b = binary.AppendVarint(b, int64(t))
	}
	return b
}

func appendNumbers(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

func appendText[T ~string](b []byte, text T) []byte {
	return append(append(b, text...), 0)
}

// appendRecord omits the shard: within the model the write ID identifies a record.
func appendRecord(b []byte, r Record) []byte {
	b = appendText(appendNumbers(b, r.Version), r.WriteID)
	for _, vm := range slices.Concat(r.Members, []api.VMID{"-"}, r.Next) {
		b = appendText(b, vm)
	}
	return b
}

func appendCandidateID(b []byte, k candidateID) []byte {
	return appendText(appendText(b, k.vm), k.incarnation)
}

func appendInFlight(b []byte, f inFlight) []byte {
	b = append(b, byte(f.from), byte(f.to))
	if f.write != nil {
		return appendRecord(appendNumbers(b, f.write.BaseVersion), f.write.Record)
	}
	m := f.msg
	b = appendText(b, m.Type)
	b = appendRecord(b, m.Record)
	b = appendNumbers(b, m.Ballot, m.Seq)
	b = appendText(appendText(appendText(b, m.Successor), m.Incarnation), m.Member)
	return appendFlag(b, m.OK, m.Forgets)
}

func appendMachine(b []byte, m *Machine) []byte {
	b = appendFlag(b, m.hasRecord, m.rowKnown, m.conflict, m.readPending, m.ballotsKnown, m.namedSuccessor, m.term != nil, m.write != nil)
	b = appendRecord(b, m.rec)
	b = appendText(b, m.cfg.Incarnation)
	b = appendNumbers(b, m.rowVersion, m.initialVersion, m.promised.ballot, m.highest, m.seq, m.highestSeen, uint64(m.failedClaims))
	b = appendTimes(b, m.readAt, m.abstainUntil, m.promised.until, m.reserved.until, m.notBefore)
	b = appendText(appendCandidateID(appendCandidateID(b, m.promised.to), m.highestBy), m.reserved.to)
	for _, vm := range slices.Sorted(maps.Keys(m.reportedForgets)) {
		b = appendText(appendText(b, vm), m.reportedForgets[vm])
	}
	b = append(b, '/')
	for _, vm := range slices.Sorted(maps.Keys(m.gone)) {
		b = appendTimes(appendText(b, vm), m.gone[vm])
	}
	if t := m.term; t != nil {
		b = appendFlag(b, t.held)
		b = appendNumbers(b, t.ballot, uint64(t.fence), t.jointVersion, t.highest)
		b = appendTimes(b, t.heldAt, t.until, t.lastSent, t.giveUpAt)
		b = appendCandidateID(b, t.highestBy)
		for _, r := range t.rounds {
			b = appendTimes(appendNumbers(b, r.seq, r.version), r.sentAt)
			for _, vm := range slices.Sorted(maps.Keys(r.acks)) {
				b = appendFlag(appendText(b, vm), r.acks[vm])
			}
			b = append(b, '/')
		}
	}
	if w := m.write; w != nil {
		b = appendTimes(appendNumbers(appendRecord(b, w.rec), w.base, uint64(w.phase)), w.at)
	}
	return b
}

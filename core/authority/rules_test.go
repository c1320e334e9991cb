package authority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// These tests check single rules on which random runs seldom depend alone. Each
// test fails when its rule is removed.

var threeMembers = Record{Shard: shard, Version: 3, Members: []api.VMID{"a", "b", "c"}, WriteID: "w3"}

// member returns a member that knows all ballots and has promised ballot 5 to a at time 0.
func member(t *testing.T) *Machine {
	m := New("b", shard, DefaultConfig())
	m.Learn(0, threeMembers, 3, true)
	require.True(t, ask(m, 0, "a", Claim, 5).OK)
	return m
}

// ask sends a request to a machine and returns its reply.
func ask(m *Machine, now time.Duration, from api.VMID, kind MessageType, ballot uint64) Message {
	return askWith(m, now, from, Message{Type: kind, Record: threeMembers, Ballot: ballot, Seq: 1})
}

func askWith(m *Machine, now time.Duration, from api.VMID, msg Message) Message {
	for _, action := range m.Receive(now, from, msg) {
		if s, ok := action.(Send); ok && s.To == from {
			return s.Message
		}
	}
	return Message{}
}

func TestPromiseLastsForLeaseAndDrift(t *testing.T) {
	assert.False(t, ask(member(t), 1009*ms, "c", Claim, 6).OK)
	assert.False(t, ask(member(t), 1010*ms, "c", Claim, 6).OK)
	assert.True(t, ask(member(t), 1011*ms, "c", Claim, 6).OK)
}

func TestHolderKeepsItsPromise(t *testing.T) {
	m := member(t)
	assert.True(t, ask(m, 900*ms, "a", Renew, 5).OK)
	assert.False(t, ask(m, 1500*ms, "c", Claim, 6).OK)
	assert.False(t, ask(m, 1500*ms, "c", Renew, 6).OK, "an unexpired promise excludes renewals of others too")
}

func TestBallotsOnlyIncrease(t *testing.T) {
	m := member(t)
	for _, ballot := range []uint64{4, 5} {
		reply := ask(m, 3*time.Second, "c", Claim, ballot)
		assert.False(t, reply.OK)
		assert.EqualValues(t, 5, reply.Ballot, "a refusal contains the highest ballot")
		assert.False(t, ask(m, 3*time.Second, "c", Renew, ballot).OK)
	}
	assert.True(t, ask(m, 3*time.Second, "c", Claim, 6).OK)
	assert.False(t, ask(m, 6*time.Second, "a", Renew, 5).OK, "the former holder")
}

func TestOlderVersionIsRefused(t *testing.T) {
	m := member(t)
	old := threeMembers
	old.Version, old.WriteID = 2, "w2"
	for _, kind := range []MessageType{Renew, Claim} {
		reply := askWith(m, 3*time.Second, "a", Message{Type: kind, Record: old, Ballot: 9, Seq: 1})
		assert.False(t, reply.OK)
		assert.Equal(t, threeMembers, reply.Record, "the reply contains the newer record")
	}
}

func TestReleaseIsForTheSuccessorOnly(t *testing.T) {
	m := member(t)
	msg := Message{Type: Release, Record: threeMembers, Ballot: 5, Successor: "c"}
	m.Receive(100*ms, "a", msg)
	assert.False(t, ask(m, 200*ms, "a", Claim, 6).OK, "others wait for the leases of the former holder")
	assert.False(t, ask(m, 200*ms, "a", Renew, 5).OK)
	assert.True(t, ask(m, 200*ms, "c", Claim, 6).OK)
}

// A release that arrives late must not clear the promise to a later candidate.
func TestOldReleaseIsIgnored(t *testing.T) {
	m := member(t)
	require.True(t, ask(m, 2*time.Second, "c", Claim, 6).OK)
	m.Receive(2100*ms, "a", Message{Type: Release, Record: threeMembers, Ballot: 5, Successor: "a"})
	m.Receive(2100*ms, "c", Message{Type: Release, Record: threeMembers, Ballot: 5, Successor: "a"})
	assert.False(t, ask(m, 2200*ms, "a", Claim, 7).OK)
}

// Ballots and seqs of a restarted process can repeat those of its former run.
func TestAckForFormerIncarnationIsIgnored(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Incarnation = "second"
	m := New("a", shard, cfg)
	m.Learn(0, threeMembers, 3, true)
	m.Tick(0)
	ack := Message{Type: ClaimAck, Record: threeMembers, Ballot: 1, Seq: 1, OK: true, Incarnation: "first"}
	m.Receive(ms, "b", ack)
	_, _, ok := m.Authority(ms)
	assert.False(t, ok)
	ack.Incarnation = "second"
	m.Receive(ms, "b", ack)
	_, _, ok = m.Authority(ms)
	assert.True(t, ok)
}

// joint returns the machine of a, which has claimed with seq 1 under a joint
// record that replaces c by d.
func joint(now time.Duration) (*Machine, Record) {
	rec := threeMembers
	rec.Next = []api.VMID{"a", "b", "d"}
	m := New("a", shard, DefaultConfig())
	m.Learn(now, rec, 3, true)
	m.Tick(now)
	return m, rec
}

func TestJointRecordNeedsBothMajorities(t *testing.T) {
	for name, c := range map[string]struct {
		acks []api.VMID
		ok   bool
	}{
		"old only":  {[]api.VMID{"c"}, false},
		"new only":  {[]api.VMID{"d"}, false},
		"one each":  {[]api.VMID{"c", "d"}, true},
		"in common": {[]api.VMID{"b"}, true},
	} {
		m, rec := joint(0)
		var writes []Action
		for _, vm := range c.acks {
			actions := m.Receive(ms, vm, Message{Type: ClaimAck, Record: rec, Ballot: 1, Seq: 1, OK: true})
			for _, a := range actions {
				if _, ok := a.(WriteRecord); ok {
					writes = append(writes, a)
				}
			}
		}
		_, _, ok := m.Authority(ms)
		assert.Equal(t, c.ok, ok, name)
		assert.Equal(t, c.ok, len(writes) == 1, "%s: the change ends only after both majorities", name)
	}
}

// Authority gained under the former record does not prove that both majorities
// know the joint record.
func TestChangeEndsOnlyAfterAcksForTheJointRecord(t *testing.T) {
	m := New("a", shard, DefaultConfig())
	m.Learn(0, threeMembers, 3, true)
	m.Tick(0)
	ack := Message{Type: ClaimAck, Record: threeMembers, Ballot: 1, Seq: 1, OK: true}
	m.Receive(ms, "b", ack)
	var write WriteRecord
	for _, a := range m.Replace(2*ms, "c", "d") {
		write = a.(WriteRecord)
	}
	require.NotEmpty(t, write.Record.Next)
	wrote := func(actions []Action) bool {
		for _, a := range actions {
			if _, ok := a.(WriteRecord); ok {
				return true
			}
		}
		return false
	}
	assert.False(t, wrote(m.HandleWriteResult(3*ms, write.Record, 4, WriteOK)))
	assert.False(t, wrote(m.Receive(4*ms, "b", ack)), "a repeated ack for the former record")
	assert.False(t, wrote(m.Tick(300*ms)))
	ack = Message{Type: RenewAck, Record: write.Record, Ballot: 1, Seq: m.seq, OK: true}
	assert.True(t, wrote(m.Receive(301*ms, "b", ack)))
}

// A gone VM counts among the old members of a joint record, once its promises have expired.
func TestGoneMemberCountsAmongOldMembersOnly(t *testing.T) {
	gainsAuthority := func(gone, ack api.VMID, after time.Duration) bool {
		m, rec := joint(0)
		m.MarkGone(0, gone)
		now := time.Duration(0)
		for now < after { // keep claiming
			now += 5 * ms
			m.Tick(now)
		}
		for m.term == nil {
			now += 5 * ms
			m.Tick(now)
		}
		m.Receive(now, ack, Message{Type: ClaimAck, Record: rec, Ballot: m.term.ballot, Seq: m.seq, OK: true})
		_, _, ok := m.Authority(now)
		return ok
	}
	assert.False(t, gainsAuthority("c", "d", 500*ms), "a promise of c may not have expired")
	assert.True(t, gainsAuthority("c", "d", 1100*ms))
	assert.False(t, gainsAuthority("d", "c", 1100*ms), "not among the new members")
}

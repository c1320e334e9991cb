package authority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

var shard = api.ShardID{Service: "foglalas", Index: 0}

const ms = time.Millisecond

// lab runs machines that share one clock and deliver at once, unless cut off.
type lab struct {
	t        *testing.T
	now      time.Duration
	machines map[api.VMID]*Machine
	order    []api.VMID
	cut      map[api.VMID]bool
	gains    []api.Fence
	losses   []api.Fence
	writes   []WriteRecord
	row      Record
	rowVer   uint64
	storeUp  bool
	sent     []Message
}

func newLab(t *testing.T, ids ...api.VMID) *lab {
	l := &lab{t: t, machines: map[api.VMID]*Machine{}, cut: map[api.VMID]bool{}, storeUp: true}
	l.row = Record{Shard: shard, Version: 1, Members: ids[:3], WriteID: "first"}
	l.rowVer = 1
	for i, id := range ids {
		l.start(id, i == 0)
	}
	return l
}

func (l *lab) start(id api.VMID, created bool) {
	cfg := DefaultConfig()
	cfg.Incarnation = api.Incarnation(string(id) + l.now.String())
	if l.machines[id] == nil {
		l.order = append(l.order, id)
	}
	l.machines[id] = New(id, shard, cfg)
	l.do(id, l.machines[id].Learn(l.now, l.row, l.rowVer, created))
}

func (l *lab) do(id api.VMID, actions []Action) {
	m := l.machines[id]
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			l.sent = append(l.sent, a.Message)
			if to := l.machines[a.To]; to != nil && !l.cut[id] && !l.cut[a.To] {
				l.do(a.To, to.Receive(l.now, id, a.Message))
			}
		case WriteRecord:
			l.writes = append(l.writes, a)
			switch {
			case !l.storeUp:
				l.do(id, m.HandleWriteResult(l.now, a.Record, 0, WriteUnknown))
			case a.BaseVersion != l.rowVer:
				l.do(id, m.HandleWriteResult(l.now, a.Record, 0, WriteConflict))
			default:
				l.row, l.rowVer = a.Record, l.rowVer+1
				l.do(id, m.HandleWriteResult(l.now, a.Record, l.rowVer, WriteOK))
			}
		case ReadRecord:
			if l.storeUp {
				l.do(id, m.Learn(l.now, l.row, l.rowVer, false))
			}
		case Gained:
			l.gains = append(l.gains, a.Fence)
		case Lost:
			l.losses = append(l.losses, a.Fence)
		}
	}
}

// run advances time in steps of 5 ms and checks that there is at most one holder.
func (l *lab) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.now += 5 * ms
		for _, id := range l.order {
			if m := l.machines[id]; m != nil {
				l.do(id, m.Tick(l.now))
			}
		}
		l.holder()
	}
}

func (l *lab) holder() api.VMID {
	var holder api.VMID
	for _, id := range l.order {
		if m := l.machines[id]; m != nil {
			if _, _, ok := m.Authority(l.now); ok {
				require.Empty(l.t, holder, "two holders at %v", l.now)
				holder = id
			}
		}
	}
	return holder
}

func (l *lab) fence() api.Fence {
	f, _, ok := l.machines[l.holder()].Authority(l.now)
	require.True(l.t, ok)
	return f
}

// settled returns a lab whose members all remember every ballot.
func settled(t *testing.T, ids ...api.VMID) *lab {
	l := newLab(t, ids...)
	l.run(2 * time.Second)
	require.Equal(t, ids[0], l.holder())
	for _, id := range ids[:3] {
		require.True(t, l.machines[id].remembersBallots())
	}
	return l
}

func TestFirstHolder(t *testing.T) {
	l := newLab(t, "a", "b", "c")
	l.run(time.Second)
	assert.Empty(t, l.holder(), "members that learned from the store abstain")
	l.run(200 * ms)
	assert.Equal(t, api.VMID("a"), l.holder())
	assert.EqualValues(t, 2, l.fence().Version(), "b and c may have forgotten ballots, so the version is raised")
}

func TestHolderKeepsAuthorityWithoutStore(t *testing.T) {
	l := settled(t, "a", "b", "c")
	l.storeUp = false
	f := l.fence()
	for range 1000 {
		l.run(600 * ms)
		require.Equal(t, f, l.fence())
	}
	assert.Empty(t, l.losses)
}

func TestTakeoverWithoutStore(t *testing.T) {
	l := settled(t, "a", "b", "c")
	l.storeUp = false
	f := l.fence()
	l.machines["a"] = nil
	lost := l.now
	for l.holder() == "" && l.now < lost+3*time.Second {
		l.run(5 * ms)
	}
	assert.Equal(t, api.VMID("b"), l.holder())
	assert.LessOrEqual(t, l.now-lost, 1300*ms)
	assert.Greater(t, l.fence(), f)
}

// A restarted witness forgets its ballots. The holder's renewals restore them,
// so that a takeover needs no store.
func TestTakeoverAfterWitnessRestartWithoutStore(t *testing.T) {
	l := settled(t, "a", "b", "c")
	f := l.fence()
	l.start("c", false)
	assert.False(t, l.machines["c"].remembersBallots())
	l.run(time.Second + 500*ms)
	assert.True(t, l.machines["c"].remembersBallots())
	l.storeUp = false
	l.machines["a"] = nil
	l.run(1300 * ms)
	assert.Equal(t, api.VMID("b"), l.holder())
	assert.Greater(t, l.fence(), f)
}

// When all members lose their memory, ballots start again. Fences still increase.
func TestFenceIncreasesAfterFullRestart(t *testing.T) {
	l := settled(t, "a", "b", "c")
	for range 5 {
		f := l.fence()
		for _, id := range []api.VMID{"a", "b", "c"} {
			l.start(id, false)
		}
		l.run(1500 * ms)
		require.Greater(t, l.fence(), f)
	}
}

func TestCutOffHolderLosesAuthorityFirst(t *testing.T) {
	l := settled(t, "a", "b", "c")
	l.cut["a"] = true
	l.run(2 * time.Second)
	assert.Equal(t, api.VMID("b"), l.holder())
	require.Len(t, l.losses, 1)
	l.cut["a"] = false
	l.run(2 * time.Second)
	assert.Equal(t, api.VMID("b"), l.holder())
}

// A witness that claims in vain while cut off must not refuse the holder later.
func TestReturningWitnessSupportsHolderAgain(t *testing.T) {
	l := settled(t, "a", "b", "c")
	f := l.fence()
	l.cut["c"] = true
	l.run(5 * time.Second)
	l.cut["c"] = false
	l.run(time.Second)
	l.cut["b"] = true
	l.run(5 * time.Second)
	assert.Equal(t, f, l.fence())
	assert.Empty(t, l.losses)
}

func TestPausedHolder(t *testing.T) {
	l := settled(t, "a", "b", "c")
	a := l.machines["a"]
	delete(l.machines, "a")
	l.run(2 * time.Second)
	_, _, ok := a.Authority(l.now)
	assert.False(t, ok, "the lease lapsed by its own clock")
	l.machines["a"] = a
	l.run(time.Second)
	assert.Equal(t, api.VMID("b"), l.holder())
}

func TestPlannedHandover(t *testing.T) {
	l := settled(t, "a", "b", "c")
	f := l.fence()
	l.do("a", l.machines["a"].Release(l.now, "c"))
	l.run(20 * ms)
	assert.Equal(t, api.VMID("c"), l.holder())
	assert.Greater(t, l.fence(), f)
}

// Only the successor knows the leases that the former holder granted, so the
// others must wait for as long as those may last.
func TestOthersWaitWhenSuccessorIsLost(t *testing.T) {
	l := settled(t, "a", "b", "c")
	_, until, _ := l.machines["a"].Authority(l.now)
	l.cut["c"] = true
	l.do("a", l.machines["a"].Release(l.now, "c"))
	for l.holder() == "" {
		l.run(5 * ms)
	}
	assert.GreaterOrEqual(t, l.now, until)
}

func TestStaleAckDoesNotExtend(t *testing.T) {
	m := New("a", shard, DefaultConfig())
	rec := Record{Shard: shard, Version: 1, Members: []api.VMID{"a", "b", "c"}, WriteID: "x"}
	m.Learn(0, rec, 1, true)
	m.Tick(0)
	ack := func(seq uint64) Message {
		return Message{Type: ClaimAck, Record: rec, Ballot: 1, Seq: seq, OK: true}
	}
	m.Receive(10*ms, "b", ack(1))
	_, until, ok := m.Authority(10 * ms)
	require.True(t, ok)
	assert.Equal(t, time.Second, until, "counted from the sending of the claim")
	m.Tick(200 * ms) // seq 2
	m.Tick(400 * ms) // seq 3
	m.Receive(900*ms, "b", ack(1))
	m.Receive(900*ms, "c", ack(1))
	_, until, _ = m.Authority(900 * ms)
	assert.Equal(t, time.Second, until)
	m.Receive(900*ms, "c", ack(2))
	_, until, _ = m.Authority(900 * ms)
	assert.Equal(t, 1200*ms, until)
	m.Receive(1300*ms, "c", ack(3))
	_, _, ok = m.Authority(1300 * ms)
	assert.False(t, ok, "an ack after the lapse does not bring the term back")
}

func TestReplaceMember(t *testing.T) {
	l := settled(t, "a", "b", "c", "d")
	f := l.fence()
	l.machines["c"] = nil
	l.run(500 * ms)
	l.do("a", l.machines["a"].Replace(l.now, "c", "d"))
	l.run(3 * time.Second)
	assert.Equal(t, []api.VMID{"a", "b", "d"}, l.row.Members)
	assert.Empty(t, l.row.Next)
	assert.Equal(t, f, l.fence(), "the holder's term goes on")
	l.storeUp = false
	l.machines["a"] = nil
	l.run(1500 * ms)
	assert.Equal(t, api.VMID("b"), l.holder(), "the new member supports a takeover")
	assert.Greater(t, l.fence(), f)
}

func TestReplaceWithUnknownOutcome(t *testing.T) {
	l := settled(t, "a", "b", "c", "d")
	l.storeUp = false
	l.do("a", l.machines["a"].Replace(l.now, "c", "d"))
	assert.Len(t, l.machines["a"].halves(), 2, "joint quorum until the outcome is known")
	l.run(2 * time.Second)
	assert.Equal(t, api.VMID("a"), l.holder())
	l.storeUp = true
	l.run(3 * time.Second)
	assert.Equal(t, []api.VMID{"a", "b", "d"}, l.row.Members)
	assert.Empty(t, l.row.Next)
	for _, w := range l.writes {
		assert.NotEmpty(t, w.Record.WriteID)
	}
}

// Two members that are cut off from each other and both see the third as gone
// must not both become holder.
func TestGoneMemberIsNoSharedVote(t *testing.T) {
	l := settled(t, "a", "b", "c")
	l.machines["c"] = nil
	l.cut["a"] = true
	l.storeUp = false
	l.machines["a"].MarkGone(l.now, "c")
	l.machines["b"].MarkGone(l.now, "c")
	l.run(5 * time.Second)
	assert.Empty(t, l.holder())
}

// The survivor of two losses recovers once one VM is reported as gone and the store is up.
func TestLastMemberRecoversThroughStore(t *testing.T) {
	l := settled(t, "a", "b", "c", "d")
	f := l.fence()
	l.machines["a"], l.machines["c"] = nil, nil
	l.machines["b"].MarkGone(l.now, "a")
	l.run(3 * time.Second)
	require.Empty(t, l.holder())
	for range 2 { // the first call reads the row
		l.do("b", l.machines["b"].Replace(l.now, "a", "d"))
	}
	l.run(3 * time.Second)
	assert.Equal(t, []api.VMID{"d", "b", "c"}, l.row.Members)
	assert.NotEmpty(t, l.holder())
	assert.Greater(t, l.fence(), f)
}

func TestTwoRecordsOfOneVersion(t *testing.T) {
	l := settled(t, "a", "b", "c")
	rec, _ := l.machines["a"].Record()
	rec.WriteID = "other"
	b := l.machines["b"]
	l.storeUp = false
	l.do("b", b.Receive(l.now, "c", Message{Type: Renew, Record: rec, Ballot: 9, Seq: 1}))
	l.sent = nil
	l.run(400 * ms)
	for _, msg := range l.sent {
		if msg.Type == RenewAck && msg.Member == b.cfg.Incarnation {
			assert.False(t, msg.OK, "supports nobody until the row is read")
		}
	}
	l.storeUp = true
	l.run(2 * time.Second)
	assert.False(t, b.conflict)
	assert.Equal(t, api.VMID("a"), l.holder())
}

// A message can be older than the record that this process knew before it
// restarted, so a process without a record asks the store.
func TestNoRecordFromMessages(t *testing.T) {
	m := New("b", shard, DefaultConfig())
	rec := Record{Shard: shard, Version: 1, Members: []api.VMID{"a", "b", "c"}}
	actions := m.Receive(0, "a", Message{Type: Renew, Record: rec, Ballot: 1, Seq: 1})
	assert.Equal(t, []Action{ReadRecord{}}, actions)
	_, ok := m.Record()
	assert.False(t, ok)
}

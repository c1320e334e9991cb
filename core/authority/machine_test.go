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

// testCluster runs machines with a common clock. Messages arrive at once, or
// never to and from a VM that is cut off.
type testCluster struct {
	t          *testing.T
	now        time.Duration
	machines   map[api.VMID]*Machine
	order      []api.VMID
	cut        map[api.VMID]bool
	gains      []api.Fence
	losses     []api.Fence
	writes     []WriteRecord
	row        Record
	rowVersion uint64
	storeUp    bool
	sent       []Message
}

func newTestCluster(t *testing.T, ids ...api.VMID) *testCluster {
	c := &testCluster{t: t, machines: map[api.VMID]*Machine{}, cut: map[api.VMID]bool{}, storeUp: true}
	c.row = Record{Shard: shard, Version: 1, Members: ids[:3], WriteID: "first"}
	c.rowVersion = 1
	for i, id := range ids {
		c.start(id, i == 0)
	}
	return c
}

func (c *testCluster) start(id api.VMID, created bool) {
	cfg := DefaultConfig()
	cfg.Incarnation = api.Incarnation(string(id) + c.now.String())
	if c.machines[id] == nil {
		c.order = append(c.order, id)
	}
	c.machines[id] = New(id, shard, cfg)
	c.do(id, c.machines[id].Learn(c.now, c.row, c.rowVersion, created))
}

func (c *testCluster) do(id api.VMID, actions []Action) {
	m := c.machines[id]
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			c.sent = append(c.sent, a.Message)
			if to := c.machines[a.To]; to != nil && !c.cut[id] && !c.cut[a.To] {
				c.do(a.To, to.Receive(c.now, id, a.Message))
			}
		case WriteRecord:
			c.writes = append(c.writes, a)
			switch {
			case !c.storeUp:
				c.do(id, m.HandleWriteResult(c.now, a.Record, 0, WriteUnknown))
			case a.BaseVersion != c.rowVersion:
				c.do(id, m.HandleWriteResult(c.now, a.Record, 0, WriteConflict))
			default:
				c.row, c.rowVersion = a.Record, c.rowVersion+1
				c.do(id, m.HandleWriteResult(c.now, a.Record, c.rowVersion, WriteOK))
			}
		case ReadRecord:
			if c.storeUp {
				c.do(id, m.Learn(c.now, c.row, c.rowVersion, false))
			}
		case Gained:
			c.gains = append(c.gains, a.Fence)
		case Lost:
			c.losses = append(c.losses, a.Fence)
		}
	}
}

// run advances time in steps of 5 ms and checks that there is at most one holder.
func (c *testCluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 5 * ms
		for _, id := range c.order {
			if m := c.machines[id]; m != nil {
				c.do(id, m.Tick(c.now))
			}
		}
		c.holder()
	}
}

func (c *testCluster) holder() api.VMID {
	var holder api.VMID
	for _, id := range c.order {
		if m := c.machines[id]; m != nil {
			if _, _, ok := m.Authority(c.now); ok {
				require.Empty(c.t, holder, "two holders at %v", c.now)
				holder = id
			}
		}
	}
	return holder
}

func (c *testCluster) fence() api.Fence {
	f, _, ok := c.machines[c.holder()].Authority(c.now)
	require.True(c.t, ok)
	return f
}

// settledCluster returns a cluster with a holder, whose members all know every ballot.
func settledCluster(t *testing.T, ids ...api.VMID) *testCluster {
	c := newTestCluster(t, ids...)
	c.run(2 * time.Second)
	require.Equal(t, ids[0], c.holder())
	for _, id := range ids[:3] {
		require.True(t, c.machines[id].knowsAllBallots())
	}
	return c
}

func TestFirstHolder(t *testing.T) {
	c := newTestCluster(t, "a", "b", "c")
	c.run(time.Second)
	assert.Empty(t, c.holder(), "members that read the record from the store abstain")
	c.run(200 * ms)
	assert.Equal(t, api.VMID("a"), c.holder())
	assert.EqualValues(t, 2, c.fence().Version(), "b and c may have lost ballots, so the version is raised")
}

func TestHolderKeepsAuthorityWithoutStore(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	c.storeUp = false
	f := c.fence()
	for range 1000 {
		c.run(600 * ms)
		require.Equal(t, f, c.fence())
	}
	assert.Empty(t, c.losses)
}

func TestTakeoverWithoutStore(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	c.storeUp = false
	f := c.fence()
	c.machines["a"] = nil
	lost := c.now
	for c.holder() == "" && c.now < lost+3*time.Second {
		c.run(5 * ms)
	}
	assert.Equal(t, api.VMID("b"), c.holder())
	assert.LessOrEqual(t, c.now-lost, 1300*ms)
	assert.Greater(t, c.fence(), f)
}

// A restarted witness loses its ballots. The holder's renewals must restore
// them, so that a takeover works without the store.
func TestTakeoverAfterWitnessRestartWithoutStore(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	f := c.fence()
	c.start("c", false)
	assert.False(t, c.machines["c"].knowsAllBallots())
	c.run(time.Second + 500*ms)
	assert.True(t, c.machines["c"].knowsAllBallots())
	c.storeUp = false
	c.machines["a"] = nil
	c.run(1300 * ms)
	assert.Equal(t, api.VMID("b"), c.holder())
	assert.Greater(t, c.fence(), f)
}

// When all members restart, ballots start again. Fences must still increase.
func TestFenceIncreasesAfterFullRestart(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	for range 5 {
		f := c.fence()
		for _, id := range []api.VMID{"a", "b", "c"} {
			c.start(id, false)
		}
		c.run(1500 * ms)
		require.Greater(t, c.fence(), f)
	}
}

func TestCutOffHolderLosesAuthorityFirst(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	c.cut["a"] = true
	c.run(2 * time.Second)
	assert.Equal(t, api.VMID("b"), c.holder())
	require.Len(t, c.losses, 1)
	c.cut["a"] = false
	c.run(2 * time.Second)
	assert.Equal(t, api.VMID("b"), c.holder())
}

// A witness whose claims failed while it was cut off must not refuse the holder later.
func TestReturningWitnessDoesNotRefuseHolder(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	f := c.fence()
	c.cut["c"] = true
	c.run(5 * time.Second)
	c.cut["c"] = false
	c.run(time.Second)
	c.cut["b"] = true
	c.run(5 * time.Second)
	assert.Equal(t, f, c.fence())
	assert.Empty(t, c.losses)
}

func TestPausedHolder(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	a := c.machines["a"]
	delete(c.machines, "a")
	c.run(2 * time.Second)
	_, _, ok := a.Authority(c.now)
	assert.False(t, ok, "the lease expired on its own clock")
	c.machines["a"] = a
	c.run(time.Second)
	assert.Equal(t, api.VMID("b"), c.holder())
}

func TestPlannedHandover(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	f := c.fence()
	c.do("a", c.machines["a"].Release(c.now, "c"))
	c.run(20 * ms)
	assert.Equal(t, api.VMID("c"), c.holder())
	assert.Greater(t, c.fence(), f)
}

// Only the successor knows the leases that the former holder granted, so the
// other members must wait until these have expired.
func TestOthersWaitWhenSuccessorIsLost(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	_, until, _ := c.machines["a"].Authority(c.now)
	c.cut["c"] = true
	c.do("a", c.machines["a"].Release(c.now, "c"))
	for c.holder() == "" {
		c.run(5 * ms)
	}
	assert.GreaterOrEqual(t, c.now, until)
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
	assert.False(t, ok, "an ack after the expiry does not revive the term")
}

func TestReplaceMember(t *testing.T) {
	c := settledCluster(t, "a", "b", "c", "d")
	f := c.fence()
	c.machines["c"] = nil
	c.run(500 * ms)
	c.do("a", c.machines["a"].Replace(c.now, "c", "d"))
	c.run(3 * time.Second)
	assert.Equal(t, []api.VMID{"a", "b", "d"}, c.row.Members)
	assert.Empty(t, c.row.Next)
	assert.Equal(t, f, c.fence(), "the holder's term continues")
	c.storeUp = false
	c.machines["a"] = nil
	c.run(1500 * ms)
	assert.Equal(t, api.VMID("b"), c.holder(), "the new member votes in a takeover")
	assert.Greater(t, c.fence(), f)
}

func TestReplaceWithUnknownOutcome(t *testing.T) {
	c := settledCluster(t, "a", "b", "c", "d")
	c.storeUp = false
	c.do("a", c.machines["a"].Replace(c.now, "c", "d"))
	assert.Len(t, c.machines["a"].voterSets(), 2, "joint quorum until the outcome is known")
	c.run(2 * time.Second)
	assert.Equal(t, api.VMID("a"), c.holder())
	c.storeUp = true
	c.run(3 * time.Second)
	assert.Equal(t, []api.VMID{"a", "b", "d"}, c.row.Members)
	assert.Empty(t, c.row.Next)
	for _, w := range c.writes {
		assert.NotEmpty(t, w.Record.WriteID)
	}
}

// Two members that are cut off from each other, and to both of which the third
// is reported as gone, must not both become holder.
func TestGoneMemberCastsNoSharedVote(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	c.machines["c"] = nil
	c.cut["a"] = true
	c.storeUp = false
	c.machines["a"].MarkGone(c.now, "c")
	c.machines["b"].MarkGone(c.now, "c")
	c.run(5 * time.Second)
	assert.Empty(t, c.holder())
}

// The only member left of three must recover once one of the others is reported
// as gone and the store is up.
func TestLastMemberRecoversThroughStore(t *testing.T) {
	c := settledCluster(t, "a", "b", "c", "d")
	f := c.fence()
	c.machines["a"], c.machines["c"] = nil, nil
	c.machines["b"].MarkGone(c.now, "a")
	c.run(3 * time.Second)
	require.Empty(t, c.holder())
	for range 2 { // the first call reads the row
		c.do("b", c.machines["b"].Replace(c.now, "a", "d"))
	}
	c.run(3 * time.Second)
	assert.Equal(t, []api.VMID{"d", "b", "c"}, c.row.Members)
	assert.NotEmpty(t, c.holder())
	assert.Greater(t, c.fence(), f)
}

func TestTwoRecordsOfOneVersion(t *testing.T) {
	c := settledCluster(t, "a", "b", "c")
	rec, _ := c.machines["a"].Record()
	rec.WriteID = "other"
	b := c.machines["b"]
	c.storeUp = false
	c.do("b", b.Receive(c.now, "c", Message{Type: Renew, Record: rec, Ballot: 9, Seq: 1}))
	c.sent = nil
	c.run(400 * ms)
	for _, msg := range c.sent {
		if msg.Type == RenewAck && msg.Member == b.cfg.Incarnation {
			assert.False(t, msg.OK, "promises nothing until the row is read")
		}
	}
	c.storeUp = true
	c.run(2 * time.Second)
	assert.False(t, b.conflict)
	assert.Equal(t, api.VMID("a"), c.holder())
}

// A message can be older than the record known before a restart, so a process
// without a record must read it from the store.
func TestNoRecordFromMessages(t *testing.T) {
	m := New("b", shard, DefaultConfig())
	rec := Record{Shard: shard, Version: 1, Members: []api.VMID{"a", "b", "c"}}
	actions := m.Receive(0, "a", Message{Type: Renew, Record: rec, Ballot: 1, Seq: 1})
	assert.Equal(t, []Action{ReadRecord{}}, actions)
	_, ok := m.Record()
	assert.False(t, ok)
}

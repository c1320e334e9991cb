package control

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/authority"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/dedup"
	"dandelionhill.dev/core/membership"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/holder"
)

// shardState is this VM's state of one shard.
type shardState struct {
	id      api.ShardID
	machine *authority.Machine
	held    *holder.Shard // nil unless this VM is the holder
	// creating is true while this VM writes the first record.
	creating bool
	// handingOver is true while a planned handover is in progress.
	handingOver bool
	// assignment is the newest assignment that this VM has, as holder or witness.
	assignment *wire.Assign
	// handover is the state that a former holder has handed over to this VM.
	handover *holder.Handover
	// evidence is the crash evidence that holders have sent.
	evidence *crash.Evidence
	// warmUpstreams has the incarnations of the upstreams that the holder reported as warm.
	warmUpstreams map[api.UpstreamID]api.Incarnation
	// mirror has the IDs of requests that holders have started since the record got
	// mirrorVersion; mirrorFence is the highest fence of their senders.
	mirror        *dedup.Mirror
	mirrorVersion uint64
	mirrorFence   api.Fence
	// lastHolder is the VM that has claimed the shard with the highest fence, lastFence.
	lastHolder api.VMID
	lastFence  api.Fence
	// preferredSince is when the preferred holder, the first member, became available
	// while this VM holds the shard; 0 if it is not available.
	preferredSince time.Duration
}

// recordKey returns the row key of a shard's authority record.
func recordKey(id api.ShardID) string { return "authority/" + id.String() }

// configureShards applies a new configuration.
func (c *Control) configureShards() {
	wanted := map[api.ShardID]bool{}
	for _, service := range c.doc.Services {
		for i := range service.Layout {
			id := api.ShardID{Service: service.Name, Index: i}
			wanted[id] = true
			if c.shards[id] == nil {
				// A shard that is removed and added again gets a new machine; replies to
				// the old one must not count for it.
				c.machineCount++
				cfg := authority.DefaultConfig()
				cfg.Incarnation = c.cfg.Incarnation + api.Incarnation("-"+strconv.FormatUint(c.machineCount, 10))
				c.shards[id] = &shardState{id: id, machine: authority.New(c.cfg.Self.ID, id, cfg)}
			}
		}
	}
	for id, s := range c.shards {
		if !wanted[id] {
			c.loseShard(s)
			delete(c.shards, id)
			continue
		}
		if s.held != nil {
			s.held.Configure(c.doc)
		}
	}
}

func (c *Control) closeShards() {
	for _, s := range c.shards {
		c.loseShard(s)
	}
}

func (c *Control) tickShard(now time.Duration, s *shardState) {
	c.execute(s, s.machine.Tick(now))
	if s.held == nil {
		return
	}
	s.extendAuthority(now)
	s.held.SetWitnesses(c.otherMembers(s))
	s.held.Tick()
}

// extendAuthority passes the end of this VM's authority to the held shard.
func (s *shardState) extendAuthority(now time.Duration) {
	if s.held == nil {
		return
	}
	if _, until, ok := s.machine.Authority(now); ok {
		s.held.SetAuthority(until)
	}
}

// authorityMessage carries a message between the members of a shard.
type authorityMessage struct {
	Shard   api.ShardID       `cbor:"1,keyasint"`
	Message authority.Message `cbor:"2,keyasint"`
}

func (c *Control) receiveAuthority(from api.VMID, frame wire.Frame) error {
	var msg authorityMessage
	if err := frame.Unpack(&msg); err != nil {
		return err
	}
	s := c.shards[msg.Shard]
	if s == nil {
		return nil
	}
	now := c.cfg.Clock()
	c.execute(s, s.machine.Receive(now, from, msg.Message))
	s.extendAuthority(now)
	return nil
}

// execute performs the actions of the authority machine.
func (c *Control) execute(s *shardState, actions []authority.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case authority.Send:
			c.sender.Send(a.To, wire.TypeAuthority, authorityMessage{s.id, a.Message})
		case authority.WriteRecord:
			c.writeRecord(s, a)
		case authority.ReadRecord:
			c.readRecord(s)
		case authority.Gained:
			c.gainShard(s, a.Fence)
		case authority.Lost:
			c.loseShard(s)
		}
	}
}

func (c *Control) writeRecord(s *shardState, w authority.WriteRecord) {
	value, err := json.Marshal(w.Record)
	if err != nil {
		c.cfg.Log.Error().Err(err).Str("event", "record_not_encoded").Stringer("shard", s.id).Msg("")
		return
	}
	go func() {
		result, err := c.cfg.Table.Commit(context.Background(), platform.Txn{
			Conditions: []platform.Condition{{Key: recordKey(s.id), Version: w.BaseVersion}},
			Puts:       []platform.Put{{Key: recordKey(s.id), Value: value}},
		})
		c.cfg.Metrics.RecordStoreCall("write", err)
		outcome := authority.WriteOK
		switch {
		case err != nil:
			outcome = authority.WriteUnknown
		case !result.Committed:
			outcome = authority.WriteConflict
		}
		c.post(func() {
			c.execute(s, s.machine.HandleWriteResult(c.cfg.Clock(), w.Record, w.BaseVersion+1, outcome))
		})
	}()
}

func (c *Control) readRecord(s *shardState) {
	go func() {
		result, err := c.cfg.Table.Commit(context.Background(), platform.Txn{Reads: []string{recordKey(s.id)}})
		c.cfg.Metrics.RecordStoreCall("read", err)
		if err == nil && len(result.Rows) == 1 {
			c.post(func() { c.learnRecord(context.Background(), result.Rows[0]) })
		}
	}()
}

// learnRecord processes the row of an authority record that was read in a transaction.
func (c *Control) learnRecord(ctx context.Context, row platform.Row) {
	id, err := api.ParseShardID(row.Key[len("authority/"):])
	s := c.shards[id]
	if err != nil || s == nil {
		return
	}
	if row.Version == 0 {
		c.createRecord(ctx, s)
		return
	}
	var rec authority.Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		c.cfg.Log.Error().Err(err).Str("event", "record_not_decoded").Stringer("shard", id).Msg("")
		return
	}
	c.execute(s, s.machine.Learn(c.cfg.Clock(), rec, row.Version, false))
}

// spreadDelay is how long a VM waits for heartbeats of the others before it writes
// first records, so that the members are spread over all VMs. A preferred creator
// that is not available is replaced after creatorTimeout.
const (
	spreadDelay    = time.Second
	creatorTimeout = 5 * time.Second
)

// createRecord writes the first record of a shard. The condition on the row
// lets only one VM succeed.
func (c *Control) createRecord(ctx context.Context, s *shardState) {
	now := c.cfg.Clock()
	vms := c.candidates()
	all := len(vms) == len(c.cfg.VMs)
	if s.creating || c.leaving || now-c.started < spreadDelay || !all && now-c.started < creatorTimeout {
		return
	}
	members := placement.Members(s.id, vms)
	if len(members) == 0 || members[0] != c.cfg.Self.ID {
		return
	}
	rec := authority.Record{Shard: s.id, Version: 1, Members: members, WriteID: uuid.NewString()}
	value, err := json.Marshal(rec)
	if err != nil {
		return
	}
	s.creating = true
	go func() {
		result, err := c.cfg.Table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: recordKey(s.id)}},
			Puts:       []platform.Put{{Key: recordKey(s.id), Value: value}},
		})
		c.cfg.Metrics.RecordStoreCall("write", err)
		c.post(func() {
			s.creating = false
			if err == nil && result.Committed {
				c.execute(s, s.machine.Learn(c.cfg.Clock(), rec, 1, true))
			}
		})
	}()
}

// gainShard prepares to hold a shard. After an unplanned takeover it first collects
// the IDs of the started requests from the other members.
func (c *Control) gainShard(s *shardState, fence api.Fence) {
	c.loseShard(s)
	c.cfg.Metrics.AuthorityChanges.WithLabelValues("gained").Inc()
	c.cfg.Log.Info().Str("event", "shard_gained").Stringer("shard", s.id).Stringer("fence", fence).Msg("")
	in := holder.PriorState{Assignment: s.assignment, WarmUpstreams: s.warmUpstreams}
	h := s.handover
	s.handover = nil
	if h != nil && h.Last && (s.assignment == nil || h.Fence >= s.assignment.Fence) {
		in.Handover, in.Assignment = h, &h.Assignment
		c.holdShard(s, fence, in)
		return
	}
	c.collectIDs(s, s.lastHolder, func(snapshot *dedup.Snapshot) {
		held, _, ok := s.machine.Authority(c.cfg.Clock())
		if !ok || held != fence || s.held != nil || c.shards[s.id] != s {
			return
		}
		in.Dedup = snapshot
		c.holdShard(s, fence, in)
	})
}

// holdShard starts to serve a shard.
func (c *Control) holdShard(s *shardState, fence api.Fence, in holder.PriorState) {
	s.held = holder.New(holder.Config{
		ID: s.id, Fence: fence, Clock: c.cfg.Clock, Dial: c.cfg.Dial, Metrics: c.cfg.Metrics, Log: c.cfg.Log, Buffers: c.cfg.Buffers, Recorded: c.cfg.Recorded,
		ReportAssignment: func(a wire.Assign) { c.post(func() { c.sendAssignment(s, a) }) },
		MirrorIDs:        func(to []api.VMID, seq uint64, ids []dedup.ID) { c.sendMirror(s.id, fence, to, seq, ids) },
	}, c.doc, in, time.Now())
	s.extendAuthority(c.cfg.Clock())
	s.held.SetWitnesses(c.otherMembers(s))
	if s.evidence != nil {
		s.held.MergeEvidence(s.evidence.Snapshot(holder.EvidenceLimit))
	}
	if a, pending := s.held.Assignment(); pending {
		c.sendAssignment(s, a)
	}
	now := c.cfg.Clock()
	c.publish(now)
	c.heartbeat(now)
}

// loseShard stops holding a shard.
func (c *Control) loseShard(s *shardState) {
	if s.held == nil {
		return
	}
	c.cfg.Metrics.AuthorityChanges.WithLabelValues("lost").Inc()
	c.cfg.Log.Info().Str("event", "shard_lost").Stringer("shard", s.id).Msg("")
	s.held.Close()
	s.held = nil
	// The IDs of the requests that this VM has run are not in its mirror.
	c.mirrorOf(s).Reset(time.Now())
	c.publish(c.cfg.Clock())
}

// maintainShards replaces dead members, and hands over all shards if this VM is
// leaving or was taken out of service.
func (c *Control) maintainShards(now time.Duration) {
	if c.doc == nil {
		return
	}
	out := c.leaving || c.doc.VMOut(c.cfg.Self.ID)
	for _, s := range c.shards {
		if s.held == nil {
			continue
		}
		if out {
			c.handOverToAny(s)
			continue
		}
		if a, pending := s.held.Assignment(); pending {
			c.sendAssignment(s, a)
		}
		c.replaceMember(now, s)
		c.returnToPreferred(now, s)
	}
}

// returnDelay is how long the preferred holder of a shard must be available before
// the shard is handed back. It keeps a VM that restarts repeatedly from moving
// shards back and forth.
const returnDelay = 10 * time.Second

// returnToPreferred hands a shard over to its preferred holder. Without it, the
// shards would accumulate on the VMs that were not restarted.
func (c *Control) returnToPreferred(now time.Duration, s *shardState) {
	rec, ok := s.machine.Record()
	if !ok || len(rec.Next) > 0 || len(rec.Members) == 0 || rec.Members[0] == c.cfg.Self.ID || !c.mayBeMember(rec.Members[0]) {
		s.preferredSince = 0
		return
	}
	switch {
	case s.preferredSince == 0:
		s.preferredSince = now
	case now-s.preferredSince > returnDelay:
		s.preferredSince = 0
		c.handOver(s, rec.Members[0])
	}
}

// replaceMember replaces one member that is dead or was taken out of service.
func (c *Control) replaceMember(now time.Duration, s *shardState) {
	rec, ok := s.machine.Record()
	if !ok || len(rec.Next) > 0 || !c.storeReachable {
		return
	}
	for _, vm := range rec.Members {
		if vm == c.cfg.Self.ID || c.members.State(vm) != membership.Dead && !c.doc.VMOut(vm) {
			continue
		}
		replacement, ok := placement.Replacement(s.id, rec.Members, vm, c.candidates())
		if !ok {
			return
		}
		c.cfg.Log.Info().Str("event", "member_replaced").Stringer("shard", s.id).
			Str("gone", string(vm)).Str("replacement", string(replacement)).Msg("")
		c.execute(s, s.machine.Replace(now, vm, replacement))
		return
	}
}

// otherMembers returns the members of a shard without this VM.
func (c *Control) otherMembers(s *shardState) []api.VMID {
	rec, ok := s.machine.Record()
	if !ok {
		return nil
	}
	all := slices.Concat(rec.Members, rec.Next)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(vm api.VMID) bool { return vm == c.cfg.Self.ID })
}

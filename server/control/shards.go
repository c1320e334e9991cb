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

// shardState is this VM's part in one shard.
type shardState struct {
	id      api.ShardID
	machine *authority.Machine
	held    *holder.Shard // nil unless this VM is the holder
	// creating is true while this VM writes the first record.
	creating bool
	// handing is true while a planned handover is in progress.
	handing bool
	// assign is the newest assignment that this VM knows of, as holder or witness.
	assign *wire.Assign
	// handover is what a former holder left for this VM.
	handover *holder.Handover
	// evidence is what holders have sent of requests that crash upstreams.
	evidence *crash.Evidence
	// warm has the incarnations of upstreams that the holder has seen warm.
	warm map[api.UpstreamID]api.Incarnation
	// mirror has the IDs of requests that holders have started, since the record
	// had mirrorVersion; mirrorFence is the highest fence that has sent some.
	mirror        *dedup.Mirror
	mirrorVersion uint64
	mirrorFence   api.Fence
	// lastHolder is the VM with the highest fence that has said it holds the shard.
	lastHolder api.VMID
	lastFence  api.Fence
	// preferredSince is when the shard's preferred holder, its first member, was
	// seen to be available while this VM holds the shard; 0 if it is not.
	preferredSince time.Duration
}

// recordKey is the row of a shard's authority record.
func recordKey(id api.ShardID) string { return "authority/" + id.String() }

// configureShards follows a new configuration.
func (c *Control) configureShards() {
	wanted := map[api.ShardID]bool{}
	for _, service := range c.doc.Services {
		for i := range service.Layout {
			id := api.ShardID{Service: service.Name, Index: i}
			wanted[id] = true
			if c.shards[id] == nil {
				// A shard that is removed and added again gets a new machine; answers to
				// the old one must not count for it.
				c.machines++
				cfg := authority.DefaultConfig()
				cfg.Incarnation = c.cfg.Incarnation + api.Incarnation("-"+strconv.FormatUint(c.machines, 10))
				c.shards[id] = &shardState{id: id, machine: authority.New(c.cfg.Self.ID, id, cfg)}
			}
		}
	}
	for id, s := range c.shards {
		if !wanted[id] {
			c.lose(s)
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
		c.lose(s)
	}
}

func (c *Control) tickShard(now time.Duration, s *shardState) {
	c.perform(s, s.machine.Tick(now))
	if s.held == nil {
		return
	}
	s.extend(now)
	s.held.SetWitnesses(c.others(s))
	s.held.Tick()
}

// extend tells the held shard until when this VM has authority.
func (s *shardState) extend(now time.Duration) {
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
	c.perform(s, s.machine.Receive(now, from, msg.Message))
	s.extend(now)
	return nil
}

// perform does what the authority machine asks for.
func (c *Control) perform(s *shardState, actions []authority.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case authority.Send:
			c.sender.Send(a.To, wire.TypeAuthority, authorityMessage{s.id, a.Message})
		case authority.WriteRecord:
			c.writeRecord(s, a)
		case authority.ReadRecord:
			c.readRecord(s)
		case authority.Gained:
			c.gain(s, a.Fence)
		case authority.Lost:
			c.lose(s)
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
			c.perform(s, s.machine.HandleWriteResult(c.cfg.Clock(), w.Record, w.BaseVersion+1, outcome))
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

// learnRecord takes a row that was read in a transaction.
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
	c.perform(s, s.machine.Learn(c.cfg.Clock(), rec, row.Version, false))
}

// settleDelay is how long a VM hears others before it writes first records, so
// that the members are spread over all VMs. A VM that others prefer as creator
// but that does not come is replaced after createDelay.
const (
	settleDelay = time.Second
	createDelay = 5 * time.Second
)

// createRecord writes the first record of a shard. The condition on the row
// lets only one VM succeed.
func (c *Control) createRecord(ctx context.Context, s *shardState) {
	now := c.cfg.Clock()
	vms := c.candidates()
	all := len(vms) == len(c.cfg.VMs)
	if s.creating || c.leaving || now-c.started < settleDelay || !all && now-c.started < createDelay {
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
				c.perform(s, s.machine.Learn(c.cfg.Clock(), rec, 1, true))
			}
		})
	}()
}

// gain prepares to hold a shard. After an unplanned takeover the other members
// are asked first which requests were started.
func (c *Control) gain(s *shardState, fence api.Fence) {
	c.lose(s)
	c.cfg.Metrics.AuthorityChanges.WithLabelValues("gained").Inc()
	c.cfg.Log.Info().Str("event", "shard_gained").Stringer("shard", s.id).Stringer("fence", fence).Msg("")
	in := holder.PriorState{Assignment: s.assign, WarmUpstreams: s.warm}
	h := s.handover
	s.handover = nil
	if h != nil && h.Last && (s.assign == nil || h.Fence >= s.assign.Fence) {
		in.Handover, in.Assignment = h, &h.Assignment
		c.hold(s, fence, in)
		return
	}
	c.recallIDs(s, s.lastHolder, func(memory *dedup.Snapshot) {
		held, _, ok := s.machine.Authority(c.cfg.Clock())
		if !ok || held != fence || s.held != nil || c.shards[s.id] != s {
			return
		}
		in.Dedup = memory
		c.hold(s, fence, in)
	})
}

// hold starts to serve a shard.
func (c *Control) hold(s *shardState, fence api.Fence, in holder.PriorState) {
	s.held = holder.New(holder.Config{
		ID: s.id, Fence: fence, Clock: c.cfg.Clock, Dial: c.cfg.Dial, Metrics: c.cfg.Metrics, Log: c.cfg.Log,
		ReportAssignment: func(a wire.Assign) { c.post(func() { c.assigned(s, a) }) },
		MirrorIDs:        func(to []api.VMID, seq uint64, ids []dedup.ID) { c.sendMirror(s.id, fence, to, seq, ids) },
	}, c.doc, in, time.Now())
	s.extend(c.cfg.Clock())
	s.held.SetWitnesses(c.others(s))
	if s.evidence != nil {
		s.held.MergeEvidence(s.evidence.Snapshot(holder.EvidenceLimit))
	}
	if a, pending := s.held.Assignment(); pending {
		c.assigned(s, a)
	}
	now := c.cfg.Clock()
	c.publish(now)
	c.heartbeat(now)
}

// lose stops holding a shard.
func (c *Control) lose(s *shardState) {
	if s.held == nil {
		return
	}
	c.cfg.Metrics.AuthorityChanges.WithLabelValues("lost").Inc()
	c.cfg.Log.Info().Str("event", "shard_lost").Stringer("shard", s.id).Msg("")
	s.held.Close()
	s.held = nil
	// The IDs that this VM has run are not in its mirror.
	c.mirrorOf(s).Reset(time.Now())
	c.publish(c.cfg.Clock())
}

// maintain replaces members that are dead, and hands over the shards of a VM
// that is leaving or was taken out.
func (c *Control) maintain(now time.Duration) {
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
			c.assigned(s, a)
		}
		c.replaceMember(now, s)
		c.returnShard(now, s)
	}
}

// returnAfter is how long the preferred holder of a shard must be available
// before it gets the shard back. It keeps a VM that restarts again and again
// from moving shards to and fro.
const returnAfter = 10 * time.Second

// returnShard hands a shard to its preferred holder. Without it the shards
// would gather on the VMs that were not restarted.
func (c *Control) returnShard(now time.Duration, s *shardState) {
	rec, ok := s.machine.Record()
	if !ok || len(rec.Next) > 0 || len(rec.Members) == 0 || rec.Members[0] == c.cfg.Self.ID || !c.mayBeMember(rec.Members[0]) {
		s.preferredSince = 0
		return
	}
	switch {
	case s.preferredSince == 0:
		s.preferredSince = now
	case now-s.preferredSince > returnAfter:
		s.preferredSince = 0
		c.handOver(s, rec.Members[0])
	}
}

// replaceMember exchanges one member that is dead or was taken out.
func (c *Control) replaceMember(now time.Duration, s *shardState) {
	rec, ok := s.machine.Record()
	if !ok || len(rec.Next) > 0 || !c.stored {
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
		c.perform(s, s.machine.Replace(now, vm, replacement))
		return
	}
}

// others returns the members of a shard without this VM.
func (c *Control) others(s *shardState) []api.VMID {
	rec, ok := s.machine.Record()
	if !ok {
		return nil
	}
	all := slices.Concat(rec.Members, rec.Next)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(vm api.VMID) bool { return vm == c.cfg.Self.ID })
}

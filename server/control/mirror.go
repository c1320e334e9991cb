package control

import (
	"context"
	"sync"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/dedup"
)

const (
	// mirrorRetention is how long a witness keeps a request ID. A takeover takes
	// about a second; callers retry within a few.
	mirrorRetention = 30 * time.Second
	// mirrorTimeout bounds the calls to the other members in a takeover.
	mirrorTimeout = 150 * time.Millisecond
)

// mirrorBatch carries the IDs of requests that a holder is about to start.
type mirrorBatch struct {
	Shard api.ShardID `cbor:"1,keyasint"`
	Fence api.Fence   `cbor:"2,keyasint"`
	Seq   uint64      `cbor:"3,keyasint"`
	IDs   []dedup.ID  `cbor:"4,keyasint,omitempty"`
}

// mirrorReply carries the IDs of a shard that a witness has stored.
type mirrorReply struct {
	Known   bool       `cbor:"1,keyasint"`
	SinceMs int64      `cbor:"2,keyasint"`
	IDs     []dedup.ID `cbor:"3,keyasint,omitempty"`
}

// sendMirror sends IDs to witnesses. Request goroutines call it.
func (c *Control) sendMirror(id api.ShardID, fence api.Fence, to []api.VMID, seq uint64, ids []dedup.ID) {
	for _, vm := range to {
		c.sender.Send(vm, wire.TypeMirror, mirrorBatch{Shard: id, Fence: fence, Seq: seq, IDs: ids})
	}
}

func (c *Control) receiveMirror(from api.VMID, frame wire.Frame) error {
	var batch mirrorBatch
	if err := frame.Unpack(&batch); err != nil {
		return err
	}
	s := c.shards[batch.Shard]
	if s == nil || batch.Fence < s.mirrorFence {
		return nil
	}
	// A holder of an earlier term may have sent IDs to other witnesses only, so
	// the mirror is kept when the holder changes, but not when the members do.
	s.mirrorFence = batch.Fence
	c.mirrorOf(s).Add(time.Now(), batch.IDs)
	c.sender.Send(from, wire.TypeMirrorAck, mirrorBatch{Shard: batch.Shard, Fence: batch.Fence, Seq: batch.Seq})
	return nil
}

func (c *Control) receiveMirrorAck(frame wire.Frame) error {
	var ack mirrorBatch
	if err := frame.Unpack(&ack); err != nil {
		return err
	}
	if s := c.shards[ack.Shard]; s != nil && s.held != nil && s.held.Fence() == ack.Fence {
		s.held.AckMirror(ack.Seq)
	}
	return nil
}

// mirrorOf returns the mirror of a shard. It is reset when the shard's record
// changes: IDs may have been sent to former members only.
func (c *Control) mirrorOf(s *shardState) *dedup.Mirror {
	rec, _ := s.machine.Record()
	if s.mirror == nil {
		s.mirror = dedup.NewMirror(mirrorRetention, time.Now())
		s.mirrorVersion = rec.Version
	}
	if rec.Version != s.mirrorVersion || len(rec.Next) > 0 {
		s.mirrorVersion = rec.Version
		s.mirror.Reset(time.Now())
	}
	return s.mirror
}

// mirrorContents returns the IDs of a shard that this VM has stored.
func (c *Control) mirrorContents(s *shardState) mirrorReply {
	m := c.mirrorOf(s)
	return mirrorReply{Known: true, SinceMs: m.CoveredSince(time.Now()).UnixMilli(), IDs: m.IDs()}
}

// MirrorContent returns the reply to another member's request for the IDs of a shard.
func (c *Control) MirrorContent(ctx context.Context, frame wire.Frame) any {
	var request mirrorBatch
	if err := frame.Unpack(&request); err != nil {
		return mirrorReply{}
	}
	content, _ := query(ctx, c, func() mirrorReply {
		if s := c.shards[request.Shard]; s != nil {
			return c.mirrorContents(s)
		}
		return mirrorReply{}
	})
	return content
}

// collectIDs collects the IDs of started requests from the members of a shard
// except the former holder, and passes the resulting dedup.Snapshot to done on the
// control goroutine. The former holder waited until one of these members had each
// ID, so the union of their mirrors is complete. If one of them does not reply,
// done gets nil, and the deduplication table starts at the takeover.
func (c *Control) collectIDs(s *shardState, former api.VMID, done func(*dedup.Snapshot)) {
	local := c.mirrorContents(s)
	var peers []api.VMID
	for _, vm := range c.otherMembers(s) {
		if vm != former {
			peers = append(peers, vm)
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), mirrorTimeout)
		defer cancel()
		contents := make([]mirrorReply, len(peers))
		var group sync.WaitGroup
		for i, vm := range peers {
			group.Go(func() {
				if err := c.sender.Call(ctx, vm, wire.TypeMirrorContent, mirrorBatch{Shard: s.id}, &contents[i]); err != nil {
					// The other VMs may have the same IDs.
					c.cfg.Log.Warn().Err(err).Str("event", "mirror_not_read").Stringer("shard", s.id).Str("peer", string(vm)).Msg("")
				}
			})
		}
		group.Wait()
		snapshot := mergeContents(append(contents, local))
		c.post(func() { done(snapshot) })
	}()
}

// mergeContents merges the contents of mirrors, or returns nil if one is missing.
func mergeContents(contents []mirrorReply) *dedup.Snapshot {
	var since int64
	var ids []dedup.ID
	for _, content := range contents {
		if !content.Known {
			return nil
		}
		since = max(since, content.SinceMs)
		ids = append(ids, content.IDs...)
	}
	snapshot := dedup.SnapshotFromMirrors(dedup.DefaultConfig(), time.UnixMilli(since), ids)
	return &snapshot
}

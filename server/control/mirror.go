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
	// mirrorWindow is how long a witness keeps a request ID. A takeover takes
	// about a second; callers repeat within a few.
	mirrorWindow = 30 * time.Second
	// mirrorTimeout bounds the question to the other members in a takeover.
	mirrorTimeout = 150 * time.Millisecond
)

// mirrorBatch carries IDs of requests that a holder is about to start.
type mirrorBatch struct {
	Shard api.ShardID `cbor:"1,keyasint"`
	Fence api.Fence   `cbor:"2,keyasint"`
	Seq   uint64      `cbor:"3,keyasint"`
	IDs   []dedup.ID  `cbor:"4,keyasint,omitempty"`
}

// mirrorContent is what a witness knows of the IDs of a shard.
type mirrorContent struct {
	Known   bool       `cbor:"1,keyasint"`
	SinceMs int64      `cbor:"2,keyasint"`
	IDs     []dedup.ID `cbor:"3,keyasint,omitempty"`
}

// sendMirror sends IDs to witnesses. Traffic goroutines call it.
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
	// the mirror is kept through a change of holder, not of members.
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

// mirrorOf returns the mirror of a shard. It is emptied when the shard's record
// changes: IDs may have been sent to former members only.
func (c *Control) mirrorOf(s *shardState) *dedup.Mirror {
	rec, _ := s.machine.Record()
	if s.mirror == nil {
		s.mirror = dedup.NewMirror(mirrorWindow, time.Now())
		s.mirrorVersion = rec.Version
	}
	if rec.Version != s.mirrorVersion || len(rec.Next) > 0 {
		s.mirrorVersion = rec.Version
		s.mirror.Reset(time.Now())
	}
	return s.mirror
}

// content returns what this VM knows of the IDs of a shard.
func (c *Control) content(s *shardState) mirrorContent {
	m := c.mirrorOf(s)
	return mirrorContent{Known: true, SinceMs: m.Since(time.Now()).UnixMilli(), IDs: m.IDs()}
}

// MirrorContent answers another member's question about a shard.
func (c *Control) MirrorContent(ctx context.Context, frame wire.Frame) any {
	var ask mirrorBatch
	if err := frame.Unpack(&ask); err != nil {
		return mirrorContent{}
	}
	content, _ := query(ctx, c, func() mirrorContent {
		if s := c.shards[ask.Shard]; s != nil {
			return c.content(s)
		}
		return mirrorContent{}
	})
	return content
}

// recallIDs asks the members of a shard but the former holder which requests
// were started, and passes the memory that follows to done on the control
// goroutine. The former holder waited for one of the others to know each ID, so
// the union of all their mirrors is complete. Without an answer of one of them
// it is not, and done gets nil: the memory begins at the takeover.
func (c *Control) recallIDs(s *shardState, former api.VMID, done func(*dedup.Snapshot)) {
	own := c.content(s)
	var ask []api.VMID
	for _, vm := range c.others(s) {
		if vm != former {
			ask = append(ask, vm)
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), mirrorTimeout)
		defer cancel()
		contents := make([]mirrorContent, len(ask))
		var group sync.WaitGroup
		for i, vm := range ask {
			group.Go(func() {
				if err := c.sender.Call(ctx, vm, wire.TypeMirrorContent, mirrorBatch{Shard: s.id}, &contents[i]); err != nil {
					// The other VMs may hold the same content.
					c.cfg.Log.Warn().Err(err).Str("event", "mirror_not_read").Stringer("shard", s.id).Str("peer", string(vm)).Msg("")
				}
			})
		}
		group.Wait()
		snapshot := union(append(contents, own))
		c.post(func() { done(snapshot) })
	}()
}

// union joins the contents of mirrors, or returns nil if one is missing.
func union(contents []mirrorContent) *dedup.Snapshot {
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

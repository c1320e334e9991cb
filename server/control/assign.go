package control

import (
	"context"
	"net/http"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/server/holder"
)

// sendAssignment sends a new assignment of a held shard to the witnesses. Its
// owners are granted their ranges once one witness has stored it, so that the
// assignment survives the loss of this VM.
func (c *Control) sendAssignment(s *shardState, a wire.Assign) {
	if s.held == nil || a.Fence != s.held.Fence() {
		return
	}
	s.assignment = &a
	others := c.otherMembers(s)
	if len(others) == 0 {
		s.held.AckAssignment(a.Seq)
		return
	}
	for _, vm := range others {
		c.sender.Send(vm, wire.TypeAssign, a)
	}
}

// assignAck tells a holder that a witness has stored an assignment.
type assignAck struct {
	Shard api.ShardID `cbor:"1,keyasint"`
	Fence api.Fence   `cbor:"2,keyasint"`
	Seq   uint64      `cbor:"3,keyasint"`
}

func (c *Control) receiveAssign(from api.VMID, frame wire.Frame) error {
	var a wire.Assign
	if err := frame.Unpack(&a); err != nil {
		return err
	}
	s := c.shards[a.Shard]
	if s == nil {
		return nil
	}
	if s.assignment == nil || a.Fence > s.assignment.Fence || a.Fence == s.assignment.Fence && a.Seq >= s.assignment.Seq {
		s.assignment = &a
	}
	c.sender.Send(from, wire.TypeAssignAck, assignAck{a.Shard, a.Fence, a.Seq})
	return nil
}

func (c *Control) receiveAssignAck(frame wire.Frame) error {
	var ack assignAck
	if err := frame.Unpack(&ack); err != nil {
		return err
	}
	if s := c.shards[ack.Shard]; s != nil && s.held != nil && s.held.Fence() == ack.Fence {
		s.held.AckAssignment(ack.Seq)
	}
	return nil
}

const (
	// freezeTimeout bounds the wait for running requests in a handover.
	freezeTimeout = 5 * time.Second
	// handoverTimeout bounds the transfer to the successor.
	handoverTimeout = 5 * time.Second
)

// handOverToAny hands a held shard over to another available member.
func (c *Control) handOverToAny(s *shardState) {
	rec, ok := s.machine.Record()
	if !ok {
		return
	}
	if to, ok := c.successor(rec.Members); ok {
		c.handOver(s, to)
	}
}

// handOver hands a held shard over to another member.
func (c *Control) handOver(s *shardState, to api.VMID) {
	if s.handingOver {
		return
	}
	s.handingOver = true
	held := s.held
	c.cfg.Log.Info().Str("event", "handover").Stringer("shard", s.id).Str("to", string(to)).Msg("")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freezeTimeout)
		h := held.Freeze(ctx)
		cancel()
		ctx, cancel = context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		err := c.transfer(ctx, to, h)
		c.post(func() { c.finishHandover(s, held, to, err) })
	}()
}

// transfer sends the handover to the successor in parts.
func (c *Control) transfer(ctx context.Context, to api.VMID, h holder.Handover) error {
	for _, part := range h.Split() {
		var reply wire.Reply
		if err := c.sender.Call(ctx, to, wire.TypeHandover, part, &reply); err != nil {
			return err
		}
		if reply.Refusal != nil {
			return reply.Refusal
		}
	}
	return nil
}

// finishHandover releases the authority. If the transfer failed, the successor may
// lack the deduplication table; it then collects the request IDs from the witnesses,
// as after an unplanned takeover.
func (c *Control) finishHandover(s *shardState, held *holder.Shard, to api.VMID, err error) {
	s.handingOver = false
	if err != nil {
		c.cfg.Log.Warn().Err(err).Str("event", "handover_failed").Stringer("shard", s.id).Str("to", string(to)).Msg("")
	}
	if s.held != held {
		return
	}
	c.execute(s, s.machine.Release(c.cfg.Clock(), to))
	c.loseShard(s)
}

// ReceiveHandover stores a part of a handover from a former holder.
func (c *Control) ReceiveHandover(ctx context.Context, frame wire.Frame) wire.Reply {
	var h holder.Handover
	if err := frame.Unpack(&h); err != nil {
		c.cfg.Log.Warn().Err(err).Str("event", "handover_refused").Msg("")
		return wire.Reply{Refusal: api.Refuse(api.BadRequest, err.Error())}
	}
	joined, err := query(ctx, c, func() bool { return c.addHandoverPart(h) })
	switch {
	case err != nil:
		return wire.Reply{Refusal: api.Refuse(api.Stopping, err.Error())}
	case !joined:
		return wire.Reply{Refusal: api.Refuse(api.BadRequest, "the part does not continue a handover that is in progress")}
	default:
		return wire.Reply{Status: http.StatusOK}
	}
}

// addHandoverPart stores a part of a handover. It returns false if the part does
// not belong to a handover that is in progress.
func (c *Control) addHandoverPart(h holder.Handover) bool {
	s := c.shards[h.Shard]
	switch {
	case s == nil:
		return false
	case h.Part == 0:
		s.handover = &h
		return true
	default:
		return s.handover != nil && s.handover.Join(h)
	}
}

// Leave announces to the load balancer and the other VMs that this VM is stopping.
func (c *Control) Leave(ctx context.Context) error {
	return c.do(ctx, func() {
		c.leaving = true
		c.publish(c.cfg.Clock())
		c.heartbeat(c.cfg.Clock())
	})
}

// handOverHeld starts the handover of the held shards and returns their number.
func (c *Control) handOverHeld() (held int) {
	for _, s := range c.shards {
		if s.held != nil {
			held++
			c.handOverToAny(s)
		}
	}
	return held
}

// HandOverAll hands over all shards and waits until none is held or ctx ends.
func (c *Control) HandOverAll(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		held, err := query(ctx, c, c.handOverHeld)
		if err != nil || held == 0 {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

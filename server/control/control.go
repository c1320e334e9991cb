// Package control runs the control loop of one VM: its configuration, the
// membership of the other VMs, and its part in the authority over shards. One
// goroutine changes that state; request handlers read immutable snapshots.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/membership"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/core/stall"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/metrics"
)

// Intervals of the control loop.
const (
	// tickEvery is the interval of timer checks; authority times are multiples of it.
	tickEvery = 20 * time.Millisecond
	// heartbeatEvery is the interval of heartbeats to every VM.
	heartbeatEvery = 200 * time.Millisecond
	// storeEvery is the interval of reads of the configuration and records: 12
	// VMs make 24 reads a second, 1% of the limit of the table service.
	storeEvery = 500 * time.Millisecond
	// listEvery is the interval of reads of the platform's list of VMs.
	listEvery = time.Second
	// maintainEvery is the interval at which a holder checks its members.
	maintainEvery = time.Second
	// confirmFor is how long a confirmation of the configuration lasts. A VM
	// without one accepts no new requests.
	confirmFor = 2 * time.Second
	// catchUpQuiet is how long no message arrives after a stall until the control loop has caught up, and
	// catchUpFor the longest time that it takes. A renewal of an authority leaves 0.8 s.
	catchUpQuiet = 5 * time.Millisecond
	catchUpFor   = 50 * time.Millisecond
	// maxQueuedEvents bounds the events that wait for the control goroutine.
	maxQueuedEvents = 4096
)

// Sender sends messages to other VMs.
type Sender interface {
	Send(to api.VMID, kind wire.Type, payload any) bool
	Call(ctx context.Context, to api.VMID, kind wire.Type, payload, out any) error
}

// Config holds the parameters and dependencies of the control loop.
type Config struct {
	Self        placement.VM
	Incarnation api.Incarnation
	VMs         []placement.VM // all entry VMs of the settings, including this one
	Table       platform.Table
	VMList      platform.VMList
	Objects     platform.Objects // stores old revisions; may be nil
	Dial        func(address string, service config.Service) platform.Upstream
	Clock       func() time.Duration
	Metrics     *metrics.Metrics
	Log         zerolog.Logger
	// Buffers is the memory for responses of upstreams; nil means no limit.
	Buffers *buffers.Budget
	// Recorded is the memory for the recorded responses of all shards; nil means no limit.
	Recorded *buffers.Budget
}

// Control holds the control state of one VM.
type Control struct {
	cfg      Config
	sender   Sender
	events   chan func()
	snapshot atomic.Pointer[Snapshot]

	// Only the control goroutine uses the fields below.
	doc            *config.Document
	docVersion     uint64 // doc is at least as new as this version of the configuration's row; 0 if unknown
	members        *membership.Table
	peers          map[api.VMID]peerState
	holders        *shardmap.Holders
	shards         map[api.ShardID]*shardState
	confirmedUntil time.Duration // when the confirmation of the configuration expires
	started        time.Duration
	leaving        bool
	machineCount   uint64 // authority machines created so far
	storeReachable bool   // the last readStore succeeded
	// storeRead is true once this process has read the configuration from the
	// store, and so has every revision that was accepted before its start.
	storeRead bool
	expired   expiryTracker // updated at each heartbeat
	stalls    *stall.Monitor

	nextHeartbeat, nextMaintain time.Duration
	storeReadRunning            bool // a read of the store is in progress
}

// peerState is what another VM reported in its last heartbeat.
type peerState struct {
	revision  uint64
	storeRead bool // see Control.storeRead
}

// New returns a control loop; Run runs it. SetSender must be called before Run.
func New(cfg Config) *Control {
	peers := make([]api.VMID, 0, len(cfg.VMs))
	for _, vm := range cfg.VMs {
		if vm.ID != cfg.Self.ID {
			peers = append(peers, vm.ID)
		}
	}
	c := &Control{
		cfg: cfg, events: make(chan func(), maxQueuedEvents),
		members: membership.New(cfg.Self.ID, membership.DefaultConfig(), peers),
		peers:   map[api.VMID]peerState{},
		holders: shardmap.NewHolders(shardmap.DefaultClaimExpiry),
		shards:  map[api.ShardID]*shardState{},
		started: cfg.Clock(), stalls: stall.NewMonitor(cfg.Clock()),
	}
	c.snapshot.Store(&Snapshot{})
	return c
}

// SetSender sets the Sender of messages to other VMs.
func (c *Control) SetSender(sender Sender) { c.sender = sender }

// Snapshot returns the current snapshot for request handlers.
func (c *Control) Snapshot() *Snapshot { return c.snapshot.Load() }

// Run runs the control loop until ctx ends.
func (c *Control) Run(ctx context.Context) {
	go c.pollList(ctx)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	store := time.NewTicker(storeEvery)
	defer store.Stop()
	c.readStore(ctx)
	c.stalls = stall.NewMonitor(c.cfg.Clock())
	for {
		select {
		case <-ctx.Done():
			c.closeShards()
			return
		case event := <-c.events:
			event()
		case <-ticker.C:
			c.checkStall()
			c.tick()
		case <-store.C:
			c.readStore(ctx)
		}
	}
}

// checkStall finds out whether this process has stalled. Then it processes what has arrived meanwhile
// before other VMs count as silent and authority as expired. Authority that has expired stays so: it
// counts from the sending of a renewal, and each use of it checks its end.
func (c *Control) checkStall() {
	now := c.cfg.Clock()
	stalled := c.stalls.Check(now)
	if stalled == 0 {
		return
	}
	c.members.Stalled(now, stalled)
	caughtUp := time.NewTimer(catchUpFor)
	defer caughtUp.Stop()
	events := 0
	for quiet := false; !quiet; {
		timer := time.NewTimer(catchUpQuiet)
		select {
		case event := <-c.events:
			event()
			events++
		case <-timer.C:
			quiet = true
		case <-caughtUp.C:
			quiet = true
		}
		timer.Stop()
	}
	c.cfg.Log.Warn().Str("event", "stalled").Int64("stalled_ms", stalled.Milliseconds()).Int("events", events).Msg("")
}

// post runs f on the control goroutine.
func (c *Control) post(f func()) { c.events <- f }

// do runs f on the control goroutine and waits for it, or for ctx. After an
// error f may still run, so the caller must not use what f writes.
func (c *Control) do(ctx context.Context, f func()) error {
	_, err := query(ctx, c, func() struct{} { f(); return struct{}{} })
	return err
}

// query returns the result of f, which runs on the control goroutine. If ctx ends
// first, f may still run, so it must not write to variables of its caller.
func query[T any](ctx context.Context, c *Control, f func() T) (T, error) {
	var none T
	result := make(chan T, 1)
	select {
	case c.events <- func() { result <- f() }:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (c *Control) tick() {
	now := c.cfg.Clock()
	for _, change := range c.members.Tick(now) {
		c.memberChanged(change)
	}
	for _, s := range c.shards {
		c.tickShard(now, s)
	}
	c.confirmByMajority(now)
	if now >= c.nextHeartbeat {
		c.nextHeartbeat = now + heartbeatEvery
		c.heartbeat(now)
		c.sendEvidence()
		c.expired.observe(now, c.lowestRevision())
	}
	if now >= c.nextMaintain {
		c.nextMaintain = now + maintainEvery
		c.maintainShards(now)
	}
	c.publish(now)
}

// HandleMessage implements peer.Handler.
func (c *Control) HandleMessage(from api.VMID, frame wire.Frame) {
	c.post(func() {
		c.receive(from, frame)
		if frame.Release != nil {
			frame.Release()
		}
	})
}

func (c *Control) receive(from api.VMID, frame wire.Frame) {
	var err error
	switch frame.Type {
	case wire.TypeHeartbeat:
		err = c.receiveHeartbeat(from, frame)
	case wire.TypeAuthority:
		err = c.receiveAuthority(from, frame)
	case wire.TypeAssign:
		err = c.receiveAssign(from, frame)
	case wire.TypeAssignAck:
		err = c.receiveAssignAck(frame)
	case wire.TypeConfig:
		err = c.receiveConfig(from, frame)
	case wire.TypeEvidence:
		err = c.receiveEvidence(frame)
	case wire.TypeMirror:
		err = c.receiveMirror(from, frame)
	case wire.TypeMirrorAck:
		err = c.receiveMirrorAck(frame)
	}
	if err != nil {
		c.cfg.Log.Warn().Err(err).Str("event", "message_refused").Str("peer", string(from)).Msg("")
	}
}

// broadcast sends a message to every other VM.
func (c *Control) broadcast(kind wire.Type, payload any) {
	for _, vm := range c.cfg.VMs {
		if vm.ID != c.cfg.Self.ID {
			c.sender.Send(vm.ID, kind, payload)
		}
	}
}

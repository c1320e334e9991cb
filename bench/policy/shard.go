package policy

import (
	"fmt"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/dispatch"
	"dandelionhill.dev/core/ramp"
)

// shardSpec describes the upstreams of a shard and their service times.
type shardSpec struct {
	upstreams, slots int
	slotFactor       float64
	mean             time.Duration
	sigma            float64
	keyed            bool
	ramp             ramp.Config // NormalLatency is set by rampConfig
}

// rampConfig returns the configuration of an upstream's ramp.
func (s shardSpec) rampConfig() ramp.Config {
	s.ramp.NormalLatency = s.mean + rtt
	return s.ramp
}

// capacity returns the requests per second that all slots can run.
func (s shardSpec) capacity() float64 {
	return float64(s.upstreams*s.slots) / s.mean.Seconds()
}

// call is one request from a caller.
type call struct {
	key, caller string
	owner       int // index of the upstream that owns the key
	rangeIndex  int // range of the key
	timeout     time.Duration
	serviceTime time.Duration
	crashing    bool
	exclusive   bool
	onRun       func()
	onEnd       func(call, result)

	id     uint64
	sentAt time.Duration
	job    *job
}

// result is how a call ended.
type result struct {
	outcome api.Outcome
	inTime  bool
	broken  bool
	refusal *api.Refusal
}

// shard drives the policy packages as the holder does, without sockets.
type shard struct {
	e      *engine
	spec   shardSpec
	queue  *dispatch.Queue
	ramps  map[api.UpstreamID]*ramp.Ramp
	ups    []*upstream
	byID   map[api.UpstreamID]*upstream
	calls  map[uint64]*call
	lastID uint64
	// inFlight lists the calls in flight per upstream, in order of start.
	inFlight map[api.UpstreamID][]uint64
	// closed upstreams start nothing.
	closed map[api.UpstreamID]bool
	// holderLost is set when the holder is lost: replies are ignored from then on.
	holderLost bool
	// beforeSend reports whether a call may start; see crash.go.
	beforeSend func(c *call) bool
	// afterEnd is called when a run has ended, before its call's onEnd.
	afterEnd func(c *call, up api.UpstreamID, r reply)
}

func newShard(e *engine, s shardSpec, cfg dispatch.Config) *shard {
	sh := &shard{
		e: e, spec: s, queue: dispatch.New(cfg), ramps: map[api.UpstreamID]*ramp.Ramp{},
		byID: map[api.UpstreamID]*upstream{}, calls: map[uint64]*call{}, inFlight: map[api.UpstreamID][]uint64{},
		closed: map[api.UpstreamID]bool{},
	}
	for i := range s.upstreams {
		u := newUpstream(e, api.UpstreamID(fmt.Sprintf("up%02d", i)), s.slots)
		sh.ups = append(sh.ups, u)
		sh.byID[u.id] = u
		sh.ramps[u.id] = ramp.New(s.rampConfig(), false)
	}
	sh.setLimits()
	return sh
}

// setLimits passes the ramps' limits to the queue.
func (sh *shard) setLimits() {
	var limits []dispatch.Limit
	for _, u := range sh.ups {
		limits = append(limits, sh.limit(u))
	}
	sh.queue.SetLimits(limits)
}

func (sh *shard) limit(u *upstream) dispatch.Limit {
	r, full := sh.ramps[u.id], int(float64(sh.spec.slots)*sh.spec.slotFactor+0.5)
	return dispatch.Limit{Upstream: u.id, InFlight: r.Limit(sh.e.now, full), Open: !sh.closed[u.id], Cold: r.Cold()}
}

// arrive admits a call to the queue.
func (sh *shard) arrive(c call) {
	sh.lastID++
	c.id, c.sentAt = sh.lastID, sh.e.now
	r := dispatch.Request{ID: c.id, Key: c.key, Caller: c.caller, Range: c.rangeIndex, Exclusive: c.exclusive}
	if c.timeout > 0 {
		r.Deadline = sh.e.now + c.timeout
	}
	if sh.spec.keyed {
		r.Upstream = sh.ups[c.owner].id
	}
	if refusal := sh.queue.Admit(sh.e.now, r); refusal != nil {
		c.onEnd(c, result{outcome: api.NotRun, refusal: refusal})
		return
	}
	sh.calls[c.id] = &c
	sh.startQueued()
}

// startQueued starts the queued calls that have room, and ends the expired ones.
func (sh *shard) startQueued() {
	starts, expired := sh.queue.Next(sh.e.now)
	for _, id := range expired {
		sh.finish(id, result{outcome: api.NotRun})
	}
	for _, s := range starts {
		sh.start(s)
	}
}

func (sh *shard) start(s dispatch.Start) {
	c := sh.calls[s.ID]
	if sh.beforeSend != nil && !sh.beforeSend(c) {
		sh.queue.Done(sh.e.now, s.ID, s.Upstream, 0, false)
		sh.finish(s.ID, result{outcome: api.NotRun})
		sh.e.after(0, sh.startQueued)
		return
	}
	sentAt := sh.e.now
	sh.inFlight[s.Upstream] = append(sh.inFlight[s.Upstream], s.ID)
	sh.ramps[s.Upstream].Sent(len(sh.inFlight[s.Upstream]))
	c.job = &job{
		serviceTime: c.serviceTime, crashing: c.crashing, onRun: c.onRun,
		reply: func(r reply) {
			if !sh.holderLost {
				sh.reply(s, r, sh.e.now-sentAt)
			}
		},
	}
	sh.byID[s.Upstream].send(c.job)
}

func (sh *shard) reply(s dispatch.Start, r reply, took time.Duration) {
	inFlight := sh.inFlight[s.Upstream]
	for i, id := range inFlight {
		if id == s.ID {
			sh.inFlight[s.Upstream] = append(inFlight[:i:i], inFlight[i+1:]...)
			break
		}
	}
	c := sh.calls[s.ID]
	sh.queue.Done(sh.e.now, s.ID, s.Upstream, took, r == answered)
	if r != broken {
		sh.ramps[s.Upstream].Observe(sh.e.now, took, r == shed)
		sh.queue.SetLimit(sh.limit(sh.byID[s.Upstream]))
	}
	if sh.afterEnd != nil {
		sh.afterEnd(c, s.Upstream, r)
	}
	switch r {
	case answered:
		sh.finish(s.ID, result{outcome: api.Answered, inTime: c.timeout == 0 || sh.e.now <= c.sentAt+c.timeout})
	case shed:
		sh.finish(s.ID, result{outcome: api.NotRun, refusal: api.Refuse(api.Shed, "upstream shed the request")})
	case broken:
		sh.finish(s.ID, result{outcome: api.Unknown, broken: true})
	}
	sh.startQueued()
}

func (sh *shard) finish(id uint64, r result) {
	c := sh.calls[id]
	delete(sh.calls, id)
	c.onEnd(*c, r)
}

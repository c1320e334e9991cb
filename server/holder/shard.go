// Package holder runs the shards that this VM holds. A Shard is the only sender
// to its upstreams: it renews their leases, moves ranges between them, and
// queues and dispatches requests. The core packages make the decisions; this
// package provides their clock, connections and locking.
package holder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/dedup"
	"dandelionhill.dev/core/dispatch"
	"dandelionhill.dev/core/hedge"
	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/ramp"
	"dandelionhill.dev/core/retry"
	"dandelionhill.dev/core/straggler"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/metrics"
)

// reachTimeout is how long a new holder waits for the first response of an
// upstream before it treats the upstream as lost. It is a few renewal intervals.
const reachTimeout = 300 * time.Millisecond

// Config holds the parameters and dependencies of a Shard.
type Config struct {
	ID      api.ShardID
	Fence   api.Fence
	Clock   func() time.Duration // monotonic time since process start
	Dial    func(address string, service config.Service) platform.Upstream
	Metrics *metrics.Metrics
	Log     zerolog.Logger
	// Buffers is the memory for responses of upstreams; nil means no limit.
	Buffers *buffers.Budget
	// Recorded is the memory for recorded responses; nil means no limit but those of the table.
	Recorded *buffers.Budget
	// ReportAssignment is called with each new assignment of ranges. The caller
	// calls AckAssignment with its number once a witness (another member of the
	// shard) has stored it, so that it survives the loss of this VM.
	ReportAssignment func(wire.Assign)
	// MirrorIDs sends request IDs to the witnesses. The caller calls AckMirror with
	// the batch number once one of them has stored it. If nil, IDs are not mirrored.
	MirrorIDs func(witnesses []api.VMID, seq uint64, ids []dedup.ID)
}

// Shard runs one shard that this VM holds.
type Shard struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	mu             sync.Mutex
	authorityUntil time.Duration // end of this VM's authority
	closed         bool          // authority was lost or handed over
	frozen         bool          // a handover has begun; new requests are refused

	service   config.Service
	preset    config.Preset
	span      config.Span
	upstreams map[api.UpstreamID]*upstream
	ranges    *ownership
	hot       hotKeys

	leases      *lease.Table
	planner     placement.Planner
	queue       *dispatch.Queue
	dedup       *dedup.Table
	evidence    *crash.Evidence
	monitor     *straggler.Monitor
	stepHistory *ramp.StepHistory
	hedges      *hedge.Controller
	retries     *retry.Budget
	random      *rand.Rand

	demand        float64                            // running and queued requests, moving average
	reserveShort  bool                               // the demand exceeds the capacity without the largest failure domain
	penalized     bool                               // an upstream is marked as a straggler
	nextPlan      time.Duration                      // when the next plan for balance is due
	loadDecayedAt time.Duration                      // when the load of the ranges last decayed
	warmBefore    map[api.UpstreamID]api.Incarnation // reported by the former holder
	mirror        mirrorState
	nextID        uint64
	requests      map[uint64]*request
	duplicates    map[string][]chan *wire.Reply // by request ID: duplicates that wait for the first run
}

// PriorState is what is known of a shard from before its new holder.
type PriorState struct {
	Assignment *wire.Assign
	Handover   *Handover
	// Dedup has the request IDs that the witnesses stored; nil if some could not be read.
	Dedup *dedup.Snapshot
	// WarmUpstreams has the incarnations of the upstreams that had warmed up.
	WarmUpstreams map[api.UpstreamID]api.Incarnation
}

// recordedBodies grants memory to recorded responses. It closes no connection for them, as the memory is
// not that of connections.
type recordedBodies struct{ *buffers.Reservation }

// Take implements dedup.Budget.
func (r recordedBodies) Take(bytes int64) bool { return r.TryTake(bytes, 0) }

// New returns a shard and starts to renew the leases of its upstreams.
func New(cfg Config, doc *config.Document, in PriorState, wall time.Time) *Shard {
	ctx, cancel := context.WithCancel(context.Background())
	service, _ := doc.Service(cfg.ID.Service)
	s := &Shard{
		cfg: cfg, ctx: ctx, cancel: cancel, service: service,
		span:        service.Layout[cfg.ID.Index],
		upstreams:   map[api.UpstreamID]*upstream{},
		leases:      lease.NewTable(lease.DefaultConfig()),
		queue:       dispatch.New(queueConfig(service, doc.Active())),
		dedup:       dedup.New(dedup.DefaultConfig(), wall),
		evidence:    crash.New(crash.DefaultConfig()),
		monitor:     straggler.NewMonitor(straggler.DefaultConfig()),
		stepHistory: ramp.NewStepHistory(),
		random:      rand.New(rand.NewPCG(uint64(cfg.Fence), uint64(wall.UnixNano()))),
		requests:    map[uint64]*request{},
		duplicates:  map[string][]chan *wire.Reply{},
	}
	s.ranges = newOwnership(s.span)
	s.hot = newHotKeys(cfg.ID, service, cfg.Clock())
	s.restorePrior(in)
	if cfg.Recorded != nil {
		s.dedup.SetBudget(recordedBodies{cfg.Recorded.Reserve()})
	}
	s.warmBefore = in.WarmUpstreams
	s.Configure(doc)
	return s
}

func queueConfig(service config.Service, preset config.Preset) dispatch.Config {
	cfg := dispatch.DefaultConfig()
	cfg.QueueLength = preset.QueueLength
	return cfg
}

// Configure applies a new configuration.
func (s *Shard) Configure(doc *config.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, ok := doc.Service(s.cfg.ID.Service)
	if !ok {
		return
	}
	preset := doc.Active()
	if preset.Name != s.preset.Name || preset.ModifiedAt != s.preset.ModifiedAt {
		s.hedges = hedge.NewController(hedgeConfig(preset))
		s.retries = retry.NewBudget(retryConfig(preset))
		s.queue.SetQueueLength(preset.QueueLength)
	}
	s.service, s.preset = service, preset
	now := s.cfg.Clock()
	listed := map[api.UpstreamID]bool{}
	for _, u := range service.Upstreams {
		if u.Shard != s.cfg.ID.Index {
			continue
		}
		listed[u.ID] = true
		s.configureUpstream(now, doc, u)
	}
	for id, up := range s.upstreams {
		if !listed[id] {
			up.state.removed = true
		}
	}
	s.refreshLimits(now)
	s.dispatchQueued(now)
}

func hedgeConfig(preset config.Preset) hedge.Config {
	cfg := hedge.DefaultConfig()
	cfg.Share = preset.HedgeBudget
	return cfg
}

func retryConfig(preset config.Preset) retry.Config {
	cfg := retry.DefaultConfig(retry.Holder)
	cfg.Share = preset.RetryBudget
	return cfg
}

func (s *Shard) configureUpstream(now time.Duration, doc *config.Document, u config.Upstream) {
	domain, _ := doc.Domain(u.FailureDomain)
	up, known := s.upstreams[u.ID]
	if !known {
		up = &upstream{
			id: u.ID, domain: u.FailureDomain, addedAt: now,
			client:  s.cfg.Dial(u.Address, s.service),
			ramp:    ramp.New(s.rampConfig(), true),
			running: map[uint64]*request{},
			wake:    make(chan struct{}, 1),
		}
		s.upstreams[u.ID] = up
		go s.renewLoop(up)
	}
	up.ramp.SetStepAnswers(s.service.WarmUpAnswers)
	wasOut := up.state.unavailable()
	up.state.drained, up.state.domainOut, up.state.removed = u.Drained, domain.Out, false
	up.state.confirmedLost = doc.UpstreamLost(u.ID)
	if wasOut != up.state.unavailable() {
		up.renewNow()
	}
}

func (s *Shard) rampConfig() ramp.Config {
	cfg := ramp.DefaultConfig()
	cfg.Step = s.preset.RampStep
	cfg.InitialLimit = s.preset.ColdStart
	cfg.StepAnswers = s.service.WarmUpAnswers
	cfg.StepHistory = s.stepHistory
	return cfg
}

// SetAuthority extends the time until which this VM has authority.
func (s *Shard) SetAuthority(until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.authorityUntil = until
}

// Fence returns the fence under which this VM holds the shard.
func (s *Shard) Fence() api.Fence { return s.cfg.Fence }

// Tick plans moves, expires queued requests and updates the limits. The control
// goroutine calls it every 20 ms.
func (s *Shard) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	now := s.cfg.Clock()
	s.monitor.Tick(now)
	s.retryMirror(now)
	s.shareNormalLatency()
	s.plan(now)
	s.refreshLimits(now)
	s.dispatchQueued(now)
	s.setGauges()
}

func (s *Shard) setGauges() {
	service := string(s.cfg.ID.Service)
	stragglers := 0
	for id, up := range s.upstreams {
		s.cfg.Metrics.InFlight.WithLabelValues(service, string(id)).Set(float64(len(up.running)))
		if s.monitor.Straggling(id) {
			stragglers++
		}
	}
	shard := s.cfg.ID.String()
	s.cfg.Metrics.Queued.WithLabelValues(service, shard).Set(float64(s.queue.Queued()))
	s.cfg.Metrics.Stragglers.WithLabelValues(service).Set(float64(stragglers))
	s.cfg.Metrics.Quarantined.WithLabelValues(service, shard).Set(float64(s.evidence.Quarantined()))
	s.checkReserve()
	s.cfg.Metrics.HotKeys.WithLabelValues(service, shard).Set(float64(s.hotCount()))
}

// refreshLimits updates the queue's limits of all upstreams.
func (s *Shard) refreshLimits(now time.Duration) {
	limits := make([]dispatch.Limit, 0, len(s.upstreams))
	s.penalized = false
	healthy := 0
	for _, up := range s.upstreams {
		limit := s.limit(now, up)
		if limit.Open && limit.Penalty <= 1 {
			healthy += limit.InFlight
		}
		limits = append(limits, limit)
	}
	if !s.service.Keyed {
		s.closeStragglers(limits, healthy)
	}
	s.queue.SetLimits(limits)
}

// refreshLimit updates the limit of one upstream after the end of a run. Limits
// that change with time only are updated by the next Tick. While an unkeyed
// service has a straggler, the limits depend on each other and all are updated.
func (s *Shard) refreshLimit(now time.Duration, up *upstream) {
	limit := s.limit(now, up)
	if !s.service.Keyed && (s.penalized || limit.Penalty > 1) {
		s.refreshLimits(now)
		return
	}
	s.queue.SetLimit(limit)
}

func (s *Shard) limit(now time.Duration, up *upstream) dispatch.Limit {
	return dispatch.Limit{
		Upstream: up.id,
		InFlight: up.ramp.Limit(now, s.warmLimit()),
		Open:     s.maySend(now, up),
		Penalty:  s.monitor.Penalty(up.id),
		Cold:     up.ramp.Cold(),
	}
}

// closeStragglers closes each straggler of an unkeyed service on which a request
// would take longer than it would wait for another upstream to become free. In
// the model of bench/tail, at 50% load, this lowers the ratio of p99 with and
// without a straggler from 2.15 to 1.03.
func (s *Shard) closeStragglers(limits []dispatch.Limit, healthy int) {
	queued := s.queue.Queued()
	for i := range limits {
		l := &limits[i]
		if l.Penalty > 1 {
			s.penalized = true
			l.Open = l.Open && straggler.ShouldUseStraggler(l.Penalty, queued, healthy)
		}
	}
}

// warmLimit is the concurrency limit of a warm upstream.
func (s *Shard) warmLimit() int {
	full := int(float64(s.service.Slots)*s.preset.SlotFactor + 0.5)
	return max(1, min(full, s.service.Connections))
}

// maySend reports whether the upstream may be sent requests now.
func (s *Shard) maySend(now time.Duration, up *upstream) bool {
	return !s.closed && now < s.authorityUntil && !up.state.unavailable() && !up.refusesConns && s.leases.MaySend(now, up.id)
}

// Close refuses the queued requests and stops the lease renewals. Running
// requests keep their connections until they end.
func (s *Shard) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.close()
}

func (s *Shard) close() {
	if s.closed {
		return
	}
	s.closed = true
	s.cancel()
	s.dedup.DropBodies()
	s.cfg.Metrics.HotKeys.DeleteLabelValues(string(s.cfg.ID.Service), s.cfg.ID.String())
	for _, r := range s.requests {
		if len(r.runs) == 0 {
			s.finish(r, wire.Refused(api.Refuse(api.NotHolder, "this VM no longer holds shard "+s.cfg.ID.String())))
		}
	}
}

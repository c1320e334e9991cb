// Package tail measures tail latency while one upstream is a straggler, in a
// seeded discrete-event simulation of one shard and its upstreams.
package tail

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/hedge"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/straggler"
)

// Scenario describes the shard, its load and the straggler.
type Scenario struct {
	Keyed           bool // each request has one owner; there is a queue per upstream
	Upstreams       int
	Slots           int           // per upstream
	ServiceTime     time.Duration // median of the log-normal service time
	Deviation       float64       // of its logarithm; half of the variance is per request, half per call
	Utilization     float64       // of all slots, without a straggler
	IdempotentShare float64       // share of requests that may be hedged
	Slowdown        float64       // factor on the straggler's service time; 1 means no straggler
	SlowFrom        time.Duration
	SlowUntil       time.Duration
	CountFrom       time.Duration // earlier arrivals are not counted; no effect before SlowFrom
	End             time.Duration // end of the arrivals
	MaxWait         time.Duration // a request that waits longer is refused
}

// DefaultScenario has 6 upstreams of 3 slots, like the service dispatchdesk of
// Hooghly, one of which is ten times slower for 30 s.
func DefaultScenario() Scenario {
	return Scenario{
		Upstreams: 6, Slots: 3, ServiceTime: 20 * time.Millisecond, Deviation: 0.5, Utilization: 0.5, IdempotentShare: 0.5,
		Slowdown: 10, SlowFrom: 10 * time.Second, SlowUntil: 40 * time.Second, End: 45 * time.Second, MaxWait: time.Second,
	}
}

// Policy describes how the holder handles stragglers.
type Policy struct {
	Name     string
	Random   bool           // random choice, with a queue per upstream; else one queue and least in flight
	Detector straggler.Kind // empty: no penalty
	Hedge    bool
	// WorkConserving sends a request to a straggler when no other upstream has a
	// free slot, instead of letting it wait.
	WorkConserving bool
	// IgnoreCancelled does not report cancelled calls to the Monitor.
	IgnoreCancelled bool
	// LoadByRunTime measures the load of a range by the run time of its requests,
	// instead of its arrivals times the mean service time.
	LoadByRunTime bool
}

// Result holds the figures of one run.
type Result struct {
	P50, P99        time.Duration // of requests that arrived while the straggler was slow, not before CountFrom
	Requests        int
	Hedges          int // extra calls
	Refused         int // in the same window
	OtherOwnerCalls int // calls to an upstream that does not own the key
	Moves           int // of ranges, planned by core/placement (keyed)
	OthersP99       time.Duration
	DetectedIn      time.Duration // from SlowFrom to the mark, -1 if not marked
	FalseMarks      int           // upstreams other than the straggler that were marked at some time
}

type request struct {
	arrival       time.Duration
	idempotent    bool
	logFactor     float64 // log of the request's own factor
	rangeIndex    int     // the key's range
	owner         int
	firstOwner    int // before any move
	done          bool
	hedgeQueued   bool // queued for its hedged call
	avoidUpstream int
	calls         []*call
}

type call struct {
	req       *request
	up        int
	start     time.Duration
	hedge     bool
	cancelled bool
}

type eventKind int

const (
	arrive eventKind = iota
	complete
	hedgeDue
	tick
	plan
)

type event struct {
	at   time.Duration
	seq  int
	kind eventKind
	call *call
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// stragglerIndex is the index of the straggler.
const stragglerIndex = 0

// tickInterval is the interval of Monitor.Tick.
const tickInterval = 20 * time.Millisecond

type simulation struct {
	sc            Scenario
	policy        Policy
	arrivalRand   *rand.Rand // the same for all policies
	callRand      *rand.Rand
	choiceRand    *rand.Rand
	now           time.Duration
	seq           int
	events        events
	queues        [][]*request // one, or one per upstream
	inFlight      []int
	ids           []api.UpstreamID
	monitor       *straggler.Monitor
	hedger        *hedge.Controller
	requests      []*request
	latencies     []time.Duration // by index in requests; negative: refused
	requestIndex  map[*request]int
	falselyMarked map[int]bool
	rebalancer    *rebalancer
	owners        []int // by range
	result        Result
}

// Run simulates the scenario under a policy.
func Run(sc Scenario, policy Policy, seed uint64) Result {
	s := &simulation{
		sc: sc, policy: policy,
		arrivalRand: rand.New(rand.NewPCG(seed, 1)), callRand: rand.New(rand.NewPCG(seed, 2)), choiceRand: rand.New(rand.NewPCG(seed, 3)),
		queues: make([][]*request, 1), inFlight: make([]int, sc.Upstreams), requestIndex: map[*request]int{}, falselyMarked: map[int]bool{},
	}
	s.result.DetectedIn = -1
	if sc.Keyed || policy.Random {
		s.queues = make([][]*request, sc.Upstreams)
	}
	for rangeIndex := range sc.Upstreams * rangesPerUpstream {
		s.owners = append(s.owners, rangeIndex%sc.Upstreams)
	}
	for i := range sc.Upstreams {
		s.ids = append(s.ids, api.UpstreamID(fmt.Sprintf("u%d", i)))
	}
	if policy.Detector != "" {
		cfg := straggler.DefaultConfig()
		cfg.Parameters = straggler.DefaultParameters[policy.Detector]
		s.monitor = straggler.NewMonitor(cfg)
		s.schedule(tickInterval, tick, nil)
	}
	if policy.Hedge && !sc.Keyed {
		s.hedger = hedge.NewController(hedge.DefaultConfig())
	}
	if sc.Keyed {
		s.rebalancer = newRebalancer(s.ids, sc.Slots)
		s.schedule(planInterval, plan, nil)
	}
	s.schedule(0, arrive, nil)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.handle(e)
	}
	s.summarize()
	return s.result
}

func (s *simulation) schedule(at time.Duration, kind eventKind, c *call) {
	s.seq++
	heap.Push(&s.events, event{at, s.seq, kind, c})
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case arrive:
		s.arrive()
	case complete:
		if !e.call.cancelled {
			s.complete(e.call)
		}
	case hedgeDue:
		s.hedgeDue(e.call)
	case plan:
		s.moveRanges(s.rebalancer.plan(s.now, s.monitor))
		if s.now < s.sc.End {
			s.schedule(s.now+planInterval, plan, nil)
		}
	case tick:
		s.monitor.Tick(s.now)
		if s.now < s.sc.End {
			s.schedule(s.now+tickInterval, tick, nil)
		}
	}
	s.dispatch()
}

func (s *simulation) arrive() {
	if s.now >= s.sc.End {
		return
	}
	r := &request{
		arrival: s.now, idempotent: s.arrivalRand.Float64() < s.sc.IdempotentShare,
		logFactor: s.sc.Deviation * math.Sqrt(0.5) * s.arrivalRand.NormFloat64(), rangeIndex: s.arrivalRand.IntN(s.sc.Upstreams * rangesPerUpstream), avoidUpstream: -1,
	}
	r.firstOwner = r.rangeIndex % s.sc.Upstreams
	r.owner = s.owners[r.rangeIndex]
	s.requestIndex[r] = len(s.requests)
	s.requests = append(s.requests, r)
	s.latencies = append(s.latencies, -1)
	if s.hedger != nil {
		s.hedger.Request()
	}
	queue := 0
	if s.sc.Keyed {
		queue = r.owner
	} else if s.policy.Random {
		queue = s.choiceRand.IntN(s.sc.Upstreams)
	}
	s.queues[queue] = append(s.queues[queue], r)
	mean := s.sc.ServiceTime.Seconds() * math.Exp(s.sc.Deviation*s.sc.Deviation/2)
	if s.rebalancer != nil && !s.policy.LoadByRunTime {
		s.rebalancer.load[r.rangeIndex] += mean
	}
	rate := s.sc.Utilization * float64(s.sc.Upstreams*s.sc.Slots) / mean
	s.schedule(s.now+time.Duration(s.arrivalRand.ExpFloat64()/rate*float64(time.Second)), arrive, nil)
}

// moveRanges assigns ranges to other owners and requeues their waiting requests.
func (s *simulation) moveRanges(moves []placement.Move) {
	s.result.Moves += len(moves)
	for _, m := range moves {
		from, to := slices.Index(s.ids, m.From), slices.Index(s.ids, m.To)
		s.owners[m.Range] = to
		s.queues[from] = slices.DeleteFunc(s.queues[from], func(r *request) bool {
			if r.rangeIndex != m.Range {
				return false
			}
			r.owner = to
			s.queues[to] = append(s.queues[to], r)
			return true
		})
	}
}

// dispatch starts queued requests while there are free slots.
func (s *simulation) dispatch() {
	for q := range s.queues {
		for len(s.queues[q]) > 0 {
			r := s.queues[q][0]
			if r.done || !r.hedgeQueued && s.now-r.arrival > s.sc.MaxWait {
				s.queues[q] = s.queues[q][1:]
				continue
			}
			up := q
			if len(s.queues) == 1 {
				up = s.pick(r, len(s.queues[q]))
			} else if s.inFlight[q] >= s.sc.Slots {
				up = -1
			}
			if up < 0 {
				break
			}
			s.queues[q] = s.queues[q][1:]
			s.start(r, up)
		}
	}
}

func (s *simulation) start(r *request, up int) {
	c := &call{req: r, up: up, start: s.now, hedge: r.hedgeQueued}
	r.hedgeQueued = false
	r.calls = append(r.calls, c)
	if c.hedge {
		s.result.Hedges++
	}
	if s.sc.Keyed && up != r.owner {
		s.result.OtherOwnerCalls++
	}
	s.inFlight[up]++
	if s.monitor != nil {
		s.monitor.RequestSent(s.ids[up])
	}
	seconds := s.sc.ServiceTime.Seconds() * math.Exp(r.logFactor+s.sc.Deviation*math.Sqrt(0.5)*s.callRand.NormFloat64())
	if up == stragglerIndex && s.now >= s.sc.SlowFrom && s.now < s.sc.SlowUntil {
		seconds *= s.sc.Slowdown
	}
	s.schedule(s.now+time.Duration(seconds*float64(time.Second)), complete, c)
	if s.hedger != nil && r.idempotent && !c.hedge {
		if delay, ok := s.hedger.Delay(); ok {
			s.schedule(s.now+delay, hedgeDue, c)
		}
	}
}

func (s *simulation) hedgeDue(c *call) {
	if c.req.done || !s.hedger.Allow(s.now) {
		return
	}
	c.req.hedgeQueued, c.req.avoidUpstream = true, c.up
	s.queues[0] = slices.Insert(s.queues[0], 0, c.req)
}

func (s *simulation) complete(c *call) {
	took := s.now - c.start
	s.inFlight[c.up]--
	c.req.done = true
	s.latencies[s.requestIndex[c.req]] = s.now - c.req.arrival
	s.observe(c, took)
	if s.rebalancer != nil && s.policy.LoadByRunTime {
		s.rebalancer.load[c.req.rangeIndex] += took.Seconds()
	}
	for _, loser := range c.req.calls {
		if loser == c {
			continue
		}
		loser.cancelled = true
		s.inFlight[loser.up]--
		if !loser.hedge {
			s.hedger.Observe(s.now - loser.start)
		}
		if s.monitor != nil && !s.policy.IgnoreCancelled {
			s.monitor.RequestCancelled(s.now, s.ids[loser.up], s.now-loser.start)
			s.recordMark(loser.up)
		}
	}
}

func (s *simulation) observe(c *call, took time.Duration) {
	if s.hedger != nil && !c.hedge {
		s.hedger.Observe(took)
	}
	if s.monitor == nil {
		return
	}
	s.monitor.Observe(s.now, s.ids[c.up], took)
	s.recordMark(c.up)
}

// recordMark records whether and when an upstream was marked.
func (s *simulation) recordMark(up int) {
	if !s.monitor.Straggling(s.ids[up]) {
		return
	}
	slowNow := s.sc.Slowdown > 1 && up == stragglerIndex && s.now >= s.sc.SlowFrom
	switch {
	case slowNow && s.result.DetectedIn < 0:
		s.result.DetectedIn = s.now - s.sc.SlowFrom
	case !slowNow:
		s.falselyMarked[up] = true
	}
}

func (s *simulation) summarize() {
	var window, others []time.Duration
	for i, r := range s.requests {
		s.result.Requests++
		if r.arrival < max(s.sc.SlowFrom, s.sc.CountFrom) || r.arrival >= s.sc.SlowUntil {
			continue
		}
		took := s.latencies[i]
		if took < 0 {
			// A refused request counts with MaxWait as its latency.
			s.result.Refused++
			took = s.sc.MaxWait
		}
		window = append(window, took)
		if r.firstOwner != stragglerIndex {
			others = append(others, took)
		}
	}
	s.result.P50, s.result.P99 = quantile(window, 0.5), quantile(window, 0.99)
	s.result.OthersP99 = quantile(others, 0.99)
	s.result.FalseMarks = len(s.falselyMarked)
}

func quantile(xs []time.Duration, q float64) time.Duration {
	slices.Sort(xs)
	return xs[int(q*float64(len(xs)-1))]
}

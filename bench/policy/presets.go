package policy

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/dispatch"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/ramp"
	"dandelionhill.dev/core/retry"
)

const (
	// ordinaryLoad is the ratio of the ordinary rate to the capacity of all
	// upstreams. The peak of twice that rate exceeds the capacity.
	ordinaryLoad = 0.6
	presetSigma  = 0.5
	planInterval = 200 * time.Millisecond
	// moveTime is how long a move takes after the runs of the range have ended: a
	// few round trips to both upstreams and to a witness.
	moveTime = 10 * time.Millisecond
	// presetUpstreams is less than in the examples, which keeps the runs short.
	presetUpstreams = 12
	// Requests that arrive before presetStart are not counted.
	presetStart    = 2 * time.Second
	presetDuration = 16 * time.Second
	domainOutAt    = 3 * time.Second
	domainBackAt   = 7 * time.Second
)

// presetServiceTimes are mean service times: one at which the round trip to the
// upstream matters, and one at which queues and deadlines do. The deployments do
// not state theirs.
var presetServiceTimes = []time.Duration{10 * time.Millisecond, 100 * time.Millisecond}

// situation is an operating condition with the preset intended for it.
type situation struct {
	name, intendedPreset string
	// rate is the offered rate at a time, as a multiple of the ordinary one.
	rate      func(time.Duration) float64
	domainOut bool
}

var situations = []situation{
	{"ordinary_load", "ordinary", func(time.Duration) float64 { return 1 }, false},
	{"peak_load", "peak", func(at time.Duration) float64 {
		// The rate ramps up to twice the ordinary one, stays there, and ramps down.
		return 1 + math.Max(0, math.Min(1, 2-math.Abs((at-presetStart-presetDuration/2).Seconds())/3))
	}, false},
	{"domain_out_and_back", "maintenance", func(time.Duration) float64 { return 1 }, true},
}

// presetRun is one shard of a keyed service under one preset.
type presetRun struct {
	*shard
	preset            config.Preset
	ranges            int
	owners            []int // by range: index of the owner, or of the destination of its move
	queueOwners       []int // by range: index of the owner that requests are queued for
	cumulativeWeights []float64
	domains           []api.FailureDomain
	planner           placement.Planner
	retries           *retry.Budget

	callerWait                  time.Duration
	offered, inTime             int
	refusals                    map[api.Kind]int
	forcedMoves, balancingMoves int
}

// runPreset offers a load to the service under a preset. Requests get the
// preset's default timeout, but callers wait for callerWait under every preset.
func runPreset(seed uint64, service config.Service, preset config.Preset, callerWait, mean time.Duration, x situation) *presetRun {
	e := newEngine(seed)
	s := shardSpec{upstreams: len(service.Upstreams), slots: service.Slots, slotFactor: preset.SlotFactor, mean: mean, sigma: presetSigma, keyed: true}
	p := &presetRun{
		shard: newShard(e, s, dispatch.Config{QueueLength: preset.QueueLength}), preset: preset, ranges: service.Ranges,
		owners: make([]int, service.Ranges), queueOwners: make([]int, service.Ranges),
		retries:    retry.NewBudget(retry.Config{Layer: retry.Holder, Share: preset.RetryBudget, Burst: 10, MaxAttempts: 3, BaseDelay: 5 * time.Millisecond, MaxDelay: 200 * time.Millisecond, MinRun: time.Millisecond}),
		callerWait: callerWait, refusals: map[api.Kind]int{},
	}
	for _, u := range service.Upstreams {
		p.domains = append(p.domains, u.FailureDomain)
	}
	sum := 0.0
	for i := range p.owners {
		p.owners[i] = i % s.upstreams
		sum += 0.5 + 0.5*e.rng.ExpFloat64()
		p.cumulativeWeights = append(p.cumulativeWeights, sum)
	}
	copy(p.queueOwners, p.owners)
	end := presetStart + presetDuration
	base := ordinaryLoad * s.capacity()
	p.scheduleArrivals(func(at time.Duration) float64 { return base * x.rate(at) }, 2*base, end)
	p.schedulePlans(end)
	if x.domainOut {
		e.after(domainOutAt, func() { p.takeOut(p.domains[0]) })
		e.after(domainBackAt, func() { p.bringBack(p.domains[0]) })
	}
	e.run(end + 20*time.Second)
	return p
}

// scheduleArrivals offers requests as a Poisson process of varying rate, by
// thinning one of the highest rate.
func (p *presetRun) scheduleArrivals(rate func(time.Duration) float64, highest float64, end time.Duration) {
	p.e.every(highest, end, func() {
		if p.e.rng.Float64()*highest < rate(p.e.now) {
			p.offer(p.e.now, p.e.lognormal(p.spec.mean, p.spec.sigma), 1)
		}
	})
}

// offer sends one attempt of a request for a random range.
func (p *presetRun) offer(arrived, serviceTime time.Duration, attempt int) {
	rangeIndex := sort.SearchFloat64s(p.cumulativeWeights, p.e.rng.Float64()*p.cumulativeWeights[p.ranges-1])
	p.offerTo(rangeIndex, fmt.Sprint("caller", p.e.rng.IntN(50)), arrived, serviceTime, attempt)
}

func (p *presetRun) offerTo(rangeIndex int, caller string, arrived, serviceTime time.Duration, attempt int) {
	deadline := arrived + time.Duration(p.preset.DefaultTimeout)
	counts := arrived >= presetStart
	if attempt == 1 {
		p.retries.Request()
		if counts {
			p.offered++
		}
	}
	p.arrive(call{
		key: fmt.Sprintf("key%d-%d", rangeIndex, p.e.rng.IntN(5)), rangeIndex: rangeIndex, owner: p.queueOwners[rangeIndex], caller: caller, timeout: deadline - p.e.now, serviceTime: serviceTime,
		onEnd: func(_ call, r result) {
			kind := api.DeadlineUnmeetable // the request expired in the queue
			if r.refusal != nil {
				kind = r.refusal.Kind
			}
			switch {
			case r.outcome == api.Answered:
				if counts && p.e.now <= arrived+p.callerWait {
					p.inTime++
				}
				return
			case r.broken:
				kind = api.UpstreamFailed
			case kind == api.Shed:
				delay, again, _ := p.retries.Decide(p.e.now, retry.Attempt{
					Outcome: r.outcome, Kind: kind, Idempotent: true, Number: attempt, Remaining: deadline - p.e.now,
				}, p.e.rng)
				if again {
					p.e.after(delay, func() { p.offerTo(rangeIndex, caller, arrived, serviceTime, attempt+1) })
					return
				}
			}
			if counts {
				p.refusals[kind]++
			}
		},
	})
}

// takeOut takes a failure domain out: its upstreams finish their running
// requests, and their ranges move.
func (p *presetRun) takeOut(domain api.FailureDomain) {
	p.closed = map[api.UpstreamID]bool{}
	for i, d := range p.domains {
		p.closed[p.ups[i].id] = d == domain
	}
	p.setLimits()
	p.plan()
}

// bringBack puts a failure domain back in, with upstreams that have restarted.
func (p *presetRun) bringBack(domain api.FailureDomain) {
	for i, d := range p.domains {
		if d != domain {
			continue
		}
		u := p.ups[i]
		p.closed[u.id] = false
		u.makeCold(coldStart{warmAfter: 100, slowdown: 3, singleSlot: true})
		p.ramps[u.id] = ramp.New(ramp.Config{NormalLatency: p.spec.mean + rtt, Step: p.preset.RampStep, InitialLimit: p.preset.ColdStart}, true)
	}
	p.setLimits()
}

func (p *presetRun) schedulePlans(end time.Duration) {
	p.e.after(planInterval, func() {
		if p.e.now < end {
			p.plan()
			p.schedulePlans(end)
		}
	})
}

// plan starts moves as the holder does, with the expected loads of the ranges.
func (p *presetRun) plan() {
	in := placement.Input{Owners: map[int]api.UpstreamID{}, Load: map[int]float64{}}
	total := p.cumulativeWeights[p.ranges-1]
	before := 0.0
	for i, w := range p.cumulativeWeights {
		in.Owners[i] = p.ups[p.owners[i]].id
		in.Load[i] = w - before
		before = w
	}
	index := map[api.UpstreamID]int{}
	for i, u := range p.ups {
		index[u.id] = i
		up := placement.Upstream{ID: u.id, Domain: p.domains[i], State: placement.Active, Capacity: 2 * total / float64(len(p.ups))}
		if r := p.ramps[u.id]; r.Cold() {
			up.State = placement.Cold
			up.Capacity *= float64(r.Limit(p.e.now, p.spec.slots)) / float64(p.spec.slots)
		}
		if p.closed[u.id] {
			up.State = placement.Out
		}
		in.Upstreams = append(in.Upstreams, up)
	}
	for _, m := range p.planner.Plan(p.e.now, in, placement.Policy{
		RebalanceAbove: p.preset.RebalanceAbove, RebalanceAfter: time.Duration(p.preset.RebalanceAfter), MovesPerSecond: p.preset.MovesPerSecond,
	}) {
		if m.Forced {
			p.forcedMoves++
		} else {
			p.balancingMoves++
		}
		p.owners[m.Range] = index[m.To]
		p.queue.HoldRange(m.Range)
		p.move(m.Range, index[m.To])
	}
}

// move gives a range to its new owner once its runs have ended.
func (p *presetRun) move(rangeIndex, to int) {
	p.e.after(moveTime, func() {
		switch {
		case p.owners[rangeIndex] != to: // replaced by a later plan
		case p.queue.RangeInFlight(rangeIndex) > 0:
			p.move(rangeIndex, to)
		default:
			p.queueOwners[rangeIndex] = to
			p.queue.ReleaseRange(rangeIndex, p.ups[to].id)
			p.startQueued()
		}
	})
}

func (p *presetRun) inTimeShare() float64 { return float64(p.inTime) / float64(p.offered) }

// runPresets runs a situation under each preset of the document. All callers
// wait for the default timeout of the intended preset.
func runPresets(seed uint64, doc *config.Document, mean time.Duration, x situation) []*presetRun {
	service := keyedService(doc)
	service.Upstreams = service.Upstreams[:min(presetUpstreams, len(service.Upstreams))]
	intended, _ := doc.Preset(x.intendedPreset)
	runs := make([]*presetRun, len(doc.Presets))
	var group sync.WaitGroup
	for i, preset := range doc.Presets {
		group.Go(func() { runs[i] = runPreset(seed, service, preset, time.Duration(intended.DefaultTimeout), mean, x) })
	}
	group.Wait()
	return runs
}

// keyedService returns the first keyed service.
func keyedService(doc *config.Document) config.Service {
	for _, s := range doc.Services {
		if s.Keyed {
			return s
		}
	}
	return config.Service{}
}

// Presets measures, for the keyed service of an example, the share of requests
// answered in time in each situation under each preset, and the shares refused,
// by kind.
func Presets(example string, doc *config.Document, seed uint64) []metric.Metric {
	parts := make([][]metric.Metric, len(presetServiceTimes)*len(situations))
	var group sync.WaitGroup
	for i, mean := range presetServiceTimes {
		for j, x := range situations {
			group.Go(func() { parts[i*len(situations)+j] = presetMetrics(example, doc, seed, mean, x) })
		}
	}
	group.Wait()
	return slices.Concat(parts...)
}

func presetMetrics(example string, doc *config.Document, seed uint64, mean time.Duration, x situation) []metric.Metric {
	var out []metric.Metric
	for i, run := range runPresets(seed, doc, mean, x) {
		name := fmt.Sprintf("%s.%s.%s.%v", example, x.name, doc.Presets[i].Name, mean)
		out = append(out, metric.Metric{
			Name: "preset_goodput." + name, Value: run.inTimeShare(), Unit: "share", Seed: seed,
			Note: fmt.Sprintf("virtual time; %d requests, answered within %v; %d forced and %d other moves",
				run.offered, run.callerWait, run.forcedMoves, run.balancingMoves),
		})
		for _, kind := range run.refusalKinds() {
			out = append(out, metric.Metric{
				Name: "preset_refused." + name + "." + string(kind), Value: float64(run.refusals[kind]) / float64(run.offered), Unit: "share", Seed: seed,
			})
		}
	}
	return out
}

// refusalKinds lists the kinds of refusal that occurred.
func (p *presetRun) refusalKinds() []api.Kind {
	var kinds []api.Kind
	for kind := range p.refusals {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

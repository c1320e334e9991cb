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
	// ordinaryLoad is the ordinary rate over the capacity of all upstreams. A
	// peak of twice that exceeds the capacity.
	ordinaryLoad = 0.6
	presetSigma  = 0.5
	planEvery    = 200 * time.Millisecond
	// moveTime is how long a planned move takes after the runs of the range have
	// ended: a few round trips to both upstreams and to a witness.
	moveTime = 10 * time.Millisecond
	// presetUpstreams is fewer than the examples have, which keeps the runs short.
	presetUpstreams = 12
	// The presets are compared from presetStart on.
	presetStart  = 2 * time.Second
	presetLength = 16 * time.Second
	domainOutAt  = 3 * time.Second
	domainBackAt = 7 * time.Second
)

// presetMeans are mean service times: one for which the round trip to the
// upstream counts, and one for which the queues and deadlines do. The
// deployments do not state theirs.
var presetMeans = []time.Duration{10 * time.Millisecond, 100 * time.Millisecond}

// situation is what a preset is meant for.
type situation struct {
	name, meant string
	// rate is the offered rate at a time, as a multiple of the ordinary one.
	rate      func(time.Duration) float64
	domainOut bool
}

var situations = []situation{
	{"ordinary_load", "ordinary", func(time.Duration) float64 { return 1 }, false},
	{"peak_load", "peak", func(at time.Duration) float64 {
		// A rise to twice the ordinary rate, some time there, and the way back.
		return 1 + math.Max(0, math.Min(1, 2-math.Abs((at-presetStart-presetLength/2).Seconds())/3))
	}, false},
	{"domain_out_and_back", "maintenance", func(time.Duration) float64 { return 1 }, true},
}

// presetRun is one shard of a keyed service under one preset.
type presetRun struct {
	*shard
	preset  config.Preset
	ranges  int
	owners  []int // by range: the index of the upstream, or of the destination of its move
	settled []int // by range: the owner that requests are queued for
	weights []float64
	domains []api.FailureDomain
	planner placement.Planner
	retries *retry.Budget

	patience          time.Duration
	offered, inTime   int
	refusals          map[api.Kind]int
	forced, balancing int
}

// runPreset offers a load to the service under a preset. Callers wait for
// patience, whatever the preset; those who state no deadline get the preset's.
func runPreset(seed uint64, service config.Service, preset config.Preset, patience, mean time.Duration, x situation) *presetRun {
	e := newEngine(seed)
	s := shape{upstreams: len(service.Upstreams), slots: service.Slots, slotFactor: preset.SlotFactor, mean: mean, sigma: presetSigma, keyed: true}
	p := &presetRun{
		shard: newShard(e, s, dispatch.Config{QueueLength: preset.QueueLength}), preset: preset, ranges: service.Ranges,
		owners: make([]int, service.Ranges), settled: make([]int, service.Ranges),
		retries:  retry.NewBudget(retry.Config{Layer: retry.Holder, Share: preset.RetryBudget, Burst: 10, MaxAttempts: 3, BaseDelay: 5 * time.Millisecond, MaxDelay: 200 * time.Millisecond, MinRun: time.Millisecond}),
		patience: patience, refusals: map[api.Kind]int{},
	}
	for _, u := range service.Upstreams {
		p.domains = append(p.domains, u.FailureDomain)
	}
	sum := 0.0
	for i := range p.owners {
		p.owners[i] = i % s.upstreams
		sum += 0.5 + 0.5*e.rng.ExpFloat64()
		p.weights = append(p.weights, sum) // cumulative
	}
	copy(p.settled, p.owners)
	end := presetStart + presetLength
	base := ordinaryLoad * s.capacity()
	p.arrivals(func(at time.Duration) float64 { return base * x.rate(at) }, 2*base, end)
	p.everyPlan(end)
	if x.domainOut {
		e.after(domainOutAt, func() { p.takeOut(p.domains[0]) })
		e.after(domainBackAt, func() { p.bringBack(p.domains[0]) })
	}
	e.run(end + 20*time.Second)
	return p
}

// arrivals offers requests at a rate that changes, by thinning the highest rate.
func (p *presetRun) arrivals(rate func(time.Duration) float64, highest float64, end time.Duration) {
	p.e.every(highest, end, func() {
		if p.e.rng.Float64()*highest < rate(p.e.now) {
			p.offer(p.e.now, p.e.lognormal(p.shape.mean, p.shape.sigma), 1)
		}
	})
}

// offer sends one attempt of a request that arrived at some time.
func (p *presetRun) offer(arrived, service time.Duration, attempt int) {
	rng := sort.SearchFloat64s(p.weights, p.e.rng.Float64()*p.weights[p.ranges-1])
	p.offerTo(rng, fmt.Sprint("caller", p.e.rng.IntN(50)), arrived, service, attempt)
}

func (p *presetRun) offerTo(rng int, caller string, arrived, service time.Duration, attempt int) {
	deadline := arrived + time.Duration(p.preset.DefaultTimeout)
	counts := arrived >= presetStart
	if attempt == 1 {
		p.retries.Request()
		if counts {
			p.offered++
		}
	}
	p.arrive(call{
		key: fmt.Sprintf("key%d-%d", rng, p.e.rng.IntN(5)), rng: rng, owner: p.settled[rng], caller: caller, timeout: deadline - p.e.now, service: service,
		end: func(_ call, r result) {
			kind := api.DeadlineUnmeetable // what expired in the queue
			if r.refusal != nil {
				kind = r.refusal.Kind
			}
			switch {
			case r.outcome == api.Answered:
				if counts && p.e.now <= arrived+p.patience {
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
					p.e.after(delay, func() { p.offerTo(rng, caller, arrived, service, attempt+1) })
					return
				}
			}
			if counts {
				p.refusals[kind]++
			}
		},
	})
}

// takeOut takes a failure domain out: its upstreams finish what they run, and
// their ranges move.
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
		u.chill(coldness{warmAfter: 100, slow: 3, flat: true})
		p.ramps[u.id] = ramp.New(ramp.Config{NormalLatency: p.shape.mean + rtt, Step: p.preset.RampStep, InitialLimit: p.preset.ColdStart}, true)
	}
	p.setLimits()
}

func (p *presetRun) everyPlan(end time.Duration) {
	p.e.after(planEvery, func() {
		if p.e.now < end {
			p.plan()
			p.everyPlan(end)
		}
	})
}

// plan starts moves as the holder does. The load of a range is its expected one.
func (p *presetRun) plan() {
	in := placement.Input{Owners: map[int]api.UpstreamID{}, Load: map[int]float64{}}
	total := p.weights[p.ranges-1]
	before := 0.0
	for i, w := range p.weights {
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
			up.Capacity *= float64(r.Limit(p.e.now, p.shape.slots)) / float64(p.shape.slots)
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
			p.forced++
		} else {
			p.balancing++
		}
		p.owners[m.Range] = index[m.To]
		p.queue.HoldRange(m.Range)
		p.move(m.Range, index[m.To])
	}
}

// move gives a range to its new owner once its runs have ended.
func (p *presetRun) move(rng, to int) {
	p.e.after(moveTime, func() {
		switch {
		case p.owners[rng] != to: // planned again since
		case p.queue.RangeInFlight(rng) > 0:
			p.move(rng, to)
		default:
			p.settled[rng] = to
			p.queue.ReleaseRange(rng, p.ups[to].id)
			p.pump()
		}
	})
}

func (p *presetRun) share() float64 { return float64(p.inTime) / float64(p.offered) }

// runPresets runs a situation under each preset of the document. All callers
// wait as long as the preset that is meant for it allows by default.
func runPresets(seed uint64, doc *config.Document, mean time.Duration, x situation) []*presetRun {
	service := keyedService(doc)
	service.Upstreams = service.Upstreams[:min(presetUpstreams, len(service.Upstreams))]
	meant, _ := doc.Preset(x.meant)
	runs := make([]*presetRun, len(doc.Presets))
	var group sync.WaitGroup
	for i, preset := range doc.Presets {
		group.Go(func() { runs[i] = runPreset(seed, service, preset, time.Duration(meant.DefaultTimeout), mean, x) })
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

// Presets measures, for the keyed service of an example, the share of the
// offered load that is answered in time in each situation under each preset,
// and the shares that are refused by kind.
func Presets(example string, doc *config.Document, seed uint64) []metric.Metric {
	parts := make([][]metric.Metric, len(presetMeans)*len(situations))
	var group sync.WaitGroup
	for i, mean := range presetMeans {
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
			Name: "preset_goodput." + name, Value: run.share(), Unit: "share", Seed: seed,
			Note: fmt.Sprintf("virtual time; %d requests, answered within %v; %d forced and %d other moves",
				run.offered, run.patience, run.forced, run.balancing),
		})
		for _, kind := range run.kinds() {
			out = append(out, metric.Metric{
				Name: "preset_refused." + name + "." + string(kind), Value: float64(run.refusals[kind]) / float64(run.offered), Unit: "share", Seed: seed,
			})
		}
	}
	return out
}

// kinds lists the kinds of refusal that occurred.
func (p *presetRun) kinds() []api.Kind {
	var kinds []api.Kind
	for kind := range p.refusals {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

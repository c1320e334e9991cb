package hedge_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/admission"
	"dandelionhill.dev/core/eventqueue"
	"dandelionhill.dev/core/hedge"
	"dandelionhill.dev/core/selection"
)

const (
	simVMs, simUpstreams, simSlots = 8, 20, 2
	simQueue                       = 8 // requests that an upstream queues; it sheds further ones
	simWork                        = 100 * time.Millisecond
	simDeadline                    = 2 * time.Second
	simWarmUp, simRequests         = 2000, 6000
	simSeeds                       = 4
	noisePeriod                    = 400 * time.Millisecond
)

// simShare is the budget of hedges.
const simShare = 0.05

// simMode is how the VMs hedge.
type simMode string

const (
	never   simMode = "never"
	byRule  simMode = "rule"
	anyTime simMode = "no_limits" // without a budget and without regard to free slots
)

type simUpstream struct {
	slow             float64
	noisy            []bool // by noisePeriod
	running, waiting []*simRun
}

type simRun struct {
	request *simRequest
	on      int
	work    time.Duration
	sent    time.Duration
	started time.Duration
	ended   bool
}

type simRequest struct {
	vm      *simVM
	arrived time.Duration
	runs    []*simRun
	done    bool
}

// simVM is what one VM knows of the upstreams.
type simVM struct {
	policy *hedge.Policy
	known  [simUpstreams]struct {
		latency float64
		own     int
		state   admission.State
		at      time.Duration
	}
}

type simulation struct {
	mode      simMode
	rng       *rand.Rand
	now       time.Duration
	events    eventqueue.Queue
	upstreams [simUpstreams]*simUpstream
	vms       [simVMs]*simVM
	latencies []time.Duration
	requests  int
	hedges    int
	work      time.Duration // done for all runs
	wasted    time.Duration // done for runs that lost
}

func (s *simulation) at(at time.Duration, do func()) {
	s.events.Add(at, do)
}

// endOf returns when work that starts now ends: a noisy upstream works at a third of its speed.
func (s *simulation) endOf(u *simUpstream, work time.Duration) time.Duration {
	at, left := s.now, float64(work)*u.slow
	for {
		speed := 1.0
		period := int(at / noisePeriod)
		if u.noisy[period%len(u.noisy)] {
			speed = 1.0 / 3
		}
		rest := time.Duration(period+1)*noisePeriod - at
		if float64(rest)*speed >= left {
			return at + time.Duration(left/speed)
		}
		left -= float64(rest) * speed
		at += rest
	}
}

func (s *simulation) start(u *simUpstream) {
	for len(u.running) < simSlots && len(u.waiting) > 0 {
		run := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.running = append(u.running, run)
		run.started = s.now
		s.at(s.endOf(u, run.work), func() { s.end(run, true) })
	}
}

// end ends a run, which has a response or is cancelled.
func (s *simulation) end(run *simRun, response bool) {
	if run.ended {
		return
	}
	run.ended = true
	u, vm, q := s.upstreams[run.on], run.request.vm, run.request
	same := func(other *simRun) bool { return other == run }
	if slices.Contains(u.running, run) {
		s.work += s.now - run.started
		if !response {
			s.wasted += s.now - run.started
		}
	}
	u.running, u.waiting = slices.DeleteFunc(u.running, same), slices.DeleteFunc(u.waiting, same)
	s.start(u)
	k := &vm.known[run.on]
	k.own--
	first, took := q.runs[0] == run, s.now-run.sent
	if response {
		k.state = admission.State{Running: len(u.running), Waiting: len(u.waiting), Slots: simSlots}
		k.at = s.now
	}
	if response || first && took.Seconds() > k.latency {
		k.latency += 0.1 * (took.Seconds() - k.latency)
	}
	if first {
		vm.policy.Observe("route", took)
	}
	if response {
		s.finish(q, s.now-q.arrived)
		for _, other := range q.runs {
			s.end(other, false)
		}
	}
}

func (s *simulation) finish(q *simRequest, latency time.Duration) {
	if !q.done {
		q.done = true
		if s.requests > simWarmUp {
			s.latencies = append(s.latencies, min(latency, simDeadline))
		}
	}
}

// choose returns the upstream with the lowest expected latency, other than one, negative if there
// is none. spare demands a free slot, and capacity to spare.
func (s *simulation) choose(vm *simVM, other int, spare bool) int {
	var choice selection.Choice[int]
	var slots hedge.Spare
	for i := range s.upstreams {
		k, age := &vm.known[i], s.now-vm.known[i].at
		if free := slots.Add(k.state, age, k.own); i == other || spare && !free {
			continue
		}
		c := selection.Candidate{Latency: k.latency, Ahead: float64(k.own), Slots: simSlots}
		if age < hedge.FreshState {
			c.Ahead = max(c.Ahead, (1-age.Seconds()/hedge.FreshState.Seconds())*float64(k.state.Running+k.state.Waiting))
		}
		choice.Add(i, c)
	}
	if best, found := choice.Best(0); found && (!spare || slots.Enough()) {
		return best
	}
	return -1
}

// send reports whether the upstream did not shed the request.
func (s *simulation) send(q *simRequest, on int, work time.Duration) bool {
	u := s.upstreams[on]
	if len(u.waiting) >= simQueue {
		return false
	}
	run := &simRun{request: q, on: on, work: work, sent: s.now}
	q.runs = append(q.runs, run)
	q.vm.known[on].own++
	u.waiting = append(u.waiting, run)
	s.start(u)
	return true
}

func (s *simulation) arrive() {
	s.requests++
	vm := s.vms[s.rng.IntN(simVMs)]
	q := &simRequest{vm: vm, arrived: s.now}
	draw := func() time.Duration {
		return simWork/2 + time.Duration(s.rng.ExpFloat64()*float64(simWork)/2)
	}
	work, second := draw(), draw()
	on := s.choose(vm, -1, false)
	vm.policy.Count("service")
	if !s.send(q, on, work) {
		s.finish(q, simDeadline)
		return
	}
	if s.mode == never {
		return
	}
	after, skip := vm.policy.Plan(hedge.Request{Service: "service", Route: "route", Repeatable: true, MaxRuns: 2, Remaining: simDeadline})
	if skip != hedge.None {
		return
	}
	s.at(s.now+after, func() {
		if q.done {
			return
		}
		to := s.choose(vm, on, s.mode == byRule)
		if to < 0 || s.mode == byRule && !vm.policy.Take("service") || !s.send(q, to, second) {
			return
		}
		if s.requests > simWarmUp {
			s.hedges++
		}
	})
}

// simFigures are the results of some runs: quantiles, and as shares the number of hedges and the
// work of the runs that lost.
type simFigures struct {
	p50, p95, p99 time.Duration
	extra, wasted float64
}

func simulate(mode simMode, load float64, slow, noise bool, seed uint64) simFigures {
	s := &simulation{mode: mode, rng: rand.New(rand.NewPCG(seed, 1))}
	speed := 0.0
	for i := range s.upstreams {
		u := &simUpstream{slow: 1, noisy: make([]bool, 997)}
		share := 1.0
		if slow && i == 0 { // 5% of the upstreams
			u.slow, share = 5, 0.2
		}
		if noise {
			for p := range u.noisy {
				u.noisy[p] = s.rng.Float64() < 0.2
			}
			share *= 0.8 + 0.2/3
		}
		s.upstreams[i] = u
		speed += share
	}
	for i := range s.vms {
		s.vms[i] = &simVM{policy: hedge.NewPolicy(hedge.Config{Share: simShare})}
		for k := range s.vms[i].known {
			s.vms[i].known[k].latency, s.vms[i].known[k].at = simWork.Seconds(), -time.Hour
		}
	}
	rate := load * speed * simSlots / simWork.Seconds()
	at := time.Duration(0)
	for range simWarmUp + simRequests {
		at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
		s.at(at, s.arrive)
	}
	for s.events.Len() > 0 {
		var do func()
		s.now, do = s.events.Next()
		do()
	}
	slices.Sort(s.latencies)
	quantile := func(q float64) time.Duration { return s.latencies[int(q*float64(len(s.latencies)))] }
	return simFigures{
		quantile(0.5), quantile(0.95), quantile(0.99),
		float64(s.hedges) / simRequests, float64(s.wasted) / float64(s.work),
	}
}

// TestHedgingUnderLoad guards against hedges that help nobody or take the capacity of others. It
// plays loads of 0.3 to 1.1 of the capacity with 5% slow upstreams, with noise, and with neither,
// and logs the table of docs/design/hedging.md.
func TestHedgingUnderLoad(t *testing.T) {
	for name, kind := range map[string]struct{ slow, noise bool }{"even": {}, "slow": {slow: true}, "noise": {noise: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := map[simMode]map[float64]simFigures{never: {}, byRule: {}, anyTime: {}}
			for _, load := range []float64{0.3, 0.5, 0.7, 0.8, 0.9, 0.95, 1.0, 1.1} {
				row := fmt.Sprintf("| %s | %.2f", name, load)
				for _, mode := range []simMode{never, byRule, anyTime} {
					var f simFigures
					for seed := range uint64(simSeeds) {
						one := simulate(mode, load, kind.slow, kind.noise, seed)
						f.p50, f.p95, f.p99 = f.p50+one.p50/simSeeds, f.p95+one.p95/simSeeds, f.p99+one.p99/simSeeds
						f.extra, f.wasted = f.extra+one.extra/simSeeds, f.wasted+one.wasted/simSeeds
					}
					got[mode][load] = f
					row += fmt.Sprintf(" | %d / %d / %d | %.3f", f.p50.Milliseconds(), f.p95.Milliseconds(), f.p99.Milliseconds(), f.extra)
				}
				t.Log(row + " |")
				rule := got[byRule][load]
				require.LessOrEqual(t, rule.extra, simShare)
			}
			for _, load := range []float64{0.3, 0.5, 0.7} {
				require.Less(t, float64(got[byRule][load].p99), 0.98*float64(got[never][load].p99), "hedges help at %.1f", load)
			}
			const harm = 0.95
			require.Greater(t, float64(got[anyTime][harm].p50), 1.01*float64(got[never][harm].p50), "hedges without limits do harm")
			for _, load := range []float64{harm, 1.0, 1.1} {
				require.Greater(t, got[anyTime][load].extra, 0.04)
				require.Less(t, got[byRule][load].extra, 0.01, "the rule stops at %.2f", load)
			}
		})
	}
}

package authority

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionhill.dev/core/lease"
)

// TestMain fixes the seed of rapid unless a seed is given: for other
// interleavings run with -rapid.seed=N -rapid.checks=M.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// script is the configuration of a simulation with the faults to inject.
type script struct {
	seed                       uint64
	vms, members, ups, ranges  int
	lossPct, dupPct, slowPct10 int
	checks                     lease.Checks
	faults                     []fault
}

// fault is a fault to inject; a and b select its targets.
type fault struct {
	kind     string
	at, span time.Duration
	a, b     int
}

var faultKinds = []string{
	"pause", "restart", "gone", "isolate", "cut", "store-down", "store-lossy", "vm-upstream",
	"freeze", "upstream-restart", "handover", "replace", "pause", "restart", "isolate", "handover", "replace",
	"pause-holder", "restart-holder", "restart-all", "cut-then-restart", "cut-then-restart",
}

// faultPhase is the time during which faults start; afterwards the system must recover.
const faultPhase = 9 * time.Second

// drawScript draws a script from a source of numbers below n.
func drawScript(intN func(n int) int) script {
	s := script{seed: uint64(intN(1 << 30)), vms: 3 + intN(3), ups: 2 + intN(2), ranges: 1 + intN(3)}
	s.members = 3
	if s.vms == 5 && intN(3) == 0 {
		s.members = 5
	}
	s.lossPct, s.dupPct, s.slowPct10 = intN(4)*3, intN(4)*5, intN(4)*5
	s.checks = []lease.Checks{lease.ChecksFence, lease.ChecksFence, lease.ChecksDeadline}[intN(3)]
	for range 4 + intN(14) {
		s.faults = append(s.faults, fault{
			kind: faultKinds[intN(len(faultKinds))],
			at:   time.Duration(intN(int(faultPhase/time.Millisecond))) * time.Millisecond,
			span: time.Duration(20+intN(2500)) * time.Millisecond,
			a:    intN(64), b: intN(64),
		})
	}
	return s
}

// inject applies a fault and schedules its end.
func (sim *simulation) inject(f fault) {
	n, m := sim.nodes[f.a%len(sim.nodes)], sim.nodes[f.b%len(sim.nodes)]
	u := sim.ups[f.b%len(sim.ups)]
	if holder := sim.holder(); holder != nil && slices.Contains([]string{"pause-holder", "restart-holder"}, f.kind) {
		n = holder
	}
	switch f.kind {
	case "pause", "pause-holder":
		sim.pause(&n.process, f.span)
	case "freeze":
		sim.pause(&u.process, f.span)
	case "restart", "restart-holder":
		sim.restart(n, f.span)
	case "cut-then-restart":
		// The claims of one member fail while it is cut off from the holder, and
		// another, whose promise the holder's quorum needs, restarts quickly.
		holder := sim.holder()
		if holder == nil || n == holder || m == holder || n == m {
			return
		}
		sim.cutLink(string(holder.id), string(n.id), f.span+2*time.Second, 2)
		sim.after(1200*time.Millisecond+f.span/4, func() { sim.restart(m, 10*time.Millisecond) })
	case "restart-all":
		for _, each := range sim.nodes {
			sim.restart(each, f.span)
		}
	case "gone":
		sim.remove(n)
	case "isolate":
		for _, other := range sim.nodes {
			sim.cutLink(string(n.id), string(other.id), f.span, f.a%3)
		}
		if f.b%2 == 0 {
			sim.cutLink(string(n.id), "store", f.span, 0)
		}
	case "cut":
		sim.cutLink(string(n.id), string(m.id), f.span, f.a%3)
	case "vm-upstream":
		sim.cutLink(string(n.id), string(u.id), f.span, f.a%3)
	case "store-down":
		sim.store.down++
		sim.after(f.span, func() { sim.store.down-- })
	case "store-lossy":
		sim.store.lossy++
		sim.after(f.span, func() { sim.store.lossy-- })
	case "upstream-restart":
		if u.up {
			u.stop()
			sim.after(f.span/8, u.start)
		}
	case "handover":
		if holder := sim.holder(); holder != nil && holder.paused == 0 {
			holder.handOver(m)
		}
	case "replace":
		if holder := sim.holder(); holder != nil && holder.paused == 0 {
			holder.act(holder.m.Replace(holder.clock(), n.id, m.id))
		}
	}
}

func (sim *simulation) pause(p *process, span time.Duration) {
	run := p.run
	p.paused++
	sim.after(span, func() {
		if p.run == run {
			p.resume()
		} else {
			p.paused--
		}
	})
}

func (sim *simulation) restart(n *node, down time.Duration) {
	if !n.up || n.gone {
		return
	}
	n.stop()
	sim.after(down, func() {
		if !n.gone {
			n.start(false)
		}
	})
}

// remove stops a VM for good. The list then reports it as gone to the other VMs
// every 400 ms, and they try to replace it.
func (sim *simulation) remove(n *node) {
	for _, other := range sim.nodes {
		if other.gone {
			return // at most one: with two members gone no majority may be left
		}
	}
	n.gone = true
	n.stop()
	var report func()
	report = func() {
		for _, other := range sim.nodes {
			other.do(func() {
				other.m.MarkGone(other.clock(), n.id)
				for _, spare := range sim.nodes {
					if !spare.gone && sim.chanceReplace() {
						other.act(other.m.Replace(other.clock(), n.id, spare.id))
					}
				}
			})
		}
		sim.after(400*time.Millisecond, report)
	}
	sim.after(time.Duration(sim.random.Int64N(int64(time.Second))), report)
}

func (sim *simulation) chanceReplace() bool { return sim.random.IntN(2) == 0 }

// cutLink blocks messages between two processes in one direction or both.
func (sim *simulation) cutLink(a, b string, span time.Duration, direction int) {
	links := [][2]string{{a, b}, {b, a}}
	if direction < 2 {
		links = links[direction : direction+1]
	}
	for _, link := range links {
		sim.cut[link]++
		sim.after(span, func() { sim.cut[link]-- })
	}
}

// runScript simulates a script and returns the simulation.
func runScript(s script, broken variant) *simulation {
	if broken.checks == "" {
		broken.checks = s.checks
	}
	sim := newSimulation(s.seed, s.vms, s.members, s.ups, s.ranges, broken)
	sim.loss, sim.dup, sim.slow = float64(s.lossPct)/100, float64(s.dupPct)/100, float64(s.slowPct10)/1000
	for _, f := range s.faults {
		sim.after(f.at, func() { sim.inject(f) })
	}
	sim.run(faultPhase)
	return sim
}

// checkRecovery continues the simulation without new faults and reports what does not recover.
func (sim *simulation) checkRecovery() error {
	sim.faultsOff = true
	sim.run(sim.now + 12*time.Second)
	if sim.holder() == nil {
		return fmt.Errorf("no holder %v after the last fault; row %+v", 12*time.Second, sim.store.rec)
	}
	for rangeIndex := range sim.ranges {
		if since := sim.now - sim.lastRun[rangeIndex]; since > time.Second {
			return fmt.Errorf("range %d has not run for %v", rangeIndex, since)
		}
	}
	return nil
}

// verify simulates a script and returns every violation.
func verify(s script) (sim *simulation, violations []string) {
	sim = runScript(s, variant{})
	if err := sim.checkRecovery(); err != nil {
		violations = append(violations, err.Error())
	}
	violations = append(violations, sim.violations...)
	if s.checks == lease.ChecksFence {
		for _, rangeIndex := range sim.hist.check() {
			violations = append(violations, fmt.Sprintf("the history of range %d is not linearizable", rangeIndex))
		}
	}
	return sim, violations
}

// TestDrawnInterleavings draws the faults with rapid, so that a failure is shrunk.
func TestDrawnInterleavings(t *testing.T) {
	t.Parallel()
	var scripts, gains, runs int
	rapid.Check(t, func(t *rapid.T) {
		s := drawScript(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, strconv.Itoa(n)) })
		sim, violations := verify(s)
		if len(violations) > 0 {
			t.Fatalf("%v\n%+v", violations, s)
		}
		scripts, gains, runs = scripts+1, gains+sim.gains, runs+sim.runs
	})
	t.Logf("%d scripts, %d gains of authority, %d runs", scripts, gains, runs)
}

var (
	firstSeed = flag.Uint64("sim.seed", 1, "first seed of TestSeededInterleavings")
	seeds     = flag.Uint64("sim.seeds", 100, "number of seeds of TestSeededInterleavings")
)

// TestSeededInterleavings draws faults uniformly, whereas rapid prefers small values.
func TestSeededInterleavings(t *testing.T) {
	t.Parallel()
	var gains, runs int
	kinds := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		s := drawScript(randomSource(seed))
		sim, violations := verify(s)
		if len(violations) > 0 {
			t.Errorf("seed %d: %v\n%+v", seed, violations, s)
		}
		gains, runs = gains+sim.gains, runs+sim.runs
		for _, f := range s.faults {
			kinds[f.kind]++
		}
	}
	t.Logf("%d scripts, %d gains of authority, %d runs, faults %v", *seeds, gains, runs, kinds)
}

// randomSource returns numbers for drawScript from a seed.
func randomSource(seed uint64) func(n int) int {
	random := rand.New(rand.NewPCG(seed, 2))
	return random.IntN
}

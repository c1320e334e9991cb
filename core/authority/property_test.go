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

// script is a run of the world with faults.
type script struct {
	seed                       uint64
	vms, members, ups, ranges  int
	lossPct, dupPct, slowPct10 int
	checks                     lease.Checks
	faults                     []fault
}

// fault is one fault. Its meaning depends on kind; a and b choose its targets.
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

// faulty is how long faults go on; afterwards the system must recover.
const faulty = 9 * time.Second

// drawScript makes a script with a source of numbers below n.
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
			at:   time.Duration(intN(int(faulty/time.Millisecond))) * time.Millisecond,
			span: time.Duration(20+intN(2500)) * time.Millisecond,
			a:    intN(64), b: intN(64),
		})
	}
	return s
}

// inject applies a fault and schedules its end.
func (w *world) inject(f fault) {
	n, m := w.nodes[f.a%len(w.nodes)], w.nodes[f.b%len(w.nodes)]
	u := w.ups[f.b%len(w.ups)]
	if holder := w.holder(); holder != nil && slices.Contains([]string{"pause-holder", "restart-holder"}, f.kind) {
		n = holder
	}
	switch f.kind {
	case "pause", "pause-holder":
		w.pause(&n.process, f.span)
	case "freeze":
		w.pause(&u.process, f.span)
	case "restart", "restart-holder":
		w.restart(n, f.span)
	case "cut-then-restart":
		// One member claims in vain while cut off from the holder, and another,
		// whose promise keeps the holder in power, restarts quickly.
		holder := w.holder()
		if holder == nil || n == holder || m == holder || n == m {
			return
		}
		w.sever(string(holder.id), string(n.id), f.span+2*time.Second, 2)
		w.after(1200*time.Millisecond+f.span/4, func() { w.restart(m, 10*time.Millisecond) })
	case "restart-all":
		for _, each := range w.nodes {
			w.restart(each, f.span)
		}
	case "gone":
		w.remove(n)
	case "isolate":
		for _, other := range w.nodes {
			w.sever(string(n.id), string(other.id), f.span, f.a%3)
		}
		if f.b%2 == 0 {
			w.sever(string(n.id), "store", f.span, 0)
		}
	case "cut":
		w.sever(string(n.id), string(m.id), f.span, f.a%3)
	case "vm-upstream":
		w.sever(string(n.id), string(u.id), f.span, f.a%3)
	case "store-down":
		w.store.down++
		w.after(f.span, func() { w.store.down-- })
	case "store-lossy":
		w.store.lossy++
		w.after(f.span, func() { w.store.lossy-- })
	case "upstream-restart":
		if u.up {
			u.stop()
			w.after(f.span/8, u.start)
		}
	case "handover":
		if holder := w.holder(); holder != nil && holder.paused == 0 {
			holder.handOver(m)
		}
	case "replace":
		if holder := w.holder(); holder != nil && holder.paused == 0 {
			holder.act(holder.m.Replace(holder.clock(), n.id, m.id))
		}
	}
}

func (w *world) pause(p *process, span time.Duration) {
	run := p.run
	p.paused++
	w.after(span, func() {
		if p.run == run {
			p.resume()
		} else {
			p.paused--
		}
	})
}

func (w *world) restart(n *node, down time.Duration) {
	if !n.up || n.gone {
		return
	}
	n.stop()
	w.after(down, func() {
		if !n.gone {
			n.start(false)
		}
	})
}

// remove ends a VM for good. The list reports it later to each other VM, again
// and again, as the daemon does, and the VMs replace it.
func (w *world) remove(n *node) {
	for _, other := range w.nodes {
		if other.gone {
			return // one at a time: with two members gone no majority may be left
		}
	}
	n.gone = true
	n.stop()
	var report func()
	report = func() {
		for _, other := range w.nodes {
			other.do(func() {
				other.m.MarkGone(other.clock(), n.id)
				for _, spare := range w.nodes {
					if !spare.gone && w.chanceReplace() {
						other.act(other.m.Replace(other.clock(), n.id, spare.id))
					}
				}
			})
		}
		w.after(400*time.Millisecond, report)
	}
	w.after(time.Duration(w.rng.Int64N(int64(time.Second))), report)
}

func (w *world) chanceReplace() bool { return w.rng.IntN(2) == 0 }

// sever cuts the connection in one direction or both.
func (w *world) sever(a, b string, span time.Duration, direction int) {
	ends := [][2]string{{a, b}, {b, a}}
	if direction < 2 {
		ends = ends[direction : direction+1]
	}
	for _, end := range ends {
		w.cut[end]++
		w.after(span, func() { w.cut[end]-- })
	}
}

// play runs a script and returns the world.
func play(s script, broken variant) *world {
	if broken.checks == "" {
		broken.checks = s.checks
	}
	w := newWorld(s.seed, s.vms, s.members, s.ups, s.ranges, broken)
	w.loss, w.dup, w.slow = float64(s.lossPct)/100, float64(s.dupPct)/100, float64(s.slowPct10)/1000
	for _, f := range s.faults {
		w.after(f.at, func() { w.inject(f) })
	}
	w.run(faulty)
	return w
}

// recovered lets the world run without new faults and reports what does not work afterwards.
func (w *world) recovered() error {
	w.quiet = true
	w.run(w.now + 12*time.Second)
	if w.holder() == nil {
		return fmt.Errorf("no holder %v after the last fault; row %+v", 12*time.Second, w.store.rec)
	}
	for rng := range w.ranges {
		if since := w.now - w.lastRun[rng]; since > time.Second {
			return fmt.Errorf("range %d has not run for %v", rng, since)
		}
	}
	return nil
}

// verify plays a script and returns everything that is wrong with it.
func verify(s script) (w *world, wrong []string) {
	w = play(s, variant{})
	if err := w.recovered(); err != nil {
		wrong = append(wrong, err.Error())
	}
	wrong = append(wrong, w.problems...)
	if s.checks == lease.ChecksFence {
		for _, rng := range w.hist.check() {
			wrong = append(wrong, fmt.Sprintf("the history of range %d has no explanation", rng))
		}
	}
	return w, wrong
}

// TestDrawnInterleavings lets rapid choose the faults, so that a failure shrinks.
func TestDrawnInterleavings(t *testing.T) {
	t.Parallel()
	var scripts, gains, runs int
	rapid.Check(t, func(t *rapid.T) {
		s := drawScript(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, strconv.Itoa(n)) })
		w, wrong := verify(s)
		if len(wrong) > 0 {
			t.Fatalf("%v\n%+v", wrong, s)
		}
		scripts, gains, runs = scripts+1, gains+w.gains, runs+w.runs
	})
	t.Logf("%d scripts, %d gains of authority, %d runs", scripts, gains, runs)
}

var (
	firstSeed = flag.Uint64("sim.seed", 1, "first seed of TestSeededInterleavings")
	seeds     = flag.Uint64("sim.seeds", 100, "number of seeds of TestSeededInterleavings")
)

// TestSeededInterleavings draws faults evenly, which rapid does not: it prefers small values.
func TestSeededInterleavings(t *testing.T) {
	t.Parallel()
	var gains, runs int
	kinds := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		s := drawScript(source(seed))
		w, wrong := verify(s)
		if len(wrong) > 0 {
			t.Errorf("seed %d: %v\n%+v", seed, wrong, s)
		}
		gains, runs = gains+w.gains, runs+w.runs
		for _, f := range s.faults {
			kinds[f.kind]++
		}
	}
	t.Logf("%d scripts, %d gains of authority, %d runs, faults %v", *seeds, gains, runs, kinds)
}

// source returns numbers for drawScript from a seed.
func source(seed uint64) func(n int) int {
	rng := rand.New(rand.NewPCG(seed, 2))
	return rng.IntN
}

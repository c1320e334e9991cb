package authority

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/lease"
)

// variant breaks a rule on purpose, so that a test can show that the checks notice.
type variant struct {
	leaseFromAck   bool // authority counted from the arrival of the ack
	noQuorum       bool // authority without answers of others
	noAbstention   bool // a restarted member supports others at once
	forgetsBallots bool // a restarted member claims to remember all ballots
	goneVotes      bool // a VM that is gone counts in every quorum
	releaseToAll   bool // a release lets every member claim at once
	checks         lease.Checks
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// world runs machines, lease tables and guards in virtual time. now is true
// time, which no process sees.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	events   eventHeap
	seq      int
	nodes    []*node
	ups      []*upstream
	ranges   int
	broken   variant
	cut      map[[2]string]int // one-way cuts in force, by names of both ends
	loss     float64
	dup      float64
	slow     float64 // share of messages that are delayed by up to 3 s
	quiet    bool    // no faults: used to see whether the system recovers
	store    store
	hist     history
	fence    api.Fence
	gains    int
	runs     int
	lastRun  map[int]time.Duration // by range
	problems []string
}

// store is the row of the shard.
type store struct {
	rec     Record
	version uint64
	down    int
	lossy   int
}

func newWorld(seed uint64, vms, members, ups, ranges int, broken variant) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), ranges: ranges, broken: broken,
		cut: map[[2]string]int{}, lastRun: map[int]time.Duration{},
	}
	if w.broken.checks == "" {
		w.broken.checks = lease.ChecksFence
	}
	for i := range ups {
		w.ups = append(w.ups, newUpstream(w, i))
	}
	var ids []api.VMID
	for i := range vms {
		ids = append(ids, api.VMID(fmt.Sprint("vm", i)))
	}
	w.store = store{rec: Record{Shard: shard, Version: 1, Members: ids[:members], WriteID: "first"}, version: 1}
	for _, id := range ids {
		w.nodes = append(w.nodes, &node{w: w, id: id, rate: w.rate()})
	}
	for i, n := range w.nodes {
		n.start(i == 0)
	}
	return w
}

// rate returns a clock rate such that any two clocks differ by less than 1%.
func (w *world) rate() float64 { return 1 + (w.rng.Float64()-0.5)*0.0098 }

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, fn})
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.problems) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
		w.checkHolders()
	}
	w.now = max(w.now, until)
}

// checkHolders looks for two holders. Authority begins with an event only, so
// looking after every event finds every overlap. A paused process counts.
func (w *world) checkHolders() {
	var holder *node
	for _, n := range w.nodes {
		if n.m == nil {
			continue
		}
		if _, _, ok := n.m.Authority(n.clock()); ok {
			if holder != nil {
				w.problem("two holders: %s and %s", holder.id, n.id)
			}
			holder = n
		}
	}
}

func (w *world) holder() *node {
	for _, n := range w.nodes {
		if n.m != nil {
			if _, _, ok := n.m.Authority(n.clock()); ok {
				return n
			}
		}
	}
	return nil
}

func (w *world) chance(p float64) bool { return !w.quiet && w.rng.Float64() < p }

func (w *world) delay() time.Duration {
	d := 300*time.Microsecond + time.Duration(w.rng.Int64N(int64(1500*time.Microsecond)))
	if w.chance(w.slow) {
		d += time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	}
	return d
}

// send carries a message. Streams lose what they carry but never repeat it.
func (w *world) send(from, to string, stream bool, deliver func()) {
	if w.cut[[2]string{from, to}] > 0 || w.chance(w.loss) {
		return
	}
	w.after(w.delay(), deliver)
	if !stream && w.chance(w.dup) {
		w.after(w.delay()+time.Duration(w.rng.Int64N(int64(4*time.Second))), deliver)
	}
}

// process is something that can stop, pause and resume.
type process struct {
	up      bool
	paused  int
	run     int // counts starts
	backlog []func()
}

// do runs fn in the process: now, after a pause, or never.
func (p *process) do(fn func()) {
	switch {
	case !p.up:
	case p.paused > 0:
		p.backlog = append(p.backlog, fn)
	default:
		fn()
	}
}

func (p *process) resume() {
	p.paused--
	for p.paused == 0 && len(p.backlog) > 0 {
		fn := p.backlog[0]
		p.backlog = p.backlog[1:]
		p.do(fn)
	}
}

// node is an entry VM.
type node struct {
	process
	w     *world
	id    api.VMID
	rate  float64
	boot  time.Duration
	gone  bool
	m     *Machine
	h     *holding
	given *handover // leases announced by a holder that wants this VM to follow
	sent  int       // number of the last handover of this process
}

func (n *node) clock() time.Duration { return time.Duration(float64(n.w.now-n.boot) * n.rate) }

func (n *node) start(created bool) {
	n.up, n.run, n.boot, n.backlog = true, n.run+1, n.w.now, nil
	n.h, n.given = nil, nil
	cfg := DefaultConfig()
	cfg.Incarnation = api.Incarnation(fmt.Sprint(n.id, "/", n.run))
	n.m = New(n.id, shard, cfg)
	if created {
		n.act(n.m.Learn(0, n.w.store.rec, n.w.store.version, true))
	}
	n.ticks(n.run)
}

func (n *node) stop() { n.up, n.m, n.h, n.backlog = false, nil, nil, nil }

func (n *node) ticks(run int) {
	if n.run != run || !n.up {
		return
	}
	n.do(func() {
		if n.run == run {
			n.act(n.m.Tick(n.clock()))
			n.control()
		}
	})
	n.w.after(5*time.Millisecond+time.Duration(n.w.rng.Int64N(int64(2*time.Millisecond))), func() { n.ticks(run) })
}

func (n *node) act(actions []Action) {
	w := n.w
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			n.send(a)
		case WriteRecord:
			n.write(a)
		case ReadRecord:
			n.read()
		case Gained:
			if a.Fence <= w.fence {
				w.problem("%s gained fence %v after %v", n.id, a.Fence, w.fence)
			}
			w.fence = max(w.fence, a.Fence)
			w.gains++
			n.h = newHolding(n, a.Fence)
		case Lost:
			n.h = nil
		}
	}
	if n.w.broken.noAbstention {
		n.m.abstainUntil = 0
	}
	if n.w.broken.forgetsBallots {
		n.m.remembers = true
	}
}

func (n *node) send(a Send) {
	w := n.w
	msg := a.Message
	if w.broken.releaseToAll && msg.Type == Release {
		msg.Successor = ""
	}
	w.send(string(n.id), string(a.To), false, func() {
		to := w.node(a.To)
		to.do(func() {
			if w.broken.leaseFromAck && to.m.term != nil {
				for _, r := range to.m.term.rounds {
					r.sentAt = to.clock()
				}
			}
			to.act(to.m.Receive(to.clock(), n.id, msg))
		})
	})
	forged := w.broken.noQuorum || w.broken.goneVotes && w.node(a.To).gone
	if forged && (msg.Type == Claim || msg.Type == Renew) {
		run := n.run
		w.after(0, func() {
			n.do(func() {
				if n.run == run {
					ack := msg
					ack.Type, ack.OK, ack.Member = ClaimAck, true, ""
					n.act(n.m.Receive(n.clock(), a.To, ack))
				}
			})
		})
	}
}

func (w *world) node(id api.VMID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// call runs op at the store and answer back in the process that called, with
// ok false if no answer came in time. op may run after that.
func (n *node) call(op func(), answer func(ok bool)) {
	w, run, done := n.w, n.run, false
	back := func(ok bool) {
		n.do(func() {
			if n.run == run && !done {
				done = true
				answer(ok)
			}
		})
	}
	w.after(2*time.Second, func() { back(false) })
	w.send(string(n.id), "store", false, func() {
		if w.store.down > 0 {
			return
		}
		op()
		if w.store.lossy > 0 && w.rng.Float64() < 0.5 {
			return
		}
		w.send("store", string(n.id), true, func() { back(true) })
	})
}

func (n *node) write(a WriteRecord) {
	w := n.w
	result, version := WriteUnknown, uint64(0)
	n.call(func() {
		if result != WriteUnknown {
			return // a repeated request: its answer is not the one waited for
		}
		result = WriteConflict
		if w.store.version == a.BaseVersion {
			w.store.rec, w.store.version, result = a.Record, a.BaseVersion+1, WriteOK
		}
		version = w.store.version
	}, func(ok bool) {
		if !ok {
			n.act(n.m.HandleWriteResult(n.clock(), a.Record, 0, WriteUnknown))
			return
		}
		n.act(n.m.HandleWriteResult(n.clock(), a.Record, version, result))
	})
}

func (n *node) read() {
	var rec Record
	var version uint64
	n.call(func() { rec, version = n.w.store.rec, n.w.store.version }, func(ok bool) {
		if ok {
			n.act(n.m.Learn(n.clock(), rec, version, false))
		}
	})
}

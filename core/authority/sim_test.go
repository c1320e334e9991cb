package authority

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/eventqueue"
	"dandelionhill.dev/core/lease"
)

// variant breaks rules on purpose, so that a test can show that the checks detect it.
type variant struct {
	leaseFromAck       bool // authority counts from the arrival of the ack
	noQuorum           bool // authority without the replies of other members
	noAbstention       bool // a restarted member makes promises at once
	lostBallotsIgnored bool // a restarted member claims to know all ballots
	goneVotes          bool // a gone VM counts in every quorum
	releaseToAll       bool // a release lets every member claim at once
	checks             lease.Checks
}

// simulation runs machines, lease tables and guards in virtual time by discrete
// events. now is true time, which no process can read.
type simulation struct {
	random     *rand.Rand
	now        time.Duration
	events     eventqueue.Queue
	nodes      []*node
	ups        []*upstream
	ranges     int
	broken     variant
	cut        map[[2]string]int // one-way cuts in force, by names of both ends
	loss       float64
	dup        float64
	slow       float64 // share of messages that are delayed by up to 3 s
	faultsOff  bool    // no random faults, to check recovery
	store      store
	hist       history
	fence      api.Fence
	gains      int
	runs       int
	lastRun    map[int]time.Duration // by range
	violations []string
}

// store is the row of the shard.
type store struct {
	rec     Record
	version uint64
	down    int
	lossy   int
}

func newSimulation(seed uint64, vms, members, ups, ranges int, broken variant) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), ranges: ranges, broken: broken,
		cut: map[[2]string]int{}, lastRun: map[int]time.Duration{},
	}
	if sim.broken.checks == "" {
		sim.broken.checks = lease.ChecksFence
	}
	for i := range ups {
		sim.ups = append(sim.ups, newUpstream(sim, i))
	}
	var ids []api.VMID
	for i := range vms {
		ids = append(ids, api.VMID(fmt.Sprint("vm", i)))
	}
	sim.store = store{rec: Record{Shard: shard, Version: 1, Members: ids[:members], WriteID: "first"}, version: 1}
	for _, id := range ids {
		sim.nodes = append(sim.nodes, &node{sim: sim, id: id, rate: sim.rate()})
	}
	for i, n := range sim.nodes {
		n.start(i == 0)
	}
	return sim
}

// rate returns a clock rate such that any two clocks differ by less than 1%.
func (sim *simulation) rate() float64 { return 1 + (sim.random.Float64()-0.5)*0.0098 }

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

func (sim *simulation) after(d time.Duration, fn func()) {
	sim.events.Add(sim.now+d, fn)
}

func (sim *simulation) run(until time.Duration) {
	for sim.events.Due(until) && len(sim.violations) == 0 {
		var fn func()
		sim.now, fn = sim.events.Next()
		fn()
		sim.checkHolders()
	}
	sim.now = max(sim.now, until)
}

// checkHolders reports two holders. Authority begins only at an event, so a
// check after every event finds every overlap. Paused processes count.
func (sim *simulation) checkHolders() {
	var holder *node
	for _, n := range sim.nodes {
		if n.m == nil {
			continue
		}
		if _, _, ok := n.m.Authority(n.clock()); ok {
			if holder != nil {
				sim.addViolation("two holders: %s and %s", holder.id, n.id)
			}
			holder = n
		}
	}
}

func (sim *simulation) holder() *node {
	for _, n := range sim.nodes {
		if n.m != nil {
			if _, _, ok := n.m.Authority(n.clock()); ok {
				return n
			}
		}
	}
	return nil
}

func (sim *simulation) chance(p float64) bool { return !sim.faultsOff && sim.random.Float64() < p }

func (sim *simulation) delay() time.Duration {
	d := 300*time.Microsecond + time.Duration(sim.random.Int64N(int64(1500*time.Microsecond)))
	if sim.chance(sim.slow) {
		d += time.Duration(sim.random.Int64N(int64(3 * time.Second)))
	}
	return d
}

// send schedules the delivery of a message. Streams may lose messages but never repeat them.
func (sim *simulation) send(from, to string, stream bool, deliver func()) {
	if sim.cut[[2]string{from, to}] > 0 || sim.chance(sim.loss) {
		return
	}
	sim.after(sim.delay(), deliver)
	if !stream && sim.chance(sim.dup) {
		sim.after(sim.delay()+time.Duration(sim.random.Int64N(int64(4*time.Second))), deliver)
	}
}

// process is a simulated process that can stop, pause and resume.
type process struct {
	up      bool
	paused  int
	run     int // counts starts
	backlog []func()
}

// do runs fn in the process: at once, after a pause, or not at all if the process is down.
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

// node simulates an entry VM.
type node struct {
	process
	sim      *simulation
	id       api.VMID
	rate     float64
	boot     time.Duration
	gone     bool
	m        *Machine
	state    *holderState
	handover *handover // last one received from a holder that names this VM as successor
	sent     int       // number of the last handover sent by this process
}

func (n *node) clock() time.Duration { return time.Duration(float64(n.sim.now-n.boot) * n.rate) }

func (n *node) start(created bool) {
	n.up, n.run, n.boot, n.backlog = true, n.run+1, n.sim.now, nil
	n.state, n.handover = nil, nil
	cfg := DefaultConfig()
	cfg.Incarnation = api.Incarnation(fmt.Sprint(n.id, "/", n.run))
	n.m = New(n.id, shard, cfg)
	if created {
		n.act(n.m.Learn(0, n.sim.store.rec, n.sim.store.version, true))
	}
	n.ticks(n.run)
}

func (n *node) stop() { n.up, n.m, n.state, n.backlog = false, nil, nil, nil }

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
	n.sim.after(5*time.Millisecond+time.Duration(n.sim.random.Int64N(int64(2*time.Millisecond))), func() { n.ticks(run) })
}

func (n *node) act(actions []Action) {
	sim := n.sim
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			n.send(a)
		case WriteRecord:
			n.write(a)
		case ReadRecord:
			n.read()
		case Gained:
			if a.Fence <= sim.fence {
				sim.addViolation("%s gained fence %v after %v", n.id, a.Fence, sim.fence)
			}
			sim.fence = max(sim.fence, a.Fence)
			sim.gains++
			n.state = newHolderState(n, a.Fence)
		case Lost:
			n.state = nil
		}
	}
	if n.sim.broken.noAbstention {
		n.m.abstainUntil = 0
	}
	if n.sim.broken.lostBallotsIgnored {
		n.m.ballotsKnown = true
	}
}

func (n *node) send(a Send) {
	sim := n.sim
	msg := a.Message
	if sim.broken.releaseToAll && msg.Type == Release {
		msg.Successor = ""
	}
	sim.send(string(n.id), string(a.To), false, func() {
		to := sim.node(a.To)
		to.do(func() {
			if sim.broken.leaseFromAck && to.m.term != nil {
				for _, r := range to.m.term.rounds {
					r.sentAt = to.clock()
				}
			}
			to.act(to.m.Receive(to.clock(), n.id, msg))
		})
	})
	forged := sim.broken.noQuorum || sim.broken.goneVotes && sim.node(a.To).gone
	if forged && (msg.Type == Claim || msg.Type == Renew) {
		run := n.run
		sim.after(0, func() {
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

func (sim *simulation) node(id api.VMID) *node {
	for _, n := range sim.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// call runs op at the store and onResponse in the calling process, with ok false if
// the call timed out. op may still run after a timeout.
func (n *node) call(op func(), onResponse func(ok bool)) {
	sim, run, done := n.sim, n.run, false
	back := func(ok bool) {
		n.do(func() {
			if n.run == run && !done {
				done = true
				onResponse(ok)
			}
		})
	}
	sim.after(2*time.Second, func() { back(false) })
	sim.send(string(n.id), "store", false, func() {
		if sim.store.down > 0 {
			return
		}
		op()
		if sim.store.lossy > 0 && sim.random.Float64() < 0.5 {
			return
		}
		sim.send("store", string(n.id), true, func() { back(true) })
	})
}

func (n *node) write(a WriteRecord) {
	sim := n.sim
	result, version := WriteUnknown, uint64(0)
	n.call(func() {
		if result != WriteUnknown {
			return // duplicate delivery: its response is ignored
		}
		result = WriteConflict
		if sim.store.version == a.BaseVersion {
			sim.store.rec, sim.store.version, result = a.Record, a.BaseVersion+1, WriteOK
		}
		version = sim.store.version
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
	n.call(func() { rec, version = n.sim.store.rec, n.sim.store.version }, func(ok bool) {
		if ok {
			n.act(n.m.Learn(n.clock(), rec, version, false))
		}
	})
}

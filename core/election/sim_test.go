package election_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
)

const (
	tick            = 50 * time.Millisecond
	maxMessageDelay = 150 * time.Millisecond // within Config.MaxMessageDelay
	checkInterval   = 350 * time.Millisecond // between reads of the lease by a VM that was asked for its promise
	reportInterval  = 400 * time.Millisecond // between reports of a VM to the granter
	maxSendDelay    = 300 * time.Millisecond // Config.MaxSendDelay
)

// row is the lease in the simulated store.
type row struct {
	granter           *process
	term              int
	renewedAt         time.Duration
	released          bool
	predecessorsUntil time.Duration // until when earlier granters may act
	version           int
}

// process is one process of a VM; a restart replaces it.
type process struct {
	vm           *vm
	incarnation  api.Incarnation
	voter        *election.Voter
	ended        bool
	granter      *process // the granter that it is connected to
	disconnected bool     // the connection was lost since seenVersion
	endedTerm    int      // the last term whose granter is known not to act any more
	seenVersion  int
	checkedAt    time.Duration
	askedAt      time.Duration // when the last update that it has received was sent, by the granter's clock
	reportedAt   time.Duration // when its last report that the granter has received was sent

	auth              *election.Authority // nil if it is not the granter
	term              int
	predecessorsUntil time.Duration
	renewAt           time.Duration
	unansweredAt      time.Duration // when the renewal was sent that the store holds and has not answered, 0 if there is none
	members           map[*process]bool
	caretaker         bool
}

// vm is one VM with its injected faults.
type vm struct {
	name           api.VMID
	proc           *process
	storeReachable bool
	frozenUntil    time.Duration
	heldGrant      *heldGrant    // by a stop
	isolatedUntil  time.Duration // it reaches no upstream until then
	cutUntil       time.Duration // it reaches no other VM until then
	address        *vm           // the VM that connections to its address reach
	divertedUntil  time.Duration // until when address is another VM
	startAt        time.Duration // of the next process
	stopAt         time.Duration // when a stopping process ends, 0 if it does not stop
}

type message struct {
	at time.Duration
	to *vm // it waits while that VM is frozen
	do func()
}

type sim struct {
	cfg                election.Config
	voterCfg           election.Config // of the VMs; differs from cfg in broken variants
	forgetPredecessors bool            // the lease does not name the granters before the last
	forgetHandover     bool            // a granter that has handed over does not keep from taking over
	refusalIsEnd       bool            // a refused connection is taken for the end of the granter
	orderlyEndIsEnd    bool            // a connection closed in order is taken for the end of the granter
	forgetUnanswered   bool            // a granter hands over although the store may hold a young renewal
	askedLate          time.Duration   // how much too late the read of the lease is taken to have been sent
	anyProcessIsEnd    bool            // a response of any other process is taken for the end of the granter
	promisesOnReceipt  bool            // a promise counts from its receipt
	handoverOnReceipt  bool            // promises that a caretaker gets count from their receipt
	rng                *rand.Rand
	starts             int // of processes
	now                time.Duration
	storeBackAt        time.Duration // when a short outage of the store ends, 0 if there is none
	vms                []*vm
	row                row
	messages           []message
	counts             map[string]int
	trace              []string
}

func newSim(cfg election.Config, seed uint64, vms int) *sim {
	s := &sim{cfg: cfg, voterCfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), counts: make(map[string]int), now: time.Minute}
	for i := range vms {
		v := &vm{name: api.VMID(fmt.Sprint("vm-", i)), storeReachable: true, startAt: s.now}
		v.proc, v.address = &process{vm: v, ended: true}, v
		s.vms = append(s.vms, v)
	}
	return s
}

func (s *sim) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.2fs ", (s.now-time.Minute).Seconds())+fmt.Sprintf(format, args...))
}

func (s *sim) start(v *vm) {
	s.starts++
	v.proc = &process{vm: v, incarnation: api.Incarnation(fmt.Sprint(s.starts)), voter: election.NewVoter(s.voterCfg, s.now)}
	v.stopAt = 0
	s.tracef("%s starts", v.name)
}

func (s *sim) endProcess(v *vm) {
	p := v.proc
	p.ended = true
	s.disconnect(p)
	s.stopGranting(p)
	v.startAt = s.now + time.Duration(300+s.rng.IntN(700))*time.Millisecond
	s.tracef("%s ends", v.name)
}

func (s *sim) stopGranting(p *process) {
	if p.auth == nil {
		return
	}
	for m := range p.members {
		m.granter = nil
		s.linkEnded(m, p.term, s.closedInOrder())
	}
	p.auth, p.members, p.caretaker = nil, nil, false
}

func (s *sim) disconnect(p *process) {
	if g := p.granter; g != nil && g.auth != nil {
		delete(g.members, p)
		g.auth.Left(p.vm.name, s.now)
	}
	p.granter = nil
}

// send delivers a message to a VM after a random delay, unless it is lost.
func (s *sim) send(reliable bool, to *vm, do func()) {
	if !reliable && s.rng.IntN(20) == 0 {
		return
	}
	s.messages = append(s.messages, message{at: s.now + time.Duration(s.rng.Int64N(int64(maxMessageDelay))), to: to, do: do})
}

func (s *sim) join(p, g *process, promise time.Duration) {
	p.granter, p.disconnected, p.askedAt, p.reportedAt = g, false, s.now, s.now
	g.members[p] = true
	g.auth.Joined(p.vm.name)
	if promise > 0 {
		g.auth.Promised(p.vm.name, s.now, promise)
	}
}

func (s *sim) lease(p *process) election.Lease {
	g, remaining := s.row.granter, max(s.row.predecessorsUntil-s.now, 0)
	if s.forgetPredecessors {
		remaining = 0
	}
	return election.Lease{
		Vacant: g == nil || s.row.released, GranterEnded: g != nil && (p.endedTerm == s.row.term || g.vm == p.vm), Age: s.now - s.row.renewedAt,
		EarlierProcess: g != nil && g.vm == p.vm && g != p, AskedAt: s.now + s.askedLate, PredecessorsRemaining: remaining,
	}
}

// stepUnconnected runs one step of a process without a granter.
func (s *sim) stepUnconnected(p *process) {
	if !p.vm.storeReachable {
		if s.rng.IntN(3) > 0 {
			return
		}
		for _, v := range s.vms {
			if g := v.proc; g != p && s.reached(p, g) && s.rng.IntN(2) == 0 {
				p.voter.StoreUnreachable(s.now)
				s.join(p, g, p.voter.PromiseRemaining(s.now))
				s.counts["joined without the store"]++
				return
			}
		}
		return
	}
	if s.row.version != p.seenVersion {
		p.disconnected, p.seenVersion = false, s.row.version
	}
	l := s.lease(p)
	p.voter.SetIsolated(p.vm.isolatedUntil > s.now)
	switch p.voter.Next(s.now, l, p.disconnected) {
	case election.Campaign:
		s.takeOver(p, p.voter.PredecessorsUntil(s.now, l))
	case election.Follow:
		g := s.row.granter
		if s.reached(p, g) && s.rng.IntN(5) > 0 {
			s.join(p, g, 0)
		} else {
			s.linkEnded(p, s.row.term, s.refused(p, g))
		}
	case election.Wait:
	}
}

func (s *sim) takeOver(p *process, predecessorsUntil time.Duration) {
	s.row = row{granter: p, term: s.row.term + 1, renewedAt: s.now, predecessorsUntil: predecessorsUntil, version: s.row.version + 1}
	p.auth, p.term, p.predecessorsUntil = election.NewAuthority(s.cfg, s.now, len(s.vms)), s.row.term, predecessorsUntil
	p.members, p.renewAt = make(map[*process]bool), s.now+time.Second
	s.counts["takeovers"]++
	s.tracef("%s takes over, term %d, moves at %.2fs", p.vm.name, p.term, (predecessorsUntil - time.Minute).Seconds())
}

// stepMember runs one step of a process that is connected to a granter.
func (s *sim) stepMember(p *process) {
	g := p.granter
	if g.vm.frozenUntil > s.now && s.rng.IntN(14) == 0 {
		s.disconnect(p)
		s.linkEnded(p, g.term, election.LinkLost)
		return
	}
	if s.rng.IntN(400) == 0 {
		s.disconnect(p)
		s.linkEnded(p, g.term, s.closedInOrder())
		return
	}
	if g.vm.frozenUntil <= s.now {
		p.askedAt = max(p.askedAt, s.now-time.Duration(s.rng.Int64N(int64(maxMessageDelay))))
		p.reportedAt = max(p.reportedAt, s.now-time.Duration(s.rng.Int64N(int64(reportInterval+maxMessageDelay))))
	}
	if !g.auth.StoreUnreachable(s.now) {
		p.voter.GranterRenews()
		return
	}
	if s.now-p.checkedAt < checkInterval {
		return
	}
	p.checkedAt = s.now
	switch {
	case !p.voter.ChecksStore(s.rng.Float64(), len(s.vms)):
		s.counts["promised without a check"]++
		p.voter.Promise(s.now)
	case p.vm.storeReachable:
		p.voter.StoreAnswered()
		if s.now-s.row.renewedAt > s.cfg.StaleAfter {
			s.disconnect(p)
			p.disconnected = true
		}
		return
	default:
		p.voter.StoreUnreachable(s.now)
	}
	s.sendPromise(p, false, max(p.voter.PromiseRemaining(s.now), s.cfg.PromiseTTL))
}

// sendPromise sends the granter of a process its promise.
func (s *sim) sendPromise(p *process, reliable bool, promise time.Duration) {
	g, asked, sent := p.granter, p.askedAt, s.now
	s.send(reliable, g.vm, func() {
		if g.ended || g.auth == nil || !reliable && p.granter != g {
			return
		}
		if s.now-sent > maxMessageDelay+tick {
			s.counts["promises that waited"]++
		}
		if s.promisesOnReceipt {
			asked = s.now - s.cfg.MaxMessageDelay
		}
		g.auth.Promised(p.vm.name, asked, promise)
	})
}

// write writes the lease of a granter to the store, unless the store holds that renewal.
func (s *sim) write(p *process) {
	if p.unansweredAt == 0 {
		s.row.renewedAt, s.row.version, p.unansweredAt = s.now, s.row.version+1, s.now
		if !s.forgetUnanswered {
			p.auth.Renewing(s.now)
		}
	}
}

func (s *sim) stepGranter(p *process) {
	if p.caretaker {
		if p.vm.storeReachable && s.rng.IntN(5) == 0 {
			unchanged := s.row.term == p.term
			s.stopGranting(p)
			if unchanged {
				s.takeOver(p, s.now)
			}
			return
		}
	} else if p.vm.storeReachable && s.now >= p.renewAt {
		if s.row.granter != p || s.row.term != p.term {
			s.tracef("%s was replaced", p.vm.name)
			s.stopGranting(p)
			return
		}
		s.write(p)
		if s.rng.IntN(10) > 0 {
			p.auth.Renewed(p.unansweredAt)
			p.renewAt, p.unansweredAt = p.unansweredAt+time.Second, 0
		}
	}
	if p.auth.ShouldResign(s.now) {
		s.tracef("%s resigns", p.vm.name)
		s.stopGranting(p)
	}
}

// stop ends a stopping process: a granter releases its lease or hands over.
func (s *sim) stop(v *vm) {
	p := v.proc
	if p.granter != nil {
		s.sendPromise(p, true, s.cfg.RestartPromiseTTL)
	}
	if p.auth != nil {
		s.giveUp(p)
	}
	s.endProcess(v)
}

// giveUp ends the authority of a granter: it releases its lease or hands over. It reports
// false if it can do neither.
func (s *sim) giveUp(p *process) bool {
	if !p.auth.StoreUnreachable(s.now) && p.vm.storeReachable && s.row.granter == p {
		s.row.released, s.row.version = true, s.row.version+1
		s.counts["released"]++
		return true
	}
	for _, v := range s.vms { // in a fixed order, so that a seed gives the same run
		m := v.proc
		if !p.members[m] {
			continue
		}
		promises, ok := p.auth.HandOver(s.now, p.vm.name, m.vm.name)
		if !ok {
			return false
		}
		term := p.term
		reported := m.reportedAt
		s.send(false, m.vm, func() {
			if m.ended || m.auth != nil || !s.linked(p.vm, m.vm) {
				return
			}
			if s.handoverOnReceipt {
				reported = s.now - s.cfg.MaxMessageDelay
			}
			s.disconnect(m)
			m.auth, m.term, m.caretaker = election.NewCaretaker(s.cfg, s.now, reported, promises), term, true
			m.members = make(map[*process]bool)
			s.counts["caretakers"]++
			s.tracef("%s is caretaker", m.vm.name)
		})
		return true
	}
	return false
}

// isolate cuts a VM off from the upstreams for a while. If it is the granter, it resigns as
// long as the process goes on.
func (s *sim) isolate(v *vm) {
	v.isolatedUntil = s.now + time.Duration(s.rng.IntN(6000))*time.Millisecond
	s.tracef("%s is isolated until %.2fs", v.name, (v.isolatedUntil - time.Minute).Seconds())
	p := v.proc
	if p.auth == nil || p.caretaker || p.ended || v.frozenUntil > s.now {
		return
	}
	without := p.auth.StoreUnreachable(s.now)
	if !s.giveUp(p) {
		return
	}
	s.counts["resigned"]++
	if without && !s.forgetHandover {
		p.voter.HandedOver(s.now)
		s.counts["handed over without a stop"]++
	}
	s.stopGranting(p)
}

// reachStore makes all VMs reach the store, or none; a renewal that is on its way may then be
// written and not answered.
func (s *sim) reachStore(reached bool) {
	g := s.row.granter
	if !reached && g != nil && g.auth != nil && !g.caretaker && g.term == s.row.term && !s.row.released && g.vm.storeReachable && s.rng.IntN(2) == 0 {
		s.write(g)
		s.counts["renewals not answered"]++
	}
	for _, each := range s.vms {
		each.storeReachable = reached
	}
	s.tracef("store reached by all: %v", reached)
}

// stopWithin makes the process of a VM stop within a number of milliseconds.
func (s *sim) stopWithin(v *vm, ms int) {
	if v.stopAt > 0 {
		return
	}
	v.proc.voter.Leave()
	v.stopAt = s.now + time.Duration(s.rng.IntN(ms))*time.Millisecond
	s.tracef("%s stops", v.name)
}

func (s *sim) injectFaults() {
	if s.storeBackAt > 0 && s.now >= s.storeBackAt {
		s.storeBackAt = 0
		s.reachStore(true)
	}
	for _, v := range s.vms {
		if v.divertedUntil <= s.now {
			v.address = v
		}
	}
	v := s.vms[s.rng.IntN(len(s.vms))]
	switch n := s.rng.IntN(1000); {
	case n < 6:
		s.reachStore(s.rng.IntN(2) > 0)
	case n < 10:
		v.storeReachable = !v.storeReachable
		s.tracef("store reached by %s: %v", v.name, v.storeReachable)
	case n < 12 && !v.proc.ended:
		s.endProcess(v)
	case n < 20 && !v.proc.ended:
		s.stopWithin(v, 3000)
	case n < 22:
		v.frozenUntil = s.now + time.Duration(s.rng.IntN(6000))*time.Millisecond
		s.tracef("%s freezes until %.2fs", v.name, (v.frozenUntil - time.Minute).Seconds())
	case n < 34 && v.isolatedUntil <= s.now:
		s.isolate(v)
	case n < 40 && v.cutUntil <= s.now:
		s.cutLinks(v)
	case n < 46 && v.address == v:
		s.divert(v)
	case n < 52 && s.storeBackAt == 0:
		s.storeBackAt = s.now + time.Duration(s.rng.IntN(2500))*time.Millisecond
		s.reachStore(false)
		if g := s.row.granter; g != nil && !g.ended {
			s.stopWithin(g.vm, 2000)
		}
	case n >= 52 && n < 72 && v.frozenUntil <= s.now:
		s.stopBriefly(v)
	}
}

// run simulates the given time and returns the first violation, empty if none.
func (s *sim) run(length time.Duration) string {
	for end := s.now + length; s.now < end; s.now += tick {
		s.injectFaults()
		pending := s.messages
		s.messages = nil
		for _, m := range pending {
			if m.at <= s.now && m.to.frozenUntil <= s.now {
				m.do()
			} else {
				s.messages = append(s.messages, m)
			}
		}
		for _, i := range s.rng.Perm(len(s.vms)) {
			s.act(s.vms[i])
		}
		if violation := s.check(); violation != "" {
			return violation
		}
	}
	return ""
}

func (s *sim) act(v *vm) {
	p := v.proc
	switch {
	case v.frozenUntil > s.now:
	case p.ended:
		if s.now >= v.startAt {
			s.start(v)
		}
	case v.stopAt > 0 && s.now >= v.stopAt:
		s.stop(v)
	case p.auth != nil:
		s.stepGranter(p)
	case p.granter != nil:
		s.stepMember(p)
	default:
		s.stepUnconnected(p)
	}
}

// check returns a violation if a granter may move keys while another may renew them.
func (s *sim) check() string {
	var movers, renewers []*process
	for _, v := range s.vms {
		p := v.proc
		if p.auth == nil || p.ended || v.frozenUntil > s.now {
			continue
		}
		if p.auth.HoldsLease(s.now) && s.now >= p.predecessorsUntil {
			movers = append(movers, p)
			s.counts["ticks with moves"]++
		}
		if s.now < p.auth.RenewUntil(s.now) {
			renewers = append(renewers, p)
			if p.auth.StoreUnreachable(s.now) {
				s.counts["ticks renewed without the store"]++
			}
			if p.caretaker {
				s.counts["ticks renewed by a caretaker"]++
			}
		}
	}
	for _, m := range movers {
		for _, r := range renewers {
			// The store refuses the writes, and so the moves, of a replaced granter.
			if m != r && m.term >= r.term {
				return fmt.Sprintf("%s may move keys in term %d while %s may renew in term %d", m.vm.name, m.term, r.vm.name, r.term)
			}
		}
	}
	return s.checkHeldGrants(movers)
}

// TestNoTwoGranters guards against a granter that moves keys while another one
// still renews their leases, under store outages for all or for single VMs, cuts between
// VMs, connections that reach another VM, kills, stops with handovers, freezes, messages that are
// lost or wait for their receiver, and lost answers of the store. What a VM knows of another one
// comes from the connections between them.
func TestNoTwoGranters(t *testing.T) {
	counts := make(map[string]int)
	for seed := uint64(1); seed <= 1500; seed++ {
		cfg := election.DefaultConfig()
		cfg.StoreCheckers = 1 + float64(seed%2) // fewer than there are VMs
		s := newSim(cfg, seed, 2+int(seed%3))
		violation := s.run(60 * time.Second)
		require.Empty(t, violation, "seed %d\n%s", seed, lastLines(s.trace))
		for event, n := range s.counts {
			counts[event] += n
		}
	}
	for _, event := range []string{
		"takeovers", "released", "caretakers", "resigned", "handed over without a stop", "joined without the store", "ticks with moves", "promised without a check",
		"ticks renewed without the store", "ticks renewed by a caretaker", "renewals not answered", "learnt of an end", "cut off from a granter", "another VM responded",
		"promises that waited", "short stops", "held grants",
	} {
		require.Greater(t, counts[event], 100, "%s: %v", event, counts)
	}
	t.Log(counts)
}

func lastLines(trace []string) string {
	out := ""
	for _, line := range trace[max(0, len(trace)-30):] {
		out += line + "\n"
	}
	return out
}

// TestNoTwoGrantersDetects guards against a simulation that detects no violations:
// it must detect each broken variant.
func TestNoTwoGrantersDetects(t *testing.T) {
	for name, apply := range map[string]func(*sim){
		"promises of the last process are forgotten": func(s *sim) { s.voterCfg.RestartPromiseTTL = 0 },
		"promises are broken":                        func(s *sim) { s.voterCfg.PromiseTTL = 0 },
		"a successor does not wait":                  func(s *sim) { s.voterCfg.LeaseTTL, s.voterCfg.RestartPromiseTTL = 0, 0 },
		"a handover without a stop is forgotten":     func(s *sim) { s.forgetHandover = true },
		"earlier granters are forgotten":             func(s *sim) { s.forgetPredecessors = true },
		"a refused connection is taken for an end":   func(s *sim) { s.refusalIsEnd = true },
		"an orderly end is taken for an end":         func(s *sim) { s.orderlyEndIsEnd = true },
		"an unanswered renewal is forgotten":         func(s *sim) { s.forgetUnanswered = true },
		"a read of the lease is dated too late":      func(s *sim) { s.askedLate = time.Second },
		"a response of another VM is taken for one":  func(s *sim) { s.anyProcessIsEnd = true },
		"promises count from their receipt":          func(s *sim) { s.promisesOnReceipt = true },
		"grants are sent until the authority ends":   func(s *sim) { s.cfg.MaxSendDelay = 0 },
		"a handover counts from its receipt":         func(s *sim) { s.handoverOnReceipt = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 1500; seed++ {
				s := newSim(election.DefaultConfig(), seed, 2+int(seed%3))
				apply(s)
				if s.run(60*time.Second) != "" {
					return
				}
			}
			t.Fatal("no seed shows the fault")
		})
	}
}

package quota

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// The simulation plays VMs, granters and the messages between them in steps of simStep. Each
// process has its own clock.
const (
	simStep              = 2 * time.Millisecond
	simTick              = 50 * time.Millisecond
	simReportInterval    = 400 * time.Millisecond
	simMinReportInterval = 30 * time.Millisecond
	simReportBurst       = 3
	simUpdateInterval    = 250 * time.Millisecond
	simLinkTimeout       = 700 * time.Millisecond
	simMemberTimeout     = 1900 * time.Millisecond
	simMaxWait           = 150 * time.Millisecond
	simRenewInterval     = time.Second
	simResignAfter       = time.Second
	// simTakeover is when a granter that is lost is replaced, simAuthority until when it may act.
	simTakeover, simAuthority = 1500 * time.Millisecond, 3 * time.Second
)

// simExchange is the time in which a VM that has connected can get tokens: a report, an update, a report
// that acknowledges it and an update, of 6 ms each, with simMinReportInterval between the reports.
const simExchange = simMinReportInterval + 4*3*simStep

// simLongWaits are the target latencies on deployment A, in the proportions of its routes.
var simLongWaits = []time.Duration{600 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond, time.Second, 1500 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 2 * time.Second, 2 * time.Second}

// simMostWaits are 0.3 of the deadlines of the routes, by target latency.
var simMostWaits = map[time.Duration]time.Duration{600 * time.Millisecond: 1200 * time.Millisecond, time.Second: 1800 * time.Millisecond, 1500 * time.Millisecond: 3 * time.Second, 2 * time.Second: 3600 * time.Millisecond}

type simWorkspace struct {
	limit  Limit
	demand float64 // requests per second
	skew   float64 // part of the requests that arrives at the first VM
	sent   []time.Duration
	// wanted and served count the requests that arrived and that were sent while the sim measured.
	wanted, served int
	// ideal has the tokens of one bucket for all VMs, at a time.
	ideal   float64
	idealAt time.Duration
	// traced holds the requests that arrived while the sim measured, within that bucket.
	traced []*simRequest
}

// simRequest is a traced request. servedAt is 0 if it was refused, for the reason in cause.
type simRequest struct {
	vm                  *simVM
	arrivedAt, servedAt time.Duration
	queueing            time.Duration // it has waited for upstreams
	wait                Patience
	solo                bool // the VM used its share when the request was served or refused
	cause               string
}

// trace takes a token of the ideal bucket, and records a request that gets one.
func (s *sim) trace(v *simVM, w *simWorkspace) *simRequest {
	r := &simRequest{vm: v, arrivedAt: s.now}
	capacity := max(w.limit.Burst, 1)
	w.ideal = min(w.ideal+w.limit.Rate*(s.now-w.idealAt).Seconds(), capacity)
	w.idealAt = s.now
	if w.ideal >= 1 {
		w.ideal--
		if s.measured() {
			w.traced = append(w.traced, r)
		}
	}
	return r
}

type simGranter struct {
	issuer    *Issuer
	vm        int // the VM on which it runs
	offset    time.Duration
	links     map[*simLink]bool
	term      int
	authority time.Duration // until when it may issue
	updatesAt time.Duration
	ended     bool
	// writing means that a write of its lease is on the way, renewedAt is when it was sent.
	writing   bool
	renewedAt time.Duration
	rewrite   bool
}

func (g *simGranter) clock(now time.Duration) time.Duration { return now + g.offset }

type simLink struct {
	number              int // in the order of connections
	vm                  *simVM
	granter             *simGranter
	member              *Member
	closed              bool
	vmSeen, granterSeen time.Duration // last message received
	toVM, toGranter     time.Duration // last delivery: messages stay in order
	answered            time.Duration // on the clock of the granter
	lastReport          time.Duration
}

type simWaiter struct {
	began, end, delay time.Duration
	wait              Patience
	request           *simRequest
}

type simVM struct {
	index  int
	id     api.VMID
	client *Client
	offset time.Duration
	link   *simLink
	// followed is the granter of the tokens that this process holds.
	followed *simGranter
	side     int // VMs of different sides do not reach each other
	stopped  bool
	// suspended is until when the process does not run; messages for it wait.
	suspended time.Duration
	retryAt   time.Duration
	urgent    bool
	spend     time.Duration
	waiters   map[api.WorkspaceName][]simWaiter
	// earlier means that the VM is of an earlier version.
	earlier bool
	// updatedAt is when the VM received the last update of the first granter, reachedAt simExchange after it
	// connected to another one.
	updatedAt, reachedAt time.Duration
}

func (v *simVM) clock(now time.Duration) time.Duration { return now + v.offset }

type sim struct {
	t          testing.TB
	rng        *rand.Rand
	rule       Rule
	now        time.Duration
	vms        []*simVM
	granters   []*simGranter
	workspaces map[api.WorkspaceName]*simWorkspace
	names      []api.WorkspaceName // in a fixed order
	events     map[time.Duration][]func()
	at         map[time.Duration]func()
	// queueing is for how long requests wait after they took a token, abandoned the part of them
	// that is refused then.
	queueing  time.Duration
	abandoned float64
	storeDown bool
	// stored is the roster in the lease, of the granter holder. Granters of earlier versions state none.
	stored    *Roster
	holder    *simGranter
	noRosters bool
	// countsVMs means that some granter had to rely on the number of VMs, see Issuer.unknown.
	countsVMs bool
	measure   [2]time.Duration
	messages  int
	links     int
	order     int // see sortedLinks
}

func newSim(t testing.TB, seed uint64, vms int, workspaces map[api.WorkspaceName]*simWorkspace) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), rule: DefaultRule, workspaces: workspaces,
		events: make(map[time.Duration][]func()), at: make(map[time.Duration]func()), measure: [2]time.Duration{5 * time.Second, time.Hour},
	}
	for name := range workspaces {
		s.names = append(s.names, name)
	}
	slices.Sort(s.names)
	for range vms {
		s.addVM()
	}
	s.startGranter(0, 0, 0)
	return s
}

func (s *sim) addVM() *simVM {
	v := &simVM{index: len(s.vms), id: api.VMID(fmt.Sprint("vm-", len(s.vms)))}
	s.vms = append(s.vms, v)
	s.restart(v)
	return v
}

// restart starts a new process of a VM.
func (s *sim) restart(v *simVM) {
	v.offset = time.Duration(s.rng.Int64N(int64(time.Hour)))
	v.client = NewClient(s.rule, v.clock(s.now))
	v.suspended = 0
	for _, g := range s.granters {
		g.ended = g.ended || g.vm == v.index
	}
	v.followed = nil
	v.stopped, v.link, v.waiters = false, nil, make(map[api.WorkspaceName][]simWaiter)
	v.retryAt = s.now + time.Duration(s.rng.Int64N(int64(100*time.Millisecond)))
}

func (s *sim) startGranter(vm int, predecessorsUntil time.Duration, earlierVMs int) {
	offset := time.Duration(s.rng.Int64N(int64(time.Hour)))
	g := &simGranter{
		issuer: NewIssuer(s.rule, s.now+offset, predecessorsUntil+offset, earlierVMs),
		vm:     vm, offset: offset, links: make(map[*simLink]bool), term: len(s.granters) + 1, authority: time.Hour,
	}
	g.issuer.SetOwn(s.vms[vm].id, int64(g.term))
	s.granters = append(s.granters, g)
	s.holder = g
	s.countsVMs = s.countsVMs || s.stored == nil && earlierVMs > 0
	if s.stored != nil {
		g.issuer.Inherit(s.stored)
		s.stored = s.stored.Successor()
		g.issuer.Stating(g.clock(s.now), s.stored)
	}
}

// renew writes the lease of a granter, with its roster. The response may be late.
func (s *sim) renew(g *simGranter) {
	if s.noRosters || s.storeDown || g.writing || s.now-g.renewedAt < simRenewInterval && !g.rewrite {
		return
	}
	g.writing, g.rewrite, g.renewedAt = true, false, s.now
	r := g.issuer.Roster(g.clock(s.now))
	g.issuer.Stating(g.clock(s.now), r)
	written := (s.now + 3*simStep).Truncate(simStep)
	s.events[written] = append(s.events[written], func() {
		if s.holder != g {
			return
		}
		if r != nil {
			s.stored = r
		}
		answered := s.now + 3*simStep
		if s.rng.IntN(10) == 0 {
			answered += 150 * simStep
		}
		s.events[answered] = append(s.events[answered], func() {
			g.writing = false
			g.issuer.Stated(g.clock(s.now))
		})
	})
}

// replaceGranter ends the authority of the present granter and starts another one later.
func (s *sim) replaceGranter(vm int, takeover, authority time.Duration, killed bool) {
	old := s.granters[len(s.granters)-1]
	old.authority = min(old.authority, s.now+authority)
	old.ended = killed
	known := len(old.issuer.members)
	var until time.Duration
	for _, g := range s.granters {
		until = max(until, g.authority)
	}
	s.at[s.now+takeover] = func() {
		if last := s.granters[len(s.granters)-1]; last != old {
			// Another one has taken over meanwhile.
			last.authority = min(last.authority, s.now+max(authority-takeover, 0))
			known = len(last.issuer.members)
			// The lease states how long all granters before it may act, not only the last one.
			for _, g := range s.granters {
				until = max(until, g.authority)
			}
		}
		s.startGranter(vm, until, known)
	}
}

func (s *sim) reachable(v *simVM, g *simGranter) bool {
	return !v.stopped && !g.ended && s.vms[g.vm].side == v.side
}

// deliver runs a delivery after a delay, in the order of its link.
func (s *sim) deliver(last *time.Duration, run func()) {
	s.messages++
	delay := simStep + time.Duration(s.rng.Int64N(3))*simStep
	if s.rng.IntN(200) == 0 {
		delay += 100 * time.Millisecond
	}
	*last = max(*last, s.now+delay).Truncate(simStep)
	s.events[*last] = append(s.events[*last], run)
}

func (s *sim) connect(v *simVM) {
	v.retryAt = s.now + 250*time.Millisecond
	own := slices.IndexFunc(s.granters, func(g *simGranter) bool { return g.vm == v.index && !g.ended && s.now < g.authority })
	for i := len(s.granters) - 1; i >= 0; i-- {
		g := s.granters[i]
		if !s.reachable(v, g) || s.now >= g.authority || own >= 0 && own != i {
			continue
		}
		s.links++
		v.link = &simLink{number: s.links, vm: v, granter: g, vmSeen: s.now, granterSeen: s.now, answered: -1, lastReport: s.now - simReportInterval}
		v.link.member = g.issuer.Join(g.clock(s.now), v.id)
		g.links[v.link] = true
		g.rewrite = g.rewrite || !g.issuer.Serves(v.link.member)
		v.client.Connected()
		if v.reachedAt == 0 && g.term > 1 {
			v.reachedAt = s.now + simExchange
		}
		v.urgent = true
		return
	}
}

func (s *sim) sendReport(v *simVM) {
	l := v.link
	v.urgent, l.lastReport = false, s.now
	sentMs, r := v.clock(s.now).Milliseconds(), v.client.Report(v.clock(s.now))
	slices.SortFunc(r.Demands, func(a, b Demand) int { return strings.Compare(string(a.Workspace), string(b.Workspace)) })
	if v.earlier {
		r.LoanMs, r.Started, r.UsedMs, r.Term = 0, false, 0, 0
	}
	answered := l.answered
	s.deliver(&l.toGranter, func() {
		g := l.granter
		if !s.reachable(v, g) || l.closed || !g.links[l] {
			return
		}
		l.granterSeen = s.now
		now := g.clock(s.now)
		lacking := g.issuer.Report(now, l.member, sentMs, answered, r)
		g.issuer.IssueTo(now, l.member, lacking, s.limit)
		if l.member.HasGrants() || g.issuer.AwaitsUpdate(l.member) {
			s.sendUpdate(l)
		}
	})
}

func (s *sim) limit(name api.WorkspaceName) (Limit, bool) {
	w := s.workspaces[name]
	return w.limit, true
}

func (s *sim) sendUpdate(l *simLink) {
	g := l.granter
	sentAt := g.clock(s.now)
	u := g.issuer.Update(sentAt, l.member, l.vm.index, len(s.vms))
	u.Term = int64(g.term)
	if l.vm.earlier {
		u.Term = 0
	}
	slices.SortFunc(u.Grants, func(a, b Grant) int { return strings.Compare(string(a.Workspace), string(b.Workspace)) })
	var receive func()
	receive = func() {
		v := l.vm
		if !s.reachable(v, g) || v.link != l || s.suspended(v, receive) {
			return
		}
		l.vmSeen, l.answered = s.now, sentAt
		if g.term == 1 {
			v.updatedAt = s.now
		}
		if v.client.Update(v.clock(s.now), &u) {
			v.urgent = true
		}
		if v.client.tokenLink == v.client.link {
			v.followed = g
		}
		for _, grant := range u.Grants {
			s.serveWaiting(v, grant.Workspace)
		}
	}
	s.deliver(&l.toVM, receive)
}

// suspended reports whether a VM is suspended, and runs an event when it resumes.
func (s *sim) suspended(v *simVM, event func()) bool {
	if s.now >= v.suspended {
		return false
	}
	s.events[v.suspended] = append(s.events[v.suspended], event)
	return true
}

func (s *sim) tickGranter(g *simGranter) {
	now := g.clock(s.now)
	g.ended = s.now >= g.authority+simResignAfter
	for l := range g.links {
		if s.now-l.granterSeen > simMemberTimeout || l.closed {
			g.issuer.Leave(now, l.member)
			delete(g.links, l)
		}
	}
	g.issuer.SetIssuing(now, s.now < g.authority && !s.storeDown)
	g.issuer.Issue(now, s.limit)
	s.renew(g)
	all := s.now-g.updatesAt >= simUpdateInterval
	if all {
		g.updatesAt = s.now
	}
	for _, l := range sortedLinks(g.links, s.order) {
		if all || l.member.HasGrants() || g.issuer.AwaitsUpdate(l.member) {
			s.sendUpdate(l)
		}
	}
}

// sortedLinks returns the links in the order in which their messages are handled at a tick: that of the
// VMs if order is 0, else one of many others.
func sortedLinks(links map[*simLink]bool, order int) []*simLink {
	var out []*simLink
	for l := range links {
		out = append(out, l)
	}
	if order > 0 {
		key := func(l *simLink) uint32 {
			h := fnv.New32a()
			fmt.Fprint(h, l.number, l.vm.index, order)
			return h.Sum32()
		}
		slices.SortFunc(out, func(a, b *simLink) int { return cmp.Or(cmp.Compare(key(a), key(b)), a.number-b.number) })
		return out
	}
	slices.SortFunc(out, func(a, b *simLink) int { return cmp.Or(a.vm.index-b.vm.index, a.number-b.number) })
	return out
}

func (s *sim) request(v *simVM, name api.WorkspaceName) {
	w, now := s.workspaces[name], v.clock(s.now)
	delay := s.queueing
	if s.measured() {
		w.wanted++
	}
	r := s.trace(v, w)
	v.client.Arrive(now, name)
	defer func() { v.urgent = v.urgent || v.client.WantsReport(now, name) }()
	long := simLongWaits[s.rng.IntN(len(simLongWaits))]
	r.wait = Patience{Short: simMaxWait, Long: long, Most: simMostWaits[long]}
	if len(v.waiters[name]) == 0 {
		if taken, ok := v.client.Take(now, name, w.limit); ok {
			s.admitted(v, name, taken, delay, r)
			return
		}
	}
	end := v.client.WaitEnd(now, now, r.wait)
	if v.client.MayWait(now, name, w.limit, end-now) {
		v.client.Wait(now, name, 1)
		v.waiters[name] = append(v.waiters[name], simWaiter{began: now, wait: r.wait, end: end, delay: delay, request: r})
		return
	}
	r.refused(s.now, "queue full")
}

func (s *sim) measured() bool { return s.now >= s.measure[0] && s.now < s.measure[1] }

func (s *sim) serveWaiting(v *simVM, name api.WorkspaceName) {
	now := v.clock(s.now)
	waiters := v.waiters[name][:0]
	for _, w := range v.waiters[name] {
		if now >= w.end {
			w.end = v.client.WaitEnd(now, w.began, w.wait)
		}
		if now >= w.end {
			v.client.Wait(now, name, -1)
			w.request.refused(s.now, "target latency shorter than the gap")
			continue
		}
		waiters = append(waiters, w)
	}
	for len(waiters) > 0 {
		taken, ok := v.client.Take(now, name, s.workspaces[name].limit)
		if !ok {
			break
		}
		s.admitted(v, name, taken, waiters[0].delay, waiters[0].request)
		v.client.Wait(now, name, -1)
		waiters = waiters[1:]
	}
	v.waiters[name] = waiters
}

// admitted sends a request after it has waited for an upstream.
func (s *sim) admitted(v *simVM, name api.WorkspaceName, taken Taken, delay time.Duration, r *simRequest) {
	w, client := s.workspaces[name], v.client
	r.queueing += delay
	var send func()
	send = func() {
		now := v.clock(s.now)
		if v.stopped || client != v.client || s.suspended(v, send) {
			return
		}
		if s.rng.Float64() < s.abandoned {
			client.Return(now, name, taken)
			return
		}
		if !client.Sent(now, name, w.limit, &taken) {
			var ok bool
			if taken, ok = client.Take(now, name, w.limit); !ok || !client.Sent(now, name, w.limit, &taken) {
				end, ok := client.WaitAgain(now, name, w.limit, Patience{Short: r.wait.Short, Long: r.wait.Long - (s.now - r.arrivedAt), Most: r.wait.Most})
				if !ok {
					r.cause = "token ended before the send"
					return
				}
				client.Wait(now, name, 1)
				v.waiters[name] = slices.Insert(v.waiters[name], 0, simWaiter{began: now, wait: Patience{Short: end - now}, end: end, delay: delay, request: r})
				v.urgent = true
				return
			}
		}
		if s.rng.Float64() < s.abandoned/2 {
			client.NotRun(now, name, &taken)
			client.Return(now, name, taken)
			return
		}
		w.sent = append(w.sent, s.now)
		r.servedAt, r.solo = s.now, taken.solo
		if s.measured() {
			w.served++
		}
	}
	if delay == 0 {
		send()
		return
	}
	at := (s.now + delay).Truncate(simStep)
	s.events[max(at, s.now+simStep)] = append(s.events[max(at, s.now+simStep)], send)
}

func (s *sim) stepVM(v *simVM) {
	if v.stopped || s.now < v.suspended {
		return
	}
	if v.link != nil && (s.now-v.link.vmSeen > simLinkTimeout || v.link.granter.ended || s.now >= v.link.granter.authority) {
		v.link.closed, v.link = true, nil
	}
	if v.link == nil {
		if s.now >= v.retryAt {
			s.connect(v)
		}
	}
	for _, name := range s.names {
		if len(v.waiters[name]) > 0 {
			s.serveWaiting(v, name)
		}
	}
	if l := v.link; l != nil {
		v.urgent = v.urgent || v.client.Hurried(v.clock(s.now))
		since, spacing := s.now-l.lastReport, min(max(simMinReportInterval, time.Duration(len(s.vms))*time.Millisecond), 120*time.Millisecond)
		v.spend = max(v.spend, s.now-simReportBurst*spacing)
		if v.urgent && since >= simMinReportInterval && v.spend+spacing <= s.now {
			v.spend += spacing
			s.sendReport(v)
		} else if since >= simReportInterval {
			s.sendReport(v)
		}
	}
}

// run plays until a time.
func (s *sim) run(until time.Duration) {
	carry := make(map[api.WorkspaceName]float64)
	for ; s.now < until; s.now += simStep {
		if change := s.at[s.now]; change != nil {
			change()
		}
		for _, event := range s.events[s.now] {
			event()
		}
		delete(s.events, s.now)
		if s.now%simTick == 0 {
			for _, g := range s.granters {
				if !g.ended && s.now >= s.vms[g.vm].suspended {
					s.tickGranter(g)
				}
			}
			s.checkInvariants()
		}
		for _, name := range s.names {
			w := s.workspaces[name]
			carry[name] += w.demand * simStep.Seconds() * s.rng.ExpFloat64()
			for ; carry[name] >= 1; carry[name]-- {
				v := s.vms[s.rng.IntN(len(s.vms))]
				if s.rng.Float64() < w.skew {
					v = s.vms[0]
				}
				if !v.stopped && s.now >= v.suspended {
					s.request(v, name)
				}
			}
		}
		for _, v := range s.vms {
			s.stepVM(v)
		}
	}
}

// checkWindows checks the rule on every window that begins with a request.
func (s *sim) checkWindows() {
	for name, w := range s.workspaces {
		s.checkBound(name, w.sent, s.rule.Bound(w.limit))
	}
}

func (s *sim) checkBound(name api.WorkspaceName, sent []time.Duration, bound float64) {
	first, most := 0, 0
	for i, at := range sent {
		for sent[first] <= at-s.rule.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	require.LessOrEqual(s.t, float64(most), bound, "requests of %s in a window", name)
}

// utilization returns the part of the rate of a workspace that was served while the sim measured, or
// of the demand if that was smaller.
func (s *sim) utilization(name api.WorkspaceName) float64 {
	w := s.workspaces[name]
	seconds := (min(s.measure[1], s.now) - s.measure[0]).Seconds()
	return float64(w.served) / min(w.limit.Rate*seconds, float64(w.wanted))
}

func simWorkspaces(demand float64, limits map[api.WorkspaceName]Limit) map[api.WorkspaceName]*simWorkspace {
	workspaces := make(map[api.WorkspaceName]*simWorkspace)
	for name, limit := range limits {
		workspaces[name] = &simWorkspace{limit: limit, demand: limit.Rate * demand}
	}
	return workspaces
}

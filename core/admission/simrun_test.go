package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ratelimit"
)

// report lets a VM that has found an upstream full report to the granter.
func (s *sim) report(vm int, q *Queue) {
	if s.policy != told || !q.Full() || s.reporting[vm] {
		return
	}
	s.reporting[vm] = true
	s.at(s.now+30*ms, func() { s.sendReport(vm) })
}

// sendReport sends the granter what a VM knows of upstreams that are full or watched.
func (s *sim) sendReport(vm int) {
	s.reporting[vm] = false
	for u, q := range s.queues[vm] {
		if q.Full() || slices.Contains(s.watched, u) {
			r := q.Contention(s.now)
			s.at(s.now+simReport, func() {
				if s.contentions.Report(s.now, api.VMID(strconv.Itoa(vm)), u, r) {
					s.tell()
				}
			})
		}
	}
}

// tell sends all VMs the intervals, and lets them report on the upstreams that are watched.
func (s *sim) tell() {
	intervals, _ := s.contentions.Intervals(s.now, s.vms)
	if s.granterUntil > 0 && s.now >= s.granterUntil {
		return
	}
	s.at(s.now+simReport, func() {
		// Reports go every 0.4 s, and at once for an upstream that is newly watched.
		delay := 150 * ms
		if len(s.watched) != len(intervals) {
			delay = 0
		}
		concerned := slices.Concat(s.watched, slices.Collect(maps.Keys(intervals)))
		slices.Sort(concerned)
		concerned = slices.Compact(concerned)
		s.watched = slices.Sorted(maps.Keys(intervals))
		for vm := range s.queues {
			for _, u := range concerned {
				s.queues[vm][u].SetInterval(s.now, intervals[u])
				s.dispatch(s.queues[vm][u])
			}
			if !s.reporting[vm] && len(s.watched) > 0 {
				s.reporting[vm] = true
				s.at(s.now+delay+time.Duration(vm%10)*ms, func() { s.sendReport(vm) })
			}
		}
	})
}

// grant is the regular work of the granter.
func (s *sim) grant(toldAt time.Duration) {
	if s.granterUntil > 0 && s.now >= s.granterUntil {
		return
	}
	if _, changed := s.contentions.Intervals(s.now, s.vms); changed || s.now-toldAt >= 250*ms {
		s.tell()
		toldAt = s.now
	}
	s.at(s.now+50*ms, func() { s.grant(toldAt) })
}

// limit lets the granter issue permits for an upstream.
func (s *sim) limit(u *simUpstream) {
	if u.limited {
		return
	}
	u.limited, u.idleSince, u.issuer = true, s.now, ratelimit.NewPermitIssuer(s.now)
	for vm := range s.queues {
		s.queues[vm][u.index].SetRate(s.rate(u))
	}
	s.issue(u)
}

// rate is the rate at which the granter issues permits: it knows the usual speed.
func (s *sim) rate(u *simUpstream) float64 {
	return 0.95 * simSlots * u.speed / (simWork.Seconds() * 1.4)
}

func (s *sim) issue(u *simUpstream) {
	wanted, total := make([]int, s.vms), 0
	for vm := range s.queues {
		wanted[vm], _ = s.queues[vm][u.index].MissingPermits(s.now)
		total += wanted[vm]
	}
	if total > 0 {
		u.idleSince = s.now
	}
	if s.now-u.idleSince > time.Second {
		u.limited = false
		for vm := range s.queues {
			s.queues[vm][u.index].SetRate(0)
			s.dispatch(s.queues[vm][u.index])
		}
		return
	}
	issued := u.issuer.Issue(s.now, s.rate(u), wanted)
	for vm, n := range issued {
		total -= n
		if wanted[vm] == 0 {
			continue
		}
		backlog := u.issuer.Backlog(total)
		s.at(s.now+simReport, func() {
			s.queues[vm][u.index].AddPermits(s.now, n, ratelimit.PermitTTL, backlog)
			s.dispatch(s.queues[vm][u.index])
		})
	}
	s.at(s.now+2*simReport, func() { s.issue(u) })
}

// simulate plays VMs that send to upstreams, without a network.
func simulate(p simParams) simResult {
	if p.length == 0 {
		p.length = simRun
	}
	if p.routes == nil {
		p.routes = []simRoute{{share: 1, work: simWork, target: simTarget, deadline: simDeadline, late: 0.3}}
	}
	s := &sim{simParams: p, rng: rand.New(rand.NewPCG(11+p.seed, uint64(p.vms))), choices: rand.New(rand.NewPCG(12, 1+p.seed)), wakes: make(map[*Queue]time.Duration)}
	s.byRoute, s.byWorkspace = make([]simCount, len(p.routes)), make([]simCount, max(p.workspaces, 1))
	work := 0.0
	for _, route := range p.routes {
		work += route.share * route.work.Seconds()
	}
	capacity := 0.0
	for i := range p.upstreams {
		u := &simUpstream{index: i, speed: 0.5 + 1.1*s.rng.Float64()}
		s.upstreams = append(s.upstreams, u)
		capacity += simSlots * u.speed / (work * 1.4)
	}
	shares := make([]float64, p.upstreams)
	total := 0.0
	for _, u := range s.upstreams {
		total += u.speed
	}
	for i, u := range s.upstreams {
		shares[i] = (1 - p.hot) * u.speed / total
	}
	shares[0] += p.hot
	limit := ratelimit.Share(24, p.vms)
	for range p.vms {
		queues := make([]*Queue, p.upstreams)
		for i := range queues {
			queues[i] = New(limit)
			switch p.policy {
			case queueOwner:
				queues[i].SetLimit(simSlots * 2)
			case independent, told:
				queues[i].SetBackpressure(p.vms, simSlots, s.choices.Float64)
			}
		}
		for _, q := range queues {
			q.SetRefuseLate(p.refuseLate)
		}
		s.queues = append(s.queues, queues)
		if p.fair {
			shares := NewShares()
			for _, q := range queues {
				q.SetShares(shares)
			}
			s.shares = append(s.shares, shares)
		}
		seen := make([]simSeen, p.upstreams)
		for i := range seen {
			seen[i] = simSeen{at: -simLoadAge, latency: simWork.Seconds()}
		}
		s.seen = append(s.seen, seen)
		s.order = append(s.order, s.choices.Perm(p.upstreams))
	}
	if s.policy == told {
		s.contentions, s.reporting = NewContentions[int](), make(map[int]bool)
		s.grant(0)
	}
	rate := capacity * p.load
	var next func()
	next = func() {
		s.newRequest(shares, false)
		s.at(s.now+time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.at(0, next)
	if p.flood > 0 {
		share := p.routes[0].share
		if p.workspaces > 0 {
			share = 1 / float64(p.workspaces)
		}
		var more func()
		more = func() {
			s.newRequest(shares, true)
			s.at(s.now+time.Duration(s.rng.ExpFloat64()/(rate*(p.flood-1)*share)*float64(time.Second)), more)
		}
		s.at(p.length/2, more)
	}
	for s.events.Due(p.length - 1) {
		var run func()
		s.now, run = s.events.Next()
		run()
	}
	var used time.Duration
	for _, u := range s.upstreams {
		used += u.usedTime
		s.busiest = max(s.busiest, float64(u.arrivals)/float64(max(s.arrivals, 1))*total/u.speed)
	}
	s.used = used.Seconds() / ((p.length - time.Second).Seconds() * simSlots * float64(p.upstreams))
	return s.simResult
}

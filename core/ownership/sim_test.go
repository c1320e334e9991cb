package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

const simKeys = 1024

// simUpstream is an upstream that checks fences and owns keys under leases.
type simUpstream struct {
	owner       Owner
	up          bool
	draining    bool
	listed      bool
	partitioned bool // calls do not reach it
	drift       float64
	startedAt   time.Duration
	fence       [simKeys]int64
	until       [simKeys]time.Duration
}

func (u *simUpstream) owns(key int, now time.Duration) bool { return u.up && u.until[key] > now }

// simEvent is a scheduled event.
type simEvent struct {
	at time.Duration
	do func()
}

// sim runs the Machines of successive granters against upstreams, with lost,
// late and unanswered calls.
type sim struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	events    []simEvent
	upstreams []*simUpstream
	// highest is the highest fence with which each key was owned, owner its last owner.
	highest [simKeys]int64
	owner   [simKeys]Owner
	machine *Machine
	term    int64
	stored  []Entry
	// unansweredShare is the share of calls that get no response, lateShare the share
	// of these that take effect late.
	unansweredShare, lateShare float64
	// slowShare is the share of calls that wait for their connection.
	slowShare float64
	storeDown bool
	renewedAt time.Duration
	movesAt   time.Duration
	seed      uint64
	// views are former lists of upstreams with their times. While viewAge is not zero, machines
	// see the list of that time ago.
	views   []simView
	viewAge time.Duration
	// sameAddress means that an upstream restarts at its address: calls to an earlier
	// incarnation reach the present one.
	sameAddress bool
	// olderViews means that granters may have an older view, after a takeover too.
	olderViews bool
	// clockStepsBack means that a later incarnation may have a lower number.
	clockStepsBack bool
	// broken, unless it is nil, applies a broken rule before each Tick.
	broken func(m *Machine, now time.Duration)
	// violation is the first violation, if it must not end the test.
	violation  string
	violations bool
	// loadWindow is Config.LoadWindow of later granters, hot the bucket with a high load while it is
	// set.
	loadWindow time.Duration
	hot        int
}

// simView is the list of upstreams at a time.
type simView struct {
	at   time.Duration
	list []Upstream
}

const simLease = 3 * time.Second

func newSim(t *testing.T, seed uint64, upstreams int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), seed: seed}
	for i := range upstreams {
		s.upstreams = append(s.upstreams, &simUpstream{
			owner: Owner{UpstreamID: api.UpstreamID(fmt.Sprintf("u%02d", i)), Incarnation: 1},
			up:    true, listed: true, drift: 0.02 * s.rng.Float64(),
		})
	}
	s.takeOver(0)
	return s
}

func (s *sim) at(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now + d, do})
}

// takeOver starts the next granter. Its predecessor has stopped or was lost; calls
// in flight still arrive.
func (s *sim) takeOver(authorityLeft time.Duration) {
	s.term++
	cfg := DefaultConfig(simKeys)
	cfg.LoadWindow = s.loadWindow
	predecessor := Predecessor{Until: s.now + authorityLeft, MaxLeaseTTL: cfg.LeaseTTL}
	predecessor.InDoubtUntil = predecessor.Until + 3*time.Second
	if authorityLeft == 0 && s.machine != nil {
		predecessor.InDoubtUntil = s.machine.InDoubtUntil(s.now)
	}
	s.machine = New(cfg, s.term, slices.Clone(s.stored), predecessor)
	s.renewedAt = s.now
	s.movesAt = s.now + authorityLeft
}

func (s *sim) find(o Owner) *simUpstream {
	for _, u := range s.upstreams {
		if s.reaches(u, o) {
			return u
		}
	}
	return nil
}

// reaches reports whether a call to an owner is taken by an upstream.
func (s *sim) reaches(u *simUpstream, o Owner) bool {
	return u.owner == o || s.sameAddress && u.owner.UpstreamID == o.UpstreamID
}

func (s *sim) step(d time.Duration) {
	end := s.now + d
	for {
		next := -1
		for i, e := range s.events {
			if e.at <= end && (next < 0 || e.at < s.events[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := s.events[next]
		s.events = slices.Delete(s.events, next, next+1)
		s.now = max(s.now, e.at)
		e.do()
	}
	s.now = end
	s.tick()
	s.check()
}

// view records the present list and returns the one that the granter sees.
func (s *sim) view(list []Upstream) []Upstream {
	s.views = append(s.views, simView{s.now, list})
	seen := list
	for _, v := range s.views {
		if v.at <= s.now-s.viewAge {
			seen = v.list
		}
	}
	return seen
}

// seesIncarnation reports whether the granter's view has an incarnation; it calls no other.
func (s *sim) seesIncarnation(o Owner) bool {
	u, exists := s.machine.upstreams[o.UpstreamID]
	return !exists || u.Owner == o
}

// fail reports a violation.
func (s *sim) fail(format string, args ...any) {
	if !s.violations {
		require.Failf(s.t, "violation", format, args...)
	}
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *sim) tick() {
	var list []Upstream
	for _, u := range s.upstreams {
		if u.listed {
			list = append(list, Upstream{Owner: u.owner, Capacity: 1, MayKeepKeys: !u.draining && !u.partitioned, MayGainKeys: !u.draining && !u.partitioned})
		}
	}
	list = s.view(list)
	s.machine.SetUpstreams(list)
	if s.broken != nil {
		s.broken(s.machine, s.now)
	}
	for range 4 {
		s.machine.Observe(s.rng.IntN(simKeys/KeysPerBucket), s.rng.Float64())
	}
	if s.loadWindow > 0 {
		s.machine.Observe(s.hot, 1)
	}
	s.machine.Decay(0.99)
	if !s.storeDown {
		s.renewedAt = s.now
	}
	mode := Mode{Renew: s.now-s.renewedAt < simLease, Move: s.now >= s.movesAt}
	machine := s.machine
	for _, a := range machine.Tick(s.now, mode) {
		if a.Kind == Write {
			s.write(machine, a)
			continue
		}
		s.call(machine, a)
	}
}

func (s *sim) write(machine *Machine, a Action) {
	var try func()
	try = func() {
		if machine != s.machine {
			return
		}
		if s.storeDown {
			s.at(100*time.Millisecond, try)
			return
		}
		s.stored = a.Entries
		machine.WriteDone()
	}
	s.at(time.Duration(5+s.rng.IntN(20))*time.Millisecond, try)
}

func (s *sim) call(machine *Machine, a Action) {
	delay := time.Duration(1+s.rng.IntN(10)) * time.Millisecond
	// A slow call waits for its connection; its response comes soon after its arrival. It
	// ends with the authority of its granter.
	connecting := s.slowShare > 0 && s.rng.Float64() < s.slowShare
	if connecting {
		delay = time.Duration(s.rng.IntN(450)) * time.Millisecond
	}
	report := func(in time.Duration, result Result, handover string) {
		s.at(in, func() {
			if machine != s.machine {
				return
			}
			if a.Kind == Release {
				machine.ReleaseDone(s.now, a, result, handover)
			} else {
				machine.GrantDone(s.now, a, result)
			}
		})
	}
	u := s.find(a.Owner)
	if u == nil || u.partitioned || !u.up || !s.seesIncarnation(a.Owner) {
		report(300*time.Millisecond, NotSent, "")
		return
	}
	lost := s.rng.Float64() < s.unansweredShare
	if lost && s.rng.Float64() < s.lateShare {
		arrival := s.now + delay
		s.at(2*time.Second+time.Duration(s.rng.Int64N(int64(10*time.Second))), func() {
			if a.Kind == Grant {
				u.grant(s, a, arrival)
			} else {
				u.release(s, a)
			}
		})
		report(500*time.Millisecond, Unknown, "")
		return
	}
	s.at(delay, func() {
		if connecting {
			if machine != s.machine {
				return
			}
			delay = time.Millisecond
		}
		if !u.up {
			report(delay, Unknown, "")
			return
		}
		if !s.reaches(u, a.Owner) {
			report(delay, OwnerEnded, "")
			return
		}
		result, work := Accepted, time.Duration(0)
		if a.Kind == Grant {
			if !u.grant(s, a, s.now) {
				result = Fenced
			}
		} else {
			u.release(s, a)
			work = time.Duration(s.rng.IntN(300)) * time.Millisecond
		}
		if lost {
			result = Unknown
			work = 500 * time.Millisecond
		}
		report(delay+work, result, "h")
	})
}

// grant applies a grant with the given arrival time; it reports false if the
// upstream has seen a higher fence.
func (u *simUpstream) grant(s *sim, a Action, arrival time.Duration) bool {
	if !u.up || !s.reaches(u, a.Owner) || arrival < u.startedAt {
		return true
	}
	for key := a.Span.First; key <= a.Span.Last; key++ {
		if u.fence[key] > a.Fence {
			return false
		}
	}
	until := arrival + time.Duration(float64(a.LeaseTTL)*(1+u.drift))
	if until <= s.now {
		return true
	}
	for key := a.Span.First; key <= a.Span.Last; key++ {
		// A granter cannot know that a renewal reaches the next life at the same address.
		sameUpstream := s.owner[key] == u.owner || s.sameAddress && s.owner[key].UpstreamID == u.owner.UpstreamID
		if !sameUpstream && a.Fence <= s.highest[key] {
			s.fail("seed %d: key %d went to %v with a fence that is not above all others, at %s", s.seed, key, u.owner, s.now)
		}
		s.owner[key], s.highest[key] = u.owner, max(s.highest[key], a.Fence)
		u.fence[key], u.until[key] = a.Fence, max(u.until[key], until)
	}
	return true
}

// release ends a lease. It does not record the fence of the release: whether the
// platform's upstreams do is not specified.
func (u *simUpstream) release(s *sim, a Action) {
	for key := a.Span.First; key <= a.Span.Last; key++ {
		if u.fence[key] <= a.Fence {
			u.until[key] = min(u.until[key], s.now)
		}
	}
}

func (s *sim) check() {
	for key := 0; key < simKeys; key += KeysPerBucket {
		var first *simUpstream
		for _, u := range s.upstreams {
			if !u.owns(key, s.now) {
				continue
			}
			if first != nil {
				s.fail("seed %d: two owners: %v and %v own key %d at %s", s.seed, first.owner, u.owner, key, s.now)
			}
			first = u
		}
	}
	s.checkEntries()
}

// checkEntries checks that no key is lost or listed twice when spans are split and
// merged.
func (s *sim) checkEntries() {
	next := 0
	for _, e := range s.machine.entries {
		require.Equal(s.t, next, e.Span.First, "seed %d", s.seed)
		next = e.Span.Last + 1
	}
	require.Equal(s.t, simKeys, next, "seed %d", s.seed)
}

func (s *sim) unownedKeys() (n int) {
	for key := range simKeys {
		owned := false
		for _, u := range s.upstreams {
			owned = owned || u.owns(key, s.now)
		}
		if !owned {
			n++
		}
	}
	return n
}

// crash ends an upstream and restarts it under its ID after a delay.
func (s *sim) crash(u *simUpstream, delay time.Duration) {
	u.up = false
	u.until = [simKeys]time.Duration{}
	s.at(2600*time.Millisecond, func() { u.listed = u.up })
	s.at(delay, func() {
		u.fence, u.until = [simKeys]int64{}, [simKeys]time.Duration{}
		u.up, u.listed, u.partitioned, u.draining = true, true, false, false
		u.owner.Incarnation += 10
		if s.clockStepsBack && s.rng.IntN(3) == 0 {
			u.owner.Incarnation -= 17
		}
		u.startedAt = s.now
	})
}

// play steps through a time with random faults, until a violation that does not end the test.
func (s *sim) play() {
	for range 800 {
		s.step(50 * time.Millisecond)
		if s.violation != "" {
			return
		}
		if s.rng.IntN(20) > 0 {
			continue
		}
		u := s.upstreams[s.rng.IntN(len(s.upstreams))]
		switch s.rng.IntN(9) {
		case 0:
			s.crash(u, time.Duration(1+s.rng.IntN(6))*time.Second)
		case 1:
			u.draining = true
			s.at(3*time.Second, func() { u.draining = false })
		case 2:
			u.partitioned = true
			s.at(4*time.Second, func() { u.partitioned = false })
		case 3:
			// The entry is removed while the process keeps running.
			u.listed = false
			s.at(3*time.Second, func() { u.listed = u.up })
		case 4:
			s.unansweredShare, s.lateShare = 0.4, 0.5
			s.at(5*time.Second, func() { s.unansweredShare = 0 })
		case 5:
			s.storeDown = true
			s.at(time.Duration(s.rng.IntN(5000))*time.Millisecond, func() { s.storeDown = false })
		case 6:
			if !s.storeDown {
				s.takeOver(simLease)
				s.ageView()
			}
		case 7:
			if !s.storeDown {
				s.takeOver(0)
				s.ageView()
			}
		case 8:
			s.ageView()
		}
	}
}

// ageView makes the view older for a time, if views may be older.
func (s *sim) ageView() {
	if !s.olderViews {
		return
	}
	s.viewAge = time.Duration(s.rng.IntN(8000)) * time.Millisecond
	s.at(time.Duration(s.rng.IntN(6000))*time.Millisecond, func() { s.viewAge = 0 })
}

// TestOneOwner guards against two owners of a key, and against fences that do not
// increase, while upstreams crash, drain, restart and are partitioned, calls are
// lost, delayed or wait for their connections, the store is unavailable, and granters change.
func TestOneOwner(t *testing.T) {
	seeds := uint64(60)
	for seed := range seeds {
		s := newSim(t, seed, 8)
		s.slowShare = 0.05
		s.play()
	}
}

// TestEveryKeyServed guards against keys that stay without an owner after faults
// have ended.
func TestEveryKeyServed(t *testing.T) {
	s := newSim(t, 7, 8)
	for range 40 {
		s.step(50 * time.Millisecond)
	}
	require.Zero(t, s.unownedKeys())
	lost := s.upstreams[3]
	s.crash(lost, 20*time.Second)
	for range 80 {
		s.step(50 * time.Millisecond)
	}
	require.Zero(t, s.unownedKeys(), "the keys of a lost upstream have an owner within 4 s")
	s.upstreams[5].draining = true
	for range 40 {
		s.step(50 * time.Millisecond)
	}
	require.Zero(t, s.unownedKeys())
	for key := range simKeys {
		require.False(t, s.upstreams[5].owns(key, s.now), "a draining upstream has released its keys within 2 s")
	}
}

// TestBalance guards against an upstream that stays overloaded while others have
// room, and against a new upstream that gets no keys.
func TestBalance(t *testing.T) {
	cfg := DefaultConfig(simKeys)
	s := newSim(t, 3, 4)
	s.upstreams = append(s.upstreams, &simUpstream{owner: Owner{UpstreamID: "new", Incarnation: 1}, up: true})
	for i := range 400 {
		if i == 200 {
			s.upstreams[4].listed = true
		}
		// The first eighth of the keys gets half of the load.
		for range 10 {
			bucket := s.rng.IntN(simKeys / KeysPerBucket)
			if s.rng.IntN(2) == 0 {
				bucket /= 8
			}
			s.machine.Observe(bucket, 1)
		}
		s.step(50 * time.Millisecond)
	}
	total, most, added := 0.0, 0.0, 0.0
	for _, u := range s.machine.upstreamLoads(s.now) {
		total += u.load
		most = max(most, u.load)
		if u.Upstream.UpstreamID == "new" {
			added = u.load
		}
	}
	mean := total / 5
	require.Less(t, most, mean*cfg.BalanceAbove*1.1)
	require.Greater(t, added, mean/2)
}

// TestFailedGrantsArePaced guards against retrying a grant without delay while the
// upstream is unreachable.
func TestFailedGrantsArePaced(t *testing.T) {
	m := New(DefaultConfig(simKeys), 1, nil, Predecessor{})
	m.SetUpstreams([]Upstream{{Owner: Owner{UpstreamID: "u", Incarnation: 1}, Capacity: 1, MayKeepKeys: true, MayGainKeys: true}})
	grants := 0
	for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
		for _, a := range m.Tick(now, Mode{Renew: true, Move: true}) {
			if a.Kind == Write {
				m.WriteDone()
				continue
			}
			grants++
			m.GrantDone(now, a, NotSent)
		}
	}
	require.LessOrEqual(t, grants, 4, "one grant every 250 ms")
}

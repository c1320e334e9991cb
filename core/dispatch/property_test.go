package dispatch_test

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/dispatch"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	upstreams = 3
	ranges    = 4
)

type runID struct {
	id uint64
	up api.UpstreamID
}

// machine drives a Queue and models the state that its starts are checked against.
type machine struct {
	q           *dispatch.Queue
	keyed       bool
	keyInFlight int
	now         time.Duration
	lastID      uint64
	owner       [ranges]api.UpstreamID
	held        [ranges]bool
	limit       map[api.UpstreamID]dispatch.Limit
	queued      map[uint64]dispatch.Request
	hedged      map[uint64]dispatch.Request
	running     map[runID]dispatch.Request
	moved       map[uint64]bool
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		keyed: rapid.Bool().Draw(t, "keyed"), keyInFlight: rapid.IntRange(0, 2).Draw(t, "keyInFlight"),
		limit: map[api.UpstreamID]dispatch.Limit{}, queued: map[uint64]dispatch.Request{}, hedged: map[uint64]dispatch.Request{},
		running: map[runID]dispatch.Request{}, moved: map[uint64]bool{},
	}
	m.q = dispatch.New(dispatch.Config{QueueLength: 20, KeyInFlight: m.keyInFlight})
	for i := range m.owner {
		m.owner[i] = up(i % upstreams)
	}
	m.setLimits(t)
	return m
}

func (m *machine) setLimits(t *rapid.T) {
	var all []dispatch.Limit
	clear(m.limit)
	for i := range upstreams {
		l := dispatch.Limit{Upstream: up(i), InFlight: rapid.IntRange(0, 3).Draw(t, "limit"), Open: rapid.IntRange(0, 3).Draw(t, "open") > 0}
		if rapid.IntRange(0, 5).Draw(t, "listed") > 0 {
			all = append(all, l)
			m.limit[l.Upstream] = l
		}
	}
	m.q.SetLimits(all)
}

func (m *machine) admit(t *rapid.T) {
	m.lastID++
	r := dispatch.Request{ID: m.lastID, Caller: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "caller")), Exclusive: rapid.IntRange(0, 9).Draw(t, "exclusive") == 0}
	if rapid.Bool().Draw(t, "hasDeadline") {
		r.Deadline = m.now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline"))*ms
	}
	if m.keyed {
		r.Range = rapid.IntRange(0, ranges-1).Draw(t, "range")
		r.Key = fmt.Sprint(r.Range, "/", rapid.IntRange(0, 1).Draw(t, "key"))
		r.Upstream = m.owner[r.Range]
	}
	if m.q.Admit(m.now, r) == nil {
		m.queued[r.ID] = r
	}
}

func (m *machine) hedge(t *rapid.T) {
	f, ok := m.anyRunning(t)
	if !ok || m.keyed || m.running[f].Exclusive || m.running[f].Hedge {
		return
	}
	r := m.running[f]
	r.Hedge, r.Avoid = true, f.up
	if m.q.Admit(m.now, r) == nil {
		m.hedged[r.ID] = r
	}
}

func (m *machine) anyRunning(t *rapid.T) (runID, bool) {
	if len(m.running) == 0 {
		return runID{}, false
	}
	return rapid.SampledFrom(m.runs()).Draw(t, "run"), true
}

// runs returns the requests in flight in a fixed order.
func (m *machine) runs() []runID {
	return slices.SortedFunc(maps.Keys(m.running), func(a, b runID) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.up, b.up))
	})
}

func (m *machine) done(t *rapid.T) {
	if f, ok := m.anyRunning(t); ok {
		m.q.Done(m.now, f.id, f.up, time.Duration(rapid.IntRange(1, 50).Draw(t, "took"))*ms, rapid.Bool().Draw(t, "ok"))
		delete(m.running, f)
	}
}

func (m *machine) cancel(t *rapid.T) {
	id := rapid.Uint64Range(0, m.lastID).Draw(t, "id")
	m.q.Cancel(id)
	delete(m.queued, id)
	delete(m.hedged, id)
}

func (m *machine) reassign(t *rapid.T) {
	id := rapid.Uint64Range(0, m.lastID).Draw(t, "id")
	if r, ok := m.queued[id]; ok && m.keyed {
		r.Upstream = up(rapid.IntRange(0, upstreams-1).Draw(t, "to"))
		m.q.Reassign(id, r.Upstream)
		m.queued[id] = r
		m.moved[id] = true
	}
}

func (m *machine) hold(t *rapid.T) {
	n := rapid.IntRange(0, ranges-1).Draw(t, "range")
	m.q.HoldRange(n)
	m.held[n] = true
}

func (m *machine) release(t *rapid.T) {
	n := rapid.IntRange(0, ranges-1).Draw(t, "range")
	to := up(rapid.IntRange(0, upstreams-1).Draw(t, "to"))
	m.q.ReleaseRange(n, to)
	if !m.held[n] || !m.keyed {
		m.held[n] = false
		return
	}
	m.held[n] = false
	m.owner[n] = to
	for id, r := range m.queued {
		if r.Range == n && r.Upstream != to {
			r.Upstream = to
			m.queued[id] = r
			m.moved[id] = true
		}
	}
}

func (m *machine) next(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 30).Draw(t, "step")) * ms
	starts, expired := m.q.Next(m.now)
	for _, id := range expired {
		r, ok := m.queued[id]
		if !ok || r.Deadline == 0 {
			t.Fatalf("request %d expired, queued %v with deadline %v", id, ok, r.Deadline)
		}
		delete(m.queued, id)
	}
	for _, r := range m.queued {
		if r.Deadline != 0 && r.Deadline < m.now {
			t.Fatalf("request %d is still queued after its deadline", r.ID)
		}
	}
	for _, s := range starts {
		m.start(t, s)
	}
	m.checkWorkConserving(t)
}

// start checks one start against the rules.
func (m *machine) start(t *rapid.T, s dispatch.Start) {
	from := m.queued
	if s.Hedge {
		from = m.hedged
	}
	r, ok := from[s.ID]
	if !ok {
		t.Fatalf("start of %d, which is not queued", s.ID)
	}
	delete(from, s.ID)
	inFlight, exclusive, sameKey := 0, false, 0
	for f, other := range m.running {
		if f.up == s.Upstream {
			inFlight++
			exclusive = exclusive || other.Exclusive
			if other.Key == r.Key {
				sameKey++
			}
		}
	}
	l := m.limit[s.Upstream]
	switch {
	case !l.Open || inFlight >= l.InFlight:
		t.Fatalf("start on %v with %d in flight", l, inFlight)
	case exclusive || r.Exclusive && inFlight > 0:
		t.Fatalf("start of %d concurrent with an exclusive request", s.ID)
	case r.Deadline != 0 && r.Deadline <= m.now:
		t.Fatalf("start of %d after its deadline", s.ID)
	case s.Hedge && s.Upstream == r.Avoid:
		t.Fatalf("hedge %d starts where its first copy runs", s.ID)
	case m.keyed && (m.held[r.Range] || s.Upstream != r.Upstream):
		t.Fatalf("start of %d in a held range or not on its owner", s.ID)
	case m.keyed && m.keyInFlight > 0 && sameKey >= m.keyInFlight:
		t.Fatalf("start of %d with %d runs of its key", s.ID, sameKey)
	}
	for id, other := range m.queued {
		if m.keyed && id < s.ID && other.Key == r.Key && other.Caller == r.Caller && !m.moved[id] && !m.moved[s.ID] {
			t.Fatalf("start of %d before %d of the same key and caller", s.ID, id)
		}
	}
	m.running[runID{s.ID, s.Upstream}] = r
}

// checkWorkConserving fails if a slot stays free for which a request waits.
// Exclusive requests keep slots free by design, so cases with one are skipped.
func (m *machine) checkWorkConserving(t *rapid.T) {
	free := map[api.UpstreamID]int{}
	for id, l := range m.limit {
		if l.Open {
			free[id] = l.InFlight
		}
	}
	for f, r := range m.running {
		free[f.up]--
		if r.Exclusive {
			return
		}
	}
	for _, r := range m.queued {
		if r.Exclusive || m.keyInFlight > 0 {
			return
		}
	}
	for _, r := range m.queued {
		for id, n := range free {
			if n > 0 && (!m.keyed || r.Upstream == id && !m.held[r.Range]) {
				t.Fatalf("request %d waits while %s has %d free slots", r.ID, id, n)
			}
		}
	}
}

// drain finishes all requests and checks that none is lost and no state is kept.
func (m *machine) drain(t *rapid.T) {
	for n := range ranges {
		m.q.ReleaseRange(n, "")
		m.held[n] = false
	}
	all := limits(upstreams, 2)
	for _, l := range all {
		m.limit[l.Upstream] = l
	}
	m.q.SetLimits(all)
	for range 3 * (len(m.queued) + len(m.hedged) + len(m.running) + 1) {
		m.next(t)
		for _, f := range m.runs() {
			m.q.Done(m.now, f.id, f.up, ms, true)
			delete(m.running, f)
		}
	}
	if len(m.queued) > 0 {
		t.Fatalf("%d requests never start", len(m.queued))
	}
	m.q.Next(time.Hour) // expires hedges with a deadline, which are not reported
	for id := range m.hedged {
		m.q.Cancel(id)
	}
	if n := m.q.RetainedEntries(); n > 0 {
		t.Fatalf("%d entries are kept without a request", n)
	}
}

// TestRandomOperations guards against starts that violate a rule, lost requests and
// leaked state under random sequences of operations.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"admit": m.admit, "admit2": m.admit, "hedge": m.hedge, "next": m.next, "done": m.done, "cancel": m.cancel,
			"reassign": m.reassign, "hold": m.hold, "release": m.release, "limits": m.setLimits,
		})
		m.drain(t)
	})
}

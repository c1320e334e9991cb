package ownerhealth

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
)

// bed reports to a Monitor as four VMs do, each of which sends to each of the upstreams.
type bed struct {
	t       *testing.T
	m       *Monitor
	now     time.Duration
	owners  []ownership.Owner
	changes []Change
	id      uint64
}

const (
	bedVMs   = 4
	bedSlots = 2
	bedWork  = 100 * ms
)

func newBed(t *testing.T, upstreams int) *bed {
	b := &bed{t: t, m: NewMonitor(), now: time.Hour}
	for i := range upstreams {
		b.owners = append(b.owners, ownership.Owner{UpstreamID: api.UpstreamID(fmt.Sprintf("u%d", i)), Incarnation: 1})
	}
	return b
}

// outcome is what a VM records of the sends to an upstream in 100 ms.
type outcome func(r *Recorder, now time.Duration, vm int, owner ownership.Owner, id uint64)

func respond(factor float64, failed bool) outcome {
	return func(r *Recorder, now time.Duration, _ int, owner ownership.Owner, id uint64) {
		r.Sent(now, owner, bedWork)
		r.Responded(now, owner, Response{Took: time.Duration(factor * float64(bedWork)), Expected: bedWork, Failed: failed, Fingerprint: id, Slots: bedSlots})
	}
}

func breaks(r *Recorder, now time.Duration, _ int, owner ownership.Owner, id uint64) {
	r.Sent(now, owner, bedWork)
	r.Broken(now, owner, id)
}

// run reports for a time. The upstreams without an outcome of their own serve their requests.
func (b *bed) run(d time.Duration, outcomes map[int]outcome) {
	for end := b.now + d; b.now < end; b.now += 100 * ms {
		for vm := range bedVMs {
			r := NewRecorder()
			for i, owner := range b.owners {
				// Each VM sends to a third of the upstreams at a time.
				if (i+vm+int(b.now/(100*ms)))%3 > 0 || b.m.Verdict(owner).Failing {
					continue
				}
				b.id++
				do := outcomes[i]
				if do == nil {
					do = respond(1, false)
				}
				do(r, b.now, vm, owner, b.id)
			}
			b.m.Observe(b.now, api.VMID(fmt.Sprint("vm", vm)), r.Take(b.now))
		}
		b.step()
	}
}

func (b *bed) step() {
	var candidates []Candidate
	for _, owner := range b.owners {
		candidates = append(candidates, Candidate{Owner: owner, Slots: bedSlots, Usable: true})
	}
	b.changes = append(b.changes, b.m.Step(b.now, "svc", candidates)...)
}

func (b *bed) kinds() (kinds []ChangeKind) {
	for _, c := range b.changes {
		kinds = append(kinds, c.Kind)
	}
	return kinds
}

func (b *bed) capacity(i int) float64 { return b.m.Verdict(b.owners[i]).Capacity }

// TestFailingShareReducesCapacity guards against an upstream that fails half of its requests and
// keeps its keys, and against one that keeps a reduced capacity when it no longer fails.
func TestFailingShareReducesCapacity(t *testing.T) {
	b := newBed(t, 10)
	b.run(5*time.Second, nil)
	require.InDelta(t, 1, b.capacity(0), 0.1)
	n := 0
	b.run(4*time.Second, map[int]outcome{0: func(r *Recorder, now time.Duration, vm int, owner ownership.Owner, id uint64) {
		n++
		respond(1, n%2 == 0)(r, now, vm, owner, id)
	}})
	require.Less(t, b.capacity(0), 0.25)
	require.Equal(t, []ChangeKind{Failing}, b.kinds())
	b.run(20*time.Second, nil)
	require.InDelta(t, 1, b.capacity(0), 0.1)
	require.Equal(t, []ChangeKind{Failing, Recovered}, b.kinds(), "no oscillation")
	require.InDelta(t, 1, b.capacity(1), 0.1)
}

// TestFailedUpstreamLosesItsKeys guards against an upstream that fails everything and keeps its keys
// for longer than a second and a report, and against one that gets them back again and again.
func TestFailedUpstreamLosesItsKeys(t *testing.T) {
	for name, fails := range map[string]outcome{"responses": respond(1, true), "connections": breaks} {
		b := newBed(t, 10)
		b.run(5*time.Second, nil)
		b.run(1200*ms, map[int]outcome{0: fails})
		require.True(t, b.m.Verdict(b.owners[0]).Failing, name)
		require.True(t, b.m.IsReduced(b.owners[0]), name)
		b.run(40*time.Second, map[int]outcome{0: fails})
		failed, trials := 0, 0
		for _, c := range b.changes {
			switch c.Kind {
			case Failed:
				failed++
			case Trial:
				trials++
			}
		}
		require.Contains(t, []int{3, 4}, failed, "%s: after 5, 10 and 20 s", name)
		require.Contains(t, []int{2, 3}, trials, name)
		b.run(90*time.Second, nil)
		require.InDelta(t, 1, b.capacity(0), 0.1, name)
		require.Equal(t, Recovered, b.changes[len(b.changes)-1].Kind, name)
	}
}

// TestFailuresOfOneVMDoNotCount guards against keys that move since one VM has lost its link to an
// upstream, or to many.
func TestFailuresOfOneVMDoNotCount(t *testing.T) {
	oneVM := func(r *Recorder, now time.Duration, vm int, owner ownership.Owner, id uint64) {
		if vm == 0 {
			breaks(r, now, vm, owner, id)
			return
		}
		respond(1, false)(r, now, vm, owner, id)
	}
	for _, broken := range []int{1, 8} {
		b := newBed(t, 10)
		b.run(5*time.Second, nil)
		outcomes := make(map[int]outcome)
		for i := range broken {
			outcomes[i] = oneVM
		}
		b.run(5*time.Second, outcomes)
		require.Empty(t, b.changes)
		for i := range b.owners {
			require.InDelta(t, 1, b.capacity(i), 0.1)
		}
	}
}

// TestRequestAsCauseDoesNotCount guards against upstreams that lose capacity to requests that fail
// everywhere.
func TestRequestAsCauseDoesNotCount(t *testing.T) {
	b := newBed(t, 10)
	n := 0
	poison := func(r *Recorder, now time.Duration, vm int, owner ownership.Owner, _ uint64) {
		n++
		respond(1, n%2 == 0)(r, now, vm, owner, 7)
	}
	b.run(5*time.Second, nil)
	b.run(5*time.Second, map[int]outcome{0: poison, 1: poison, 2: poison})
	require.NotContains(t, b.kinds(), Failing)
	require.NotContains(t, b.kinds(), Failed)
}

// TestFullQueueDoesNotCount guards against an overloaded upstream that loses its keys since it
// resets what it cannot queue.
func TestFullQueueDoesNotCount(t *testing.T) {
	b := newBed(t, 10)
	n := 0
	b.run(5*time.Second, nil)
	b.run(5*time.Second, map[int]outcome{0: func(r *Recorder, now time.Duration, vm int, owner ownership.Owner, id uint64) {
		if n++; n%2 == 0 {
			breaks(r, now, vm, owner, id)
			return
		}
		r.Sent(now, owner, bedWork)
		r.Responded(now, owner, Response{Took: 5 * bedWork, Expected: bedWork, Waiting: 4 * bedSlots, Slots: bedSlots})
	}})
	require.NotContains(t, b.kinds(), Failing)
	require.NotContains(t, b.kinds(), Failed)
}

// TestMassFailureMovesNothing guards against moves when most upstreams fail, become slow or fall
// silent at once: the cause is common to them.
func TestMassFailureMovesNothing(t *testing.T) {
	for name, fails := range map[string]outcome{
		"fail": respond(1, true), "slow": respond(6, false), "break": breaks,
		"silent": func(r *Recorder, now time.Duration, _ int, owner ownership.Owner, _ uint64) {
			r.Sent(now-2*time.Second, owner, bedWork)
		},
	} {
		b := newBed(t, 10)
		b.run(5*time.Second, nil)
		outcomes := make(map[int]outcome)
		for i := range 7 {
			outcomes[i] = fails
		}
		b.run(5*time.Second, outcomes)
		for i := range b.owners {
			require.False(t, b.m.Verdict(b.owners[i]).Failing, name)
			require.InDelta(t, 1, b.capacity(i), 0.2, name)
		}
		require.Equal(t, []ChangeKind{Held}, b.kinds(), name)
		b.run(30*time.Second, nil)
		require.Equal(t, []ChangeKind{Held, HoldEnded}, b.kinds(), name)
	}
}

// TestOnlyUpstreamKeepsItsKeys guards against keys without an owner when the only upstream fails.
func TestOnlyUpstreamKeepsItsKeys(t *testing.T) {
	b := newBed(t, 1)
	b.run(5*time.Second, nil)
	b.run(5*time.Second, map[int]outcome{0: respond(1, true)})
	require.False(t, b.m.Verdict(b.owners[0]).Failing)
}

// TestSilentUpstreamLosesItsKeys guards against an upstream that hangs and keeps its keys, and
// against one that counts as silent since it has nothing to do.
func TestSilentUpstreamLosesItsKeys(t *testing.T) {
	b := newBed(t, 10)
	b.run(5*time.Second, nil)
	r := NewRecorder()
	r.Sent(b.now, b.owners[0], bedWork)
	for end := b.now + 1500*ms; b.now < end; b.now += 100 * ms {
		for vm := range bedVMs {
			report := r.Take(b.now)
			if vm > 1 {
				report = Report{}
			}
			b.m.Observe(b.now, api.VMID(fmt.Sprint("vm", vm)), report)
		}
		b.step()
	}
	require.Equal(t, []ChangeKind{Silent}, b.kinds(), "only the upstream with requests")
	require.True(t, b.m.Verdict(b.owners[0]).Failing)
}

// TestSlowUpstreamAndNoise guards against an upstream that becomes five times slower and keeps its
// capacity for longer than 2 s, and against keys that move for noise of 0.4 s.
func TestSlowUpstreamAndNoise(t *testing.T) {
	b := newBed(t, 10)
	for range 10 {
		b.run(400*ms, map[int]outcome{3: respond(3, false)})
		b.run(1600*ms, nil)
	}
	require.Empty(t, b.changes)
	b.run(2*time.Second, map[int]outcome{0: respond(5, false)})
	require.Equal(t, []ChangeKind{Slow}, b.kinds())
	require.Less(t, b.capacity(0), 0.5)
	b.run(3*time.Second, map[int]outcome{0: respond(5, false)})
	require.Less(t, b.capacity(0), 0.3)
	b.run(15*time.Second, nil)
	require.Equal(t, []ChangeKind{Slow, Recovered}, b.kinds())
	require.InDelta(t, 1, b.capacity(0), 0.2)
}

// TestStatedSlowness guards against a busy upstream that says that it is slow and keeps its capacity
// for longer than 2 s, and against one that loses keys, or loses them again and again, since it says
// so falsely.
func TestStatedSlowness(t *testing.T) {
	states := func(factor, slowdown float64, waiting int) outcome {
		return func(r *Recorder, now time.Duration, _ int, owner ownership.Owner, id uint64) {
			r.Sent(now, owner, bedWork)
			r.Responded(now, owner, Response{Took: time.Duration(factor * float64(bedWork)), Expected: bedWork, Fingerprint: id, Waiting: waiting, Slots: bedSlots, Slowdown: slowdown})
		}
	}
	b := newBed(t, 10)
	b.run(5*time.Second, map[int]outcome{0: states(3, 1, 4), 1: states(1, 1, 0)})
	require.Empty(t, b.changes)
	b.run(1500*ms, map[int]outcome{0: states(15, 5, 4), 1: states(1, 5, 0)})
	require.Equal(t, []ChangeKind{Slow}, b.kinds())
	require.Less(t, b.capacity(0), 0.4)
	b.run(20*time.Second, map[int]outcome{0: states(15, 5, 4), 1: states(2, 5, 2)})
	require.Equal(t, []ChangeKind{Slow}, b.kinds())
	require.InDelta(t, 1, b.capacity(1), 0.2)
}

// TestStartTreatsAllAsHealthy guards against a granter without measurements that moves keys.
func TestStartTreatsAllAsHealthy(t *testing.T) {
	b := newBed(t, 3)
	b.step()
	require.Empty(t, b.changes)
	for i := range b.owners {
		require.Equal(t, Verdict{Capacity: 1}, b.m.Verdict(b.owners[i]))
	}
}

// TestInvalidReports guards against values of another VM that make a capacity infinite or negative.
func TestInvalidReports(t *testing.T) {
	b := newBed(t, 2)
	owner := b.owners[0]
	for _, v := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
		b.m.Observe(b.now, "vm0", Report{
			Samples:  []Sample{{Owner: owner, Succeeded: math.MinInt, Expected: v, Observed: v, Ahead: v}, {Owner: owner, Succeeded: math.MaxInt, Expected: 1, Observed: 1, Ahead: v}},
			Failures: []Failure{{Owner: owner, Responses: math.MinInt, Broken: math.MaxInt}},
			Pending:  []Pending{{Owner: owner, ForMs: math.MaxInt64, ExpectedMs: math.MinInt64}},
		})
		b.step()
		b.now += time.Second
		if verdict := b.m.Verdict(owner); !verdict.Failing {
			require.Greater(t, verdict.Capacity, 0.0)
			require.LessOrEqual(t, verdict.Capacity, maxSpeed)
		}
	}
}

package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simStep      = 10 * time.Millisecond
	simPause     = 80 * time.Millisecond  // between a response and the next call
	simMessage   = 250 * time.Millisecond // between words of the watcher
	simLink      = 700 * time.Millisecond // silence after which a VM has no watcher
	simElection  = 1500 * time.Millisecond
	simAway      = 1200 * time.Millisecond // without a response, after which the watcher says that the store is away
	simOutageEnd = 10 * time.Second
	// simOtherCalls is the time between calls of a VM to other tables.
	simOtherCalls = 350 * time.Millisecond
)

// simVM follows a table whose versions are the times of the changes, in steps.
type simVM struct {
	table   Table
	known   int64
	calling bool
	full    bool // the call reads the whole table
	// sentAt is when the call was sent, endsAt until when the VM waits for it.
	sentAt, endsAt time.Duration
	call           Call
	answered       bool // the store has the call and will answer it
	idleUntil      time.Duration
	pausing        bool // after a failed call
	cut            bool // from the store
	// relayUntil is until when the VM relies on the rows that the watcher passes on.
	relayUntil time.Duration
	// answeredAt is when the store last answered the VM; otherAt is when its next call to another
	// table is due, 0 if it makes none.
	answeredAt, otherAt time.Duration
}

// simulation plays VMs, one of which is the watcher, and a store that never answers calls that
// it gets during a silence, nor those that wait when it begins.
type simulation struct {
	vms     []*simVM
	watcher int
	// nextWatcherAt is when the VMs have another watcher after the loss of one.
	nextWatcherAt time.Duration
	lost          map[int]bool
	rng           *rand.Rand
	silences      [][2]time.Duration
	changes       []time.Duration
	calls         int
	// relays means that the watcher passes rows on, atOnce that VMs call the store as soon as it
	// does not.
	relays, atOnce bool
}

func newSimulation(vms int) *simulation {
	s := &simulation{lost: make(map[int]bool), rng: rand.New(rand.NewPCG(uint64(vms), 1))}
	for i := range vms {
		// The VMs start one after the other.
		s.vms = append(s.vms, &simVM{table: NewTable(cfg), idleUntil: time.Duration(i) * simPause / time.Duration(vms)})
	}
	return s
}

func (s *simulation) silent(now time.Duration) bool {
	for _, silence := range s.silences {
		if silence[0] <= now && now < silence[1] {
			return true
		}
	}
	return false
}

// newest returns the version of the newest change.
func (s *simulation) newest(now time.Duration) (version int64) {
	for _, at := range s.changes {
		if at <= now {
			version = int64(at / simStep)
		}
	}
	return version
}

// step plays one moment.
func (s *simulation) step(now time.Duration) {
	if s.watcher < 0 && now >= s.nextWatcherAt {
		for s.watcher = 0; s.lost[s.watcher] || s.vms[s.watcher].cut; s.watcher++ {
		}
		s.vms[s.watcher].table.Unwatch()
	}
	for i, vm := range s.vms {
		if !s.lost[i] {
			s.stepVM(now, vm, i == s.watcher)
		}
	}
	if s.watcher < 0 || now%simMessage != 0 {
		return
	}
	watcher := s.vms[s.watcher]
	for i, vm := range s.vms {
		if i == s.watcher || s.lost[i] {
			continue
		}
		watcher.table.Reported(now, vm.table.Newest())
		vm.table.StoreAway(now, now-watcher.answeredAt > simAway)
		if age, ok := watcher.table.Age(now); ok {
			vm.table.Vouched(now, age+time.Millisecond, watcher.table.Newest())
			if s.relays && vm.table.known > 0 {
				vm.known = max(vm.known, watcher.known)
				vm.table.Relayed(now, age+time.Millisecond, watcher.table.known)
				vm.relayUntil = now + min(simLink, cfg.MaxAge-age)
			}
		}
	}
}

func (s *simulation) stepVM(now time.Duration, vm *simVM, watching bool) {
	if vm.otherAt > 0 && now >= vm.otherAt {
		vm.otherAt = now + simOtherCalls
		if !s.silent(now) && !vm.cut {
			vm.table.StoreAnswered(now, now)
		}
	}
	if !vm.calling {
		if now < vm.idleUntil || vm.pausing && now < vm.table.RetryAt(now) {
			return
		}
		if !watching && (now < vm.relayUntil || !s.atOnce && now < vm.table.CallAt(now)) {
			return
		}
		s.calls++
		vm.pausing = false
		if vm.full {
			vm.call = vm.table.BeginRead(now)
		} else {
			vm.call = vm.table.Begin(now, watching, len(s.vms))
		}
		vm.calling, vm.sentAt, vm.endsAt = true, now, now+vm.call.Timeout
		vm.answered = !s.silent(now) && !vm.cut
		return
	}
	vm.answered = vm.answered && !s.silent(now) && !vm.cut
	switch newest := s.newest(now); {
	case vm.answered && (vm.full || newest > vm.known || now >= vm.sentAt+vm.call.Wait):
		vm.calling, vm.full, vm.known = false, false, newest
		vm.table.Answered(now, int64(now/simStep), newest)
		vm.idleUntil, vm.answeredAt = now+simPause, now
	case now >= vm.endsAt:
		vm.calling, vm.idleUntil, vm.pausing = false, now, vm.call.Wait == 0
		if vm.pausing {
			vm.table.Failed(now, false, len(s.vms), s.rng.Float64())
		} else {
			vm.table.Lost()
		}
	default:
		verdict, _ := vm.table.Check(now)
		if verdict == Overtaken {
			vm.table.GivenUp()
		}
		if verdict != Continue {
			vm.calling, vm.idleUntil, vm.full = false, now, vm.full || verdict == Behind
		}
	}
}

// play plays until a time and returns how long each VM that is not lost or cut took to know
// the last change at the latest.
func (s *simulation) play(until time.Duration, at func(now time.Duration)) (late time.Duration) {
	last := s.changes[len(s.changes)-1]
	for now := time.Duration(0); now < until; now += simStep {
		at(now)
		s.step(now)
		if now < last {
			continue
		}
		for i, vm := range s.vms {
			if !s.lost[i] && !vm.cut && vm.known != s.newest(now) {
				late = now - last
			}
		}
	}
	return late
}

// TestChangeAfterLostCalls guards against VMs that learn of a change late because the store has
// never answered the calls that it got in a silence, although it answers later ones. The bound
// is that of a configuration: 2 s.
func TestChangeAfterLostCalls(t *testing.T) {
	const bound = 2 * time.Second
	for _, vms := range []int{1, 2, 11, 300} {
		for _, length := range []time.Duration{100 * time.Millisecond, time.Second, 9 * time.Second} {
			for _, pieces := range []bool{false, true} {
				for after := time.Second; after <= 8*time.Second; after += 1700 * time.Millisecond {
					t.Run(fmt.Sprint(vms, length, pieces, after), func(t *testing.T) {
						s := newSimulation(vms)
						begin := simOutageEnd - length
						s.silences = [][2]time.Duration{{begin, simOutageEnd}}
						if pieces {
							s.silences = [][2]time.Duration{{begin, begin + length/3}, {begin + length/2, simOutageEnd}}
						}
						// A change right before the silence, so that all VMs call again in it.
						s.changes = []time.Duration{begin - 50*time.Millisecond, simOutageEnd + after}
						require.LessOrEqual(t, s.play(simOutageEnd+after+5*time.Second, func(time.Duration) {}), bound)
					})
				}
			}
		}
	}
}

// TestChangeInOutage guards against VMs that act on an old configuration for longer than the
// bound after a silence of the store with a change in it: 2 s from the change, 3 s from the
// silence (CONFIG). Their calls of the last moments of the silence get no response.
func TestChangeInOutage(t *testing.T) {
	const bound, afterOutage = 2 * time.Second, 3 * time.Second
	for _, vms := range []int{1, 2, 11, 78, 195} {
		for _, others := range []int{0, 1, vms} {
			for length := 4 * time.Second; length <= 9*time.Second; length += 170 * time.Millisecond {
				for _, after := range []time.Duration{0, 400 * time.Millisecond, time.Second} {
					t.Run(fmt.Sprint(vms, others, length, after), func(t *testing.T) {
						s := newSimulation(vms)
						for i := range others {
							s.vms[vms-1-i].otherAt = time.Duration(i+1) * simOtherCalls / time.Duration(others)
						}
						s.silences = [][2]time.Duration{{simOutageEnd - length, simOutageEnd}}
						s.changes = []time.Duration{simOutageEnd + after}
						late := s.play(simOutageEnd+6*time.Second, func(time.Duration) {})
						require.LessOrEqual(t, late, max(bound, afterOutage-after))
					})
				}
			}
		}
	}
}

// TestOwnAnswersEndAPause guards against a VM that waits for the end of a call or of a pause
// although the store answers its other calls.
func TestOwnAnswersEndAPause(t *testing.T) {
	const other = 100 * time.Millisecond
	table := NewTable(cfg)
	table.Answered(0, 5, 5)
	table.Lost()
	table.Begin(time.Second, false, 11)
	table.StoreAnswered(time.Second+other, time.Second+other/2)
	verdict, next := table.Check(time.Second + other)
	require.Equal(t, Continue, verdict)
	require.Equal(t, time.Second+cfg.ResponseTime, next)
	verdict, _ = table.Check(next)
	require.Equal(t, Overtaken, verdict)
	table.GivenUp()

	table.Begin(2*time.Second, false, 11)
	table.StoreAnswered(2*time.Second+other, 2*time.Second+other)
	verdict, next = table.Check(3 * time.Second)
	require.Equal(t, Continue, verdict, "the call after one that was overtaken has its whole time: the store may be slow")
	require.Zero(t, next)

	failed := 2*time.Second + cfg.CallTimeout
	table.Failed(failed, false, 11, 0)
	require.Equal(t, failed, table.RetryAt(failed))
	table.Begin(failed, false, 11)
	table.Failed(failed+other, true, 11, 0)
	require.Greater(t, table.RetryAt(failed+other), failed+other, "no response since this call began")
	table.StoreAnswered(failed+2*other, failed+2*other)
	require.Equal(t, failed+other+cfg.RetryDelay*3/4, table.RetryAt(failed+2*other), "the store refuses this call and answers others: no haste")
}

// TestRetryDelays guards against VMs that load a store which they cannot reach, and against a VM
// without the word of the watcher that is late after an outage.
func TestRetryDelays(t *testing.T) {
	table := NewTable(cfg)
	now := time.Second
	for range 5 {
		table.Begin(now, false, 195)
		table.Failed(now, false, 195, 1)
		require.LessOrEqual(t, table.RetryAt(now)-now, cfg.MaxRetryDelay*5/4)
		now += time.Second
	}
	require.Equal(t, now-time.Second+cfg.MaxRetryDelay*5/4, table.RetryAt(now))
	now += 10 * time.Second
	table.Failed(now, false, 195, 0)
	for at := now; at < now+4*time.Second; at += time.Second {
		table.StoreAway(at, true)
		require.Greater(t, table.RetryAt(at), at+cfg.MaxAge-time.Millisecond, "the store does not answer the watcher either")
	}
	table.StoreAway(now+4*time.Second, false)
	require.LessOrEqual(t, table.RetryAt(now+4*time.Second), now+4*time.Second)
	table.Begin(now+4*time.Second, false, 195)
	table.Failed(now+4*time.Second, false, 195, 0)
	require.Equal(t, now+4*time.Second+cfg.MaxRetryDelay*3/4, table.RetryAt(now+4*time.Second), "the watcher's word ends one pause")
	table.Reported(now+4*time.Second, 9)
	require.Equal(t, now+4*time.Second+cfg.RetryDelay*3/4, table.RetryAt(now+4*time.Second), "this VM lacks a change")
}

// TestChangeWithoutWatcher guards against VMs that learn of a change late because the watcher
// is lost or cut off from the store right before it, and their own calls were lost earlier.
func TestChangeWithoutWatcher(t *testing.T) {
	const bound = 2 * time.Second
	for _, vms := range []int{2, 11, 100} {
		for _, cut := range []bool{false, true} {
			for before := time.Duration(0); before <= 2*time.Second; before += 130 * time.Millisecond {
				t.Run(fmt.Sprint(vms, cut, before), func(t *testing.T) {
					s := newSimulation(vms)
					s.silences = [][2]time.Duration{{simOutageEnd - time.Second, simOutageEnd}}
					change := simOutageEnd + 6*time.Second
					s.changes = []time.Duration{simOutageEnd - 1050*time.Millisecond, change}
					late := s.play(change+5*time.Second, func(now time.Duration) {
						if now != (change - before).Truncate(simStep) {
							return
						}
						if cut {
							s.vms[0].cut = true // it stays the watcher
							return
						}
						s.lost[0], s.watcher, s.nextWatcherAt = true, -1, now+simLink+simElection
					})
					require.LessOrEqual(t, late, bound)
				})
			}
		}
	}
}

// TestCallsAtRest guards against calls to the store that grow with the number of VMs by more
// than one long call of each.
func TestCallsAtRest(t *testing.T) {
	const minute = time.Minute
	calls := func(vms int) int {
		s := newSimulation(vms)
		s.changes = []time.Duration{0}
		s.play(minute, func(time.Duration) {})
		return s.calls
	}
	watcher := int(minute / (cfg.WatchWait + simPause))
	long := int(minute/cfg.LongWait) + 2 // one before there is a word of the watcher
	for _, vms := range []int{1, 11, 300} {
		require.LessOrEqual(t, calls(vms), watcher+1+(vms-1)*long)
	}
}

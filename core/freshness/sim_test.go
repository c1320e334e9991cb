package freshness

import (
	"fmt"
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
	simOutageEnd = 10 * time.Second
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
	cut            bool // from the store
}

// simulation plays VMs, one of which is the watcher, and a store that never answers calls that
// it gets during a silence, nor those that wait when it begins.
type simulation struct {
	vms     []*simVM
	watcher int
	// nextWatcherAt is when the VMs have another watcher after the loss of one.
	nextWatcherAt time.Duration
	lost          map[int]bool
	silences      [][2]time.Duration
	changes       []time.Duration
	calls         int
}

func newSimulation(vms int) *simulation {
	s := &simulation{lost: make(map[int]bool)}
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
		if age, ok := watcher.table.Age(now); ok {
			vm.table.Vouched(now, age+time.Millisecond, watcher.table.Newest())
		}
	}
}

func (s *simulation) stepVM(now time.Duration, vm *simVM, watching bool) {
	if !vm.calling {
		if now < vm.idleUntil {
			return
		}
		s.calls++
		vm.call = vm.table.Begin(now, watching, len(s.vms))
		if vm.full {
			vm.call = Call{Timeout: cfg.CallTimeout}
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
		vm.idleUntil = now + simPause
	case now >= vm.endsAt:
		vm.calling, vm.idleUntil = false, now
		vm.table.Lost()
	default:
		verdict, _ := vm.table.Check(now)
		if verdict != Continue && !vm.full {
			vm.calling, vm.idleUntil, vm.full = false, now, verdict == Behind
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

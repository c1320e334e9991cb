package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loseWatcher plays the loss of a watcher that passes rows on, gap before the next one, with a
// change of the table some time after the loss. It returns the calls of all VMs in the 5 s after the
// loss, and how long the last VM took to know the change.
func loseWatcher(vms int, gap, change time.Duration, atOnce bool) (calls int, late time.Duration) {
	s := newSimulation(vms)
	s.relays, s.atOnce = true, atOnce
	loss := simOutageEnd + simStep*time.Duration(vms%25) // between two messages of the watcher
	s.changes = []time.Duration{0, loss + change}
	before := 0
	late = s.play(loss+5*time.Second, func(now time.Duration) {
		if now == loss {
			before = s.calls
			s.lost[0], s.watcher, s.nextWatcherAt = true, -1, now+gap
		}
	})
	return s.calls - before, late
}

// oldestWord is the highest age of what VMs know when the watcher is lost: one call of it and the
// time between two of its messages.
const oldestWord = 700*time.Millisecond + simPause + simMessage

// TestLossOfWatcher guards against VMs that all call the store when the watcher is lost, although
// what it has passed on is young enough until the next one continues, and against a change that a
// VM learns of late since it has not called. The bound is that of a configuration and of a
// draining upstream: 2 s.
func TestLossOfWatcher(t *testing.T) {
	const bound = 2 * time.Second
	for _, vms := range []int{3, 70, 300} {
		before, now, late := 0, 0, time.Duration(0)
		for gap := 300 * time.Millisecond; gap <= 1500*time.Millisecond; gap += 200 * time.Millisecond {
			for change := -time.Second; change <= 2*time.Second; change += 230 * time.Millisecond {
				t.Run(fmt.Sprint(vms, gap, change), func(t *testing.T) {
					atOnce, _ := loseWatcher(vms, gap, change.Truncate(simStep), true)
					calls, took := loseWatcher(vms, gap, change.Truncate(simStep), false)
					require.LessOrEqual(t, took, bound)
					require.LessOrEqual(t, calls, atOnce+1)
					if gap+simMessage+oldestWord < cfg.MaxAge {
						require.LessOrEqual(t, calls, int(5*time.Second/cfg.WatchWait)+1, "the next watcher calls alone")
					}
					before, now, late = before+atOnce, now+calls, max(late, took)
				})
			}
		}
		t.Logf("%d VMs: %.2f of the calls of VMs that call at once (%d and %d in all cases), the last VM knows a change after %v", vms, float64(now)/float64(before), now, before, late)
	}
}

// TestLossOfWatcherInSilence guards against a VM that has waited for the next watcher and whose
// first call is lost: the store answers none of the calls that it gets in a silence that begins with
// the loss.
func TestLossOfWatcherInSilence(t *testing.T) {
	const bound, afterSilence = 2 * time.Second, 3 * time.Second
	for _, vms := range []int{3, 70, 300} {
		for length := 200 * time.Millisecond; length <= 3*time.Second; length += 200 * time.Millisecond {
			t.Run(fmt.Sprint(vms, length), func(t *testing.T) {
				s := newSimulation(vms)
				s.relays = true
				s.silences = [][2]time.Duration{{simOutageEnd, simOutageEnd + length}}
				s.changes = []time.Duration{0, simOutageEnd + length + time.Second}
				late := s.play(simOutageEnd+length+8*time.Second, func(now time.Duration) {
					if now == simOutageEnd {
						s.lost[0], s.watcher, s.nextWatcherAt = true, -1, max(now+simElection, simOutageEnd+length)
					}
				})
				require.LessOrEqual(t, late, max(bound, afterSilence-time.Second))
			})
		}
	}
}

// TestCallAt guards against a VM that waits for the next watcher although it lacks a change, has
// lost a call or is the watcher itself, and against a watcher whose first word is late.
func TestCallAt(t *testing.T) {
	table := NewTable(cfg)
	table.Answered(0, 5, 5)
	require.Equal(t, time.Second, table.CallAt(time.Second), "no watcher has passed rows on")
	table.Relayed(time.Second, 300*time.Millisecond, 7)
	require.Equal(t, 700*time.Millisecond+cfg.MaxAge, table.CallAt(time.Second))
	table.Vouched(1200*time.Millisecond, time.Millisecond, 7)
	require.Equal(t, 700*time.Millisecond+cfg.MaxAge, table.CallAt(1200*time.Millisecond), "without the rows its word does not suffice")
	table.Reported(1200*time.Millisecond, 8)
	require.Equal(t, 1200*time.Millisecond, table.CallAt(1200*time.Millisecond))
	table.Relayed(1300*time.Millisecond, 0, 8)
	require.Greater(t, table.CallAt(1300*time.Millisecond), 1300*time.Millisecond)
	table.Lost()
	require.Equal(t, 1400*time.Millisecond, table.CallAt(1400*time.Millisecond))
	table.Answered(1400*time.Millisecond, 8, 8)
	table.Unwatch()
	require.Equal(t, 1400*time.Millisecond, table.CallAt(1400*time.Millisecond))
	require.Equal(t, cfg.WatchWait, table.Begin(1400*time.Millisecond, true, 70).Wait)
	require.Zero(t, table.Begin(3*time.Second, true, 70).Wait, "the others wait for the watcher's word")
}

package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// Guards against a revision that is reported in force while a VM still works
// under an older one: a VM whose confirmation had lapsed is confirmed again by
// heartbeats that others sent before they knew the revision.
func TestInForceWaitsForVMThatMayBeConfirmedAgain(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.write(1)
	w.read("a", "b", "c")
	w.exchange(5, "a", "b", "c")
	w.exchange(15, "a", "b") // c is paused for 3 s
	w.exchange(1, "a", "b")
	working, _ := w.working("c")
	require.False(t, working, "the confirmation has lapsed")
	// c resumes and says that it takes no work. Its own messages arrive at once;
	// those to it wait.
	w.vms["a"].heartbeat(w.now)
	w.vms["b"].heartbeat(w.now)
	var late []message
	for _, m := range w.queue {
		if m.to == "c" {
			late = append(late, m)
		}
	}
	w.queue = nil
	w.vms["c"].heartbeat(w.now)
	for _, m := range w.queue {
		w.vms[m.to].receive(m.from, m.frame)
	}
	w.write(2)
	w.read("a", "b")
	w.exchange(1, "a", "b")
	p := w.progress("a", 2)
	require.True(t, p.Accepted)
	for _, m := range late {
		w.vms["c"].receive(m.from, m.frame)
	}
	w.vms["c"].tick()
	working, revision := w.working("c")
	require.True(t, working, "the case needs a VM that is confirmed again")
	require.Equal(t, uint64(1), revision)
	require.False(t, p.InForce, "c works under revision 1")
	require.Equal(t, []api.VMID{"c"}, p.Missing)
	w.exchange(2, "a", "b", "c")
	require.True(t, w.progress("a", 2).InForce)
}

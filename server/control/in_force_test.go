package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestInForceWaitsForVMThatMayBeConfirmedAgain checks that a revision is not reported
// in force while a VM still uses an older one: a VM whose confirmation has expired is
// confirmed again by heartbeats that were sent before the revision was known.
func TestInForceWaitsForVMThatMayBeConfirmedAgain(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c")
	env.write(1)
	env.readStore("a", "b", "c")
	env.runIntervals(5, "a", "b", "c")
	env.runIntervals(15, "a", "b") // c is paused for 3 s
	env.runIntervals(1, "a", "b")
	serves, _ := env.servesRequests("c")
	require.False(t, serves, "the confirmation has expired")
	// c resumes without a confirmation. Its messages arrive at once, those to
	// it are delayed.
	env.vms["a"].heartbeat(env.now)
	env.vms["b"].heartbeat(env.now)
	var late []message
	for _, m := range env.queue {
		if m.to == "c" {
			late = append(late, m)
		}
	}
	env.queue = nil
	env.vms["c"].heartbeat(env.now)
	for _, m := range env.queue {
		env.vms[m.to].receive(m.from, m.frame)
	}
	env.write(2)
	env.readStore("a", "b")
	env.runIntervals(1, "a", "b")
	p := env.progress("a", 2)
	require.True(t, p.Accepted)
	for _, m := range late {
		env.vms["c"].receive(m.from, m.frame)
	}
	env.vms["c"].tick()
	serves, revision := env.servesRequests("c")
	require.True(t, serves, "the test needs a VM that is confirmed again")
	require.Equal(t, uint64(1), revision)
	require.False(t, p.InForce, "c uses revision 1")
	require.Equal(t, []api.VMID{"c"}, p.Missing)
	env.runIntervals(2, "a", "b", "c")
	require.True(t, env.progress("a", 2).InForce)
}

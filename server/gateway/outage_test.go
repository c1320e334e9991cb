package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRemovalAfterACutFromTheStore guards against an upstream that a VM still uses after its removal,
// because this VM alone had been cut off from the store (DRAIN).
func TestRemovalAfterACutFromTheStore(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"p1", "p2"} {
		d.addUpstream(id, "plain")
	}
	a := d.startVM("vm-a")
	d.requireServed(a, plainPath, -1)
	d.eventually(func() bool { return a.links.currentGranter() != nil }, "the first VM is the granter")
	address, refuse := d.storeFor()
	b := d.startVMAt("vm-b", address)
	d.requireServed(b, plainPath, -1)
	d.eventually(func() bool { return b.control.outage.knownMs() > 0 && b.control.view().rank == 1 }, "it follows the granter")
	refuse.Store(true)
	d.eventually(func() bool { return b.control.view().storeUnavailable }, "the VM is cut off from the store")
	refuse.Store(false)
	d.eventually(func() bool { return !b.control.view().storeUnavailable }, "the VM regains the store")
	require.Zero(t, b.control.outage.removalWait(), "the store has answered the granter")
	require.Positive(t, a.control.outage.knownMs())
}

package gateway

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/election"
)

// TestGranterClosesConnections guards against a VM that connects to a lost granter, and
// reads the lease, without a pause. The address of the granter accepts connections and
// closes them, and the VM must not take over yet.
func TestGranterClosesConnections(t *testing.T) {
	d := newDeployment(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			conn.Close()
		}
	}()
	row, err := cbor.Marshal(lease{VM: "vm-lost", Incarnation: "lost", Address: listener.Addr().String(), Term: 1, Seq: 1, RenewedAtMs: -5000})
	require.NoError(t, err)
	d.store.Put(systemTable, leaseKey, row)
	g := d.startVM("vm-a")
	d.eventually(func() bool { return g.links.currentGranter() != nil }, "the VM takes over")
	most := election.DefaultConfig().PromiseTTL/granterRetry + 2
	require.LessOrEqual(t, int(accepted.Load()), int(most))
	require.NotZero(t, accepted.Load())
}

// TestLeaseOfThisVM guards against a process that takes its own lease, or that of another VM, for
// one of an earlier process, which can't have a caretaker if its lease was not old at the start.
func TestLeaseOfThisVM(t *testing.T) {
	self := election.Process{VM: "vm-a", Incarnation: "2"}
	for name, c := range map[string]struct {
		lease          lease
		ended, earlier bool
	}{
		"an earlier process":     {lease{VM: "vm-a", Incarnation: "1"}, true, true},
		"this process":           {lease{VM: "vm-a", Incarnation: "2"}, true, false},
		"an unknown incarnation": {lease{VM: "vm-a"}, true, false},
		"another VM":             {lease{VM: "vm-b", Incarnation: "1"}, false, false},
		"no VM":                  {lease{}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := leaseRow{lease: c.lease, version: 1, age: time.Second, readAt: 3 * time.Second, askedAt: 2 * time.Second}.electionLease(self, false)
			require.Equal(t, c.ended, l.GranterEnded)
			require.Equal(t, c.earlier, l.EarlierProcess)
			require.Equal(t, 2*time.Second, l.AskedAt)
		})
	}
}

package gateway

import (
	"net"
	"sync/atomic"
	"testing"

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

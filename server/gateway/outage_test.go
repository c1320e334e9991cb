package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// TestRemovalAfterACutFromTheStore guards against an upstream that a VM still uses after its removal,
// because this VM alone had been cut off from the store (DRAIN).
func TestRemovalAfterACutFromTheStore(t *testing.T) {
	d := newDeployment(t)
	d.useRunningClock() // the word of the granter counts for 0.7 s
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
	d.eventually(func() bool {
		// While the granter relays, the VM makes no call that could fail.
		for _, r := range []*relay{b.links.relay, b.links.operatorRelay} {
			r.mu.Lock()
			r.activeUntil = 0
			r.mu.Unlock()
		}
		return b.control.view().storeUnavailable
	}, "the VM is cut off from the store")
	refuse.Store(false)
	d.eventually(func() bool { return !b.control.view().storeUnavailable }, "the VM regains the store")
	require.Zero(t, b.control.outage.removalWait(), "the store has answered the granter")
	require.Positive(t, a.control.outage.knownMs())
}

// TestStoreRegainedWhileTheGranterRelays guards against a VM that takes itself to be cut off from the
// store for good, because its granter relays the rows after one of its calls has failed: it would put
// removals off once it has no granter (DRAIN).
func TestStoreRegainedWhileTheGranterRelays(t *testing.T) {
	for _, table := range []string{fleet.TableOperator, fleet.TableUpstreams} {
		t.Run(table, func(t *testing.T) {
			d := newDeployment(t)
			relay := &relay{latestOnly: table == fleet.TableOperator}
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 2 {
					relay.mu.Lock()
					relay.activeUntil = bootTime() + time.Hour
					relay.mu.Unlock()
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				d.store.ServeHTTP(w, r)
			}))
			t.Cleanup(server.Close)
			g := newUnstartedGateway(t, d.configuration(1, "keyed"), Bounds{})
			c := g.control
			c.store = fleet.NewStore(server.Listener.Addr().String(), newStoreClient())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go c.run(ctx)
			go c.followTable(ctx, source{
				table: table, interval: func() time.Duration { return feedInterval }, apply: func(*fleet.Page, bool) {},
				monitor: c.operatorFeed, relay: relay,
			})
			d.eventually(func() bool { return c.view().storeUnavailable }, "a call has failed")
			d.eventually(func() bool { return !c.view().storeUnavailable }, "the VM regains the store")
			require.EqualValues(t, 3, calls.Load(), "it calls the store no more than it must")
		})
	}
}

package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fakes "dandelionhill.dev/fakes/fleet"
)

// TestRollingRestartWithoutStore guards against leases of keys that expire when VMs
// restart during a store outage: the granter hands over, and a starting VM gets the
// configuration and the granter from another one.
func TestRollingRestartWithoutStore(t *testing.T) {
	d := newDeployment(t)
	k1 := d.addUpstream("k1", "keyed")
	vms := []*Gateway{d.startVM("vm-a"), d.startVM("vm-b"), d.startVM("vm-c")}
	for _, g := range vms {
		d.requireServed(g, keyedPath, 1)
	}
	granter := func() *Gateway {
		for _, g := range vms {
			if g.links.currentGranter() != nil {
				return g
			}
		}
		return nil
	}
	d.eventually(func() bool {
		ranks := 0
		for _, g := range vms {
			ranks += g.control.view().rank
		}
		return granter() != nil && ranks == 3
	}, "one VM is the granter, the others follow it")
	term := vms[0].control.view().owners["keyed"].Term
	d.store.SetFaults(fakes.Faults{Refuse: true})
	time.Sleep(2 * time.Second) // the granter detects the outage

	// Each VM stops and starts again, the current granter first.
	for range vms {
		old := granter()
		require.NotNil(t, old, "a VM is the granter")
		i := 0
		for vms[i] != old {
			i++
		}
		rest := append(append([]*Gateway(nil), vms[:i]...), vms[i+1:]...)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			old.Stop()
		}()
		stillServed := func() {
			for _, g := range rest {
				resp, body := d.do(g, http.MethodGet, keyedPath, 1, 2*time.Second)
				require.Equal(t, http.StatusOK, resp.StatusCode, body)
			}
			require.True(t, k1.Holds(1))
			time.Sleep(50 * time.Millisecond)
		}
		for running := true; running; {
			select {
			case <-stopped:
				running = false
			default:
				stillServed()
			}
		}
		for _, s := range old.servers {
			s.Close()
		}
		vms[i] = d.startVMAt(string(old.settings.VM), d.storeAddr, rest[0].settings.Listen.Peers)
		d.eventually(func() bool {
			stillServed()
			return vms[i].control.view().config != nil && vms[i].control.view().rank > 0
		}, "the VM gets the configuration from another one")
		d.requireServed(vms[i], keyedPath, 1)
	}
	require.Equal(t, term, vms[0].control.view().owners["keyed"].Term)

	d.store.SetFaults(fakes.Faults{})
	d.eventually(func() bool { return vms[0].control.view().owners["keyed"].Term == term+1 }, "a VM takes over the lease in the store")
	for _, g := range vms {
		d.requireServed(g, keyedPath, 1)
	}
	d.addUpstream("k2", "keyed")
	d.store.Remove("servers", "k1")
	d.eventually(func() bool { return d.upstreams["k2"].Holds(1) }, "keys move again")
}

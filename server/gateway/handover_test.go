package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fakes "dandelionhill.dev/fakes/fleet"
)

// TestRollWithoutStore guards against keys that lapse when VMs stop and start
// again while the store is away: the granter hands over, and a VM that starts
// learns the configuration and the granter from another one.
func TestRollWithoutStore(t *testing.T) {
	w := newWorld(t)
	k1 := w.addUpstream("k1", "keyed")
	vms := []*Gateway{w.startVM("vm-a"), w.startVM("vm-b"), w.startVM("vm-c")}
	for _, g := range vms {
		w.served(g, keyedPath, 1)
	}
	granter := func() *Gateway {
		for _, g := range vms {
			if g.links.current() != nil {
				return g
			}
		}
		return nil
	}
	w.eventually(func() bool {
		ranks := 0
		for _, g := range vms {
			ranks += g.control.view().rank
		}
		return granter() != nil && ranks == 3
	}, "one VM grants to the others")
	term := vms[0].control.view().holdings["keyed"].Term
	w.store.SetFaults(fakes.Faults{Refuse: true})
	time.Sleep(2 * time.Second) // the granter finds the store silent

	// Each VM stops and starts again, the granter of the moment first.
	for range vms {
		old := granter()
		require.NotNil(t, old, "a VM grants")
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
				resp, body := w.do(g, http.MethodGet, keyedPath, 1, 2*time.Second)
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
		vms[i] = w.startVMAt(string(old.settings.VM), w.storeAddr, rest[0].settings.Listen.Peers)
		w.eventually(func() bool {
			stillServed()
			return vms[i].control.view().config != nil && vms[i].control.view().rank > 0
		}, "the VM learns the configuration from another one")
		w.served(vms[i], keyedPath, 1)
	}
	require.Equal(t, term, vms[0].control.view().holdings["keyed"].Term)

	w.store.SetFaults(fakes.Faults{})
	w.eventually(func() bool { return vms[0].control.view().holdings["keyed"].Term == term+1 }, "a VM takes over by the store")
	for _, g := range vms {
		w.served(g, keyedPath, 1)
	}
	w.addUpstream("k2", "keyed")
	w.store.Remove("servers", "k1")
	w.eventually(func() bool { return w.upstreams["k2"].Holds(1) }, "keys move again")
}

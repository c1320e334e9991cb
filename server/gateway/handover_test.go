package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/election"
	fakes "dandelionhill.dev/fakes/fleet"
)

// TestRollingRestartWithoutStore guards against leases of keys that expire when VMs
// restart during a store outage: the granter hands over, and a starting VM gets the
// configuration and the granter from another one.
func TestRollingRestartWithoutStore(t *testing.T) {
	d := newDeployment(t)
	d.useRunningClock()
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
	d.eventually(func() bool {
		g := granter()
		if g == nil {
			return false
		}
		current := g.links.currentGranter()
		return current != nil && current.storeUnreachable.Load()
	}, "the granter detects the outage")

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
				before := d.clock.stalled()
				resp, body := d.do(g, http.MethodGet, keyedPath, 1, 2*time.Second)
				if d.clock.stalled()-before > maxStep && resp.StatusCode == http.StatusGatewayTimeout {
					// The caller's time ran out while the process did not run.
					resp, body = d.do(g, http.MethodGet, keyedPath, 1, 2*time.Second)
				}
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

// TestNoHandoverAfterUnansweredRenewal guards against a granter that hands over while the store may
// hold a young renewal: its next process would reckon with no caretaker.
func TestNoHandoverAfterUnansweredRenewal(t *testing.T) {
	d := newDeployment(t)
	a := d.startVM("vm-a")
	d.eventually(func() bool { return a.links.currentGranter() != nil }, "the VM grants")
	g := a.links.currentGranter()
	handsOver := func(renew bool) bool {
		handedOver := make(chan bool, 1)
		require.True(t, g.do(func() {
			cfg, now := election.DefaultConfig(), bootTime()
			former := g.authority
			defer func() { g.authority = former }()
			g.authority = election.NewAuthority(cfg, now-2*cfg.StoreTimeout, 1)
			g.authority.Joined("vm-b")
			g.authority.Promised("vm-b", now, cfg.PromiseTTL)
			if renew {
				g.rewrite, g.writing = true, false
				g.renew(t.Context(), now)
			}
			_, ok := g.authority.HandOver(now, g.self, "vm-b")
			handedOver <- ok
		}))
		return <-handedOver
	}
	require.True(t, handsOver(false))
	require.False(t, handsOver(true))
}

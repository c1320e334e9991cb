package reachability_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/reachability"
)

const start = time.Minute

// TestIsolatedOnlyIfNoUpstreamAnswers guards against a VM that gives up the upstreams because
// some of them are lost, or because its process did not run.
func TestIsolatedOnlyIfNoUpstreamAnswers(t *testing.T) {
	cfg := reachability.DefaultConfig()
	for name, c := range map[string]struct {
		took             time.Duration
		tried, connected int
		contact          bool // another connection was opened during the round
		want             bool
	}{
		"all failed":                {took: cfg.RoundTimeout, tried: 6, want: true},
		"the only upstream failed":  {tried: 1, want: true},
		"one connected":             {took: cfg.RoundTimeout, tried: 6, connected: 1},
		"another connection opened": {took: cfg.RoundTimeout, tried: 6, contact: true},
		"no upstream is known":      {},
		"the process was frozen":    {took: 3 * time.Second, tried: 6},
	} {
		t.Run(name, func(t *testing.T) {
			d := reachability.NewDetector(cfg)
			if c.contact {
				d.Connected(start + c.took/2)
			}
			require.Equal(t, c.want, d.RoundEnded(start, start+c.took, c.tried, c.connected))
			isolated, since := d.Isolated()
			require.Equal(t, c.want, isolated)
			if !c.want {
				return
			}
			require.Equal(t, start+c.took, since)
			require.True(t, d.Connected(start+time.Second), "a connection ends the isolation")
			isolated, _ = d.Isolated()
			require.False(t, isolated)
		})
	}
}

// TestRoundsAreBounded guards against a round of connections for each request that fails.
func TestRoundsAreBounded(t *testing.T) {
	cfg := reachability.DefaultConfig()
	d := reachability.NewDetector(cfg)
	rounds := 0
	for now := start; now < start+10*time.Second; now += 10 * time.Millisecond {
		if d.RoundDue(now) {
			rounds++
			d.RoundEnded(now, now, cfg.SampleSize, 1)
		}
	}
	require.Equal(t, int(10*time.Second/cfg.SuspicionInterval), rounds)
}

// TestPeersShareTheRequestsOfIsolatedVMs guards against one VM that gets all requests of those
// that are cut off, at 11 and at 300 VMs.
func TestPeersShareTheRequestsOfIsolatedVMs(t *testing.T) {
	for _, vms := range []int{11, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			reaching := vms * 2 / 5
			requests := make(map[string]int)
			for vm := range vms - reaching {
				p := reachability.NewPeers(rand.New(rand.NewPCG(uint64(vm), 1)))
				var candidates []string
				for i := range min(reaching, 8) {
					candidates = append(candidates, fmt.Sprint("vm-", (vm+i*reaching/min(reaching, 8))%reaching))
				}
				var open []string
				for range 40 {
					peer, ok := p.Choose(start, candidates, nil)
					require.True(t, ok)
					requests[peer]++
					if open = append(open, peer); len(open) > 5 {
						p.Done(start, open[0], false)
						open = open[1:]
					}
				}
			}
			require.Len(t, requests, reaching)
			mean := float64(40*(vms-reaching)) / float64(reaching)
			for peer, n := range requests {
				require.Less(t, float64(n), 2*mean, peer)
			}
		})
	}
}

// TestPeersAvoidsVMsThatFailed guards against requests that go again to a VM which is cut off
// too, and against one that is avoided for good.
func TestPeersAvoidsVMsThatFailed(t *testing.T) {
	p := reachability.NewPeers(rand.New(rand.NewPCG(1, 1)))
	candidates := []string{"a", "b"}
	first, _ := p.Choose(start, candidates, nil)
	p.Done(start, first, true)
	for range 20 {
		peer, ok := p.Choose(start, candidates, nil)
		require.True(t, ok)
		require.NotEqual(t, first, peer)
	}
	_, ok := p.Choose(start, candidates, []string{"a", "b"})
	require.False(t, ok, "each VM is tried once for a request")
	peer, ok := p.Choose(start+2*time.Second, candidates, nil)
	require.True(t, ok)
	require.Equal(t, first, peer, "it has no request, the other one has 20")
}

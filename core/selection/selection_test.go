package selection

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// choose returns the index of the chosen candidate, -1 if there is none.
func choose(allowance time.Duration, candidates ...Candidate) int {
	var choice Choice[int]
	for i, c := range candidates {
		choice.Add(i, c)
	}
	if i, found := choice.Best(allowance); found {
		return i
	}
	return -1
}

// TestLocalWithinAllowance guards against requests that leave their failure domain without a
// gain for the caller, and against those that stay where they end too late: at a domain that
// is overloaded, slow, failing or lost.
func TestLocalWithinAllowance(t *testing.T) {
	const allowance = 100 * time.Millisecond
	remote := Candidate{Latency: 0.2, Slots: 2}
	local := remote
	local.Local = true
	require.Equal(t, -1, choose(allowance))
	require.Equal(t, 1, choose(allowance, remote, local))
	require.Equal(t, 0, choose(allowance, remote), "the own domain is lost or out")
	for name, change := range map[string]func(c *Candidate){
		"overloaded": func(c *Candidate) { c.Ahead = 2 },
		"slow":       func(c *Candidate) { c.Latency = 0.4 },
		"failing":    func(c *Candidate) { c.FailureRate = 0.5 },
		"avoided":    func(c *Candidate) { c.Avoid = true },
	} {
		changed := local
		change(&changed)
		require.Equal(t, 0, choose(allowance, remote, changed), name)
		require.Equal(t, 1, choose(time.Minute, remote, changed), name)
	}
	busier := local
	busier.Ahead = 0.5
	require.Equal(t, 1, choose(allowance, remote, busier), "50 ms later")
	require.Equal(t, 2, choose(allowance, remote, busier, local), "the best of the own domain")
}

// simulatedUpstream runs requests in its slots, in the order of their arrival.
type simulatedUpstream struct {
	domain int
	free   []float64 // when each slot is free
	ends   []float64 // of requests that are there
}

// play sends requests at a rate from three domains, with 3, 2 and 1 upstreams of 3 slots,
// and returns the share that leaves its domain and the 99th percentile of the latency.
func play(rate float64, allowance time.Duration) (remoteShare, p99 float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	var upstreams []*simulatedUpstream
	for domain, count := range []int{3, 2, 1} {
		for range count {
			upstreams = append(upstreams, &simulatedUpstream{domain: domain, free: make([]float64, 3)})
		}
	}
	const requests, work = 20000, 0.15
	now, remote := 0.0, 0
	var latencies []float64
	for range requests {
		now += rng.ExpFloat64() / rate
		domain := rng.IntN(3)
		var choice Choice[*simulatedUpstream]
		for _, u := range upstreams {
			u.ends = slices.DeleteFunc(u.ends, func(end float64) bool { return end <= now })
			choice.Add(u, Candidate{Latency: work, Ahead: float64(len(u.ends)), Slots: 3, Local: u.domain == domain})
		}
		u, _ := choice.Best(allowance)
		if u.domain != domain {
			remote++
		}
		slices.Sort(u.free)
		u.free[0] = max(u.free[0], now) + work*rng.ExpFloat64()
		u.ends = append(u.ends, u.free[0])
		latencies = append(latencies, u.free[0]-now)
	}
	slices.Sort(latencies)
	return float64(remote) / requests, latencies[requests*99/100]
}

// TestUnevenDomains plays the load of a service whose domains have unequal numbers of
// upstreams: it guards against bytes between domains that gain nothing at low load, and
// against an overloaded domain beside idle ones at high load.
func TestUnevenDomains(t *testing.T) {
	const allowance = 200 * time.Millisecond
	const capacity = 18 / 0.15
	for _, load := range []float64{0.2, 0.5, 0.8} {
		anywhere, fastest := play(load*capacity, 0)
		remote, latency := play(load*capacity, allowance)
		require.Less(t, remote, anywhere/2, "load %.1f", load)
		require.Less(t, latency, fastest+allowance.Seconds(), "load %.1f", load)
	}
}

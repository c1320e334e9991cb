package reachability

import (
	"math/rand/v2"
	"slices"
	"time"
)

// peerAvoidance is how long a VM that could not pass a request on gets no other one.
const peerAvoidance = time.Second

// Peers chooses the VM to which an isolated VM passes a request. The VM in turn never passes
// it on, so a request takes one additional hop at most. Peers is not safe for concurrent use.
type Peers struct {
	rng *rand.Rand
	// avoidUntil holds the VMs that could not pass requests on, inFlight the number of
	// requests at each.
	avoidUntil map[string]time.Duration
	inFlight   map[string]int
}

// NewPeers returns a Peers without requests.
func NewPeers(rng *rand.Rand) *Peers {
	return &Peers{rng: rng, avoidUntil: make(map[string]time.Duration), inFlight: make(map[string]int)}
}

// Choose returns the candidate with the fewest requests of this VM, a random one of several,
// and counts a request at it. It reports false if there is none but those tried before.
func (p *Peers) Choose(now time.Duration, candidates, tried []string) (peer string, ok bool) {
	equal := 0
	for _, c := range candidates {
		if slices.Contains(tried, c) || now < p.avoidUntil[c] {
			continue
		}
		switch {
		case !ok || p.inFlight[c] < p.inFlight[peer]:
			peer, ok, equal = c, true, 1
		case p.inFlight[c] == p.inFlight[peer]:
			if equal++; p.rng.IntN(equal) == 0 {
				peer = c
			}
		}
	}
	if ok {
		p.inFlight[peer]++
	}
	return peer, ok
}

// Done ends a request at a VM. failed means that the VM could not pass it on.
func (p *Peers) Done(now time.Duration, peer string, failed bool) {
	if p.inFlight[peer]--; p.inFlight[peer] <= 0 {
		delete(p.inFlight, peer)
	}
	for other, until := range p.avoidUntil {
		if now >= until {
			delete(p.avoidUntil, other)
		}
	}
	if failed {
		p.avoidUntil[peer] = now + peerAvoidance
	}
}

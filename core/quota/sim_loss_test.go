package quota

import (
	"testing"
	"time"

	"dandelionhill.dev/api"
)

// lossLimits are quotas of small and large workspaces, with and without a burst.
var lossLimits = map[api.WorkspaceName]Limit{"1": {1, 1}, "5": {5, 5}, "5-even": {5, 0}, "40": {40, 40}, "329": {329, 329}, "300-even": {300, 0}}

const (
	// lossAt is when the granter or the power is lost, lossCounted for how long requests are
	// counted after that.
	lossAt, lossCounted = 8 * time.Second, 5 * time.Second
	lossDemand          = 0.7 // of the rates
)

// losses are the losses of section 9.1: takeover is the time until another VM is the granter.
var losses = []struct {
	name   string
	inject func(s *sim)
}{
	{"granter lost, next after 0.9 s", func(s *sim) { s.loseGranter(900 * time.Millisecond) }},
	{"granter lost, next after 1.5 s", func(s *sim) { s.loseGranter(simTakeover) }},
	{"power lost", func(s *sim) { s.losePower(0) }},
	{"power lost, three VMs missing", func(s *sim) { s.losePower(3) }},
}

// loseGranter ends the granter with its VM.
func (s *sim) loseGranter(takeover time.Duration) {
	s.replaceGranter(len(s.vms)-1, takeover, simAuthority, true)
	s.vms[0].stopped = true
}

// losePower ends all processes. All VMs but some start after 0.5 s, the next granter 1.2 s later:
// until then a process that has started takes over no lease.
func (s *sim) losePower(missing int) {
	s.replaceGranter(len(s.vms)-1, 1700*time.Millisecond, 3500*time.Millisecond, true)
	for _, v := range s.vms {
		v.stopped = true
	}
	s.at[s.now+500*time.Millisecond] = func() {
		for _, v := range s.vms[missing:] {
			s.restart(v)
		}
	}
}

// playLoss returns the requests within quotas after a loss, and how many of them were refused.
func playLoss(t testing.TB, seed uint64, inject func(s *sim)) (s *sim) {
	s = newSim(t, seed, 76, simWorkspaces(lossDemand, lossLimits))
	s.measure = [2]time.Duration{lossAt, lossAt + lossCounted}
	s.at[lossAt] = func() { inject(s) }
	s.run(lossAt + lossCounted + 2*time.Second)
	s.checkWindows()
	return s
}

func (s *sim) refused(names ...api.WorkspaceName) (wanted, refused int) {
	for _, name := range names {
		w := s.workspaces[name]
		wanted, refused = wanted+w.wanted, refused+w.wanted-w.served
	}
	return wanted, refused
}

// TestLosses states how many requests within quotas are refused in the 5 s after a loss.
func TestLosses(t *testing.T) {
	for _, c := range losses {
		t.Run(c.name, func(t *testing.T) {
			s := playLoss(t, 1, c.inject)
			wanted, refused := s.refused(s.names...)
			t.Logf("%d of %d refused", refused, wanted)
			for _, name := range s.names {
				wanted, refused := s.refused(name)
				t.Logf("%s: %d of %d refused", name, refused, wanted)
			}
		})
	}
}

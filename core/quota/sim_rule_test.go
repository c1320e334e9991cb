package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestRuleUnderFailures guards against a workspace whose requests exceed the rule in some window,
// because two VMs use one share, or tokens of a granter outlive it.
func TestRuleUnderFailures(t *testing.T) {
	type failure func(s *sim)
	half := func(s *sim) (vms []*simVM) { return s.vms[:(len(s.vms)+1)/2] }
	failures := map[string]failure{
		"none": func(*sim) {},
		"queues": func(s *sim) {
			s.queueing, s.abandoned = 3*time.Second, 0.2
			s.at[9*time.Second] = func() { s.queueing = 0 }
		},
		"granter killed":   func(s *sim) { s.replaceGranter(len(s.vms)-1, simTakeover, simAuthority, true) },
		"granter replaced": func(s *sim) { s.replaceGranter(len(s.vms)-1, 100*time.Millisecond, 50*time.Millisecond, false) },
		"granter partitioned with half": func(s *sim) {
			for _, v := range half(s) {
				v.side = 1
			}
			s.replaceGranter(len(s.vms)-1, simTakeover, simAuthority, false)
			s.at[s.now+12*time.Second] = func() {
				for _, v := range s.vms {
					v.side = 0
				}
			}
		},
		"VMs partitioned": func(s *sim) {
			for i, v := range s.vms {
				v.side = i % 2
			}
			s.at[s.now+4*time.Second] = func() {
				for _, v := range s.vms {
					v.side = 0
				}
			}
		},
		"VMs partitioned to the end": func(s *sim) {
			for i, v := range s.vms {
				v.side = i % 2
			}
		},
		"VMs partitioned again and again": func(s *sim) {
			for k := range 6 {
				s.at[s.now+time.Duration(k)*1300*time.Millisecond+simStep] = func() {
					for i, v := range s.vms {
						v.side = (i + k) % 3 % 2 * (1 - k%2)
					}
				}
			}
		},
		"store down": func(s *sim) {
			s.storeDown = true
			s.at[s.now+3*time.Second] = func() { s.storeDown = false }
		},
		"flood after a short pause": func(s *sim) {
			for _, w := range s.workspaces {
				w.demand *= 0.01
			}
			s.at[s.now+600*time.Millisecond] = func() {
				for _, w := range s.workspaces {
					w.demand *= 800
				}
			}
		},
		"flood after a pause": func(s *sim) {
			for _, w := range s.workspaces {
				w.demand /= 4
			}
			s.at[s.now+3*time.Second] = func() {
				for _, w := range s.workspaces {
					w.demand *= 16
				}
			}
		},
		"no granter for long": func(s *sim) { s.replaceGranter(0, 14*time.Second, simAuthority, true) },
		"VMs start and stop": func(s *sim) {
			for _, v := range half(s)[1:] {
				v.stopped = true
			}
			for range 1 + len(s.vms)/4 {
				s.addVM()
			}
			s.at[s.now+2*time.Second] = func() {
				for _, v := range s.vms {
					if v.stopped {
						s.restart(v)
					}
				}
			}
		},
		"all VMs restarted": func(s *sim) {
			s.replaceGranter(0, simTakeover, simAuthority, true)
			for _, v := range s.vms {
				v.stopped = true
			}
			s.at[s.now+time.Second] = func() {
				for _, v := range s.vms {
					s.restart(v)
				}
			}
		},
	}
	for name, inject := range failures {
		for i, vms := range []int{2, 11, 76} {
			t.Run(fmt.Sprint(name, " ", vms), func(t *testing.T) {
				workspaces := simWorkspaces(2, map[api.WorkspaceName]Limit{"one": {1, 1}, "five": {5, 0}, "forty": {40, 40}, "large": {329, 329}, "steady": {300, 0}})
				workspaces["forty"].skew = 0.3
				s := newSim(t, uint64(i), vms, workspaces)
				s.at[5*time.Second] = func() { inject(s) }
				s.run(21 * time.Second)
				s.checkWindows()
			})
		}
	}
}

// TestRuleWithManyVMs guards against shares that are too small to be divided: of 300 VMs each has
// less than one request of a small workspace in a window.
func TestRuleWithManyVMs(t *testing.T) {
	s := newSim(t, 1, 300, simWorkspaces(2, map[api.WorkspaceName]Limit{"one": {1, 0}, "large": {329, 0}}))
	s.at[6*time.Second] = func() { s.replaceGranter(1, simTakeover, simAuthority, true) }
	s.at[12*time.Second] = func() {
		for i, v := range s.vms {
			v.side = i % 3 % 2
		}
	}
	s.run(18 * time.Second)
	s.checkWindows()
}

// TestHalvedRate guards against VMs that spend the tokens of an earlier, higher rate after the
// configuration has halved it.
func TestHalvedRate(t *testing.T) {
	const changed, applied = 8 * time.Second, 2500 * time.Millisecond
	s := newSim(t, 1, 76, simWorkspaces(3, map[api.WorkspaceName]Limit{"five": {5, 5}, "large": {400, 400}}))
	s.at[changed] = func() {
		for _, w := range s.workspaces {
			w.limit.Rate /= 2
			w.limit.Burst /= 2
		}
	}
	s.run(changed)
	for name, w := range s.workspaces {
		s.checkBound(name, w.sent, s.rule.Bound(w.limit))
		w.sent = nil
	}
	s.run(20 * time.Second)
	for name, w := range s.workspaces {
		first, _ := slices.BinarySearch(w.sent, changed+applied)
		s.checkBound(name, w.sent[first:], s.rule.Bound(w.limit))
	}
}

// utilizationCases are numbers of VMs with limits of workspaces and the time to play.
var utilizationCases = []struct {
	vms    int
	limits map[api.WorkspaceName]Limit
	play   time.Duration
}{
	{1, map[api.WorkspaceName]Limit{"1": {1, 1}, "40": {40, 40}}, 45 * time.Second},
	{11, map[api.WorkspaceName]Limit{"1": {1, 1}, "5": {5, 0}}, 45 * time.Second},
	{11, map[api.WorkspaceName]Limit{"40": {40, 40}, "329": {329, 329}, "1000": {1000, 0}}, 10 * time.Second},
	{76, map[api.WorkspaceName]Limit{"1": {1, 1}, "5": {5, 5}}, 45 * time.Second},
	{76, map[api.WorkspaceName]Limit{"40": {40, 40}, "329": {329, 329}, "1000": {1000, 0}}, 10 * time.Second},
	{300, map[api.WorkspaceName]Limit{"5": {5, 5}, "329": {329, 329}}, 20 * time.Second},
	{300, map[api.WorkspaceName]Limit{"5000": {5000, 0}}, 7 * time.Second},
}

// TestUtilization guards against quotas of which a part is refused below the rate, because VMs
// hold tokens that others lack.
func TestUtilization(t *testing.T) {
	for _, c := range utilizationCases {
		for _, demand := range []float64{0.7, 1.2} {
			t.Run(fmt.Sprint(c.vms, " VMs, demand ", demand, " ", len(c.limits)), func(t *testing.T) {
				s := newSim(t, uint64(c.vms), c.vms, simWorkspaces(demand, c.limits))
				s.run(c.play)
				s.checkWindows()
				for _, name := range s.names {
					least := 0.95
					if c.vms >= 76 && s.workspaces[name].limit.Rate <= 5 {
						least = 0.9
					}
					require.Greater(t, s.utilization(name), least, "rate %s", name)
				}
			})
		}
	}
}

// BenchmarkUtilization reports, by rate of the workspace, the part of the rate that was served, and
// the messages in a second.
func BenchmarkUtilization(b *testing.B) {
	for _, c := range utilizationCases {
		for _, demand := range []float64{0.7, 1.2, 7.5} {
			b.Run(fmt.Sprint("vms=", c.vms, "/demand=", demand, "/workspaces=", len(c.limits)), func(b *testing.B) {
				for range b.N {
					s := newSim(b, uint64(c.vms), c.vms, simWorkspaces(demand, c.limits))
					s.run(c.play)
					s.checkWindows()
					for _, name := range s.names {
						b.ReportMetric(s.utilization(name), "served/"+string(name))
					}
					b.ReportMetric(float64(s.messages)/s.now.Seconds(), "messages/s")
				}
			})
		}
	}
}

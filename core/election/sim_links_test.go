package election_test

import (
	"time"

	"dandelionhill.dev/core/election"
)

// linked reports whether two VMs reach each other.
func (s *sim) linked(a, b *vm) bool { return a == b || a.cutUntil <= s.now && b.cutUntil <= s.now }

// linkEnded records what a process learns from the end of a connection to a granter, or from
// an attempt to connect.
func (s *sim) linkEnded(p *process, term int, end election.LinkEnd) {
	p.disconnected = true
	if end.GranterEnded() {
		p.endedTerm = term
		s.counts["learnt of an end"]++
	}
}

// refused returns what a process learns from an attempt to connect to the granter of the lease.
func (s *sim) refused(p, granter *process) election.LinkEnd {
	responder := granter.vm.address.proc
	switch {
	case !s.linked(p.vm, responder.vm) || responder.ended:
		if s.refusalIsEnd {
			return election.OtherProcess
		}
		return election.LinkLost
	case responder.auth != nil || responder.vm.frozenUntil > s.now:
		return election.LinkLost
	case responder.vm != granter.vm:
		s.counts["another VM responded"]++
	}
	asked := election.Process{VM: granter.vm.name, Incarnation: granter.incarnation}
	answered := election.Process{VM: responder.vm.name, Incarnation: responder.incarnation}
	if s.anyProcessIsEnd {
		answered.VM = asked.VM
	}
	return election.ResponseShows(asked, answered)
}

// divert makes connections to the address of a VM reach another one for a while.
func (s *sim) divert(v *vm) {
	v.address, v.divertedUntil = s.vms[s.rng.IntN(len(s.vms))], s.now+time.Duration(s.rng.IntN(6000))*time.Millisecond
	s.tracef("connections to %s reach %s until %.2fs", v.name, v.address.name, (v.divertedUntil - time.Minute).Seconds())
}

// reached reports whether a connection of p to the address of a granter reaches it.
func (s *sim) reached(p, g *process) bool {
	return g.auth != nil && !g.ended && g.vm.address == g.vm && s.linked(p.vm, g.vm) && g.vm.frozenUntil <= s.now
}

// closedInOrder returns what a process learns from a connection that is closed in order.
func (s *sim) closedInOrder() election.LinkEnd {
	if s.orderlyEndIsEnd {
		return election.OtherProcess
	}
	return election.LinkLost
}

// cutLinks cuts a VM off from the others for a while. Connections are reset, or closed in order
// by a device between the VMs.
func (s *sim) cutLinks(v *vm) {
	v.cutUntil = s.now + time.Duration(s.rng.IntN(6000))*time.Millisecond
	s.tracef("%s is cut off from the other VMs until %.2fs", v.name, (v.cutUntil - time.Minute).Seconds())
	for _, other := range s.vms {
		for _, p := range []*process{v.proc, other.proc} {
			if g := p.granter; g != nil && !s.linked(p.vm, g.vm) {
				s.counts["cut off from a granter"]++
				s.disconnect(p)
				end := election.LinkLost
				if s.rng.IntN(2) == 0 {
					end = s.closedInOrder()
				}
				s.linkEnded(p, g.term, end)
			}
		}
	}
}

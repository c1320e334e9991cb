package election_test

import (
	"fmt"
	"time"
)

// heldGrant is a grant whose granter was stopped between its last check and the send.
type heldGrant struct {
	granter *process
	term    int
	leaves  time.Duration
}

// stopBriefly stops a process for 0.1 to 2 s. If it is a granter, it was about to send a grant.
func (s *sim) stopBriefly(v *vm) {
	stop := 100*time.Millisecond + time.Duration(s.rng.IntN(1900))*time.Millisecond
	v.frozenUntil = s.now + stop
	s.counts["short stops"]++
	if p := v.proc; p.auth != nil && !p.ended && stop <= maxSendDelay && s.now < p.auth.SendUntil(s.now) {
		v.heldGrant = &heldGrant{granter: p, term: p.term, leaves: v.frozenUntil}
		s.counts["held grants"]++
	}
}

// checkHeldGrants returns a violation if a grant leaves while another granter may move keys.
func (s *sim) checkHeldGrants(movers []*process) string {
	for _, v := range s.vms {
		held := v.heldGrant
		if held == nil || s.now < held.leaves {
			continue
		}
		v.heldGrant = nil
		if held.granter.ended {
			continue // killed while it was stopped
		}
		for _, m := range movers {
			if m != held.granter && m.term >= held.term && m.predecessorsUntil <= held.leaves {
				return fmt.Sprintf("%s moves keys in term %d from %.2fs, a grant of %s in term %d leaves at %.2fs", m.vm.name, m.term,
					(m.predecessorsUntil - time.Minute).Seconds(), v.name, held.term, (held.leaves - time.Minute).Seconds())
			}
		}
	}
	return ""
}

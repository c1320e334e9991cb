package quota

import (
	"time"

	"github.com/stretchr/testify/require"
)

// checkInvariants checks what the rule rests on. A window shows a fault only if requests come that
// use it, so these are checked at every tick.
func (s *sim) checkInvariants() {
	if s.countsVMs {
		return
	}
	// Each share is used by its VM or by one granter.
	used := 0.0
	for _, g := range s.granters {
		if s.acts(g) {
			g.issuer.recompute(g.clock(s.now))
			used += g.issuer.active
		}
	}
	for _, v := range s.vms {
		if share, solo := v.client.Share(v.clock(s.now)); solo && !v.stopped {
			used += share
		}
	}
	require.LessOrEqual(s.t, used, 1+1e-9, "sum of the shares in use at %s", s.now)
	settled := 0
	for _, g := range s.granters {
		if s.acts(g) && !g.issuer.settled {
			s.checkExtra(g)
		}
		if g.issuer.settled {
			settled = g.term
		}
	}
	// Tokens that are not short-lived come from the last granter that is settled.
	for _, v := range s.vms {
		if now := v.clock(s.now); !v.stopped && v.followed != nil && v.followed.term < settled && !v.client.solo(now) {
			for name, e := range v.client.entries {
				for _, b := range e.batches {
					require.False(s.t, !b.short && now < b.until, "%s holds tokens of %s of term %d at %s, while that of term %d is settled", v.id, name, v.followed.term, s.now, settled)
				}
			}
		}
	}
}

func (s *sim) acts(g *simGranter) bool { return !g.ended && s.now < g.authority && g.issuer.issuing }

// checkExtra checks that the tokens that VMs hold of a granter that is not settled, with those that it
// may issue at once, are bounded by the shares that it uses.
func (s *sim) checkExtra(g *simGranter) {
	for _, name := range s.names {
		b := g.issuer.buckets[name]
		if b == nil {
			continue
		}
		extra := g.issuer.extra(s.rule.budget(s.workspaces[name].limit))
		held := min(b.tokens, extra*g.issuer.steady)
		for _, v := range s.vms {
			now := v.clock(s.now)
			e := v.client.entries[name]
			if v.stopped || v.followed != g || v.client.solo(now) || e == nil {
				continue
			}
			for _, batch := range e.batches {
				if now < batch.until {
					held += float64(batch.tokens)
				}
			}
		}
		require.LessOrEqual(s.t, held, extra*g.issuer.active+1e-9, "tokens of %s of term %d at %s", name, g.term, s.now)
	}
}

const simFirstFailure = 4 * time.Second

package gateway

import (
	"maps"
	"time"

	"dandelionhill.dev/api"
)

// member is a VM that is connected to the granter.
type member struct {
	vm      api.VMID
	address string
	updates chan update
	ended   <-chan struct{} // closed when the connection has ended
	// informed says that the VM knows a configuration.
	informed bool
	// leaving says that the VM is about to stop.
	leaving bool
	close   func()
	sent    map[api.ServiceName]int64 // the turn of the holdings sent last
	peers   int                       // the number of changes of members told last
	rows    int64                     // the version up to which entries were passed on
}

// rank is the place of a VM; gone is when it was last connected.
type rank struct {
	vm      api.VMID
	address string
	gone    time.Duration
	here    bool
}

// join adds a VM that has connected with a promise. It reports false if the term
// is over.
func (g *granter) join(m *member, promise time.Duration) bool {
	m.sent = make(map[api.ServiceName]int64)
	received := bootTime()
	return g.do(func() {
		g.authority.Joined(m.vm)
		g.authority.Promised(m.vm, received, promise)
		g.members[m] = true
		g.joins++
		g.place(m)
		g.log.Info().Str("event", "vm_joined").Str("peer", string(m.vm)).Int("vms", len(g.ranks)).Msg("")
		g.update(bootTime())
	})
}

// place gives a VM a rank: the one that it had, else a free one.
func (g *granter) place(m *member) {
	free := -1
	for i := range g.ranks {
		if g.ranks[i].vm == m.vm {
			g.ranks[i].here, g.ranks[i].address = true, m.address
			return
		}
		if free < 0 && !g.ranks[i].here && (g.ranks[i].vm == "" || bootTime()-g.ranks[i].gone > rankKept) {
			free = i
		}
	}
	if free < 0 {
		free = len(g.ranks)
		g.ranks = append(g.ranks, rank{})
	}
	g.ranks[free] = rank{vm: m.vm, address: m.address, here: true}
}

func (g *granter) left(m *member, err error) {
	g.do(func() {
		delete(g.members, m)
		g.authority.Left(m.vm, bootTime())
		for i := range g.ranks {
			if g.ranks[i].vm == m.vm {
				g.ranks[i].here, g.ranks[i].gone = false, bootTime()
			}
		}
		g.log.Info().Str("event", "vm_left").Str("peer", string(m.vm)).Err(err).Msg("")
	})
}

func (g *granter) reported(m *member, r report) {
	received := bootTime()
	g.do(func() {
		m.leaving = r.Leaving
		if r.PromiseMs > 0 {
			g.authority.Promised(m.vm, received, time.Duration(r.PromiseMs)*time.Millisecond)
		}
		if m.rows == 0 {
			m.rows = r.RowsTo
		}
		g.observe(r)
	})
}

// update sends each VM what it does not know yet.
func (g *granter) update(now time.Duration) {
	g.updatedAt = now
	shared := g.links.crashes.snapshot()
	peers, own := []string{g.address}, g.lease
	for _, r := range g.ranks {
		if r.address != "" && (r.here || now-r.gone < peerKept) {
			peers = append(peers, r.address)
		}
	}
	g.links.follow(own, peers, false)
	for m := range g.members {
		u := update{Rank: g.rankOf(m.vm), Of: len(g.ranks), StoreSilent: g.silent.Load(), Crashes: shared}
		// An update that was not sent yet is replaced; what it held goes along.
		select {
		case old := <-m.updates:
			u.Holdings, u.Peers, u.Lease = old.Holdings, old.Peers, old.Lease
			u.Knowledge = old.Knowledge
			if old.RowsTo != 0 {
				// The same rows are read again, with those that came since.
				m.rows = old.RowsFrom
			}
		default:
		}
		if m.rows != 0 {
			u.Rows, u.RowsFrom, u.RowsTo = g.links.relay.since(m.rows)
			m.rows = u.RowsTo
		}
		if !m.informed {
			u.Knowledge = g.knowledge()
			m.informed = u.Knowledge != nil
		}
		if m.peers != g.joins {
			m.peers, u.Peers, u.Lease = g.joins, peers, &own
		}
		for name, h := range g.turns {
			if m.sent[name] < h.Turn {
				if u.Holdings == nil {
					u.Holdings = make(map[api.ServiceName]holdings)
				}
				u.Holdings[name], m.sent[name] = g.since(name, base(u.Holdings[name], m.sent[name])), h.Turn
			}
		}
		m.updates <- u
	}
	g.control.hold(maps.Clone(g.turns), 0, len(g.ranks))
}

// base returns the turn that a VM has before an update that holds h is sent to it.
func base(h holdings, sent int64) int64 {
	if h.Turn > 0 {
		return h.Base
	}
	return sent
}

// since returns the changes of owners after a turn, or all owners.
func (g *granter) since(name api.ServiceName, turn int64) holdings {
	h := g.turns[name]
	kept := g.changes[name]
	if turn == 0 || len(kept) == 0 || kept[0].Base > turn {
		return h
	}
	out := holdings{Term: h.Term, Turn: h.Turn, Base: turn}
	for _, change := range kept {
		if change.Base >= turn {
			out.Spans = append(out.Spans, change.Spans...)
		}
	}
	return out
}

func (g *granter) rankOf(vm api.VMID) int {
	for i, r := range g.ranks {
		if r.vm == vm {
			return i
		}
	}
	return -1
}

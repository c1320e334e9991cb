package ownership

import (
	"time"

	"dandelionhill.dev/api"
)

// Predecessor describes the granters of earlier terms.
type Predecessor struct {
	// Until is an upper bound of the end of their authority.
	Until time.Duration
	// MaxLeaseTTL is the longest lease that they granted.
	MaxLeaseTTL time.Duration
	// InDoubtUntil is an upper bound of when their unanswered grants can take
	// effect. Until then a release does not free keys, because such a grant may
	// arrive after it.
	InDoubtUntil time.Duration
	// LateUntil is an upper bound of when grants can arrive that were on their way when their
	// granter ended without notice; 0 if there are none. A cut that holds them up also keeps their
	// upstream from being reached, so they count only until it is.
	LateUntil time.Duration
	// Late holds by how much later than MaxMessageDelay unanswered grants to an owner can arrive, see
	// Machine.SetLate. Which grants were unanswered is not known.
	Late map[Owner]time.Duration
}

// New returns the machine of a new term, from the stored entries. Terms must increase.
func New(cfg Config, term int64, stored []Entry, predecessor Predecessor) *Machine {
	m := &Machine{
		cfg: cfg, fence: term * fencesPerTerm, upstreams: make(map[api.UpstreamID]Upstream), late: make(map[Owner]time.Duration),
		loads: newLoads(cfg.Keys), changed: true,
	}
	next := 0
	for _, e := range stored {
		if e.Span.First > next {
			m.entries = append(m.entries, &entry{Entry: Entry{Span: Span{next, e.Span.First - 1}}, moving: true})
		}
		late := predecessor.Late[e.Owner]
		until := predecessor.Until + late + m.safeTTL(predecessor.MaxLeaseTTL)
		// A grant that takes effect until InDoubtUntil may be one that was not counted otherwise.
		stored := &entry{Entry: e, leaseUntil: max(until, predecessor.InDoubtUntil), inDoubtUntil: predecessor.InDoubtUntil, acked: true}
		if late > 0 {
			m.late[e.Owner] = late
			stored.inDoubtUntil = max(stored.inDoubtUntil, until)
		}
		m.entries = append(m.entries, stored)
		if predecessor.LateUntil > 0 {
			stored.lateUntil = predecessor.LateUntil + m.safeTTL(predecessor.MaxLeaseTTL)
		}
		next = e.Span.Last + 1
	}
	if next < cfg.Keys {
		m.entries = append(m.entries, &entry{Entry: Entry{Span: Span{next, cfg.Keys - 1}}, moving: true})
	}
	return m
}

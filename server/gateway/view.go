package gateway

import (
	"sort"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
)

// view is what the VM believes at one moment. The control goroutine publishes a
// new view for each change; traffic only reads it.
type view struct {
	config *routing.Configuration
	// since is when config came into force on this VM.
	since time.Time
	// storeDown says that the store does not answer this VM.
	storeDown bool
	// operator holds the rows of operators that are in force.
	operator  []fleet.Row
	upstreams map[api.UpstreamID]*upstream
	services  map[api.ServiceName][]*upstream
	// out holds the failure domains that operators have taken out.
	out      map[api.FailureDomain]bool
	holdings map[api.ServiceName]holdings
	// rank is the place of this VM among of VMs, -1 while it has none.
	rank, of int
	// clock is the clock that all VMs share.
	clock sharedClock
	// superseded is closed when a newer view has been published.
	superseded chan struct{}
}

// holdings says where requests for keys go, from one granter.
type holdings struct {
	Term  int64                 `cbor:"1,keyasint"`
	Turn  int64                 `cbor:"2,keyasint"`
	Spans []ownership.SpanOwner `cbor:"3,keyasint"`
	// Base is the turn to which Spans are the changes; 0 if they are complete.
	Base int64 `cbor:"4,keyasint,omitempty"`
}

func (h holdings) newerThan(other holdings) bool {
	return h.Term > other.Term || h.Term == other.Term && h.Turn > other.Turn
}

// after returns the holdings once other has been applied, and whether it could be.
func (h holdings) after(other holdings) (holdings, bool) {
	switch {
	case !other.newerThan(h):
		return h, false
	case other.Base == 0:
		return other, true
	case other.Term != h.Term || other.Base != h.Turn:
		return h, false
	}
	return holdings{Term: other.Term, Turn: other.Turn, Spans: ownership.Overlay(h.Spans, other.Spans)}, true
}

// owner returns the upstream that holds a key, empty if none does.
func (h holdings) owner(key int) api.UpstreamID {
	i := sort.Search(len(h.Spans), func(i int) bool { return h.Spans[i].Span.Last >= key })
	if i == len(h.Spans) || h.Spans[i].Span.First > key {
		return ""
	}
	return h.Spans[i].Owner
}

// usable reports whether an upstream may get requests.
func (v *view) usable(u *upstream) bool {
	e := u.entry.Load()
	return !e.gone && !e.Draining && !v.out[e.Domain]
}

// registration is an upstream's entry, as last read.
type registration struct {
	routing.Upstream
	row fleet.Row
	// coldUntil is when it is no longer cold, on bootTime.
	coldUntil time.Duration
	// gone means that the entry was removed.
	gone bool
}

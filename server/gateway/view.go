package gateway

import (
	"sort"
	"sync/atomic"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
)

// view is an immutable snapshot of the VM's state. The control goroutine publishes a new
// one for each change.
type view struct {
	config *routing.Configuration
	// configSince is when config took effect on this VM.
	configSince time.Time
	// storeUnavailable means that the store does not answer this VM.
	storeUnavailable bool
	// operatorRows holds the rows of operators in force.
	operatorRows []fleet.Row
	upstreams    map[api.UpstreamID]*upstream
	services     map[api.ServiceName][]*upstream
	// domainsOut holds the failure domains that operators have taken out.
	domainsOut map[api.FailureDomain]bool
	owners     map[api.ServiceName]ownerTable
	// rank is the rank of this VM among vms VMs, -1 while it has none.
	rank, vms int
	// rankUntil is until when the rank is valid, in nanoseconds of bootTime. The granter may
	// give it to another VM later.
	rankUntil *atomic.Int64
	// clock estimates the clock shared by all VMs.
	clock sharedClock
	// superseded is closed when a newer view is published.
	superseded chan struct{}
}

// configVersion returns the version of the configuration, 0 if there is none.
func (v *view) configVersion() int64 {
	if v.config == nil {
		return 0
	}
	return v.config.Version
}

// hasRank reports whether the VM has a rank that no other VM has.
func (v *view) hasRank(now time.Duration) bool {
	return v.rank >= 0 && int64(now) < v.rankUntil.Load()
}

// ownerTable maps keys to the upstreams that serve them, as decided by a granter.
type ownerTable struct {
	Term    int64                 `cbor:"1,keyasint"`
	Version int64                 `cbor:"2,keyasint"`
	Spans   []ownership.SpanOwner `cbor:"3,keyasint"`
	// BaseVersion is the version to which Spans are changes; 0 if they are complete.
	BaseVersion int64 `cbor:"4,keyasint,omitempty"`
}

func (t ownerTable) newerThan(other ownerTable) bool {
	return t.Term > other.Term || t.Term == other.Term && t.Version > other.Version
}

// apply returns the table with other applied, and whether it could be applied.
func (t ownerTable) apply(other ownerTable) (ownerTable, bool) {
	switch {
	case !other.newerThan(t):
		return t, false
	case other.BaseVersion == 0:
		return other, true
	case other.Term != t.Term || other.BaseVersion != t.Version:
		return t, false
	}
	return ownerTable{Term: other.Term, Version: other.Version, Spans: ownership.Overlay(t.Spans, other.Spans)}, true
}

// owner returns the upstream that owns a key, empty if none does.
func (t ownerTable) owner(key int) api.UpstreamID {
	i := sort.Search(len(t.Spans), func(i int) bool { return t.Spans[i].Span.Last >= key })
	if i == len(t.Spans) || t.Spans[i].Span.First > key {
		return ""
	}
	return t.Spans[i].Owner
}

// incarnation returns an incarnation of an upstream, nil if it is not known.
func (v *view) incarnation(of ownership.Owner) *upstream {
	u := v.upstreams[of.UpstreamID]
	if u == nil || u.owner() != of {
		return nil
	}
	return u
}

// usable reports whether an upstream may get requests.
func (v *view) usable(u *upstream) bool { return v.unusableCause(u) == "" }

// The causes for which an upstream may get no requests of any VM.
const (
	causeRemoved   = "removed"
	causeDraining  = "draining"
	causeDomainOut = "domain_out"
)

// unusableCause returns why an upstream may get no requests, empty if it may.
func (v *view) unusableCause(u *upstream) string {
	switch reg := u.registration.Load(); {
	case reg.removed:
		return causeRemoved
	case reg.Draining:
		return causeDraining
	case v.domainsOut[reg.Domain]:
		return causeDomainOut
	}
	return ""
}

// registration is the registration of an upstream, as last read.
type registration struct {
	routing.Upstream
	row    fleet.Row
	readAt time.Duration // on bootTime
	// coldUntil is when the upstream is warm, on bootTime.
	coldUntil time.Duration
	// removed means that the registration was removed.
	removed bool
}

package gateway

import (
	"sync"
	"time"

	"dandelionhill.dev/core/freshness"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
)

const (
	// maxRelayRows bounds the rows that a granter keeps for the other VMs.
	maxRelayRows = 1000
	// relayTimeout is how long after its last message a VM relies on the granter for
	// registrations.
	relayTimeout = linkTimeout
	// relayCheckInterval is the interval between checks whether the granter still relays
	// registrations.
	relayCheckInterval = 100 * time.Millisecond
)

// maxRelayAge is how long after the store has last answered the granter a VM relies on it for
// registrations.
var maxRelayAge = freshness.DefaultConfig().MaxAge

// relayedRegistration is a registration with the time of bootTime at which it was read.
type relayedRegistration struct {
	routing.Upstream
	at time.Duration
}

// relay passes changed registrations from the granter's feed to the other VMs, so that
// the calls to the store do not grow with the number of VMs.
type relay struct {
	mu sync.Mutex
	// rows are the last changes read by this VM, in the order of their versions; none after
	// version from is missing. to is the version up to which registrations are known, 0
	// before the first response.
	rows     []fleet.Row
	from, to int64
	// relayed holds the last registration of each upstream in rows, with the time of reading.
	relayed map[string]relayedRegistration
	// feedFailed means that the feed of this VM fails.
	feedFailed bool
	// activeUntil is until when this VM relies on the granter for registrations, on bootTime.
	activeUntil time.Duration
}

// recordFeed records a response of this VM's own feed: all rows up to a version if full,
// else the changes since the last response.
func (r *relay) recordFeed(rows []fleet.Row, to int64, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if full {
		r.rows, r.from, r.relayed = nil, to, nil
	} else {
		r.rows = append(r.rows, r.news(rows, bootTime())...)
		if over := len(r.rows) - maxRelayRows; over > 0 {
			r.from = r.rows[over-1].Version
			r.rows = append([]fleet.Row(nil), r.rows[over:]...)
		}
	}
	r.to, r.feedFailed = to, false
}

// news returns the rows that say more than the last one of their upstream; r.mu is held.
func (r *relay) news(rows []fleet.Row, now time.Duration) (out []fleet.Row) {
	if r.relayed == nil {
		r.relayed = make(map[string]relayedRegistration)
	}
	for _, row := range rows {
		decoded, err := fleet.DecodeUpstream(row)
		if last, known := r.relayed[row.Key]; known && !row.Deleted && err == nil && decoded.Continues(last.Upstream, now-last.at) {
			continue
		}
		delete(r.relayed, row.Key)
		if !row.Deleted && err == nil {
			r.relayed[row.Key] = relayedRegistration{decoded, now}
		}
		out = append(out, row)
	}
	return out
}

// start sets the version up to which a snapshot of another VM holds all registrations,
// unless this VM has read them itself.
func (r *relay) start(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.to == 0 {
		r.from, r.to = version, version
	}
}

// markFeedFailed records that the feed of this VM fails; nothing is relayed until it
// answers again.
func (r *relay) markFeedFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feedFailed = true
}

// since returns the changes after a version and the version up to which they go, 0 if
// they are not known.
func (r *relay) since(version int64) (rows []fleet.Row, from, to int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.feedFailed || r.to == 0 || version < r.from {
		return nil, 0, 0
	}
	for _, row := range r.rows {
		if row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows, version, r.to
}

// apply applies what the granter relays. It returns the rows that are new to this VM, and
// whether this VM has all registrations up to u.RowsTo now.
func (r *relay) apply(u update) (rows []fleet.Row, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.RowsTo == 0 || r.to == 0 || u.RowsFrom > r.to {
		// Changes in between may be missing: this VM continues its own feed.
		return nil, false
	}
	for _, row := range u.Rows {
		if row.Version > r.to {
			rows = append(rows, row)
		}
	}
	r.to = max(r.to, u.RowsTo)
	r.rows, r.from, r.relayed = nil, r.to, nil
	if u.RowsAgeMs > 0 {
		r.activeUntil = bootTime() + min(relayTimeout, maxRelayAge-statedAge(u.RowsAgeMs))
	}
	return rows, true
}

// version returns the version up to which this VM has all registrations, 0 if it has
// none.
func (r *relay) version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.to
}

// active reports whether the granter relays at present, and the version up to which it
// has.
func (r *relay) active() (version int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.to, r.to != 0 && bootTime() < r.activeUntil
}

package gateway

import (
	"cmp"
	"slices"
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

// relay passes the changes of a table from the granter's feed to the other VMs, so that the
// calls to the store do not grow with the number of VMs.
type relay struct {
	// latestOnly leaves out rows that a later change of their key has replaced. Otherwise the
	// rows are registrations, and those that say no more than the one before are left out.
	latestOnly bool

	mu sync.Mutex
	// rows are the last changes read by this VM, in the order of their versions; none after
	// version from is missing. to is the version up to which registrations are known, 0
	// before the first response. For another table the same holds of its rows.
	rows     []fleet.Row
	from, to int64
	// keys holds the keys of all rows of the table, as far as this VM has read them itself.
	keys map[string]bool
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
	r.record(rows, to, full)
}

// recordReread records all rows up to a version, read again because the store has dropped its
// history. What has changed since the last response is relayed, so that not every VM reads the
// table again.
func (r *relay) recordReread(all []fleet.Row, to int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.to == 0 || r.keys == nil {
		r.record(all, to, true)
		return
	}
	r.record(r.changes(all, to), to, false)
}

// record is recordFeed; r.mu is held.
func (r *relay) record(rows []fleet.Row, to int64, full bool) {
	if r.latestOnly {
		rows = withoutKeys(rows)
	}
	r.recordKeys(rows, full)
	if full {
		r.rows, r.from, r.relayed = nil, to, nil
	} else {
		if r.latestOnly {
			r.rows = slices.DeleteFunc(r.rows, func(kept fleet.Row) bool {
				return slices.ContainsFunc(rows, func(row fleet.Row) bool { return row.Key == kept.Key })
			})
		}
		r.rows = append(r.rows, r.news(rows, bootTime())...)
		if over := len(r.rows) - maxRelayRows; over > 0 {
			r.from = r.rows[over-1].Version
			r.rows = append([]fleet.Row(nil), r.rows[over:]...)
		}
	}
	if !full {
		// The granter may have relayed later changes while the call was under way.
		to = max(r.to, to)
	}
	r.to, r.feedFailed = to, false
}

// withoutKeys returns rows of operators without the keys of workspaces, see fleet.WithoutKeys. A
// configuration that cannot be read is passed on empty; the receivers refuse it too.
func withoutKeys(rows []fleet.Row) []fleet.Row {
	rows = slices.Clone(rows)
	for i, row := range rows {
		if row.Key != fleet.KeyConfiguration || row.Deleted {
			continue
		}
		kept, err := fleet.WithoutKeys(row.Value)
		if err != nil {
			kept = nil
		}
		rows[i].Value = kept
	}
	return rows
}

// changes returns what has changed since the last response, given all rows up to a version. Rows
// that were removed in between get that version. r.mu is held.
func (r *relay) changes(all []fleet.Row, to int64) (out []fleet.Row) {
	listed := make(map[string]bool, len(all))
	for _, row := range all {
		listed[row.Key] = true
		if row.Version > r.to {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b fleet.Row) int { return cmp.Compare(a.Version, b.Version) })
	for key := range r.keys {
		if !listed[key] {
			out = append(out, fleet.Row{Key: key, Version: to, Deleted: true})
		}
	}
	return out
}

// recordKeys updates the keys of the table; r.mu is held.
func (r *relay) recordKeys(rows []fleet.Row, full bool) {
	if full {
		r.keys = make(map[string]bool, len(rows))
	}
	for _, row := range rows {
		if r.keys != nil && row.Deleted {
			delete(r.keys, row.Key)
		} else if r.keys != nil {
			r.keys[row.Key] = true
		}
	}
}

// news returns the rows that say more than the last one of their upstream; r.mu is held.
func (r *relay) news(rows []fleet.Row, now time.Duration) (out []fleet.Row) {
	if r.latestOnly {
		return rows
	}
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

// apply applies the registrations that the granter relays, see applyRows.
func (r *relay) apply(u update) (rows []fleet.Row, complete bool) {
	return r.applyRows(u.Rows, u.RowsFrom, u.RowsTo, u.RowsAgeMs)
}

// applyRows applies rows that the granter relays, which are all changes after version from up
// to version to. It returns those that are new to this VM, and whether this VM has all changes
// up to that version now.
func (r *relay) applyRows(relayed []fleet.Row, from, to, ageMs int64) (rows []fleet.Row, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if to == 0 || r.to == 0 || from > r.to {
		// Changes in between may be missing: this VM continues its own feed.
		return nil, false
	}
	for _, row := range relayed {
		if row.Version > r.to {
			rows = append(rows, row)
		}
	}
	r.to = max(r.to, to)
	r.rows, r.from, r.relayed = nil, r.to, nil
	r.recordKeys(rows, false)
	if ageMs > 0 {
		r.activeUntil = bootTime() + min(relayTimeout, maxRelayAge-statedAge(ageMs))
	}
	return rows, true
}

// rowsBytes returns the size of rows in a message, without what is the same for all.
func rowsBytes(rows []fleet.Row) (bytes int) {
	for _, row := range rows {
		bytes += len(row.Key) + len(row.Value)
	}
	return bytes
}

// relayOperatorRows adds the changes of the operators' table to an update, unless they would
// fill the link of this VM for too long.
func (g *granter) relayOperatorRows(m *member, u *update) {
	if m.operatorTo == 0 || u.StoreUnreachable {
		return
	}
	rows, from, to := g.links.operatorRelay.since(m.operatorTo)
	if !freshness.MayRelay(rowsBytes(rows), len(g.members), g.linkMbps) {
		rows, from, to = nil, 0, 0
	}
	u.OperatorRows, u.OperatorFrom, u.OperatorTo = rows, from, to
	m.operatorTo = to
}

// applyRelayedOperatorRows applies the rows of operators in an update.
func (e *elector) applyRelayedOperatorRows(u update) {
	rows, complete := e.links.operatorRelay.applyRows(u.OperatorRows, u.OperatorFrom, u.OperatorTo, u.OperatorAgeMs)
	if len(rows) > 0 {
		e.control.submitOperatorRows(&fleet.Page{Rows: rows}, false)
	}
	if complete && u.OperatorAgeMs > 0 {
		e.control.operatorFeed.relayed(u.OperatorAgeMs, u.OperatorTo)
	}
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

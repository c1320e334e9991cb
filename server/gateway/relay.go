package gateway

import (
	"sync"
	"time"

	"dandelionhill.dev/platform/fleet"
)

const (
	// relayedRows bounds the rows that a granter keeps for the other VMs.
	relayedRows = 1000
	// relaySilence is how long a VM relies on the granter for entries after its
	// last message.
	relaySilence = linkSilence
	// relayCheck is the time between looks whether the granter still passes on
	// entries.
	relayCheck = 100 * time.Millisecond
)

// relay passes changes of entries from the granter's feed to the other VMs, so
// that the calls of the store do not grow with the number of VMs.
type relay struct {
	mu sync.Mutex
	// rows are the last changes read by this VM, in the order of their versions;
	// from is the version after which none is missing, to the one up to which
	// entries are known, 0 before the first answer.
	rows     []fleet.Row
	from, to int64
	// failed means that the feed of this VM does not answer.
	failed bool
	// heard is when the granter last said up to which version it has passed
	// entries on.
	heard time.Time
}

// read notes an answer of this VM's own feed: all rows up to a version, or the
// changes since the answer before.
func (r *relay) read(rows []fleet.Row, to int64, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if full {
		r.rows, r.from = nil, to
	} else {
		r.rows = append(r.rows, rows...)
		if over := len(r.rows) - relayedRows; over > 0 {
			r.from = r.rows[over-1].Version
			r.rows = append([]fleet.Row(nil), r.rows[over:]...)
		}
	}
	r.to, r.failed = to, false
}

// begin notes up to which version another VM has told all entries, while this one
// has read none itself.
func (r *relay) begin(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.to == 0 {
		r.from, r.to = version, version
	}
}

// lost notes that the feed of this VM has failed: nothing is passed on until it
// answers again.
func (r *relay) lost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}

// since returns the changes after a version and up to which version they go.
// to is 0 if they are not known.
func (r *relay) since(version int64) (rows []fleet.Row, from, to int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed || r.to == 0 || version < r.from {
		return nil, 0, 0
	}
	for _, row := range r.rows {
		if row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows, version, r.to
}

// relayed takes what the granter passes on. It returns the rows that this VM has
// not read.
func (r *relay) relayed(u update) []fleet.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.RowsTo == 0 || r.to == 0 || u.RowsFrom > r.to {
		// Something would be missing in between: the own feed goes on.
		return nil
	}
	var rows []fleet.Row
	for _, row := range u.Rows {
		if row.Version > r.to {
			rows = append(rows, row)
		}
	}
	r.to, r.heard = max(r.to, u.RowsTo), time.Now()
	r.rows, r.from = nil, r.to
	return rows
}

// version returns the version up to which this VM knows all entries, 0 if it does
// not.
func (r *relay) version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.to
}

// covered reports whether the granter passes entries on at present, and up to
// which version it has.
func (r *relay) covered() (version int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.to, r.to != 0 && time.Since(r.heard) < relaySilence
}

// Package fleet provides fakes of the platform's store and of upstreams that register
// there. They speak the platform's wire format and can inject faults.
package fleet

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"dandelionhill.dev/platform/fleet"
)

// Faults are the faults that the store injects.
type Faults struct {
	// Refuse rejects calls with 503 without any effect.
	Refuse bool
	// DropResponses is the number of transactions that take effect without a response.
	DropResponses int
}

// Store is a fake of the platform's store.
type Store struct {
	mu      sync.Mutex
	rows    map[fleet.RowID]fleet.Row
	changes []fleet.Row
	version int64
	// oldest is the oldest version whose changes are kept.
	oldest  int64
	start   time.Time
	now     func() time.Time
	faults  Faults
	changed chan struct{}
	calls   int
	era     int64
}

// StoreCopy is a copy of a store's rows at one time.
type StoreCopy struct {
	rows    map[fleet.RowID]fleet.Row
	changes []fleet.Row
	version int64
}

// Copy returns a copy of all rows.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{rows: maps.Clone(s.rows), changes: slices.Clone(s.changes), version: s.version}
}

// Restore goes back to a copy: rows written since are lost, and their versions are given out
// again.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.changes, s.version = maps.Clone(c.rows), slices.Clone(c.changes), c.version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: make(map[fleet.RowID]fleet.Row), start: time.Now(), now: time.Now, changed: make(chan struct{}), era: 1}
}

// SetClock replaces the clock that responses state. Call it before the first request.
func (s *Store) SetClock(now func() time.Time) { s.start, s.now = now(), now }

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.oldest = nil, s.version+1
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put sets a row, as operators and upstreams do.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(fleet.Tx{Put: []fleet.Put{{RowID: fleet.RowID{Table: table, Key: key}, Value: value}}})
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(fleet.Tx{Remove: []fleet.RowID{{Table: table, Key: key}}})
}

// Row returns a row; its version is 0 if it does not exist.
func (s *Store) Row(table, key string) fleet.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[fleet.RowID{Table: table, Key: key}]
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) apply(tx fleet.Tx) {
	s.version++
	for _, p := range tx.Put {
		row := fleet.Row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Version: s.version}
		s.rows[p.RowID] = row
		s.changes = append(s.changes, row)
	}
	for _, id := range tx.Remove {
		delete(s.rows, id)
		s.changes = append(s.changes, fleet.Row{Table: id.Table, Part: id.Part, Key: id.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	refuse := s.faults.Refuse
	s.mu.Unlock()
	if refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/rows-tx":
		s.handleTransaction(w, r)
	case "/api/rows-get":
		s.handleGet(w, r)
	case "/api/rows-feed":
		s.handleFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// maxTxEntries bounds the entries of a transaction, as the platform's store does.
const maxTxEntries = 100

func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var tx fleet.Tx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(tx.Preconditions)+len(tx.Put)+len(tx.Remove) > maxTxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Preconditions {
		if s.rows[e.RowID].Version == e.Version {
			continue
		}
		var rows []fleet.Row
		for _, e := range tx.Preconditions {
			if row, ok := s.rows[e.RowID]; ok {
				rows = append(rows, row)
			}
		}
		s.writePage(w, http.StatusPreconditionFailed, rows)
		return
	}
	s.apply(tx)
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		panic(http.ErrAbortHandler)
	}
	s.writePage(w, http.StatusOK, nil)
}

func (s *Store) writePage(w http.ResponseWriter, status int, rows []fleet.Row) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	// The connection may be closed; the caller then gets no response.
	_ = json.NewEncoder(w).Encode(fleet.Page{Rows: rows, Version: s.version, ClockSeconds: s.now().Sub(s.start).Seconds()})
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []fleet.Row
	for id, row := range s.rows {
		if id.Table == r.FormValue("Table") && id.Key >= r.FormValue("From") {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.writePage(w, http.StatusOK, rows)
}

func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.FormValue("WaitMs"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for expired := false; ; {
		s.mu.Lock()
		if after+1 < s.oldest || after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []fleet.Row
		for _, row := range s.changes {
			if row.Table == r.FormValue("Table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 || expired {
			// The rows and the version are of one moment.
			s.writePage(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

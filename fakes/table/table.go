// Package table is a fake of the platform's transactional table service, in memory. It can
// inject outages, delays, stale reads and lost responses to commits that took effect.
package table

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"dandelionhill.dev/platform"
)

// Faults are the faults that the store injects.
type Faults struct {
	Down          bool          `json:"down"`         // every call fails without effect
	Delay         time.Duration `json:"delay"`        // added to every call
	DropResponses int           `json:"lose_answers"` // number of commits that take effect but return an error
	StaleReads    bool          `json:"lag_reads"`    // Get and Scan return the state before the last commit of a row
}

// Counts holds the number of calls of each kind.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Store implements platform.Table in memory.
type Store struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	previous map[string]platform.Row // the state of each row before its last commit
	faults   Faults
	counts   Counts
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{rows: map[string]platform.Row{}, previous: map[string]platform.Row{}}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns the number of calls of each kind.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// applyFaults applies the delay and the outage to a call.
func (s *Store) applyFaults(ctx context.Context) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return platform.ErrUnavailable
		}
	}
	if faults.Down {
		return platform.ErrUnavailable
	}
	return nil
}

// Get implements platform.Table.
func (s *Store) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := s.applyFaults(ctx); err != nil {
		return platform.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.read(key), nil
}

// read returns a row as Get and Scan see it, possibly stale.
func (s *Store) read(key string) platform.Row {
	if s.faults.StaleReads {
		if old, ok := s.previous[key]; ok {
			return old
		}
	}
	row := s.rows[key]
	row.Key = key
	return row
}

// Scan implements platform.Table.
func (s *Store) Scan(ctx context.Context, prefix string) ([]platform.Row, error) {
	if err := s.applyFaults(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	rows := []platform.Row{}
	for key := range s.rows {
		if row := s.read(key); strings.HasPrefix(key, prefix) && row.Version > 0 {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit implements platform.Table.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := s.applyFaults(ctx); err != nil {
		return platform.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(txn.Puts) > 0 {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	result := platform.TxnResult{Committed: s.conditionsHold(txn.Conditions)}
	if result.Committed {
		s.apply(txn.Puts)
	}
	for _, key := range txn.Reads {
		row := s.rows[key]
		row.Key = key
		result.Rows = append(result.Rows, row)
	}
	if len(txn.Puts) > 0 && s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		return platform.TxnResult{}, platform.ErrUnavailable
	}
	return result, nil
}

func (s *Store) conditionsHold(conditions []platform.Condition) bool {
	for _, c := range conditions {
		if s.rows[c.Key].Version != c.Version {
			return false
		}
	}
	return true
}

func (s *Store) apply(puts []platform.Put) {
	for _, put := range puts {
		old := s.rows[put.Key]
		old.Key = put.Key
		s.previous[put.Key] = old
		s.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: old.Version + 1}
	}
}

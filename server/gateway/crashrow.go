package gateway

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/platform/fleet"
)

const (
	// crashesKey is the key of the row that holds the requests in quarantine. Without it the loss of
	// all VMs would forget them, and each would crash upstreams again.
	crashesKey = "quarantines"
	// maxStoredCrashes bounds the entries of the row, of 20 bytes each.
	maxStoredCrashes = 256
	// crashesInterval is the shortest time between two writes of the row.
	crashesInterval = 250 * time.Millisecond
)

// storedQuarantine is a quarantine in the store.
type storedQuarantine struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// EndsAtMs is its end by the store's clock, in milliseconds.
	EndsAtMs int64 `cbor:"2,keyasint"`
	Level    int   `cbor:"3,keyasint"`
}

// quarantines holds the levels of requests in quarantine, by fingerprint. The row is written when
// they change.
type quarantines map[uint64]int

// quarantinesOf returns the quarantines among the first entries of evidence, at most
// maxStoredCrashes.
func quarantinesOf(entries []crash.Entry) quarantines {
	var out quarantines
	for _, e := range entries {
		if !e.Quarantined || len(out) == maxStoredCrashes {
			continue
		}
		if out == nil {
			out = make(quarantines)
		}
		out[e.Fingerprint] = e.Level
	}
	return out
}

// encodeCrashes returns the row with the quarantines among the entries; clock is the store's.
func encodeCrashes(entries []crash.Entry, clock time.Duration) (fleet.Put, error) {
	stored := []storedQuarantine{}
	for _, e := range entries {
		if e.Quarantined && len(stored) < maxStoredCrashes {
			stored = append(stored, storedQuarantine{Fingerprint: e.Fingerprint, EndsAtMs: (clock + e.Remaining).Milliseconds(), Level: e.Level})
		}
	}
	value, err := cbor.Marshal(stored)
	return fleet.Put{RowID: fleet.RowID{Table: systemTable, Key: crashesKey}, Value: value}, errors.Wrap(err, "encode the quarantines")
}

// decodeCrashes decodes the row at a time of the store's clock. Package crash checks the values of
// the entries.
func decodeCrashes(value []byte, clock time.Duration) ([]crash.Entry, error) {
	var stored []storedQuarantine
	if err := cbor.Unmarshal(value, &stored); err != nil {
		return nil, errors.Wrap(err, "decode the quarantines")
	}
	var entries []crash.Entry
	for _, s := range stored[:min(len(stored), maxStoredCrashes)] {
		if s.Level < 1 {
			continue
		}
		// A time outside of a few hours is not of this store's clock.
		left := min(max(s.EndsAtMs-clock.Milliseconds(), -maxStoredAge.Milliseconds()), maxStoredAge.Milliseconds())
		entries = append(entries, crash.Entry{Fingerprint: s.Fingerprint, Quarantined: true, Remaining: time.Duration(left) * time.Millisecond, Level: s.Level})
	}
	return entries, nil
}

// maxStoredAge is above quarantineRetention: package crash forgets what is older.
const maxStoredAge = 2 * quarantineRetention

package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/quota"
	"dandelionhill.dev/platform/fleet"
)

const (
	// systemTable is the table of this system in the store.
	systemTable = "dandelionhill"
	// leaseKey is the key of the row that holds the granter's lease.
	leaseKey = "granter"

	// renewInterval is the time between renewals of the lease.
	renewInterval = time.Second
)

// lease names the VM that grants keys. Every write of a granter is conditional on the
// version of this row, so that a granter that was replaced cannot write any more.
type lease struct {
	VM          api.VMID        `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	// Address is the granter's address for other VMs.
	Address string `cbor:"3,keyasint"`
	// Term increases with every takeover.
	Term int64 `cbor:"4,keyasint"`
	// Seq increases with every write of a term; it identifies a write whose response was lost.
	Seq int64 `cbor:"5,keyasint"`
	// RenewedAtMs is the store's clock at the last renewal, in milliseconds.
	RenewedAtMs int64 `cbor:"6,keyasint" json:"AtMs"`
	// Released means that the granter has stopped and released the lease.
	Released bool `cbor:"7,keyasint"`
	// InDoubtMs is for how long after a release unanswered grants may still take effect,
	// in milliseconds.
	InDoubtMs int64 `cbor:"9,keyasint" json:"LateMs"`
	// VMs is the number of VMs known to the granter.
	VMs int `cbor:"8,keyasint"`
	// PredecessorsMs is how long after RenewedAtMs earlier granters may still act, in
	// milliseconds.
	PredecessorsMs int64 `cbor:"10,keyasint,omitempty" json:"BeforeMs"`

	// Era is the era of the store in which the row was written, 0 if it is not known.
	Era int64 `cbor:"11,keyasint,omitempty"`

	// Successor is the VM that a granter which has released the lease has named, empty if any
	// may take over.
	Successor api.VMID `cbor:"12,keyasint,omitempty" json:",omitempty"`

	// Largest is the largest capacity of the VMs known to the granter, in thousandths of a core;
	// 0 if it is not known.
	Largest int64 `cbor:"13,keyasint,omitempty" json:",omitempty"`

	// Quotas says which VMs may have tokens of workspaces, nil without quotas.
	Quotas *quota.Roster `cbor:"14,keyasint,omitempty" json:"-"`

	// Readers holds the addresses of the VMs that read the lease for the others while there is no
	// granter, see election.Readers; empty if each VM reads it, as with granters of earlier versions.
	Readers []string `cbor:"15,keyasint,omitempty" json:"-"`

	// unconfirmed means that the lease was not read from the store.
	unconfirmed bool
}

// unknownVM stands for a granter of which only the address is known.
const unknownVM api.VMID = "unknown"

// newerThan reports whether l supersedes other.
func (l lease) newerThan(other lease) bool {
	return l.Term > other.Term || l.Term == other.Term && l.Seq > other.Seq
}

// noLeaseAge stands for the age of a lease that was never written.
const noLeaseAge = 24 * time.Hour

// leaseRow is a lease as read from the store.
type leaseRow struct {
	lease
	version int64 // 0 if there is no row
	// age is the time since the last renewal, by the store's clock at readAt.
	age    time.Duration
	readAt time.Duration // on bootTime
	// askedAt is when the read was sent.
	askedAt time.Duration
}

// electionLease returns the lease as package election takes it. ended means that the
// granter's process is known to have ended; a lease of the VM of self belongs to an earlier
// process of it, or to this one, which has stopped granting.
func (l leaseRow) electionLease(self election.Process, ended bool) election.Lease {
	age := l.age
	if l.version == 0 {
		age = noLeaseAge
	}
	return election.Lease{
		Vacant:                l.version == 0 || l.Released || l.VM == "",
		Reserved:              l.Released && l.Successor != "" && l.Successor != self.VM,
		GranterEnded:          ended || l.VM == self.VM,
		EarlierProcess:        election.ResponseShows(election.Process{VM: l.VM, Incarnation: l.Incarnation}, self).GranterEnded(),
		Age:                   age,
		AskedAt:               l.askedAt,
		PredecessorsRemaining: max(time.Duration(l.PredecessorsMs)*time.Millisecond-l.age, 0),
	}
}

func leaseRowID() fleet.RowID { return fleet.RowID{Table: systemTable, Key: leaseKey} }

// systemState is the state of this system in the store.
type systemState struct {
	lease  leaseRow
	owners map[api.ServiceName][]ownership.Entry
	// crashes holds the requests in quarantine.
	crashes []crash.Entry
	// crashesErr is why their row cannot be decoded, nil if it can.
	crashesErr error
	// era is the era of the store, eraRow the version of its row, ownerRows names the rows that
	// hold the owners.
	era, eraRow int64
	ownerRows   []fleet.RowID
	// clock is the store's clock when it responded, after requestedAt on bootTime.
	clock, requestedAt time.Duration
	// unreadable holds an error for each row of owners that cannot be decoded.
	unreadable []error
}

// restored reports whether the rows are those of an older copy of the store: no granter has
// written since. A lease without an era was written by an earlier version of this program.
func (s systemState) restored() bool {
	if s.lease.version == 0 {
		return s.era > firstEra
	}
	return s.lease.Era != 0 && s.lease.Era != s.era
}

// firstEra is the era of a store that was never restored.
const firstEra = 1

// readSystem reads the rows of this system. A lease that cannot be decoded is logged
// and counts as vacant.
func (c *control) readSystem(ctx context.Context) (systemState, error) {
	requestedAt := bootTime()
	page, err := c.readAll(ctx, systemTable)
	if err != nil {
		return systemState{}, err
	}
	state := decodeSystem(page)
	state.lease.askedAt, state.requestedAt = requestedAt, requestedAt
	for _, err := range state.unreadable {
		c.log.Error().Str("event", "owners_unreadable").Err(err).Msg("")
	}
	if state.crashesErr != nil {
		c.log.Error().Str("event", "quarantines_unreadable").Err(state.crashesErr).Msg("")
	}
	if state.lease.version > 0 && state.lease.Term == 0 {
		c.log.Error().Str("event", "lease_unreadable").Int64("row", state.lease.version).Msg("")
	}
	return state, nil
}

// decodeSystem decodes the rows of this system, read just now.
func decodeSystem(page *fleet.Page) systemState {
	state := systemState{owners: make(map[api.ServiceName][]ownership.Entry), era: page.Era, clock: page.Clock()}
	for _, row := range page.Rows {
		if row.Key == leaseKey {
			state.lease = decodeLease(row, page.Clock())
			state.lease.readAt = bootTime()
			continue
		}
		if row.Key == crashesKey {
			entries, err := decodeCrashes(row.Value, page.Clock())
			if err != nil {
				state.crashesErr = errors.Wrapf(err, "version %d", row.Version)
			}
			state.crashes = entries
			continue
		}
		if row.Key == eraRowID(state.era).Key {
			state.eraRow = row.Version
		}
		service, part, ok := parseOwnerKey(row.Key)
		if !ok {
			continue
		}
		state.ownerRows = append(state.ownerRows, ownerRowID(service, part))
		entries, err := decodeOwners(row.Value, part)
		if err != nil {
			state.unreadable = append(state.unreadable, errors.Wrapf(err, "row %q, version %d", row.Key, row.Version))
		}
		state.owners[service] = append(state.owners[service], entries...)
	}
	for service, entries := range state.owners {
		state.owners[service] = mergeEntries(entries)
	}
	return state
}

func decodeLease(row fleet.Row, clock time.Duration) leaseRow {
	r := leaseRow{version: row.Version}
	if err := cbor.Unmarshal(row.Value, &r.lease); err != nil {
		// An undecodable lease counts as vacant; its version still orders takeovers.
		r.lease = lease{}
	}
	r.age = clock - time.Duration(r.RenewedAtMs)*time.Millisecond
	return r
}

// eraRowID identifies the row of an era of the store. The first write of an era creates it and
// removes those of earlier ones: a write that was meant for an earlier era then fails, although
// the store gives out the version of its lease again.
func eraRowID(era int64) fleet.RowID {
	return fleet.RowID{Table: systemTable, Key: eraKeyPrefix + strconv.FormatInt(era, 10)}
}

const (
	eraKeyPrefix = "era/"
	// maxEarlierEras is the number of earlier eras whose rows are removed; an older copy has
	// no others unless the store is restored several times within seconds.
	maxEarlierEras = 4
)

// writeCondition is what the rows must be for a write of a granter.
type writeCondition struct {
	// lease is the version of the lease row, 0 if there is none.
	lease int64
	// era is the era of the store, 0 if it states none, eraRow the version of its row.
	era, eraRow int64
}

// condition returns the condition under which the state does not change.
func (s systemState) condition() writeCondition {
	return writeCondition{lease: s.lease.version, era: s.era, eraRow: s.eraRow}
}

// after returns the condition after a write that took effect with a version.
func (w writeCondition) after(version int64) writeCondition {
	w.lease = version
	if w.era > 0 && w.eraRow == 0 {
		w.eraRow = version
	}
	return w
}

// commitRows writes and removes rows of owners in several transactions, each under the same
// condition, and does not write the lease.
func (c *control) commitRows(ctx context.Context, expect writeCondition, puts []fleet.Put, remove []fleet.RowID) error {
	for len(puts)+len(remove) > 0 {
		n := min(len(puts), maxRowsPerTx)
		m := min(len(remove), maxRowsPerTx-n)
		tx := fleet.Tx{Preconditions: expect.preconditions(), Put: puts[:n:n], Remove: remove[:m:m]}
		puts, remove = puts[n:], remove[m:]
		if _, err := c.commitTx(ctx, tx); err != nil {
			return err
		}
	}
	return nil
}

// preconditions returns the condition as the store takes it.
func (w writeCondition) preconditions() []fleet.Precondition {
	out := []fleet.Precondition{{RowID: leaseRowID(), Version: w.lease}}
	if w.era > 0 {
		out = append(out, fleet.Precondition{RowID: eraRowID(w.era), Version: w.eraRow})
	}
	return out
}

// commit writes the lease, and writes and removes rows of owners in the same transaction.
func (c *control) commit(ctx context.Context, expect writeCondition, l lease, owners []fleet.Put, remove []fleet.RowID) (*fleet.Page, error) {
	value, err := cbor.Marshal(l)
	if err != nil {
		return nil, errors.Wrap(err, "encode the lease")
	}
	tx := fleet.Tx{
		Preconditions: expect.preconditions(),
		Put:           append([]fleet.Put{{RowID: leaseRowID(), Value: value}}, owners...),
		Remove:        append([]fleet.RowID{}, remove...),
	}
	if expect.era > 0 && expect.eraRow == 0 {
		tx.Put = append(tx.Put, fleet.Put{RowID: eraRowID(expect.era), Value: []byte("1")})
		for era := max(expect.era-maxEarlierEras, 0); era < expect.era; era++ {
			tx.Remove = append(tx.Remove, eraRowID(era))
		}
	}
	return c.commitTx(ctx, tx)
}

func (c *control) commitTx(ctx context.Context, tx fleet.Tx) (*fleet.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := bootTime()
	page, err := c.store.Commit(ctx, tx)
	c.observeEra(page)
	c.storeCallEnded(ctx, "commit", sent, err)
	return page, err
}

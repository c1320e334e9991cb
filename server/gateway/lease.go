package gateway

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
)

const (
	// ownTable holds the rows of this system.
	ownTable = "dandelionhill"
	// leaseKey is the row of the granter's lease.
	leaseKey = "granter"

	// leaseRenew is the time between renewals of the lease.
	leaseRenew = time.Second
)

// lease names the VM that grants keys. All writes of a granter name the version
// of this row, so that a granter that was replaced writes nothing more.
type lease struct {
	VM          api.VMID        `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	// Address is where the other VMs reach the granter.
	Address string `cbor:"3,keyasint"`
	// Term increases with every takeover.
	Term int64 `cbor:"4,keyasint"`
	// Seq increases with every write of a term, to tell lost answers apart.
	Seq int64 `cbor:"5,keyasint"`
	// AtMs is the store's clock at the last renewal, in milliseconds.
	AtMs int64 `cbor:"6,keyasint"`
	// Released means that the granter has stopped by itself.
	Released bool `cbor:"7,keyasint"`
	// LateMs is for how long grants without an answer may still take effect when
	// the lease was released, in milliseconds.
	LateMs int64 `cbor:"9,keyasint"`
	// VMs is the number of VMs that the granter knew.
	VMs int `cbor:"8,keyasint"`
	// BeforeMs is how long after AtMs granters before this one may still act, in
	// milliseconds.
	BeforeMs int64 `cbor:"10,keyasint,omitempty"`

	// unread says that the store did not tell of this lease.
	unread bool
}

// unknownVM stands for the VM of a granter of which only the address is known.
const unknownVM api.VMID = "unknown"

// after reports whether l replaces other.
func (l lease) after(other lease) bool {
	return l.Term > other.Term || l.Term == other.Term && l.Seq > other.Seq
}

// leaseRow is a lease as read from the store.
type leaseRow struct {
	lease
	version int64 // 0 if there is no row
	// age is the time since the last renewal, by the store's clock at readAt.
	age    time.Duration
	readAt time.Duration // on bootTime
}

// seen returns what the election goes by. ended means that the granter's process
// is known to have ended; a lease of this VM is that of a process before this one.
func (l leaseRow) seen(self api.VMID, ended bool) election.Lease {
	return election.Lease{
		Vacant:                l.version == 0 || l.Released || l.VM == "",
		GranterEnded:          ended || l.VM == self,
		Age:                   l.age,
		PredecessorsRemaining: max(time.Duration(l.BeforeMs)*time.Millisecond-l.age, 0),
	}
}

func leaseName() fleet.RowID { return fleet.RowID{Table: ownTable, Key: leaseKey} }

// ownState is what the store holds of this system.
type ownState struct {
	lease    leaseRow
	holdings map[api.ServiceName][]ownership.Entry
}

// readOwn reads the rows of this system. A row that cannot be read counts as
// absent: its service is granted anew with higher fences.
func (c *control) readOwn(ctx context.Context) (ownState, error) {
	page, err := c.readAll(ctx, ownTable)
	if err != nil {
		return ownState{}, err
	}
	state, err := decodeOwn(page)
	if state.lease.version > 0 && state.lease.lease == (lease{}) {
		c.log.Error().Str("event", "lease_unreadable").Int64("row", state.lease.version).Msg("")
	}
	return state, err
}

// decodeOwn decodes the rows of this system, which were read just now.
func decodeOwn(page *fleet.Page) (ownState, error) {
	state := ownState{holdings: make(map[api.ServiceName][]ownership.Entry)}
	for _, row := range page.Rows {
		if row.Key == leaseKey {
			state.lease = decodeLease(row, page.Clock())
			state.lease.readAt = bootTime()
			continue
		}
		service, ok := serviceOf(row.Key)
		if !ok {
			continue
		}
		var entries []ownership.Entry
		if err := cbor.Unmarshal(row.Value, &entries); err != nil {
			return ownState{}, errors.Wrapf(err, "decode the row %q", row.Key)
		}
		state.holdings[service] = append(state.holdings[service], entries...)
	}
	for service, entries := range state.holdings {
		state.holdings[service] = join(entries)
	}
	return state, nil
}

func decodeLease(row fleet.Row, clock time.Duration) leaseRow {
	r := leaseRow{version: row.Version}
	if err := cbor.Unmarshal(row.Value, &r.lease); err != nil {
		// An unreadable lease binds nobody; its version still orders the takeover.
		r.lease = lease{}
	}
	r.age = clock - time.Duration(r.AtMs)*time.Millisecond
	return r
}

// commit runs a transaction that writes the lease, and rows with owners beside it.
func (c *control) commit(ctx context.Context, expect int64, l lease, owners []fleet.Put) (*fleet.Page, error) {
	value, err := cbor.Marshal(l)
	if err != nil {
		return nil, errors.Wrap(err, "encode the lease")
	}
	tx := fleet.Tx{
		Preconditions: []fleet.Precondition{{RowID: leaseName(), Version: expect}},
		Put:           append([]fleet.Put{{RowID: leaseName(), Value: value}}, owners...),
		Remove:        []fleet.RowID{},
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := c.store.Commit(ctx, tx)
	c.metrics.storeCall("commit", err)
	return page, err
}

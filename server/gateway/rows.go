package gateway

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
)

const (
	// ownerRowPrefix is the prefix of the keys of rows with owners: holding/PART/SERVICE.
	ownerRowPrefix = "holding/"
	// rowsPerService is the number of rows of a service. Each covers the same number of
	// keys, so that a row stays below the store's limit of 64 KB with any number of
	// upstreams: keys move in groups of 16, and an entry takes 35 bytes at most.
	rowsPerService = 16
	keysPerRow     = fleet.KeyCount / rowsPerService
)

func ownerRowID(service api.ServiceName, part int) fleet.RowID {
	return fleet.RowID{Table: systemTable, Key: fmt.Sprintf("%s%02d/%s", ownerRowPrefix, part, service)}
}

// parseOwnerKey returns the service and the part of a row with owners.
func parseOwnerKey(key string) (service api.ServiceName, part int, ok bool) {
	rest, found := strings.CutPrefix(key, ownerRowPrefix)
	if !found {
		return "", 0, false
	}
	number, name, found := strings.Cut(rest, "/")
	part, err := strconv.Atoi(number)
	return api.ServiceName(name), part, found && err == nil && part >= 0 && part < rowsPerService
}

// unknownOwner stands for the upstreams that may own the keys of an unreadable row. No
// upstream has this ID, so the keys move when the leases of earlier granters have expired.
const unknownOwner api.UpstreamID = "?"

// decodeOwners decodes a row with owners. If that fails, all its keys have an unknown owner.
func decodeOwners(value []byte, part int) ([]ownership.Entry, error) {
	var entries []ownership.Entry
	err := cbor.Unmarshal(value, &entries)
	next, end := part*keysPerRow, (part+1)*keysPerRow
	for _, e := range entries {
		if err == nil && (e.Span.First < next || e.Span.Last < e.Span.First || e.Span.Last >= end || e.Fence < 0) {
			err = errors.Errorf("keys %d to %d do not follow key %d within the row", e.Span.First, e.Span.Last, next-1)
		}
		next = e.Span.Last + 1
	}
	if err != nil {
		return []ownership.Entry{{
			Span: ownership.Span{First: part * keysPerRow, Last: end - 1}, Owner: ownership.Owner{UpstreamID: unknownOwner},
		}}, errors.Wrap(err, "decode the owners of keys")
	}
	return entries, nil
}

// splitByRow splits the entries of a service by row. A span that crosses the end of a row
// is split.
func splitByRow(entries []ownership.Entry) (out [rowsPerService][]ownership.Entry) {
	for i := range out {
		out[i] = []ownership.Entry{}
	}
	for _, e := range entries {
		for e.Span.First <= e.Span.Last {
			part := e.Span.First / keysPerRow
			piece := e
			piece.Span.Last = min(e.Span.Last, (part+1)*keysPerRow-1)
			out[part] = append(out[part], piece)
			e.Span.First = piece.Span.Last + 1
		}
	}
	return out
}

// mergeEntries returns the entries of all rows of a service in order, with split spans
// merged again.
func mergeEntries(entries []ownership.Entry) (out []ownership.Entry) {
	slices.SortFunc(entries, func(a, b ownership.Entry) int { return cmp.Compare(a.Span.First, b.Span.First) })
	for _, e := range entries {
		out = ownership.AppendEntry(out, e)
	}
	return out
}

// ownerRows holds the rows with owners as they are in the store.
type ownerRows map[fleet.RowID][]byte

// changes returns the rows to write for the store to hold the entries.
func (r ownerRows) changes(services map[api.ServiceName][]ownership.Entry) ([]fleet.Put, error) {
	var puts []fleet.Put
	for service, entries := range services {
		for part, list := range splitByRow(entries) {
			value, err := cbor.Marshal(list)
			if err != nil {
				return nil, errors.Wrap(err, "encode the owners of keys")
			}
			id := ownerRowID(service, part)
			if stored, ok := r[id]; !ok || !bytes.Equal(stored, value) {
				puts = append(puts, fleet.Put{RowID: id, Value: value})
			}
		}
	}
	return puts, nil
}

// maxRowsPerTx bounds the rows of one transaction beside those of the lease, the era and the
// quarantines: the store takes 100 entries.
const maxRowsPerTx = 80

// changesOfSome returns the rows to write for some of the services, and their names: all rows of a
// service are in one transaction, but not those of all services.
func (r ownerRows) changesOfSome(services map[api.ServiceName][]ownership.Entry) (puts []fleet.Put, names []api.ServiceName, err error) {
	for _, name := range slices.Sorted(maps.Keys(services)) {
		more, err := r.changes(map[api.ServiceName][]ownership.Entry{name: services[name]})
		if err != nil {
			return nil, nil, err
		}
		if len(puts)+len(more) <= maxRowsPerTx {
			puts, names = append(puts, more...), append(names, name)
		}
	}
	return puts, names, nil
}

// markStored records that puts were written.
func (r ownerRows) markStored(puts []fleet.Put) {
	for _, p := range puts {
		r[p.RowID] = p.Value
	}
}

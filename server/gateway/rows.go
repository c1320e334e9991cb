package gateway

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
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

// serviceFromKey returns the service of a row with owners.
func serviceFromKey(key string) (api.ServiceName, bool) {
	rest, ok := strings.CutPrefix(key, ownerRowPrefix)
	if !ok {
		return "", false
	}
	_, service, ok := strings.Cut(rest, "/")
	return api.ServiceName(service), ok
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

// markStored records that puts were written.
func (r ownerRows) markStored(puts []fleet.Put) {
	for _, p := range puts {
		r[p.RowID] = p.Value
	}
}

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
	// holdingPrefix begins the keys of the rows with the owners of a service's keys:
	// holding/PART/SERVICE.
	holdingPrefix = "holding/"
	// holdingParts is the number of rows of a service. Each covers as many keys, so
	// that a row stays below the limit of the store (64 KB) whatever the number of
	// upstreams: keys move in groups of 16, and an entry takes 35 bytes at most.
	holdingParts = 16
	partKeys     = fleet.KeyCount / holdingParts
)

func holdingName(service api.ServiceName, part int) fleet.RowID {
	return fleet.RowID{Table: ownTable, Key: fmt.Sprintf("%s%02d/%s", holdingPrefix, part, service)}
}

// serviceOf returns the service of a row with owners.
func serviceOf(key string) (api.ServiceName, bool) {
	rest, ok := strings.CutPrefix(key, holdingPrefix)
	if !ok {
		return "", false
	}
	_, service, ok := strings.Cut(rest, "/")
	return api.ServiceName(service), ok
}

// parts divides the entries of a service by row. A span that reaches over the end of
// a row is divided.
func parts(entries []ownership.Entry) (out [holdingParts][]ownership.Entry) {
	for i := range out {
		out[i] = []ownership.Entry{}
	}
	for _, e := range entries {
		for e.Span.First <= e.Span.Last {
			part := e.Span.First / partKeys
			piece := e
			piece.Span.Last = min(e.Span.Last, (part+1)*partKeys-1)
			out[part] = append(out[part], piece)
			e.Span.First = piece.Span.Last + 1
		}
	}
	return out
}

// join returns the entries of a service from those of its rows, in order, with spans
// that were divided as one.
func join(entries []ownership.Entry) (out []ownership.Entry) {
	slices.SortFunc(entries, func(a, b ownership.Entry) int { return cmp.Compare(a.Span.First, b.Span.First) })
	for _, e := range entries {
		out = ownership.AppendEntry(out, e)
	}
	return out
}

// holdingRows are rows with owners as the store holds them.
type holdingRows map[fleet.RowID][]byte

// changes returns the rows that have to be written so that the store holds the
// entries.
func (r holdingRows) changes(services map[api.ServiceName][]ownership.Entry) ([]fleet.Put, error) {
	var puts []fleet.Put
	for service, entries := range services {
		for part, list := range parts(entries) {
			value, err := cbor.Marshal(list)
			if err != nil {
				return nil, errors.Wrap(err, "encode the owners of keys")
			}
			name := holdingName(service, part)
			if stored, ok := r[name]; !ok || !bytes.Equal(stored, value) {
				puts = append(puts, fleet.Put{RowID: name, Value: value})
			}
		}
	}
	return puts, nil
}

// stored notes that the store holds what was written.
func (r holdingRows) stored(puts []fleet.Put) {
	for _, p := range puts {
		r[p.RowID] = p.Value
	}
}

package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
)

// storeRowLimit is the largest value that the store accepts.
const storeRowLimit = 64 << 10

// ownerEntries returns entries of the given number of keys, each with its own owner.
func ownerEntries(keys int) (entries []ownership.Entry) {
	for first := 0; first < fleet.KeyCount; first += keys {
		entries = append(entries, ownership.Entry{
			Span:  ownership.Span{First: first, Last: min(first+keys, fleet.KeyCount) - 1},
			Owner: ownership.Owner{UpstreamID: "i-0123456789", Incarnation: 1769467777278 + int64(first)}, Fence: 1 << 40,
		})
	}
	return entries
}

// TestRowsStaySmall guards against a row beyond the size limit of the store: a deployment
// of 1,000 upstreams could not write its owners and granted nothing.
func TestRowsStaySmall(t *testing.T) {
	rows := make(ownerRows)
	puts, err := rows.changes(map[api.ServiceName][]ownership.Entry{"foglalas": ownerEntries(16)})
	require.NoError(t, err)
	require.Len(t, puts, rowsPerService)
	for _, p := range puts {
		require.Less(t, len(p.Value), storeRowLimit)
	}
}

// TestRowsKeepEntries guards against entries that are lost or changed between a granter
// and its successor, and against writes of unchanged rows.
func TestRowsKeepEntries(t *testing.T) {
	for _, keys := range []int{16, 4096, 5000, fleet.KeyCount} {
		rows, entries := make(ownerRows), ownerEntries(keys)
		all := map[api.ServiceName][]ownership.Entry{"foglalas": entries, "a/b": entries[:1]}
		puts, err := rows.changes(all)
		require.NoError(t, err)
		page := &fleet.Page{}
		for _, p := range puts {
			page.Rows = append(page.Rows, fleet.Row{Table: p.Table, Key: p.Key, Value: p.Value, Version: 1})
		}
		state := decodeSystem(page)
		require.Empty(t, state.unreadable)
		require.Equal(t, entries, state.owners["foglalas"])
		require.Equal(t, entries[:1], state.owners["a/b"])

		rows.markStored(puts)
		puts, err = rows.changes(all)
		require.NoError(t, err)
		require.Empty(t, puts)
		all["foglalas"] = append([]ownership.Entry(nil), entries...)
		all["foglalas"][0].Fence++
		puts, err = rows.changes(all)
		require.NoError(t, err)
		require.Len(t, puts, len(splitByRow(entries[:1]))-countEmpty(entries[:1]))
	}
}

func countEmpty(entries []ownership.Entry) (n int) {
	for _, list := range splitByRow(entries) {
		if len(list) == 0 {
			n++
		}
	}
	return n
}

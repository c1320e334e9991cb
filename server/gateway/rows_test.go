package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
)

// storeRowLimit is the largest value that the store takes.
const storeRowLimit = 64 << 10

// table returns entries in spans of a number of keys, each with an owner of its own.
func table(keys int) (entries []ownership.Entry) {
	for first := 0; first < fleet.KeyCount; first += keys {
		entries = append(entries, ownership.Entry{
			Span:  ownership.Span{First: first, Last: min(first+keys, fleet.KeyCount) - 1},
			Owner: ownership.Owner{UpstreamID: "i-0123456789", Incarnation: 1769467777278 + int64(first)}, Fence: 1 << 40,
		})
	}
	return entries
}

// TestRowsStaySmall guards against a row that the store refuses as too long: a
// deployment of 1,000 upstreams could not write its owners, and nobody granted.
func TestRowsStaySmall(t *testing.T) {
	rows := make(holdingRows)
	puts, err := rows.changes(map[api.ServiceName][]ownership.Entry{"foglalas": table(16)})
	require.NoError(t, err)
	require.Len(t, puts, holdingParts)
	for _, p := range puts {
		require.Less(t, len(p.Value), storeRowLimit)
	}
}

// TestRowsKeepEntries guards against entries that are lost or changed between the
// granter and its successor, and against rows that are written without a change.
func TestRowsKeepEntries(t *testing.T) {
	for _, keys := range []int{16, 4096, 5000, fleet.KeyCount} {
		rows, entries := make(holdingRows), table(keys)
		all := map[api.ServiceName][]ownership.Entry{"foglalas": entries, "a/b": entries[:1]}
		puts, err := rows.changes(all)
		require.NoError(t, err)
		page := &fleet.Page{}
		for _, p := range puts {
			page.Rows = append(page.Rows, fleet.Row{Table: p.Table, Key: p.Key, Value: p.Value, Version: 1})
		}
		state, err := decodeOwn(page)
		require.NoError(t, err)
		require.Equal(t, entries, state.holdings["foglalas"])
		require.Equal(t, entries[:1], state.holdings["a/b"])

		rows.stored(puts)
		puts, err = rows.changes(all)
		require.NoError(t, err)
		require.Empty(t, puts)
		all["foglalas"] = append([]ownership.Entry(nil), entries...)
		all["foglalas"][0].Fence++
		puts, err = rows.changes(all)
		require.NoError(t, err)
		require.Len(t, puts, len(parts(entries[:1]))-countEmpty(entries[:1]))
	}
}

func countEmpty(entries []ownership.Entry) (n int) {
	for _, list := range parts(entries) {
		if len(list) == 0 {
			n++
		}
	}
	return n
}

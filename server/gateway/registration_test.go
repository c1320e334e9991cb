package gateway

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

// TestRemovedUpstreamStaysRemoved guards against an upstream that has left and is used
// again, because a VM that switches between its own feed and the granter's, or reads an
// older state of the store, applies an older row after the removal.
func TestRemovedUpstreamStaysRemoved(t *testing.T) {
	c := newControl(fleet.NewStore("", newStoreClient()), NewMetrics(), zerolog.Nop())
	go c.run(t.Context())
	registration := fakes.NewUpstream("k1", "keyed", "zone-a").Registration("127.0.0.1:1", "ready", 0)
	row := func(version int64) fleet.Row { return fleet.Row{Key: "k1", Version: version, Value: registration} }
	usable := func() bool {
		done := make(chan bool)
		c.do(func(s *state) {
			u := s.upstreams["k1"]
			done <- u != nil && s.usable(u)
		})
		return <-done
	}
	c.submitUpstreamRows(&fleet.Page{Rows: []fleet.Row{row(5)}}, false)
	require.True(t, usable())
	c.submitUpstreamRows(&fleet.Page{Rows: []fleet.Row{{Key: "k1", Version: 20, Deleted: true}}}, false)
	require.False(t, usable())
	c.submitUpstreamRows(&fleet.Page{Rows: []fleet.Row{row(10)}}, false)
	require.False(t, usable(), "a row from before the removal")
	c.submitUpstreamRows(&fleet.Page{Rows: []fleet.Row{row(10)}, Version: 15}, true)
	require.False(t, usable(), "an older state of the store")
	c.submitUpstreamRows(&fleet.Page{Rows: []fleet.Row{row(30)}}, false)
	require.True(t, usable(), "it has registered again")
	c.submitUpstreamRows(&fleet.Page{Version: 25}, true)
	require.True(t, usable(), "an older state of the store, without it")
	c.submitUpstreamRows(&fleet.Page{Version: 35}, true)
	require.False(t, usable(), "it is missing now")
}

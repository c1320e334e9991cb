package gateway

import (
	"fmt"
	"strings"
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

// TestOddEntryLeavesOthersInUse guards against VMs that end, or stop following the registrations,
// because another writer has left an odd entry among them: deeply nested, with a number too
// large, or with a port out of range.
func TestOddEntryLeavesOthersInUse(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("k1", "keyed")
	g := d.startVM("vm-a")
	d.requireServed(g, keyedPath, 1)
	entry := func(address, slots, cold string) []byte {
		return fmt.Appendf(nil, `{"Address":%q,"born":17,"Info":{"Service":"keyed","Zone":"zone-a","MaxConcurrency":%s},"Status":{"State":"ready","ColdLeftS":%s}}`, address, slots, cold)
	}
	for key, value := range map[string][]byte{
		"nested": []byte(strings.Repeat(`{"Info":`, 6000)), "slots": entry("127.0.0.1:9", "9223372036854775807", "0"),
		"cold": entry("127.0.0.1:9", "4", "1e300"), "port": entry("127.0.0.1:99999", "4", "0"), "number": entry("127.0.0.1:9", "1e400", "0"),
		"k1-\r\nconfig": {0xff},
	} {
		d.store.Put("servers", key, value)
	}
	d.addUpstream("k2", "keyed")
	d.eventually(func() bool { return g.control.view().upstreams["k2"] != nil }, "the VM follows the registrations")
	require.Len(t, g.control.view().services["keyed"], 2, "odd entries name no upstream")
	for key := 0; key < fleet.KeyCount; key += 4000 {
		d.requireServed(g, keyedPath, key)
	}
}

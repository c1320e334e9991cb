package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/freshness"
)

// allCallCauses returns all causes.
func allCallCauses() []callCause {
	out := []callCause{
		causeStart, causeGranterLost, causeNoGranter, causeTakeover, causeRenewal, causeOwners, causeRelease,
		causeRenewalCheck, causeCaretaker, causeOther,
	}
	for _, cause := range []freshness.Cause{
		freshness.CauseWatch, freshness.CauseLongPoll, freshness.CauseUnwatched, freshness.CauseReread, freshness.CauseRetry,
	} {
		out = append(out, callCause(cause))
	}
	return out
}

// storeCallsOf returns the calls of the store that a VM has counted, by cause.
func storeCallsOf(g *Gateway) map[callCause]int {
	out := make(map[callCause]int)
	for _, call := range []string{"read", "feed", "commit"} {
		for _, cause := range allCallCauses() {
			for _, result := range []string{"ok", "error"} {
				out[cause] += int(testutil.ToFloat64(g.metrics.store.WithLabelValues(call, string(cause), result)))
			}
		}
	}
	return out
}

// TestStoreCallsByCause guards against calls of the store that are not counted, or without a
// cause.
func TestStoreCallsByCause(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("k1", "keyed")
	var received atomic.Int64
	store := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		received.Add(1)
		d.store.ServeHTTP(rw, r)
	}))
	t.Cleanup(store.Close)
	address := store.Listener.Addr().String()
	for i := range 2 {
		d.requireServed(d.startVMAt(fmt.Sprint("vm-", i), address), keyedPath, 1)
	}
	first, second := d.vms[0], d.vms[1]
	d.eventually(func() bool { return storeCallsOf(first)[causeRenewal] > 0 }, "the granter renews")
	first.cancel()
	for _, server := range first.servers {
		server.Close()
	}
	<-first.electionDone
	d.eventually(func() bool { return second.links.currentGranter() != nil }, "the other VM takes over")
	d.eventually(func() bool { return storeCallsOf(second)["feed"] > 0 }, "the next granter polls")
	second.cancel()
	<-second.electionDone
	calls := storeCallsOf(first)
	for _, cause := range []callCause{causeStart, "feed", causeTakeover, causeOwners, causeRelease} {
		require.NotZero(t, calls[cause], "%s", cause)
	}
	require.NotZero(t, storeCallsOf(second)[causeGranterLost])
	for _, g := range d.vms {
		require.Zero(t, storeCallsOf(g)[causeOther])
	}
	// Calls are counted when they end: those of the feeds are still in flight.
	d.eventually(func() bool {
		counted := int64(0)
		for _, g := range d.vms {
			for _, n := range storeCallsOf(g) {
				counted += int64(n)
			}
		}
		return counted == received.Load()
	}, "all calls are counted")
}

// feedCallsOf returns the calls that a VM without a granter has made for the tables that it follows.
func feedCallsOf(g *Gateway) int {
	calls, sum := storeCallsOf(g), 0
	for _, cause := range []freshness.Cause{freshness.CauseLongPoll, freshness.CauseUnwatched, freshness.CauseReread, freshness.CauseRetry} {
		sum += calls[callCause(cause)]
	}
	return sum
}

// TestChangeWithoutNextGranter guards against a VM that waits for the next granter instead of
// following the tables itself: the granter is lost and no VM can take over.
func TestChangeWithoutNextGranter(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("k1", "keyed")
	var noLease atomic.Bool
	store := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if noLease.Load() && (r.URL.Query().Get("Table") == systemTable || r.URL.Path == "/api/rows-tx") {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d.store.ServeHTTP(rw, r)
	}))
	t.Cleanup(store.Close)
	for i := range 3 {
		d.requireServed(d.startVMAt(fmt.Sprint("vm-", i), store.Listener.Addr().String()), keyedPath, 1)
	}
	var granter *Gateway
	others := d.vms[:0:0]
	for _, g := range d.vms {
		if g.links.currentGranter() != nil {
			granter = g
		} else {
			others = append(others, g)
		}
	}
	for _, g := range others {
		d.eventually(func() bool { _, ok := g.links.relay.active(); return ok }, "the granter passes rows on")
	}
	noLease.Store(true)
	before := make(map[*Gateway]int)
	for _, g := range others {
		before[g] = feedCallsOf(g)
	}
	granter.cancel()
	for _, server := range granter.servers {
		server.Close()
	}
	<-granter.electionDone
	d.configure(5, "keyed")
	for _, g := range others {
		d.eventually(func() bool { return g.control.view().config.Version == 5 }, "the change is in force")
		require.Greater(t, feedCallsOf(g), before[g], "it has read the change itself")
		require.Nil(t, g.links.currentGranter())
	}
}

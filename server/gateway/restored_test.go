package gateway

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/freshness"
	"dandelionhill.dev/core/ownership"
	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

// ownedBuckets returns the number of keys, one of each bucket, that each upstream owns at a VM.
func ownedBuckets(g *Gateway) map[string]int {
	owned := make(map[string]int)
	table := g.control.view().owners["keyed"]
	for key := 0; key < fleet.KeyCount; key += ownership.KeysPerBucket {
		owned[string(table.owner(key))]++
	}
	return owned
}

// requireOneHolder checks for a time that no key is held by two upstreams.
func (d *deployment) requireOneHolder(during time.Duration) {
	d.t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for key := 0; key < fleet.KeyCount; key += ownership.KeysPerBucket {
			var holders []string
			for id, u := range d.upstreams {
				if u.Holds(key) {
					holders = append(holders, id)
				}
			}
			require.LessOrEqual(d.t, len(holders), 1, "key %d is held by %v", key, holders)
		}
	}
}

// TestRestoredStoreKeepsOwners guards against keys that are granted to their owners of an
// older copy of the store, while the present owners still hold them.
func TestRestoredStoreKeepsOwners(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("k1", "keyed")
	a := d.startVM("vm-a")
	b := d.startVM("vm-b")
	d.requireServed(a, keyedPath, 1)
	d.requireServed(b, keyedPath, 1)
	older := d.store.Copy()
	k2 := d.addUpstream("k2", "keyed")
	d.eventually(func() bool { return ownedBuckets(b)["k2"] > 1000 }, "the second upstream owns keys")
	term := b.control.view().owners["keyed"].Term

	d.store.Restore(older)
	d.store.Put("servers", "k2", k2.Registration(d.addresses["k2"], "ready", 0))
	d.requireOneHolder(6 * time.Second)
	d.requireServed(a, keyedPath, 1)
	d.eventually(func() bool { return ownedBuckets(b)[""] == 0 }, "all keys have an owner")
	require.Equal(t, term, b.control.view().owners["keyed"].Term, "the granter has gone on")
	d.eventually(func() bool { return len(d.store.Row(systemTable, ownerRowID("keyed", 0).Key).Value) > 0 }, "the store has the owners again")
}

// TestChangesAfterRestore guards against changes that a VM misses or ignores because the store,
// restored from an older copy, gives them versions that it gave out before.
func TestChangesAfterRestore(t *testing.T) {
	d := newDeployment(t)
	address, refuse := d.storeFor()
	g := d.startVMAt("vm-a", address)
	older := d.store.Copy()
	advance := func() {
		for range 40 {
			d.store.Put("other", "row", []byte("{}"))
		}
	}
	advance()
	p1 := d.addUpstream("p1", "plain")
	d.configure(2, "keyed")
	d.eventually(func() bool {
		v := g.control.view()
		return len(v.services["plain"]) == 1 && v.config != nil && v.config.Version == 2
	}, "the VM knows the upstream and the configuration")
	known := d.store.Row("op", "config").Version

	refuse.Store(true)
	d.eventually(func() bool { return g.control.view().storeUnavailable }, "the store is away")
	d.store.Restore(older)
	d.store.Put("servers", "p1", p1.Registration(d.addresses["p1"], "draining", 0))
	d.configure(7, "plain")
	require.Less(t, d.store.Row("op", "config").Version, known, "versions are given out again")
	advance()
	refuse.Store(false)
	d.eventually(func() bool { return g.control.view().config.Version == 7 }, "the VM sees the configuration")
	d.eventually(func() bool { v := g.control.view(); return !v.usable(v.upstreams["p1"]) }, "the VM sees that the upstream is draining")
}

// TestLongPollAcrossRestore guards against a long poll that was sent before the store was
// restored and waits for a change, while another call has shown the restore.
func TestLongPollAcrossRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, c, _ := followLostFeed(t, fleet.TableUpstreams)
		time.Sleep(time.Second)
		c.observeEra(&fleet.Page{Era: 1})
		time.Sleep(freshness.DefaultConfig().MaxLag + feedInterval)
		require.EqualValues(t, 2, store.reads.Load())
	})
}

// TestRestoredStoreWithoutGranter guards against a VM that takes over after the store went back
// to an older copy and grants keys by its rows, or with fences that were used before, because
// the granter that knew better was lost with it.
func TestRestoredStoreWithoutGranter(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("k1", "keyed")
	address, refuse := d.storeFor()
	a := d.startVMAt("vm-a", address)
	d.requireServed(a, keyedPath, 1)
	b := d.startVM("vm-b")
	d.requireServed(b, keyedPath, 1)
	older := d.store.Copy()
	k2 := d.addUpstream("k2", "keyed")
	d.eventually(func() bool { return ownedBuckets(b)["k2"] > 1000 }, "the second upstream owns keys")
	term := b.control.view().owners["keyed"].Term

	refuse.Store(true)
	d.store.Restore(older)
	a.cancel()
	for _, s := range a.servers {
		s.Close()
	}
	d.store.Put("servers", "k2", k2.Registration(d.addresses["k2"], "ready", 0))
	d.requireOneHolder(9 * time.Second)
	d.requireServed(b, keyedPath, 1)
	d.eventually(func() bool { return ownedBuckets(b)[""] == 0 }, "all keys have an owner")
	require.Greater(t, b.control.view().owners["keyed"].Term, term+maxLostTerms/2)
}

// TestWriteOfEarlierEra guards against a granter that overwrites the lease of another one, which
// took over after the store was restored, because that lease has the version that its own had.
func TestWriteOfEarlierEra(t *testing.T) {
	d := newDeployment(t)
	c := newControl(fleet.NewStore(d.storeAddr, newStoreClient()), NewMetrics(), zerolog.Nop())
	read := func() systemState {
		state, err := c.readSystem(t.Context())
		require.NoError(t, err)
		return state
	}
	write := func(condition writeCondition, l lease) writeCondition {
		page, err := c.commit(t.Context(), condition, l, nil, nil)
		require.NoError(t, err)
		return condition.after(page.Version)
	}
	former := write(read().condition(), lease{VM: "former", Term: 1, Era: 1})
	older := d.store.Copy()
	for range 5 {
		former = write(former, lease{VM: "former", Term: 1, Era: 1})
	}
	version := d.store.Row(systemTable, leaseKey).Version

	d.store.Restore(older)
	require.True(t, read().restored())
	next := write(read().condition(), lease{VM: "next", Term: 2, Era: 2})
	require.False(t, read().restored())
	for d.store.Row(systemTable, leaseKey).Version < version {
		next = write(next, lease{VM: "next", Term: 2, Era: 2})
	}
	require.Equal(t, version, d.store.Row(systemTable, leaseKey).Version, "the version is given out again")
	_, err := c.commit(t.Context(), former, lease{VM: "former", Term: 1, Era: 1}, nil, nil)
	require.ErrorIs(t, err, fleet.ErrConflict)
	write(next, lease{VM: "next", Term: 2, Era: 2})
}

// TestCopyBringsNothingBack guards against upstreams that are draining or gone, and failure
// domains that are out, which are used again because the store was restored from a copy of
// before, and against upstreams that are dropped because the copy lacks them.
func TestCopyBringsNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(fleet.NewStore("", newStoreClient()), NewMetrics(), zerolog.Nop())
		go c.run(t.Context())
		upstreams := make(map[string]*fakes.Upstream)
		row := func(id, state string, version int64) fleet.Row {
			if upstreams[id] == nil {
				upstreams[id] = fakes.NewUpstream(id, "plain", "zone-a")
			}
			return fleet.Row{Key: id, Version: version, Value: upstreams[id].Registration("127.0.0.1:1", state, 0)}
		}
		usable := func() (ids []string) {
			done := make(chan bool)
			c.do(func(s *state) {
				for id, u := range s.upstreams {
					if s.usable(u) {
						ids = append(ids, string(id))
					}
				}
				close(done)
			})
			<-done
			slices.Sort(ids)
			return ids
		}
		out := func() bool {
			done := make(chan bool)
			c.do(func(s *state) { done <- s.domainsOut["zone-b"] })
			return <-done
		}
		evacuation := fleet.Row{Key: fleet.EvacuationKey("zone-b"), Version: 14}
		c.submitUpstreamRows(&fleet.Page{Era: 1, Version: 10, Rows: []fleet.Row{
			row("draining", "ready", 1), row("gone", "ready", 2), row("alive", "ready", 3), row("later", "ready", 4),
		}}, true)
		c.submitOperatorRows(&fleet.Page{Era: 1, Version: 10}, true)
		c.submitUpstreamRows(&fleet.Page{Era: 1, Version: 13, Rows: []fleet.Row{
			row("draining", "draining", 11), {Key: "gone", Version: 12, Deleted: true}, {Key: "alive", Version: 13, Deleted: true},
		}}, false)
		c.submitOperatorRows(&fleet.Page{Era: 1, Version: 14, Rows: []fleet.Row{evacuation}}, false)
		require.Equal(t, []string{"later"}, usable())

		c.submitUpstreamRows(&fleet.Page{Era: 2, Version: 103, Rows: []fleet.Row{
			row("draining", "ready", 101), row("gone", "ready", 102), row("alive", "ready", 103),
		}}, true)
		c.submitOperatorRows(&fleet.Page{Era: 2, Version: 103}, true)
		require.Equal(t, []string{"later"}, usable())
		require.True(t, out())
		time.Sleep(time.Second)
		c.submitUpstreamRows(&fleet.Page{Era: 2, Version: 104, Rows: []fleet.Row{row("later", "ready", 104)}}, false)
		time.Sleep(time.Second)
		c.submitUpstreamRows(&fleet.Page{Era: 2, Version: 105, Rows: []fleet.Row{{Key: "gone", Version: 105, Deleted: true}}}, false)
		time.Sleep(time.Second)
		require.Equal(t, []string{"later"}, usable())
		require.True(t, out())
		time.Sleep(time.Second)
		require.Equal(t, []string{"alive", "later"}, usable(), "its registration has not lapsed")
		require.False(t, out(), "the operator has not written it again")
		evacuation.Version = 106
		c.submitOperatorRows(&fleet.Page{Era: 2, Version: 106, Rows: []fleet.Row{evacuation}}, false)
		time.Sleep(5 * time.Second)
		require.True(t, out())
	})
}

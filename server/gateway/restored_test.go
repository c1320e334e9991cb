package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/ownership"
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

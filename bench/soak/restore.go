package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/server/wait"
)

const (
	// copyInterval is the time between two copies of the store, maxCopies the number kept.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 20
	// maxRewriteDelay is the longest time until operators write again what a copy lacks.
	maxRewriteDelay = time.Second
)

// copyStore keeps the last maxCopies copies of the store until ctx ends.
func (d *deployment) copyStore(ctx context.Context) {
	for wait.For(ctx, copyInterval) {
		d.mu.Lock()
		d.copies = append(d.copies, d.store.Copy())
		d.copies = d.copies[max(len(d.copies)-maxCopies, 0):]
		d.mu.Unlock()
	}
}

// planRestores draws outages of the store that end with an older copy. They have a source of
// randomness of their own, so that the other actions of a seed stay the same.
func (d *deployment) planRestores(rng *rand.Rand, duration time.Duration) (actions []action) {
	for at := faultFreeStart + 2*time.Second; at < faultFreeStart+duration; at += 2*time.Second + time.Duration(rng.Int64N(int64(8*time.Second))) {
		age, rewrite := 1+rng.IntN(maxCopies-1), time.Duration(rng.Int64N(int64(maxRewriteDelay)))
		actions = append(actions, action{
			At: at, Duration: time.Duration(rng.Int64N(int64(2 * time.Second))),
			Name: fmt.Sprintf("store restored from a copy %v old", time.Duration(age)*copyInterval),
			apply: func() {
				d.store.SetFaults(fakes.Faults{Refuse: true})
				d.storeFaultBegins("")
			},
			revert: func() {
				d.restoreStore(age)
				d.store.SetFaults(fakes.Faults{})
				time.Sleep(rewrite)
				d.rewriteOperatorRows()
				d.storeFaultEnds("")
			},
		})
	}
	return actions
}

// restoreStore goes back by a number of copies. Later ones are dropped: they hold versions
// that are given out again.
func (d *deployment) restoreStore(age int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.copies) == 0 {
		return
	}
	at := max(len(d.copies)-age, 0)
	d.store.Restore(d.copies[at])
	d.copies = d.copies[:at+1]
}

// rewriteOperatorRows writes the configuration and the failure domains that are out.
func (d *deployment) rewriteOperatorRows() {
	d.operator.Lock()
	defer d.operator.Unlock()
	d.putConfiguration()
	for _, domain := range d.domains {
		d.putEvacuation(domain, d.domainsOut[domain])
	}
}

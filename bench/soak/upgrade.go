package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// upgradeGap is the time between the replacement of two VMs.
const upgradeGap = 1500 * time.Millisecond

// planUpgrade replaces the VMs, which run the production build at first, one after the other by
// the new build: of each three seeds one replaces all VMs, one goes back afterwards, and one
// stops half-way.
func (d *deployment) planUpgrade(rng *rand.Rand, duration time.Duration) (actions []action) {
	order := rng.Perm(len(d.vms))
	replace := func(at time.Duration, vms []int, binary, name string) {
		for i, index := range vms {
			v := d.vms[index]
			actions = append(actions, action{At: at + time.Duration(i)*upgradeGap, Name: name + " " + v.name, revert: func() {}, apply: func() {
				v.binary.Store(&binary)
				v.signal(syscall.SIGTERM)
			}})
		}
	}
	start := faultFreeStart + time.Duration(rng.Int64N(int64(duration/4)))
	switch d.Seed % 3 {
	case 0:
		replace(start, order, d.GatewayBinary, "upgrade")
	case 1:
		replace(start, order, d.GatewayBinary, "upgrade")
		replace(start+duration/2, order, d.ProductionBinary, "roll back")
	case 2:
		replace(start, order[:(len(order)+1)/2], d.GatewayBinary, "upgrade")
	}
	return actions
}

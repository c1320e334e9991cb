package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// pauseInterval is the time between two pauses of a series, maxPauses the most of one.
	pauseInterval = 1100 * time.Millisecond
	maxPauses     = 6
)

// The row in which VMs keep who grants keys.
const (
	granterTable = "dandelionhill"
	granterKey   = "granter"
)

// planKeyFaults draws the faults under which keys may get two owners: series of short pauses of
// the granter or another VM, and cuts of a failure domain's upstreams from the VMs of the others.
// They have a source of randomness of their own, as in planRestores.
func (d *deployment) planKeyFaults(rng *rand.Rand, duration time.Duration) (actions []action) {
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for at := faultFreeStart; at < faultFreeStart+duration; at += between(500*time.Millisecond, 4*time.Second) {
		if rng.IntN(3) == 0 {
			domain := d.domains[rng.IntN(len(d.domains))]
			actions = append(actions, action{
				At: at, Duration: between(time.Second, 6*time.Second), Name: "cut off the upstreams of " + domain,
				apply: func() { d.cut(domain, true) }, revert: func() { d.cut(domain, false) },
			})
			continue
		}
		v, granter, name := d.vms[rng.IntN(len(d.vms))], rng.IntN(2) == 0, "the granter"
		if !granter {
			name = v.name
		}
		for i := range 1 + rng.IntN(maxPauses) {
			var paused *vm
			actions = append(actions, action{
				At: at + time.Duration(i)*pauseInterval, Duration: between(100*time.Millisecond, time.Second), Name: fmt.Sprintf("pause %s, %d of a series", name, i+1),
				apply: func() {
					if paused = v; granter {
						paused = d.granter(v)
					}
					paused.signal(syscall.SIGSTOP)
				},
				revert: func() { paused.signal(syscall.SIGCONT) },
			})
		}
	}
	return actions
}

// granter returns the VM that the store names as the granter, or another if it names none.
func (d *deployment) granter(other *vm) *vm {
	row := d.store.Row(granterTable, granterKey)
	for _, v := range d.vms {
		if name := append([]byte{0x60 | byte(len(v.name))}, v.name...); bytes.Contains(row.Value, name) { // text in CBOR
			return v
		}
	}
	return other
}

// cut separates the upstreams of a failure domain from the VMs of the others, or ends that.
func (d *deployment) cut(domain string, begin bool) {
	for _, u := range d.upstreams {
		if u.domain == domain && u.proxy != nil {
			u.proxy.setCut(begin)
		}
	}
}

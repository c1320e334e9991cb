package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
)

// disturbance is one thing that the soak does, and undoes after a while.
type disturbance struct {
	At, For time.Duration
	Name    string
	begin   func()
	end     func()
}

// The parts of a run in which nothing is disturbed.
const (
	calmStart = 3 * time.Second
	calmEnd   = 15 * time.Second // the users' time for recovery
)

// plan draws what happens in a run. Disturbances overlap, and some come in series.
func (d *deployment) plan(rng *rand.Rand, length time.Duration) []disturbance {
	var all []disturbance
	add := func(at, long time.Duration, name string, begin, end func()) {
		all = append(all, disturbance{At: at, For: long, Name: name, begin: begin, end: end})
	}
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	nothing := func() {}
	for at := calmStart; at < calmStart+length; at += between(200*time.Millisecond, 1500*time.Millisecond) {
		vm := d.vms[rng.IntN(len(d.vms))]
		up := d.upstreams[rng.IntN(len(d.upstreams))]
		long := between(300*time.Millisecond, 5*time.Second)
		bad := []fault{faultDelay, faultReset, faultSilent, faultRequest, faultAnswer}[rng.IntN(5)]
		switch rng.IntN(15) {
		case 0:
			add(at, long, "stop "+vm.name, func() { vm.signal(syscall.SIGTERM) }, nothing)
		case 1:
			for i, each := range d.vms {
				add(at+time.Duration(i)*700*time.Millisecond, long, "roll "+each.name, func() { each.signal(syscall.SIGTERM) }, nothing)
			}
		case 2:
			add(at, long, "kill "+vm.name, func() { vm.signal(syscall.SIGKILL) }, nothing)
		case 3:
			add(at, long, "pause "+vm.name, func() { vm.signal(syscall.SIGSTOP) }, func() { vm.signal(syscall.SIGCONT) })
		case 4:
			add(at, long, "reload "+vm.name, func() { vm.signal(syscall.SIGHUP) }, nothing)
		case 5:
			add(at, long, "kill "+up.name, func() { up.signal(syscall.SIGKILL) }, nothing)
		case 6:
			add(at, long, "stop "+up.name, func() { up.signal(syscall.SIGTERM) }, nothing)
		case 7:
			add(at, long, "pause "+up.name, func() { up.signal(syscall.SIGSTOP) }, func() { up.signal(syscall.SIGCONT) })
		case 8:
			add(at, long, "store away", func() { d.store.SetFaults(fakes.Faults{Refuse: true}); d.away("") },
				func() { d.store.SetFaults(fakes.Faults{}); d.back("") })
		case 9:
			n := 1 + rng.IntN(4)
			add(at, long, fmt.Sprintf("%d answers of the store lost", n), func() { d.store.SetFaults(fakes.Faults{DropResponses: n}) }, nothing)
		case 10:
			add(at, long, "store forgets its history", d.store.Compact, nothing)
		case 11:
			add(at, long, fmt.Sprintf("store of %s: %s", vm.name, faultNames[bad]), func() { vm.store.set(bad); d.away(vm.name) },
				func() { vm.store.set(faultNone); d.back(vm.name) })
		case 12:
			add(at, long, fmt.Sprintf("others to %s: %s", vm.name, faultNames[bad]), func() { vm.peers.set(bad) }, func() { vm.peers.set(faultNone) })
		case 13:
			if up.proxy != nil {
				add(at, long, fmt.Sprintf("connections of %s: %s", up.name, faultNames[bad]), func() { up.proxy.set(bad) }, func() { up.proxy.set(faultNone) })
			}
		case 14:
			domain := d.domains[rng.IntN(len(d.domains))]
			add(at, long+evacuateLimit, "out: "+domain, func() { d.evacuate(domain, true) }, func() { d.evacuate(domain, false) })
		}
		if rng.IntN(4) == 0 {
			for i := range 1 + rng.IntN(3) {
				add(at+time.Duration(i)*300*time.Millisecond, 0, "configuration", d.configure, nothing)
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
)

// action is a fault or an operator's change, applied at At and reverted after Duration.
type action struct {
	At, Duration time.Duration
	Name         string
	apply        func()
	revert       func()
}

// The parts of a run without injected faults.
const (
	faultFreeStart = 3 * time.Second
	faultFreeEnd   = 15 * time.Second // the recovery time that users are promised
)

// plan draws the actions of a run at random. Actions overlap; rolling restarts and
// configurations are series of actions.
func (d *deployment) plan(rng *rand.Rand, duration time.Duration) []action {
	var actions []action
	add := func(at, duration time.Duration, name string, apply, revert func()) {
		actions = append(actions, action{At: at, Duration: duration, Name: name, apply: apply, revert: revert})
	}
	randomDuration := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	noop := func() {}
	for at := faultFreeStart; at < faultFreeStart+duration; at += randomDuration(200*time.Millisecond, 1500*time.Millisecond) {
		v := d.vms[rng.IntN(len(d.vms))]
		u := d.upstreams[rng.IntN(len(d.upstreams))]
		actionDuration := randomDuration(300*time.Millisecond, 5*time.Second)
		netFault := []fault{faultDelay, faultReset, faultBlackhole, faultBlackholeRequests, faultBlackholeResponses}[rng.IntN(5)]
		switch rng.IntN(15) {
		case 0:
			add(at, actionDuration, "stop "+v.name, func() { v.signal(syscall.SIGTERM) }, noop)
		case 1:
			for i, each := range d.vms {
				add(at+time.Duration(i)*700*time.Millisecond, actionDuration, "rolling restart: stop "+each.name, func() { each.signal(syscall.SIGTERM) }, noop)
			}
		case 2:
			add(at, actionDuration, "kill "+v.name, func() { v.signal(syscall.SIGKILL) }, noop)
		case 3:
			add(at, actionDuration, "pause "+v.name, func() { v.signal(syscall.SIGSTOP) }, func() { v.signal(syscall.SIGCONT) })
		case 4:
			add(at, actionDuration, "reload "+v.name, func() { v.signal(syscall.SIGHUP) }, noop)
		case 5:
			add(at, actionDuration, "kill "+u.name, func() { u.signal(syscall.SIGKILL) }, noop)
		case 6:
			add(at, actionDuration, "stop "+u.name, func() { u.signal(syscall.SIGTERM) }, noop)
		case 7:
			add(at, actionDuration, "pause "+u.name, func() { u.signal(syscall.SIGSTOP) }, func() { u.signal(syscall.SIGCONT) })
		case 8:
			add(at, actionDuration, "store unreachable", func() { d.store.SetFaults(fakes.Faults{Refuse: true}); d.storeFaultBegins("") },
				func() { d.store.SetFaults(fakes.Faults{}); d.storeFaultEnds("") })
		case 9:
			n := 1 + rng.IntN(4)
			add(at, actionDuration, fmt.Sprintf("%d store responses dropped", n), func() { d.store.SetFaults(fakes.Faults{DropResponses: n}) }, noop)
		case 10:
			add(at, actionDuration, "store history compacted", d.store.Compact, noop)
		case 11:
			add(at, actionDuration, fmt.Sprintf("store of %s: %s", v.name, faultNames[netFault]), func() { v.storeProxy.setFault(netFault); d.storeFaultBegins(v.name) },
				func() { v.storeProxy.setFault(faultNone); d.storeFaultEnds(v.name) })
		case 12:
			add(at, actionDuration, fmt.Sprintf("peer connections to %s: %s", v.name, faultNames[netFault]), func() { v.peerProxy.setFault(netFault) }, func() { v.peerProxy.setFault(faultNone) })
		case 13:
			if u.proxy != nil {
				add(at, actionDuration, fmt.Sprintf("connections of %s: %s", u.name, faultNames[netFault]), func() { u.proxy.setFault(netFault) }, func() { u.proxy.setFault(faultNone) })
			}
		case 14:
			domain := d.domains[rng.IntN(len(d.domains))]
			add(at, actionDuration+maxEvacuationTime, "take out "+domain, func() { d.evacuate(domain, true) }, func() { d.evacuate(domain, false) })
		}
		if rng.IntN(4) == 0 {
			for i := range 1 + rng.IntN(3) {
				add(at+time.Duration(i)*300*time.Millisecond, 0, "configuration", d.configure, noop)
			}
		}
	}
	if d.Workspaces {
		actions = append(actions, d.planKeyRotations(rand.New(rand.NewPCG(d.Seed, 4)), duration)...)
	}
	if d.KeyFaults {
		actions = append(actions, d.planKeyFaults(rand.New(rand.NewPCG(d.Seed, 3)), duration)...)
	}
	if d.Restores {
		actions = append(actions, d.planRestores(rand.New(rand.NewPCG(d.Seed, 1)), duration)...)
	}
	if d.ProductionBinary != "" {
		actions = append(actions, d.planUpgrade(rand.New(rand.NewPCG(d.Seed, 2)), duration)...)
	}
	sort.SliceStable(actions, func(i, j int) bool { return actions[i].At < actions[j].At })
	return actions
}

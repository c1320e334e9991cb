package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/admission"
)

// TestContentionIsTold guards against a VM that learns of the contention for an upstream by its own
// rejections alone, against one that keeps the interval without contention, and against intervals in
// a deployment that has not enabled them.
func TestContentionIsTold(t *testing.T) {
	for name, enabled := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.addUpstream("k1", "keyed")
			var vms []*Gateway
			for _, name := range []string{"vm-a", "vm-b"} {
				vms = append(vms, d.startVMWith(name, d.storeAddr, func(g *Gateway) {
					g.control.overload = Overload{Backpressure: true, Contention: enabled}
				}))
				d.requireServed(vms[0], keyedPath, 1)
			}
			granter, other := vms[0], vms[1]
			if other.links.currentGranter() != nil {
				granter, other = other, granter
			}
			limiterOf := func(g *Gateway) *limiter {
				if u := g.control.view().upstreams["k1"]; u != nil && u.limiter.hasBackpressure() {
					return u.limiter
				}
				return nil
			}
			d.eventually(func() bool { return limiterOf(other) != nil && limiterOf(granter) != nil }, "the VMs know the upstream and their number")
			interval := func(g *Gateway) time.Duration {
				l := limiterOf(g)
				l.mu.Lock()
				defer l.mu.Unlock()
				return l.queue.Interval(time.Since(l.start))
			}
			// One VM has 40 requests of 1 s a second for an upstream that runs two at a time. Further demand
			// would only lengthen the time in which the granter's average falls.
			offered, began := 0, time.Now()
			overrun := func() {
				l := limiterOf(other)
				l.mu.Lock()
				defer l.mu.Unlock()
				now := time.Since(l.start)
				l.configure()
				for ; offered < 40+int(40*time.Since(began).Seconds()); offered++ {
					r := &admission.Request{Arrived: now, Target: now, Deadline: now, ServiceTime: time.Second}
					if decision, _ := l.queue.Offer(now, r); decision == admission.Start {
						l.queue.Done(0)
					}
				}
				l.queue.Observe(now, admission.State{Running: 2, Waiting: 8, Slots: 2, Slowdown: 1})
				l.tellFull()
			}
			if !enabled {
				overrun()
				require.Zero(t, interval(granter))
				require.Empty(t, other.control.contentions.report())
				return
			}
			d.eventually(func() bool {
				overrun()
				return interval(granter) > 0 && interval(other) > 0
			}, "both VMs are told")
			d.eventually(func() bool { return interval(granter) == 0 && interval(other) == 0 }, "it ends with the demand")
		})
	}
}

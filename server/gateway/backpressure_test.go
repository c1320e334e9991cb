package gateway

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// startVMWithBackpressure starts a VM with Overload.Backpressure.
func (d *deployment) startVMWithBackpressure(name string) *Gateway {
	return d.startVMWith(name, d.storeAddr, func(g *Gateway) {
		g.control.overload = Overload{Backpressure: true, DropSilent: true, Fair: true}
		g.handler.overload = g.control.overload
	})
}

// configureKeyedIdempotent writes a configuration in which keyed requests may be repeated.
func (d *deployment) configureKeyedIdempotent(version int) {
	d.configure(version, "keyed")
	value := d.store.Row("op", "config").Value
	d.store.Put("op", "config", bytes.ReplaceAll(value, []byte("non_idempotent"), []byte("idempotent")))
}

// fullFor makes an upstream reject all requests for a time from the first one on, and returns
// how many arrive.
func fullFor(d time.Duration, reject http.HandlerFunc) (handler http.HandlerFunc, arrived *atomic.Int32) {
	var first atomic.Int64
	arrived = new(atomic.Int32)
	return func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		first.CompareAndSwap(0, int64(bootTime()))
		if int64(bootTime()) < first.Load()+int64(d) {
			reject(w, r)
			return
		}
		w.Header().Set(fleet.HeaderSignature, "seal")
		w.Header().Set(fleet.HeaderLoad, "1,0,2,100")
	}, arrived
}

func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func shedRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(fleet.HeaderNotRun, "1")
	w.Header().Set(fleet.HeaderLoad, "2,8,2,100")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestRetryToFullOwnerIsPutOff guards against a request that is sent to the full owner of its key
// again at once, is rejected again and fails with most of its time remaining. The upstream is
// full for less time than the shortest pause after a rejection.
func TestRetryToFullOwnerIsPutOff(t *testing.T) {
	for name, reject := range map[string]http.HandlerFunc{"reset": resetConnection, "shed": shedRequest} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.timeoutS = 20
			d.configureKeyedIdempotent(2)
			fake := d.addUpstream("k1", "keyed")
			g := d.startVMWithBackpressure("vm-a")
			d.requireServed(g, keyedPath, 1)
			d.eventually(func() bool { return g.control.view().upstreams["k1"].limiter.hasBackpressure() }, "the VM knows the number of VMs")
			time.Sleep(loadAge) // the last state showed a free slot
			handler, arrived := fullFor(10*time.Millisecond, reject)
			fake.SetHandler(handler)
			resp := d.send(g, "waits", keyedPath, 1, 15*time.Second)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, int32(2), arrived.Load())
		})
	}
}

// TestFullUpstreamGetsNoMore guards against requests to an upstream that has just rejected one:
// those that cannot wait are refused at once, and have not run.
func TestFullUpstreamGetsNoMore(t *testing.T) {
	d := newDeployment(t)
	fake := d.addUpstream("k1", "keyed")
	g := d.startVMWithBackpressure("vm-a")
	d.requireServed(g, keyedPath, 1)
	u := g.control.view().upstreams["k1"]
	d.eventually(u.limiter.hasBackpressure, "the VM knows the number of VMs")
	var arrived atomic.Int32
	fake.SetHandler(func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	u.limiter.mu.Lock()
	for range 10 {
		u.limiter.queue.UpstreamFull(time.Since(u.limiter.start))
	}
	u.limiter.mu.Unlock()
	require.Greater(t, u.limiter.pause(), 2*time.Second)
	resp, body := d.do(g, http.MethodPost, keyedPath, 1, time.Second)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, string(busy))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, arrived.Load())
}

// TestInvalidResponseIsNoRejection guards against pauses after failures that say nothing about the
// capacity of the upstream.
func TestInvalidResponseIsNoRejection(t *testing.T) {
	d := newDeployment(t)
	fake := d.addUpstream("k1", "keyed")
	g := d.startVMWithBackpressure("vm-a")
	d.requireServed(g, keyedPath, 1)
	u := g.control.view().upstreams["k1"]
	d.eventually(u.limiter.hasBackpressure, "the VM knows the number of VMs")
	time.Sleep(loadAge)                                                                            // the last state showed a free slot
	fake.SetHandler(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }) // not signed
	resp, _ := d.do(g, http.MethodPost, keyedPath, 1, time.Second)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Zero(t, u.limiter.pause())
}

// TestCapacitySignals guards against a broken connection to an upstream with a free slot, or a shed
// request with a stated load, that counts as full whatever the load, and against a change of the
// signals without backpressure.
func TestCapacitySignals(t *testing.T) {
	u := &upstream{limiter: newLimiter(new(atomic.Int32), func() {})}
	u.limiter.senders = &u.senders
	now := time.Now()
	require.Equal(t, capacityBroken, u.brokenSignal(now))
	u.load, u.loadAt = fleet.Load{Running: 1, Slots: 2}, now
	require.Equal(t, capacityUnknown, u.brokenSignal(now))
	require.Equal(t, capacityBroken, u.brokenSignal(now.Add(loadAge)))
	full := fleet.Load{Running: 2, Waiting: 8, Slots: 2}
	require.Equal(t, capacityFull, u.limiter.shedSignal(full))
	u.senders.Store(89)
	require.Equal(t, capacityShed, u.limiter.shedSignal(full))
	require.Equal(t, capacityFull, u.limiter.shedSignal(fleet.Load{}), "no load is stated")
}

package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBrokenConnectionsAreNoOverload guards against an upstream that has room, breaks a third of
// its connections, and gets nothing because the pauses after them grow.
func TestBrokenConnectionsAreNoOverload(t *testing.T) {
	q := New(1)
	q.SetBackpressure(75, 2, func() float64 { return 0.5 })
	sent, refused := 0, 0
	for now := time.Duration(0); now < 10*time.Minute; now += 4 * time.Second {
		r := request(0, now, 300*ms, 400*ms)
		d, wait := q.Offer(now, r)
		for try := 0; d != Refuse && try < 3; try++ {
			at := now + wait
			if d == Wait {
				start, _ := q.Next(at)
				require.Equal(t, []*Request{r}, start)
			}
			sent++
			q.Done(100 * ms)
			if sent%3 != 0 {
				q.Observe(at, State{Running: 1, Slots: 2, Slowdown: 1})
				break
			}
			q.ConnectionBroken(at)
			d, wait = q.Offer(at, r)
			wait += at - now
		}
		if d == Refuse {
			refused++
		}
	}
	require.Zero(t, refused)
	require.Equal(t, 224, sent, "150 requests, and a retry of each that broke")
}

// TestPauseOfFullUpstream guards against requests to an upstream that has stated a full queue, and
// against a pause that ends later than its queue.
func TestPauseOfFullUpstream(t *testing.T) {
	q := New(4)
	q.SetBackpressure(1, 2, func() float64 { return 0.5 })
	d, _ := q.Offer(0, request(0, 0, time.Second, 2*time.Second))
	require.Equal(t, Start, d)
	q.Observe(100*ms, State{Running: 2, Waiting: 8, Slots: 2, Slowdown: 1})
	require.Equal(t, 200*ms, q.Pause(100*ms), "half of the queue leaves, one request every 50 ms")
	d, _ = q.Offer(100*ms, request(0, 100*ms, time.Second, 2*time.Second))
	require.Equal(t, Wait, d)
	at, ok := q.NextWake()
	require.True(t, ok)
	require.Equal(t, 300*ms, at)
	start, _ := q.Next(299 * ms)
	require.Empty(t, start)
	start, _ = q.Next(300 * ms)
	require.Len(t, start, 1)
	q.SetBackpressure(0, 0, nil)
	require.Zero(t, q.Pause(300*ms))
}

// TestRejectionsForOtherReasons guards against pauses that cost more than the rejections that they
// avoid: upstreams that shed 0.3 of their requests whatever their load, and break 0.02 of the new
// connections, in normal operation and with neither.
func TestRejectionsForOtherReasons(t *testing.T) {
	for _, vms := range []int{30, 89} {
		for _, load := range []float64{0.35, 0.6} {
			for _, faults := range [][2]float64{{0, 0}, {0, 0.02}, {0.3, 0}, {0.3, 0.02}} {
				var worth, refused, late [2]float64
				const seeds = 4
				for i, policy := range []policy{backoffOnly, independent} {
					for seed := range uint64(seeds) {
						r := simulate(simParams{vms: vms, upstreams: 60, keyed: true, load: load, policy: policy, rejection: sheds, shed: faults[0], broken: faults[1], seed: seed})
						worth[i] += r.worth() / seeds
						refused[i] += float64(r.refused) / float64(r.requests) / seeds
						late[i] += float64(r.late) / float64(r.requests) / seeds
					}
				}
				t.Logf("vms=%d load=%.2f shed=%.2f broken=%.2f worth=%.3f late=%.3f refused=%.3f, without backpressure %.3f, %.3f, %.3f",
					vms, load, faults[0], faults[1], worth[1], late[1], refused[1], worth[0], late[0], refused[0])
				require.Greater(t, worth[1], worth[0]-0.008)
				require.Less(t, refused[1], refused[0]+0.008)
			}
		}
	}
}

// TestShedByUpstreamWithRoom guards against a pause after a rejection by an upstream that states
// room, one that ends later than the news of a free slot, and none at a full upstream.
func TestShedByUpstreamWithRoom(t *testing.T) {
	for waiting, want := range map[int]time.Duration{0: 0, 1: 0, 2: 50 * ms, 8: 200 * ms} {
		q := New(4)
		q.SetBackpressure(1, 2, func() float64 { return 0.5 })
		q.Offer(0, request(0, 0, time.Second, 2*time.Second))
		q.Observe(100*ms, State{Running: 2, Waiting: waiting, Slots: 2, Slowdown: 1})
		q.Shed(100 * ms)
		require.Equal(t, want, q.Pause(100*ms), "%d waiting", waiting)
		q.Shed(100 * ms)
		require.Equal(t, 2*want, q.Pause(100*ms), "%d waiting, again", waiting)
		q.Observe(110*ms, State{Running: 1, Slots: 2, Slowdown: 1})
		require.Zero(t, q.Pause(110*ms))
	}
}

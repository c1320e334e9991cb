package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func request(priority int, arrived, target, deadline time.Duration) *Request {
	return &Request{Priority: priority, Arrived: arrived, Target: arrived + target, Deadline: arrived + deadline, ServiceTime: 100 * ms}
}

// TestOrder guards against urgent requests that wait behind others, and against
// requests that are already late and delay others.
func TestOrder(t *testing.T) {
	q := New(1)
	d, _ := q.Offer(0, request(2, 0, time.Second, 2*time.Second))
	require.Equal(t, Start, d)
	late := request(0, 0, 50*ms, 2*time.Second)
	low := request(2, 0, time.Second, 2*time.Second)
	high := request(0, 10*ms, time.Second, 2*time.Second)
	for _, r := range []*Request{late, low, high} {
		d, _ := q.Offer(10*ms, r)
		require.Equal(t, Wait, d)
	}
	for _, want := range []*Request{high, low, late} {
		q.Done(100 * ms)
		start, refuse := q.Next(100 * ms)
		require.Empty(t, refuse)
		require.Equal(t, []*Request{want}, start)
	}
}

// TestLowPriorityNotStarved guards against requests of low priority that never
// get a slot while urgent ones keep arriving.
func TestLowPriorityNotStarved(t *testing.T) {
	q := New(1)
	q.Offer(0, request(0, 0, time.Second, time.Minute))
	low := request(2, 0, time.Minute, time.Minute)
	q.Offer(0, low)
	for i := 1; i < 20; i++ {
		now := time.Duration(i) * 100 * ms
		q.Offer(now, request(0, now, time.Minute, time.Minute))
		q.Done(100 * ms)
		if start, _ := q.Next(now); len(start) == 1 && start[0] == low {
			return
		}
	}
	t.Fatal("the request of low priority got no slot")
}

// TestMissesDeadline guards against queueing requests that cannot be served in time,
// and against requests that wait past their deadline.
func TestMissesDeadline(t *testing.T) {
	q := New(1)
	q.Offer(0, request(0, 0, time.Second, time.Second))
	q.Done(300 * ms)
	q.Offer(0, request(0, 0, time.Second, time.Second))
	d, _ := q.Offer(0, request(0, 0, 400*ms, 500*ms))
	require.Equal(t, Wait, d)
	d, wait := q.Offer(0, request(1, 0, 400*ms, 500*ms))
	require.Equal(t, Refuse, d, "1.5 service times of 300 ms and 100 ms of work do not fit into 500 ms")
	require.Equal(t, 450*ms, wait)
	start, refuse := q.Next(450 * ms)
	require.Empty(t, start)
	require.Len(t, refuse, 1)
}

// TestOverload compares the queue with a FIFO queue for an upstream that gets 1.5
// times the requests that it can run.
func TestOverload(t *testing.T) {
	fifo, queued := overload(New(1), false), overload(New(1), true)
	require.Greater(t, queued, fifo*2)
}

// overload returns the number of requests answered within their target.
func overload(q *Queue, useQueue bool) (inTime int) {
	rng := rand.New(rand.NewPCG(1, 2))
	now, busyUntil := time.Duration(0), time.Duration(0)
	var running *Request
	var fifo []*Request
	for range 3000 {
		now += time.Duration(rng.ExpFloat64() * float64(67*ms))
		r := request(rng.IntN(2), now, 300*ms, 2*time.Second)
		for running != nil && busyUntil <= now {
			if busyUntil <= running.Target {
				inTime++
			}
			end := busyUntil
			running = nil
			if useQueue {
				q.Done(100 * ms)
				if start, _ := q.Next(end); len(start) > 0 {
					running, busyUntil = start[0], end+100*ms
				}
			} else if len(fifo) > 0 {
				running, busyUntil = fifo[0], end+100*ms
				fifo = fifo[1:]
			}
		}
		if useQueue {
			if d, _ := q.Offer(now, r); d == Start {
				running, busyUntil = r, now+100*ms
			}
		} else if running == nil {
			running, busyUntil = r, now+100*ms
		} else {
			fifo = append(fifo, r)
		}
	}
	return inTime
}

// TestManyVMs guards against overloading an upstream from many VMs, none of which
// knows the others' requests; a full upstream breaks connections.
func TestManyVMs(t *testing.T) {
	const vms, slots, run = 78, 15, 200 * ms
	rng := rand.New(rand.NewPCG(3, 4))
	queues := make([]*Queue, vms)
	for i := range queues {
		queues[i] = New(1)
	}
	type work struct {
		vm  int
		end time.Duration
	}
	var running []work
	sent, refused := 0, 0
	start := func(vm int, now time.Duration) {
		sent++
		if len(running) >= slots {
			refused++
			queues[vm].Done(0)
			queues[vm].UpstreamFull(now)
			return
		}
		running = append(running, work{vm, now + run*slots/3})
	}
	for now := time.Duration(0); now < 20*time.Second; now += ms {
		if now == 5*time.Second {
			sent, refused = 0, 0
		}
		kept := running[:0]
		for _, w := range running {
			if w.end > now {
				kept = append(kept, w)
				continue
			}
			queues[w.vm].Done(run)
			queues[w.vm].UpstreamAccepted()
		}
		running = kept
		for vm := range queues {
			if rng.Float64() < 0.005 {
				if d, _ := queues[vm].Offer(now, request(0, now, 600*ms, 1500*ms)); d == Start {
					start(vm, now)
				}
			}
			waiting, _ := queues[vm].Next(now)
			for range waiting {
				start(vm, now)
			}
		}
	}
	require.Less(t, refused, sent*2/3, "390 requests a second at an upstream that runs 15")
	require.Greater(t, sent-refused, 180, "the upstream is kept busy: it runs 225 in 15 s")
}

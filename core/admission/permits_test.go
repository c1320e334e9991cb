package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/ratelimit"
)

// TestPermits guards against requests that start without a permit while the upstream states
// a limit, and against those that wait for one in vain.
func TestPermits(t *testing.T) {
	q := New(4)
	q.SetRate(2)
	first := request(0, 0, time.Second, 2*time.Second)
	d, wait := q.Offer(0, first)
	require.Equal(t, Wait, d)
	require.Zero(t, wait, "the backlog is not known yet")
	missing, _ := q.MissingPermits(0)
	require.Equal(t, 1, missing)
	_, ok := q.NextWake()
	require.False(t, ok, "a permit starts it, not a timer")

	q.AddPermits(100*ms, 2, time.Second, 6)
	start, _ := q.Next(100 * ms)
	require.Equal(t, []*Request{first}, start)
	d, _ = q.Offer(1000*ms, request(0, 1000*ms, time.Second, 2*time.Second))
	require.Equal(t, Start, d, "the second permit is still valid")
	q.AddPermits(1000*ms, 1, time.Second, 6)
	waiting := request(0, 2000*ms, time.Second, 2*time.Second)
	d, _ = q.Offer(2000*ms, waiting)
	require.Equal(t, Wait, d, "the permit has expired")
	q.AddPermits(2100*ms, 0, time.Second, 6)
	_, refuse := q.Next(2100 * ms)
	require.Equal(t, []*Request{waiting}, refuse, "six requests of other VMs are ahead")
	missing, spare := q.MissingPermits(2100 * ms)
	require.Zero(t, missing)
	require.False(t, spare)
	q.RequestSpare(2100 * ms)
	_, spare = q.MissingPermits(2100 * ms)
	require.True(t, spare)
	d, wait = q.Offer(2100*ms, request(0, 2100*ms, time.Second, 2*time.Second))
	require.Equal(t, Refuse, d)
	require.Equal(t, 3*time.Second, wait)

	q.AddPermits(2200*ms, 1, time.Second, 0)
	q.SetRate(2.5)
	require.True(t, q.permits.permit(2200*ms), "a limit that rises does not take the permit back")
	q.SetRate(1.5)
	require.False(t, q.permits.permit(2200*ms))
	q.SetRate(0)
	d, _ = q.Offer(2200*ms, request(0, 2200*ms, time.Second, 400*ms))
	require.Equal(t, Start, d)
}

// permitSimulation plays VMs with requests for one upstream that states a limit. Messages
// between the VMs and the issuer take up to maxDelay.
type permitSimulation struct {
	rng    *rand.Rand
	rate   float64
	queues []*Queue
	issuer *ratelimit.PermitIssuer
	// arriving holds permits under way, by VM: when they arrive.
	arriving [][]time.Duration
	// backlog is the last one that the issuer reported.
	backlog float64
	sent    []time.Duration
}

const (
	maxDelay       = 600 * ms
	simulationTime = 30 * time.Second
	simulationStep = 50 * ms
)

func newPermitSimulation(seed uint64, vms int, rate float64) *permitSimulation {
	s := &permitSimulation{
		rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, issuer: ratelimit.NewPermitIssuer(0),
		queues: make([]*Queue, vms), arriving: make([][]time.Duration, vms),
	}
	for i := range s.queues {
		s.queues[i] = New(100)
		s.queues[i].SetRate(rate)
	}
	return s
}

func (s *permitSimulation) start(now time.Duration, q *Queue, n int) {
	for range n {
		s.sent = append(s.sent, now)
		q.Done(100 * ms)
	}
}

// run plays requests that arrive at all VMs together at a rate.
func (s *permitSimulation) run(arrivals float64) {
	for now := time.Duration(0); now < simulationTime; now += simulationStep {
		wanted := make([]int, len(s.queues))
		for i, q := range s.queues {
			for len(s.arriving[i]) > 0 && s.arriving[i][0] <= now {
				s.arriving[i] = s.arriving[i][1:]
				q.AddPermits(now, 1, ratelimit.PermitTTL, s.backlog)
			}
			expected := arrivals * simulationStep.Seconds() / float64(len(s.queues))
			for range int(expected + s.rng.Float64()) {
				q.AddPermits(now, 0, 0, s.backlog)
				if d, _ := q.Offer(now, request(0, now, time.Second, 4*time.Second)); d == Start {
					s.start(now, q, 1)
				}
			}
			started, _ := q.Next(now)
			s.start(now, q, len(started))
			missing, _ := q.MissingPermits(now)
			wanted[i] = max(missing-len(s.arriving[i]), 0)
		}
		missing := 0
		for i, n := range s.issuer.Issue(now, s.rate, wanted) {
			missing += wanted[i] - n
			for range n {
				s.arriving[i] = append(s.arriving[i], now+time.Duration(s.rng.Int64N(int64(maxDelay))))
			}
		}
		s.backlog = s.issuer.Backlog(missing)
	}
}

// TestLimitHoldsForAllVMs guards against VMs that together exceed the limit of an upstream,
// whether many or few requests want it, and against a limit that is left unused.
func TestLimitHoldsForAllVMs(t *testing.T) {
	const window = 4 * time.Second
	for _, vms := range []int{1, 11, 300} {
		for _, rate := range []float64{0.25, 1, 1.9, 12, 150} {
			for _, load := range []float64{0.5, 3, 20} {
				t.Run(fmt.Sprintf("%d VMs, %g per s, load %g", vms, rate, load), func(t *testing.T) {
					s := newPermitSimulation(uint64(vms), vms, rate)
					s.run(rate * load)
					first := 0
					for last, at := range s.sent {
						for at-s.sent[first] >= window {
							first++
						}
						require.LessOrEqual(t, float64(last-first+1), 1.5*rate*window.Seconds()+5)
					}
					if load > 1 {
						require.GreaterOrEqual(t, float64(len(s.sent)), 0.7*rate*simulationTime.Seconds()-5)
					}
				})
			}
		}
	}
}

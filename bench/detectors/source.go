// Package detectors compares the change detectors of core/straggler on the same
// seeded traces, at the same average run length to a false alarm.
package detectors

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Observation is one response of one upstream.
type Observation struct {
	At         time.Duration // completion
	LogLatency float64       // natural logarithm of the latency in seconds
}

// Source generates the responses of one upstream in order of completion.
type Source interface {
	// Next returns the next response.
	Next() Observation
	// SetSlowdown multiplies the service time of requests that start from now on.
	SetSlowdown(factor float64)
	// Now returns the current time of the simulation.
	Now() time.Duration
}

// Queueing describes the upstream that the sources simulate.
type Queueing struct {
	Slots       int
	ServiceTime time.Duration // median of the log-normal service time
	Deviation   float64       // of its logarithm
	Utilization float64       // of the slots, without slowdown
	QueueLimit  int           // arrivals beyond it are dropped
	// Background noise: at exponential intervals all service takes NoiseSlowdown
	// times as long, for NoiseDuration. It is not a straggler.
	NoiseInterval, NoiseDuration time.Duration
	NoiseSlowdown                float64
}

// DefaultQueueing has 3 slots, like the upstreams of Hooghly. The queue limit keeps
// waits below about 10 service times, after which deadlines would end them.
func DefaultQueueing() Queueing {
	return Queueing{
		Slots: 3, ServiceTime: 20 * time.Millisecond, Deviation: 0.5, Utilization: 0.7, QueueLimit: 30,
		NoiseInterval: 30 * time.Second, NoiseDuration: 200 * time.Millisecond, NoiseSlowdown: 3,
	}
}

// rate returns the arrivals per second.
func (q Queueing) rate() float64 {
	mean := q.ServiceTime.Seconds() * math.Exp(q.Deviation*q.Deviation/2)
	return q.Utilization * float64(q.Slots) / mean
}

// independent draws log-normal latencies; completions are a Poisson process.
type independent struct {
	rng      *rand.Rand
	q        Queueing
	slowdown float64
	now      float64
}

// NewIndependent returns the source that the detectors' model assumes:
// independent latencies with the median and deviation of q's service time.
func NewIndependent(q Queueing, seed uint64) Source {
	return &independent{rng: rand.New(rand.NewPCG(seed, 10)), q: q, slowdown: 1}
}

func (s *independent) SetSlowdown(factor float64) { s.slowdown = factor }
func (s *independent) Now() time.Duration         { return seconds(s.now) }

func (s *independent) Next() Observation {
	s.now += s.rng.ExpFloat64() / s.q.rate()
	return Observation{seconds(s.now), math.Log(s.q.ServiceTime.Seconds()*s.slowdown) + s.q.Deviation*s.rng.NormFloat64()}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// queueing simulates a FIFO queue with several slots.
type queueing struct {
	rng               *rand.Rand
	q                 Queueing
	slowdown          float64
	now, arrival      float64
	noiseOn, noiseOff float64
	waiting           []float64 // arrival times
	running           completions
	latencyFromStart  bool // latency excludes waiting
}

// NewQueueing returns a source whose latencies include waiting for a slot.
func NewQueueing(q Queueing, seed uint64) Source {
	s := &queueing{rng: rand.New(rand.NewPCG(seed, 11)), q: q, slowdown: 1}
	s.arrival = s.rng.ExpFloat64() / q.rate()
	s.scheduleNoise()
	return s
}

// NewDispatched returns a source in which requests wait in the holder's queue, so
// that latency is counted from when a request is sent to a free slot.
func NewDispatched(q Queueing, seed uint64) Source {
	s := NewQueueing(q, seed).(*queueing)
	s.latencyFromStart = true
	return s
}

func (s *queueing) SetSlowdown(factor float64) { s.slowdown = factor }
func (s *queueing) Now() time.Duration         { return seconds(s.now) }

func (s *queueing) scheduleNoise() {
	s.noiseOn = s.noiseOff + s.rng.ExpFloat64()*s.q.NoiseInterval.Seconds()
	s.noiseOff = s.noiseOn + s.q.NoiseDuration.Seconds()
}

func (s *queueing) Next() Observation {
	for {
		if len(s.running) > 0 && s.running[0].end <= s.arrival {
			done := heap.Pop(&s.running).(completion)
			s.now = done.end
			if len(s.waiting) > 0 {
				s.start(s.waiting[0])
				s.waiting = s.waiting[1:]
			}
			return Observation{seconds(done.end), math.Log(done.end - done.arrival)}
		}
		s.now = s.arrival
		switch {
		case len(s.running) < s.q.Slots:
			s.start(s.now)
		case len(s.waiting) < s.q.QueueLimit:
			s.waiting = append(s.waiting, s.now)
		}
		s.arrival = s.now + s.rng.ExpFloat64()/s.q.rate()
	}
}

func (s *queueing) start(arrival float64) {
	for s.now >= s.noiseOff {
		s.scheduleNoise()
	}
	took := s.q.ServiceTime.Seconds() * s.slowdown * math.Exp(s.q.Deviation*s.rng.NormFloat64())
	if s.now >= s.noiseOn {
		took *= s.q.NoiseSlowdown
	}
	if s.latencyFromStart {
		arrival = s.now
	}
	heap.Push(&s.running, completion{s.now + took, arrival})
}

type completion struct{ end, arrival float64 }

// completions is a heap ordered by time of completion.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].end < c[j].end }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

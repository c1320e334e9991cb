package admission

import "time"

const (
	// noiseMean and noiseMax are the factors by which neighbours of an upstream slow its work
	// down, on average and at most: a fifth of the time it takes three times as long.
	noiseMean, noiseMax = 1.4, 3
	// unknownSlowdown is assumed of an upstream that has reported no load: most run at 0.6 of the
	// usual speed or faster.
	unknownSlowdown = 1.6
	// freshState is how long a reported queue says something about the present one.
	freshState = 300 * time.Millisecond
	// slowestTTL is how long the slowest response counts, slowestFactor the multiple of its time
	// that the next one may take.
	slowestTTL    = 5 * time.Second
	slowestFactor = 1.5
	// maxDoublings bounds the factor on the bound after requests without a response.
	maxDoublings = 3
	// minSilence is the least bound: a VM or an upstream may be without a processor for a while.
	minSilence = 300 * time.Millisecond
)

// Silence gives the time after which an upstream is taken to have dropped a request without a
// response. The zero value is that of an upstream without responses.
type Silence struct {
	state   State
	stateAt time.Duration
	// slowest is the time of the slowest recent response, which arrived at slowestAt.
	slowest, slowestAt time.Duration
	// unanswered counts the requests without a response since the last response.
	unanswered int
}

// Responded records a response, the time that it took, and the state reported with it.
func (s *Silence) Responded(now, took time.Duration, state State) {
	if state.Slots > 0 {
		s.state, s.stateAt = state, now
	}
	if took >= s.slowest || now-s.slowestAt > slowestTTL {
		s.slowest, s.slowestAt = took, now
	}
	s.unanswered = 0
}

// Expired records that a request got no response within its bound. Later ones have more time: an
// upstream may have become slower instead.
func (s *Silence) Expired() { s.unanswered = min(s.unanswered+1, maxDoublings) }

// Bound returns for how long a request may be without a response. work is the usual time of the
// request at an upstream without a queue, outstanding the number of requests of this VM that are
// already there, and slots the number of slots that the upstream has registered.
func (s *Silence) Bound(now, work time.Duration, outstanding, slots int) time.Duration {
	slowdown := unknownSlowdown
	if s.state.Slots > 0 {
		slots, slowdown = s.state.Slots, max(s.state.Slowdown, 1)
	}
	slots = max(slots, 1)
	// The queue is full at worst. A state that has just been read bounds it further.
	ahead := queuePerSlot * slots
	if s.state.Slots > 0 && now-s.stateAt < freshState {
		ahead = min(ahead, max(s.state.Waiting, outstanding)+ahead/2)
	}
	bound := time.Duration(float64(work) * slowdown * (noiseMax + noiseMean*float64(ahead)/float64(slots)))
	if s.slowest > 0 && now-s.slowestAt <= slowestTTL {
		bound = max(bound, time.Duration(slowestFactor*float64(s.slowest)))
	}
	return max(bound, minSilence) << s.unanswered
}

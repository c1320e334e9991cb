package dispatch

import (
	"math"
	"time"
)

// serviceTime estimates the service time of an upstream or a lane.
type serviceTime struct {
	mean, dev float64 // in nanoseconds; dev is the mean deviation
	n         int
}

// observe adds one service time. Early observations weigh more, so that the
// estimate leaves the configured value quickly.
func (s *serviceTime) observe(took time.Duration, smoothing float64) {
	s.n++
	weight := math.Max(smoothing, 1/float64(s.n))
	x := float64(took)
	if s.n == 1 {
		s.mean, s.dev = x, x/2
		return
	}
	s.dev += weight * (math.Abs(x-s.mean) - s.dev)
	s.mean += weight * (x - s.mean)
}

// blend returns the weighted mean of s and the estimate of a larger group. The
// weight of s grows with its observations, so that a few do not decide alone.
func (s serviceTime) blend(group serviceTime) serviceTime {
	const groupWeight = 2 // in observations
	weight := float64(s.n) / float64(s.n+groupWeight)
	return serviceTime{mean: weight*s.mean + (1-weight)*group.mean, dev: weight*s.dev + (1-weight)*group.dev, n: s.n + group.n}
}

// orDefault returns s, or the configured service time before the first observation.
func (s serviceTime) orDefault(expected time.Duration) serviceTime {
	if s.n == 0 {
		return serviceTime{mean: float64(expected), dev: float64(expected) / 2}
	}
	return s
}

// lowerBound returns a service time that most runs exceed.
func (s serviceTime) lowerBound() time.Duration {
	return time.Duration(math.Max(s.mean/4, s.mean-2*s.dev))
}

// upperBound returns a service time that few runs exceed.
func (s serviceTime) upperBound(margin float64) time.Duration {
	return time.Duration(s.mean + margin*s.dev)
}

// laneState is the state of a lane that the admission of a new request depends on.
type laneState struct {
	hasRoom bool    // the request can start at once
	rate    float64 // starts per nanosecond
	idle    bool    // the request can start on an upstream with nothing in flight
	cold    bool    // only cold upstreams are open
	// slots is the maximum number of requests in flight.
	slots int
}

func (q *Queue) laneState(l *lane) laneState {
	state := laneState{cold: true}
	free := 0
	add := func(u *upstream) {
		if !u.limit.Open || u.limit.InFlight <= 0 {
			return
		}
		state.slots += u.limit.InFlight
		state.rate += float64(u.limit.InFlight) / u.serviceTime.orDefault(q.cfg.ServiceTime).mean
		state.cold = state.cold && u.limit.Cold
		if u != l.exclusiveUp && !u.exclusive {
			free += max(0, u.limit.InFlight-u.inFlight)
			state.idle = state.idle || u.inFlight == 0
		}
	}
	if l.up != nil {
		add(l.up)
	} else {
		for _, u := range q.upstreams {
			add(u)
		}
	}
	state.hasRoom = free > l.queued
	state.idle = state.idle && l.queued == 0
	return state
}

// wouldBeSparse reports whether a new request r would make a sparse flow.
func (l *lane) wouldBeSparse(r Request) bool {
	k, c := l.keys[keyID{r.Key, r.Range}], l.callers[r.Caller]
	if r.Key != "" && k != nil && k.queued+k.running > 0 {
		return false
	}
	return c == nil || l.hasLowDemand(c, r.Key, 0)
}

// hasLowDemand reports whether a caller has at most one ready key more than
// callers have on average. Without a key, it reports whether the caller has no queued
// requests other than the queuedInFlow ones of the flow.
// Callers of a hot key have low demand, however many requests they have for it; a
// caller that floods the lane with many keys does not.
func (l *lane) hasLowDemand(c *caller, key string, queuedInFlow int) bool {
	if key == "" {
		return c.queued == queuedInFlow
	}
	return c.ready.n == 0 || len(l.callers) > 1 && (c.ready.n-1)*len(l.callers) <= l.ready
}

// ahead estimates how many queued requests start before a new one, in runs of
// mean length. Turns alternate between the rings of keys and of callers, so a long
// queue of a hot key does not count in full. On average a request arrives in the
// middle of its flow's cycle.
func (l *lane) ahead(it *item, mean float64) float64 {
	r := it.req
	keys, callers := l.keyRing.n, l.callerRing.n
	flowsOfKey, flowsOfCaller, queuedInFlow := 0, 0, 0
	k := l.keys[keyID{r.Key, r.Range}]
	if k == nil || k.inLane.ring == nil {
		keys++
	}
	c := l.callers[r.Caller]
	if c == nil || c.inLane.ring == nil {
		callers++
	}
	f := l.flows[flowID{keyID{r.Key, r.Range}, r.Caller}]
	linked := f != nil && f.inKey.ring != nil
	if f != nil {
		queuedInFlow = f.items.n
	}
	if k != nil {
		flowsOfKey = k.ready.n
	}
	if c != nil {
		flowsOfCaller = c.ready.n
	}
	if !linked {
		flowsOfKey++
		flowsOfCaller++
	}
	if l.wouldBeSparse(r) {
		// The rings get as much service time as the sparse requests ahead of this one.
		return math.Min(float64(l.queued), float64(2*l.sparse.n)*it.estimate.mean/mean+0.5)
	}
	share := 0.5/float64(keys*max(1, flowsOfKey)) + 0.5/float64(callers*max(1, flowsOfCaller))
	return math.Min(float64(l.queued), (float64(queuedInFlow)+0.5)/share)
}

// wait estimates the queueing delay of a new request.
func (q *Queue) wait(l *lane, it *item, state laneState) time.Duration {
	r := it.req
	s := l.serviceTime.orDefault(q.cfg.ServiceTime)
	wait := 0.0
	if !state.hasRoom {
		wait = (l.ahead(it, s.mean) + 1) / state.rate
	}
	if r.Exclusive {
		wait += s.mean
	}
	if k := l.keys[keyID{r.Key, r.Range}]; k != nil && r.Key != "" && q.cfg.KeyInFlight > 0 {
		over := k.queued + k.running + 1 - q.cfg.KeyInFlight
		wait = math.Max(wait, float64(over)*s.mean/float64(q.cfg.KeyInFlight))
	}
	return time.Duration(wait)
}

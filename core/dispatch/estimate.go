package dispatch

import (
	"math"
	"time"
)

// service estimates the service time of an upstream or a lane.
type service struct {
	mean, dev float64 // in nanoseconds; dev is the mean deviation
	n         int
}

// observe adds one service time. Early observations weigh more, so that the
// configured value does not linger.
func (s *service) observe(took time.Duration, smoothing float64) {
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

// blend returns s mixed with the estimate of a larger group. The weight of s
// grows with its observations, so that a few do not decide alone.
func (s service) blend(group service) service {
	const groupWeight = 2 // observations that the group counts for
	own := float64(s.n) / float64(s.n+groupWeight)
	return service{mean: own*s.mean + (1-own)*group.mean, dev: own*s.dev + (1-own)*group.dev, n: s.n + group.n}
}

// or returns s, or the configured service time while nothing has been observed.
func (s service) or(expected time.Duration) service {
	if s.n == 0 {
		return service{mean: float64(expected), dev: float64(expected) / 2}
	}
	return s
}

// least is a service time that few runs stay below.
func (s service) least() time.Duration {
	return time.Duration(math.Max(s.mean/4, s.mean-2*s.dev))
}

// likely is a service time that most runs stay below.
func (s service) likely(margin float64) time.Duration {
	return time.Duration(s.mean + margin*s.dev)
}

// outlook is what a new request can expect of a lane.
type outlook struct {
	room bool    // it can start at once
	rate float64 // starts per nanosecond
	idle bool    // it can start on an upstream with nothing in flight
	cold bool    // only cold upstreams are open
	// places is how many requests may be in flight.
	places int
}

func (q *Queue) outlook(l *lane) outlook {
	o := outlook{cold: true}
	free := 0
	add := func(u *upstream) {
		if !u.limit.Open || u.limit.InFlight <= 0 {
			return
		}
		o.places += u.limit.InFlight
		o.rate += float64(u.limit.InFlight) / u.service.or(q.cfg.ServiceTime).mean
		o.cold = o.cold && u.limit.Cold
		if u != l.soloUp && !u.solo {
			free += max(0, u.limit.InFlight-u.inFlight)
			o.idle = o.idle || u.inFlight == 0
		}
	}
	if l.up != nil {
		add(l.up)
	} else {
		for _, u := range q.upstreams {
			add(u)
		}
	}
	o.room = free > l.queued
	o.idle = o.idle && l.queued == 0
	return o
}

// isSparse reports whether a new request r would make a flow that wants little.
func (l *lane) isSparse(r Request) bool {
	k, c := l.keys[keyID{r.Key, r.Range}], l.callers[r.Caller]
	if r.Key != "" && k != nil && k.queued+k.running > 0 {
		return false
	}
	return c == nil || l.modest(c, r.Key, 0)
}

// modest reports whether a caller has at most one key more waiting than callers
// have on average; without a key it may have nothing queued, apart from a number
// of requests. Callers of a hot key are modest, however many requests they have
// for it, and one that floods the lane with many keys is not.
func (l *lane) modest(c *caller, key string, apart int) bool {
	if key == "" {
		return c.queued == apart
	}
	return c.ready.n == 0 || len(l.callers) > 1 && (c.ready.n-1)*len(l.callers) <= l.ready
}

// ahead estimates how many queued requests start before a new one, in runs of
// mean length. Its flow
// gets every second turn from the keys' ring and every second from the callers'
// ring, so a long queue of a hot key does not count in full. A request comes in
// the middle of its flow's cycle on average.
func (l *lane) ahead(it *item, mean float64) float64 {
	r := it.req
	keys, callers := l.keyRing.n, l.callerRing.n
	flowsOfKey, flowsOfCaller, own := 0, 0, 0
	k := l.keys[keyID{r.Key, r.Range}]
	if k == nil || k.inLane.on == nil {
		keys++
	}
	c := l.callers[r.Caller]
	if c == nil || c.inLane.on == nil {
		callers++
	}
	f := l.flows[flowID{keyID{r.Key, r.Range}, r.Caller}]
	linked := f != nil && f.inKey.on != nil
	if f != nil {
		own = f.items.n
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
	if l.isSparse(r) {
		// The rings get as much time as the sparse requests before this one.
		return math.Min(float64(l.queued), float64(2*l.sparse.n)*it.run.mean/mean+0.5)
	}
	share := 0.5/float64(keys*max(1, flowsOfKey)) + 0.5/float64(callers*max(1, flowsOfCaller))
	return math.Min(float64(l.queued), (float64(own)+0.5)/share)
}

// wait estimates the time until a new request starts.
func (q *Queue) wait(l *lane, it *item, o outlook) time.Duration {
	r := it.req
	s := l.service.or(q.cfg.ServiceTime)
	wait := 0.0
	if !o.room {
		wait = (l.ahead(it, s.mean) + 1) / o.rate
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

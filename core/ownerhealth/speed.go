package ownerhealth

import "time"

const (
	// recentWindow is the time constant of the recent speed. With slowRatio, noise of 0.4 s does not
	// count, and a speed that stays five times lower shows within 2 s.
	recentWindow = time.Second
	// lastingWindow is that of the lasting speed, over which noise averages out.
	lastingWindow = 10 * time.Second
	// minResponses is the number of responses, after decay, from which the recent speed counts.
	minResponses = 1.5
	// busyAhead is the number of waiting requests for each slot from which an upstream counts as
	// busy; after busyTime the work that it completes shows its speed.
	busyAhead, busyTime = 0.5, 800 * time.Millisecond
	// slowRatio is the recent speed, relative to the lasting one, below which an upstream is slow:
	// noise of neighbours that lasts takes it to 0.47, a slow one is at 0.2. slowSpeed bounds it
	// relative to the service.
	slowRatio, slowSpeed = 0.4, 0.4
	// statedSlow is the stated slowdown from which an upstream is not only noisy: noise takes it to
	// 3. slowdownWeight is the weight of one sample in the average.
	statedSlow, slowdownWeight = 3.3, 0.5
	// minCheckedResponses is the number of recent responses from which the latency can contradict a stated slowdown.
	minCheckedResponses = 3
	// ignoreSlowdownFor is how long a stated slowdown is ignored after the latency contradicted it.
	ignoreSlowdownFor = time.Minute
	// fastAgainRatio ends that when it has lasted for fastAgainTime.
	fastAgainRatio, fastAgainTime = 0.6, 3 * time.Second
	// dipTime is how long a much lower recent speed leaves the lasting one as it is: it is noise, or
	// the upstream is about to count as slow.
	dipTime = 2 * time.Second
	// speedTolerance is the relative change from which another lasting speed is applied.
	speedTolerance = 0.1
	// priorLatency is the latency, in seconds, with which an upstream without responses has speed 1.
	priorLatency = 0.1
)

// speed measures the speed of one upstream relative to its service: by the latency of responses,
// corrected for the requests ahead of them, and by the work that it completes while it is busy.
type speed struct {
	expected, observed, ahead, responses decaying
	// slowdown averages the stated slowdown over the last samples.
	slowdown float64
	// ignoreSlowdownUntil is until when the stated slowdown is ignored, since the latency did not agree.
	ignoreSlowdownUntil time.Duration
	// lastingExpected and lastingObserved are the same over lastingWindow.
	lastingExpected, lastingObserved decaying
	// earlierAhead follows the number of waiting requests for each slot; responses were sent when it
	// was that.
	earlierAhead float64
	// busySince is since when the upstream is busy, or -1.
	busySince time.Duration

	value float64
	slow  bool
	// slowSince and fastSince are since when the recent speed says otherwise than slow, or -1.
	slowSince, fastSince time.Duration
	// dipSince is since when the recent speed is much lower than the applied one, or -1.
	dipSince time.Duration
	// before is the speed before the upstream became slow.
	before float64
}

func newSpeed() speed { return speed{busySince: -1, slowSince: -1, fastSince: -1, dipSince: -1} }

func (s *speed) observe(now time.Duration, sample Sample) {
	if !isPositive(sample.Expected) || !isPositive(sample.Observed) {
		return
	}
	ahead := 0.0
	if isPositive(sample.Ahead) {
		ahead = min(sample.Ahead, maxAhead*sample.Expected)
	}
	s.expected.add(now, recentWindow, sample.Expected)
	s.observed.add(now, recentWindow, sample.Observed)
	s.ahead.add(now, recentWindow, ahead)
	if n := count(sample.Succeeded); n > 0 && isPositive(sample.Slowdown) {
		s.slowdown += slowdownWeight * (min(sample.Slowdown/float64(n), maxSlowdown) - s.slowdown)
	}
	s.responses.add(now, recentWindow, float64(count(sample.Succeeded)))
	s.lastingExpected.add(now, lastingWindow, sample.Expected+ahead)
	s.lastingObserved.add(now, lastingWindow, sample.Observed)
}

// maxAhead bounds the number of waiting requests for each slot in another VM's report, maxSlowdown
// the stated slowdown.
const (
	maxAhead    = 16
	maxSlowdown = 100
)

// recent returns the recent speed and whether there is enough to tell. active means that the
// upstream has requests, or has just responded.
func (s *speed) recent(now time.Duration, slots int, active bool) (ratio float64, ok bool) {
	work := s.expected.read(now, recentWindow)
	busy := s.busySince >= 0 && now-s.busySince >= busyTime
	if !active || work <= 0 || !busy && s.responses.read(now, recentWindow) < minResponses {
		return 0, false
	}
	ratio = work * (1 + s.earlierAhead) / s.observed.read(now, recentWindow)
	if s.slowdown >= statedSlow && now >= s.ignoreSlowdownUntil {
		// The latency must agree: what an upstream states may be false.
		return work / s.observed.read(now, recentWindow), true
	}
	if busy {
		ratio = max(ratio, work/(recentWindow.Seconds()*float64(max(slots, 1))))
	} else if s.aheadNow(now) >= busyAhead {
		// A queue that grows makes latencies longer than at an upstream without one.
		return ratio, false
	}
	return ratio, true
}

// aheadNow returns the recent number of waiting requests for each slot.
func (s *speed) aheadNow(now time.Duration) float64 {
	if work := s.expected.read(now, recentWindow); work > 0 {
		return s.ahead.read(now, recentWindow) / work
	}
	return 0
}

// lasting returns the average speed.
func (s *speed) lasting(now time.Duration) float64 {
	ratio := (s.lastingExpected.read(now, lastingWindow) + priorLatency) / (s.lastingObserved.read(now, lastingWindow) + priorLatency)
	return min(max(ratio, minSpeed), maxSpeed)
}

// follow follows the queue of the upstream.
func (s *speed) follow(now, passed time.Duration) {
	ahead := s.aheadNow(now)
	s.earlierAhead += (ahead - s.earlierAhead) * min(1, passed.Seconds()/recentWindow.Seconds())
	if ahead < busyAhead {
		s.busySince = -1
	} else if s.busySince < 0 {
		s.busySince = now
	}
}

// step applies the speed. usual is the recent speed of the median upstream.
func (s *speed) step(now time.Duration, slots int, active bool, usual float64) {
	measured, ok := s.recent(now, slots, active)
	if ok && s.slowdown >= statedSlow && s.aheadNow(now) < busyAhead && measured >= slowRatio*s.applied() && s.responses.read(now, recentWindow) >= minCheckedResponses {
		s.ignoreSlowdownUntil = now + ignoreSlowdownFor
	}
	recent := min(max(measured/max(usual, 0.01), minSpeed), maxSpeed)
	if s.slow {
		s.stepSlow(now, recent, ok)
		return
	}
	if !ok || recent >= slowRatio*s.applied() || recent >= slowSpeed {
		s.slowSince = -1
	} else if s.slowSince < 0 {
		s.slowSince = now
	}
	if s.slowSince >= 0 && now-s.slowSince >= confirmTime {
		s.slow, s.before, s.value, s.fastSince = true, s.applied(), recent, -1
		return
	}
	if !ok || measured >= fastAgainRatio*s.applied() {
		s.dipSince = -1
	} else if s.dipSince < 0 {
		s.dipSince = now
	}
	dips := s.dipSince >= 0 && now-s.dipSince < dipTime
	if lasting := s.lasting(now); s.value == 0 || lasting > s.value*(1+speedTolerance) || lasting < s.value*(1-speedTolerance) && !dips {
		s.value = lasting
	}
}

// stepSlow applies the speed of a slow upstream. It is fast again when that has lasted.
func (s *speed) stepSlow(now time.Duration, recent float64, ok bool) {
	if !ok {
		return
	}
	if recent < fastAgainRatio*s.before {
		s.fastSince = -1
		s.value = min(s.value, recent)
		return
	}
	if s.fastSince < 0 {
		s.fastSince = now
	}
	if now-s.fastSince >= fastAgainTime {
		// The lasting speed includes the slow time.
		s.slow, s.slowSince, s.value = false, -1, min(s.before, recent)
		s.lastingExpected, s.lastingObserved = s.expected, s.observed
	}
}

// looksSlow reports whether the upstream is slow, or its recent speed says so.
func (s *speed) looksSlow(now time.Duration, slots int, active bool) bool {
	recent, ok := s.recent(now, slots, active)
	return s.slow || ok && recent < slowRatio*s.applied()
}

// applied returns the speed that counts.
func (s *speed) applied() float64 {
	if s.value == 0 {
		return 1
	}
	return s.value
}

package ownerhealth

import (
	"maps"
	"math"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
)

const (
	// failureWindow is the time constant of the counts of successes and failures: an upstream of
	// the deployments gets 4 to 10 keyed requests a second, so it spans about ten of them.
	failureWindow = 1500 * time.Millisecond
	// minFailures is the number of failures, after decay, from which a share counts: single ones
	// happen at every upstream.
	minFailures = 2
	// minShare is the smallest share of failures that reduces the capacity.
	minShare = 0.1
	// lossTime and minLosses: an upstream has failed if all requests of that time, and at least
	// that many, have failed. With confirmTime and a report it stays near 1 s.
	lossTime, minLosses = 600 * time.Millisecond, 4
	// confirmTime is how long a sign must last before keys move for it.
	confirmTime = 250 * time.Millisecond
	// fullTime is how long a full queue explains broken connections.
	fullTime = 2 * time.Second
	// minSilence and silenceFactor bound the time without any response while requests are there;
	// noise takes work to three times its length.
	minSilence    = 800 * time.Millisecond
	silenceFactor = 3.5
	// activeTime is how long after a response an upstream counts as having requests.
	activeTime = time.Second
	// pendingTTL is how long a report of pending requests counts.
	pendingTTL = 900 * time.Millisecond
	// firstRest is how long an upstream that has failed keeps no key; it doubles, up to maxRest,
	// each time it fails again within forgiveTime.
	firstRest, maxRest, forgiveTime = 5 * time.Second, 40 * time.Second, 60 * time.Second
	// trialFailures is the number of failures assumed at the end of that time.
	trialFailures = 4
	// memory is the time constant of the counts by which an upstream recovers: it must have
	// succeeded, or the failures must be long ago.
	memory = 8 * time.Second
	// fadeTime is the time constant with which the applied share of failures falls.
	fadeTime = 2 * time.Second
	// shareTolerance is the rise from which another share of failures is applied.
	shareTolerance = 0.05
	// failureExponent shapes the capacity of an upstream that fails a share of its requests.
	// Moving keys away costs little compared to failed requests.
	failureExponent = 3
	// minFactor is the least factor on the capacity of an upstream that may keep keys: it goes on
	// being measured.
	minFactor = 0.03
	// maxBadShare is the share of the measured upstreams of a service that may be bad at a time.
	// Beyond it the cause is common to them: an overload, or a mistake of operators.
	maxBadShare = 0.5
)

// Candidate is an upstream of a service that may own keys.
type Candidate struct {
	Owner ownership.Owner
	Slots int
	// Usable means that it may keep keys for all that the measure does not know.
	Usable bool
}

// Verdict is the health of an upstream.
type Verdict struct {
	// Capacity is the factor on the slots of the upstream.
	Capacity float64
	// Failing means that it may keep no key.
	Failing bool
}

// ChangeKind says what has changed with an upstream or a service.
type ChangeKind string

// The kinds of Change.
const (
	// Failing means that the upstream fails a share of its requests and gets fewer keys.
	Failing ChangeKind = "failing"
	// Failed and Silent mean that it has lost its keys, since all requests fail or none ends.
	Failed ChangeKind = "failed"
	Silent ChangeKind = "silent"
	// Slow means that it has become much slower.
	Slow ChangeKind = "slow"
	// Trial means that it gets a few keys again.
	Trial ChangeKind = "trial"
	// Recovered means that its capacity is no longer reduced.
	Recovered ChangeKind = "recovered"
	// Held means that most upstreams of the service are bad, so that no key moves for that;
	// HoldEnded that this has ended.
	Held      ChangeKind = "held"
	HoldEnded ChangeKind = "hold_ended"
)

// Change is a decision that moves keys, or holds them.
type Change struct {
	Kind ChangeKind
	// Owner is empty for Held and HoldEnded.
	Owner ownership.Owner
	// Share is the share of failures, Speed the speed relative to the service. For Held, Share is
	// that of the bad upstreams.
	Share, Speed float64
}

// decaying sums values with exponential decay.
type decaying struct {
	value float64
	at    time.Duration
}

func (d *decaying) read(now, window time.Duration) float64 {
	if now > d.at {
		d.value *= math.Exp(-(now - d.at).Seconds() / window.Seconds())
		d.at = now
	}
	return d.value
}

func (d *decaying) add(now, window time.Duration, value float64) {
	d.read(now, window)
	d.value += value
}

// failures counts the failures that one VM reports of an upstream.
type failures struct{ responses, broken decaying }

// pendingReport is what a VM has last reported of requests without a response.
type pendingReport struct {
	at, since, expected time.Duration
}

// state is what is known of one upstream.
type state struct {
	succeeded decaying
	// remembered counts successes and failures over memory.
	remembered, rememberedFailures decaying
	byVM                           map[api.VMID]*failures
	// respondedAt is when a response of any status was last reported, succeededAt a success,
	// fullAt a full queue.
	respondedAt, succeededAt, fullAt time.Duration
	// lost counts the failures since the last success, from lostSince on.
	lost      int
	lostSince time.Duration
	pending   map[api.VMID]pendingReport
	speed     speed

	// failure is the share of failures that is applied.
	failure   float64
	steppedAt time.Duration
	// badSince is since when there is a sign that the upstream has failed, or -1.
	badSince time.Duration
	failed   bool
	// until is when a failed upstream gets keys again; rests counts how often it has failed.
	until time.Duration
	rests int
	// reduced means that a reduction has been announced.
	reduced bool
}

// Monitor measures the upstreams from the reports of VMs. It is not safe for concurrent use.
type Monitor struct {
	byOwner  map[ownership.Owner]*state
	vms      map[api.VMID]*vmState
	requests requests
	held     map[api.ServiceName]bool
}

// NewMonitor returns a monitor that treats all upstreams as healthy.
func NewMonitor() *Monitor {
	return &Monitor{byOwner: make(map[ownership.Owner]*state), vms: make(map[api.VMID]*vmState), requests: make(requests), held: make(map[api.ServiceName]bool)}
}

func (m *Monitor) state(owner ownership.Owner) *state {
	s := m.byOwner[owner]
	if s == nil {
		s = &state{byVM: make(map[api.VMID]*failures), pending: make(map[api.VMID]pendingReport), badSince: -1, speed: newSpeed()}
		m.byOwner[owner] = s
	}
	return s
}

// Observe records the report of a VM.
func (m *Monitor) Observe(now time.Duration, vm api.VMID, r Report) {
	v := m.vm(vm)
	v.reportedAt = now
	for _, sample := range bounded(r.Samples) {
		s := m.state(sample.Owner)
		s.observe(now, sample)
		v.succeeded.add(now, vmWindow, float64(count(sample.Succeeded)))
	}
	for _, f := range bounded(r.Failures) {
		if m.requests.blame(now, f.Fingerprint, f.Owner) {
			continue
		}
		s := m.state(f.Owner)
		byVM := s.byVM[vm]
		if byVM == nil {
			byVM = &failures{}
			s.byVM[vm] = byVM
		}
		responses, broken := count(f.Responses), count(f.Broken)
		byVM.responses.add(now, failureWindow, float64(responses))
		byVM.broken.add(now, failureWindow, float64(broken))
		if responses > 0 {
			s.respondedAt = now
		}
		if s.lost == 0 {
			s.lostSince = now
		}
		s.lost += responses + broken
		v.failed.add(now, vmWindow, float64(responses+broken))
		v.failedAt[f.Owner] = now
	}
	for _, p := range bounded(r.Pending) {
		m.state(p.Owner).pending[vm] = pendingReport{at: now, since: now - milliseconds(p.ForMs), expected: milliseconds(p.ExpectedMs)}
	}
}

// observe records the successes of an upstream and its speed.
func (s *state) observe(now time.Duration, sample Sample) {
	if sample.Full > 0 {
		s.fullAt = now
	}
	if sample.Succeeded <= 0 {
		return
	}
	s.succeeded.add(now, failureWindow, float64(count(sample.Succeeded)))
	s.remembered.add(now, memory, float64(count(sample.Succeeded)))
	s.respondedAt, s.succeededAt, s.lost = now, now, 0
	s.speed.observe(now, sample)
}

// maxCount bounds the counts of another VM's report, maxTime the times.
const (
	maxCount = 10_000
	maxTime  = time.Minute
)

func count(n int) int { return min(max(n, 0), maxCount) }

func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxTime.Milliseconds())) * time.Millisecond
}

func bounded[T any](list []T) []T { return list[:min(len(list), maxReported)] }

// evidence is what the reports say of an upstream at present.
type evidence struct {
	// failures is the number of failures that count, share that among all responses.
	failures float64
	share    float64
	failed   bool
	silent   bool
	slow     bool
	measured bool
	// active means that the upstream has requests, or has just responded.
	active bool
}

func (e evidence) bad() bool { return e.share >= 0.25 || e.failed || e.silent || e.slow }

// evidence sums up the reports on an upstream. The VM with the most failures counts as the average
// of the others that see some, since the fault may be its own.
func (m *Monitor) evidence(now time.Duration, s *state, suspects map[api.VMID]bool) (e evidence) {
	explained := s.fullAt > 0 && now-s.fullAt < fullTime
	total, most, senders := 0.0, 0.0, 0
	for vm, f := range s.byVM {
		n := f.responses.read(now, failureWindow)
		broken := f.broken.read(now, failureWindow)
		if n+broken < 0.01 {
			delete(s.byVM, vm)
			continue
		}
		if suspects[vm] {
			continue
		}
		if !explained {
			n += broken
		}
		if n > 0.1 {
			senders++
		}
		total, most = total+n, max(most, n)
	}
	if len(m.vms) >= minVMsForMajority && senders > 0 {
		others := total - most
		total = others + min(most, others/float64(max(senders-1, 1)))
	}
	succeeded := s.succeeded.read(now, failureWindow)
	e.failures = total
	if total >= minFailures {
		e.share = total / (total + succeeded)
	}
	majority := senders >= min(2, len(m.vms))
	e.failed = total >= minFailures && majority && s.lost >= minLosses && now-max(s.lostSince, s.succeededAt) >= lossTime
	e.silent = m.silent(now, s, suspects)
	e.measured = succeeded+total >= 0.5 || len(s.pending) > 0
	e.active = len(s.pending) > 0 || now-s.respondedAt < activeTime
	return e
}

// silent reports whether an upstream has responded to no VM for longer than it takes with noise.
func (m *Monitor) silent(now time.Duration, s *state, suspects map[api.VMID]bool) bool {
	waiting := 0
	for vm, p := range s.pending {
		if now-p.at > pendingTTL {
			delete(s.pending, vm)
			continue
		}
		bound := max(minSilence, time.Duration(silenceFactor*float64(p.expected)/s.speed.applied()))
		if !suspects[vm] && p.since > s.respondedAt-bound && now-max(p.since, s.respondedAt) >= bound {
			waiting++
		}
	}
	return waiting >= min(2, len(m.vms))
}

// Step decides on the upstreams of a service. Call it at short intervals.
func (m *Monitor) Step(now time.Duration, service api.ServiceName, candidates []Candidate) (changes []Change) {
	suspects := m.suspects(now)
	evidences := make(map[ownership.Owner]evidence)
	var shares, speeds []float64
	usable := 0
	for _, c := range candidates {
		s := m.byOwner[c.Owner]
		if c.Usable {
			usable++
		}
		if s == nil || !c.Usable {
			continue
		}
		e := m.evidence(now, s, suspects)
		evidences[c.Owner] = e
		if e.measured {
			shares = append(shares, e.share)
		}
		if ratio, ok := s.speed.recent(now, c.Slots, e.active); ok {
			speeds = append(speeds, ratio)
		}
	}
	// What all upstreams have in common is no fault of one of them.
	usualShare, usualSpeed := median(shares, 0), median(speeds, 1)
	bad, measured := 0, 0
	for _, c := range candidates {
		owner := c.Owner
		e, ok := evidences[owner]
		if !ok {
			continue
		}
		e.slow = m.byOwner[owner].speed.looksSlow(now, c.Slots, e.active)
		evidences[owner] = e
		// Those that have lost their keys are measured no more.
		failed := m.byOwner[owner].failed
		if e.measured || failed {
			measured++
		}
		if e.bad() || failed {
			bad++
		}
	}
	// One measured upstream among several says nothing of the others.
	held := float64(bad) > maxBadShare*float64(measured) && (bad > 1 || usable == 1)
	if held != m.held[service] {
		m.held[service] = held
		kind := HoldEnded
		if held {
			kind = Held
		}
		changes = append(changes, Change{Kind: kind, Share: float64(bad) / float64(max(measured, 1))})
	}
	for _, c := range candidates {
		if e, ok := evidences[c.Owner]; ok {
			e.share = max(0, (e.share-usualShare)/max(1-usualShare, 0.01))
			changes = m.byOwner[c.Owner].decide(now, c, e, usualSpeed, held, changes)
		}
	}
	return changes
}

// decide applies what the reports say of one upstream. While the service is held nothing changes.
func (s *state) decide(now time.Duration, c Candidate, e evidence, usualSpeed float64, held bool, changes []Change) []Change {
	passed := now - s.steppedAt
	s.steppedAt = now
	s.speed.follow(now, min(passed, time.Second))
	if held {
		s.until += passed
		s.badSince = -1
		return changes
	}
	change := func(kind ChangeKind) {
		changes = append(changes, Change{Kind: kind, Owner: c.Owner, Share: s.failure, Speed: s.speed.applied()})
	}
	if s.failed {
		if now < s.until {
			return changes
		}
		s.failed, s.badSince = false, -1
		s.lost, s.succeededAt = 0, now
		s.rememberedFailures = decaying{value: trialFailures, at: now}
		s.remembered = decaying{at: now}
		s.failure = s.longShare(now)
		clear(s.byVM)
		clear(s.pending)
		change(Trial)
		return changes
	}
	if !e.failed && !e.silent {
		s.badSince = -1
	} else if s.badSince < 0 {
		s.badSince = now
	}
	if s.badSince >= 0 && now-s.badSince >= confirmTime {
		if now-s.until > forgiveTime {
			s.rests = 0
		}
		s.failed, s.reduced, s.failure = true, true, 1
		s.until = now + min(firstRest<<s.rests, maxRest)
		s.rests = min(s.rests+1, 3)
		if e.silent {
			change(Silent)
		} else {
			change(Failed)
		}
		return changes
	}
	// Each failure adds one to the remembered ones while it fades from the recent ones.
	s.rememberedFailures.add(now, memory, e.failures*min(passed, time.Second).Seconds()/failureWindow.Seconds())
	share := max(e.share, s.longShare(now))
	if share >= s.failure+shareTolerance {
		s.failure = share
	} else if share < s.failure {
		// The recent failures may fade before the remembered ones have added up.
		s.failure += (share - s.failure) * (1 - math.Exp(-passed.Seconds()/fadeTime.Seconds()))
	}
	wasSlow := s.speed.slow
	s.speed.step(now, c.Slots, e.active, usualSpeed)
	switch {
	case s.speed.slow && !wasSlow:
		s.reduced = true
		change(Slow)
	case s.failure >= 0.25 && !s.reduced:
		s.reduced = true
		change(Failing)
	case s.reduced && s.failure < minShare && !s.speed.slow:
		s.reduced = false
		change(Recovered)
	}
	return changes
}

// longShare returns the share of failures over memory. It falls with successes, and with time.
func (s *state) longShare(now time.Duration) float64 {
	failed := s.rememberedFailures.read(now, memory)
	if failed < 0.5 {
		return 0
	}
	return failed / (failed + s.remembered.read(now, memory) + 1)
}

// Verdict returns the health of an upstream.
func (m *Monitor) Verdict(owner ownership.Owner) Verdict {
	s := m.byOwner[owner]
	if s == nil {
		return Verdict{Capacity: 1}
	}
	if s.failed {
		return Verdict{Failing: true}
	}
	failure := s.failure
	if failure < minShare {
		failure = 0
	}
	return Verdict{Capacity: max(s.speed.applied()*math.Pow(1-failure, failureExponent), minFactor)}
}

// IsReduced reports whether the capacity of an upstream is reduced for its health.
func (m *Monitor) IsReduced(owner ownership.Owner) bool {
	s := m.byOwner[owner]
	return s != nil && s.reduced
}

// Retain forgets the upstreams that are not known any more, and VMs without reports.
func (m *Monitor) Retain(now time.Duration, known func(ownership.Owner) bool) {
	maps.DeleteFunc(m.byOwner, func(o ownership.Owner, _ *state) bool { return !known(o) })
	maps.DeleteFunc(m.vms, func(_ api.VMID, v *vmState) bool { return now-v.reportedAt > vmTTL })
	m.requests.expire(now)
}

func median(values []float64, otherwise float64) float64 {
	if len(values) == 0 {
		return otherwise
	}
	slices.Sort(values)
	return values[len(values)/2]
}

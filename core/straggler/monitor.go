package straggler

import (
	"math"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// Config configures a Monitor.
type Config struct {
	// Parameters are those of the detector, calibrated for Model.
	Parameters Parameters
	// Model describes log latency relative to the peers, so its mean is 0.
	Model Model
	// MinObservations is the minimum number of consecutive slow responses that raise an alarm.
	MinObservations int
	// Warmup is the number of responses after which an upstream counts as a peer.
	// Detection needs at least one peer.
	Warmup int
	// PenaltyMax is the maximum penalty.
	PenaltyMax float64
	// MinMarkTime is the minimum time for which an upstream counts as a straggler.
	MinMarkTime time.Duration
	// RecoverAfter is the minimum number of normal responses that end the mark.
	RecoverAfter int
	// RelapseWithin is the time after a recovery within which a new alarm doubles the evidence needed to recover.
	RelapseWithin time.Duration
	// ProbeEvery is the first interval between probes; it doubles after a slow probe up to ProbeMax.
	ProbeEvery, ProbeMax time.Duration
	// StaleAfter is the age of a peer's latest response at which it leaves the group.
	StaleAfter time.Duration
	// LastingAfter is the time after which a straggler counts as lasting.
	LastingAfter time.Duration
	// ForgetAfter is the age of the latest response at which the state of an upstream is dropped.
	ForgetAfter time.Duration
}

// DefaultModel is the change for which the default parameters are calibrated: a
// slowdown by 3, so that a lasting slowdown by 2 still raises the statistics, with
// the deviation of log latency under moderate load.
var DefaultModel = Model{Deviation: 0.5, Shift: math.Log(3)}

// DefaultParameters have an average run length to false alarm of a million
// observations, about 20 minutes of an upstream set at full load. The thresholds
// of EWMA and CUSUM are those of Calibrate(kind, DefaultModel, 1e6, 100, 1). For
// Shiryaev-Roberts, nu/(arl+r) and r are those for arl = 10,000 and 1,000 runs,
// because they do not depend on arl when it is large.
var DefaultParameters = map[Kind]Parameters{
	KindEWMA:  {Kind: KindEWMA, Threshold: 1.5863, Weight: DefaultWeight},
	KindCUSUM: {Kind: KindCUSUM, Threshold: 12.145},
	KindSR:    {Kind: KindSR, Threshold: 295340, HeadStart: 0.58821},
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Parameters: DefaultParameters[KindCUSUM], Model: DefaultModel, MinObservations: 3, Warmup: 16,
		PenaltyMax: 20, MinMarkTime: time.Second, RecoverAfter: 5, RelapseWithin: time.Minute,
		ProbeEvery: 2 * time.Second, ProbeMax: 16 * time.Second,
		// Short stragglers must not move ranges. Placement adds the time for which an
		// imbalance must last.
		LastingAfter: 30 * time.Second,
		StaleAfter:   10 * time.Second, ForgetAfter: 10 * time.Minute,
	}
}

// Monitor detects stragglers among the upstreams of one shard. It compares the
// latency of each response with the normal latency of the other upstreams.
type Monitor struct {
	cfg       Config
	clipLevel float64 // observations are clipped here, so that MinObservations holds
	upstreams map[api.UpstreamID]*upstream
	group     group
	marked    int
}

// NewMonitor returns a Monitor without upstreams.
func NewMonitor(cfg Config) *Monitor {
	return &Monitor{
		cfg:       cfg,
		clipLevel: cfg.Parameters.clipLevel(cfg.Model, float64(cfg.MinObservations)-0.5),
		upstreams: map[api.UpstreamID]*upstream{},
	}
}

// Observe records a response of up at now with latency took.
func (m *Monitor) Observe(now time.Duration, up api.UpstreamID, took time.Duration) {
	u := m.upstreams[up]
	if u == nil {
		u = &upstream{id: up, detector: m.cfg.Parameters.New(m.cfg.Model), lastResponse: now}
		m.upstreams[up] = u
		m.group.changed = true
	}
	x := logLatency(took)
	u.record(now, x, m.scale())
	m.group.responses++
	if m.group.changed || m.group.responses >= len(m.upstreams) {
		m.refresh(now)
	}
	reference, recent, peers := m.group.peerMedians(u, m.cfg.Model.Shift)
	if peers < 1 {
		return
	}
	noise := m.scale() / math.Sqrt(float64(peers))
	// When the whole group slows down, the latest responses of the peers differ from
	// their normal latency, and the reference follows them at once. Within the margin
	// the normal latency is used, because it has less noise.
	if math.Abs(recent-reference) > groupMargin*noise {
		reference = recent
	}
	residual := x - reference - referenceNoise*noise
	scaled := math.Min(residual*m.cfg.Model.Deviation/m.scale(), m.clipLevel)
	if u.marked {
		m.observeMarked(now, u, residual, scaled)
		return
	}
	u.observeDeviation(residual)
	alarm := u.detector.Observe(scaled)
	if alarm && m.maxMarked() > m.marked {
		m.confirmAlarm(now, u)
	}
}

// confirmAlarm marks u unless its peers have become slow as well: a slowdown of all
// upstreams reaches some of them first. If the latest responses of half of the
// peers are slow against the normal latency, the evidence is discarded. Otherwise
// the latest responses of u must be slower than those of the peers.
func (m *Monitor) confirmAlarm(now time.Duration, u *upstream) {
	m.refresh(now)
	normal, recent, peers := m.group.peerMedians(u, m.cfg.Model.Shift)
	if peers < 1 {
		return
	}
	slow := 0
	for _, peer := range m.upstreams {
		if peer.inGroup && peer != u && peer.latestLatency()-normal > m.cfg.Model.Shift/2 {
			slow++
		}
	}
	if 2*slow >= peers {
		u.detector.Reset()
		return
	}
	noise := m.scale() / math.Sqrt(float64(peers))
	if u.recentMean()-recent > math.Max(m.cfg.Model.Shift/2, confirmMargin*noise) {
		m.mark(now, u)
	}
}

// scale returns the deviation of the group's log latency, at least that of the
// model: the thresholds hold for the model's deviation, so wider observations
// are scaled down to it.
func (m *Monitor) scale() float64 { return math.Max(m.cfg.Model.Deviation, m.group.deviation) }

// maxMarked returns the maximum number of stragglers, a minority: with more, "slower
// than its peers" has no meaning and the rest would be overloaded. One of two may be
// marked.
func (m *Monitor) maxMarked() int {
	n := len(m.upstreams)
	if n < 2 {
		return 0
	}
	return max(1, (n-1)/2)
}

func (m *Monitor) mark(now time.Duration, u *upstream) {
	if u.recoveredAt > 0 && now-u.recoveredAt < m.cfg.RelapseWithin {
		u.relapses = min(u.relapses+1, maxRelapses)
	} else {
		u.relapses = 0
	}
	u.marked, u.markedAt, u.evidence = true, now, 0
	u.slowdown = m.cfg.Model.Shift
	u.probeEvery = m.cfg.ProbeEvery
	u.probeAt = now + u.probeEvery
	m.marked++
	m.group.changed = true
}

// observeMarked accumulates the evidence that a straggler is normal again, a CUSUM
// in the opposite direction, and schedules its probes.
func (m *Monitor) observeMarked(now time.Duration, u *upstream, residual, scaled float64) {
	u.slowdown += slowdownWeight * (residual - u.slowdown)
	probed := u.probing
	u.probing = false
	gain := math.Min(-m.cfg.Model.logRatio(scaled), recoverEvidence/float64(m.cfg.RecoverAfter))
	u.evidence = math.Max(0, u.evidence+gain)
	switch {
	case u.evidence > 0 || scaled < m.cfg.Model.Shift:
		// The next probe follows soon after a response that may be normal, so that
		// recovery does not take RecoverAfter intervals.
		u.probeEvery = m.cfg.ProbeEvery
		u.probeAt = now + m.cfg.ProbeEvery/followUpDivisor
	case probed || now >= u.probeAt:
		u.probeEvery = min(2*u.probeEvery, m.cfg.ProbeMax)
		u.probeAt = now + u.probeEvery
	}
	needed := recoverEvidence * float64(int(1)<<u.relapses)
	// The tolerance absorbs the rounding of the sum of RecoverAfter equal parts.
	if u.evidence >= needed-1e-9 && now-u.markedAt >= m.cfg.MinMarkTime {
		u.marked, u.recoveredAt = false, now
		u.detector.Reset()
		m.marked--
		m.group.changed = true
	}
}

const (
	// The median of three responses has 0.67 of the deviation of one, and the median
	// over peers about 1.25/sqrt(peers) of that, 0.84/sqrt(peers) for many peers.
	// groupMargin is about two and confirmMargin three of these, so that with few
	// peers their noise neither moves the reference nor confirms an alarm.
	groupMargin   = 1.5
	confirmMargin = 2.2
	// referenceNoise is the deviation of the reference for one peer, in deviations of
	// one response. The error of the reference lasts for many responses, so with few
	// peers it would appear to the detectors as a small slowdown.
	referenceNoise = 0.23
	// slowdownWeight is the EWMA weight of a response in the estimate of the slowdown.
	slowdownWeight = 0.2
	// followUpDivisor divides the probe interval after a normal response.
	followUpDivisor = 8
	// recoverEvidence is the log likelihood ratio, normal over straggling, that
	// ends a mark: a thousand to one.
	recoverEvidence = 6.9
	// maxRelapses limits the doublings of the evidence needed, see RelapseWithin.
	maxRelapses = 3
)

// Penalty returns the factor by which a straggler is slower, and 1 for any other
// upstream and while a probe of a straggler is due.
func (m *Monitor) Penalty(up api.UpstreamID) float64 {
	u := m.upstreams[up]
	if u == nil || !u.marked || u.probing {
		return 1
	}
	return math.Exp(math.Max(m.cfg.Model.Shift, math.Min(u.slowdown, math.Log(m.cfg.PenaltyMax))))
}

// Straggling reports whether up counts as a straggler.
func (m *Monitor) Straggling(up api.UpstreamID) bool {
	u := m.upstreams[up]
	return u != nil && u.marked
}

// LastingCapacityShare is the share of the capacity of a lasting straggler that
// placement uses: enough for about one range, whose responses show its recovery. In
// proportion to its speed it would keep a tenth, and more than 1 in 100 requests of
// a service of 6 upstreams would still wait for it.
const LastingCapacityShare = 0.04

// Lasting reports whether up has been a straggler for at least Config.LastingAfter.
func (m *Monitor) Lasting(now time.Duration, up api.UpstreamID) bool {
	u := m.upstreams[up]
	return u != nil && u.marked && now-u.markedAt >= m.cfg.LastingAfter
}

// RequestCancelled records that a request to up was cancelled before its response
// after running for some time, for instance because its hedge won. Its latency would
// have been at least that, so it counts only if that is already slow.
func (m *Monitor) RequestCancelled(now time.Duration, up api.UpstreamID, ran time.Duration) {
	u := m.upstreams[up]
	if u == nil {
		return
	}
	normal, _, peers := m.group.peerMedians(u, m.cfg.Model.Shift)
	if peers > 0 && logLatency(ran) > normal+m.cfg.Model.Shift/2 {
		m.Observe(now, up, ran)
	}
}

// RequestSent records that a request was sent to up, which ends its probe, if one is
// due. Without this call a probe ends with the next response or Tick.
func (m *Monitor) RequestSent(up api.UpstreamID) {
	if u := m.upstreams[up]; u != nil {
		u.probing = false
	}
}

// Tick starts the probes that are due, ends those of the previous Tick, and removes
// upstreams without a response for Config.ForgetAfter.
func (m *Monitor) Tick(now time.Duration) {
	for id, u := range m.upstreams {
		if now-u.lastResponse >= m.cfg.ForgetAfter {
			if u.marked {
				m.marked--
			}
			delete(m.upstreams, id)
			continue
		}
		u.probing = false
		if u.marked && now >= u.probeAt {
			u.probing = true
			u.probeAt = now + u.probeEvery
		}
	}
	m.refresh(now)
}

// refresh computes the normal latency of the group from upstreams with recent
// responses that are not stragglers.
func (m *Monitor) refresh(now time.Duration) {
	g := &m.group
	g.changed, g.responses = false, 0
	g.normal, g.recent, g.deviations = g.normal[:0], g.recent[:0], g.deviations[:0]
	for _, u := range m.upstreams {
		u.inGroup = !u.marked && u.responses >= m.cfg.Warmup && now-u.lastResponse <= m.cfg.StaleAfter
		if !u.inGroup {
			continue
		}
		u.groupNormal, u.groupRecent = u.normal, u.recentMedian()
		g.normal = append(g.normal, u.groupNormal)
		g.recent = append(g.recent, u.groupRecent)
		g.deviations = append(g.deviations, u.deviation)
	}
	slices.Sort(g.normal)
	slices.Sort(g.recent)
	slices.Sort(g.deviations)
	g.deviation = 0
	if n := len(g.deviations); n > 0 {
		g.deviation = g.deviations[(n-1)/2]
	}
}

// ShouldUseStraggler reports whether a request of an unkeyed service should go to an
// upstream with this penalty while the others are busy, because the last of the
// queued requests would otherwise wait longer than the straggler takes. slots is the
// number of slots of the other upstreams; both times are in mean service times.
func ShouldUseStraggler(penalty float64, queued, slots int) bool {
	return penalty <= 1 || float64(queued) >= float64(slots)*(penalty-1)
}

package straggler

import (
	"math"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// Config configures a Monitor.
type Config struct {
	// Parameters is the detector, calibrated for Model.
	Parameters Parameters
	// Model is in logarithms relative to the peers, so its mean is 0.
	Model Model
	// MinObservations is the number of slow answers in a row that raise an alarm at the earliest.
	MinObservations int
	// Warmup is the number of answers from at least one peer before any detection.
	Warmup int
	// PenaltyMax bounds the penalty.
	PenaltyMax float64
	// MinMarkTime is the shortest time for which an upstream counts as a straggler.
	MinMarkTime time.Duration
	// RecoverAfter is the number of normal answers that end it at the earliest.
	RecoverAfter int
	// RelapseWithin is the time after a recovery in which a new alarm doubles the evidence needed to recover.
	RelapseWithin time.Duration
	// ProbeEvery is the first interval between probes; it doubles after a slow probe up to ProbeMax.
	ProbeEvery, ProbeMax time.Duration
	// StaleAfter is the age at which the answers of a peer no longer describe the group.
	StaleAfter time.Duration
	// LastingAfter is the time after which a straggler counts as lasting.
	LastingAfter time.Duration
	// ForgetAfter is the age at which the state of an upstream is dropped.
	ForgetAfter time.Duration
}

// DefaultModel is the change that the default setting is calibrated for: three
// times slower, so that a lasting slowdown by 2 still raises the statistics,
// with the deviation of log latency under moderate load.
var DefaultModel = Model{Deviation: 0.5, Shift: math.Log(3)}

// DefaultParameters have an average run length to false alarm of a million
// observations, about 20 minutes of an upstream set at full load. The thresholds
// of EWMA and CUSUM are those of Calibrate(kind, DefaultModel, 1e6, 100, 1). For
// Shiryaev-Roberts, nu/(arl+r) and r are taken from arl = 10,000 and 1,000 runs,
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
		// Stragglers of moments are to move no ranges. Placement adds the time for
		// which an imbalance must last.
		LastingAfter: 30 * time.Second,
		StaleAfter:   10 * time.Second, ForgetAfter: 10 * time.Minute,
	}
}

// Monitor watches the latency of the upstreams of one shard. Each answer is
// compared with the normal latency of the other upstreams.
type Monitor struct {
	cfg       Config
	limit     float64 // observations are cut here, so that MinObservations holds
	upstreams map[api.UpstreamID]*upstream
	group     group
	marked    int
}

// NewMonitor returns a Monitor that knows no upstream.
func NewMonitor(cfg Config) *Monitor {
	return &Monitor{
		cfg:       cfg,
		limit:     cfg.Parameters.limit(cfg.Model, float64(cfg.MinObservations)-0.5),
		upstreams: map[api.UpstreamID]*upstream{},
	}
}

// Observe records that up answered at now after took.
func (m *Monitor) Observe(now time.Duration, up api.UpstreamID, took time.Duration) {
	u := m.upstreams[up]
	if u == nil {
		u = &upstream{id: up, detector: m.cfg.Parameters.New(m.cfg.Model), latest: now}
		m.upstreams[up] = u
		m.group.changed = true
	}
	x := logLatency(took)
	u.record(now, x, m.scale())
	m.group.answered++
	if m.group.changed || m.group.answered >= len(m.upstreams) {
		m.refresh(now)
	}
	reference, recent, peers := m.group.around(u, m.cfg.Model.Shift)
	if peers < 1 {
		return
	}
	noise := m.scale() / math.Sqrt(float64(peers))
	// When the whole group slows down, the latest answers of the others differ
	// from the learnt normal latency, and the reference follows them at once.
	// Within the margin the learnt one is used, because it has less noise.
	if math.Abs(recent-reference) > groupMargin*noise {
		reference = recent
	}
	residual := x - reference - referenceNoise*noise
	scaled := math.Min(residual*m.cfg.Model.Deviation/m.scale(), m.limit)
	if u.marked {
		m.observeMarked(now, u, residual, scaled)
		return
	}
	u.spread(residual)
	alarm := u.detector.Observe(scaled)
	if alarm && m.maxMarked() > m.marked {
		m.confirm(now, u)
	}
}

// confirm marks u unless its peers have become slow as well: a slowdown of all
// upstreams reaches some of them first. If the latest answers of half of the
// peers are slow against the learnt normal latency, the evidence is discarded.
// Otherwise the latest answers of u must be slower than those of the peers.
func (m *Monitor) confirm(now time.Duration, u *upstream) {
	m.refresh(now)
	normal, recent, peers := m.group.around(u, m.cfg.Model.Shift)
	if peers < 1 {
		return
	}
	slow := 0
	for _, peer := range m.upstreams {
		if peer.inGroup && peer != u && peer.last()-normal > m.cfg.Model.Shift/2 {
			slow++
		}
	}
	if 2*slow >= peers {
		u.detector.Reset()
		return
	}
	noise := m.scale() / math.Sqrt(float64(peers))
	if u.recentMean()-recent > math.Max(m.cfg.Model.Shift/2, leadMargin*noise) {
		m.mark(now, u)
	}
}

// scale returns the deviation of the group's log latency, at least that of the
// model: the thresholds hold for the model's deviation, so wider observations
// are scaled down to it.
func (m *Monitor) scale() float64 { return math.Max(m.cfg.Model.Deviation, m.group.deviation) }

// maxMarked keeps stragglers a minority: with more, "slower than its peers" has
// no meaning and the rest would be overloaded. One of two may be marked.
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

// observeMarked sums the evidence that a straggler is normal again, a CUSUM in
// the opposite direction, and schedules its probes.
func (m *Monitor) observeMarked(now time.Duration, u *upstream, residual, scaled float64) {
	u.slowdown += slowdownWeight * (residual - u.slowdown)
	probed := u.probing
	u.probing = false
	gain := math.Min(-m.cfg.Model.logRatio(scaled), recoverEvidence/float64(m.cfg.RecoverAfter))
	u.evidence = math.Max(0, u.evidence+gain)
	switch {
	case u.evidence > 0 || scaled < m.cfg.Model.Shift:
		// The next probe follows soon after an answer that may be normal, so that
		// recovery does not take RecoverAfter intervals.
		u.probeEvery = m.cfg.ProbeEvery
		u.probeAt = now + m.cfg.ProbeEvery/followUp
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
	// The median of three answers has 0.67 of the deviation of one, and the median
	// over peers about 1.25/sqrt(peers) of that, 0.84/sqrt(peers) for many peers.
	// groupMargin is about two and leadMargin three of these, so that with few
	// peers their noise neither moves the reference nor confirms an alarm.
	groupMargin = 1.5
	leadMargin  = 2.2
	// referenceNoise is the deviation of the learnt reference, in deviations of one
	// answer and for one peer. The error of the reference lasts for many answers,
	// so with few peers the detectors would take it for a small slowdown.
	referenceNoise = 0.23
	// slowdownWeight weighs the newest answer in the estimate behind the penalty.
	slowdownWeight = 0.2
	// followUp divides the probe interval after a normal answer.
	followUp = 8
	// recoverEvidence is the log likelihood ratio, normal over straggling, that
	// ends a mark: a thousand to one.
	recoverEvidence = 6.9
	// maxRelapses bounds that doubling.
	maxRelapses = 3
)

// Penalty returns 1 for an upstream that should be used as any other, and for a
// straggler the factor by which it is slower. While a probe of a straggler is
// due its penalty is 1.
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

// LastingCapacityShare is the part of its capacity for which a lasting straggler is
// given keys: about one range, whose answers show its recovery. In proportion to
// its speed it would keep a tenth, and more than 1 in 100 requests of a service
// of 6 upstreams would still wait for it.
const LastingCapacityShare = 0.04

// Lasting reports whether up has been a straggler for at least Config.LastingAfter.
func (m *Monitor) Lasting(now time.Duration, up api.UpstreamID) bool {
	u := m.upstreams[up]
	return u != nil && u.marked && now-u.markedAt >= m.cfg.LastingAfter
}

// RequestCancelled records that a call to up was cancelled unanswered after running
// for some time, for instance because its hedge won. Its latency would have been
// at least that, so it counts only if it is slow already.
func (m *Monitor) RequestCancelled(now time.Duration, up api.UpstreamID, ran time.Duration) {
	u := m.upstreams[up]
	if u == nil {
		return
	}
	normal, _, peers := m.group.around(u, m.cfg.Model.Shift)
	if peers > 0 && logLatency(ran) > normal+m.cfg.Model.Shift/2 {
		m.Observe(now, up, ran)
	}
}

// RequestSent ends the probe of up, if one is due, because a request has been sent to
// it. Without this call a probe ends with the next answer or Tick.
func (m *Monitor) RequestSent(up api.UpstreamID) {
	if u := m.upstreams[up]; u != nil {
		u.probing = false
	}
}

// Tick starts the probes that are due, ends those of the Tick before, and
// forgets upstreams that have not answered for long.
func (m *Monitor) Tick(now time.Duration) {
	for id, u := range m.upstreams {
		if now-u.latest >= m.cfg.ForgetAfter {
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

// refresh computes the normal latency of the group from fresh upstreams that
// are not stragglers.
func (m *Monitor) refresh(now time.Duration) {
	g := &m.group
	g.changed, g.answered = false, 0
	g.normal, g.recent, g.spreads = g.normal[:0], g.recent[:0], g.spreads[:0]
	for _, u := range m.upstreams {
		u.inGroup = !u.marked && u.answers >= m.cfg.Warmup && now-u.latest <= m.cfg.StaleAfter
		if !u.inGroup {
			continue
		}
		u.groupNormal, u.groupRecent = u.location, u.recentMedian()
		g.normal = append(g.normal, u.groupNormal)
		g.recent = append(g.recent, u.groupRecent)
		g.spreads = append(g.spreads, u.deviation)
	}
	slices.Sort(g.normal)
	slices.Sort(g.recent)
	slices.Sort(g.spreads)
	g.deviation = 0
	if n := len(g.spreads); n > 0 {
		g.deviation = g.spreads[(n-1)/2]
	}
}

// WorthUsing reports whether a request of an unkeyed service should go to an
// upstream with this penalty although others are only busy: the last of the
// queued requests would otherwise wait for longer than the straggler takes.
// Both sides are in mean service times; slots counts those of the other upstreams.
func WorthUsing(penalty float64, queued, slots int) bool {
	return penalty <= 1 || float64(queued) >= float64(slots)*(penalty-1)
}

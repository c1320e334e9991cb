package holder

import (
	"slices"
	"time"

	"dandelionhill.dev/core/placement"
)

// demandWeight is the weight of the newest sample in the smoothed demand. With
// ticks of 20 ms the average covers about a second.
const demandWeight = 0.02

// checkReserve watches whether the shard's demand would still fit if its
// largest failure domain were lost, with the preset's share kept free.
func (s *Shard) checkReserve() {
	demand := float64(s.queue.Queued())
	ups := make([]placement.Upstream, 0, len(s.ups))
	now := s.cfg.Clock()
	for id, up := range s.ups {
		demand += float64(len(up.running))
		ups = append(ups, placement.Upstream{
			ID: id, Domain: up.domain, Capacity: float64(s.full()), State: s.placementState(now, up),
		})
	}
	s.demand += demandWeight * (demand - s.demand)
	_, rest := placement.LargestDomain(ups)
	used := 0.0
	if rest > 0 {
		used = s.demand / (rest * (1 - s.preset.DomainReserve))
	}
	s.cfg.Metrics.ReserveUsed.WithLabelValues(string(s.cfg.ID.Service), s.cfg.ID.String()).Set(used)
	if short := used > 1; short != s.reserveShort {
		s.reserveShort = short
		s.cfg.Log.Warn().Str("event", "domain_reserve").Stringer("shard", s.cfg.ID).Bool("short", short).
			Float64("used", used).Str("preset", s.preset.Name).Msg("")
	}
}

// shareNormal tells cold upstreams the latency that is normal for their peers.
// An upstream that starts cold would else be compared with itself.
func (s *Shard) shareNormal() {
	var known []time.Duration
	for _, up := range s.ups {
		if !up.ramp.Cold() && up.ramp.NormalLatency() > 0 {
			known = append(known, up.ramp.NormalLatency())
		}
	}
	if len(known) == 0 {
		return
	}
	slices.Sort(known)
	median := known[len(known)/2]
	for _, up := range s.ups {
		if up.ramp.Cold() {
			up.ramp.SetNormalLatency(median)
		}
	}
}

package holder

import (
	"slices"
	"time"

	"dandelionhill.dev/core/placement"
)

// demandWeight is the weight of a new sample in the moving average of the demand,
// which covers about a second at ticks of 20 ms.
const demandWeight = 0.02

// checkReserve checks whether the shard's demand would still fit after the loss
// of its largest failure domain, with the preset's share kept free.
func (s *Shard) checkReserve() {
	demand := float64(s.queue.Queued())
	upstreams := make([]placement.Upstream, 0, len(s.upstreams))
	now := s.cfg.Clock()
	for id, up := range s.upstreams {
		demand += float64(len(up.running))
		upstreams = append(upstreams, placement.Upstream{
			ID: id, Domain: up.domain, Capacity: float64(s.warmLimit()), State: s.placementState(now, up),
		})
	}
	s.demand += demandWeight * (demand - s.demand)
	_, rest := placement.LargestDomain(upstreams)
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

// shareNormalLatency sets the normal latency of cold upstreams to the median of
// the warm ones. A cold upstream would otherwise be compared with itself.
func (s *Shard) shareNormalLatency() {
	var known []time.Duration
	for _, up := range s.upstreams {
		if !up.ramp.Cold() && up.ramp.NormalLatency() > 0 {
			known = append(known, up.ramp.NormalLatency())
		}
	}
	if len(known) == 0 {
		return
	}
	slices.Sort(known)
	median := known[len(known)/2]
	for _, up := range s.upstreams {
		if up.ramp.Cold() {
			up.ramp.SetNormalLatency(median)
		}
	}
}

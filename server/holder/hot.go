package holder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/hotkeys"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/shardmap"
)

// hotPhase is the state of a hot key's own range.
type hotPhase int

const (
	// hotSplitting: the owner of the ordinary range is being granted the new
	// range. Requests use the ordinary range.
	hotSplitting hotPhase = iota
	// hotActive: requests use the key's own range, and the planner may move it.
	hotActive
	// hotMerging: requests use the key's own range until it has moved back to the
	// owner of the ordinary range and no request is running in it.
	hotMerging
)

// hotRange is the range of one hot key. While its phase is hotSplitting, each
// reported assignment names the owner of the ordinary range as its owner.
type hotRange struct {
	key            string
	number         int
	ordinaryNumber int // the key's ordinary range
	phase          hotPhase
	state          rangeState
}

const (
	// hotKeyInterval is how often the load of the keys is evaluated.
	hotKeyInterval = time.Second
	// maxHotKeys bounds the hot keys of a shard. With keys of at most 512 bytes an
	// assignment stays far below the frame limit.
	maxHotKeys = 128
)

// hotKeys decides which keys of the shard have a range of their own.
type hotKeys struct {
	sketch     *hotkeys.Sketch
	policy     *placement.HotKeys
	observedAt time.Duration
}

func newHotKeys(id api.ShardID, service config.Service, now time.Duration) hotKeys {
	cfg := placement.DefaultHotKeyConfig(service.Ranges)
	cfg.Shard, cfg.Shards = id.Index, len(service.Layout)
	cfg.MaxHotKeys = maxHotKeys
	return hotKeys{
		sketch: hotkeys.New(hotkeys.DefaultConfig(), now), policy: placement.NewHotKeys(cfg), observedAt: now,
	}
}

// countKey adds a request to the load of its key.
func (s *Shard) countKey(r *request) {
	if s.splitsKeys() {
		s.hot.sketch.Add(r.forward.Key)
	}
}

// splitsKeys reports whether keys may get a range of their own. An upstream that
// checks nothing may run a request for any time after a takeover, and a holder
// that does not know the key's range would meanwhile give the key to another
// upstream.
func (s *Shard) splitsKeys() bool {
	return s.service.Keyed && s.service.UpstreamChecks != config.ChecksNone
}

// rangeOf returns the range under which a request is queued and sent.
func (s *Shard) rangeOf(f *wire.Forward) int {
	if h := s.ranges.hotByKey[f.Key]; h != nil && h.phase != hotSplitting {
		return h.number
	}
	return f.Range
}

// updateHot starts splits and merges according to the load of the keys.
func (s *Shard) updateHot(now time.Duration) {
	if !s.service.Keyed || s.frozen || now-s.hot.observedAt < hotKeyInterval {
		return
	}
	s.hot.observedAt = now
	s.hot.sketch.Advance(now)
	wanted := map[string]int{}
	if s.splitsKeys() {
		s.hot.policy.Observe(now, s.keyLoads())
		wanted = s.hot.policy.Ranges()
	}
	s.setHotKeys(wanted)
}

// keyLoads returns the load of the most frequent keys as a share of the capacity
// of one upstream: their request rate times the normal service time. The median
// over the upstreams is used, so that a slow upstream does not make its keys hot.
func (s *Shard) keyLoads() []placement.KeyLoad {
	var times []time.Duration
	for _, up := range s.upstreams {
		if t := up.ramp.NormalLatency(); t > 0 {
			times = append(times, t)
		}
	}
	if len(times) == 0 {
		return nil
	}
	slices.Sort(times)
	perRequest := times[len(times)/2].Seconds() / float64(max(1, s.service.Slots))
	var loads []placement.KeyLoad
	for _, r := range s.hot.sketch.Rates(0) {
		loads = append(loads, placement.KeyLoad{Key: r.Key, Share: r.PerSecond * perRequest})
	}
	return loads
}

// setHotKeys starts to split the wanted keys that have no range and to merge the
// others. A key or range number that is still being merged is skipped.
func (s *Shard) setHotKeys(wanted map[string]int) {
	for _, h := range slices.Clone(s.ranges.hot) {
		number, keep := wanted[h.key]
		keep = keep && number == h.number
		switch {
		case keep && h.phase == hotMerging:
			h.phase = hotActive
		case !keep && h.phase == hotSplitting: // not in use yet
			s.removeHot(h)
		case !keep:
			h.phase = hotMerging
		}
	}
	for _, key := range slices.Sorted(maps.Keys(wanted)) {
		number := wanted[key]
		if s.ranges.hotByKey[key] != nil || s.ranges.at(number) != nil {
			continue
		}
		ordinary := s.ranges.ordinary(shardmap.RangeOf(key, s.service.Ranges))
		if ordinary == nil || ordinary.owner == "" || ordinary.to != "" {
			continue
		}
		s.ranges.lastAssignment++
		s.addHot(&hotRange{
			key: key, number: number, ordinaryNumber: shardmap.RangeOf(key, s.service.Ranges),
			state: rangeState{owner: ordinary.owner, assignment: s.ranges.lastAssignment},
		})
	}
}

func (s *Shard) addHot(h *hotRange) {
	h.state.hot = h
	s.ranges.hotByKey[h.key] = h
	s.ranges.hot = append(s.ranges.hot, h)
	slices.SortFunc(s.ranges.hot, func(x, y *hotRange) int { return cmp.Compare(x.number, y.number) })
	s.ranges.hotChanged = true
}

// removeHot removes a range that no queued or running request uses.
func (s *Shard) removeHot(h *hotRange) {
	s.queue.ReleaseRange(h.number, "")
	delete(s.ranges.hotByKey, h.key)
	s.ranges.hot = slices.DeleteFunc(s.ranges.hot, func(other *hotRange) bool { return other == h })
	s.ranges.lastAssignment++
	s.ranges.hotChanged = true
}

// finishHot completes the splits and merges that can be completed. It reports
// whether the assignment changed.
func (s *Shard) finishHot(now time.Duration) bool {
	for _, h := range slices.Clone(s.ranges.hot) {
		ordinary := s.ranges.ordinary(h.ordinaryNumber)
		switch h.phase {
		case hotActive:
		case hotSplitting:
			if h.state.owner != ordinary.owner {
				// The ordinary range moved first. No request has used the new one yet.
				s.ranges.lastAssignment++
				h.state = rangeState{owner: ordinary.owner, assignment: s.ranges.lastAssignment, held: h.state.held, hot: h}
				s.ranges.hotChanged = true
			} else if ordinary.to == "" && s.acknowledged(ordinary) && s.acknowledged(&h.state) {
				s.activateHot(h, ordinary)
			}
		case hotMerging:
			s.mergeHot(now, h, ordinary)
		}
	}
	changed := s.ranges.hotChanged
	s.ranges.hotChanged = false
	return changed
}

// activateHot switches the requests of a key to its own range. Queued requests
// change range; the new range is held until the running ones have ended.
func (s *Shard) activateHot(h *hotRange, ordinary *rangeState) {
	h.phase = hotActive
	h.state.busyUntil = ordinary.busyUntil
	h.state.load = s.hotLoad(h.key, ordinary.load)
	ordinary.load -= h.state.load
	s.changeRange(h.key, h.ordinaryNumber, h.number, h.state.owner) // updateHolds holds the new range while requests run under the old one
	s.cfg.Log.Info().Str("event", "hot_key_split").Stringer("shard", s.cfg.ID).Int("range", h.number).Int("ordinary", h.ordinaryNumber).Msg("")
}

// hotLoad returns a key's part of its range's load.
func (s *Shard) hotLoad(key string, rangeLoad float64) float64 {
	const seconds = 14.4 // load for one request a second: loadHalfLife / ln 2
	for _, r := range s.hot.sketch.Rates(0) {
		if r.Key == key {
			return min(rangeLoad, r.PerSecond*seconds)
		}
	}
	return 0
}

// mergeHot takes the next step of a merge: it moves the range to the owner of
// the ordinary one, waits until no request runs under its number, then switches
// requests to the ordinary number.
func (s *Shard) mergeHot(now time.Duration, h *hotRange, ordinary *rangeState) {
	to := ordinary.owner
	if ordinary.to != "" {
		to = ordinary.to
	}
	target := h.state.owner
	if h.state.to != "" {
		target = h.state.to
	}
	if to != "" && target != to {
		s.startMove(now, placement.Move{Range: h.number, From: h.state.owner, To: to})
		return
	}
	if to == "" || h.state.to != "" || ordinary.to != "" || s.queue.RangeInFlight(h.number) > 0 || s.runsUnderOrdinary(&h.state) {
		return
	}
	if h.state.assignment > s.ranges.replicatedAssignment {
		return // a successor could restore an older owner of the key
	}
	s.changeRange(h.key, h.number, h.ordinaryNumber, ordinary.owner)
	ordinary.busyUntil = max(ordinary.busyUntil, h.state.busyUntil)
	ordinary.load += h.state.load
	s.removeHot(h)
	s.cfg.Log.Info().Str("event", "hot_key_merged").Stringer("shard", s.cfg.ID).Int("range", h.number).Int("ordinary", h.ordinaryNumber).Msg("")
}

// changeRange moves the queued requests of a key to another range. They may have
// been queued for an earlier owner of the range that they leave.
func (s *Shard) changeRange(key string, from, to int, owner api.UpstreamID) {
	var queued []*request
	for _, r := range s.requests {
		if r.rangeNum == from && r.forward.Key == key && len(r.runs) == 0 {
			queued = append(queued, r)
		}
	}
	slices.SortFunc(queued, func(x, y *request) int { return cmp.Compare(x.id, y.id) })
	for _, r := range queued {
		r.rangeNum = to
		s.queue.ChangeRange(r.id, to, owner)
	}
}

// runsUnderOrdinary reports whether the owner of a hot key's range still runs
// requests of the key under the number of the ordinary range.
func (s *Shard) runsUnderOrdinary(state *rangeState) bool {
	h := state.hot
	if h == nil || h.phase == hotSplitting {
		return false
	}
	up := s.upstreams[state.owner]
	if up == nil {
		return false
	}
	for _, r := range up.running {
		if r.rangeNum == h.ordinaryNumber && r.forward.Key == h.key {
			return true
		}
	}
	return false
}

// resumeHot continues a split or merge that may have waited for the end of a run.
func (s *Shard) resumeHot(now time.Duration, r *request) {
	if h := s.ranges.hotByKey[r.forward.Key]; h != nil && (h.phase == hotMerging || h.state.held) {
		s.finishMoves(now)
	}
}

// unresolvedHotRuns reports whether a run whose end was not observed may still be
// in progress for a hot key on another upstream than the owner of its ordinary
// range. A successor that does not know the key's range must not start before it
// has ended.
func (s *Shard) unresolvedHotRuns(now time.Duration) bool {
	for _, h := range s.ranges.hot {
		ordinary := s.ranges.ordinary(h.ordinaryNumber)
		if now < h.state.busyUntil && h.state.owner != ordinary.owner {
			return true
		}
	}
	return false
}

// hotCount returns the number of keys whose requests use their own range.
func (s *Shard) hotCount() int {
	n := 0
	for _, h := range s.ranges.hot {
		if h.phase != hotSplitting {
			n++
		}
	}
	return n
}

// restoreHot restores the hot keys of an assignment. Entries that cannot belong
// to this shard are ignored; their keys use the ordinary range.
func (s *Shard) restoreHot(now time.Duration, a *wire.Assign) {
	ranges := s.service.Ranges
	s.hot.policy.Restore(now, s.validHot(a, ranges))
	wanted := s.hot.policy.Ranges()
	for _, e := range a.Hot {
		if wanted[e.Key] != e.Range || s.ranges.at(e.Range) != nil {
			continue
		}
		state := rangeState{assignment: 1}
		if e.Owner >= 0 && int(e.Owner) < len(a.Upstreams) {
			state.owner = a.Upstreams[e.Owner]
		}
		s.addHot(&hotRange{key: e.Key, number: e.Range, ordinaryNumber: shardmap.RangeOf(e.Key, ranges), phase: hotActive, state: state})
	}
}

// validHot returns the hot keys of an assignment whose ordinary range is in the
// shard, each range once.
func (s *Shard) validHot(a *wire.Assign, ranges int) map[string]int {
	out := map[string]int{}
	used := map[int]bool{}
	for _, e := range a.Hot {
		if _, twice := out[e.Key]; twice || used[e.Range] || s.ranges.ordinary(shardmap.RangeOf(e.Key, ranges)) == nil {
			continue
		}
		out[e.Key], used[e.Range] = e.Range, true
	}
	return out
}

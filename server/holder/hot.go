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

// hotPhase says which range number the requests of a hot key use.
type hotPhase int

const (
	// hotSplitting: the owner of the ordinary range is being granted the new
	// one. Requests use the ordinary range.
	hotSplitting hotPhase = iota
	// hotActive: requests use the range of the key, and the planner may move it.
	hotActive
	// hotMerging: requests use the range of the key until it is back with the
	// owner of the ordinary range and nothing runs for it.
	hotMerging
)

// hotRange is the range of a hot key. While its phase is hotSplitting, its
// owner is that of the ordinary range in every assignment that is reported.
type hotRange struct {
	key    string
	number int
	home   int // the key's ordinary range
	phase  hotPhase
	state  rangeState
}

const (
	// hotEvery is the interval at which the load of keys is looked at.
	hotEvery = time.Second
	// maxHotKeys bounds the hot keys of a shard. With keys of at most 512 bytes an
	// assignment stays far below the largest frame.
	maxHotKeys = 128
)

// hotKeys decides which keys of the shard have a range of their own.
type hotKeys struct {
	sketch   *hotkeys.Sketch
	decide   *placement.HotKeys
	observed time.Duration
}

func newHotKeys(id api.ShardID, service config.Service, now time.Duration) hotKeys {
	cfg := placement.DefaultHotKeyConfig(service.Ranges)
	cfg.Shard, cfg.Shards = id.Index, len(service.Layout)
	cfg.Max = maxHotKeys
	return hotKeys{
		sketch: hotkeys.New(hotkeys.DefaultConfig(), now), decide: placement.NewHotKeys(cfg), observed: now,
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
// that does not know the range would give the key to another one meanwhile.
func (s *Shard) splitsKeys() bool {
	return s.service.Keyed && s.service.UpstreamChecks != config.ChecksNone
}

// rangeOf returns the number under which a request is queued and sent.
func (s *Shard) rangeOf(f *wire.Forward) int {
	if h := s.ranges.byKey[f.Key]; h != nil && h.phase != hotSplitting {
		return h.number
	}
	return f.Range
}

// observeHot starts the splits and merges that the load of the keys asks for.
func (s *Shard) observeHot(now time.Duration) {
	if !s.service.Keyed || s.frozen || now-s.hot.observed < hotEvery {
		return
	}
	s.hot.observed = now
	s.hot.sketch.Advance(now)
	wanted := map[string]int{}
	if s.splitsKeys() {
		s.hot.decide.Observe(now, s.keyLoads())
		wanted = s.hot.decide.Ranges()
	}
	s.wantHot(wanted)
}

// keyLoads returns the load of the most frequent keys as a share of the
// capacity of one upstream: arrivals times the usual service time, so that a
// slow upstream does not make its keys hot.
func (s *Shard) keyLoads() []placement.KeyLoad {
	var times []time.Duration
	for _, up := range s.ups {
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

// wantHot starts to split the keys that are to have a range and have none, and
// to merge the others. A key or number that is still being merged waits.
func (s *Shard) wantHot(wanted map[string]int) {
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
		if s.ranges.byKey[key] != nil || s.ranges.at(number) != nil {
			continue
		}
		home := s.ranges.ordinary(shardmap.RangeOf(key, s.service.Ranges))
		if home == nil || home.owner == "" || home.to != "" {
			continue
		}
		s.ranges.number++
		s.addHot(&hotRange{
			key: key, number: number, home: shardmap.RangeOf(key, s.service.Ranges),
			state: rangeState{owner: home.owner, assignment: s.ranges.number},
		})
	}
}

func (s *Shard) addHot(h *hotRange) {
	h.state.hot = h
	s.ranges.byKey[h.key] = h
	s.ranges.hot = append(s.ranges.hot, h)
	slices.SortFunc(s.ranges.hot, func(x, y *hotRange) int { return cmp.Compare(x.number, y.number) })
	s.ranges.hotChanged = true
}

// removeHot forgets a range that nothing is queued or runs for.
func (s *Shard) removeHot(h *hotRange) {
	s.queue.ReleaseRange(h.number, "")
	delete(s.ranges.byKey, h.key)
	s.ranges.hot = slices.DeleteFunc(s.ranges.hot, func(other *hotRange) bool { return other == h })
	s.ranges.number++
	s.ranges.hotChanged = true
}

// settleHot finishes the splits and merges that can be finished. It reports
// whether the assignment changed.
func (s *Shard) settleHot(now time.Duration) bool {
	for _, h := range slices.Clone(s.ranges.hot) {
		home := s.ranges.ordinary(h.home)
		switch h.phase {
		case hotActive:
		case hotSplitting:
			if h.state.owner != home.owner {
				// The ordinary range moved first. Nothing used the new one yet.
				s.ranges.number++
				h.state = rangeState{owner: home.owner, assignment: s.ranges.number, held: h.state.held, hot: h}
				s.ranges.hotChanged = true
			} else if home.to == "" && s.acknowledged(home) && s.acknowledged(&h.state) {
				s.useHot(h, home)
			}
		case hotMerging:
			s.mergeHot(now, h, home)
		}
	}
	changed := s.ranges.hotChanged
	s.ranges.hotChanged = false
	return changed
}

// useHot lets the requests of a key use its own range. Those in the queue
// change their number; the new number is held until those that run have ended.
func (s *Shard) useHot(h *hotRange, home *rangeState) {
	h.phase = hotActive
	h.state.busyUntil = home.busyUntil
	h.state.work = s.hotWork(h.key, home.work)
	home.work -= h.state.work
	s.renumber(h.key, h.home, h.number, h.state.owner) // release holds the new number while requests run under the old one
	s.cfg.Log.Info().Str("event", "hot_key_split").Stringer("shard", s.cfg.ID).Int("range", h.number).Int("ordinary", h.home).Msg("")
}

// hotWork returns the part of a range's recent requests that is a key's.
func (s *Shard) hotWork(key string, whole float64) float64 {
	const seconds = 14.4 // the sum of work for one request a second: loadHalfLife / ln 2
	for _, r := range s.hot.sketch.Rates(0) {
		if r.Key == key {
			return min(whole, r.PerSecond*seconds)
		}
	}
	return 0
}

// mergeHot takes the next step towards the end of a hot key's range: it moves
// the range to the owner of the ordinary one, and then waits until nothing runs
// under its number before requests use the ordinary number.
func (s *Shard) mergeHot(now time.Duration, h *hotRange, home *rangeState) {
	to := home.owner
	if home.to != "" {
		to = home.to
	}
	target := h.state.owner
	if h.state.to != "" {
		target = h.state.to
	}
	if to != "" && target != to {
		s.startMove(now, placement.Move{Range: h.number, From: h.state.owner, To: to})
		return
	}
	if to == "" || h.state.to != "" || home.to != "" || s.queue.RangeInFlight(h.number) > 0 || s.runsElsewhere(&h.state) {
		return
	}
	if h.state.assignment > s.ranges.safe {
		return // a successor could still believe that the key is elsewhere
	}
	s.renumber(h.key, h.number, h.home, home.owner)
	home.busyUntil = max(home.busyUntil, h.state.busyUntil)
	home.work += h.state.work
	s.removeHot(h)
	s.cfg.Log.Info().Str("event", "hot_key_merged").Stringer("shard", s.cfg.ID).Int("range", h.number).Int("ordinary", h.home).Msg("")
}

// renumber puts the queued requests of a key under another range. They may have
// been queued for an earlier owner of the range that they leave.
func (s *Shard) renumber(key string, from, to int, owner api.UpstreamID) {
	var queued []*request
	for _, r := range s.requests {
		if r.rng == from && r.forward.Key == key && len(r.runs) == 0 {
			queued = append(queued, r)
		}
	}
	slices.SortFunc(queued, func(x, y *request) int { return cmp.Compare(x.id, y.id) })
	for _, r := range queued {
		r.rng = to
		s.queue.ChangeRange(r.id, to, owner)
	}
}

// runsElsewhere reports whether requests of a hot key run under the number of
// its ordinary range on the owner of its own range.
func (s *Shard) runsElsewhere(state *rangeState) bool {
	h := state.hot
	if h == nil || h.phase == hotSplitting {
		return false
	}
	up := s.ups[state.owner]
	if up == nil {
		return false
	}
	for _, r := range up.running {
		if r.rng == h.home && r.forward.Key == h.key {
			return true
		}
	}
	return false
}

// endedHot goes on with a split or merge that may have waited for the end of a run.
func (s *Shard) endedHot(now time.Duration, r *request) {
	if h := s.ranges.byKey[r.forward.Key]; h != nil && (h.phase == hotMerging || h.state.held) {
		s.settle(now)
	}
}

// hotBusy reports whether a run whose end was not seen may go on for a hot key
// on another upstream than the owner of its ordinary range. A successor that
// does not know the key's range must not start before that has ended.
func (s *Shard) hotBusy(now time.Duration) bool {
	for _, h := range s.ranges.hot {
		home := s.ranges.ordinary(h.home)
		if now < h.state.busyUntil && h.state.owner != home.owner {
			return true
		}
	}
	return false
}

// hotInUse returns the number of keys whose requests use a range of their own.
func (s *Shard) hotInUse() int {
	n := 0
	for _, h := range s.ranges.hot {
		if h.phase != hotSplitting {
			n++
		}
	}
	return n
}

// inheritHot takes over the hot keys of an assignment. Entries that cannot be
// this shard's are ignored; their keys use the ordinary range.
func (s *Shard) inheritHot(now time.Duration, a *wire.Assign) {
	ranges := s.service.Ranges
	s.hot.decide.Restore(now, s.acceptHot(a, ranges))
	wanted := s.hot.decide.Ranges()
	for _, e := range a.Hot {
		if wanted[e.Key] != e.Range || s.ranges.at(e.Range) != nil {
			continue
		}
		state := rangeState{assignment: 1}
		if e.Owner >= 0 && int(e.Owner) < len(a.Upstreams) {
			state.owner = a.Upstreams[e.Owner]
		}
		s.addHot(&hotRange{key: e.Key, number: e.Range, home: shardmap.RangeOf(e.Key, ranges), phase: hotActive, state: state})
	}
}

// acceptHot returns the hot keys of an assignment whose ordinary range is in the
// shard, each range once.
func (s *Shard) acceptHot(a *wire.Assign, ranges int) map[string]int {
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

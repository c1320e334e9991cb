package placement

import (
	"cmp"
	"slices"
	"time"
)

// HotKeyConfig holds the thresholds and limits for hot keys, which get a range of
// their own.
type HotKeyConfig struct {
	// Ranges is the number of ordinary ranges of the service. Ranges of hot
	// keys are numbered from there upwards.
	Ranges int
	// Shard and Shards let shards allocate ranges independently: shard i of n uses
	// the numbers Ranges+i, Ranges+i+n and so on. Zero values mean a single shard.
	Shard, Shards int
	// SplitShare is the share of its upstream's capacity above which a key is
	// hot (hot_key_share).
	SplitShare float64
	// MergeShare is the share below which a hot key returns to its ordinary range.
	// The distance to SplitShare is the hysteresis for keys near a threshold.
	MergeShare float64
	// SplitAfter and MergeAfter are how long a key must stay beyond the
	// threshold.
	SplitAfter, MergeAfter time.Duration
	// ReuseAfter is how long the number of a merged range stays unused, so that
	// no VM with an older configuration sends the former key's requests to it.
	ReuseAfter time.Duration
	// MaxHotKeys is the maximum number of ranges of hot keys.
	MaxHotKeys int
}

// DefaultHotKeyConfig returns thresholds for keys that become hot within seconds
// and change within minutes. MaxHotKeys covers the 650 hottest keys at the target
// scale.
func DefaultHotKeyConfig(ranges int) HotKeyConfig {
	return HotKeyConfig{
		Ranges: ranges, SplitShare: 0.1, MergeShare: 0.05,
		SplitAfter: 2 * time.Second, MergeAfter: 30 * time.Second, ReuseAfter: 10 * time.Second, MaxHotKeys: 1024,
	}
}

// KeyLoad is the measured load of a key as a share of the capacity of its
// upstream.
type KeyLoad struct {
	Key   string
	Share float64
}

// HotKeyChange gives a key a range of its own (Split), or merges that range back
// into the ordinary range of the key. A new range initially has the owner of the
// key's ordinary range, so a split moves no key; before a merge the range must be
// moved to that owner.
type HotKeyChange struct {
	Key   string
	Range int
	Split bool
}

// HotKeys decides which keys have a range of their own.
type HotKeys struct {
	cfg        HotKeyConfig
	hot        map[string]*hotKey
	candidates map[string]time.Duration // since when keys not yet split are above SplitShare
	// ranges holds the state of each range number of the shard, in ascending order.
	ranges []hotRange
}

type hotKey struct {
	id         int
	belowMerge bool          // the share is below MergeShare
	belowSince time.Duration // if belowMerge
}

type hotRange struct {
	used  bool
	freed time.Duration
	fresh bool // never used
}

// NewHotKeys returns a HotKeys without hot keys.
func NewHotKeys(cfg HotKeyConfig) *HotKeys {
	return &HotKeys{cfg: cfg, hot: map[string]*hotKey{}, candidates: map[string]time.Duration{}}
}

// Restore adopts the hot keys of an earlier holder, with their ranges. Entries
// with an ordinary range or one of another shard are ignored.
func (h *HotKeys) Restore(now time.Duration, ranges map[string]int) {
	for key, id := range ranges {
		i := h.position(id)
		if i < 0 {
			continue
		}
		h.hot[key] = &hotKey{id: id, belowMerge: true, belowSince: now}
		h.rangeAt(i).used = true
	}
}

// Ranges returns the range of every hot key.
func (h *HotKeys) Ranges() map[string]int {
	out := make(map[string]int, len(h.hot))
	for key, k := range h.hot {
		out[key] = k.id
	}
	return out
}

// Observe updates the hot keys with the loads of the most loaded keys, at regular
// intervals. A key that is not listed has no load. It returns merges, then splits,
// the hottest key first.
func (h *HotKeys) Observe(now time.Duration, loads []KeyLoad) []HotKeyChange {
	sorted := slices.Clone(loads)
	slices.SortFunc(sorted, func(x, y KeyLoad) int {
		return cmp.Or(cmp.Compare(y.Share, x.Share), cmp.Compare(x.Key, y.Key))
	})
	return append(h.merge(now, sorted), h.split(now, sorted)...)
}

func (h *HotKeys) merge(now time.Duration, loads []KeyLoad) []HotKeyChange {
	share := make(map[string]float64, len(loads))
	for _, l := range loads {
		share[l.Key] = max(share[l.Key], l.Share)
	}
	var changes []HotKeyChange
	for key, k := range h.hot {
		if share[key] >= h.cfg.MergeShare {
			k.belowMerge = false
			continue
		}
		if !k.belowMerge {
			k.belowMerge, k.belowSince = true, now
		}
		if now-k.belowSince >= h.cfg.MergeAfter {
			changes = append(changes, HotKeyChange{Key: key, Range: k.id})
		}
	}
	slices.SortFunc(changes, func(x, y HotKeyChange) int { return cmp.Compare(x.Range, y.Range) })
	for _, c := range changes {
		delete(h.hot, c.Key)
		*h.rangeAt(h.position(c.Range)) = hotRange{freed: now}
	}
	return changes
}

func (h *HotKeys) split(now time.Duration, loads []KeyLoad) []HotKeyChange {
	candidates := map[string]time.Duration{}
	var changes []HotKeyChange
	for _, l := range loads {
		if l.Share <= h.cfg.SplitShare {
			break
		}
		if h.hot[l.Key] != nil {
			continue
		}
		since, known := h.candidates[l.Key]
		if !known {
			since = now
		}
		if now-since >= h.cfg.SplitAfter {
			if id, ok := h.allocate(now); ok {
				h.hot[l.Key] = &hotKey{id: id}
				changes = append(changes, HotKeyChange{Key: l.Key, Range: id, Split: true})
				continue
			}
		}
		candidates[l.Key] = since
	}
	h.candidates = candidates
	return changes
}

// allocate returns the lowest free range number.
func (h *HotKeys) allocate(now time.Duration) (int, bool) {
	if len(h.hot) >= h.cfg.MaxHotKeys {
		return 0, false
	}
	for i := range h.ranges {
		if s := &h.ranges[i]; !s.used && (s.fresh || now-s.freed >= h.cfg.ReuseAfter) {
			s.used = true
			return h.number(i), true
		}
	}
	i := len(h.ranges)
	h.rangeAt(i).used = true
	return h.number(i), true
}

// number returns the range number at a position of ranges.
func (h *HotKeys) number(i int) int { return h.cfg.Ranges + h.cfg.Shard + i*max(h.cfg.Shards, 1) }

// position returns the position of a range number in ranges, or -1 if the number
// belongs to another shard or to an ordinary range.
func (h *HotKeys) position(id int) int {
	offset, step := id-h.cfg.Ranges-h.cfg.Shard, max(h.cfg.Shards, 1)
	if offset < 0 || offset%step != 0 {
		return -1
	}
	return offset / step
}

// rangeAt returns the state at a position, adding unused numbers before it.
func (h *HotKeys) rangeAt(i int) *hotRange {
	for len(h.ranges) <= i {
		h.ranges = append(h.ranges, hotRange{fresh: true})
	}
	return &h.ranges[i]
}

// Package hotkeys finds the keys of a shard with the highest request rates in
// bounded memory, by the space-saving algorithm with exponentially decaying counts.
package hotkeys

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// Config configures a Sketch.
type Config struct {
	// Counters is the maximum number of keys that are counted at a time. A key whose
	// share of the recent requests exceeds 1/Counters is always among them.
	Counters int
	// HalfLife is the time after which a request counts half.
	HalfLife time.Duration
	// MaxKeyBytes is the maximum length of a key that is counted.
	MaxKeyBytes int
}

// DefaultConfig returns a configuration that finds a key with 0.4% of the requests.
// The half-life follows a key that becomes hot within seconds, and averages over
// enough requests that noise does not take a rate near a threshold across it.
func DefaultConfig() Config {
	return Config{Counters: 256, HalfLife: 3 * time.Second, MaxKeyBytes: 512}
}

// Rate is the request rate of a key. PerSecond is a lower bound: it counts only
// requests that are certainly for the key.
type Rate struct {
	Key       string
	PerSecond float64
}

// Sketch counts the requests of the most frequent keys by the space-saving
// algorithm of Metwally, Agrawal and El Abbadi, with decaying counts. It is not safe
// for concurrent use.
type Sketch struct {
	cfg     Config
	byKey   map[string]*counter
	heap    counters
	at      time.Duration
	elapsed float64 // the decayed time since the start, in seconds
}

// counter is the count of one key. A key that replaces another one inherits its
// count, which is the maximum error err.
type counter struct {
	key       string
	count     float64
	err       float64
	heapIndex int
}

// New returns an empty sketch.
func New(cfg Config, now time.Duration) *Sketch {
	return &Sketch{cfg: cfg, byKey: make(map[string]*counter, cfg.Counters), at: now}
}

// Add counts one request for a key.
func (s *Sketch) Add(key string) {
	if key == "" || len(key) > s.cfg.MaxKeyBytes {
		return
	}
	if c := s.byKey[key]; c != nil {
		c.count++
		heap.Fix(&s.heap, c.heapIndex)
		return
	}
	if len(s.heap) < s.cfg.Counters {
		c := &counter{key: key, count: 1}
		s.byKey[key] = c
		heap.Push(&s.heap, c)
		return
	}
	c := s.heap[0]
	delete(s.byKey, c.key)
	c.key, c.err, c.count = key, c.count, c.count+1
	s.byKey[key] = c
	heap.Fix(&s.heap, 0)
}

// Advance decays all counts to now. Call it at regular intervals that are short
// compared with the half-life.
func (s *Sketch) Advance(now time.Duration) {
	passed := (now - s.at).Seconds()
	if passed <= 0 {
		return
	}
	s.at = now
	factor := math.Exp2(-passed / s.cfg.HalfLife.Seconds())
	s.elapsed = (s.elapsed + passed) * factor
	for _, c := range s.heap { // a common factor keeps the order of the heap
		c.count *= factor
		c.err *= factor
	}
}

// Rates returns the keys with at least the given rate, the highest first.
func (s *Sketch) Rates(least float64) []Rate {
	if s.elapsed <= 0 {
		return nil
	}
	var out []Rate
	for _, c := range s.heap {
		if r := (c.count - c.err) / s.elapsed; r >= least {
			out = append(out, Rate{c.key, r})
		}
	}
	slices.SortFunc(out, func(x, y Rate) int {
		return cmp.Or(cmp.Compare(y.PerSecond, x.PerSecond), cmp.Compare(x.Key, y.Key))
	})
	return out
}

// counters is a heap with the lowest count first.
type counters []*counter

// Len implements heap.Interface.
func (h counters) Len() int { return len(h) }

// Less implements heap.Interface.
func (h counters) Less(i, j int) bool { return h[i].count < h[j].count }

// Swap implements heap.Interface.
func (h counters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *counters) Push(x any) {
	c := x.(*counter)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *counters) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

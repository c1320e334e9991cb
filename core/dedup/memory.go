// Package dedup remembers the IDs of requests that may not be repeated, so that
// each runs at most once. An ID is a UUID version 7; its embedded time decides
// which IDs the memory must contain, so an ID that was forgotten, or lost with
// an earlier holder, is never run again.
package dedup

import (
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/defaults"
)

// Config holds the limits of a Table.
type Config struct {
	// ClockSkew covers the clock errors of callers and VMs.
	ClockSkew time.Duration
	// Retention is how long an ID is kept.
	Retention time.Duration
	// Capacity is the greatest number of IDs.
	Capacity int
	// BodyLimit is the size of the largest body that is kept.
	BodyLimit int
	// BodyBytes bounds all kept bodies together. Beyond it the oldest are dropped.
	BodyBytes int64
}

// DefaultConfig returns the limits of section 7.2 of the design page.
func DefaultConfig() Config {
	return Config{
		ClockSkew: 500 * time.Millisecond,
		Retention: 10 * time.Minute,
		Capacity:  1_000_000,
		BodyLimit: 64 << 10,
		// Without this bound a full memory of 64 KiB bodies would need 61 GiB.
		BodyBytes: 256 << 20,
	}
}

// Action says what to do with a request.
type Action int

const (
	// Run asks the caller to run the request and to call Finish.
	Run Action = iota
	// Wait means that a run is in progress, whose outcome answers this request too.
	Wait
	// Recorded means that Answer is the answer of the run.
	Recorded
	// Refuse means that the request must not run; Refusal says why.
	Refuse
)

// Answer is the recorded answer of a run. The body must not be changed.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// BodyDropped means that the body was too large to keep.
	BodyDropped bool `json:"body_dropped"`
}

// Decision is the result of Begin.
type Decision struct {
	Action  Action
	Answer  *Answer
	Refusal *api.Refusal
}

// Result is how a run ended.
type Result struct {
	Outcome api.Outcome
	Answer  *Answer
}

type state uint8

const (
	running state = iota
	// inherited is a run of an earlier holder, whose outcome is not known here.
	inherited
	done
)

// none is the index of no entry.
const none = -1

// entry is one ID. Entries form a list in the order of Begin by their indexes.
type entry struct {
	id         ID
	expires    int64 // nanoseconds since 1970
	result     *result
	prev, next int32
	state      state
}

// result is the end of a run. A nil answer stands for an unknown outcome.
// Results with a body form a list in the order of Finish.
type result struct {
	answer     *Answer
	prev, next *result
}

// Table is the memory of one shard. It is not safe for concurrent use.
type Table struct {
	cfg         Config
	start       int64 // nanoseconds since 1970
	latest      int64 // latest wall time seen; a clock set back must not revive IDs
	index       map[ID]int32
	entries     []entry
	free        int32
	first, last int32
	oldest      *result
	newest      *result
	bytes       int64
}

// New returns an empty memory that knows nothing of the time before start.
func New(cfg Config, start time.Time) *Table {
	def := DefaultConfig()
	defaults.Positive(&cfg.ClockSkew, def.ClockSkew)
	defaults.Positive(&cfg.Retention, def.Retention)
	defaults.Positive(&cfg.Capacity, def.Capacity)
	defaults.Positive(&cfg.BodyLimit, def.BodyLimit)
	defaults.Positive(&cfg.BodyBytes, def.BodyBytes)
	return &Table{
		cfg: cfg, start: start.UnixNano(), latest: start.UnixNano(),
		index: map[ID]int32{}, free: none, first: none, last: none,
	}
}

// Begin decides about a request with the given ID. After Run the caller calls
// Finish exactly once.
func (m *Table) Begin(wall time.Time, text string) Decision {
	id, err := ParseID(text)
	if err != nil {
		return refuse(api.Refuse(api.InvalidID, err.Error()))
	}
	m.advance(wall)
	if i, ok := m.index[id]; ok {
		return m.known(&m.entries[i])
	}
	if id.UnixMilli() > wall.Add(m.cfg.ClockSkew).UnixMilli() {
		return refuse(api.Refuse(api.InvalidID, "request ID is dated in the future"))
	}
	horizon := max(m.start, m.latest-int64(m.cfg.Retention)) + int64(m.cfg.ClockSkew)
	if id.UnixMilli()*int64(time.Millisecond) < horizon {
		return refuse(api.Refuse(api.ForgottenID, "request ID is older than the memory of IDs"))
	}
	if len(m.index) >= m.cfg.Capacity {
		return refuse(api.Refuse(api.IDCapacity, "memory of request IDs is full").WithRetryAfter(m.untilRoom()))
	}
	m.add(entry{id: id, expires: m.latest + int64(m.cfg.Retention), state: running})
	return Decision{Action: Run}
}

func refuse(refusal *api.Refusal) Decision { return Decision{Action: Refuse, Refusal: refusal} }

// known decides about an ID that is in memory.
func (m *Table) known(e *entry) Decision {
	switch {
	case e.state == running:
		return Decision{Action: Wait}
	case e.state == inherited:
		return refuse(api.Refuse(api.DuplicateRunning, "request was running when the shard moved to this VM"))
	case e.result.answer == nil:
		return refuse(api.Refuse(api.UpstreamFailed, "an earlier run of this request ID ended with an unknown outcome"))
	default:
		return Decision{Action: Recorded, Answer: e.result.answer}
	}
}

// untilRoom returns the time until the oldest ID expires.
func (m *Table) untilRoom() time.Duration {
	if m.first == none {
		return 0
	}
	return max(time.Second, time.Duration(m.entries[m.first].expires-m.latest))
}

// Finish records the end of a run. A not-run end removes the ID. An answer that
// arrives after an unknown end replaces it; any other second end is ignored.
func (m *Table) Finish(wall time.Time, text string, end Result) {
	id, err := ParseID(text)
	if err != nil {
		return
	}
	m.advance(wall)
	i, ok := m.index[id]
	if !ok {
		return
	}
	e := &m.entries[i]
	if e.state == done && (e.result.answer != nil || end.Outcome != api.Answered) {
		return
	}
	if end.Outcome == api.NotRun {
		m.remove(i)
		return
	}
	e.state = done
	e.result = &result{}
	if end.Outcome == api.Answered {
		e.result.answer = &Answer{}
		if end.Answer != nil {
			*e.result.answer = *end.Answer
		}
		m.keepBody(e.result)
	}
}

// Len returns the number of IDs kept.
func (m *Table) Len() int { return len(m.index) }

// BodyBytes returns the size of all kept bodies.
func (m *Table) BodyBytes() int64 { return m.bytes }

// Package dedup deduplicates requests by ID, so that each runs at most once. An
// ID is a UUID version 7. Its embedded time shows whether the table of IDs would
// contain it, so an ID that expired, or was lost with an earlier holder, is
// refused and never run again.
package dedup

import (
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/defaults"
)

// Config holds the limits of a Table.
type Config struct {
	// ClockSkew is the maximum difference between the clocks of callers and VMs.
	ClockSkew time.Duration
	// Retention is how long an ID is kept.
	Retention time.Duration
	// Capacity is the maximum number of IDs.
	Capacity int
	// MaxBodyBytes is the size of the largest body that is kept.
	MaxBodyBytes int
	// MaxTotalBodyBytes bounds the total size of kept bodies. Beyond it the oldest are dropped.
	MaxTotalBodyBytes int64
}

// DefaultConfig returns the limits of section 7.2 of the design page.
func DefaultConfig() Config {
	return Config{
		ClockSkew:    500 * time.Millisecond,
		Retention:    10 * time.Minute,
		Capacity:     1_000_000,
		MaxBodyBytes: 64 << 10,
		// Without this bound a full table with bodies of 64 KiB would need 61 GiB.
		MaxTotalBodyBytes: 256 << 20,
	}
}

// Action says what to do with a request.
type Action int

const (
	// Run asks the caller to run the request and to call Finish.
	Run Action = iota
	// Wait means that a run is in progress, whose outcome also answers this request.
	Wait
	// Recorded means that Response is the response of the run.
	Recorded
	// Refuse means that the request must not run; Refusal says why.
	Refuse
)

// Response is the recorded response of a run. The body must not be changed.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// BodyDropped means that the body was not kept, see MaxBodyBytes and
	// MaxTotalBodyBytes.
	BodyDropped bool `json:"body_dropped"`
}

// Decision is the result of Begin.
type Decision struct {
	Action   Action
	Response *Response
	Refusal  *api.Refusal
}

// Result is how a run ended.
type Result struct {
	Outcome  api.Outcome
	Response *Response
}

type state uint8

const (
	running state = iota
	// inherited is a run of an earlier holder, with an outcome not known here.
	inherited
	done
)

// noEntry ends lists of entry indexes.
const noEntry = -1

// entry is the state of one ID. Entries are linked by index in the order of Begin.
type entry struct {
	id         ID
	expires    int64 // nanoseconds since 1970
	result     *storedResult
	prev, next int32
	state      state
}

// storedResult is the result of a run. A nil response means an unknown outcome.
// Results with a body are linked in the order of Finish.
type storedResult struct {
	response   *Response
	prev, next *storedResult
}

// Table is the deduplication table of one shard. It is not safe for concurrent use.
type Table struct {
	cfg         Config
	start       int64 // nanoseconds since 1970
	latest      int64 // latest wall time seen; a clock set back must not revive IDs
	index       map[ID]int32
	entries     []entry
	free        int32
	first, last int32
	oldestBody  *storedResult
	newestBody  *storedResult
	bodyBytes   int64
	budget      Budget // nil for no limit beyond the Config
}

// Budget is memory for kept bodies that tables share.
type Budget interface {
	// Take takes bytes and reports whether they were free.
	Take(bytes int64) bool
	Return(bytes int64)
}

// SetBudget sets the budget of kept bodies. The oldest ones that it has no room for are dropped.
func (t *Table) SetBudget(b Budget) {
	t.budget = b
	for t.oldestBody != nil && !b.Take(t.bodyBytes) {
		t.budget = nil // the dropped body has not been taken
		t.dropOldestBody()
		t.budget = b
	}
}

// DropBodies drops all kept bodies, and those of later results.
func (t *Table) DropBodies() {
	for t.oldestBody != nil {
		t.dropOldestBody()
	}
	t.cfg.MaxBodyBytes = 0
}

// New returns an empty table, which refuses IDs dated before start.
func New(cfg Config, start time.Time) *Table {
	def := DefaultConfig()
	defaults.Positive(&cfg.ClockSkew, def.ClockSkew)
	defaults.Positive(&cfg.Retention, def.Retention)
	defaults.Positive(&cfg.Capacity, def.Capacity)
	defaults.Positive(&cfg.MaxBodyBytes, def.MaxBodyBytes)
	defaults.Positive(&cfg.MaxTotalBodyBytes, def.MaxTotalBodyBytes)
	return &Table{
		cfg: cfg, start: start.UnixNano(), latest: start.UnixNano(),
		index: map[ID]int32{}, free: noEntry, first: noEntry, last: noEntry,
	}
}

// Begin decides about a request with the given ID. After Run the caller must call
// Finish exactly once.
func (t *Table) Begin(wall time.Time, text string) Decision {
	id, err := ParseID(text)
	if err != nil {
		return refuse(api.Refuse(api.InvalidID, err.Error()))
	}
	t.advance(wall)
	if i, ok := t.index[id]; ok {
		return t.decideKnown(&t.entries[i])
	}
	if id.UnixMilli() > wall.Add(t.cfg.ClockSkew).UnixMilli() {
		return refuse(api.Refuse(api.InvalidID, "request ID is dated in the future"))
	}
	horizon := max(t.start, t.latest-int64(t.cfg.Retention)) + int64(t.cfg.ClockSkew)
	if id.UnixMilli()*int64(time.Millisecond) < horizon {
		return refuse(api.Refuse(api.ForgottenID, "request ID is older than the table of IDs"))
	}
	if len(t.index) >= t.cfg.Capacity {
		return refuse(api.Refuse(api.IDCapacity, "table of request IDs is full").WithRetryAfter(t.untilFirstExpiry()))
	}
	t.add(entry{id: id, expires: t.latest + int64(t.cfg.Retention), state: running})
	return Decision{Action: Run}
}

func refuse(refusal *api.Refusal) Decision { return Decision{Action: Refuse, Refusal: refusal} }

// decideKnown decides about an ID that is in the table.
func (t *Table) decideKnown(e *entry) Decision {
	switch {
	case e.state == running:
		return Decision{Action: Wait}
	case e.state == inherited:
		return refuse(api.Refuse(api.DuplicateRunning, "request was running when the shard moved to this VM"))
	case e.result.response == nil:
		return refuse(api.Refuse(api.UpstreamFailed, "an earlier run of this request ID ended with an unknown outcome"))
	default:
		return Decision{Action: Recorded, Response: e.result.response}
	}
}

// untilFirstExpiry returns the time until the oldest ID expires.
func (t *Table) untilFirstExpiry() time.Duration {
	if t.first == noEntry {
		return 0
	}
	return max(time.Second, time.Duration(t.entries[t.first].expires-t.latest))
}

// Finish records the result of a run. The outcome NotRun removes the ID. A
// response after an unknown outcome replaces it; any other second result is ignored.
func (t *Table) Finish(wall time.Time, text string, result Result) {
	id, err := ParseID(text)
	if err != nil {
		return
	}
	t.advance(wall)
	i, ok := t.index[id]
	if !ok {
		return
	}
	e := &t.entries[i]
	if e.state == done && (e.result.response != nil || result.Outcome != api.Answered) {
		return
	}
	if result.Outcome == api.NotRun {
		t.remove(i)
		return
	}
	e.state = done
	e.result = &storedResult{}
	if result.Outcome == api.Answered {
		e.result.response = &Response{}
		if result.Response != nil {
			*e.result.response = *result.Response
		}
		t.keepBody(e.result)
	}
}

// Len returns the number of IDs kept.
func (t *Table) Len() int { return len(t.index) }

// BodyBytes returns the size of all kept bodies.
func (t *Table) BodyBytes() int64 { return t.bodyBytes }

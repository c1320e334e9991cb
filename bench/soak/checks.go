package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
)

// Bounds of the promises, from the users' pages.
const (
	applyLimit    = 2 * time.Second // from the acknowledgement of a configuration
	evacuateLimit = 5 * time.Second // from the acknowledgement of an evacuation
	rollbackSlack = 250 * time.Millisecond
	// answerSlack is how long after its deadline a request may get its answer.
	answerSlack = 500 * time.Millisecond
	// crossing is how long after its start a request may meet the end of the
	// connection that a stopping VM closes.
	crossing = 200 * time.Millisecond
	// thawSlack is how long after a pause an upstream may take orders that waited for
	// it. Upstreams count a lease from the arrival of its order; the stand-in cannot
	// tell when that was.
	thawSlack = 300 * time.Millisecond
	// reaction is how long before a request a fault may have ended that still affects it.
	reaction = 2 * time.Second
)

// recorded is an event of one process of an upstream.
type recorded struct {
	Upstream, Domain string
	Life             int
	upstreamEvent
}

// change is something that operators did, acknowledged at At.
type change struct {
	At      time.Duration
	Service string // of plainPath, for a configuration
	Domain  string // taken out or back
	Out     bool
}

// history is what callers, upstreams and operators saw. It may be used concurrently.
type history struct {
	mu      sync.Mutex
	log     []recorded
	calls   []call
	changes []change
}

func (h *history) add(e recorded) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log = append(h.log, e)
}

// events returns a reader of the lines of an upstream.
func (h *history) events(upstream, domain string) func(int, []byte) {
	return func(life int, line []byte) {
		e := recorded{Upstream: upstream, Domain: domain, Life: life}
		if err := json.Unmarshal(line, &e.upstreamEvent); err != nil {
			return // the last line of a process that was killed
		}
		h.add(e)
	}
}

func (h *history) ended(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

func (h *history) changed(c change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, c)
}

// conditions is what the soak did to the processes.
type conditions struct {
	// Down, Stopping and Paused are by VM.
	Down, Stopping, Paused map[string][]span
	// Ended is when the processes of upstreams ended, by ID.
	Ended map[string][]span
	// UpstreamPaused is by ID.
	UpstreamPaused map[string][]span
	// Away is when a VM did not reach the store, or the store misbehaved.
	Away map[string][]span
	// Stalls is when the soak itself did not run.
	Stalls []span
	// Begun is when the run began.
	Begun time.Duration
}

// snapshot copies the history so far.
func (h *history) snapshot() (events []recorded, calls []call, changes []change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]recorded(nil), h.log...), append([]call(nil), h.calls...), append([]change(nil), h.changes...)
}

// check returns what breaks a promise.
func (h *history) check(c conditions) []string {
	events, calls, changes := h.snapshot()
	var found []string
	found = append(found, twoOwners(events, c)...)
	runs := make(map[string]int) // by request ID
	for _, e := range events {
		if e.Kind == fakes.EventRun {
			runs[e.Run.RequestID]++
		}
	}
	found = append(found, untrueOutcomes(runs, calls)...)
	found = append(found, answers(runs, calls, c)...)
	found = append(found, configurations(calls, changes, c)...)
	found = append(found, evacuations(events, calls, changes, c)...)
	return found
}

// holding is a time in which a process of an upstream held keys.
type holding struct {
	recorded
	until time.Duration
}

// twoOwners finds keys that two processes held at once.
func twoOwners(events []recorded, c conditions) (found []string) {
	var open []holding
	for _, e := range sortedEvents(events) {
		if e.Kind != fakes.EventHeld && e.Kind != fakes.EventReleased {
			continue
		}
		if e.Kind == fakes.EventHeld && overlaps(c.UpstreamPaused[e.Upstream], e.At-thawSlack, e.At+1) {
			continue
		}
		kept := open[:0]
		for _, o := range open {
			if o.until <= e.At || endedSince(c.Ended[o.Upstream], o.At, e.At) {
				continue
			}
			if o.Upstream == e.Upstream && o.Life == e.Life && o.First >= e.First && o.Last <= e.Last {
				continue // renewed or released
			}
			kept = append(kept, o)
			if e.Kind == fakes.EventHeld && (o.Upstream != e.Upstream || o.Life != e.Life) && o.First <= e.Last && e.First <= o.Last {
				found = append(found, fmt.Sprintf("two owners: %s got keys %d to %d at %v while %s, at %v, got %d to %d until %v later",
					e.Upstream, e.First, e.Last, e.At-c.Begun, o.Upstream, o.At-c.Begun, o.First, o.Last, o.until-e.At))
			}
			if e.Kind == fakes.EventReleased && o.Upstream == e.Upstream && o.Life == e.Life && o.First <= e.Last && e.First <= o.Last {
				// The rest of a longer span stays.
				kept = append(kept[:len(kept)-1], without(o, e.First, e.Last)...)
			}
		}
		open = kept
		if e.Kind == fakes.EventHeld {
			open = append(open, holding{recorded: e, until: e.At + time.Duration(e.HoldSeconds*float64(time.Second))})
		}
	}
	return found
}

func without(o holding, first, last int) (rest []holding) {
	if o.First < first {
		left := o
		left.Last = first - 1
		rest = append(rest, left)
	}
	if o.Last > last {
		right := o
		right.First = last + 1
		rest = append(rest, right)
	}
	return rest
}

// endedSince reports whether a process that lived at from has ended by to.
func endedSince(down []span, from, to time.Duration) bool {
	for _, d := range down {
		if d.From >= from && d.From <= to {
			return true
		}
	}
	return false
}

func sortedEvents(events []recorded) []recorded {
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events
}

// untrueOutcomes finds second runs of requests that may run once, and runs of requests that
// were refused as not run.
func untrueOutcomes(runs map[string]int, calls []call) (found []string) {
	for i := range calls {
		c := &calls[i]
		if !c.repeatable() && runs[c.ID] > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", c.ID, runs[c.ID]))
		}
		refused := c.Status == http.StatusServiceUnavailable || c.Status == http.StatusNotFound || c.Status == http.StatusTooManyRequests
		if refused && runs[c.ID] > 0 {
			found = append(found, fmt.Sprintf("%s was refused as not run (%d) and ran", c.ID, c.Status))
		}
	}
	return found
}

// answers finds requests without an answer, with a late one or with another's.
func answers(runs map[string]int, calls []call, c conditions) (found []string) {
	for _, each := range calls {
		vm := each.VM
		switch {
		case each.Status == http.StatusOK && !strings.HasSuffix(each.Body, " ran "+each.ID):
			found = append(found, fmt.Sprintf("%s got the answer %q", each.ID, each.Body))
		case overlaps(c.Down[vm], each.Sent, each.Ended+crossing), overlaps(c.Paused[vm], each.Sent-reaction, each.Ended), overlaps(c.Stalls, each.Sent, each.Ended):
		case each.Err != nil && errors.Is(each.Err, syscall.ECONNREFUSED) && overlaps(c.Stopping[vm], each.Sent, each.Ended+crossing):
		case each.Err != nil && runs[each.ID] == 0 && each.Ended-each.Sent < crossing && overlaps(c.Stopping[vm], each.Sent, each.Ended+crossing):
		case each.Err != nil:
			found = append(found, fmt.Sprintf("%s to %s got no answer after %v: %v", each.ID, vm, each.Ended-each.Sent, each.Err))
		case each.Ended-each.Sent > requestLimit+answerSlack:
			found = append(found, fmt.Sprintf("%s to %s got its answer after %v", each.ID, vm, each.Ended-each.Sent))
		}
	}
	return found
}

// configurations finds requests that were handled by a configuration that was
// replaced, and VMs that went back to one.
func configurations(calls []call, changes []change, c conditions) (found []string) {
	var put []change
	for _, each := range changes {
		if each.Service != "" {
			put = append(put, each)
		}
	}
	if len(put) == 0 {
		return nil
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].Sent < calls[j].Sent })
	shown := make(map[string][]version) // by VM, in the order of their ends
	for _, each := range calls {
		if each.Key >= 0 || each.Status != http.StatusOK {
			continue
		}
		floor := 0
		for _, v := range shown[each.VM] {
			if each.Sent > v.at+rollbackSlack && !overlaps(c.Down[each.VM], v.at, each.Ended) {
				floor = max(floor, v.number)
			}
		}
		due := 0
		for i, p := range put {
			if p.At+applyLimit < each.Sent && !overlaps(c.Away[each.VM], p.At-reaction, each.Sent) && !overlaps(c.Paused[each.VM], p.At, each.Sent) {
				due = i
			}
		}
		first, newest := -1, -1 // the versions from floor on that explain the answer
		for i, p := range put {
			if p.Service == each.Service && p.At <= each.Ended+rollbackSlack {
				newest = i
				if first < 0 && i >= floor {
					first = i
				}
			}
		}
		switch {
		case newest < floor:
			found = append(found, fmt.Sprintf("%s on %s was handled by version %d after version %d", each.ID, each.VM, newest, floor))
		case newest < due && !overlaps(c.Stalls, each.Sent-applyLimit, each.Sent):
			found = append(found, fmt.Sprintf("%s on %s was handled by version %d although %d was due", each.ID, each.VM, newest, due))
		default:
			shown[each.VM] = append(shown[each.VM], version{number: first, at: each.Ended})
		}
	}
	return found
}

// version is one that a VM has shown by an answer that ended at a time.
type version struct {
	number int
	at     time.Duration
}

// evacuations finds requests that were sent to a domain that was out.
func evacuations(events []recorded, calls []call, changes []change, c conditions) (found []string) {
	sentBy := make(map[string]*call)
	for i := range calls {
		sentBy[calls[i].ID] = &calls[i]
	}
	for i, out := range changes {
		if !out.Out {
			continue
		}
		back := time.Duration(1<<63 - 1)
		for _, later := range changes[i+1:] {
			if later.Domain == out.Domain {
				back = later.At
				break
			}
		}
		for _, e := range events {
			if e.Kind != fakes.EventRun || e.Domain != out.Domain || e.At < out.At+evacuateLimit || e.At > back {
				continue
			}
			sent := sentBy[e.Run.RequestID]
			if sent == nil || overlaps(c.Away[sent.VM], out.At-reaction, e.At) || overlaps(c.Paused[sent.VM], out.At, e.At) {
				continue
			}
			found = append(found, fmt.Sprintf("%s ran on %s in %s %v after it was taken out", sent.ID, e.Upstream, e.Domain, e.At-out.At))
		}
	}
	return found
}

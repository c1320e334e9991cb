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

// Bounds of the guarantees, from the users' documentation.
const (
	maxApplyTime      = 2 * time.Second // from the acknowledgement of a configuration
	maxEvacuationTime = 5 * time.Second // from the acknowledgement of an evacuation
	rollbackSlack     = 250 * time.Millisecond
	// responseSlack is how long after its deadline a request may get its response.
	responseSlack = 500 * time.Millisecond
	// closeRaceWindow is how long after it was sent a request may fail because a stopping
	// VM closes its connection.
	closeRaceWindow = 200 * time.Millisecond
	// resumeSlack is how long after a pause an upstream may process grant calls that were
	// queued during it. Upstreams count a lease from the arrival of its call, but the fake
	// cannot tell when a queued call arrived.
	resumeSlack = 300 * time.Millisecond
	// faultEffectTime is how long after its end a fault may still affect requests.
	faultEffectTime = 2 * time.Second
)

// recordedEvent is an event of one incarnation of an upstream.
type recordedEvent struct {
	Upstream, Domain string
	Incarnation      int
	sender           *sender       // of a grant
	arrived          time.Duration // when a grant reached the upstream, which may have taken it later
	upstreamEvent
}

// change is an operator's change that was acknowledged at At.
type change struct {
	At      time.Duration
	Service string // for a configuration: the service of unkeyedPath
	Domain  string // for an evacuation: the failure domain taken out or back in
	Out     bool
}

// history records what callers, upstreams and operators observe. It is safe for
// concurrent use.
type history struct {
	mu      sync.Mutex
	events  []recordedEvent
	calls   []call
	changes []change
}

func (h *history) addEvent(e recordedEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// lineHandler returns a function that records the events of an upstream's output; senderAt
// returns the sender at a remote address.
func (h *history) lineHandler(upstream, domain string, senderAt func(address string) *sender) func(int, []byte) {
	return func(incarnation int, line []byte) {
		e := recordedEvent{Upstream: upstream, Domain: domain, Incarnation: incarnation}
		if err := json.Unmarshal(line, &e.upstreamEvent); err != nil {
			return // the incomplete last line of a killed process
		}
		if e.Kind == fakes.EventHeld {
			e.sender = senderAt(e.Sender)
			e.arrived = e.sender.arrival(e.At)
		}
		h.addEvent(e)
	}
}

func (h *history) addCall(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

func (h *history) addChange(c change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, c)
}

// conditions holds the times of faults and other conditions that excuse failures.
type conditions struct {
	// Down, Stopping and Paused are the states of VMs, by name.
	Down, Stopping, Paused map[string][]span
	// Ended is when the processes of upstreams were not running, by ID.
	Ended map[string][]span
	// UpstreamPaused is when upstreams were paused, by ID.
	UpstreamPaused map[string][]span
	// LinkFaults is when the proxy of an upstream injected faults, by ID.
	LinkFaults map[string][]span
	// StoreFaults is when the store was unreachable or faulty, by VM.
	StoreFaults map[string][]span
	// Stalls is when this process did not run.
	Stalls []span
	// LoadStart is when the load started.
	LoadStart time.Duration
	// Keys are the keys of workspaces, empty if the deployment has none.
	Keys []apiKey
}

// snapshot copies the history so far.
func (h *history) snapshot() (events []recordedEvent, calls []call, changes []change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]recordedEvent(nil), h.events...), append([]call(nil), h.calls...), append([]change(nil), h.changes...)
}

// check returns the violations of guarantees.
func (h *history) check(c conditions) []string {
	events, calls, changes := h.snapshot()
	var found []string
	found = append(found, concurrentOwners(events, c)...)
	found = append(found, ownersBothBegin(events, c)...)
	found = append(found, lowFences(events, c)...)
	found = append(found, longSharedHolds(events, c)...)
	found = append(found, grantsDuringWork(events, c)...)
	runs := make(map[string]int) // by request ID
	for _, e := range events {
		if e.Kind == fakes.EventRun {
			runs[e.Run.RequestID]++
		}
	}
	found = append(found, wrongOutcomes(runs, calls)...)
	found = append(found, badResponses(runs, calls, c)...)
	found = append(found, staleConfigurations(calls, changes, c)...)
	found = append(found, checkWorkspaces(events, calls, c)...)
	found = append(found, runsInEvacuatedDomains(events, calls, changes, c)...)
	return found
}

// keyLease is an interval in which one incarnation of an upstream holds keys.
type keyLease struct {
	recordedEvent
	expiry time.Duration
}

// concurrentOwners finds keys that two upstreams, or two incarnations of one, held at once.
func concurrentOwners(events []recordedEvent, c conditions) (found []string) {
	var leases []keyLease
	for _, e := range sortedEvents(events) {
		if e.Kind != fakes.EventHeld && e.Kind != fakes.EventReleased {
			continue
		}
		if e.Kind == fakes.EventHeld && overlaps(c.UpstreamPaused[e.Upstream], e.At-resumeSlack, e.At+1) {
			continue
		}
		remaining := leases[:0]
		for _, lease := range leases {
			if lease.expiry <= e.At || endedBetween(c.Ended[lease.Upstream], lease.At, e.At) {
				continue
			}
			if lease.Upstream == e.Upstream && lease.Incarnation == e.Incarnation && lease.First >= e.First && lease.Last <= e.Last {
				continue // renewed or released
			}
			remaining = append(remaining, lease)
			if e.Kind == fakes.EventHeld && (lease.Upstream != e.Upstream || lease.Incarnation != e.Incarnation) && lease.First <= e.Last && e.First <= lease.Last {
				found = append(found, fmt.Sprintf("two owners: %s got keys %d to %d at %v while %s, at %v, got %d to %d until %v later",
					e.Upstream, e.First, e.Last, e.At-c.LoadStart, lease.Upstream, lease.At-c.LoadStart, lease.First, lease.Last, lease.expiry-e.At))
			}
			if e.Kind == fakes.EventReleased && lease.Upstream == e.Upstream && lease.Incarnation == e.Incarnation && lease.First <= e.Last && e.First <= lease.Last {
				// Keys outside the released span stay held.
				remaining = append(remaining[:len(remaining)-1], subtractKeys(lease, e.First, e.Last)...)
			}
		}
		leases = remaining
		if e.Kind == fakes.EventHeld {
			leases = append(leases, keyLease{recordedEvent: e, expiry: e.At + time.Duration(e.HoldSeconds*float64(time.Second))})
		}
	}
	return found
}

func subtractKeys(lease keyLease, first, last int) (rest []keyLease) {
	if lease.First < first {
		below := lease
		below.Last = first - 1
		rest = append(rest, below)
	}
	if lease.Last > last {
		above := lease
		above.First = last + 1
		rest = append(rest, above)
	}
	return rest
}

// endedBetween reports whether a process that ran at from has exited by to.
func endedBetween(down []span, from, to time.Duration) bool {
	for _, d := range down {
		if d.From >= from && d.From <= to {
			return true
		}
	}
	return false
}

func sortedEvents(events []recordedEvent) []recordedEvent {
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events
}

// wrongOutcomes finds requests that are not idempotent and ran twice, and requests that
// were refused as not run but ran.
func wrongOutcomes(runs map[string]int, calls []call) (found []string) {
	for i := range calls {
		c := &calls[i]
		if !c.idempotent() && runs[c.ID] > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", c.ID, runs[c.ID]))
		}
		refused := c.Status == http.StatusServiceUnavailable || c.Status == http.StatusNotFound || c.Status == http.StatusTooManyRequests || c.Status == http.StatusUnauthorized
		if refused && runs[c.ID] > 0 {
			found = append(found, fmt.Sprintf("%s was refused as not run (%d) and ran", c.ID, c.Status))
		}
	}
	return found
}

// badResponses finds requests without a response, with a late one or with the response
// to another request.
func badResponses(runs map[string]int, calls []call, c conditions) (found []string) {
	for _, req := range calls {
		vm := req.VM
		switch {
		case req.Err == nil && req.Status == http.StatusOK && !strings.HasSuffix(req.Body, " ran "+req.ID), req.Large && req.complete() && len(req.Body) < largeBytes:
			found = append(found, fmt.Sprintf("%s got the response %q with %d bytes", req.ID, req.Body[:min(len(req.Body), 100)], len(req.Body)))
		case req.Large && req.Status == http.StatusOK:
			// A large response may be late, and may end early in a way that its caller sees.
		case overlaps(c.Down[vm], req.Sent, req.Ended+closeRaceWindow), overlaps(c.Paused[vm], req.Sent-faultEffectTime, req.Ended), overlaps(c.Stalls, req.Sent, req.Ended):
		case req.Err != nil && errors.Is(req.Err, syscall.ECONNREFUSED) && overlaps(c.Stopping[vm], req.Sent, req.Ended+closeRaceWindow):
		case req.Err != nil && runs[req.ID] == 0 && req.Ended-req.Sent < closeRaceWindow && overlaps(c.Stopping[vm], req.Sent, req.Ended+closeRaceWindow):
		case req.Err != nil:
			found = append(found, fmt.Sprintf("%s to %s got no response after %v: %v", req.ID, vm, req.Ended-req.Sent, req.Err))
		case req.Ended-req.Sent > requestTimeout+responseSlack:
			found = append(found, fmt.Sprintf("%s to %s got its response after %v", req.ID, vm, req.Ended-req.Sent))
		}
	}
	return found
}

// staleConfigurations finds requests that were routed by a configuration that should
// have been replaced, and VMs that reverted to an older configuration.
func staleConfigurations(calls []call, changes []change, c conditions) (found []string) {
	var configurations []change
	for _, ch := range changes {
		if ch.Service != "" {
			configurations = append(configurations, ch)
		}
	}
	if len(configurations) == 0 {
		return nil
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].Sent < calls[j].Sent })
	observed := make(map[string][]version) // by VM, in the order in which requests were sent
	for _, req := range calls {
		if req.Key >= 0 || req.Large || req.Status != http.StatusOK {
			continue
		}
		minVersion := 0
		for _, v := range observed[req.VM] {
			if req.Sent > v.receivedAt+rollbackSlack && !overlaps(c.Down[req.VM], v.receivedAt, req.Ended) {
				minVersion = max(minVersion, v.number)
			}
		}
		dueVersion := 0
		for i, p := range configurations {
			if p.At+maxApplyTime < req.Sent && !overlaps(c.StoreFaults[req.VM], p.At-faultEffectTime, req.Sent) && !overlaps(c.Paused[req.VM], p.At, req.Sent) {
				dueVersion = i
			}
		}
		oldest, newest := -1, -1 // of the versions that explain the response: the oldest from minVersion on, the newest
		for i, p := range configurations {
			if p.Service == req.Service && p.At <= req.Ended+rollbackSlack {
				newest = i
				if oldest < 0 && i >= minVersion {
					oldest = i
				}
			}
		}
		switch {
		case newest < minVersion:
			found = append(found, fmt.Sprintf("%s on %s was handled by version %d after version %d", req.ID, req.VM, newest, minVersion))
		case newest < dueVersion && !overlaps(c.Stalls, req.Sent-maxApplyTime, req.Sent):
			found = append(found, fmt.Sprintf("%s on %s was handled by version %d although %d was due", req.ID, req.VM, newest, dueVersion))
		default:
			observed[req.VM] = append(observed[req.VM], version{number: oldest, receivedAt: req.Ended})
		}
	}
	return found
}

// version is the index of a configuration that a VM used, and when the response arrived.
type version struct {
	number     int
	receivedAt time.Duration
}

// runsInEvacuatedDomains finds requests that ran in a failure domain after it was taken out.
func runsInEvacuatedDomains(events []recordedEvent, calls []call, changes []change, c conditions) (found []string) {
	callByID := make(map[string]*call)
	for i := range calls {
		callByID[calls[i].ID] = &calls[i]
	}
	for i, evacuation := range changes {
		if !evacuation.Out {
			continue
		}
		reinstated := time.Duration(1<<63 - 1)
		for _, later := range changes[i+1:] {
			if later.Domain == evacuation.Domain {
				reinstated = later.At
				break
			}
		}
		for _, e := range events {
			if e.Kind != fakes.EventRun || e.Domain != evacuation.Domain || e.At < evacuation.At+maxEvacuationTime || e.At > reinstated {
				continue
			}
			req := callByID[e.Run.RequestID]
			if req == nil || overlaps(c.StoreFaults[req.VM], evacuation.At-faultEffectTime, e.At) || overlaps(c.Paused[req.VM], evacuation.At, e.At) {
				continue
			}
			found = append(found, fmt.Sprintf("%s ran on %s in %s %v after it was taken out", req.ID, e.Upstream, e.Domain, e.At-evacuation.At))
		}
	}
	return found
}

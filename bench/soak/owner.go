package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
)

const (
	// thawSlack is how long after its sender was thawed or its link healed a grant does not
	// count, from the users' rules.
	thawSlack = 300 * time.Millisecond
	// maxSharedHold is how long two upstreams may hold the same keys if not both begin requests.
	maxSharedHold = 500 * time.Millisecond
	// lateTaken is how long a grant may wait for its upstream and still be taken in time.
	lateTaken = 100 * time.Millisecond
)

// owner is one incarnation of an upstream.
type owner struct {
	upstream    string
	incarnation int
}

func (e *recordedEvent) owner() owner { return owner{e.Upstream, e.Incarnation} }

// ended returns when the process of an event ended, or the largest time.
func (c *conditions) ended(e *recordedEvent) time.Duration {
	for _, down := range c.Ended[e.Upstream] {
		if down.From >= e.At {
			return down.From
		}
	}
	return time.Duration(1<<63 - 1)
}

// followsEnd reports whether a span ended at most thawSlack before at.
func followsEnd(spans []span, at time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.To != 0 && s.To <= at && at <= s.To+thawSlack })
}

// afterThaw reports whether a grant arrived so soon after its sender was thawed or its link
// healed that it does not count, even if the upstream took it later. Any VM may be the sender of a
// grant whose sender is unknown.
func (c *conditions) afterThaw(e *recordedEvent) bool {
	arrived := cmp.Or(e.arrived, e.At)
	if followsEnd(c.LinkFaults[e.Upstream], arrived) {
		return true
	}
	if vm := e.sender.name(); vm != "" {
		return followsEnd(c.Paused[vm], arrived)
	}
	for _, paused := range c.Paused {
		if followsEnd(paused, arrived) {
			return true
		}
	}
	return false
}

// heldUp reports whether a grant was held up on its way or taken late: it waited for a paused or
// busy upstream or behind a fault of the link, or the upstream took it long after it had arrived.
func (c *conditions) heldUp(e *recordedEvent) bool {
	return c.afterThaw(e) || overlaps(c.UpstreamPaused[e.Upstream], e.At-resumeSlack, e.At+1) ||
		overlaps(c.LinkFaults[e.Upstream], e.At-thawSlack, e.At+1) || time.Duration(e.WaitedSeconds*float64(time.Second)) > lateTaken ||
		e.arrived != 0 && e.At-e.arrived > lateTaken
}

// keySpan is a span of keys that no grant or release divides.
type keySpan struct{ first, last int }

// tenure is the time during which one owner holds a span of keys without a gap.
type tenure struct {
	owner
	keySpan
	from, to time.Duration
	fence    int64
}

// tenures returns the tenures of each span of keys, in the order in which they begin. Grants for
// which excused returns true do not lengthen a hold.
func tenures(events []recordedEvent, c *conditions, excused func(*recordedEvent) bool) (all [][]tenure) {
	bounds := []int{}
	for i := range events {
		if events[i].Kind == fakes.EventHeld || events[i].Kind == fakes.EventReleased {
			bounds = append(bounds, events[i].First, events[i].Last+1)
		}
	}
	slices.Sort(bounds)
	bounds = slices.Compact(bounds)
	if len(bounds) == 0 {
		return nil
	}
	all = make([][]tenure, len(bounds)-1)
	current := make([]map[owner]int, len(all)) // the last tenure of each owner
	for i := range events {
		e := &events[i]
		if e.Kind != fakes.EventHeld && e.Kind != fakes.EventReleased {
			continue
		}
		until, noted := e.At, e.Kind == fakes.EventReleased
		if e.Kind == fakes.EventHeld {
			until = min(e.At+time.Duration(e.HoldSeconds*float64(time.Second)), c.ended(e))
			noted = excused(e)
		}
		n, _ := slices.BinarySearch(bounds, e.First)
		for ; bounds[n] <= e.Last; n++ {
			last, ok := current[n][e.owner()]
			ok = ok && all[n][last].to >= e.At
			switch {
			case ok && noted:
				all[n][last].to = min(all[n][last].to, until)
			case ok:
				all[n][last].to, all[n][last].fence = until, e.Fence
			case !noted:
				if current[n] == nil {
					current[n] = make(map[owner]int)
				}
				current[n][e.owner()] = len(all[n])
				all[n] = append(all[n], tenure{e.owner(), keySpan{bounds[n], bounds[n+1] - 1}, e.At, until, e.Fence})
			}
		}
	}
	return all
}

// sharedHold is a time during which two owners hold the same span of keys.
type sharedHold struct {
	keySpan
	owners   [2]owner
	from, to time.Duration
}

func sharedHolds(all [][]tenure) (shared []sharedHold) {
	for _, ofSpan := range all {
		var open []tenure
		for _, t := range ofSpan {
			open = slices.DeleteFunc(open, func(o tenure) bool { return o.to <= t.from })
			for _, o := range open {
				if to := min(o.to, t.to); o.owner != t.owner && to > t.from {
					shared = append(shared, sharedHold{t.keySpan, [2]owner{o.owner, t.owner}, t.from, to})
				}
			}
			open = append(open, t)
		}
	}
	return shared
}

// ownersBothBegin finds keys that two upstreams held at the same time while both began requests
// on such keys.
func ownersBothBegin(events []recordedEvent, c conditions) (found []string) {
	events = sortedEvents(events)
	byOwners := make(map[[2]owner][]sharedHold)
	for _, s := range sharedHolds(tenures(events, &c, c.afterThaw)) {
		if a, b := s.owners[0], s.owners[1]; cmp.Or(cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.incarnation, b.incarnation)) > 0 {
			s.owners = [2]owner{b, a}
		}
		byOwners[s.owners] = append(byOwners[s.owners], s)
	}
	for owners, shared := range byOwners {
		sort.Slice(shared, func(i, j int) bool { return shared[i].from < shared[j].from })
		for len(shared) > 0 {
			// The shared holds of one time without a gap.
			n, to := 1, shared[0].to
			for ; n < len(shared) && shared[n].from <= to; n++ {
				to = max(to, shared[n].to)
			}
			runs := [2]*recordedEvent{firstRun(events, owners[0], shared[:n]), firstRun(events, owners[1], shared[:n])}
			if runs[0] != nil && runs[1] != nil {
				found = append(found, fmt.Sprintf("two owners begin requests: %s on key %d at %v and %s on key %d at %v, both hold keys %d to %d and %d other spans from %v to %v",
					owners[0].upstream, runs[0].Run.Key, runs[0].At-c.LoadStart, owners[1].upstream, runs[1].Run.Key, runs[1].At-c.LoadStart,
					shared[0].first, shared[0].last, n-1, shared[0].from-c.LoadStart, to-c.LoadStart))
			}
			shared = shared[n:]
		}
	}
	sort.Strings(found)
	return found
}

// firstRun returns the first request that an owner began on one of the shared keys.
func firstRun(events []recordedEvent, by owner, shared []sharedHold) *recordedEvent {
	for i := range events {
		e := &events[i]
		if e.Kind == fakes.EventRun && e.owner() == by && slices.ContainsFunc(shared, func(s sharedHold) bool {
			return s.from <= e.At && e.At < s.to && s.first <= e.Run.Key && e.Run.Key <= s.last
		}) {
			return e
		}
	}
	return nil
}

// lowFences finds grants whose fence is not above all with which other upstreams had a key, or is
// below one with which an earlier incarnation of the same had it: the renewal for an incarnation
// that has ended may reach the next one under the same ID, which callers cannot tell apart.
func lowFences(events []recordedEvent, c conditions) (found []string) {
	events = sortedEvents(events)
	type grant struct {
		fence int64
		*recordedEvent
	}
	highest := make(map[int][2]grant) // by key: the highest fence, and the highest of any other upstream
	bounds := []int{}
	for i := range events {
		if events[i].Kind == fakes.EventHeld {
			bounds = append(bounds, events[i].First, events[i].Last+1)
		}
	}
	slices.Sort(bounds)
	bounds = slices.Compact(bounds)
	for i := range events {
		e := &events[i]
		if e.Kind != fakes.EventHeld || c.afterThaw(e) {
			continue
		}
		reported := false
		n, _ := slices.BinarySearch(bounds, e.First)
		for ; bounds[n] <= e.Last; n++ {
			h := highest[bounds[n]]
			for _, had := range h {
				if had.recordedEvent == nil || reported || had.fence < e.Fence || had.fence == e.Fence && had.Upstream == e.Upstream {
					continue
				}
				reported = true
				found = append(found, fmt.Sprintf("low fence: %s got keys %d to %d at %v with fence %d, %s had key %d at %v with %d",
					e.Upstream, e.First, e.Last, e.At-c.LoadStart, e.Fence, had.Upstream, bounds[n], had.At-c.LoadStart, had.fence))
			}
			switch {
			case h[0].recordedEvent == nil || h[0].Upstream == e.Upstream:
				h[0] = grant{max(h[0].fence, e.Fence), e}
			case e.Fence > h[0].fence:
				h = [2]grant{{e.Fence, e}, h[0]}
			case h[1].recordedEvent == nil || h[1].Upstream == e.Upstream || e.Fence > h[1].fence:
				h[1] = grant{max(h[1].fence, e.Fence), e}
			}
			highest[bounds[n]] = h
		}
	}
	return found
}

// longSharedHolds finds keys that two upstreams held at the same time for over maxSharedHold.
func longSharedHolds(events []recordedEvent, c conditions) (found []string) {
	for _, s := range sharedHolds(tenures(sortedEvents(events), &c, c.heldUp)) {
		if s.to-s.from > maxSharedHold {
			found = append(found, fmt.Sprintf("two owners for %v: %s and %s held keys %d to %d from %v on",
				s.to-s.from, s.owners[0].upstream, s.owners[1].upstream, s.first, s.last, s.from-c.LoadStart))
		}
	}
	return found
}

// grantsDuringWork finds grants of keys on which another upstream was still at work before its
// hold would have run out.
func grantsDuringWork(events []recordedEvent, c conditions) (found []string) {
	events = sortedEvents(events)
	running := make(map[string]recordedEvent) // by upstream, incarnation and request
	var holds []keyLease
	for _, e := range events {
		id := ""
		if e.Run != nil {
			id = fmt.Sprint(e.owner(), e.Run.RequestID)
		}
		switch {
		case e.Kind == fakes.EventRun && e.Run.Key >= 0:
			running[id] = e
		case e.Kind == fakes.EventRunEnded:
			delete(running, id)
		case e.Kind == fakes.EventHeld && !c.heldUp(&e):
			rest := holds[:0:0]
			for _, h := range holds {
				switch {
				case h.expiry <= e.At:
				case h.owner() == e.owner() && h.First <= e.Last && e.First <= h.Last:
					rest = append(rest, subtractKeys(h, e.First, e.Last)...)
				default:
					rest = append(rest, h)
				}
			}
			holds = append(rest, keyLease{e, e.At + time.Duration(e.HoldSeconds*float64(time.Second))})
			for _, run := range running {
				if run.owner() == e.owner() || run.Run.Key < e.First || run.Run.Key > e.Last || c.ended(&run) <= e.At {
					continue
				}
				for _, h := range holds {
					if h.owner() == run.owner() && h.First <= run.Run.Key && run.Run.Key <= h.Last {
						found = append(found, fmt.Sprintf("granted during work: %s got keys %d to %d at %v, %s is at work on key %d since %v and held it until %v",
							e.Upstream, e.First, e.Last, e.At-c.LoadStart, run.Upstream, run.Run.Key, run.At-c.LoadStart, h.expiry-c.LoadStart))
					}
				}
			}
		}
	}
	return found
}

package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fakes "dandelionhill.dev/fakes/fleet"
)

// granted is a grant of keys 0 to 9 by the VM "vm".
func granted(upstream string, at time.Duration, fence int64, holdSeconds float64) recordedEvent {
	e := held(upstream, 1, at, 0, 9, holdSeconds)
	e.Fence, e.sender = fence, &sender{}
	e.sender.set("vm")
	return e
}

// bySender returns the event with another sender, "" for an unknown one.
func (e recordedEvent) bySender(vm string) recordedEvent {
	e.sender = &sender{}
	if vm != "" {
		e.sender.set(vm)
	}
	return e
}

func (e recordedEvent) withFence(fence int64) recordedEvent {
	e.Fence = fence
	return e
}

func (e recordedEvent) arrivedAt(at time.Duration) recordedEvent {
	e.arrived = at
	return e
}

func (e recordedEvent) afterWait(d time.Duration) recordedEvent {
	e.WaitedSeconds = d.Seconds()
	return e
}

func work(kind, upstream, id string, key int, at time.Duration) recordedEvent {
	return recordedEvent{Upstream: upstream, Incarnation: 1, upstreamEvent: upstreamEvent{
		At: at, Event: fakes.Event{Kind: kind, Run: &fakes.Run{RequestID: id, Key: key}},
	}}
}

func begins(upstream, id string, key int, at time.Duration) recordedEvent {
	return work(fakes.EventRun, upstream, id, key, at)
}

func ends(upstream, id string, key int, at time.Duration) recordedEvent {
	return work(fakes.EventRunEnded, upstream, id, key, at)
}

// TestOwnerChecks guards against checks of the OWNER rules that miss a violation, report one in a
// correct history, or excuse a grant for another reason than the rule names.
func TestOwnerChecks(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	type check func([]recordedEvent, conditions) []string
	thawed := func(at time.Duration) conditions {
		return conditions{Paused: map[string][]span{"vm": {{From: at - s, To: at}}, "other": {}}}
	}
	otherThawed := conditions{Paused: map[string][]span{"other": {{From: 10 * s, To: 11 * s}}}}
	healed := func(upstream string) conditions {
		return conditions{LinkFaults: map[string][]span{upstream: {{From: 8 * s, To: 11 * s}}}}
	}
	receiverPaused := conditions{UpstreamPaused: map[string][]span{"u": {{From: 8 * s, To: 10 * s}}, "v": {{From: 8 * s, To: 11 * s}}}}
	exited := conditions{Ended: map[string][]span{"u": {{From: 11 * s}}}}
	both := []recordedEvent{granted("u", 10*s, 1, 2), granted("v", 11*s, 2, 2)}
	with := func(events []recordedEvent, more ...recordedEvent) []recordedEvent {
		return append(append([]recordedEvent(nil), events...), more...)
	}
	requests := []recordedEvent{begins("u", "a", 3, 11*s+200*ms), begins("v", "b", 7, 11*s+400*ms)}
	for name, c := range map[string]struct {
		check  check
		events []recordedEvent
		c      conditions
		want   string
	}{
		"both begin requests":                         {ownersBothBegin, with(both, requests...), conditions{}, "two owners begin"},
		"both begin, keys granted in parts":           {ownersBothBegin, with(requests, held("u", 1, 10*s, 0, 9, 2), held("v", 1, 11*s, 0, 4, 2), held("v", 1, 11*s, 5, 9, 2)), conditions{}, "two owners begin"},
		"both begin after a renewal":                  {ownersBothBegin, with(requests, granted("u", 8*s, 1, 2), granted("v", 9*s, 2, 9), granted("u", 10*s, 1, 2)), conditions{}, "two owners begin"},
		"both begin, receivers were paused":           {ownersBothBegin, with(both, requests...), receiverPaused, "two owners begin"},
		"both begin, call waited":                     {ownersBothBegin, with(requests, both[0].afterWait(s), both[1]), conditions{}, "two owners begin"},
		"both begin, another VM was thawed":           {ownersBothBegin, with(both, requests...), otherThawed, "two owners begin"},
		"both begin, another link healed":             {ownersBothBegin, with(both, requests...), healed("w"), "two owners begin"},
		"both begin, sender paused":                   {ownersBothBegin, with(both, requests...), conditions{Paused: map[string][]span{"vm": {{From: 10*s + 900*ms}}}}, "two owners begin"},
		"both begin, thawed before the slack":         {ownersBothBegin, with(both, requests...), thawed(11*s - thawSlack - 1), "two owners begin"},
		"both begin, renewed after the slack":         {ownersBothBegin, with(requests, granted("u", 9*s, 1, 2), both[1], granted("u", 11*s+100*ms, 1, 2)), thawed(10*s + 500*ms), "two owners begin"},
		"both begin after the thaw of the sender":     {ownersBothBegin, with(both, requests...), thawed(11*s - thawSlack), ""},
		"both begin, unknown sender perhaps thawed":   {ownersBothBegin, with(requests, both[0], both[1].bySender("")), otherThawed, ""},
		"both begin after the link healed":            {ownersBothBegin, with(both, requests...), healed("v"), ""},
		"both begin, arrived after the heal":          {ownersBothBegin, with(requests, both[0], granted("v", 11*s+100*ms, 2, 2).arrivedAt(11*s+50*ms)), healed("v"), ""},
		"both begin, arrived before the thaw":         {ownersBothBegin, with(requests, both[0], granted("v", 11*s+100*ms, 2, 2).arrivedAt(10*s)), thawed(11 * s), "two owners begin"},
		"one begins requests":                         {ownersBothBegin, with(both, requests[0], begins("v", "b", 7, 12*s)), conditions{}, ""},
		"request on a key that is not shared":         {ownersBothBegin, with(both, requests[0], begins("v", "b", 10, 11*s+400*ms)), conditions{}, ""},
		"request before the keys are shared":          {ownersBothBegin, with(both, begins("u", "a", 3, 11*s-1), requests[1]), conditions{}, ""},
		"one owner exits":                             {ownersBothBegin, with(both, requests...), exited, ""},
		"one owner releases":                          {ownersBothBegin, with(both, released("u", 11*s, 0, 9), requests[0], requests[1]), conditions{}, ""},
		"low fence":                                   {lowFences, []recordedEvent{granted("u", 10*s, 5, 2), granted("v", 20*s, 4, 2)}, conditions{}, "low fence"},
		"same fence":                                  {lowFences, []recordedEvent{granted("u", 10*s, 5, 2), granted("v", 20*s, 5, 2)}, conditions{}, "low fence"},
		"low fence after two owners":                  {lowFences, []recordedEvent{granted("u", 10*s, 5, 2), granted("v", 20*s, 7, 2), granted("v", 30*s, 8, 2), granted("u", 40*s, 8, 2)}, conditions{}, "low fence"},
		"late renewal below the next owner's":         {lowFences, []recordedEvent{granted("u", 10*s, 5, 2), granted("v", 12*s, 6, 2), granted("u", 12*s+1, 5, 2)}, conditions{}, "low fence"},
		"low fence, receiver was paused":              {lowFences, []recordedEvent{granted("u", 9*s, 5, 1), granted("v", 11*s, 4, 2)}, receiverPaused, "low fence"},
		"low fence on one key":                        {lowFences, []recordedEvent{granted("u", 10*s, 5, 2), held("v", 1, 20*s, 9, 12, 2).withFence(4)}, conditions{}, "low fence"},
		"low fence of the next incarnation":           {lowFences, []recordedEvent{granted("u", 10*s, 5, 2), held("u", 2, 20*s, 0, 9, 2).withFence(4)}, conditions{}, "low fence"},
		"next incarnation with another's fence":       {lowFences, []recordedEvent{granted("u", 8*s, 5, 1), granted("v", 10*s, 6, 2), held("u", 2, 20*s, 0, 9, 2).withFence(6)}, conditions{}, "low fence"},
		"renewal taken by the next incarnation":       {lowFences, []recordedEvent{granted("u", 10*s, 5, 2), held("u", 2, 20*s, 0, 9, 2).withFence(5)}, conditions{}, ""},
		"low fence after the thaw of the sender":      {lowFences, []recordedEvent{granted("u", 10*s, 5, 1), granted("v", 11*s, 4, 2)}, thawed(11*s - ms), ""},
		"rising fences, renewed":                      {lowFences, []recordedEvent{granted("u", 10*s, 5, 2), granted("u", 11*s, 5, 2), granted("v", 20*s, 6, 2), granted("u", 30*s, 7, 2)}, conditions{}, ""},
		"low fence on other keys":                     {lowFences, []recordedEvent{granted("u", 10*s, 5, 2), held("v", 1, 20*s, 10, 12, 2).withFence(4)}, conditions{}, ""},
		"held by two for long":                        {longSharedHolds, both, conditions{}, "two owners for 1s"},
		"held by two for long, in renewals":           {longSharedHolds, []recordedEvent{granted("u", 9*s, 1, 9), granted("v", 10*s, 2, 0.3), granted("v", 10*s+300*ms, 2, 0.3)}, conditions{}, "two owners for 600ms"},
		"held by two, late calls far back":            {longSharedHolds, both, conditions{UpstreamPaused: map[string][]span{"u": {{From: 8 * s, To: 9 * s}}}}, "two owners for 1s"},
		"held by two, call waited briefly":            {longSharedHolds, []recordedEvent{both[0].afterWait(lateTaken), both[1]}, conditions{}, "two owners for 1s"},
		"held by two for half a second":               {longSharedHolds, []recordedEvent{granted("u", 10*s, 1, 1.5), granted("v", 11*s, 2, 2)}, conditions{}, ""},
		"held by two, receiver was paused":            {longSharedHolds, both, receiverPaused, ""},
		"held by two, call waited":                    {longSharedHolds, []recordedEvent{both[0].afterWait(lateTaken + 1), both[1]}, conditions{}, ""},
		"held by two, taken long after its arrival":   {longSharedHolds, []recordedEvent{both[0], granted("v", 11*s, 2, 2).arrivedAt(11*s - lateTaken - 1)}, conditions{}, ""},
		"held by two, taken soon after its arrival":   {longSharedHolds, []recordedEvent{both[0], granted("v", 11*s, 2, 2).arrivedAt(11*s - lateTaken)}, conditions{}, "two owners for 1s"},
		"both begin, taken long after its arrival":    {ownersBothBegin, with(requests, both[0], granted("v", 11*s, 2, 2).arrivedAt(10*s)), conditions{}, "two owners begin"},
		"held by two, held up by the link":            {longSharedHolds, both, healed("v"), ""},
		"held by two, one exited":                     {longSharedHolds, both, exited, ""},
		"granted during work":                         {grantsDuringWork, []recordedEvent{granted("u", 10*s, 1, 9), begins("u", "a", 3, 10*s+1), released("u", 11*s, 0, 9), granted("v", 11*s+1, 2, 2), ends("u", "a", 3, 12*s)}, conditions{}, "granted during work"},
		"granted after work":                          {grantsDuringWork, []recordedEvent{granted("u", 10*s, 1, 9), begins("u", "a", 3, 10*s+1), released("u", 11*s, 0, 9), ends("u", "a", 3, 12*s), granted("v", 12*s, 2, 2)}, conditions{}, ""},
		"granted during work after the hold":          {grantsDuringWork, []recordedEvent{granted("u", 10*s, 1, 1), begins("u", "a", 3, 10*s+1), granted("v", 11*s, 2, 2), ends("u", "a", 3, 12*s)}, conditions{}, ""},
		"granted during work on other keys":           {grantsDuringWork, []recordedEvent{granted("u", 10*s, 1, 9), begins("u", "a", 3, 10*s+1), released("u", 11*s, 0, 9), held("v", 1, 11*s+1, 4, 9, 2)}, conditions{}, ""},
		"granted during work of an owner that exited": {grantsDuringWork, []recordedEvent{granted("u", 10*s, 1, 9), begins("u", "a", 3, 10*s+1), granted("v", 11*s+1, 2, 2)}, exited, ""},
		"granted late during work":                    {grantsDuringWork, []recordedEvent{granted("u", 10*s, 1, 9), begins("u", "a", 3, 10*s+1), released("u", 10*s+2, 0, 9), granted("v", 11*s, 2, 2).afterWait(s)}, conditions{}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			found := c.check(c.events, c.c)
			if c.want == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Contains(t, found[0], c.want)
		})
	}
}

// TestEveryOwnerCheckRuns guards against a check that no run applies.
func TestEveryOwnerCheckRuns(t *testing.T) {
	h := &history{events: []recordedEvent{
		granted("u", 10*time.Second, 5, 9), begins("u", "a", 3, 11*time.Second), granted("v", 11*time.Second, 4, 9), begins("v", "b", 3, 11*time.Second+1),
	}}
	found := h.check(conditions{})
	for _, part := range []string{"two owners: ", "two owners begin", "low fence", "two owners for", "granted during work"} {
		require.Contains(t, lines(found), part)
	}
}

func lines(texts []string) (all string) {
	for _, text := range texts {
		all += text + "\n"
	}
	return all
}

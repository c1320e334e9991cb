package soak

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fakes "dandelionhill.dev/fakes/fleet"
)

// held is a grant whose fence is above those of all earlier ones.
func held(upstream string, incarnation int, at time.Duration, first, last int, holdSeconds float64) recordedEvent {
	return recordedEvent{Upstream: upstream, Domain: "a", Incarnation: incarnation, upstreamEvent: upstreamEvent{
		At: at, Event: fakes.Event{Kind: fakes.EventHeld, First: first, Last: last, Fence: int64(at), HoldSeconds: holdSeconds},
	}}
}

func released(upstream string, at time.Duration, first, last int) recordedEvent {
	return recordedEvent{Upstream: upstream, Incarnation: 1, upstreamEvent: upstreamEvent{
		At: at, Event: fakes.Event{Kind: fakes.EventReleased, First: first, Last: last},
	}}
}

func ran(id string, at time.Duration) recordedEvent {
	return recordedEvent{Upstream: "u", Domain: "a", Incarnation: 1, upstreamEvent: upstreamEvent{
		At: at, Event: fakes.Event{Kind: fakes.EventRun, Run: &fakes.Run{RequestID: id}},
	}}
}

func answered(id string, key int, sent time.Duration, service string) call {
	return call{ID: id, VM: "vm", Key: key, Sent: sent, Ended: sent + 10*time.Millisecond, Status: http.StatusOK, Service: service, Body: service + " ran " + id}
}

// TestChecks guards against checks that miss a violation, and against checks that report
// one in a correct history.
func TestChecks(t *testing.T) {
	const s = time.Second
	down := conditions{Ended: map[string][]span{"u": {{From: 11 * s}}}}
	stopping := conditions{Stopping: map[string][]span{"vm": {{From: 9 * s, To: 11 * s}}}}
	connReset := call{ID: "r", VM: "vm", Key: 1, Sent: 10 * s, Ended: 10*s + 50*time.Millisecond, Err: syscall.ECONNRESET}
	late := answered("r", 1, 10*s, "keyed")
	late.Ended = 10*s + requestTimeout + responseSlack + 1
	refused := answered("r", 1, 10*s, "")
	refused.Status = http.StatusServiceUnavailable
	mismatched := answered("r", 1, 10*s, "keyed")
	mismatched.Body = "keyed ran other"
	versions := []change{{At: s, Service: "green"}, {At: 5 * s, Service: "blue"}, {At: 10 * s, Service: "red"}}
	evacuations := []change{{At: s, Domain: "a", Out: true}, {At: 20 * s, Domain: "a"}}
	for name, c := range map[string]struct {
		events  []recordedEvent
		calls   []call
		changes []change
		c       conditions
		want    string // part of the only finding, none if empty
	}{
		"acquired after release":       {events: []recordedEvent{held("u", 1, 10*s, 0, 9, 2), released("u", 11*s, 0, 9), held("v", 1, 11*s+1, 0, 9, 2)}},
		"acquired after lease expiry":  {events: []recordedEvent{held("u", 1, 10*s, 0, 9, 2), held("v", 1, 12*s, 0, 9, 2)}},
		"acquired after owner exit":    {events: []recordedEvent{held("u", 1, 10*s, 0, 9, 2), held("u", 2, 11*s+1, 0, 9, 2)}, c: down},
		"released part acquired":       {events: []recordedEvent{held("u", 1, 10*s, 0, 9, 2), released("u", 11*s, 5, 9), held("v", 1, 11*s+1, 5, 9, 2)}},
		"acquired before release":      {events: []recordedEvent{held("u", 1, 10*s, 0, 9, 2), released("u", 11*s, 5, 9), held("v", 1, 11*s+1, 4, 9, 0.4)}, want: "two owners"},
		"acquired before owner exit":   {events: []recordedEvent{held("u", 1, 10*s, 0, 9, 2), held("v", 1, 10*s+1, 9, 12, 0.4)}, c: down, want: "two owners"},
		"call queued during pause":     {events: []recordedEvent{held("u", 1, 10*s, 0, 9, 2), held("v", 1, 11*s, 0, 9, 2)}, c: conditions{UpstreamPaused: map[string][]span{"u": {{From: 8 * s, To: 10 * s}}}}},
		"call after pause":             {events: []recordedEvent{held("u", 1, 10*s, 0, 9, 2), held("v", 1, 11*s, 0, 9, 0.4)}, c: conditions{UpstreamPaused: map[string][]span{"u": {{From: 8 * s, To: 9 * s}}}}, want: "two owners"},
		"acquired by next incarnation": {events: []recordedEvent{held("u", 1, 10*s, 0, 9, 2), held("u", 2, 10*s+1, 0, 9, 0.4)}, want: "two owners"},

		"one run":                                {events: []recordedEvent{ran("r", 10*s)}, calls: []call{answered("r", 1, 10*s, "keyed")}},
		"two runs, idempotent":                   {events: []recordedEvent{ran("r", 10*s), ran("r", 10*s+1)}, calls: []call{answered("r", -1, 10*s, "keyed")}},
		"two runs, not idempotent":               {events: []recordedEvent{ran("r", 10*s), ran("r", 10*s+1)}, calls: []call{answered("r", 1, 10*s, "keyed")}, want: "ran 2 times"},
		"refused request":                        {calls: []call{refused}},
		"refused but ran":                        {events: []recordedEvent{ran("r", 10*s)}, calls: []call{refused}, want: "refused as not run"},
		"response to another request":            {calls: []call{mismatched}, want: "got the response"},
		"late response":                          {calls: []call{late}, want: "got its response after"},
		"late response after pause":              {calls: []call{late}, c: conditions{Paused: map[string][]span{"vm": {{From: 9 * s, To: 10 * s}}}}},
		"no response":                            {calls: []call{connReset}, want: "got no response"},
		"connection closed by stopping VM":       {calls: []call{connReset}, c: stopping},
		"running request cut off by stopping VM": {events: []recordedEvent{ran("r", 10*s)}, calls: []call{connReset}, c: stopping, want: "got no response"},
		"request to killed VM":                   {calls: []call{connReset}, c: conditions{Down: map[string][]span{"vm": {{From: 10 * s}}}}},

		"versions in order":               {calls: []call{answered("a", -1, 2*s, "green"), answered("b", -1, 6*s, "green"), answered("c", -1, 8*s, "blue")}, changes: versions},
		"version applied too late":        {calls: []call{answered("a", -1, 7*s+1, "green")}, changes: versions, want: "although 1 was due"},
		"version late during store fault": {calls: []call{answered("a", -1, 7*s+1, "green")}, changes: versions, c: conditions{StoreFaults: map[string][]span{"vm": {{From: 4 * s, To: 6 * s}}}}},
		"version reverted":                {calls: []call{answered("a", -1, 5*s+s/2, "blue"), answered("b", -1, 6*s, "green")}, changes: versions, want: "after version 1"},

		"evacuation not yet due":  {events: []recordedEvent{ran("r", 5*s)}, calls: []call{answered("r", 1, 5*s, "keyed")}, changes: evacuations},
		"run in evacuated domain": {events: []recordedEvent{ran("r", 7*s)}, calls: []call{answered("r", 1, 7*s, "keyed")}, changes: evacuations, want: "after it was taken out"},
		"domain back in service":  {events: []recordedEvent{ran("r", 21*s)}, calls: []call{answered("r", 1, 21*s, "keyed")}, changes: evacuations},
	} {
		t.Run(name, func(t *testing.T) {
			h := &history{events: c.events, calls: c.calls, changes: c.changes}
			found := h.check(c.c)
			if c.want == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Contains(t, found[0], c.want)
		})
	}
}

// TestPlanIsDeterministic guards against plans that differ between runs of one seed.
func TestPlanIsDeterministic(t *testing.T) {
	names := func() string {
		d := &deployment{Options: Options{KeyFaults: true}, domains: []string{"a", "b"}}
		for _, name := range []string{"vm-0", "vm-1"} {
			d.vms = append(d.vms, &vm{process: &process{name: name}, storeProxy: &proxy{}, peerProxy: &proxy{}})
		}
		d.upstreams = []*upstream{{process: &process{name: "u"}, proxy: &proxy{}}}
		out := ""
		for _, a := range d.plan(newRand(7), 30*time.Second) {
			out += a.At.String() + " " + a.Name + "\n"
		}
		return out
	}
	require.Equal(t, names(), names())
	require.Greater(t, strings.Count(names(), "\n"), 20)
	require.Contains(t, names(), "cut off the upstreams of a")
	require.Contains(t, names(), "pause the granter, 2 of a series")
}

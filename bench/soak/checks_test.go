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

func held(upstream string, life int, at time.Duration, first, last int, hold float64) recorded {
	return recorded{Upstream: upstream, Domain: "a", Life: life, upstreamEvent: upstreamEvent{
		At: at, Event: fakes.Event{Kind: fakes.EventHeld, First: first, Last: last, HoldSeconds: hold},
	}}
}

func released(upstream string, at time.Duration, first, last int) recorded {
	return recorded{Upstream: upstream, Life: 1, upstreamEvent: upstreamEvent{
		At: at, Event: fakes.Event{Kind: fakes.EventReleased, First: first, Last: last},
	}}
}

func ran(id string, at time.Duration) recorded {
	return recorded{Upstream: "u", Domain: "a", Life: 1, upstreamEvent: upstreamEvent{
		At: at, Event: fakes.Event{Kind: fakes.EventRun, Run: &fakes.Run{RequestID: id}},
	}}
}

func answered(id string, key int, sent time.Duration, service string) call {
	return call{ID: id, VM: "vm", Key: key, Sent: sent, Ended: sent + 10*time.Millisecond, Status: http.StatusOK, Service: service, Body: service + " ran " + id}
}

// TestChecks guards against checks that pass a broken promise, and against ones that
// find fault with a sound history.
func TestChecks(t *testing.T) {
	const s = time.Second
	down := conditions{Ended: map[string][]span{"u": {{From: 11 * s}}}}
	stopping := conditions{Stopping: map[string][]span{"vm": {{From: 9 * s, To: 11 * s}}}}
	lost := call{ID: "r", VM: "vm", Key: 1, Sent: 10 * s, Ended: 10*s + 50*time.Millisecond, Err: syscall.ECONNRESET}
	late := answered("r", 1, 10*s, "keyed")
	late.Ended = 10*s + requestLimit + answerSlack + 1
	refused := answered("r", 1, 10*s, "")
	refused.Status = http.StatusServiceUnavailable
	foreign := answered("r", 1, 10*s, "keyed")
	foreign.Body = "keyed ran other"
	versions := []change{{At: s, Service: "green"}, {At: 5 * s, Service: "blue"}, {At: 10 * s, Service: "red"}}
	out := []change{{At: s, Domain: "a", Out: true}, {At: 20 * s, Domain: "a"}}
	for name, c := range map[string]struct {
		events  []recorded
		calls   []call
		changes []change
		c       conditions
		want    string // part of the only finding, none if empty
	}{
		"keys after a release":    {events: []recorded{held("u", 1, 10*s, 0, 9, 2), released("u", 11*s, 0, 9), held("v", 1, 11*s+1, 0, 9, 2)}},
		"keys after a lease":      {events: []recorded{held("u", 1, 10*s, 0, 9, 2), held("v", 1, 12*s, 0, 9, 2)}},
		"keys after the end":      {events: []recorded{held("u", 1, 10*s, 0, 9, 2), held("u", 2, 11*s+1, 0, 9, 2)}, c: down},
		"other keys":              {events: []recorded{held("u", 1, 10*s, 0, 9, 2), released("u", 11*s, 5, 9), held("v", 1, 11*s+1, 5, 9, 2)}},
		"keys before the release": {events: []recorded{held("u", 1, 10*s, 0, 9, 2), released("u", 11*s, 5, 9), held("v", 1, 11*s+1, 4, 9, 2)}, want: "two owners"},
		"keys before the end":     {events: []recorded{held("u", 1, 10*s, 0, 9, 2), held("v", 1, 10*s+1, 9, 12, 2)}, c: down, want: "two owners"},
		"a grant that waited":     {events: []recorded{held("u", 1, 10*s, 0, 9, 2), held("v", 1, 11*s, 0, 9, 2)}, c: conditions{UpstreamPaused: map[string][]span{"u": {{From: 8 * s, To: 10 * s}}}}},
		"a grant after the pause": {events: []recorded{held("u", 1, 10*s, 0, 9, 2), held("v", 1, 11*s, 0, 9, 2)}, c: conditions{UpstreamPaused: map[string][]span{"u": {{From: 8 * s, To: 9 * s}}}}, want: "two owners"},
		"keys of a former life":   {events: []recorded{held("u", 1, 10*s, 0, 9, 2), held("u", 2, 10*s+1, 0, 9, 2)}, want: "two owners"},

		"one run":                    {events: []recorded{ran("r", 10*s)}, calls: []call{answered("r", 1, 10*s, "keyed")}},
		"two runs of a repeatable":   {events: []recorded{ran("r", 10*s), ran("r", 10*s+1)}, calls: []call{answered("r", -1, 10*s, "keyed")}},
		"two runs":                   {events: []recorded{ran("r", 10*s), ran("r", 10*s+1)}, calls: []call{answered("r", 1, 10*s, "keyed")}, want: "ran 2 times"},
		"a refusal":                  {calls: []call{refused}},
		"a refusal of what has run":  {events: []recorded{ran("r", 10*s)}, calls: []call{refused}, want: "refused as not run"},
		"another's answer":           {calls: []call{foreign}, want: "got the answer"},
		"a late answer":              {calls: []call{late}, want: "got its answer after"},
		"a late answer after a stop": {calls: []call{late}, c: conditions{Paused: map[string][]span{"vm": {{From: 9 * s, To: 10 * s}}}}},
		"no answer":                  {calls: []call{lost}, want: "got no answer"},
		"the end of a connection":    {calls: []call{lost}, c: stopping},
		"a request that was cut":     {events: []recorded{ran("r", 10*s)}, calls: []call{lost}, c: stopping, want: "got no answer"},
		"a request of a killed VM":   {calls: []call{lost}, c: conditions{Down: map[string][]span{"vm": {{From: 10 * s}}}}},

		"versions in their order":    {calls: []call{answered("a", -1, 2*s, "green"), answered("b", -1, 6*s, "green"), answered("c", -1, 8*s, "blue")}, changes: versions},
		"a version that was due":     {calls: []call{answered("a", -1, 7*s+1, "green")}, changes: versions, want: "although 1 was due"},
		"the same without the store": {calls: []call{answered("a", -1, 7*s+1, "green")}, changes: versions, c: conditions{Away: map[string][]span{"vm": {{From: 4 * s, To: 6 * s}}}}},
		"a version that comes back":  {calls: []call{answered("a", -1, 5*s+s/2, "blue"), answered("b", -1, 6*s, "green")}, changes: versions, want: "after version 1"},

		"a domain before the limit": {events: []recorded{ran("r", 5*s)}, calls: []call{answered("r", 1, 5*s, "keyed")}, changes: out},
		"a domain that is out":      {events: []recorded{ran("r", 7*s)}, calls: []call{answered("r", 1, 7*s, "keyed")}, changes: out, want: "after it was taken out"},
		"a domain that is back":     {events: []recorded{ran("r", 21*s)}, calls: []call{answered("r", 1, 21*s, "keyed")}, changes: out},
	} {
		t.Run(name, func(t *testing.T) {
			h := &history{log: c.events, calls: c.calls, changes: c.changes}
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

// TestPlanIsRepeatable guards against a seed that does not tell what happened.
func TestPlanIsRepeatable(t *testing.T) {
	names := func() string {
		d := &deployment{domains: []string{"a", "b"}}
		for _, name := range []string{"vm-0", "vm-1"} {
			d.vms = append(d.vms, &vm{process: &process{name: name}, store: &proxy{}, peers: &proxy{}})
		}
		d.upstreams = []*upstream{{process: &process{name: "u"}, proxy: &proxy{}}}
		out := ""
		for _, each := range d.plan(newRand(7), 30*time.Second) {
			out += each.At.String() + " " + each.Name + "\n"
		}
		return out
	}
	require.Equal(t, names(), names())
	require.Greater(t, strings.Count(names(), "\n"), 20)
}

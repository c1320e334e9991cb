package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWorkspaceChecks guards against checks of keys, quotas and large responses that miss a
// violation, and against checks that report one in a correct history.
func TestWorkspaceChecks(t *testing.T) {
	const s = time.Second
	c := conditions{Keys: []apiKey{{Text: "old", Workspace: "ws-1", Added: s, Removed: 10 * s}, {Text: "new", Workspace: "ws-1", Added: 8 * s}}}
	cut := c
	cut.StoreFaults = map[string][]span{"vm": {{From: 9 * s, To: 14 * s}}}
	paused := c
	paused.UpstreamPaused = map[string][]span{"u": {{From: 9 * s, To: 14 * s}}}
	runFor := func(workspace, id string, at time.Duration) recordedEvent {
		e := ran(id, at)
		e.Run.Workspace = workspace
		return e
	}
	with := func(key string, sent time.Duration) call {
		req := answered("r", -1, sent, "red")
		req.APIKey = key
		return req
	}
	unauthorized := func(req call) call {
		req.Status, req.Body = http.StatusUnauthorized, ""
		return req
	}
	large := func(bytes int, err error) call {
		req := with("new", 12*s)
		req.Large, req.Err = true, err
		req.Body = strings.Repeat("x", bytes) + req.Body
		return req
	}
	burst := func(n int) (events []recordedEvent) {
		for i := range n {
			events = append(events, runFor("ws-0", fmt.Sprint(i), 10*s+time.Duration(i)*time.Millisecond))
		}
		return events
	}
	for name, test := range map[string]struct {
		events []recordedEvent
		call   call
		c      conditions
		want   string // part of the only finding, none if empty
	}{
		"valid key":                     {events: []recordedEvent{runFor("ws-1", "r", 12*s)}, call: with("new", 12*s), c: c},
		"unknown key":                   {events: []recordedEvent{runFor("ws-1", "r", 12*s)}, call: with("none", 12*s), c: c, want: "no configuration had"},
		"unknown key refused":           {call: unauthorized(with("none", 12*s)), c: c},
		"other workspace":               {events: []recordedEvent{runFor("another", "r", 12*s)}, call: with("new", 12*s), c: c, want: `workspace "another"`},
		"removed key":                   {events: []recordedEvent{runFor("ws-1", "r", 13*s)}, call: with("old", 13*s), c: c, want: "was removed 3s before"},
		"key removed a moment ago":      {events: []recordedEvent{runFor("ws-1", "r", 11*s)}, call: with("old", 11*s), c: c},
		"removed key without the store": {events: []recordedEvent{runFor("ws-1", "r", 13*s)}, call: with("old", 13*s), c: cut},
		"new key refused":               {call: unauthorized(with("new", 12*s)), c: c, want: "got 401"},
		"new key refused, no store":     {call: unauthorized(with("new", 12*s)), c: cut},
		"key added a moment ago":        {call: unauthorized(with("new", 9*s)), c: c},
		"quota used":                    {events: burst(152), call: with("new", 12*s), c: c},
		"quota exceeded":                {events: burst(153), call: with("new", 12*s), c: c, want: "more than 152 requests"},
		"held up by the upstream":       {events: burst(153), call: with("new", 12*s), c: paused},
		"whole large response":          {call: large(largeBytes, nil), c: c},
		"large response that broke off": {call: large(1000, http.ErrAbortHandler), c: c},
		"short large response":          {call: large(1000, nil), c: c, want: "bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			h := &history{events: test.events, calls: []call{test.call}}
			found := h.check(test.c)
			if test.want == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Contains(t, found[0], test.want)
		})
	}
}

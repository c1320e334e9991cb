package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestMatch guards against matching a shorter prefix or another host's route.
func TestMatch(t *testing.T) {
	c := &Configuration{Routes: []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}}
	c.Index()
	for path, want := range map[string]string{"/x/y/z/1": "long", "/x/yy": "short", "/x/": "short"} {
		require.Equal(t, want, c.Match("A.example:80", path).Name, path)
	}
	require.Nil(t, c.Match("a.example", "/x"))
	require.Nil(t, c.Match("c.example", "/x/"))
}

// TestSplit guards against shares that differ from the weights, also over few requests.
func TestSplit(t *testing.T) {
	s := NewSplitter()
	r := &Route{Name: "r", Services: []WeightedService{{"a", 70}, {"b", 20}, {"c", 10}}}
	counts := make(map[api.ServiceName]int)
	for range 100 {
		counts[s.Next(r)]++
	}
	require.Equal(t, map[api.ServiceName]int{"a": 70, "b": 20, "c": 10}, counts)
	r.Services = r.Services[:2]
	require.NotPanics(t, func() { s.Next(r) })
}

// TestContinues guards against a registration that brings news and is taken for a repetition,
// and against one message to each VM for each second that an upstream is cold.
func TestContinues(t *testing.T) {
	first := Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Incarnation: 1, Slots: 2, ColdRemainingMs: 3000}
	for remaining, elapsed := range map[int64]time.Duration{3000: 0, 2200: 800 * time.Millisecond, 1: 2900 * time.Millisecond, 0: 9 * time.Second} {
		later := first
		later.ColdRemainingMs = remaining
		require.True(t, later.Continues(first, elapsed), "%d ms left after %s", remaining, elapsed)
	}
	for name, change := range map[string]func(u *Upstream){
		"cold again":    func(u *Upstream) { u.ColdRemainingMs = 3000 },
		"warm earlier":  func(u *Upstream) { u.ColdRemainingMs = 0 },
		"draining":      func(u *Upstream) { u.Draining = true },
		"restarted":     func(u *Upstream) { u.Incarnation = 2 },
		"other address": func(u *Upstream) { u.Address = "10.0.0.2:1" },
		"other service": func(u *Upstream) { u.Service = "t" },
	} {
		later := first
		later.ColdRemainingMs = 2000
		change(&later)
		require.False(t, later.Continues(first, time.Second), name)
	}
}

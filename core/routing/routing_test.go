package routing

import (
	"testing"

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

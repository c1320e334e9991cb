// Package routing selects the service of a request from the configuration of the
// entry VMs: by host and longest path prefix, and by weight where a route is split
// between services.
package routing

import (
	"slices"
	"strings"
	"time"

	"dandelionhill.dev/api"
)

// Configuration is one version of the operators' configuration. It is immutable
// once published.
type Configuration struct {
	// Version orders versions: a higher number is newer.
	Version  int64
	Routes   []*Route
	Services map[api.ServiceName]*Service
	// Workspaces is empty in deployments without authentication.
	Workspaces map[api.WorkspaceName]*Workspace
	Limits     Limits

	byHost map[string][]*Route
	byKey  map[KeyDigest]*Workspace
}

// Route sends the requests of a host and a path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// LargeResponses means that responses may be too large to be held in memory as a whole.
	LargeResponses bool
	// Timeout is the longest time a request is kept waiting. 0 means no limit.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value.
	TargetLatency time.Duration
	// MaxAttempts bounds the upstreams to which one request may be sent.
	MaxAttempts int
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Services has one entry for a route to one service.
	Services []WeightedService
}

// WeightedService is one of the services of a route, with its share of the requests.
type WeightedService struct {
	Service api.ServiceName
	Weight  int
}

// Service describes a group of upstreams.
type Service struct {
	Name api.ServiceName
	// MaxConnections is the number that one upstream accepts from all callers together.
	MaxConnections int
	// ColdTime is how long an upstream is cold after a start.
	ColdTime time.Duration
	// ColdRate is the requests per second that a cold upstream can serve.
	ColdRate float64
	// HealthPath is the path of the health check of its upstreams.
	HealthPath string
	// Keyed services are partitioned by key: an upstream runs a request only while
	// it owns the request's key.
	Keyed bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index prepares a configuration for Match and Authenticate. Call it once, before publishing.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	c.byKey = make(map[KeyDigest]*Workspace)
	for _, w := range c.Workspaces {
		for _, key := range w.Keys {
			c.byKey[key] = w
		}
	}
}

// Match returns the route with the longest prefix that begins the path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := c.byHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			routes = c.byHost[host[:i]]
		}
	}
	var best *Route
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Splitter divides the requests of split routes by smooth weighted round robin, so
// that the shares hold over few requests too. It is not safe for concurrent use.
type Splitter struct {
	credit map[string][]int
}

// NewSplitter returns a Splitter without history.
func NewSplitter() *Splitter { return &Splitter{credit: make(map[string][]int)} }

// Next returns the service of the next request on a route.
func (s *Splitter) Next(r *Route) api.ServiceName {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	credit := s.credit[r.Name]
	if len(credit) != len(r.Services) {
		credit = make([]int, len(r.Services))
		s.credit[r.Name] = credit
	}
	return next(r, credit)
}

// Preview returns the service that Next would return. Nothing changes.
func (s *Splitter) Preview(r *Route) api.ServiceName {
	credit := slices.Clone(s.credit[r.Name])
	if len(credit) != len(r.Services) {
		credit = make([]int, len(r.Services))
	}
	return next(r, credit)
}

// next chooses the service of a request and adjusts the credit of each.
func next(r *Route, credit []int) api.ServiceName {
	total, best := 0, 0
	for i, p := range r.Services {
		credit[i] += p.Weight
		total += p.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Services[best].Service
}

package gateway

import (
	"maps"
	"time"

	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/ratelimit"
)

// permitAllocator issues the permits of all VMs for requests to upstreams that state a limit.
type permitAllocator struct {
	limits  *statedLimits
	issuers map[*upstream]*ratelimit.PermitIssuer
}

func newPermitAllocator(limits *statedLimits) *permitAllocator {
	return &permitAllocator{limits: limits, issuers: make(map[*upstream]*ratelimit.PermitIssuer)}
}

// permitClient is a VM as seen by the permitAllocator.
type permitClient struct {
	// rates holds the limits that the VM knows.
	rates   map[*upstream]float64
	demands map[*upstream]*issuedDemand
	// grants holds permits and backlogs that have not been sent yet.
	grants []permitGrant
}

// issuedDemand is the last demand of a VM, with the permits issued on its connection.
type issuedDemand struct {
	permitDemand
	issued int
}

func newPermitClient() *permitClient {
	return &permitClient{rates: make(map[*upstream]float64), demands: make(map[*upstream]*issuedDemand)}
}

// waiting returns the number of requests that wait for a permit which is not under way.
func (d *issuedDemand) waiting() int { return max(d.Waiting-(d.issued-d.Received), 0) }

// spare returns 1 if the VM wants a permit for its next request and none is under way.
func (d *issuedDemand) spare() int {
	if d.Spare && d.issued == d.Received {
		return 1
	}
	return 0
}

// handleReport records the news and the demand of a VM. It reports whether a limit has
// changed.
func (a *permitAllocator) handleReport(v *view, c *permitClient, r report, received time.Duration) (changed bool) {
	changed = a.limits.merge(v, r.Limits, received, "vm")
	for _, n := range r.Limits {
		if u := v.incarnation(n.Upstream); u != nil {
			c.setRate(u, n.Rate)
		}
	}
	for _, d := range r.Demands {
		u := v.incarnation(d.Upstream)
		if u == nil {
			continue
		}
		if c.demands[u] == nil {
			c.demands[u] = &issuedDemand{}
		}
		c.demands[u].permitDemand = d
	}
	return changed
}

func (c *permitClient) setRate(u *upstream, rate float64) {
	if rate == 0 {
		delete(c.rates, u)
		return
	}
	c.rates[u] = rate
}

// takeNews returns the limits that the VM does not know yet.
func (a *permitAllocator) takeNews(c *permitClient, all map[*upstream]ratelimit.StatedLimit, now time.Duration) (news []limitNews) {
	for u, limit := range all {
		if !ratelimit.SameRate(c.rates[u], limit.Rate) {
			news = append(news, limitNews{Upstream: u.owner(), Rate: limit.Rate, AgeMs: (now - limit.At).Milliseconds()})
			c.setRate(u, limit.Rate)
		}
	}
	ended := func(u *upstream) bool {
		_, known := all[u]
		return !known
	}
	maps.DeleteFunc(c.rates, func(u *upstream, _ float64) bool { return ended(u) })
	maps.DeleteFunc(c.demands, func(u *upstream, _ *issuedDemand) bool { return ended(u) })
	return news
}

// issue issues permits to the VMs of clients, of which the first is the VM of this process.
// delay is the time until permits may be issued: while a former granter may still issue
// some, there are none.
func (a *permitAllocator) issue(now, delay time.Duration, clients []*permitClient) {
	all := a.limits.all()
	for u := range a.issuers {
		if all[u].Rate == 0 {
			delete(a.issuers, u)
		}
	}
	for u, limit := range all {
		if limit.Rate == 0 {
			continue
		}
		if a.issuers[u] == nil || delay > 0 {
			a.issuers[u] = ratelimit.NewPermitIssuer(now)
		}
		a.issueFor(u, limit.Rate, now, delay, clients)
	}
}

// issueFor issues permits for one upstream.
func (a *permitAllocator) issueFor(u *upstream, rate float64, now, delay time.Duration, clients []*permitClient) {
	issuer := a.issuers[u]
	waiting, spare := make([]int, len(clients)), make([]int, len(clients))
	for i, c := range clients {
		if d := c.demands[u]; d != nil {
			waiting[i], spare[i] = d.waiting(), d.spare()
		}
	}
	missing := 0
	toWaiting := issuer.Issue(now, rate, waiting)
	toSpare := issuer.Issue(now, rate, spare)
	for i := range clients {
		missing += waiting[i] - toWaiting[i]
	}
	backlog := issuer.Backlog(missing) + rate*delay.Seconds()
	for i, c := range clients {
		if permits := toWaiting[i] + toSpare[i]; permits > 0 || waiting[i] > 0 {
			c.demands[u].issued += permits
			c.grants = append(c.grants, permitGrant{Upstream: u.owner(), Permits: permits, Backlog: backlog})
		}
	}
}

// takeGrants returns the permits that have not been sent, and the last backlog of each
// upstream.
func (c *permitClient) takeGrants() []permitGrant {
	grants := mergeGrants(nil, c.grants)
	c.grants = nil
	return grants
}

// hasPermits reports whether there are permits that have not been sent.
func (c *permitClient) hasPermits() bool {
	for _, grant := range c.grants {
		if grant.Permits > 0 {
			return true
		}
	}
	return false
}

// mergeGrants adds later grants to earlier ones.
func mergeGrants(earlier, later []permitGrant) []permitGrant {
	out := append([]permitGrant(nil), earlier...)
	index := make(map[ownership.Owner]int, len(out))
	for i, grant := range out {
		index[grant.Upstream] = i
	}
	for _, grant := range later {
		i, known := index[grant.Upstream]
		if !known {
			index[grant.Upstream] = len(out)
			out = append(out, grant)
			continue
		}
		out[i].Permits += grant.Permits
		out[i].Backlog = grant.Backlog
	}
	return out
}

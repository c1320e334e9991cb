package quota

import (
	"hash/fnv"
	"math"
	"time"

	"dandelionhill.dev/api"
)

const (
	// meterTime is the time constant of the averages of arrivals.
	meterTime = time.Second
	// rateTolerance is the relative change of the rate of arrivals up to which it is not
	// reported again.
	rateTolerance = 0.25
	// minRate is the rate of arrivals that counts as none.
	minRate = 0.05
	// idleRetention is how long a workspace without requests is kept.
	idleRetention = 10 * time.Second
	// retryTime is the shortest advised delay before a retry, maxRetryTime the longest.
	retryTime, maxRetryTime = 250 * time.Millisecond, 5 * time.Second
)

// Client admits the requests of workspaces on one VM. Times are on the clock of the VM. It is
// not safe for concurrent use.
type Client struct {
	rule    Rule
	entries map[api.WorkspaceName]*entry
	// link counts the connections to granters. tokenLink is the one on which the tokens came that the VM
	// holds; those of an earlier connection may be used until tokensUntil, when the loan to its granter ends,
	// unless the granter of the present one ends them.
	link, tokenLink int
	tokensUntil     time.Duration
	share, phase    float64
	shareUntil      time.Duration
	// updatedAt is when the last update of a granter that issues was received; hadUpdate means
	// that there was one.
	updatedAt time.Duration
	hadUpdate bool
	// unlimitedUntil is until when the VM follows a granter of an earlier version.
	unlimitedUntil time.Duration
	change         change
}

// NewClient returns a Client without tokens and without a share, of a process that starts now.
func NewClient(rule Rule, now time.Duration) *Client {
	c := &Client{rule: rule, entries: make(map[api.WorkspaceName]*entry)}
	c.change.start(now, rule.Window)
	return c
}

// entry is the state of a workspace with recent requests.
type entry struct {
	batches            []batch // oldest first
	arrivals, admitted meter
	done, returned     int // since the last report
	waiting            int
	granted            int // the number of tokens held after the last grant
	reportedRate       float64
	reportedWaiting    bool
	reportedUnsent     int
	usedAt             time.Duration
	// slot is the last token of the VM's share that was used, on the scale of slotRate.
	slot     float64
	slotRate float64
	phase    float64
	// unsent is the number of tokens of requests that have not been sent yet. They are not done.
	unsent int
}

// batch holds tokens that lapse together.
type batch struct {
	tokens int
	until  time.Duration
	short  bool // until also bounds the sending
}

// Taken is a token that a request has taken.
type Taken struct {
	at   time.Duration
	link int
	sent bool
	// sendBy is until when the request may be sent, 0 for no limit.
	sendBy time.Duration
	// solo means that the token is of the share of the VM, free that the workspace had no limit.
	solo, free bool
}

// entry returns the state of a workspace.
func (c *Client) entry(now time.Duration, name api.WorkspaceName) *entry {
	e := c.entries[name]
	if e == nil {
		h := fnv.New32a()
		h.Write([]byte(name))
		e = &entry{phase: float64(h.Sum32()) / (1 << 32)}
		c.entries[name] = e
	}
	e.usedAt = now
	return e
}

// solo reports whether the VM is without a granter.
func (c *Client) solo(now time.Duration) bool { return !c.hadUpdate || now >= c.updatedAt+soloAfter }

// Share returns the share that the VM holds, 0 if it has ended, and whether it is used now.
func (c *Client) Share(now time.Duration) (share float64, used bool) {
	if now >= c.shareUntil {
		return 0, false
	}
	return c.share, c.solo(now)
}

// Activity returns the present rates of requests of a workspace and of those that got a token, and
// the number of tokens that the VM holds.
func (c *Client) Activity(now time.Duration, name api.WorkspaceName) (arriving, admitted float64, tokens int) {
	e := c.entries[name]
	if e == nil {
		return 0, 0, 0
	}
	e.lapse(now)
	if !c.solo(now) {
		tokens = e.held()
	}
	return e.arrivals.rate(now), e.admitted.rate(now), tokens
}

// Arrive counts a request of a workspace, before the first Take.
func (c *Client) Arrive(now time.Duration, name api.WorkspaceName) {
	c.entry(now, name).arrivals.add(now)
}

// Wait changes the number of requests of a workspace that wait for a token.
func (c *Client) Wait(now time.Duration, name api.WorkspaceName, change int) {
	c.entry(now, name).waiting += change
}

// Take takes a token for a request. It reports false if there is none.
func (c *Client) Take(now time.Duration, name api.WorkspaceName, l Limit) (Taken, bool) {
	if l.Rate <= 0 || now < c.unlimitedUntil {
		return Taken{free: true}, true
	}
	c.endTokens(now)
	e := c.entry(now, name)
	taken := Taken{at: now, link: c.tokenLink, solo: c.solo(now)}
	if taken.solo && !c.takeSlot(now, e, l) || !taken.solo && !e.takeToken(now, &taken) {
		return Taken{}, false
	}
	e.admitted.add(now)
	return taken, true
}

func (e *entry) takeToken(now time.Duration, taken *Taken) bool {
	e.lapse(now)
	if len(e.batches) == 0 {
		return false
	}
	if e.batches[0].short {
		taken.sendBy = e.batches[0].until
	}
	e.batches[0].tokens--
	if e.batches[0].tokens == 0 {
		e.batches = e.batches[1:]
	}
	e.unsent++
	return true
}

// lapse drops the tokens whose time has passed.
func (e *entry) lapse(now time.Duration) {
	for len(e.batches) > 0 && now >= e.batches[0].until {
		e.done += e.batches[0].tokens
		e.returned += e.batches[0].tokens
		e.batches = e.batches[1:]
	}
}

func (e *entry) held() (n int) {
	for _, b := range e.batches {
		n += b.tokens
	}
	return n
}

// takeSlot takes a token of the VM's share. Tokens come at the VM's part of the rate and may be
// used for slotLife.
func (c *Client) takeSlot(now time.Duration, e *entry, l Limit) bool {
	if now >= c.shareUntil || c.share <= 0 {
		return false
	}
	rate := c.share * l.Rate
	_, phase := math.Modf(c.phase + e.phase)
	slotAt := func(t time.Duration) float64 { return math.Floor(phase + rate*t.Seconds()) }
	first := slotAt(max(now-c.rule.budget(l).slotLife, c.updatedAt+soloAfter))
	if rate != e.slotRate {
		e.slotRate, e.slot = rate, first
	}
	e.slot = max(e.slot, first)
	if e.slot >= slotAt(now) {
		return false
	}
	e.slot++
	return true
}

// Sent records that a request is about to be sent to an upstream. It reports false if the token
// that the request took does not hold any more: the request needs another one.
func (c *Client) Sent(now time.Duration, name api.WorkspaceName, l Limit, t *Taken) bool {
	if t.sent || l.Rate <= 0 || now < c.unlimitedUntil {
		t.sent = true
		return true
	}
	if t.solo {
		t.sent = now-t.at <= c.rule.budget(l).sendLife
		if !t.sent && t.link == c.tokenLink && c.solo(now) {
			c.entry(now, name).slot-- // Take may use it for as long as slotLife allows
		}
		return t.sent
	}
	c.endTokens(now)
	e := c.entry(now, name)
	if t.free || t.link != c.tokenLink || c.solo(now) || e.unsent == 0 {
		return false
	}
	e.unsent--
	e.done++
	if t.sendBy > 0 && now >= t.sendBy {
		e.returned++
		return false
	}
	t.sent = true
	return true
}

// NotRun records that the upstream to which a request was sent has not run it and will not.
func (c *Client) NotRun(now time.Duration, name api.WorkspaceName, t *Taken) {
	if !t.sent {
		return
	}
	t.sent = false
	if !t.solo && !t.free && t.link == c.tokenLink {
		e := c.entry(now, name)
		e.done--
		e.unsent++
	}
}

// Return returns the token of a request that has ended without having run. It reports false if the
// token does not hold any more.
func (c *Client) Return(now time.Duration, name api.WorkspaceName, t Taken) bool {
	c.endTokens(now)
	if t.free || t.sent || t.link != c.tokenLink || t.solo != c.solo(now) {
		return false
	}
	e := c.entry(now, name)
	if t.solo {
		e.slot--
		return true
	}
	if e.unsent == 0 {
		return false
	}
	e.unsent--
	e.done++
	e.returned++
	return true
}

// RetryAfter returns after which time a token is likely to be available to a request that was
// refused. spread, from 0 to 1, is random: what was refused within a second is spread over the
// time in which as many tokens come, and over a second at least.
func (c *Client) RetryAfter(now time.Duration, name api.WorkspaceName, l Limit, spread float64) time.Duration {
	e := c.entry(now, name)
	rate := e.admitted.rate(now)
	if rate < minRate {
		rate = l.Rate // of all VMs: the retry may reach any
	}
	first := min(1/rate, maxRetryTime.Seconds()/2)
	span := min(max(e.arrivals.rate(now)/rate-1, 1), maxRetryTime.Seconds()-first)
	return max(retryTime, time.Duration((first+spread*span)*float64(time.Second)))
}

// WantsReport reports whether the granter should know of a workspace without delay: requests
// wait, or less than half of the tokens are left.
func (c *Client) WantsReport(now time.Duration, name api.WorkspaceName) bool {
	e := c.entries[name]
	if e == nil || c.solo(now) {
		return false
	}
	return e.waiting > 0 || 2*e.held() < min(e.granted, spareTokens(e.arrivals.rate(now)))
}

// spareTokens returns how many tokens a VM should hold at a rate of arrivals.
func spareTokens(rate float64) int { return int(rate*tokenHorizon.Seconds() + 0.5) }

// Connected begins a connection to a granter, which does not know the tokens that the VM holds. The
// granter that issued them counts them as held until they lapse, so they may be used until this one
// ends them, or the loan to the other one ends.
func (c *Client) Connected() {
	if c.tokenLink == c.link {
		c.tokensUntil = c.updatedAt + soloAfter
	}
	c.link++
	c.endFollowing()
	for _, e := range c.entries {
		e.reportedRate, e.reportedWaiting, e.reportedUnsent = 0, false, 0
	}
}

// endTokens drops the tokens of an earlier connection when the loan to its granter has ended.
func (c *Client) endTokens(now time.Duration) {
	if now >= c.tokensUntil {
		c.dropTokens()
	}
}

// dropTokens drops the tokens of an earlier connection.
func (c *Client) dropTokens() {
	if c.tokenLink == c.link {
		return
	}
	c.tokenLink = c.link
	for _, e := range c.entries {
		e.batches, e.unsent, e.done, e.returned = nil, 0, 0, 0
	}
}

// Report returns what has changed since the last report on the connection.
func (c *Client) Report(now time.Duration) Report {
	c.endTokens(now)
	var r Report
	r.Share, _ = c.Share(now)
	c.stateChange(now, &r)
	solo := c.solo(now)
	for name, e := range c.entries {
		e.lapse(now)
		rate := e.arrivals.rate(now)
		if rate < minRate {
			rate = 0
		}
		d := Demand{Workspace: name, Waiting: e.waiting, Rate: rate}
		if c.tokenLink == c.link {
			d.Done, d.Returned, d.Unsent = e.done, e.returned, e.unsent
		}
		if d.Unsent != e.reportedUnsent || d.Done != 0 || d.Returned > 0 || e.waiting > 0 || e.reportedWaiting || math.Abs(rate-e.reportedRate) > rateTolerance*e.reportedRate {
			r.Demands = append(r.Demands, d)
			e.done, e.returned, e.reportedRate, e.reportedWaiting, e.reportedUnsent = 0, 0, rate, e.waiting > 0, d.Unsent
			continue
		}
		if now-e.usedAt > idleRetention && e.waiting == 0 && e.unsent == 0 && (len(e.batches) == 0 || solo) {
			delete(c.entries, name)
		}
	}
	return r
}

// Update applies an update of the granter, nil if it is of an earlier version. It reports
// whether the granter should know at once that it was received: the VM used its own share, or follows
// another granter.
func (c *Client) Update(now time.Duration, u *Update) (acknowledge bool) {
	if u == nil {
		c.unlimitedUntil = now + soloAfter
		return false
	}
	c.unlimitedUntil = 0
	acknowledge = c.solo(now) || !c.change.following
	if !u.Issuing || u.AnswersMs == 0 || !c.follow(now, u) {
		return false
	}
	if c.endTokens(now); !u.KeepTokens || len(u.Grants) > 0 {
		c.dropTokens()
	}
	answers := time.Duration(u.AnswersMs) * time.Millisecond
	c.updatedAt, c.hadUpdate = now, true
	life := tokenTTL
	if u.TokenMs > 0 {
		life = time.Duration(u.TokenMs) * time.Millisecond
	} else {
		c.share, c.phase, c.shareUntil = u.Share, u.Phase, answers+shareTTL
	}
	for _, g := range u.Grants {
		e := c.entry(now, g.Workspace)
		if g.Tokens > 0 {
			e.batches = append(e.batches, batch{tokens: g.Tokens, until: answers + life, short: u.TokenMs > 0})
		}
		e.lapse(now)
		e.granted = e.held()
	}
	return acknowledge
}

// meter averages the number of events in a second.
type meter struct {
	value float64
	at    time.Duration
}

func (m *meter) add(now time.Duration) {
	m.value = m.decayed(now) + 1
	m.at = now
}

func (m *meter) decayed(now time.Duration) float64 {
	return m.value * math.Exp(-(now-m.at).Seconds()/meterTime.Seconds())
}

func (m *meter) rate(now time.Duration) float64 { return m.decayed(now) / meterTime.Seconds() }

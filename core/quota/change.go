package quota

import (
	"time"

	"dandelionhill.dev/api"
)

const (
	// absentAfter is the time without an update after which the granter counts as lost: updates
	// come every 250 ms, and the granter looks for its tokens every 50 ms.
	absentAfter = 350 * time.Millisecond
	// unansweredAfter is the time without an update after which the requests that come may be those that wait
	// for the next granter: one that is there answers a report of requests that wait sooner.
	unansweredAfter = 150 * time.Millisecond
	// changeTime is for how long after the last update, or its start, a VM expects another
	// granter, changeTail for how long after it follows one, and after short-lived tokens, requests
	// may wait for long: others that wait come first.
	changeTime, changeTail = 5 * time.Second, time.Second
	// maxChangeWaiting bounds the requests of all workspaces that wait for tokens while there is
	// no granter: each holds memory and a connection of its caller.
	maxChangeWaiting = 256
	// replaceTime is the time after the last update of a granter within which a VM that reaches another
	// one gets tokens (docs/workloads.md, section 10.1). Requests wait for them beyond their target
	// latency.
	replaceTime = 1200 * time.Millisecond
	// waitingSkew is how many times its equal part of the requests a VM may get, waitingBurst how many
	// requests of a small workspace may happen to come to one, unknownShare the share of a VM that has none.
	waitingSkew  = 2
	waitingBurst = 8
	unknownShare = 0.05
)

// change is what a VM knows of the granters that it followed, for the next one.
type change struct {
	startedAt time.Duration
	// term is the highest term of a granter that the VM followed.
	term int64
	// loanUntil is until when granters of earlier connections may issue for the share.
	loanUntil time.Duration
	// followed means that this process followed a granter on an earlier connection, following
	// that it has got an update on the present one.
	followed, following bool
	// used is the time for which the VM used its share, up to usedUntil, shortAt when it last
	// may have had short-lived tokens. usedBefore is the use when the VM began to follow the
	// granter, at followedAt.
	used, usedUntil, usedBefore, followedAt, shortAt time.Duration
	window                                           time.Duration
	// lostAt is when the last update of the granter before the present one was received, or the start.
	lostAt time.Duration
}

// start records that the process starts. The process before it, which has ended, may have had any
// tokens, and lent its share.
func (c *change) start(now, window time.Duration) {
	c.startedAt, c.window = now, window
	c.loanUntil, c.shortAt = now+soloAfter, now
}

// endFollowing records that the connection to a granter has ended.
func (c *Client) endFollowing() {
	if c.hadUpdate {
		c.change.loanUntil = max(c.change.loanUntil, c.updatedAt+soloAfter)
		c.change.followed = true
	}
	c.change.following = false
}

// follow records an update of a granter that issues. It reports false for a granter of an earlier
// term than one that the VM followed: the share is lent to the later one.
func (c *Client) follow(now time.Duration, u *Update) bool {
	ch := &c.change
	if u.Term > 0 && u.Term < ch.term {
		return false
	}
	ch.term = max(ch.term, u.Term)
	used := c.used(now)
	if c.hadUpdate && c.solo(now) {
		ch.used, ch.usedUntil = used, now
	}
	switch {
	case !ch.following:
		ch.following, ch.followedAt, ch.usedBefore = true, now, used
		ch.lostAt = max(c.updatedAt, ch.startedAt)
	case c.solo(now):
		ch.usedBefore = ch.window
	}
	if u.TokenMs > 0 {
		ch.shortAt = now + time.Duration(u.TokenMs)*time.Millisecond
	}
	return true
}

// used returns for how long the VM used its share in the last window, or the window if it had
// short-lived tokens in it.
func (c *Client) used(now time.Duration) time.Duration {
	ch := &c.change
	if now < ch.shortAt+ch.window {
		return ch.window
	}
	var used time.Duration
	if now < ch.usedUntil+ch.window {
		used = ch.used
	}
	if c.hadUpdate && c.solo(now) {
		used += now - c.updatedAt - soloAfter
	}
	return min(used, ch.window)
}

// stateChange adds to a report what the granter needs to issue for the share of this VM while
// earlier granters may still act.
func (c *Client) stateChange(now time.Duration, r *Report) {
	ch := &c.change
	used := ch.usedBefore
	if !ch.following {
		used = c.used(now)
	}
	r.Term = ch.term
	r.Started, r.UsedMs = !ch.followed, used.Milliseconds()+1
	if share, _ := c.Share(now); share > 0 && now+soloAfter >= c.shareUntil {
		return
	}
	r.LoanMs = 1
	if left := ch.loanUntil - now; left > 0 {
		r.LoanMs += left.Milliseconds() + 1
	}
}

// absent reports whether the VM hears of no granter that issues.
func (c *Client) absent(now time.Duration) bool {
	return !c.hadUpdate || now >= c.updatedAt+absentAfter
}

// Changing reports whether the granter is being replaced, as far as the VM knows, so that requests
// may wait for longer.
func (c *Client) Changing(now time.Duration) bool {
	ch := &c.change
	if c.hadUpdate && now < max(ch.followedAt, ch.shortAt)+changeTail {
		return true
	}
	return c.absent(now) && now < max(c.updatedAt, ch.startedAt)+changeTime
}

// Patience is for how long a request may wait for a token.
type Patience struct {
	// Short is the time while there is a granter, Long while it is being replaced. Most bounds the wait
	// until replaceTime, which may be longer.
	Short, Long, Most time.Duration
}

// WaitEnd returns until when a request waits for a token that began to wait at a time. While no update
// has come since it began, whether the granter is lost is not known before absentAfter.
func (c *Client) WaitEnd(now, began time.Duration, p Patience) time.Duration {
	long := max(p.Long, min(p.Most, c.replacedBy(now)-began))
	switch {
	case c.Changing(now):
		return began + max(p.Short, long)
	case c.updatedAt <= began:
		return began + max(p.Short, min(long, c.updatedAt+absentAfter-began))
	}
	return began + p.Short
}

// replacedBy returns when tokens of the next granter are expected at the latest.
func (c *Client) replacedBy(now time.Duration) time.Duration {
	if c.change.following && !c.absent(now) {
		return c.change.lostAt + replaceTime
	}
	return max(c.updatedAt, c.change.startedAt) + replaceTime
}

// Hurried reports whether a granter that has just been followed should get a report without delay: requests
// wait, and it issues short-lived tokens only to VMs whose last report is recent; or requests were sent whose
// tokens it counts as held, which bounds what it issues.
func (c *Client) Hurried(now time.Duration) bool {
	if !c.change.following || !c.Changing(now) {
		return false
	}
	for _, e := range c.entries {
		if e.waiting > 0 || e.done > 0 {
			return true
		}
	}
	return false
}

// WaitAgain returns until when a request waits for a token if the one that it had taken has ended before
// its send, and whether it may wait: while the granter is being replaced. p is what is left of its
// patience.
func (c *Client) WaitAgain(now time.Duration, name api.WorkspaceName, l Limit, p Patience) (until time.Duration, ok bool) {
	until = now + max(p.Short, p.Long, min(p.Most, c.replacedBy(now)-now))
	return until, c.Changing(now) && c.MayWait(now, name, l, until-now)
}

// MayWait reports whether another request of a workspace may wait for a token for up to d: one may
// always, more if tokens have come at a sufficient rate. While the granter is being replaced, or may be, the
// equal part of the VM counts as such a rate, and the requests of all workspaces are bounded.
// Without a granter for longer none may.
func (c *Client) MayWait(now time.Duration, name api.WorkspaceName, l Limit, d time.Duration) bool {
	e := c.entry(now, name)
	rate := e.admitted.rate(now)
	changing := c.Changing(now)
	if !changing && !c.solo(now) {
		// The granter may be lost since the last update: requests have come without tokens since then.
		silent := now - c.updatedAt
		d += silent
		changing = silent >= unansweredAfter
	}
	switch {
	case changing:
		total := 0
		for _, other := range c.entries {
			total += other.waiting
		}
		if total >= maxChangeWaiting {
			return false
		}
		share := c.share
		if share <= 0 {
			share = unknownShare
		}
		rate = max(rate, waitingSkew*share*l.Rate)
		if e.waiting < waitingBurst {
			return true
		}
	case c.solo(now):
		return false
	}
	return float64(e.waiting) < 1+rate*d.Seconds()
}

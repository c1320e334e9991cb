// Package quota divides the quotas of workspaces among the entry VMs. One VM, the granter,
// issues tokens for single requests to the VMs that have demand (Issuer); a VM admits a request
// for a token (Client). A VM without a granter admits by itself at a share of the rate, which
// the granter has leased to it and does not issue as tokens meanwhile.
//
// The rule bounds the requests of a workspace that arrive at upstreams in any window. Requests that
// arrive in a window use tokens that VMs held when it began, or that were issued in it, so the
// granter bounds the sum of these for every window. A token counts as held until the request that
// took it is sent, however long that waits for an upstream. A share of the rate is used by the VM
// or issued by the granter, never both.
package quota

import (
	"time"

	"dandelionhill.dev/api"
)

const (
	// tokenTTL is how long a VM may hold a token. It counts from the report that the granter
	// had received, on the clock of the VM, so that it ends within tokenTTL of the issue.
	tokenTTL = 1500 * time.Millisecond
	// soloAfter is the time without an update after which a VM uses its own share. The granter
	// issues tokens for that share for as long after the sending of an update that the VM has
	// acknowledged.
	soloAfter = time.Second
	// shareTTL is how long a share may be used without the granter, counted as tokenTTL. The
	// share of a VM that is lost is not issued for as long. It spans the replacement of a
	// granter, which takes up to 4 s.
	shareTTL = 10 * time.Second
	// tokenHorizon is the time for which a VM with demand holds tokens: the interval between
	// its reports under demand, the granter's interval between issues, and the messages.
	tokenHorizon = 400 * time.Millisecond
	// gapHorizon is the time for which a VM holds tokens beyond tokenHorizon if the workspace has more than
	// it needs: without a granter it serves requests with them until soloAfter.
	gapHorizon = 1200 * time.Millisecond
	// shortTTL is the life of a token while tokens of earlier granters may be in use. A VM with
	// waiting requests reports every 120 ms at most, and an acknowledgement that is younger than
	// soloAfter-shortTTL covers the reports of the others.
	shortTTL = 400 * time.Millisecond
)

// Rule is the bound on the requests of a workspace: in any Window, at most (rate * Window +
// burst) * (1 + Overshoot) + Slack.
type Rule struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// DefaultRule is the rule of deployments that state none.
var DefaultRule = Rule{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// Limit is the quota of a workspace over all VMs: requests per second, 0 for no limit, and a
// burst.
type Limit struct{ Rate, Burst float64 }

// Bound returns the number of requests that the rule allows in any window.
func (r Rule) Bound(l Limit) float64 {
	return (l.Rate*r.Window.Seconds()+l.Burst)*(1+r.Overshoot) + r.Slack
}

// budget is how the difference between the quota of a workspace and the bound of the rule is used.
type budget struct {
	// capacity is the number of tokens that accumulate at the granter.
	capacity float64
	// room bounds, at any time, the tokens that VMs hold plus those that are issued in the
	// following window in excess of the rate.
	room float64
	// extra is what the shares may add to that: requests in excess of the rate, of all shares
	// together. changeExtra is the same for a granter that is not settled, whose predecessors kept
	// to room; those of earlier versions left extra only.
	extra, changeExtra float64
	// slotLife is how long a VM without a granter may take a token of its share, sendLife for how
	// long after that its request may be sent.
	slotLife, sendLife time.Duration
}

const (
	// slotPart and sendPart are the parts of the overshoot for slotLife and sendLife, spareRoom
	// that part of the bound for requests that were sent and not run, and for shares that are not
	// whole numbers.
	slotPart, sendPart, spareRoom = 0.2, 0.1, 0.01
	// changePart is the part of the overshoot up to which changeExtra covers the requests of changeSpan, in
	// which no granter issues. Workspaces with a burst have it, as their room is large.
	changePart, changeSpan = 0.7, time.Second
	// minCapacitySeconds and minCapacity keep tokens between two issues for a workspace with a
	// small burst.
	minCapacitySeconds, minCapacity = 0.25, 3
)

func (r Rule) budget(l Limit) budget {
	bound := r.Bound(l)
	overshoot := bound - l.Rate*r.Window.Seconds() - l.Burst
	atRate := func(part float64) time.Duration {
		return time.Duration(min(part*overshoot/l.Rate, r.Window.Seconds()) * float64(time.Second))
	}
	extra := (slotPart + sendPart) * overshoot
	changeExtra := max(extra, min(changePart*overshoot, l.Rate*changeSpan.Seconds(), l.Burst))
	return budget{
		capacity: max(l.Burst, minCapacity+minCapacitySeconds*l.Rate),
		room:     l.Burst + overshoot - changeExtra - spareRoom*bound,
		extra:    extra, changeExtra: changeExtra,
		slotLife: atRate(slotPart), sendLife: atRate(sendPart),
	}
}

// Report is what a VM tells the granter.
type Report struct {
	// Share is the share that the VM holds.
	Share float64 `cbor:"1,keyasint,omitempty"`
	// Demands holds the workspaces for which something has changed.
	Demands []Demand `cbor:"2,keyasint,omitempty"`
	// LoanMs is 1 more than the time in milliseconds until no granter that the VM followed on
	// an earlier connection issues tokens for its share. 0 means that the VM does not say, as
	// VMs of earlier versions, or that its share ends too soon.
	LoanMs int64 `cbor:"3,keyasint,omitempty"`
	// Started means that the process has not followed a granter before this connection.
	Started bool `cbor:"4,keyasint,omitempty"`
	// UsedMs is the time in milliseconds, of the window before the VM followed this granter, in
	// which the VM used its share, or the whole window if it had short-lived tokens.
	UsedMs int64 `cbor:"5,keyasint,omitempty"`
	// Term is the highest term of a granter that the VM followed. The VM ignores the updates of
	// granters of lower terms.
	Term int64 `cbor:"6,keyasint,omitempty"`
}

// Demand is the demand of a VM for tokens of a workspace.
type Demand struct {
	Workspace api.WorkspaceName `cbor:"1,keyasint"`
	// Done is the number of tokens that requests were sent with or that have lapsed since the
	// last report, less those of requests that were sent and not run. Returned is the number of
	// those that may be issued again.
	Done     int `cbor:"2,keyasint,omitempty"`
	Returned int `cbor:"3,keyasint,omitempty"`
	// Waiting is the number of requests that wait for a token, Rate the number that arrive in
	// a second.
	Waiting int     `cbor:"4,keyasint,omitempty"`
	Rate    float64 `cbor:"5,keyasint,omitempty"`
	// Unsent is the number of tokens of requests that have not been sent yet.
	Unsent int `cbor:"6,keyasint,omitempty"`
}

// Update is what the granter tells a VM. Granters of earlier versions send none.
type Update struct {
	// Issuing means that the granter issues tokens; otherwise the VM uses its share.
	Issuing bool `cbor:"1,keyasint,omitempty"`
	// AnswersMs is the time of the last report that the granter has received, on the clock of
	// the VM in milliseconds.
	AnswersMs int64 `cbor:"2,keyasint,omitempty"`
	// Share is the share of each rate that the VM may use without a granter. Phase, from 0 to
	// 1, spreads the tokens of the shares of different VMs.
	Share float64 `cbor:"3,keyasint,omitempty"`
	Phase float64 `cbor:"4,keyasint,omitempty"`
	// Grants holds new tokens.
	Grants []Grant `cbor:"5,keyasint,omitempty"`
	// TokenMs is the time in milliseconds after which a request may not be sent with the tokens
	// of this update, counted as tokenTTL. 0 means tokenTTL for a token that no request has
	// taken, and no limit after that. With another value the share stays as it is.
	TokenMs int64 `cbor:"6,keyasint,omitempty"`
	// Term is the term of the granter, 0 if it is of an earlier version.
	Term int64 `cbor:"7,keyasint,omitempty"`
	// KeepTokens means that the VM may use tokens of an earlier granter until its loan to that one ends,
	// as this granter issues none to it before. Otherwise such tokens end with the update.
	KeepTokens bool `cbor:"8,keyasint,omitempty"`
}

// Grant holds tokens for requests of a workspace.
type Grant struct {
	Workspace api.WorkspaceName `cbor:"1,keyasint"`
	Tokens    int               `cbor:"2,keyasint"`
}

// MergeGrants adds later grants to earlier ones that have not been sent.
func MergeGrants(earlier, later []Grant) []Grant {
	index := make(map[api.WorkspaceName]int, len(earlier))
	for i, g := range earlier {
		index[g.Workspace] = i
	}
	for _, g := range later {
		if i, known := index[g.Workspace]; known {
			earlier[i].Tokens += g.Tokens
			continue
		}
		earlier = append(earlier, g)
	}
	return earlier
}

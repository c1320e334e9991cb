package gateway

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/hedge"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/core/selection"
	"dandelionhill.dev/core/shardmap"
)

// explain returns what this VM would do with a request now. It decides by the functions by which
// requests are sent, sends nothing and changes nothing.
func (h *requestHandler) explain(q *request, workspace *routing.Workspace) Explanation {
	v := h.view()
	x := Explanation{FailureDomain: h.domain, ConfigurationVersion: v.configVersion()}
	if failure := h.checkArrival(q, v); failure.status != 0 {
		x.Refusal = refusalOf(failure)
		return x
	}
	h.authenticate(q, v.config)
	if workspace != nil {
		q.workspace = workspace
	}
	x.Workspace = q.workspaceName()
	q.config, q.deadline = v.config, q.arrived.Add(q.timeout())
	x.Route = &RouteExplanation{
		Name: q.route.Name, Host: q.route.Host, Prefix: q.route.Prefix, Repeatable: q.route.Idempotent, Public: q.route.Public, Priority: q.priority(),
		TargetMs: q.route.TargetLatency.Milliseconds(), TimeoutMs: q.timeout().Milliseconds(), MaxAttempts: q.route.MaxAttempts,
	}
	if failure := h.checkAuthorization(q); failure.status != 0 {
		x.Refusal = refusalOf(failure)
		return x
	}
	if x.Isolated = h.isIsolated(); x.Isolated {
		return x
	}
	wait, failure := h.quotas.preview(q)
	x.QuotaWaitMs = milliseconds(wait)
	if failure.status != 0 {
		x.Refusal = refusalOf(failure)
		return x
	}
	x.Services = h.explainServices(q, v)
	return x
}

// explainServices explains a request at each service of its route.
func (h *requestHandler) explainServices(q *request, v *view) (out []ServiceExplanation) {
	h.mu.Lock()
	next := h.splitter.Preview(q.route)
	h.mu.Unlock()
	total := 0
	for _, s := range q.route.Services {
		total += s.Weight
	}
	for _, s := range q.route.Services {
		if s.Weight <= 0 && len(q.route.Services) > 1 {
			continue
		}
		x := ServiceExplanation{Service: s.Service, Share: 1, Next: s.Service == next, Candidates: []CandidateExplanation{}}
		if total > 0 {
			x.Share = float64(s.Weight) / float64(total)
		}
		if service := v.config.Services[s.Service]; service == nil {
			x.Refusal = refusalOf(outcome{reason: noUpstream, status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter})
		} else {
			at := *q
			at.service, at.attempts = service, 1
			h.explainService(&at, v, &x)
		}
		out = append(out, x)
	}
	return out
}

func (h *requestHandler) explainService(q *request, v *view, x *ServiceExplanation) {
	x.Keyed = q.service.Keyed
	q.fingerprint = shardmap.Fingerprint(q.service.Name, q.http.Method, q.http.RequestURI, nil)
	var u *upstream
	var wait time.Duration
	var failure outcome
	switch {
	case h.crashes.quarantined(q.fingerprint):
		failure = outcome{reason: quarantined, status: http.StatusServiceUnavailable, retryAfter: quarantineTime}
	case h.stopsBefore(q):
		failure = outcome{reason: vmStopping, status: http.StatusServiceUnavailable, retryAfter: otherVMRetryAfter}
	case q.service.Keyed:
		u, wait, failure = h.explainOwner(q, v, x)
	default:
		u, failure = h.explainChoice(q, v, x)
	}
	if u != nil && wait == 0 && failure.status == 0 {
		wait, failure = h.previewSlot(q, u)
		x.WaitFor = "slot"
	}
	if x.WaitMs = milliseconds(wait); x.WaitMs == 0 {
		x.WaitFor = ""
	}
	if failure.status != 0 {
		x.Refusal, x.WaitFor = refusalOf(failure), ""
		return
	}
	if u != nil {
		x.Selected = u.id
		x.Hedging = h.explainHedging(q, v, u)
	}
	x.Retries = h.explainRetries(q)
}

// previewSlot returns for how long a request would wait for a slot of an upstream, or its outcome.
func (h *requestHandler) previewSlot(q *request, u *upstream) (wait time.Duration, failure outcome) {
	err := h.checkPermits(u)
	if err == nil {
		wait, err = u.limiter.preview(h.admissionParams(q))
	}
	if errors.Is(err, errUnusable) {
		return 0, noCandidate(noUpstream, 0) // the view that says so is about to be published
	}
	if err != nil {
		return 0, busyOutcome(u, err)
	}
	return wait, outcome{}
}

// explainOwner explains a request with a key.
func (h *requestHandler) explainOwner(q *request, v *view, x *ServiceExplanation) (u *upstream, wait time.Duration, failure outcome) {
	if q.params.Key < 0 {
		return nil, 0, noKey
	}
	table := v.owners[q.service.Name]
	x.Owner = &OwnerExplanation{Key: q.params.Key, Upstream: table.owner(q.params.Key), Term: table.Term, Version: table.Version}
	for _, s := range table.Spans {
		if s.Span.First <= q.params.Key && q.params.Key <= s.Span.Last {
			x.Owner.First, x.Owner.Last = s.Span.First, s.Span.Last
		}
	}
	u, why, untilReady := h.checkOwner(q, v)
	if u != nil {
		c := considered{upstream: u, why: why, wait: untilReady}
		if why == "" {
			c.candidate = u.candidate(time.Now(), h.stats.expectedLatency(q.route.Name), h.domain)
		}
		x.Candidates = append(x.Candidates, c.explain(v, why == "", 0))
	}
	if why == "" {
		return u, 0, outcome{}
	}
	wait, failure = h.ownerWait(q, why, untilReady, ownerWaitEnd(q), h.absentFor)
	x.WaitFor = string(why)
	return nil, wait, failure
}

// absentFor returns for how long the key of a request has had no owner.
func (h *requestHandler) absentFor(q *request) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.absences.Age(time.Since(h.start), q.service.Name, q.params.Key)
}

// explainChoice explains a request that any upstream of its service may run.
func (h *requestHandler) explainChoice(q *request, v *view, x *ServiceExplanation) (*upstream, outcome) {
	found := make(map[api.UpstreamID]considered)
	best, retryAfter, cause := h.rankUpstreams(q, v, nil, func(c considered) { found[c.upstream.id] = c })
	bestCost := 0.0
	if best != nil {
		bestCost = found[best.id].candidate.Cost()
	}
	for _, u := range v.services[q.service.Name] {
		c, ok := found[u.id]
		if !ok {
			c = considered{upstream: u, later: true}
		}
		x.Candidates = append(x.Candidates, c.explain(v, u == best, bestCost))
	}
	slices.SortFunc(x.Candidates, func(a, b CandidateExplanation) int {
		if a.Selected != b.Selected {
			return map[bool]int{true: -1, false: 1}[a.Selected]
		}
		return cmp.Or(cmp.Compare(a.CostMs, b.CostMs), cmp.Compare(a.Upstream, b.Upstream))
	})
	if best == nil {
		return nil, noCandidate(cause, retryAfter)
	}
	return best, outcome{}
}

// slowFactor is the multiple of the latency at the selected upstream from which another one is called
// slow in an explanation. No decision depends on it.
const slowFactor = 2

// explain says why an upstream was selected or passed over. bestCost is that of the selected one.
func (c considered) explain(v *view, selected bool, bestCost float64) CandidateExplanation {
	x := CandidateExplanation{Upstream: c.upstream.id, FailureDomain: c.upstream.registration.Load().Domain, Selected: selected, WaitMs: milliseconds(c.wait)}
	if c.candidate != (selection.Candidate{}) {
		x.CostMs, x.LatencyMs, x.Ahead, x.Slots = 1000*c.candidate.Cost(), 1000*c.candidate.Latency, c.candidate.Ahead, c.candidate.Slots
		x.FailureRate, x.Local = c.candidate.FailureRate, c.candidate.Local
	}
	if selected {
		return x
	}
	switch cause := v.unusableCause(c.upstream); {
	case cause != "":
		x.Reason = cause
	case c.later && c.upstream.isLeaving():
		x.Reason = string(ownerLeaving)
	case c.later:
		x.Reason = "not_considered"
	case c.why != "":
		x.Reason = string(c.why)
	case c.permitWait > 0:
		x.Reason, x.WaitMs = string(limited), milliseconds(c.permitWait)
	case c.upstream.limiter.pause() > 0:
		x.Reason, x.WaitMs = "paused", milliseconds(c.upstream.limiter.pause())
	case c.candidate.Avoid:
		x.Reason = "failed_recently"
	case c.candidate.Cost() < bestCost:
		x.Reason = "other_domain"
	case c.candidate.Ahead >= float64(max(c.candidate.Slots, 1)):
		x.Reason = "full"
	case c.candidate.Latency > slowFactor*bestCost:
		x.Reason = "slow"
	default:
		x.Reason = "higher_cost"
	}
	return x
}

// explainHedging explains whether a request that is sent to u would be hedged.
func (h *requestHandler) explainHedging(q *request, v *view, u *upstream) (x HedgingExplanation) {
	if h.hedges == nil {
		return HedgingExplanation{Skip: hedgingOff}
	}
	var after time.Duration
	var budget bool
	h.hedges.withPolicy(func(p *hedge.Policy) { after, x.Skip, budget = p.Preview(h.hedgePlan(q)) })
	x.AfterMs = milliseconds(after)
	if x.Skip != hedge.None {
		return x
	}
	second := h.hedgeTarget(q, v, u, map[api.UpstreamID]bool{u.id: true})
	switch {
	case h.crashes.suspected(q.fingerprint):
		x.Skip = hedge.Suspect
	case second == nil:
		x.Skip = hedge.NoSlot
	case !budget:
		x.Skip = hedge.Budget
	case !h.previewRetry(q):
		x.Skip = hedge.RetryBudget
	default:
		x.Upstream = second.id
	}
	return x
}

// explainRetries explains how often a request would be sent again.
func (h *requestHandler) explainRetries(q *request) RetriesExplanation {
	x := RetriesExplanation{NotRun: maxSends - 1, Budget: h.previewRetry(q)}
	if q.route.Idempotent {
		x.AfterRun = max(min(q.route.MaxAttempts, maxSends)-1, 0)
	}
	return x
}

// previewRetry reports whether the retry budget allows a retry after the next request has been counted.
func (h *requestHandler) previewRetry(q *request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	budget := h.newRetryBudget()
	if known := h.retryBudgets[q.service.Name]; known != nil {
		*budget = *known
	}
	budget.Allowance = h.retryAllowance()
	now := time.Since(h.start)
	budget.Request(now)
	return budget.Take(now)
}

func refusalOf(failure outcome) *Refusal {
	return &Refusal{Reason: string(failure.reason), Status: failure.status, RetryAfterMs: milliseconds(failure.retryAfter), Remedy: failure.remedy()}
}

// milliseconds rounds up, so that a short wait is not shown as none.
func milliseconds(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

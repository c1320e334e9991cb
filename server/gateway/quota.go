package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/quota"
	"dandelionhill.dev/core/routing"
)

const (
	// maxTokenWait bounds the wait for a token: a message to the granter and back takes some
	// milliseconds, reports of VMs with much demand are up to 120 ms apart.
	maxTokenWait = 150 * time.Millisecond
	// tokenWaitShare is the share of the remaining time of a request up to which it waits.
	tokenWaitShare = 0.25
	// changeWaitShare is the same for the wait until the next granter issues, beyond the target latency of
	// the route: a request with 4 s waits for up to 1.2 s, the bound of section 10.1 of docs/workloads.md.
	// Callers have most of their time left for another attempt.
	changeWaitShare = 0.3
	// sharePollInterval is the time between looks for tokens of the VM's share while requests wait: a
	// share of a large quota has some in a second.
	sharePollInterval = 25 * time.Millisecond
)

// quotas admits the requests of workspaces within their quotas on this VM, see core/quota.
type quotas struct {
	metrics *Metrics
	log     zerolog.Logger
	// reportNow requests a report to the granter without delay.
	reportNow func()
	// now is bootTime, maxWait is maxTokenWait; tests set others.
	now     func() time.Duration
	maxWait time.Duration

	mu      sync.Mutex
	client  *quota.Client
	waiting map[api.WorkspaceName][]*tokenWaiter // first come, first served
	counts  map[api.WorkspaceName]*quotaCounts
	solo    bool // as last logged
	polling bool // see pollShare
	// labels are the names of the workspaces that have a label of their own.
	config *routing.Configuration // from which labels were determined
	labels map[api.WorkspaceName]bool
}

// quotaCounts counts the requests of a workspace in this process.
type quotaCounts struct{ admitted, refused, returned int }

// tokenWaiter is a request that waits for a token.
type tokenWaiter struct {
	limit quota.Limit
	// taken is closed when token has been set.
	taken chan struct{}
	token quota.Taken
}

// quotaUse is the token of a request.
type quotaUse struct {
	workspace api.WorkspaceName // empty without a token
	token     quota.Taken
}

func newQuotas(rule quota.Rule, m *Metrics, log zerolog.Logger) *quotas {
	return &quotas{
		metrics: m, log: log, reportNow: func() {}, now: bootTime, maxWait: maxTokenWait, client: quota.NewClient(rule, bootTime()), solo: true,
		waiting: make(map[api.WorkspaceName][]*tokenWaiter), counts: make(map[api.WorkspaceName]*quotaCounts),
	}
}

// limitOf returns the quota of a workspace; its rate is 0 if there is none.
func limitOf(w *routing.Workspace) quota.Limit {
	if w == nil {
		return quota.Limit{}
	}
	return quota.Limit{Rate: w.Rate, Burst: w.Burst}
}

// take takes a token for a request of a workspace with a quota, and waits for one if it may come
// in time. It returns an outcome with a status if the request is over the quota. A request that
// another VM has passed on after it may have run has used a token there.
func (s *quotas) take(ctx context.Context, q *request) outcome {
	limit := limitOf(q.workspace)
	if limit.Rate <= 0 || q.proxied && q.mayHaveRun > 0 {
		return outcome{}
	}
	name := q.workspace.Name
	s.mu.Lock()
	now := s.now()
	if len(s.waiting[name]) == 0 {
		s.logSolo(now)
	}
	decision := s.decide(s.client, now, q)
	switch {
	case decision.taken:
		q.quota = quotaUse{workspace: name, token: decision.token}
		s.count(name, "admitted").admitted++
		wanted := s.client.WantsReport(now, name)
		s.mu.Unlock()
		if wanted {
			s.reportNow()
		}
		return outcome{}
	case decision.refused:
		defer s.mu.Unlock()
		return s.refuse(now, name, limit)
	}
	return s.wait(ctx, q, now, decision.until, decision.patience, false)
}

// wait waits for a token until a time, before other requests if first. s.mu is held, and released on return.
func (s *quotas) wait(ctx context.Context, q *request, began, until time.Duration, p quota.Patience, first bool) outcome {
	name, limit, now := q.workspace.Name, limitOf(q.workspace), began
	w := &tokenWaiter{limit: limit, taken: make(chan struct{})}
	if first {
		s.waiting[name] = slices.Insert(s.waiting[name], 0, w)
	} else {
		s.waiting[name] = append(s.waiting[name], w)
	}
	s.client.Wait(now, name, 1)
	if s.client.Changing(now) {
		s.pollShare()
	}
	s.mu.Unlock()
	s.reportNow()
	s.await(ctx, w, began, until, p)
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.now()
	result := "over_quota"
	defer func() {
		if now-began > s.maxWait {
			s.metrics.longWaits.WithLabelValues(result).Inc()
		}
	}()
	select {
	case <-w.taken:
		result = "admitted"
		q.quota = quotaUse{workspace: name, token: w.token}
		s.count(name, "admitted").admitted++
		return outcome{}
	default:
	}
	s.waiting[name] = slices.DeleteFunc(s.waiting[name], func(other *tokenWaiter) bool { return other == w })
	if len(s.waiting[name]) == 0 {
		delete(s.waiting, name)
	}
	s.client.Wait(now, name, -1)
	return s.refuse(now, name, limit)
}

// quotaDecision is what becomes of a request whose workspace has a quota.
type quotaDecision struct {
	taken, refused bool
	token          quota.Taken
	// until is until when the request waits for a token if neither, by patience.
	until    time.Duration
	patience quota.Patience
}

// decide decides on a request whose workspace has a quota, by a client or a copy of it; s.mu is held.
// It changes nothing else.
func (s *quotas) decide(client *quota.Client, now time.Duration, q *request) (d quotaDecision) {
	name, limit := q.workspace.Name, limitOf(q.workspace)
	client.Arrive(now, name)
	if len(s.waiting[name]) == 0 {
		if d.token, d.taken = client.Take(now, name, limit); d.taken {
			return d
		}
	}
	d.patience = s.patience(q)
	d.until = client.WaitEnd(now, now, d.patience)
	d.refused = !client.MayWait(now, name, limit, d.until-now)
	return d
}

// preview returns whether a request would wait for a token and for how long at most, and the outcome
// with which it would be refused at once. Nothing changes: a copy of the client decides.
func (s *quotas) preview(q *request) (wait time.Duration, failure outcome) {
	limit := limitOf(q.workspace)
	if limit.Rate <= 0 {
		return 0, outcome{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, client := s.now(), s.client.Copy()
	switch d := s.decide(client, now, q); {
	case d.taken:
		return 0, outcome{}
	case !d.refused:
		return d.until - now, outcome{}
	}
	return 0, overQuotaOutcome(client, now, q.workspace.Name, limit, 0.5)
}

// overQuotaOutcome is the outcome of a request over the quota; spread is that of Client.RetryAfter.
func overQuotaOutcome(client *quota.Client, now time.Duration, name api.WorkspaceName, limit quota.Limit, spread float64) outcome {
	return outcome{reason: overQuota, status: http.StatusTooManyRequests, retryAfter: client.RetryAfter(now, name, limit, spread)}
}

// patience returns for how long a request waits for a token, and for how long while the granter is being
// replaced: within its target latency, if the configuration states one, and until the next granter is due.
func (s *quotas) patience(q *request) quota.Patience {
	part := func(share float64) time.Duration { return time.Duration(share * float64(q.remaining())) }
	p := quota.Patience{Short: min(s.maxWait, part(tokenWaitShare)), Long: min(s.maxWait, part(tokenWaitShare)), Most: part(changeWaitShare)}
	if q.route != nil && q.route.TargetLatency > 0 {
		p.Long = min(part(tokenWaitShare), q.route.TargetLatency-time.Since(q.arrived))
	}
	return p
}

// await returns when a request has got a token, has ended or has waited until a time, which is later
// if the granter turns out to be lost.
func (s *quotas) await(ctx context.Context, w *tokenWaiter, began, until time.Duration, p quota.Patience) {
	timer := time.NewTimer(until - began)
	defer timer.Stop()
	for {
		select {
		case <-w.taken:
			return
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		s.mu.Lock()
		now := s.now()
		next := s.client.WaitEnd(now, began, p)
		if next > until {
			s.pollShare()
		}
		s.mu.Unlock()
		if next <= until {
			return
		}
		timer.Reset(max(next-now, 0))
		until = next
	}
}

// pollShare admits requests that wait while this VM uses its share, whose tokens come without an
// update; s.mu is held.
func (s *quotas) pollShare() {
	if s.polling {
		return
	}
	s.polling = true
	time.AfterFunc(sharePollInterval, func() {
		s.mu.Lock()
		now := s.now()
		s.polling = false
		s.logSolo(now)
		for name := range s.waiting {
			s.admitWaiting(now, name)
		}
		if len(s.waiting) > 0 && s.client.Changing(now) {
			s.pollShare()
		}
		hurried := s.client.Hurried(now)
		s.mu.Unlock()
		if hurried {
			s.reportNow()
		}
	})
}

// takeNow takes a token that the VM holds; s.mu is held.
func (s *quotas) takeNow(now time.Duration, q *request, name api.WorkspaceName, limit quota.Limit) bool {
	s.logSolo(now)
	token, ok := s.client.Take(now, name, limit)
	if ok {
		q.quota = quotaUse{workspace: name, token: token}
		s.count(name, "admitted").admitted++
	}
	return ok
}

// refuse returns the outcome of a request over the quota; s.mu is held.
func (s *quotas) refuse(now time.Duration, name api.WorkspaceName, limit quota.Limit) outcome {
	s.count(name, "over_quota").refused++
	return overQuotaOutcome(s.client, now, name, limit, rand.Float64())
}

// beforeSend records that a request is about to be sent to an upstream. It takes a token if the
// request has none that holds: while it was waiting, the granter may have changed, or the quota or
// the workspace of its key in the configuration. It returns an outcome with a status if the
// request is over the quota, and whether takeAgain may get a token for it.
func (s *quotas) beforeSend(q *request) (failure outcome, again bool) {
	limit := limitOf(q.workspace)
	if q.mayHaveRun > 0 || limit.Rate <= 0 && q.quota.workspace == "" {
		return outcome{}, false
	}
	s.mu.Lock()
	now := s.now()
	defer func() {
		hurried := s.client.Hurried(now)
		s.mu.Unlock()
		if hurried {
			s.reportNow()
		}
	}()
	if q.workspace == nil || q.quota.workspace != q.workspace.Name {
		s.returnToken(now, q)
	}
	if limit.Rate <= 0 {
		return outcome{}, false
	}
	name, ended := q.workspace.Name, q.quota.workspace != ""
	if s.sendWithToken(now, q, name, limit) {
		return outcome{}, false
	}
	if ended {
		if _, mayWait := s.client.WaitAgain(now, name, limit, s.patience(q)); mayWait {
			return overQuotaOutcome(s.client, now, name, limit, rand.Float64()), true
		}
	}
	return s.refuse(now, name, limit), false
}

// takeAgain waits for a token for a request whose token ended before its send because the granter is being
// replaced, before the requests that have had none. The request is then sent as one that has just taken a
// token: its upstream is chosen again, as the view may have changed meanwhile.
func (s *quotas) takeAgain(ctx context.Context, q *request) (failure outcome) {
	defer func() {
		result := "admitted"
		if failure.status != 0 {
			result = "over_quota"
		}
		s.metrics.endedTokens.WithLabelValues(result).Inc()
	}()
	s.mu.Lock()
	now, name, limit := s.now(), q.workspace.Name, limitOf(q.workspace)
	if s.takeNow(now, q, name, limit) {
		s.mu.Unlock()
		return outcome{}
	}
	until, mayWait := s.client.WaitAgain(now, name, limit, s.patience(q))
	if !mayWait {
		defer s.mu.Unlock()
		return s.refuse(now, name, limit)
	}
	return s.wait(ctx, q, now, until, quota.Patience{Short: until - now}, true)
}

// sendWithToken records that a request is sent with its token, or with another one that the VM holds. It
// reports false if it has none; s.mu is held.
func (s *quotas) sendWithToken(now time.Duration, q *request, name api.WorkspaceName, limit quota.Limit) bool {
	if q.quota.workspace != "" && s.client.Sent(now, name, limit, &q.quota.token) {
		return true
	}
	q.quota = quotaUse{}
	return s.takeNow(now, q, name, limit) && s.client.Sent(now, name, limit, &q.quota.token)
}

// afterSend keeps the token of a request that was sent and that no upstream has run.
func (s *quotas) afterSend(q *request) {
	if q.mayHaveRun > 0 || q.quota.workspace == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.NotRun(s.now(), q.quota.workspace, &q.quota.token)
}

// giveBack returns the token of a request that has ended, or that another VM will send, if it has
// not run.
func (s *quotas) giveBack(q *request) {
	if q.mayHaveRun > 0 || q.quota.workspace == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returnToken(s.now(), q)
}

// returnToken returns the token of a request that has not run; s.mu is held.
func (s *quotas) returnToken(now time.Duration, q *request) {
	use := q.quota
	if use.workspace == "" {
		return
	}
	q.quota = quotaUse{}
	s.client.NotRun(now, use.workspace, &use.token)
	if s.client.Return(now, use.workspace, use.token) {
		s.count(use.workspace, "returned").returned++
	}
}

// connected begins a connection to a granter. It issues tokens to this VM after the first report.
func (s *quotas) connected() {
	s.mu.Lock()
	s.client.Connected()
	s.mu.Unlock()
	if s.limited() {
		s.reportNow()
	}
}

// limited reports whether a workspace of the configuration has a quota.
func (s *quotas) limited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.labels) > 0
}

// report returns what the granter should know.
func (s *quotas) report() *quota.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.client.Report(s.now())
	return &r
}

// update applies an update of the granter and admits the requests that wait for its tokens.
func (s *quotas) update(u *quota.Update) {
	s.mu.Lock()
	now := s.now()
	acknowledge := s.client.Update(now, u)
	s.logSolo(now)
	if u != nil {
		for _, grant := range u.Grants {
			s.admitWaiting(now, grant.Workspace)
		}
	}
	s.mu.Unlock()
	if acknowledge {
		s.reportNow()
	}
}

// admitWaiting gives tokens to requests that wait; s.mu is held.
func (s *quotas) admitWaiting(now time.Duration, name api.WorkspaceName) {
	waiting := s.waiting[name]
	for len(waiting) > 0 {
		token, ok := s.client.Take(now, name, waiting[0].limit)
		if !ok {
			break
		}
		waiting[0].token = token
		close(waiting[0].taken)
		s.client.Wait(now, name, -1)
		waiting = waiting[1:]
	}
	if len(waiting) == 0 {
		delete(s.waiting, name)
		return
	}
	s.waiting[name] = waiting
}

// logSolo logs when this VM begins or ends to use its own share of the quotas; s.mu is held.
func (s *quotas) logSolo(now time.Duration) {
	share, solo := s.client.Share(now)
	if solo == s.solo {
		return
	}
	s.solo = solo
	s.log.Info().Str("event", "quota_share_used").Bool("used", solo).Float64("share", share).Msg("")
}

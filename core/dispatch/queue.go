package dispatch

import (
	"fmt"
	"time"

	"dandelionhill.dev/api"
)

// upstream is the state of one upstream.
type upstream struct {
	id          api.UpstreamID
	limit       Limit
	inFlight    int
	exclusive   bool // an exclusive request is running
	lane        *lane
	serviceTime serviceTime
	listed      bool
}

// free returns how many more requests, other than exclusive ones, may start.
func (u *upstream) free() int {
	if !u.limit.Open || u.exclusive {
		return 0
	}
	return max(0, u.limit.InFlight-u.inFlight)
}

// copyID identifies the first copy of a request or its hedge.
type copyID struct {
	id    uint64
	hedge bool
}

// run is a request in flight.
type run struct {
	up        *upstream
	lane      *lane
	key       *key // nil for hedges
	exclusive bool

	keyHash, callerHash uint64

	charge  *float64 // service time account, charged in advance and corrected at the end
	charged float64
}

// Queue is the scheduler of one shard. It is not safe for concurrent use.
type Queue struct {
	cfg                   Config
	upstreams             []*upstream
	byID                  map[api.UpstreamID]*upstream
	shared                *lane
	queued                map[uint64]*item
	hedges                map[uint64]*item
	running               map[copyID]run
	ranges                map[int]*rangeState
	keyTimes, callerTimes history
	searchStart           int // where the search for the least loaded upstream begins
}

// New returns an empty queue without upstreams.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:     cfg.withDefaults(),
		byID:    map[api.UpstreamID]*upstream{},
		shared:  newLane(nil),
		queued:  map[uint64]*item{},
		hedges:  map[uint64]*item{},
		running: map[copyID]run{},
		ranges:  map[int]*rangeState{},

		keyTimes: newHistory(), callerTimes: newHistory(),
	}
}

// SetLimits replaces the limits of all upstreams. Upstreams that are not listed
// get no more starts and are removed once they have no requests.
func (q *Queue) SetLimits(limits []Limit) {
	for _, u := range q.upstreams {
		u.listed = false
		u.limit = Limit{Upstream: u.id}
	}
	for _, limit := range limits {
		u := q.upstreamOf(limit.Upstream)
		u.listed = true
		u.limit = limit
	}
	kept := q.upstreams[:0]
	for _, u := range q.upstreams {
		if u.listed || u.inFlight > 0 || u.lane != nil && u.lane.queued > 0 {
			kept = append(kept, u)
			continue
		}
		delete(q.byID, u.id)
	}
	clear(q.upstreams[len(kept):])
	q.upstreams = kept
}

// SetLimit replaces the limit of one upstream. It has no effect on an upstream
// that the last SetLimits did not list.
func (q *Queue) SetLimit(limit Limit) {
	if u := q.byID[limit.Upstream]; u != nil && u.listed {
		u.limit = limit
	}
}

func (q *Queue) upstreamOf(id api.UpstreamID) *upstream {
	u := q.byID[id]
	if u == nil {
		u = &upstream{id: id, limit: Limit{Upstream: id}}
		q.byID[id] = u
		q.upstreams = append(q.upstreams, u)
	}
	return u
}

// laneOf returns the lane of an upstream, or the shared lane for an empty ID.
func (q *Queue) laneOf(id api.UpstreamID) *lane {
	if id == "" {
		return q.shared
	}
	u := q.upstreamOf(id)
	if u.lane == nil {
		u.lane = newLane(u)
	}
	return u.lane
}

// Admit queues a request, or refuses it if its queue is full or its deadline
// cannot be met. For a closed upstream the queueing delay is left out, because it
// is not known when the upstream opens.
func (q *Queue) Admit(now time.Duration, r Request) *api.Refusal {
	if r.Hedge {
		return q.admitHedge(r)
	}
	if q.queued[r.ID] != nil || q.isRunning(r.ID, false) || q.isRunning(r.ID, true) {
		return api.Refuse(api.DuplicateRunning, "a request with this ID is already queued or running")
	}
	l := q.laneOf(r.Upstream)
	state := q.laneState(l)
	it := newItem(r)
	if refusal := q.checkLength(l, it, state); refusal != nil {
		return refusal
	}
	it.estimate = q.estimate(l, it)
	if refusal := q.checkDeadline(now, l, it, state); refusal != nil {
		return refusal
	}
	it.latestStart = r.Deadline - 1
	if !it.probe {
		it.latestStart = r.Deadline - it.estimate.lowerBound()
	}
	q.attach(l, it)
	return nil
}

func newItem(r Request) *item {
	it := &item{req: r}
	it.inFlow.value = it
	it.keyHash, it.callerHash = hashes(r)
	return it
}

func (q *Queue) admitHedge(r Request) *api.Refusal {
	l := q.shared
	switch {
	case r.Exclusive || r.Upstream != "":
		return api.Refuse(api.BadRequest, "only unkeyed requests that need not run alone can be hedged")
	case q.hedges[r.ID] != nil || q.isRunning(r.ID, true):
		return api.Refuse(api.DuplicateRunning, "a hedge of this request is already queued or running")
	case l.hedged >= q.cfg.QueueLength:
		return api.Refuse(api.QueueFull, "hedge queue is full").WithRetryAfter(q.cfg.MinRetryAfter)
	}
	it := newItem(r)
	it.estimate = q.estimate(l, it)
	it.latestStart = r.Deadline - it.estimate.lowerBound()
	q.attach(l, it)
	return nil
}

// checkLength applies the limits of the queue and of the shares of one key and
// one caller. A request for a closed upstream is pooled: it may use the length of
// all queues together, because the load that arrives during an expired lease, a
// move or a takeover exceeds the length for an open upstream. So are requests that
// waited for a holder and arrive together. Pooled requests do not count against the
// limits of the others.
func (q *Queue) checkLength(l *lane, it *item, state laneState) *api.Refusal {
	r := it.req
	full := func(kind api.Kind, message string, queued int) *api.Refusal {
		delay := float64(queued) / 2 * l.serviceTime.orDefault(q.cfg.ServiceTime).mean
		if state.rate > 0 {
			delay = float64(queued) / 2 / state.rate
		}
		return q.refuse(kind, state, message, time.Duration(delay))
	}
	it.pooled = l.up != nil && (state.rate == 0 || r.Waited)
	length, counted := q.cfg.QueueLength, l.queued-l.pooled
	if l.up == nil || it.pooled {
		length *= max(1, len(q.upstreams))
		counted = len(q.queued)
	}
	if counted >= length {
		return full(api.QueueFull, "queue is full", l.queued)
	}
	// ordinary excludes pooled requests, unless this is one.
	ordinary := func(queued, pooled int) int {
		if it.pooled {
			return queued
		}
		return queued - pooled
	}
	if k := l.keys[keyID{r.Key, r.Range}]; k != nil && r.Key != "" && ordinary(k.queued, k.pooled) >= share(length, q.cfg.KeyShare) {
		return full(api.QueueFull, "key fills its share of the queue", k.queued)
	}
	if c := l.callers[r.Caller]; c != nil && ordinary(c.queued, c.pooled) >= share(length, q.cfg.CallerShare) {
		return full(api.RateLimited, "caller fills its share of the queue", c.queued)
	}
	return nil
}

func share(length int, part float64) int { return max(1, int(float64(length)*part)) }

// checkDeadline refuses a request that is not likely to finish in time.
func (q *Queue) checkDeadline(now time.Duration, l *lane, it *item, state laneState) *api.Refusal {
	r := it.req
	if r.Deadline == 0 {
		return nil
	}
	need := it.estimate.lowerBound()
	if state.idle {
		// A probe costs nothing here, and it corrects an estimate that is too high.
		need, it.probe = 0, true
	}
	if !state.hasRoom && state.rate > 0 {
		margin := q.cfg.AdmitMargin
		if l.sparse.n < sparsePerSlot*state.slots && l.wouldBeSparse(r) {
			margin, it.noMargin = 0, true
		}
		need = q.wait(l, it, state) + it.estimate.upperBound(margin)
	}
	if r.Deadline >= now+need || q.mayProbe(now, l, it, state) {
		return nil
	}
	return q.refuse(api.DeadlineUnmeetable, state, fmt.Sprintf("the response is expected in %v, after the deadline", need), now+need-r.Deadline)
}

// refuse returns a refusal for lack of capacity.
func (q *Queue) refuse(kind api.Kind, state laneState, message string, delay time.Duration) *api.Refusal {
	if state.cold && state.rate > 0 {
		kind = api.Cold
	}
	return api.Refuse(kind, message).WithRetryAfter(max(delay, q.cfg.MinRetryAfter))
}

func (q *Queue) isRunning(id uint64, hedge bool) bool {
	_, ok := q.running[copyID{id, hedge}]
	return ok
}

// Done records the end of a run. took updates the service time estimates if ok, or
// if it already exceeds the mean.
func (q *Queue) Done(_ time.Duration, id uint64, up api.UpstreamID, took time.Duration, ok bool) {
	runningID := copyID{id, false}
	r, found := q.running[runningID]
	if !found || r.up.id != up {
		runningID.hedge = true
		r, found = q.running[runningID]
	}
	if !found || r.up.id != up {
		return
	}
	delete(q.running, runningID)
	r.up.inFlight--
	if r.exclusive {
		r.up.exclusive = false
	}
	if ok || float64(took) > r.up.serviceTime.orDefault(q.cfg.ServiceTime).mean {
		r.up.serviceTime.observe(took, q.cfg.Smoothing)
		r.lane.serviceTime.observe(took, q.cfg.Smoothing)
		q.learn(r, took)
	}
	if r.charge != nil {
		*r.charge += float64(took) - r.charged
	}
	if r.key == nil {
		return
	}
	r.key.running--
	if q.cfg.KeyInFlight > 0 {
		q.refreshKey(r.key)
	}
	if r.key.rangeState != nil {
		r.key.rangeState.running--
	}
	q.pruneKey(r.key)
}

// Cancel removes the queued copies of a request. Copies in flight count until Done.
func (q *Queue) Cancel(id uint64) {
	if it := q.queued[id]; it != nil {
		q.detach(it)
	}
	if it := q.hedges[id]; it != nil {
		q.detach(it)
	}
}

// Queued returns the number of queued requests, hedges included.
func (q *Queue) Queued() int { return len(q.queued) + len(q.hedges) }

// QueuedFor returns the number of requests queued for one upstream.
func (q *Queue) QueuedFor(up api.UpstreamID) int {
	if u := q.byID[up]; u != nil && u.lane != nil {
		return u.lane.queued
	}
	return 0
}

// InFlight returns the number of requests in flight on one upstream.
func (q *Queue) InFlight(up api.UpstreamID) int {
	if u := q.byID[up]; u != nil {
		return u.inFlight
	}
	return 0
}

package dispatch

import (
	"fmt"
	"time"

	"dandelionhill.dev/api"
)

// upstream is the state of one upstream.
type upstream struct {
	id       api.UpstreamID
	limit    Limit
	inFlight int
	solo     bool // a solo run is in progress
	lane     *lane
	service  service
	listed   bool
}

// free returns how many more requests may start, solo runs aside.
func (u *upstream) free() int {
	if !u.limit.Open || u.solo {
		return 0
	}
	return max(0, u.limit.InFlight-u.inFlight)
}

// copyID tells the first copy of a request from its hedge.
type copyID struct {
	id    uint64
	hedge bool
}

// run is a request in flight.
type run struct {
	up   *upstream
	lane *lane
	key  *key // nil for hedges
	solo bool

	keyHash, callerHash uint64

	time    *float64 // was given charged at the start, and gets the rest at the end
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
	turn                  int // where the search for the least loaded upstream begins
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

// SetLimits replaces the limits of all upstreams. Upstreams that are not named
// get no more starts and are forgotten once nothing refers to them.
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
// that the last SetLimits did not name.
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

// laneOf returns the lane of an upstream, or the shared lane for none.
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
// cannot be met. While its upstream is closed a request is queued, because it
// is not known for how long.
func (q *Queue) Admit(now time.Duration, r Request) *api.Refusal {
	if r.Hedge {
		return q.admitHedge(r)
	}
	if q.queued[r.ID] != nil || q.isRunning(r.ID, false) || q.isRunning(r.ID, true) {
		return api.Refuse(api.DuplicateRunning, "a request with this number is queued or running already")
	}
	l := q.laneOf(r.Upstream)
	o := q.outlook(l)
	it := newItem(r)
	if refusal := q.checkLength(l, it, o); refusal != nil {
		return refusal
	}
	it.run = q.expected(l, it)
	if refusal := q.checkDeadline(now, l, it, o); refusal != nil {
		return refusal
	}
	it.latest = r.Deadline - 1
	if !it.try {
		it.latest = r.Deadline - it.run.least()
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
		return api.Refuse(api.BadRequest, "only unkeyed requests that may run next to others can be hedged")
	case q.hedges[r.ID] != nil || q.isRunning(r.ID, true):
		return api.Refuse(api.DuplicateRunning, "a hedge of this request is queued or running already")
	case l.hedged >= q.cfg.QueueLength:
		return api.Refuse(api.QueueFull, "queue of hedges is full").WithRetryAfter(q.cfg.MinRetryAfter)
	}
	it := newItem(r)
	it.run = q.expected(l, it)
	it.latest = r.Deadline - it.run.least()
	q.attach(l, it)
	return nil
}

// checkLength applies the bounds of the queue and of the shares of one key and
// one caller. While an upstream is closed its queue may use the places of all
// queues: it is closed for a lapsed lease, a move or a takeover, and the load of
// that time exceeds a length that is chosen for an open one. The same holds for
// requests that waited for a holder and arrive together. These extra requests
// take no place from the others.
func (q *Queue) checkLength(l *lane, it *item, o outlook) *api.Refusal {
	r := it.req
	full := func(kind api.Kind, of string, queued int) *api.Refusal {
		delay := float64(queued) / 2 * l.service.or(q.cfg.ServiceTime).mean
		if o.rate > 0 {
			delay = float64(queued) / 2 / o.rate
		}
		return q.refuse(kind, o, of, time.Duration(delay))
	}
	it.extra = l.up != nil && (o.rate == 0 || r.Waited)
	length, counted := q.cfg.QueueLength, l.queued-l.extra
	if l.up == nil || it.extra {
		length *= max(1, len(q.upstreams))
		counted = len(q.queued)
	}
	if counted >= length {
		return full(api.QueueFull, "queue is full", l.queued)
	}
	// ordinary leaves out the extra requests, unless it is one.
	ordinary := func(queued, extra int) int {
		if it.extra {
			return queued
		}
		return queued - extra
	}
	if k := l.keys[keyID{r.Key, r.Range}]; k != nil && r.Key != "" && ordinary(k.queued, k.extra) >= share(length, q.cfg.KeyShare) {
		return full(api.QueueFull, "key fills its share of the queue", k.queued)
	}
	if c := l.callers[r.Caller]; c != nil && ordinary(c.queued, c.extra) >= share(length, q.cfg.CallerShare) {
		return full(api.RateLimited, "caller fills its share of the queue", c.queued)
	}
	return nil
}

func share(length int, of float64) int { return max(1, int(float64(length)*of)) }

// checkDeadline refuses a request that is not likely to finish in time.
func (q *Queue) checkDeadline(now time.Duration, l *lane, it *item, o outlook) *api.Refusal {
	r := it.req
	if r.Deadline == 0 {
		return nil
	}
	need := it.run.least()
	if o.idle {
		// A try costs nothing here, and it corrects an estimate that is too high.
		need, it.try = 0, true
	}
	if !o.room && o.rate > 0 {
		margin := q.cfg.AdmitMargin
		if l.sparse.n < sparseTries*o.places && l.isSparse(r) {
			margin, it.sparse = 0, true
		}
		need = q.wait(l, it, o) + it.run.likely(margin)
	}
	if r.Deadline >= now+need || q.mayTry(now, l, it, o) {
		return nil
	}
	return q.refuse(api.DeadlineUnmeetable, o, fmt.Sprintf("the answer is expected in %v, later than the deadline", need), now+need-r.Deadline)
}

// refuse returns a refusal for lack of capacity.
func (q *Queue) refuse(kind api.Kind, o outlook, message string, delay time.Duration) *api.Refusal {
	if o.cold && o.rate > 0 {
		kind = api.Cold
	}
	return api.Refuse(kind, message).WithRetryAfter(max(delay, q.cfg.MinRetryAfter))
}

func (q *Queue) isRunning(id uint64, hedge bool) bool {
	_, ok := q.running[copyID{id, hedge}]
	return ok
}

// Done records the end of a run. took is taken into the service time if ok, or
// if it is already longer than usual.
func (q *Queue) Done(_ time.Duration, id uint64, up api.UpstreamID, took time.Duration, ok bool) {
	which := copyID{id, false}
	r, found := q.running[which]
	if !found || r.up.id != up {
		which.hedge = true
		r, found = q.running[which]
	}
	if !found || r.up.id != up {
		return
	}
	delete(q.running, which)
	r.up.inFlight--
	if r.solo {
		r.up.solo = false
	}
	if ok || float64(took) > r.up.service.or(q.cfg.ServiceTime).mean {
		r.up.service.observe(took, q.cfg.Smoothing)
		r.lane.service.observe(took, q.cfg.Smoothing)
		q.learn(r, took)
	}
	if r.time != nil {
		*r.time += float64(took) - r.charged
	}
	if r.key == nil {
		return
	}
	r.key.running--
	if q.cfg.KeyInFlight > 0 {
		q.refreshKey(r.key)
	}
	if r.key.rng != nil {
		r.key.rng.running--
	}
	q.tidyKey(r.key)
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

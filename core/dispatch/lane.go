package dispatch

import (
	"time"

	"dandelionhill.dev/api"
)

// notInHeap marks an item that is not in the heap of deadlines.
const notInHeap = -1

// item is a queued request.
type item struct {
	req                 Request
	lane                *lane
	key                 *key    // nil for hedges
	caller              *caller // nil for hedges
	flow                *flow   // nil for hedges
	inFlow              node[*item]
	heapIndex           int
	probe               bool          // admitted although its expected service time exceeds the deadline
	noMargin            bool          // admitted without a margin for its service time
	pooled              bool          // counts against the length of all queues together
	estimate            serviceTime   // expected service time
	charge              *float64      // service time account of the lane to charge
	latestStart         time.Duration // after which even a fast run misses the deadline
	keyHash, callerHash uint64
}

// flow holds the requests of one caller for one key, in order of arrival.
// It is ready while its first request may start.
type flow struct {
	id       flowID
	key      *key
	caller   *caller
	items    ring[*item]
	ofKey    node[*flow] // among all flows of the key
	inKey    node[*flow] // among the ready flows of the key
	inCaller node[*flow] // among the ready flows of the caller
	blocked  node[*flow] // among the flows that wait for another exclusive request
	sparse   node[*flow] // among the sparse flows of the lane
}

type keyID struct {
	name       string
	rangeIndex int
}

type flowID struct {
	key    keyID
	caller string
}

// key is one key with requests queued or running in a lane.
type key struct {
	id         keyID
	lane       *lane
	rangeState *rangeState // nil in the shared lane
	flows      ring[*flow]
	ready      ring[*flow]
	inLane     node[*key]
	inRange    node[*key]
	queued     int
	pooled     int // included in queued
	running    int
}

// caller is one caller with requests queued in a lane.
type caller struct {
	name   string
	ready  ring[*flow]
	inLane node[*caller]
	queued int
	pooled int // included in queued
}

// lane is the queue of one upstream, or the shared queue of an unkeyed service.
// Starts alternate between a ring of keys and a ring of callers. A hot key with
// many callers gets most turns of the callers' ring, and a caller with many
// keys most turns of the keys' ring, but neither gets most of both.
type lane struct {
	up         *upstream // nil for the shared lane
	keys       map[keyID]*key
	callers    map[string]*caller
	flows      map[flowID]*flow
	keyRing    ring[*key]
	callerRing ring[*caller]
	sparse     ring[*flow] // ready flows with little demand, see flow.isSparse
	turn       int
	// sparseTime and ringTime are the total service times of the sparse flows and of
	// the rings; the side with less is served next.
	sparseTime, ringTime float64
	queued               int
	pooled               int // included in queued
	ready                int // number of ready flows
	probeCredit          int // saved-up starts, up to maxProbeCredit
	due                  deadlines
	exclusive            *item     // waits for exclusiveUp to be empty
	exclusiveUp          *upstream // gets no other starts
	blocked              ring[*flow]
	hedges               []*hedgeQueue
	hedged               int
	serviceTime          serviceTime
	prior                serviceTime // estimate for keys and callers with few runs
}

// hedgeQueue holds the hedges that must not start on one upstream.
type hedgeQueue struct {
	avoid api.UpstreamID
	items ring[*item]
}

func newLane(up *upstream) *lane {
	return &lane{up: up, keys: map[keyID]*key{}, callers: map[string]*caller{}, flows: map[flowID]*flow{}}
}

// attach queues an item at the end of its flow.
func (q *Queue) attach(l *lane, it *item) {
	it.lane = l
	l.due.push(it)
	if it.req.Hedge {
		l.hedged++
		q.hedges[it.req.ID] = it
		l.hedgesAvoiding(it.req.Avoid).pushBack(&it.inFlow)
		return
	}
	q.queued[it.req.ID] = it
	f := q.flowOf(l, it.req)
	it.flow, it.key, it.caller = f, f.key, f.caller
	f.items.pushBack(&it.inFlow)
	f.key.queued++
	f.caller.queued++
	l.queued++
	it.countPooled(1)
	q.refresh(f)
}

// detach removes a queued item from its lane.
func (q *Queue) detach(it *item) {
	l := it.lane
	l.due.remove(it)
	it.inFlow.unlink()
	if it.req.Hedge {
		l.hedged--
		delete(q.hedges, it.req.ID)
		return
	}
	delete(q.queued, it.req.ID)
	l.queued--
	it.key.queued--
	it.caller.queued--
	it.countPooled(-1)
	if l.exclusive == it {
		q.endExclusive(l)
	}
	q.refresh(it.flow)
	q.prune(l, it.flow)
}

// countPooled adds n to the counts of pooled requests if the item is pooled.
func (it *item) countPooled(n int) {
	if it.pooled {
		it.lane.pooled += n
		it.key.pooled += n
		it.caller.pooled += n
	}
}

// prune removes a flow, its key and its caller once they have no requests.
func (q *Queue) prune(l *lane, f *flow) {
	if f.items.n == 0 && l.flows[f.id] == f && (l.exclusive == nil || l.exclusive.flow != f) {
		f.blocked.unlink()
		f.ofKey.unlink()
		delete(l.flows, f.id)
	}
	if f.caller.queued == 0 && l.callers[f.caller.name] == f.caller {
		delete(l.callers, f.caller.name)
	}
	q.pruneKey(f.key)
}

func (q *Queue) pruneKey(k *key) {
	if k.queued > 0 || k.running > 0 || k.lane.keys[k.id] != k {
		return
	}
	delete(k.lane.keys, k.id)
	if k.rangeState != nil {
		k.inRange.unlink()
		q.pruneRange(k.rangeState)
	}
}

func (q *Queue) flowOf(l *lane, r Request) *flow {
	id := flowID{keyID{r.Key, r.Range}, r.Caller}
	if f := l.flows[id]; f != nil {
		return f
	}
	f := &flow{id: id, key: q.keyOf(l, id.key), caller: l.callerOf(r.Caller)}
	f.ofKey.value, f.inKey.value, f.inCaller.value, f.blocked.value, f.sparse.value = f, f, f, f, f
	f.key.flows.pushBack(&f.ofKey)
	l.flows[id] = f
	return f
}

func (q *Queue) keyOf(l *lane, id keyID) *key {
	if k := l.keys[id]; k != nil {
		return k
	}
	k := &key{id: id, lane: l}
	k.inLane.value, k.inRange.value = k, k
	if l.up != nil {
		k.rangeState = q.rangeOf(id.rangeIndex)
		k.rangeState.keys.pushBack(&k.inRange)
	}
	l.keys[id] = k
	return k
}

func (l *lane) callerOf(name string) *caller {
	if c := l.callers[name]; c != nil {
		return c
	}
	c := &caller{name: name}
	c.inLane.value = c
	l.callers[name] = c
	return c
}

func (l *lane) hedgesAvoiding(up api.UpstreamID) *ring[*item] {
	var empty *hedgeQueue
	for _, h := range l.hedges {
		if h.avoid == up {
			return &h.items
		}
		if h.items.n == 0 {
			empty = h
		}
	}
	if empty == nil {
		empty = &hedgeQueue{}
		l.hedges = append(l.hedges, empty)
	}
	empty.avoid = up
	return &empty.items
}

// refresh links f into the rings of ready flows, or removes it from them.
func (q *Queue) refresh(f *flow) {
	ready := f.items.n > 0 && f.blocked.ring == nil && !f.key.stopped(q.cfg.KeyInFlight)
	l := f.key.lane
	if ready == (f.inKey.ring != nil) {
		return
	}
	if ready {
		if f.isSparse() {
			l.sparse.pushBack(&f.sparse)
		}
		l.ready++
		f.key.ready.pushBack(&f.inKey)
		f.caller.ready.pushBack(&f.inCaller)
		if f.key.inLane.ring == nil {
			l.keyRing.pushBack(&f.key.inLane)
		}
		if f.caller.inLane.ring == nil {
			l.callerRing.pushBack(&f.caller.inLane)
		}
		return
	}
	l.ready--
	f.inKey.unlink()
	f.inCaller.unlink()
	f.sparse.unlink()
	if f.key.ready.n == 0 {
		f.key.inLane.unlink()
	}
	if f.caller.ready.n == 0 {
		f.caller.inLane.unlink()
	}
}

// stopped reports whether no request of k may start.
func (k *key) stopped(inFlight int) bool {
	return k.rangeState != nil && k.rangeState.held || inFlight > 0 && k.id.name != "" && k.running >= inFlight
}

// refreshKey refreshes all flows of k.
func (q *Queue) refreshKey(k *key) {
	for n := k.flows.first; n != nil; n = n.next {
		q.refresh(n.value)
	}
}

// pick returns the request that is served next and advances the turn. Sparse flows
// get up to half of the service time, in order of arrival, so that they need not
// wait for a whole cycle of the rings.
func (l *lane) pick() *item {
	if l.keyRing.n == 0 {
		return nil
	}
	if l.sparse.n > 0 && l.sparseTime <= l.ringTime {
		f := l.sparse.first.value
		f.sparse.unlink()
		it := f.items.first.value
		it.charge = &l.sparseTime
		return it
	}
	l.turn++
	var f *flow
	if l.turn%2 == 0 {
		f = l.callerRing.rotate().value.ready.rotate().value
	} else {
		f = l.keyRing.rotate().value.ready.rotate().value
	}
	f.sparse.unlink()
	it := f.items.first.value
	it.charge = &l.ringTime
	if l.sparse.n == 0 {
		// Unused service time of the sparse flows is not saved up.
		l.sparseTime = max(l.sparseTime, l.ringTime)
	}
	return it
}

// isSparse reports whether f holds the only request of its key in the lane and its
// caller has low demand.
func (f *flow) isSparse() bool {
	k := f.key
	return f.items.n == 1 && k.lane.hasLowDemand(f.caller, k.id.name, 1) && (k.id.name == "" || k.queued == 1 && k.running == 0)
}

package dispatch

import (
	"time"

	"dandelionhill.dev/api"
)

// noPlace marks an item that is not in the heap of deadlines.
const noPlace = -1

// item is a queued request.
type item struct {
	req                 Request
	lane                *lane
	key                 *key    // nil for hedges
	caller              *caller // nil for hedges
	flow                *flow   // nil for hedges
	inFlow              node[*item]
	place               int
	try                 bool          // admitted against its expected service time
	sparse              bool          // admitted without a margin
	extra               bool          // admitted with the places of all queues
	run                 service       // expected service time
	time                *float64      // of the lane, takes the service time
	latest              time.Duration // latest start with which even a fast run meets the deadline
	keyHash, callerHash uint64
}

// flow holds the requests of one caller for one key, first come first served.
// It is ready while its first request may start.
type flow struct {
	id       flowID
	key      *key
	caller   *caller
	items    ring[*item]
	ofKey    node[*flow] // among all flows of the key
	inKey    node[*flow] // among the ready flows of the key
	inCaller node[*flow] // among the ready flows of the caller
	blocked  node[*flow] // among the flows that wait for the end of another solo run
	sparse   node[*flow] // among the flows of the lane that want little
}

type keyID struct {
	name string
	rng  int
}

type flowID struct {
	key    keyID
	caller string
}

// key is one key with requests queued or running in a lane.
type key struct {
	id      keyID
	lane    *lane
	rng     *rangeState // nil in the shared lane
	flows   ring[*flow]
	ready   ring[*flow]
	inLane  node[*key]
	inRange node[*key]
	queued  int
	extra   int // of the queued ones
	running int
}

// caller is one caller with requests queued in a lane.
type caller struct {
	name   string
	ready  ring[*flow]
	inLane node[*caller]
	queued int
	extra  int // of the queued ones
}

// lane is the queue of one upstream, or the shared queue of an unkeyed service.
// Starts take turns between two rings, of keys and of callers. A hot key with
// many callers gets most turns of the callers' ring, and a caller with many
// keys those of the keys' ring, but neither gets both.
type lane struct {
	up         *upstream // nil for the shared lane
	keys       map[keyID]*key
	callers    map[string]*caller
	flows      map[flowID]*flow
	keyRing    ring[*key]
	callerRing ring[*caller]
	sparse     ring[*flow] // ready flows that want little
	turn       int
	// sparseTime and ringTime are the service times that the sparse flows and the
	// rings have been given; the one with less has the next turn.
	sparseTime, ringTime float64
	queued               int
	extra                int // of the queued ones
	ready                int // flows that are ready
	tries                int // starts since the last try, up to maxTries
	due                  deadlines
	solo                 *item     // waits for soloUp to be empty
	soloUp               *upstream // gets no other start meanwhile
	blocked              ring[*flow]
	hedges               []*hedgeQueue
	hedged               int
	service              service
	newcomer             service // of unfamiliar keys and callers
}

// hedgeQueue holds the hedges that must not start on one upstream.
type hedgeQueue struct {
	avoid api.UpstreamID
	items ring[*item]
}

func newLane(up *upstream) *lane {
	return &lane{up: up, keys: map[keyID]*key{}, callers: map[string]*caller{}, flows: map[flowID]*flow{}}
}

// attach queues it at the end of its flow.
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
	it.countExtra(1)
	q.refresh(f)
}

// detach removes it from its lane, wherever it waits there.
func (q *Queue) detach(it *item) {
	l := it.lane
	l.due.remove(it)
	it.inFlow.drop()
	if it.req.Hedge {
		l.hedged--
		delete(q.hedges, it.req.ID)
		return
	}
	delete(q.queued, it.req.ID)
	l.queued--
	it.key.queued--
	it.caller.queued--
	it.countExtra(-1)
	if l.solo == it {
		q.endSolo(l)
	}
	q.refresh(it.flow)
	q.tidy(l, it.flow)
}

// countExtra adds n to the counts of extra requests that it belongs to.
func (it *item) countExtra(n int) {
	if it.extra {
		it.lane.extra += n
		it.key.extra += n
		it.caller.extra += n
	}
}

// tidy forgets a flow, its key and its caller when nothing refers to them.
func (q *Queue) tidy(l *lane, f *flow) {
	if f.items.n == 0 && l.flows[f.id] == f && (l.solo == nil || l.solo.flow != f) {
		f.blocked.drop()
		f.ofKey.drop()
		delete(l.flows, f.id)
	}
	if f.caller.queued == 0 && l.callers[f.caller.name] == f.caller {
		delete(l.callers, f.caller.name)
	}
	q.tidyKey(f.key)
}

func (q *Queue) tidyKey(k *key) {
	if k.queued > 0 || k.running > 0 || k.lane.keys[k.id] != k {
		return
	}
	delete(k.lane.keys, k.id)
	if k.rng != nil {
		k.inRange.drop()
		q.tidyRange(k.rng)
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
		k.rng = q.rangeOf(id.rng)
		k.rng.keys.pushBack(&k.inRange)
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

// refresh puts f on the rings it belongs to.
func (q *Queue) refresh(f *flow) {
	ready := f.items.n > 0 && f.blocked.on == nil && !f.key.stopped(q.cfg.KeyInFlight)
	l := f.key.lane
	if ready == (f.inKey.on != nil) {
		return
	}
	if ready {
		if f.wantsLittle() {
			l.sparse.pushBack(&f.sparse)
		}
		l.ready++
		f.key.ready.pushBack(&f.inKey)
		f.caller.ready.pushBack(&f.inCaller)
		if f.key.inLane.on == nil {
			l.keyRing.pushBack(&f.key.inLane)
		}
		if f.caller.inLane.on == nil {
			l.callerRing.pushBack(&f.caller.inLane)
		}
		return
	}
	l.ready--
	f.inKey.drop()
	f.inCaller.drop()
	f.sparse.drop()
	if f.key.ready.n == 0 {
		f.key.inLane.drop()
	}
	if f.caller.ready.n == 0 {
		f.caller.inLane.drop()
	}
}

// stopped reports whether no request of k may start.
func (k *key) stopped(inFlight int) bool {
	return k.rng != nil && k.rng.held || inFlight > 0 && k.id.name != "" && k.running >= inFlight
}

// refreshKey refreshes all flows of k.
func (q *Queue) refreshKey(k *key) {
	for n := k.flows.first; n != nil; n = n.next {
		q.refresh(n.value)
	}
}

// pick returns the request whose turn it is, and passes the turn on. Flows whose
// key wants nothing else get up to half of the service time, first come first
// served, so that they need not wait for a whole cycle of the rings.
func (l *lane) pick() *item {
	if l.keyRing.n == 0 {
		return nil
	}
	if l.sparse.n > 0 && l.sparseTime <= l.ringTime {
		f := l.sparse.first.value
		f.sparse.drop()
		it := f.items.first.value
		it.time = &l.sparseTime
		return it
	}
	l.turn++
	var f *flow
	if l.turn%2 == 0 {
		f = l.callerRing.rotate().value.ready.rotate().value
	} else {
		f = l.keyRing.rotate().value.ready.rotate().value
	}
	f.sparse.drop()
	it := f.items.first.value
	it.time = &l.ringTime
	if l.sparse.n == 0 {
		// Time that nobody asked for is not saved up.
		l.sparseTime = max(l.sparseTime, l.ringTime)
	}
	return it
}

// wantsLittle reports whether f holds all that its key wants of the lane, and
// its caller wants no more than others.
func (f *flow) wantsLittle() bool {
	k := f.key
	return f.items.n == 1 && k.lane.modest(f.caller, k.id.name, 1) && (k.id.name == "" || k.queued == 1 && k.running == 0)
}

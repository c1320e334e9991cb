package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// historySize is the number of keys and callers whose service times are kept.
// A service time takes 32 bytes, so a shard needs 64 KiB for them.
const historySize = 1024

// history keeps the service times of keys, or of callers. Without it the long
// runs of a hot key would be expected of all requests, and those with short
// deadlines refused. A name replaces another one with the same place.
type history []historyEntry

type historyEntry struct {
	hash    uint64
	service service
}

func newHistory() history { return make(history, historySize) }

// of returns what is known of a name, which may be nothing.
func (h history) of(hash uint64) service {
	if e := &h[hash%historySize]; e.hash == hash {
		return e.service
	}
	return service{}
}

func (h history) observe(hash uint64, took time.Duration, smoothing float64) {
	e := &h[hash%historySize]
	if e.hash != hash {
		*e = historyEntry{hash: hash}
	}
	e.service.observe(took, smoothing)
}

// expected estimates the service time of one request from its key, its caller
// and its lane.
func (q *Queue) expected(l *lane, it *item) service {
	s := l.newcomer.or(q.cfg.ServiceTime)
	s = q.callerTimes.of(it.callerHash).blend(s)
	if it.keyHash != 0 {
		s = q.keyTimes.of(it.keyHash).blend(s)
	}
	return s
}

// familiar is the number of runs after which a key or a caller is judged by its
// own service times. From then on its runs say nothing about unfamiliar ones:
// otherwise a hot key, or a flooding caller, would soon make up the estimate
// for all others, and their refusals would keep it that way.
const familiar = 8

// learn takes one service time into the estimates of its key, its caller and newcomers.
func (q *Queue) learn(r run, took time.Duration) {
	if r.keyHash != 0 {
		known := q.keyTimes.of(r.keyHash).n >= familiar
		q.keyTimes.observe(r.keyHash, took, q.cfg.Smoothing)
		if known {
			return
		}
	}
	known := q.callerTimes.of(r.callerHash).n >= familiar
	q.callerTimes.observe(r.callerHash, took, q.cfg.Smoothing)
	if !known {
		r.lane.newcomer.observe(took, q.cfg.Smoothing)
	}
}

// A lane may try one request that would be refused for its expected service
// time for every triesPer starts, so that an estimate that has become too high
// is corrected by new observations, and it may save up at most maxTries. At
// overload at most one start in triesPer is lost to this.
const (
	triesPer = 40
	maxTries = 2 * triesPer
)

// sparseTries is the number of waiting sparse requests for each request that may
// be in flight, below which another one is admitted without a margin for its
// service time. Such requests take little of the capacity, so more of them may
// fail. Without a limit, a load of nothing but sparse requests at twice the
// capacity has only 0.85 of the peak answered in time.
const sparseTries = 2

// mayTry admits a request against its expected service time if it is the only
// one of its key and caller and can start before its deadline.
func (q *Queue) mayTry(now time.Duration, l *lane, it *item, o outlook) bool {
	r := it.req
	if l.tries < triesPer || l.flows[flowID{keyID{r.Key, r.Range}, r.Caller}] != nil || r.Deadline < now+q.wait(l, it, o) {
		return false
	}
	l.tries -= triesPer
	it.try = true
	return true
}

// hashes identifies the key, 0 if there is none, and the caller of a request.
func hashes(r Request) (key, caller uint64) {
	if r.Key != "" {
		key = max(1, xxhash.Sum64String(r.Key))
	}
	return key, max(1, xxhash.Sum64String(r.Caller))
}

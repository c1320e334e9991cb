package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// historySize is the number of keys, and of callers, whose service times are kept.
// An entry takes 32 bytes, so a shard needs 64 KiB for both.
const historySize = 1024

// history is a direct-mapped cache of the service times of keys, or of callers.
// Without it the long runs of a hot key would raise the estimate for all requests,
// and those with short deadlines would be refused.
type history []historyEntry

type historyEntry struct {
	hash        uint64
	serviceTime serviceTime
}

func newHistory() history { return make(history, historySize) }

// get returns the service time of a name, or the zero value if there is none.
func (h history) get(hash uint64) serviceTime {
	if e := &h[hash%historySize]; e.hash == hash {
		return e.serviceTime
	}
	return serviceTime{}
}

func (h history) observe(hash uint64, took time.Duration, smoothing float64) {
	e := &h[hash%historySize]
	if e.hash != hash {
		*e = historyEntry{hash: hash}
	}
	e.serviceTime.observe(took, smoothing)
}

// estimate returns the expected service time of a request from the estimates of its
// key, its caller and its lane.
func (q *Queue) estimate(l *lane, it *item) serviceTime {
	s := l.prior.orDefault(q.cfg.ServiceTime)
	s = q.callerTimes.get(it.callerHash).blend(s)
	if it.keyHash != 0 {
		s = q.keyTimes.get(it.keyHash).blend(s)
	}
	return s
}

// knownAfterRuns is the number of runs after which the runs of a key no longer
// update the estimate of its caller, and those of a caller no longer the prior.
// Otherwise a hot key, or a flooding caller, would soon dominate the estimate for
// all others, and their refusals would keep it from being corrected.
const knownAfterRuns = 8

// learn updates the estimates of a run's key and caller, and the prior.
func (q *Queue) learn(r run, took time.Duration) {
	if r.keyHash != 0 {
		known := q.keyTimes.get(r.keyHash).n >= knownAfterRuns
		q.keyTimes.observe(r.keyHash, took, q.cfg.Smoothing)
		if known {
			return
		}
	}
	known := q.callerTimes.get(r.callerHash).n >= knownAfterRuns
	q.callerTimes.observe(r.callerHash, took, q.cfg.Smoothing)
	if !known {
		r.lane.prior.observe(took, q.cfg.Smoothing)
	}
}

// A lane admits one request that would be refused for its expected service time,
// a probe, per startsPerProbe starts, so that new observations correct an estimate
// that has become too high. The lane saves up at most maxProbeCredit starts. At
// overload at most one start in startsPerProbe is lost to probes.
const (
	startsPerProbe = 40
	maxProbeCredit = 2 * startsPerProbe
)

// sparsePerSlot is the number of queued sparse flows per in-flight slot below which
// another sparse request is admitted without a margin for its service time. Such
// requests take little of the capacity, so more of them may fail. Without a limit,
// goodput under only sparse requests at twice the capacity is 0.85 of the peak.
const sparsePerSlot = 2

// mayProbe admits a request as a probe if it is the only one of its key and caller
// and can start before its deadline.
func (q *Queue) mayProbe(now time.Duration, l *lane, it *item, state laneState) bool {
	r := it.req
	if l.probeCredit < startsPerProbe || l.flows[flowID{keyID{r.Key, r.Range}, r.Caller}] != nil || r.Deadline < now+q.wait(l, it, state) {
		return false
	}
	l.probeCredit -= startsPerProbe
	it.probe = true
	return true
}

// hashes returns the hashes of the key, 0 if there is none, and the caller of a request.
func hashes(r Request) (key, caller uint64) {
	if r.Key != "" {
		key = max(1, xxhash.Sum64String(r.Key))
	}
	return key, max(1, xxhash.Sum64String(r.Caller))
}

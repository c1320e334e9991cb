package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/core/ownership"
)

// maxLeaving bounds the upstreams that a VM remembers as leaving.
const maxLeaving = 10000

// leavingUpstreams holds the processes of upstreams that have said in a response that they are
// about to leave. A process that leaves does not come back, so none is forgotten while the VM
// runs: its registration may be removed and appear again.
type leavingUpstreams struct {
	metrics *Metrics
	log     zerolog.Logger
	// changed is called when an upstream was added.
	changed func()

	mu           sync.Mutex
	sinceByOwner map[ownership.Owner]time.Duration // on bootTime
	ordered      []ownership.Owner                 // in the order in which they became known
}

func newLeavingUpstreams(m *Metrics, log zerolog.Logger) *leavingUpstreams {
	return &leavingUpstreams{metrics: m, log: log, changed: func() {}, sinceByOwner: make(map[ownership.Owner]time.Duration)}
}

// observe records that an upstream is about to leave. source names the message that said so.
func (l *leavingUpstreams) observe(u *upstream, source string) {
	if u.isLeaving() {
		return
	}
	if l.add(u.owner(), source) {
		l.changed()
	}
	u.leavingSince.Store(int64(l.since(u.owner())))
}

// add records the process of an upstream. It reports false if it is known already.
func (l *leavingUpstreams) add(owner ownership.Owner, source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.sinceByOwner[owner]; known || len(l.ordered) >= maxLeaving {
		return false
	}
	l.sinceByOwner[owner] = bootTime()
	l.ordered = append(l.ordered, owner)
	l.metrics.leaving.WithLabelValues(source).Inc()
	l.log.Info().Str("event", "upstream_leaving").Str("upstream", string(owner.UpstreamID)).Int64("life", owner.Incarnation).Str("source", source).Msg("")
	return true
}

// merge records what another VM knows.
func (l *leavingUpstreams) merge(v *view, owners []ownership.Owner, source string) {
	for _, owner := range owners {
		l.add(owner, source)
		if u := v.incarnation(owner); u != nil {
			u.leavingSince.CompareAndSwap(0, int64(l.since(owner)))
		}
	}
}

// since returns since when the process of an upstream is known to leave, 0 if it is not.
func (l *leavingUpstreams) since(owner ownership.Owner) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sinceByOwner[owner]
}

// news returns the processes that were added after the first known ones, and how many there
// are.
func (l *leavingUpstreams) news(known int) (owners []ownership.Owner, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(owners, l.ordered[known:]...), len(l.ordered)
}

// isLeaving reports whether the upstream has said that it is about to leave.
func (u *upstream) isLeaving() bool { return u.leavingSince.Load() != 0 }

// drained reports whether an upstream that leaves must not get requests any more: this VM has known
// so for Bounds.Drain. Until then the upstream serves its keys, while they move to others.
func (h *requestHandler) drained(u *upstream) bool {
	since := time.Duration(u.leavingSince.Load())
	return since != 0 && bootTime() >= since+h.bounds.Drain.AsDuration()
}

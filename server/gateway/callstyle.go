package gateway

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

const (
	// unreadCallsLimit is the number of calls in a row whose body an upstream does not ask for, after
	// which it counts as one that ignores Expect: 100-continue. One may wait for a slot.
	unreadCallsLimit = 2
	// maxWholeCalls bounds the upstreams that a VM remembers as such.
	maxWholeCalls = 10000
)

// callStyle says how calls to an upstream are sent, and how late they can arrive.
type callStyle struct {
	// whole means that the upstream ignores Expect: 100-continue: calls are sent in one step.
	whole atomic.Bool
	// slow means that a grant took longer than Bounds.CallDelay.
	slow atomic.Bool
	// asked means that the upstream has asked for the body of a call, unread counts the calls in a
	// row whose body it did not ask for.
	asked  atomic.Bool
	unread atomic.Int32
}

// late returns by how much later than Bounds.CallDelay unanswered grants can arrive. A whole grant
// can lie in the upstream's receive buffer, or in a cut, like one of a granter that has ended; one
// whose body was asked for is read at once, and was answered late because the upstream is slow.
func (s *callStyle) late() time.Duration {
	switch {
	case s.whole.Load():
		return lateGrants
	case s.slow.Load():
		return grantTimeout
	}
	return 0
}

// ownership returns the parameters of key ownership under these bounds.
func (b Bounds) ownership() ownership.Config {
	cfg := ownership.DefaultConfig(fleet.KeyCount)
	if b.CallDelay > 0 {
		cfg.MaxMessageDelay = b.CallDelay.AsDuration()
	}
	return cfg
}

// observeStyle learns from the outcome of a call how the upstream takes calls.
func (q *callQueues) observeStyle(a ownership.Action, u *upstream, resp *upstreamconn.Response, err error, trace *upstreamconn.Trace) {
	style := &u.calls
	switch {
	case trace.Asked:
		style.asked.Store(true)
		style.unread.Store(0)
	case style.whole.Load():
	case resp != nil && resp.Status == http.StatusExpectationFailed,
		errors.Is(err, upstreamconn.ErrNotRead) && q.ctx.Err() == nil && !style.asked.Load() && style.unread.Add(1) >= unreadCallsLimit:
		if style.whole.CompareAndSwap(false, true) {
			q.granter.control.wholeCalls.add(u.owner())
			// The others know before the next call, which is sent in one step.
			go q.granter.do(func() { q.granter.sendUpdates(bootTime()) })
		}
	}
	if a.Kind != ownership.Grant || err != nil || style.whole.Load() || trace.SentAt.IsZero() {
		return
	}
	delay, bound := time.Since(trace.SentAt), q.granter.bounds.ownership().MaxMessageDelay
	if delay > bound && style.slow.CompareAndSwap(false, true) {
		q.granter.metrics.callStyles.WithLabelValues("exceeds_call_delay").Inc()
		q.log.Warn().Str("event", "call_delay_exceeded").Str("upstream", string(u.id)).Dur("took_ms", delay).Dur("bound_ms", bound).
			Msg("unanswered grants to this upstream count for longer")
	}
}

// wholeCalls holds the upstreams that ignore Expect: 100-continue, so that the next granter need not
// find out while their leases expire.
type wholeCalls struct {
	metrics *Metrics
	log     zerolog.Logger

	mu     sync.Mutex
	owners []ownership.Owner
}

func newWholeCalls(m *Metrics, log zerolog.Logger) *wholeCalls {
	return &wholeCalls{metrics: m, log: log}
}

func (w *wholeCalls) add(owner ownership.Owner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.owners, owner) || len(w.owners) >= maxWholeCalls {
		return
	}
	w.owners = append(w.owners, owner)
	w.metrics.callStyles.WithLabelValues("ignores_expect").Inc()
	w.log.Warn().Str("event", "expect_ignored").Str("upstream", string(owner.UpstreamID)).Int64("life", owner.Incarnation).
		Msg("the upstream does not respond to Expect: 100-continue: grants and releases are sent in one step, and keys of unanswered ones move later")
}

// merge records what the granter knows.
func (w *wholeCalls) merge(v *view, owners []ownership.Owner) {
	for _, owner := range owners {
		w.add(owner)
		if u := v.incarnation(owner); u != nil {
			u.calls.whole.Store(true)
		}
	}
}

func (w *wholeCalls) contains(owner ownership.Owner) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.owners, owner)
}

// late returns by how much later than Bounds.CallDelay unanswered grants can arrive, see
// ownership.Predecessor.
func (w *wholeCalls) late() map[ownership.Owner]time.Duration {
	late := make(map[ownership.Owner]time.Duration)
	for _, owner := range w.all() {
		late[owner] = lateGrants
	}
	return late
}

// all returns the upstreams; their number never falls.
func (w *wholeCalls) all() []ownership.Owner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.owners)
}

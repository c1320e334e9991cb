package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/core/ratelimit"
)

// statedLimits holds the limits that upstreams state in their responses.
type statedLimits struct {
	log zerolog.Logger

	mu         sync.Mutex
	byUpstream map[*upstream]*ratelimit.StatedLimit
}

func newStatedLimits(log zerolog.Logger) *statedLimits {
	return &statedLimits{log: log, byUpstream: make(map[*upstream]*ratelimit.StatedLimit)}
}

// observe applies a response to a request of this VM; rate is 0 if it states no limit. Times
// are on bootTime.
func (l *statedLimits) observe(u *upstream, sent, received time.Duration, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.byUpstream[u]
	if limit == nil {
		if rate == 0 {
			return
		}
		limit = &ratelimit.StatedLimit{}
		l.byUpstream[u] = limit
	}
	if limit.Observe(sent, received, rate) {
		l.log.Info().Str("event", "upstream_limit").Str("upstream", string(u.id)).Float64("per_s", limit.Rate).
			Str("source", "response").Msg("")
	}
}

// rate returns the limit of an upstream in requests per second, 0 if it states none.
func (l *statedLimits) rate(u *upstream) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit := l.byUpstream[u]; limit != nil {
		return limit.Rate
	}
	return 0
}

// forget drops the limit of an upstream that has ended.
func (l *statedLimits) forget(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byUpstream, u)
}

package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/core/reachability"
	"dandelionhill.dev/server/wait"
)

// reach finds out whether this VM is isolated: no upstream can be reached from here.
type reach struct {
	log     zerolog.Logger
	metrics *Metrics
	view    func() *view
	// changed is called when the VM becomes isolated and when that ends.
	changed func()
	// suspected receives a message when a connection to an upstream fails.
	suspected chan struct{}

	mu       sync.Mutex
	detector *reachability.Detector
	round    *reachRound // nil if none is under way
}

// reachRound is one round of connections; done is closed at its end.
type reachRound struct{ done chan struct{} }

func newReach(view func() *view, m *Metrics, log zerolog.Logger) *reach {
	return &reach{
		log: log, metrics: m, view: view, changed: func() {}, suspected: make(chan struct{}, 1),
		detector: reachability.NewDetector(reachability.DefaultConfig()),
	}
}

// Connected implements upstreamconn.Watcher.
func (r *reach) Connected() {
	r.mu.Lock()
	changed := r.detector.Connected(bootTime())
	r.mu.Unlock()
	if changed {
		r.announce()
	}
}

// Unreachable implements upstreamconn.Watcher.
func (r *reach) Unreachable() {
	select {
	case r.suspected <- struct{}{}:
	default:
	}
}

// isolated reports whether no upstream can be reached from this VM, and since when.
func (r *reach) isolated() (isolated bool, since time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.Isolated()
}

// contactAge returns the time since this VM last opened a connection to an upstream; ok is
// false if it has opened none.
func (r *reach) contactAge() (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.ContactAge(bootTime())
}

// failedFrom returns when the last round began that found no upstream, 0 if there was none.
func (r *reach) failedFrom() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.FailedFrom()
}

// tryAgain runs a round that begins after the call.
func (r *reach) tryAgain(ctx context.Context) {
	called := bootTime()
	if r.check(ctx) && r.failedFrom() < called {
		// The round that ended had begun before.
		r.check(ctx)
	}
}

// addTo adds to a report whether this VM reaches upstreams.
func (r *reach) addTo(rep *report) {
	rep.Isolated, _ = r.isolated()
	if age, ok := r.contactAge(); ok {
		rep.ContactMs = max(age.Milliseconds(), 1)
	}
}

// answerGranter finds out whether this VM reaches upstreams, for a granter that reaches none,
// and tells it. One that has opened a connection since the last report need not try.
func (r *reach) answerGranter(ctx context.Context) {
	if age, ok := r.contactAge(); !ok || age > reportInterval {
		r.check(ctx)
	}
	r.changed()
}

// run checks the upstreams while connections to them fail, until ctx ends.
func (r *reach) run(ctx context.Context) {
	guard := guard{r.metrics, r.log}
	for ctx.Err() == nil {
		var next <-chan time.Time
		r.mu.Lock()
		if isolated, _ := r.detector.Isolated(); isolated {
			next = time.After(r.detector.NextRound() - bootTime())
		}
		r.mu.Unlock()
		select {
		case <-r.suspected:
		case <-next:
		case <-ctx.Done():
			return
		}
		r.mu.Lock()
		due := r.detector.RoundDue(bootTime())
		r.mu.Unlock()
		if due && !guard.run("reach", func() { r.check(ctx) }) {
			wait.For(ctx, reachability.DefaultConfig().SuspicionInterval)
		}
	}
}

// check tries a sample of the upstreams, or waits for a round that is under way, and reports
// whether this VM is isolated.
func (r *reach) check(ctx context.Context) (isolated bool) {
	r.mu.Lock()
	round := r.round
	mine := round == nil
	if mine {
		round = &reachRound{done: make(chan struct{})}
		r.round = round
	}
	r.mu.Unlock()
	if mine {
		r.runRound(ctx, round)
	}
	select {
	case <-round.done:
	case <-ctx.Done():
	}
	isolated, _ = r.isolated()
	return isolated
}

// runRound tries a sample of the upstreams; one connection that opens decides.
func (r *reach) runRound(ctx context.Context, round *reachRound) {
	defer func() {
		// After a panic too: others wait for the round.
		r.mu.Lock()
		defer r.mu.Unlock()
		r.round = nil
		close(round.done)
	}()
	cfg := reachability.DefaultConfig()
	sample := r.sample(cfg.SampleSize)
	began := bootTime()
	results := make(chan bool, len(sample))
	for _, u := range sample {
		go func() {
			dialCtx, cancel := context.WithTimeout(ctx, cfg.RoundTimeout)
			defer cancel()
			results <- u.pool.Connect(dialCtx) == nil
		}()
	}
	connected := 0
	for range sample {
		if <-results {
			connected++
			break
		}
	}
	r.mu.Lock()
	changed := ctx.Err() == nil && r.detector.RoundEnded(began, bootTime(), len(sample), connected)
	r.mu.Unlock()
	r.metrics.reachRounds.Inc()
	if changed {
		r.log.Info().Str("event", "upstreams_tried").Int("tried", len(sample)).Int("connected", connected).Msg("")
		r.announce()
	}
}

// sample returns random upstreams of all services.
func (r *reach) sample(size int) []*upstream {
	var all []*upstream
	for _, upstreams := range r.view().services {
		all = append(all, upstreams...)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(size, len(all))]
}

// announce logs whether this VM is isolated and tells the granter. Attempts to connect that are
// under way end when it is, so that their requests are passed on.
func (r *reach) announce() {
	isolated, since := r.isolated()
	value := 0.0
	if isolated {
		value = 1
		for _, upstreams := range r.view().services {
			for _, u := range upstreams {
				u.pool.CancelDials()
			}
		}
		r.log.Warn().Str("event", "isolated").Msg("no upstream can be reached from this VM")
	} else {
		r.log.Info().Str("event", "isolation_ended").Dur("took_ms", bootTime()-since).Msg("")
	}
	r.metrics.isolated.Set(value)
	r.changed()
}

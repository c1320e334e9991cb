package holder

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/metrics"
)

// testRanges is the number of ordinary ranges of the service under test.
const testRanges = 64

// world is a shard with fake upstreams in virtual time (testing/synctest).
type world struct {
	t       *testing.T
	start   time.Time
	doc     *config.Document
	ups     map[api.UpstreamID]*fakeUpstream
	shard   *Shard
	ballot  uint64
	stop    chan struct{} // ends the ticks of the present holder
	authEnd time.Duration // the end of the present holder's authority
	hotKeys placement.HotKeyConfig

	mu       sync.Mutex
	witness  *wire.Assign // what a witness keeps
	running  map[string]map[api.UpstreamID]int
	runs     map[string]int         // by request ID
	served   map[string]map[int]int // runs by key and range
	overlaps []string
	refused  []string // requests of the present holder that a guard refused for lack of a grant
	answered map[string]int
	ids      uint64
	mute     bool // the witness is not reached
	last     *api.Refusal
}

// inWorld runs a test with a holder of a shard of four upstreams. Keys change
// faster between hot and not than by default, so that tests are short.
func inWorld(t *testing.T, body func(w *world)) {
	data, err := os.ReadFile("../../examples/elozokozosseg/configuration.json")
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		doc, err := config.Parse("configuration.json", data)
		require.NoError(t, err)
		s := &doc.Services[0]
		s.Ranges, s.Shards, s.Layout, s.Upstreams = testRanges, 1, []config.Span{{First: 0, Last: testRanges - 1}}, s.Upstreams[:4]
		w := &world{
			t: t, start: time.Now(), doc: doc, ups: map[api.UpstreamID]*fakeUpstream{},
			hotKeys: placement.DefaultHotKeyConfig(testRanges),
			running: map[string]map[api.UpstreamID]int{}, runs: map[string]int{}, served: map[string]map[int]int{}, answered: map[string]int{},
		}
		w.hotKeys.Shards, w.hotKeys.SplitAfter, w.hotKeys.MergeAfter = 1, time.Second, 3*time.Second
		for _, u := range s.Upstreams {
			w.ups[u.ID] = &fakeUpstream{w: w, id: u.ID, guard: lease.NewGuard(lease.ChecksFence), service: 4 * time.Millisecond}
		}
		w.hold(PriorState{})
		body(w)
		w.leave()
		w.shard.Close()
		for _, u := range w.ups {
			u.hang(false)
		}
		time.Sleep(10 * time.Second) // everything ends
		require.Empty(t, w.overlaps)
		require.Empty(t, w.refused)
		for id, n := range w.runs {
			require.Equal(t, 1, n, "runs of request %s", id)
		}
	})
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// hold starts a holder under the next ballot.
func (w *world) hold(in PriorState) {
	w.ballot++
	w.stop = make(chan struct{})
	var s *Shard
	created := make(chan struct{})
	s = New(Config{
		ID: api.ShardID{Service: w.doc.Services[0].Name}, Fence: api.NewFence(1, w.ballot), Clock: w.now,
		Dial:    func(address string, _ config.Service) platform.Upstream { return w.at(address) },
		Metrics: metrics.New(), Log: zerolog.Nop(),
		ReportAssignment: func(a wire.Assign) {
			go func() {
				<-created
				w.keep(s, a)
			}()
		},
	}, w.doc, in, time.Now())
	close(created)
	cfg := w.hotKeys
	cfg.Ranges = testRanges
	s.mu.Lock()
	known := s.hot.decide.Ranges()
	s.hot.decide = placement.NewHotKeys(cfg)
	s.hot.decide.Restore(w.now(), known)
	s.mu.Unlock()
	w.mu.Lock()
	w.shard = s
	w.mu.Unlock()
	if a, pending := s.Assignment(); pending {
		go w.keep(s, a)
	}
	w.tick(s, w.stop)
}

// keep is a witness that acknowledges an assignment after a round trip.
func (w *world) keep(s *Shard, a wire.Assign) {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	if w.mute {
		w.mu.Unlock()
		return
	}
	if w.witness == nil || a.Fence > w.witness.Fence || a.Fence == w.witness.Fence && a.Seq >= w.witness.Seq {
		w.witness = &a
	}
	w.mu.Unlock()
	s.AckAssignment(a.Seq)
}

func (w *world) tick(s *Shard, stop chan struct{}) {
	w.mu.Lock()
	w.authEnd = w.now() + time.Second
	s.SetAuthority(w.authEnd)
	w.mu.Unlock()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			w.mu.Lock()
			w.authEnd = w.now() + time.Second
			s.SetAuthority(w.authEnd)
			w.mu.Unlock()
			s.Tick()
		}
	}()
}

// leave stops the ticks and renewals of the present holder, as a long pause does.
func (w *world) leave() {
	close(w.stop)
	time.Sleep(time.Millisecond)
}

// takeover starts a holder after the authority of the present one has lapsed.
func (w *world) takeover(knows func(wire.Assign) *wire.Assign) {
	w.leave()
	old := w.shard
	w.mu.Lock()
	end, kept := w.authEnd, *w.witness
	w.mu.Unlock()
	time.Sleep(end - w.now() + 10*time.Millisecond)
	old.Close()
	w.hold(PriorState{Assignment: knows(kept)})
}

// handover gives the shard to a successor at once.
func (w *world) handover(knows func(wire.Assign) *wire.Assign) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	h := w.shard.Freeze(ctx)
	w.leave()
	in := PriorState{Handover: &h, Assignment: knows(h.Assignment)}
	w.hold(in)
}

func everything(a wire.Assign) *wire.Assign { return &a }

func nothing(wire.Assign) *wire.Assign { return nil }

// ordinaryOnly is what a VM keeps that does not know hot keys.
func ordinaryOnly(a wire.Assign) *wire.Assign {
	a.Hot = nil
	return &a
}

// requestID returns a UUID of version 7 dated in virtual time. The library's own
// never go back in time, as the next test does.
func (w *world) requestID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], w.ids)
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

// forward returns a request that may not be repeated.
func (w *world) forward(key string, timeout time.Duration) *wire.Forward {
	return &wire.Forward{
		Shard: api.ShardID{Service: w.doc.Services[0].Name}, Range: rangeOfKey(key), Method: "POST", Path: "/" + key, Key: key,
		RequestID: w.requestID(), TimeoutMs: timeout.Milliseconds(), Caller: "c",
	}
}

// send sends one request for a key and waits for its end.
func (w *world) send(s *Shard, key string) bool {
	reply := s.Serve(context.Background(), w.forward(key, 400*time.Millisecond))
	if reply.Refusal != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.last = reply.Refusal
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered[key]++
	return true
}

// present returns the present holder, for the goroutines of a load.
func (w *world) present() *Shard {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shard
}

// load sends requests for a key at a rate until the returned function is
// called, which waits for the requests under way.
func (w *world) load(key string, perSecond int) (end func()) {
	done := make(chan struct{})
	var sends sync.WaitGroup
	sends.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				sends.Go(func() { w.send(w.present(), key) })
			}
		}
	})
	return func() {
		close(done)
		// A send that outlives its test blocks for ever: the clock of the test stands still.
		sends.Wait()
	}
}

// hot returns the range of a hot key, or nil.
func (w *world) hot(key string) *hotRange {
	w.shard.mu.Lock()
	defer w.shard.mu.Unlock()
	if h := w.shard.ranges.byKey[key]; h != nil {
		c := *h
		return &c
	}
	return nil
}

func (w *world) owner(rng int) api.UpstreamID {
	w.shard.mu.Lock()
	defer w.shard.mu.Unlock()
	if r := w.shard.ranges.at(rng); r != nil {
		return r.owner
	}
	return ""
}

// move starts a move as the planner would.
func (w *world) move(rng int, to api.UpstreamID) {
	w.shard.mu.Lock()
	defer w.shard.mu.Unlock()
	if r := w.shard.ranges.at(rng); r != nil && (r.hot == nil || r.hot.phase == hotActive) {
		w.shard.startMove(w.now(), placement.Move{Range: rng, From: r.owner, To: to})
	}
}

// until waits for a state that must come within a minute of virtual time.
func (w *world) until(what string, is func() bool) {
	w.t.Helper()
	for range 3000 {
		if is() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(w.t, fmt.Sprintf("this did not happen within a minute: %s; last refusal: %v; ", what, w.last))
}

func (w *world) at(address string) *fakeUpstream {
	for _, u := range w.doc.Services[0].Upstreams {
		if u.Address == address {
			return w.ups[u.ID]
		}
	}
	return nil
}

func (w *world) begin(up api.UpstreamID, req platform.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, n := range w.running[req.Key] {
		if other != up && n > 0 {
			w.overlaps = append(w.overlaps, fmt.Sprintf("%v: %s runs on %s and on %s (range %d)", w.now(), req.Key, other, up, req.Range))
		}
	}
	if w.running[req.Key] == nil {
		w.running[req.Key], w.served[req.Key] = map[api.UpstreamID]int{}, map[int]int{}
	}
	w.running[req.Key][up]++
	w.served[req.Key][req.Range]++
	w.runs[req.RequestID]++
}

func (w *world) end(up api.UpstreamID, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[key][up]--
}

// fakeUpstream checks fences and runs each request for a fixed time, but not
// beyond its deadline. While it hangs it reads and answers nothing, and what it
// runs goes on.
type fakeUpstream struct {
	w       *world
	id      api.UpstreamID
	service time.Duration
	refuses bool // accepts no connection for requests
	refused int  // requests that found none

	mu    sync.Mutex
	guard *lease.Guard
	thaw  chan struct{}
	// listsOnly means that it knows no renewals: it takes every grant for a list.
	listsOnly       bool
	lists, renewals int // grants received of either form
}

var errGone = errors.New("no answer")

func (u *fakeUpstream) hang(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case on && u.thaw == nil:
		u.thaw = make(chan struct{})
	case !on && u.thaw != nil:
		close(u.thaw)
		u.thaw = nil
	}
}

// refuse makes the upstream accept no connection for requests; control calls are
// answered if answerControl is set.
func (u *fakeUpstream) refuse(on, answerControl bool) {
	u.mu.Lock()
	u.refuses = on
	u.mu.Unlock()
	u.hang(on && !answerControl)
}

// refusing reports whether a request finds no connection, and counts it.
func (u *fakeUpstream) refusing() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refuses {
		u.refused++
	}
	return u.refuses
}

// serveIn sets the service time of later runs.
func (u *fakeUpstream) serveIn(service time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.service = service
}

func (u *fakeUpstream) wait(ctx context.Context) error {
	u.mu.Lock()
	thaw := u.thaw
	u.mu.Unlock()
	if thaw == nil {
		return nil
	}
	select {
	case <-thaw:
		return nil
	case <-ctx.Done():
		return errGone
	}
}

func (u *fakeUpstream) report() platform.Health {
	u.mu.Lock()
	defer u.mu.Unlock()
	return platform.Health{Incarnation: api.Incarnation(u.id), ClockMs: u.w.now().Milliseconds(), Ready: true, SupportsRenewals: !u.listsOnly}
}

// Health implements platform.Upstream.
func (u *fakeUpstream) Health(ctx context.Context) (platform.Health, error) {
	if err := u.wait(ctx); err != nil {
		return platform.Health{}, err
	}
	return u.report(), nil
}

// Drain implements platform.Upstream.
func (u *fakeUpstream) Drain(ctx context.Context, _ bool) (platform.Health, error) {
	return u.Health(ctx)
}

// Grant implements platform.Upstream.
func (u *fakeUpstream) Grant(ctx context.Context, g platform.Grant) (platform.GrantResult, error) {
	if err := u.wait(ctx); err != nil {
		return platform.GrantResult{}, err
	}
	var ranges []int
	for _, span := range g.Ranges {
		for r := span.First; r <= span.Last; r++ {
			ranges = append(ranges, r)
		}
	}
	until := time.Duration(g.UntilMs) * time.Millisecond
	u.mu.Lock()
	var err error
	if g.RenewsUntilMs != 0 {
		u.renewals++
	} else {
		u.lists++
	}
	if g.RenewsUntilMs != 0 && !u.listsOnly {
		err = u.guard.Renew(u.w.now(), g.Fence, until, time.Duration(g.RenewsUntilMs)*time.Millisecond)
	} else {
		err = u.guard.Grant(u.w.now(), g.Fence, until, ranges)
	}
	u.mu.Unlock()
	time.Sleep(time.Millisecond) // the answer is on its way
	result := platform.GrantResult{Accepted: err == nil, Health: u.report()}
	if errors.Is(err, lease.ErrUnknownGrant) {
		result.Refusal = platform.RefusalUnknownGrant
	}
	return result, nil
}

// Send implements platform.Upstream. A request that was sent arrives, even if
// the sender gave up meanwhile.
func (u *fakeUpstream) Send(ctx context.Context, req platform.Request) (platform.Response, error) {
	if u.refusing() {
		return platform.Response{}, &platform.SendError{Outcome: api.NotRun, Err: errGone}
	}
	result := make(chan platform.Response, 1)
	go func() {
		if u.wait(context.Background()) != nil {
			return
		}
		deadline := time.Duration(req.DeadlineMs) * time.Millisecond
		u.mu.Lock()
		now := u.w.now()
		err := u.guard.Check(now, req.Fence, req.Range, deadline)
		present := req.Fence == u.guard.Fence()
		u.mu.Unlock()
		if err != nil {
			if errors.Is(err, lease.ErrNotGranted) && present {
				u.w.mu.Lock()
				u.w.refused = append(u.w.refused, fmt.Sprintf("%v: %s: range %d of key %s is not granted", now, u.id, req.Range, req.Key))
				u.w.mu.Unlock()
			}
			result <- platform.Response{Shed: true}
			return
		}
		u.w.begin(u.id, req)
		u.mu.Lock()
		service := u.service
		u.mu.Unlock()
		time.Sleep(min(service, deadline-now))
		u.w.end(u.id, req.Key)
		if u.wait(context.Background()) == nil {
			result <- platform.Response{Status: 200}
		}
	}()
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return platform.Response{}, &platform.SendError{Outcome: api.Unknown, Err: errGone}
	}
}

package holder

import (
	"bytes"
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
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/metrics"
)

// responseBytes is the size of the responses of the fake upstreams.
const responseBytes = 1000

// testRanges is the number of ordinary ranges of the service under test.
const testRanges = 64

// testEnv runs a shard with fake upstreams in virtual time (testing/synctest).
type testEnv struct {
	t              *testing.T
	start          time.Time
	doc            *config.Document
	upstreams      map[api.UpstreamID]*fakeUpstream
	shard          *Shard
	ballot         uint64
	stop           chan struct{} // ends the ticks of the current holder
	authorityUntil time.Duration // end of the current holder's authority
	hotKeys        placement.HotKeyConfig

	mu          sync.Mutex
	witness     *wire.Assign // stored by the witness
	running     map[string]map[api.UpstreamID]int
	runs        map[string]int         // by request ID
	served      map[string]map[int]int // runs by key and range
	overlaps    []string
	refused     []string // requests of the current holder for ranges that the upstream was not granted
	responses   map[string]int
	ids         uint64
	witnessDown bool // the witness is unreachable
	// buffers and recorded are the memory of the responses, which have responseBytes.
	buffers, recorded *buffers.Budget
	lastRefusal       *api.Refusal
	log               lockedBuffer
}

// lockedBuffer is a buffer for a log.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// runWithShard runs a test with the holder of a shard of four upstreams. Keys
// become hot and cold faster than by default, which keeps the tests short.
func runWithShard(t *testing.T, body func(env *testEnv)) {
	data, err := os.ReadFile("../../examples/elozokozosseg/configuration.json")
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		doc, err := config.Parse("configuration.json", data)
		require.NoError(t, err)
		s := &doc.Services[0]
		s.Ranges, s.Shards, s.Layout, s.Upstreams = testRanges, 1, []config.Span{{First: 0, Last: testRanges - 1}}, s.Upstreams[:4]
		env := &testEnv{
			t: t, start: time.Now(), doc: doc, upstreams: map[api.UpstreamID]*fakeUpstream{},
			hotKeys: placement.DefaultHotKeyConfig(testRanges),
			buffers: buffers.NewBudget(64 << 20), recorded: buffers.NewBudget(64 << 10),
			running: map[string]map[api.UpstreamID]int{}, runs: map[string]int{}, served: map[string]map[int]int{}, responses: map[string]int{},
		}
		env.hotKeys.Shards, env.hotKeys.SplitAfter, env.hotKeys.MergeAfter = 1, time.Second, 3*time.Second
		for _, u := range s.Upstreams {
			env.upstreams[u.ID] = &fakeUpstream{env: env, id: u.ID, guard: lease.NewGuard(lease.ChecksFence), serviceTime: 4 * time.Millisecond}
		}
		env.hold(PriorState{})
		body(env)
		env.pause()
		env.shard.Close()
		for _, u := range env.upstreams {
			u.setHung(false)
		}
		time.Sleep(10 * time.Second) // all requests and renewals end
		require.Equal(t, env.buffers.Total(), env.buffers.Left(), "the memory of each response is released")
		require.Equal(t, env.recorded.Total(), env.recorded.Left(), "a closed shard records nothing")
		require.Empty(t, env.overlaps)
		require.Empty(t, env.refused)
		for id, n := range env.runs {
			require.Equal(t, 1, n, "runs of request %s", id)
		}
	})
}

func (env *testEnv) now() time.Duration { return time.Since(env.start) }

// hold starts a holder under the next ballot.
func (env *testEnv) hold(in PriorState) {
	env.ballot++
	env.stop = make(chan struct{})
	var s *Shard
	created := make(chan struct{})
	s = New(Config{
		ID: api.ShardID{Service: env.doc.Services[0].Name}, Fence: api.NewFence(1, env.ballot), Clock: env.now,
		Dial:    func(address string, _ config.Service) platform.Upstream { return env.upstreamAt(address) },
		Metrics: metrics.New(), Log: zerolog.New(&env.log), Buffers: env.buffers, Recorded: env.recorded,
		ReportAssignment: func(a wire.Assign) {
			go func() {
				<-created
				env.storeAssignment(s, a)
			}()
		},
	}, env.doc, in, time.Now())
	close(created)
	cfg := env.hotKeys
	cfg.Ranges = testRanges
	s.mu.Lock()
	known := s.hot.policy.Ranges()
	s.hot.policy = placement.NewHotKeys(cfg)
	s.hot.policy.Restore(env.now(), known)
	s.mu.Unlock()
	env.mu.Lock()
	env.shard = s
	env.mu.Unlock()
	if a, pending := s.Assignment(); pending {
		go env.storeAssignment(s, a)
	}
	env.tick(s, env.stop)
}

// storeAssignment is a witness that acknowledges an assignment after a round trip.
func (env *testEnv) storeAssignment(s *Shard, a wire.Assign) {
	time.Sleep(time.Millisecond)
	env.mu.Lock()
	if env.witnessDown {
		env.mu.Unlock()
		return
	}
	if env.witness == nil || a.Fence > env.witness.Fence || a.Fence == env.witness.Fence && a.Seq >= env.witness.Seq {
		env.witness = &a
	}
	env.mu.Unlock()
	s.AckAssignment(a.Seq)
}

func (env *testEnv) tick(s *Shard, stop chan struct{}) {
	env.mu.Lock()
	env.authorityUntil = env.now() + time.Second
	s.SetAuthority(env.authorityUntil)
	env.mu.Unlock()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			env.mu.Lock()
			env.authorityUntil = env.now() + time.Second
			s.SetAuthority(env.authorityUntil)
			env.mu.Unlock()
			s.Tick()
		}
	}()
}

// pause stops the ticks of the current holder and the extension of its authority.
func (env *testEnv) pause() {
	close(env.stop)
	time.Sleep(time.Millisecond)
}

// takeover starts a holder after the authority of the current one has expired.
func (env *testEnv) takeover(knows func(wire.Assign) *wire.Assign) {
	env.pause()
	old := env.shard
	env.mu.Lock()
	end, kept := env.authorityUntil, *env.witness
	env.mu.Unlock()
	time.Sleep(end - env.now() + 10*time.Millisecond)
	old.Close()
	env.hold(PriorState{Assignment: knows(kept)})
}

// handover hands the shard over to a new holder.
func (env *testEnv) handover(knows func(wire.Assign) *wire.Assign) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	h := env.shard.Freeze(ctx)
	env.pause()
	in := PriorState{Handover: &h, Assignment: knows(h.Assignment)}
	env.hold(in)
}

func fullAssignment(a wire.Assign) *wire.Assign { return &a }

func noAssignment(wire.Assign) *wire.Assign { return nil }

// ordinaryOnly returns an assignment as a VM stores it that does not support hot keys.
func ordinaryOnly(a wire.Assign) *wire.Assign {
	a.Hot = nil
	return &a
}

// requestID returns a UUID of version 7 with the virtual time. Those of the
// library never go back in time, but the virtual clock does with each test.
func (env *testEnv) requestID() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.ids++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], env.ids)
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

// forward returns a non-idempotent request.
func (env *testEnv) forward(key string, timeout time.Duration) *wire.Forward {
	return &wire.Forward{
		Shard: api.ShardID{Service: env.doc.Services[0].Name}, Range: rangeOfKey(key), Method: "POST", Path: "/" + key, Key: key,
		RequestID: env.requestID(), TimeoutMs: timeout.Milliseconds(), Caller: "c",
	}
}

// send sends one request for a key and waits for its outcome.
func (env *testEnv) send(s *Shard, key string) bool {
	reply := s.Serve(context.Background(), env.forward(key, 400*time.Millisecond))
	defer reply.Release()
	if reply.Refusal != nil {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.lastRefusal = reply.Refusal
		return false
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.responses[key]++
	return true
}

// current returns the current holder, for the goroutines of a load.
func (env *testEnv) current() *Shard {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.shard
}

// load sends requests for a key at a rate until the returned function is called,
// which waits for the requests in flight.
func (env *testEnv) load(key string, perSecond int) (end func()) {
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
				sends.Go(func() { env.send(env.current(), key) })
			}
		}
	})
	return func() {
		close(done)
		// A send that is left when the test ends blocks for ever: the virtual clock stops.
		sends.Wait()
	}
}

// hot returns a copy of the hot key's range, or nil.
func (env *testEnv) hot(key string) *hotRange {
	env.shard.mu.Lock()
	defer env.shard.mu.Unlock()
	if h := env.shard.ranges.hotByKey[key]; h != nil {
		c := *h
		return &c
	}
	return nil
}

func (env *testEnv) owner(rangeNum int) api.UpstreamID {
	env.shard.mu.Lock()
	defer env.shard.mu.Unlock()
	if r := env.shard.ranges.at(rangeNum); r != nil {
		return r.owner
	}
	return ""
}

// move starts a move as the planner does.
func (env *testEnv) move(rangeNum int, to api.UpstreamID) {
	env.shard.mu.Lock()
	defer env.shard.mu.Unlock()
	if r := env.shard.ranges.at(rangeNum); r != nil && (r.hot == nil || r.hot.phase == hotActive) {
		env.shard.startMove(env.now(), placement.Move{Range: rangeNum, From: r.owner, To: to})
	}
}

// until waits for a condition for at most a minute of virtual time.
func (env *testEnv) until(what string, condition func() bool) {
	env.t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(env.t, fmt.Sprintf("this did not happen within a minute: %s; last refusal: %v; ", what, env.lastRefusal))
}

func (env *testEnv) upstreamAt(address string) *fakeUpstream {
	for _, u := range env.doc.Services[0].Upstreams {
		if u.Address == address {
			return env.upstreams[u.ID]
		}
	}
	return nil
}

func (env *testEnv) runStarted(up api.UpstreamID, req platform.Request) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for other, n := range env.running[req.Key] {
		if other != up && n > 0 {
			env.overlaps = append(env.overlaps, fmt.Sprintf("%v: %s runs on %s and on %s (range %d)", env.now(), req.Key, other, up, req.Range))
		}
	}
	if env.running[req.Key] == nil {
		env.running[req.Key], env.served[req.Key] = map[api.UpstreamID]int{}, map[int]int{}
	}
	env.running[req.Key][up]++
	env.served[req.Key][req.Range]++
	env.runs[req.RequestID]++
}

func (env *testEnv) runEnded(up api.UpstreamID, key string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.running[key][up]--
}

// fakeUpstream checks fences and runs each request for a fixed time, but not
// beyond its deadline. While it hangs, it reads nothing and sends no responses,
// but its running requests continue.
type fakeUpstream struct {
	env          *testEnv
	id           api.UpstreamID
	serviceTime  time.Duration
	refusesConns bool // accepts no connection for requests
	refusedConns int  // requests that could not connect
	sendError    error

	mu      sync.Mutex
	guard   *lease.Guard
	resumed chan struct{}
	// noRenewals means that it does not support renewals: it takes each grant for a
	// list of ranges.
	noRenewals      bool
	lists, renewals int // grants received of each form
}

var errNoResponse = errors.New("no response")

func (u *fakeUpstream) setHung(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case on && u.resumed == nil:
		u.resumed = make(chan struct{})
	case !on && u.resumed != nil:
		close(u.resumed)
		u.resumed = nil
	}
}

// setRefusing makes the upstream accept no connections for requests. It still
// responds to control calls if controlCalls is set.
func (u *fakeUpstream) setRefusing(on, controlCalls bool) {
	u.mu.Lock()
	u.refusesConns = on
	u.mu.Unlock()
	u.setHung(on && !controlCalls)
}

// refuseConn reports whether a request cannot connect, and counts it.
func (u *fakeUpstream) refuseConn() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refusesConns {
		u.refusedConns++
	}
	return u.refusesConns
}

// setServiceTime sets the service time of later requests.
func (u *fakeUpstream) setServiceTime(serviceTime time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serviceTime = serviceTime
}

func (u *fakeUpstream) awaitResumed(ctx context.Context) error {
	u.mu.Lock()
	resumed := u.resumed
	u.mu.Unlock()
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return errNoResponse
	}
}

func (u *fakeUpstream) report() platform.Health {
	u.mu.Lock()
	defer u.mu.Unlock()
	return platform.Health{Incarnation: api.Incarnation(u.id), ClockMs: u.env.now().Milliseconds(), Ready: true, SupportsRenewals: !u.noRenewals}
}

// Health implements platform.Upstream.
func (u *fakeUpstream) Health(ctx context.Context) (platform.Health, error) {
	if err := u.awaitResumed(ctx); err != nil {
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
	if err := u.awaitResumed(ctx); err != nil {
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
	if g.RenewsUntilMs != 0 && !u.noRenewals {
		err = u.guard.Renew(u.env.now(), g.Fence, until, time.Duration(g.RenewsUntilMs)*time.Millisecond)
	} else {
		err = u.guard.Grant(u.env.now(), g.Fence, until, ranges)
	}
	u.mu.Unlock()
	time.Sleep(time.Millisecond) // network delay of the response
	result := platform.GrantResult{Accepted: err == nil, Health: u.report()}
	if errors.Is(err, lease.ErrUnknownGrant) {
		result.Refusal = platform.RefusalUnknownGrant
	}
	return result, nil
}

// Send implements platform.Upstream. A request that was sent arrives even if the
// sender has given up.
func (u *fakeUpstream) Send(ctx context.Context, req platform.Request) (platform.Response, error) {
	if u.refuseConn() {
		return platform.Response{}, &platform.SendError{Outcome: api.NotRun, Err: errNoResponse}
	}
	if u.sendError != nil {
		return platform.Response{}, u.sendError
	}
	result := make(chan platform.Response, 1)
	go func() {
		if u.awaitResumed(context.Background()) != nil {
			return
		}
		deadline := time.Duration(req.DeadlineMs) * time.Millisecond
		u.mu.Lock()
		now := u.env.now()
		err := u.guard.Check(now, req.Fence, req.Range, deadline)
		currentFence := req.Fence == u.guard.Fence()
		u.mu.Unlock()
		if err != nil {
			if errors.Is(err, lease.ErrNotGranted) && currentFence {
				u.env.mu.Lock()
				u.env.refused = append(u.env.refused, fmt.Sprintf("%v: %s: range %d of key %s is not granted", now, u.id, req.Range, req.Key))
				u.env.mu.Unlock()
			}
			result <- platform.Response{Shed: true}
			return
		}
		u.env.runStarted(u.id, req)
		u.mu.Lock()
		serviceTime := u.serviceTime
		u.mu.Unlock()
		time.Sleep(min(serviceTime, deadline-now))
		u.env.runEnded(u.id, req.Key)
		if u.awaitResumed(context.Background()) == nil {
			result <- platform.Response{Status: 200}
		}
	}()
	select {
	case r := <-result:
		if r.Shed {
			return r, nil
		}
		var err error
		if r.Body, err = req.Memory.ReadResponse(nil, bytes.NewReader(make([]byte, responseBytes)), 1<<20); err != nil {
			return platform.Response{}, &platform.SendError{Outcome: api.Unknown, Err: err}
		}
		return r, nil
	case <-ctx.Done():
		return platform.Response{}, &platform.SendError{Outcome: api.Unknown, Err: errNoResponse}
	}
}

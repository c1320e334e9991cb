package entry

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/metrics"
	"dandelionhill.dev/server/peer"
)

var testShard = api.ShardID{Service: "s"}

// stub replies to calls by VM and counts them.
type stub struct {
	calls   atomic.Int64
	replies map[api.VMID]func(out *wire.Reply) error
}

func (s *stub) Call(_ context.Context, to api.VMID, _ wire.Type, _, out any) error {
	s.calls.Add(1)
	return s.replies[to](out.(*wire.Reply))
}

func newTestEntry(forward Forwarder, snapshot func() *control.Snapshot) *Entry {
	start := time.Now()
	return New(Config{
		Self: "self", Snapshot: snapshot, Forward: forward,
		Clock: func() time.Duration { return time.Since(start) }, Metrics: metrics.New(), Log: zerolog.Nop(),
	})
}

func holders(vm api.VMID, ballot uint64) *control.Snapshot {
	return &control.Snapshot{Holders: map[api.ShardID]control.Holder{testShard: {VM: vm, Fence: api.NewFence(1, ballot)}}}
}

func notSent(*wire.Reply) error { return errors.Wrap(peer.ErrNotSent, "old") }

func lostReply(*wire.Reply) error { return errors.Wrap(peer.ErrNoReply, "old") }

func answered(out *wire.Reply) error {
	*out = wire.Reply{Status: 200, Body: []byte("ok")}
	return nil
}

// TestRequestWaitsForTheNewHolder checks that a request which cannot reach the former
// holder during a takeover is not refused: it waits for the next holder.
func TestRequestWaitsForTheNewHolder(t *testing.T) {
	for name, old := range map[string]func(*wire.Reply) error{"not sent": notSent, "lost": lostReply} {
		t.Run(name, func(t *testing.T) {
			var current atomic.Pointer[control.Snapshot]
			current.Store(holders("old", 1))
			s := &stub{replies: map[api.VMID]func(*wire.Reply) error{
				"old": func(out *wire.Reply) error {
					time.AfterFunc(50*time.Millisecond, func() { current.Store(holders("new", 2)) })
					return old(out)
				},
				"new": answered,
			}}
			e := newTestEntry(s, current.Load)
			f := &wire.Forward{Shard: testShard, Idempotent: true, TimeoutMs: 30_000}
			reply := e.run(t.Context(), "s", f)
			require.Nil(t, reply.Refusal)
			require.Zero(t, e.waiting.Load())
			require.True(t, f.Waited, "the holder must know that such requests arrive together")
			f = &wire.Forward{Shard: testShard, Idempotent: true, TimeoutMs: 30_000}
			require.Nil(t, e.run(t.Context(), "s", f).Refusal)
			require.False(t, f.Waited)
		})
	}
}

// paused is a holder that reads requests and does not reply.
type paused struct{ stub }

func (p *paused) Call(ctx context.Context, to api.VMID, kind wire.Type, payload, out any) error {
	if to != "old" {
		return p.stub.Call(ctx, to, kind, payload, out)
	}
	<-ctx.Done()
	return errors.Wrap(peer.ErrNoReply, "old")
}

// TestRequestLeavesAPausedHolder checks that an idempotent request leaves a paused
// holder when another VM has taken over: it would otherwise wait until its deadline.
func TestRequestLeavesAPausedHolder(t *testing.T) {
	var current atomic.Pointer[control.Snapshot]
	current.Store(holders("old", 1))
	p := &paused{stub{replies: map[api.VMID]func(*wire.Reply) error{"new": answered}}}
	e := newTestEntry(p, current.Load)
	time.AfterFunc(50*time.Millisecond, func() { current.Store(holders("new", 2)) })
	reply := e.run(t.Context(), "s", &wire.Forward{Shard: testShard, Idempotent: true, TimeoutMs: 30_000})
	require.Nil(t, reply.Refusal)
}

// TestLostNonIdempotentRequestIsUnknown checks that a non-idempotent request is not
// sent again after its connection broke: it could run twice.
func TestLostNonIdempotentRequestIsUnknown(t *testing.T) {
	s := &stub{replies: map[api.VMID]func(*wire.Reply) error{"old": lostReply}}
	e := newTestEntry(s, func() *control.Snapshot { return holders("old", 1) })
	reply := e.run(t.Context(), "s", &wire.Forward{Shard: testShard, RequestID: "id", TimeoutMs: 30_000})
	require.Equal(t, api.Unknown, reply.Refusal.Outcome)
	require.EqualValues(t, 1, s.calls.Load())
}

// TestWaitingIsBounded checks that only a limited number of requests wait at a time,
// which bounds their memory, and that the others are refused at once as not run.
func TestWaitingIsBounded(t *testing.T) {
	s := &stub{replies: map[api.VMID]func(*wire.Reply) error{"old": notSent}}
	e := newTestEntry(s, func() *control.Snapshot { return holders("old", 1) })
	e.waiting.Store(maxWaitingRequests)
	reply := e.run(t.Context(), "s", &wire.Forward{Shard: testShard, Idempotent: true, TimeoutMs: 30_000})
	require.Equal(t, api.NotHolder, reply.Refusal.Kind)
	require.Equal(t, api.NotRun, reply.Refusal.Outcome)
	require.EqualValues(t, 1, s.calls.Load())
	require.EqualValues(t, maxWaitingRequests, e.waiting.Load())
}

// TestReplyWithoutStatus guards against a success for a reply that is neither a response nor a
// refusal.
func TestReplyWithoutStatus(t *testing.T) {
	for _, status := range []int{0, 100, 1000} {
		refused := validReply(&wire.Reply{Status: status}).Refusal
		require.NotNil(t, refused, status)
		require.Equal(t, api.Unknown, refused.Outcome)
	}
	require.Nil(t, validReply(&wire.Reply{Status: 204}).Refusal)
	require.NotNil(t, validReply(wire.Refused(api.Refuse(api.Shed, ""))).Refusal)
}

// TestMemoryOfReplies guards against a reply whose memory is lost or is not that of the caller's request,
// so that a slow reader keeps it, and against a refusal of a request that has run.
func TestMemoryOfReplies(t *testing.T) {
	budget := buffers.NewBudget(1 << 10)
	request, local := budget.Reserve(), budget.Reserve()
	require.True(t, local.Take(100))
	reply, _ := keepMemory(&wire.Reply{Status: 200, Body: make([]byte, 100), Memory: local}, request)
	require.Nil(t, reply.Refusal)
	reply.Release()
	require.EqualValues(t, 100, request.Taken())
	for size, refused := range map[int]bool{200: false, 1 << 10: true} {
		remote := new(released)
		reply, kept := keepMemory(&wire.Reply{Status: 200, Body: make([]byte, size), Memory: remote}, request)
		require.EqualValues(t, 1, *remote)
		require.Equal(t, !refused, kept)
		require.Equal(t, refused, reply.Refusal != nil)
		if refused {
			require.Equal(t, api.Unknown, reply.Refusal.Outcome)
		}
	}
	request.Release()
	require.Equal(t, budget.Total(), budget.Left())
}

// released counts how often it was released.
type released int

func (r *released) Release() { *r++ }

// TestUnknownOutcomeIsExplained guards against an unknown outcome whose cause is not in the log of the
// VM that told its caller.
func TestUnknownOutcomeIsExplained(t *testing.T) {
	var log bytes.Buffer
	s := &stub{replies: map[api.VMID]func(*wire.Reply) error{"holder": func(out *wire.Reply) error {
		*out = *wire.Refused(api.Refuse(api.UpstreamFailed, "the call of the upstream failed: status 000"))
		return nil
	}}}
	snapshot := holders("holder", 1)
	snapshot.Document = &config.Document{}
	snapshot.Services = map[api.ServiceName]control.Service{"s": {
		Service: config.Service{Name: "s", MaxBody: 10},
		Routes:  shardmap.New("s", 1, []placement.Shard{{First: 0, Last: 0}}, nil),
	}}
	snapshot.ConfirmedUntil = time.Hour
	e := newTestEntry(s, func() *control.Snapshot { return snapshot })
	e.cfg.Log = zerolog.New(&log)
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/s/x", nil)
	r.Header.Set(api.HeaderRequestID, "request-1")
	r.Header.Set(api.HeaderTimeout, "1000")
	e.Handler().ServeHTTP(w, r)
	require.Equal(t, http.StatusBadGateway, w.Code, w.Body)
	require.Contains(t, log.String(), `"event":"outcome_unknown"`)
	require.Contains(t, log.String(), `"request_id":"request-1"`)
	require.Contains(t, log.String(), `"error":"the call of the upstream failed: status 000"`)
}

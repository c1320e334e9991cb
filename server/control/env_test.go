package control

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/fakes/table"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/metrics"
)

// message is a frame between two VMs.
type message struct {
	from, to api.VMID
	frame    wire.Frame
}

// testEnv has the control loops of several VMs on one clock that the test sets.
// Messages are delivered by the test, and the store is read only through it.
type testEnv struct {
	t     *testing.T
	now   time.Duration
	ids   []api.VMID
	vms   map[api.VMID]*Control
	queue []message
	store *table.Store
}

// outbox queues the messages of one VM.
type outbox struct {
	env  *testEnv
	from api.VMID
}

func (o outbox) Send(to api.VMID, kind wire.Type, payload any) bool {
	data, err := wire.Encode(kind, 0, payload)
	require.NoError(o.env.t, err)
	frame, err := wire.Decode(data)
	require.NoError(o.env.t, err)
	o.env.queue = append(o.env.queue, message{o.from, to, frame})
	return true
}

func (o outbox) Call(context.Context, api.VMID, wire.Type, any, any) error {
	return context.DeadlineExceeded
}

func newTestEnv(t *testing.T, ids ...api.VMID) *testEnv {
	env := &testEnv{t: t, ids: ids, vms: map[api.VMID]*Control{}, store: table.New()}
	for _, id := range ids {
		env.start(id, "1")
	}
	return env
}

// start starts a VM, with a new incarnation if it ran before.
func (env *testEnv) start(id api.VMID, incarnation api.Incarnation) {
	var vms []placement.VM
	for _, other := range env.ids {
		vms = append(vms, placement.VM{ID: other})
	}
	c := New(Config{
		Self: placement.VM{ID: id}, Incarnation: incarnation, VMs: vms, Table: env.store,
		Clock: func() time.Duration { return env.now }, Metrics: metrics.New(), Log: zerolog.Nop(),
	})
	c.SetSender(outbox{env, id})
	env.vms[id] = c
}

// write stores a document with a revision.
func (env *testEnv) write(revision uint64) { env.put(&config.Document{Revision: revision}) }

// put writes a document to the store.
func (env *testEnv) put(doc *config.Document) {
	data, err := config.Encode(doc)
	require.NoError(env.t, err)
	result, err := env.store.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: ConfigKey, Value: data}}})
	require.NoError(env.t, err)
	require.True(env.t, result.Committed)
}

// readStore reads the store for VMs.
func (env *testEnv) readStore(ids ...api.VMID) {
	result, err := env.store.Commit(context.Background(), platform.Txn{Reads: []string{ConfigKey}})
	require.NoError(env.t, err)
	for _, id := range ids {
		env.vms[id].receiveRows(context.Background(), env.now, result.Rows)
	}
}

// runIntervals runs VMs for some heartbeat intervals and delivers the messages
// between them. Messages from and to other VMs are lost.
func (env *testEnv) runIntervals(intervals int, ids ...api.VMID) {
	among := map[api.VMID]bool{}
	for _, id := range ids {
		among[id] = true
	}
	for range intervals {
		env.now += heartbeatEvery
		for _, id := range ids {
			env.vms[id].tick()
		}
		for len(env.queue) > 0 {
			m := env.queue[0]
			env.queue = env.queue[1:]
			if among[m.from] && among[m.to] {
				env.vms[m.to].receive(m.from, m.frame)
			}
		}
	}
	for _, id := range ids {
		env.vms[id].tick()
	}
	env.queue = nil
}

// call calls a method of a VM that waits for its control goroutine.
func (env *testEnv) call(id api.VMID, call func(ctx context.Context, c *Control)) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case event := <-env.vms[id].events:
				event()
			case <-ctx.Done():
				return
			}
		}
	}()
	call(ctx, env.vms[id])
	cancel()
	<-ended
}

func (env *testEnv) progress(id api.VMID, revision uint64) (p Progress) {
	env.call(id, func(ctx context.Context, c *Control) {
		var err error
		p, err = c.Progress(ctx, revision)
		require.NoError(env.t, err)
	})
	return p
}

// servesRequests reports whether a VM accepts requests, and its revision.
func (env *testEnv) servesRequests(id api.VMID) (bool, uint64) {
	s := env.vms[id].Snapshot()
	if s.Document == nil {
		return false, 0
	}
	return s.Ready(env.now), s.Document.Revision
}

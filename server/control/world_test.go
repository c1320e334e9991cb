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

// world has the control loops of some VMs on one clock that the test sets. Its
// messages wait until the test delivers them. The store answers only when the
// test lets a VM read it.
type world struct {
	t     *testing.T
	now   time.Duration
	ids   []api.VMID
	vms   map[api.VMID]*Control
	queue []message
	store *table.Store
}

// outbox sends the messages of one VM.
type outbox struct {
	w    *world
	from api.VMID
}

func (o outbox) Send(to api.VMID, kind wire.Type, payload any) bool {
	data, err := wire.Encode(kind, 0, payload)
	require.NoError(o.w.t, err)
	frame, err := wire.Decode(data)
	require.NoError(o.w.t, err)
	o.w.queue = append(o.w.queue, message{o.from, to, frame})
	return true
}

func (o outbox) Call(context.Context, api.VMID, wire.Type, any, any) error {
	return context.DeadlineExceeded
}

func newWorld(t *testing.T, ids ...api.VMID) *world {
	w := &world{t: t, ids: ids, vms: map[api.VMID]*Control{}, store: table.New()}
	for _, id := range ids {
		w.start(id, "1")
	}
	return w
}

// start starts a VM, as a new incarnation if it ran before.
func (w *world) start(id api.VMID, incarnation api.Incarnation) {
	var vms []placement.VM
	for _, other := range w.ids {
		vms = append(vms, placement.VM{ID: other})
	}
	c := New(Config{
		Self: placement.VM{ID: id}, Incarnation: incarnation, VMs: vms, Table: w.store,
		Clock: func() time.Duration { return w.now }, Metrics: metrics.New(), Log: zerolog.Nop(),
	})
	c.SetSender(outbox{w, id})
	w.vms[id] = c
}

// write makes a revision in the store.
func (w *world) write(revision uint64) { w.put(&config.Document{Revision: revision}) }

// put writes a document to the store.
func (w *world) put(doc *config.Document) {
	data, err := config.Encode(doc)
	require.NoError(w.t, err)
	result, err := w.store.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: ConfigKey, Value: data}}})
	require.NoError(w.t, err)
	require.True(w.t, result.Committed)
}

// read lets VMs read the store.
func (w *world) read(ids ...api.VMID) {
	result, err := w.store.Commit(context.Background(), platform.Txn{Reads: []string{ConfigKey}})
	require.NoError(w.t, err)
	for _, id := range ids {
		w.vms[id].receiveRows(context.Background(), w.now, result.Rows)
	}
}

// exchange lets VMs tick and delivers the messages among them, and the answers,
// for some intervals. Messages to and from others are lost.
func (w *world) exchange(intervals int, ids ...api.VMID) {
	among := map[api.VMID]bool{}
	for _, id := range ids {
		among[id] = true
	}
	for range intervals {
		w.now += heartbeatEvery
		for _, id := range ids {
			w.vms[id].tick()
		}
		for len(w.queue) > 0 {
			m := w.queue[0]
			w.queue = w.queue[1:]
			if among[m.from] && among[m.to] {
				w.vms[m.to].receive(m.from, m.frame)
			}
		}
	}
	for _, id := range ids {
		w.vms[id].tick()
	}
	w.queue = nil
}

// ask calls a method of a VM that waits for its control goroutine.
func (w *world) ask(id api.VMID, call func(ctx context.Context, c *Control)) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case event := <-w.vms[id].events:
				event()
			case <-ctx.Done():
				return
			}
		}
	}()
	call(ctx, w.vms[id])
	cancel()
	<-ended
}

func (w *world) progress(id api.VMID, revision uint64) (p Progress) {
	w.ask(id, func(ctx context.Context, c *Control) {
		var err error
		p, err = c.Progress(ctx, revision)
		require.NoError(w.t, err)
	})
	return p
}

// working reports whether a VM takes new work, and its revision.
func (w *world) working(id api.VMID) (bool, uint64) {
	s := w.vms[id].Snapshot()
	if s.Document == nil {
		return false, 0
	}
	return s.Ready(w.now), s.Document.Revision
}

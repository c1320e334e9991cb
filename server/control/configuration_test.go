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

// noPeers is a Sender that reaches nobody.
type noPeers struct{}

func (noPeers) Send(api.VMID, wire.Type, any) bool { return false }

func (noPeers) Call(context.Context, api.VMID, wire.Type, any, any) error {
	return context.DeadlineExceeded
}

// watchedTable counts how often the configuration's row is transferred, and
// can fail the transactions that read it.
type watchedTable struct {
	*table.Store
	headReads int
	failHead  bool
}

func (w *watchedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	for _, key := range txn.Reads {
		if key != ConfigKey {
			continue
		}
		if w.failHead {
			return platform.TxnResult{}, platform.ErrUnavailable
		}
		w.headReads++
	}
	return w.Store.Commit(ctx, txn)
}

// pollWorld is a control loop whose events the test runs one by one.
type pollWorld struct {
	*Control
	t     *testing.T
	table *watchedTable
	now   time.Duration
}

func newPollWorld(t *testing.T) *pollWorld {
	w := &pollWorld{t: t, table: &watchedTable{Store: table.New()}}
	w.Control = New(Config{
		Self: placement.VM{ID: "a"}, VMs: []placement.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Table: w.table,
		Clock: func() time.Duration { return w.now }, Metrics: metrics.New(), Log: zerolog.Nop(),
	})
	w.SetSender(noPeers{})
	return w
}

func pollDocument(revision uint64) *config.Document {
	return &config.Document{Revision: revision, Services: []config.Service{
		{Name: "s", Ranges: 2, Shards: 1, Layout: []config.Span{{First: 0, Last: 1}}},
	}}
}

// write stores a value as another daemon does, whose frames do not arrive here.
func (w *pollWorld) write(value []byte) {
	_, err := w.table.Store.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: ConfigKey, Value: value}}})
	require.NoError(w.t, err)
}

func (w *pollWorld) writeRevision(revision uint64) {
	data, err := config.Encode(pollDocument(revision))
	require.NoError(w.t, err)
	w.write(data)
}

// frame delivers a document from a peer; an older daemon sends no version.
func (w *pollWorld) frame(revision, version uint64) {
	data, err := config.Encode(pollDocument(revision))
	require.NoError(w.t, err)
	encoded, err := wire.Encode(wire.TypeConfig, 0, wire.Config{Revision: revision, Document: data, Version: version})
	require.NoError(w.t, err)
	frame, err := wire.Decode(encoded)
	require.NoError(w.t, err)
	w.receive("b", frame)
}

// poll runs one poll. It returns whether the poll confirmed the configuration,
// and how often it transferred the row. The clock stays below settleDelay, so
// that no record is written meanwhile.
func (w *pollWorld) poll() (confirmed bool, headReads int) {
	w.now += 10 * time.Millisecond
	before := w.table.headReads
	w.readStore(context.Background())
	(<-w.events)()
	return w.confirmed == w.now+confirmFor, w.table.headReads - before
}

func (w *pollWorld) expect(revision uint64, headReads int) {
	w.t.Helper()
	confirmed, reads := w.poll()
	require.True(w.t, confirmed)
	require.Equal(w.t, revision, w.revision())
	require.Equal(w.t, headReads, reads)
}

// Guards against polls that transfer the configuration although it is the same,
// or that miss a change whose frames were lost.
func TestPollTransfersOnlyAChangedConfiguration(t *testing.T) {
	w := newPollWorld(t)
	w.writeRevision(1)
	w.expect(1, 1)
	w.expect(1, 0)
	w.writeRevision(2)
	w.expect(2, 1)
	w.expect(2, 0)
	w.frame(3, 3) // arrives before its poll: nothing is left to transfer
	w.writeRevision(3)
	w.expect(3, 0)
	w.writeRevision(4)
	w.frame(4, 0) // from a daemon that does not send the version
	w.expect(4, 1)
	w.expect(4, 0)
	w.frame(2, 2) // a late frame
	w.expect(4, 0)
}

// Guards against a VM that goes on to confirm its configuration when the row
// has changed and the new document did not reach it or cannot be read.
func TestPollDoesNotConfirmAnOlderConfiguration(t *testing.T) {
	w := newPollWorld(t)
	w.writeRevision(1)
	w.expect(1, 1)
	w.writeRevision(2)
	w.table.failHead = true
	for range 3 {
		confirmed, _ := w.poll()
		require.False(t, confirmed, "the row changed and was not read")
	}
	w.table.failHead = false
	w.expect(2, 1)
	w.write([]byte(`{"format":2}`))
	for range 3 {
		confirmed, reads := w.poll()
		require.False(t, confirmed, "the row has a format that this version does not know")
		require.Equal(t, 1, reads)
	}
	w.frame(2, 2) // the version of the document in use says nothing about the row now
	confirmed, _ := w.poll()
	require.False(t, confirmed)
	require.Equal(t, uint64(2), w.revision())
}

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

// unreachablePeers is a Sender that reaches no VM.
type unreachablePeers struct{}

func (unreachablePeers) Send(api.VMID, wire.Type, any) bool { return false }

func (unreachablePeers) Call(context.Context, api.VMID, wire.Type, any, any) error {
	return context.DeadlineExceeded
}

// countingTable counts the reads of the configuration's row, and can make the
// transactions that read it fail.
type countingTable struct {
	*table.Store
	headReads int
	failHead  bool
}

func (c *countingTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	for _, key := range txn.Reads {
		if key != ConfigKey {
			continue
		}
		if c.failHead {
			return platform.TxnResult{}, platform.ErrUnavailable
		}
		c.headReads++
	}
	return c.Store.Commit(ctx, txn)
}

// pollEnv is a control loop whose events the test executes one by one.
type pollEnv struct {
	*Control
	t     *testing.T
	table *countingTable
	now   time.Duration
}

func newPollEnv(t *testing.T) *pollEnv {
	env := &pollEnv{t: t, table: &countingTable{Store: table.New()}}
	env.Control = New(Config{
		Self: placement.VM{ID: "a"}, VMs: []placement.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Table: env.table,
		Clock: func() time.Duration { return env.now }, Metrics: metrics.New(), Log: zerolog.Nop(),
	})
	env.SetSender(unreachablePeers{})
	return env
}

func pollDocument(revision uint64) *config.Document {
	return &config.Document{Revision: revision, Services: []config.Service{
		{Name: "s", Ranges: 2, Shards: 1, Layout: []config.Span{{First: 0, Last: 1}}},
	}}
}

// write stores a value as another VM does whose frames do not arrive here.
func (env *pollEnv) write(value []byte) {
	_, err := env.table.Store.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: ConfigKey, Value: value}}})
	require.NoError(env.t, err)
}

func (env *pollEnv) writeRevision(revision uint64) {
	data, err := config.Encode(pollDocument(revision))
	require.NoError(env.t, err)
	env.write(data)
}

// frame delivers a document from a peer. A peer of an older version sends version 0.
func (env *pollEnv) frame(revision, version uint64) {
	data, err := config.Encode(pollDocument(revision))
	require.NoError(env.t, err)
	encoded, err := wire.Encode(wire.TypeConfig, 0, wire.Config{Revision: revision, Document: data, Version: version})
	require.NoError(env.t, err)
	frame, err := wire.Decode(encoded)
	require.NoError(env.t, err)
	env.receive("b", frame)
}

// poll runs one poll. It returns whether the poll confirmed the configuration,
// and how often it read the row. The clock stays below spreadDelay, so that no
// record is written.
func (env *pollEnv) poll() (confirmed bool, headReads int) {
	env.now += 10 * time.Millisecond
	before := env.table.headReads
	env.readStore(context.Background())
	(<-env.events)()
	return env.confirmedUntil == env.now+confirmFor, env.table.headReads - before
}

func (env *pollEnv) expect(revision uint64, headReads int) {
	env.t.Helper()
	confirmed, reads := env.poll()
	require.True(env.t, confirmed)
	require.Equal(env.t, revision, env.revision())
	require.Equal(env.t, headReads, reads)
}

// TestPollTransfersOnlyAChangedConfiguration checks that polls read the
// configuration only if it has changed, also if the frames of a change were lost.
func TestPollTransfersOnlyAChangedConfiguration(t *testing.T) {
	env := newPollEnv(t)
	env.writeRevision(1)
	env.expect(1, 1)
	env.expect(1, 0)
	env.writeRevision(2)
	env.expect(2, 1)
	env.expect(2, 0)
	env.frame(3, 3) // arrives before the poll: nothing is left to read
	env.writeRevision(3)
	env.expect(3, 0)
	env.writeRevision(4)
	env.frame(4, 0) // from a VM that does not send the version
	env.expect(4, 1)
	env.expect(4, 0)
	env.frame(2, 2) // a late frame
	env.expect(4, 0)
}

// TestPollDoesNotConfirmAnOlderConfiguration checks that a VM does not confirm its
// configuration if the row has changed and the new document cannot be read.
func TestPollDoesNotConfirmAnOlderConfiguration(t *testing.T) {
	env := newPollEnv(t)
	env.writeRevision(1)
	env.expect(1, 1)
	env.writeRevision(2)
	env.table.failHead = true
	for range 3 {
		confirmed, _ := env.poll()
		require.False(t, confirmed, "the row changed and was not read")
	}
	env.table.failHead = false
	env.expect(2, 1)
	env.write([]byte(`{"format":2}`))
	for range 3 {
		confirmed, reads := env.poll()
		require.False(t, confirmed, "the row has an unknown format")
		require.Equal(t, 1, reads)
	}
	env.frame(2, 2) // an older version than that of the row
	confirmed, _ := env.poll()
	require.False(t, confirmed)
	require.Equal(t, uint64(2), env.revision())
}

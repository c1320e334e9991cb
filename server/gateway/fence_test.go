package gateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
)

// TestOlderFenceIsStopped guards against a grant under a lower fence than one under which the
// keys were granted to another upstream.
func TestOlderFenceIsStopped(t *testing.T) {
	var log bytes.Buffer
	span := ownership.Span{First: 16, Last: 31}
	stored := systemState{owners: map[api.ServiceName][]ownership.Entry{"keyed": {{Span: span, Fence: 7}}}}
	e := &elector{log: zerolog.New(&log)}
	calls := newCallQueues(&granter{elector: e, initial: stored})
	grant := func(service api.ServiceName, first, last int, fence int64) bool {
		return calls.checkFence(service, ownership.Action{Kind: ownership.Grant, Span: ownership.Span{First: first, Last: last}, Fence: fence})
	}
	require.False(t, grant("keyed", 0, 20, 6), "the store holds a higher fence")
	require.Contains(t, log.String(), `"event":"grant_stopped","service":"keyed","upstream":"","first":0,"last":20,"fence":6,"highest":7`)
	require.True(t, grant("keyed", 16, 31, 7), "a renewal")
	require.True(t, grant("keyed", 24, 31, 9))
	require.False(t, grant("keyed", 16, 31, 8))
	require.True(t, grant("keyed", 16, 23, 8))
	require.True(t, grant("other", 16, 31, 1), "keys of another service")
}

// TestReleasesDoNotHoldUpRenewals guards against leases that run out because releases, which
// wait for running requests, take all places for calls to their upstream.
func TestReleasesDoNotHoldUpRenewals(t *testing.T) {
	g := &granter{elector: &elector{log: zerolog.Nop(), metrics: NewMetrics()}, tasks: make(chan func(), 16), done: make(chan struct{})}
	calls := newCallQueues(g)
	running, unblock := make(chan struct{}), make(chan struct{})
	queue := &callQueue{}
	block := func() {
		running <- struct{}{}
		<-unblock
	}
	calls.mu.Lock()
	queue.releases.pending = []func(){block, block, block}
	calls.startQueued(&queue.releases)
	calls.mu.Unlock()
	for range maxConcurrentCalls {
		<-running
	}
	renewed := make(chan struct{})
	calls.mu.Lock()
	queue.grants.pending = []func(){func() { close(renewed) }}
	calls.startQueued(&queue.grants)
	require.Len(t, queue.releases.pending, 1, "releases have their own limit")
	calls.mu.Unlock()
	<-renewed
	close(unblock)
	<-running
}

// TestGrantAfterItsAuthority guards against a grant that leaves after the authority of its granter
// has ended, because the process was stopped between the check and the send, and against one that
// no log line tells of.
func TestGrantAfterItsAuthority(t *testing.T) {
	cfg := election.DefaultConfig()
	var log bytes.Buffer
	sent := bootTime()
	g := &granter{elector: &elector{log: zerolog.New(&log), metrics: NewMetrics()}, authority: election.NewAuthority(cfg, sent, 1)}
	g.calls = newCallQueues(g)
	require.Equal(t, sent+cfg.LeaseTTL-cfg.MaxSendDelay, g.authority.SendUntil(sent))
	g.renewUntil.Store(int64(bootTime() + cfg.MaxSendDelay))
	require.False(t, g.mayRenew())
	g.renewUntil.Store(int64(bootTime() + time.Hour))
	require.True(t, g.mayRenew())
	g.renewUntil.Store(int64(g.authority.RenewUntil(sent)))

	grant := ownership.Action{Kind: ownership.Grant, Owner: ownership.Owner{UpstreamID: "k1"}, Span: ownership.Span{First: 1, Last: 2}, Fence: 3}
	g.calls.noteLate("keyed", grant, callOutcome{result: ownership.Accepted, sentAt: sent + cfg.LeaseTTL})
	g.calls.noteLate("keyed", grant, callOutcome{result: ownership.NotSent})
	require.Empty(t, log.String())
	g.calls.noteLate("keyed", grant, callOutcome{result: ownership.Unknown, sentAt: sent + cfg.LeaseTTL + time.Second})
	require.Contains(t, log.String(), `"event":"grant_late","service":"keyed","upstream":"k1","first":1,"last":2,"fence":3,"result":"unknown","late_ms":1000`)
}

// TestReleasedLeaseCountsGrantsOnTheirWay guards against a successor that moves keys at once while a
// grant of the granter that has released its lease is still to leave: the sender waits for a
// processor.
func TestReleasedLeaseCountsGrantsOnTheirWay(t *testing.T) {
	for name, waiting := range map[string]int64{"a grant waits": 1, "none": 0} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			a := d.startVM("vm-a")
			d.eventually(func() bool { return a.links.currentGranter() != nil }, "the VM grants")
			a.links.currentGranter().calls.sending.Add(waiting)
			a.Stop()
			b := newControl(fleet.NewStore(d.storeAddr, newStoreClient()), NewMetrics(), zerolog.Nop())
			state, err := b.readSystem(t.Context())
			require.NoError(t, err)
			require.True(t, state.lease.Released)
			require.Equal(t, waiting*election.DefaultConfig().MaxSendDelay.Milliseconds(), state.lease.PredecessorsMs)
		})
	}
}

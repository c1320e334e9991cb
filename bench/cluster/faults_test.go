package cluster

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/bench/history"
	"dandelionhill.dev/bench/load"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/fakes/table"
	"dandelionhill.dev/fakes/upstream"
)

// faultRun is a deployment under load with injected faults.
type faultRun struct {
	*Cluster
	t    *testing.T
	ctx  context.Context
	log  history.RunLog
	load load.Options
	// modest makes the load modest.
	modest atomic.Bool
}

const faultSeed = 11

// startFaultRun starts four VMs in this process and eight upstreams for each service.
func startFaultRun(t *testing.T, change func(*Options)) *faultRun {
	t.Helper()
	f := &faultRun{t: t}
	o := Options{
		Document: exampleDocument(t, "elozokozosseg"), VMs: 4, UpstreamsPerService: 8,
		ServiceTime: 2 * time.Millisecond, Recorder: &f.log, Seed: faultSeed,
	}
	if change != nil {
		change(&o)
	}
	f.Cluster, f.ctx = start(t, o)
	f.load = load.Options{
		Entries: f.Entries, Keys: 100, Zipf: 1.1, Rate: 200, Workers: 100,
		Timeout: 2 * time.Second, MaxRetries: 2, Seed: faultSeed, Modest: f.modest.Load,
	}
	for _, s := range f.Document.Services {
		f.load.Targets = append(f.load.Targets, load.Target{Service: s.Name, Keyed: s.Keyed, IdempotentShare: 0.5})
	}
	return f
}

// underLoad runs steps under load and keeps the load running for a while afterwards.
func (f *faultRun) underLoad(steps func()) *load.Report {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	var report *load.Report
	var group sync.WaitGroup
	group.Go(func() { report = load.Run(ctx, f.load) })
	pause(300 * time.Millisecond)
	steps()
	pause(700 * time.Millisecond)
	cancel()
	group.Wait()
	return report
}

// waitServing waits under a modest load until every VM serves. The load has a rate in real time: on a
// busy machine it exceeds what the process serves, and the probes are refused or late for ever.
func (f *faultRun) waitServing() {
	f.t.Helper()
	f.modest.Store(true)
	defer f.modest.Store(false)
	require.NoError(f.t, f.WaitServing(f.ctx))
}

// pause lets the load run; no assertion depends on its length.
func pause(d time.Duration) { time.Sleep(d) }

// check asserts the invariants that hold under all faults, and that every VM serves again.
func (f *faultRun) check(reports ...*load.Report) {
	f.t.Helper()
	require.NoError(f.t, f.WaitServing(f.ctx), "every VM must serve again")
	require.Eventually(f.t, func() bool { return f.log.InProgress() == 0 }, testTimeout, 5*time.Millisecond, "runs must end")
	runs := f.log.Runs()
	require.NotEmpty(f.t, runs)
	require.Empty(f.t, history.Duplicates(runs), "duplicate runs of one request ID")
	require.Empty(f.t, history.Overlaps(runs), "overlapping owners of a key")
	require.Equal(f.t, porcupine.Ok, history.CheckOwnership(runs), "owners of a key")
	for _, r := range reports {
		require.NotEmpty(f.t, r.Results)
		require.Empty(f.t, history.FalseNotRun(r.Results, runs), "requests refused as not run that ran")
		require.Empty(f.t, history.MismatchedResponses(r.Results), "responses to other requests")
	}
}

// upstreamOf returns an upstream of a service.
func (f *faultRun) upstreamOf(service, i int) *upstream.Server {
	return f.Upstreams[f.Document.Services[service].Upstreams[i].ID]
}

// holderOf returns the VM that holds a shard.
func (f *faultRun) holderOf(shard api.ShardID) *VM {
	f.t.Helper()
	for _, vm := range f.VMs {
		if vm.Running() && vm.Daemon().Control().Snapshot().LocalShards[shard] != nil {
			return vm
		}
	}
	require.FailNow(f.t, "no VM holds the shard", shard.String())
	return nil
}

func (f *faultRun) change(vm *VM, id string, base uint64, kind config.ChangeKind, name string) (admin.ChangeResult, error) {
	return vm.Change(f.ctx, config.Change{OperationID: id, BaseRevision: base, Kind: kind, Name: name})
}

// TestUpstreamKilled guards against keys without an owner and against second runs when an
// upstream is killed and restarted.
func TestUpstreamKilled(t *testing.T) {
	f := startFaultRun(t, nil)
	report := f.underLoad(func() {
		f.upstreamOf(0, 0).Crash()
		pause(time.Second)
		require.NoError(t, f.upstreamOf(0, 0).Restart())
	})
	f.check(report)
}

// TestUpstreamFrozenAndResumed guards against two owners of a key when a frozen upstream
// resumes, for both kinds of upstream checks under which a key is reassigned when its lease
// expires.
func TestUpstreamFrozenAndResumed(t *testing.T) {
	for _, checks := range []config.Checks{config.ChecksFence, config.ChecksDeadline} {
		t.Run(string(checks), func(t *testing.T) {
			f := startFaultRun(t, func(o *Options) {
				for i := range o.Document.Services {
					o.Document.Services[i].UpstreamChecks = checks
				}
			})
			report := f.underLoad(func() {
				f.upstreamOf(0, 0).SetFaults(upstream.Faults{Frozen: true})
				pause(2 * time.Second)
				f.upstreamOf(0, 0).SetFaults(upstream.Faults{})
			})
			f.check(report)
		})
	}
}

// TestHolderAndUpstreamLostWithoutStore guards against a takeover that needs the store: the
// holder of a shard and one of its upstreams fail at the same time while the store is down.
func TestHolderAndUpstreamLostWithoutStore(t *testing.T) {
	f := startFaultRun(t, nil)
	victim := f.holderOf(api.ShardID{Service: f.Document.Services[0].Name})
	report := f.underLoad(func() {
		f.Table.SetFaults(table.Faults{Down: true})
		victim.Kill()
		f.upstreamOf(0, 0).Crash()
		require.NoError(t, f.WaitServing(f.ctx), "VMs must serve without the store")
	})
	f.check(report)
	f.Table.SetFaults(table.Faults{})
	require.NoError(t, victim.Start())
	f.check()
}

// TestAllVMsRestartedWithoutStore guards against VMs that serve without the state that a
// restart of all of them has lost: no request runs until the store is back, and then all VMs
// serve again.
func TestAllVMsRestartedWithoutStore(t *testing.T) {
	f := startFaultRun(t, nil)
	before := f.underLoad(func() {})
	f.Table.SetFaults(table.Faults{Down: true})
	for _, vm := range f.VMs {
		vm.Kill()
	}
	for _, vm := range f.VMs {
		require.NoError(t, vm.Start())
	}
	entries := f.load.Entries
	f.load.Entries = func() (all []string) { // no VM is in rotation, but callers may know the addresses
		for _, vm := range f.VMs {
			all = append(all, "http://"+vm.Settings.Listen.Callers)
		}
		return all
	}
	during := f.underLoad(func() {})
	f.load.Entries = entries
	for _, r := range during.Results {
		require.Equal(t, api.NotRun, r.Outcome, "%+v", r)
		require.True(t, r.NotRun)
	}
	f.Table.SetFaults(table.Faults{})
	f.check(before, during)
}

// TestPlannedStopCutsOffNoRequest guards against a planned stop that cuts off a request or
// loses the deduplication table of request IDs.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	f := startFaultRun(t, nil)
	f.load.MaxRetries = 0
	f.load.Timeout = 20 * time.Second // only a lost request reaches it
	victim := f.holderOf(api.ShardID{Service: f.Document.Services[0].Name})
	report := f.underLoad(func() { require.NoError(t, victim.Stop(f.ctx)) })
	for _, r := range report.Results {
		require.NotEqual(t, api.Unknown, r.Outcome, "%+v", r)
	}
	f.check(report)
}

// TestTruncatedAndCrossedResponses guards against responses that are forwarded although they
// are truncated or belong to another request.
func TestTruncatedAndCrossedResponses(t *testing.T) {
	f := startFaultRun(t, nil)
	report := f.underLoad(func() {
		f.upstreamOf(0, 0).SetFaults(upstream.Faults{Truncate: true})
		f.upstreamOf(0, 1).SetFaults(upstream.Faults{WrongNonce: true})
		f.upstreamOf(1, 0).SetFaults(upstream.Faults{Truncate: true})
		f.upstreamOf(1, 1).SetFaults(upstream.Faults{WrongNonce: true})
		pause(time.Second)
		for i := range 2 {
			f.upstreamOf(0, i).SetFaults(upstream.Faults{})
			f.upstreamOf(1, i).SetFaults(upstream.Faults{})
		}
	})
	f.check(report)
}

// TestRequestThatCrashesUpstreams guards against one request that crashes several upstreams
// when its caller sends it again, also under new request IDs.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	f := startFaultRun(t, nil)
	for _, s := range f.Document.Services {
		crashes := func() (n uint64) {
			for _, u := range s.Upstreams {
				n += f.Upstreams[u.ID].Stats().Crashes
			}
			return n
		}
		for i := range 6 {
			resp, _ := post(f.ctx, t, f.VMs[i%len(f.VMs)].URL(s.Name, "/"+upstream.CrashMarker), "poison", uuid.Must(uuid.NewV7()).String(), "same")
			require.NotEqual(t, http.StatusOK, resp.StatusCode)
		}
		require.LessOrEqual(t, crashes(), uint64(2), "section 7.4 bounds the upstreams that one request crashes")
		require.NotZero(t, crashes())
		for _, u := range s.Upstreams {
			if server := f.Upstreams[u.ID]; server.Stats().Crashes > 0 {
				require.NoError(t, server.Restart())
			}
		}
	}
	f.check()
}

// TestStaleReads guards against stale reads of the store: restarted VMs must restore neither
// an old configuration nor an old record.
func TestStaleReads(t *testing.T) {
	f := startFaultRun(t, nil)
	result, err := f.change(f.VMs[0], "lag-1", 1, config.SetPreset, "peak")
	require.NoError(t, err)
	f.Table.SetFaults(table.Faults{StaleReads: true})
	report := f.underLoad(func() {
		for _, vm := range f.VMs[:2] {
			vm.Kill()
			require.NoError(t, vm.Start())
			f.waitServing()
		}
	})
	f.check(report)
	for _, vm := range f.VMs {
		doc, err := vm.Config(f.ctx)
		require.NoError(t, err)
		require.GreaterOrEqual(t, doc.Revision, result.Revision)
		require.Equal(t, "peak", doc.ActivePreset)
	}
}

// TestOperatorRacesWithLostResponses guards against changes that are applied twice or lost
// when the response to the write is lost, and against an operator's change that is overwritten
// by another one.
func TestOperatorRacesWithLostResponses(t *testing.T) {
	f := startFaultRun(t, nil)
	doc, err := f.VMs[0].Config(f.ctx)
	require.NoError(t, err)
	domain := string(doc.FailureDomains[1].Name)
	f.Table.SetFaults(table.Faults{DropResponses: 2})
	type outcome struct {
		result admin.ChangeResult
		err    error
	}
	race := func(changes ...config.Change) []outcome {
		out := make([]outcome, len(changes))
		var group sync.WaitGroup
		for i, c := range changes {
			group.Go(func() { out[i].result, out[i].err = f.VMs[i].Change(f.ctx, c) })
		}
		group.Wait()
		return out
	}
	report := f.underLoad(func() {
		for _, o := range race(
			config.Change{OperationID: "race-preset", BaseRevision: doc.Revision, Kind: config.SetPreset, Name: "peak"},
			config.Change{OperationID: "race-domain", BaseRevision: doc.Revision, Kind: config.DomainOut, Name: domain},
		) {
			require.NoError(t, o.err, "changes of different entities both take effect")
		}
		same := race(
			config.Change{OperationID: "race-a", BaseRevision: doc.Revision + 2, Kind: config.SetPreset, Name: "ordinary"},
			config.Change{OperationID: "race-b", BaseRevision: doc.Revision + 2, Kind: config.SetPreset, Name: "maintenance"},
		)
		failures := 0
		for _, o := range same {
			if o.err != nil {
				failures++
				var refused *admin.Error
				require.ErrorAs(t, o.err, &refused)
				require.Equal(t, admin.Conflict, refused.Kind)
			}
		}
		require.Equal(t, 1, failures, "exactly one of two changes of one entity takes effect")
		_, err := f.change(f.VMs[2], "race-back", doc.Revision+3, config.DomainIn, domain)
		require.NoError(t, err)
	})
	f.check(report)
	row, err := f.Table.Get(f.ctx, "config/head")
	require.NoError(t, err)
	final, err := config.Decode(row.Value)
	require.NoError(t, err)
	require.Equal(t, doc.Revision+4, final.Revision, "four changes took effect, each once")
}

// TestUnauthenticatedChangeAltersNothing guards against changes by callers without an
// operator's token.
func TestUnauthenticatedChangeAltersNothing(t *testing.T) {
	f := startFaultRun(t, nil)
	before, err := f.Table.Get(f.ctx, "config/head")
	require.NoError(t, err)
	for _, token := range []string{"", "Bearer ", "Bearer wrong", "Basic " + Token, Token} {
		req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.VMs[0].Settings.Listen.Admin+admin.PathChanges,
			jsonBody(t, config.Change{OperationID: "intruder", BaseRevision: 1, Kind: config.SetPreset, Name: "peak"}))
		require.NoError(t, err)
		req.Header.Set("Authorization", token)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusUnauthorized, resp.StatusCode, token)
	}
	after, err := f.Table.Get(f.ctx, "config/head")
	require.NoError(t, err)
	require.Equal(t, before, after)
}

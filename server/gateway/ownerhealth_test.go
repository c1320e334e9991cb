package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownerhealth"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/upstreamconn"
)

// startVMWithOwnerHealth starts a VM with Overload.OwnerHealth.
func (d *deployment) startVMWithOwnerHealth(name string) *Gateway {
	return d.startVMWith(name, d.storeAddr, func(g *Gateway) {
		g.control.overload.OwnerHealth = true
		g.handler.stats.health = ownerhealth.NewRecorder()
	})
}

// ownerServiceTime is how long a request runs on an upstream.
const ownerServiceTime = 30 * time.Millisecond

// TestKeysOfFailingOwnerMove guards against keys that stay with an owner that answers every request
// with 500, with failures that one VM sees and does not report, and with a granter that ignores them.
func TestKeysOfFailingOwnerMove(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"k1", "k2", "k3"} {
		d.addUpstream(id, "keyed")
		// Responses without a service time take microseconds, of which the scheduling of a busy machine
		// makes a multiple: a second upstream then counts as slow, and two of three unhealthy ones are
		// taken for a fault of all.
		d.upstreams[id].SetHandler(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(ownerServiceTime)
			w.Header().Set(fleet.HeaderSignature, "seal")
		})
	}
	a, b := d.startVMWithOwnerHealth("vm-a"), d.startVMWithOwnerHealth("vm-b")
	d.requireServed(a, keyedPath, 1)
	d.requireServed(b, keyedPath, 1)
	d.eventually(func() bool { return allOwned(a) && allOwned(b) }, "all keys have owners")
	owner := string(a.control.view().owners["keyed"].owner(1))
	d.upstreams[owner].SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(ownerServiceTime)
		w.Header().Set(fleet.HeaderSignature, "seal")
		w.WriteHeader(http.StatusInternalServerError)
	})
	// A request goes to a key of the failing owner, as long as it has one, and one to another owner.
	d.eventually(func() bool {
		for _, g := range []*Gateway{a, b} {
			sent := make(map[bool]bool)
			for key := 0; key < fleet.KeyCount && len(sent) < 2; key += ownership.KeysPerBucket {
				if failing := string(g.control.view().owners["keyed"].owner(key)) == owner; !sent[failing] {
					sent[failing] = true
					d.do(g, http.MethodPost, keyedPath, key, 2*time.Second)
				}
			}
		}
		return ownedBuckets(a)[owner] == 0 && ownedBuckets(b)[owner] == 0
	}, "the owner has lost its keys")
	d.requireServed(a, keyedPath, 1)
	var status []OwnerHealth
	for _, g := range []*Gateway{a, b} {
		status = append(status, g.status().UnhealthyOwners...)
	}
	require.Len(t, status, 1, "the granter lists it")
	require.Equal(t, owner, string(status[0].Upstream))
	require.Less(t, status[0].Capacity, 0.3*float64(status[0].Slots))
}

// TestOwnerSendEnds guards against an outcome of a send that counts against the owner of a key
// although the VM, the caller or a full queue is the cause, and against one that does not count.
func TestOwnerSendEnds(t *testing.T) {
	lost := &upstreamconn.Error{Sent: true, Err: errors.New("reset")}
	for name, c := range map[string]struct {
		end                             sendEnd
		responses, broken, full, served int
	}{
		"served":          {end: sendEnd{status: 200}, served: 1},
		"not found":       {end: sendEnd{status: 404}, served: 1},
		"failed":          {end: sendEnd{status: 500}, responses: 1},
		"connection lost": {end: sendEnd{err: lost}, broken: 1},
		"not connected":   {end: sendEnd{err: &upstreamconn.Error{Err: errors.New("refused")}}, broken: 1},
		"rejected":        {end: sendEnd{err: &upstreamconn.Error{Err: upstreamconn.ErrConnectionRejected}}, full: 1},
		"withdrawn":       {end: sendEnd{err: &upstreamconn.Error{Err: upstreamconn.ErrWithdrawn}}},
		"no buffers":      {end: sendEnd{err: buffers.ErrExhausted}},
		"head too large":  {end: sendEnd{err: &upstreamconn.Error{Sent: true, Err: upstreamconn.ErrHeadTooLarge}}},
		"shed":            {end: sendEnd{status: 503, headers: fleet.ResponseHeaders{NotRun: true, Load: fleet.Load{Running: 2, Waiting: 8, Slots: 2}}}, full: 1},
		"misdirected":     {end: sendEnd{status: 421, headers: fleet.ResponseHeaders{NotRun: true, Misdirected: true}}},
	} {
		h := &requestHandler{handlerConfig: handlerConfig{stats: newTrafficStats()}}
		h.stats.health = ownerhealth.NewRecorder()
		u := newUpstream(&registration{Upstream: routing.Upstream{ID: "k1", Slots: 2}}, upstreamconn.Limits{}, upstreamconn.Network{}, func() {})
		q := &request{route: &routing.Route{Name: "r"}, fingerprint: 7}
		end := h.beginOwnerSend(q, u)
		end.took, end.status, end.headers, end.err = time.Millisecond, c.end.status, c.end.headers, c.end.err
		h.endOwnerSend(t.Context(), q, u, end)
		r := h.stats.takeReport()
		var responses, broken, full, served int
		for _, f := range r.OwnerFailures {
			responses, broken = responses+f.Responses, broken+f.Broken
		}
		for _, s := range r.OwnerSamples {
			full, served = full+s.Full, served+s.Succeeded
		}
		require.Equal(t, []int{c.responses, c.broken, c.full, c.served}, []int{responses, broken, full, served}, name)
		require.Empty(t, h.stats.health.Take(time.Hour<<10).Pending, "%s: the request has ended", name)
	}
}

// TestReportWithoutOwnerHealth guards against fields that a VM without the switch sends, and against
// an earlier report that cannot be read.
func TestReportWithoutOwnerHealth(t *testing.T) {
	data, err := cbor.Marshal(newTrafficStats().takeReport())
	require.NoError(t, err)
	var fields map[int]any
	require.NoError(t, cbor.Unmarshal(data, &fields))
	for _, number := range []int{40, 41, 42} {
		require.NotContains(t, fields, number)
	}
	var r report
	require.NoError(t, cbor.Unmarshal(data, &r))
	g := &granter{health: ownerhealth.NewMonitor(), elector: &elector{log: zerolog.Nop()}}
	g.observeHealth("vm-b", r, time.Hour)
	require.Equal(t, ownerhealth.Verdict{Capacity: 1}, g.health.Verdict(ownership.Owner{UpstreamID: "k1"}))
}

// TestOwnerCapacity guards against a cold owner that gets more keys than its rate bears, against an
// owner whose keys are taken while no other can get them, and against a change without the switch.
func TestOwnerCapacity(t *testing.T) {
	u := newUpstream(&registration{Upstream: routing.Upstream{ID: "k1", Service: "keyed", Slots: 6}}, upstreamconn.Limits{}, upstreamconn.Network{}, func() {})
	v := &view{config: &routing.Configuration{Services: map[api.ServiceName]*routing.Service{"keyed": {Name: "keyed", Keyed: true, ColdRate: 5}}}}
	now := time.Hour
	g := &granter{elector: &elector{stats: newTrafficStats()}, health: ownerhealth.NewMonitor(), speeds: ownerhealth.Speeds{"k1": 0.5}}
	capacity, healthy := g.ownerCapacity(v, u, now)
	require.Equal(t, 6.0, capacity)
	require.True(t, healthy)
	u.coldAtLeastUntil(now + time.Minute)
	capacity, _ = g.ownerCapacity(v, u, now)
	require.InDelta(t, 5*initialLatency, capacity, 1e-9)

	// All requests of the upstream fail, those of another one do not.
	other := ownership.Owner{UpstreamID: "k2"}
	for range 20 {
		now += 100 * time.Millisecond
		for _, vm := range []api.VMID{"vm-a", "vm-b"} {
			g.observeHealth(vm, report{
				OwnerSamples:  []ownerhealth.Sample{{Owner: other, Succeeded: 1, Expected: 1, Observed: 1}},
				OwnerFailures: []ownerhealth.Failure{{Owner: u.owner(), Responses: 1}},
			}, now)
		}
		g.health.Step(now, "keyed", []ownerhealth.Candidate{{Owner: u.owner(), Slots: 6, Usable: true}, {Owner: other, Slots: 6, Usable: true}})
	}
	_, healthy = g.ownerCapacity(v, u, now)
	require.False(t, healthy)
	g.storeUnreachable.Store(true)
	_, healthy = g.ownerCapacity(v, u, now)
	require.True(t, healthy)

	g.health = nil
	capacity, healthy = g.ownerCapacity(v, u, now)
	require.Equal(t, 3.0, capacity)
	require.True(t, healthy)
}

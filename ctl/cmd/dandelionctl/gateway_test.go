package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/server/gateway"
)

// TestGateway guards against a report that omits the granter, the owner of a key, an owner with a
// reduced capacity, or a VM that does not respond.
func TestGateway(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := closed.Addr().String()
	require.NoError(t, closed.Close())
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == gateway.WorkspacesPath {
			w.WriteHeader(http.StatusNotFound) // a VM of an earlier version
			return
		}
		require.Equal(t, gateway.StatusPath, r.URL.Path)
		require.NoError(t, json.NewEncoder(w).Encode(gateway.Status{
			VM: "vm-a", Version: "3812532aaaaa", FailureDomain: "gyor-a", Ready: true, ConfigurationVersion: 7, ConfigurationSince: time.Unix(0, 0), Granter: "vm-a", Term: 3,
			TableAgesMs: map[string]int64{"op": 1200, "servers": 80}, DomainsOut: []api.FailureDomain{"papa-b"}, Refused: map[string]int{"no_owner": 2}, Peers: []string{unreachable},
			UnhealthyOwners: []gateway.OwnerHealth{{Service: "foglalas", Upstream: "u1", Failing: true}, {Service: "foglalas", Upstream: "u2", Capacity: 0.5, Slots: 2}},
		}))
	}))
	defer vm.Close()
	store := fakes.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	put := func(key string, value any) {
		data, err := cbor.Marshal(value)
		require.NoError(t, err)
		store.Put("dandelionhill", key, data)
	}
	put("granter", map[int]any{1: "vm-a", 3: vm.Listener.Addr().String(), 4: 3})
	put("holding/00/foglalas", []ownership.Entry{{Span: ownership.Span{First: 0, Last: 99}, Owner: ownership.Owner{UpstreamID: "u1"}, Fence: 42}})

	runTool := func(args ...string) (string, int) {
		var out, errOut bytes.Buffer
		code := run(context.Background(), args, &out, &errOut)
		return out.String() + errOut.String(), code
	}
	at := server.Listener.Addr().String()
	text, code := runTool("gateway", "--store", at, "--owner", "foglalas/7")
	require.Zero(t, code, text)
	for _, want := range []string{"lease: vm-a, term 3", "foglalas/7: u1, fencing token 42", "papa-b", "no_owner=2", "1200 ms", "3812532aaaaa", "owner u1 of foglalas: fails, keeps no keys", "owner u2 of foglalas: capacity for keys 0.5 of 2 slots", unreachable + "  no answer"} {
		require.Contains(t, text, want)
	}
	text, code = runTool("--json", "gateway", "--store", at, "--owner", "foglalas/100")
	require.Zero(t, code, text)
	var report gatewayReport
	require.NoError(t, json.Unmarshal([]byte(text), &report))
	require.Nil(t, report.Owner)
	require.Equal(t, int64(7), report.VMs[0].ConfigurationVersion)
	require.Contains(t, report.Unreachable, unreachable)
	require.Nil(t, report.Workspaces)
	_, code = runTool("gateway")
	require.Equal(t, int(exitUsage), code)
	_, code = runTool("gateway", "--store", at, "--owner", "foglalas")
	require.Equal(t, int(exitUsage), code)
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/gateway"
)

// explainingVM is a VM with a status that explains each request in the same way; nil stands for one of
// an earlier version.
func explainingVM(t *testing.T, x *gateway.Explanation, peers ...string) (address string, asked *[]gateway.ExplainRequest) {
	asked = new([]gateway.ExplainRequest)
	vm := api.VMID("vm-old")
	if x != nil {
		vm = x.VM
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == gateway.StatusPath:
			require.NoError(t, json.NewEncoder(w).Encode(gateway.Status{VM: vm, Version: "2facd53", Peers: peers}))
		case r.URL.Path == gateway.ExplainPath && x != nil:
			var described gateway.ExplainRequest
			require.NoError(t, json.NewDecoder(r.Body).Decode(&described))
			*asked = append(*asked, described)
			require.NoError(t, json.NewEncoder(w).Encode(x))
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), asked
}

func explanation(vm api.VMID, configuration int64, owner api.UpstreamID) *gateway.Explanation {
	return &gateway.Explanation{
		VM: vm, FailureDomain: "gyor-a", ConfigurationVersion: configuration, Route: &gateway.RouteExplanation{Name: "r", Host: "shop.example", Prefix: "/"},
		Services: []gateway.ServiceExplanation{{
			Service: "foglalas", Share: 1, Next: true, Keyed: true, Owner: &gateway.OwnerExplanation{Key: 7, Upstream: owner, Term: 3, Last: 99}, Selected: owner,
			Candidates: []gateway.CandidateExplanation{{Upstream: owner, FailureDomain: "gyor-a", Selected: true, CostMs: 12.5}, {Upstream: "u9", Reason: "cold", WaitMs: 40}},
		}},
	}
}

func runExplain(args ...string) (string, int) {
	var out, errOut bytes.Buffer
	code := run(context.Background(), append([]string{"explain-request"}, args...), &out, &errOut)
	return out.String() + errOut.String(), code
}

// TestExplainRequest guards against output without the owner, its fence or the reason of an upstream,
// against VMs that differ unnoticed, and against an API key in the output.
func TestExplainRequest(t *testing.T) {
	unable, _ := explainingVM(t, nil)
	b, _ := explainingVM(t, explanation("vm-b", 6, "u2"), unable)
	a, asked := explainingVM(t, explanation("vm-a", 7, "u1"), b)
	store := fakes.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	put := func(key string, value any) {
		data, err := cbor.Marshal(value)
		require.NoError(t, err)
		store.Put("dandelionhill", key, data)
	}
	put("granter", map[int]any{1: "vm-a", 3: a, 4: 3})
	put("holding/00/foglalas", []ownership.Entry{{Span: ownership.Span{First: 0, Last: 99}, Owner: ownership.Owner{UpstreamID: "u1"}, Fence: 42}})
	keyFile := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(keyFile, []byte("secret-key\n"), 0o600))

	text, code := runExplain("--store", server.Listener.Addr().String(), "--all", "--key", "7", "--api-key-file", keyFile, "--header", "X-A: 1", "shop.example", "/")
	require.Zero(t, code, text)
	for _, want := range []string{
		"vm-a in gyor-a, configuration 7", "key 7: owner u1, keys 0 to 99, term 3", "store: u1, fencing token 42", "goes to u1", "passed over: cold (40 ms)",
		"differs: configuration: 6 (vm-b); 7 (vm-a)", "differs: service foglalas owner: u1, term 3 (vm-a); u2, term 3 (vm-b)", unable + ": no answer: vm-old runs an earlier version (2facd53)",
	} {
		require.Contains(t, text, want)
	}
	require.NotContains(t, text, "secret-key")
	require.Equal(t, map[string][]string{fleet.HeaderKey: {"7"}, "X-A": {"1"}, fleet.HeaderAuthorization: {fleet.AuthorizationScheme + " secret-key"}}, (*asked)[0].Header)

	var out, errOut bytes.Buffer
	require.Zero(t, run(context.Background(), []string{"--json", "explain-request", "--vm", a, "shop.example", "/"}, &out, &errOut))
	var report explainReport
	require.NoError(t, json.Unmarshal(out.Bytes(), &report))
	require.Equal(t, explanation("vm-a", 7, "u1"), report.Explanations[0])
	require.Empty(t, report.Differences)
}

// TestExplainRequestErrors guards against an error that names no remedy.
func TestExplainRequestErrors(t *testing.T) {
	noRoute, _ := explainingVM(t, &gateway.Explanation{VM: "vm-a", Refusal: &gateway.Refusal{Reason: "no_route", Status: 404, Remedy: "use the host of a route"}})
	earlier, _ := explainingVM(t, nil)
	for _, test := range []struct {
		want string
		code int
		args []string
	}{
		{"name a VM with --vm", int(exitUsage), []string{"h", "/"}},
		{"give --header", int(exitUsage), []string{"--vm", noRoute, "--header", "X", "h", "/"}},
		{"cannot read --api-key-file", int(exitUsage), []string{"--vm", noRoute, "--api-key-file", "/does/not/exist", "h", "/"}},
		{"use the host of a route", int(exitFailure), []string{"--vm", noRoute, "h", "/"}},
		{"upgrade it or ask another VM", int(exitFailure), []string{"--vm", earlier, "h", "/"}},
		{"give IP:port", int(exitFailure), []string{"--vm", "no address", "h", "/"}},
	} {
		text, code := runExplain(test.args...)
		require.Contains(t, text, test.want)
		require.Equal(t, test.code, code, text)
	}
}

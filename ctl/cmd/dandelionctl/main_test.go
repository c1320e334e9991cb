package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/core/config"
)

const presetFile = `{
  "name": "quiet", "queue_length": 5, "slot_factor": 1, "retry_budget": 0, "hedge_budget": 0, "domain_reserve": 0, "ramp_step": 1,
  "cold_start": 1, "moves_per_second": 0, "rebalance_above": 2, "rebalance_after": "1m", "default_timeout": "1s", "lame_duck": "2s",
}`

const serviceFile = `{
  "name": "prices", "keyed": false, "ranges": 1, "shards": 1, "upstream_checks": "none", "slots": 1, "connections": 5, "max_body": 10,
  "upstreams": [{"id": "prices-1", "address": "127.0.0.1:9", "failure_domain": "howrah"}],
}`

func TestEveryChangeCommand(t *testing.T) {
	f := newFixture(t, 1)
	for i, c := range []struct{ command, difference string }{
		{"domain put salt-lake", "failure domain salt-lake added"},
		{"domain out howrah", "failure domain howrah changed"},
		{"domain in howrah", "failure domain howrah changed"},
		{"preset put " + f.file(presetFile), "preset quiet added"},
		{"preset use quiet", "active preset changed"},
		{"service put " + f.file(serviceFile), "service prices added"},
		{"service remove prices", "service prices removed"},
		{"vm out ben-vm-02", "VM ben-vm-02 added"},
		{"vm in ben-vm-02", "VM ben-vm-02 removed"},
		{"upstream drain dispatchdesk-01", "upstream dispatchdesk-01 changed"},
		{"upstream undrain dispatchdesk-01", "upstream dispatchdesk-01 changed"},
		{"upstream confirm-lost dispatchdesk-02", "upstream dispatchdesk-02 changed"},
		{"upstream remove dispatchdesk-02", "upstream dispatchdesk-02 removed"},
		{"upstream add dispatchdesk dispatchdesk-09 127.0.0.1:9 sealdah", "upstream dispatchdesk-09 added"},
	} {
		before := f.store.doc
		args := append(strings.Fields(c.command), "--operation-id", "op-"+string(rune('a'+i)))
		code, out, errOut := f.run(append(args, "--dry-run")...)
		require.Zero(t, code, "%s: %s", c.command, errOut)
		require.Contains(t, out, "dry run: nothing was written\n  ")
		require.Contains(t, out, c.difference)
		require.Same(t, before, f.store.doc, "the dry run of %s wrote", c.command)
		code, out, errOut = f.run(args...)
		require.Zero(t, code, "%s: %s", c.command, errOut)
		require.Contains(t, out, c.difference)
		require.Equal(t, before.Revision+1, f.store.doc.Revision)
		code, _, errOut = f.run(args...)
		require.Zero(t, code, "repeat of %s: %s", c.command, errOut)
		require.Equal(t, before.Revision+1, f.store.doc.Revision, "a repeat of %s had a second effect", c.command)
	}
}

func TestInit(t *testing.T) {
	f := newFixture(t, 1)
	f.store.doc = nil
	code, out, errOut := f.run("init", example)
	require.Zero(t, code, errOut)
	require.Contains(t, out, "operation new-id\noperation new-id: accepted at revision 1\n")
	code, _, errOut = f.run("init", example, "--operation-id", "second")
	require.Equal(t, int(exitConflict), code)
	require.Contains(t, errOut, "configuration was changed by")
}

// TestLostResponses checks that a change whose response was lost takes effect
// exactly once, and is sent again only after a query found its ID unknown.
func TestLostResponses(t *testing.T) {
	for name, c := range map[string]struct {
		fault       func(f *fixture)
		code, posts int
		effect      bool
	}{
		"lost after it took effect":  {func(f *fixture) { f.servers[0].dropAfter = 1 }, 0, 1, true},
		"lost before it took effect": {func(f *fixture) { f.servers[0].dropBefore = 1 }, 0, 2, true},
		"lost after it took effect, and the VMs lag": {func(f *fixture) {
			f.servers[0].dropAfter, f.store.staleReads = 1, 3
		}, 0, 1, true},
		"lost after it took effect, and the VMs lag for long": {func(f *fixture) {
			f.servers[0].dropAfter, f.store.staleReads = 1, 6
		}, 0, 2, true},
		"always lost": {func(f *fixture) {
			f.servers[0].dropBefore, f.servers[1].dropBefore = 9, 9
		}, int(exitUnreachable), 3, false},
		"a VM that stops": {func(f *fixture) { f.servers[0].fail = &admin.Error{Kind: admin.Stopping, Message: "m", Remedy: "r"} }, 0, 1, true},
		"the store is down": {func(f *fixture) {
			e := &admin.Error{Kind: admin.StoreUnavailable, Message: "the store did not answer", Remedy: "try later"}
			f.servers[0].fail, f.servers[1].fail = e, e
		}, int(exitUnreachable), 0, false},
	} {
		f := newFixture(t, 2)
		c.fault(f)
		code, _, errOut := f.run("vm", "out", "ben-vm-02", "--base-revision", "1")
		require.Equal(t, c.code, code, "%s: %s", name, errOut)
		require.Equal(t, c.posts, f.store.posts, "%s: %s", name, errOut)
		require.Equal(t, c.effect, f.store.doc.VMOut("ben-vm-02"), name)
		if c.effect {
			require.Equal(t, uint64(2), f.store.doc.Revision, "%s: more than one effect", name)
		}
		if name == "always lost" {
			require.Contains(t, errOut, "may still take effect: repeat with --operation-id new-id")
		}
		require.LessOrEqual(t, f.store.posts, 1+f.store.queries, "%s: sent again without a query", name)
	}
}

func TestUnreachableAddresses(t *testing.T) {
	f := newFixture(t, 1)
	closed := httptest.NewServer(nil)
	closed.Close()
	unreachable := []string{"--admin", strings.TrimPrefix(closed.URL, "http://")}
	good := f.args
	f.args = append(append([]string(nil), unreachable...), good...)
	code, _, errOut := f.run("domain", "out", "howrah")
	require.Zero(t, code, errOut)
	require.Equal(t, 1, f.store.posts)
	code, out, errOut := f.run("status")
	require.Zero(t, code, errOut)
	require.Contains(t, out, "revision 2, preset ordinary")

	f.args = append(unreachable, "--token-file", f.file("secret"))
	for _, command := range []string{"status", "config", "watch", "explain trayhouse k", "domain out howrah", "init " + example} {
		code, _, errOut := f.run(strings.Fields(command)...)
		require.Equal(t, int(exitUnreachable), code, "%s: %s", command, errOut)
		require.Contains(t, errOut, "no admin address answered")
	}
}

func TestConflictNamesTheOtherOperator(t *testing.T) {
	f := newFixture(t, 1)
	var err error
	f.store.doc, err = config.Apply(f.store.doc, config.Change{OperationID: "x", BaseRevision: 1, By: "bela", Kind: config.DomainOut, Name: "howrah"})
	require.NoError(t, err)
	code, _, errOut := f.run("domain", "in", "howrah", "--base-revision", "1")
	require.Equal(t, int(exitConflict), code)
	require.Contains(t, errOut, "failure domain howrah was changed by bela at revision 2")
	require.Contains(t, errOut, "remedy: read revision 2")
	code, _, errOut = f.run("--json", "domain", "in", "howrah", "--base-revision", "1")
	require.Equal(t, int(exitConflict), code)
	var e admin.Error
	require.NoError(t, json.Unmarshal([]byte(errOut), &e))
	require.Equal(t, admin.Conflict, e.Kind)
	code, _, errOut = f.run("upstream", "remove", "trayhouse-01")
	require.Equal(t, int(exitFailure), code)
	require.Contains(t, errOut, "may own keys")
}

func TestWrongCredential(t *testing.T) {
	f := newFixture(t, 2)
	f.args = append(f.args, "--token-file", f.file("wrong"))
	for _, command := range []string{"status", "domain out howrah", "domain out howrah --base-revision 1", "watch"} {
		code, _, errOut := f.run(strings.Fields(command)...)
		require.Equal(t, int(exitUnauthorized), code, "%s: %s", command, errOut)
	}
	require.Equal(t, uint64(1), f.store.doc.Revision)
	require.Zero(t, f.store.queries, "a refused change is not in doubt")
}

// TestWait covers the states pending, accepted and in force.
func TestWait(t *testing.T) {
	f := newFixture(t, 1)
	f.store.state = admin.StatePending
	code, out, errOut := f.run("vm", "out", "ben-vm-01")
	require.Equal(t, int(exitNotInForce), code)
	require.Contains(t, out, "pending at revision 2")
	require.Contains(t, errOut, "waiting for ben-vm-09; remedy: repeat with --operation-id new-id --wait")

	f.store.state = admin.StateAccepted
	code, _, errOut = f.run("vm", "out", "ben-vm-01", "--operation-id", "new-id")
	require.Zero(t, code, errOut)
	code, _, _ = f.run("vm", "out", "ben-vm-01", "--operation-id", "new-id", "--wait")
	require.Equal(t, int(exitNotInForce), code)

	queries := 0
	f.store.onQuery = func(s *store) {
		if queries++; queries == 3 {
			s.state = admin.StateInForce
		}
	}
	code, out, errOut = f.run("vm", "out", "ben-vm-01", "--operation-id", "new-id", "--wait")
	require.Zero(t, code, errOut)
	require.Contains(t, out, "operation new-id: in_force at revision 2")
	require.Equal(t, 3, queries)
	require.Equal(t, uint64(2), f.store.doc.Revision)
}

func TestQueries(t *testing.T) {
	f := newFixture(t, 1)
	for command, want := range map[string][]string{
		"status":                  {"ben-vm-02", "suspect", "trayhouse/1", "ben-vm-03", "2.7", "trayhouse-01", "cold", "42"},
		"config":                  {`"region": "bengal"`},
		"explain trayhouse a/b&c": {`key "a/b&c" of trayhouse`, "owner trayhouse-07", "the shard has a holder"},
		"watch --count 1":         {"revision 1, preset ordinary", "revision 2\n  failure domain howrah changed"},
		"--json status":           {`"queued": 42`},
		"--json explain s k":      {`"owner": "trayhouse-07"`},
		"--json watch --count 1":  {`"entity": "failure domain howrah"`},
		"version":                 {"dandelionctl "},
		"help":                    {"domain", "take it out"},
		"check " + example:        {"configuration is valid: 2 services, 3 presets"},
		"check --settings ../../../examples/hooghly/vm-01.json": {"settings are valid"},
	} {
		code, out, errOut := f.run(strings.Fields(command)...)
		require.Zero(t, code, "%s: %s", command, errOut)
		for _, text := range want {
			require.Contains(t, out, text, command)
		}
	}
}

func TestUsageErrors(t *testing.T) {
	f := newFixture(t, 1)
	for command, want := range map[string]string{
		"":                                     "Subcommands",
		"reset":                                "Subcommands",
		"domain":                               "domain out DOMAIN",
		"domain lose howrah":                   "domain out DOMAIN",
		"domain out":                           "domain out DOMAIN",
		"domain out a b":                       "domain out DOMAIN",
		"domain out a/b":                       "not a valid name",
		"domain out howrah --force":            "-force",
		"domain out howrah --operation-id a/b": "operation ID",
		"upstream add s u localhost:9 d":       "not an IP address",
		"--admin example:1 status":             "is not IP:port",
		"--admin 10.0.0.1:1 status":            "give --ca",
		"--ca no-such-file status":             "cannot read --ca",
		"--ca " + example + " status":          "holds no certificate",
		"--cert a status":                      "need --ca",
		"--token-file no-such-file status":     "cannot read --token-file",
		"--token-file " + example + " status":  "does not hold one token",
		"check no-such-file":                   "no such file",
	} {
		code, _, errOut := f.run(strings.Fields(command)...)
		require.Equal(t, int(exitUsage), code, "%q: %s", command, errOut)
		require.Contains(t, errOut, want, command)
	}
	require.Zero(t, f.store.posts)
	f.args = nil
	code, _, errOut := f.run("status")
	require.Equal(t, int(exitUsage), code)
	require.Contains(t, errOut, "give --token-file")
	code, _, errOut = f.run("--token-file", f.file("t"), "status")
	require.Equal(t, int(exitUsage), code)
	require.Contains(t, errOut, "give at least one --admin")
	code, _, errOut = f.run("check", f.file(presetFile))
	require.Equal(t, int(exitFailure), code)
	require.Contains(t, errOut, ":2: name: there is no field")
}

// TestTLS guards against sending the token to a server whose certificate the given
// CA has not signed.
func TestTLS(t *testing.T) {
	f := newFixture(t, 0)
	h := httptest.NewUnstartedServer(&server{store: f.store})
	h.Config.ErrorLog = log.New(io.Discard, "", 0) // one handshake is meant to fail
	h.StartTLS()
	defer h.Close()
	ca := f.file(string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: h.Certificate().Raw})))
	f.args = append(f.args, "--admin", strings.TrimPrefix(h.URL, "https://"))
	code, _, errOut := f.run("--ca", ca, "status")
	require.Zero(t, code, errOut)
	code, _, errOut = f.run("--ca", f.file(otherAuthority(t)), "status")
	require.Equal(t, int(exitUnreachable), code)
	require.Contains(t, errOut, "certificate signed by unknown authority")
}

// otherAuthority returns a certificate that has signed nothing.
func otherAuthority(t *testing.T) string {
	t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	require.NoError(t, err)
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
}

// TestRedirectsAreNotFollowed guards against sending the token to an address in a
// redirect, which the operator did not name.
func TestRedirectsAreNotFollowed(t *testing.T) {
	f := newFixture(t, 0)
	reached := 0
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached++ }))
	defer other.Close()
	h := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer h.Close()
	f.args = append(f.args, "--admin", strings.TrimPrefix(h.URL, "http://"))
	code, _, errOut := f.run("status")
	require.Equal(t, int(exitFailure), code)
	require.Contains(t, errOut, "answered status 307")
	require.Zero(t, reached)
}

// TestUnreadableResponses guards against reporting the response of another program
// as if nothing had responded.
func TestUnreadableResponses(t *testing.T) {
	f := newFixture(t, 0)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "<html>") }))
	defer h.Close()
	f.args = append(f.args, "--admin", strings.TrimPrefix(h.URL, "http://"))
	code, _, errOut := f.run("status")
	require.Equal(t, int(exitFailure), code)
	require.Contains(t, errOut, "the response is not the expected JSON")
	code, _, errOut = f.run("vm", "out", "a", "--base-revision", "1")
	require.Equal(t, int(exitFailure), code)
	require.Contains(t, errOut, "repeat with --operation-id new-id")
}

// TestOtherErrorBodies guards against exit codes that depend on the exact kind:
// a server of another version, or a proxy, may send other bodies.
func TestOtherErrorBodies(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		code   subcommands.ExitStatus
		text   string
	}{
		{401, `{"kind": "no_credential", "message": "who?", "remedy": "log in"}`, exitUnauthorized, "no_credential: who?; remedy: log in"},
		{403, "forbidden", exitUnauthorized, "answered status 403: forbidden"},
		{409, `{"kind": "changed", "message": "m", "remedy": "r"}`, exitConflict, "changed: m"},
		{422, `{"kind": "not_permitted", "message": "m", "remedy": "r"}`, exitFailure, "not_permitted: m; remedy: r"},
		{404, "404 page not found", exitFailure, "check that the address is an admin address"},
		{503, "overloaded", exitUnreachable, "answered status 503"},
		{500, "{}", exitFailure, "answered status 500"},
	} {
		f := newFixture(t, 0)
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		f.args = append(f.args, "--admin", strings.TrimPrefix(h.URL, "http://"))
		code, _, errOut := f.run("status")
		h.Close()
		require.Equal(t, int(c.code), code, "%d %s: %s", c.status, c.body, errOut)
		require.Contains(t, errOut, c.text)
	}
}

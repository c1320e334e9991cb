package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/config/strict"
)

func readExample(t testing.TB, deployment, file string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", deployment, file))
	require.NoError(t, err)
	return string(data)
}

// TestExamples parses the configuration and the settings of each of the 12
// VMs, made from the template as its comment says.
func TestExamples(t *testing.T) {
	for deployment, want := range map[string]struct{ domains, keyed, unkeyed int }{
		"elozokozosseg": {4, 25, 8},
		"hooghly":       {3, 30, 6},
	} {
		doc, err := config.Parse("configuration.json", []byte(readExample(t, deployment, "configuration.json")))
		require.NoError(t, err)
		require.Len(t, doc.FailureDomains, want.domains)
		require.Len(t, doc.Services[0].Upstreams, want.keyed)
		require.Len(t, doc.Services[1].Upstreams, want.unkeyed)
		require.Equal(t, "ordinary", doc.ActivePreset)
		first, err := config.Apply(nil, config.Change{OperationID: "op", Kind: config.Init, Document: doc})
		require.NoError(t, err)
		var names []string
		for _, p := range first.Presets {
			names = append(names, p.Name)
			require.LessOrEqual(t, p.HedgeBudget, 0.05, "bound of hedged_extra_calls")
		}
		require.Equal(t, []string{"ordinary", "peak", "maintenance"}, names)

		template := readExample(t, deployment, "vm-01.json")
		one, err := Parse("vm-01.json", []byte(template))
		require.NoError(t, err)
		require.Len(t, one.Peers, 12)
		require.Len(t, one.OtherVMs(), 11)
		for i, p := range one.Peers {
			_, known := doc.Domain(p.FailureDomain)
			require.True(t, known, "the configuration lacks %s", p.FailureDomain)
			callers := strings.Replace(p.Address, "1"+p.Address[len(p.Address)-2:], "0"+p.Address[len(p.Address)-2:], 1)
			text := strings.NewReplacer(
				fmt.Sprintf(`"vm": %q`, one.VM), fmt.Sprintf(`"vm": %q`, p.ID),
				fmt.Sprintf("\n  \"failure_domain\": %q", one.FailureDomain), fmt.Sprintf("\n  \"failure_domain\": %q", p.FailureDomain),
				fmt.Sprintf(`"callers": %q`, one.Listen.Callers), fmt.Sprintf(`"callers": %q`, callers),
				fmt.Sprintf(`"peers": %q`, one.Listen.Peers), fmt.Sprintf(`"peers": %q`, p.Address),
				fmt.Sprintf(`"admin": %q,`+"\n  }", one.Listen.Admin), fmt.Sprintf(`"admin": %q,`+"\n  }", p.Admin),
			).Replace(template)
			s, err := Parse(fmt.Sprintf("vm-%02d.json", i+1), []byte(text))
			require.NoError(t, err)
			require.Equal(t, p.ID, s.VM)
			require.Equal(t, p.Admin, s.Listen.Admin)
			require.Len(t, s.OtherVMs(), 11)
		}
	}
}

var replacements = []struct{ old, with, field, message string }{
	{`"vm": "ben-vm-01"`, `"vm": "Ben VM"`, "vm", "not a valid name"},
	{`"vm": "ben-vm-01",`, ``, "vm", "missing"},
	{"  \"failure_domain\": \"howrah\"", "  \"failure_domain\": \"sealdah\"", "peers[0].failure_domain", `this VM is in "sealdah"`},
	{`"callers": "127.0.0.1:24001"`, `"callers": "localhost:24001"`, "listen.callers", "not an IP address"},
	{`"callers": "127.0.0.1:24001"`, `"callers": "0.0.0.0:0"`, "listen.callers", "port 0"},
	{`"callers": "127.0.0.1:24001"`, `"callers": "127.0.0.1:24101"`, "listen.peers", "listen.callers has the same address"},
	{`"peers": "127.0.0.1:24101"`, `"peers": "0.0.0.0:24101"`, "listen.peers", "peer_tls names no files"},
	{`"admin": "127.0.0.1:24201",` + "\n", `"admin": "10.0.0.1:24201",` + "\n", "listen.admin", "admin_tls names no files"},
	{`"id": "ben-vm-02"`, `"id": "ben-vm-01"`, "peers[1].id", "used twice"},
	{`"id": "ben-vm-02"`, `"id": "b/2"`, "peers[1].id", "not a valid name"},
	{`"address": "127.0.0.1:24102"`, `"address": "127.0.0.1:24101"`, "peers[1].address", "used twice"},
	{`"admin": "127.0.0.1:24202"`, `"admin": "127.0.0.1"`, "peers[1].admin", "not an IP address with a port"},
	{`"table": "127.0.0.1:24301"`, `"table": "0.0.0.0:24301"`, "platform.table", "not the address of one machine"},
	{`"objects": "127.0.0.1:24302"`, `"objects": 24302`, "platform.objects", "a number, not a string"},
	{`"vms": "127.0.0.1:24303"`, `"vms": ""`, "platform.vms", "not an IP address"},
	{`"log_level": "info"`, `"log_level": "all"`, "log_level", `"all" is not a log level`},
	{`"log_level": "info"`, `"loglevel": "info"`, "loglevel", `there is no field "loglevel"`},
	{`"log_level": "info"`, `"peer_tls": {"certificate": "a.pem", "key": "/b", "client_ca": "/c"}`, "peer_tls.certificate", "not an absolute path"},
	{`"log_level": "info"`, `"admin_tls": {"certificate": "/a.pem", "key": "/a.pem", "client_ca": "/c"}`, "admin_tls.key", "the same file"},
	{`"log_level": "info"`, `"admin_tls": {"certificate": "/a.pem", "key": "/b.pem"}`, "admin_tls.client_ca", "missing"},
	{`"stop_timeout": "30s"`, `"stop_timeout": 30`, "stop_timeout", "a number has no unit"},
	{`"stop_timeout": "30s"`, `"stop_timeout": "-1s"`, "stop_timeout", "-1s is out of range"},
	{`"stop_timeout": "30s"`, `"stop_timeout": "1h"`, "stop_timeout", "out of range"},
	{`"name": "operator-2"`, `"name": "operator-1"`, "operators[1].name", "used twice"},
	{`"name": "operator-2"`, `"name": ""`, "operators[1].name", "not a valid name"},
	{`"token_sha256": "`, `"token_sha256": "0`, "operators[0].token_sha256", "not 64 lower-case hexadecimal digits"},
	{`"operators": [`, `"operators": [], "x": [`, "operators", "nobody could administer"},
}

func TestParseRefuses(t *testing.T) {
	sample := readExample(t, "hooghly", "vm-01.json")
	for _, r := range replacements {
		text := strings.Replace(sample, r.old, r.with, 1)
		require.NotEqual(t, sample, text, "nothing replaced for %s", r.old)
		_, err := Parse("vm.json", []byte(text))
		var all strict.Errors
		require.True(t, errors.As(err, &all), "%s was not refused: %v", r.with, err)
		found := false
		for _, p := range all {
			require.NotEmpty(t, p.Remedy)
			require.Equal(t, "vm.json", p.File)
			require.Positive(t, p.Line)
			found = found || p.Field == r.field && strings.Contains(p.Message, r.message)
		}
		require.True(t, found, "%s: %v", r.with, err)
	}
}

func TestParseRefusesTokensThatAnybodyKnows(t *testing.T) {
	s, err := Parse("vm.json", []byte(readExample(t, "hooghly", "vm-01.json")))
	require.NoError(t, err)
	require.NoError(t, s.Validate())
	s.Operators[1].TokenSHA256 = s.Operators[0].TokenSHA256
	require.ErrorContains(t, s.Validate(), "the token is the same as that of operators[0].token_sha256")
	s.Operators[1].TokenSHA256 = emptyTokenDigest
	require.ErrorContains(t, s.Validate(), "digest of the empty token")
}

func TestAuthenticate(t *testing.T) {
	s, err := Load(filepath.Join("..", "..", "examples", "hooghly", "vm-01.json"))
	require.NoError(t, err)
	name, ok := s.Authenticate("example-token-2")
	require.True(t, ok)
	require.Equal(t, "operator-2", name)
	for _, token := range []string{"", "example-token-3", s.Operators[0].TokenSHA256} {
		_, ok := s.Authenticate(token)
		require.False(t, ok, "token %q was accepted", token)
	}
	_, err = Load("no-such-file.json")
	require.ErrorContains(t, err, "name a readable file")
}

// TestDefaults guards against a file without optional fields that gets zero
// values in their place.
func TestDefaults(t *testing.T) {
	text := readExample(t, "hooghly", "vm-01.json")
	text = strings.NewReplacer(`"log_level": "info",`, "", `"stop_timeout": "30s",`, "").Replace(text)
	s, err := Parse("vm.json", []byte(text))
	require.NoError(t, err)
	require.Equal(t, "info", s.LogLevel)
	require.Equal(t, DefaultStopTimeout, s.StopTimeout.AsDuration())
}

// FuzzParse checks that no text crashes the parser and that each refusal is
// typed and complete.
func FuzzParse(f *testing.F) {
	for _, deployment := range []string{"elozokozosseg", "hooghly"} {
		sample := readExample(f, deployment, "vm-01.json")
		f.Add([]byte(sample))
		for _, r := range replacements {
			f.Add([]byte(strings.Replace(sample, r.old, r.with, 1)))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("vm.json", data)
		if err == nil {
			if err := s.Validate(); err != nil {
				t.Fatalf("accepted settings do not validate: %v", err)
			}
			return
		}
		var all strict.Errors
		if s != nil || !errors.As(err, &all) || len(all) == 0 {
			t.Fatalf("refusal without typed problems: %v", err)
		}
		for _, p := range all {
			if p.Message == "" || p.Remedy == "" || p.Line < 1 || p.Line > 1+strings.Count(string(data), "\n") {
				t.Fatalf("incomplete problem: %+v", p)
			}
		}
	})
}

package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/config/strict"
)

// Load reads a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read the settings file: name a readable file with --settings")
	}
	return Parse(path, data)
}

// Parse reads settings: JSON with comments. The error is strict.Errors with
// every problem of the file.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	return check(strict.Decode(name, data, &s), &s)
}

// Validate checks settings that were not read from a file. The error is strict.Errors.
func (s *Settings) Validate() error {
	_, err := check(&strict.Collector{}, s)
	return err
}

func check(c *strict.Collector, s *Settings) (*Settings, error) {
	v := &validator{c}
	v.name("vm", string(s.VM))
	v.name("failure_domain", string(s.FailureDomain))
	v.listen(s)
	v.peers(s)
	v.address("platform.table", s.Platform.Table)
	v.address("platform.objects", s.Platform.Objects)
	v.address("platform.vms", s.Platform.VMs)
	v.tls("peer_tls", s.PeerTLS, "listen.peers", s.Listen.Peers)
	v.tls("admin_tls", s.AdminTLS, "listen.admin", s.Listen.Admin)
	v.operators(s)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		v.Add("log_level", "write debug, info, warn or error", "%q is not a log level", s.LogLevel)
	}
	if d := s.StopTimeout.AsDuration(); d <= 0 || d > maxStopTimeout {
		v.Add("stop_timeout", fmt.Sprintf("choose a time above 0s and at most %s", maxStopTimeout), "%s is out of range", d)
	}
	if s.MemoryMB < 0 {
		v.Add("memory_mb", "write the memory of the VM in megabytes, or leave it out for that of the machine", "%d is out of range", s.MemoryMB)
	}
	if err := v.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// maxStopTimeout bounds how long a VM that is being replaced can hold its shards.
const maxStopTimeout = 10 * time.Minute

// emptyTokenDigest is the SHA-256 of the empty token.
const emptyTokenDigest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

type validator struct{ *strict.Collector }

func (v *validator) name(field, name string) {
	if !config.ValidName(name) {
		v.Add(field, "use 1 to 63 lower-case letters, digits, dots, hyphens or underscores, starting with a letter or digit",
			"%q is not a valid name", name)
	}
}

func (v *validator) address(field, address string) {
	if message := config.AddressProblem(address); message != "" {
		v.Add(field, `write an IP address and a port, such as "10.0.0.1:8080"`, "%s", message)
	}
}

// listen checks the addresses of this VM. Unlike those of other machines they
// may be 0.0.0.0 or [::], which means all addresses of the VM.
func (v *validator) listen(s *Settings) {
	used := map[netip.AddrPort]string{}
	for _, l := range []struct{ field, address string }{
		{"listen.callers", s.Listen.Callers}, {"listen.peers", s.Listen.Peers}, {"listen.admin", s.Listen.Admin},
	} {
		a, err := netip.ParseAddrPort(l.address)
		if err != nil || !a.Addr().IsUnspecified() || a.Port() == 0 {
			v.address(l.field, l.address)
		}
		if !v.Decoded(l.field) || err != nil {
			continue
		}
		if first, dup := used[a]; dup {
			v.Add(l.field, "choose another port", "%s has the same address %s", first, a)
		}
		used[a] = l.field
	}
}

func (v *validator) peers(s *Settings) {
	ids, addresses := map[string]string{}, map[string]string{}
	unique := func(seen map[string]string, field, value string) {
		if first, dup := seen[value]; dup && v.Decoded(first) {
			v.Add(field, "remove one of them or change its value", "%q is used twice, first by %s", value, first)
		}
		seen[value] = field
	}
	for i, p := range s.Peers {
		at := fmt.Sprintf("peers[%d]", i)
		v.name(at+".id", string(p.ID))
		v.name(at+".failure_domain", string(p.FailureDomain))
		v.address(at+".address", p.Address)
		v.address(at+".admin", p.Admin)
		unique(ids, at+".id", string(p.ID))
		unique(addresses, at+".address", p.Address)
		unique(addresses, at+".admin", p.Admin)
		if p.ID == s.VM && v.Decoded("failure_domain") && p.FailureDomain != s.FailureDomain {
			v.Add(at+".failure_domain", "write the same failure domain in both places",
				"this VM is in %q according to failure_domain, and in %q here", s.FailureDomain, p.FailureDomain)
		}
	}
}

func (v *validator) tls(field string, t TLS, listenField, listen string) {
	if !t.Enabled() {
		a, err := netip.ParseAddrPort(listen)
		if err == nil && !a.Addr().IsLoopback() && v.Decoded(field) {
			v.Add(listenField, "name the files in "+field+" or listen on a loopback address",
				"%s can be reached from other machines, and %s names no files", listen, field)
		}
		return
	}
	for _, f := range []struct{ name, path string }{{"certificate", t.Certificate}, {"key", t.Key}, {"client_ca", t.ClientCA}} {
		if !filepath.IsAbs(f.path) {
			v.Add(field+"."+f.name, "write a path that starts with /", "%q is not an absolute path", f.path)
		}
	}
	if t.Certificate == t.Key && v.Decoded(field+".certificate") {
		v.Add(field+".key", "name the file of the private key", "the certificate and the key are the same file")
	}
}

func (v *validator) operators(s *Settings) {
	names, digests := map[string]string{}, map[string]string{}
	for i, o := range s.Operators {
		at := fmt.Sprintf("operators[%d]", i)
		v.name(at+".name", o.Name)
		raw, err := hex.DecodeString(o.TokenSHA256)
		const remedy = "write the output of: printf %s TOKEN | sha256sum"
		switch {
		case err != nil || len(raw) != 32 || strings.ToLower(o.TokenSHA256) != o.TokenSHA256:
			v.Add(at+".token_sha256", remedy, "the value is not 64 lower-case hexadecimal digits")
		case o.TokenSHA256 == emptyTokenDigest:
			v.Add(at+".token_sha256", remedy, "this is the digest of the empty token")
		}
		if first, dup := names[o.Name]; dup && v.Decoded(first) {
			v.Add(at+".name", "remove one of them or change its name", "%q is used twice, first by %s", o.Name, first)
		}
		if first, dup := digests[o.TokenSHA256]; dup && v.Decoded(first) {
			v.Add(at+".token_sha256", "give each operator a token of their own", "the token is the same as that of %s", first)
		}
		names[o.Name], digests[o.TokenSHA256] = at+".name", at+".token_sha256"
	}
	if len(s.Operators) == 0 {
		v.Add("operators", "add an operator with a name and the SHA-256 of a token", "nobody could administer the VM")
	}
}

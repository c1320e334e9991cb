package config

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"time"

	"dandelionhill.dev/core/config/strict"
)

const (
	// MaxBodyLimit is the largest permitted MaxBody in bytes. Bodies are buffered
	// completely, and a peer frame of 2 MiB must hold one with its headers.
	MaxBodyLimit = 1 << 20
	// maxRanges bounds the ranges of a service, because grants list each range.
	maxRanges = 1 << 16
	// maxCount bounds slots, connections and queue lengths.
	maxCount    = 1 << 16
	maxDuration = 10 * time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidName reports whether a name of a VM, service, upstream, preset, domain
// or region has the permitted form. Names appear in row keys and URLs, so "/"
// and spaces are not permitted.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Parse reads a configuration file: JSON with comments. The error is
// strict.Errors with every problem of the file.
func Parse(name string, data []byte) (*Document, error) {
	doc := &Document{}
	v := &validator{strict.Decode(name, data, doc)}
	v.document(doc)
	if err := v.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Validate checks a document that was not read from a file. The error is strict.Errors.
func Validate(doc *Document) error {
	v := &validator{&strict.Collector{}}
	v.document(doc)
	return v.Err()
}

// ParseService reads a file that holds one service, without the checks that
// need the rest of the document.
func ParseService(name string, data []byte) (*Service, error) {
	s := &Service{}
	v := &validator{strict.Decode(name, data, s)}
	v.service("", s)
	if err := v.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// ParsePreset reads a file that holds one preset.
func ParsePreset(name string, data []byte) (*Preset, error) {
	p := &Preset{}
	v := &validator{strict.Decode(name, data, p)}
	v.preset("", p)
	if err := v.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

type validator struct{ *strict.Collector }

// fieldPath returns the path of a field of the value at path.
func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

const nameRemedy = "use 1 to 63 lower-case letters, digits, dots, hyphens or underscores, starting with a letter or digit"

func (v *validator) name(field, name string) {
	if !ValidName(name) {
		v.Add(field, nameRemedy, "%q is not a valid name", name)
	}
}

// unique reports a duplicate name.
func (v *validator) unique(seen map[string]string, field, name, what string) {
	if !v.Decoded(field) {
		return
	}
	if first, dup := seen[name]; dup {
		v.Add(field, "remove one of them or change its value", "%s %q is used twice, first by %s", what, name, first)
		return
	}
	seen[name] = field
}

func (v *validator) intInRange(field string, value, least, most int, unit string) {
	if value < least || value > most {
		v.Add(field, fmt.Sprintf("choose a number of %s from %d to %d", unit, least, most), "%d is out of range", value)
	}
}

func (v *validator) floatInRange(field string, value, most float64, unit string) {
	if math.IsNaN(value) || value < 0 || value > most {
		v.Add(field, fmt.Sprintf("choose a %s from 0 to %g", unit, most), "%g is out of range", value)
	}
}

func (v *validator) durationInRange(field string, value Duration, least time.Duration) {
	if value.AsDuration() < least || value.AsDuration() > maxDuration {
		v.Add(field, fmt.Sprintf("choose a time from %s to %s", least, maxDuration), "%s is out of range", value)
	}
}

func (v *validator) document(doc *Document) {
	v.name("region", doc.Region)
	domains := map[string]string{}
	for i, f := range doc.FailureDomains {
		field := fmt.Sprintf("failure_domains[%d].name", i)
		v.name(field, string(f.Name))
		v.unique(domains, field, string(f.Name), "failure domain")
	}
	if len(doc.FailureDomains) == 0 {
		v.Add("failure_domains", "list at least one failure domain", "there is no failure domain")
	}
	v.services(doc, domains)
	v.presets(doc)
	seen := map[string]string{}
	for i, vm := range doc.VMsOut {
		field := fmt.Sprintf("vms_out[%d]", i)
		v.name(field, string(vm))
		v.unique(seen, field, string(vm), "VM")
	}
	seen = map[string]string{}
	for i, id := range doc.LostUpstreams {
		field := fmt.Sprintf("lost_upstreams[%d]", i)
		v.unique(seen, field, string(id), "upstream")
		if _, _, ok := doc.Upstream(id); !ok && v.DecodedWithin("services") {
			v.Add(field, "remove it or add the upstream to a service", "no service has the upstream %q", id)
		}
	}
	if len(doc.Operations) > MaxOperations {
		v.Add("operations", fmt.Sprintf("keep the last %d", MaxOperations), "there are %d operations", len(doc.Operations))
	}
}

func (v *validator) services(doc *Document, domains map[string]string) {
	names, ids, addresses := map[string]string{}, map[string]string{}, map[string]string{}
	for i := range doc.Services {
		s := &doc.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		v.unique(names, path+".name", string(s.Name), "service")
		v.service(path, s)
		for j, u := range s.Upstreams {
			at := fmt.Sprintf("%s.upstreams[%d]", path, j)
			v.unique(ids, at+".id", string(u.ID), "upstream")
			if a, err := netip.ParseAddrPort(u.Address); err == nil {
				v.unique(addresses, at+".address", a.String(), "address")
			}
			if _, ok := domains[string(u.FailureDomain)]; !ok && v.DecodedWithin("failure_domains") {
				v.Add(at+".failure_domain", "use a name from failure_domains or add it there", "there is no failure domain %q", u.FailureDomain)
			}
		}
	}
}

// service makes the checks that do not depend on the rest of the document.
func (v *validator) service(path string, s *Service) {
	v.name(fieldPath(path, "name"), string(s.Name))
	v.intInRange(fieldPath(path, "ranges"), s.Ranges, 1, maxRanges, "ranges")
	v.intInRange(fieldPath(path, "shards"), s.Shards, 1, maxRanges, "shards")
	v.intInRange(fieldPath(path, "slots"), s.Slots, 1, maxCount, "concurrent executions")
	v.intInRange(fieldPath(path, "connections"), s.Connections, 1, maxCount, "connections")
	v.intInRange(fieldPath(path, "max_body"), s.MaxBody, 1, MaxBodyLimit, "bytes")
	v.intInRange(fieldPath(path, "warm_up_answers"), s.WarmUpAnswers, 0, maxCount, "answers")
	switch s.UpstreamChecks {
	case ChecksFence, ChecksDeadline, ChecksNone:
	default:
		v.Add(fieldPath(path, "upstream_checks"), `write "fence", "deadline" or "none"`, "%q is not a kind of check", s.UpstreamChecks)
	}
	slots, shards := v.Decoded(fieldPath(path, "slots")), v.Decoded(fieldPath(path, "shards"))
	if slots && s.Connections < s.Slots {
		v.Add(fieldPath(path, "connections"), "allow at least one connection for each slot", "%d connections cannot use %d slots", s.Connections, s.Slots)
	}
	if shards && v.Decoded(fieldPath(path, "ranges")) && s.Shards > s.Ranges {
		v.Add(fieldPath(path, "shards"), "use at most as many shards as ranges", "%d shards cannot divide %d ranges", s.Shards, s.Ranges)
	}
	if shards && v.Decoded(fieldPath(path, "upstreams")) && s.Shards > len(s.Upstreams) {
		v.Add(fieldPath(path, "shards"), "use fewer shards or list more upstreams", "%d shards need at least as many upstreams, there are %d", s.Shards, len(s.Upstreams))
	}
	for j, u := range s.Upstreams {
		at := fieldPath(path, fmt.Sprintf("upstreams[%d]", j))
		v.name(at+".id", string(u.ID))
		v.Address(at+".address", u.Address)
	}
}

// Address records a problem unless the value is a usable IP:port.
func (v *validator) Address(field, address string) {
	if message := AddressProblem(address); message != "" {
		v.Add(field, `write an IP address and a port, such as "10.0.0.1:8080"`, "%s", message)
	}
}

// AddressProblem returns the reason why an address is not a usable IP:port, or "".
func AddressProblem(address string) string {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return fmt.Sprintf("%q is not an IP address with a port", address)
	case a.Port() == 0:
		return fmt.Sprintf("%q has port 0", address)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return fmt.Sprintf("%q is not the address of one machine", address)
	}
	return ""
}

func (v *validator) presets(doc *Document) {
	names := map[string]string{}
	for i := range doc.Presets {
		p := &doc.Presets[i]
		path := fmt.Sprintf("presets[%d]", i)
		v.unique(names, path+".name", p.Name, "preset")
		v.preset(path, p)
		for j, s := range doc.Services {
			at := fmt.Sprintf("services[%d]", j)
			if !v.Decoded(at+".slots") || !v.Decoded(at+".connections") {
				continue
			}
			if limit := float64(s.Slots) * p.SlotFactor; limit < 1 {
				v.Add(path+".slot_factor", "raise the factor", "service %s would get %g requests in flight for each upstream: none could run", s.Name, limit)
			} else if int(limit) > s.Connections {
				v.Add(path+".slot_factor", "lower the factor or allow more connections",
					"service %s would get %d requests in flight over %d connections for each upstream", s.Name, int(limit), s.Connections)
			}
		}
	}
	if len(doc.Presets) == 0 {
		v.Add("presets", "define at least one preset", "there is no preset")
	}
	if _, ok := names[doc.ActivePreset]; !ok && v.DecodedWithin("presets") {
		v.Add("active_preset", "name one of the presets", "there is no preset %q", doc.ActivePreset)
	}
}

func (v *validator) preset(path string, p *Preset) {
	v.name(fieldPath(path, "name"), p.Name)
	v.intInRange(fieldPath(path, "queue_length"), p.QueueLength, 1, maxCount, "requests")
	v.floatInRange(fieldPath(path, "slot_factor"), p.SlotFactor, 16, "ratio")
	v.floatInRange(fieldPath(path, "retry_budget"), p.RetryBudget, 1, "share")
	v.floatInRange(fieldPath(path, "hedge_budget"), p.HedgeBudget, 1, "share")
	v.floatInRange(fieldPath(path, "domain_reserve"), p.DomainReserve, 0.9, "share")
	v.floatInRange(fieldPath(path, "ramp_step"), p.RampStep, 64, "number of slots")
	if p.RampStep == 0 {
		v.Add(fieldPath(path, "ramp_step"), "choose a number of slots above 0", "a cold upstream would never reach its full limit")
	}
	v.intInRange(fieldPath(path, "cold_start"), p.ColdStart, 1, maxCount, "requests in flight")
	v.floatInRange(fieldPath(path, "moves_per_second"), p.MovesPerSecond, 10000, "number of moves a second")
	if !(p.RebalanceAbove >= 1 && p.RebalanceAbove <= 100) {
		v.Add(fieldPath(path, "rebalance_above"), "choose a ratio of maximum to mean load from 1 to 100", "%g is out of range", p.RebalanceAbove)
	}
	v.durationInRange(fieldPath(path, "rebalance_after"), p.RebalanceAfter, 0)
	v.durationInRange(fieldPath(path, "default_timeout"), p.DefaultTimeout, time.Millisecond)
	v.durationInRange(fieldPath(path, "lame_duck"), p.LameDuck, 0)
}

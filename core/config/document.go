// Package config defines the configuration document of a deployment: its types,
// parsing and validation, and changes with optimistic concurrency control.
package config

import (
	"slices"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config/strict"
)

// Duration is written in JSON as a string with a unit, such as "250ms".
type Duration = strict.Duration

// Document is the complete configuration of a deployment. A shared Document must
// not be modified; Apply returns a new one.
type Document struct {
	// Revision counts the accepted changes. It is 0 in files written by operators.
	Revision uint64 `json:"revision,omitempty"`
	// Region names the region of the deployment.
	Region string `json:"region"`
	// FailureDomains lists every failure domain that upstreams and VMs may name.
	FailureDomains []FailureDomain `json:"failure_domains"`
	// Services lists the services that callers may address.
	Services []Service `json:"services"`
	// Presets lists the presets that operators can activate.
	Presets []Preset `json:"presets"`
	// ActivePreset names the preset in force.
	ActivePreset string `json:"active_preset"`
	// ActivePresetModifiedAt is the revision that last set ActivePreset.
	ActivePresetModifiedAt uint64 `json:"active_preset_modified_at,omitempty"`
	// VMsOut lists the entry VMs that operators have taken out of service.
	VMsOut []api.VMID `json:"vms_out,omitempty"`
	// LostUpstreams lists the upstreams whose loss an operator has confirmed.
	LostUpstreams []api.UpstreamID `json:"lost_upstreams,omitempty"`
	// Operations holds the last MaxOperations operations, oldest first.
	Operations []Operation `json:"operations,omitempty"`
}

// FailureDomain is a part of the deployment that fails as a whole.
type FailureDomain struct {
	Name api.FailureDomain `json:"name"`
	// Out is true while the domain is out of service: it gets no new work.
	Out bool `json:"out,omitempty"`
	// ModifiedAt is the revision that last changed the domain.
	ModifiedAt uint64 `json:"modified_at,omitempty"`
}

// Checks selects the checks that the upstreams of a service make on a request.
type Checks string

const (
	// ChecksFence: the upstream refuses a stale fence, an ungranted range, an
	// expired lease and a passed deadline.
	ChecksFence Checks = "fence"
	// ChecksDeadline: the upstream refuses a passed deadline on its own clock.
	ChecksDeadline Checks = "deadline"
	// ChecksNone: the upstream refuses nothing, so its keys never move on lease
	// expiry alone.
	ChecksNone Checks = "none"
)

// Service describes a service and its upstreams.
type Service struct {
	Name api.ServiceName `json:"name"`
	// Keyed is true when each key has one owning upstream.
	Keyed bool `json:"keyed"`
	// Ranges is the number of equal slices of the hash space.
	Ranges int `json:"ranges"`
	// Shards is the number of parts of the service, each with its own holder; at
	// most the number of ranges and of upstreams.
	Shards int `json:"shards"`
	// UpstreamChecks selects the checks that the upstreams make.
	UpstreamChecks Checks `json:"upstream_checks"`
	// Slots is the number of concurrent executions of one upstream.
	Slots int `json:"slots"`
	// Connections is the number of connections that one upstream accepts.
	Connections int `json:"connections"`
	// MaxBody is the largest body of a request or a response, in bytes.
	MaxBody int `json:"max_body"`
	// WarmUpAnswers is the number of responses that an upstream must return after
	// a cold start before it can run one more request at a time. 0 means not stated.
	WarmUpAnswers int `json:"warm_up_answers,omitempty"`
	// Upstreams lists the servers that run the requests.
	Upstreams []Upstream `json:"upstreams"`
	// Layout holds the ranges of each shard. It is computed when the service is
	// added and never changes; a value in a file is ignored.
	Layout []Span `json:"layout,omitempty"`
	// ModifiedAt is the revision that last put the service.
	ModifiedAt uint64 `json:"modified_at,omitempty"`
}

// Upstream is one server of a service.
type Upstream struct {
	ID api.UpstreamID `json:"id"`
	// Address is IP:port; host names are not resolved.
	Address       string            `json:"address"`
	FailureDomain api.FailureDomain `json:"failure_domain"`
	// Drained is true while the upstream gets no new work.
	Drained bool `json:"drained,omitempty"`
	// Shard is the shard that uses the upstream. It is computed when the upstream
	// is added and never changes; a value in a file is ignored.
	Shard int `json:"shard,omitempty"`
	// ModifiedAt is the revision that last changed the upstream.
	ModifiedAt uint64 `json:"modified_at,omitempty"`
}

// Preset is a named set of limits that operators activate together.
type Preset struct {
	Name string `json:"name"`
	// QueueLength is the number of requests that may wait for one upstream.
	QueueLength int `json:"queue_length"`
	// SlotFactor is the ratio of an upstream's limit of requests in flight to its
	// slots.
	SlotFactor float64 `json:"slot_factor"`
	// RetryBudget is the maximum ratio of retries to calls, 0 to 1.
	RetryBudget float64 `json:"retry_budget"`
	// HedgeBudget is the maximum ratio of hedges to calls, 0 to 1.
	HedgeBudget float64 `json:"hedge_budget"`
	// DomainReserve is the share of capacity kept free so that the other domains
	// can take over the load of a lost one, 0 to below 1.
	DomainReserve float64 `json:"domain_reserve"`
	// RampStep is the number of slots by which the limit of a cold upstream
	// grows after each window of successes.
	RampStep float64 `json:"ramp_step"`
	// ColdStart is the initial limit of requests in flight of an upstream that
	// has just started.
	ColdStart int `json:"cold_start"`
	// MovesPerSecond is the maximum rate of ranges that move for balance only. 0
	// stops such moves; ranges of lost upstreams move regardless.
	MovesPerSecond float64 `json:"moves_per_second"`
	// RebalanceAbove is the ratio of maximum to mean load above which ranges
	// move for balance.
	RebalanceAbove float64 `json:"rebalance_above"`
	// RebalanceAfter is the time for which the imbalance must last.
	RebalanceAfter Duration `json:"rebalance_after"`
	// DefaultTimeout is the timeout of requests without a deadline.
	DefaultTimeout Duration `json:"default_timeout"`
	// LameDuck is how long a stopping VM accepts requests after it reports that it
	// is not ready.
	LameDuck Duration `json:"lame_duck"`
	// ModifiedAt is the revision that last changed the preset.
	ModifiedAt uint64 `json:"modified_at,omitempty"`
}

// Service returns the named service.
func (d *Document) Service(name api.ServiceName) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Active returns the preset in force.
func (d *Document) Active() Preset {
	p, _ := d.Preset(d.ActivePreset)
	return p
}

// Preset returns the named preset.
func (d *Document) Preset(name string) (Preset, bool) {
	for _, p := range d.Presets {
		if p.Name == name {
			return p, true
		}
	}
	return Preset{}, false
}

// Domain returns the named failure domain.
func (d *Document) Domain(name api.FailureDomain) (FailureDomain, bool) {
	for _, f := range d.FailureDomains {
		if f.Name == name {
			return f, true
		}
	}
	return FailureDomain{}, false
}

// Upstream returns the upstream with an ID and its service.
func (d *Document) Upstream(id api.UpstreamID) (Upstream, api.ServiceName, bool) {
	for _, s := range d.Services {
		for _, u := range s.Upstreams {
			if u.ID == id {
				return u, s.Name, true
			}
		}
	}
	return Upstream{}, "", false
}

// VMOut reports whether operators have taken a VM out of service.
func (d *Document) VMOut(vm api.VMID) bool { return slices.Contains(d.VMsOut, vm) }

// UpstreamLost reports whether an operator has confirmed the loss of an upstream.
func (d *Document) UpstreamLost(id api.UpstreamID) bool { return slices.Contains(d.LostUpstreams, id) }

// Clone returns a deep copy.
func (d *Document) Clone() *Document {
	c := *d
	c.FailureDomains = slices.Clone(d.FailureDomains)
	c.Services = slices.Clone(d.Services)
	for i := range c.Services {
		c.Services[i].Upstreams = slices.Clone(c.Services[i].Upstreams)
	}
	c.Presets = slices.Clone(d.Presets)
	c.VMsOut = slices.Clone(d.VMsOut)
	c.LostUpstreams = slices.Clone(d.LostUpstreams)
	c.Operations = slices.Clone(d.Operations)
	return &c
}

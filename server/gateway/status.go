package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
)

// StatusPath is the path of a VM's status, at its address for other VMs.
const StatusPath = "/status/v1"

// Status is the state of one VM.
type Status struct {
	VM            api.VMID          `json:"vm"`
	FailureDomain api.FailureDomain `json:"failure_domain"`
	Incarnation   api.Incarnation   `json:"incarnation"`
	// Version is the commit from which the program was built; earlier programs do not state it.
	Version string `json:"version,omitempty"`
	// Ready means that the load balancer may send requests, Stopping that the VM is stopping.
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping"`
	// ConfigurationVersion is the version in force, 0 if none is known;
	// ConfigurationSince is when it came into force here.
	ConfigurationVersion int64     `json:"configuration"`
	ConfigurationSince   time.Time `json:"since"`
	// StoreUnavailable means that the store does not answer this VM.
	StoreUnavailable bool `json:"store_lost"`
	// TableAgesMs holds the age of what this VM knows of each table of the store that it has
	// read, in milliseconds. VMs of earlier versions do not state it.
	TableAgesMs map[string]int64 `json:"table_ages_ms,omitempty"`
	// Isolated means that no upstream can be reached from this VM.
	Isolated bool `json:"isolated"`
	// Granter is the VM that this one follows, or itself; it is empty if it follows none.
	Granter api.VMID `json:"granter"`
	Term    int64    `json:"term"`
	// Rank is the rank of this VM among the VMs that share limits, -1 without one; VMs is
	// their number.
	Rank int `json:"rank"`
	VMs  int `json:"of"`
	// DomainsOut holds the failure domains that operators have taken out.
	DomainsOut []api.FailureDomain `json:"out"`
	// Upstreams counts the upstreams of each service.
	Upstreams map[api.ServiceName]UpstreamCounts `json:"upstreams"`
	// UnhealthyOwners holds the owners of keys with a reduced capacity, on the granter.
	UnhealthyOwners []OwnerHealth `json:"unhealthy_owners,omitempty"`
	// Workspaces is the number of workspaces, see WorkspacesPath.
	Workspaces int `json:"workspaces,omitempty"`
	// Refused counts the requests of this process without a response from an upstream.
	Refused map[string]int `json:"refused"`
	// Peers holds the addresses of the other VMs that this one knows.
	Peers []string `json:"peers"`
}

// UpstreamCounts counts the upstreams of a service.
type UpstreamCounts struct {
	Known int `json:"known"`
	// Usable counts those that may get requests.
	Usable int `json:"usable"`
}

// status returns the state of this VM.
func (g *Gateway) status() Status {
	v := g.control.view()
	s := Status{
		VM: g.settings.VM, FailureDomain: g.settings.FailureDomain, Incarnation: g.links.incarnation, Version: buildVersion(),
		Stopping: g.draining.Load(), StoreUnavailable: v.storeUnavailable, Rank: v.rank, VMs: v.vms, ConfigurationSince: v.configSince,
		TableAgesMs: make(map[string]int64),
		DomainsOut:  []api.FailureDomain{}, Upstreams: make(map[api.ServiceName]UpstreamCounts), Peers: []string{},
	}
	s.Ready = v.config != nil && !s.Stopping
	s.Isolated, _ = g.control.reach.isolated()
	for table, feed := range g.control.feeds() {
		if age, ok := feed.age(); ok {
			s.TableAgesMs[table] = age.Milliseconds()
		}
	}
	if v.config != nil {
		s.ConfigurationVersion = v.config.Version
		s.Workspaces = len(v.config.Workspaces)
	}
	if unhealthy := g.control.ownerHealth.Load(); unhealthy != nil {
		s.UnhealthyOwners = *unhealthy
	}
	for domain := range v.domainsOut {
		s.DomainsOut = append(s.DomainsOut, domain)
	}
	slices.Sort(s.DomainsOut)
	for service, upstreams := range v.services {
		counts := UpstreamCounts{Known: len(upstreams)}
		for _, u := range upstreams {
			if v.usable(u) {
				counts.Usable++
			}
		}
		s.Upstreams[service] = counts
	}
	s.Refused = g.metrics.refused()
	granting := g.links.currentGranter() != nil
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	if granting || g.links.following {
		s.Granter, s.Term = g.links.lastGranter.VM, g.links.lastGranter.Term
	}
	s.Peers = append(s.Peers, g.links.peers...)
	return s
}

func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.status()); err != nil {
		g.log.Debug().Str("event", "status_not_written").Err(err).Msg("")
	}
}

// refused counts the requests without a response from an upstream, by reason.
func (m *Metrics) refused() map[string]int {
	counts := make(map[string]int)
	families, err := m.registry.Gather()
	if err != nil {
		// Gather fails only for a metric that is registered twice.
		panic(errors.Wrap(err, "read the metrics of this process"))
	}
	for _, family := range families {
		if family.GetName() != refusalsName {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "reason" {
					counts[label.GetValue()] += int(metric.GetCounter().GetValue())
				}
			}
		}
	}
	return counts
}

// StoreState is the state of the system in the store.
type StoreState struct {
	// Granter is the VM that holds the lease, Address its address for other VMs.
	Granter api.VMID `json:"granter"`
	Address string   `json:"address"`
	Term    int64    `json:"term"`
	// AgeMs is the time since the last renewal, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Released means that the granter has released the lease.
	Released bool `json:"released"`
	// Owners holds the owners of keys by service.
	Owners map[api.ServiceName][]ownership.Entry `json:"owners"`
	// Unreadable describes the rows of owners that cannot be decoded.
	Unreadable []string `json:"unreadable,omitempty"`
}

// Owner returns the entry that covers a key, and whether there is one.
func (s *StoreState) Owner(service api.ServiceName, key int) (ownership.Entry, bool) {
	for _, e := range s.Owners[service] {
		if e.Span.First <= key && key <= e.Span.Last {
			return e, true
		}
	}
	return ownership.Entry{}, false
}

// ReadStoreState reads the state of the system in the store. It changes nothing.
func ReadStoreState(ctx context.Context, store string) (*StoreState, error) {
	page, err := fleet.NewStore(store, newStoreClient()).ReadTable(ctx, systemTable)
	if err != nil {
		return nil, errors.Wrap(err, "read the rows of the system")
	}
	state := decodeSystem(page)
	var unreadable []string
	for _, err := range state.unreadable {
		unreadable = append(unreadable, err.Error())
	}
	return &StoreState{
		Unreadable: unreadable,
		Granter:    state.lease.VM, Address: state.lease.Address, Term: state.lease.Term,
		AgeMs: state.lease.age.Milliseconds(), Released: state.lease.Released, Owners: state.owners,
	}, nil
}

// ReadStatus reads the status of a VM at its address for other VMs.
func ReadStatus(ctx context.Context, address string) (*Status, error) {
	var s Status
	return &s, readPeer(ctx, address, StatusPath, &s)
}

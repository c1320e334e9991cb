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

// StatusPath is where a VM tells what it believes, at the address for other VMs.
const StatusPath = "/status/v1"

// Status is what one VM believes.
type Status struct {
	VM            api.VMID          `json:"vm"`
	FailureDomain api.FailureDomain `json:"failure_domain"`
	Incarnation   api.Incarnation   `json:"incarnation"`
	// Ready says that the balancer may send requests, Stopping that the VM stops.
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping"`
	// ConfigurationVersion is the version in force, 0 if none is known;
	// ConfigurationSince is when it came into force here.
	ConfigurationVersion int64     `json:"configuration"`
	ConfigurationSince   time.Time `json:"since"`
	// StoreUnavailable says that the store does not answer this VM.
	StoreUnavailable bool `json:"store_lost"`
	// Granter names the VM that this one follows, or itself; it is empty if it follows none.
	Granter api.VMID `json:"granter"`
	Term    int64    `json:"term"`
	// Rank is the place of this VM among the VMs that share limits, -1 without one;
	// VMs is their number.
	Rank int `json:"rank"`
	VMs  int `json:"of"`
	// DomainsOut holds the failure domains that operators have taken out.
	DomainsOut []api.FailureDomain `json:"out"`
	// Upstreams counts the upstreams of each service.
	Upstreams map[api.ServiceName]UpstreamCounts `json:"upstreams"`
	// Refused counts the requests of this process without an answer of an upstream.
	Refused map[string]int `json:"refused"`
	// Peers holds the addresses of the other VMs that this one knows.
	Peers []string `json:"peers"`
}

// UpstreamCounts counts upstreams.
type UpstreamCounts struct {
	Known int `json:"known"`
	// Usable ones may get requests.
	Usable int `json:"usable"`
}

// status returns what this VM believes.
func (g *Gateway) status() Status {
	v := g.control.view()
	s := Status{
		VM: g.settings.VM, FailureDomain: g.settings.FailureDomain, Incarnation: g.links.incarnation,
		Stopping: g.draining.Load(), StoreUnavailable: v.storeDown, Rank: v.rank, VMs: v.of, ConfigurationSince: v.since,
		DomainsOut: []api.FailureDomain{}, Upstreams: make(map[api.ServiceName]UpstreamCounts), Peers: []string{},
	}
	s.Ready = v.config != nil && !s.Stopping
	if v.config != nil {
		s.ConfigurationVersion = v.config.Version
	}
	for domain := range v.out {
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
	granting := g.links.current() != nil
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	if granting || g.links.following {
		s.Granter, s.Term = g.links.known.VM, g.links.known.Term
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

// refused returns the counts of requests without an answer of an upstream, by reason.
func (m *Metrics) refused() map[string]int {
	counts := make(map[string]int)
	families, err := m.registry.Gather()
	if err != nil {
		// Only a metric that is registered twice fails.
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

// StoreState is what the store holds of the system.
type StoreState struct {
	// Granter is the VM that holds the lease, Address where other VMs reach it.
	Granter api.VMID `json:"granter"`
	Address string   `json:"address"`
	Term    int64    `json:"term"`
	// AgeMs is the time since the last renewal, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Released says that the granter has given the lease back.
	Released bool `json:"released"`
	// Owners holds the owners of keys by service.
	Owners map[api.ServiceName][]ownership.Entry `json:"owners"`
}

// Owner returns the entry of a key, and whether there is one.
func (s *StoreState) Owner(service api.ServiceName, key int) (ownership.Entry, bool) {
	for _, e := range s.Owners[service] {
		if e.Span.First <= key && key <= e.Span.Last {
			return e, true
		}
	}
	return ownership.Entry{}, false
}

// ReadStoreState reads what the store holds of the system. It changes nothing.
func ReadStoreState(ctx context.Context, store string) (*StoreState, error) {
	page, err := fleet.NewStore(store, newStoreClient()).ReadTable(ctx, ownTable)
	if err != nil {
		return nil, errors.Wrap(err, "read the rows of the system")
	}
	state, err := decodeOwn(page)
	if err != nil {
		return nil, err
	}
	return &StoreState{
		Granter: state.lease.VM, Address: state.lease.Address, Term: state.lease.Term,
		AgeMs: state.lease.age.Milliseconds(), Released: state.lease.Released, Owners: state.holdings,
	}, nil
}

// ReadStatus asks a VM what it believes, at its address for other VMs.
func ReadStatus(ctx context.Context, address string) (*Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "cannot ask a VM: give IP:port")
	}
	resp, err := newStoreClient().Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "ask a VM")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answered %s: give the address for other VMs", address, resp.Status)
	}
	var s Status
	return &s, errors.Wrap(json.NewDecoder(resp.Body).Decode(&s), "read the status of a VM")
}

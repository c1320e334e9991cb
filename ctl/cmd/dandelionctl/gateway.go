package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/server/gateway"
)

// vmTimeout bounds the status request to one VM.
const vmTimeout = 2 * time.Second

// gatewayReport is the output of the command gateway.
type gatewayReport struct {
	// StoreState is the state in the store; it is missing without --store.
	StoreState *gateway.StoreState `json:"stored,omitempty"`
	// Owner is the owner of the key of --owner according to the store.
	Owner *ownership.Entry `json:"owner,omitempty"`
	// VMs holds the status of each VM that responded, sorted by ID.
	VMs []*gateway.Status `json:"vms"`
	// Unreachable maps the address of each VM that did not respond to the reason.
	Unreachable map[string]string `json:"silent,omitempty"`
	// Workspaces holds the workspaces of the newest configuration in force on a VM.
	Workspaces *gateway.Workspaces `json:"workspaces,omitempty"`

	// addresses holds the addresses of VMs.
	addresses []string
}

// gateway prints the status of the VMs on the platform's store. It changes nothing.
func (t *tool) gateway(ctx context.Context, store, vm, owner string) error {
	if store == "" && vm == "" {
		return errors.Wrap(errUsage, "name the store with --store IP:port, or a VM with --vm IP:port")
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	report := gatewayReport{VMs: []*gateway.Status{}, Unreachable: make(map[string]string)}
	addresses, err := report.findVMs(ctx, store, vm)
	if err != nil {
		return err
	}
	if owner != "" {
		if err := report.findOwner(owner); err != nil {
			return err
		}
	}
	report.queryVMs(ctx, addresses)
	report.queryWorkspaces(ctx)
	if t.json {
		if report.StoreState != nil && owner != "" {
			report.StoreState.Owners = nil // Owner holds the result
		}
		t.printJSON(t.out, report)
		return nil
	}
	return t.printGateway(&report, owner)
}

// findVMs returns the address of --vm and that of the granter in the store, whose state it reads.
func (r *gatewayReport) findVMs(ctx context.Context, store, vm string) (addresses []string, err error) {
	if vm != "" {
		addresses = append(addresses, vm)
	}
	if store == "" {
		return addresses, nil
	}
	if r.StoreState, err = gateway.ReadStoreState(ctx, store); err != nil {
		return nil, err
	}
	if r.StoreState.Address != "" {
		addresses = append(addresses, r.StoreState.Address)
	}
	return addresses, nil
}

// findOwner sets Owner to the owner of a key given as SERVICE/KEY.
func (r *gatewayReport) findOwner(owner string) error {
	service, text, found := strings.Cut(owner, "/")
	key, err := strconv.Atoi(text)
	if !found || err != nil || r.StoreState == nil {
		return errors.Wrap(errUsage, "give --owner SERVICE/KEY, with a number as key, and --store")
	}
	if e, ok := r.StoreState.Owner(api.ServiceName(service), key); ok {
		r.Owner = &e
	}
	return nil
}

// queryVMs reads the status of the VMs at addresses and of the peers that they list.
func (r *gatewayReport) queryVMs(ctx context.Context, addresses []string) {
	queried := make(map[string]bool)
	seen := make(map[api.VMID]bool)
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if queried[address] {
			continue
		}
		queried[address] = true
		vmCtx, cancel := context.WithTimeout(ctx, vmTimeout)
		status, err := gateway.ReadStatus(vmCtx, address)
		cancel()
		if err != nil {
			r.Unreachable[address] = err.Error()
			continue
		}
		addresses = append(addresses, status.Peers...)
		if !seen[status.VM] {
			seen[status.VM] = true
			r.VMs = append(r.VMs, status)
			r.addresses = append(r.addresses, address)
		}
	}
	slices.SortFunc(r.VMs, func(a, b *gateway.Status) int { return strings.Compare(string(a.VM), string(b.VM)) })
}

func (t *tool) printGateway(r *gatewayReport, owner string) error {
	if s := r.StoreState; s != nil {
		t.printf("lease: %s, term %d, renewed %d ms ago, released: %v\n", orNone(s.Granter), s.Term, s.AgeMs, s.Released)
		for service, entries := range s.Owners {
			t.printf("owners: %s, %d spans\n", service, len(entries))
		}
	}
	switch {
	case owner == "":
	case r.Owner == nil:
		t.printf("%s: no owner\n", owner)
	default:
		t.printf("%s: %s, fencing token %d, keys %d to %d\n", owner, r.Owner.Owner.UpstreamID, r.Owner.Fence, r.Owner.Span.First, r.Owner.Span.Last)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tVERSION\tDOMAIN\tSTATE\tCONFIG\tSINCE\tGRANTER\tTERM\tSTORE\tAGE\tUPSTREAMS\tOUT\tREFUSED")
	for _, v := range r.VMs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", v.VM, cmp.Or(v.Version, "unknown"), v.FailureDomain, stateOf(v), v.ConfigurationVersion,
			v.ConfigurationSince.UTC().Format(time.RFC3339), orNone(v.Granter), v.Term, storeOf(v), ageOf(v), upstreamsOf(v), join(v.DomainsOut), refusedOf(v))
	}
	for address, reason := range r.Unreachable {
		fmt.Fprintf(w, "%s\tno answer: %s\n", address, reason)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	for _, v := range r.VMs {
		for _, o := range v.UnhealthyOwners {
			t.printf("owner %s of %s: %s\n", o.Upstream, o.Service, healthOf(o))
		}
	}
	switch n := r.workspaceCount(); {
	case n == 0:
		return nil
	case n > maxWorkspacesListed:
		t.printf("%d workspaces: list them with dandelionctl workspaces\n", n)
		return nil
	}
	return t.printWorkspaces(r.Workspaces)
}

func healthOf(o gateway.OwnerHealth) string {
	if o.Failing {
		return "fails, keeps no keys"
	}
	return fmt.Sprintf("capacity for keys %.1f of %d slots", o.Capacity, o.Slots)
}

func stateOf(v *gateway.Status) string {
	switch {
	case v.Stopping:
		return "stopping"
	case v.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func storeOf(v *gateway.Status) string {
	if v.StoreUnavailable {
		return "lost"
	}
	return "reached"
}

// ageOf returns the age of the oldest table.
func ageOf(v *gateway.Status) string {
	if len(v.TableAgesMs) == 0 {
		return "unknown"
	}
	return fmt.Sprintf("%d ms", slices.Max(slices.Collect(maps.Values(v.TableAgesMs))))
}

func upstreamsOf(v *gateway.Status) string {
	if v.Isolated {
		return "none reached"
	}
	return "reached"
}

func refusedOf(v *gateway.Status) string {
	var parts []string
	for reason, n := range v.Refused {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

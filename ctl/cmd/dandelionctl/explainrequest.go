package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/gateway"
)

// explainOptions are the flags of the command explain-request.
type explainOptions struct {
	store, method, workspace, keyFile string
	vms, headers                      addressList
	key                               int
	all                               bool
}

func (o *explainOptions) register(f *flag.FlagSet) {
	f.Var(&o.vms, "vm", "`address` of a VM for other VMs; repeat it to compare several")
	f.StringVar(&o.store, "store", "", "`address` of the platform's store; it names the granter, which is asked without --vm, and the fence of the key")
	f.BoolVar(&o.all, "all", false, "ask all VMs that those know as well, and show where they differ")
	f.StringVar(&o.method, "method", "GET", "`method` of the request")
	f.Var(&o.headers, "header", "`header` of the request as NAME: VALUE; may be repeated")
	f.IntVar(&o.key, "key", -1, "`number` of the key of the request")
	f.StringVar(&o.workspace, "workspace", "", "`name` of a workspace that stands for one of its keys")
	f.StringVar(&o.keyFile, "api-key-file", "", "`file` with a key of a workspace, which other users of this machine could read on the command line")
}

// request returns the request to explain.
func (o *explainOptions) request(host, path string) (*gateway.ExplainRequest, error) {
	r := &gateway.ExplainRequest{Method: o.method, Host: host, Path: path, Header: make(map[string][]string), Workspace: api.WorkspaceName(o.workspace)}
	for _, header := range o.headers {
		name, value, found := strings.Cut(header, ":")
		if !found || name == "" {
			return nil, errors.Wrap(errUsage, "a header is malformed: give --header 'NAME: VALUE'")
		}
		r.Header[name] = append(r.Header[name], strings.TrimSpace(value))
	}
	if o.key >= 0 {
		r.Header[fleet.HeaderKey] = []string{strconv.Itoa(o.key)}
	}
	if o.keyFile == "" {
		return r, nil
	}
	data, err := os.ReadFile(o.keyFile)
	if err != nil {
		return nil, errors.Wrapf(errUsage, "cannot read --api-key-file: %s", err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" || strings.ContainsAny(key, "\r\n") {
		return nil, errors.Wrapf(errUsage, "%s does not hold one key on one line", o.keyFile)
	}
	r.Header[fleet.HeaderAuthorization] = []string{fleet.AuthorizationScheme + " " + key}
	return r, nil
}

// explainReport is the output of the command explain-request.
type explainReport struct {
	// Explanations holds what each VM states, sorted by ID.
	Explanations []*gateway.Explanation `json:"vms"`
	// Differences names what the VMs state differently.
	Differences []string `json:"differences,omitempty"`
	// Unreachable maps the address of each VM that did not explain the request to the reason.
	Unreachable map[string]string `json:"silent,omitempty"`
	// Stored holds the owners of the key in the store by service, with their fences.
	Stored map[api.ServiceName]ownership.Entry `json:"stored,omitempty"`
}

// explainRequest prints where VMs would send a request. It changes nothing.
func (t *tool) explainRequest(ctx context.Context, o *explainOptions, host, path string) error {
	if o.store == "" && len(o.vms) == 0 {
		return errors.Wrap(errUsage, "name a VM with --vm IP:port, or the store with --store IP:port")
	}
	described, err := o.request(host, path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	addresses, state, err := o.findVMs(ctx)
	if err != nil {
		return err
	}
	report := explainReport{Explanations: []*gateway.Explanation{}, Unreachable: make(map[string]string)}
	for _, address := range addresses {
		vmCtx, cancel := context.WithTimeout(ctx, vmTimeout)
		x, err := gateway.ReadExplanation(vmCtx, address, described)
		cancel()
		if err != nil && len(addresses) == 1 {
			return err
		}
		if err != nil {
			report.Unreachable[address] = err.Error()
		} else if !slices.ContainsFunc(report.Explanations, func(other *gateway.Explanation) bool { return other.VM == x.VM }) {
			report.Explanations = append(report.Explanations, x)
		}
	}
	if len(report.Explanations) == 0 {
		return errors.Errorf("no VM explained the request; the first of %d: %s", len(addresses), report.Unreachable[addresses[0]])
	}
	slices.SortFunc(report.Explanations, func(a, b *gateway.Explanation) int { return strings.Compare(string(a.VM), string(b.VM)) })
	report.Differences = differences(report.Explanations)
	report.findFences(state)
	if t.json {
		t.printJSON(t.out, report)
	} else if err := t.printExplanations(&report); err != nil {
		return err
	}
	if x := report.Explanations[0]; x.Route == nil && x.Refusal != nil && len(report.Differences) == 0 {
		return errors.Errorf("no route for this request (%s): %s", x.Refusal.Reason, x.Refusal.Remedy)
	}
	return nil
}

// findVMs returns the addresses of the VMs to ask, and the state of the store with --store.
func (o *explainOptions) findVMs(ctx context.Context) (addresses []string, state *gateway.StoreState, err error) {
	found := gatewayReport{Unreachable: make(map[string]string)}
	granter, err := found.findVMs(ctx, o.store, "")
	if err != nil {
		return nil, nil, err
	}
	addresses = slices.Clone(o.vms)
	if len(addresses) == 0 || o.all {
		addresses = append(addresses, granter...)
	}
	if o.all {
		found.queryVMs(ctx, addresses)
		addresses = append(addresses, found.addresses...)
		for address := range found.Unreachable {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	if addresses = slices.Compact(addresses); len(addresses) == 0 {
		return nil, nil, errors.New("the store names no granter: name a VM with --vm IP:port")
	}
	return addresses, found.StoreState, nil
}

// findFences sets Stored to the owners in the store of the key of the request.
func (r *explainReport) findFences(state *gateway.StoreState) {
	if state == nil {
		return
	}
	r.Stored = make(map[api.ServiceName]ownership.Entry)
	for _, x := range r.Explanations {
		for _, s := range x.Services {
			if s.Owner == nil {
				continue
			}
			if entry, ok := state.Owner(s.Service, s.Owner.Key); ok {
				r.Stored[s.Service] = entry
			}
		}
	}
}

// differences returns what VMs state differently: the facts of each VM by what they are about.
func differences(all []*gateway.Explanation) (out []string) {
	stated := make(map[string]map[string][]string)
	for _, x := range all {
		for about, fact := range facts(x) {
			if stated[about] == nil {
				stated[about] = make(map[string][]string)
			}
			stated[about][fact] = append(stated[about][fact], string(x.VM))
		}
	}
	for about, facts := range stated {
		vms := 0
		for _, by := range facts {
			vms += len(by)
		}
		if len(facts) == 1 && vms == len(all) {
			continue
		}
		var parts []string
		for fact, by := range facts {
			parts = append(parts, fact+" ("+strings.Join(by, ", ")+")")
		}
		slices.Sort(parts)
		out = append(out, about+": "+strings.Join(parts, "; "))
	}
	slices.Sort(out)
	return out
}

// facts returns what a VM states that others should state too. The upstream that a VM selects depends
// on what it has measured, so only whether there is one counts for services without keys.
func facts(x *gateway.Explanation) map[string]string {
	out := map[string]string{
		"configuration": strconv.FormatInt(x.ConfigurationVersion, 10), "workspace": orNone(x.Workspace), "refusal": refusalText(x.Refusal),
		"route": "none", "isolated": strconv.FormatBool(x.Isolated),
	}
	if x.Route != nil {
		out["route"] = x.Route.Name
	}
	for _, s := range x.Services {
		prefix := "service " + string(s.Service) + " "
		out[prefix+"refusal"] = refusalText(s.Refusal)
		if s.Owner != nil {
			out[prefix+"owner"] = fmt.Sprintf("%s, term %d", orNone(s.Owner.Upstream), s.Owner.Term)
		}
		for _, c := range s.Candidates {
			switch c.Reason {
			case "cold", "leaving", "draining", "domain_out", "removed", "resting":
				out[prefix+"upstream "+string(c.Upstream)] = c.Reason
			default:
				out[prefix+"upstream "+string(c.Upstream)] = "may get it"
			}
		}
	}
	return out
}

func refusalText(r *gateway.Refusal) string {
	if r == nil {
		return "none"
	}
	return fmt.Sprintf("%d %s", r.Status, r.Reason)
}

func (t *tool) printExplanations(r *explainReport) error {
	for _, x := range r.Explanations {
		if err := t.printExplanation(x, r.Stored); err != nil {
			return err
		}
	}
	for _, d := range r.Differences {
		t.printf("differs: %s\n", d)
	}
	for address, reason := range r.Unreachable {
		t.printf("%s: no answer: %s\n", address, reason)
	}
	return nil
}

func (t *tool) printExplanation(x *gateway.Explanation, stored map[api.ServiceName]ownership.Entry) error {
	t.printf("%s in %s, configuration %d\n", x.VM, x.FailureDomain, x.ConfigurationVersion)
	if r := x.Route; r != nil {
		t.printf("  route %s (%s%s): repeatable %v, public %v, priority %d, target %d ms, timeout %d ms, at most %d attempts\n",
			r.Name, r.Host, r.Prefix, r.Repeatable, r.Public, r.Priority, r.TargetMs, r.TimeoutMs, r.MaxAttempts)
	}
	if x.Workspace != "" {
		t.printf("  workspace %s\n", x.Workspace)
	}
	if x.QuotaWaitMs > 0 {
		t.printf("  waits up to %d ms for a token of the quota\n", x.QuotaWaitMs)
	}
	if x.Isolated {
		t.printf("  reaches no upstream: passes the request to another VM\n")
	}
	t.printRefusal("  ", x.Refusal)
	for i := range x.Services {
		if err := t.printService(&x.Services[i], stored); err != nil {
			return err
		}
	}
	return nil
}

func (t *tool) printRefusal(indent string, r *gateway.Refusal) {
	if r == nil {
		return
	}
	t.printf("%srefused: %s", indent, refusalText(r))
	if r.RetryAfterMs > 0 {
		t.printf(", Retry-After about %d ms", r.RetryAfterMs)
	}
	t.printf("; %s\n", r.Remedy)
}

func (t *tool) printService(s *gateway.ServiceExplanation, stored map[api.ServiceName]ownership.Entry) error {
	next := ""
	if s.Next && s.Share < 1 {
		next = ", next"
	}
	t.printf("  service %s, share %.0f%%%s\n", s.Service, 100*s.Share, next)
	if o := s.Owner; o != nil {
		t.printf("    key %d: owner %s, keys %d to %d, term %d, version %d", o.Key, orNone(o.Upstream), o.First, o.Last, o.Term, o.Version)
		if entry, ok := stored[s.Service]; ok {
			t.printf("; store: %s, fencing token %d", orNone(entry.Owner.UpstreamID), entry.Fence)
		}
		t.printf("\n")
	}
	switch {
	case s.Refusal != nil:
		t.printRefusal("    ", s.Refusal)
	case s.WaitMs > 0:
		t.printf("    waits about %d ms (%s)\n", s.WaitMs, s.WaitFor)
	}
	if s.Selected != "" {
		t.printf("    goes to %s\n", s.Selected)
		if h := s.Hedging; h.Skip != "" {
			t.printf("    not hedged: %s\n", h.Skip)
		} else {
			t.printf("    hedged after %d ms to %s\n", h.AfterMs, h.Upstream)
		}
	}
	if s.Refusal == nil {
		t.printf("    sent again up to %d times if it has not run, %d times if it may have run; retry budget left: %v\n", s.Retries.NotRun, s.Retries.AfterRun, s.Retries.Budget)
	}
	if len(s.Candidates) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "    UPSTREAM\tDOMAIN\tLOCAL\tCOST MS\tLATENCY MS\tAHEAD\tSLOTS\tFAILURES\tRESULT")
	for _, c := range s.Candidates {
		result := "passed over: " + c.Reason
		if c.Selected {
			result = "selected"
		}
		if c.WaitMs > 0 {
			result += fmt.Sprintf(" (%d ms)", c.WaitMs)
		}
		fmt.Fprintf(w, "    %s\t%s\t%v\t%.1f\t%.1f\t%.1f\t%d\t%.2f\t%s\n", c.Upstream, c.FailureDomain, c.Local, c.CostMs, c.LatencyMs, c.Ahead, c.Slots, c.FailureRate, result)
	}
	return errors.Wrap(w.Flush(), "print")
}

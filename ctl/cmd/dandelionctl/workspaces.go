package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/gateway"
)

// maxWorkspacesListed bounds the workspaces that the command gateway lists.
const maxWorkspacesListed = 100

// workspaces lists the workspaces of a deployment. It changes nothing.
func (t *tool) workspaces(ctx context.Context, store, vm string) error {
	if store == "" && vm == "" {
		return errors.Wrap(errUsage, "name the store with --store IP:port, or a VM with --vm IP:port")
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	report := gatewayReport{Unreachable: make(map[string]string)}
	addresses, err := report.findVMs(ctx, store, vm)
	if err != nil {
		return err
	}
	report.queryVMs(ctx, addresses)
	report.queryWorkspaces(ctx)
	if report.Workspaces == nil {
		return errors.Errorf("no VM stated its workspaces, %d did not respond: name another one with --vm", len(report.Unreachable))
	}
	if t.json {
		t.printJSON(t.out, report.Workspaces)
		return nil
	}
	return t.printWorkspaces(report.Workspaces)
}

// queryWorkspaces sets Workspaces to those of the newest configuration. A VM that started after a
// change does not know its version, so the lowest one that a VM with this configuration states is
// taken. VMs of earlier versions state no workspaces.
func (r *gatewayReport) queryWorkspaces(ctx context.Context) {
	for _, address := range r.addresses {
		vmCtx, cancel := context.WithTimeout(ctx, vmTimeout)
		stated, err := gateway.ReadWorkspaces(vmCtx, address)
		cancel()
		switch {
		case err != nil:
		case r.Workspaces == nil || stated.ConfigurationVersion > r.Workspaces.ConfigurationVersion:
			r.Workspaces = stated
		case stated.ConfigurationVersion == r.Workspaces.ConfigurationVersion:
			changed := make(map[api.WorkspaceName]int64, len(stated.Workspaces))
			for _, w := range stated.Workspaces {
				changed[w.Name] = w.Changed
			}
			for i := range r.Workspaces.Workspaces {
				w := &r.Workspaces.Workspaces[i]
				if version, ok := changed[w.Name]; ok {
					w.Changed = min(w.Changed, version)
				}
			}
		}
	}
}

func (r *gatewayReport) workspaceCount() int {
	if r.Workspaces == nil {
		return 0
	}
	return len(r.Workspaces.Workspaces)
}

func (t *tool) printWorkspaces(list *gateway.Workspaces) error {
	t.printf("configuration %d: %d workspaces\n", list.ConfigurationVersion, len(list.Workspaces))
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tRATE\tBURST\tPRIORITY\tKEYS\tCHANGED")
	for _, s := range list.Workspaces {
		rate, burst, priority := "no limit", "-", "of the route"
		if s.Rate > 0 {
			rate, burst = strconv.FormatFloat(s.Rate, 'g', -1, 64), strconv.FormatFloat(s.Burst, 'g', -1, 64)
		}
		if s.Priority != nil {
			priority = strconv.Itoa(*s.Priority)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", s.Name, rate, burst, priority, s.Keys, s.Changed)
	}
	return errors.Wrap(w.Flush(), "print")
}

// checkPlatform validates a file with the configuration of a deployment on the platform's store,
// as a VM does. It sends nothing.
func (t *tool) checkPlatform(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	cfg, err := fleet.DecodeConfiguration(data)
	if err != nil {
		return errors.Errorf("%s: correct the file there: %v", at(file, data, err), err)
	}
	if err := cfg.Validate(); err != nil {
		return errors.Wrap(err, file)
	}
	unknown, err := fleet.UnknownFields(data)
	if err != nil {
		return errors.Wrap(err, file)
	}
	for _, field := range unknown {
		t.printf("%s: %s is not known and is ignored: correct the name, unless a later version reads it\n", file, field)
	}
	t.printf("%s: configuration is valid: %d routes, %d services, %d workspaces\n", file, len(cfg.Routes), len(cfg.Services), len(cfg.Workspaces))
	return nil
}

// at returns the file with the line at which it cannot be read, if that is known.
func at(file string, data []byte, err error) string {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	}
	if offset < 0 || offset > int64(len(data)) {
		return file
	}
	return fmt.Sprintf("%s:%d", file, 1+bytes.Count(data[:offset], []byte("\n")))
}

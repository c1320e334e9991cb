package main

import (
	"context"
	"flag"
	"os"
	"runtime/debug"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/server/settings"
)

// registerQueries adds the commands that change nothing.
func (t *tool) registerQueries(commander *subcommands.Commander) {
	const queries = "reading"
	var isSettings, isPlatform bool
	var count int
	var store, vm, owner string
	var request explainOptions
	for _, c := range []*command{
		{
			name: "check", args: 1, usage: "check [--settings | --platform] FILE", synopsis: "check a configuration file, or a settings file, without a connection",
			flags: func(f *flag.FlagSet) {
				f.BoolVar(&isSettings, "settings", false, "the file holds the settings of a VM")
				f.BoolVar(&isPlatform, "platform", false, "the file holds the configuration of a deployment on the platform's store")
			},
			run: func(_ context.Context, args []string) error {
				if isPlatform {
					return t.checkPlatform(args[0])
				}
				return t.check(args[0], isSettings)
			},
		},
		{name: "status", usage: "status", synopsis: "show revision, VMs, shards and upstreams", run: t.status},
		{name: "config", usage: "config", synopsis: "print the configuration in force as JSON", run: t.config},
		{name: "explain", args: 2, usage: "explain SERVICE KEY", synopsis: "show how a request with a key is routed and why", run: t.explain},
		{
			name: "watch", usage: "watch [--count N]", synopsis: "print each new revision and what it changes",
			flags: func(f *flag.FlagSet) { f.IntVar(&count, "count", 0, "stop after `N` revisions; 0 means never") },
			run:   func(ctx context.Context, _ []string) error { return t.watch(ctx, count) },
		},
		{
			name: "gateway", usage: "gateway [--store IP:port] [--vm IP:port] [--owner SERVICE/KEY]",
			synopsis: "show the status of the VMs of a deployment on the platform's store, and the owner of a key",
			flags: func(f *flag.FlagSet) {
				f.StringVar(&store, "store", "", "`address` of the platform's store")
				f.StringVar(&vm, "vm", "", "`address` of a VM for other VMs, if the store does not respond")
				f.StringVar(&owner, "owner", "", "`service/key` to look up in the store")
			},
			run: func(ctx context.Context, _ []string) error { return t.gateway(ctx, store, vm, owner) },
		},
		{
			name: "workspaces", usage: "workspaces [--store IP:port] [--vm IP:port]",
			synopsis: "list the workspaces of a deployment on the platform's store",
			flags: func(f *flag.FlagSet) {
				f.StringVar(&store, "store", "", "`address` of the platform's store")
				f.StringVar(&vm, "vm", "", "`address` of a VM for other VMs, if the store does not respond")
			},
			run: func(ctx context.Context, _ []string) error { return t.workspaces(ctx, store, vm) },
		},
		{
			name: "explain-request", args: 2, usage: "explain-request (--vm IP:port | --store IP:port) [--all] [--method METHOD] [--key N] [--header 'NAME: VALUE'] [--workspace NAME | --api-key-file FILE] HOST PATH",
			synopsis: "show where a VM of a deployment on the platform's store would send a request now and why, without sending it",
			flags:    request.register,
			run: func(ctx context.Context, args []string) error {
				return t.explainRequest(ctx, &request, args[0], args[1])
			},
		},
		{name: "version", usage: "version", synopsis: "print the version of this tool", run: t.version},
	} {
		c.tool = t
		commander.Register(c, queries)
	}
}

func (t *tool) check(file string, isSettings bool) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	if isSettings {
		if _, err := settings.Parse(file, data); err != nil {
			return err
		}
		t.printf("%s: settings are valid\n", file)
		return nil
	}
	doc, err := config.Parse(file, data)
	if err != nil {
		return err
	}
	t.printf("%s: configuration is valid: %d services, %d presets, active preset %s\n", file, len(doc.Services), len(doc.Presets), doc.ActivePreset)
	return nil
}

func (t *tool) status(ctx context.Context, _ []string) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if t.json {
		t.printJSON(t.out, s)
		return nil
	}
	t.printf("region %s, revision %d, preset %s (of %s), answered by %s version %s\n",
		s.Region, s.Revision, s.ActivePreset, strings.Join(s.Presets, ", "), s.VM, s.Version)
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	line := func(cells ...string) { _, _ = w.Write([]byte(strings.Join(cells, "\t") + "\n")) }
	line("DOMAIN", "STATE")
	for _, d := range s.Domains {
		line(string(d.Name), inOrOut(d.Out))
	}
	line("")
	line("VM", "DOMAIN", "STATE", "REVISION", "")
	for _, v := range s.VMs {
		line(string(v.ID), string(v.FailureDomain), v.State, number(v.Revision), inOrOut(v.Out))
	}
	line("")
	line("SHARD", "HOLDER", "FENCE", "MEMBERS")
	for _, h := range s.Shards {
		line(h.Shard.String(), orNone(h.Holder), h.Fence.String(), join(h.Members))
	}
	line("")
	line("UPSTREAM", "SHARD", "DOMAIN", "STATE", "IN FLIGHT", "LIMIT", "QUEUED", "RANGES")
	for _, u := range s.Upstreams {
		shard := api.ShardID{Service: u.Service, Index: u.Shard}
		line(string(u.ID), shard.String(), string(u.FailureDomain), u.State, number(u.InFlight), number(u.Limit), number(u.Queued), number(u.Ranges))
	}
	return w.Flush()
}

func (t *tool) config(ctx context.Context, _ []string) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	doc, err := c.Config(ctx)
	if err != nil {
		return err
	}
	t.printJSON(t.out, doc)
	return nil
}

func (t *tool) explain(ctx context.Context, args []string) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	e, err := c.Explain(ctx, api.ServiceName(args[0]), args[1])
	if err != nil {
		return err
	}
	if t.json {
		t.printJSON(t.out, e)
		return nil
	}
	t.printf("key %q of %s: hash %s, range %d, shard %s, holder %s (fence %s), owner %s, revision %d\n",
		e.Key, e.Service, e.Hash, e.Range, e.Shard, orNone(e.Holder), e.Fence, orNone(e.Owner), e.Revision)
	for _, step := range e.Steps {
		t.printf("  %s\n", step)
	}
	return nil
}

// watchEvent is one line of watch --json.
type watchEvent struct {
	Revision    uint64              `json:"revision"`
	Differences []config.Difference `json:"differences"`
}

func (t *tool) watch(ctx context.Context, count int) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	start, cancel := context.WithTimeout(ctx, t.timeout)
	doc, err := c.Config(start)
	cancel()
	if err != nil {
		return err
	}
	if !t.json {
		t.printf("revision %d, preset %s\n", doc.Revision, doc.ActivePreset)
	}
	for seen := 0; count == 0 || seen < count; {
		next, err := c.Watch(ctx, doc.Revision)
		if ctx.Err() != nil {
			return nil // the operator ended the command
		}
		if err != nil {
			return err
		}
		if next == nil {
			continue
		}
		event := watchEvent{Revision: next.Revision, Differences: config.Diff(doc, next)}
		doc = config.Newer(doc, next)
		seen++
		if t.json {
			t.printJSON(t.out, event)
			continue
		}
		t.printf("revision %d\n", event.Revision)
		for _, d := range event.Differences {
			t.printf("  %s %s\n", d.Entity, d.Kind)
		}
	}
	return nil
}

func (t *tool) version(context.Context, []string) error {
	version, revision := "(devel)", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		if info.Main.Version != "" {
			version = info.Main.Version
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	t.printf("dandelionctl %s, source revision %s\n", version, revision)
	return nil
}

package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/ctl/client"
)

// changeFlags are the flags of every command that changes the configuration.
type changeFlags struct {
	operationID string
	base        uint64
	dryRun      bool
	wait        bool
}

func (c *changeFlags) set(f *flag.FlagSet) {
	f.StringVar(&c.operationID, "operation-id", "", "`ID` of the operation; a repeat with the same ID has no second effect")
	f.Uint64Var(&c.base, "base-revision", 0, "`revision` on which the decision is based; by default the newest one")
	f.BoolVar(&c.dryRun, "dry-run", false, "print what the change would do and write nothing")
	f.BoolVar(&c.wait, "wait", false, "wait until the change is in force on all VMs")
}

// makeChange builds a change from positional arguments.
type makeChange func(args []string) (config.Change, error)

// change returns a command that sends the change that build makes.
func (t *tool) change(name string, args int, usage, synopsis string, build makeChange) *command {
	flags := &changeFlags{}
	return &command{
		name: name, args: args, usage: usage + " [flags]", synopsis: synopsis, flags: flags.set, tool: t,
		run: func(ctx context.Context, args []string) error {
			ch, err := build(args)
			if err != nil {
				return err
			}
			return t.send(ctx, flags, ch)
		},
	}
}

// named builds changes that only need a name.
func named(kind config.ChangeKind) makeChange {
	return func(args []string) (config.Change, error) {
		if !config.ValidName(args[0]) {
			return config.Change{}, errors.Wrapf(errUsage, "%q is not a valid name", args[0])
		}
		return config.Change{Kind: kind, Name: args[0]}, nil
	}
}

// registerChanges adds the commands that change the configuration.
func (t *tool) registerChanges(commander *subcommands.Commander) {
	const changes = "changing"
	commander.Register(t.change("init", 1, "init FILE", "write the first configuration of a deployment", func(args []string) (config.Change, error) {
		doc, err := fromFile(args[0], config.Parse)
		return config.Change{Kind: config.Init, Document: doc}, err
	}), changes)
	for _, g := range []*group{
		{name: "service", synopsis: "put or remove a service", commands: []*command{
			t.change("put", 1, "service put FILE", "add or replace a service; drained upstreams stay drained", func(args []string) (config.Change, error) {
				s, err := fromFile(args[0], config.ParseService)
				return config.Change{Kind: config.PutService, Service: s}, err
			}),
			t.change("remove", 1, "service remove SERVICE", "remove a service and its upstreams", named(config.RemoveService)),
		}},
		{name: "domain", synopsis: "add a failure domain, take it out or put it in", commands: []*command{
			t.change("put", 1, "domain put DOMAIN", "add a failure domain", named(config.PutFailureDomain)),
			t.change("out", 1, "domain out DOMAIN", "take a failure domain out", named(config.DomainOut)),
			t.change("in", 1, "domain in DOMAIN", "put a failure domain back in", named(config.DomainIn)),
		}},
		{name: "preset", synopsis: "put a preset, or make one active", commands: []*command{
			t.change("put", 1, "preset put FILE", "add or replace a preset", func(args []string) (config.Change, error) {
				p, err := fromFile(args[0], config.ParsePreset)
				return config.Change{Kind: config.PutPreset, Preset: p}, err
			}),
			t.change("use", 1, "preset use PRESET", "make a preset active", named(config.SetPreset)),
		}},
		{name: "vm", synopsis: "take an entry VM out or put it in", commands: []*command{
			t.change("out", 1, "vm out VM", "take an entry VM out", named(config.VMOut)),
			t.change("in", 1, "vm in VM", "put an entry VM back in", named(config.VMIn)),
		}},
		{name: "upstream", synopsis: "add, drain or remove an upstream, or confirm its loss", commands: []*command{
			t.change("add", 4, "upstream add SERVICE UPSTREAM IP:PORT DOMAIN", "add an upstream to a service", addUpstream),
			t.change("remove", 1, "upstream remove UPSTREAM", "remove an upstream that is drained or lost", named(config.RemoveUpstream)),
			t.change("drain", 1, "upstream drain UPSTREAM", "send no new requests to an upstream", named(config.DrainUpstream)),
			t.change("undrain", 1, "upstream undrain UPSTREAM", "send requests to an upstream again and withdraw a confirmed loss", named(config.Undrain)),
			t.change("confirm-lost", 1, "upstream confirm-lost UPSTREAM", "confirm that an upstream runs no requests and will not resume", named(config.ConfirmLost)),
		}},
	} {
		g.tool = t
		commander.Register(g, changes)
	}
}

func addUpstream(args []string) (config.Change, error) {
	if message := config.AddressProblem(args[2]); message != "" {
		return config.Change{}, errors.Wrap(errUsage, message)
	}
	return config.Change{Kind: config.AddUpstream, Name: args[0], Upstream: &config.Upstream{
		ID: api.UpstreamID(args[1]), Address: args[2], FailureDomain: api.FailureDomain(args[3]),
	}}, nil
}

func fromFile[T any](file string, parse func(string, []byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	return parse(file, data)
}

// send completes a change, sends it and reports its state.
func (t *tool) send(ctx context.Context, flags *changeFlags, ch config.Change) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	ch.OperationID = flags.operationID
	if ch.OperationID == "" {
		ch.OperationID = t.newID()
	}
	ch.BaseRevision = flags.base
	if err := ch.Validate(); err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	if ch.BaseRevision == 0 && ch.Kind != config.Init {
		doc, err := c.Config(ctx)
		if err != nil {
			return err
		}
		ch.BaseRevision = doc.Revision
	}
	if flags.dryRun {
		result, err := c.DryRun(ctx, ch)
		if err != nil {
			return err
		}
		t.printResult(result)
		return nil
	}
	if flags.operationID == "" && !t.json {
		// Printed before sending, so that the operator has it if the command is interrupted.
		t.printf("operation %s\n", ch.OperationID)
	}
	result, err := c.Change(ctx, ch)
	if err != nil {
		return err
	}
	return t.follow(ctx, c, result, flags.wait)
}

// follow reports the state of a change. Without --wait it waits until the
// change is accepted, because a pending change may still be lost.
func (t *tool) follow(ctx context.Context, c *client.Client, result *admin.ChangeResult, wait bool) error {
	want := admin.StateAccepted
	if wait {
		want = admin.StateInForce
	}
	status, err := c.Wait(ctx, result.OperationStatus, want)
	result.OperationStatus = status
	t.printResult(result)
	if err == nil {
		return nil
	}
	if ctx.Err() == nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return errors.Wrapf(errNotInForce, "operation %s is %s at revision %d, waiting for %s; remedy: repeat with --operation-id %s --wait",
		status.OperationID, status.State, status.Revision, orNone(join(status.Waiting)), status.OperationID)
}

func (t *tool) printResult(r *admin.ChangeResult) {
	if t.json {
		t.printJSON(t.out, r)
		return
	}
	if r.DryRun {
		t.printf("dry run: nothing was written\n")
	} else {
		t.printf("operation %s: %s at revision %d\n", r.OperationID, r.State, r.Revision)
	}
	for _, d := range r.Differences {
		t.printf("  %s %s\n", d.Entity, d.Kind)
	}
}

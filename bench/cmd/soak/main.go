// Command soak runs seeds of the soak test: the real programs as processes on this
// machine, with faults injected from outside.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"dandelionhill.dev/bench/soak"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&upstreamCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

type runCommand struct {
	firstSeed    uint64
	seedCount    int
	replayFailed bool
	gateway      string
	production   string
	dir          string
	size         string
	options      soak.Options
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run seeds" }
func (*runCommand) Usage() string {
	return "soak run -gateway target/dandelionhilld [-from 1] [-seeds 1 | -failed] [-length 20s] [-size grown] [-key-faults] [-broken] [-production COMMIT]\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.firstSeed, "from", 1, "first seed")
	f.IntVar(&c.seedCount, "seeds", 1, "number of seeds")
	f.BoolVar(&c.replayFailed, "failed", false, "run the seeds that have failed before instead")
	f.StringVar(&c.gateway, "gateway", "bin/dandelionhilld", "the daemon")
	f.StringVar(&c.production, "production", "", "commit of this repository whose daemon all VMs run at first; they are upgraded during the run")
	f.StringVar(&c.dir, "dir", "", "directory for settings and logs; a temporary directory if empty")
	f.IntVar(&c.options.VMs, "vms", 4, "VMs")
	f.IntVar(&c.options.KeyedUpstreams, "keyed", 6, "upstreams of the keyed service")
	f.IntVar(&c.options.UnkeyedUpstreams, "plain", 2, "upstreams of each of the three unkeyed services")
	f.IntVar(&c.options.CallersPerVM, "callers", 3, "callers of each VM")
	f.DurationVar(&c.options.Pause, "pause", 40*time.Millisecond, "mean pause of a caller between requests")
	f.StringVar(&c.size, "size", "", "grown: 77 VMs and 222 keyed upstreams, with few requests and a longer run")
	f.BoolVar(&c.options.KeyFaults, "key-faults", false, "pause VMs in series, cut failure domains, run upstreams that take calls late")
	f.BoolVar(&c.options.Restores, "restores", false, "restore the store from older copies")
	f.BoolVar(&c.options.Workspaces, "workspaces", false, "callers with keys that are replaced, a quota, large responses and slow readers")
	f.BoolVar(&c.options.Broken, "broken", false, "uploads whose responses upstreams break off")
	f.DurationVar(&c.options.Duration, "length", 20*time.Second, "how long faults are injected")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *runCommand) run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the path of this program")
	}
	switch c.size {
	case "":
	case "grown":
		c.options.Grow()
	default:
		return errors.Errorf("size %q is not known: leave it empty or use grown", c.size)
	}
	c.options.SoakBinary, c.options.GatewayBinary = self, c.gateway
	if c.dir == "" {
		if c.dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return errors.Wrap(err, "make a directory for logs")
		}
	}
	if c.production != "" {
		if c.options.ProductionBinary, err = buildCommit(ctx, c.production, c.dir); err != nil {
			return err
		}
	}
	failedSeeds, seeds := 0, make([]uint64, 0, c.seedCount)
	for i := range c.seedCount {
		seeds = append(seeds, c.firstSeed+uint64(i))
	}
	if c.replayFailed {
		seeds = seeds[:0]
		for _, f := range soak.FailedSeeds {
			seeds = append(seeds, f.Seed)
		}
	}
	for _, seed := range seeds {
		if ctx.Err() != nil {
			break
		}
		c.options.Seed = seed
		c.options.Dir = filepath.Join(c.dir, fmt.Sprint(seed))
		if err := os.MkdirAll(c.options.Dir, 0o700); err != nil {
			return errors.Wrap(err, "make a directory for logs")
		}
		report, err := soak.Run(ctx, c.options)
		if err != nil {
			return err
		}
		if err := report.Print(os.Stdout, seed); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failedSeeds++
			fmt.Println("logs:", c.options.Dir)
		}
	}
	if failedSeeds > 0 {
		return errors.Errorf("%d of %d seeds violated a guarantee", failedSeeds, len(seeds))
	}
	return nil
}

// buildCommit builds the daemon of a commit in a work tree of its own, and returns its path.
func buildCommit(ctx context.Context, commit, dir string) (binary string, err error) {
	tree := filepath.Join(dir, "tree-"+commit)
	binary = filepath.Join(dir, "dandelionhilld-"+commit)
	run := func(dir, name string, args ...string) error {
		cmd := exec.CommandContext(ctx, name, args...)
		cmd.Dir, cmd.Stderr = dir, os.Stderr
		return errors.Wrapf(cmd.Run(), "build the daemon of commit %q: %s", commit, name)
	}
	if err := run("", "git", "worktree", "add", "--detach", tree, commit); err != nil {
		return "", err
	}
	defer func() {
		if removed := run("", "git", "worktree", "remove", "--force", tree); err == nil {
			err = removed
		}
	}()
	return binary, run(tree, "go", "build", "-o", binary, "./server/cmd/dandelionhilld")
}

type upstreamCommand struct {
	options soak.UpstreamOptions
}

func (*upstreamCommand) Name() string     { return "upstream" }
func (*upstreamCommand) Synopsis() string { return "run one upstream (used by run)" }
func (*upstreamCommand) Usage() string    { return "soak upstream -id ID ...\n" }

func (c *upstreamCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.ID, "id", "", "ID of the upstream")
	f.StringVar(&c.options.Service, "service", "", "its service")
	f.StringVar(&c.options.Domain, "domain", "", "its failure domain")
	f.StringVar(&c.options.Listen, "listen", "", "its address")
	f.StringVar(&c.options.Register, "register", "", "the address that it registers")
	f.StringVar(&c.options.Store, "store", "", "address of the store")
	f.DurationVar(&c.options.ServiceTime, "work", 8*time.Millisecond, "how long a request runs")
	f.BoolVar(&c.options.Gated, "gated", false, "requests and new connections wait for slots")
	f.Float64Var(&c.options.SlowClock, "slow-clock", 0, "by which factor its clock runs slow")
	f.DurationVar(&c.options.RegisterAfter, "register-after", 0, "for how long it serves before it registers")
	f.DurationVar(&c.options.RegistrationInterval, "register-every", 500*time.Millisecond, "time between two registrations")
}

func (c *upstreamCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := soak.RunUpstream(c.options, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

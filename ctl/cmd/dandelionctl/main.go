// Command dandelionctl reads and changes the configuration of a deployment.
//
// Exit codes:
//
//	0  success
//	1  failure: the change or the file was refused
//	2  usage: unknown command, flag or option value
//	3  conflict: another operator changed the entity after the base revision
//	4  not yet in force: the change is written but not accepted, or, with
//	   --wait, not in force at the timeout; it may still take effect
//	5  unreachable: no admin address responded, or the store is not available;
//	   the effect of a change is unknown
//	6  not authorized: the token is missing or wrong
//
// A change without --operation-id gets a new one, which is printed before the
// change is sent. The same command with that --operation-id can be repeated
// without a second effect.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/ctl/client"
)

// The exit codes that the package comment describes.
const (
	exitOK           subcommands.ExitStatus = 0
	exitFailure      subcommands.ExitStatus = 1
	exitUsage        subcommands.ExitStatus = 2
	exitConflict     subcommands.ExitStatus = 3
	exitNotInForce   subcommands.ExitStatus = 4
	exitUnreachable  subcommands.ExitStatus = 5
	exitUnauthorized subcommands.ExitStatus = 6
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// addressList is a flag that may be repeated.
type addressList []string

func (l *addressList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *addressList) Set(value string) error {
	*l = append(*l, value)
	return nil
}

// tool holds the global flags and the dependencies of the commands.
type tool struct {
	admin     addressList
	tokenFile string
	ca        string
	cert, key string
	json      bool
	timeout   time.Duration

	out, errOut io.Writer
	newID       func() string
	// sleep replaces the Sleep of the client in tests.
	sleep func(context.Context, time.Duration) error
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	return (&tool{out: out, errOut: errOut, newID: uuid.NewString}).run(ctx, args)
}

func (t *tool) run(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("dandelionctl", flag.ContinueOnError)
	flags.SetOutput(t.errOut)
	flags.Var(&t.admin, "admin", "admin `address` IP:port of an entry VM; repeat it to name others, tried in order when one does not respond")
	flags.StringVar(&t.tokenFile, "token-file", "", "`file` that holds the operator's token")
	flags.StringVar(&t.ca, "ca", "", "`file` with the CA certificates of the admin interface; required for addresses other than loopback")
	flags.StringVar(&t.cert, "cert", "", "`file` with the operator's own certificate, when the server asks for one")
	flags.StringVar(&t.key, "key", "", "`file` with the private key of --cert")
	flags.BoolVar(&t.json, "json", false, "print JSON")
	flags.DurationVar(&t.timeout, "timeout", 30*time.Second, "`time` allowed for the whole command; watch has no limit")
	commander := subcommands.NewCommander(flags, "dandelionctl")
	commander.Output, commander.Error = t.out, t.errOut
	flags.Usage = func() { commander.Explain(t.errOut) }
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	t.registerQueries(commander)
	t.registerChanges(commander)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return int(exitOK)
		}
		return int(exitUsage)
	}
	return int(commander.Execute(ctx))
}

// command is a subcommand with positional arguments.
type command struct {
	name, synopsis, usage string
	args                  int // number of positional arguments
	flags                 func(*flag.FlagSet)
	run                   func(ctx context.Context, args []string) error
	tool                  *tool
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage + ":\n  " + c.synopsis + ".\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.tool.errOut)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command. Flags may also follow the positional
// arguments.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var args []string
	for rest := f.Args(); len(rest) > 0; rest = f.Args() {
		args = append(args, rest[0])
		if f.Parse(rest[1:]) != nil {
			return exitUsage
		}
	}
	if len(args) != c.args {
		f.Usage()
		return exitUsage
	}
	return c.tool.report(c.run(ctx, args))
}

// group is a subcommand with subcommands of its own, such as "domain out".
type group struct {
	name, synopsis string
	commands       []*command
	tool           *tool
}

// Name implements subcommands.Command.
func (g *group) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *group) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *group) Usage() string {
	var b strings.Builder
	for _, c := range g.commands {
		b.WriteString("dandelionctl " + c.usage + "\n  " + c.synopsis + ".\n")
	}
	return b.String()
}

// SetFlags implements subcommands.Command.
func (g *group) SetFlags(f *flag.FlagSet) { f.SetOutput(g.tool.errOut) }

// Execute implements subcommands.Command.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "dandelionctl "+g.name)
	commander.Output, commander.Error = g.tool.out, g.tool.errOut
	f.Usage = func() { _, _ = io.WriteString(g.tool.errOut, g.Usage()) }
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	return commander.Execute(ctx, args...)
}

// errUsage marks an invalid command line.
var errUsage = errors.New("usage")

// errNotInForce means that a change was written and is not yet in the state
// waited for.
var errNotInForce = errors.New("not yet in force")

// report prints an error and returns its exit code.
func (t *tool) report(err error) subcommands.ExitStatus {
	if err == nil {
		return exitOK
	}
	code := exitCode(err)
	var adminErr *admin.Error
	switch {
	case t.json && errors.As(err, &adminErr):
		t.printJSON(t.errOut, adminErr)
	case t.json:
		t.printJSON(t.errOut, map[string]string{"message": err.Error()})
	default:
		_, _ = fmt.Fprintln(t.errOut, "dandelionctl:", err)
	}
	return code
}

func exitCode(err error) subcommands.ExitStatus {
	var adminErr *admin.Error
	switch {
	case errors.Is(err, errUsage), errors.Is(err, client.ErrInvalidOption):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.Is(err, client.ErrUnreachable):
		return exitUnreachable
	case !errors.As(err, &adminErr):
		return exitFailure
	}
	switch adminErr.Kind {
	case admin.Conflict:
		return exitConflict
	case admin.Unauthorized:
		return exitUnauthorized
	case admin.StoreUnavailable, admin.Stopping:
		return exitUnreachable
	default:
		return exitFailure
	}
}

func (t *tool) printJSON(w io.Writer, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

func (t *tool) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.out, format, args...) }

// client returns a client with the options of the global flags.
func (t *tool) client() (*client.Client, error) {
	if t.tokenFile == "" {
		return nil, errors.Wrap(errUsage, "there is no token: give --token-file FILE")
	}
	data, err := os.ReadFile(t.tokenFile)
	if err != nil {
		return nil, errors.Wrapf(errUsage, "cannot read --token-file: %s", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, "\r\n") {
		return nil, errors.Wrapf(errUsage, "%s does not hold one token on one line", t.tokenFile)
	}
	c, err := client.New(client.Options{Addresses: t.admin, Token: token, CAFile: t.ca, CertificateFile: t.cert, KeyFile: t.key})
	if err != nil {
		return nil, err
	}
	if t.sleep != nil {
		c.Sleep = t.sleep
	}
	return c, nil
}

// Package soak runs the real programs as separate processes on one machine and
// disturbs them from outside: with signals, through proxies between them, and
// through the store. It checks what callers and upstreams see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/wait"
)

// Options describes a run.
type Options struct {
	Seed uint64
	// VMs and KeyedUpstreams are numbers of processes; UnkeyedUpstreams is that of each of the services
	// without keys.
	VMs, KeyedUpstreams, UnkeyedUpstreams int
	// Duration is how long the deployment is disturbed.
	Duration time.Duration
	// CallersPerVM send requests with Pause between them.
	CallersPerVM int
	Pause        time.Duration
	// GatewayBinary is the daemon, SoakBinary the program that runs upstreams.
	GatewayBinary, SoakBinary string
	// Dir takes settings and logs.
	Dir string
}

// FailedSeeds are seeds that have shown a fault, with its cause. They are played with
// the default options.
var FailedSeeds = []struct {
	Seed  uint64
	Cause string
}{
	{2, "the check took the start of a VM, before it listens, for a lost request"},
	{102, "the check counted an order that had waited for a paused upstream as a new lease"},
}

// Report is the outcome of a run.
type Report struct {
	// Refused have not run; ConnRefused met a VM that was not there.
	Calls, Answered, Refused, ConnRefused, Failed int
	// Plan is what was done, Violations what broke a promise.
	Plan, Violations []string
}

const (
	// lapse is the age at which the store drops the entry of an upstream.
	lapse = 3 * heartbeat
	// restartAfter is the time from the end of a process to the next one.
	restartAfter = 400 * time.Millisecond
	// checkEvery is the time between checks while a run goes on.
	checkEvery = 2 * time.Second
	// stall is a pause of the soak itself from which answers count as delayed by it.
	stall     = 100 * time.Millisecond
	stallTick = 20 * time.Millisecond
	// startLimit bounds the time until all processes serve.
	startLimit = 20 * time.Second
	// probes is the number of keys that each VM must serve at the end.
	probes = 40
)

// vm is one VM with what lies between it and the others.
type vm struct {
	*process
	callers string // address for requests
	store   *proxy
	peers   *proxy
}

// upstream is one upstream; proxy is nil if VMs reach it directly.
type upstream struct {
	*process
	service, domain string
	proxy           *proxy
}

// deployment is what a run consists of.
type deployment struct {
	Options
	store     *fakes.Store
	storeAddr string
	vms       []*vm
	upstreams []*upstream
	domains   []string
	history   history
	closers   []func()

	mu      sync.Mutex
	version int
	awayAt  map[string][]span // by VM, "" for all
	begun   time.Duration
	stalls  []span
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	d := &deployment{Options: o, store: fakes.NewStore(), domains: []string{"a", "b", "c"}, awayAt: make(map[string][]span)}
	defer d.close()
	if err := d.build(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.lapseEntries(ctx)
	go d.watchStalls(ctx)
	for _, p := range d.processes() {
		if err := p.run(); err != nil {
			return nil, err
		}
		go d.restart(ctx, p)
	}
	if err := d.serving(startLimit); err != nil {
		return nil, err
	}
	report := &Report{}
	d.play(ctx, report)
	cancel()
	report.Violations = append(report.Violations, d.history.check(d.conditions())...)
	d.count(report)
	return report, nil
}

func (d *deployment) processes() (all []*process) {
	for _, u := range d.upstreams {
		all = append(all, u.process)
	}
	for _, v := range d.vms {
		all = append(all, v.process)
	}
	return all
}

func (d *deployment) close() {
	killAll(d.processes())
	for _, c := range d.closers {
		c()
	}
}

// services without keys, between which configurations move plainPath.
var plainServices = []string{"red", "green", "blue"}

// build prepares the store, the proxies and the processes.
func (d *deployment) build() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: requestLimit}
	go func() {
		// It ends with the run.
		_ = server.Serve(listener)
	}()
	d.closers = append(d.closers, func() { server.Close() })
	d.storeAddr = listener.Addr().String()
	d.configure()
	for i := range d.KeyedUpstreams {
		if err := d.addUpstream(fmt.Sprintf("keyed-%d", i), "keyed", i); err != nil {
			return err
		}
	}
	for _, service := range plainServices {
		for i := range d.UnkeyedUpstreams {
			if err := d.addUpstream(fmt.Sprintf("%s-%d", service, i), service, i); err != nil {
				return err
			}
		}
	}
	return d.addVMs()
}

func (d *deployment) addUpstream(id, service string, n int) error {
	listen, err := freeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	u := &upstream{service: service, domain: d.domains[n%len(d.domains)]}
	register := listen
	if n%2 == 0 {
		if u.proxy, err = newProxy("127.0.0.1:0", listen); err != nil {
			return errors.Wrap(err, "listen for a proxy")
		}
		d.closers = append(d.closers, u.proxy.close)
		register = u.proxy.address()
	}
	log, err := logFile(filepath.Join(d.Dir, id+".log"))
	if err != nil {
		return err
	}
	u.process = &process{name: id, log: log, line: d.history.events(id, u.domain), start: func() *exec.Cmd {
		return exec.Command(d.SoakBinary, "upstream", "-id", id, "-service", service, "-domain", u.domain,
			"-listen", listen, "-register", register, "-store", d.storeAddr)
	}}
	d.upstreams = append(d.upstreams, u)
	return nil
}

// addVMs prepares the VMs. Their addresses for each other differ in the IP only, as
// settings with seeds need.
func (d *deployment) addVMs() error {
	port, err := freePort("127.0.0.1")
	if err != nil {
		return err
	}
	behind := func(i int) string { return fmt.Sprintf("127.0.1.%d:%d", i+1, port) }
	reached := func(i int) string { return fmt.Sprintf("127.0.2.%d:%d", i+1, port) }
	for i := range d.VMs {
		v := &vm{}
		name := fmt.Sprintf("vm-%d", i)
		if v.store, err = newProxy("127.0.0.1:0", d.storeAddr); err != nil {
			return errors.Wrap(err, "listen for a proxy")
		}
		if v.peers, err = newProxy(reached(i), behind(i)); err != nil {
			return errors.Wrap(err, "listen for a proxy")
		}
		d.closers = append(d.closers, v.store.close, v.peers.close)
		var addresses [3]string
		for n := range addresses {
			if addresses[n], err = freeAddress("127.0.0.1"); err != nil {
				return err
			}
		}
		v.callers = addresses[0]
		var seeds []string
		for n := range min(d.VMs, 3) {
			seeds = append(seeds, fmt.Sprintf("%q", reached(n)))
		}
		path := filepath.Join(d.Dir, name+".jsonc")
		settings := fmt.Sprintf(`{
  "vm": %q, "failure_domain": %q,
  "listen": {"callers": %q, "health": %q, "peers": %q, "metrics": %q},
  "peers_address": %q, "store": %q, "seeds": [%s], "memory_mb": 200,
  "bounds": {"grace": "6s", "hold": "10s", "repeat_window": "10s", "repeat_ratio": 0.2, "repeat_slack": 60}
}`, name, d.domains[i%len(d.domains)], addresses[0], addresses[1], behind(i), addresses[2], reached(i), v.store.address(), strings.Join(seeds, ", "))
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
		log, err := logFile(filepath.Join(d.Dir, name+".log"))
		if err != nil {
			return err
		}
		v.process = &process{
			name: name, log: log,
			line: func(_ int, line []byte) {
				if _, err := fmt.Fprintf(log, "%s\n", line); err != nil {
					panic(errors.Wrap(err, "write a log"))
				}
			},
			start: func() *exec.Cmd { return exec.Command(d.GatewayBinary, "gateway", "-settings", path) },
		}
		d.vms = append(d.vms, v)
	}
	return nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, errors.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func freeAddress(ip string) (string, error) {
	port, err := freePort(ip)
	return fmt.Sprintf("%s:%d", ip, port), err
}

// restart starts a process again each time it has ended.
func (d *deployment) restart(ctx context.Context, p *process) {
	for {
		p.wait()
		if !wait.For(ctx, restartAfter) || ctx.Err() != nil {
			return
		}
		if err := p.run(); err != nil {
			panic(err) // it could be started before
		}
	}
}

// lapseEntries drops the entries of upstreams that do not register any more, unless
// the store is away.
func (d *deployment) lapseEntries(ctx context.Context) {
	seen, at := make(map[string]int64), make(map[string]time.Time)
	for wait.For(ctx, heartbeat/2) {
		for _, u := range d.upstreams {
			row := d.store.Row(fleet.TableUpstreams, u.name)
			if row.Version != seen[u.name] {
				seen[u.name], at[u.name] = row.Version, time.Now()
			} else if row.Version != 0 && time.Since(at[u.name]) > lapse {
				d.store.Remove(fleet.TableUpstreams, u.name)
			}
		}
	}
}

func (d *deployment) watchStalls(ctx context.Context) {
	for last := monotonic(); wait.For(ctx, stallTick); last = monotonic() {
		if now := monotonic(); now-last > stall {
			d.mu.Lock()
			d.stalls = append(d.stalls, span{From: last, To: now})
			d.mu.Unlock()
		}
	}
}

// configure writes the next configuration: plainPath goes to the next service.
func (d *deployment) configure() {
	d.mu.Lock()
	d.version++
	version, service := d.version, plainServices[d.version%len(plainServices)]
	d.mu.Unlock()
	services := ""
	for _, name := range plainServices {
		services += fmt.Sprintf(`%q:{"HealthPath":"/health","MaxConns":60,"ColdStartS":0,"ColdPerS":50},`, name)
	}
	d.store.Put(fleet.TableOperator, fleet.KeyConfiguration, fmt.Appendf(nil, `{"Version":"r%d","Routes":{
		"k":{"Host":%[2]q,"Prefix":%[3]q,"RouteType":"non_idempotent","TimeoutS":2,"TargetLatencyS":0.5,"Service":"keyed","MaxAttempts":2},
		"p":{"Host":%[2]q,"Prefix":%[4]q,"RouteType":"idempotent","TimeoutS":2,"TargetLatencyS":0.5,"Service":%[5]q,"MaxAttempts":2}},
		"Services":{%[6]s"keyed":{"HealthPath":"/health","MaxConns":60,"ColdStartS":0,"ColdPerS":50,"Sharded":true,"WarmupS":1}},
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`,
		version, soakHost, keyedPath, plainPath, service, services))
	d.history.changed(change{At: monotonic(), Service: service})
}

// evacuate takes a failure domain out or back.
func (d *deployment) evacuate(domain string, out bool) {
	key := fleet.EvacuationKey(api.FailureDomain(domain))
	if out {
		d.store.Put(fleet.TableOperator, key, []byte("{}"))
	} else {
		d.store.Remove(fleet.TableOperator, key)
	}
	d.history.changed(change{At: monotonic(), Domain: domain, Out: out})
}

// away notes that the store is away for a VM, or for all with an empty name.
func (d *deployment) away(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awayAt[vm] = append(d.awayAt[vm], span{From: monotonic()})
}

func (d *deployment) back(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	closeSpan(d.awayAt[vm])
}

// play disturbs the deployment under load, and asks for keys at the end.
func (d *deployment) play(ctx context.Context, report *Report) {
	load, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i, v := range d.vms {
		for n := range d.CallersPerVM {
			c := newCaller(v.name, v.callers, i*d.CallersPerVM+n+1, d.Seed)
			callers.Go(func() { c.run(load, &d.history, d.Pause) })
		}
	}
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		for wait.For(load, checkEvery) && len(d.history.check(d.conditions())) == 0 {
		}
	}()
	begun := time.Now()
	d.mu.Lock()
	d.begun = monotonic()
	d.mu.Unlock()
	var ends sync.WaitGroup
	for _, each := range d.plan(newRand(d.Seed), d.Duration) {
		report.Plan = append(report.Plan, fmt.Sprintf("%6.2f s for %5.2f s: %s", each.At.Seconds(), each.For.Seconds(), each.Name))
		if !wait.For(ctx, each.At-time.Since(begun)) {
			break
		}
		each.begin()
		ends.Go(func() {
			wait.For(ctx, each.For)
			each.end()
		})
	}
	ends.Wait()
	wait.For(ctx, calmEnd)
	report.Violations = append(report.Violations, d.recovered()...)
	stopLoad()
	callers.Wait()
	<-checked
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// serving waits until each VM has served a request for a key and one without.
func (d *deployment) serving(limit time.Duration) error {
	end := time.Now().Add(limit)
	for i, v := range d.vms {
		c := newCaller(v.name, v.callers, 900+i, d.Seed)
		for c.send(1).Status != http.StatusOK || c.send(-1).Status != http.StatusOK {
			if time.Now().After(end) {
				return errors.Errorf("%s does not serve after %v: see its log in %s", v.name, limit, d.Dir)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// recovered asks each VM for keys from the whole range, each at most three times.
func (d *deployment) recovered() (found []string) {
	for i, v := range d.vms {
		c := newCaller(v.name, v.callers, 950+i, d.Seed)
		for n := range probes {
			key, last := n*fleet.KeyCount/probes, call{}
			for range 3 {
				if last = c.send(key); last.Status == http.StatusOK {
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
			if last.Status != http.StatusOK {
				found = append(found, fmt.Sprintf("%s does not serve key %d %v after the last disturbance: %d %s %v", v.name, key, calmEnd, last.Status, last.Body, last.Err))
			}
		}
	}
	return found
}

func (d *deployment) conditions() conditions {
	c := conditions{
		Down: make(map[string][]span), Stopping: make(map[string][]span), Paused: make(map[string][]span),
		Ended: make(map[string][]span), UpstreamPaused: make(map[string][]span), Away: make(map[string][]span),
	}
	copyOf := func(s []span) []span { return append([]span(nil), s...) }
	for _, v := range d.vms {
		v.mu.Lock()
		c.Down[v.name], c.Stopping[v.name], c.Paused[v.name] = copyOf(v.down), copyOf(v.stopping), copyOf(v.paused)
		v.mu.Unlock()
	}
	for _, u := range d.upstreams {
		u.mu.Lock()
		c.Ended[u.name], c.UpstreamPaused[u.name] = copyOf(u.down), copyOf(u.paused)
		u.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.vms {
		c.Away[v.name] = append(copyOf(d.awayAt[""]), d.awayAt[v.name]...)
	}
	c.Stalls, c.Begun = copyOf(d.stalls), d.begun
	return c
}

func (d *deployment) count(report *Report) {
	_, calls, _ := d.history.snapshot()
	for _, c := range calls {
		report.Calls++
		switch {
		case c.Status == http.StatusOK:
			report.Answered++
		case c.Status == http.StatusServiceUnavailable:
			report.Refused++
		case errors.Is(c.Err, syscall.ECONNREFUSED):
			report.ConnRefused++
		default:
			report.Failed++
		}
	}
}

// Summary is one line for a report.
func (r *Report) Summary() string {
	return fmt.Sprintf("%d requests: %d answered, %d refused, %d to absent VMs, %d failed; %d disturbances; %d broken promises",
		r.Calls, r.Answered, r.Refused, r.ConnRefused, r.Failed, len(r.Plan), len(r.Violations))
}

// Print writes the plan, if anything was found, and the findings.
func (r *Report) Print(w io.Writer, seed uint64) error {
	text := fmt.Sprintf("seed %d: %s\n", seed, r.Summary())
	if len(r.Violations) > 0 {
		text += "plan:\n  " + strings.Join(r.Plan, "\n  ") + "\nbroken:\n  " + strings.Join(r.Violations[:min(len(r.Violations), 30)], "\n  ") + "\n"
	}
	_, err := io.WriteString(w, text)
	return errors.Wrap(err, "write the report")
}

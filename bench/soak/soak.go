// Package soak runs the real programs as separate processes on one machine under load
// and injects faults from outside: by signals, by proxies between the processes, and
// in the store. It checks invariants on the history that callers and upstreams record.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/ports"
	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/wait"
)

// Options describes a run.
type Options struct {
	Seed uint64
	// VMs and KeyedUpstreams are numbers of processes; UnkeyedUpstreams is the number for
	// each of the unkeyed services.
	VMs, KeyedUpstreams, UnkeyedUpstreams int
	// Duration is how long faults are injected.
	Duration time.Duration
	// CallersPerVM is the number of callers of each VM; Pause is the mean pause of a
	// caller between requests.
	CallersPerVM int
	Pause        time.Duration
	// KeyFaults adds the faults of planKeyFaults; each third keyed upstream is then gated.
	KeyFaults bool
	// RegistrationInterval is the time between two registrations of an upstream, 0.5 s if it is 0.
	RegistrationInterval time.Duration
	// BoundHistory lets the store drop its history each storeHistory. The store's answer to each
	// VM takes time in proportion to it.
	BoundHistory bool
	// Restores adds restores of the store from older copies.
	Restores bool
	// Workspaces adds workspaces whose keys are replaced during the run, one of them with a quota,
	// and requests with large responses.
	Workspaces bool
	// Broken adds uploads whose responses are broken off.
	Broken bool
	// GatewayBinary is the path of the daemon, SoakBinary that of the program that runs
	// upstreams.
	GatewayBinary, SoakBinary string
	// ProductionBinary, unless it is empty, is the build of the daemon that all VMs run at
	// first. They are replaced by GatewayBinary during the run.
	ProductionBinary string
	// Dir is the directory for settings and logs.
	Dir string
}

// Grow sets the size of the largest deployment in use. Each caller pauses for long, and upstreams
// register less often, so that one machine can run it.
func (o *Options) Grow() {
	o.VMs, o.KeyedUpstreams, o.UnkeyedUpstreams = 77, 222, 1
	o.CallersPerVM, o.Pause, o.RegistrationInterval, o.BoundHistory = 1, time.Second, 4*time.Second, true
}

// FailedSeeds are the seeds that have failed, with the cause. They are run with the
// default options.
var FailedSeeds = []struct {
	Seed  uint64
	Cause string
}{
	{2, "the check reported requests to a VM that had started but did not listen yet as lost"},
	{102, "the check counted a grant call that was queued while the upstream was paused as a new lease"},
}

const (
	// registrationsMissed is after how many intervals without one an upstream's registration is
	// removed from the store.
	registrationsMissed = 3
	// restartDelay is the time from the exit of a process to its restart.
	restartDelay = 400 * time.Millisecond
	// checkInterval is the time between checks during a run.
	checkInterval = 2 * time.Second
	// stallThreshold is the shortest pause of this process that excuses late responses.
	stallThreshold    = 100 * time.Millisecond
	stallPollInterval = 20 * time.Millisecond
	// lateRegistration is for how long some upstreams serve before they register.
	lateRegistration = 500 * time.Millisecond
	// maxSlowClock is by which factor the clock of an upstream may run slow.
	maxSlowClock = 0.02
	// startTimeout bounds the time until all VMs serve requests.
	startTimeout = 20 * time.Second
	// vmsPerProcessor is the number of VMs from which on starts and checks take longer.
	vmsPerProcessor = 10
	// probedVMs is the number of VMs that are probed at the same time at the end.
	probedVMs = 4
	// storeHistory is how long the store keeps its history.
	storeHistory = 20 * time.Second
	// probeKeys is the number of keys that each VM must serve at the end.
	probeKeys = 40
)

// vm is one VM with the proxies to it and to its store.
type vm struct {
	*process
	binary     atomic.Pointer[string] // the daemon of the next start
	callerAddr string                 // where it listens for callers
	storeProxy *proxy
	peerProxy  *proxy
}

// upstream is one upstream process; proxy is nil if VMs connect to it directly.
type upstream struct {
	*process
	service, domain string
	proxy           *proxy
}

// deployment is the system under test, with the history of the run.
type deployment struct {
	Options
	store     *fakes.Store
	storeAddr string
	vms       []*vm
	upstreams []*upstream
	domains   []string
	history   history
	senders   *senders
	longRuns  atomic.Bool // whether callers send requests that run for long
	// workspaces is nil unless Options.Workspaces is set.
	workspaces *workspaces
	closers    []func()

	// operator orders the writes of operators; it guards version and domainsOut.
	operator   sync.Mutex
	version    int
	domainsOut map[string]bool

	mu          sync.Mutex
	storeFaults map[string][]span // by VM, "" for all VMs
	copies      []fakes.StoreCopy // oldest first
	loadStart   time.Duration
	stalls      []span
}

// Run runs one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	d := &deployment{Options: o, store: fakes.NewStore(), domains: []string{"a", "b", "c"}, storeFaults: make(map[string][]span), domainsOut: make(map[string]bool)}
	d.RegistrationInterval = cmp.Or(d.RegistrationInterval, 500*time.Millisecond)
	d.senders = newSenders(d.processIDs)
	if o.Workspaces {
		d.workspaces = &workspaces{}
		for n := range workspaceCount {
			d.workspaces.add(workspaceName(n))
		}
	}
	defer d.close()
	if err := d.build(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.expireRegistrations(ctx)
	go d.recordStalls(ctx)
	go d.senders.run(ctx)
	if o.Restores {
		go d.copyStore(ctx)
	}
	if o.BoundHistory {
		go d.compactStore(ctx)
	}
	for _, p := range d.processes() {
		if err := p.run(); err != nil {
			return nil, err
		}
		go d.restart(ctx, p)
	}
	if err := d.waitServing(startTimeout * time.Duration(1+o.VMs/vmsPerProcessor)); err != nil {
		return nil, err
	}
	report := &Report{}
	d.runPlan(ctx, report)
	cancel()
	report.Violations = append(report.Violations, d.history.check(d.conditions())...)
	d.countOutcomes(report)
	return report, d.writeHistory()
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

// processIDs returns the process IDs of the VMs that run, by name.
func (d *deployment) processIDs() map[string]int {
	ids := make(map[string]int)
	for _, v := range d.vms {
		if v.running() {
			v.mu.Lock()
			ids[v.name] = v.cmd.Process.Pid
			v.mu.Unlock()
		}
	}
	return ids
}

// domainOf returns the failure domain of a VM.
func (d *deployment) domainOf(name string) string {
	for i, v := range d.vms {
		if v.name == name {
			return d.domains[i%len(d.domains)]
		}
	}
	return ""
}

func (d *deployment) close() {
	killAll(d.processes())
	for _, c := range d.closers {
		c()
	}
}

// unkeyedServices are the services between which configurations switch unkeyedPath.
var unkeyedServices = []string{"red", "green", "blue"}

// build prepares the store, the proxies and the processes.
func (d *deployment) build() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: requestTimeout}
	go func() {
		// Returns when close closes the server.
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
	for _, service := range unkeyedServices {
		for i := range d.UnkeyedUpstreams {
			if err := d.addUpstream(fmt.Sprintf("%s-%d", service, i), service, i); err != nil {
				return err
			}
		}
	}
	return d.addVMs()
}

func (d *deployment) addUpstream(id, service string, n int) error {
	listen, err := ports.FreeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	u := &upstream{service: service, domain: d.domains[n%len(d.domains)]}
	register := listen
	if n%2 == 0 || d.KeyFaults {
		if u.proxy, err = newProxy("127.0.0.1:0", listen, d.senders, func(vm string) bool { return d.domainOf(vm) != u.domain }); err != nil {
			return errors.Wrap(err, "listen for a proxy")
		}
		d.closers = append(d.closers, u.proxy.close)
		register = u.proxy.address()
	}
	logFile, err := createLog(filepath.Join(d.Dir, id+".log"))
	if err != nil {
		return err
	}
	senderAt := func(address string) *sender { return d.senders.at(socketAddrs{address, listen}) }
	registerAfter := time.Duration(0)
	if d.KeyFaults && n%3 == 1 {
		registerAfter = lateRegistration
	}
	u.process = &process{name: id, stderr: logFile, handleLine: d.history.lineHandler(id, u.domain, senderAt), newCommand: func() *exec.Cmd {
		return exec.Command(d.SoakBinary, "upstream", "-id", id, "-service", service, "-domain", u.domain,
			"-listen", listen, "-register", register, "-store", d.storeAddr, "-register-every", d.RegistrationInterval.String(), "-register-after", registerAfter.String(),
			"-slow-clock", fmt.Sprint(float64(n%2)*maxSlowClock), fmt.Sprintf("-gated=%t", d.KeyFaults && service == "keyed" && n%3 == 0))
	}}
	d.upstreams = append(d.upstreams, u)
	return nil
}

// addVMs prepares the VMs. Their peer addresses differ in the IP address only, as
// settings with seeds require.
func (d *deployment) addVMs() error {
	// Another run uses its port on these addresses too.
	port, err := ports.Free("127.0.2.1")
	if err != nil {
		return err
	}
	listenAddr := func(i int) string { return fmt.Sprintf("127.0.1.%d:%d", i+1, port) }
	proxyAddr := func(i int) string { return fmt.Sprintf("127.0.2.%d:%d", i+1, port) }
	for i := range d.VMs {
		v := &vm{}
		name := fmt.Sprintf("vm-%d", i)
		if v.storeProxy, err = newProxy("127.0.0.1:0", d.storeAddr, nil, nil); err != nil {
			return errors.Wrap(err, "listen for a proxy")
		}
		if v.peerProxy, err = newProxy(proxyAddr(i), listenAddr(i), nil, nil); err != nil {
			return errors.Wrap(err, "listen for a proxy")
		}
		d.closers = append(d.closers, v.storeProxy.close, v.peerProxy.close)
		var addresses [3]string
		for n := range addresses {
			if addresses[n], err = ports.FreeAddress("127.0.0.1"); err != nil {
				return err
			}
		}
		v.callerAddr = addresses[0]
		var seeds []string
		for n := range min(d.VMs, 3) {
			seeds = append(seeds, fmt.Sprintf("%q", proxyAddr(n)))
		}
		path := filepath.Join(d.Dir, name+".jsonc")
		settings := fmt.Sprintf(`{
  "vm": %q, "failure_domain": %q,
  "listen": {"callers": %q, "health": %q, "peers": %q, "metrics": %q},
  "peers_address": %q, "store": %q, "seeds": [%s], "memory_mb": 200,
  "bounds": {"grace": "6s", "hold": "10s", "repeat_window": "10s", "repeat_ratio": 0.2, "repeat_slack": 60}
}`, name, d.domains[i%len(d.domains)], addresses[0], addresses[1], listenAddr(i), addresses[2], proxyAddr(i), v.storeProxy.address(), strings.Join(seeds, ", "))
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
		logFile, err := createLog(filepath.Join(d.Dir, name+".log"))
		if err != nil {
			return err
		}
		v.process = &process{
			name: name, stderr: logFile,
			handleLine: func(_ int, line []byte) {
				if _, err := fmt.Fprintf(logFile, "%s\n", line); err != nil {
					panic(errors.Wrap(err, "write a log"))
				}
			},
			newCommand: func() *exec.Cmd { return exec.Command(*v.binary.Load(), "gateway", "-settings", path) },
		}
		binary := cmp.Or(d.ProductionBinary, d.GatewayBinary)
		v.binary.Store(&binary)
		d.vms = append(d.vms, v)
	}
	return nil
}

// restart restarts a process each time it exits.
func (d *deployment) restart(ctx context.Context, p *process) {
	for {
		p.wait()
		if !wait.For(ctx, restartDelay) || ctx.Err() != nil {
			return
		}
		if err := p.run(); err != nil {
			panic(err) // the command has started before
		}
	}
}

// expireRegistrations removes the registrations that upstreams have not renewed for
// registrationsMissed intervals.
func (d *deployment) expireRegistrations(ctx context.Context) {
	lastVersion, changedAt := make(map[string]int64), make(map[string]time.Time)
	for wait.For(ctx, d.RegistrationInterval/2) {
		for _, u := range d.upstreams {
			row := d.store.Row(fleet.TableUpstreams, u.name)
			if row.Version != lastVersion[u.name] {
				lastVersion[u.name], changedAt[u.name] = row.Version, time.Now()
			} else if row.Version != 0 && time.Since(changedAt[u.name]) > registrationsMissed*d.RegistrationInterval {
				d.store.Remove(fleet.TableUpstreams, u.name)
			}
		}
	}
}

// compactStore drops the store's history each storeHistory until ctx ends.
func (d *deployment) compactStore(ctx context.Context) {
	for wait.For(ctx, storeHistory) {
		d.store.Compact()
	}
}

func (d *deployment) recordStalls(ctx context.Context) {
	for last := monotonic(); wait.For(ctx, stallPollInterval); last = monotonic() {
		if now := monotonic(); now-last > stallThreshold {
			d.mu.Lock()
			d.stalls = append(d.stalls, span{From: last, To: now})
			d.mu.Unlock()
		}
	}
}

// evacuate takes a failure domain out of service or back in.
func (d *deployment) evacuate(domain string, out bool) {
	d.operator.Lock()
	defer d.operator.Unlock()
	d.domainsOut[domain] = out
	d.history.addChange(change{At: d.putEvacuation(domain, out), Domain: domain, Out: out})
}

// putEvacuation writes whether a failure domain is out and returns when; d.operator is held.
func (d *deployment) putEvacuation(domain string, out bool) time.Duration {
	key := fleet.EvacuationKey(api.FailureDomain(domain))
	if out {
		d.store.Put(fleet.TableOperator, key, []byte("{}"))
	} else {
		d.store.Remove(fleet.TableOperator, key)
	}
	return monotonic()
}

// storeFaultBegins records the start of a store fault for a VM, or for all VMs if the
// name is empty.
func (d *deployment) storeFaultBegins(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeFaults[vm] = append(d.storeFaults[vm], span{From: monotonic()})
}

func (d *deployment) storeFaultEnds(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	closeSpan(d.storeFaults[vm])
}

// runPlan carries out the plan under load, then checks that every VM serves again.
func (d *deployment) runPlan(ctx context.Context, report *Report) {
	load, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i, v := range d.vms {
		for n := range d.CallersPerVM {
			c := newCaller(v.name, v.callerAddr, i*d.CallersPerVM+n+1, d.Seed)
			c.longRuns = d.longRuns.Load
			if d.workspaces != nil {
				c.apiKey = func() string { return d.workspaces.pick(c.rng) }
			}
			c.broken = d.Broken
			callers.Go(func() { c.run(load, &d.history, d.Pause) })
		}
	}
	checkDone := make(chan struct{})
	go func() {
		defer close(checkDone)
		for wait.For(load, checkInterval*time.Duration(1+d.VMs/vmsPerProcessor)) && len(d.history.check(d.conditions())) == 0 {
		}
	}()
	d.longRuns.Store(d.KeyFaults)
	start := time.Now()
	d.mu.Lock()
	d.loadStart = monotonic()
	d.mu.Unlock()
	var reverts sync.WaitGroup
	for _, a := range d.plan(newRand(d.Seed), d.Duration) {
		report.Plan = append(report.Plan, fmt.Sprintf("%6.2f s for %5.2f s: %s", a.At.Seconds(), a.Duration.Seconds(), a.Name))
		if !wait.For(ctx, a.At-time.Since(start)) {
			break
		}
		a.apply()
		reverts.Go(func() {
			wait.For(ctx, a.Duration)
			a.revert()
		})
	}
	reverts.Wait()
	d.longRuns.Store(false)
	wait.For(ctx, faultFreeEnd)
	report.Violations = append(report.Violations, d.checkRecovery()...)
	stopLoad()
	callers.Wait()
	<-checkDone
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// waitServing waits until each VM has served a keyed and an unkeyed request.
func (d *deployment) waitServing(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for i, v := range d.vms {
		c := d.newProbe(v, 900+i)
		for c.send(1).Status != http.StatusOK || c.send(-1).Status != http.StatusOK {
			if time.Now().After(deadline) {
				return errors.Errorf("%s does not serve after %v: see its log in %s", v.name, limit, d.Dir)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// checkRecovery sends each VM requests for keys spread over the whole range, at most
// three for a key.
func (d *deployment) checkRecovery() (found []string) {
	var probes sync.WaitGroup
	unserved, free := make([][]string, len(d.vms)), make(chan struct{}, probedVMs)
	for i, v := range d.vms {
		free <- struct{}{}
		probes.Go(func() {
			unserved[i] = d.probe(v, d.newProbe(v, 950+i))
			<-free
		})
	}
	probes.Wait()
	return slices.Concat(unserved...)
}

// newProbe returns a caller of a workspace without a quota.
func (d *deployment) newProbe(v *vm, n int) *caller {
	c := newCaller(v.name, v.callerAddr, n, d.Seed)
	if d.workspaces != nil {
		c.apiKey = func() string { return d.workspaces.usable(workspaceName(1), monotonic()) }
	}
	return c
}

func (d *deployment) probe(v *vm, c *caller) (found []string) {
	for n := range probeKeys {
		key, last := n*fleet.KeyCount/probeKeys, call{}
		for range 3 {
			if last = c.send(key); last.Status == http.StatusOK {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		if last.Status != http.StatusOK {
			found = append(found, fmt.Sprintf("%s does not serve key %d %v after the last fault: %d %s %v", v.name, key, faultFreeEnd, last.Status, last.Body, last.Err))
		}
	}
	return found
}

func (d *deployment) conditions() conditions {
	c := conditions{
		Down: make(map[string][]span), Stopping: make(map[string][]span), Paused: make(map[string][]span),
		Ended: make(map[string][]span), UpstreamPaused: make(map[string][]span), StoreFaults: make(map[string][]span),
		LinkFaults: make(map[string][]span),
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
		if u.proxy != nil {
			u.proxy.mu.Lock()
			c.LinkFaults[u.name] = append(copyOf(u.proxy.faultSpans), u.proxy.cutSpans...)
			u.proxy.mu.Unlock()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.vms {
		c.StoreFaults[v.name] = append(copyOf(d.storeFaults[""]), d.storeFaults[v.name]...)
	}
	c.Stalls, c.LoadStart = copyOf(d.stalls), d.loadStart
	if d.workspaces != nil {
		c.Keys = d.workspaces.snapshot()
	}
	return c
}

// Package cluster starts a deployment on loopback for the demo, measurements and
// tests: fakes of the platform and the upstreams in this process, and entry VMs in
// this process or as child processes.
package cluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/config/strict"
	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/fakes/objects"
	"dandelionhill.dev/fakes/table"
	"dandelionhill.dev/fakes/upstream"
	"dandelionhill.dev/fakes/vmlist"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/settings"
)

// Token is the operators' credential of a test deployment.
const Token = "test-token"

// tokenSHA256 is the SHA-256 of Token.
const tokenSHA256 = "4c5dc9b7708905f77f5e5d16316b5dfb425e68cb326dcd55a860e90a7707031e"

// Options describes a deployment.
type Options struct {
	// Document is the configuration; the addresses of its upstreams are overwritten.
	Document *config.Document
	// VMs is the number of entry VMs.
	VMs int
	// UpstreamsPerService limits the number of upstreams of each service; 0 keeps all.
	UpstreamsPerService int
	// ServiceTime is the mean service time of the upstreams.
	ServiceTime time.Duration
	// ConfigureUpstream changes the configuration of a fake upstream before it starts.
	ConfigureUpstream func(*upstream.Config)
	// ConfigureVM changes the settings of a VM before it starts.
	ConfigureVM func(*settings.Settings)
	// Recorder records the runs of all upstreams.
	Recorder upstream.Recorder
	// ListLag is the delay with which the VM list shows changes.
	ListLag time.Duration
	// Binary is the path of the daemon; if it is empty, the VMs run in this process.
	Binary string
	// LogDirectory takes a log file for each VM; if it is empty, logs are discarded.
	LogDirectory string
	Seed         uint64
}

// Cluster is a running deployment.
type Cluster struct {
	Document  *config.Document
	Table     *table.Store
	VMList    *vmlist.List
	Objects   *objects.Store
	Upstreams map[api.UpstreamID]*upstream.Server
	VMs       []*VM

	options  Options
	platform []*httptest.Server
	dir      string
}

// Start starts a deployment and writes its first configuration.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "dandelionhill")
	if err != nil {
		return nil, errors.Wrap(err, "make a directory for settings")
	}
	c := &Cluster{
		Table: table.New(), VMList: vmlist.New(o.ListLag), Objects: objects.New(), Upstreams: map[api.UpstreamID]*upstream.Server{},
		options: o, dir: dir,
	}
	if err := c.startUpstreams(); err != nil {
		c.Stop()
		return nil, err
	}
	tableServer := httptest.NewServer(c.Table.Handler())
	listServer := httptest.NewServer(c.VMList.Handler())
	objectServer := httptest.NewServer(c.Objects.Handler())
	c.platform = []*httptest.Server{tableServer, listServer, objectServer}
	if err := c.startVMs(settings.Platform{
		Table:   tableServer.Listener.Addr().String(),
		Objects: objectServer.Listener.Addr().String(),
		VMs:     listServer.Listener.Addr().String(),
	}); err != nil {
		c.Stop()
		return nil, err
	}
	if err := c.initialize(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startUpstreams() error {
	doc := c.options.Document.Clone()
	seed := c.options.Seed
	for i := range doc.Services {
		s := &doc.Services[i]
		if n := c.options.UpstreamsPerService; n > 0 && n < len(s.Upstreams) {
			s.Upstreams = s.Upstreams[:n]
			s.Shards = min(s.Shards, n)
		}
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			seed++
			cfg := upstream.Config{
				ID: u.ID, Slots: s.Slots, MaxConnections: s.Connections, ServiceTime: c.options.ServiceTime,
				QueueLimit: s.Slots, Checks: lease.Checks(s.UpstreamChecks), WarmupRuns: 20,
				ReportLag: 500 * time.Millisecond, Seed: seed, Recorder: c.options.Recorder,
			}
			if c.options.ConfigureUpstream != nil {
				c.options.ConfigureUpstream(&cfg)
			}
			server := upstream.New(cfg)
			if err := server.Start("127.0.0.1:0"); err != nil {
				return err
			}
			c.Upstreams[u.ID] = server
			u.Address = server.Address()
		}
	}
	c.Document = doc
	return nil
}

// startAttempts bounds the attempts to start the VMs of this process on free
// addresses: another program can bind one after it was chosen and before it is used.
const startAttempts = 5

func (c *Cluster) startVMs(services settings.Platform) error {
	var err error
	for range startAttempts {
		if err = c.tryStartVMs(services); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		for _, vm := range c.VMs {
			vm.Kill()
		}
		c.VMs = nil
	}
	return err
}

func (c *Cluster) tryStartVMs(services settings.Platform) error {
	domains := c.Document.FailureDomains
	var peers []settings.Peer
	var callers []string
	addresses, err := freeAddresses(3 * c.options.VMs)
	if err != nil {
		return err
	}
	for i := range c.options.VMs {
		vmAddresses := addresses[3*i:]
		callers = append(callers, vmAddresses[0])
		peers = append(peers, settings.Peer{
			ID:            api.VMID(fmt.Sprintf("vm-%02d", i+1)),
			FailureDomain: domains[i%len(domains)].Name,
			Address:       vmAddresses[1],
			Admin:         vmAddresses[2],
		})
	}
	for i, p := range peers {
		s := settings.Default()
		s.VM, s.FailureDomain = p.ID, p.FailureDomain
		s.Listen = settings.Listen{Callers: callers[i], Peers: p.Address, Admin: p.Admin}
		s.Peers = peers
		s.Platform = services
		s.Operators = []settings.Operator{{Name: "operator", TokenSHA256: tokenSHA256}}
		s.StopTimeout = strict.Duration(10 * time.Second)
		if c.options.ConfigureVM != nil {
			c.options.ConfigureVM(&s)
		}
		vm := &VM{Settings: &s, cluster: c}
		c.VMs = append(c.VMs, vm)
		c.VMList.Set(string(p.ID), platform.VMLive)
		if err := vm.Start(); err != nil {
			return err
		}
	}
	return nil
}

// The VMs listen on ports below the ephemeral range: an outgoing connection could
// take an ephemeral port after it was chosen and before it is used, or while a VM is
// restarted.
const (
	firstPort = 10_000
	lastPort  = 32_000
	// portAttempts bounds the search for free ports.
	portAttempts = 1000
)

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range portAttempts {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue
		}
		defer l.Close()
		if addresses = append(addresses, l.Addr().String()); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, errors.Errorf("%d ports of %d to %d were tried and fewer than %d are free", portAttempts, firstPort, lastPort, n)
}

// initialize writes the first configuration through the first VM and retries until
// ctx is done.
func (c *Cluster) initialize(ctx context.Context) error {
	change := config.Change{OperationID: "init", Kind: config.Init, Document: c.Document}
	for {
		_, err := c.VMs[0].Change(ctx, change)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return errors.WithMessage(err, "write the first configuration")
		}
	}
}

// WaitServing waits until every running VM is in rotation and serves every shard of
// each service. Its error states why not, as of the last attempt.
func (c *Cluster) WaitServing(ctx context.Context) error {
	for _, vm := range c.VMs {
		if !vm.Running() {
			continue
		}
		for _, s := range c.Document.Services {
			for attempts := 1; ; attempts++ {
				why := "it is not in rotation"
				if vm.InRotation() {
					failure := vm.serveAllShards(ctx, s)
					if failure == nil {
						break
					}
					why = failure.Error()
				}
				select {
				case <-time.After(50 * time.Millisecond):
				case <-ctx.Done():
					return errors.Errorf("VM %s does not serve %s after %d attempts: %s", vm.Settings.VM, s.Name, attempts, why)
				}
			}
		}
	}
	return nil
}

// probeKeys is the number of keys requested so that every shard of a service gets one.
const probeKeys = 64

// probeTimeout is the time that a probe gives a VM.
const probeTimeout = 15 * time.Second

// maxConcurrentProbes bounds the concurrent probes of one VM.
const maxConcurrentProbes = 16

// serveAllShards returns why a probe of a service has failed, nil if none has.
func (vm *VM) serveAllShards(ctx context.Context, s config.Service) error {
	var first atomic.Pointer[error]
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for i := range probeKeys {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if first.Load() != nil {
				return
			}
			if err := vm.probe(ctx, s, i); err != nil && ctx.Err() == nil {
				first.CompareAndSwap(nil, &err)
			}
		})
	}
	group.Wait()
	if failure := first.Load(); failure != nil {
		return *failure
	}
	return errors.Wrap(ctx.Err(), "the time is over")
}

func (vm *VM) probe(ctx context.Context, s config.Service, i int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, vm.URL(s.Name, fmt.Sprintf("/probe/%d", i)), nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	// A probe shows whether a VM serves, not how fast: on a busy machine it takes longer than the default
	// time of a request.
	req.Header.Set(api.HeaderTimeout, strconv.FormatInt(probeTimeout.Milliseconds(), 10))
	if s.Keyed { // an unkeyed service may run hedged copies, which have no owner
		req.Header.Set(api.HeaderKey, fmt.Sprintf("probe-%d", i))
	}
	resp, err := vm.cluster.client().Do(req)
	if err != nil {
		return errors.Wrapf(err, "probe %d", i)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxProbeError))
	return errors.Errorf("probe %d: status %d, outcome %q: %s", i, resp.StatusCode, resp.Header.Get(api.HeaderOutcome), body)
}

// maxProbeError bounds the part of a response that an error of a probe states.
const maxProbeError = 200

// Entries returns the URLs of the VMs in rotation.
func (c *Cluster) Entries() []string {
	var out []string
	for _, vm := range c.VMs {
		if vm.InRotation() {
			out = append(out, "http://"+vm.Settings.Listen.Callers)
		}
	}
	return out
}

func (c *Cluster) client() *http.Client { return http.DefaultClient }

// Stop kills the VMs, stops the fakes and removes the settings files.
func (c *Cluster) Stop() {
	for _, vm := range c.VMs {
		vm.Kill()
	}
	for _, s := range c.platform {
		s.CloseClientConnections()
		s.Close()
	}
	for _, u := range c.Upstreams {
		u.Stop()
	}
	os.RemoveAll(c.dir)
}

// discard is the logger of VMs without a log file.
var discard = zerolog.Nop()

// Package cluster starts a deployment on loopback for the demo, measurements and
// tests: stand-ins of the platform and the upstreams in this process, and entry
// VMs in this process or as processes of their own.
package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
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
	// Document is the configuration; the addresses of its upstreams are replaced.
	Document *config.Document
	// VMs is the number of entry VMs.
	VMs int
	// UpstreamsPerService cuts the list of upstreams of each service; 0 keeps all.
	UpstreamsPerService int
	// ServiceTime is the mean service time of the upstreams.
	ServiceTime time.Duration
	// ConfigureUpstream changes the description of a stand-in before it starts.
	ConfigureUpstream func(*upstream.Config)
	// Recorder is told of the runs of all upstreams.
	Recorder upstream.Recorder
	// ListLag is the lag of the VM list.
	ListLag time.Duration
	// Binary is the daemon's program; with an empty one the VMs run in this process.
	Binary string
	// LogDirectory gets a log file for each VM; empty discards the logs.
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
				ID: u.ID, Slots: s.Slots, Connections: s.Connections, ServiceTime: c.options.ServiceTime,
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
// addresses: another program can take one between its choice and its use.
const startAttempts = 5

func (c *Cluster) startVMs(services settings.Platform) error {
	var err error
	for range startAttempts {
		if err = c.tryVMs(services); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		for _, vm := range c.VMs {
			vm.Kill()
		}
		c.VMs = nil
	}
	return err
}

func (c *Cluster) tryVMs(services settings.Platform) error {
	domains := c.Document.FailureDomains
	var peers []settings.Peer
	var callers []string
	addresses, err := freeAddresses(3 * c.options.VMs)
	if err != nil {
		return err
	}
	for i := range c.options.VMs {
		own := addresses[3*i:]
		callers = append(callers, own[0])
		peers = append(peers, settings.Peer{
			ID:            api.VMID(fmt.Sprintf("vm-%02d", i+1)),
			FailureDomain: domains[i%len(domains)].Name,
			Address:       own[1],
			Admin:         own[2],
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
		vm := &VM{Settings: &s, cluster: c}
		c.VMs = append(c.VMs, vm)
		c.VMList.Set(string(p.ID), platform.VMLive)
		if err := vm.Start(); err != nil {
			return err
		}
	}
	return nil
}

// The VMs listen on ports below those that the system gives to outgoing
// connections, which could take a port between its choice and its use, and while
// a VM is restarted.
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

// initialize writes the first configuration through the first VM.
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

// WaitServing waits until every shard has a holder and every running VM is ready, by
// asking each service through each VM, and until the balancer uses those VMs.
func (c *Cluster) WaitServing(ctx context.Context) error {
	for _, vm := range c.VMs {
		if !vm.Running() {
			continue
		}
		for _, s := range c.Document.Services {
			for !vm.InRotation() || !vm.servesAll(ctx, s) {
				select {
				case <-time.After(50 * time.Millisecond):
				case <-ctx.Done():
					return errors.Errorf("VM %s does not serve %s", vm.Settings.VM, s.Name)
				}
			}
		}
	}
	return nil
}

// probeKeys is the number of keys asked for to reach every shard of a service.
const probeKeys = 64

// probesAtOnce bounds the probes in progress at one VM.
const probesAtOnce = 16

func (vm *VM) servesAll(ctx context.Context, s config.Service) bool {
	var failed atomic.Bool
	var group sync.WaitGroup
	places := make(chan struct{}, probesAtOnce)
	for i := range probeKeys {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			if !failed.Load() && !vm.serves(ctx, s, i) {
				failed.Store(true)
			}
		})
	}
	group.Wait()
	return !failed.Load()
}

func (vm *VM) serves(ctx context.Context, s config.Service, i int) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, vm.URL(s.Name, fmt.Sprintf("/probe/%d", i)), nil)
	if err != nil {
		return false
	}
	if s.Keyed { // an unkeyed service may run hedged copies, which have no owner
		req.Header.Set(api.HeaderKey, fmt.Sprintf("probe-%d", i))
	}
	resp, err := vm.cluster.client().Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Entries lists the VMs that the platform's balancer uses.
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

// Stop ends everything at once and removes the settings files.
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

// discard is the log of VMs without a log file.
var discard = zerolog.Nop()

package untrusted

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/bench/cluster"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/server/settings"
)

const (
	// daemonMemoryMB is the memory of a VM of the deployment with the project's own fakes. The idle
	// process uses less than half of it.
	daemonMemoryMB = 72
	daemonService  = "kiszallitas"
	daemonPath     = "/" + daemonService + "/a"
)

var daemonTargets = []target{
	{"route", func(v *vm) string { return v.callers }, daemonPath},
	{"path without a service", func(v *vm) string { return v.callers }, "/"},
	{"readiness path", func(v *vm) string { return v.health }, admin.PathReady},
	{"other VMs", func(v *vm) string { return v.peers }, "/"},
}

// TestFloodsOfDaemon guards against the same at the daemon of the deployment with the project's own
// fakes: a process lives through all floods at one of its listeners.
func TestFloodsOfDaemon(t *testing.T) {
	for _, at := range daemonTargets {
		t.Run(at.name, func(t *testing.T) {
			v := startDaemon(t)
			for _, f := range floods {
				if f.targets[0].path == largePath {
					continue // the fake upstreams have no large responses
				}
				t.Run(f.name, func(t *testing.T) { f.check(t, v, at, daemonMemoryMB) })
			}
		})
	}
}

// startDaemon starts one VM of an example deployment.
func startDaemon(t *testing.T) *vm {
	t.Helper()
	return startDaemons(t, 1, func(*cluster.Options) {})
}

// startDaemons starts VMs of an example deployment and returns the first.
func startDaemons(t *testing.T, vms int, change func(*cluster.Options)) *vm {
	t.Helper()
	path, err := binary()
	require.NoError(t, err)
	limited := filepath.Join(t.TempDir(), "limited")
	require.NoError(t, os.WriteFile(limited, fmt.Appendf(nil, "#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", descriptorLimit, path), 0o700))
	example := "../../examples/elozokozosseg/configuration.json"
	data, err := os.ReadFile(example)
	require.NoError(t, err)
	doc, err := config.Parse(example, data)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 2*startTimeout)
	t.Cleanup(cancel)
	options := cluster.Options{
		Document: doc, VMs: vms, UpstreamsPerService: 1, ServiceTime: time.Millisecond, Binary: limited, Seed: 1,
		ConfigureVM: func(s *settings.Settings) { s.MemoryMB = daemonMemoryMB },
	}
	change(&options)
	c, err := cluster.Start(ctx, options)
	require.NoError(t, err)
	t.Cleanup(c.Stop)
	require.NoError(t, c.WaitServing(ctx))
	s := c.VMs[0].Settings
	v := &vm{pid: c.VMs[0].PID(), callers: s.Listen.Callers, health: s.Listen.Admin, peers: s.Listen.Peers}
	v.checks = map[string]func() error{
		"ordinary request": func() error {
			return request(http.MethodPut, "http://"+v.callers+daemonPath, "b", api.HeaderKey, "k", api.HeaderIdempotent, "true")
		},
		"readiness": func() error { return request(http.MethodGet, "http://"+v.health+admin.PathReady, "") },
		"metrics":   func() error { return request(http.MethodGet, "http://"+v.health+"/metrics", "") },
	}
	for name, check := range v.checks {
		require.NoError(t, check(), name)
	}
	v.startSampling(t)
	return v
}

package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortSeeds are the seeds of TestSoak: one that covers all kinds of actions, and each
// that has found a fault, with its cause.
var shortSeeds = []uint64{1}

// TestSoak guards against violations of the guarantees to callers and upstreams under
// injected faults, with few processes and for a short time.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "dandelionhill.dev/server/cmd/dandelionhilld", "dandelionhill.dev/bench/cmd/soak")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	seeds := make([]Options, 0, len(shortSeeds)+1)
	for _, seed := range shortSeeds {
		seeds = append(seeds, Options{Seed: seed})
	}
	for _, o := range append(seeds, Options{Seed: 1, Restores: true}, Options{Seed: 2, Workspaces: true}, Options{Seed: 3, Broken: true}) {
		report, err := Run(context.Background(), Options{
			Restores: o.Restores, Workspaces: o.Workspaces, Broken: o.Broken, Seed: o.Seed, VMs: 3, KeyedUpstreams: 4, UnkeyedUpstreams: 1, Duration: 8 * time.Second, CallersPerVM: 2, Pause: 40 * time.Millisecond,
			GatewayBinary: filepath.Join(bin, "dandelionhilld"), SoakBinary: filepath.Join(bin, "soak"), Dir: t.TempDir(),
		})
		require.NoError(t, err)
		require.NoError(t, report.Print(os.Stdout, o.Seed))
		require.Empty(t, report.Violations)
		require.Greater(t, report.Answered, report.Calls/2)
	}
}

package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/bench/cluster"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/server/control"
)

// TestRunningSystem guards against a tool and a daemon that disagree about the
// admin interface: it runs the operators' commands against a running deployment.
func TestRunningSystem(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	data, err := os.ReadFile(example)
	require.NoError(t, err)
	doc, err := config.Parse(example, data)
	require.NoError(t, err)
	c, err := cluster.Start(ctx, cluster.Options{Document: doc, VMs: 3, UpstreamsPerService: 6, ServiceTime: time.Millisecond, Seed: 1})
	require.NoError(t, err)
	defer c.Stop()
	require.NoError(t, c.WaitServing(ctx))

	tokens := t.TempDir()
	good, bad := filepath.Join(tokens, "good"), filepath.Join(tokens, "bad")
	require.NoError(t, os.WriteFile(good, []byte(cluster.Token), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte("wrong"), 0o600))
	tool := func(token string, args ...string) (int, string) {
		var out, errOut bytes.Buffer
		full := append([]string{"--admin", c.VMs[0].Settings.Listen.Admin, "--admin", c.VMs[1].Settings.Listen.Admin, "--token-file", token}, args...)
		code := run(ctx, full, &out, &errOut)
		return code, out.String() + errOut.String()
	}
	revision := func() uint64 {
		doc, err := c.VMs[0].Config(ctx)
		require.NoError(t, err)
		return doc.Revision
	}
	ok := func(args ...string) string {
		code, out := tool(good, args...)
		require.Equal(t, 0, code, "%v: %s", args, out)
		return out
	}

	require.Contains(t, ok("status"), "trayhouse/0")
	require.Contains(t, ok("explain", "trayhouse", "tray-7"), "owns the range")
	ok("preset", "use", "--wait", "peak")
	require.Contains(t, ok("status"), "preset peak")
	ok("domain", "out", "--wait", "sealdah")
	require.Contains(t, ok("status"), "out")
	ok("domain", "in", "--wait", "sealdah")
	ok("vm", "out", "--wait", "vm-03")
	ok("vm", "in", "--wait", "vm-03")
	ok("upstream", "drain", "--wait", "trayhouse-01")
	ok("upstream", "undrain", "--wait", "trayhouse-01")
	ok("domain", "put", "--wait", "kolkata")

	before := revision()
	ok("domain", "out", "--dry-run", "howrah")
	code, out := tool(bad, "domain", "out", "howrah")
	require.Equal(t, 6, code, out)
	code, out = tool(good, "domain", "out", "nowhere")
	require.Equal(t, 1, code, out)
	require.Equal(t, before, revision(), "a dry run, a wrong credential and a refused change alter nothing")

	ok("domain", "out", "--operation-id", "op-1", "--wait", "howrah")
	after := revision()
	ok("domain", "out", "--operation-id", "op-1", "--wait", "howrah")
	require.Equal(t, after, revision(), "a repeat has no second effect")
	require.Eventually(t, func() bool {
		data, err := c.Objects.Read(ctx, control.ArchiveName(after))
		if err != nil {
			return false
		}
		archived, err := config.Decode(data)
		return err == nil && archived.Revision == after
	}, time.Minute, 10*time.Millisecond, "each revision is archived")
	code, out = tool(good, "domain", "in", "--base-revision", "1", "howrah")
	require.Equal(t, 3, code, out)
}

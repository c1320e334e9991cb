package cluster

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/bench/history"
	"dandelionhill.dev/bench/load"
)

var hotGauge = regexp.MustCompile(`(?m)^dandelionhill_hot_keys\{service="foglalas",shard="[^"]+"\} [1-9]`)

// hasHotKey reports whether the VM holds a shard with a hot key.
func (vm *VM) hasHotKey(ctx context.Context, t *testing.T) bool {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Settings.Listen.Admin+"/metrics", nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return hotGauge.Match(data)
}

// waitHotKeyHolder waits until a VM holds a shard with a hot key and returns the VM.
func (c *Cluster) waitHotKeyHolder(ctx context.Context, t *testing.T) *VM {
	t.Helper()
	for {
		for _, vm := range c.VMs {
			if vm.Running() && vm.hasHotKey(ctx, t) {
				return vm
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			require.Fail(t, "no VM holds a hot key")
		}
	}
}

// TestHotKeyThroughTakeover guards against two owners of a key, duplicate runs and
// false refusals when a hot key is split off into a range of its own under a Zipf
// load, and when the holder that split it is killed.
func TestHotKeyThroughTakeover(t *testing.T) {
	var log history.RunLog
	c, ctx := start(t, Options{
		Document: exampleDocument(t, "elozokozosseg"), VMs: 4, UpstreamsPerService: 6,
		ServiceTime: 4 * time.Millisecond, Recorder: &log, Seed: 1,
	})
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	done := make(chan *load.Report, 1)
	go func() {
		done <- load.Run(loadCtx, load.Options{
			Entries: c.Entries, Targets: []load.Target{{Service: "foglalas", Keyed: true, IdempotentShare: 0.3}},
			Keys: 2000, Zipf: 1.5, Rate: 300, Workers: 100, Timeout: time.Second, MaxRetries: 3, Seed: 1,
		})
	}()
	first := c.waitHotKeyHolder(ctx, t)
	first.Kill()
	second := c.waitHotKeyHolder(ctx, t)
	require.NotEqual(t, first.Settings.VM, second.Settings.VM)
	stopLoad()
	report := <-done
	for log.InProgress() > 0 {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			require.Fail(t, "runs do not end")
		}
	}
	runs := log.Runs()
	require.Greater(t, len(runs), 100)
	require.Empty(t, history.Overlaps(runs))
	require.Equal(t, porcupine.Ok, history.CheckOwnership(runs))
	require.Empty(t, history.Duplicates(runs))
	require.Empty(t, history.FalseNotRun(report.Results, runs))
	require.Empty(t, history.MismatchedResponses(report.Results))
}

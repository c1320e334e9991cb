package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/server/settings"
)

// testTimeout bounds the waits for states that must be reached; it is no performance bound.
const testTimeout = 2 * time.Minute

func exampleDocument(t *testing.T, name string) *config.Document {
	t.Helper()
	path := "../../examples/" + name + "/configuration.json"
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	doc, err := config.Parse(path, data)
	require.NoError(t, err)
	return doc
}

func start(t *testing.T, o Options) (*Cluster, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	if dir := os.Getenv("DANDELIONHILL_LOGS"); dir != "" {
		o.LogDirectory = dir
	}
	c, err := Start(ctx, o)
	require.NoError(t, err)
	t.Cleanup(c.Stop)
	require.NoError(t, c.WaitServing(ctx))
	return c, ctx
}

func post(ctx context.Context, t *testing.T, url, key, id, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(api.HeaderKey, key)
	req.Header.Set(api.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(data)
}

// TestRequestThroughEveryVM guards against requests that do not reach the owner of
// their key through every VM, and against a retry that runs a second time.
func TestRequestThroughEveryVM(t *testing.T) {
	c, ctx := start(t, Options{
		Document: exampleDocument(t, "elozokozosseg"), VMs: 4, UpstreamsPerService: 8,
		ServiceTime: 2 * time.Millisecond, Seed: 1,
	})
	id := uuid.Must(uuid.NewV7()).String()
	resp, first := post(ctx, t, c.VMs[0].URL("foglalas", "/slots/7"), "key-7", id, "reserve")
	require.Equal(t, http.StatusOK, resp.StatusCode, first)
	require.Equal(t, string(api.Answered), resp.Header.Get(api.HeaderOutcome))
	require.Contains(t, first, "key=key-7 id="+id+" body=reserve")
	for _, vm := range c.VMs {
		resp, retried := post(ctx, t, vm.URL("foglalas", "/slots/7"), "key-7", id, "reserve")
		require.Equal(t, http.StatusOK, resp.StatusCode, retried)
		require.Equal(t, first, retried, "a retry gets the recorded response")
	}
	resp, body := post(ctx, t, c.VMs[1].URL("kiszallitas", "/bills"), "", uuid.Must(uuid.NewV7()).String(), "bill")
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
}

func jsonBody(t *testing.T, value any) io.Reader {
	t.Helper()
	data, err := json.Marshal(value)
	require.NoError(t, err)
	return bytes.NewReader(data)
}

// TestStopAfterFailedStart guards against a panic when a deployment is stopped after a VM
// failed to start because its address was in use.
func TestStopAfterFailedStart(t *testing.T) {
	c := &Cluster{}
	addresses, err := freeAddresses(3)
	require.NoError(t, err)
	l, err := net.Listen("tcp", addresses[0])
	require.NoError(t, err)
	defer l.Close()
	s := settings.Default()
	s.Listen = settings.Listen{Callers: addresses[0], Peers: addresses[1], Admin: addresses[2]}
	c.VMs = []*VM{{Settings: &s, cluster: c}}
	require.ErrorIs(t, c.VMs[0].Start(), syscall.EADDRINUSE, "startVMs retries after this error")
	require.False(t, c.VMs[0].Running())
	c.Stop()
}

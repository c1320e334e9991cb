package cluster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestRefusals guards against invalid requests that get no typed refusal or reach an
// upstream.
func TestRefusals(t *testing.T) {
	c, ctx := start(t, Options{Document: exampleDocument(t, "hooghly"), VMs: 3, UpstreamsPerService: 4, ServiceTime: time.Millisecond, Seed: 1})
	service, _ := c.Document.Service("trayhouse")
	id := func() string { return uuid.Must(uuid.NewV7()).String() }
	future := uuid.Must(uuid.NewV7())
	future[0]++ // about 35 years later
	runs := func() (n uint64) {
		for _, u := range c.Upstreams {
			n += u.Stats().Runs
		}
		return n
	}
	before := runs()
	for name, tc := range map[string]struct {
		url, key, id, body string
		kind               api.Kind
		status             int
	}{
		"unknown service": {c.VMs[0].URL("nowhere", "/x"), "k", id(), "", api.UnknownService, http.StatusNotFound},
		"no key":          {c.VMs[0].URL("trayhouse", "/x"), "", id(), "", api.BadRequest, http.StatusBadRequest},
		"no request ID":   {c.VMs[0].URL("trayhouse", "/x"), "k", "", "", api.BadRequest, http.StatusBadRequest},
		"UUID version 4":  {c.VMs[0].URL("trayhouse", "/x"), "k", uuid.NewString(), "", api.InvalidID, http.StatusBadRequest},
		"future ID":       {c.VMs[0].URL("trayhouse", "/x"), "k", future.String(), "", api.InvalidID, http.StatusBadRequest},
		"oversized":       {c.VMs[0].URL("trayhouse", "/x"), "k", id(), strings.Repeat("x", service.MaxBody+1), api.TooLarge, http.StatusRequestEntityTooLarge},
		"reserved path":   {c.VMs[0].URL("trayhouse", "/-/upstream/drain"), "k", id(), "", api.BadRequest, http.StatusBadRequest},
	} {
		resp, body := post(ctx, t, tc.url, tc.key, tc.id, tc.body)
		require.Equal(t, tc.status, resp.StatusCode, "%s: %s", name, body)
		require.Equal(t, string(tc.kind), resp.Header.Get(api.HeaderRefusal), name)
		require.Equal(t, string(api.NotRun), resp.Header.Get(api.HeaderOutcome), name)
		var refusal api.Refusal
		require.NoError(t, json.Unmarshal([]byte(body), &refusal), name)
		require.NotEmpty(t, refusal.Remedy, name)
	}
	require.Equal(t, api.BadRequest, sendTruncated(t, c.VMs[0].Settings.Listen.Callers, id()))
	require.Equal(t, before, runs(), "no refused request ran")
}

// sendTruncated sends half of a body, half-closes the connection and returns the refusal.
func sendTruncated(t *testing.T, address, id string) api.Kind {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /trayhouse/x HTTP/1.1\r\nHost: x\r\n%s: k\r\n%s: %s\r\nContent-Length: 100\r\n\r\nhalf",
		api.HeaderKey, api.HeaderRequestID, id)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	return api.Kind(resp.Header.Get(api.HeaderRefusal))
}

package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/delivery"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/platform/httpconn/httpconntest"
)

// uploadBytes exceeds what the kernel holds for a connection whose upstream does not read, and is
// within the limit of the configuration.
const uploadBytes = 800_000

// brokenHead returns the start of the head of a success that an upstream gives to a request.
func brokenHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n", fleet.HeaderRequestID, r.Header.Get(fleet.HeaderRequestID), fleet.HeaderSignature)
}

// hijack takes the connection of a request from its server.
func hijack(t *testing.T, w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
	}
	return conn
}

// upload sends a request with a large body through a VM.
func (d *deployment) upload(g *Gateway, id, path string, key int) *http.Response {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.settings.Listen.Callers+path, bytes.NewReader(make([]byte, uploadBytes)))
	require.NoError(d.t, err)
	req.Host = testHost
	req.Header.Set(fleet.HeaderRequestID, id)
	req.Header.Set(fleet.HeaderDeadlineMs, "15000")
	if key >= 0 {
		req.Header.Set(fleet.HeaderKey, fmt.Sprint(key))
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// lines returns the lines of the log that have all of the given parts.
func (l *testLog) lines(out *bytes.Buffer, parts ...string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
lines:
	for _, line := range strings.Split(out.String(), "\n") {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue lines
			}
		}
		found = append(found, line)
	}
	return found
}

// TestBrokenResponse guards against a response that an upstream has broken off, or whose head is
// malformed, and that reaches a caller as a success, through one VM or through two, or that
// operators cannot find afterwards.
func TestBrokenResponse(t *testing.T) {
	network := &httpconntest.Network{HoldWrite: true}
	d := &cutDeployment{deployment: newDeployment(t), networks: []*upstreamNetwork{{}}}
	var log bytes.Buffer
	d.log.out = io.MultiWriter(d.log.out, &log)
	d.allowSlowRequests()
	fake := d.addUpstream("k1", "keyed")
	d.startVMOn("vm-a", d.storeAddr, d.networks[0])
	direct := d.startVMWith("vm-b", d.storeAddr, func(g *Gateway) { g.control.dialUpstream = network.Dial })
	for _, g := range d.vms {
		d.requireServed(g, keyedPath, 7)
	}
	d.eventually(func() bool { return len(d.vms[max(d.granter(), 0)].links.knownPeers()) == 2 }, "the VMs know each other")
	isolated := d.isolate(0)

	for name, c := range map[string]struct {
		respond func(conn net.Conn, r *http.Request) error
		reason  string
	}{
		"reset during the upload": {func(conn net.Conn, r *http.Request) error {
			return network.Respond(conn, []byte(brokenHead(r)+"\r\npart"))
		}, connectionBroken},
		"status 000": {func(conn net.Conn, r *http.Request) error {
			_, err := io.WriteString(conn, strings.Replace(brokenHead(r), "200", "000", 1)+"Content-Length: 3\r\n\r\nbad")
			return err
		}, "invalid"},
		"status 000, a body that is a response": {func(conn net.Conn, r *http.Request) error {
			_, err := io.WriteString(conn, strings.Replace(brokenHead(r), "200", "000", 1)+"\r\n"+brokenHead(r)+"Content-Length: 3\r\n\r\nbad")
			return err
		}, "invalid"},
		"a blank in the name of a field": {func(conn net.Conn, r *http.Request) error {
			_, err := io.WriteString(conn, brokenHead(r)+"X Bad: v\r\nContent-Length: 3\r\n\r\nbad")
			return err
		}, "invalid"},
		"a blank after Content-Length": {func(conn net.Conn, r *http.Request) error {
			_, err := io.WriteString(conn, brokenHead(r)+"Content-Length : 3\r\n\r\nbadbytes")
			return err
		}, "invalid"},
		"a control byte in the name of a field": {func(conn net.Conn, r *http.Request) error {
			_, err := io.WriteString(conn, brokenHead(r)+"X\x01Bad: v\r\nContent-Length: 3\r\n\r\nbad")
			return err
		}, "invalid"},
	} {
		for through, g := range map[string]*Gateway{"one VM": direct, "two VMs": isolated} {
			t.Run(name+", "+through, func(t *testing.T) {
				fake.SetEarlyHandler(func(w http.ResponseWriter, r *http.Request) bool {
					conn := hijack(t, w)
					defer conn.Close()
					if err := c.respond(conn, r); err != nil {
						t.Error(err)
					}
					return true
				})
				counter := direct.metrics.failedSends.WithLabelValues("keyed", c.reason)
				before := testutil.ToFloat64(counter)
				d.requests++
				id := fmt.Sprint("broken-", d.requests)
				// Other content than before: the same would be quarantined.
				resp := d.upload(g, id, keyedPath+id, 7)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%q", body)
				require.Contains(t, string(body), `"outcome":"unknown"`)
				require.NotContains(t, resp.Header, fleet.HeaderSignature)
				require.InDelta(t, 1, testutil.ToFloat64(counter)-before, 0)
				require.Len(t, d.log.lines(&log, `"event":"send_failed"`, id, `"reason":"`+c.reason+`"`), 1)
				require.Len(t, d.log.lines(&log, `"event":"request_not_answered"`, id, `"reason":"answer_lost"`, `"error":`), 1)
			})
		}
	}
}

// TestDownloadResetDuringUpload guards against a large response that looks complete although its
// upstream reset the connection while the request was being written.
func TestDownloadResetDuringUpload(t *testing.T) {
	network := &httpconntest.Network{HoldWrite: true}
	d, g := withDownloads(t, func(g *Gateway) { g.control.dialUpstream = network.Dial })
	part := largeBody(300_000)
	d.upstreams["p1"].SetEarlyHandler(func(w http.ResponseWriter, r *http.Request) bool {
		if err := network.Respond(hijack(t, w), append([]byte(brokenHead(r)+"\r\n"), part...)); err != nil {
			t.Error(err)
		}
		return true
	})
	resp := d.upload(g, "upload", downloadPath, -1)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	got, err := io.ReadAll(resp.Body)
	require.Error(t, err, "the response looks complete")
	require.True(t, bytes.HasPrefix(part, got))
	d.eventually(func() bool { return ended(g, delivery.UpstreamBroke) == 1 }, "the break is counted")
	require.InDelta(t, 1, testutil.ToFloat64(g.metrics.failedSends.WithLabelValues("plain", "broken_off")), 0)
}

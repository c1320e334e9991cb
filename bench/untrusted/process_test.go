package untrusted

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/bench/ports"
	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/gateway"
)

const (
	// memoryMB is the memory of the VM in the settings: the memory limit of the process. The idle
	// process uses less than half of it.
	memoryMB = 48
	// descriptorLimit is the limit of the process on open files. A flood may use descriptorBound
	// of them, so that connections to upstreams, the store and other VMs can still be opened.
	descriptorLimit = 256
	descriptorBound = descriptorLimit * 3 / 4
	// maxBodyBytes and maxHeaderBytes are the limits of the configuration.
	maxBodyBytes   = 1_000_000
	maxHeaderBytes = 16384
	// routeTimeout is the timeout of the routes in seconds. It is longer than any test waits:
	// what a flood holds must not become free by the timeout of its requests.
	routeTimeout = 120
	host         = "shop.example"
	routePath    = "/plain/"
	// largePath is a path of the route whose response has largeBytes.
	largePath  = routePath + "large"
	largeBytes = 256 << 10
	// largerPath is one whose response has largerBytes, without a stated size.
	largerPath  = routePath + "larger"
	largerBytes = 3 << 20
	// sampleInterval is the time between two samples of the memory of the process.
	sampleInterval = 20 * time.Millisecond
	// startTimeout bounds the start of the process until it serves a request.
	startTimeout = 60 * time.Second
	// requestTimeout bounds an ordinary request. It takes milliseconds unless the VM is out of
	// descriptors or does not serve it at all.
	requestTimeout = 5 * time.Second
)

// binary returns the path of the daemon, which is built once for all tests.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "untrusted")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "dandelionhilld")
	out, err := exec.Command("go", "build", "-o", path, "dandelionhill.dev/server/cmd/dandelionhilld").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the daemon: %w: %s", err, out)
	}
	return path, nil
})

// TestMain removes the built daemon.
func TestMain(m *testing.M) {
	status := m.Run()
	if path, err := binary(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(status)
}

// vm is a process of the daemon with a store and an upstream in the test's own process.
type vm struct {
	pid                             int
	callers, health, metrics, peers string
	// checks are requests of well-behaved clients.
	checks map[string]func() error

	mu                               sync.Mutex
	peakMemory, peakQueued, peakOpen int
}

// startVM starts the VM of the floods.
func startVM(t *testing.T) *vm {
	t.Helper()
	return startVMWith(t, memoryMB, descriptorLimit, maxBodyBytes)
}

// startVMWith starts a VM with some memory in megabytes, a limit on open files and a limit on
// bodies, and waits until it serves requests.
func startVMWith(t *testing.T, memoryMB, files, maxBodyBytes int) *vm {
	t.Helper()
	path, err := binary()
	require.NoError(t, err)
	store := fakes.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	u := fakes.NewUpstream("plain-1", "plain", "zone-a")
	u.Slots = 64
	large := bytes.Repeat([]byte("x"), largeBytes)
	u.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(fleet.HeaderSignature, "seal")
		if r.URL.Path == largePath {
			w.Write(large) //nolint:errcheck // the VM may close the connection
			return
		}
		if r.URL.Path == largerPath {
			for range largerBytes / largeBytes {
				w.Write(large) //nolint:errcheck // as above
			}
			return
		}
		io.WriteString(w, "ran") //nolint:errcheck // as above
	})
	upstreamServer := httptest.NewServer(u)
	t.Cleanup(upstreamServer.Close)
	store.Put(fleet.TableOperator, fleet.KeyConfiguration, fmt.Appendf(nil, `{"Version":"r1","Routes":{
		"p":{"Host":%q,"Prefix":%q,"RouteType":"idempotent","TimeoutS":%d,"TargetLatencyS":60,"Service":"plain","MaxAttempts":2}},
		"Services":{"plain":{"HealthPath":"/health","MaxConns":60,"ColdStartS":0,"ColdPerS":500}},
		"Limits":{"MaxHeaderBytes":%d,"MaxBodyBytes":%d,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`,
		host, routePath, routeTimeout, maxHeaderBytes, maxBodyBytes))
	store.Put(fleet.TableUpstreams, u.ID, u.Registration(upstreamServer.Listener.Addr().String(), "ready", 0))

	v := &vm{callers: freeAddress(t), health: freeAddress(t), metrics: freeAddress(t), peers: freeAddress(t)}
	settings := filepath.Join(t.TempDir(), "vm.jsonc")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, `{
  "vm": "vm-1", "failure_domain": "zone-a",
  "listen": {"callers": %q, "health": %q, "peers": %q, "metrics": %q},
  "store": %q, "memory_mb": %d,
  "bounds": {"grace": "6s", "hold": "10s", "repeat_window": "10s", "repeat_ratio": 0.2, "repeat_slack": 60}
}`, v.callers, v.health, v.peers, v.metrics, storeServer.Listener.Addr(), memoryMB), 0o600))
	log, err := os.Create(filepath.Join(filepath.Dir(settings), "vm.log"))
	require.NoError(t, err)
	v.checks = map[string]func() error{"ordinary request": v.ordinary, "readiness": v.ready, "metrics": v.scrape, "status": v.status}
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s gateway -settings %s", files, path, settings))
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(t, cmd.Start())
	v.pid = cmd.Process.Pid
	exited := make(chan struct{})
	go func() {
		cmd.Wait() //nolint:errcheck // a killed process ends with an error
		close(exited)
	}()
	t.Cleanup(func() {
		cmd.Process.Kill() //nolint:errcheck // it may have exited
		<-exited
		log.Close()
		if t.Failed() {
			text, err := os.ReadFile(log.Name())
			require.NoError(t, err)
			t.Logf("end of the log:\n%s", text[max(0, len(text)-2000):])
		}
	})
	require.Eventually(t, func() bool { return v.ordinary() == nil && v.ready() == nil }, startTimeout, 100*time.Millisecond, "the VM serves no request")
	v.startSampling(t)
	return v
}

// startSampling records the memory and the descriptors until the test ends.
func (v *vm) startSampling(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	go func() {
		defer close(ended)
		v.sample(ctx)
	}()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	return address
}

// ordinary sends the request of a well-behaved caller, with a body of a usual size.
func (v *vm) ordinary() error {
	return request(http.MethodPost, "http://"+v.callers+routePath+"a", strings.Repeat("b", 40_000))
}

// ready sends a readiness check.
func (v *vm) ready() error { return request(http.MethodGet, "http://"+v.health+fleet.PathReady, "") }

// scrape reads the metrics.
func (v *vm) scrape() error { return request(http.MethodGet, "http://"+v.metrics+"/metrics", "") }

// status reads the status page that other VMs and operators read.
func (v *vm) status() error { return request(http.MethodGet, "http://"+v.peers+gateway.StatusPath, "") }

// request sends one request on a connection of its own, and fails unless its whole response
// arrives with 200. header holds names and values of further fields.
func request(method, url, body string, header ...string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host, req.Close = host, true
	req.Header.Set(fleet.HeaderRequestID, "ordinary")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %.200s", resp.StatusCode, data)
	}
	return nil
}

// alive reports whether the process runs: one that has exited has no memory.
func (v *vm) alive() bool { return v.statusKB("VmRSS") > 0 }

// sample records the largest memory and the most open descriptors until ctx ends.
func (v *vm) sample(ctx context.Context) {
	for ctx.Err() == nil && v.alive() {
		resident, queued, open := v.statusKB("VmRSS"), v.queuedBytes()>>10, v.openDescriptors()
		v.mu.Lock()
		v.peakMemory, v.peakQueued, v.peakOpen = max(v.peakMemory, resident+queued), max(v.peakQueued, queued), max(v.peakOpen, open)
		v.mu.Unlock()
		time.Sleep(sampleInterval)
	}
}

// peaks returns the largest memory in units of 1,024 bytes, with the bytes in the queues of
// its sockets, the largest size of these queues, and the most open descriptors.
func (v *vm) peaks() (memory, queued, open int) {
	highest := v.statusKB("VmHWM")
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(v.peakMemory, highest), v.peakQueued, v.peakOpen
}

// statusKB returns a value of /proc/PID/status in units of 1,024 bytes; 0 if the process has
// exited.
func (v *vm) statusKB(name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), name+":")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kb
}

func (v *vm) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// queuedBytes returns the bytes in the receive queues of the accepted connections: the kernel
// counts them as memory of the VM. Bytes to be sent count too.
func (v *vm) queuedBytes() int {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ports := map[string]bool{}
	for _, address := range []string{v.callers, v.health, v.metrics, v.peers} {
		_, port, _ := net.SplitHostPort(address)
		n, _ := strconv.Atoi(port)
		ports[strings.ToUpper(hex.EncodeToString([]byte{byte(n >> 8), byte(n)}))] = true
	}
	total := 0
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == "0A" { // a listener has the length of its backlog there
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if !ports[port] {
			continue
		}
		sending, receiving, _ := strings.Cut(fields[4], ":")
		for _, text := range []string{sending, receiving} {
			n, err := strconv.ParseInt(text, 16, 64)
			if err == nil {
				total += int(n)
			}
		}
	}
	return total
}

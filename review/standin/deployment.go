// Command standin runs one case of the review: it starts entry VMs as processes, with stand-ins
// of the platform's store, of workers and of clients, and checks one rule on what these see.
package main

import (
	"bytes"
	"encoding/json"
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
	"sync/atomic"
	"syscall"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
)

// record writes record.txt: one line for each message that a stand-in sent, got or ran.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small deployment on loopback.
type deployment struct {
	rec     *record
	store   *fakes.Store
	refuse  atomic.Bool // the store answers every call with 503
	server  *http.Server
	address string // of the store
	vms     []*vm
	dir     string
	ids     atomic.Int64
}

// vm is one entry VM.
type vm struct {
	name, callers, health string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// errCannotRun ends the case with exit code 2.
type errCannotRun struct{ error }

func must(err error) {
	if err != nil {
		panic(errCannotRun{err})
	}
}

func newDeployment(rec *record) *deployment {
	d := &deployment{rec: rec, store: fakes.NewStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d.address = listener.Addr().String()
	d.server = &http.Server{Handler: http.HandlerFunc(d.serveStore)}
	go d.server.Serve(listener)
	d.dir, err = os.MkdirTemp("", "review")
	must(err)
	return d
}

// serveStore answers a call of the store, with 503 while it is down.
func (d *deployment) serveStore(w http.ResponseWriter, r *http.Request) {
	if d.refuse.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := httptest.NewRecorder()
	d.store.ServeHTTP(answer, r)
	if d.refuse.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for name, values := range answer.Header() {
		// The pages know no era.
		if name != "Store-Era" {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(answer.Code)
	w.Write(answer.Body.Bytes())
}

// put writes a row as operators and workers do. It reports whether the store accepted it.
func (d *deployment) put(table, key string, value []byte) bool {
	if d.refuse.Load() {
		return false
	}
	d.store.Put(table, key, value)
	return true
}

// freeAddress returns an address at which nothing listens, below the ports of outgoing
// connections.
var nextPort = 20000 + os.Getpid()%5000

func freeAddress(ip string) string {
	for range 5000 {
		nextPort++
		address := fmt.Sprintf("%s:%d", ip, 20000+nextPort%10000)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	panic(errCannotRun{fmt.Errorf("no free port")})
}

// startVMs starts entry VMs with the command of deploy/system.toml and settings as
// deploy/settings.jsonc has them.
func (d *deployment) startVMs(count int) {
	_, peers, _ := net.SplitHostPort(freeAddress("127.0.3.1"))
	_, metrics, _ := net.SplitHostPort(freeAddress("127.0.3.1"))
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.0.3.%d:1", i+1)))
	}
	for i := range count {
		ip := fmt.Sprintf("127.0.3.%d", i+1)
		v := &vm{name: fmt.Sprintf("edge-%d", i+1), callers: freeAddress(ip), health: freeAddress(ip), exited: make(chan struct{})}
		settings := filepath.Join(d.dir, v.name+".jsonc")
		must(os.WriteFile(settings, []byte(fmt.Sprintf(`{
  "vm": %q, "failure_domain": "zone-%d",
  "listen": {"callers": %q, "health": %q, "peers": %q, "metrics": %q},
  "store": %q, "seeds": [%s],
  "bounds": {"grace": "6s", "drain": "2s", "hold": "10s", "repeat_window": "10s", "repeat_ratio": 0.2, "repeat_slack": 62},
  "memory_mb": 284
}`, v.name, i%3+1, v.callers, v.health, ip+":"+peers, ip+":"+metrics, d.address, strings.Join(seeds, ", "))), 0o600))
		log, err := os.Create(filepath.Join(d.dir, v.name+".log"))
		must(err)
		v.cmd = exec.Command("target/dandelionhilld", "gateway", "-settings", settings)
		v.cmd.Stdout, v.cmd.Stderr = log, log
		v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		must(v.cmd.Start())
		go func() {
			v.cmd.Wait()
			close(v.exited)
		}()
		d.vms = append(d.vms, v)
	}
	for _, v := range d.vms {
		d.awaitReady(v)
	}
}

func (d *deployment) awaitReady(v *vm) {
	for range 100 {
		resp, err := http.Get("http://" + v.health + "/api/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.rec.line("vm %s is ready", v.name)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(errCannotRun{fmt.Errorf("%s is not ready", v.name)})
}

// close ends all processes that the case started. KEEP=DIR keeps the logs of the VMs there.
func (d *deployment) close() {
	for _, v := range d.vms {
		v.cmd.Process.Kill()
		<-v.exited
	}
	d.server.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		os.MkdirAll(keep, 0o755)
		for _, v := range d.vms {
			if data, err := os.ReadFile(filepath.Join(d.dir, v.name+".log")); err == nil {
				os.WriteFile(filepath.Join(keep, v.name+".log"), data, 0o600)
			}
		}
	}
	os.RemoveAll(d.dir)
}

// route is a route of the configuration.
type route struct {
	Host, Prefix, RouteType  string
	TimeoutS, TargetLatencyS float64
	Priority                 int
	Service                  string
	MaxAttempts              int
}

// service is a service of the configuration.
type service struct {
	HealthPath           string
	MaxConns             int
	ColdStartS, ColdPerS float64
	Sharded              bool
	WarmupS              float64
}

const host = "ficu95.example"

func (d *deployment) configure(version int, routes map[string]route, services map[string]service) {
	data, err := json.Marshal(map[string]any{
		"Version": fmt.Sprintf("r%d", version), "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
	must(err)
	d.put("op", "config", data)
	d.rec.line("operator wrote configuration r%d", version)
}

// answer is what a client got.
type answer struct {
	status int // 0 if the connection ended without an answer
	seal   string
	body   string
	err    error
	header http.Header
}

// send sends one client attempt over a new connection, and records it.
func (d *deployment) send(v *vm, method, path string, body []byte, deadline time.Duration, extra ...string) answer {
	id := fmt.Sprintf("%016x", d.ids.Add(1))
	return d.sendAs(v, id, method, path, body, deadline, extra...)
}

func (d *deployment) sendAs(v *vm, id, method, path string, body []byte, deadline time.Duration, extra ...string) answer {
	req, err := http.NewRequest(method, "http://"+v.callers+path, bytes.NewReader(body))
	must(err)
	req.Host = host
	req.Close = true
	req.Header.Set("X-Dandelionhill-Request-Id", id)
	req.Header.Set("X-Dandelionhill-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for i := 0; i+1 < len(extra); i += 2 {
		req.Header.Set(extra[i], extra[i+1])
	}
	d.rec.line("client sends %s %s %s to %s", id, method, path, v.name)
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.rec.line("client gets no answer to %s: %v", id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, seal: resp.Header.Get("X-Dandelionhill-Response-Seal"), body: string(data), err: err, header: resp.Header}
	d.rec.line("client gets %d for %s, seal %q, %d bytes, error %v", a.status, id, a.seal, len(data), err)
	return a
}

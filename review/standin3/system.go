package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

// Names of the small deployment.
const (
	host       = "ficu95.example"
	domain     = "gyor-a"
	graceTime  = 6 * time.Second
	startLimit = 15 * time.Second
)

// system is a small deployment on loopback: the platform's store, workers and entry VMs.
type system struct {
	store   *fakes.Store
	storeAt string
	dir     string
	record  *record
	vms     []*vm
}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// add writes a line with the time since the start, in seconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newSystem starts the store.
func newSystem(rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	s := &system{store: fakes.NewStore(), dir: dir, record: rec}
	// The pages in force name no era of the store.
	plain := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.store.ServeHTTP(withoutEra{w}, r) })
	s.storeAt, err = serve(plain)
	return s, err
}

// withoutEra removes a header of the fake store that the pages in force do not name.
type withoutEra struct{ http.ResponseWriter }

func (w withoutEra) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// serve serves a handler on a free port of loopback and returns its address.
func serve(handler http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, handler) }() // until the process ends
	return l.Addr().String(), nil
}

// route is one route of the configuration.
type route struct {
	Host, Prefix, RouteType  string
	TimeoutS, TargetLatencyS float64
	Priority, MaxAttempts    int
	Service                  string
}

type service struct {
	HealthPath string
	MaxConns   int
	Protocol   string
	Tls        bool
	ColdStartS float64
	ColdPerS   float64
	Sharded    bool
}

type limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeoutS float64
	IdleTimeoutS   float64
}

// configure writes a configuration, as the operator does.
func (s *system) configure(version int, routes map[string]route, services map[string]service) error {
	value, err := json.Marshal(map[string]any{
		"Version": "r" + strconv.Itoa(version), "Routes": routes, "Services": services,
		"Limits": limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutS: 3, IdleTimeoutS: 15},
	})
	if err != nil {
		return err
	}
	s.store.Put(fleet.TableOperator, "config", value)
	s.record.add("operator: configuration r%d", version)
	return nil
}

// vm is one entry VM: a process of the deploy file.
type vm struct {
	name                              string
	callers, health, peers, metricsAt string
	settings                          string // the path of the settings file
	process                           *exec.Cmd
	exited                            chan struct{}
}

// freeAddress returns an address of loopback that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startVM starts an entry VM with the settings that deploy/settings.jsonc gives.
func (s *system) startVM(memoryMB int) (*vm, error) {
	v := &vm{name: fmt.Sprintf("edge-%s-%d", domain, len(s.vms)+1)}
	for _, address := range []*string{&v.callers, &v.health, &v.peers, &v.metricsAt} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	settings, err := json.Marshal(map[string]any{
		"vm": v.name, "failure_domain": domain,
		"listen": map[string]string{"callers": v.callers, "health": v.health, "peers": v.peers, "metrics": v.metricsAt},
		"store":  s.storeAt, "seeds": []string{},
		"bounds": map[string]any{
			"grace": graceTime.String(), "drain": "2s", "revoke": "5s", "revoke_strict": false, "quota_window": "5s", "quota_overshoot": 0.1,
			"quota_slack": 20, "call_delay": "150ms", "hold": "10s", "repeat_window": "10s", "repeat_ratio": 0.2, "repeat_slack": 62,
		},
		"resources": map[string]any{"cpu_share": 0.32, "cpu_speed": 1, "link_mbps": 1000.0},
		"overload":  map[string]bool{"fair": true}, "memory_mb": memoryMB,
	})
	if err != nil {
		return nil, err
	}
	v.settings = filepath.Join(s.dir, v.name+".jsonc")
	if err := os.WriteFile(v.settings, settings, 0o600); err != nil {
		return nil, err
	}
	if err := s.launch(v); err != nil {
		return nil, err
	}
	s.vms = append(s.vms, v)
	return v, nil
}

// launch starts the process of a VM.
func (s *system) launch(v *vm) error {
	logFile, err := os.OpenFile(filepath.Join(s.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	process, exited := exec.Command("target/dandelionhilld", "gateway", "-settings", v.settings), make(chan struct{})
	process.Stdout, process.Stderr = logFile, logFile
	if err := process.Start(); err != nil {
		return err
	}
	go func() {
		// A killed process returns an error too.
		_ = process.Wait()
		close(exited)
	}()
	v.process, v.exited = process, exited
	s.record.add("platform: %s started, process %d", v.name, process.Process.Pid)
	return nil
}

// awaitReady waits until the readiness check of a VM succeeds.
func (v *vm) awaitReady() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + v.health + fleet.PathReady)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", v.name)
}

func (v *vm) running() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// term sends SIGTERM, and SIGKILL after the grace.
func (s *system) term(v *vm) {
	s.record.add("platform: SIGTERM to %s", v.name)
	_ = v.process.Process.Signal(syscall.SIGTERM) // it may have ended
	go func() {
		select {
		case <-v.exited:
			s.record.add("platform: %s has ended", v.name)
		case <-time.After(graceTime):
			s.record.add("platform: SIGKILL to %s", v.name)
			_ = v.process.Process.Kill()
		}
	}()
}

// memory returns the anonymous memory of a VM's process in bytes: its program's text does not count.
func (v *vm) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// stop ends all processes and removes the temporary folder.
func (s *system) stop() {
	for _, v := range s.vms {
		if v.running() {
			_ = v.process.Process.Kill()
		}
		<-v.exited
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}

// waitFor waits for a time or until ctx ends.
func waitFor(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

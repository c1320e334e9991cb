package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	fakefleet "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

const (
	heartbeat = 870 * time.Millisecond
	host      = "plain.example"
	route     = "/order/"
)

// answer is what a client got.
type answer struct {
	SentAt, EndedAt time.Time
	Request, VM     string
	Status          int
	Err             string
}

// recorder collects what was sent, answered and run.
type recorder struct {
	mu       sync.Mutex
	start    time.Time
	lines    []string
	arrivals []arrival
	answers  []answer
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
	fmt.Println(line)
}

func (r *recorder) arrived(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

func (r *recorder) answered(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// write writes the record to a file.
func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, line := range r.lines {
		fmt.Fprintln(&b, line)
	}
	at := func(t time.Time) float64 { return t.Sub(r.start).Seconds() }
	fmt.Fprintln(&b, "\nrequests of clients: sent, ended, id, VM, status, error")
	for _, a := range r.answers {
		fmt.Fprintf(&b, "%8.3f %8.3f %s %s %d %s\n", at(a.SentAt), at(a.EndedAt), a.Request, a.VM, a.Status, a.Err)
	}
	fmt.Fprintln(&b, "\nrequests at workers: arrived, id, worker, result")
	for _, a := range r.arrivals {
		fmt.Fprintf(&b, "%8.3f %s %s %s\n", at(a.At), a.Request, a.Worker, a.Result)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// vm is one entry VM, a process of the project's program.
type vm struct {
	name, ip, callers, health string
	cmd                       *exec.Cmd
	ended                     chan struct{}
}

// system is a deployment on loopback addresses.
type system struct {
	dir   string
	rec   *recorder
	store *fakefleet.Store
	vms   []*vm
	http  []*http.Server

	gateway, storeAddress string
	zones, ips            []string
	ports                 [4]int
}

// freePort returns a port that is free at all the given addresses.
func freePort(ips ...string) (int, error) {
	for range 50 {
		first, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port, ok := first.Addr().(*net.TCPAddr).Port, true
		first.Close()
		for _, ip := range ips[1:] {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				ok = false
				break
			}
			l.Close()
		}
		if ok {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at all of %v", ips)
}

// newSystem starts the store, and prepares VMs with the settings of deploy/settings.jsonc.
func newSystem(dir, gateway string, rec *recorder, vms int, zones []string, configuration string) (*system, error) {
	s := &system{dir: dir, rec: rec, store: fakefleet.NewStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.store}
	s.http = append(s.http, server)
	go server.Serve(l)
	s.store.Put(fleet.TableOperator, fleet.KeyConfiguration, []byte(configuration))
	var ips []string
	for i := range vms {
		ips = append(ips, fmt.Sprintf("127.0.41.%d", 10+i))
	}
	var ports [4]int
	for i := range ports {
		if ports[i], err = freePort(ips...); err != nil {
			return nil, err
		}
	}
	s.storeAddress, s.zones, s.gateway = l.Addr().String(), zones, gateway
	s.ips, s.ports = ips, ports
	return s, nil
}

// startVM starts the next VM, which calls the store at an address.
func (s *system) startVM(store string) error {
	i := len(s.vms)
	ip := s.ips[i]
	v := &vm{name: fmt.Sprintf("edge-%d", i+1), ip: ip, callers: fmt.Sprintf("%s:%d", ip, s.ports[0]), health: fmt.Sprintf("%s:%d", ip, s.ports[1])}
	path := filepath.Join(s.dir, v.name+".jsonc")
	settings := fmt.Sprintf(`{"vm":%q,"failure_domain":%q,"listen":{"callers":%q,"health":%q,"peers":"%s:%d","metrics":"%s:%d"},
		"store":%q,"seeds":[%q],"bounds":{"grace":"6s","drain":"2s","hold":"10s","repeat_window":"10s","repeat_ratio":0.2,"repeat_slack":62},"memory_mb":284}`,
		v.name, s.zones[i%len(s.zones)], v.callers, v.health, ip, s.ports[2], ip, s.ports[3], store, s.ips[0])
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return err
	}
	v.cmd = exec.Command(s.gateway, "gateway", "-settings", path)
	logFile, err := os.Create(filepath.Join(s.dir, v.name+".log"))
	if err != nil {
		return err
	}
	v.cmd.Stdout, v.cmd.Stderr = logFile, logFile
	if err := v.cmd.Start(); err != nil {
		return err
	}
	if err := notePID(s.dir, v.cmd.Process.Pid); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	go func() {
		v.cmd.Wait()
		close(v.ended)
	}()
	s.vms = append(s.vms, v)
	return nil
}

// notePID adds a process to the list of those that the script ends if the stand-in does not.
func notePID(dir string, pid int) error {
	f, err := os.OpenFile(filepath.Join(dir, "pids"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = fmt.Fprintln(f, pid)
	return err
}

// awaitReady waits until all VMs are ready.
func (s *system) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, v := range s.vms {
		for {
			resp, err := http.Get("http://" + v.health + fleet.PathReady)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", v.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that startSystem started.
func (s *system) stop() {
	for _, v := range s.vms {
		v.cmd.Process.Kill()
		<-v.ended
	}
	for _, server := range s.http {
		server.Close()
	}
}

// post sends one request on a new connection and records the answer.
func (s *system) post(v *vm, id string, deadline time.Duration) {
	s.postTo(v, route+id, id, deadline)
}

func (s *system) postTo(v *vm, path, id string, deadline time.Duration) {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+v.callers+path, strings.NewReader("one order"))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set(fleet.HeaderRequestID, id)
	req.Header.Set(fleet.HeaderDeadlineMs, fmt.Sprint(deadline.Milliseconds()))
	a := answer{SentAt: time.Now(), Request: id, VM: v.name}
	resp, err := client.Do(req)
	if err == nil {
		a.Status = resp.StatusCode
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		a.Err = "no complete answer"
	}
	a.EndedAt = time.Now()
	s.rec.answered(a)
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	fakefleet "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

// The deployment and the disruption of the case.
const (
	poisonVMs     = 4
	poisonWorkers = 8
	// poisonEvery is the time between two sends of the request that crashes workers, poisonPath its
	// path, otherEvery that between two other requests. A worker crashes crashAfter into its run and
	// is back after crashDown.
	poisonEvery = 6 * time.Second
	otherEvery  = 200 * time.Millisecond
	poisonPath  = route + "crash"
	crashAfter  = 30 * time.Millisecond
	crashDown   = 3 * time.Second
	// All VMs are killed at these times after the first send; each starts again after restartAfter.
	restartAfter = 500 * time.Millisecond
	poisonPlay   = 45 * time.Second
	// touchTime is StableWindowS.
	touchTime = 3 * time.Second
	// retriesAllowed is the number of retries beyond the window that the rule allows.
	retriesAllowed = 3
)

var herdKills = []time.Duration{7 * time.Second, 19 * time.Second, 31 * time.Second}

// crashWorker is a worker that the request with poisonPath crashes.
type crashWorker struct {
	name, service, zone, address string
	store                        *fakefleet.Store
	began                        func(at time.Time)

	mu     sync.Mutex
	lives  int
	server *http.Server
	ended  bool
}

// start begins a life of the worker: a new incarnation under a new ID at the same address.
func (w *crashWorker) start() error {
	if w.address == "" {
		w.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = l.Addr().String()
	w.lives++
	id := fmt.Sprintf("%s-%d", w.name, w.lives)
	w.server = &http.Server{Handler: w.handler(id)}
	go w.server.Serve(l)
	w.store.Put(fleet.TableUpstreams, id, fmt.Appendf(nil,
		`{"Address":%q,"born":%d,"Info":{"Service":%q,"Version":"v1","Zone":%q,"MaxConcurrency":2},"Status":{"State":"ready","Sequence":1,"ColdLeftS":0}}`,
		w.address, time.Now().UnixMilli(), w.service, w.zone))
	if w.lives > 1 {
		// The entry of the former life has expired.
		w.store.Remove(fleet.TableUpstreams, fmt.Sprintf("%s-%d", w.name, w.lives-1))
	}
	return nil
}

func (w *crashWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	w.server.Close()
	w.server = nil
	time.AfterFunc(crashDown, func() {
		w.mu.Lock()
		ended := w.ended
		w.mu.Unlock()
		if !ended {
			if err := w.start(); err != nil {
				panic(err) // the address was free before
			}
		}
	})
}

func (w *crashWorker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.server != nil {
		w.server.Close()
	}
}

func (w *crashWorker) handler(id string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(fleet.HeaderRequestID, r.Header.Get(fleet.HeaderRequestID))
		if expected := r.Header.Get(fleet.HeaderExpectedUpstream); expected != "" && expected != id {
			rw.Header().Set(fleet.HeaderUpstreamID, id)
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		if r.URL.Path == poisonPath {
			w.began(time.Now())
			time.Sleep(crashAfter)
			w.crash()
			return
		}
		time.Sleep(20 * time.Millisecond)
		rw.Header().Set(fleet.HeaderSignature, "seal-"+id)
		rw.Header().Set(fleet.HeaderLoad, "1,0,2,100")
		fmt.Fprintf(rw, "%s ran it", id)
	})
}

func playPoison(c *caseRun) (broken bool, err error) {
	zones := []string{"a", "b", "c", "d"}
	s, err := newSystem(c.dir, c.gateway, c.rec, poisonVMs, zones, strings.Replace(regressConfiguration(3, "first"), `"non_idempotent"`, `"idempotent"`, 1))
	if err != nil {
		return false, err
	}
	defer s.stop()
	var mu sync.Mutex
	var begun []time.Time
	for i := range poisonWorkers {
		w := &crashWorker{name: fmt.Sprintf("w%d", i+1), service: "first", zone: zones[i%len(zones)], store: s.store, began: func(at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			begun = append(begun, at)
			c.rec.logf("worker w%d begins to run the request and crashes", i+1)
		}}
		if err := w.start(); err != nil {
			return false, err
		}
		defer w.end()
	}
	for range poisonVMs {
		if err := s.startVM(s.storeAddress); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c.rec.logf("%d VMs are ready", len(s.vms))
	time.Sleep(4 * time.Second)
	begin := time.Now()
	var stop atomic.Bool
	plan := make(chan error, 1)
	go func() {
		for _, at := range herdKills {
			time.Sleep(time.Until(begin.Add(at)))
			if !c.trouble || stop.Load() {
				continue
			}
			for _, v := range s.vms {
				v.cmd.Process.Kill()
			}
			for _, v := range s.vms {
				<-v.ended
			}
			c.rec.logf("all VMs are killed")
			time.Sleep(restartAfter)
			for _, v := range s.vms {
				if err := s.restart(v); err != nil {
					plan <- err
					return
				}
			}
		}
		plan <- nil
	}()
	// The same path, caller and body each time; other requests between.
	for n, next := 0, begin; time.Since(begin) < poisonPlay; n++ {
		v := s.vms[n%len(s.vms)]
		if now := time.Now(); now.After(next) {
			next = next.Add(poisonEvery)
			c.rec.logf("the request is sent to %s", v.name)
			go s.postTo(v, poisonPath, fmt.Sprintf("x%06d", n), 3*time.Second)
		}
		go s.postTo(v, fmt.Sprintf("%sok-%d", route, n), fmt.Sprintf("q%06d", n), 3*time.Second)
		time.Sleep(otherEvery)
	}
	stop.Store(true)
	if err := <-plan; err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if len(begun) < 2 {
		return false, fmt.Errorf("the request reached %d workers only", len(begun))
	}
	late := 0
	for i, at := range begun {
		if i < 3 || at.Sub(begun[2].Add(crashAfter)) <= touchTime {
			continue
		}
		inTouch := true // the VMs have run for StableWindowS
		for _, kill := range herdKills {
			from := begin.Add(kill)
			if c.trouble && at.After(from) && at.Before(from.Add(restartAfter+touchTime)) {
				inTouch = false
			}
		}
		if inTouch {
			late++
			c.rec.logf("retry %d beyond the window: %.3f s after the first send", late, at.Sub(begin).Seconds())
		}
	}
	c.rec.logf("%d runs in all, %d of them in retries beyond the window; %d are allowed", len(begun), late, retriesAllowed)
	return late > retriesAllowed, nil
}

// restart starts the process of a VM again.
func (s *system) restart(v *vm) error {
	cmd := exec.Command(v.cmd.Path, v.cmd.Args[1:]...)
	cmd.Stdout, cmd.Stderr = v.cmd.Stdout, v.cmd.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	if err := notePID(s.dir, cmd.Process.Pid); err != nil {
		return err
	}
	v.cmd, v.ended = cmd, make(chan struct{})
	ended := v.ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	return nil
}

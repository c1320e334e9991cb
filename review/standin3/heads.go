package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

// The deployment of playHeads, from the sheet of elezo-kapu: the workers of the service that is divided
// by key and the requests of all kinds in a second.
const (
	headsWorkers = 26
	headsRate    = 142
	headsVMs     = 2
	// headsMemoryMB is the memory of the smallest VM on the sheets, that of nileboard-gw.
	headsMemoryMB = 144
	// headsEnds is how often a process ends by itself that breaks the rule, restartAfter the time until
	// the platform starts it again.
	headsEnds    = 3
	restartAfter = time.Second
	// headsFaulty is the share of the workers in trouble, in percent: the largest one that the site
	// file has for workers that hand out wrong bytes.
	headsFaulty = 60
	headsTime   = 75 * time.Second
	// headsDeadline is the deadline of the clients and the timeout of the route.
	headsDeadline = 4 * time.Second
	// headAtOnce is the part of a head in bytes that a worker in trouble sends at once; after it comes
	// a field every fieldEvery.
	headAtOnce = 60000
	fieldEvery = 100 * time.Millisecond
)

// playHeads shows responses whose head does not end. The platform ends a process that exceeds its memory
// and starts it again.
func playHeads(s *system, trouble bool) (bool, error) {
	faulty := headsWorkers * headsFaulty / 100
	var inTrouble atomic.Bool
	var sound, endless atomic.Int64
	for i := range headsWorkers {
		u := fakes.NewUpstream(fmt.Sprintf("i-%08x", rand.Uint32()), "huvo11a", domain)
		isFaulty := i < faulty
		u.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			if isFaulty && inTrouble.Load() {
				endless.Add(1)
				endlessHead(w, r)
				return
			}
			sound.Add(1)
			time.Sleep(100 * time.Millisecond)
			w.Header().Set(fleet.HeaderSignature, "seal-of-"+u.ID)
			fmt.Fprintf(w, "ran %s", r.Header.Get(fleet.HeaderRequestID))
		})
		address, err := serve(u)
		if err != nil {
			return false, err
		}
		s.store.Put(fleet.TableUpstreams, u.ID, u.Registration(address, "ready", 0))
	}
	err := s.configure(7, map[string]route{
		"r-1": {Host: host, Prefix: "/lohu930/", RouteType: "idempotent", TimeoutS: headsDeadline.Seconds(), TargetLatencyS: 0.6, Priority: 2, MaxAttempts: 2, Service: "huvo11a"},
	}, map[string]service{"huvo11a": {HealthPath: "/health", MaxConns: 130, Protocol: "h1", ColdStartS: 3, ColdPerS: 3.1, Sharded: true}})
	if err != nil {
		return false, err
	}
	for range headsVMs {
		v, err := s.startVM(headsMemoryMB)
		if err != nil {
			return false, err
		}
		if err := v.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second) // until all keys have owners
	ctx, cancel := context.WithTimeout(context.Background(), headsTime)
	defer cancel()
	var answers sync.Map
	go sendReads(ctx, s, &answers)
	waitFor(ctx, 3*time.Second)
	s.record.add("in calm: %s", counts(&answers))
	if trouble {
		s.record.add("workers: %d of %d send heads without end from now on", faulty, headsWorkers)
		inTrouble.Store(true)
	}
	results := make(chan endings, headsVMs)
	for _, v := range s.vms {
		go func() { results <- s.limitMemory(ctx, cancel, v) }()
	}
	often := 0
	for range s.vms {
		r := <-results
		if r.err != nil {
			return false, r.err
		}
		if r.ends >= headsEnds {
			often++
		}
		s.record.add("%s: ended %d times, memory %d MB at most", r.vm.name, r.ends, r.most>>20)
	}
	s.record.add("answers: %s; workers ran %d requests well and %d with a head without end", counts(&answers), sound.Load(), endless.Load())
	return often >= headsVMs, nil
}

// endings says how often the process of a VM ended, and the most memory that it had.
type endings struct {
	vm   *vm
	ends int
	most int64
	err  error
}

// limitMemory ends the process of a VM whenever it exceeds its memory, and starts it again, until it has
// ended headsEnds times.
func (s *system) limitMemory(ctx context.Context, done func(), v *vm) endings {
	e := endings{vm: v}
	for ctx.Err() == nil && e.ends < headsEnds {
		now := v.memory()
		e.most = max(e.most, now)
		if now > headsMemoryMB<<20 {
			s.record.add("platform: %s has %d MB of %d and is killed", v.name, now>>20, headsMemoryMB)
			_ = v.process.Process.Kill() // it may have ended
		}
		if now > headsMemoryMB<<20 || !v.running() {
			<-v.exited
			e.ends++
			waitFor(ctx, restartAfter)
			if e.err = s.launch(v); e.err != nil {
				done()
				return e
			}
		}
		waitFor(ctx, 20*time.Millisecond)
	}
	return e
}

// sendReads sends requests to the VMs in turn until ctx ends.
func sendReads(ctx context.Context, s *system, answers *sync.Map) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	ticker := time.NewTicker(time.Second / headsRate)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			go sendRead(ctx, client, s.vms[n%len(s.vms)], answers)
		case <-ctx.Done():
			return
		}
	}
}

// endlessHead sends header fields until the connection is closed.
func endlessHead(w http.ResponseWriter, r *http.Request) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%s: %s\r\n", fleet.HeaderRequestID, r.Header.Get(fleet.HeaderRequestID)); err != nil {
		return
	}
	sent := 0
	for i := 0; ; i++ {
		field := strconv.FormatInt(int64(36*36+i), 36) + ":\n"
		if field[0] >= '0' && field[0] <= '9' {
			field = "x" + field
		}
		n, err := out.WriteString(field)
		if err != nil {
			return
		}
		sent += n
		if sent < headAtOnce {
			continue
		}
		if err := out.Flush(); err != nil {
			return
		}
		time.Sleep(fieldEvery)
	}
}

// sendRead sends one idempotent request and counts its answer.
func sendRead(ctx context.Context, client *http.Client, v *vm, answers *sync.Map) {
	ctx, cancel := context.WithTimeout(ctx, headsDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.callers+"/lohu930/2f", nil)
	if err != nil {
		count(answers, "not sent")
		return
	}
	req.Host = host
	req.Header.Set(fleet.HeaderRequestID, fmt.Sprintf("%016x", rand.Uint64()))
	req.Header.Set(fleet.HeaderDeadlineMs, strconv.FormatInt(headsDeadline.Milliseconds(), 10))
	req.Header.Set(fleet.HeaderKey, strconv.Itoa(rand.IntN(fleet.KeyCount)))
	resp, err := client.Do(req)
	if err != nil {
		count(answers, "none")
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	count(answers, strconv.Itoa(resp.StatusCode))
}

func count(answers *sync.Map, what string) {
	n, _ := answers.LoadOrStore(what, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

func counts(answers *sync.Map) string {
	var out []string
	answers.Range(func(what, n any) bool {
		out = append(out, fmt.Sprintf("%v x %d", what, n.(*atomic.Int64).Load()))
		return true
	})
	return strings.Join(out, ", ")
}

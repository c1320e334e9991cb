package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

const (
	downloadBytes = 4 << 20
	// readBefore is what the client reads before it pauses for readPause.
	readBefore = 256 << 10
	readPause  = 2600 * time.Millisecond
	// downloadTime is the deadline of the client, as on the sheet of samskra-gw.
	downloadTime = 5 * time.Second
	downloads    = 4
)

// playSlowRead stops an entry VM while clients read large responses with a pause.
func playSlowRead(s *system, trouble bool) (bool, error) {
	u := fakes.NewUpstream(fmt.Sprintf("i-%08x", rand.Uint32()), "wuno96b", domain)
	u.Slots = downloads
	var cut atomic.Int64
	u.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(fleet.HeaderRequestID)
		w.Header().Set(fleet.HeaderSignature, "seal-of-"+u.ID)
		w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
		if _, err := w.Write(make([]byte, downloadBytes)); err != nil {
			cut.Add(1)
			s.record.add("worker: the answer to %s was cut off: %v", id, err)
			panic(http.ErrAbortHandler)
		}
	})
	address, err := serve(u)
	if err != nil {
		return false, err
	}
	s.store.Put(fleet.TableUpstreams, u.ID, u.Registration(address, "ready", 0))
	err = s.configure(7, map[string]route{
		"r-1": {Host: host, Prefix: "/pufi791/", RouteType: "download", TimeoutS: downloadTime.Seconds(), TargetLatencyS: 2.5, Priority: 2, MaxAttempts: 2, Service: "wuno96b"},
	}, map[string]service{"wuno96b": {HealthPath: "/health", MaxConns: 130, Protocol: "h1", ColdStartS: 3, ColdPerS: 3.1}})
	if err != nil {
		return false, err
	}
	v, err := s.startVM(284)
	if err != nil {
		return false, err
	}
	if err := v.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	begun, whole := make(chan bool, downloads), make(chan bool, downloads)
	for range downloads {
		go download(s, v, trouble, begun, whole)
	}
	for range downloads {
		<-begun
	}
	s.term(v)
	incomplete := 0
	for range downloads {
		if !<-whole {
			incomplete++
		}
	}
	<-v.exited
	s.record.add("clients: %d of %d answers broke off; the worker was cut off %d times", incomplete, downloads, cut.Load())
	return incomplete > 0, nil
}

// download sends a request and reads the answer. It tells begun when the answer has begun.
func download(s *system, v *vm, pause bool, begun, whole chan<- bool) {
	ctx, cancel := context.WithTimeout(context.Background(), downloadTime)
	defer cancel()
	id := fmt.Sprintf("%016x", rand.Uint64())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.callers+"/pufi791/2f", nil)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set(fleet.HeaderRequestID, id)
	req.Header.Set(fleet.HeaderDeadlineMs, strconv.FormatInt(downloadTime.Milliseconds(), 10))
	s.record.add("client: sends %s, deadline %v", id, downloadTime)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		s.record.add("client: no answer to %s: %v", id, err)
		begun <- true
		whole <- false
		return
	}
	defer resp.Body.Close()
	s.record.add("client: %s gets %d, seal %q, length %d", id, resp.StatusCode, resp.Header.Get(fleet.HeaderSignature), resp.ContentLength)
	begun <- true
	n, err := io.CopyN(io.Discard, resp.Body, readBefore)
	if err == nil {
		if pause {
			time.Sleep(readPause)
		}
		var rest int64
		rest, err = io.Copy(io.Discard, resp.Body)
		n += rest
	}
	s.record.add("client: has read %d of %d bytes of %s, error %v", n, downloadBytes, id, err)
	whole <- err == nil && n == downloadBytes && resp.StatusCode == http.StatusOK
}

package main

import (
	"bytes"
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
	uploadBytes = 16 << 20
	// uploadPause is how long the worker works on the request: before it reads the body, or without
	// trouble after it has read it.
	uploadPause = 4 * time.Second
	// uploadTime is the deadline of the client and the timeout of the route.
	uploadTime = 8 * time.Second
)

// playUpload stops an entry VM while a worker reads a long body slowly.
func playUpload(s *system, trouble bool) (bool, error) {
	u := fakes.NewUpstream(fmt.Sprintf("i-%08x", rand.Uint32()), "wuno96b", domain)
	var began, ran, cut atomic.Int64
	u.SetEarlyHandler(func(w http.ResponseWriter, r *http.Request) bool {
		began.Add(1)
		id := r.Header.Get(fleet.HeaderRequestID)
		s.record.add("worker: begins to work on %s", id)
		if trouble {
			time.Sleep(uploadPause)
		}
		s.record.add("worker: reads the body of %s", id)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n != uploadBytes {
			cut.Add(1)
			s.record.add("worker: the body of %s broke off after %d bytes: %v", id, n, err)
			panic(http.ErrAbortHandler)
		}
		if !trouble {
			time.Sleep(uploadPause)
		}
		ran.Add(1)
		s.record.add("worker: has read %d bytes of %s and answers 200", n, id)
		w.Header().Set(fleet.HeaderSignature, "seal-of-"+u.ID)
		fmt.Fprintf(w, "ran %s", id)
		return true
	})
	address, err := serve(u)
	if err != nil {
		return false, err
	}
	s.store.Put(fleet.TableUpstreams, u.ID, u.Registration(address, "ready", 0))
	err = s.configure(7, map[string]route{
		"r-1": {Host: host, Prefix: "/pufi791/", RouteType: "non_idempotent", TimeoutS: uploadTime.Seconds(), TargetLatencyS: 0.8, Priority: 1, MaxAttempts: 2, Service: "wuno96b"},
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
	answer := make(chan string, 1)
	go func() { answer <- sendUpload(s, v) }()
	for end := time.Now().Add(3 * time.Second); began.Load() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false, fmt.Errorf("the request has not reached the worker: %s", <-answer)
		}
	}
	time.Sleep(500 * time.Millisecond)
	s.term(v)
	got := <-answer
	time.Sleep(time.Second)
	s.record.add("client: %s; the worker has run %d and was cut off %d times", got, ran.Load(), cut.Load())
	return got != "200, whole, with the seal", nil
}

func sendUpload(s *system, v *vm) string {
	ctx, cancel := context.WithTimeout(context.Background(), uploadTime)
	defer cancel()
	id := fmt.Sprintf("%016x", rand.Uint64())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+"/pufi791/2f", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return err.Error()
	}
	req.Host = host
	req.Header.Set(fleet.HeaderRequestID, id)
	req.Header.Set(fleet.HeaderDeadlineMs, strconv.FormatInt(uploadTime.Milliseconds(), 10))
	s.record.add("client: sends %s, %d bytes, deadline %v", id, uploadBytes, uploadTime)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.record.add("client: gets %d, seal %q, body %q, error %v", resp.StatusCode, resp.Header.Get(fleet.HeaderSignature), body, err)
	if resp.StatusCode == http.StatusOK && err == nil && string(body) == "ran "+id && resp.Header.Get(fleet.HeaderSignature) != "" {
		return "200, whole, with the seal"
	}
	return fmt.Sprintf("%d", resp.StatusCode)
}

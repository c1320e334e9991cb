package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// halfClose plays clients of which some leave before their deadline. They end their side of the
// connection, read until the VM ends the other, and close it.
func halfClose(d *deployment, trouble bool) verdict {
	const (
		requests   = 100
		leaveEvery = 5 // a share of 0.2
		objective  = 500 * time.Millisecond
		leaveAfter = objective / 4
		work       = 200 * time.Millisecond
		gap        = 50 * time.Millisecond
	)
	d.configure(1, map[string]route{
		"bill": {Host: host, Prefix: "/dera/", RouteType: "non_idempotent", TimeoutS: 3, TargetLatencyS: 0.5, Service: "kiszallitas", MaxAttempts: 2},
	}, map[string]service{"kiszallitas": {HealthPath: "/health", MaxConns: 130, ColdStartS: 3, ColdPerS: 3.1}})
	var workers []*worker
	for i := range 6 {
		w := newWorker(d, fmt.Sprintf("i-%d", i+1), "kiszallitas", 2, 8, work)
		w.start(0)
		workers = append(workers, w)
	}
	d.startVMs(3)
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	unsealed, answered := 0, 0
	for n := range requests {
		clients.Add(1)
		go func() {
			defer clients.Done()
			leaves := trouble && n%leaveEvery == 0
			status, seal, complete := d.sendRaw(d.vms[n%3], fmt.Sprintf("/dera/bill/%d", n), leaves, leaveAfter)
			mu.Lock()
			defer mu.Unlock()
			if status/100 == 2 && complete {
				answered++
				if seal == "" {
					unsealed++
				}
			}
		}()
		time.Sleep(gap)
	}
	clients.Wait()
	run, dropped := 0, 0
	for _, w := range workers {
		for _, a := range w.seen() {
			switch a.result {
			case "runs":
				run++
			case "drops":
				dropped++
			}
		}
	}
	return verdict{unsealed > 0, fmt.Sprintf("%d of %d clients got a complete success, %d of these without a worker's seal; workers began %d requests and dropped %d",
		answered, requests, unsealed, run, dropped)}
}

// sendRaw sends a request on a new connection and reads until the end of the answer. A client
// that leaves ends its side of the connection after a time.
func (d *deployment) sendRaw(v *vm, path string, leaves bool, leaveAfter time.Duration) (status int, seal string, complete bool) {
	id := fmt.Sprintf("%016x", d.ids.Add(1))
	c, err := net.Dial("tcp", v.callers)
	must(err)
	defer c.Close()
	fmt.Fprintf(c, "PUT %s HTTP/1.1\r\nHost: %s\r\nX-Dandelionhill-Request-Id: %s\r\nX-Dandelionhill-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nblade", path, host, id)
	d.rec.line("client sends %s PUT %s to %s", id, path, v.name)
	if leaves {
		time.AfterFunc(leaveAfter, func() {
			c.(*net.TCPConn).CloseWrite()
			d.rec.line("client of %s leaves: it ends its side of the connection", id)
		})
	}
	c.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		d.rec.line("client gets no answer to %s: %v", id, err)
		return 0, "", false
	}
	body, err := io.ReadAll(resp.Body)
	seal = resp.Header.Get("X-Dandelionhill-Response-Seal")
	d.rec.line("client gets %d for %s, seal %q, %d bytes, error %v", resp.StatusCode, id, seal, len(body), err)
	return resp.StatusCode, seal, err == nil
}

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	fakefleet "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

// queueLength is the number of requests that wait at a worker beside those that run.
const queueLength = 8

// arrival is a request that reached a worker.
type arrival struct {
	At      time.Time
	Worker  string
	Request string
	// Result is "ran", "shed", "misdirected", "cut" or "deadline".
	Result string
}

// worker is a stand-in for a worker of an unkeyed service, as PROTOCOL.md describes it: it runs
// slots requests at a time, queues a few more, rejects the others, and registers in the store.
type worker struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	coldUntil                  time.Time
	store                      *fakefleet.Store
	rec                        *recorder
	server                     *http.Server

	mu               sync.Mutex
	running, waiting int
	free             chan struct{}
	// slowdown multiplies the time of all work.
	slowdown float64
	work     time.Duration
	state    string
	sequence int
	written  string // what the entry says beside Sequence
	gone     bool
	stop     chan struct{}
}

// startWorker starts a worker that is cold for a time.
func startWorker(store *fakefleet.Store, rec *recorder, id, service, zone string, slots int, work, cold time.Duration) (*worker, error) {
	w := &worker{
		id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), coldUntil: time.Now().Add(cold), store: store, rec: rec,
		free: make(chan struct{}, slots), slowdown: 1, work: work, state: "ready", stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: w}
	go w.server.Serve(l)
	w.register()
	go w.beat()
	return w, nil
}

// register writes the entry of the worker unless it would change in Sequence alone. The store has
// accepted it on return.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	cold := max(time.Until(w.coldUntil).Seconds(), 0)
	if content := fmt.Sprint(w.state, cold); !w.gone && content != w.written {
		w.written = content
		w.store.Put(fleet.TableUpstreams, w.id, fmt.Appendf(nil,
			`{"Address":%q,"born":%d,"Info":{"Service":%q,"Version":"v1","Zone":%q,"MaxConcurrency":%d},"Status":{"State":%q,"Sequence":%d,"ColdLeftS":%.2f}}`,
			w.address, w.born, w.service, w.zone, w.slots, w.state, w.sequence, cold))
	}
}

// beat renews the entry at each heartbeat.
func (w *worker) beat() {
	for {
		select {
		case <-time.After(heartbeat):
			w.register()
		case <-w.stop:
			return
		}
	}
}

// drain reports that the worker leaves and returns when the store has accepted that.
func (w *worker) drain() time.Time {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.register()
	return time.Now()
}

// end ends the worker and removes its entry.
func (w *worker) end() {
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		return
	}
	w.gone = true
	close(w.stop)
	w.mu.Unlock()
	w.store.Remove(fleet.TableUpstreams, w.id)
	w.server.Close()
}

func (w *worker) setSlowdown(x float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowdown = x
}

func (w *worker) setLoad(h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Set(fleet.HeaderLoad, fmt.Sprintf("%d,%d,%d,%d", w.running, w.waiting, w.slots, int(100*w.slowdown)))
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get(fleet.HeaderRequestID)
	note := func(result string) {
		w.rec.arrived(arrival{At: arrived, Worker: w.id, Request: id, Result: result})
	}
	rw.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		rw.Header().Set(fleet.HeaderUpstreamID, w.id)
		w.setLoad(rw.Header())
		return
	}
	if id != "" {
		rw.Header().Set(fleet.HeaderRequestID, id)
	}
	if expected := r.Header.Get(fleet.HeaderExpectedUpstream); expected != "" && expected != w.id {
		note("misdirected")
		rw.Header().Set(fleet.HeaderUpstreamID, w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		note("cut")
		return
	}
	if id == "" {
		rw.Header().Set(fleet.HeaderNotRun, "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(fleet.HeaderDeadlineMs)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, arrived.Add(time.Duration(ms)*time.Millisecond))
		defer cancel()
	}
	w.mu.Lock()
	if w.running+w.waiting >= w.slots+queueLength {
		w.mu.Unlock()
		note("shed")
		w.setLoad(rw.Header())
		rw.Header().Set(fleet.HeaderNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.waiting++
	w.mu.Unlock()
	select {
	case w.free <- struct{}{}:
	case <-ctx.Done():
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
		note("deadline")
		w.setLoad(rw.Header())
		rw.Header().Set(fleet.HeaderNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.waiting--
	w.running++
	work := time.Duration(float64(w.work) * w.slowdown)
	w.mu.Unlock()
	done := false
	select {
	case <-time.After(work):
		done = true
	case <-ctx.Done():
	}
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	<-w.free
	w.setLoad(rw.Header())
	switch {
	case done:
		note("ran")
		rw.Header().Set(fleet.HeaderSignature, "seal-"+w.id)
		fmt.Fprintf(rw, "%s ran %s", w.id, id)
	case r.Context().Err() != nil:
		note("cut")
	default:
		note("ran")
		rw.WriteHeader(http.StatusGatewayTimeout)
	}
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in of one worker of a service without keys, as PROTOCOL.md describes it.
type worker struct {
	d           *deployment
	id, service string
	address     string
	slots       int
	queue       int
	work        time.Duration
	// crashes reports whether a request crashes the worker that begins to run it.
	crashes func(r *http.Request) bool

	mu       sync.Mutex
	server   *http.Server
	up       bool
	born     int64
	state    string
	sequence int
	cold     time.Time // until when it is cold
	running  int
	waiting  int
	freed    chan struct{}
	arrivals []arrival
	beating  chan struct{}
}

// arrival is a request that reached a worker.
type arrival struct {
	at           time.Time
	worker, id   string
	path, result string
}

const heartbeat = 870 * time.Millisecond

func newWorker(d *deployment, id, service string, slots, queue int, work time.Duration) *worker {
	return &worker{d: d, id: id, service: service, slots: slots, queue: queue, work: work, state: "ready", freed: make(chan struct{}), address: freeAddress("127.0.0.1")}
}

// start begins a life of the worker: it listens and registers.
func (w *worker) start(coldFor time.Duration) {
	listener, err := net.Listen("tcp", w.address)
	must(err)
	w.mu.Lock()
	w.born, w.state, w.up, w.running, w.waiting = time.Now().UnixMilli(), "ready", true, 0, 0
	w.cold = time.Now().Add(coldFor)
	w.server = &http.Server{Handler: w}
	w.beating = make(chan struct{})
	server, beating, born := w.server, w.beating, w.born
	w.mu.Unlock()
	go server.Serve(listener)
	w.d.rec.line("worker %s starts at %s, cold for %v", w.id, w.address, coldFor)
	go func() {
		for {
			w.register(born)
			select {
			case <-beating:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

// register writes the worker's entry. It reports whether the store accepted it.
func (w *worker) register(born int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.born != born {
		return false
	}
	w.sequence++
	return w.d.put("servers", w.id, fmt.Appendf(nil,
		`{"Address":%q,"born":%d,"Info":{"Service":%q,"Version":"v1","Zone":"zone-1","MaxConcurrency":%d},"Status":{"State":%q,"Sequence":%d,"ColdLeftS":%g}}`,
		w.address, w.born, w.service, w.slots, w.state, w.sequence, max(time.Until(w.cold).Seconds(), 0)))
}

// stop ends the process of the worker; its connections end with it.
func (w *worker) stop() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	server := w.server
	close(w.beating)
	w.mu.Unlock()
	server.Close()
	w.d.rec.line("worker %s ends", w.id)
}

func (w *worker) note(r *http.Request, result string) {
	id := r.Header.Get("X-Dandelionhill-Request-Id")
	w.d.rec.line("worker %s %s %s %s", w.id, result, id, r.RequestURI)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, arrival{time.Now(), w.id, id, r.RequestURI, result})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Dandelionhill-Request-Id")
	if id != "" {
		rw.Header().Set("X-Dandelionhill-Request-Id", id)
	}
	rw.Header().Set("Keep-Alive", "timeout=10")
	if expected := r.Header.Get("X-Dandelionhill-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Dandelionhill-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	rw.Header().Set("X-Dandelionhill-Server-Load", fmt.Sprintf("%d,%d,%d,100", w.running, w.waiting, w.slots))
	cold := time.Until(w.cold)
	w.mu.Unlock()
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Dandelionhill-Instance-Id", w.id)
		rw.Header().Set("X-Dandelionhill-Cold-Ms", strconv.FormatInt(max(cold.Milliseconds(), 0), 10))
		return
	}
	if id == "" {
		rw.Header().Set("X-Dandelionhill-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.note(r, "gets")
	if !w.await(r) {
		if r.Context().Err() == nil {
			w.note(r, "rejects")
			rw.Header().Set("X-Dandelionhill-Not-Executed", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.note(r, "runs")
	if w.crashes != nil && w.crashes(r) {
		w.note(r, "crashes on")
		go w.stop()
		<-r.Context().Done()
		return
	}
	work := w.work
	if cold > 0 {
		work *= 2
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	w.mu.Lock()
	w.running--
	close(w.freed)
	w.freed = make(chan struct{})
	w.mu.Unlock()
	if r.Context().Err() != nil {
		w.note(r, "drops")
		return
	}
	rw.Header().Set("X-Dandelionhill-Response-Seal", "seal."+id)
	fmt.Fprintf(rw, "%s ran %s with %d bytes", w.service, id, len(body))
	w.note(r, "answers")
}

// await waits for a slot. It reports false if the queue is full, the deadline passes or the
// connection ends.
func (w *worker) await(r *http.Request) bool {
	ms, _ := strconv.Atoi(r.Header.Get("X-Dandelionhill-Deadline-Ms"))
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running < w.slots {
		w.running++
		return true
	}
	if w.waiting >= w.queue {
		return false
	}
	w.waiting++
	defer func() { w.waiting-- }()
	for w.running >= w.slots {
		freed := w.freed
		w.mu.Unlock()
		late := false
		select {
		case <-freed:
		case <-deadline.C:
			late = true
		case <-r.Context().Done():
			late = true
		}
		w.mu.Lock()
		if late {
			return false
		}
	}
	w.running++
	return true
}

func (w *worker) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

const (
	// headerTimeout bounds the time until a request is read, with the wait for a slot.
	headerTimeout = 10 * time.Second
	// longRun is how long a request for longPath runs on a gated upstream.
	longRun = 700 * time.Millisecond
	// drainTime is how long a stopping upstream is registered as draining before it exits.
	drainTime = 1500 * time.Millisecond
	// breakOffDelay is the time from a part of a response to the reset of its connection.
	breakOffDelay = 2 * time.Millisecond
	// storeTimeout bounds a call of an upstream to the store.
	storeTimeout = 400 * time.Millisecond
)

// UpstreamOptions are the options of one upstream process.
type UpstreamOptions struct {
	ID, Service, Domain string
	// Listen is its address; Register is the one that it registers, which may be a proxy's.
	Listen, Register string
	Store            string
	// ServiceTime is how long each request runs.
	ServiceTime time.Duration
	// Gated makes requests wait for slots, and new connections too before they are read;
	// requests for longPath then run for long.
	Gated bool
	// SlowClock is by which factor its clock runs slow.
	SlowClock float64
	// RegisterAfter is for how long it serves before it registers.
	RegisterAfter time.Duration
	// RegistrationInterval is the time between two registrations.
	RegistrationInterval time.Duration
}

// upstreamEvent is one line of an upstream's event log, with its time on the monotonic
// clock.
type upstreamEvent struct {
	At time.Duration `json:"at"`
	fakes.Event
}

// monotonic returns the time of CLOCK_MONOTONIC, which all processes of a machine share.
func monotonic() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		panic(errors.Wrap(err, "read CLOCK_MONOTONIC"))
	}
	return time.Duration(ts.Nano())
}

// RunUpstream runs an upstream until SIGTERM and writes its event log to out.
func RunUpstream(o UpstreamOptions, out io.Writer) error {
	u := fakes.NewUpstream(o.ID, o.Service, o.Domain)
	var mu sync.Mutex
	encoder := json.NewEncoder(out)
	u.SetObserver(func(e fakes.Event) {
		mu.Lock()
		defer mu.Unlock()
		if err := encoder.Encode(upstreamEvent{At: monotonic(), Event: e}); err != nil {
			panic(errors.Wrap(err, "write the event log of an upstream"))
		}
	})
	u.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(fleet.HeaderRequestID)
		if o.Gated && r.URL.Path == longPath {
			time.Sleep(longRun)
		} else {
			time.Sleep(o.ServiceTime)
		}
		w.Header().Set(fleet.HeaderSignature, "seal-of-"+o.ID)
		body := responseBody(o.Service, id)
		if r.URL.Path == largePath {
			body = strings.Repeat("x", largeBytes) + body
		}
		if _, err := io.WriteString(w, body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	u.SetEarlyHandler(breakOff)
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	u.SetSlowClock(o.SlowClock)
	if o.Gated {
		listener = u.GateConnections(listener)
	}
	server := &http.Server{Handler: u, ConnContext: fakes.ConnContext, ReadHeaderTimeout: headerTimeout}
	go func() {
		// Serves until the process exits.
		_ = server.Serve(listener)
	}()
	store := fleet.NewStore(o.Store, &http.Client{})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	time.Sleep(o.RegisterAfter)
	state, ticker := "ready", time.NewTicker(o.RegistrationInterval)
	defer ticker.Stop()
	var drained <-chan time.Time
	for {
		register(store, o.ID, u.Registration(o.Register, state, 0))
		select {
		case <-ticker.C:
		case <-stop:
			state, drained = "draining", time.After(drainTime)
		case <-drained:
			return nil
		}
	}
}

// breakOff responds to a request for brokenPath before it has read the body: it sends a part of a
// response without a length and resets the connection.
func breakOff(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != brokenPath {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n\r\npart",
		fleet.HeaderRequestID, r.Header.Get(fleet.HeaderRequestID), fleet.HeaderSignature)
	if err == nil {
		time.Sleep(breakOffDelay)
	}
	resetOnClose(conn)
	return true
}

// register writes a registration to the store. A failed one is not retried; the next
// one replaces it.
func register(store *fleet.Store, id string, entry []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, err := store.Commit(ctx, fleet.Tx{
		Put: []fleet.Put{{RowID: fleet.RowID{Table: fleet.TableUpstreams, Key: id}, Value: entry}}, Preconditions: []fleet.Precondition{}, Remove: []fleet.RowID{},
	})
	if err != nil {
		os.Stderr.WriteString("registration: " + err.Error() + "\n")
	}
}

// responseBody returns a response body that names the service and the request, so that
// callers detect a response to another request.
func responseBody(service, id string) string { return service + " ran " + id }

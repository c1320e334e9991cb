package soak

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

const (
	// registrationInterval is the time between two registrations of an upstream.
	registrationInterval = 500 * time.Millisecond
	// drainTime is how long a stopping upstream is registered as draining before it exits.
	drainTime = 1500 * time.Millisecond
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
		time.Sleep(o.ServiceTime)
		w.Header().Set(fleet.HeaderSignature, "seal-of-"+o.ID)
		if _, err := io.WriteString(w, responseBody(o.Service, r.Header.Get(fleet.HeaderRequestID))); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: u, ReadHeaderTimeout: requestTimeout}
	go func() {
		// Serves until the process exits.
		_ = server.Serve(listener)
	}()
	store := fleet.NewStore(o.Store, &http.Client{})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	state, ticker := "ready", time.NewTicker(registrationInterval)
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

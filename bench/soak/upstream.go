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
	// heartbeat is the time between registrations of an upstream.
	heartbeat = 500 * time.Millisecond
	// upstreamLeaves is how long an upstream that stops is announced as leaving.
	upstreamLeaves = 1500 * time.Millisecond
	// storeTimeout bounds a call of an upstream to the store.
	storeTimeout = 400 * time.Millisecond
)

// UpstreamOptions describes one upstream process.
type UpstreamOptions struct {
	ID, Service, Domain string
	// Listen is its address; Register the one that it registers, which may be a proxy.
	Listen, Register string
	Store            string
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
}

// upstreamEvent is one line of an upstream's record: an event with its time on the
// clock that all processes of one machine share.
type upstreamEvent struct {
	At time.Duration `json:"at"`
	fakes.Event
}

// monotonic returns the clock that all processes of one machine share.
func monotonic() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		panic(errors.Wrap(err, "the kernel has no CLOCK_MONOTONIC"))
	}
	return time.Duration(ts.Nano())
}

// RunUpstream runs an upstream until SIGTERM, and writes its record to out.
func RunUpstream(o UpstreamOptions, out io.Writer) error {
	u := fakes.NewUpstream(o.ID, o.Service, o.Domain)
	var mu sync.Mutex
	lines := json.NewEncoder(out)
	u.SetObserver(func(e fakes.Event) {
		mu.Lock()
		defer mu.Unlock()
		if err := lines.Encode(upstreamEvent{At: monotonic(), Event: e}); err != nil {
			panic(errors.Wrap(err, "the record of an upstream cannot be written"))
		}
	})
	u.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(o.ServiceTime)
		w.Header().Set(fleet.HeaderSignature, "seal-of-"+o.ID)
		if _, err := io.WriteString(w, answerBody(o.Service, r.Header.Get(fleet.HeaderRequestID))); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: u, ReadHeaderTimeout: requestLimit}
	go func() {
		// It ends with the process.
		_ = server.Serve(listener)
	}()
	store := fleet.NewStore(o.Store, &http.Client{})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	state, ticker := "ready", time.NewTicker(heartbeat)
	defer ticker.Stop()
	var leave <-chan time.Time
	for {
		register(store, o.ID, u.Registration(o.Register, state, 0))
		select {
		case <-ticker.C:
		case <-stop:
			state, leave = "draining", time.After(upstreamLeaves)
		case <-leave:
			return nil
		}
	}
}

// register writes an entry. A store that does not answer gets the next one.
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

// answerBody is the answer to a request, which names both.
func answerBody(service, id string) string { return service + " ran " + id }

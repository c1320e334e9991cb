package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionhill.dev/platform/fleet"
)

// Run is one run of a request on an upstream.
type Run struct {
	RequestID string
	Key       int
	Path      string
	Body      string
}

// Event is what an upstream does with an order or a request.
type Event struct {
	// Kind is EventHeld, EventReleased or EventRun.
	Kind string `json:"kind"`
	// First and Last are the keys of an order, both included.
	First int `json:"first,omitempty"`
	Last  int `json:"last,omitempty"`
	// HoldSeconds is for how long the keys are held, in seconds.
	HoldSeconds float64 `json:"hold_s,omitempty"`
	// Run is the request of EventRun.
	Run *Run `json:"run,omitempty"`
}

// The kinds of Event.
const (
	EventHeld     = "held"
	EventReleased = "released"
	EventRun      = "run"
)

// Upstream is a stand-in for a worker that checks fences, holds keys for a time
// and runs requests.
type Upstream struct {
	ID, Service, Zone string
	Slots             int

	mu     sync.Mutex
	born   int64
	fences []int64
	until  []time.Time
	runs   []Run
	// handle runs a request in place of the usual answer, if it is set.
	handle http.HandlerFunc
	// watch is told each event, if it is set.
	watch func(Event)
	// ignored counts orders that were meant for another upstream.
	ignored int
}

// NewUpstream returns an upstream that holds no keys.
func NewUpstream(id, service, zone string) *Upstream {
	return &Upstream{
		ID: id, Service: service, Zone: zone, Slots: 2, born: time.Now().UnixMilli(),
		fences: make([]int64, fleet.KeyCount), until: make([]time.Time, fleet.KeyCount),
	}
}

// Registration returns what the upstream registers in the store.
func (u *Upstream) Registration(address, state string, coldLeft float64) []byte {
	return fmt.Appendf(nil, `{"Address":%q,"born":%d,"Info":{"Service":%q,"Version":"v1","Zone":%q,"MaxConcurrency":%d},"Status":{"State":%q,"Sequence":1,"ColdLeftS":%g}}`,
		address, u.born, u.Service, u.Zone, u.Slots, state, coldLeft)
}

// SetHandler replaces the answer to requests; nil restores the usual one.
func (u *Upstream) SetHandler(handle http.HandlerFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handle = handle
}

// SetObserver tells each event to a function, which must return quickly.
func (u *Upstream) SetObserver(watch func(Event)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.watch = watch
}

func (u *Upstream) tell(e Event) {
	if u.watch != nil {
		u.watch(e)
	}
}

// Replace makes another upstream answer at the address: one without keys, with
// another ID.
func (u *Upstream) Replace(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ID, u.fences, u.until, u.runs = id, make([]int64, fleet.KeyCount), make([]time.Time, fleet.KeyCount), nil
}

func (u *Upstream) id() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ID
}

// Runs returns the requests that were run.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Misdirected returns the number of orders that were meant for another upstream.
func (u *Upstream) Misdirected() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ignored
}

// Holds reports whether the upstream holds a key.
func (u *Upstream) Holds(key int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Now().Before(u.until[key])
}

type order struct {
	From, Target int
	Fence        int64 `json:"fence"`
	HoldS        float64
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(fleet.HeaderExpectedUpstream); want != "" && want != u.id() {
		u.mu.Lock()
		u.ignored++
		u.mu.Unlock()
		w.Header().Set(fleet.HeaderUpstreamID, u.id())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/grant", "/api/release":
		u.order(w, r)
	default:
		u.request(w, r)
	}
}

func (u *Upstream) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.From < 0 || o.Target >= fleet.KeyCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.URL.Path == "/api/release" {
		for key := o.From; key <= o.Target; key++ {
			u.until[key] = time.Time{}
		}
		u.tell(Event{Kind: EventReleased, First: o.From, Last: o.Target})
		w.Header().Set(fleet.HeaderHandover, "token")
		return
	}
	for key := o.From; key <= o.Target; key++ {
		if u.fences[key] > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := time.Now().Add(time.Duration(o.HoldS * float64(time.Second)))
	for key := o.From; key <= o.Target; key++ {
		u.fences[key], u.until[key] = o.Fence, until
	}
	u.tell(Event{Kind: EventHeld, First: o.From, Last: o.Target, HoldSeconds: o.HoldS})
}

func (u *Upstream) request(w http.ResponseWriter, r *http.Request) {
	key := -1
	if text := r.Header.Get(fleet.HeaderKey); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || !u.Holds(n) {
			w.Header().Set(fleet.HeaderNotRun, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		key = n
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(fleet.HeaderRequestID)
	u.mu.Lock()
	run := Run{RequestID: id, Key: key, Path: r.RequestURI, Body: string(body)}
	u.runs = append(u.runs, run)
	u.tell(Event{Kind: EventRun, Run: &run})
	handle := u.handle
	u.mu.Unlock()
	w.Header().Set(fleet.HeaderRequestID, id)
	if handle != nil {
		handle(w, r)
		return
	}
	w.Header().Set(fleet.HeaderSignature, "seal-of-"+u.id())
	w.Header().Set(fleet.HeaderLoad, fmt.Sprintf("1,0,%d,100", u.Slots))
	fmt.Fprintf(w, "%s ran %s", u.id(), r.RequestURI)
}

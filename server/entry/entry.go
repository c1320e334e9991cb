// Package entry accepts callers' HTTP requests, finds the shard of each, and
// forwards it to the shard's holder.
package entry

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/dedup"
	"dandelionhill.dev/core/retry"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/metrics"
	"dandelionhill.dev/server/peer"
)

// reservedPrefix starts the paths that upstreams reserve for control calls.
const reservedPrefix = "/-/"

// unknownService is the metric label of requests for services that do not exist.
// Callers choose those names, so the number of label values would be unbounded.
const unknownService = "unknown"

// maxTimeout bounds the deadline that a caller may request, so that an abandoned
// request does not occupy a queue for long.
const maxTimeout = 60 * time.Second

// Forwarder forwards calls to other VMs.
type Forwarder interface {
	Call(ctx context.Context, to api.VMID, kind wire.Type, payload, out any) error
}

// Config holds the parameters and dependencies of an Entry.
type Config struct {
	// Buffers is the memory for bodies of callers and the responses to them; nil means no limit.
	Buffers  *buffers.Budget
	Self     api.VMID
	Snapshot func() *control.Snapshot
	Forward  Forwarder
	Clock    func() time.Duration
	Metrics  *metrics.Metrics
	Log      zerolog.Logger
}

// Entry serves callers' requests.
type Entry struct {
	cfg      Config
	stopping atomic.Bool
	running  sync.WaitGroup
	waiting  atomic.Int64 // requests that wait for a holder

	mu      sync.Mutex
	retries map[api.ServiceName]*retry.Budget
	random  *rand.Rand
}

// New returns an entry.
func New(cfg Config) *Entry {
	return &Entry{
		cfg: cfg, retries: map[api.ServiceName]*retry.Budget{},
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	}
}

// Handler serves "/{service}/..." for callers.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/{service}", e.serve)
	r.HandleFunc("/{service}/*", e.serve)
	r.NotFound(e.refuse(api.Refuse(api.UnknownService, "the path names no service")))
	r.MethodNotAllowed(e.refuse(api.Refuse(api.BadRequest, "the method is not one of the standard methods of HTTP")))
	return r
}

// refuse returns a handler for requests whose path names no service.
func (e *Entry) refuse(refused *api.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		respond(w, wire.Refused(refused))
		e.cfg.Metrics.RecordResponse(unknownService, refused.Outcome, refused, 0)
	}
}

// Stop refuses new requests and waits for the running ones, or for ctx.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	done := make(chan struct{})
	go func() { e.running.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests were still running")
	}
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Done()
	start := e.cfg.Clock()
	name := api.ServiceName(chi.URLParam(r, "service"))
	var reservation *buffers.Reservation
	if e.cfg.Buffers != nil {
		reservation = e.cfg.Buffers.Reserve()
		defer reservation.Release()
	}
	snapshot := e.cfg.Snapshot()
	service, known := snapshot.Services[name]
	var reply *wire.Reply
	if refused := e.admit(snapshot, known, name); refused != nil {
		reply = wire.Refused(refused)
	} else if f, refused := e.parse(w, r, service, reservation); refused != nil {
		reply = wire.Refused(refused)
	} else {
		f.Revision = snapshot.Document.Revision
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(f.TimeoutMs)*time.Millisecond)
		var kept bool
		if reply, kept = keepMemory(validReply(e.run(ctx, name, f)), reservation); !kept {
			if conn := listen.ConnOf(r); conn != nil {
				conn.Record(listen.BodyMemory)
			}
		}
		cancel()
	}
	defer reply.Release()
	if !known {
		name = unknownService
	}
	respond(w, reply)
	outcome := api.Answered
	if reply.Refusal != nil {
		outcome = reply.Refusal.Outcome
	}
	e.cfg.Metrics.RecordResponse(name, outcome, reply.Refusal, e.cfg.Clock()-start)
	if outcome == api.Unknown {
		// Operators must learn of an unknown outcome before its caller reports it.
		e.cfg.Log.Warn().Str("event", "outcome_unknown").Str("service", string(name)).
			Str("kind", string(reply.Refusal.Kind)).Str("request_id", r.Header.Get(api.HeaderRequestID)).
			Str("error", reply.Refusal.Message).Msg("")
	}
}

// admit refuses requests that this VM must not accept.
func (e *Entry) admit(s *control.Snapshot, known bool, name api.ServiceName) *api.Refusal {
	switch {
	case e.stopping.Load():
		return api.Refuse(api.Stopping, "this VM is stopping")
	case s.Document == nil:
		return api.Refuse(api.StaleConfiguration, "this VM has no configuration yet").WithRetryAfter(time.Second)
	case s.Out:
		return api.Refuse(api.Draining, "this VM was taken out")
	case e.cfg.Clock() >= s.ConfirmedUntil:
		return api.Refuse(api.StaleConfiguration, "this VM cannot confirm its configuration").WithRetryAfter(time.Second)
	case !known:
		return api.Refuse(api.UnknownService, "there is no service "+strconv.Quote(string(name)))
	default:
		return nil
	}
}

// parse converts a caller's request to a Forward.
func (e *Entry) parse(w http.ResponseWriter, r *http.Request, service control.Service, reservation *buffers.Reservation) (*wire.Forward, *api.Refusal) {
	timeout, refused := requestTimeout(r, e.cfg.Snapshot())
	if refused != nil {
		return nil, refused
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+string(service.Name))
	if path == "" {
		path = "/"
	}
	if strings.HasPrefix(path, reservedPrefix) {
		return nil, api.Refuse(api.BadRequest, "paths that start with "+reservedPrefix+" are reserved")
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	body, refused := readBody(w, r, service.MaxBody, reservation)
	if refused != nil {
		return nil, refused
	}
	f := &wire.Forward{
		Method: r.Method, Path: path, Body: body, TimeoutMs: timeout.Milliseconds(),
		Key: r.Header.Get(api.HeaderKey), RequestID: r.Header.Get(api.HeaderRequestID),
		Caller: callerName(r),
	}
	f.Idempotent, refused = isIdempotent(r)
	if refused != nil {
		return nil, refused
	}
	return f, e.route(service, f)
}

// route sets the shard and range of a request.
func (e *Entry) route(service control.Service, f *wire.Forward) *api.Refusal {
	if !f.Idempotent {
		if f.RequestID == "" {
			return api.Refuse(api.BadRequest, "a request that may not be repeated needs a UUID version 7 in "+api.HeaderRequestID)
		}
		if _, err := dedup.ParseID(f.RequestID); err != nil {
			return api.Refuse(api.InvalidID, err.Error())
		}
	}
	var ok bool
	switch {
	case service.Keyed && f.Key == "":
		return api.Refuse(api.BadRequest, "service "+string(service.Name)+" is divided by key: send the key in "+api.HeaderKey)
	case service.Keyed:
		f.Range, f.Shard, ok = service.Routes.ByKey(f.Key)
	case f.Idempotent:
		f.Shard, ok = service.Routes.ByFingerprint(shardmap.Fingerprint(service.Name, f.Method, f.Path, f.Body))
	default:
		f.Shard, ok = service.Routes.ByRequestID(f.RequestID)
	}
	if !ok {
		return api.Refuse(api.NoHolder, "no shard serves this request").WithRetryAfter(time.Second)
	}
	return nil
}

func requestTimeout(r *http.Request, s *control.Snapshot) (time.Duration, *api.Refusal) {
	text := r.Header.Get(api.HeaderTimeout)
	if text == "" {
		return time.Duration(s.Document.Active().DefaultTimeout), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, api.Refuse(api.BadRequest, api.HeaderTimeout+" must be a whole number of milliseconds from 1 to 60000")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func isIdempotent(r *http.Request) (bool, *api.Refusal) {
	switch text := r.Header.Get(api.HeaderIdempotent); text {
	case "":
		return r.Method == http.MethodGet || r.Method == http.MethodHead, nil
	case "true", "false":
		return text == "true", nil
	default:
		return false, api.Refuse(api.BadRequest, api.HeaderIdempotent+" must be true or false")
	}
}

func callerName(r *http.Request) string {
	if name := r.Header.Get(api.HeaderCaller); name != "" {
		return name
	}
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	return host
}

// readBody reads the whole body. A body shorter than its stated length is refused:
// the upstream must not get a truncated request.
func readBody(w http.ResponseWriter, r *http.Request, limit int, reservation *buffers.Reservation) ([]byte, *api.Refusal) {
	limited := http.MaxBytesReader(w, r.Body, int64(limit))
	conn := listen.ConnOf(r)
	var body []byte
	var err error
	if reservation == nil {
		body, err = io.ReadAll(limited)
	} else {
		if conn != nil {
			conn.Hold(reservation)
		}
		body, err = reservation.ReadBody(limited, r.ContentLength, int64(limit))
	}
	aborted := listen.Reason("")
	if conn != nil {
		aborted = conn.Aborted()
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, buffers.ErrTooLarge):
		return nil, api.Refuse(api.TooLarge, "the body is longer than "+strconv.Itoa(limit)+" bytes")
	case errors.Is(err, buffers.ErrExhausted), aborted != "" && aborted != listen.SlowBody:
		w.Header().Set("Connection", "close")
		return nil, api.Refuse(api.Shed, "the memory for bodies is used up").WithRetryAfter(time.Second)
	case err != nil, aborted != "":
		w.Header().Set("Connection", "close")
		return nil, api.Refuse(api.BadRequest, "the body was cut off or arrived too slowly")
	default:
		return body, nil
	}
}

// validReply returns a reply that is neither a refusal nor a whole response as a refusal.
func validReply(reply *wire.Reply) *wire.Reply {
	if reply.Refusal == nil && (reply.Status < http.StatusOK || reply.Status > 999) {
		reply.Release()
		return wire.Refused(api.Refuse(api.UpstreamFailed, "the reply of the holder has no final status"))
	}
	return reply
}

// keepMemory passes the memory of a reply to the request of the caller, whose connection is closed for it
// if the caller reads slowly. A reply of another VM, and one that was recorded or is shared with other
// requests, takes memory of its own. Without it the outcome is unknown and kept is false.
func keepMemory(reply *wire.Reply, reservation *buffers.Reservation) (out *wire.Reply, kept bool) {
	if len(reply.Body) == 0 || reservation == nil {
		return reply, true
	}
	if local, ok := reply.Memory.(*buffers.Reservation); ok {
		reservation.Absorb(local)
		reply.Memory = nil
		return reply, true
	}
	defer reply.Release()
	if reservation.Take(int64(len(reply.Body))) {
		return reply, true
	}
	return wire.Refused(api.Refuse(api.UpstreamFailed, "the response was discarded, because the memory for bodies is used up")), false
}

// respond writes the outcome of a request.
func respond(w http.ResponseWriter, reply *wire.Reply) {
	h := w.Header()
	if reply.Refusal == nil {
		h.Set(api.HeaderOutcome, string(api.Answered))
		if reply.ContentType != "" {
			h.Set("Content-Type", reply.ContentType)
		}
		h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
		w.WriteHeader(reply.Status)
		w.Write(reply.Body)
		return
	}
	r := reply.Refusal
	h.Set(api.HeaderOutcome, string(r.Outcome))
	h.Set(api.HeaderRefusal, string(r.Kind))
	h.Set("Content-Type", "application/json")
	if reply.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt((reply.RetryAfterMs+999)/1000, 10))
	}
	w.WriteHeader(r.Status())
	json.NewEncoder(w).Encode(refusalBody{r, reply.RetryAfterMs})
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	*api.Refusal
	RetryAfterMs int64 `json:"retry_after_ms"`
}

// ServeLocal runs a forwarded request on a shard of this VM.
func (e *Entry) ServeLocal(ctx context.Context, f *wire.Forward) *wire.Reply {
	s := e.cfg.Snapshot()
	if s.Document == nil || e.cfg.Clock() >= s.ConfirmedUntil {
		return wire.Refused(api.Refuse(api.StaleConfiguration, "the holder cannot confirm its configuration").WithRetryAfter(time.Second))
	}
	shard := s.LocalShards[f.Shard]
	if shard == nil {
		return wire.Refused(api.Refuse(api.NotHolder, "VM "+string(e.cfg.Self)+" does not hold shard "+f.Shard.String()))
	}
	return shard.Serve(ctx, f)
}

var _ Forwarder = (*peer.Hub)(nil)
